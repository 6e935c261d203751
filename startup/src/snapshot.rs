//! Whether a list from disk or from a peer may be used.
use thiserror::Error;

/// Wall clocks of one machine may be set back by this much between two starts.
const MAX_CLOCK_STEP_MS: u64 = 60_000;

/// What is known of a list without decoding all of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotHeader {
    /// Identifies the list: the service that it is from, and the names that its records refer to.
    pub source: u64,
    /// The revision of the list: the number of its last event.
    pub revision: u64,
    /// When the list was known to be current, in Unix milliseconds.
    pub current_at_ms: u64,
}

/// Why a list is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SnapshotRejected {
    /// It is of another list service.
    #[error("it is of another list")]
    OtherSource,
    /// It is no newer than what is known.
    #[error("the configuration knows as much")]
    NotNewer,
    /// It is too old.
    #[error("it is {excess_s} s older than may be served from")]
    TooOld {
        /// By how many seconds.
        excess_s: u64,
    },
    /// Its time is in the future.
    #[error("it is of the future")]
    FromFuture,
}

/// Whether a front may use a list at `now_ms` (Unix milliseconds), when it knows `known_revision` of the list `source`
/// and may use lists up to `max_age_ms` old.
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
