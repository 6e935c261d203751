//! Accounting: reports the end of each attempt to the router exactly once.
use super::*;
use cranesill::api::{Event, FillNote, LoadReport, Outcome, Status};

impl RequestPipeline {
    /// Handles the end of an attempt. Repeated ends of the same attempt are ignored.
    pub fn attempt_ended(&mut self, now: Timestamp, attempt: AttemptId, end: AttemptEnd) {
        let Some(outstanding) = self.outstanding.remove(&attempt) else {
            return;
        };
        self.release_bypass(outstanding.bypass);
        let id = attempt.request;
        let end = self.check_reply(now, id, outstanding.target, end);
        let status = end.status();
        self.record_possible_run(id, outstanding.sent_at, status);
        if let Some(key) = outstanding.execution.filter(|_| status.proves_not_run()) {
            self.executions.forget(key);
            self.commands.push_back(Command::NotExecuted(key));
        }
        let closed = match end.reply() {
            Some(reply) => self.relay(id, reply),
            None => !self.pending.contains_key(&id),
        };
        let reply = end.reply();
        let outcome = Outcome {
            request: id,
            attempt: attempt.number,
            closed,
            status,
            shared_failure: end.is_duplicate_failure(),
            note: reply.map_or(FillNote::None, |reply| reply.fill_note),
            source_wait: reply.map_or(0, |reply| reply.source_wait),
            latency: now.saturating_sub(outstanding.sent_at),
            report: reply.and_then(|reply| self.read_load_report(reply)),
        };
        self.handle_event(now, Event::Outcome(outcome));
    }

    /// Releases the bypass of an attempt that has ended.
    fn release_bypass(&mut self, bypass: Option<ObjectPart>) {
        let Some(part) = bypass else { return };
        let Some(attempts) = self.bypasses.get_mut(&part) else {
            return;
        };
        *attempts -= 1;
        if *attempts == 0 {
            self.bypasses.remove(&part);
        }
    }

    /// Records the send time of the first attempt that may have been executed. Cache nodes detect retries only within a
    /// limited time after it.
    fn record_possible_run(&mut self, id: RequestId, sent_at: Timestamp, status: Status) {
        if status.proves_not_run() {
            return;
        }
        if let Some(pending) = self.pending.get_mut(&id) {
            let first = pending.may_have_run_at.unwrap_or(sent_at);
            pending.may_have_run_at = Some(first.min(sent_at));
        }
    }

    /// Reads the load report of a reply; `None` if it is missing or does not match the layout in the settings.
    fn read_load_report(&self, reply: &UpstreamReply) -> Option<LoadReport> {
        if reply.load_report.is_empty() {
            return None;
        }
        let value = |name: &String| {
            let mut entries = reply.load_report.iter();
            let entry = entries.find(|(reported, _)| reported == name);
            entry.map_or(f32::NAN, |(_, value)| *value)
        };
        let values: Vec<f32> = self.deployment.names.report.iter().map(value).collect();
        self.deployment.layout.read(&values)
    }

    /// Turns a reply that must not be relayed into a fault: one from a copy older than a purge, or a "not modified" reply for
    /// a copy that the client does not have.
    fn check_reply(
        &mut self,
        now: Timestamp,
        id: RequestId,
        endpoint: EndpointId,
        end: AttemptEnd,
    ) -> AttemptEnd {
        let AttemptEnd::Reply(reply) = end else {
            return end;
        };
        let Some(pending) = self.pending.get(&id) else {
            return AttemptEnd::Reply(reply);
        };
        if pending.is_false_not_modified(&reply) {
            return AttemptEnd::Reply(reply.into_fault());
        }
        let Some(floors) = self.floors.as_mut().filter(|_| !pending.write) else {
            return AttemptEnd::Reply(reply);
        };
        match floors.check_reply(now, &pending.request, &reply) {
            Freshness::Fresh => return AttemptEnd::Reply(reply),
            Freshness::StaleUnrequested => {}
            Freshness::StaleDespiteRequest => {
                self.commands.push_back(Command::StaleCopyServed(endpoint));
            }
        }
        AttemptEnd::Reply(reply.into_fault())
    }

    /// Handles the timeout of an attempt: cancels it at the endpoint and reports its end.
    pub(super) fn time_out(&mut self, now: Timestamp, attempt: AttemptId) {
        if self.outstanding.contains_key(&attempt) {
            self.commands.push_back(Command::Cancel(attempt));
            self.attempt_ended(now, attempt, AttemptEnd::TimedOut);
        }
    }

    /// Responds to all pending requests at shutdown. Requests that cannot have been executed are rejected, which tells the
    /// client that a retry is safe; all others fail.
    pub fn conclude_all(&mut self, now: Timestamp) {
        let mut ids: Vec<_> = self.pending.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let response = if self.may_have_run(id) {
                Response::Failed
            } else {
                Response::Rejected(self.overload_retry_after())
            };
            self.conclude(id, response);
            self.handle_event(now, Event::Cancelled(id));
        }
    }

    /// Returns whether an attempt of the request may have been executed.
    fn may_have_run(&self, id: RequestId) -> bool {
        let pending = self.pending.get(&id);
        let ran = pending.is_some_and(|pending| pending.may_have_run_at.is_some());
        ran || self.outstanding.keys().any(|out| out.request == id)
    }

    /// Handles the deadline of a request: fails it, even if the router still waits for an attempt.
    pub(super) fn deadline_passed(&mut self, now: Timestamp, id: RequestId) {
        if self.pending.contains_key(&id) {
            self.conclude(id, Response::Failed);
            self.handle_event(now, Event::Cancelled(id));
        }
    }
}

impl PendingRequest {
    /// Returns whether a reply reports "not modified" for a copy that the client does not have.
    fn is_false_not_modified(&self, reply: &UpstreamReply) -> bool {
        let same_copy = self.request.cached_tag.as_deref() == reply.tag.as_deref();
        reply.kind == ReplyKind::NotModified && (self.write || !same_copy)
    }
}
