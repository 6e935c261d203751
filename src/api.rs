//! The interface of the module: what a router is told and what it asks for.
//!
//! Times are microseconds on one clock that never goes back; spans are microseconds too. Ids are opaque: they
//! are compared and hashed, nothing is read out of them.

/// A moment on the embedding program's monotonic clock, in microseconds.
pub type Timestamp = u64;
/// A span of time in microseconds.
pub type Micros = u64;

/// A cache, a parent or the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId(pub u64);

/// One try of a client; the number is never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// An object; all its parts share the id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObjectId(pub u64);

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

/// State of a list entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Runs.
    Ready,
    /// Completes its work; nothing new may go to it.
    Draining,
    /// Removed.
    Removed,
}

/// An entry of the member list.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Which member.
    pub endpoint: EndpointId,
    /// Its kind.
    pub kind: u8,
    /// Its zone.
    pub zone: u16,
    /// Its cell.
    pub cell: u16,
    /// Transfers to clients that its link carries at full pace, give or take.
    pub weight: f64,
    /// When it started; 0: long ago.
    pub started: Timestamp,
    /// What the list says of it.
    pub state: EndpointState,
}

/// How complete a member list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Delta,
    /// Everything; members that it lacks are gone.
    Full,
    /// A call for the list failed, or the subscription broke.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The member returned an error.
    Error,
    /// Turned away unseen, or the source refused or was not reached.
    Rejected,
    /// No answer in time.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke with the attempt in flight.
    Reset,
    /// Called off.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No copy that will do, and none was filled.
    Miss,
}

impl Status {
    /// Whether this ending proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Miss
        )
    }
}

/// What an answer tells of its fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FillNote {
    /// Nothing.
    #[default]
    None,
    /// From a copy at hand.
    Hit,
    /// Filled by the source.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Joined a fill, or one is under way here.
    Coalesced,
    /// From a copy past its fresh time.
    Stale,
    /// The source refused.
    SourceRejected,
    /// The source was not reached, broke off or ran out of time.
    SourceLost,
    /// The source lacks the object.
    SourceMiss,
    /// No place for a fill at the cache.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order sent.
    pub attempt: u16,
    /// The request is closed; nothing more is owed.
    pub closed: bool,
    /// How it ended.
    pub status: Status,
    /// It ended along with another attempt on the same broken connection, which is told of by itself.
    pub shared_failure: bool,
    /// What is told of the fill.
    pub note: FillNote,
    /// Time to the source's first byte or to its failure; 0 when not told.
    pub source_wait: Micros,
    /// Time since it was sent.
    pub latency: Micros,
    /// The load report of the member that answered, if it came with one.
    pub report: Option<LoadReport>,
}

/// What a member tells of its load. Reports are late and noisy; a figure that is not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Of a cache: transfers on the link into its zone over those that fit at full pace.
    pub link: Option<f64>,
}

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class.
    pub class: u16,
    /// The object asked for.
    pub object: ObjectId,
    /// Which part of it.
    pub part: u32,
    /// Its group, which purges may name.
    pub group: u32,
    /// Size in KB; 0 when not told.
    pub size_kb: f64,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// What one process of a router has learned of a member, for the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LearnedHealth {
    /// Which member.
    pub endpoint: EndpointId,
    /// When it started, as the list says: another process of it is another matter.
    pub started: Timestamp,
    /// Since when it is cold; 0: it started long ago.
    pub cold_since: Timestamp,
    /// It is DOWN, or was and has not proven itself since.
    pub down: bool,
    /// It went DOWN because no connection was made.
    pub lost: bool,
}

/// What a router is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the member list.
    Endpoints(ListKind, Vec<EndpointEntry>),
    /// A client asks.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// The answer of an attempt began; it belongs to the client now.
    Started(RequestId, u16),
    /// The client left; nothing is owed any more.
    Cancelled(RequestId),
    /// A timer that the router set has run out.
    Timer(u64),
    /// An object, or with `None` a whole group, was purged this long ago.
    Purged(Option<ObjectId>, u32, Micros),
    /// The router's clock is ahead of that by which members' starts are dated, by this at most.
    ClockAhead(Micros),
    /// An operator takes a member out (`true`), or gives it back.
    Cordon(EndpointId, bool),
    /// What an earlier process of this router has learned.
    LearnedHealth(Vec<LearnedHealth>),
    /// Connections to caches that the embedding program can hold at once (0: any number), and how long one stays
    /// open that carries nothing.
    Connections(usize, Micros),
}

/// Where a miss is filled from, and what happens with the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// A parent, the origin, another cache, or the target itself for no fill.
    pub source: EndpointId,
    /// Oldest copy that will do; 0: the class's fresh time.
    pub max_age: Micros,
    /// 0: not kept; 1 to 3: the rank at which it is kept, the lowest is dropped first.
    pub rank: u8,
    /// Join a fill that is under way.
    pub coalesce: bool,
    /// The source gives only what it holds.
    pub only_cached: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub refresh: bool,
}

/// What a router asks the embedding program to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request. Attempts count from 0 in the order sent.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        target: EndpointId,
        /// Time-out of the attempt; 0: until the client gives up.
        timeout: Micros,
        /// How a miss is filled; `None`: it is not.
        fill: Option<Fill>,
    },
    /// Call off an attempt.
    Cancel(RequestId, u16),
    /// Final answer: refused, harmless to try again after the span.
    Reject(RequestId, Micros),
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Wake the router after a span with a token.
    Timer(Micros, u64),
    /// Subscribe to the member list.
    Subscribe,
    /// A line for the log.
    Log(String),
}
