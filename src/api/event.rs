//! Events that the embedding program passes to a router.
use super::{
    EndpointEntry, EndpointId, LearnedHealth, ListKind, Micros, ObjectId, Outcome, RequestId,
};

/// A client's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Identifies the request in actions and later events.
    pub id: RequestId,
    /// Index of its class in [`Settings::classes`](super::Settings::classes).
    pub class: u16,
    /// Object that the client requests.
    pub object: ObjectId,
    /// Index of the requested part of the object.
    pub part: u32,
    /// Group of the object, by which purges can select it.
    pub group: u32,
    /// Size of the response in KB; 0 if unknown.
    pub size_kb: f64,
    /// Time until the deadline of the request.
    pub time_left: Micros,
}

/// An event that the embedding program passes to a router.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list, or a change of it.
    Endpoints(ListKind, Vec<EndpointEntry>),
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    Outcome(Outcome),
    /// The response of the attempt with this number has begun. The client receives this response.
    Started(RequestId, u16),
    /// The client has cancelled the request or disconnected, or the embedding program has sent the final response
    /// itself. The request needs no further attempts.
    Cancelled(RequestId),
    /// The timer that the router set with this token has expired.
    Timer(u64),
    /// Copies were purged.
    Purged {
        /// The purged object; `None`: all objects of the group.
        object: Option<ObjectId>,
        /// The purged group, or the group of the purged object.
        group: u32,
        /// Time since the purge.
        age: Micros,
    },
    /// Upper bound of how far the router's clock is ahead of the clock of the start times in the endpoint list.
    ClockAhead(Micros),
    /// An operator cordoned or uncordoned an endpoint.
    Cordon {
        /// Endpoint that is cordoned or uncordoned.
        endpoint: EndpointId,
        /// `true`: the endpoint gets no requests; `false`: it is back in service after a restart.
        cordoned: bool,
    },
    /// Health state that an earlier process of this front handed over.
    LearnedHealth(Vec<LearnedHealth>),
    /// Limits of the connections to caches.
    Connections {
        /// Maximum number of connections that the embedding program has at once; 0: unlimited.
        max: usize,
        /// Time without requests after which a connection is closed.
        idle: Micros,
    },
}
