//! Take in: what a client sends becomes a request of the decisions.
use super::*;
use cranesill::api::{ObjectId, Request};

/// Left of the client's time when the last answer goes out, so that it arrives in time.
const MARGIN: Micros = 10_000;

impl Front {
    /// Takes in a client's request that came whole at `now`.
    pub fn take_in(&mut self, now: Timestamp, from: ReplyTo, ask: Ask) {
        let class = self
            .deployment
            .names
            .classes
            .iter()
            .position(|name| *name == ask.class);
        let write = class.is_some_and(|c| self.deployment.settings.classes[c].write);
        // Only what runs at the origin can do without an object.
        let Some(class) = class.filter(|_| write || ask.item.is_some()) else {
            return self.answer(from, None, Answer::Failed);
        };
        // A client that claims to wait for weeks would have its deadlines remembered for as long.
        let most = Some(self.deployment.limits.waits[class]).filter(|most| *most > 0);
        let limit = ask.limit.min(most.unwrap_or(Micros::MAX));
        let deadline = now + limit - MARGIN.min(limit / 2);
        self.last += 1;
        let request = Request {
            id: RequestId(self.last),
            class: class as u16,
            object: ObjectId(ask.item.as_ref().map_or(0, |item| item.id)),
            part: ask.part,
            group: ask.group,
            size_kb: ask.size_kb,
            time_left: deadline - now,
        };
        self.admit(
            now,
            Open {
                from,
                ask: Rc::new(ask),
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
    pub fn is_out(&self, from: ReplyTo) -> bool {
        let id = self.asked.get(&from);
        let last = id.and_then(|id| Some((*id, self.open.get(id)?.sent)));
        last.is_some_and(|(request, sent)| {
            (0..sent).any(|number| self.out.contains_key(&AttemptId { request, number }))
        })
    }

    /// Nobody waits for this stream any more.
    pub fn gone(&mut self, now: Timestamp, from: ReplyTo) {
        if let Some(id) = self.asked.get(&from).copied() {
            if let Some(counts) = self
                .forget(id)
                .and_then(|open| self.counts.get_mut(open.class))
            {
                counts.left += 1;
            }
            self.tell(now, cranesill::api::Event::Cancelled(id));
        }
    }
}
