//! Fills: what has to wait, and the instructions for a cache that fills a miss.
use super::endpoint::{EndpointIndex, Role};
use super::load_feedback::FULL_LINK_UTILIZATION;
use super::request_state::{PendingRequest, Route, WaitTarget};
use super::requests::transfer_time_us;
use super::router::Router;
use crate::api::{Fill, Request};

/// Ratio of late answers from which the origin is slow.
const ORIGIN_LATE_RATIO: f64 = 0.4;
/// Ratio of requests whose object was purged recently, from which the origin is asked for all of these: what fills
/// by way of it is held to its limit before the first late answer shows that it has no capacity for more.
const MANY_PURGED_RATIO: f64 = 0.25;
/// Attempts that name a source, over its limit, from which a cache is first asked for a cached copy only: about half
/// of them are hits that never reach it. What has missed is held to the limit itself.
const MAX_POTENTIAL_FILLS_FACTOR: f64 = 2.0;
/// Ranks at which copies are kept: one-off requests below what is requested again.
const RANK_NOT_CACHED: u8 = 0;
const RANK_FIRST_REQUEST: u8 = 1;
const RANK_REPEATED_REQUEST: u8 = 2;

impl Router {
    /// What a fill from a source has to wait for, if anything: for the link only where reports tell of it.
    pub(super) fn capacity_wait_target(
        &self,
        source: EndpointIndex,
        parent_missed: bool,
        request: &Request,
    ) -> Option<WaitTarget> {
        if !self.has_capacity(source) {
            return Some(WaitTarget::Endpoint(source));
        }
        if self.link_report.is_some() && self.link.exceeds(MAX_POTENTIAL_FILLS_FACTOR) {
            return Some(WaitTarget::Link);
        }
        let upstream_origin = self
            .slow_upstream_origin(source, request)
            .filter(|at| parent_missed && !self.has_capacity(*at));
        upstream_origin.map(WaitTarget::Endpoint)
    }

    /// The origin, where `source` is a parent and what comes by way of the origin is late, or will be since all
    /// copies were purged: a parent is then first asked for a cached copy only, or its slots would all be taken by
    /// what waits for the origin. Each of many fronts sees too few late answers to learn it in time.
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

    /// Whether the link or a source has so much to do that a cache is first asked for a cached copy only: a hit is
    /// not to wait behind a fill that has to wait.
    pub(super) fn must_check_cache_first(&self, source: EndpointIndex, request: &Request) -> bool {
        let link_exceeded =
            self.link_report.is_some() && self.link.exceeds(MAX_POTENTIAL_FILLS_FACTOR);
        let link_full = self.link_utilization() > Some(FULL_LINK_UTILIZATION);
        let source_exceeded = self.endpoints[source]
            .concurrency
            .exceeds(MAX_POTENTIAL_FILLS_FACTOR);
        (link_exceeded || link_full || source_exceeded)
            && self.slow_upstream_origin(source, request).is_none()
    }

    /// The instructions for a fill that go with an attempt.
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
