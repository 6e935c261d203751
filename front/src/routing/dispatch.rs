//! Dispatch: turns the attempts that the router decides on into fetches from endpoints.
use super::*;
use cranesill::api::{Fill, Idempotency};

/// The fill of an attempt, adjusted to the purges that are currently known.
struct FillPlan {
    fill: Option<FillInstructions>,
    /// The part for which the caches are bypassed, if a purge requires a newer copy than they have.
    bypass: Option<ObjectPart>,
}

impl RequestPipeline {
    /// Sends an attempt that times out at `timeout_at` or at the deadline of the request, whichever is earlier. The attempts of
    /// a request are numbered in the order sent.
    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        request: RequestId,
        target: EndpointId,
        timeout_at: Option<Timestamp>,
        fill: Option<Fill>,
    ) {
        // Not expected: the router is notified of a final response before it makes further decisions.
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let fill = fill.map(|fill| FillInstructions::new(fill, target));
        let plan = self.plan_fill(now, pending, fill);
        if let Some(part) = plan.bypass {
            let class = pending.class;
            if let Err(retry_after) = self.admit_bypass(now, class, part) {
                return self.end_unsent(now, request, target, Response::Rejected(retry_after));
            }
            *self.bypasses.entry(part).or_default() += 1;
        }
        let execution = self
            .pending
            .get(&request)
            .and_then(|pending| self.execution_key(pending));
        if let Some(key) = execution {
            // Another process of this front may have announced it while the request waited.
            if self.executions.is_known(now, key) {
                self.executions.duplicates += 1;
                return self.end_unsent(now, request, target, Response::Failed);
            }
            self.record_execution(now, key);
        }
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let attempt = AttemptId {
            request,
            number: pending.attempts_sent,
        };
        pending.attempts_sent += 1;
        let outstanding = OutstandingAttempt {
            sent_at: now,
            target,
            bypass: plan.bypass,
            execution,
        };
        self.outstanding.insert(attempt, outstanding);
        self.send_fetch(attempt, target, timeout_at, plan.fill);
    }

    /// Records that a request which must not be executed twice is about to be sent, and logs if earlier ones are forgotten for it.
    fn record_execution(&mut self, now: Timestamp, key: ExecutionKey) {
        let evicted_before = self.executions.evicted;
        self.executions.record(now, key);
        if self.executions.takes_report(now, evicted_before) {
            let line = format!(
                "more than {MAX_IDENTIFIERS} requests that must not be executed twice within a minute: the oldest are forgotten, \
                 and are executed again if they come again"
            );
            self.commands.push_back(Command::Log(line));
        }
    }

    /// Adjusts a fill to the purges that are currently known, which may have arrived while the request was queued.
    fn plan_fill(
        &self,
        now: Timestamp,
        pending: &PendingRequest,
        fill: Option<FillInstructions>,
    ) -> FillPlan {
        let class_max_age = fill.map_or(0, |fill| fill.max_age);
        let floors = self.floors.as_ref().filter(|_| !pending.write);
        let required =
            floors.and_then(|floors| floors.requirement(now, &pending.request, class_max_age));
        let Some(required) = required else {
            return FillPlan { fill, bypass: None };
        };
        let fill = match fill {
            Some(fill) => FillInstructions {
                max_age: required.max_age,
                coalesce: self.deployment.settings.coalescing,
                ..fill
            },
            None => FillInstructions::without_fill(required.max_age),
        };
        let fetches = !required.renewed && fill.source.is_some();
        FillPlan {
            fill: Some(fill),
            bypass: pending.request.object_part().filter(|_| fetches),
        }
    }

    /// Checks whether a fetch of a part may bypass the caches; the error is the retry-after. A part that is already being
    /// fetched is admitted at no cost, since the fetches are coalesced.
    fn admit_bypass(
        &mut self,
        now: Timestamp,
        class: usize,
        part: ObjectPart,
    ) -> Result<(), Micros> {
        if self.bypasses.contains_key(&part) {
            return Ok(());
        }
        let max_retry_after = self.overload_retry_after();
        let Some(priority) = self.relative_priority(class) else {
            return Ok(());
        };
        let Some(shield) = &mut self.shield else {
            return Ok(());
        };
        if shield.try_pass(now, priority) {
            return Ok(());
        }
        Err(shield.retry_after(priority).min(max_retry_after))
    }

    /// Returns the priority weight of a class relative to the highest one, from 0 to 1.
    fn relative_priority(&self, class: usize) -> Option<f64> {
        let classes = &self.deployment.settings.classes;
        let highest = classes
            .iter()
            .map(|class| class.priority_weight)
            .fold(0.0, f64::max);
        Some(classes.get(class)?.priority_weight / highest.max(f64::MIN_POSITIVE))
    }

    /// Responds to a request whose attempt must not be sent. The attempt is recorded and ended at once because the router holds a
    /// slot for it until its end is reported.
    fn end_unsent(
        &mut self,
        now: Timestamp,
        request: RequestId,
        target: EndpointId,
        response: Response,
    ) {
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let attempt = AttemptId {
            request,
            number: pending.attempts_sent,
        };
        let outstanding = OutstandingAttempt {
            sent_at: now,
            target,
            bypass: None,
            execution: None,
        };
        self.outstanding.insert(attempt, outstanding);
        self.conclude(request, response);
        self.attempt_ended(now, attempt, AttemptEnd::NoConnection);
    }

    fn send_fetch(
        &mut self,
        attempt: AttemptId,
        target: EndpointId,
        timeout_at: Option<Timestamp>,
        fill: Option<FillInstructions>,
    ) {
        let Some(pending) = self.pending.get(&attempt.request) else {
            return;
        };
        let deadline = timeout_at.map_or(pending.deadline, |at| at.min(pending.deadline));
        let request = &pending.request;
        let fetch = Fetch {
            transaction: request.transaction,
            class: request.class.as_str().into(),
            object: request.object.clone(),
            part: request.part,
            deadline,
            write_by: self.write_by(pending),
            fill,
            cached_tag: request.cached_tag.clone(),
            idempotency_key: request.idempotency_key.clone(),
            write: pending.write,
            execution: self.execution_key(pending),
            body: Rc::clone(&request.body),
        };
        self.commands.push_back(Command::SetTimer {
            at: deadline,
            timer: Timer::AttemptTimeout(attempt),
        });
        self.commands.push_back(Command::Send {
            attempt,
            target,
            fetch,
        });
    }

    /// Returns the latest time to start writing an attempt. A retry must be written within the window in which cache nodes
    /// detect retries, which may end while the attempt waits for a connection.
    fn write_by(&self, pending: &PendingRequest) -> Timestamp {
        let class = self.deployment.settings.classes.get(pending.class);
        let idempotency = class.map(|class| class.idempotency);
        match (idempotency, pending.may_have_run_at) {
            (Some(Idempotency::Keyed { window, .. }), Some(ran_at)) => {
                ran_at.saturating_add(window)
            }
            _ => Timestamp::MAX,
        }
    }

    /// Fails a request whose attempt was not sent because another process of this front may have sent one with the same identifier.
    pub fn withhold_duplicate(&mut self, now: Timestamp, attempt: AttemptId) {
        self.executions.duplicates += 1;
        self.conclude(attempt.request, Response::Failed);
        // Its identifier stays known.
        if let Some(outstanding) = self.outstanding.get_mut(&attempt) {
            outstanding.execution = None;
        }
        self.attempt_ended(now, attempt, AttemptEnd::NoConnection);
    }

    /// Cancels an attempt if it is outstanding. The server reports its end once it is cancelled.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        if self.outstanding.contains_key(&attempt) {
            self.commands.push_back(Command::Cancel(attempt));
        }
    }
}

impl FillInstructions {
    /// Creates the fill for `target`. An endpoint that is its own source does not fill.
    fn new(fill: Fill, target: EndpointId) -> Self {
        FillInstructions {
            source: Some(fill.source).filter(|source| *source != target),
            rank: fill.rank,
            max_age: fill.max_age,
            coalesce: fill.coalesce,
            cached_only: fill.only_cached,
            revalidate: fill.refresh,
        }
    }

    /// Creates a limit on the age of the copy, without a fill.
    fn without_fill(max_age: Micros) -> Self {
        FillInstructions {
            source: None,
            rank: 0,
            max_age,
            coalesce: false,
            cached_only: false,
            revalidate: false,
        }
    }
}
