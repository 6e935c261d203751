//! Slow start: limits the load of an endpoint that started recently.
use super::endpoint::{Endpoint, EndpointIndex, Role};
use super::rendezvous_hash::mix;
use super::request_state::{Attempt, SlowStartCharge};
use super::router::Router;
use crate::api::{FillNote, Outcome, Status, Timestamp};

/// Fraction of the overload multiple that is offered to an endpoint in slow start; the rest is a margin for load that
/// this front does not observe.
const OFFERED_LOAD_FRACTION: f64 = 0.5;
/// Fraction of the overload window's budget that can be spent in one burst.
const BURST_FRACTION: f64 = 0.1;
/// Requests per overload window that a front's share must allow; with less, only some of the fronts send to the
/// endpoint.
const MIN_REQUESTS_IN_WINDOW: f64 = 2.0;

impl Endpoint {
    /// Capacity in transfers at a time on the discovery clock.
    fn current_capacity(&self, discovery_now: Timestamp) -> f64 {
        let limits = &self.slow_start;
        let elapsed = discovery_now.saturating_sub(self.slow_start_at) as f64;
        let age = elapsed / limits.warm_up as f64;
        let fraction = limits.initial_capacity_fraction
            + (1.0 - limits.initial_capacity_fraction) * age.min(1.0);
        self.listed.weight * fraction
    }
}

impl Router {
    pub(super) fn is_warming_up(&self, at: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[at];
        let now = self.endpoints.discovery_time(self.now);
        endpoint.role != Role::Origin
            && endpoint.slow_start_at > 0
            && now < endpoint.slow_start_at + endpoint.slow_start.warm_up
    }

    /// Whether slow start allows a request to an endpoint. An endpoint that started recently gets no more than this
    /// front's share of the load that it can take, to prevent overload and late responses. Where the share is too
    /// small only some fronts send to it, selected by index from a position hashed for the endpoint, and more of them
    /// as it warms up. A drawback is that the fronts that need the endpoint may not be among them.
    pub(super) fn slow_start_allows(&mut self, at: EndpointIndex) -> bool {
        if !self.is_warming_up(at) {
            return true;
        }
        let fronts = f64::from(self.fronts_sharing(self.endpoints[at].role));
        let window_us = self.settings.overload_window as f64;
        let transfer_time_us = self.longest_mean_transfer_time_us();
        let discovery_now = self.endpoints.discovery_time(self.now);
        let endpoint = &mut self.endpoints[at];
        let capacity = endpoint.current_capacity(discovery_now);
        let rate = capacity * endpoint.slow_start.overload_multiple * OFFERED_LOAD_FRACTION;
        let requests_in_window = rate * window_us / transfer_time_us;
        let senders = (requests_in_window / MIN_REQUESTS_IN_WINDOW)
            .floor()
            .clamp(1.0, fronts);
        let position = mix(endpoint.listed.endpoint.0, endpoint.last_start())
            .wrapping_add(self.settings.front_index.into());
        let max_level = rate / senders * window_us * BURST_FRACTION;
        let budget = &mut endpoint.slow_start_budget;
        budget.refill(self.now, rate / senders, max_level);
        // A balance above zero suffices, as a request larger than the bucket would otherwise never be sent.
        budget.level > 0.0 && position % (fronts as u64) < senders as u64
    }

    /// Charges an attempt to the budget of an endpoint, if the endpoint is in slow start.
    pub(super) fn charge_slow_start(
        &mut self,
        at: EndpointIndex,
        amount_us: f64,
    ) -> Option<SlowStartCharge> {
        if !self.is_warming_up(at) {
            return None;
        }
        let endpoint = &mut self.endpoints[at];
        endpoint.slow_start_budget.level -= amount_us;
        Some(SlowStartCharge {
            amount_us,
            started_at: endpoint.last_start(),
        })
    }

    /// Returns the charges of an ended attempt to endpoints that did not receive it.
    pub(super) fn return_slow_start_charges(&mut self, attempt: &Attempt, outcome: &Outcome) {
        let missed_target = matches!(outcome.status, Status::NotSent | Status::ConnectFailed);
        let missed_source =
            missed_target || matches!(outcome.note, FillNote::Hit | FillNote::Stale);
        if missed_target {
            self.return_slow_start_charge(attempt.route.target, attempt.slow_start_charges.target);
        }
        if let Some(source) = attempt.route.other_source().filter(|_| missed_source) {
            self.return_slow_start_charge(source, attempt.slow_start_charges.source);
        }
    }

    fn return_slow_start_charge(&mut self, at: EndpointIndex, charge: Option<SlowStartCharge>) {
        let endpoint = &mut self.endpoints[at];
        let charge = charge.filter(|charge| charge.started_at == endpoint.last_start());
        endpoint.slow_start_budget.level += charge.map_or(0.0, |charge| charge.amount_us);
    }

    fn longest_mean_transfer_time_us(&self) -> f64 {
        let means = self.mean_transfer_time_us.iter();
        means.fold(1.0, |longest, mean| longest.max(*mean))
    }

    /// Refills the slow-start budgets of the ready, healthy endpoints of a role at their current capacity. This is
    /// done in every decision that could choose them, whatever their rank. `may_probe` includes SUSPECT endpoints.
    pub(super) fn refill_slow_start_budgets(&mut self, role: Role, may_probe: bool) {
        let warming_up: Vec<EndpointIndex> = self.warming_up.iter().copied().collect();
        for at in warming_up {
            if !self.is_warming_up(at) {
                self.warming_up.remove(&at);
            } else if self.endpoints[at].role == role
                && self.endpoints.is_ready(at)
                && self.is_healthy_for(at, may_probe)
            {
                self.slow_start_allows(at);
            }
        }
    }
}
