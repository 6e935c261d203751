//! Adapts concurrency limits to responses and load reports.
use super::concurrency_limit::{LoadSignal, GROWTH_SLOTS_PER_ROUND};
use super::endpoint::{EndpointIndex, Role};
use super::request_state::{Resource, TimerPurpose};
use super::router::{LinkReport, Router};
use super::units::MILLISECOND;
use crate::api::{LoadReport, Micros};

/// Utilization of the link into the zone from which it is full. A fill runs two to four times as fast as a client
/// reads it, so below this value fills do not delay clients.
pub(super) const FULL_LINK_UTILIZATION: f64 = 3.0;
/// Lower bound applied to the reported utilization of the link.
const MIN_LINK_UTILIZATION: f64 = 0.2;
/// Age from which a load report is ignored.
const MAX_LOAD_REPORT_AGE: Micros = 1_000 * MILLISECOND;

impl Router {
    /// Takes a slot of a resource. If it was the fractional slot, sets a timer that wakes waiting requests once it is
    /// available again.
    pub(super) fn acquire(&mut self, resource: Resource) {
        let now = self.now;
        if let Some(delay) = self.concurrency_mut(resource).acquire(now) {
            self.set_timer(delay, TimerPurpose::FractionalSlotFree(resource));
        }
    }

    /// Adapts the limit of a resource after a response.
    pub(super) fn adapt_limit(&mut self, resource: Resource, signal: LoadSignal) {
        let (role, report) = match resource {
            Resource::Endpoint(at) => (self.endpoints[at].role, None),
            Resource::Link => (Role::Cache, self.link_utilization()),
        };
        // The limit of the link grows faster the more headroom a load report shows.
        let headroom = report.map_or(1.0, |utilization| {
            FULL_LINK_UTILIZATION / utilization.max(MIN_LINK_UTILIZATION)
        });
        let growth = (GROWTH_SLOTS_PER_ROUND / f64::from(self.fronts_sharing(role))).min(1.0)
            * headroom.max(1.0);
        let now = self.now;
        self.concurrency_mut(resource).adapt(now, signal, growth);
    }

    /// Utilization of the link into the zone, if a recent load report contains it.
    pub(super) fn link_utilization(&self) -> Option<f64> {
        self.link_report
            .filter(|report| self.now < report.received_at + MAX_LOAD_REPORT_AGE)
            .map(|report| report.utilization)
    }

    /// Records the link utilization from the load report of a cache.
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

    /// Whether this front's quota of a source is less than one slot, as with many fronts and few parents. The capacity
    /// of the origin is only estimated from the parents, so the parents' quotas decide there.
    pub(super) fn has_fractional_quota(&self, at: EndpointIndex) -> bool {
        let fractional = |at: &EndpointIndex| self.endpoints[*at].concurrency.min_limit < 1.0;
        match self.endpoints[at].role {
            Role::Origin => self.endpoints.ready(Role::Parent).iter().any(fractional),
            Role::Cache | Role::Parent => fractional(&at),
        }
    }
}
