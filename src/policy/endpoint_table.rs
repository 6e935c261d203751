//! The endpoints from the endpoint list, by index, id and role.
use super::endpoint::{Endpoint, EndpointIndex, Role};
use super::placement::Ranking;
use crate::api::{EndpointEntry, EndpointId, EndpointState, Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

/// Table of endpoints. An endpoint keeps its index while it is listed or has requests in flight. A change of one
/// endpoint does not iterate over the others.
#[derive(Debug, Default)]
pub(crate) struct EndpointTable {
    endpoints: Vec<Endpoint>,
    index: BTreeMap<EndpointId, EndpointIndex>,
    /// Indexes that can be reused.
    free: Vec<EndpointIndex>,
    /// Endpoints that were removed from the list. Some may still have requests in flight.
    removed: BTreeSet<EndpointId>,
    /// Endpoints that are listed as ready and not cordoned, by role.
    ready: [ReadyEndpoints; 3],
    /// Cordoned endpoints, by id since a cordon outlives the list entry.
    cordoned: BTreeSet<EndpointId>,
    /// How far this clock is ahead of the discovery clock.
    pub clock_ahead: Micros,
}

/// The ready endpoints of a role.
#[derive(Debug, Default)]
struct ReadyEndpoints {
    /// In the order of the endpoint ids.
    indexes: Vec<EndpointIndex>,
    ranking: Ranking,
}

impl EndpointTable {
    pub fn find(&self, id: EndpointId) -> Option<EndpointIndex> {
        self.index.get(&id).copied()
    }

    /// Converts `now` to the discovery clock, the clock of the start times in the endpoint list.
    pub fn discovery_time(&self, now: Timestamp) -> Timestamp {
        now.saturating_sub(self.clock_ahead)
    }

    /// Start of the slow start of a listed endpoint. A start time in the future means that this clock is behind, so
    /// `now` is used instead.
    pub fn slow_start_at(&self, entry: &EndpointEntry, now: Timestamp) -> Timestamp {
        entry.started.min(self.discovery_time(now))
    }

    /// Cordons or uncordons an endpoint. Returns whether its state changed.
    pub fn set_cordoned(&mut self, id: EndpointId, cordoned: bool) -> bool {
        let known = self.find(id);
        known.into_iter().for_each(|at| self.remove_ready(at));
        let changed = if cordoned {
            self.cordoned.insert(id)
        } else {
            self.cordoned.remove(&id)
        };
        known.into_iter().for_each(|at| self.insert_ready(at));
        changed
    }

    /// All endpoints in the table, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &Endpoint> {
        self.index.values().map(|at| &self.endpoints[*at])
    }

    /// Whether an endpoint is cordoned, listed or not.
    pub fn is_cordoned(&self, id: EndpointId) -> bool {
        self.cordoned.contains(&id)
    }

    /// Whether an endpoint is listed as ready and not cordoned.
    pub fn is_ready(&self, at: EndpointIndex) -> bool {
        let listed = &self.endpoints[at].listed;
        listed.state == EndpointState::Ready && !self.is_cordoned(listed.endpoint)
    }

    /// The endpoints of a role that are listed as ready and not cordoned.
    pub fn ready(&self, role: Role) -> &[EndpointIndex] {
        &self.ready[role as usize].indexes
    }

    /// Rendezvous ranking of the ready endpoints of a role.
    pub fn ranking(&self, role: Role) -> &Ranking {
        &self.ready[role as usize].ranking
    }

    pub fn ranking_mut(&mut self, role: Role) -> &mut Ranking {
        &mut self.ready[role as usize].ranking
    }

    /// Marks all endpoints as removed before a complete list is applied.
    pub fn mark_all_removed(&mut self) {
        self.ready = Default::default();
        self.removed = self.index.keys().copied().collect();
        self.endpoints
            .iter_mut()
            .for_each(|endpoint| endpoint.listed.state = EndpointState::Removed);
    }

    /// Replaces the list entry of a known endpoint.
    pub fn update(&mut self, at: EndpointIndex, entry: EndpointEntry) {
        self.remove_ready(at);
        self.endpoints[at].listed = entry;
        self.insert_ready(at);
    }

    /// Inserts an endpoint at its previous index or a new one, and returns the index.
    pub fn insert(&mut self, endpoint: Endpoint) -> EndpointIndex {
        let id = endpoint.listed.endpoint;
        let known = self.find(id);
        known.into_iter().for_each(|at| self.remove_ready(at));
        let at = known
            .or_else(|| self.free.pop())
            .unwrap_or(self.endpoints.len());
        self.index.insert(id, at);
        if at == self.endpoints.len() {
            self.endpoints.push(endpoint);
        } else {
            self.endpoints[at] = endpoint;
        }
        self.insert_ready(at);
        at
    }

    /// Drops removed endpoints without requests in flight, and returns their indexes.
    pub fn remove_idle(&mut self) -> Vec<EndpointIndex> {
        let idle = |at: &EndpointIndex| self.endpoints[*at].concurrency.in_flight == 0;
        let index_if_idle = |id: &EndpointId| self.index.get(id).copied().filter(idle);
        let dropped: Vec<_> = self
            .removed
            .iter()
            .filter_map(|id| index_if_idle(id).map(|at| (*id, at)))
            .collect();
        for (id, at) in &dropped {
            self.removed.remove(id);
            self.index.remove(id);
            self.free.push(*at);
        }
        dropped.into_iter().map(|(_, at)| at).collect()
    }

    /// Removes an endpoint from the ready ones before it is changed.
    fn remove_ready(&mut self, at: EndpointIndex) {
        let Endpoint { listed, role, .. } = &self.endpoints[at];
        let id = listed.endpoint;
        self.removed.remove(&id);
        let ready = &mut self.ready[*role as usize];
        let position = ready
            .indexes
            .binary_search_by_key(&id, |i| self.endpoints[*i].listed.endpoint);
        if let Ok(position) = position {
            ready.indexes.remove(position);
            ready.ranking.remove(id, listed.weight);
        }
    }

    /// Adds an endpoint to the ready ones after a change, if it is ready.
    fn insert_ready(&mut self, at: EndpointIndex) {
        let Endpoint { listed, role, .. } = &self.endpoints[at];
        if listed.state == EndpointState::Removed {
            self.removed.insert(listed.endpoint);
        }
        if !self.is_ready(at) {
            return;
        }
        let ready = &mut self.ready[*role as usize];
        let position = ready
            .indexes
            .binary_search_by_key(&listed.endpoint, |i| self.endpoints[*i].listed.endpoint);
        if let Err(position) = position {
            ready.indexes.insert(position, at);
            ready.ranking.insert(listed.endpoint, listed.weight, at);
        }
    }
}

impl Index<EndpointIndex> for EndpointTable {
    type Output = Endpoint;
    fn index(&self, at: EndpointIndex) -> &Endpoint {
        &self.endpoints[at]
    }
}

impl IndexMut<EndpointIndex> for EndpointTable {
    fn index_mut(&mut self, at: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[at]
    }
}
