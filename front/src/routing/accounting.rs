//! Book: the end of each attempt is told to the decisions, once.
use super::*;
use cranesill::api::{Event, FillNote, Outcome, Status};

impl RequestPipeline {
    /// Books the end of an attempt; a second end of the same one is passed over.
    pub fn attempt_ended(&mut self, now: Timestamp, attempt: AttemptId, end: AttemptEnd) {
        let Some(attempt_sent) = self.outstanding.remove(&attempt) else {
            return;
        };
        if let Some(key) = attempt_sent.past {
            if let Some(count) = self.shielded_fetches.get_mut(&key) {
                *count -= 1;
                if *count == 0 {
                    self.shielded_fetches.remove(&key);
                }
            }
        }
        let id = attempt.request;
        let end = self.check_freshness(now, id, attempt_sent.to, end);
        let (status, note, waited, meter) = match &end {
            AttemptEnd::Reply(reply) => (
                status(reply),
                reply.fill_note,
                reply.queueing_time,
                &reply.load_report[..],
            ),
            // Not written whole: the member can't have run it.
            AttemptEnd::Unsent { .. } => (Status::ConnectFailed, FillNote::None, 0, &[][..]),
            AttemptEnd::NoConnection => (Status::NotSent, FillNote::None, 0, &[][..]),
            AttemptEnd::Broken { .. } => (Status::Reset, FillNote::None, 0, &[][..]),
            AttemptEnd::Cancelled => (Status::Cancelled, FillNote::None, 0, &[][..]),
            AttemptEnd::TimedOut => (Status::Timeout, FillNote::None, 0, &[][..]),
        };
        if let Some(pending) = self
            .pending
            .get_mut(&id)
            .filter(|_| !status.proves_not_run())
        {
            pending.ran = Some(
                pending
                    .ran
                    .map_or(attempt_sent.sent, |ran| ran.min(attempt_sent.sent)),
            );
        }
        let along = matches!(
            end,
            AttemptEnd::Unsent {
                duplicate_failure: true
            } | AttemptEnd::Broken {
                duplicate_failure: true
            }
        );
        let closed = match &end {
            AttemptEnd::Reply(reply) => self.relay(id, reply),
            _ => !self.pending.contains_key(&id),
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
        let latency = now.saturating_sub(attempt_sent.sent);
        let number = attempt.number;
        self.handle_event(
            now,
            Event::Outcome(Outcome {
                request: id,
                attempt: number,
                closed,
                status,
                along,
                note,
                waited,
                latency,
                report,
            }),
        );
    }

    /// An answer from a copy that is older than a purge is none, whatever the member says; nor is one that calls current what
    /// is not the client's copy.
    fn check_freshness(
        &mut self,
        now: Timestamp,
        id: RequestId,
        from: EndpointId,
        end: AttemptEnd,
    ) -> AttemptEnd {
        let spoilt = |pending: &PendingRequest, reply: &UpstreamReply| {
            reply.kind == ReplyKind::NotModified
                && (pending.write || pending.request.cached_tag.as_deref() != reply.tag.as_deref())
        };
        if let (AttemptEnd::Reply(reply), Some(pending)) = (&end, self.pending.get(&id)) {
            if spoilt(pending, reply) {
                return AttemptEnd::Reply(UpstreamReply {
                    kind: ReplyKind::Fault,
                    ..reply.clone()
                });
            }
        }
        let pending = self.pending.get(&id).filter(|pending| !pending.write);
        let (AttemptEnd::Reply(reply), Some((floors, pending))) =
            (&end, self.floors.as_mut().zip(pending))
        else {
            return end;
        };
        match floors.check_reply(now, &pending.request, reply) {
            Freshness::Fresh => return end,
            Freshness::StaleDespiteRequest => {
                self.commands.push_back(Command::StaleCopyServed(from))
            }
            Freshness::StaleUnrequested => {}
        }
        AttemptEnd::Reply(UpstreamReply {
            kind: ReplyKind::Fault,
            ..reply.clone()
        })
    }

    /// The time of an attempt is up: it is given up at the member, and its end is booked.
    pub(super) fn time_out(&mut self, now: Timestamp, attempt: AttemptId) {
        if self.outstanding.contains_key(&attempt) {
            self.commands.push_back(Command::Abort(attempt));
            self.attempt_ended(now, attempt, AttemptEnd::TimedOut);
        }
    }

    /// The front ends: whoever still waits is answered now. Only what can't have run is refused, so that trying again does no
    /// harm.
    pub fn conclude_all(&mut self, now: Timestamp) {
        let mut open: Vec<_> = self
            .pending
            .iter()
            .map(|(id, pending)| (*id, pending.ran.is_some()))
            .collect();
        open.sort_unstable();
        for (id, ran) in open {
            let out = self.outstanding.keys().any(|attempt| attempt.request == id);
            let answer = if ran || out {
                Response::Failed
            } else {
                Response::Rejected(self.overload_retry_after())
            };
            self.conclude(id, answer);
            self.handle_event(now, Event::Cancelled(id));
        }
    }

    /// Guards the rule that every request is answered: whatever the decisions wait for, the client's time is
    /// up.
    pub(super) fn deadline_passed(&mut self, now: Timestamp, id: RequestId) {
        if self.pending.contains_key(&id) {
            self.conclude(id, Response::Failed);
            self.handle_event(now, Event::Cancelled(id));
        }
    }
}

/// A word that is no answer to a fetch counts as an error: it may have run.
fn status(reply: &UpstreamReply) -> Status {
    match reply.kind {
        ReplyKind::Hit | ReplyKind::NotModified => Status::Ok,
        ReplyKind::Miss => Status::Miss,
        ReplyKind::Rejected => Status::Rejected,
        ReplyKind::DeadlineExceeded => Status::NotSent,
        ReplyKind::Fault | ReplyKind::Other => Status::Error,
    }
}
