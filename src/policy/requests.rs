//! Arrival and end of requests.
use super::request_state::PendingRequest;
use super::router::Router;
use super::units::{indicator, EWMA_WEIGHT, MILLISECOND, SECOND_US};
use crate::api::{Action, Class, Micros, Request, RequestId, Settings};

/// A part requested again within one to two of these periods is cached at a higher rank, so that one-off requests do
/// not evict it.
const RECENT_REQUEST_PERIOD: Micros = 10_000 * MILLISECOND;
/// Transfer time in microseconds that is assumed if the size is unknown.
pub(super) const DEFAULT_TRANSFER_TIME_US: f64 = 200_000.0;

/// Time in microseconds to send the response to the client, from the size given in the request.
pub(super) fn transfer_time_us(request: &Request, settings: &Settings) -> f64 {
    request.size_kb / settings.client_kb_per_s * SECOND_US
}

impl Router {
    /// Handles a new request.
    pub(super) fn request_arrived(&mut self, request: Request) {
        let class = usize::from(request.class);
        let Some(class) = self.settings.classes.get(class).cloned() else {
            return self.actions.push(Action::Reject(request.id, 0));
        };
        if self.pending.contains_key(&request.id) {
            return;
        }
        let transfer_time_us = self.assumed_transfer_time_us(&request, &class);
        self.update_averages(&request, transfer_time_us);
        self.hedge_budget.deposit();
        self.retry_budget.deposit();
        let part = (request.object, request.part);
        let requested_recently = self
            .recent_parts
            .insert(part, self.now, RECENT_REQUEST_PERIOD);
        let id = request.id;
        let pending = PendingRequest::new(
            request,
            class,
            transfer_time_us,
            self.now,
            requested_recently,
        );
        self.pending.insert(id, pending);
        self.next_attempt(id);
    }

    fn assumed_transfer_time_us(&self, request: &Request, class: &Class) -> f64 {
        let by_size = transfer_time_us(request, &self.settings);
        if by_size > 0.0 && by_size.is_finite() && !class.write {
            by_size
        } else {
            DEFAULT_TRANSFER_TIME_US
        }
    }

    fn update_averages(&mut self, request: &Request, transfer_time_us: f64) {
        let mean = &mut self.mean_transfer_time_us[usize::from(request.class)];
        if *mean == 0.0 {
            *mean = transfer_time_us;
        } else {
            *mean += (transfer_time_us - *mean) * EWMA_WEIGHT;
        }
        let purged = indicator(self.was_purged_recently(request));
        self.purged_ratio += (purged - self.purged_ratio) * EWMA_WEIGHT;
    }

    /// Handles the start of a response: the client receives that of this attempt, and the others are cancelled.
    pub(super) fn response_started(&mut self, id: RequestId, number: u16) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if self.settings.cancellation {
            pending.cancel_all_but(Some(usize::from(number)), &mut self.actions);
        }
        // Prevents any later cancellation, also of the attempt that the client receives.
        for attempt in &mut pending.attempts {
            attempt.cancelled = true;
        }
    }

    /// Ends a request: cancels its attempts in flight, and drops its state once none is left.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        pending.done = true;
        if let Some(target) = pending.waiting_for.take() {
            let position = pending.queue_position();
            self.wait_queues.remove(target, &position);
        }
        if self.settings.cancellation {
            pending.cancel_all(&mut self.actions);
        }
        if !pending.has_attempt_in_flight() {
            self.pending.remove(&id);
        }
    }
}
