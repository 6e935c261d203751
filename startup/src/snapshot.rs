//! Validation of endpoint lists from disk or from peers.
use thiserror::Error;

/// Tolerated backward step of the wall clock between two starts.
const MAX_CLOCK_STEP_MS: u64 = 60_000;

/// The metadata of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotHeader {
    /// Identifies the list: a hash of the list service and of the names that its records refer to.
    pub source: u64,
    /// The revision of the list: the number of its last event.
    pub revision: u64,
    /// When the list was last confirmed as current, in Unix milliseconds.
    pub current_at_ms: u64,
}

/// The reason why an endpoint list is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SnapshotRejected {
    /// The list is from another list service, or refers to other names.
    #[error("the list is from another source")]
    OtherSource,
    /// The list is not newer than the one that the front has.
    #[error("the list is not newer than the current one")]
    NotNewer,
    /// The list exceeds the maximum age.
    #[error("the list is {excess_s} s older than may be served from")]
    TooOld {
        /// Seconds by which the maximum age is exceeded, rounded up.
        excess_s: u64,
    },
    /// The timestamp of the list is in the future.
    #[error("the timestamp of the list is in the future")]
    FromFuture,
}

/// Checks whether a front may use a list at `now_ms`, in Unix milliseconds. The list must be from `source`, newer than
/// `known_revision` and at most `max_age_ms` old.
pub fn check_snapshot(
    now_ms: u64,
    header: SnapshotHeader,
    source: u64,
    known_revision: u64,
    max_age_ms: u64,
) -> Result<(), SnapshotRejected> {
    if header.source != source {
        return Err(SnapshotRejected::OtherSource);
    }
    if header.revision <= known_revision {
        return Err(SnapshotRejected::NotNewer);
    }
    if header.current_at_ms > now_ms.saturating_add(MAX_CLOCK_STEP_MS) {
        return Err(SnapshotRejected::FromFuture);
    }
    let age_ms = now_ms.saturating_sub(header.current_at_ms);
    match age_ms.saturating_sub(max_age_ms) {
        0 => Ok(()),
        excess_ms => Err(SnapshotRejected::TooOld {
            excess_s: excess_ms.div_ceil(1_000),
        }),
    }
}

#[cfg(test)]
mod tests;
