//! Messages from one subsystem to the others, grouped by the subsystem that they concern.
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

/// A message of one subsystem to others. The event loop carries it out itself or passes it to every driver.
pub enum Effect {
    /// Concerns operators' commands.
    Admin(AdminEffect),
    /// Concerns the endpoint list and its endpoints.
    Endpoints(EndpointEffect),
    /// Concerns TLS connections and certificates.
    Tls(TlsEffect),
    /// Concerns the log of purges.
    Purges(PurgeEffect),
}

impl Effect {
    /// The result of the operator's command `id`; an error is the text that the operator sees.
    pub fn response(id: u64, result: Result<Value, String>) -> Self {
        Effect::Admin(AdminEffect::Response { id, result })
    }
}

/// Messages about operators' commands.
pub enum AdminEffect {
    /// An operator has sent a command.
    Command {
        /// Identifies the command in its response; no two open commands share it.
        id: u64,
        /// The command, as [`Driver::commands`](super::Driver::commands) lists it.
        name: String,
        /// Its arguments, as an object; null where there are none.
        arguments: Value,
    },
    /// A command has been carried out or rejected.
    Response {
        /// Of the command.
        id: u64,
        /// What the operator is shown.
        result: Result<Value, String>,
    },
}

/// An endpoint as the list names it.
#[derive(Clone, Copy, Debug)]
pub struct EndpointAddress {
    /// The endpoint's id.
    pub id: u64,
    /// The place of its kind in the configuration's list of kinds.
    pub kind: u8,
    /// Where it listens; `None` once it was removed.
    pub address: Option<SocketAddr>,
}

/// Messages about the endpoint list.
pub enum EndpointEffect {
    /// Endpoints were listed or removed.
    Listed {
        /// The endpoints concerned.
        endpoints: Vec<EndpointAddress>,
        /// Whether these are all that there are: any other is removed.
        complete: bool,
    },
    /// The list service has sent a watch event.
    WatchEvent {
        /// The revision of the list that the event leads to.
        revision: u64,
        /// The event.
        event: WatchEvent,
    },
    /// The list service has confirmed that there is nothing new.
    Current,
    /// Enough peers offer this list for it to be adopted.
    Offered(Box<Snapshot>),
    /// A peer's list was adopted. It counts as old as it was when the peer sent it.
    Adopted(Box<Snapshot>),
    /// An endpoint served an object older than a purge that it had been sent.
    ServedPurged {
        /// The endpoint's id.
        endpoint: u64,
    },
}

/// Messages about TLS connections and certificates.
pub enum TlsEffect {
    /// A handshake is complete: the connection is a client's.
    Client {
        /// The client's socket.
        socket: Registered<TcpStream>,
        /// The TLS connection on it.
        connection: Box<ServerConnection>,
    },
    /// The certificates to be served from now on.
    Certificates(Arc<CertificateTable>),
    /// An ACME challenge of type tls-alpn-01 (RFC 8737) begins or ends.
    Challenge {
        /// The host name.
        name: String,
        /// What answers the challenge; `None` once it has ended.
        certificate: Option<Arc<ChallengeCertificate>>,
    },
}

/// Messages about the log of purges.
pub enum PurgeEffect {
    /// Purges are enforced from now on.
    Enabled {
        /// The settings of purges.
        settings: cranesill_daemon::Purges,
        /// Everything may have been purged up to this time. `None` if all purges are known.
        purged_up_to: Option<UnixMillis>,
    },
    /// Everything may have been purged up to this time.
    AllPurged {
        /// The time.
        up_to: UnixMillis,
    },
    /// The writer of the log was in contact, and all that it has is here.
    Contact,
    /// Purges that take effect now.
    Purged(Vec<Purge>),
    /// All cache nodes have carried out the purges up to this number.
    Confirmed {
        /// The number of the last one.
        up_to: PurgeNumber,
    },
    /// No cache node has a copy from before this time, so older purges no longer matter.
    Expired {
        /// The time.
        horizon: UnixMillis,
    },
    /// Patterns that are to be compiled.
    Compile(CompileJob),
    /// Patterns that were compiled, or why they could not be.
    Compiled(Box<Result<PatternSet, CompileError>>),
}
