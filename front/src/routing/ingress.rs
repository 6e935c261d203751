//! Ingress: converts clients' requests into requests to the router.
use super::*;
use cranesill::api::{Event, ObjectId, Request};

/// Time between sending a response and the time limit of the client, so that the response arrives in time.
const RESPONSE_MARGIN: Micros = 10_000;

impl RequestPipeline {
    /// Handles a client's request whose last byte was received at `now`.
    pub fn receive_request(&mut self, now: Timestamp, reply_to: ReplyTo, received: ClientRequest) {
        let class = self.class_index(&received.class);
        let write = class.is_some_and(|class| self.deployment.settings.classes[class].write);
        // Only requests that are executed by the origin may lack an object.
        let Some(class) = class.filter(|_| write || received.object.is_some()) else {
            return self.respond(reply_to, None, Response::Failed, now);
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
            reply_to,
            request: Rc::new(received),
            deadline,
            class,
            write,
            attempts_sent: 0,
            may_have_run_at: None,
        };
        self.admit(now, pending, request);
    }

    /// Returns whether an attempt of the request on this stream is outstanding.
    pub fn has_outstanding_attempt(&self, reply_to: ReplyTo) -> bool {
        let Some(id) = self.by_reply_to.get(&reply_to) else {
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

    /// Cancels the request on a stream after its client has disconnected or cancelled it.
    pub fn cancel_request(&mut self, now: Timestamp, reply_to: ReplyTo) {
        let Some(id) = self.by_reply_to.get(&reply_to).copied() else {
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

    /// Returns the latest time to send the response. The client's time limit is capped at that of the class, because timers
    /// are held until they expire.
    fn deadline(&self, now: Timestamp, class: usize, time_limit: Micros) -> Timestamp {
        let class_limit = match self.deployment.limits.client_timeouts[class] {
            0 => Micros::MAX,
            limit => limit,
        };
        let limit = time_limit.min(class_limit);
        now + limit - RESPONSE_MARGIN.min(limit / 2)
    }
}
