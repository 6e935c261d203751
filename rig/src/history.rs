//! History of what stand-ins, clients and the test observed.
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Observation by a stand-in or a client, or an action of the test. Fronts have numbers, nodes and requests ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The list service accepted a connection.
    Call,
    /// A front sent the number of its last event and is served the events after it.
    Subscribed(u64),
    /// The connection of a subscribed front ended.
    SubscriptionEnded,
    /// The test changed the mode of the list service.
    ModeChanged,
    /// An event was sent to a front: front and event number.
    EventSent(usize, u64),
    /// A front was killed; it keeps nothing but its configuration and its files.
    Killed(usize),
    /// A front received SIGTERM. Its clients go on using their open connections.
    Terminated(usize),
    /// A front that had received SIGTERM exited by itself.
    Exited(usize),
    /// A front was stopped with SIGSTOP.
    Stopped(usize),
    /// A stopped front was continued, or a killed one was restarted.
    Resumed(usize),
    /// The link between a front and the list service is impaired from now on, in one direction or both.
    FeedImpaired(usize),
    /// That link works again.
    FeedRestored(usize),
    /// Messages to a node may be lost or late from now on: node and link group (from 1 on), or 0 if the node itself is the cause.
    NodeImpaired(u32, usize),
    /// That impairment ended.
    NodeRestored(u32, usize),
    /// A node accepted a connection.
    Accepted(u32),
    /// An attempt of a request arrived at a node.
    Attempt {
        /// Id of the node.
        node: u32,
        /// Transaction id.
        txn: u64,
        /// Whether the request must not be executed twice.
        write: bool,
        /// Object id.
        item: u64,
        /// Source for filling a miss, or 0.
        source: u32,
    },
    /// Remaining time of the client as sent with a request to a node.
    TimeLeft {
        /// Transaction id.
        txn: u64,
        /// Remaining time in milliseconds.
        left_ms: u64,
        /// Upper bound of the time between arrival and reading, which may be long on a busy machine.
        read_delay: Duration,
    },
    /// A node closed a connection because of its connection limit.
    ConnectionRejected(u32),
    /// A node executed a request that must not be executed twice.
    Executed(u64),
    /// A node received a cancellation: node and transaction id.
    Aborted(u32, u64),
    /// The connection on which a node had received a request ended: node and transaction id.
    ConnectionLost(u32, u64),
    /// A node responded: node, transaction id and creation time of the copy in Unix milliseconds (0: no copy).
    Responded(u32, u64, u64),
    /// A client sent a request to a front.
    ClientRequest {
        /// Number of the front.
        front: usize,
        /// Transaction id.
        txn: u64,
    },
    /// A client received a response: front, transaction id and code (1 served, 2 rejected, 3 failed).
    ClientResponse(usize, u64, u8),
    /// A client's connection ended or timed out before the response: front and transaction id.
    ClientUnanswered(usize, u64),
}

/// Observations with their times since the start of the history.
type Moments = Mutex<Vec<(Duration, Observation)>>;

/// History shared by everything that a test starts; clones refer to the same history.
#[derive(Clone)]
pub struct History {
    began: Instant,
    all: Arc<(Moments, Condvar)>,
}

impl Default for History {
    fn default() -> Self {
        History {
            began: Instant::now(),
            all: Arc::default(),
        }
    }
}

impl History {
    /// Records an observation at the current time.
    pub fn record(&self, seen: Observation) {
        let (all, more) = &*self.all;
        let mut all = all.lock().expect("lock poisoned");
        // The time is taken under the lock, so that times in the history never decrease.
        all.push((self.began.elapsed(), seen));
        more.notify_all();
    }

    /// Time since the start of the history.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Times of the matching observations.
    pub fn timestamps(&self, of: impl Fn(&Observation) -> bool) -> Vec<Duration> {
        let all = self.all.0.lock().expect("lock poisoned");
        all.iter()
            .filter(|(_, seen)| of(seen))
            .map(|(at, _)| *at)
            .collect()
    }

    /// All observations in order.
    pub fn observations(&self) -> Vec<(Duration, Observation)> {
        self.all.0.lock().expect("lock poisoned").clone()
    }

    /// Number of matching observations.
    pub fn count(&self, of: impl Fn(&Observation) -> bool) -> usize {
        self.timestamps(of).len()
    }

    /// Waits for `count` matching observations and returns the time of the last of them. Panics with the latest observations
    /// after [`crate::WAIT_TIMEOUT`].
    pub fn wait_for(
        &self,
        what: &str,
        count: usize,
        of: impl Fn(&Observation) -> bool,
    ) -> Duration {
        let until = Instant::now() + crate::WAIT_TIMEOUT;
        let (lock, more) = &*self.all;
        let mut all = lock.lock().expect("lock poisoned");
        loop {
            let found: Vec<_> = all
                .iter()
                .filter(|(_, seen)| of(seen))
                .map(|(at, _)| *at)
                .collect();
            if let Some(at) = count.checked_sub(1).and_then(|last| found.get(last)) {
                return *at;
            }
            let left = until.saturating_duration_since(Instant::now());
            let tail = all.len().saturating_sub(20);
            assert!(
                !left.is_zero(),
                "{what}: {} of {count}; last seen {:#?}",
                found.len(),
                &all[tail..]
            );
            all = more.wait_timeout(all, left).expect("lock poisoned").0;
        }
    }

    /// Largest number of matching observations in any window of this length that starts within `from..to`, and its start.
    pub fn max_in_window(
        &self,
        from: Duration,
        to: Duration,
        window: Duration,
        of: impl Fn(&Observation) -> bool,
    ) -> (usize, Duration) {
        let all: Vec<_> = self
            .timestamps(of)
            .into_iter()
            .filter(|at| (from..to).contains(at))
            .collect();
        let count = |at: &Duration| {
            all.iter()
                .filter(|other| (*at..*at + window).contains(other))
                .count()
        };
        all.iter()
            .map(|at| (count(at), *at))
            .max()
            .unwrap_or((0, from))
    }
}

#[cfg(test)]
mod tests;
