//! What the file may hold.
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// The whole file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Daemon {
    /// The log on standard error.
    pub log: Log,
    /// The control socket for operators; absent: none.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Control")]
    pub control: Option<Control>,
    /// The TLS listener; absent: none.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Tls")]
    pub tls: Option<Tls>,
    /// Certificates; absent: none are kept, and a TLS listener has none to serve.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Certs")]
    pub certs: Option<Certs>,
    /// Purges by operators; absent: none but the platform's own.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Purges")]
    pub purges: Option<Purges>,
    /// The cold start: calls on the list service; absent: it is called anew five times a second for as long as it fails.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Startup")]
    pub startup: Option<Startup>,
}

/// The cold start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Startup {
    /// Calls a second that all fronts together make at a list service that fails.
    #[schemars(range(min = 1, max = 10_000))]
    pub calls_per_s: u32,
    /// A front never waits longer than this between two calls, whatever its share.
    #[schemars(range(min = 1_000, max = 600_000))]
    pub wait_most_ms: u64,
    /// For so long after the last word of the service it is called twice a second: what was missed can still be heeded.
    #[schemars(range(min = 0, max = 60_000))]
    pub haste_ms: u64,
    /// So many of all fronts together begin to use a member in a second that is new to them; absent: all at once, and
    /// connections are begun when something is first asked.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "u32", range(min = 1, max = 100_000))]
    pub handshakes_per_s: Option<u32>,
    /// By then all fronts use a new member, whatever the budget.
    #[schemars(range(min = 0, max = 600_000))]
    pub ramp_most_ms: u64,
    /// A front says that it is ready once so many in a hundred of the members have a connection that is up.
    #[schemars(range(min = 0, max = 100))]
    pub ready_percent: u32,
    /// So long after its start it says so with fewer, if it has a list.
    #[schemars(range(min = 0, max = 600_000))]
    pub ready_most_ms: u64,
    /// The yes of a whole fleet is spread over this.
    #[schemars(range(min = 0, max = 600_000))]
    pub ready_spread_ms: u64,
    /// A folder in which the list is kept, in a file by the front's name; absent: it is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf")]
    pub snapshots: Option<PathBuf>,
    /// A list on disk that is older than this is not served from.
    #[schemars(range(min = 1, max = 86_400))]
    pub serve_snapshot_s: u64,
    /// A name of the list, the same for all that follow it; absent: the address of the list service.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub list: Option<String>,
    /// The list from one another while the service is not heard; absent: off.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Peers")]
    pub peers: Option<Peers>,
}

/// Fronts that hold the same list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// Address and port at which others ask this front.
    pub listen: String,
    /// Where others are asked; this front's own address among them is passed over.
    #[schemars(length(max = 2_000))]
    pub ask: Vec<String>,
    /// A list is taken once so many offer the same.
    #[serde(default = "two")]
    #[schemars(range(min = 1, max = 3))]
    pub agree: usize,
    /// Pause between two rounds, in each of which three are asked.
    #[serde(default = "two_seconds")]
    #[schemars(range(min = 100, max = 600_000))]
    pub every_ms: u64,
}

fn two() -> usize {
    2
}

fn two_seconds() -> u64 {
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
    /// The file that holds the ledger; absent: it is kept in memory, and each start takes everything for purged that
    /// members may hold.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf")]
    pub file: Option<PathBuf>,
    /// No member holds a copy that is older than this.
    #[schemars(range(min = 1, max = 2_592_000))]
    pub horizon_s: u64,
    /// By so much the clocks of those who date copies may be ahead.
    #[schemars(range(min = 0, max = 60_000))]
    pub skew_ms: u64,
    /// Address and port on which the ledger is served to fronts that follow; absent: it is not.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub serve: Option<String>,
    /// The ledger of another front is followed; absent: this front writes its own.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Follow")]
    pub follow: Option<Follow>,
    /// Boxes are sent purges; absent: none is.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Boxes")]
    pub boxes: Option<Boxes>,
    /// Fetches a second that purges may send past the caches; the last part of it is kept for what is worth most.
    /// Absent: there is no bound.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "u32", range(min = 1, max = 1_000_000))]
    pub shield_per_s: Option<u32>,
    /// Memory for the tags of objects.
    #[schemars(range(min = 4_096, max = 1_073_741_824))]
    pub index_bytes: usize,
}

/// The ledger of another front.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Follow {
    /// Where its writer serves it: address and port.
    pub address: String,
    /// Contact counts as lost after this long without a word of the writer.
    #[serde(default = "lease_ms")]
    #[schemars(range(min = 1_000, max = 3_600_000))]
    pub lease_ms: u64,
    /// What is done without contact.
    #[serde(default)]
    pub without_contact: WithoutContact,
}

fn lease_ms() -> u64 {
    5_000
}

/// What is done without contact to the writer of the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum WithoutContact {
    /// Nothing is served that is older than the lease.
    #[default]
    Strict,
    /// It goes on, and counts the answers that stood under the doubt.
    Available,
}

/// Boxes that are sent purges.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Boxes {
    /// Kinds of members that speak of purges, as the platform's settings name them.
    #[schemars(length(min = 1))]
    pub kinds: Vec<String>,
    /// Purges a second that go out to all boxes together.
    #[serde(default = "per_s")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub per_s: u32,
    /// Connections to boxes at once; descriptors for them come out of those of clients.
    #[serde(default = "connections_most")]
    #[schemars(range(min = 1, max = 4096))]
    pub connections_most: usize,
}

fn per_s() -> u32 {
    20_000
}

fn connections_most() -> usize {
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

/// The log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// How a line looks.
    pub format: Format,
    /// The least level that is written.
    pub level: Level,
}

/// How a line of the log looks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Words and `name=value`.
    #[default]
    Text,
    /// One JSON object.
    Json,
}

/// Levels of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Something is lost or will be.
    Error,
    /// Something needs a look.
    Warn,
    /// What an operator wants to know.
    #[default]
    Info,
    /// What a developer wants to know.
    Debug,
    /// Everything.
    Trace,
}

/// The control socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Path of the Unix domain socket; it is made with mode 0600.
    pub path: PathBuf,
}

/// The TLS listener.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Tls {
    /// Address and port to listen on.
    pub listen: String,
    /// Handshakes under way at once; a new one beyond that displaces the oldest.
    #[serde(default = "handshakes_most")]
    #[schemars(range(min = 1, max = 4096))]
    pub handshakes_most: usize,
    /// A handshake has to be complete after this long.
    #[serde(default = "handshake_ms")]
    #[schemars(range(min = 100, max = 2999))]
    pub handshake_ms: u64,
    /// Share of the core that handshakes may take.
    #[serde(default = "core_percent")]
    #[schemars(range(min = 1, max = 100))]
    pub core_percent: u32,
    /// What becomes of handshakes once a certificate has expired.
    #[serde(default)]
    pub expired: Expired,
}

fn handshakes_most() -> usize {
    64
}

fn handshake_ms() -> u64 {
    2_500
}

fn core_percent() -> u32 {
    25
}

/// What becomes of handshakes once a certificate has expired.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Expired {
    /// It is served, with an error in the log each minute.
    #[default]
    Serve,
    /// The handshake is refused by the alert `certificate_expired`.
    Refuse,
}

/// Certificates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Certs {
    /// The folder that holds keys, certificates, the account and orders under way; absent: all is kept in memory
    /// alone and obtained anew at each start.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "PathBuf")]
    pub directory: Option<PathBuf>,
    /// The certificates that are served, each for names that belong together.
    pub certificates: Vec<Certificate>,
    /// The authority that issues them; absent: what is imported or lies in the folder is served
    /// for the names above, and nothing is renewed.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Authority")]
    pub authority: Option<Authority>,
    /// Address and port that answers http-01 challenges.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[schemars(with = "String")]
    pub http_listen: Option<String>,
    /// All fronts that serve these names, this one included: they take turns at renewing.
    pub fronts: Vec<String>,
    /// How long a front waits for the one before it in rank.
    #[schemars(range(min = 1, max = 604_800))]
    pub takeover_s: u64,
    /// Share of a lifetime after which a certificate is renewed, where the authority names no window.
    #[schemars(range(min = 10, max = 95))]
    pub renew_percent: u32,
    /// Up to this share of the lifetime is taken off, the same after each start, so that not all come due at
    /// once.
    #[schemars(range(min = 0, max = 20))]
    pub jitter_percent: u32,
    /// A warning is written from this share of the lifetime on.
    #[schemars(range(min = 10, max = 100))]
    pub warn_percent: u32,
    /// Orders that may be begun within a window.
    #[schemars(range(min = 1, max = 100_000))]
    pub orders_most: usize,
    /// The window.
    #[schemars(range(min = 1, max = 2_592_000))]
    pub order_window_s: u64,
    /// Orders under way at once.
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

/// One certificate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Certificate {
    /// Host names; the first names the certificate in the log, on the command line and in the folder.
    #[schemars(length(min = 1, max = 100))]
    pub names: Vec<String>,
}

/// An ACME authority (RFC 8555).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Authority {
    /// URL of its directory, `https` always. Nothing is sent to any other host or port.
    pub directory_url: String,
    /// File with the roots, in PEM, against which its TLS is verified.
    pub roots_file: PathBuf,
    /// `mailto:` addresses for the account.
    #[serde(default)]
    pub contacts: Vec<String>,
    /// Whether its terms of service are agreed to; without that no account is made.
    #[serde(default)]
    pub terms_agreed: bool,
    /// The account with which the authority binds this one (RFC 8555, section 7.3.4).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "ExternalAccount")]
    pub external_account: Option<ExternalAccount>,
    /// How control of a name is shown.
    pub challenge: Challenge,
    /// One answer of the authority has to be whole after this long.
    #[serde(default = "answer_ms")]
    #[schemars(range(min = 100, max = 120_000))]
    pub answer_ms: u64,
    /// One answer of the authority is at most this large.
    #[serde(default = "answer_bytes")]
    #[schemars(range(min = 4_096, max = 1_048_576))]
    pub answer_bytes: usize,
}

fn answer_ms() -> u64 {
    20_000
}

fn answer_bytes() -> usize {
    131_072
}

/// An external account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ExternalAccount {
    /// Its key's id.
    pub key_id: String,
    /// File with its HMAC key in base64url; mode 0600.
    pub key_file: PathBuf,
}

/// How control of a name is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub enum Challenge {
    /// RFC 8555, section 8.3: answered on `http_listen`.
    #[serde(rename = "http-01")]
    Http,
    /// RFC 8737: answered on the TLS listener.
    #[serde(rename = "tls-alpn-01")]
    TlsAlpn,
}
