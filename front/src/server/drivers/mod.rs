//! Drivers: the subsystems that run on the event loop. Each has its own range of poller keys and one next deadline, and
//! sends messages to the others as effects. To add one, implement [`Driver`] in a module here, start it in
//! `event_loop/assembly.rs`, and add its messages to `effect.rs`.
mod certificate_table;
pub mod certs;
pub mod control;
mod effect;
pub mod ops;
mod ownership;
pub mod peers;
pub mod purges;
pub mod snapshot;
pub mod tls;

pub use effect::{
    AdminEffect, Effect, EndpointAddress, EndpointEffect, ProcessEffect, PurgeEffect, TlsEffect,
};

use crate::transport::Reactor;
use cranesill::api::Timestamp;
use cranesill_daemon::Daemon;

/// Number of low bits of a poller key that identify a source; the bits above are the slot of its driver.
const SLOT_BITS: u32 = 40;

/// Allocates the poller keys of one driver. Keys are unique among all drivers and never reused.
#[derive(Debug)]
pub struct PollerKeys {
    /// Slot of the driver, the upper part of its keys.
    slot: usize,
    last: usize,
}

impl PollerKeys {
    /// Creates the allocator of the driver in `slot`. Slots count from 1.
    pub fn new(slot: usize) -> Self {
        PollerKeys { slot, last: 0 }
    }

    fn take_next(&mut self) -> usize {
        self.last += 1;
        (self.slot << SLOT_BITS) | self.last
    }
}

/// Context of one call of a driver within a turn of the event loop.
pub struct Turn<'a> {
    /// Time at which the turn began. It does not advance within the turn.
    pub now: Timestamp,
    /// Time by which this machine's clock is behind that of the list service; 0 if unknown.
    pub behind_ms: u64,
    /// Poller for the driver's sockets.
    pub reactor: &'a Reactor,
    /// Messages to other subsystems, delivered after the call.
    pub effects: &'a mut Vec<Effect>,
    /// Allocator of the driver's poller keys.
    pub keys: &'a mut PollerKeys,
}

impl Turn<'_> {
    /// Returns an unused poller key.
    pub fn key(&mut self) -> usize {
        self.keys.take_next()
    }
}

/// Returns the slot of the driver to which a poller key belongs; 0 for the front itself.
pub fn slot_of(key: usize) -> usize {
    key >> SLOT_BITS
}

/// A subsystem on the event loop. No call may block.
pub trait Driver {
    /// Handles a source that is ready to be read or written.
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, readable: bool, writable: bool);
    /// Called once the deadline returned by [`Driver::next`] has passed.
    fn due(&mut self, turn: &mut Turn<'_>);
    /// Returns the driver's next deadline, if it has one.
    fn next(&self) -> Option<Timestamp>;
    /// Handles a message of another subsystem. A driver ignores those that do not concern it.
    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect);
    /// Returns the operators' commands that this driver carries out, each with its help text.
    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        Vec::new()
    }
    /// Applies reloaded settings.
    fn reload(&mut self, _turn: &mut Turn<'_>, _settings: &Daemon) {}
    /// Whether this process may accept clients that another process accepted before, as far as the driver is concerned.
    fn may_accept_clients(&self) -> bool {
        true
    }
    /// Called when the process shuts down after SIGTERM. The driver accepts no further connections.
    fn drain(&mut self) {}
}
