//! JOSE for ACME: flattened JWS with ES256 (RFC 7515, RFC 7518, RFC 8555, section 6.2), JWK thumbprints (RFC 7638) and
//! external account binding (RFC 8555, section 7.3.4).
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::rand::SystemRandom;
use ring::signature::{EcdsaKeyPair, KeyPair, ECDSA_P256_SHA256_FIXED_SIGNING};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::PrivateKeyDer;
use serde_json::json;
use std::fmt;

/// Encodes bytes as base64url without padding (RFC 7515, section 2).
pub fn base64url(bytes: impl AsRef<[u8]>) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

/// Decodes base64url with or without padding. Returns `None` if the text is invalid.
pub fn from_base64url(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text.trim_end_matches('=')).ok()
}

/// The P-256 key of an ACME account.
pub struct AccountKey {
    pem: String,
    pair: EcdsaKeyPair,
}

impl fmt::Debug for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "AccountKey({})", self.thumbprint())
    }
}

impl AccountKey {
    /// Generates a key.
    pub fn generate() -> Result<Self, String> {
        let key = rcgen::KeyPair::generate().map_err(|e| format!("account key: {e}"))?;
        Self::from_pem(&key.serialize_pem())
    }

    /// Parses a PKCS #8 key in PEM.
    pub fn from_pem(pem: &str) -> Result<Self, String> {
        let der = PrivateKeyDer::from_pem_slice(pem.as_bytes())
            .map_err(|e| format!("account key: {e}"))?;
        let random = SystemRandom::new();
        let pair =
            EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, der.secret_der(), &random)
                .map_err(|e| format!("account key: {e}"))?;
        Ok(AccountKey {
            pem: pem.into(),
            pair,
        })
    }

    /// The private key in PEM. Must not be logged.
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// The public key as a JWK with its members in the order that thumbprints require (RFC 7638, section 3.2).
    pub fn jwk(&self) -> String {
        // Uncompressed point: 0x04, x, y.
        let point = self.pair.public_key().as_ref();
        let (x, y) = (base64url(&point[1..33]), base64url(&point[33..65]));
        format!(r#"{{"crv":"P-256","kty":"EC","x":"{x}","y":"{y}"}}"#)
    }

    /// The JWK thumbprint of the public key, in base64url.
    pub fn thumbprint(&self) -> String {
        base64url(ring::digest::digest(
            &ring::digest::SHA256,
            self.jwk().as_bytes(),
        ))
    }

    /// Returns a flattened JWS of `payload` (empty for POST-as-GET, RFC 8555, section 6.3) with the protected `header`, a JSON
    /// object.
    pub fn sign(&self, header: &str, payload: &str) -> Result<String, String> {
        let (protected, payload) = (base64url(header), base64url(payload));
        let input = format!("{protected}.{payload}");
        let signature = self.pair.sign(&SystemRandom::new(), input.as_bytes());
        let signature = base64url(signature.map_err(|e| format!("account key: {e}"))?);
        Ok(json!({"protected": protected, "payload": payload, "signature": signature}).to_string())
    }
}

/// Returns the binding of an account key to an external account: a JWS with HS256 over the public key.
pub fn external_binding(key_id: &str, hmac_key: &[u8], url: &str, jwk: &str) -> serde_json::Value {
    let header = json!({"alg": "HS256", "kid": key_id, "url": url}).to_string();
    let (protected, payload) = (base64url(header), base64url(jwk));
    let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, hmac_key);
    let tag = ring::hmac::sign(&key, format!("{protected}.{payload}").as_bytes());
    json!({"protected": protected, "payload": payload, "signature": base64url(tag)})
}

#[cfg(test)]
mod tests;
