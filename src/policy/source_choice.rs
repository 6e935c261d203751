//! Choice of the source of a fill: the first parent in rendezvous order that will do, else the origin.
use super::endpoint::{EndpointIndex, Role};
use super::request_state::PendingRequest;
use super::router::Router;

/// Tries of a request at one source before the next (Traffic Server's `rr_retries`).
pub(super) const MAX_SOURCE_TRIES: usize = 3;

impl Router {
    /// The source of a fill: the first parent in rendezvous order that is selectable and that slow start allows,
    /// after three failed tries the next; the origin when there is none.
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

/// Whether a request has tried a source often enough.
fn has_exhausted_tries(pending: &PendingRequest, source: EndpointIndex) -> bool {
    let failures = pending.failed_sources.iter();
    failures.filter(|failed| **failed == source).count() >= MAX_SOURCE_TRIES
}
