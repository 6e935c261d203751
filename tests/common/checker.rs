//! Checker of the invariants of the decision module:
//!
//! - Every request gets exactly one answer, by its deadline.
//! - No request runs more often than its class allows. A request that may have run is only rejected if it is safe to
//!   repeat.
//! - Nothing is sent to endpoints that are cordoned, draining or removed.
//! - During the propagation time of a purge, no copy from before it is accepted.
//! - Endpoints in slow start are not overloaded.
use super::{CACHE, MS, ORIGIN, PARENT};
use cranesill::api::*;
use std::collections::{BTreeMap, BTreeSet};

/// Time after its deadline by which a request must be answered.
const DEADLINE_SLACK: Micros = 8 * MS;
/// Transfer time of a request in the tests.
const TRANSFER_TIME_US: f64 = 300_000.0;

/// A request that arrived. It stays recorded after it is closed.
struct RequestRecord {
    class: usize,
    object: ObjectId,
    group: u32,
    deadline: Timestamp,
    attempts: Vec<AttemptRecord>,
    /// Whether the client has its answer or has disconnected.
    closed: bool,
}

struct AttemptRecord {
    sent_at: Timestamp,
    in_flight: bool,
    /// `None` while in flight.
    status: Option<Status>,
}

impl AttemptRecord {
    fn may_have_run(&self) -> bool {
        self.status.is_none_or(|status| !status.proves_not_run())
    }
}

struct Purge {
    object: Option<ObjectId>,
    group: u32,
    purged_at: Timestamp,
}

struct SlowStartSend {
    endpoint: EndpointId,
    sent_at: Timestamp,
    transfer_time_us: f64,
}

/// Checks a stream of events and actions against the invariants.
pub struct Checker {
    settings: Settings,
    requests: BTreeMap<RequestId, RequestRecord>,
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    purges: Vec<Purge>,
    slow_start_sends: Vec<SlowStartSend>,
    cordoned: BTreeSet<EndpointId>,
    pub violations: Vec<String>,
}

impl Checker {
    pub fn new(settings: Settings) -> Self {
        let (requests, endpoints, cordoned) = (BTreeMap::new(), BTreeMap::new(), BTreeSet::new());
        Checker {
            settings,
            requests,
            endpoints,
            cordoned,
            purges: Vec::new(),
            slow_start_sends: Vec::new(),
            violations: Vec::new(),
        }
    }

    pub fn is_closed(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_none_or(|record| record.closed)
    }

    pub fn deadline(&self, id: RequestId) -> Timestamp {
        self.requests[&id].deadline
    }

    /// Checks that every request past its deadline is closed.
    pub fn check_overdue(&mut self, now: Timestamp) {
        let overdue: Vec<_> = self
            .requests
            .iter()
            .filter(|(_, record)| !record.closed && record.deadline + DEADLINE_SLACK < now)
            .collect();
        self.violations.extend(
            overdue
                .iter()
                .map(|(id, _)| format!("not answered by its deadline: {id:?}")),
        );
    }

    pub fn observe_event(&mut self, now: Timestamp, event: &Event) {
        match event {
            Event::Endpoints(kind, entries) => {
                if *kind == ListKind::Full {
                    self.endpoints
                        .values_mut()
                        .for_each(|endpoint| endpoint.state = EndpointState::Removed);
                }
                for entry in entries {
                    // Requests sent before the new start time was known count towards the previous process.
                    if self
                        .endpoints
                        .get(&entry.endpoint)
                        .is_some_and(|old| old.started != entry.started)
                    {
                        self.slow_start_sends
                            .retain(|sent| sent.endpoint != entry.endpoint);
                    }
                    self.endpoints.insert(entry.endpoint, entry.clone());
                }
            }
            Event::Request(request) => {
                let record = RequestRecord {
                    class: usize::from(request.class),
                    object: request.object,
                    group: request.group,
                    deadline: now + request.time_left,
                    attempts: Vec::new(),
                    closed: false,
                };
                self.requests.insert(request.id, record);
            }
            Event::Outcome(outcome) => {
                let record = self
                    .requests
                    .get_mut(&outcome.request)
                    .expect("outcome of a request that arrived");
                let attempt = &mut record.attempts[usize::from(outcome.attempt)];
                attempt.in_flight = false;
                attempt.status = Some(outcome.status);
                record.closed |= outcome.closed;
            }
            Event::Cancelled(id) => {
                self.requests
                    .get_mut(id)
                    .expect("cancellation of a request that arrived")
                    .closed = true
            }
            Event::Cordon {
                endpoint: id,
                cordoned: true,
            } => drop(self.cordoned.insert(*id)),
            Event::Cordon {
                endpoint: id,
                cordoned: false,
            } => {
                // An uncordoned endpoint has been restarted, whatever start time the list contains.
                let restarted = self
                    .cordoned
                    .remove(id)
                    .then(|| self.endpoints.get_mut(id))
                    .flatten();
                if let Some(endpoint) = restarted {
                    endpoint.started = now;
                    // Requests sent before the cordon went to the previous process.
                    self.slow_start_sends.retain(|sent| sent.endpoint != *id);
                }
            }
            Event::Purged { object, group, age } => self.purges.push(Purge {
                object: *object,
                group: *group,
                purged_at: now - age,
            }),
            _ => {}
        }
    }

    pub fn observe_action(&mut self, now: Timestamp, action: &Action) {
        match action {
            Action::Send {
                request,
                target,
                fill,
                ..
            } => self.observe_attempt(now, *request, *target, *fill),
            Action::Reject(id, _) | Action::Fail(id) => {
                let is_rejection = matches!(action, Action::Reject(..));
                let Some(record) = self.requests.get_mut(id) else {
                    return self
                        .violations
                        .push(format!("answer to an unknown request: {id:?}"));
                };
                if record.closed {
                    self.violations.push(format!("answered twice: {id:?}"));
                }
                let may_have_run = record.attempts.iter().any(AttemptRecord::may_have_run);
                let idempotency = self
                    .settings
                    .classes
                    .get(record.class)
                    .map_or(Idempotency::NotIdempotent, |c| c.idempotency);
                let is_repeatable = matches!(
                    idempotency,
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: KeyScope::All,
                            ..
                        }
                );
                if is_rejection && may_have_run && !is_repeatable {
                    self.violations
                        .push(format!("rejected although it may have run: {id:?}"));
                }
                record.closed = true;
            }
            _ => {}
        }
    }

    fn observe_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        target: EndpointId,
        fill: Option<Fill>,
    ) {
        let Some(record) = self.requests.get_mut(&id) else {
            return self
                .violations
                .push(format!("attempt of an unknown request: {id:?}"));
        };
        if record.closed {
            self.violations
                .push(format!("attempt of a closed request: {id:?}"));
        }
        let has_attempt_in_flight = record.attempts.iter().any(|attempt| attempt.in_flight);
        if has_attempt_in_flight && !self.settings.hedging {
            self.violations
                .push(format!("two attempts in flight without hedging: {id:?}"));
        }
        let first_that_may_have_run = record
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run());
        match (
            self.settings.classes[record.class].idempotency,
            first_that_may_have_run,
        ) {
            (Idempotency::Idempotent, _) | (_, None) => {}
            (
                Idempotency::Keyed {
                    scope: KeyScope::All,
                    window,
                },
                Some(first),
            ) if now < first.sent_at + window => {}
            _ => self.violations.push(format!("may run twice: {id:?}")),
        }
        record.attempts.push(AttemptRecord {
            sent_at: now,
            in_flight: true,
            status: None,
        });
        let write = self.settings.classes[record.class].write;
        let purges = self.purges.iter().filter(|purge| {
            let is_purged = purge.object.map_or(purge.group == record.group, |object| {
                object == record.object
            });
            is_purged && now < purge.purged_at + self.settings.purge_propagation
        });
        let purged_at = purges.map(|purge| purge.purged_at).max();
        // The origin holds no old copies; caches and parents do. Without fill instructions any copy is accepted.
        let target_kind = self.endpoints.get(&target).map(|endpoint| endpoint.kind);
        let max_age = fill.map_or(0, |fill| fill.max_age);
        let may_hold_old_copies = fill.is_some() || target_kind != Some(ORIGIN);
        if let Some(purged_at) = purged_at.filter(|_| may_hold_old_copies && !write) {
            if max_age == 0 || now - max_age.min(now) < purged_at && now > purged_at {
                self.violations.push(format!(
                    "accepts a purged copy: {id:?} with a maximum age of {max_age} us"
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
                self.violations
                    .push(format!("sent to a cordoned endpoint: {at:?}"));
            }
            match self.endpoints.get(&at) {
                Some(endpoint) if endpoint.state == EndpointState::Ready => {
                    self.check_slow_start(now, at)
                }
                _ => self
                    .violations
                    .push(format!("sent to an endpoint that is not ready: {at:?}")),
            }
        }
    }

    /// Checks the load that was sent to an endpoint in slow start within the overload window. Every fill counts as if it
    /// reached its source.
    fn check_slow_start(&mut self, now: Timestamp, at: EndpointId) {
        let endpoint = &self.endpoints[&at];
        let limits = match endpoint.kind {
            PARENT => self.settings.parent_slow_start,
            CACHE => self.settings.cache_slow_start,
            _ => return,
        };
        let window = self.settings.overload_window;
        if endpoint.started == 0 || now >= endpoint.started + limits.warm_up {
            return;
        }
        let age = now.saturating_sub(endpoint.started) as f64 / limits.warm_up as f64;
        let capacity = endpoint.weight
            * (limits.initial_capacity_fraction + (1.0 - limits.initial_capacity_fraction) * age);
        self.slow_start_sends.push(SlowStartSend {
            endpoint: at,
            sent_at: now,
            transfer_time_us: TRANSFER_TIME_US,
        });
        let load: f64 = self
            .slow_start_sends
            .iter()
            .filter(|sent| sent.endpoint == at && sent.sent_at + window > now)
            .map(|sent| sent.transfer_time_us)
            .sum();
        if load > limits.overload_multiple * capacity * window as f64 {
            self.violations.push(format!(
                "overloaded in slow start: {at:?}, {load} us of transfers"
            ));
        }
    }
}
