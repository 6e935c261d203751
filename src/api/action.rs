//! Actions that a router returns to the embedding program.
use super::{EndpointId, Micros, RequestId};

/// Instructions for a cache: where it fills a miss from and how it stores the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// A parent, the origin or another cache; the target itself if a miss is not to be filled.
    pub source: EndpointId,
    /// Maximum age of a copy that may be served; 0: the freshness lifetime of the class.
    pub max_age: Micros,
    /// Rank at which the copy is cached, from 1 to 3, the lowest being evicted first; 0: not cached.
    pub rank: u8,
    /// Whether the fill may coalesce with one of the same part that is in flight.
    pub coalesce: bool,
    /// Whether the source may answer from its cache only.
    pub only_cached: bool,
    /// Whether a copy near the end of its freshness lifetime is served and refreshed in the background.
    pub refresh: bool,
}

/// An operation that the embedding program performs for a router.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request. The attempts of a request are numbered from 0 in the order sent.
    Send {
        /// Id from the [`Event::Request`](super::Event::Request) that announced the request.
        request: RequestId,
        /// Endpoint that the attempt is sent to.
        target: EndpointId,
        /// Timeout of the attempt; 0: the deadline of the request.
        timeout: Micros,
        /// Fill instructions for the endpoint; `None`: the attempt is sent without any.
        fill: Option<Fill>,
    },
    /// Cancel the attempt with this number.
    Cancel(RequestId, u16),
    /// Final response: rejected. The client may safely retry after this time.
    Reject(RequestId, Micros),
    /// Final response: failed. The request may have run.
    Fail(RequestId),
    /// Set a timer: after this time the router expects an [`Event::Timer`](super::Event::Timer) with this token.
    Timer(Micros, u64),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
