//! The one clock of the program.
use cranesill::api::{Micros, Timestamp};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch, read once at the start and carried on by the monotonic clock: timestamps
/// of watch events can be compared with it, and it never goes back.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: Micros,
    start: Instant,
}

impl Clock {
    /// Creates a clock that begins at the system's time.
    pub fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            epoch: unix.as_micros() as Micros,
            start: Instant::now(),
        }
    }

    /// Returns the current timestamp.
    pub fn now(&self) -> Timestamp {
        self.epoch + self.start.elapsed().as_micros() as Micros
    }
}
