//! What a front knows of its deployment when it starts.
use super::Micros;

/// Whether a request may be repeated when an attempt may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key: endpoints within `scope` drop repeats for `window` after the first attempt.
    Keyed {
        /// Which endpoints drop the repeats.
        scope: KeyScope,
        /// How long they remember the key.
        window: Micros,
    },
    /// It must never run twice.
    NotIdempotent,
}

/// The endpoints that share idempotency keys.
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
    /// An answer within this time meets the objective.
    pub latency_objective: Micros,
    /// The objective grows by this multiple of the request's own transfer time.
    pub objective_stretch: f64,
    /// Weight of one request that is answered in time.
    pub priority_weight: f64,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
    /// Never cached; runs at the origin.
    pub write: bool,
    /// How long a copy is fresh; 0: until it is purged.
    pub freshness_lifetime: Micros,
    /// How much older than fresh a copy may be where a stale one is accepted.
    pub grace: Micros,
}

/// How fast endpoints that started recently can be loaded.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimits {
    /// Share of its capacity that an endpoint has at its start, at least.
    pub initial_capacity_fraction: f64,
    /// Time until it has its full capacity, rising linearly, at the latest.
    pub warm_up: Micros,
    /// It is overloaded when sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
}

/// What a router knows of its deployment when it starts. Zones, kinds and classes are indexes here, not names.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The zone of this front.
    pub zone: u16,
    /// Fronts in each zone.
    pub fronts_by_zone: Vec<u32>,
    /// Fronts in all zones.
    pub fronts: u32,
    /// Index of this front among them, from 0.
    pub front_index: u32,
    /// The request classes, by index.
    pub classes: Vec<Class>,
    /// Kind of the parents, if there are any.
    pub parent_kind: Option<u8>,
    /// Kind of the origin, if it is on the endpoint list.
    pub origin_kind: Option<u8>,
    /// KB a second of one transfer to a client; 0 when not known.
    pub client_kb_per_s: f64,
    /// KB a second of the link into the zone of this front; 0 when not known.
    pub link_kb_per_s: f64,
    /// Requests may bypass the caches and go to a parent or the origin.
    pub pass_through: bool,
    /// A request may coalesce with a fill that is under way.
    pub coalescing: bool,
    /// Time after a purge by which all caches have dropped the purged copies.
    pub purge_propagation: Micros,
    /// Limits of caches that started recently.
    pub cache_slow_start: SlowStartLimits,
    /// Limits of parents that started recently.
    pub parent_slow_start: SlowStartLimits,
    /// Time window over which load is compared with the slow-start limits.
    pub overload_window: Micros,
    /// A connection that is not made within this time has failed.
    pub connect_timeout: Micros,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Retry-after sent with rejections; 0: none.
    pub max_retry_after: Micros,
    /// The endpoint list must be subscribed to.
    pub must_subscribe: bool,
}
