//! Relay: the final answer goes to the client, once.
use super::*;

impl RequestPipeline {
    /// Relays what a member served. Whether the request is concluded, by this or before.
    pub(super) fn relay(&mut self, id: RequestId, reply: &UpstreamReply) -> bool {
        match reply.kind {
            ReplyKind::Hit => {
                self.average_response_bytes +=
                    (reply.body.len() as f64 - self.average_response_bytes) * RESPONSE_BYTES_WEIGHT;
                self.conclude(id, Response::Served(Rc::clone(&reply.body)));
            }
            ReplyKind::NotModified => self.conclude(id, Response::NotModified),
            _ => {}
        }
        !self.pending.contains_key(&id)
    }

    /// Gives the final answer, if it is still owed.
    pub(super) fn conclude(&mut self, id: RequestId, response: Response) {
        if let Some(PendingRequest { from, class, .. }) = self.remove_pending(id) {
            self.respond(from, Some(class), response);
        }
    }

    /// Every final answer passes here and is counted; one to a request of no known class is in no count.
    pub(super) fn respond(&mut self, to: ReplyTo, class: Option<usize>, response: Response) {
        if let Some(counts) = class.and_then(|class| self.counts.get_mut(class)) {
            match response {
                Response::Served(_) | Response::NotModified => counts.served += 1,
                Response::Rejected(_) => counts.rejected += 1,
                Response::Failed => counts.failed += 1,
            }
        }
        self.commands.push_back(Command::Respond(to, response));
    }

    /// Nothing more is owed for a request; what it was, if it was pending.
    pub(super) fn remove_pending(&mut self, id: RequestId) -> Option<PendingRequest> {
        let pending = self.pending.remove(&id)?;
        self.by_client.remove(&pending.from);
        self.by_transaction.remove(&pending.request.transaction);
        Some(pending)
    }
}
