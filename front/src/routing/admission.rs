//! Admission: rejects requests that would exceed the memory limits of the front.
use super::*;
use cranesill::api::{Event, Request};

/// Time that the router has to respond after the deadline of a request. It is part of the response margin of ingress.
const ROUTER_GRACE: Micros = 2_000;

impl RequestPipeline {
    /// Passes a request to the router, or rejects or fails it at once.
    pub(super) fn admit(&mut self, now: Timestamp, pending: PendingRequest, request: Request) {
        let reply_to = pending.reply_to;
        let transaction = pending.request.transaction;
        // Upstream replies are matched by transaction id, which therefore has to be unique among pending requests.
        if self.by_transaction.contains_key(&transaction)
            || self.by_reply_to.contains_key(&reply_to)
        {
            return self.respond_to(&pending, Response::Failed);
        }
        if let Some(reason) = self.rejection_reason() {
            let line = format!(
                "request rejected: {reason}: {} of {} requests pending, {} of {} bytes buffered",
                self.pending.len(),
                self.capacity.max_pending,
                self.buffered_bytes,
                self.capacity.max_buffered_bytes
            );
            self.commands.push_back(Command::Log(line));
            let response = Response::Rejected(self.overload_retry_after());
            return self.respond_to(&pending, response);
        }
        let id = request.id;
        self.by_reply_to.insert(reply_to, id);
        self.by_transaction.insert(transaction, id);
        // The grace lets the router respond first if an attempt times out at the deadline.
        self.commands.push_back(Command::SetTimer {
            at: pending.deadline + ROUTER_GRACE,
            timer: Timer::RequestDeadline(id),
        });
        self.pending.insert(id, pending);
        self.handle_event(now, Event::Request(request));
    }

    /// Returns why a new request has to be rejected; `None` if it can be admitted.
    fn rejection_reason(&self) -> Option<&'static str> {
        if self.rejecting {
            return Some("not accepting requests");
        }
        // Memory is reserved for a response of average size to each pending request; reserving the maximum size would reject
        // far too many. Larger responses are handled by backpressure: reading from endpoints is paused.
        let expected = (self.pending.len() as f64 * self.average_response_bytes) as usize;
        let full = self.pending.len() >= self.capacity.max_pending
            || self.buffered_bytes + expected > self.capacity.max_buffered_bytes;
        full.then_some("capacity limit reached")
    }
}
