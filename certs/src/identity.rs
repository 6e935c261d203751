//! A certificate with its chain and private key, as served and stored.
use crate::jose::base64url;
use crate::{hash, Clocks, UnixTime};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::sign::CertifiedKey;
use std::fmt;
use std::sync::Arc;
use x509_parser::extensions::{GeneralName, ParsedExtension};
use x509_parser::prelude::{FromDer, X509Certificate};

/// Maximum size of a bundle.
pub const MAX_BUNDLE_BYTES: usize = 256 * 1024;
const MAX_CHAIN_LENGTH: usize = 10;
const MAX_NAMES: usize = 200;

/// A certificate with its chain and the matching private key.
#[derive(Clone)]
pub struct Identity {
    /// DNS names of the leaf certificate, in lower case.
    pub names: Vec<String>,
    /// First second of the validity of the leaf.
    pub not_before: UnixTime,
    /// Last second of the validity of the leaf.
    pub not_after: UnixTime,
    /// Serial number of the leaf in hexadecimal.
    pub serial: String,
    /// Issuer of the leaf, sanitized.
    pub issuer: String,
    /// The identifier for renewal information (RFC 9773, section 4.1); `None` without an authority key identifier.
    pub renewal_id: Option<String>,
    /// Private key and chain in PEM. Must not be logged.
    bundle: Arc<str>,
    /// Key and chain for TLS handshakes.
    pub certified: Arc<CertifiedKey>,
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "Identity({:?}, serial {}, until {})",
            self.names, self.serial, self.not_after
        )
    }
}

impl Identity {
    /// Parses a PEM bundle of a private key and a chain with the leaf first; the key may precede or follow the chain. Fails
    /// with an error of one line if the bundle is malformed or the key does not match the leaf.
    pub fn from_pem(bundle: &str) -> Result<Self, String> {
        if bundle.len() > MAX_BUNDLE_BYTES {
            return Err(format!("bundle exceeds {MAX_BUNDLE_BYTES} bytes"));
        }
        let key = PrivateKeyDer::from_pem_slice(bundle.as_bytes())
            .map_err(|e| format!("private key: {e}"))?;
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(bundle.as_bytes())
            .take(MAX_CHAIN_LENGTH + 1)
            .collect();
        let chain = chain.map_err(|e| format!("chain: {e}"))?;
        if chain.len() > MAX_CHAIN_LENGTH {
            return Err(format!(
                "chain has more than {MAX_CHAIN_LENGTH} certificates"
            ));
        }
        let leaf = chain.first().ok_or("chain has no certificates")?.clone();
        let provider = rustls::crypto::ring::default_provider();
        let certified = CertifiedKey::from_der(chain, key, &provider).map_err(|e| match e {
            rustls::Error::InconsistentKeys(_) => {
                "private key does not match the certificate".to_string()
            }
            e => format!("private key: {e}"),
        })?;
        let (_, cert) =
            X509Certificate::from_der(&leaf).map_err(|e| format!("leaf certificate: {e}"))?;
        let mut names = Vec::new();
        let mut authority = None;
        for extension in cert.extensions() {
            match extension.parsed_extension() {
                ParsedExtension::SubjectAlternativeName(san) => {
                    let dns = san.general_names.iter().filter_map(|n| match n {
                        GeneralName::DNSName(name) => Some(name.to_ascii_lowercase()),
                        _ => None,
                    });
                    names.extend(dns.take(MAX_NAMES));
                }
                ParsedExtension::AuthorityKeyIdentifier(id) => {
                    authority = id.key_identifier.as_ref().map(|k| base64url(k.0));
                }
                _ => {}
            }
        }
        let seconds = |t: x509_parser::time::ASN1Time| u64::try_from(t.timestamp()).unwrap_or(0);
        Ok(Identity {
            names,
            not_before: seconds(cert.validity().not_before),
            not_after: seconds(cert.validity().not_after),
            serial: cert
                .raw_serial()
                .iter()
                .map(|b| format!("{b:02x}"))
                .collect(),
            issuer: crate::sanitize(&cert.issuer().to_string(), 200),
            renewal_id: authority.map(|a| format!("{a}.{}", base64url(cert.raw_serial()))),
            bundle: bundle.into(),
            certified: Arc::new(certified),
        })
    }

    /// Combines a private key and a chain, both in PEM.
    pub fn from_key_and_chain(key: &str, chain: &str) -> Result<Self, String> {
        // A private key within the chain must not replace ours.
        let certificates =
            chain.contains("-----BEGIN CERTIFICATE-----") && !chain.contains("PRIVATE KEY-----");
        if !certificates {
            return Err("chain contains no certificate, or contains a private key".into());
        }
        Self::from_pem(&format!("{}\n{chain}", key.trim_end()))
    }

    /// Private key and chain in PEM, as stored. Must not be logged.
    pub fn bundle(&self) -> &str {
        &self.bundle
    }

    /// The leaf certificate in DER.
    pub fn leaf(&self) -> &[u8] {
        self.certified.cert.first().map_or(&[], |c| c.as_ref())
    }

    /// Whether the leaf is valid at `wall`.
    pub fn is_valid_at(&self, wall: UnixTime) -> bool {
        (self.not_before..=self.not_after).contains(&wall)
    }

    /// Whether the certificate is valid for a name, either literally or by a wildcard for the first label (RFC 6125, section
    /// 6.4.3).
    pub fn covers(&self, name: &str) -> bool {
        let name = name.to_ascii_lowercase();
        let wild = name.split_once('.').map(|(_, rest)| format!("*.{rest}"));
        self.names
            .iter()
            .any(|n| *n == name || wild.as_ref().is_some_and(|w| n == w))
    }

    /// Seconds until the certificate expires; negative after it has expired.
    pub fn remaining_s(&self, clocks: Clocks) -> i64 {
        self.not_after as i64 - clocks.wall as i64
    }

    /// Hash of the bundle, for comparing identities.
    pub fn content_hash(&self) -> u64 {
        hash(&[&self.bundle])
    }
}

#[cfg(test)]
mod tests;
