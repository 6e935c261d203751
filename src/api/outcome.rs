//! How an attempt ended.
use super::{Micros, RequestId};

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

/// What a member tells of its load. Reports are late and noisy; a figure that is not told is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds.
    pub in_flight: Option<f64>,
    /// Of a cache: transfers on the link into its zone over those that fit at full pace.
    pub link: Option<f64>,
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
