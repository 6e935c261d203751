//! Types of the settings file. Their doc comments are the descriptions in its JSON Schema.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// Settings of the daemon.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Daemon {
    /// Log on standard error.
    pub log: Log,
    /// Control socket for operators. If absent, there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Control")]
    pub control: Option<Control>,
    /// TLS listener. If absent, there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Tls")]
    pub tls: Option<Tls>,
    /// Certificates. If absent, none are managed, and the TLS listener has none to serve.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Certs")]
    pub certs: Option<Certs>,
    /// Purges by operators. If absent, only the purges of the platform are applied.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Purges")]
    pub purges: Option<Purges>,
    /// Startup without a current endpoint list. If absent, a list service that fails is called five times per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Startup")]
    pub startup: Option<Startup>,
}

/// Startup: calls to the list service, slow start of new endpoints, readiness, and other sources of the endpoint list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Startup {
    /// Calls per second that all fronts together make to a list service that fails.
    #[schemars(range(min = 1, max = 10_000))]
    pub calls_per_s: u32,
    /// Maximum interval between two calls of one front, whatever its quota.
    #[schemars(range(min = 1_000, max = 600_000))]
    pub wait_most_ms: u64,
    /// Time after the last message of the list service in which it is called twice per second, so that events missed in a
    /// short outage are still applied in time.
    #[schemars(range(min = 0, max = 60_000))]
    pub haste_ms: u64,
    /// Number of fronts per second, in the whole fleet, that begin to use a new endpoint. If absent, all fronts use it at
    /// once, and connect to it for the first request.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "u32", range(min = 1, max = 100_000))]
    pub handshakes_per_s: Option<u32>,
    /// Time after which all fronts use a new endpoint, whatever `handshakes_per_s` is.
    #[schemars(range(min = 0, max = 600_000))]
    pub ramp_most_ms: u64,
    /// Percentage of the endpoints with an open connection from which on a front is ready.
    #[schemars(range(min = 0, max = 100))]
    pub ready_percent: u32,
    /// Time after the start at which a front with an endpoint list is ready even with fewer connections.
    #[schemars(range(min = 0, max = 600_000))]
    pub ready_most_ms: u64,
    /// Time over which the fronts of a fleet become ready one after the other.
    #[schemars(range(min = 0, max = 600_000))]
    pub ready_spread_ms: u64,
    /// Directory in which the endpoint list is kept, in a file named after the front. If absent, it is not kept.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf")]
    pub snapshots: Option<PathBuf>,
    /// Maximum age of a list on disk or from a peer that is used to serve requests.
    #[schemars(range(min = 1, max = 86_400))]
    pub serve_snapshot_s: u64,
    /// Name of the endpoint list, the same for all fronts that use it. If absent, the address of the list service.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub list: Option<String>,
    /// Exchange of the endpoint list with peers while the list service is silent. If absent, it is off.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Peers")]
    pub peers: Option<Peers>,
}

/// Exchange of the endpoint list between fronts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address and port on which this front serves its list to peers.
    pub listen: String,
    /// Addresses and ports of the peers. This front's own address is ignored.
    #[schemars(length(max = 2_000))]
    pub ask: Vec<String>,
    /// Number of peers that have to offer the same list before it is adopted.
    #[serde(default = "default_agree")]
    #[schemars(range(min = 1, max = 3))]
    pub agree: usize,
    /// Interval between two rounds, in each of which three peers are polled.
    #[serde(default = "default_every_ms")]
    #[schemars(range(min = 100, max = 600_000))]
    pub every_ms: u64,
}

fn default_agree() -> usize {
    2
}

fn default_every_ms() -> u64 {
    2_000
}

impl Default for Startup {
    fn default() -> Self {
        Startup {
            calls_per_s: 10,
            wait_most_ms: 5_500,
            haste_ms: 0,
            handshakes_per_s: None,
            ramp_most_ms: 20_000,
            ready_percent: 0,
            ready_most_ms: 3_000,
            ready_spread_ms: 0,
            snapshots: None,
            serve_snapshot_s: 600,
            list: None,
            peers: None,
        }
    }
}

/// Purges by operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Purges {
    /// Journal of the purge log. If absent, the log is kept in memory, and each start purges everything that endpoints may
    /// have cached.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf")]
    pub file: Option<PathBuf>,
    /// Maximum age of a copy at any endpoint. Older purges are removed from the log.
    #[schemars(range(min = 1, max = 2_592_000))]
    pub horizon_s: u64,
    /// Maximum time by which the clocks that timestamp copies may be ahead.
    #[schemars(range(min = 0, max = 60_000))]
    pub skew_ms: u64,
    /// Address and port on which the purge log is served to followers. If absent, it is not served.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub serve: Option<String>,
    /// Writer whose purge log this front follows. If absent, this front writes its own log.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Follow")]
    pub follow: Option<Follow>,
    /// Cache nodes that are sent purges. If absent, none are.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Boxes")]
    pub boxes: Option<Boxes>,
    /// Maximum number of fetches per second that bypass the caches because of purges. Part of it is reserved for requests
    /// of high priority. If absent, there is no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "u32", range(min = 1, max = 1_000_000))]
    pub shield_per_s: Option<u32>,
    /// Maximum memory of the index of object tags.
    #[schemars(range(min = 4_096, max = 1_073_741_824))]
    pub index_bytes: usize,
}

/// Following the purge log of another front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Follow {
    /// Address and port on which the writer serves its log.
    pub address: String,
    /// Duration of the follower's lease, which each contact with the writer renews.
    #[serde(default = "default_lease_ms")]
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub lease_ms: u64,
    /// Behavior once the lease has expired.
    #[serde(default)]
    pub without_contact: WithoutContact,
}

fn default_lease_ms() -> u64 {
    5_000
}

/// Behavior of a follower whose lease has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum WithoutContact {
    /// Copies older than the lease duration are not served.
    #[default]
    Strict,
    /// All copies are served, and the responses that could not be verified are counted.
    Available,
}

/// Cache nodes that are sent purges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Boxes {
    /// Kinds of endpoints that support the purge protocol, by their names in the platform's settings.
    #[schemars(length(min = 1))]
    pub kinds: Vec<String>,
    /// Maximum number of purges per second that are sent to all cache nodes together.
    #[serde(default = "default_per_s")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub per_s: u32,
    /// Maximum number of connections to cache nodes. They reduce the number of descriptors for clients.
    #[serde(default = "default_connections_most")]
    #[schemars(range(min = 1, max = 4096))]
    pub connections_most: usize,
}

fn default_per_s() -> u32 {
    20_000
}

fn default_connections_most() -> usize {
    64
}

impl Default for Purges {
    fn default() -> Self {
        Purges {
            file: None,
            horizon_s: 86_400,
            skew_ms: 1_000,
            serve: None,
            follow: None,
            boxes: None,
            shield_per_s: None,
            index_bytes: 1 << 20,
        }
    }
}

/// Log output.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// Lowest level that is written.
    pub level: Level,
}

/// Formats of a log line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Text with `name=value` fields.
    #[default]
    Text,
    /// A JSON object.
    Json,
}

/// Log levels, the most severe first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Data or service is lost, or will be.
    Error,
    /// A condition that an operator should look into.
    Warn,
    /// Normal events of interest to operators.
    #[default]
    Info,
    /// Details of interest to developers.
    Debug,
    /// All details.
    Trace,
}

/// Control socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Path of the Unix domain socket, which is created with mode 0600.
    pub path: PathBuf,
}

/// TLS listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Address and port to listen on.
    pub listen: String,
    /// Maximum number of concurrent handshakes; a further one displaces the oldest.
    #[serde(default = "default_handshakes_most")]
    #[schemars(range(min = 1, max = 4096))]
    pub handshakes_most: usize,
    /// Timeout of a handshake.
    #[serde(default = "default_handshake_ms")]
    #[schemars(range(min = 100, max = 2999))]
    pub handshake_ms: u64,
    /// Maximum share of one CPU core that handshakes may use.
    #[serde(default = "default_core_percent")]
    #[schemars(range(min = 1, max = 100))]
    pub core_percent: u32,
    /// Handling of expired certificates.
    #[serde(default)]
    pub expired: Expired,
}

fn default_handshakes_most() -> usize {
    64
}

fn default_handshake_ms() -> u64 {
    2_500
}

fn default_core_percent() -> u32 {
    25
}

/// Handling of handshakes whose certificate has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Expired {
    /// The expired certificate is served, and an error is logged every minute.
    #[default]
    Serve,
    /// The handshake is rejected with the alert `certificate_expired`.
    Refuse,
}

/// Certificate management.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Certs {
    /// Directory of keys, certificates, the account and pending orders. If absent, all are kept in memory only, and are
    /// obtained again at each start.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf")]
    pub directory: Option<PathBuf>,
    /// Certificates to serve.
    pub certificates: Vec<Certificate>,
    /// Authority that issues the certificates. If absent, imported and stored certificates are served for the names above,
    /// and none are renewed.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Authority")]
    pub authority: Option<Authority>,
    /// Address and port on which http-01 challenges are answered.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub http_listen: Option<String>,
    /// Names of all fronts that serve these certificates, including this one. They renew in order of their rank.
    pub fronts: Vec<String>,
    /// Time that a front waits for the renewal by the front of the rank before it.
    #[schemars(range(min = 1, max = 604_800))]
    pub takeover_s: u64,
    /// Percentage of a certificate's lifetime after which it is renewed if the authority suggests no renewal window.
    #[schemars(range(min = 10, max = 95))]
    pub renew_percent: u32,
    /// Maximum percentage of the lifetime by which a renewal is moved forward, so that renewals are spread. It is the same
    /// after each start.
    #[schemars(range(min = 0, max = 20))]
    pub jitter_percent: u32,
    /// Percentage of the lifetime after which an outstanding renewal is logged as a warning.
    #[schemars(range(min = 10, max = 100))]
    pub warn_percent: u32,
    /// Maximum number of orders that are started within one window.
    #[schemars(range(min = 1, max = 100_000))]
    pub orders_most: usize,
    /// Length of the window for `orders_most`.
    #[schemars(range(min = 1, max = 2_592_000))]
    pub order_window_s: u64,
    /// Maximum number of concurrent orders.
    #[schemars(range(min = 1, max = 16))]
    pub orders_at_once: usize,
}

impl Default for Certs {
    fn default() -> Self {
        Certs {
            directory: None,
            certificates: Vec::new(),
            authority: None,
            http_listen: None,
            fronts: Vec::new(),
            takeover_s: 3_600,
            renew_percent: 67,
            jitter_percent: 5,
            warn_percent: 85,
            orders_most: 50,
            order_window_s: 10_800,
            orders_at_once: 2,
        }
    }
}

/// A certificate to serve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Certificate {
    /// Host names that the certificate covers. The first identifies it in the log, on the command line and in the
    /// directory.
    #[schemars(length(min = 1, max = 100))]
    pub names: Vec<String>,
}

/// An ACME authority (RFC 8555).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Authority {
    /// URL of the authority's directory, with the scheme `https`. Requests are sent to this host and port only.
    pub directory_url: String,
    /// PEM file of the root certificates by which the authority's TLS certificate is verified.
    pub roots_file: PathBuf,
    /// Contacts of the account, as `mailto:` addresses.
    #[serde(default)]
    pub contacts: Vec<String>,
    /// Agreement to the authority's terms of service, without which no account is created.
    #[serde(default)]
    pub terms_agreed: bool,
    /// External account to which the account is bound (RFC 8555, section 7.3.4).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "ExternalAccount")]
    pub external_account: Option<ExternalAccount>,
    /// Challenge type by which control of a name is proven.
    pub challenge: Challenge,
    /// Timeout of a request to the authority.
    #[serde(default = "default_answer_ms")]
    #[schemars(range(min = 100, max = 120_000))]
    pub answer_ms: u64,
    /// Maximum size of a response of the authority.
    #[serde(default = "default_answer_bytes")]
    #[schemars(range(min = 4_096, max = 1_048_576))]
    pub answer_bytes: usize,
}

fn default_answer_ms() -> u64 {
    20_000
}

fn default_answer_bytes() -> usize {
    131_072
}

/// An external account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ExternalAccount {
    /// Identifier of the account's key.
    pub key_id: String,
    /// File with the account's HMAC key in base64url, which should have mode 0600.
    pub key_file: PathBuf,
}

/// Challenge types.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Challenge {
    /// http-01 (RFC 8555, section 8.3), answered on `http_listen`.
    #[serde(rename = "http-01")]
    Http,
    /// tls-alpn-01 (RFC 8737), answered on the TLS listener.
    #[serde(rename = "tls-alpn-01")]
    TlsAlpn,
}
