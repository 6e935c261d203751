//! What drivers bring about for others, by the subsystem that it concerns.
use super::served::{Proof, Table};
use crate::protocol::feed::News;
use crate::protocol::snapshot::Snapshot;
use crate::transport::Registered;
use cranesill_purges::matching::{CompileError, CompileJob, PatternSet};
use cranesill_purges::Purge;
use rustls::ServerConnection;
use serde_json::Value;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;

/// Something that concerns others than the driver that brought it about.
pub enum Effect {
    /// A word of an operator, with a number for its answer.
    Word(u64, String, Value),
    /// The answer to an operator.
    Answer(u64, Result<Value, String>),
    /// Members that are listed, with their kind and where they listen (`None`: gone); `true`: all that there are.
    Members(Vec<(u64, u8, Option<SocketAddr>)>, bool),
    /// The list service has told this, with the number of the event.
    Heard(u64, News),
    /// Nothing new, and the list service says so.
    Current,
    /// So many peers offer this list that it may be taken.
    Offered(Box<Snapshot>),
    /// It was taken: it is what is known from now on, and as old as it is.
    Taken(Box<Snapshot>),
    /// A member served what it had been asked not to.
    Lied(u64),
    /// Of TLS and certificates.
    Secured(Secured),
    /// Of purges.
    Purges(Purging),
}

/// What concerns TLS.
pub enum Secured {
    /// A handshake is complete: the connection is a client's.
    Client(Registered<TcpStream>, Box<ServerConnection>),
    /// These certificates are served from now on.
    Certificates(Arc<Table>),
    /// Control of a name is shown in handshakes, or no longer.
    Prove(String, Option<Arc<Proof>>),
}

/// What concerns the ledger of purges.
pub enum Purging {
    /// Purges are on from now on; everything may have been purged up to a moment in Unix milliseconds.
    Floors(cranesill_daemon::Purges, Option<u64>),
    /// Everything may have been purged up to a moment in Unix milliseconds.
    Everything(u64),
    /// The writer of the ledger was heard of, and all that it has is here.
    Contact,
    /// Purges that count from now on.
    Purged(Vec<Purge>),
    /// All boxes have carried out everything up to this number.
    Confirmed(u64),
    /// Purges from before this moment, in Unix milliseconds, are over.
    Horizon(u64),
    /// Patterns to be put together, and those that were.
    Compile(CompileJob),
    /// Patterns that were put together.
    Compiled(Box<Result<PatternSet, CompileError>>),
}
