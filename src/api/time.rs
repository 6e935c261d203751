//! Timestamps and durations: microseconds on one monotonic clock of the embedding program.

/// A moment on the embedding program's monotonic clock, in microseconds.
pub type Timestamp = u64;

/// A span of time in microseconds.
pub type Micros = u64;
