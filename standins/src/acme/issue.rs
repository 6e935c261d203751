//! Root, intermediate and leaf certificates.
use rcgen::{
    BasicConstraints, CertificateParams, CertificateSigningRequestParams, DnType,
    ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose, SanType,
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Root and intermediate CA that issue the certificates.
pub struct Issuer {
    root_pem: String,
    root: rcgen::Issuer<'static, KeyPair>,
    intermediate_pem: String,
    intermediate: rcgen::Issuer<'static, KeyPair>,
    last_serial: u64,
}

fn date(unix_s: u64) -> time::OffsetDateTime {
    (UNIX_EPOCH + Duration::from_secs(unix_s)).into()
}

fn ca_params(name: &str) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, name);
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    // Valid at any time to which a test may set its clock.
    (params.not_before, params.not_after) = (date(0), date(4_000_000_000));
    params
}

impl Default for Issuer {
    fn default() -> Self {
        Self::new()
    }
}

impl Issuer {
    /// Creates a CA with new keys. Panics if key generation or signing fails.
    pub fn new() -> Self {
        let key = KeyPair::generate().expect("cannot generate the root key");
        let params = ca_params("Stand-in Root");
        let root_pem = params
            .self_signed(&key)
            .expect("cannot sign the root certificate")
            .pem();
        let root = rcgen::Issuer::new(params, key);
        let key = KeyPair::generate().expect("cannot generate the intermediate key");
        let mut params = ca_params("Stand-in Intermediate");
        params.use_authority_key_identifier_extension = true;
        let intermediate_pem = params
            .signed_by(&key, &root)
            .expect("cannot sign the intermediate certificate")
            .pem();
        let intermediate = rcgen::Issuer::new(params, key);
        let start = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Issuer {
            root_pem,
            root,
            intermediate_pem,
            intermediate,
            last_serial: start.as_nanos() as u64,
        }
    }

    /// The root certificate, in PEM.
    pub fn root(&self) -> &str {
        &self.root_pem
    }

    /// Private key and certificate for the authority's HTTPS server, in PEM. Panics if key generation or signing fails.
    pub fn server_identity(&mut self) -> (String, String) {
        let key = KeyPair::generate().expect("cannot generate the server key");
        let mut params =
            CertificateParams::new(vec!["localhost".into()]).expect("invalid server name");
        params
            .subject_alt_names
            .push(SanType::IpAddress([127, 0, 0, 1].into()));
        (params.not_before, params.not_after) = (date(0), date(4_000_000_000));
        let cert = params
            .signed_by(&key, &self.root)
            .expect("cannot sign the server certificate");
        (key.serialize_pem(), cert.pem())
    }

    /// DNS names of a signing request (DER), in lower case, sorted and without duplicates.
    pub fn requested_names(csr: &[u8]) -> Result<Vec<String>, String> {
        let request =
            CertificateSigningRequestParams::from_der(&csr.into()).map_err(|e| e.to_string())?;
        let mut names = Vec::new();
        for name in &request.params.subject_alt_names {
            match name {
                SanType::DnsName(name) => names.push(name.as_str().to_ascii_lowercase()),
                _ => return Err("a name that is none of a host".into()),
            }
        }
        names.sort();
        names.dedup();
        Ok(names)
    }

    /// Issues a certificate for a signing request (DER). Returns the chain in PEM, leaf first and without the root, and the
    /// serial number in hexadecimal. The validity period is in seconds since the Unix epoch; `other_key` replaces the key of
    /// the request by a new one.
    pub fn chain(
        &mut self,
        csr: &[u8],
        not_before: u64,
        not_after: u64,
        other_key: bool,
    ) -> Result<(String, String), String> {
        let failed = |e: rcgen::Error| e.to_string();
        let mut request = CertificateSigningRequestParams::from_der(&csr.into()).map_err(failed)?;
        self.last_serial += 1;
        let serial = self.last_serial.to_be_bytes().to_vec();
        let params = &mut request.params;
        (params.not_before, params.not_after) = (date(not_before), date(not_after));
        params.serial_number = Some(serial.clone().into());
        params.use_authority_key_identifier_extension = true;
        params.is_ca = IsCa::NoCa;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth];
        let leaf = if other_key {
            let key = KeyPair::generate().map_err(failed)?;
            params.signed_by(&key, &self.intermediate).map_err(failed)?
        } else {
            request.signed_by(&self.intermediate).map_err(failed)?
        };
        let serial = serial.iter().map(|b| format!("{b:02x}")).collect();
        Ok((format!("{}{}", leaf.pem(), self.intermediate_pem), serial))
    }
}
