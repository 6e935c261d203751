//! Settings of the deployment that a router is created with.
use super::Micros;

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to run any number of times.
    Idempotent,
    /// The request carries an idempotency key: endpoints within `scope` ignore repeats for `window` after the first
    /// attempt.
    Keyed {
        /// Endpoints that ignore the repeats.
        scope: KeyScope,
        /// Time for which they remember the key.
        window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// Set of endpoints that share idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All endpoints.
    All,
    /// Endpoints of one zone.
    Zone,
    /// Endpoints of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// A response within this time meets the objective, apart from `objective_stretch`.
    pub latency_objective: Micros,
    /// Multiple of the request's own transfer time by which the objective is extended.
    pub objective_stretch: f64,
    /// Weight of a request that is served in time, relative to other classes.
    pub priority_weight: f64,
    /// Whether and how a request may be repeated.
    pub idempotency: Idempotency,
    /// Whether requests are writes, which run at the origin and are never cached.
    pub write: bool,
    /// Time for which a copy is fresh; 0: until it is purged.
    pub freshness_lifetime: Micros,
    /// Time past its freshness lifetime for which a copy may still be served where stale copies are accepted.
    pub grace: Micros,
}

/// Load limits of an endpoint in slow start.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimits {
    /// Lower bound of the fraction of its capacity that an endpoint has when it starts.
    pub initial_capacity_fraction: f64,
    /// Upper bound of the time until the endpoint has its full capacity, which rises linearly.
    pub warm_up: Micros,
    /// Multiple of its current capacity above which the endpoint is overloaded.
    pub overload_multiple: f64,
}

/// Settings of the deployment that a router is created with. Zones, kinds and classes are indexes, not names.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Zone of this front.
    pub zone: u16,
    /// Number of fronts in each zone.
    pub fronts_by_zone: Vec<u32>,
    /// Number of fronts in all zones.
    pub fronts: u32,
    /// Index of this front among all fronts, from 0.
    pub front_index: u32,
    /// Request classes, by index.
    pub classes: Vec<Class>,
    /// Kind of the parents; `None`: the deployment has none.
    pub parent_kind: Option<u8>,
    /// Kind of the origin; `None`: it is not on the endpoint list.
    pub origin_kind: Option<u8>,
    /// Rate of one transfer to a client in KB/s; 0 if unknown.
    pub client_kb_per_s: f64,
    /// Rate of the link into the zone of this front in KB/s; 0 if unknown.
    pub link_kb_per_s: f64,
    /// Whether requests may bypass the caches and go to a parent or the origin.
    pub pass_through: bool,
    /// Whether a fill may coalesce with one of the same part that is in flight.
    pub coalescing: bool,
    /// Time after a purge by which all caches have dropped the purged copies.
    pub purge_propagation: Micros,
    /// Slow-start limits of caches.
    pub cache_slow_start: SlowStartLimits,
    /// Slow-start limits of parents.
    pub parent_slow_start: SlowStartLimits,
    /// Time window over which load is compared with the slow-start limits.
    pub overload_window: Micros,
    /// Time after which a connection attempt has failed.
    pub connect_timeout: Micros,
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Retry-after time sent with rejections; 0: none.
    pub max_retry_after: Micros,
    /// Whether the endpoint list has to be subscribed to.
    pub must_subscribe: bool,
}
