//! Slow start: an endpoint that started recently gets no more than it can surely bear.
use super::endpoint::{Endpoint, EndpointIndex, Role};
use super::rendezvous_hash::mix;
use super::router::Router;
use crate::api::Timestamp;

/// Share of the overload multiple that an endpoint in slow start is offered; the rest is for what is not seen.
const OFFERED_LOAD_FRACTION: f64 = 0.5;
/// Share of the overload window whose budget can be spent in one burst.
const BURST_FRACTION: f64 = 0.1;
/// Requests in the overload window that a front's share must allow, or only some of the fronts send there.
const MIN_REQUESTS_IN_WINDOW: f64 = 2.0;

impl Endpoint {
    /// Its present capacity in transfers, at a time on the clock by which starts are dated.
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
    /// Whether an endpoint is in slow start.
    pub(super) fn is_warming_up(&self, at: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[at];
        let now = self.endpoints.discovery_time(self.now);
        endpoint.role != Role::Origin
            && endpoint.slow_start_at > 0
            && now < endpoint.slow_start_at + endpoint.slow_start.warm_up
    }

    /// Whether slow start allows a request to go to an endpoint. One that started recently gets no more than this
    /// front's share of what it can surely do. Guards against overloading it, and against jams at one that is still
    /// slow. Where the share is too small only some fronts send at all, by index from a position hashed for the
    /// endpoint; more of them as it warms up. It harms where few of them need the endpoint.
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
        // Overdrawn by one request, or one larger than the bucket would never pass.
        budget.level > 0.0 && position % (fronts as u64) < senders as u64
    }

    fn longest_mean_transfer_time_us(&self) -> f64 {
        let means = self.mean_transfer_time_us.iter();
        means.fold(1.0, |longest, mean| longest.max(*mean))
    }

    /// Budgets of the endpoints of a role in slow start fill by the capacity at that time, in each decision that
    /// could choose them, whether or not they come first. All others are skipped. `may_probe`: also SUSPECT ones.
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
