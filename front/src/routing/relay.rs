//! Relay: sends exactly one final response to each request.
use super::*;

/// Weight of a new response in the moving average of response sizes.
const RESPONSE_SIZE_SMOOTHING: f64 = 0.01;

impl RequestPipeline {
    /// Relays an endpoint's reply if it is a final response. Returns whether the request has had its final response, now or
    /// earlier.
    pub(super) fn relay(&mut self, id: RequestId, reply: &UpstreamReply) -> bool {
        match reply.kind {
            ReplyKind::Hit => {
                let difference = reply.body.len() as f64 - self.average_response_bytes;
                self.average_response_bytes += difference * RESPONSE_SIZE_SMOOTHING;
                self.conclude(id, Response::Served(Rc::clone(&reply.body)));
            }
            ReplyKind::NotModified => self.conclude(id, Response::NotModified),
            _ => {}
        }
        !self.pending.contains_key(&id)
    }

    /// Sends the final response to a request that is still pending.
    pub(super) fn conclude(&mut self, id: RequestId, response: Response) {
        if let Some(pending) = self.remove_pending(id) {
            self.respond_to(&pending, response);
        }
    }

    /// Sends and counts the final response to a request.
    pub(super) fn respond_to(&mut self, request: &PendingRequest, response: Response) {
        let class = Some(request.class);
        self.respond(request.reply_to, class, response, request.deadline);
    }

    /// Sends and counts a final response that the client waits for until `deadline`. Requests of unknown classes are not
    /// counted.
    pub(super) fn respond(
        &mut self,
        to: ReplyTo,
        class: Option<usize>,
        response: Response,
        deadline: Timestamp,
    ) {
        if let Some(counts) = class.and_then(|class| self.counts.get_mut(class)) {
            match response {
                Response::Served(_) | Response::NotModified => counts.served += 1,
                Response::Rejected(_) => counts.rejected += 1,
                Response::Failed => counts.failed += 1,
            }
        }
        self.commands.push_back(Command::Respond {
            to,
            response,
            deadline,
        });
    }

    /// Removes a request and its index entries, and returns it if it was pending.
    pub(super) fn remove_pending(&mut self, id: RequestId) -> Option<PendingRequest> {
        let pending = self.pending.remove(&id)?;
        self.by_reply_to.remove(&pending.reply_to);
        self.by_transaction.remove(&pending.request.transaction);
        self.bodies
            .release(pending.reply_to.client, pending.request.body.len());
        Some(pending)
    }
}
