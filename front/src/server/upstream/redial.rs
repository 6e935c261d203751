//! Attempts for which this host could not start a connection, retried after a short delay. Such a failure gives no information about
//! the endpoint, and no part of the request was written. No I/O and no clock.
use super::Target;
use crate::routing::{AttemptId, Fetch};
use cranesill::api::{EndpointId, Micros, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Delay until the waiting attempts are retried.
const RETRY_INTERVAL: Micros = 5_000;
/// If connecting to an endpoint has failed for this time, further attempts fail immediately so that requests use other endpoints.
const MAX_FAILING_TIME: Micros = 250_000;
/// A failure period ends after this time without a failure.
const FAILURE_RESET_INTERVAL: Micros = 100_000;

/// An attempt that waits for a retry.
#[derive(Debug)]
struct Waiting {
    target: Target,
    fetch: Fetch,
}

/// The first and the last failure of a period in which connecting to an endpoint fails.
#[derive(Clone, Copy, Debug)]
struct FailurePeriod {
    since: Timestamp,
    last: Timestamp,
}

/// All attempts that wait for a retry.
#[derive(Debug, Default)]
pub struct Redials {
    waiting: BTreeMap<AttemptId, Waiting>,
    failing: HashMap<EndpointId, FailurePeriod>,
    /// When the next retry is due.
    due: Option<Timestamp>,
}

impl Redials {
    /// Records that a connection to this endpoint was started.
    pub fn record_success(&mut self, endpoint: EndpointId) {
        self.failing.remove(&endpoint);
    }

    /// Records that a connection to this endpoint could not be started. Returns whether an attempt may wait for a retry.
    pub fn record_failure(&mut self, now: Timestamp, endpoint: EndpointId) -> bool {
        self.failing
            .retain(|_, failing| now <= failing.last + FAILURE_RESET_INTERVAL);
        let failing = self.failing.entry(endpoint).or_insert(FailurePeriod {
            since: now,
            last: now,
        });
        failing.last = now;
        now < failing.since + MAX_FAILING_TIME
    }

    /// Adds an attempt that waits for the next retry.
    pub fn wait(&mut self, now: Timestamp, target: Target, fetch: &Fetch) {
        let waiting = Waiting {
            target,
            fetch: fetch.clone(),
        };
        self.waiting.insert(target.attempt, waiting);
        self.due.get_or_insert(now + RETRY_INTERVAL);
    }

    /// Returns when the next retry is due; `None` while no attempt waits.
    pub fn due(&self) -> Option<Timestamp> {
        self.due
    }

    /// Removes and returns all waiting attempts if the retry is due; the caller adds them again if it fails. Attempts whose write
    /// deadline has passed are left to be withdrawn.
    pub fn take(&mut self, now: Timestamp) -> Vec<(Target, Fetch)> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        let (late, waiting): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, waiting)| waiting.target.write_deadline < now);
        self.waiting = late;
        waiting
            .into_values()
            .map(|waiting| (waiting.target, waiting.fetch))
            .collect()
    }

    /// Removes an attempt. Returns whether it was waiting.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        self.waiting.remove(&attempt).is_some()
    }

    /// Removes and returns the attempts that are for this endpoint or name it as the source for a fill.
    pub fn exclude(&mut self, endpoint: EndpointId) -> Vec<AttemptId> {
        let source = |fetch: &Fetch| fetch.fill.and_then(|fill| fill.source);
        let concerns = |waiting: &Waiting| {
            waiting.target.endpoint == endpoint || source(&waiting.fetch) == Some(endpoint)
        };
        let waiting = self.waiting.iter();
        let excluded = waiting.filter(|(_, waiting)| concerns(waiting));
        let excluded: Vec<_> = excluded.map(|(attempt, _)| *attempt).collect();
        for attempt in &excluded {
            self.waiting.remove(attempt);
        }
        excluded
    }
}

#[cfg(test)]
mod tests;
