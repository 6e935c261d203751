//! Book: the end of each attempt is told to the decisions, once.
use super::*;
use cranesill::api::{Event, FillNote, Outcome, Status};

impl Front {
    /// Books the end of an attempt; a second end of the same one is passed over.
    pub fn ended(&mut self, now: Timestamp, attempt: AttemptId, end: End) {
        let Some(out) = self.out.remove(&attempt) else {
            return;
        };
        if let Some(key) = out.past {
            if let Some(count) = self.past.get_mut(&key) {
                *count -= 1;
                if *count == 0 {
                    self.past.remove(&key);
                }
            }
        }
        let id = attempt.request;
        let end = self.judged(now, id, out.to, end);
        let (status, note, waited, meter) = match &end {
            End::Reply(reply) => (status(reply), reply.note, reply.waited, &reply.meter[..]),
            // Not written whole: the member can't have run it.
            End::Unsent { .. } => (Status::ConnectFailed, FillNote::None, 0, &[][..]),
            End::Unplaced => (Status::NotSent, FillNote::None, 0, &[][..]),
            End::Broken { .. } => (Status::Reset, FillNote::None, 0, &[][..]),
            End::CalledOff => (Status::Cancelled, FillNote::None, 0, &[][..]),
            End::Expired => (Status::Timeout, FillNote::None, 0, &[][..]),
        };
        if let Some(open) = self.open.get_mut(&id).filter(|_| !status.proves_not_run()) {
            open.ran = Some(open.ran.map_or(out.sent, |ran| ran.min(out.sent)));
        }
        let along = matches!(
            end,
            End::Unsent { along: true } | End::Broken { along: true }
        );
        let closed = match &end {
            End::Reply(reply) => self.relay(id, reply),
            _ => !self.open.contains_key(&id),
        };
        let figure = |name: &String| {
            meter
                .iter()
                .find(|m| m.0 == *name)
                .map_or(f32::NAN, |m| m.1)
        };
        let values: Vec<f32> = self.deployment.names.report.iter().map(figure).collect();
        let report = self
            .deployment
            .layout
            .read(&values)
            .filter(|_| !meter.is_empty());
        let latency = now.saturating_sub(out.sent);
        let number = attempt.number;
        self.tell(
            now,
            Event::Outcome(Outcome {
                request: id,
                attempt: number,
                closed,
                status,
                shared_failure: along,
                note,
                source_wait: waited,
                latency,
                report,
            }),
        );
    }

    /// An answer from a copy that is older than a purge is none, whatever the member says; nor is one that calls current what
    /// is not the client's copy.
    fn judged(&mut self, now: Timestamp, id: RequestId, from: EndpointId, end: End) -> End {
        let spoilt = |open: &Open, reply: &MemberReply| {
            reply.word == Word::Valid
                && (open.write || open.ask.have.as_deref() != reply.tag.as_deref())
        };
        if let (End::Reply(reply), Some(open)) = (&end, self.open.get(&id)) {
            if spoilt(open, reply) {
                return End::Reply(MemberReply {
                    word: Word::Fault,
                    ..reply.clone()
                });
            }
        }
        let open = self.open.get(&id).filter(|open| !open.write);
        let (End::Reply(reply), Some((floors, open))) = (&end, self.floors.as_mut().zip(open))
        else {
            return end;
        };
        match floors.judge(now, &open.ask, reply) {
            Judged::Good => return end,
            Judged::Lie => self.commands.push_back(Command::Lied(from)),
            Judged::Old => {}
        }
        End::Reply(MemberReply {
            word: Word::Fault,
            ..reply.clone()
        })
    }

    /// The time of an attempt is up: it is given up at the member, and its end is booked.
    pub(super) fn expire(&mut self, now: Timestamp, attempt: AttemptId) {
        if self.out.contains_key(&attempt) {
            self.commands.push_back(Command::Abort(attempt));
            self.ended(now, attempt, End::Expired);
        }
    }

    /// The front ends: whoever still waits is answered now. Only what can't have run is refused, so that trying again does no
    /// harm.
    pub fn give_up(&mut self, now: Timestamp) {
        let mut open: Vec<_> = self
            .open
            .iter()
            .map(|(id, open)| (*id, open.ran.is_some()))
            .collect();
        open.sort_unstable();
        for (id, ran) in open {
            let out = self.out.keys().any(|attempt| attempt.request == id);
            let answer = if ran || out {
                Answer::Failed
            } else {
                Answer::Refused(self.later())
            };
            self.conclude(id, answer);
            self.tell(now, Event::Cancelled(id));
        }
    }

    /// Guards the rule that every request is answered: whatever the decisions wait for, the client's time is
    /// up.
    pub(super) fn overdue(&mut self, now: Timestamp, id: RequestId) {
        if self.open.contains_key(&id) {
            self.conclude(id, Answer::Failed);
            self.tell(now, Event::Cancelled(id));
        }
    }
}

/// A word that is no answer to a fetch counts as an error: it may have run.
fn status(reply: &MemberReply) -> Status {
    match reply.word {
        Word::Hit | Word::Valid => Status::Ok,
        Word::None => Status::Miss,
        Word::Shed => Status::Rejected,
        Word::Late => Status::NotSent,
        Word::Fault | Word::Other => Status::Error,
    }
}
