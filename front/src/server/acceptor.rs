//! When the clients' listener is tried again after a failed `accept`, and how long a new connection may have waited
//! meanwhile. No I/O and no clock.
use crate::transport::AcceptFault;
use cranesill::api::{Micros, Timestamp};

/// Failed calls in one turn after which the listener rests: it would keep the loop to itself.
const MAX_FAILURES_IN_TURN: usize = 8;
/// The first rest of the listener, and the longest: each is twice as long as the one before.
const MIN_REST: Micros = 5_000;
const MAX_REST: Micros = 20_000;
/// A shortage of the whole system is taken for a lasting one after this long.
const LASTING: Micros = 1_000_000;
/// A wait in the system's queue that is not taken off the time of a request: it may have come at its end.
const UNCHARGED: Micros = 50_000;

/// What is to be done after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Accept again at once.
    Retry,
    /// Rest until then.
    Rest(Timestamp),
}

/// State of a listener whose calls to `accept` may fail.
#[derive(Debug, Default)]
pub struct AcceptBackoff {
    /// Since when connections may wait in the system's queue because a call failed.
    failing_since: Option<Timestamp>,
    /// The listener is not to be watched.
    resting: bool,
    /// The last rest; 0: the last call did not fail.
    rest: Micros,
    failures_in_turn: usize,
}

impl AcceptBackoff {
    /// A turn of the loop begins to accept.
    pub fn begin_turn(&mut self) {
        self.failures_in_turn = 0;
    }

    /// Whether the listener rests now.
    pub fn is_resting(&self) -> bool {
        self.resting
    }

    /// The rest is over.
    pub fn resume(&mut self) {
        self.resting = false;
    }

    /// A connection was accepted. Returns how much of its client's time it may have spent in the system's queue because of
    /// failures before.
    pub fn accepted(&mut self, now: Timestamp) -> Micros {
        self.rest = 0;
        let waited = self
            .failing_since
            .map_or(0, |since| now.saturating_sub(since));
        waited.saturating_sub(UNCHARGED)
    }

    /// Nobody waits in the system's queue.
    pub fn emptied(&mut self) {
        (self.failing_since, self.rest) = (None, 0);
    }

    /// A call failed.
    pub fn failed(&mut self, now: Timestamp, fault: AcceptFault) -> Next {
        self.failing_since.get_or_insert(now);
        self.failures_in_turn += 1;
        if fault == AcceptFault::Connection && self.failures_in_turn < MAX_FAILURES_IN_TURN {
            return Next::Retry;
        }
        self.rest = (self.rest * 2).clamp(MIN_REST, MAX_REST);
        self.resting = true;
        Next::Rest(now + self.rest)
    }

    /// Whether a shortage has gone on for so long that it does not seem to pass by itself.
    pub fn is_lasting(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + LASTING)
    }
}

#[cfg(test)]
mod tests;
