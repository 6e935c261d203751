//! The checker of the five rules.
use super::{CACHE, MS, PARENT};
use cranesill::api::*;
use std::collections::{BTreeMap, BTreeSet};

struct Open {
    class: usize,
    object: ObjectId,
    group: u32,
    deadline: Timestamp,
    attempts: Vec<(Timestamp, bool, Option<Status>)>,
    closed: bool,
}

/// Checks a stream of events and actions against the five rules.
pub struct Checker {
    settings: Settings,
    open: BTreeMap<RequestId, Open>,
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    purged: Vec<(Option<ObjectId>, u32, Timestamp)>,
    cold: Vec<(EndpointId, Timestamp, f64)>,
    cordoned: BTreeSet<EndpointId>,
    pub violations: Vec<String>,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        let (open, endpoints, cordoned) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Checker {
            settings,
            open,
            endpoints,
            cordoned,
            purged: Vec::new(),
            cold: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub fn closed(&self, id: RequestId) -> bool {
        self.open.get(&id).is_none_or(|o| o.closed)
    }

    pub fn deadline(&self, id: RequestId) -> Timestamp {
        self.open[&id].deadline
    }

    /// Every request whose deadline and slack have passed is closed.
    pub fn overdue(&mut self, now: Timestamp) {
        let late: Vec<_> = self
            .open
            .iter()
            .filter(|(_, o)| !o.closed && o.deadline + 8 * MS < now)
            .collect();
        self.violations
            .extend(late.iter().map(|(id, _)| format!("lost: {id:?}")));
    }

    pub fn event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::Endpoints(kind, entries) => {
                if *kind == ListKind::Full {
                    self.endpoints
                        .values_mut()
                        .for_each(|m| m.state = EndpointState::Removed);
                }
                for entry in entries {
                    // What was sent before this start was known did not go to this process as far as can be told.
                    if self
                        .endpoints
                        .get(&entry.endpoint)
                        .is_some_and(|old| old.started != entry.started)
                    {
                        self.cold.retain(|sent| sent.0 != entry.endpoint);
                    }
                    self.endpoints.insert(entry.endpoint, entry.clone());
                }
            }
            Event::Request(ask) => {
                let open = Open {
                    class: usize::from(ask.class),
                    object: ask.object,
                    group: ask.group,
                    deadline: now + ask.time_left,
                    attempts: Vec::new(),
                    closed: false,
                };
                self.open.insert(ask.id, open);
            }
            Event::Outcome(o) => {
                let open = self.open.get_mut(&o.request).expect("known");
                open.attempts[usize::from(o.attempt)].1 = false;
                open.attempts[usize::from(o.attempt)].2 = Some(o.status);
                open.closed |= o.closed;
            }
            Event::Cancelled(id) => self.open.get_mut(id).expect("known").closed = true,
            Event::Cordon {
                endpoint: id,
                cordoned: true,
            } => drop(self.cordoned.insert(*id)),
            Event::Cordon {
                endpoint: id,
                cordoned: false,
            } => {
                // It was restarted meanwhile, whatever the list says of it.
                let back = self
                    .cordoned
                    .remove(id)
                    .then(|| self.endpoints.get_mut(id))
                    .flatten();
                if let Some(endpoint) = back {
                    endpoint.started = now;
                    // What went to the process before it was taken out did not go to this one.
                    self.cold.retain(|sent| sent.0 != *id);
                }
            }
            Event::Purged { object, group, age } => self.purged.push((*object, *group, now - age)),
            _ => {}
        }
    }

    pub fn action(&mut self, now: Timestamp, action: &Action) {
        match action {
            Action::Send {
                request,
                target,
                fill,
                ..
            } => self.attempt(now, *request, *target, *fill),
            Action::Reject(id, _) | Action::Fail(id) => {
                let refusal = matches!(action, Action::Reject(..));
                let Some(open) = self.open.get_mut(id) else {
                    return self.violations.push(format!("answer for unknown {id:?}"));
                };
                if open.closed {
                    self.violations.push(format!("second answer: {id:?}"));
                }
                let ran = open
                    .attempts
                    .iter()
                    .any(|a| a.2.is_none_or(|s| !s.proves_not_run()));
                let effect = self
                    .settings
                    .classes
                    .get(open.class)
                    .map_or(Idempotency::NotIdempotent, |c| c.idempotency);
                let harmless = matches!(
                    effect,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: KeyScope::All,
                            ..
                        }
                );
                if refusal && ran && !harmless {
                    self.violations
                        .push(format!("refused what may have run: {id:?}"));
                }
                open.closed = true;
            }
            _ => {}
        }
    }

    fn attempt(&mut self, now: Timestamp, id: RequestId, target: EndpointId, fill: Option<Fill>) {
        let Some(open) = self.open.get_mut(&id) else {
            return self.violations.push(format!("attempt for unknown {id:?}"));
        };
        if open.closed {
            self.violations
                .push(format!("attempt after the answer: {id:?}"));
        }
        let out = open.attempts.iter().any(|a| a.1);
        if out && !self.settings.hedging {
            self.violations.push(format!("two at once: {id:?}"));
        }
        let ran = open
            .attempts
            .iter()
            .find(|a| a.2.is_none_or(|s| !s.proves_not_run()));
        match (self.settings.classes[open.class].idempotency, ran) {
            (Idempotency::Idempotent, _) | (_, None) => {}
            (
                Idempotency::Keyed {
                    scope: KeyScope::All,
                    window,
                },
                Some(first),
            ) if now < first.0 + window => {}
            _ => self.violations.push(format!("effect twice: {id:?}")),
        }
        open.attempts.push((now, true, None));
        let write = self.settings.classes[open.class].write;
        let purge = self.purged.iter().filter(|(object, group, at)| {
            let named = object.map_or(*group == open.group, |o| o == open.object);
            named && now < at + self.settings.purge_propagation
        });
        if let (Some(at), Some(fill), false) = (purge.map(|p| p.2).max(), fill, write) {
            if fill.max_age == 0 || now - fill.max_age.min(now) < at && now > at {
                self.violations.push(format!(
                    "purged copy: {id:?} takes copies of age {}",
                    fill.max_age
                ));
            }
        }
        for at in [
            Some(target),
            fill.map(|f| f.source).filter(|s| *s != target),
        ]
        .into_iter()
        .flatten()
        {
            if self.cordoned.contains(&at) {
                self.violations.push(format!("out by hand: {at:?}"));
            }
            match self.endpoints.get(&at) {
                Some(m) if m.state == EndpointState::Ready => self.cold(now, at),
                _ => self.violations.push(format!("drained: {at:?}")),
            }
        }
    }

    /// All of the tests' cacheable requests take 300 ms to send; fills are counted as if each reached its source.
    fn cold(&mut self, now: Timestamp, at: EndpointId) {
        let endpoint = &self.endpoints[&at];
        let limits = match endpoint.kind {
            PARENT => self.settings.parent_slow_start,
            CACHE => self.settings.cache_slow_start,
            _ => return,
        };
        let span = self.settings.overload_window;
        if endpoint.started == 0 || now >= endpoint.started + limits.warm_up {
            return;
        }
        let age = now.saturating_sub(endpoint.started) as f64 / limits.warm_up as f64;
        let capacity = endpoint.weight
            * (limits.initial_capacity_fraction + (1.0 - limits.initial_capacity_fraction) * age);
        self.cold.push((at, now, 300_000.0));
        let sum: f64 = self
            .cold
            .iter()
            .filter(|c| c.0 == at && c.1 + span > now)
            .map(|c| c.2)
            .sum();
        if sum > limits.overload_multiple * capacity * span as f64 {
            self.violations.push(format!("pushed over: {at:?}"));
        }
    }
}
