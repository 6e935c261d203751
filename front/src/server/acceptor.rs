//! Backoff of a listener whose `accept` fails, and how long a new connection may have waited meanwhile. No I/O and no clock.
use crate::transport::AcceptFault;
use cranesill::api::{Micros, Timestamp};

/// Failed calls in one turn after which the listener rests: it would take up the whole loop.
const MAX_FAILURES_IN_TURN: usize = 8;
/// The first rest of the listener, and the longest: each is twice as long as the one before.
const MIN_PAUSE: Micros = 5_000;
const MAX_PAUSE: Micros = 20_000;
/// A shortage of the whole system counts as lasting after this long.
const LASTING_SHORTAGE: Micros = 1_000_000;
/// Part of the wait in the system's queue that is not charged to requests: they may have come at its end.
const UNCHARGED_DELAY: Micros = 50_000;

/// What to do after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptRetry {
    /// Accept again at once.
    Now,
    /// Rest until then.
    At(Timestamp),
}

/// State of a listener whose calls to `accept` may fail.
#[derive(Debug, Default)]
pub struct AcceptBackoff {
    /// Since when connections may wait in the system's queue because a call failed.
    failing_since: Option<Timestamp>,
    /// Whether the listener is not to be watched.
    paused: bool,
    /// How long the last rest was; 0 if the last call did not fail.
    pause: Micros,
    failures_in_turn: usize,
}

impl AcceptBackoff {
    /// Begins a turn of the loop.
    pub fn begin_turn(&mut self) {
        self.failures_in_turn = 0;
    }

    /// Whether the listener rests now.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Ends the rest.
    pub fn resume(&mut self) {
        self.paused = false;
    }

    /// Notes that a connection was accepted. Returns how long it may have been in the system's queue because of failures before.
    pub fn accepted(&mut self, now: Timestamp) -> Micros {
        self.pause = 0;
        let waited = self
            .failing_since
            .map_or(0, |since| now.saturating_sub(since));
        waited.saturating_sub(UNCHARGED_DELAY)
    }

    /// Notes that the system's queue is empty.
    pub fn emptied(&mut self) {
        self.failing_since = None;
        self.pause = 0;
    }

    /// Notes that a call failed. Returns when to make the next.
    pub fn failed(&mut self, now: Timestamp, fault: AcceptFault) -> AcceptRetry {
        self.failing_since.get_or_insert(now);
        self.failures_in_turn += 1;
        if fault == AcceptFault::Connection && self.failures_in_turn < MAX_FAILURES_IN_TURN {
            return AcceptRetry::Now;
        }
        self.pause = (self.pause * 2).clamp(MIN_PAUSE, MAX_PAUSE);
        self.paused = true;
        AcceptRetry::At(now + self.pause)
    }

    /// Whether a shortage has lasted so long that it does not seem to pass by itself.
    pub fn is_lasting(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + LASTING_SHORTAGE)
    }
}

#[cfg(test)]
mod tests;
