//! Root, intermediate and leaves.
use rcgen::{
    BasicConstraints, CertificateParams, CertificateSigningRequestParams, DnType,
    ExtendedKeyUsagePurpose, IsCa, KeyPair, KeyUsagePurpose, SanType,
};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// A certificate authority's keys: a root and an intermediate under it.
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
    // From long ago to far ahead: the clock of a test may stand anywhere.
    (params.not_before, params.not_after) = (date(0), date(4_000_000_000));
    params
}

impl Default for Issuer {
    fn default() -> Self {
        Self::new()
    }
}

impl Issuer {
    /// New keys. Panics if the library can't make them.
    pub fn new() -> Self {
        let key = KeyPair::generate().expect("a root key");
        let params = ca_params("Stand-in Root");
        let root_pem = params.self_signed(&key).expect("a root").pem();
        let root = rcgen::Issuer::new(params, key);
        let key = KeyPair::generate().expect("an intermediate key");
        let mut params = ca_params("Stand-in Intermediate");
        params.use_authority_key_identifier_extension = true;
        let intermediate_pem = params
            .signed_by(&key, &root)
            .expect("an intermediate")
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

    /// The root, in PEM.
    pub fn root(&self) -> &str {
        &self.root_pem
    }

    /// A key and a certificate for the authority's own HTTPS, in PEM.
    pub fn server_identity(&mut self) -> (String, String) {
        let key = KeyPair::generate().expect("a key");
        let mut params = CertificateParams::new(vec!["localhost".into()]).expect("a name");
        params
            .subject_alt_names
            .push(SanType::IpAddress([127, 0, 0, 1].into()));
        (params.not_before, params.not_after) = (date(0), date(4_000_000_000));
        let cert = params.signed_by(&key, &self.root).expect("a certificate");
        (key.serialize_pem(), cert.pem())
    }

    /// Names in a signing request (DER), in lower case and order; the error says what is wrong with it.
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

    /// A chain for a signing request, leaf first, without the root; it holds from one second to another. `other`:
    /// for a key that nobody asked for.
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
