//! Outcomes of attempts.
use super::{Micros, RequestId};

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The endpoint returned an error response.
    Error,
    /// Rejected without having run, or the source rejected it or was not reached.
    Rejected,
    /// No response before the timeout.
    Timeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke while the attempt was in flight.
    Reset,
    /// Cancelled by the router.
    Cancelled,
    /// Not sent by the embedding program.
    NotSent,
    /// No acceptable copy is cached, and the miss was not filled.
    Miss,
}

impl Status {
    /// Whether this status proves that the request did not run.
    pub fn proves_not_run(self) -> bool {
        matches!(
            self,
            Status::Rejected | Status::ConnectFailed | Status::NotSent | Status::Miss
        )
    }
}

/// How a cache obtained the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FillNote {
    /// Unknown.
    #[default]
    None,
    /// Served from a cached copy.
    Hit,
    /// Filled from the source.
    Filled,
    /// Filled from the origin through the source.
    FilledByOrigin,
    /// Coalesced with a fill in flight.
    Coalesced,
    /// Served from a copy past its freshness lifetime.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was not reached, its connection broke, or it timed out.
    SourceLost,
    /// The source does not have the object.
    SourceMiss,
    /// The cache had no free slot for a fill.
    NoFillSlot,
    /// The origin failed while the parent fetched from it.
    OriginFailed,
}

/// Load reported by an endpoint. Reports are delayed and noisy; a value that is not reported is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Utilization of the link into a cache's zone: transfers in progress over those that fit at full rate.
    pub link: Option<f64>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order sent.
    pub attempt: u16,
    /// Whether the client has received its response or has disconnected, so that no further attempt is needed.
    pub closed: bool,
    /// Result of the attempt.
    pub status: Status,
    /// Whether the attempt failed because its connection broke, and another attempt on that connection is charged with
    /// it.
    pub shared_failure: bool,
    /// How the cache obtained the response.
    pub note: FillNote,
    /// Time until the first byte from the source or until its failure; 0 if unknown.
    pub source_wait: Micros,
    /// Time since the attempt was sent.
    pub latency: Micros,
    /// Load report of the endpoint that responded, if it sent one.
    pub report: Option<LoadReport>,
}
