//! Attempts for which this machine could not begin a connection: they wait a moment and try again. Such a failure says nothing
//! of the node, and nothing of the request was written. No I/O and no clock.
use super::Target;
use crate::routing::{AttemptId, Fetch};
use cranesill::api::{EndpointId, Micros, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Pause between two tries.
const RETRY_INTERVAL: Micros = 5_000;
/// A node that could not be dialled for this long is not waited for: its requests go elsewhere at once.
const MAX_WAIT: Micros = 250_000;
/// After so long without a failure the next one is the first again.
const FORGOTTEN: Micros = 100_000;

#[derive(Debug)]
struct Waiting {
    target: Target,
    fetch: Fetch,
}

/// Since when a node can't be dialled, and when that was tried last.
#[derive(Clone, Copy, Debug)]
struct Failing {
    since: Timestamp,
    last: Timestamp,
}

/// The attempts that wait, each with the node that it is for.
#[derive(Debug, Default)]
pub struct Redials {
    waiting: BTreeMap<AttemptId, Waiting>,
    failing: HashMap<EndpointId, Failing>,
    /// When the next try is due.
    due: Option<Timestamp>,
}

impl Redials {
    /// A connection to this node was begun.
    pub fn dialled(&mut self, to: EndpointId) {
        self.failing.remove(&to);
    }

    /// A connection to this node could not be begun. Whether an attempt may wait for the next try.
    pub fn may_wait(&mut self, now: Timestamp, to: EndpointId) -> bool {
        self.failing
            .retain(|_, failing| now <= failing.last + FORGOTTEN);
        let failing = self.failing.entry(to).or_insert(Failing {
            since: now,
            last: now,
        });
        failing.last = now;
        now < failing.since + MAX_WAIT
    }

    /// An attempt waits until the next try.
    pub fn wait(&mut self, now: Timestamp, target: Target, fetch: &Fetch) {
        let waiting = Waiting {
            target,
            fetch: fetch.clone(),
        };
        self.waiting.insert(target.attempt, waiting);
        self.due.get_or_insert(now + RETRY_INTERVAL);
    }

    /// When the next try is due; `None`: nothing waits.
    pub fn due(&self) -> Option<Timestamp> {
        self.due
    }

    /// Takes out all that wait if the next try is due: they wait again where it fails. What had to be begun before now is left
    /// to be withdrawn.
    pub fn take(&mut self, now: Timestamp) -> Vec<(Target, Fetch)> {
        if self.due.is_none_or(|due| now < due) {
            return Vec::new();
        }
        self.due = None;
        let (late, waiting): (BTreeMap<_, _>, BTreeMap<_, _>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|(_, one)| one.target.write_deadline < now);
        self.waiting = late;
        waiting
            .into_values()
            .map(|one| (one.target, one.fetch))
            .collect()
    }

    /// An attempt waits no more. Whether it did.
    pub fn remove(&mut self, attempt: AttemptId) -> bool {
        self.waiting.remove(&attempt).is_some()
    }

    /// Attempts that were to go to this node, or to have it fill them, wait no more.
    pub fn exclude(&mut self, out: EndpointId) -> Vec<AttemptId> {
        let source = |fetch: &Fetch| fetch.fill.and_then(|fill| fill.source);
        let meant = self
            .waiting
            .iter()
            .filter(|(_, one)| one.target.endpoint == out || source(&one.fetch) == Some(out));
        let meant: Vec<_> = meant.map(|(attempt, _)| *attempt).collect();
        meant
            .iter()
            .for_each(|attempt| drop(self.waiting.remove(attempt)));
        meant
    }
}

#[cfg(test)]
mod tests;
