//! Choice of the cache for a request: the first suitable one in the rendezvous order of the object.
//!
//! Orders are evaluated lazily, so that in a large fleet no decision iterates over all endpoints.
use super::endpoint::{Endpoint, EndpointIndex, Role};
use super::placement::Order;
use super::rendezvous_hash::mix;
use super::request_state::PendingRequest;
use super::router::Router;
use crate::api::Request;

/// Estimated load of a cache, as requests of all fronts of the zone over its weight, above which an object spills over
/// to the next cache with less than half that load.
const MIN_SPILL_LOAD: f64 = 1.8;
/// Minimum number of requests that this front has in flight at a cache before it spills over.
const MIN_SPILL_IN_FLIGHT: u32 = 3;
/// Link utilization from which objects do not spill over, since each additional cache means an additional fill.
const MAX_SPILL_LINK_UTILIZATION: f64 = 1.0;

/// Suitability of a cache for a request, ordered from worst to best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Suitability {
    /// Whether the cache has not yet failed this request.
    has_not_failed: bool,
    has_capacity: bool,
}

impl Suitability {
    const BEST: Suitability = Suitability {
        has_not_failed: true,
        has_capacity: true,
    };
}

/// A suitable cache found in an order.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    cache: EndpointIndex,
    suitability: Suitability,
    /// Position in the order after the cache.
    next_position: usize,
}

impl Router {
    /// Key of the rendezvous order of an object. Caches store the parts of an object separately, so the part is
    /// included for them: otherwise one cache would carry all load of a popular object.
    fn placement_key(role: Role, request: &Request) -> u64 {
        let part = match role {
            Role::Cache => u64::from(request.part),
            Role::Parent | Role::Origin => 0,
        };
        mix(request.object.0, part)
    }

    /// The ready endpoints of a role, in rendezvous order of the object.
    pub(super) fn order(&mut self, role: Role, request: &Request) -> Order {
        let key = Self::placement_key(role, request);
        self.endpoints.ranking_mut(role).order(key)
    }

    /// The ready caches in the connection set, in rendezvous order of the object.
    fn connected_order(&self, request: &Request) -> Order {
        let connected = self.connections.endpoints();
        let ready = connected.filter(|at| self.endpoints.is_ready(*at));
        let candidates = ready.map(|at| {
            let listed = &self.endpoints[at].listed;
            (listed.endpoint, listed.weight, at)
        });
        Order::from_endpoints(Self::placement_key(Role::Cache, request), candidates)
    }

    /// The endpoint at a position in an order.
    pub(super) fn ranked(
        &self,
        role: Role,
        order: &mut Order,
        position: usize,
    ) -> Option<EndpointIndex> {
        order.get(self.endpoints.ranking(role), position)
    }

    /// The cache for a request: the first suitable one in rendezvous order. While the connection set is full, caches
    /// in the set are preferred unless none of them has capacity.
    pub(super) fn cache_for(&mut self, pending: &PendingRequest) -> Option<EndpointIndex> {
        self.refill_slow_start_budgets(Role::Cache, pending.is_idempotent());
        if self.connections.is_full() {
            let order = self.connected_order(&pending.request);
            let found = self.first_cache(pending, order);
            if let Some((cache, _)) =
                found.filter(|(_, suitability)| *suitability == Suitability::BEST)
            {
                return Some(cache);
            }
        }
        let order = self.order(Role::Cache, &pending.request);
        self.first_cache(pending, order).map(|(cache, _)| cache)
    }

    /// The first cache in an order that is selectable and that slow start allows. Caches that failed the request, or
    /// have no capacity, are skipped as long as there is a better one.
    fn first_cache(
        &mut self,
        pending: &PendingRequest,
        mut order: Order,
    ) -> Option<(EndpointIndex, Suitability)> {
        let mut best: Option<Candidate> = None;
        let mut position = 0;
        while let Some(cache) = self.ranked(Role::Cache, &mut order, position) {
            position += 1;
            let Some(suitability) = self.suitability(pending, cache) else {
                continue;
            };
            if best.is_none_or(|best| suitability > best.suitability) {
                best = Some(Candidate {
                    cache,
                    suitability,
                    next_position: position,
                });
            }
            if suitability == Suitability::BEST {
                break;
            }
        }
        let best = best?;
        let spilled = self.spill_over(pending, best, order);
        Some((spilled.unwrap_or(best.cache), best.suitability))
    }

    /// Suitability of a cache for a request; `None` if the request may not go there. Only idempotent requests probe a
    /// SUSPECT cache.
    fn suitability(
        &mut self,
        pending: &PendingRequest,
        cache: EndpointIndex,
    ) -> Option<Suitability> {
        let is_suitable =
            self.is_healthy_for(cache, pending.is_idempotent()) && self.slow_start_allows(cache);
        is_suitable.then(|| Suitability {
            has_not_failed: !pending.failed_targets.contains(&cache),
            has_capacity: self.cache_has_capacity(cache),
        })
    }

    /// Whether a cache has capacity for one more request of this front.
    pub(super) fn cache_has_capacity(&self, cache: EndpointIndex) -> bool {
        let caches = self.endpoints.ready(Role::Cache).len();
        let factor = self.connections.quota_factor(cache, caches);
        let concurrency = &self.endpoints[cache].concurrency;
        concurrency.has_scaled_capacity(self.now, factor)
    }

    /// The next cache in the order with the same suitability and less than half the load, if the first cache is
    /// overloaded and the link has capacity for another fill.
    fn spill_over(
        &mut self,
        pending: &PendingRequest,
        first: Candidate,
        mut order: Order,
    ) -> Option<EndpointIndex> {
        let fronts = self.fronts_sharing(Role::Cache);
        let load = estimated_load(&self.endpoints[first.cache], fronts);
        let in_flight = self.endpoints[first.cache].concurrency.in_flight;
        if load <= MIN_SPILL_LOAD || in_flight < MIN_SPILL_IN_FLIGHT {
            return None;
        }
        let utilization = self.link_utilization();
        if utilization.is_some_and(|utilization| utilization >= MAX_SPILL_LINK_UTILIZATION) {
            return None;
        }
        let mut position = first.next_position;
        while let Some(cache) = self.ranked(Role::Cache, &mut order, position) {
            position += 1;
            let other_load = estimated_load(&self.endpoints[cache], fronts);
            if other_load < load / 2.0
                && self.suitability(pending, cache) == Some(first.suitability)
            {
                return Some(cache);
            }
        }
        None
    }
}

/// Estimated load of a cache, in requests over its weight, assuming that each of `fronts` fronts has as many requests
/// in flight there as this one.
fn estimated_load(cache: &Endpoint, fronts: u32) -> f64 {
    f64::from(cache.concurrency.in_flight * fronts) / cache.listed.weight
}
