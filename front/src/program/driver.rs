//! What a subsystem is to the loop: sources under a range of keys of its own, one next moment, and effects by which
//! it reaches the others. A subsystem is added by a file and a line in `serve.rs`.
use crate::transport::{Reactor, Registered};
use cranesill::api::Time;
use cranesill_daemon::Daemon;
use rustls::ServerConnection;
use serde_json::Value;
use std::net::TcpStream;
use std::sync::Arc;

use super::tls::{Proof, Table};

/// Bits of a key below those that name its driver; 0 there are the front's own.
const SLOT_BITS: u32 = 40;

/// Something that concerns others than the driver that brought it about.
pub enum Effect {
    /// A handshake is complete: the connection is a client's.
    Client(Registered<TcpStream>, Box<ServerConnection>),
    /// These certificates are served from now on.
    Certificates(Arc<Table>),
    /// Control of a name is shown in handshakes, or no longer.
    Prove(String, Option<Arc<Proof>>),
    /// Purges are on from now on; everything may have been purged up to a moment in Unix milliseconds.
    Floors(cranesill_daemon::Purges, Option<u64>),
    /// Everything may have been purged up to a moment in Unix milliseconds.
    Everything(u64),
    /// The writer of the ledger was heard of, and all that it has is here.
    Contact,
    /// Purges that count from now on.
    Purged(Vec<cranesill_purges::Purge>),
    /// Members that are listed, with their kind and where they listen (`None`: gone); `true`: all that there are.
    Members(Vec<(u64, u8, Option<std::net::SocketAddr>)>, bool),
    /// All boxes have carried out everything up to this number.
    Confirmed(u64),
    /// A member served what it had been asked not to.
    Lied(u64),
    /// Purges from before this moment, in Unix milliseconds, are over.
    Horizon(u64),
    /// Patterns to be put together, and those that were.
    Compile(Vec<(Box<str>, cranesill_purges::matching::Mark)>),
    /// Patterns that were put together.
    Compiled(Box<Result<cranesill_purges::matching::Set, String>>),
    /// A word of an operator, with a number for its answer.
    Word(u64, String, Value),
    /// The answer to an operator.
    Answer(u64, Result<Value, String>),
}

/// What a driver may use in its turn.
pub struct Turn<'a> {
    /// Now.
    pub now: Time,
    /// Watches sources.
    pub reactor: &'a Reactor,
    /// For others.
    pub effects: &'a mut Vec<Effect>,
    /// Of this driver: which it is, and the last key that it gave out.
    pub slot: (usize, &'a mut usize),
}

impl Turn<'_> {
    /// A new key of this driver's.
    pub fn key(&mut self) -> usize {
        *self.slot.1 += 1;
        (self.slot.0 << SLOT_BITS) | *self.slot.1
    }
}

/// The driver to whose range a key belongs; 0: the front itself.
pub fn slot_of(key: usize) -> usize {
    key >> SLOT_BITS
}

/// A subsystem on the loop. Nothing here may wait.
pub trait Driver {
    /// A source can be read or written.
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, readable: bool, writable: bool);
    /// The moment told by [`Driver::next`] has come.
    fn due(&mut self, turn: &mut Turn<'_>);
    /// The next moment at which something is due.
    fn next(&self) -> Option<Time>;
    /// Something came about elsewhere.
    fn told(&mut self, turn: &mut Turn<'_>, effect: &Effect);
    /// Words for operators that it takes, each with a line of help.
    fn words(&self) -> Vec<(&'static str, &'static str)> {
        Vec::new()
    }
    /// The settings were read again.
    fn reload(&mut self, _turn: &mut Turn<'_>, _settings: &Daemon) {}
    /// SIGTERM: nothing new is begun.
    fn leave(&mut self) {}
}
