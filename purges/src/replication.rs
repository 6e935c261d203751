//! Replication of the purge log to cache nodes: which node has confirmed what, and what it is sent next. A node gets the
//! purges in order, one batch at a time; slow nodes do not hold up fast ones, and the rate over the fleet is limited.
use crate::log::MAX_BATCH_PURGES;
use crate::{Micros, PurgeNumber, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A batch that is not confirmed after this long counts as lost, and its purges are sent again.
const CONFIRMATION_TIMEOUT: Micros = 5_000_000;
/// Backoff after the first loss; it doubles with each further one.
const INITIAL_BACKOFF: Micros = 100_000;
/// Longest backoff.
const MAX_BACKOFF: Micros = 10_000_000;
/// A node counts as slow if its last batch took longer than this.
const SLOW_BATCH_THRESHOLD: Micros = 1_000_000;
/// Most batches in flight at once.
const MAX_BATCHES_IN_FLIGHT: usize = 64;
/// Most batches in flight to slow nodes, so that they do not take all the slots.
const MAX_SLOW_BATCHES_IN_FLIGHT: usize = 8;
/// Shortest time between two wake-ups.
const MIN_WAKEUP_INTERVAL: Micros = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// Identifies a cache node.
pub type NodeId = u64;

/// Purges to send to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The node.
    pub node: NodeId,
    /// The number before the first purge of the batch.
    pub after: PurgeNumber,
    /// The number of the last purge of the batch.
    pub through: PurgeNumber,
}

/// What a node reports when it is connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// The identity of the log whose purges it has applied.
    pub log: u64,
    /// It has applied every purge up to this number.
    pub applied: PurgeNumber,
    /// Whether it has no copies at all.
    pub empty: bool,
}

/// A batch that was sent and is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct BatchInFlight {
    through: PurgeNumber,
    sent_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct NodeState {
    /// The node has applied every purge up to this number.
    confirmed: PurgeNumber,
    in_flight: Option<BatchInFlight>,
    connected: bool,
    slow: bool,
    /// Losses since the last confirmation.
    failures: u32,
    /// Nothing is sent before this time.
    backoff_until: Timestamp,
    stale_copies: u64,
}

impl NodeState {
    fn back_off(&mut self, now: Timestamp) {
        self.failures += 1;
        let backoff = INITIAL_BACKOFF << (self.failures - 1).min(10);
        self.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    fn is_overdue(&self, now: Timestamp) -> bool {
        self.in_flight
            .is_some_and(|batch| now > batch.sent_at + CONFIRMATION_TIMEOUT)
    }

    fn is_ready(&self, now: Timestamp) -> bool {
        self.connected && self.in_flight.is_none() && now >= self.backoff_until
    }

    /// When the node may be sent something, or its batch counts as lost.
    fn next_wakeup(&self) -> Timestamp {
        match self.in_flight {
            Some(batch) => batch.sent_at + CONFIRMATION_TIMEOUT + 1,
            None => self.backoff_until,
        }
    }
}

/// The status of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The node.
    pub id: NodeId,
    /// It has applied every purge up to this number.
    pub confirmed: PurgeNumber,
    /// Whether it is connected.
    pub connected: bool,
    /// Whether its last batch took long.
    pub slow: bool,
    /// How often it served a copy that it had confirmed to be purged.
    pub stale_copies: u64,
}

/// The state of replication to all cache nodes.
#[derive(Clone, Debug)]
pub struct Replication {
    /// The identity of the log.
    identity: u64,
    nodes: BTreeMap<NodeId, NodeState>,
    /// The node that was sent a batch last: the next one is served first.
    last_served: NodeId,
    in_flight: usize,
    slow_in_flight: usize,
    /// Limit on the purges sent, over all nodes.
    purges_per_s: f64,
    /// Purges that may be sent now.
    tokens: f64,
    refilled_at: Timestamp,
}

impl Replication {
    /// Replication of the log `identity`, without nodes. At most `purges_per_s` purges a second are sent to all of them
    /// together.
    pub fn new(now: Timestamp, identity: u64, purges_per_s: f64) -> Self {
        let purges_per_s = purges_per_s.max(1.0);
        Replication {
            identity,
            nodes: BTreeMap::new(),
            last_served: 0,
            in_flight: 0,
            slow_in_flight: 0,
            purges_per_s,
            tokens: purges_per_s,
            refilled_at: now,
        }
    }

    /// Adds a node, which has confirmed nothing. A node that is known already keeps its state until it is connected.
    pub fn add_node(&mut self, id: NodeId) {
        self.nodes.entry(id).or_default();
    }

    /// Removes a node for good.
    pub fn remove_node(&mut self, id: NodeId) {
        self.end_batch(id);
        self.nodes.remove(&id);
    }

    /// A node was connected and has reported its state. `head` is the last number of the log. A node without copies has
    /// nothing to purge and starts there; a number of another log, or beyond `head`, counts as 0.
    pub fn connected(&mut self, id: NodeId, report: NodeReport, head: PurgeNumber) {
        self.end_batch(id);
        let is_valid = report.log == self.identity && report.applied <= head;
        if let Some(state) = self.nodes.get_mut(&id) {
            state.connected = true;
            state.backoff_until = 0;
            state.confirmed = match report {
                NodeReport { empty: true, .. } => head,
                NodeReport { applied, .. } if is_valid => applied,
                _ => 0,
            };
        }
    }

    /// The connection to a node broke, with the batch in flight on it.
    pub fn disconnected(&mut self, now: Timestamp, id: NodeId) {
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            state.connected = false;
            state.back_off(now);
        }
    }

    /// A node confirms that it has applied every purge up to a number. Returns whether that is the batch in flight;
    /// another number is ignored.
    pub fn confirmed(&mut self, now: Timestamp, id: NodeId, number: PurgeNumber) -> bool {
        let in_flight = self.nodes.get(&id).and_then(|state| state.in_flight);
        let Some(batch) = in_flight.filter(|batch| batch.through == number) else {
            return false;
        };
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            state.confirmed = number;
            state.failures = 0;
            state.slow = now.saturating_sub(batch.sent_at) > SLOW_BATCH_THRESHOLD;
        }
        true
    }

    /// A node served a copy older than a purge that it had confirmed: it is sent all purges of the log again.
    pub fn stale_copy_served(&mut self, now: Timestamp, id: NodeId) {
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            state.stale_copies += 1;
            state.confirmed = 0;
            state.back_off(now);
        }
    }

    /// Gives back the slot of a node's batch, if it has one in flight.
    fn end_batch(&mut self, id: NodeId) {
        let Some(state) = self.nodes.get_mut(&id) else {
            return;
        };
        if state.in_flight.take().is_some() {
            self.in_flight -= 1;
            self.slow_in_flight -= usize::from(state.slow);
        }
    }

    /// The batches to send now. `base` is the number before the first purge of the log, `head` its last number.
    pub fn next_batches(
        &mut self,
        now: Timestamp,
        base: PurgeNumber,
        head: PurgeNumber,
    ) -> Vec<Batch> {
        self.refill(now);
        self.end_overdue_batches(now);
        let mut batches = Vec::new();
        for id in self.service_order() {
            if self.in_flight >= MAX_BATCHES_IN_FLIGHT || self.tokens < 1.0 {
                break;
            }
            batches.extend(self.next_batch(now, id, base, head));
        }
        batches
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.tokens = (self.tokens + elapsed_s * self.purges_per_s).min(self.purges_per_s);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn end_overdue_batches(&mut self, now: Timestamp) {
        let nodes = self.nodes.iter();
        let overdue = nodes.filter(|(_, state)| state.is_overdue(now));
        let overdue: Vec<NodeId> = overdue.map(|(id, _)| *id).collect();
        for id in overdue {
            self.end_batch(id);
            if let Some(state) = self.nodes.get_mut(&id) {
                state.slow = true;
                state.back_off(now);
            }
        }
    }

    /// All nodes, from the one after the node that was served last.
    fn service_order(&self) -> Vec<NodeId> {
        let after = self.nodes.range(self.last_served + 1..);
        let before = self.nodes.range(..=self.last_served);
        after.chain(before).map(|(id, _)| *id).collect()
    }

    fn next_batch(
        &mut self,
        now: Timestamp,
        id: NodeId,
        base: PurgeNumber,
        head: PurgeNumber,
    ) -> Option<Batch> {
        let state = self.nodes.get_mut(&id)?;
        if !state.is_ready(now) || state.confirmed >= head {
            return None;
        }
        if state.slow && self.slow_in_flight >= MAX_SLOW_BATCHES_IN_FLIGHT {
            return None;
        }
        // Compacted purges were confirmed by all nodes of their time, and are older than any copy.
        let after = state.confirmed.max(base);
        let max_purges = (self.tokens as u64).clamp(1, MAX_BATCH_PURGES as u64);
        let through = head.min(after + max_purges);
        self.tokens -= (through - after) as f64;
        state.in_flight = Some(BatchInFlight {
            through,
            sent_at: now,
        });
        self.in_flight += 1;
        self.slow_in_flight += usize::from(state.slow);
        self.last_served = id;
        Some(Batch {
            node: id,
            after,
            through,
        })
    }

    /// When [`Replication::next_batches`] may return something unless another event comes first.
    pub fn next_wakeup(&self, now: Timestamp, head: PurgeNumber) -> Option<Timestamp> {
        let states = self.nodes.values();
        let behind = states.filter(|state| state.connected && state.confirmed < head);
        let first = behind.map(NodeState::next_wakeup).min()?;
        let missing_tokens = 1.0 - self.tokens;
        let refill = if missing_tokens > 0.0 {
            (missing_tokens / self.purges_per_s * MICROS_PER_SECOND) as u64 + 1
        } else {
            0
        };
        Some(first.max(now + refill).max(now + MIN_WAKEUP_INTERVAL))
    }

    /// The number up to which a node has confirmed; 0 for an unknown one.
    pub fn confirmed_by(&self, id: NodeId) -> PurgeNumber {
        self.nodes.get(&id).map_or(0, |state| state.confirmed)
    }

    /// The number up to which all nodes have confirmed; `None` if there are none.
    pub fn confirmed_by_all(&self) -> Option<PurgeNumber> {
        self.nodes.values().map(|state| state.confirmed).min()
    }

    /// The nodes that have not confirmed a number.
    pub fn unconfirmed(&self, number: PurgeNumber) -> BTreeSet<NodeId> {
        let nodes = self.nodes.iter();
        let unconfirmed = nodes.filter(|(_, state)| state.confirmed < number);
        unconfirmed.map(|(id, _)| *id).collect()
    }

    /// The status of each node.
    pub fn statuses(&self) -> impl Iterator<Item = NodeStatus> + '_ {
        self.nodes.iter().map(|(id, state)| NodeStatus {
            id: *id,
            confirmed: state.confirmed,
            connected: state.connected,
            slow: state.slow,
            stale_copies: state.stale_copies,
        })
    }
}
