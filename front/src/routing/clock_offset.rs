//! Estimates the offset between the local clock and the clock of discovery. Messages from discovery carry timestamps of purges
//! and endpoint starts, and arrive with a delay that is never negative. The least delay observed bounds the offset.
use cranesill::api::{Micros, Timestamp};

/// Length of an observation window. Since clocks drift, only the current and the previous window are used.
const OBSERVATION_WINDOW: Micros = 60_000_000;

/// The least observed difference between the arrival of a message and its timestamp.
#[derive(Debug, Default)]
pub struct ClockOffset {
    /// The least difference in the current window, in microseconds; negative if the local clock is behind.
    current: Option<i64>,
    /// The least difference in the previous window with observations.
    previous: Option<i64>,
    window_start: Timestamp,
}

impl ClockOffset {
    /// Records a message that arrived at `now` with the timestamp `at`. Only live messages may be recorded, not configured or
    /// stored ones.
    pub fn observe(&mut self, now: Timestamp, at: Timestamp) {
        if now > self.window_start + OBSERVATION_WINDOW {
            // Windows without observations are skipped.
            self.previous = self.current.or(self.previous);
            self.current = None;
            self.window_start = now;
        }
        let delay = now as i64 - at as i64;
        self.current = Some(self.current.map_or(delay, |least| least.min(delay)));
    }

    /// Converts a timestamp from the clock of discovery to the local clock. The result is never too early, and too late by at
    /// most the least message delay.
    pub fn to_local(&self, at: Timestamp) -> Timestamp {
        at.saturating_add_signed(self.least_delay().unwrap_or(0))
    }

    /// Returns the upper bound of the time by which the local clock is ahead; 0 if it is behind or nothing was observed.
    pub fn max_ahead(&self) -> Micros {
        self.least_delay().unwrap_or(0).max(0) as Micros
    }

    /// Returns the milliseconds by which the local clock is ahead (negative: behind), including the least message delay;
    /// `None` before the first observation.
    pub fn offset_ms(&self) -> Option<i64> {
        self.least_delay().map(|least| least / 1_000)
    }

    /// Returns the least number of milliseconds by which the local clock is behind; 0 if it is not or nothing was observed.
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
