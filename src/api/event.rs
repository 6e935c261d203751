//! Events: what a router is notified of.
use super::{
    EndpointEntry, EndpointId, LearnedHealth, ListKind, Micros, ObjectId, Outcome, RequestId,
};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: u16,
    /// The requested object.
    pub object: ObjectId,
    /// Which part of the object.
    pub part: u32,
    /// The group of the object, which purges may name.
    pub group: u32,
    /// Size of the answer in KB; 0 when not known.
    pub size_kb: f64,
    /// Time until the client gives up.
    pub time_left: Micros,
}

/// What a router is notified of.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or changes of it.
    Endpoints(ListKind, Vec<EndpointEntry>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// The answer of an attempt, by its number, has begun; the client gets this one.
    Started(RequestId, u16),
    /// The client disconnected; nothing is owed any more.
    Cancelled(RequestId),
    /// The timer with this token, which the router set, has expired.
    Timer(u64),
    /// A purge.
    Purged {
        /// The purged object; `None`: the complete group.
        object: Option<ObjectId>,
        /// The purged group, or that of the object.
        group: u32,
        /// How long ago that was.
        age: Micros,
    },
    /// The router's clock is ahead of the clock by which starts of endpoints are dated, by this at most.
    ClockAhead(Micros),
    /// An operator cordons an endpoint, or ends that.
    Cordon {
        /// Which endpoint.
        endpoint: EndpointId,
        /// Nothing may go to it; `false`: it is given back, restarted.
        cordoned: bool,
    },
    /// What an earlier process of this front has learned.
    LearnedHealth(Vec<LearnedHealth>),
    /// Limits of the connections to caches.
    Connections {
        /// Connections that the embedding program can have at once; 0: any number.
        max: usize,
        /// A connection that carries nothing is closed after this time.
        idle: Micros,
    },
}
