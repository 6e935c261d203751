//! Admission: whether a request is sent, waits for capacity, or is rejected or failed.
use super::endpoint::Role;
use super::request_state::{PendingRequest, Plan, PlanError, TimerPurpose, WaitTarget};
use super::router::Router;
use super::units::{MILLISECOND, MIN_TIME_LEFT};
use crate::api::{Micros, RequestId};

/// Fraction of its remaining time that a request waits at most before its first attempt, so that a rejection leaves
/// its client time to retry elsewhere.
const MAX_WAIT_FRACTION: f64 = 0.5;

impl Router {
    /// Sends the next attempt of a request, queues the request, or rejects or fails it.
    pub(super) fn next_attempt(&mut self, id: RequestId) {
        let Some(mut pending) = self.pending.remove(&id) else {
            return;
        };
        let plan = self.plan_if_allowed(&pending);
        pending.backoff_until = None;
        let waited_before = pending.waiting_for.take().is_some();
        if let Ok(Plan::Wait(target)) = plan {
            self.enqueue(&mut pending, target);
            if !waited_before {
                self.set_wait_timer(&pending);
            }
        }
        self.pending.insert(id, pending);
        match plan {
            Ok(Plan::Send(route)) => self.send(id, route),
            Ok(Plan::Wait(_)) => {}
            Err(_) => self.reject_or_fail(id),
        }
    }

    fn plan_if_allowed(&mut self, pending: &PendingRequest) -> Result<Plan, PlanError> {
        if self.now + MIN_TIME_LEFT >= pending.deadline {
            return Err(PlanError::DeadlineTooClose);
        }
        if !self.may_repeat(pending) {
            return Err(PlanError::NotRepeatable);
        }
        self.plan(pending)
    }

    fn enqueue(&mut self, pending: &mut PendingRequest, target: WaitTarget) {
        pending.waiting_for = Some(target);
        self.wait_queues.add(target, pending.queue_position());
    }

    /// Sets the timer that ends a wait when a response could no longer meet the objective.
    fn set_wait_timer(&mut self, pending: &PendingRequest) {
        let last_in_time = pending.objective_at.min(pending.deadline);
        let transfer_time = pending.transfer_time_us as Micros;
        let mut wait = last_in_time.saturating_sub(self.now + transfer_time);
        if pending.attempts.is_empty() {
            let time_left = pending.deadline.saturating_sub(self.now);
            wait = wait.min((time_left as f64 * MAX_WAIT_FRACTION) as Micros);
        }
        let purpose = TimerPurpose::WaitExpired(pending.request.id);
        self.set_timer(wait.max(MILLISECOND), purpose);
    }

    /// Resumes the requests that wait for `target`, in queue order, while it has capacity or has become unusable.
    pub(super) fn wake_waiting(&mut self, target: WaitTarget) {
        let mut queue = self.wait_queues.take(&target);
        if queue.is_empty() {
            return;
        }
        while self.should_wake(target) {
            let Some(position) = queue.pop_first() else {
                break;
            };
            self.next_attempt(position.request);
        }
        self.wait_queues.put_back(target, queue);
    }

    fn should_wake(&self, target: WaitTarget) -> bool {
        match target {
            WaitTarget::Cache => {
                let caches = self.endpoints.ready(Role::Cache).iter();
                let mut usable = caches.filter(|at| self.is_usable(**at)).peekable();
                usable.peek().is_none() || usable.any(|at| self.has_capacity(*at))
            }
            WaitTarget::Endpoint(at) => self.has_capacity(at) || !self.is_usable(at),
            WaitTarget::Link => self.link.has_capacity(self.now),
            WaitTarget::Fill(object, part) => !self.fills_in_flight.contains(&(object, part)),
        }
    }

    /// Ends a wait: a write is retried after its backoff, a request that got no capacity is rejected or failed.
    pub(super) fn wait_timer_expired(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get(&id).filter(|pending| !pending.done) else {
            return;
        };
        if pending.backoff_until.is_some_and(|until| until <= self.now) {
            self.next_attempt(id);
        } else if pending.waiting_for.is_some() {
            self.reject_or_fail(id);
        }
    }
}
