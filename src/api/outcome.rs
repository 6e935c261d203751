//! How an attempt ended.
use super::{Micros, RequestId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Ok,
    /// The endpoint answered with an error.
    Error,
    /// Rejected without having run, or the source rejected it or was not reached.
    Rejected,
    /// No answer before the time-out.
    Timeout,
    /// No connection was made.
    ConnectFailed,
    /// The connection broke with the attempt in flight.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Never sent.
    NotSent,
    /// No acceptable copy is cached, and none was filled.
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

/// How the answer was filled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FillNote {
    /// Nothing is known.
    #[default]
    None,
    /// From a cached copy.
    Hit,
    /// Filled by the source.
    Filled,
    /// Filled by way of the origin.
    FilledByOrigin,
    /// Coalesced with a fill that was under way.
    Coalesced,
    /// From a copy past its freshness lifetime.
    Stale,
    /// The source rejected the fill.
    SourceRejected,
    /// The source was not reached, broke off or ran out of time.
    SourceLost,
    /// The source lacks the object.
    SourceMiss,
    /// The cache had no slot for a fill.
    NoFillSlot,
    /// The origin failed behind the parent.
    OriginFailed,
}

/// Load that an endpoint reports. Reports are late and noisy; a figure that it lacks is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the endpoint.
    pub in_flight: Option<f64>,
    /// Of a cache: transfers on the link into its zone over those that fit at full rate.
    pub link: Option<f64>,
}

/// The end of one attempt.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt, from 0 in the order sent.
    pub attempt: u16,
    /// The client has its answer, or is gone: nothing more is owed.
    pub closed: bool,
    /// How it ended.
    pub status: Status,
    /// It failed together with another attempt on the same broken connection, which has an outcome of its own.
    pub shared_failure: bool,
    /// How the answer was filled.
    pub note: FillNote,
    /// Time to the source's first byte or to its failure; 0 when not known.
    pub source_wait: Micros,
    /// Time since it was sent.
    pub latency: Micros,
    /// The load report of the endpoint that answered, if it sent one.
    pub report: Option<LoadReport>,
}
