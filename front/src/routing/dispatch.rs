//! Send: an attempt that was decided becomes a fetch for a member.
use super::*;
use cranesill::api::{Fill, Idempotency};

impl Front {
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
        let Some(open) = self.open.get(&request) else {
            return;
        };
        let mut fill = fill.map(|fill| Source {
            source: Some(fill.source).filter(|s| *s != target),
            rank: fill.rank,
            oldest: fill.max_age,
            join: fill.coalesce,
            only_held: fill.only_cached,
            renew: fill.refresh,
        });
        // As of now, not as of when it was taken in: purges come while requests wait.
        let mut past = None;
        if let Some(floors) = self.floors.as_ref().filter(|_| !open.write) {
            if let Some(Need { oldest, renewed }) =
                floors.need(now, &open.ask, fill.map_or(0, |f| f.oldest))
            {
                let bare = Source {
                    source: None,
                    rank: 0,
                    oldest,
                    join: false,
                    only_held: false,
                    renew: false,
                };
                let joins = self.deployment.settings.coalescing;
                fill = Some(fill.map_or(bare, |fill| Source {
                    oldest,
                    join: joins,
                    ..fill
                }));
                let fetches = !renewed && fill.is_some_and(|fill| fill.source.is_some());
                past = open
                    .ask
                    .item
                    .as_ref()
                    .filter(|_| fetches)
                    .map(|item| (item.id, open.ask.part));
            }
        }
        if let Some(key) = past {
            // One that is fetched already is joined, and costs nothing more.
            if !self.past.contains_key(&key) {
                let (class, number) = (open.ask.class.clone(), open.sent);
                if let Some(wait) = self.shielded(now, &class) {
                    // The decisions hold a place for this attempt until they hear of its end.
                    let attempt = AttemptId { request, number };
                    self.out.insert(
                        attempt,
                        Out {
                            sent: now,
                            to: target,
                            past: None,
                        },
                    );
                    self.conclude(request, Answer::Refused(wait));
                    return self.ended(now, attempt, End::Unplaced);
                }
            }
            *self.past.entry(key).or_default() += 1;
        }
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let attempt = AttemptId {
            request,
            number: open.sent,
        };
        open.sent += 1;
        self.out.insert(
            attempt,
            Out {
                sent: now,
                to: target,
                past,
            },
        );
        let deadline = until.map_or(open.deadline, |until| until.min(open.deadline));
        // Guards the rule of effects: what was decided within the window may wait for its connection till after it.
        let latest = match (
            self.deployment
                .settings
                .classes
                .get(open.class)
                .map(|c| c.idempotency),
            open.ran,
        ) {
            (Some(Idempotency::Keyed { window, .. }), Some(ran)) => ran.saturating_add(window),
            _ => Timestamp::MAX,
        };
        let fetch = Fetch {
            txn: open.ask.txn,
            class: open.ask.class.as_str().into(),
            item: open.ask.item.clone(),
            part: open.ask.part,
            deadline,
            latest,
            fill,
            seen: open.ask.have.clone(),
            key: open.ask.key.clone(),
            write: open.write,
            body: Rc::clone(&open.ask.body),
        };
        self.commands
            .push_back(Command::Wake(deadline, Wake::Attempt(attempt)));
        self.commands
            .push_back(Command::Send(attempt, target, fetch));
    }

    /// Whether a request has to stay away from the main store for now, and for how long: what is worth most comes first.
    fn shielded(&mut self, now: Timestamp, class: &str) -> Option<Micros> {
        let classes = &self.deployment.settings.classes;
        let at = self
            .deployment
            .names
            .classes
            .iter()
            .position(|name| name == class)?;
        let most = classes
            .iter()
            .map(|c| c.priority_weight)
            .fold(0.0, f64::max)
            .max(f64::MIN_POSITIVE);
        let worth = classes.get(at)?.priority_weight / most;
        let later = self.later();
        let shield = self.shield.as_mut()?;
        (!shield.may(now, worth)).then(|| shield.wait(worth).min(later))
    }

    /// Calls an attempt off, if it is still out; its end is booked as soon as that is done.
    pub(super) fn call_off(&mut self, attempt: AttemptId) {
        if self.out.contains_key(&attempt) {
            self.commands.push_back(Command::Abort(attempt));
        }
    }
}
