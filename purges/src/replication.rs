//! Which box has confirmed what, and what it is sent next: in order, one batch out at a time, slow boxes apart from fast
//! ones, paced over the fleet.
use crate::log::MAX_BATCH_PURGES;
use crate::{Micros, PurgeNumber, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A batch that is not confirmed after this long is taken for lost, and what it held is sent again.
const CONFIRM_TIMEOUT: Micros = 5_000_000;
/// Pauses after a loss: the first, and the longest.
const INITIAL_BACKOFF: Micros = 100_000;
const MAX_BACKOFF: Micros = 10_000_000;
/// A box whose last batch took longer than this is a slow one.
const SLOW_BATCH: Micros = 1_000_000;
/// Batches out at once: to slow boxes at most so many, so that they don't take all the places.
const MAX_IN_FLIGHT: usize = 64;
const MAX_SLOW_IN_FLIGHT: usize = 8;

/// A box, by its id.
pub type NodeId = u64;

/// What a box is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Batch {
    /// To whom.
    pub node: NodeId,
    /// Purges after this number,
    pub after: PurgeNumber,
    /// up to this one.
    pub through: PurgeNumber,
}

#[derive(Clone, Debug)]
struct NodeState {
    /// Everything up to this one is carried out.
    confirmed: PurgeNumber,
    /// The batch that is out, and since when.
    in_flight: Option<(PurgeNumber, Timestamp)>,
    connected: bool,
    slow: bool,
    failures: u32,
    /// Nothing is sent before this moment.
    paused_until: Timestamp,
    stale_copies: u64,
}

/// How a box stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Which.
    pub id: NodeId,
    /// Everything up to this number is carried out.
    pub confirmed: PurgeNumber,
    /// It can be reached.
    pub connected: bool,
    /// It takes long.
    pub slow: bool,
    /// How often it was caught with an old copy.
    pub stale_copies: u64,
}

/// All boxes.
#[derive(Clone, Debug)]
pub struct Replication {
    identity: u64,
    nodes: BTreeMap<NodeId, NodeState>,
    /// Who was sent something last: the next one comes first.
    last_served: NodeId,
    in_flight: usize,
    slow_in_flight: usize,
    /// Purges a second over the fleet, and what may be sent now.
    purges_per_s: f64,
    tokens: f64,
    refilled_at: Timestamp,
}

impl Replication {
    /// No boxes yet; `per_s` purges a second go out to all of them together. `identity`: of the ledger.
    pub fn new(now: Timestamp, identity: u64, purges_per_s: f64) -> Self {
        let (purges_per_s, nodes) = (purges_per_s.max(1.0), BTreeMap::new());
        Replication {
            identity,
            nodes,
            last_served: 0,
            in_flight: 0,
            slow_in_flight: 0,
            purges_per_s,
            tokens: purges_per_s,
            refilled_at: now,
        }
    }

    /// A box is listed: a new one has nothing. One that was known before keeps what it confirmed, unless it says
    /// otherwise when it is connected.
    pub fn add_node(&mut self, id: NodeId) {
        self.nodes.entry(id).or_insert(NodeState {
            confirmed: 0,
            in_flight: None,
            connected: false,
            slow: false,
            failures: 0,
            paused_until: 0,
            stale_copies: 0,
        });
    }

    /// A box has gone for good.
    pub fn remove_node(&mut self, id: NodeId) {
        self.end_batch(id);
        self.nodes.remove(&id);
    }

    /// A connection to a box is up, and it reports what it has carried out, of which ledger. `empty`: it holds no copy,
    /// so it starts at the head. A number of another ledger, or beyond `head`, is none.
    pub fn connected(
        &mut self,
        id: NodeId,
        log: u64,
        reported: PurgeNumber,
        empty: bool,
        head: PurgeNumber,
    ) {
        self.end_batch(id);
        let identity = self.identity;
        if let Some(state) = self.nodes.get_mut(&id) {
            (state.connected, state.paused_until) = (true, 0);
            state.confirmed = match (empty, log == identity && reported <= head) {
                (true, _) => head,
                (false, true) => reported,
                (false, false) => 0,
            };
        }
    }

    /// The connection to a box is gone, with what was out on it.
    pub fn disconnected(&mut self, now: Timestamp, id: NodeId) {
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            state.connected = false;
            Self::back_off(state, now);
        }
    }

    /// A box has carried out everything up to a number. Less or more than was sent tells nothing: `false`.
    pub fn confirmed(&mut self, now: Timestamp, id: NodeId, number: PurgeNumber) -> bool {
        let Some((through, since)) = self.nodes.get(&id).and_then(|s| s.in_flight) else {
            return false;
        };
        if number != through {
            return false;
        }
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            (state.confirmed, state.failures) = (number, 0);
            state.slow = now.saturating_sub(since) > SLOW_BATCH;
        }
        true
    }

    /// An answer of a box was older than a purge that it had confirmed: it is purged anew, from the first that is held.
    pub fn stale_copy_served(&mut self, now: Timestamp, id: NodeId) {
        self.end_batch(id);
        if let Some(state) = self.nodes.get_mut(&id) {
            state.stale_copies += 1;
            state.confirmed = 0;
            Self::back_off(state, now);
        }
    }

    fn back_off(state: &mut NodeState, now: Timestamp) {
        state.failures += 1;
        state.paused_until =
            now + (INITIAL_BACKOFF << (state.failures - 1).min(10)).min(MAX_BACKOFF);
    }

    fn end_batch(&mut self, id: NodeId) {
        if let Some(state) = self.nodes.get_mut(&id) {
            if state.in_flight.take().is_some() {
                self.in_flight -= 1;
                self.slow_in_flight -= usize::from(state.slow);
            }
        }
    }

    /// What goes out now. `base`: the number before the first that the ledger holds, `head`: its last.
    pub fn next_batches(
        &mut self,
        now: Timestamp,
        base: PurgeNumber,
        head: PurgeNumber,
    ) -> Vec<Batch> {
        self.tokens = (self.tokens
            + now.saturating_sub(self.refilled_at) as f64 / 1e6 * self.purges_per_s)
            .min(self.purges_per_s);
        self.refilled_at = self.refilled_at.max(now);
        let late = |s: &NodeState| {
            s.in_flight
                .is_some_and(|(_, since)| now > since + CONFIRM_TIMEOUT)
        };
        let overdue: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, s)| late(s))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.end_batch(id);
            if let Some(state) = self.nodes.get_mut(&id) {
                state.slow = true;
                Self::back_off(state, now);
            }
        }
        let mut batches = Vec::new();
        // In turn: who came last comes last.
        let after = self.nodes.range(self.last_served + 1..).map(|(id, _)| *id);
        let order: Vec<_> = after
            .chain(self.nodes.range(..=self.last_served).map(|(id, _)| *id))
            .collect();
        for id in order {
            if self.in_flight >= MAX_IN_FLIGHT || self.tokens < 1.0 {
                break;
            }
            let Some(state) = self.nodes.get_mut(&id) else {
                continue;
            };
            let busy = !state.connected || state.in_flight.is_some() || now < state.paused_until;
            if busy
                || state.confirmed >= head
                || state.slow && self.slow_in_flight >= MAX_SLOW_IN_FLIGHT
            {
                continue;
            }
            // What is not held any more was confirmed by all that were there, and is past the horizon.
            let from = state.confirmed.max(base);
            let most = (self.tokens as u64).min(MAX_BATCH_PURGES as u64).max(1);
            let through = head.min(from + most);
            self.tokens -= (through - from) as f64;
            state.in_flight = Some((through, now));
            self.in_flight += 1;
            self.slow_in_flight += usize::from(state.slow);
            self.last_served = id;
            batches.push(Batch {
                node: id,
                after: from,
                through,
            });
        }
        batches
    }

    /// When [`Boxes::next`] may have something without anything else happening.
    pub fn next_wakeup(&self, now: Timestamp, head: PurgeNumber) -> Option<Timestamp> {
        let behind = |s: &&NodeState| s.connected && s.confirmed < head;
        let due = |s: &NodeState| match s.in_flight {
            Some((_, since)) => since + CONFIRM_TIMEOUT + 1,
            None => s.paused_until,
        };
        let first = self.nodes.values().filter(behind).map(due).min()?;
        let tokens = if self.tokens < 1.0 {
            ((1.0 - self.tokens) / self.purges_per_s * 1e6) as u64 + 1
        } else {
            0
        };
        Some(first.max(now + tokens).max(now + 1_000))
    }

    /// What a box has confirmed; 0 for one that is not known.
    pub fn confirmed_by(&self, id: NodeId) -> PurgeNumber {
        self.nodes.get(&id).map_or(0, |s| s.confirmed)
    }

    /// What every box has confirmed; `None`: there are none.
    pub fn confirmed_by_all(&self) -> Option<PurgeNumber> {
        self.nodes.values().map(|s| s.confirmed).min()
    }

    /// Those that have not confirmed a number.
    pub fn unconfirmed(&self, number: PurgeNumber) -> BTreeSet<NodeId> {
        self.nodes
            .iter()
            .filter(|(_, s)| s.confirmed < number)
            .map(|(id, _)| *id)
            .collect()
    }

    /// How each stands.
    pub fn statuses(&self) -> impl Iterator<Item = NodeStatus> + '_ {
        self.nodes.iter().map(|(id, s)| NodeStatus {
            id: *id,
            confirmed: s.confirmed,
            connected: s.connected,
            slow: s.slow,
            stale_copies: s.stale_copies,
        })
    }
}
