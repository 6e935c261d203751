//! What the settings of certificates mean to the ACME client, with the files that they name.
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

/// Why certificates cannot be managed. The texts are what the operator sees; they begin with the path in the settings.
#[derive(Debug, Error)]
pub enum CertsError {
    /// The roots that the authority is verified by cannot be used.
    #[error("certs.authority.roots_file: {0}")]
    Roots(String),
    /// The key of the external account cannot be read.
    #[error("certs.authority.external_account.key_file: {}: {cause}", file.display())]
    ExternalKeyUnreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// The key of the external account is empty or no base64url.
    #[error("certs.authority.external_account.key_file: {}: no base64url", .0.display())]
    ExternalKeyMalformed(PathBuf),
    /// The worker threads could not be set up.
    #[error("certs: {0}")]
    Workers(#[source] io::Error),
    /// The address for http-01 challenges is not valid.
    #[error("certs.http_listen: {address}: {cause}")]
    ListenAddress {
        /// The address in the settings.
        address: String,
        /// Why it is not valid.
        cause: AddrParseError,
    },
    /// The address for http-01 challenges cannot be listened on.
    #[error("certs.http_listen: {address}: {cause}")]
    Listen {
        /// The address in the settings.
        address: String,
        /// What the system says.
        cause: io::Error,
    },
}

/// How requests to the authority are sent.
pub(super) struct Transport {
    /// How its certificate is verified.
    pub(super) config: Arc<ClientConfig>,
    /// A request that takes longer has failed.
    pub(super) timeout: Duration,
    /// A longer response is rejected.
    pub(super) max_response_bytes: usize,
}

/// The authority that issues certificates.
pub(super) struct Authority {
    /// What the ACME client needs to know.
    pub(super) client: cranesill_certs::Settings,
    /// How it is reached.
    pub(super) transport: Transport,
}

impl Authority {
    /// Returns the authority in the settings, if they name one. Reads the files of roots and of an external account's key.
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

/// Returns the id and the key of an external account.
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

/// Checks that the files that the settings name can be used.
pub fn check(settings: &Settings) -> Result<(), CertsError> {
    Authority::from_settings(settings).map(drop)
}

/// Returns the planner's limits.
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

/// Returns the order in which the fronts of a shared folder renew a certificate.
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

/// Returns the id of the certificate for clients that send no host name: the first name of the first one.
pub(super) fn default_certificate(settings: &Settings) -> Option<String> {
    let first = settings.certificates.first()?;
    first.names.first().map(|name| name.to_ascii_lowercase())
}
