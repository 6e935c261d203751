//! The end of an attempt: updates health and limits, and finishes or retries the request.
use super::concurrency_limit::LoadSignal;
use super::endpoint::{EndpointIndex, Role};
use super::health::Failure;
use super::load_feedback::FULL_LINK_UTILIZATION;
use super::request_state::{
    Attempt, ErrorResponse, PendingRequest, Resource, TimerPurpose, WaitTarget,
};
use super::router::Router;
use super::source_choice::MAX_SOURCE_TRIES;
use super::units::MIN_TIME_LEFT;
use crate::api::{FillNote, Micros, Outcome, RequestId, Status, Timestamp};

/// Fraction of the time to the latency objective from which a failed fill is slow: the request moves to the next
/// source without further tries.
const SLOW_FAILURE_FRACTION: f64 = 0.25;
/// A source lost within this multiple of the connect timeout was not reached, i.e. its process has stopped.
const CONNECT_TIMEOUT_FACTOR: f64 = 1.25;
/// Fraction of the latency objective for which a write backs off after a rejection for lack of capacity.
const WRITE_BACKOFF_FRACTION: f64 = 0.1;

/// A failure and the endpoint charged with it.
#[derive(Clone, Copy, Debug)]
struct Fault {
    endpoint: EndpointIndex,
    failure: Failure,
}

/// Consequences of an outcome beyond the request itself.
#[derive(Clone, Copy, Debug, Default)]
struct Assessment {
    /// Never names an endpoint that only passed on the failure of another.
    fault: Option<Fault>,
    /// Whether the attempt failed for lack of capacity.
    overloaded: bool,
}

impl Assessment {
    const NO_FAULT: Assessment = Assessment {
        fault: None,
        overloaded: false,
    };

    const OVERLOADED: Assessment = Assessment {
        fault: None,
        overloaded: true,
    };

    fn fault(endpoint: EndpointIndex, failure: Failure) -> Self {
        Assessment {
            fault: Some(Fault { endpoint, failure }),
            overloaded: false,
        }
    }
}

impl Router {
    /// Handles the end of an attempt.
    pub(super) fn attempt_ended(&mut self, outcome: Outcome) {
        let id = outcome.request;
        let Some(mut pending) = self.pending.remove(&id) else {
            return;
        };
        let Some(attempt) = pending.end_attempt(outcome.attempt) else {
            self.pending.insert(id, pending);
            return;
        };
        self.release_capacity(&pending, &attempt, &outcome);
        if !outcome.status.proves_not_run() && pending.may_have_run_at.is_none() {
            pending.may_have_run_at = Some(attempt.sent_at);
        }
        let assessment = self.handle_outcome(&mut pending, &attempt, &outcome);
        let is_finished = pending.done || outcome.closed;
        let has_attempt_in_flight = pending.has_attempt_in_flight();
        let backs_off = pending.class.write && assessment.overloaded;
        if backs_off && !has_attempt_in_flight && !is_finished {
            self.back_off_write(&mut pending);
        }
        let fill = WaitTarget::Fill(pending.request.object, pending.request.part);
        self.pending.insert(id, pending);
        self.update_health(&attempt, outcome.status, assessment.fault);
        if is_finished {
            self.finish(id);
        } else if !has_attempt_in_flight && !backs_off {
            self.retry_within_budget(id, assessment.overloaded);
        }
        self.wake_waiting_after(&attempt, fill);
    }

    /// Releases the slots and budgets that an attempt acquired.
    fn release_capacity(&mut self, pending: &PendingRequest, attempt: &Attempt, outcome: &Outcome) {
        let latency = outcome.latency;
        for (at, is_probe) in attempt.endpoints() {
            let endpoint = &mut self.endpoints[at];
            endpoint.concurrency.release(latency);
            if is_probe {
                endpoint.health.end_probe();
            }
        }
        if attempt.uses_link {
            self.link.release(latency);
        }
        if let Some(origin) = attempt.upstream_origin {
            self.endpoints[origin].concurrency.release(latency);
        }
        self.record_load_report(attempt.route.target, outcome.report);
        if let Some(utilization) = self.link_utilization().filter(|_| attempt.uses_link) {
            let signal = if utilization <= FULL_LINK_UTILIZATION {
                LoadSignal::InTime
            } else {
                LoadSignal::Overloaded
            };
            self.adapt_limit(Resource::Link, signal);
        }
        if attempt.route.other_source().is_some() {
            self.fills_in_flight.remove(&pending.part_key());
        }
        self.return_slow_start_charges(attempt, outcome);
    }

    /// Updates the request and the concurrency limits, and returns the remaining consequences.
    fn handle_outcome(
        &mut self,
        pending: &mut PendingRequest,
        attempt: &Attempt,
        outcome: &Outcome,
    ) -> Assessment {
        let target = attempt.route.target;
        let source = attempt.route.other_source();
        match (outcome.status, outcome.note, source) {
            (Status::Ok, ..) => {
                self.handle_served(pending, attempt, outcome);
                Assessment::NO_FAULT
            }
            (Status::NotSent | Status::Cancelled, ..) => {
                pending.failed_targets.push(target);
                Assessment::NO_FAULT
            }
            (Status::Miss, _, None) => {
                pending.missed = true;
                pending.parent_missed |= self.endpoints[target].role == Role::Parent;
                Assessment::NO_FAULT
            }
            (_, FillNote::SourceRejected | FillNote::SourceLost, Some(source)) => {
                self.handle_failed_source(pending, attempt, outcome, source)
            }
            (_, FillNote::SourceMiss, _) => {
                pending.parent_missed = true;
                pending.missed = true;
                Assessment::NO_FAULT
            }
            (_, FillNote::OriginFailed, _) => {
                // The parent only passed on the origin's failure, so it is not charged with it. What is behind it lacks
                // capacity.
                let at = source.unwrap_or(target);
                self.adapt_limit(Resource::Endpoint(at), LoadSignal::Late);
                Assessment::OVERLOADED
            }
            _ => self.handle_failed_target(pending, attempt, outcome),
        }
    }

    /// Handles a served request.
    fn handle_served(
        &mut self,
        pending: &mut PendingRequest,
        attempt: &Attempt,
        outcome: &Outcome,
    ) {
        let sent_at = attempt.sent_at;
        let target = attempt.route.target;
        self.record_success(target, sent_at);
        // The request is valid since it was served here: endpoints that returned an error for it are at fault.
        for error in std::mem::take(&mut pending.errors) {
            self.record_failure(error.endpoint, error.sent_at, Failure::Error);
        }
        // A fill through the origin only shows that the parent responds. A late fill is neither a failure nor a
        // success of the source; overdue attempts are counted in `charge_unresponsive`.
        let in_time = outcome.latency <= pending.latency_objective();
        let source = attempt.route.other_source();
        let filled_by = match outcome.note {
            FillNote::Filled => source,
            FillNote::FilledByOrigin => self.origin().or(source),
            _ => None,
        };
        if let Some(at) = filled_by.filter(|_| in_time) {
            self.record_success(at, sent_at);
        }
        if let Some(parent) = source.filter(|_| outcome.note == FillNote::FilledByOrigin) {
            self.record_success(parent, sent_at);
        }
        self.adapt_after_serving(target, filled_by, in_time);
    }

    /// Adapts the limit of the endpoint that served a request. With a quota below one slot a front sees too few
    /// responses to detect congestion by late ones, and a few of them would keep the limit low for long: there every
    /// response counts as in time. Late fills are not held against a source while the link is full.
    fn adapt_after_serving(
        &mut self,
        target: EndpointIndex,
        filled_by: Option<EndpointIndex>,
        in_time: bool,
    ) {
        let fractional = |at| self.has_fractional_quota(at);
        let counts_as_in_time = in_time || filled_by.is_some_and(fractional);
        if counts_as_in_time
            || filled_by.is_none()
            || self.link_utilization() <= Some(FULL_LINK_UTILIZATION)
        {
            let served_by = Resource::Endpoint(filled_by.unwrap_or(target));
            self.adapt_limit(served_by, LoadSignal::from_timeliness(counts_as_in_time));
        }
    }

    /// Handles a fill that the source rejected, or a source that was not reached, broke its connection or timed out.
    fn handle_failed_source(
        &mut self,
        pending: &mut PendingRequest,
        attempt: &Attempt,
        outcome: &Outcome,
        source: EndpointIndex,
    ) -> Assessment {
        let timeout = self.settings.connect_timeout as f64 * CONNECT_TIMEOUT_FACTOR;
        let not_reached =
            outcome.note == FillNote::SourceLost && outcome.source_wait <= timeout as Micros;
        let time_for_request = pending.objective_at.saturating_sub(attempt.sent_at);
        let slow = outcome.latency as f64 > SLOW_FAILURE_FRACTION * time_for_request as f64;
        let tries = if slow { MAX_SOURCE_TRIES } else { 1 };
        pending.failed_sources.extend(vec![source; tries]);
        let signal = if outcome.note == FillNote::SourceRejected {
            LoadSignal::Overloaded
        } else {
            LoadSignal::Late
        };
        self.adapt_limit(Resource::Endpoint(source), signal);
        if not_reached {
            return Assessment::fault(source, Failure::Lost);
        }
        Assessment {
            overloaded: true,
            ..Assessment::fault(source, Failure::Soft)
        }
    }

    /// Handles a failure of the target itself.
    fn handle_failed_target(
        &mut self,
        pending: &mut PendingRequest,
        attempt: &Attempt,
        outcome: &Outcome,
    ) -> Assessment {
        let target = attempt.route.target;
        pending.failed_targets.push(target);
        match outcome.status {
            // A broken connection counts as one failure however many attempts it carried.
            Status::ConnectFailed | Status::Reset if outcome.shared_failure => Assessment::NO_FAULT,
            Status::ConnectFailed | Status::Reset => Assessment::fault(target, Failure::Lost),
            Status::Error => {
                // Invalid requests get errors from all endpoints: charged only once another endpoint serves the
                // request.
                pending.errors.push(ErrorResponse {
                    endpoint: target,
                    sent_at: attempt.sent_at,
                });
                Assessment::NO_FAULT
            }
            Status::Timeout => {
                let at = attempt.route.other_source().unwrap_or(target);
                self.adapt_limit(Resource::Endpoint(at), LoadSignal::Late);
                Assessment::NO_FAULT
            }
            Status::Rejected => {
                if outcome.note != FillNote::NoFillSlot {
                    self.adapt_limit(Resource::Endpoint(target), LoadSignal::Overloaded);
                }
                Assessment::OVERLOADED
            }
            Status::Ok | Status::Cancelled | Status::NotSent | Status::Miss => Assessment::NO_FAULT,
        }
    }

    /// Delays a rejected write. Writes are few and have the highest priority, so they back off instead of using the
    /// retry budget.
    fn back_off_write(&mut self, pending: &mut PendingRequest) {
        let wait = (pending.class.latency_objective as f64 * WRITE_BACKOFF_FRACTION) as Micros;
        let latest: Timestamp = pending.deadline.saturating_sub(MIN_TIME_LEFT);
        let until = (self.now + wait).min(latest);
        pending.backoff_until = Some(until);
        let purpose = TimerPurpose::WaitExpired(pending.request.id);
        self.set_timer(until.saturating_sub(self.now), purpose);
    }

    fn update_health(&mut self, attempt: &Attempt, status: Status, fault: Option<Fault>) {
        let target = attempt.route.target;
        match status {
            Status::Timeout => {
                self.charge_unresponsive(target, attempt.route.other_source(), attempt.sent_at);
            }
            Status::Cancelled | Status::NotSent | Status::ConnectFailed | Status::Reset => {}
            Status::Ok | Status::Error | Status::Rejected | Status::Miss => {
                self.endpoints[target].health.record_response(self.now);
            }
        }
        if let Some(fault) = fault {
            self.record_failure(fault.endpoint, attempt.sent_at, fault.failure);
        }
    }

    /// Sends the next attempt. After a rejection for lack of capacity this is limited by the retry budget.
    fn retry_within_budget(&mut self, id: RequestId, overloaded: bool) {
        if overloaded {
            if !self.retry_budget.has_token() {
                return self.reject_or_fail(id);
            }
            self.retry_budget.withdraw();
        }
        self.next_attempt(id);
    }

    /// Wakes requests that wait for the capacity that an attempt released, or for its fill.
    fn wake_waiting_after(&mut self, attempt: &Attempt, fill: WaitTarget) {
        let source = attempt.route.other_source();
        self.wake_waiting(WaitTarget::Cache);
        self.wake_waiting(WaitTarget::Endpoint(attempt.route.target));
        self.wake_waiting(WaitTarget::Link);
        for at in attempt.upstream_origin.into_iter().chain(source) {
            self.wake_waiting(WaitTarget::Endpoint(at));
        }
        if source.is_some() {
            self.wake_waiting(fill);
        }
    }
}
