//! Take in: what a client sends becomes a request of the decisions.
use super::*;
use cranesill::api::{ObjectId, Request};

/// Left of the client's time when the last answer goes out, so that it arrives in time.
const RESPONSE_MARGIN: Micros = 10_000;

impl RequestPipeline {
    /// Takes in a client's request that came whole at `now`.
    pub fn receive_request(
        &mut self,
        now: Timestamp,
        from: ReplyTo,
        client_request: ClientRequest,
    ) {
        let class = self
            .deployment
            .names
            .classes
            .iter()
            .position(|name| *name == client_request.class);
        let write = class.is_some_and(|c| self.deployment.settings.classes[c].write);
        // Only what runs at the origin can do without an object.
        let Some(class) = class.filter(|_| write || client_request.object.is_some()) else {
            return self.respond(from, None, Response::Failed);
        };
        // A client that claims to wait for weeks would have its deadlines remembered for as long.
        let most = Some(self.deployment.limits.waits[class]).filter(|most| *most > 0);
        let limit = client_request.time_limit.min(most.unwrap_or(Micros::MAX));
        let deadline = now + limit - RESPONSE_MARGIN.min(limit / 2);
        self.last_request_id += 1;
        let request = Request {
            id: RequestId(self.last_request_id),
            class: class as u16,
            object: ObjectId(client_request.object.as_ref().map_or(0, |item| item.id)),
            part: client_request.part,
            group: client_request.group,
            size_kb: client_request.size_kb,
            left: deadline - now,
        };
        self.admit(
            now,
            PendingRequest {
                from,
                request: Rc::new(client_request),
                deadline,
                class,
                write,
                sent: 0,
                ran: None,
            },
            request,
        );
    }

    /// Whether an attempt of what was asked on this stream is out.
    pub fn has_outstanding_attempt(&self, from: ReplyTo) -> bool {
        let id = self.by_client.get(&from);
        let last = id.and_then(|id| Some((*id, self.pending.get(id)?.sent)));
        last.is_some_and(|(request, sent)| {
            (0..sent).any(|number| {
                self.outstanding
                    .contains_key(&AttemptId { request, number })
            })
        })
    }

    /// Nobody waits for this stream any more.
    pub fn cancel_request(&mut self, now: Timestamp, from: ReplyTo) {
        if let Some(id) = self.by_client.get(&from).copied() {
            if let Some(counts) = self
                .remove_pending(id)
                .and_then(|pending| self.counts.get_mut(pending.class))
            {
                counts.cancelled += 1;
            }
            self.handle_event(now, cranesill::api::Event::Cancelled(id));
        }
    }
}
