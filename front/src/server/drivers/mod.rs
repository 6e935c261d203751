//! The interface between the event loop and its subsystems. A driver has a range of poller keys of its own, one next
//! deadline, and effects by which it sends messages to the others. A subsystem is added by a file here and a line in
//! `event_loop/assembly.rs`; its messages are a group of their own in `effect.rs`.
mod certificate_table;
pub mod certs;
pub mod control;
mod effect;
pub mod ops;
pub mod peers;
pub mod purges;
pub mod snapshot;
pub mod tls;

pub use effect::{AdminEffect, Effect, EndpointAddress, EndpointEffect, PurgeEffect, TlsEffect};

use crate::transport::Reactor;
use cranesill::api::Timestamp;
use cranesill_daemon::Daemon;

/// Lower bits of a poller key; those above them are the slot of its driver.
const SLOT_BITS: u32 = 40;

/// The poller keys of one driver. No other driver has any of them, and none is given twice.
#[derive(Debug)]
pub struct PollerKeys {
    /// The driver's slot: the upper part of its keys.
    slot: usize,
    last: usize,
}

impl PollerKeys {
    /// The keys of the driver in `slot`. Slots count from 1.
    pub fn new(slot: usize) -> Self {
        PollerKeys { slot, last: 0 }
    }

    fn take_next(&mut self) -> usize {
        self.last += 1;
        (self.slot << SLOT_BITS) | self.last
    }
}

/// What a driver may use while the loop calls it. A turn of the loop gives each driver that has something to do one of
/// these; it ends with the call, so nothing of it can be kept.
pub struct Turn<'a> {
    /// When the turn began; it does not advance within the turn.
    pub now: Timestamp,
    /// By how many milliseconds this machine's clock is behind that of the list service, as far as that is known.
    pub behind_ms: u64,
    /// Watches sockets for the driver.
    pub reactor: &'a Reactor,
    /// Messages to other subsystems, carried out after the call.
    pub effects: &'a mut Vec<Effect>,
    /// The driver's poller keys.
    pub keys: &'a mut PollerKeys,
}

impl Turn<'_> {
    /// Returns a poller key that no other source has had.
    pub fn key(&mut self) -> usize {
        self.keys.take_next()
    }
}

/// Returns the slot of the driver to which a poller key belongs; 0 stands for the front itself.
pub fn slot_of(key: usize) -> usize {
    key >> SLOT_BITS
}

/// A subsystem on the event loop. No call may block.
pub trait Driver {
    /// A source can be read or written.
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, readable: bool, writable: bool);
    /// The deadline that [`Driver::next`] returned has passed.
    fn due(&mut self, turn: &mut Turn<'_>);
    /// Returns the driver's next deadline, if it has one.
    fn next(&self) -> Option<Timestamp>;
    /// Another subsystem has sent a message; most concern other drivers and are ignored.
    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect);
    /// Returns the operators' commands that this driver carries out, each with a line of help.
    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        Vec::new()
    }
    /// The settings were read again.
    fn reload(&mut self, _turn: &mut Turn<'_>, _settings: &Daemon) {}
    /// The process shuts down after SIGTERM: nothing new is begun.
    fn drain(&mut self) {}
}
