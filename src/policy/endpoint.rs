//! State of one endpoint (cache, parent or origin).
use super::concurrency_limit::ConcurrencyLimit;
use super::health::Health;
use super::token_bucket::TokenBucket;
use crate::api::{EndpointEntry, SlowStartLimits, Timestamp};

/// Index of an endpoint in the endpoint table. It is valid while the endpoint is listed or has requests in flight.
pub(crate) type EndpointIndex = usize;

/// Role of an endpoint for this front. The names appear in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A cache of this front's zone.
    Cache,
    /// A parent cache, from which caches fill.
    Parent,
    /// The origin server.
    Origin,
}

/// An endpoint with its health, limits and budgets.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Its latest entry in the endpoint list.
    pub listed: EndpointEntry,
    pub role: Role,
    /// Start of its slow start on the discovery clock; 0: long ago.
    pub slow_start_at: Timestamp,
    pub slow_start: SlowStartLimits,
    pub health: Health,
    pub concurrency: ConcurrencyLimit,
    /// Transfer time in microseconds that this front may still send to it during slow start.
    pub slow_start_budget: TokenBucket,
}

impl Endpoint {
    /// Its latest start. All fronts that received the same events get the same value, regardless of their clocks.
    pub fn last_start(&self) -> Timestamp {
        self.slow_start_at.max(self.listed.started)
    }

    /// Begins a slow start with an empty budget, after a restart with an empty cache.
    pub fn restart_slow_start(&mut self, now: Timestamp, started_at: Timestamp) {
        self.slow_start_at = started_at;
        self.slow_start_budget = TokenBucket::new(now);
    }
}
