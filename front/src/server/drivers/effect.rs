//! Messages between subsystems, grouped by the subsystem that they concern.
use super::certificate_table::{CertificateTable, ChallengeCertificate};
use crate::protocol::discovery::WatchEvent;
use crate::protocol::snapshot::Snapshot;
use crate::transport::Registered;
use cranesill_purges::matching::{CompileError, CompileJob, PatternSet};
use cranesill_purges::{Purge, PurgeNumber, UnixMillis};
use rustls::ServerConnection;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// A message of one subsystem to the others. The event loop handles it itself or passes it to every driver.
pub enum Effect {
    /// Messages about operators' commands.
    Admin(AdminEffect),
    /// Messages about the endpoint list.
    Endpoints(EndpointEffect),
    /// Messages about TLS connections and certificates.
    Tls(TlsEffect),
    /// Messages about the purge log.
    Purges(PurgeEffect),
    /// Messages about the processes of this front.
    Process(ProcessEffect),
}

impl Effect {
    /// Creates the response to the command `id`. An error is the text that the operator sees.
    pub fn response(id: u64, result: Result<Value, String>) -> Self {
        Effect::Admin(AdminEffect::Response { id, result })
    }
}

/// Messages about operators' commands.
pub enum AdminEffect {
    /// An operator sent a command.
    Command {
        /// Identifies the command in its response; unique among open commands.
        id: u64,
        /// Name of the command, as listed by [`Driver::commands`](super::Driver::commands).
        name: String,
        /// Arguments as a JSON object, or null if there are none.
        arguments: Value,
    },
    /// A command was carried out or rejected.
    Response {
        /// Id of the command.
        id: u64,
        /// The value or the error text that the operator sees.
        result: Result<Value, String>,
    },
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAddress {
    /// Id of the endpoint.
    pub id: u64,
    /// Index of its kind in the configuration's list of kinds.
    pub kind: u8,
    /// Its socket address; `None` if it was removed from the list.
    pub address: Option<SocketAddr>,
}

/// Messages about the endpoint list.
pub enum EndpointEffect {
    /// Endpoints were added, changed or removed.
    Listed {
        /// The affected endpoints.
        endpoints: Vec<EndpointAddress>,
        /// Whether `endpoints` is the complete list, so that all others are removed.
        complete: bool,
    },
    /// The list service sent a watch event.
    WatchEvent {
        /// Revision of the list after the event.
        revision: u64,
        /// The changed endpoints or the purge, as received from the list service.
        event: WatchEvent,
    },
    /// The list service confirmed that the list is current.
    Current,
    /// Enough peers offered this list for it to be adopted.
    Offered(Box<Snapshot>),
    /// A peer's list was adopted. It keeps the time at which it was last known to be current.
    Adopted(Box<Snapshot>),
    /// An endpoint served a copy older than the maximum age that the attempt requested because of a purge.
    StaleCopyServed {
        /// Id of the endpoint.
        endpoint: u64,
    },
}

/// Messages about TLS connections and certificates.
pub enum TlsEffect {
    /// A client completed its handshake.
    Client {
        /// Socket of the client.
        socket: Registered<TcpStream>,
        /// The TLS connection on it.
        connection: Box<ServerConnection>,
    },
    /// Replaces the certificates to serve.
    Certificates(Arc<CertificateTable>),
    /// A tls-alpn-01 challenge (RFC 8737) was opened or closed.
    Challenge {
        /// Host name to validate.
        name: String,
        /// Certificate that answers the challenge; `None` if it was closed.
        certificate: Option<Arc<ChallengeCertificate>>,
    },
}

/// Changes in the part that this process has among the processes of this front, of which there are two during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEffect {
    /// No other process accepts clients. This process accepts them once all drivers allow it.
    TakesOver,
    /// All earlier processes have ended.
    PredecessorEnded,
    /// This process shuts down, and another one may take over.
    ShutsDown,
}

/// Messages about the purge log.
pub enum PurgeEffect {
    /// Enables the enforcement of purges.
    Enabled {
        /// Settings of the purge log.
        settings: cranesill_daemon::Purges,
        /// Time up to which purges may be unknown, so that all older copies count as purged. `None` if all are known.
        purged_up_to: Option<UnixMillis>,
    },
    /// Purges may be unknown, so that all copies from before a time count as purged.
    AllPurged {
        /// The time up to which purges may be unknown.
        up_to: UnixMillis,
    },
    /// The writer sent a frame after which this follower has its complete log. Renews the lease.
    Contact,
    /// Adds purges, which take effect immediately.
    Purged(Vec<Purge>),
    /// All cache nodes confirmed the purges up to a number.
    Confirmed {
        /// Number of the last confirmed purge.
        up_to: PurgeNumber,
    },
    /// Purges before a time have expired, since no cache node has a copy that old.
    Expired {
        /// The time before which purges have expired.
        horizon: UnixMillis,
    },
    /// Requests that patterns are compiled.
    Compile(CompileJob),
    /// The compiled patterns, or the error of the compilation.
    Compiled(Box<Result<PatternSet, CompileError>>),
}
