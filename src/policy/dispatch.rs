//! Dispatch: sends an attempt and acquires the capacity that it needs.
use super::endpoint::Role;
use super::request_state::{
    Attempt, PendingRequest, Probes, Resource, Route, SlowStartCharges, TimerPurpose,
};
use super::router::Router;
use super::units::MILLISECOND;
use crate::api::{Action, Micros, RequestId};

/// An attempt is overdue at the earliest after this multiple of its transfer time plus `OVERDUE_SLACK`.
const OVERDUE_TRANSFER_FACTOR: f64 = 1.5;
const OVERDUE_SLACK: Micros = 100 * MILLISECOND;

impl Router {
    /// Sends an attempt of a request.
    pub(super) fn send(&mut self, id: RequestId, route: Route) {
        let Some(mut pending) = self.pending.remove(&id) else {
            return;
        };
        let mut attempt = self.new_attempt(&pending, route);
        self.acquire_capacity(&pending, &mut attempt);
        if route.other_source().is_some() {
            self.fills_in_flight.add(pending.part_key());
        }
        pending.accepts_stale = pending.missed && route.other_source().is_none();
        let fill = self.fill_instructions(&pending, route);
        self.actions.push(Action::Send {
            request: id,
            target: self.endpoints[route.target].listed.endpoint,
            timeout: 0,
            fill,
        });
        self.set_overdue_timer(&pending);
        pending.attempts.push(attempt);
        self.pending.insert(id, pending);
    }

    fn new_attempt(&self, pending: &PendingRequest, route: Route) -> Attempt {
        let other_source = route.other_source();
        let is_outside = |at| self.endpoints[at].role != Role::Cache;
        let from_outside = is_outside(route.target) || other_source.is_some_and(is_outside);
        Attempt {
            route,
            sent_at: self.now,
            in_flight: true,
            cancelled: false,
            probes: Probes {
                target: self.is_suspect(route.target),
                source: other_source.is_some_and(|at| self.is_suspect(at)),
            },
            slow_start_charges: SlowStartCharges::default(),
            uses_link: !pending.class.write && from_outside,
            upstream_origin: route
                .source
                .filter(|_| pending.parent_missed)
                .and_then(|at| self.slow_upstream_origin(at, &pending.request)),
        }
    }

    /// Acquires a slot at each resource that an attempt uses, and charges slow-start budgets.
    fn acquire_capacity(&mut self, pending: &PendingRequest, attempt: &mut Attempt) {
        let target = attempt.route.target;
        if let Some(origin) = attempt.upstream_origin {
            self.acquire(Resource::Endpoint(origin));
        }
        if attempt.uses_link {
            self.acquire(Resource::Link);
        }
        if self.endpoints[target].role == Role::Cache {
            self.connections.record_send(self.now, target);
        }
        let mean_us = self.mean_transfer_time_us[usize::from(pending.request.class)];
        for (at, is_probe) in attempt.endpoints() {
            self.acquire(Resource::Endpoint(at));
            if is_probe {
                self.endpoints[at].health.start_probe();
            }
        }
        attempt.slow_start_charges = SlowStartCharges {
            target: self.charge_slow_start(target, mean_us),
            source: attempt
                .route
                .other_source()
                .and_then(|source| self.charge_slow_start(source, mean_us)),
        };
    }

    fn set_overdue_timer(&mut self, pending: &PendingRequest) {
        let transfer_time = pending.transfer_time_us as Micros;
        let min_wait =
            (pending.transfer_time_us * OVERDUE_TRANSFER_FACTOR) as Micros + OVERDUE_SLACK;
        let last_in_time = pending.objective_at;
        let wait = last_in_time
            .saturating_sub(self.now + transfer_time)
            .max(min_wait);
        if self.now + wait < pending.deadline {
            let number = pending.attempts.len();
            let purpose = TimerPurpose::AttemptOverdue(pending.request.id, number);
            self.set_timer(wait, purpose);
        }
    }
}
