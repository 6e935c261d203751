//! Admission: rejects requests that would exceed the memory limits of the front.
use super::*;
use cranesill::api::{Event, Request};
use std::fmt;

/// Time that the router has to respond after the deadline of a request. It is part of the response margin of ingress.
const ROUTER_GRACE: Micros = 2_000;

/// Why a request is rejected before it reaches the router.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RejectionReason {
    /// The front is drained or shutting down.
    NotAccepting,
    /// There are too many pending requests, or responses to them would not fit into the memory.
    CapacityLimit,
    /// The body of the request would not fit into the memory for the bodies of pending requests.
    BodyMemoryLimit,
}

impl fmt::Display for RejectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RejectionReason::NotAccepting => "not accepting requests",
            RejectionReason::CapacityLimit => "capacity limit reached",
            RejectionReason::BodyMemoryLimit => "memory limit of request bodies reached",
        })
    }
}

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
        if self.may_have_run_before(now, &pending) {
            // Not rejected, which would tell the client that it was not executed.
            return self.respond_to(&pending, Response::Failed);
        }
        if let Some(reason) = self.rejection_reason(&pending) {
            let line = self.rejection_line(reason);
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
        self.bodies
            .charge(reply_to.client, pending.request.body.len());
        self.pending.insert(id, pending);
        self.handle_event(now, Event::Request(request));
    }

    /// Whether a request with the same identifier may have been executed, and must not be executed again. Counts and logs it.
    fn may_have_run_before(&mut self, now: Timestamp, request: &PendingRequest) -> bool {
        let key = self.execution_key(request);
        let Some(key) = key.filter(|key| self.executions.is_known(now, *key)) else {
            return false;
        };
        self.executions.duplicates += 1;
        let line = format!(
            "request failed: {:016x} of class {} may have been executed before; not forwarded again",
            key.0, request.request.class
        );
        self.commands.push_back(Command::Log(line));
        true
    }

    /// Returns why a new request has to be rejected; `None` if it can be admitted.
    fn rejection_reason(&self, request: &PendingRequest) -> Option<RejectionReason> {
        if self.rejecting {
            return Some(RejectionReason::NotAccepting);
        }
        if self.is_at_capacity(request) {
            return Some(RejectionReason::CapacityLimit);
        }
        let body_bytes = request.request.body.len();
        let client = request.reply_to.client;
        let limit = self.capacity.max_body_bytes;
        let has_memory = self.bodies.admits(client, body_bytes, limit);
        (!has_memory).then_some(RejectionReason::BodyMemoryLimit)
    }

    /// Whether another request would exceed the limit on pending requests or on the memory for them and their responses.
    fn is_at_capacity(&self, request: &PendingRequest) -> bool {
        // Memory is reserved for a response of average size to each pending request; reserving the maximum size would reject
        // far too many. Larger responses are handled by backpressure: reading from endpoints is paused.
        let expected = (self.pending.len() as f64 * self.average_response_bytes) as usize;
        // A body is retained until the final response, because a retry sends it again. While it is being written upstream it is
        // also part of the buffered bytes, and counted twice.
        let bodies = self.bodies.total() + request.request.body.len();
        self.pending.len() >= self.capacity.max_pending
            || self.buffered_bytes + expected + bodies > self.capacity.max_buffered_bytes
    }

    /// Returns the log line on a rejected request, with the usage of each limit.
    fn rejection_line(&self, reason: RejectionReason) -> String {
        format!(
            "request rejected: {reason}: {} of {} requests pending, {} of {} bytes buffered, {} of {} bytes of request bodies",
            self.pending.len(),
            self.capacity.max_pending,
            self.buffered_bytes,
            self.capacity.max_buffered_bytes,
            self.bodies.total(),
            self.capacity.max_body_bytes
        )
    }
}
