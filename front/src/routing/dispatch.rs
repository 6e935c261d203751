//! Send: an attempt that was decided becomes a fetch for a member.
use super::*;
use cranesill::api::{Effect, Fill};

impl RequestPipeline {
    /// Sends an attempt, which is given up at `until` or when the client's time is up; they are numbered in the
    /// order sent.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        request: RequestId,
        target: EndpointId,
        until: Option<Timestamp>,
        fill: Option<Fill>,
    ) {
        // The decisions learn of a final answer before they decide again, so the request is open here.
        let Some(pending) = self.pending.get(&request) else {
            return;
        };
        let mut fill = fill.map(|fill| FillSource {
            source: Some(fill.source).filter(|s| *s != target),
            rank: fill.rank,
            max_age: fill.oldest,
            join: fill.join,
            cached_only: fill.only_held,
            revalidate: fill.renew,
        });
        // As of now, not as of when it was taken in: purges come while requests wait.
        let mut past = None;
        if let Some(floors) = self.floors.as_ref().filter(|_| !pending.write) {
            if let Some(FreshnessRequirement { oldest, renewed }) =
                floors.requirement(now, &pending.request, fill.map_or(0, |f| f.max_age))
            {
                let bare = FillSource {
                    source: None,
                    rank: 0,
                    max_age: oldest,
                    join: false,
                    cached_only: false,
                    revalidate: false,
                };
                let joins = self.deployment.settings.joins;
                fill = Some(fill.map_or(bare, |fill| FillSource {
                    max_age: oldest,
                    join: joins,
                    ..fill
                }));
                let fetches = !renewed && fill.is_some_and(|fill| fill.source.is_some());
                past = pending
                    .request
                    .object
                    .as_ref()
                    .filter(|_| fetches)
                    .map(|item| (item.id, pending.request.part));
            }
        }
        if let Some(key) = past {
            // One that is fetched already is joined, and costs nothing more.
            if !self.shielded_fetches.contains_key(&key) {
                let (class, number) = (pending.request.class.clone(), pending.sent);
                if let Some(wait) = self.shield_wait(now, &class) {
                    // The decisions hold a place for this attempt until they hear of its end.
                    let attempt = AttemptId { request, number };
                    self.outstanding.insert(
                        attempt,
                        OutstandingAttempt {
                            sent: now,
                            to: target,
                            past: None,
                        },
                    );
                    self.conclude(request, Response::Rejected(wait));
                    return self.attempt_ended(now, attempt, AttemptEnd::NoConnection);
                }
            }
            *self.shielded_fetches.entry(key).or_default() += 1;
        }
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        let attempt = AttemptId {
            request,
            number: pending.sent,
        };
        pending.sent += 1;
        self.outstanding.insert(
            attempt,
            OutstandingAttempt {
                sent: now,
                to: target,
                past,
            },
        );
        let deadline = until.map_or(pending.deadline, |until| until.min(pending.deadline));
        // Guards the rule of effects: what was decided within the window may wait for its connection till after it.
        let write_by = match (
            self.deployment
                .settings
                .classes
                .get(pending.class)
                .map(|c| c.effect),
            pending.ran,
        ) {
            (Some(Effect::Keyed { window, .. }), Some(ran)) => ran.saturating_add(window),
            _ => Timestamp::MAX,
        };
        let fetch = Fetch {
            transaction: pending.request.transaction,
            class: pending.request.class.as_str().into(),
            object: pending.request.object.clone(),
            part: pending.request.part,
            deadline,
            write_by,
            fill,
            cached_tag: pending.request.cached_tag.clone(),
            idempotency_key: pending.request.idempotency_key.clone(),
            write: pending.write,
            body: Rc::clone(&pending.request.body),
        };
        self.commands
            .push_back(Command::SetTimer(deadline, Timer::AttemptTimeout(attempt)));
        self.commands
            .push_back(Command::Send(attempt, target, fetch));
    }

    /// Whether a request has to stay away from the main store for now, and for how long: what is worth most comes first.
    fn shield_wait(&mut self, now: Timestamp, class: &str) -> Option<Micros> {
        let classes = &self.deployment.settings.classes;
        let at = self
            .deployment
            .names
            .classes
            .iter()
            .position(|name| name == class)?;
        let most = classes
            .iter()
            .map(|c| c.worth)
            .fold(0.0, f64::max)
            .max(f64::MIN_POSITIVE);
        let worth = classes.get(at)?.worth / most;
        let later = self.overload_retry_after();
        let shield = self.shield.as_mut()?;
        (!shield.may(now, worth)).then(|| shield.wait(worth).min(later))
    }

    /// Calls an attempt off, if it is still out; its end is booked as soon as that is done.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        if self.outstanding.contains_key(&attempt) {
            self.commands.push_back(Command::Abort(attempt));
        }
    }
}
