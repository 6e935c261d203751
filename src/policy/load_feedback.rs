//! What answers and load reports do to the concurrency limits.
use super::concurrency_limit::{LoadSignal, GROWTH_SLOTS_PER_ROUND};
use super::endpoint::{EndpointIndex, Role};
use super::request_state::{Resource, TimerPurpose};
use super::router::{LinkReport, Router};
use super::units::MILLISECOND;
use crate::api::{LoadReport, Micros};

/// Transfers on the link into the zone, over those that fit at full rate, from which it is full: a fill runs two to
/// four times as fast as a client takes it, so up to there it holds up none.
pub(super) const FULL_LINK_UTILIZATION: f64 = 3.0;
/// A link with a lower reported utilization is taken to have this one.
const MIN_LINK_UTILIZATION: f64 = 0.2;
/// How long a load report holds.
const MAX_LOAD_REPORT_AGE: Micros = 1_000 * MILLISECOND;

impl Router {
    /// Takes a slot at a resource; if it was a turn, a timer wakes what waits there at the next one.
    pub(super) fn acquire(&mut self, resource: Resource) {
        let now = self.now;
        if let Some(delay) = self.concurrency_mut(resource).acquire(now) {
            self.set_timer(delay, TimerPurpose::FractionalSlotFree(resource));
        }
    }

    /// Adapts the limit of a resource after an answer.
    pub(super) fn adapt_limit(&mut self, resource: Resource, signal: LoadSignal) {
        let (role, report) = match resource {
            Resource::Endpoint(at) => (self.endpoints[at].role, None),
            Resource::Link => (Role::Cache, self.link_utilization()),
        };
        // Where a report says how empty the link is, its limit grows the faster.
        let headroom = report.map_or(1.0, |utilization| {
            FULL_LINK_UTILIZATION / utilization.max(MIN_LINK_UTILIZATION)
        });
        let growth = (GROWTH_SLOTS_PER_ROUND / f64::from(self.fronts_sharing(role))).min(1.0)
            * headroom.max(1.0);
        let now = self.now;
        self.concurrency_mut(resource).adapt(now, signal, growth);
    }

    /// How full the link into the zone is, where a recent report tells.
    pub(super) fn link_utilization(&self) -> Option<f64> {
        self.link_report
            .filter(|report| self.now < report.received_at + MAX_LOAD_REPORT_AGE)
            .map(|report| report.utilization)
    }

    /// Takes over what the load report of a cache says about the link.
    pub(super) fn record_load_report(&mut self, from: EndpointIndex, report: Option<LoadReport>) {
        let report = report.filter(|_| self.endpoints[from].role == Role::Cache);
        let utilization = report.and_then(|report| report.link);
        if let Some(utilization) = utilization.filter(|value| value.is_finite()) {
            self.link_report = Some(LinkReport {
                utilization,
                received_at: self.now,
            });
        }
    }

    /// Whether this front's share of a source is less than one slot: many fronts send to few parents. The origin's
    /// size is a guess, so it goes with the parents there.
    pub(super) fn has_fractional_quota(&self, at: EndpointIndex) -> bool {
        let fractional = |at: &EndpointIndex| self.endpoints[*at].concurrency.min_limit < 1.0;
        match self.endpoints[at].role {
            Role::Origin => self.endpoints.ready(Role::Parent).iter().any(fractional),
            Role::Cache | Role::Parent => fractional(&at),
        }
    }
}
