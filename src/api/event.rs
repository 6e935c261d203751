//! Events: what a router is notified of.
use super::{
    EndpointEntry, EndpointId, LearnedHealth, ListKind, Micros, ObjectId, Outcome, RequestId,
};

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
