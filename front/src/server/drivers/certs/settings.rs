//! Converts the certificate settings, and the files that they refer to, to the configuration of the ACME client.
use cranesill_certs::exchange::load_roots;
use cranesill_certs::jose::from_base64url;
use cranesill_certs::order::ChallengeType;
use cranesill_certs::planner::PlannerSettings;
use cranesill_certs::renewal::{HashRanking, Rule};
use cranesill_certs::{Event, SECOND};
use cranesill_daemon::{Certs as Settings, Challenge, ExternalAccount};
use rustls::ClientConfig;
use std::io;
use std::net::AddrParseError;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;

/// Failure to set up certificate management. Its text is shown to operators and begins with the path in the settings.
#[derive(Debug, Error)]
pub enum CertsError {
    /// The root certificates for the authority cannot be used.
    #[error("certs.authority.roots_file: {0}")]
    Roots(String),
    /// The key file of the external account cannot be read.
    #[error("certs.authority.external_account.key_file: cannot read {}: {cause}", file.display())]
    ExternalKeyUnreadable {
        /// Path of the key file.
        file: PathBuf,
        /// Error of the read.
        cause: io::Error,
    },
    /// The key of the external account is empty or not base64url.
    #[error("certs.authority.external_account.key_file: {}: not a key in base64url", .0.display())]
    ExternalKeyMalformed(PathBuf),
    /// The worker pool could not be created.
    #[error("certs: cannot create the worker pool: {0}")]
    Workers(#[source] io::Error),
    /// The address for http-01 challenges is invalid.
    #[error("certs.http_listen: {address}: {cause}")]
    ListenAddress {
        /// Address in the settings.
        address: String,
        /// Error of the parser.
        cause: AddrParseError,
    },
    /// The listener for http-01 challenges could not be opened.
    #[error("certs.http_listen: cannot listen on {address}: {cause}")]
    Listen {
        /// Address in the settings.
        address: String,
        /// Error of the system call.
        cause: io::Error,
    },
}

/// Parameters of HTTPS requests to the authority.
pub(super) struct Transport {
    /// TLS configuration with the authority's root certificates.
    pub(super) config: Arc<ClientConfig>,
    /// Timeout of a request.
    pub(super) timeout: Duration,
    /// Maximum size of a response.
    pub(super) max_response_bytes: usize,
}

/// The authority that issues certificates.
pub(super) struct Authority {
    /// Settings of the ACME client.
    pub(super) client: cranesill_certs::Settings,
    /// Parameters of requests.
    pub(super) transport: Transport,
}

impl Authority {
    /// Returns the authority in the settings, if there is one. Reads the files of its root certificates and of the external
    /// account's key.
    pub(super) fn from_settings(settings: &Settings) -> Result<Option<Self>, CertsError> {
        let Some(authority) = &settings.authority else {
            return Ok(None);
        };
        let config = load_roots(&authority.roots_file).map_err(CertsError::Roots)?;
        let external = authority.external_account.as_ref();
        let external = external.map(external_account).transpose()?;
        let challenge_type = match authority.challenge {
            Challenge::Http => ChallengeType::Http,
            Challenge::TlsAlpn => ChallengeType::TlsAlpn,
        };
        let client = cranesill_certs::Settings {
            directory_url: authority.directory_url.clone(),
            contacts: authority.contacts.clone(),
            external,
            challenge_type,
            shared: settings.directory.is_some() && settings.fronts.len() > 1,
        };
        let transport = Transport {
            config,
            timeout: Duration::from_millis(authority.answer_ms),
            max_response_bytes: authority.answer_bytes,
        };
        Ok(Some(Authority { client, transport }))
    }
}

/// Reads the identifier and the key of an external account.
fn external_account(external: &ExternalAccount) -> Result<(String, Vec<u8>), CertsError> {
    let file = &external.key_file;
    let text =
        std::fs::read_to_string(file).map_err(|cause| CertsError::ExternalKeyUnreadable {
            file: file.clone(),
            cause,
        })?;
    let key = from_base64url(text.trim())
        .filter(|key| !key.is_empty())
        .ok_or_else(|| CertsError::ExternalKeyMalformed(file.clone()))?;
    Ok((external.key_id.clone(), key))
}

/// Checks that the files in the settings can be used.
pub fn check(settings: &Settings) -> Result<(), CertsError> {
    Authority::from_settings(settings).map(drop)
}

/// Returns the renewal rule and the order limits.
pub(super) fn plan(settings: &Settings) -> PlannerSettings {
    PlannerSettings {
        rule: Rule {
            renew_percent: settings.renew_percent,
            jitter_percent: settings.jitter_percent,
        },
        warn_percent: settings.warn_percent,
        max_orders: settings.orders_most,
        order_window: settings.order_window_s * SECOND,
        max_concurrent_orders: settings.orders_at_once,
    }
}

/// Returns the ranking by which fronts that share a directory renew certificates.
pub(super) fn ranking(settings: &Settings, front_name: &str) -> Box<HashRanking> {
    Box::new(HashRanking {
        front_name: front_name.into(),
        fronts: settings.fronts.clone(),
        takeover_delay: settings.takeover_s * SECOND,
    })
}

/// Returns the event that configures the ACME client.
pub(super) fn configure(settings: &Settings, front_name: &str) -> Event {
    let certificates = settings.certificates.iter();
    let names = certificates.map(|c| c.names.clone()).collect();
    Event::Configure(plan(settings), ranking(settings, front_name), names)
}

/// Returns the identifier of the certificate for clients without SNI: the first name of the first certificate.
pub(super) fn default_certificate(settings: &Settings) -> Option<String> {
    let first = settings.certificates.first()?;
    first.names.first().map(|name| name.to_ascii_lowercase())
}
