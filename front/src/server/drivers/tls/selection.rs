//! Selects the certificate of a handshake by the ClientHello.
use crate::server::drivers::certificate_table::{
    CertificateTable, ChallengeCertificate, ALPN_ACME, ALPN_BINARY,
};
use cranesill_daemon::Expired;
use rustls::server::ClientHello;
use rustls::ServerConfig;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

// Alert descriptions (RFC 8446, section 6; RFC 6066, section 3; RFC 7301, section 3.2).
const ALERT_CERTIFICATE_EXPIRED: u8 = 45;
const ALERT_INTERNAL_ERROR: u8 = 80;
const ALERT_UNRECOGNIZED_NAME: u8 = 112;
const ALERT_NO_APPLICATION_PROTOCOL: u8 = 120;

/// Failure to select a certificate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SelectionError {
    /// The client requests an ACME challenge, and none is open for the name.
    NoChallenge,
    /// The client offers no supported ALPN protocol.
    NoProtocol,
    /// There are no certificates.
    NoCertificate,
    /// No certificate covers the name.
    UnknownName,
    /// The certificate has expired, and the settings do not allow it to be served.
    Expired,
}

impl SelectionError {
    /// Returns the name of the error in counters and in the log.
    pub(super) fn label(self) -> &'static str {
        match self {
            SelectionError::NoChallenge => "no-challenge",
            SelectionError::NoProtocol => "no-protocol",
            SelectionError::NoCertificate => "no-certificate",
            SelectionError::UnknownName => "unknown-name",
            SelectionError::Expired => "expired",
        }
    }

    /// Returns an unencrypted TLS record with the fatal alert for this error (RFC 8446, section 5.1).
    pub(super) fn alert_record(self) -> [u8; 7] {
        let alert = match self {
            SelectionError::NoChallenge | SelectionError::UnknownName => ALERT_UNRECOGNIZED_NAME,
            SelectionError::NoProtocol => ALERT_NO_APPLICATION_PROTOCOL,
            SelectionError::NoCertificate => ALERT_INTERNAL_ERROR,
            SelectionError::Expired => ALERT_CERTIFICATE_EXPIRED,
        };
        [21, 3, 3, 0, 2, 2, alert]
    }
}

/// The certificates that are available to handshakes.
pub(super) struct CertificateSelector {
    /// Certificates for clients.
    pub(super) table: Arc<CertificateTable>,
    /// Certificates of open ACME challenges, by host name.
    pub(super) challenges: HashMap<String, Arc<ChallengeCertificate>>,
    /// Handling of expired certificates.
    pub(super) expired: Expired,
}

impl CertificateSelector {
    /// Returns the TLS configuration for a ClientHello.
    pub(super) fn select(
        &self,
        hello: &ClientHello<'_>,
    ) -> Result<Arc<ServerConfig>, SelectionError> {
        if offers(hello, ALPN_ACME) {
            return self.select_challenge(hello.server_name());
        }
        if !offers(hello, ALPN_BINARY) {
            return Err(SelectionError::NoProtocol);
        }
        let served = match self.table.find(hello.server_name()) {
            Some(served) => served,
            None if !self.table.has_default() => return Err(SelectionError::NoCertificate),
            None => return Err(SelectionError::UnknownName),
        };
        if self.expired == Expired::Refuse && unix_seconds() > served.not_after {
            return Err(SelectionError::Expired);
        }
        Ok(Arc::clone(&served.config))
    }

    fn select_challenge(&self, name: Option<&str>) -> Result<Arc<ServerConfig>, SelectionError> {
        name.and_then(|name| self.challenges.get(&name.to_ascii_lowercase()))
            .map(|certificate| certificate.config())
            .ok_or(SelectionError::NoChallenge)
    }
}

fn offers(hello: &ClientHello<'_>, protocol: &[u8]) -> bool {
    hello
        .alpn()
        .is_some_and(|mut offered| offered.any(|name| name == protocol))
}

/// Returns the Unix time, by which certificates expire.
fn unix_seconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
