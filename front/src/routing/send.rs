//! Send: an attempt that was decided becomes a fetch for a member.
use super::*;
use cranesill::api::Fill;

impl Front {
    /// Sends an attempt, which is given up at `until` or when the client's time is up; they are numbered in the
    /// order sent.
    pub(super) fn send(
        &mut self,
        now: Time,
        request: RequestId,
        target: MemberId,
        until: Option<Time>,
        fill: Option<Fill>,
    ) {
        // The decisions learn of a final answer before they decide again, so the request is open here.
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = AttemptId { request, number: open.sent };
        open.sent += 1;
        self.out.insert(attempt, Out { sent: now });
        let deadline = until.map_or(open.deadline, |until| until.min(open.deadline));
        let mut fill = fill.map(|fill| Source {
            source: Some(fill.source).filter(|s| *s != target),
            rank: fill.rank,
            oldest: fill.oldest,
            join: fill.join,
            only_held: fill.only_held,
            renew: fill.renew,
        });
        // As of now, not as of when it was taken in: purges come while requests wait.
        if let Some(floors) = self.floors.as_ref().filter(|_| !open.write) {
            let told = fill.map_or(0, |f| f.oldest);
            let oldest = floors.oldest(now, &open.ask, told);
            if oldest != told {
                let bare =
                    Source { source: None, rank: 0, oldest, join: false, only_held: false, renew: false };
                fill = Some(fill.map_or(bare, |fill| Source { oldest, ..fill }));
            }
        }
        let fetch = Fetch {
            txn: open.ask.txn,
            class: open.ask.class.as_str().into(),
            item: open.ask.item.clone(),
            part: open.ask.part,
            deadline,
            fill,
            seen: open.ask.have.clone(),
            write: open.write,
            body: Rc::clone(&open.ask.body),
        };
        self.commands.push_back(Command::Wake(deadline, Wake::Attempt(attempt)));
        self.commands.push_back(Command::Send(attempt, target, fetch));
    }

    /// Calls an attempt off, if it is still out; its end is booked as soon as that is done.
    pub(super) fn call_off(&mut self, attempt: AttemptId) {
        if self.out.contains_key(&attempt) {
            self.commands.push_back(Command::Abort(attempt));
        }
    }
}
