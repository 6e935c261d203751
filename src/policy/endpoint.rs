//! What a front remembers of one endpoint (cache, parent or origin).
use super::concurrency_limit::ConcurrencyLimit;
use super::health::Health;
use super::token_bucket::TokenBucket;
use crate::api::{EndpointEntry, SlowStartLimits, Timestamp};

/// Position of an endpoint in the endpoint table; kept while it is listed or has requests in flight.
pub(crate) type EndpointIndex = usize;

/// What an endpoint is to this front. The names appear in log lines.
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
    /// What the endpoint list says of it.
    pub listed: EndpointEntry,
    pub role: Role,
    /// Start of its slow start, by the clock by which starts are dated; 0: it started long ago.
    pub slow_start_at: Timestamp,
    pub slow_start: SlowStartLimits,
    pub health: Health,
    pub concurrency: ConcurrencyLimit,
    /// Microseconds of transfer time that this front may send there during slow start.
    pub slow_start_budget: TokenBucket,
}

impl Endpoint {
    /// When it started last, the same for all fronts that were notified of it, whatever their clocks.
    pub fn last_start(&self) -> Timestamp {
        self.slow_start_at.max(self.listed.started)
    }

    /// Begins a slow start with an empty budget: it came back with an empty cache.
    pub fn restart_slow_start(&mut self, now: Timestamp, started_at: Timestamp) {
        self.slow_start_at = started_at;
        self.slow_start_budget = TokenBucket::new(now);
    }
}
