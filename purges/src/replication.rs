//! Replication of the purge log to cache nodes. Each node receives the purges in order, one batch at a time. The number of
//! batches in flight to slow nodes and the total rate of purges are limited.
use crate::log::MAX_BATCH_PURGES;
use crate::{Micros, PurgeNumber, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Time after which an unconfirmed batch is considered lost and its purges are sent again.
const CONFIRMATION_TIMEOUT: Micros = 5_000_000;
/// Backoff after the first failure, which doubles with each consecutive failure.
const INITIAL_BACKOFF: Micros = 100_000;
/// Upper bound of the backoff after failures.
const MAX_BACKOFF: Micros = 10_000_000;
/// A node is slow if it confirmed its last batch after more than this time.
const SLOW_BATCH_THRESHOLD: Micros = 1_000_000;
/// Maximum number of batches in flight to all nodes.
const MAX_BATCHES_IN_FLIGHT: usize = 64;
/// Maximum number of batches in flight to slow nodes, which leaves slots for the others.
const MAX_SLOW_BATCHES_IN_FLIGHT: usize = 8;
/// Minimum interval between two wake-ups of the caller.
const MIN_WAKEUP_INTERVAL: Micros = 1_000;
const MICROS_PER_SECOND: f64 = 1e6;

/// The identifier of a cache node, assigned by the caller.
pub type NodeId = u64;

/// A range of purges to send to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The recipient.
    pub node: NodeId,
    /// The batch starts after this purge number.
    pub after: PurgeNumber,
    /// The batch ends with this purge number.
    pub through: PurgeNumber,
}

/// The state that a node reports after it was connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeReport {
    /// The identity of the log whose purges it has applied.
    pub log: u64,
    /// The node has applied every purge up to this number.
    pub applied: PurgeNumber,
    /// Whether the node's cache is empty.
    pub empty: bool,
}

/// A batch that was sent and not confirmed yet.
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
    /// Consecutive failures since the last confirmation.
    failures: u32,
    /// No batch is sent before this time.
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

    /// Returns when the node's batch is considered lost, or when the next one may be sent.
    fn next_wakeup(&self) -> Timestamp {
        match self.in_flight {
            Some(batch) => batch.sent_at + CONFIRMATION_TIMEOUT + 1,
            None => self.backoff_until,
        }
    }
}

/// The replication status of a node, for status output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// The identifier of the node.
    pub id: NodeId,
    /// The node has applied every purge up to this number.
    pub confirmed: PurgeNumber,
    /// Whether a connection to the node is established.
    pub connected: bool,
    /// Whether the node confirmed its last batch late, or not before the timeout.
    pub slow: bool,
    /// Number of copies that the node served although it had confirmed their purge.
    pub stale_copies: u64,
}

/// The state of replication to all cache nodes.
#[derive(Clone, Debug)]
pub struct Replication {
    /// The identity of the log.
    identity: u64,
    nodes: BTreeMap<NodeId, NodeState>,
    /// The node that was sent the last batch. The round-robin order continues after it.
    last_served: NodeId,
    in_flight: usize,
    slow_in_flight: usize,
    /// Rate limit of purges sent to all nodes.
    purges_per_s: f64,
    /// Number of purges that may be sent now.
    tokens: f64,
    refilled_at: Timestamp,
}

impl Replication {
    /// Creates the state for the log `identity`, without nodes. The rate limit `purges_per_s`, at least 1, applies to the
    /// total over all nodes.
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

    /// Continues with another log, of which no node has confirmed a purge yet.
    pub fn begin_log(&mut self, identity: u64) {
        self.identity = identity;
        let ids: Vec<NodeId> = self.nodes.keys().copied().collect();
        for id in ids {
            self.end_batch(id);
        }
        for state in self.nodes.values_mut() {
            state.confirmed = 0;
        }
    }

    /// Adds a node that has not confirmed any purge. An existing node keeps its state.
    pub fn add_node(&mut self, id: NodeId) {
        self.nodes.entry(id).or_default();
    }

    /// Removes a node, whose confirmations no longer count.
    pub fn remove_node(&mut self, id: NodeId) {
        self.end_batch(id);
        self.nodes.remove(&id);
    }

    /// Records that a node was connected and has reported its state. `head` is the last number of the log. A node with an
    /// empty cache needs no earlier purges and starts at `head`; a reported number of another log or beyond `head` is
    /// replaced by 0.
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

    /// Records that the connection to a node was lost, including the batch in flight on it.
    pub fn disconnected(&mut self, now: Timestamp, id: NodeId) {
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            state.connected = false;
            state.back_off(now);
        }
    }

    /// Records a node's confirmation that it has applied every purge up to a number. Returns whether this confirms the
    /// batch in flight; any other number is ignored.
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

    /// Records that a node served a copy older than a purge that it had confirmed. All purges of the log are sent to it
    /// again.
    pub fn stale_copy_served(&mut self, now: Timestamp, id: NodeId) {
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            state.stale_copies += 1;
            state.confirmed = 0;
            state.back_off(now);
        }
    }

    /// Releases the slot of a node's batch in flight, if any.
    fn end_batch(&mut self, id: NodeId) {
        let Some(state) = self.nodes.get_mut(&id) else {
            return;
        };
        if state.in_flight.take().is_some() {
            self.in_flight -= 1;
            self.slow_in_flight -= usize::from(state.slow);
        }
    }

    /// Returns the batches to send now. `base` is the last compacted number of the log, `head` its last number.
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

    /// Returns all nodes in round-robin order, starting after the node that was sent the last batch.
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
        // Compacted purges can be skipped, since every remaining copy was created after them.
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

    /// Returns when to call [`Replication::next_batches`] next if no other event occurs; `None` if all connected nodes have
    /// confirmed `head`.
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

    /// Returns the number up to which a node has confirmed all purges; 0 for an unknown node.
    pub fn confirmed_by(&self, id: NodeId) -> PurgeNumber {
        self.nodes.get(&id).map_or(0, |state| state.confirmed)
    }

    /// Returns the number up to which all nodes have confirmed all purges; `None` if there are no nodes.
    pub fn confirmed_by_all(&self) -> Option<PurgeNumber> {
        self.nodes.values().map(|state| state.confirmed).min()
    }

    /// Returns the nodes that have not confirmed the purge with this number.
    pub fn unconfirmed(&self, number: PurgeNumber) -> BTreeSet<NodeId> {
        let nodes = self.nodes.iter();
        let unconfirmed = nodes.filter(|(_, state)| state.confirmed < number);
        unconfirmed.map(|(id, _)| *id).collect()
    }

    /// Iterates over the status of all nodes.
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
