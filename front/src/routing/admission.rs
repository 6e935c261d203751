//! Admission: a front accepts no more requests than its memory can hold.
use super::*;
use cranesill::api::{Event, Request};

/// How long the decisions may still respond after the client's deadline; part of the margin that ingress leaves.
const ROUTER_GRACE: Micros = 2_000;

impl RequestPipeline {
    /// Hands a request to the decisions, or responds at once.
    pub(super) fn admit(&mut self, now: Timestamp, pending: PendingRequest, request: Request) {
        let reply_to = pending.reply_to;
        let transaction = pending.request.transaction;
        // Endpoints could not tell two pending requests under one identifier apart.
        if self.by_transaction.contains_key(&transaction)
            || self.by_reply_to.contains_key(&reply_to)
        {
            return self.respond(reply_to, Some(pending.class), Response::Failed);
        }
        if let Some(reason) = self.rejection_reason() {
            let line = format!(
                "{reason}: {} requests open, {} bytes held",
                self.pending.len(),
                self.buffered_bytes
            );
            self.commands.push_back(Command::Log(line));
            let response = Response::Rejected(self.overload_retry_after());
            return self.respond(reply_to, Some(pending.class), response);
        }
        let id = request.id;
        self.by_reply_to.insert(reply_to, id);
        self.by_transaction.insert(transaction, id);
        // The decisions respond first if an attempt times out at the same time.
        self.commands.push_back(Command::SetTimer {
            at: pending.deadline + ROUTER_GRACE,
            timer: Timer::RequestDeadline(id),
        });
        self.pending.insert(id, pending);
        self.handle_event(now, Event::Request(request));
    }

    /// Why no further request is admitted now; `None` if one is.
    fn rejection_reason(&self) -> Option<&'static str> {
        if self.rejecting {
            return Some("closed");
        }
        // Each pending request will come to hold a response. Reserving the largest one for each would reject requests
        // that there is memory for; larger responses are guarded against by not reading from endpoints.
        let expected = (self.pending.len() as f64 * self.average_response_bytes) as usize;
        let full = self.pending.len() >= self.capacity.max_pending
            || self.buffered_bytes + expected > self.capacity.max_buffered_bytes;
        full.then_some("no room")
    }
}
