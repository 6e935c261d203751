//! Validates challenges on loopback (RFC 8555, section 8.3; RFC 8737, section 3).
use super::authority::Check;
use rustls::client::danger::{HandshakeSignatureValid, ServerCertVerified, ServerCertVerifier};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::{CertificateDer, ServerName, UnixTime};
use rustls::{ClientConfig, ClientConnection, DigitallySignedStruct, SignatureScheme, StreamOwned};
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use x509_parser::extensions::{GeneralName, ParsedExtension};
use x509_parser::prelude::FromDer;

/// Timeout of the connection and of each read and write; also bounds reading a whole HTTP response.
const VALIDATION_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 8 * 1024;

fn connect(port: u16) -> Result<TcpStream, String> {
    let at = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
    let socket =
        TcpStream::connect_timeout(&at, VALIDATION_TIMEOUT).map_err(|e| format!("connect: {e}"))?;
    socket
        .set_read_timeout(Some(VALIDATION_TIMEOUT))
        .map_err(|e| e.to_string())?;
    socket
        .set_write_timeout(Some(VALIDATION_TIMEOUT))
        .map_err(|e| e.to_string())?;
    Ok(socket)
}

/// Validates a challenge; the error says what failed.
pub fn validate(check: &Check, http_port: u16, tls_port: u16) -> Result<(), String> {
    match check.kind {
        "http-01" => validate_http(check, http_port),
        _ => validate_tls_alpn(check, tls_port),
    }
}

fn validate_http(check: &Check, port: u16) -> Result<(), String> {
    let mut socket = connect(port)?;
    let request = format!(
        "GET /.well-known/acme-challenge/{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nAccept: */*\r\n\r\n",
        check.token, check.name
    );
    socket
        .write_all(request.as_bytes())
        .map_err(|e| format!("write: {e}"))?;
    let (mut response, mut chunk) = (Vec::new(), [0; 1024]);
    let deadline = Instant::now() + VALIDATION_TIMEOUT;
    while response.len() < MAX_RESPONSE_BYTES && Instant::now() < deadline {
        match socket.read(&mut chunk).map_err(|e| format!("read: {e}"))? {
            0 => break,
            n => response.extend_from_slice(&chunk[..n]),
        }
    }
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut fields);
    let used = match head.parse(&response) {
        Ok(httparse::Status::Complete(used)) if head.code == Some(200) => used,
        Ok(_) => return Err(format!("status {:?}", head.code)),
        Err(e) => return Err(format!("no answer: {e}")),
    };
    let found = String::from_utf8_lossy(&response[used..])
        .trim_end()
        .to_string();
    (found == check.authorization)
        .then_some(())
        .ok_or_else(|| "another key authorization is shown".into())
}

/// Accepts any certificate; its contents are checked after the handshake.
#[derive(Debug)]
struct AcceptAnyCertificate(Arc<CryptoProvider>);

impl AcceptAnyCertificate {
    /// Verifies a handshake signature by the certificate's key. The verification of the TLS library would reject the critical
    /// extension of the challenge.
    fn verify(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        let invalid = || rustls::Error::InvalidCertificate(rustls::CertificateError::BadSignature);
        let (_, cert) =
            x509_parser::certificate::X509Certificate::from_der(cert).map_err(|_| invalid())?;
        let key = cert.public_key().subject_public_key.data.as_ref();
        let algorithms = self
            .0
            .signature_verification_algorithms
            .mapping
            .iter()
            .find(|(s, _)| *s == dss.scheme);
        let verified = algorithms.is_some_and(|(_, all)| {
            all.iter()
                .any(|a| a.verify_signature(key, message, dss.signature()).is_ok())
        });
        verified
            .then(HandshakeSignatureValid::assertion)
            .ok_or_else(invalid)
    }
}

impl ServerCertVerifier for AcceptAnyCertificate {
    fn verify_server_cert(
        &self,
        _: &CertificateDer<'_>,
        _: &[CertificateDer<'_>],
        _: &ServerName<'_>,
        _: &[u8],
        _: UnixTime,
    ) -> Result<ServerCertVerified, rustls::Error> {
        Ok(ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify(message, cert, dss)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        self.verify(message, cert, dss)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

fn validate_tls_alpn(check: &Check, port: u16) -> Result<(), String> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ClientConfig::builder_with_provider(Arc::clone(&provider))
        .with_safe_default_protocol_versions()
        .map_err(|e| e.to_string())?
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(AcceptAnyCertificate(provider)))
        .with_no_client_auth();
    config.alpn_protocols = vec![b"acme-tls/1".to_vec()];
    let name = ServerName::try_from(check.name.clone()).map_err(|e| e.to_string())?;
    let connection = ClientConnection::new(Arc::new(config), name).map_err(|e| e.to_string())?;
    let mut stream = StreamOwned::new(connection, connect(port)?);
    while stream.conn.is_handshaking() {
        stream
            .conn
            .complete_io(&mut stream.sock)
            .map_err(|e| format!("handshake: {e}"))?;
    }
    if stream.conn.alpn_protocol() != Some(b"acme-tls/1") {
        return Err("acme-tls/1 was not chosen".into());
    }
    let leaf = stream
        .conn
        .peer_certificates()
        .and_then(|c| c.first())
        .ok_or("no certificate")?;
    let (_, cert) = x509_parser::certificate::X509Certificate::from_der(leaf)
        .map_err(|_| "no certificate".to_string())?;
    let (mut names, mut found) = (Vec::new(), None);
    for extension in cert.extensions() {
        if extension.oid.to_id_string() == "1.3.6.1.5.5.7.1.31" {
            found = extension.critical.then(|| extension.value.to_vec());
        }
        if let ParsedExtension::SubjectAlternativeName(san) = extension.parsed_extension() {
            names.extend(san.general_names.iter().map(|n| match n {
                GeneralName::DNSName(name) => name.to_ascii_lowercase(),
                _ => String::new(),
            }));
        }
    }
    if names != [check.name.clone()] {
        return Err("the certificate does not name just the name".into());
    }
    let digest = ring::digest::digest(&ring::digest::SHA256, check.authorization.as_bytes());
    // DER encoding of an octet string of 32 bytes (RFC 8737, section 3).
    let expected = [&[4, 32][..], digest.as_ref()].concat();
    (found == Some(expected))
        .then_some(())
        .ok_or_else(|| "another key authorization is shown".into())
}
