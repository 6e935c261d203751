//! Timestamps and durations in microseconds on a monotonic clock.

/// A point in time on the embedding program's monotonic clock, in microseconds.
pub type Timestamp = u64;

/// A duration in microseconds.
pub type Micros = u64;
