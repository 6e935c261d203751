//! Admit: a front takes on no more than its memory can hold.
use super::*;
use cranesill::api::{Event, Request};

/// Time that the decisions have for an answer once the client's time is up; it is part of the margin that take in leaves.
const DECISION_GRACE: Micros = 2_000;

impl RequestPipeline {
    /// Passes a request on to the decisions, or answers it at once.
    pub(super) fn admit(&mut self, now: Timestamp, pending: PendingRequest, request: Request) {
        let (from, transaction) = (pending.from, pending.request.transaction);
        // Two open requests under one id could not be told apart at a member.
        if self.by_transaction.contains_key(&transaction) || self.by_client.contains_key(&from) {
            return self.respond(from, Some(pending.class), Response::Failed);
        }
        // Guards the memory limit: each open request will come to hold an answer. Full size for each would turn
        // away requests that there is room for; what comes larger is guarded against by holding back members.
        let expected = (self.pending.len() as f64 * self.average_response_bytes) as usize;
        if self.rejecting
            || self.pending.len() >= self.capacity.max_pending
            || self.buffered_bytes + expected > self.capacity.max_buffered_bytes
        {
            let why = if self.rejecting { "closed" } else { "no room" };
            let line = format!(
                "{why}: {} requests open, {} bytes held",
                self.pending.len(),
                self.buffered_bytes
            );
            self.commands.push_back(Command::Log(line));
            return self.respond(
                from,
                Some(pending.class),
                Response::Rejected(self.overload_retry_after()),
            );
        }
        let id = request.id;
        self.by_client.insert(from, id);
        self.by_transaction.insert(transaction, id);
        // The decisions get to answer first, when the time of an attempt is up at the same moment.
        self.commands.push_back(Command::SetTimer(
            pending.deadline + DECISION_GRACE,
            Timer::RequestDeadline(id),
        ));
        self.pending.insert(id, pending);
        self.handle_event(now, Event::Request(request));
    }
}
