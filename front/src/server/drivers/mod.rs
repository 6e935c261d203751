//! What a subsystem is to the loop: sources under a range of keys of its own, one next moment, and effects by which
//! it reaches the others. A subsystem is added by a file here and a line in `serve.rs`; effects of its own are a group of
//! their own.
pub mod certs;
pub mod control;
mod effect;
pub mod ops;
pub mod peers;
pub mod purges;
mod served;
pub mod snapshot;
pub mod tls;

pub use effect::{Effect, Purging, Secured};

use crate::transport::Reactor;
use cranesill::api::Timestamp;
use cranesill_daemon::Daemon;

/// Bits of a key below those that name its driver; 0 there are the front's own.
const SLOT_BITS: u32 = 40;

/// What a driver may use in its turn.
pub struct Turn<'a> {
    /// Now.
    pub now: Timestamp,
    /// By how many milliseconds `now` is behind the clock of the list service, as far as that is known.
    pub behind_ms: u64,
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
    fn next(&self) -> Option<Timestamp>;
    /// Something came about elsewhere.
    fn told(&mut self, turn: &mut Turn<'_>, effect: &Effect);
    /// Words for operators that it takes, each with a line of help.
    fn words(&self) -> Vec<(&'static str, &'static str)> {
        Vec::new()
    }
    /// The settings were read again.
    fn reload(&mut self, _turn: &mut Turn<'_>, _settings: &Daemon) {}
    /// SIGTERM: nothing new is begun.
    fn drain(&mut self) {}
}
