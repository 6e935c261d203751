//! What was seen, in order.
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Something that was seen at a stand-in or done by the test. Fronts go by their number, nodes by their id, requests by theirs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The list service accepted a connection.
    Call,
    /// A front named the last event that it holds, and is served from there.
    Subscribed(u64),
    /// The connection of a front that was served has ended.
    SubscriptionEnded,
    /// The test changed something.
    ModeChanged,
    /// An event was written to a front.
    EventSent(usize, u64),
    /// A front was killed: it knows nothing more than its configuration.
    Killed(usize),
    /// A front was stopped.
    Stopped(usize),
    /// A front that was stopped goes on, or one that was killed is there again.
    Resumed(usize),
    /// A front is not reached by the list service from now on, in one direction or both.
    FeedImpaired(usize),
    /// It is again.
    FeedRestored(usize),
    /// What is said to a node may not arrive, or late, from now on; by a link of a side (from 1 on) or by itself (0).
    NodeImpaired(u32, usize),
    /// It does again, as far as that is concerned.
    NodeRestored(u32, usize),
    /// A node accepted a connection.
    Accepted(u32),
    /// A request came to a node.
    Attempt {
        /// To whom it came.
        node: u32,
        /// Which it is.
        txn: u64,
        /// Whether it is one that must not run twice.
        write: bool,
        /// The object.
        item: u64,
        /// Whom it names to fill a miss, or 0.
        source: u32,
    },
    /// What a request that came to a node said of the time that its client has left.
    TimeLeft {
        /// Which request.
        txn: u64,
        /// The time left, in milliseconds.
        left_ms: u64,
        /// The node may have read it later than it came, by this at most: the machine may be busy.
        read_delay: Duration,
    },
    /// A node had no place for a connection, and closed it.
    ConnectionRejected(u32),
    /// A request that must not run twice was run.
    Executed(u64),
    /// A node was told that nobody waits any more.
    Aborted(u32, u64),
    /// The connection on which a request came to a node has ended.
    ConnectionLost(u32, u64),
    /// A node answered, from a copy of that age in Unix milliseconds or from none (0).
    Responded(u32, u64, u64),
    /// A client asked a front.
    ClientRequest {
        /// Which front.
        front: usize,
        /// Its id.
        txn: u64,
    },
    /// The client was answered: 1 served, 2 refused, 3 failed.
    ClientResponse(usize, u64, u8),
    /// The client's connection ended before it was answered, or the client gave up.
    ClientUnanswered(usize, u64),
}

/// Moments with what was seen at them.
type Moments = Mutex<Vec<(Duration, Observation)>>;

/// One history for all that a test starts; cheap to copy.
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
    /// Notes what was seen now.
    pub fn record(&self, seen: Observation) {
        let (all, more) = &*self.all;
        let mut all = all.lock().expect("no holder panics");
        // Under the lock: what is later in the history is not earlier in time.
        all.push((self.began.elapsed(), seen));
        more.notify_all();
    }

    /// Time since the history began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Moments at which this was seen.
    pub fn timestamps(&self, of: impl Fn(&Observation) -> bool) -> Vec<Duration> {
        let all = self.all.0.lock().expect("no holder panics");
        all.iter()
            .filter(|(_, seen)| of(seen))
            .map(|(at, _)| *at)
            .collect()
    }

    /// All that was seen, in order.
    pub fn observations(&self) -> Vec<(Duration, Observation)> {
        self.all.0.lock().expect("no holder panics").clone()
    }

    /// How many of these were seen.
    pub fn count(&self, of: impl Fn(&Observation) -> bool) -> usize {
        self.timestamps(of).len()
    }

    /// Waits until so many of these were seen, and returns when the last of them was. Panics with what was seen last if that
    /// takes longer than the guard.
    pub fn wait_for(
        &self,
        what: &str,
        count: usize,
        of: impl Fn(&Observation) -> bool,
    ) -> Duration {
        let until = Instant::now() + crate::WAIT_TIMEOUT;
        let (lock, more) = &*self.all;
        let mut all = lock.lock().expect("no holder panics");
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
            all = more.wait_timeout(all, left).expect("no holder panics").0;
        }
    }

    /// The most of these in any window of this length that begins at `from` or later, and when that window begins.
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
