//! Ingress: a client's request becomes a request of the decisions.
use super::*;
use cranesill::api::{Event, ObjectId, Request};

/// The response leaves this long before the client stops waiting, so that it arrives in time.
const RESPONSE_MARGIN: Micros = 10_000;

impl RequestPipeline {
    /// Handles a client's request that was received completely at `now`.
    pub fn receive_request(&mut self, now: Timestamp, from: ReplyTo, received: ClientRequest) {
        let class = self.class_index(&received.class);
        let write = class.is_some_and(|class| self.deployment.settings.classes[class].write);
        // Only what runs at the origin can do without an object.
        let Some(class) = class.filter(|_| write || received.object.is_some()) else {
            return self.respond(from, None, Response::Failed);
        };
        let deadline = self.deadline(now, class, received.time_limit);
        self.last_request_id += 1;
        let request = Request {
            id: RequestId(self.last_request_id),
            class: class as u16,
            object: ObjectId(received.object.as_ref().map_or(0, |object| object.id)),
            part: received.part,
            group: received.group,
            size_kb: received.size_kb,
            time_left: deadline - now,
        };
        let pending = PendingRequest {
            from,
            request: Rc::new(received),
            deadline,
            class,
            write,
            attempts_sent: 0,
            first_possible_run: None,
        };
        self.admit(now, pending, request);
    }

    /// Whether an attempt of the request on this stream is outstanding.
    pub fn has_outstanding_attempt(&self, from: ReplyTo) -> bool {
        let Some(id) = self.by_client.get(&from) else {
            return false;
        };
        let Some(pending) = self.pending.get(id) else {
            return false;
        };
        (0..pending.attempts_sent).any(|number| {
            let attempt = AttemptId {
                request: *id,
                number,
            };
            self.outstanding.contains_key(&attempt)
        })
    }

    /// Cancels the request on a stream: its client has disconnected.
    pub fn cancel_request(&mut self, now: Timestamp, from: ReplyTo) {
        let Some(id) = self.by_client.get(&from).copied() else {
            return;
        };
        let class = self.remove_pending(id).map(|pending| pending.class);
        if let Some(counts) = class.and_then(|class| self.counts.get_mut(class)) {
            counts.cancelled += 1;
        }
        self.handle_event(now, Event::Cancelled(id));
    }

    fn class_index(&self, name: &str) -> Option<usize> {
        let mut names = self.deployment.names.classes.iter();
        names.position(|class| class == name)
    }

    /// When the response has to leave. A client that claims to wait for weeks is held to the limit of its class, since
    /// its deadlines would be remembered for as long.
    fn deadline(&self, now: Timestamp, class: usize, time_limit: Micros) -> Timestamp {
        let class_limit = match self.deployment.limits.client_timeouts[class] {
            0 => Micros::MAX,
            limit => limit,
        };
        let limit = time_limit.min(class_limit);
        now + limit - RESPONSE_MARGIN.min(limit / 2)
    }
}
