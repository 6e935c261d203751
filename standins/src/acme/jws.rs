//! Parses and verifies JWS in the flattened JSON serialization (RFC 7515; RFC 8555, section 6.2).
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::signature as sig;
use serde_json::Value;

pub fn encode(bytes: impl AsRef<[u8]>) -> String {
    URL_SAFE_NO_PAD.encode(bytes)
}

pub fn decode(text: &str) -> Option<Vec<u8>> {
    URL_SAFE_NO_PAD.decode(text).ok()
}

/// A well-formed JWS whose signature is not verified yet.
pub struct Jws {
    pub header: Value,
    pub payload: Vec<u8>,
    signing_input: String,
    signature: Vec<u8>,
}

impl Jws {
    pub fn parse(body: &[u8]) -> Option<Jws> {
        let value: Value = serde_json::from_slice(body).ok()?;
        Self::from_json(&value)
    }

    pub fn from_json(value: &Value) -> Option<Jws> {
        let field = |name: &str| value[name].as_str();
        // ACME excludes unprotected headers and multiple signatures (RFC 8555, section 6.2).
        if value.get("header").is_some() || value.get("signatures").is_some() {
            return None;
        }
        let (protected, payload) = (field("protected")?, field("payload")?);
        Some(Jws {
            header: serde_json::from_slice(&decode(protected)?).ok()?,
            payload: decode(payload)?,
            signing_input: format!("{protected}.{payload}"),
            signature: decode(field("signature")?)?,
        })
    }

    /// Whether the signature verifies with a public key (JWK). The error is the ACME problem type for an algorithm that is not
    /// supported or does not fit the key.
    pub fn verifies(&self, jwk: &Value) -> Result<bool, &'static str> {
        let member = |name: &str| jwk[name].as_str().and_then(decode);
        let key_type = (
            jwk["kty"].as_str().unwrap_or(""),
            jwk["crv"].as_str().unwrap_or(""),
        );
        let alg = self.header["alg"].as_str().unwrap_or("");
        let check = |algorithm: &'static dyn sig::VerificationAlgorithm, key: Vec<u8>| {
            let key = sig::UnparsedPublicKey::new(algorithm, key);
            key.verify(self.signing_input.as_bytes(), &self.signature)
                .is_ok()
        };
        let point = || Some([vec![4], member("x")?, member("y")?].concat());
        match (alg, key_type) {
            ("ES256", ("EC", "P-256")) => {
                Ok(point().is_some_and(|p| check(&sig::ECDSA_P256_SHA256_FIXED, p)))
            }
            ("ES384", ("EC", "P-384")) => {
                Ok(point().is_some_and(|p| check(&sig::ECDSA_P384_SHA384_FIXED, p)))
            }
            ("EdDSA", ("OKP", "Ed25519")) => {
                Ok(member("x").is_some_and(|x| check(&sig::ED25519, x)))
            }
            ("RS256", ("RSA", _)) => Ok(member("n").zip(member("e")).is_some_and(|(n, e)| {
                let key = sig::RsaPublicKeyComponents { n, e };
                key.verify(
                    &sig::RSA_PKCS1_2048_8192_SHA256,
                    self.signing_input.as_bytes(),
                    &self.signature,
                )
                .is_ok()
            })),
            _ => Err("badSignatureAlgorithm"),
        }
    }

    /// Whether the signature is an HS256 MAC by this key (RFC 8555, section 7.3.4).
    pub fn verifies_hmac(&self, key: &[u8]) -> bool {
        let key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, key);
        let is_hs256 = self.header["alg"].as_str() == Some("HS256");
        is_hs256 && ring::hmac::verify(&key, self.signing_input.as_bytes(), &self.signature).is_ok()
    }
}

/// Thumbprint of a JWK (RFC 7638) in base64url; `None` if the key type is not supported or a member is missing.
pub fn thumbprint(jwk: &Value) -> Option<String> {
    let names: &[&str] = match jwk["kty"].as_str()? {
        "EC" => &["crv", "kty", "x", "y"],
        "OKP" => &["crv", "kty", "x"],
        "RSA" => &["e", "kty", "n"],
        _ => return None,
    };
    let members: Option<Vec<_>> = names
        .iter()
        .map(|n| jwk[n].as_str().map(|v| format!("{n:?}:{v:?}")))
        .collect();
    let text = format!("{{{}}}", members?.join(","));
    Some(encode(ring::digest::digest(
        &ring::digest::SHA256,
        text.as_bytes(),
    )))
}
