//! Actions: what a router asks the embedding program to do.
use super::{EndpointId, Micros, RequestId};

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
