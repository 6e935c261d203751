//! Changes of the endpoint list, cordons, and health state that is handed over between processes.
use super::concurrency_limit::{ConcurrencyLimit, INITIAL_LIMIT_FACTOR, MIN_LIMIT};
use super::endpoint::{Endpoint, EndpointIndex, Role};
use super::health::{DownCause, Health};
use super::request_state::WaitTarget;
use super::requests::DEFAULT_TRANSFER_TIME_US;
use super::router::Router;
use super::token_bucket::TokenBucket;
use crate::api::{Action, EndpointEntry, EndpointId, LearnedHealth, ListKind};

/// Assumed capacity of the origin, as a ratio of the total capacity of the parents.
const ORIGIN_SIZE_RATIO: f64 = 0.25;
/// Weight of an endpoint whose list entry has no valid one.
const DEFAULT_WEIGHT: f64 = 1.0;

impl Router {
    /// Applies an endpoint list or a change of it.
    pub(super) fn apply_endpoint_list(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        match kind {
            ListKind::Failed => self.actions.push(Action::Subscribe),
            ListKind::Full => self.endpoints.mark_all_removed(),
            ListKind::Delta => {}
        }
        for entry in entries {
            self.apply_entry(entry);
        }
        self.endpoints_changed();
    }

    fn apply_entry(&mut self, mut entry: EndpointEntry) {
        if entry.weight.is_nan() || entry.weight <= 0.0 {
            entry.weight = DEFAULT_WEIGHT;
        }
        let Some(role) = self.role_of(&entry) else {
            return;
        };
        let known = self.endpoints.find(entry.endpoint);
        let same_process = |at: &EndpointIndex| self.endpoints[*at].listed.started == entry.started;
        match known.filter(same_process) {
            Some(at) => self.endpoints.update(at, entry),
            // New, or restarted with an empty cache: earlier health state does not apply.
            None => self.add_endpoint(entry, role, known),
        }
    }

    /// Role of an entry for this front; `None` for caches of other zones, which are not kept.
    fn role_of(&self, entry: &EndpointEntry) -> Option<Role> {
        let kind = Some(entry.kind);
        if kind == self.settings.parent_kind {
            Some(Role::Parent)
        } else if kind == self.settings.origin_kind {
            Some(Role::Origin)
        } else {
            (entry.zone == self.settings.zone).then_some(Role::Cache)
        }
    }

    /// Adds an endpoint, or replaces the one at index `known` with its next process.
    fn add_endpoint(&mut self, entry: EndpointEntry, role: Role, known: Option<EndpointIndex>) {
        let full_quota = entry.weight / f64::from(self.fronts_sharing(role));
        let in_flight = known.map_or(0, |at| self.endpoints[at].concurrency.in_flight);
        let slow_start = match role {
            Role::Parent => self.settings.parent_slow_start,
            Role::Cache | Role::Origin => self.settings.cache_slow_start,
        };
        let at = self.endpoints.insert(Endpoint {
            role,
            slow_start_at: self.endpoints.slow_start_at(&entry, self.now),
            slow_start,
            health: Health::new(self.now),
            concurrency: ConcurrencyLimit::for_endpoint(
                full_quota,
                in_flight,
                DEFAULT_TRANSFER_TIME_US,
            ),
            slow_start_budget: TokenBucket::new(self.now),
            listed: entry,
        });
        self.connections.remove(at);
        self.warming_up.insert(at);
    }

    /// After a change of the list: removes endpoints that are no longer listed, resizes limits and wakes waiting
    /// requests.
    fn endpoints_changed(&mut self) {
        for at in self.endpoints.remove_idle() {
            self.connections.remove(at);
        }
        self.resize_origin_limit();
        self.resize_link_limit();
        self.wake_waiting_for_endpoints();
    }

    fn resize_origin_limit(&mut self) {
        let parents = self.endpoints.ranking(Role::Parent).weight();
        let quota = parents * ORIGIN_SIZE_RATIO / f64::from(self.fronts_sharing(Role::Origin));
        let Some(at) = self.origin() else {
            return;
        };
        let concurrency = &mut self.endpoints[at].concurrency;
        concurrency.min_limit = MIN_LIMIT.min(quota);
        let lower_bound = if concurrency.was_cut() {
            concurrency.min_limit
        } else {
            INITIAL_LIMIT_FACTOR * quota
        };
        concurrency.limit = concurrency.limit.max(lower_bound);
    }

    /// Without a configured rate, the link is assumed to be as large as the caches behind it until a load report
    /// arrives.
    fn resize_link_limit(&mut self) {
        let caches = self.endpoints.ranking(Role::Cache).weight();
        let known = self.settings.link_kb_per_s / self.settings.client_kb_per_s;
        let size = if known > 0.0 { known } else { caches };
        let quota = size / f64::from(self.fronts_sharing(Role::Cache));
        if self.link_report.is_none() {
            self.link.limit = INITIAL_LIMIT_FACTOR * quota;
        }
        self.link.min_limit = if known > 0.0 {
            quota
        } else {
            MIN_LIMIT.min(quota)
        };
    }

    /// Wakes requests that wait for endpoints, in the order of the endpoint ids.
    fn wake_waiting_for_endpoints(&mut self) {
        let endpoint = |target: &WaitTarget| match target {
            WaitTarget::Endpoint(at) => Some((self.endpoints[*at].listed.endpoint, *at)),
            _ => None,
        };
        let mut waited_for: Vec<_> = self.wait_queues.keys().filter_map(endpoint).collect();
        waited_for.sort_unstable();
        for (_, at) in waited_for {
            self.wake_waiting(WaitTarget::Endpoint(at));
        }
    }

    /// Cordons or uncordons an endpoint, regardless of its state in the list. An uncordoned endpoint was restarted: it
    /// begins a slow start, and its earlier health state is dropped: neither failures nor responses from before say
    /// anything about the new process.
    pub(super) fn set_cordoned(&mut self, id: EndpointId, cordoned: bool) {
        if !self.endpoints.set_cordoned(id, cordoned) {
            return;
        }
        if let Some(at) = self.endpoints.find(id).filter(|_| !cordoned) {
            let started_at = self.endpoints.discovery_time(self.now);
            let endpoint = &mut self.endpoints[at];
            endpoint.restart_slow_start(self.now, started_at);
            endpoint.health = Health::new(self.now);
            self.warming_up.insert(at);
        }
        self.endpoints_changed();
        self.wake_waiting(WaitTarget::Cache);
    }

    /// Health state to hand over to the next process: endpoints that are DOWN or SUSPECT, and slow starts that the
    /// endpoint list does not show.
    pub fn learned_health(&self) -> Vec<LearnedHealth> {
        let all = self.endpoints.all().map(|endpoint| LearnedHealth {
            endpoint: endpoint.listed.endpoint,
            started: endpoint.listed.started,
            slow_start_at: endpoint.slow_start_at,
            down: endpoint.health.is_down_or_suspect(),
            connection_lost: endpoint.health.down_cause() == Some(DownCause::ConnectionLost),
        });
        all.filter(|learned| learned.down || learned.slow_start_at != learned.started)
            .collect()
    }

    /// Restores the health state that an earlier process handed over.
    pub(super) fn restore_health(&mut self, all: Vec<LearnedHealth>) {
        all.into_iter()
            .for_each(|learned| self.restore_endpoint_health(learned));
    }

    /// Restores the state of one endpoint, unless it has restarted since. An endpoint that was DOWN becomes SUSPECT,
    /// so that this process probes it.
    fn restore_endpoint_health(&mut self, learned: LearnedHealth) {
        let same_process =
            |at: &EndpointIndex| self.endpoints[*at].listed.started == learned.started;
        let known = self.endpoints.find(learned.endpoint);
        let Some(at) = known.filter(same_process) else {
            return;
        };
        let endpoint = &mut self.endpoints[at];
        endpoint.slow_start_at = endpoint.slow_start_at.max(learned.slow_start_at);
        self.warming_up.insert(at);
        if learned.down {
            let cause = if learned.connection_lost {
                DownCause::ConnectionLost
            } else {
                DownCause::FailedRequests
            };
            endpoint.health.suspect(self.now, cause);
        }
    }

    /// Whether an endpoint gets no requests now: cordoned, draining, DOWN, or SUSPECT with all its probes in flight.
    pub fn is_unavailable(&self, id: EndpointId) -> bool {
        let known = self.endpoints.find(id);
        self.endpoints.is_cordoned(id) || known.is_some_and(|at| !self.is_usable(at))
    }
}
