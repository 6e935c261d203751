//! Retries and hedged requests: whether a request may be sent again, and how overdue attempts are handled.
use super::endpoint::EndpointIndex;
use super::request_state::{PendingRequest, Plan, Route};
use super::router::Router;
use super::source_choice::MAX_SOURCE_TRIES;
use super::units::MIN_TIME_LEFT;
use crate::api::{Action, Idempotency, KeyScope, RequestId};

/// Number of error responses from which the request itself is considered at fault and is not sent again.
const MAX_ERRORS: usize = 2;

/// How an overdue attempt is handled that has stalled.
enum OverdueAction {
    /// Cancel it, which leads to the next attempt.
    Cancel,
    /// Send a second attempt in parallel.
    Hedge,
}

impl Router {
    /// Whether a request may be sent, or sent again: after an attempt that may have run, only as its class allows.
    pub(super) fn may_repeat(&self, pending: &PendingRequest) -> bool {
        let max_attempts = self.settings.max_attempts as usize;
        if pending.attempts.len() >= max_attempts || pending.errors.len() >= MAX_ERRORS {
            return false;
        }
        let Some(first_sent_at) = pending.may_have_run_at else {
            return true;
        };
        match pending.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Keyed {
                scope: KeyScope::All,
                window,
            } => self.now + MIN_TIME_LEFT < first_sent_at + window,
            Idempotency::Keyed { .. } | Idempotency::NotIdempotent => false,
        }
    }

    /// Handles an attempt that is so late that a new one could only just meet the objective. If few responses of its
    /// endpoints are late, the attempt has stalled, e.g. because an endpoint lost the request: it is hedged, or
    /// cancelled and sent elsewhere, within the hedge budget. Under congestion that would only add load.
    pub(super) fn attempt_overdue(&mut self, id: RequestId, number: usize) {
        let Some(pending) = self.pending.get(&id).filter(|pending| !pending.done) else {
            return;
        };
        let attempt = pending.attempts.get(number);
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight && !attempt.cancelled)
        else {
            return;
        };
        let route = attempt.route;
        let suspect = self.charge_unresponsive(route.target, route.other_source(), attempt.sent_at);
        let Some(mut pending) = self.pending.remove(&id) else {
            return;
        };
        let hedge = match self.overdue_action(&pending, number) {
            None => None,
            Some(OverdueAction::Cancel) => {
                self.hedge_budget.withdraw();
                pending.attempts[number].cancel(id, number, &mut self.actions);
                None
            }
            Some(OverdueAction::Hedge) => self.plan_hedge(&mut pending, route, suspect),
        };
        self.pending.insert(id, pending);
        if let Some(route) = hedge {
            self.hedge_budget.withdraw();
            self.send(id, route);
        }
    }

    /// How to handle an overdue attempt; `None`: leave it in flight.
    fn overdue_action(&self, pending: &PendingRequest, number: usize) -> Option<OverdueAction> {
        let attempt = &pending.attempts[number];
        let is_only_attempt = pending
            .attempts
            .iter()
            .all(|other| other.in_flight == (other.sent_at == attempt.sent_at) && !other.cancelled);
        let allowed = pending.is_idempotent()
            && is_only_attempt
            && self.hedge_budget.has_token()
            && self.may_repeat(pending);
        let source = attempt.route.other_source();
        let is_uncongested = |at: EndpointIndex| self.endpoints[at].concurrency.is_uncongested();
        let stalled = is_uncongested(attempt.route.target) && source.is_none_or(is_uncongested);
        if !allowed || !stalled {
            return None;
        }
        if self.settings.hedging {
            return Some(OverdueAction::Hedge);
        }
        // Without hedging only one attempt may be in flight. A fill is not cancelled, since its work would be lost,
        // unless it probes a SUSPECT cache.
        let cancellable = source.is_none() || attempt.probes.target;
        (self.settings.cancellation && cancellable).then_some(OverdueAction::Cancel)
    }

    /// Route of a hedged request, if there is a target other than that of the overdue attempt.
    fn plan_hedge(
        &mut self,
        pending: &mut PendingRequest,
        overdue: Route,
        suspect: Option<EndpointIndex>,
    ) -> Option<Route> {
        let source = overdue.other_source();
        pending.failed_targets.push(overdue.target);
        if let Some(source) = source.filter(|_| suspect == source) {
            pending.failed_sources.extend([source; MAX_SOURCE_TRIES]);
        }
        match self.plan(pending) {
            Ok(Plan::Send(route)) if route.target != overdue.target => Some(route),
            _ => None,
        }
    }

    /// Ends a request that is not served: with a rejection if the client may safely repeat it, else with a failure.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let may_be_repeated = match pending.class.idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            } => true,
            Idempotency::Keyed { .. } | Idempotency::NotIdempotent => false,
        };
        let action = if may_be_repeated || pending.may_have_run_at.is_none() {
            Action::Reject(id, self.settings.max_retry_after)
        } else {
            Action::Fail(id)
        };
        self.actions.push(action);
        self.finish(id);
    }
}
