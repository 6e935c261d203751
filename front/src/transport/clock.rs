//! The process-wide clock.
use cranesill::api::{Micros, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch: the wall clock is read once at startup and advanced by the monotonic clock. Its timestamps
/// are comparable with those of watch events and never decrease.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: Micros,
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            epoch: unix.as_micros() as Micros,
            start: Instant::now(),
        }
    }

    /// Returns the current time in microseconds since the Unix epoch.
    pub fn now(&self) -> Timestamp {
        self.epoch + self.start.elapsed().as_micros() as Micros
    }
}
