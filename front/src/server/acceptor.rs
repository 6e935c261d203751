//! Backoff after failed calls to `accept`, and an estimate of how long accepted connections waited in the accept queue because of
//! them. No I/O and no clock.
use crate::transport::AcceptFault;
use cranesill::api::{Micros, Timestamp};

/// Failed calls in one turn of the event loop after which the listener pauses, so that it does not monopolize the loop.
const MAX_FAILURES_IN_TURN: usize = 8;
/// The first and the longest pause; consecutive pauses double.
const MIN_PAUSE: Micros = 5_000;
const MAX_PAUSE: Micros = 20_000;
/// A system-wide shortage of descriptors counts as lasting after this time.
const LASTING_SHORTAGE: Micros = 1_000_000;
/// Part of the time in the accept queue that is not deducted from the time limit of requests: they may have arrived late in it.
const UNCHARGED_DELAY: Micros = 50_000;

/// When to repeat a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptRetry {
    /// Immediately.
    Now,
    /// At this time; the listener is not polled until then.
    At(Timestamp),
}

/// Backoff state of a listener.
#[derive(Debug, Default)]
pub struct AcceptBackoff {
    /// When calls started to fail; connections may have been in the accept queue since then.
    failing_since: Option<Timestamp>,
    /// Whether the listener must not be polled.
    paused: bool,
    /// Length of the last pause; 0 if the last call succeeded.
    pause: Micros,
    /// Failed calls in the current turn of the event loop.
    failures_in_turn: usize,
}

impl AcceptBackoff {
    /// Starts a turn of the event loop.
    pub fn begin_turn(&mut self) {
        self.failures_in_turn = 0;
    }

    /// Whether the listener is paused.
    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// Ends the pause.
    pub fn resume(&mut self) {
        self.paused = false;
    }

    /// Records an accepted connection. Returns how long it may have been in the accept queue because of earlier failures.
    pub fn accepted(&mut self, now: Timestamp) -> Micros {
        self.pause = 0;
        let waited = self
            .failing_since
            .map_or(0, |since| now.saturating_sub(since));
        waited.saturating_sub(UNCHARGED_DELAY)
    }

    /// Records that the accept queue is empty.
    pub fn emptied(&mut self) {
        self.failing_since = None;
        self.pause = 0;
    }

    /// Records a failed call. Returns when to repeat it.
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

    /// Whether calls have been failing for so long that the shortage is unlikely to end by itself.
    pub fn is_lasting(&self, now: Timestamp) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + LASTING_SHORTAGE)
    }
}

#[cfg(test)]
mod tests;
