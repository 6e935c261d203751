//! Plan for the next attempt of a request: its route, or what the request waits for.
use super::endpoint::{EndpointIndex, Role};
use super::request_state::{PendingRequest, Plan, PlanError, Route, WaitTarget};
use super::router::Router;

impl Router {
    /// Plans the next attempt of a request.
    pub(super) fn plan(&mut self, pending: &PendingRequest) -> Result<Plan, PlanError> {
        if pending.class.write {
            return self.plan_write(pending);
        }
        let source = self.source_for(pending);
        let Some(cache) = self.cache_for(pending) else {
            return self.plan_without_cache(pending, source);
        };
        if !self.cache_has_capacity(cache) {
            return Ok(self.plan_with_full_caches(pending, source));
        }
        let plan = match source {
            None => Plan::Send(Route::without_fill(cache)),
            Some(source) if pending.missed => self.plan_fill(pending, cache, source),
            Some(source) if self.must_check_cache_first(source, &pending.request) => {
                Plan::Send(Route::without_fill(cache))
            }
            Some(source) => Plan::Send(Route::filled_from(cache, source)),
        };
        Ok(plan)
    }

    /// Writes run at the origin: directly, or through a cache where pass-through is not allowed.
    fn plan_write(&mut self, pending: &PendingRequest) -> Result<Plan, PlanError> {
        let origin = self.origin().ok_or(PlanError::NoOrigin)?;
        if self.settings.pass_through {
            return Ok(Plan::Send(Route::direct(origin)));
        }
        let cache = self.cache_for(pending);
        let cache = cache.ok_or(PlanError::NoUsableCache)?;
        Ok(Plan::Send(Route::filled_from(cache, origin)))
    }

    /// No cache is usable: sends directly to the source if it may serve the request.
    fn plan_without_cache(
        &self,
        pending: &PendingRequest,
        source: Option<EndpointIndex>,
    ) -> Result<Plan, PlanError> {
        let source = source.filter(|_| self.may_pass_through(pending));
        let source = source.ok_or(PlanError::NoUsableCache)?;
        if !self.has_capacity(source) {
            return Ok(Plan::Wait(WaitTarget::Endpoint(source)));
        }
        Ok(Plan::Send(self.pass_through_route(source)))
    }

    /// No cache has capacity: sends directly to the source if it may serve the request and has capacity, else waits for
    /// a cache.
    fn plan_with_full_caches(
        &self,
        pending: &PendingRequest,
        source: Option<EndpointIndex>,
    ) -> Plan {
        let available_source = source.filter(|source| {
            let wait = self.capacity_wait_target(*source, false, &pending.request);
            self.may_pass_through(pending) && wait.is_none()
        });
        match available_source {
            Some(source) => Plan::Send(self.pass_through_route(source)),
            None => Plan::Wait(WaitTarget::Cache),
        }
    }

    /// Whether a request may bypass the caches. Without a ready origin no parent can fill a miss, so a request that a
    /// parent had no copy for stays at the caches.
    fn may_pass_through(&self, pending: &PendingRequest) -> bool {
        self.settings.pass_through && (self.origin().is_some() || !pending.parent_missed)
    }

    /// Route directly to a parent or the origin. A parent fills a miss from the origin; while no origin is ready it is
    /// asked for its own copy, within the same age limit.
    fn pass_through_route(&self, target: EndpointIndex) -> Route {
        match self.origin() {
            Some(origin) if origin == target => Route::direct(origin),
            Some(origin) => Route::filled_from(target, origin),
            None => Route::without_fill(target),
        }
    }

    /// The cache has no copy of the part: plans a fill.
    fn plan_fill(
        &mut self,
        pending: &PendingRequest,
        cache: EndpointIndex,
        source: EndpointIndex,
    ) -> Plan {
        let source = self.origin_instead_of(pending, source).unwrap_or(source);
        match self.fill_wait_target(pending, source) {
            None => Plan::Send(Route::filled_from(cache, source)),
            // Checks the cache once more, for a copy past its freshness lifetime, before waiting.
            Some(_) if pending.class.grace > 0 && !pending.accepts_stale => {
                Plan::Send(Route::without_fill(cache))
            }
            Some(target) => Plan::Wait(target),
        }
    }

    fn fill_wait_target(
        &self,
        pending: &PendingRequest,
        source: EndpointIndex,
    ) -> Option<WaitTarget> {
        let part = pending.part_key();
        if !self.settings.coalescing && self.fills_in_flight.contains(&part) {
            // A second fill of the same part would only load the link: a copy will be available soon.
            return Some(WaitTarget::Fill(part.0, part.1));
        }
        self.capacity_wait_target(source, pending.parent_missed, &pending.request)
    }

    /// The origin instead of a parent without capacity, if the origin has some. Applies where the preferred parent is
    /// DOWN and the others carry its fills, or where this front's quota of the parent is less than one slot: a single
    /// late fill would use up such a limit, and many fronts would wait while the origin is idle.
    fn origin_instead_of(
        &mut self,
        pending: &PendingRequest,
        source: EndpointIndex,
    ) -> Option<EndpointIndex> {
        let mut order = self.order(Role::Parent, &pending.request);
        let preferred_parent = self.ranked(Role::Parent, &mut order, 0);
        let preferred_is_down =
            preferred_parent.is_some_and(|at| !self.endpoints[at].health.is_selectable(self.now));
        let may_use_origin = preferred_is_down || self.has_fractional_quota(source);
        self.origin().filter(|origin| {
            may_use_origin && !self.has_capacity(source) && self.has_capacity(*origin)
        })
    }
}
