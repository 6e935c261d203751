//! Blocking operations for worker threads: one HTTPS exchange with an absolute deadline, and key generation.
use crate::http::{encode_request, Reader, Response};
use crate::jose::AccountKey;
use crate::messages::{KeyRequest, Request};
use crate::name_lookup;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::sign::CertifiedKey;
use rustls::{ClientConfig, ClientConnection, RootCertStore};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Resolved addresses to which a connection is attempted.
const MAX_ADDRESSES: usize = 4;

/// Returns a TLS configuration that trusts the root certificates in a PEM file and no others.
pub fn load_roots(file: &Path) -> Result<Arc<ClientConfig>, String> {
    let failed = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let mut store = RootCertStore::empty();
    for root in CertificateDer::pem_file_iter(file).map_err(|e| failed(&e))? {
        store
            .add(root.map_err(|e| failed(&e))?)
            .map_err(|e| failed(&e))?;
    }
    if store.is_empty() {
        return Err(failed(&"the file contains no certificates"));
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|e| failed(&e))?
        .with_root_certificates(store)
        .with_no_client_auth();
    Ok(Arc::new(config))
}

/// Sends a request and returns the response, whose body may have up to `max_body_bytes`. Fails with an error of one line.
/// Name resolution, connecting, writing and reading end at `deadline`.
pub fn exchange(
    config: &Arc<ClientConfig>,
    request: &Request,
    deadline: Instant,
    max_body_bytes: usize,
) -> Result<Response, String> {
    let body = request.sign.as_ref().map(|sign| sign.body()).transpose()?;
    let bytes = encode_request(request.method, &request.url, body.as_deref());
    let (host, port) = (request.url.host.as_str(), request.url.port);
    let error = |step: &str, e: &dyn std::fmt::Display| {
        format!("request to {host}:{port} failed: {step}: {e}")
    };
    let name = ServerName::try_from(host.to_string()).map_err(|e| error("name", &e))?;
    let addresses = name_lookup::resolve(host, port, deadline).map_err(|e| error("look-up", &e))?;
    let mut socket = Err(error("look-up", &"the name has no address"));
    for address in addresses.into_iter().take(MAX_ADDRESSES) {
        socket = remaining(deadline)
            .and_then(|left| TcpStream::connect_timeout(&address, left))
            .map_err(|e| error("connect", &e));
        if socket.is_ok() {
            break;
        }
    }
    let mut socket = socket?;
    // A failure means a broken socket, which the next write reports.
    let _ = socket.set_nodelay(true);
    let mut tls = ClientConnection::new(Arc::clone(config), name).map_err(|e| error("TLS", &e))?;
    tls.writer()
        .write_all(&bytes)
        .map_err(|e| error("TLS", &e))?;
    let mut reader = Reader::new(request.method, max_body_bytes);
    let mut plain = [0; 4096];
    loop {
        while tls.wants_write() {
            socket
                .set_write_timeout(Some(remaining(deadline).map_err(|e| error("write", &e))?))
                .map_err(|e| error("write", &e))?;
            tls.write_tls(&mut socket).map_err(|e| error("write", &e))?;
        }
        socket
            .set_read_timeout(Some(remaining(deadline).map_err(|e| error("read", &e))?))
            .map_err(|e| error("read", &e))?;
        let n = tls
            .read_tls(&mut socket)
            .map_err(|e| error("read", &as_timeout(e)))?;
        let state = tls.process_new_packets().map_err(|e| {
            // Sends the TLS alert that describes the error, if possible.
            let _ = tls.write_tls(&mut socket);
            error("TLS", &e)
        })?;
        let mut closed = n == 0;
        let mut readable = state.plaintext_bytes_to_read();
        while readable > 0 {
            let got = tls
                .reader()
                .read(&mut plain)
                .map_err(|e| error("read", &e))?;
            if let Some(response) = reader
                .feed(&plain[..got])
                .map_err(|e| error("answer", &e))?
            {
                return Ok(response);
            }
            readable = readable.saturating_sub(got.max(1));
        }
        closed |= state.peer_has_closed();
        if closed {
            // Without a close_notify, the end of a response without a length could be a truncation.
            if !state.peer_has_closed() {
                return Err(error(
                    "answer",
                    &"connection closed without a TLS close_notify",
                ));
            }
            let complete = reader.end().map_err(|e| error("answer", &e))?;
            return complete.ok_or_else(|| error("answer", &"the response is truncated"));
        }
    }
}

/// Returns the time until the deadline. Zero is an error because socket timeouts must not be zero.
fn remaining(deadline: Instant) -> io::Result<Duration> {
    let left = deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::Error::new(io::ErrorKind::TimedOut, "deadline exceeded"));
    }
    Ok(left)
}

/// Maps the two error kinds of a socket timeout to one.
fn as_timeout(e: io::Error) -> io::Error {
    match e.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {
            io::Error::new(io::ErrorKind::TimedOut, "deadline exceeded")
        }
        _ => e,
    }
}

/// The result of [`generate_key`].
pub enum GeneratedKey {
    /// Private key in PEM, and certificate signing request in DER.
    Order(String, Vec<u8>),
    /// Account key.
    Account(Arc<AccountKey>),
}

/// Generates a P-256 key, for an order together with a certificate signing request (RFC 2986).
pub fn generate_key(key: &KeyRequest) -> Result<GeneratedKey, String> {
    let failed = |e: rcgen::Error| format!("cannot generate the key of an order: {e}");
    match key {
        KeyRequest::Account => {
            AccountKey::generate().map(|key| GeneratedKey::Account(Arc::new(key)))
        }
        KeyRequest::Order(names, pem) => {
            let key = match pem {
                Some(pem) => rcgen::KeyPair::from_pem(pem).map_err(failed)?,
                None => rcgen::KeyPair::generate().map_err(failed)?,
            };
            let mut params = rcgen::CertificateParams::new(names.clone()).map_err(failed)?;
            params.distinguished_name = rcgen::DistinguishedName::new();
            let request = params.serialize_request(&key).map_err(failed)?;
            Ok(GeneratedKey::Order(
                key.serialize_pem(),
                request.der().to_vec(),
            ))
        }
    }
}

/// Generates the self-signed certificate that answers a `tls-alpn-01` challenge (RFC 8737, section 3). It contains the
/// name and the digest of the key authorization.
pub fn generate_challenge_certificate(
    name: &str,
    authorization: &str,
) -> Result<Arc<CertifiedKey>, String> {
    let failed = |e: &dyn std::fmt::Display| {
        format!("cannot generate the challenge certificate for {name}: {e}")
    };
    let key = rcgen::KeyPair::generate().map_err(|e| failed(&e))?;
    let mut params = rcgen::CertificateParams::new(vec![name.into()]).map_err(|e| failed(&e))?;
    let digest = ring::digest::digest(&ring::digest::SHA256, authorization.as_bytes());
    params
        .custom_extensions
        .push(rcgen::CustomExtension::new_acme_identifier(digest.as_ref()));
    let cert = params.self_signed(&key).map_err(|e| failed(&e))?;
    let der =
        rustls::pki_types::PrivateKeyDer::try_from(key.serialize_der()).map_err(|e| failed(&e))?;
    // `CertifiedKey::from_der` would reject the critical acmeIdentifier extension.
    let key = rustls::crypto::ring::sign::any_supported_type(&der).map_err(|e| failed(&e))?;
    Ok(Arc::new(CertifiedKey::new(vec![cert.der().clone()], key)))
}
