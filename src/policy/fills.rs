//! Fills: what they wait for, and the instructions for a cache that fills a miss.
use super::endpoint::{EndpointIndex, Role};
use super::load_feedback::FULL_LINK_UTILIZATION;
use super::request_state::{PendingRequest, Route, WaitTarget};
use super::requests::transfer_time_us;
use super::router::Router;
use crate::api::{Fill, Request};

/// Ratio of late responses from which the origin is considered slow.
const ORIGIN_LATE_RATIO: f64 = 0.4;
/// Ratio of requests for recently purged objects from which fills of such objects are held to the origin's limit: they
/// reach the origin, and its overload would show only after the first late responses.
const MANY_PURGED_RATIO: f64 = 0.25;
/// Attempts that may fill from a source, as a multiple of its limit, from which a cache is first checked for a copy
/// without a fill. About half of these attempts are hits, which never reach the source; requests that missed are held
/// to the limit itself.
const MAX_POTENTIAL_FILLS_FACTOR: f64 = 2.0;
/// Ranks of cached copies: parts requested once are evicted before parts requested repeatedly.
const RANK_NOT_CACHED: u8 = 0;
const RANK_FIRST_REQUEST: u8 = 1;
const RANK_REPEATED_REQUEST: u8 = 2;

impl Router {
    /// What a fill from a source has to wait for, if anything. The link counts only if load reports show its
    /// utilization.
    pub(super) fn capacity_wait_target(
        &self,
        source: EndpointIndex,
        parent_missed: bool,
        request: &Request,
    ) -> Option<WaitTarget> {
        if !self.has_capacity(source) {
            return Some(WaitTarget::Endpoint(source));
        }
        if self.link_report.is_some() && self.link.reaches(MAX_POTENTIAL_FILLS_FACTOR) {
            return Some(WaitTarget::Link);
        }
        let upstream_origin = self
            .slow_upstream_origin(source, request)
            .filter(|at| parent_missed && !self.has_capacity(*at));
        upstream_origin.map(WaitTarget::Endpoint)
    }

    /// The origin, if `source` is a parent and fills through it from the origin are late, or are expected to be
    /// because many objects were purged or large parts are not coalesced. The parent is then first asked for a cached
    /// copy only; otherwise fills that wait for the origin would hold all its slots. A single front of many sees too
    /// few late responses to detect this in time.
    pub(super) fn slow_upstream_origin(
        &self,
        source: EndpointIndex,
        request: &Request,
    ) -> Option<EndpointIndex> {
        if self.endpoints[source].role != Role::Parent {
            return None;
        }
        let many_purged =
            self.purged_ratio >= MANY_PURGED_RATIO && self.was_purged_recently(request);
        let mean_us = self.mean_transfer_time_us[usize::from(request.class)];
        let large_without_coalescing =
            !self.settings.coalescing && transfer_time_us(request, &self.settings) > mean_us;
        self.origin().filter(|at| {
            let late_ratio = self.endpoints[*at].concurrency.late_ratio();
            many_purged || large_without_coalescing || late_ratio >= ORIGIN_LATE_RATIO
        })
    }

    /// Whether the link or a source is so loaded that a cache is first checked for a copy without a fill, so that hits
    /// do not wait behind fills.
    pub(super) fn must_check_cache_first(&self, source: EndpointIndex, request: &Request) -> bool {
        let link_exceeded =
            self.link_report.is_some() && self.link.reaches(MAX_POTENTIAL_FILLS_FACTOR);
        let link_full = self.link_utilization() > Some(FULL_LINK_UTILIZATION);
        let source_exceeded = self.endpoints[source]
            .concurrency
            .reaches(MAX_POTENTIAL_FILLS_FACTOR);
        (link_exceeded || link_full || source_exceeded)
            && self.slow_upstream_origin(source, request).is_none()
    }

    /// Fill instructions for an attempt.
    pub(super) fn fill_instructions(&self, pending: &PendingRequest, route: Route) -> Option<Fill> {
        let source = route.source?;
        let is_write = pending.class.write;
        let from_cache = self.endpoints[source].role == Role::Cache;
        let slow_origin = self
            .slow_upstream_origin(source, &pending.request)
            .is_some();
        Some(Fill {
            source: self.endpoints[source].listed.endpoint,
            max_age: self.max_age(pending),
            rank: match (is_write, pending.requested_recently) {
                (true, _) => RANK_NOT_CACHED,
                (false, false) => RANK_FIRST_REQUEST,
                (false, true) => RANK_REPEATED_REQUEST,
            },
            coalesce: self.settings.coalescing,
            only_cached: from_cache || (!pending.parent_missed && slow_origin),
            refresh: pending.class.freshness_lifetime > 0 && !is_write,
        })
    }
}
