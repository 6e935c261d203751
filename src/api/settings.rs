//! What a front knows of its deployment when it starts.
use super::Micros;

/// What a class allows when an attempt may already have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Safe to repeat.
    Idempotent,
    /// Repeats are dropped by the members within `group` for `window` after the first send.
    Keyed {
        /// Who drops the repeats.
        scope: KeyScope,
        /// For how long they remember.
        window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The members that know each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All members.
    All,
    /// Members of one zone.
    Zone,
    /// Members of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this span earns its full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the request's own sending time.
    pub objective_stretch: f64,
    /// Worth of one request answered in time.
    pub priority_weight: f64,
    /// What may be repeated.
    pub idempotency: Idempotency,
    /// Never kept by caches; runs at the origin.
    pub write: bool,
    /// How long a copy is fresh; 0: until it is purged.
    pub freshness_lifetime: Micros,
    /// How much older than fresh a copy may be when that is asked for.
    pub grace: Micros,
}

/// How fast members that started lately can be loaded.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartLimits {
    /// Share of its capacity that a member has at its start, at least.
    pub initial_share: f64,
    /// By then it has all of it, rising in a line, at the latest.
    pub warm_up: Micros,
    /// Sent more than this multiple of its present capacity, it falls over.
    pub overload_multiple: f64,
}

/// What a router is told at its start. It holds no names.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The zone of this router.
    pub zone: u16,
    /// Routers in each zone.
    pub fronts_by_zone: Vec<u32>,
    /// Routers in all.
    pub fronts: u32,
    /// Number of this router among them, from 0.
    pub front_index: u32,
    /// The request classes, by index.
    pub classes: Vec<Class>,
    /// Kind of the parents, if there are any.
    pub parent_kind: Option<u8>,
    /// Kind of the origin, if it can be named.
    pub origin_kind: Option<u8>,
    /// KB a second of one transfer to a client; 0 when not told.
    pub client_kb_per_s: f64,
    /// KB a second of the link into the zone of this router; 0 when not told.
    pub link_kb_per_s: f64,
    /// Requests may go straight to a parent or the origin.
    pub pass_through: bool,
    /// A request may join a fill that is under way.
    pub coalescing: bool,
    /// By then all caches have dropped purged copies by themselves.
    pub purge_propagation: Micros,
    /// Limits of caches that started lately.
    pub cache_slow_start: SlowStartLimits,
    /// Limits of parents that started lately.
    pub parent_slow_start: SlowStartLimits,
    /// The span over which cold limits are counted.
    pub overload_window: Micros,
    /// Connections not made within this span have failed.
    pub connect_timeout: Micros,
    /// Attempts for one request at most.
    pub max_attempts: u32,
    /// Two attempts of one request may be out at once.
    pub hedging: bool,
    /// Attempts may be called off.
    pub cancellation: bool,
    /// Clients are told how long to stay away; the longest that they heed.
    pub max_retry_after: Micros,
    /// Changes of the member list must be asked for.
    pub must_subscribe: bool,
}
