//! Checkers of the invariants of a fleet, based on the history and the published events.
mod checker;
mod context;
mod warm_up;

pub use context::context;
pub use warm_up::{warm_up_violations, WarmUpLimits};

use crate::history::Observation;
use crate::list_event::Event;
use checker::Checker;
use std::time::Duration;

/// Time limits of the invariants, including the tolerance for a busy test machine.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From the event that drains a node until no new attempt may go to it.
    pub drain: Duration,
    /// From a purge event until no response may come from an older copy.
    pub purge: Duration,
    /// From a client's request until its response.
    pub response: Duration,
    /// How long an attempt may outlast the start of the next one, which is on another connection.
    pub overlap: Duration,
    /// Whether a restarted front has the list from its disk and is bound by events that it received before.
    pub lists_on_disk: bool,
}

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time in the history.
    pub at: Duration,
    /// Name of the invariant.
    pub rule: &'static str,
    /// Transaction id of the affected request.
    pub txn: u64,
    /// Description with the affected front or node.
    pub text: String,
}

/// Finds all violations; `event` returns the event with a number.
pub fn violations<'a>(
    history: &[(Duration, Observation)],
    event: impl Fn(u64) -> Option<&'a Event>,
    limits: &Limits,
) -> Vec<Violation> {
    let mut checker = Checker::new(limits);
    for (now, seen) in history {
        checker.observe(*now, *seen, &event);
    }
    checker.finish()
}

#[cfg(test)]
mod tests;
