//! By how much this front's clock is ahead of the list service's. Moments that the service names, of purges and of starts, are
//! heard of at once or late, never early: what was heard with the least delay bounds the difference.
use cranesill::api::{Micros, Timestamp};

/// The least delay of one such span and the one before counts: clocks drift.
const WINDOW: Micros = 60_000_000;

/// The least delay between a moment that was named and when it was heard of.
#[derive(Debug, Default)]
pub struct ClockOffset {
    /// In this window and the one before. A clock that is behind makes them negative.
    new: Option<i64>,
    old: Option<i64>,
    since: Timestamp,
}

impl ClockOffset {
    /// The service tells now of what was `at` by its clock. Only what it tells as news counts, not what was known or kept.
    pub fn observe(&mut self, now: Timestamp, at: Timestamp) {
        if now > self.since + WINDOW {
            // Without news for long the last window with some stands.
            (self.old, self.new, self.since) = (self.new.or(self.old), None, now);
        }
        let delay = now as i64 - at as i64;
        self.new = Some(self.new.map_or(delay, |least| least.min(delay)));
    }

    /// By this clock, what was `at` by the service's: never before it was, and later by no more than the least delay.
    pub fn to_local(&self, at: Timestamp) -> Timestamp {
        at.saturating_add_signed(self.least())
    }

    /// How far this clock is ahead at most; 0 while nothing was heard, or if it is behind.
    pub fn max_ahead(&self) -> Micros {
        self.least().max(0) as Micros
    }

    /// By how many milliseconds this clock is ahead, less than 0 if it is behind, and the least delay of news in it; `None` while
    /// nothing was heard.
    pub fn offset_ms(&self) -> Option<i64> {
        self.new
            .into_iter()
            .chain(self.old)
            .min()
            .map(|least| least / 1_000)
    }

    /// By how many milliseconds this clock is behind at least; 0 while nothing was heard, or if it is not.
    pub fn behind_ms(&self) -> u64 {
        self.offset_ms()
            .map_or(0, |ahead_ms| ahead_ms.min(0).unsigned_abs())
    }

    fn least(&self) -> i64 {
        self.new.into_iter().chain(self.old).min().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests;
