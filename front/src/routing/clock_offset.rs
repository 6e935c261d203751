//! The offset between this front's clock and that of discovery. Timestamps that discovery sends, of purges and of starts,
//! arrive at once or late, never early: the message with the least delay bounds the offset.
use cranesill::api::{Micros, Timestamp};

/// The least delay within the current and the previous window counts, since clocks drift.
const OBSERVATION_WINDOW: Micros = 60_000_000;

/// The least delay observed between a timestamp and its arrival.
#[derive(Debug, Default)]
pub struct ClockOffset {
    /// In the current window, in microseconds; negative if this clock is behind.
    current: Option<i64>,
    /// In the previous window with observations.
    previous: Option<i64>,
    window_start: Timestamp,
}

impl ClockOffset {
    /// Discovery reports at `now` something that happened at `at` by its clock. Only what it reports as it happens may be
    /// observed, not what was configured or stored.
    pub fn observe(&mut self, now: Timestamp, at: Timestamp) {
        if now > self.window_start + OBSERVATION_WINDOW {
            // After a long silence the last window with observations stands.
            self.previous = self.current.or(self.previous);
            self.current = None;
            self.window_start = now;
        }
        let delay = now as i64 - at as i64;
        self.current = Some(self.current.map_or(delay, |least| least.min(delay)));
    }

    /// Converts a timestamp of discovery's clock into this clock's: never too early, and too late by no more than the
    /// least delay.
    pub fn to_local(&self, at: Timestamp) -> Timestamp {
        at.saturating_add_signed(self.least_delay().unwrap_or(0))
    }

    /// The most by which this clock is ahead; 0 if it is behind or nothing was observed.
    pub fn max_ahead(&self) -> Micros {
        self.least_delay().unwrap_or(0).max(0) as Micros
    }

    /// Milliseconds by which this clock is ahead (negative: behind), including the least delay of a message; `None`
    /// before the first observation.
    pub fn offset_ms(&self) -> Option<i64> {
        self.least_delay().map(|least| least / 1_000)
    }

    /// Milliseconds by which this clock is behind at least; 0 if it is not or nothing was observed.
    pub fn behind_ms(&self) -> u64 {
        let ahead_ms = self.offset_ms().unwrap_or(0);
        ahead_ms.min(0).unsigned_abs()
    }

    fn least_delay(&self) -> Option<i64> {
        self.current.into_iter().chain(self.previous).min()
    }
}

#[cfg(test)]
mod tests;
