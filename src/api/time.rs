//! Timestamps and durations: microseconds on one monotonic clock of the embedding program.

/// A point in time on the embedding program's monotonic clock, in microseconds.
pub type Timestamp = u64;

/// A duration in microseconds.
pub type Micros = u64;
