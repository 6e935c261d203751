//! Choice of the source of a fill: the first suitable parent in rendezvous order, else the origin.
use super::endpoint::{EndpointIndex, Role};
use super::request_state::PendingRequest;
use super::router::Router;

/// Maximum number of failed tries of a request at one source (Traffic Server's `rr_retries`).
pub(super) const MAX_SOURCE_TRIES: usize = 3;

impl Router {
    /// The source of a fill: the first parent in rendezvous order that is selectable, that slow start allows and that
    /// has not failed the request too often; without such a parent, the first selectable one; else the origin.
    pub(super) fn source_for(&mut self, pending: &PendingRequest) -> Option<EndpointIndex> {
        self.refill_slow_start_budgets(Role::Parent, true);
        let mut order = self.order(Role::Parent, &pending.request);
        let mut first_selectable = None;
        let mut position = 0;
        while let Some(at) = self.ranked(Role::Parent, &mut order, position) {
            position += 1;
            if !self.endpoints[at].health.is_selectable(self.now) || !self.slow_start_allows(at) {
                continue;
            }
            if !has_exhausted_tries(pending, at) {
                return Some(at);
            }
            first_selectable = first_selectable.or(Some(at));
        }
        first_selectable.or_else(|| self.origin())
    }
}

fn has_exhausted_tries(pending: &PendingRequest, source: EndpointIndex) -> bool {
    let failures = pending.failed_sources.iter();
    failures.filter(|failed| **failed == source).count() >= MAX_SOURCE_TRIES
}
