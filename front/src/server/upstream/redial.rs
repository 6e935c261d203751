//! Attempts for which this machine could not begin a connection: they are retried after a short pause. Such a failure says
//! nothing of the endpoint, and nothing of the request was written. No I/O and no clock.
use super::Target;
use crate::routing::{AttemptId, Fetch};
use cranesill::api::{EndpointId, Micros, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Pause between two retries.
const RETRY_INTERVAL: Micros = 5_000;
/// Requests for an endpoint that could not be connected to for this long go elsewhere at once.
const MAX_FAILING_TIME: Micros = 250_000;
/// After this long without a failure the next one counts as the first.
const FAILURE_RESET_INTERVAL: Micros = 100_000;

#[derive(Debug)]
struct Waiting {
    target: Target,
    fetch: Fetch,
}

/// Since when connecting to an endpoint fails, and when it failed last.
#[derive(Clone, Copy, Debug)]
struct FailurePeriod {
    since: Timestamp,
    last: Timestamp,
}

/// The attempts that wait for a retry.
#[derive(Debug, Default)]
pub struct Redials {
    waiting: BTreeMap<AttemptId, Waiting>,
    failing: HashMap<EndpointId, FailurePeriod>,
    /// When the next retry is due.
    due: Option<Timestamp>,
}

impl Redials {
    /// Notes that a connection to this endpoint was begun.
    pub fn record_success(&mut self, endpoint: EndpointId) {
        self.failing.remove(&endpoint);
    }

    /// Notes that a connection to this endpoint could not be begun. Returns whether an attempt may wait for a retry.
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

    /// Holds an attempt until the next retry.
    pub fn wait(&mut self, now: Timestamp, target: Target, fetch: &Fetch) {
        let waiting = Waiting {
            target,
            fetch: fetch.clone(),
        };
        self.waiting.insert(target.attempt, waiting);
        self.due.get_or_insert(now + RETRY_INTERVAL);
    }

    /// Returns when the next retry is due; `None` while nothing waits.
    pub fn due(&self) -> Option<Timestamp> {
        self.due
    }

    /// Takes out all attempts if the retry is due; they are held again where it fails. Those whose deadline has passed are left
    /// to be withdrawn.
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

    /// Takes an attempt out. Returns whether it was held.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        self.waiting.remove(&attempt).is_some()
    }

    /// Takes out the attempts that are for this endpoint or name it as the source for a fill.
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
