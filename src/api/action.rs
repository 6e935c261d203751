//! Actions: what a router asks the embedding program to do.
use super::{EndpointId, Micros, RequestId};

/// Where a miss is filled from, and what happens with the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fill {
    /// A parent, the origin, another cache, or the target itself for no fill.
    pub source: EndpointId,
    /// Greatest age of a copy that may answer; 0: the freshness lifetime of the class.
    pub max_age: Micros,
    /// 0: not cached; 1 to 3: the rank at which the copy is cached, the lowest is evicted first.
    pub rank: u8,
    /// Coalesce with a fill that is under way.
    pub coalesce: bool,
    /// The source answers from its cache only.
    pub only_cached: bool,
    /// Serve a copy near the end of its freshness lifetime and refresh it in the background.
    pub refresh: bool,
}

/// What a router asks the embedding program to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request. Attempts are numbered from 0 in the order sent.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint that gets it.
        target: EndpointId,
        /// Time-out of the attempt; 0: until the client gives up.
        timeout: Micros,
        /// How a miss is filled; `None`: it is not.
        fill: Option<Fill>,
    },
    /// Cancel an attempt, by its number.
    Cancel(RequestId, u16),
    /// Final answer: rejected; retrying after this time is harmless.
    Reject(RequestId, Micros),
    /// Final answer: failed; the request may have run.
    Fail(RequestId),
    /// Set a timer: after this time the router gets an event with this token.
    Timer(Micros, u64),
    /// Subscribe to the endpoint list.
    Subscribe,
    /// A line for the log.
    Log(String),
}
