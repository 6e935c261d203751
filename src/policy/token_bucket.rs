//! A token bucket whose rate may change.
use crate::api::Timestamp;

/// A token bucket whose rate may change between refills. The level may go below zero.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Tokens that can be taken; negative while overdrawn.
    pub level: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// An empty bucket.
    pub fn new(now: Timestamp) -> Self {
        TokenBucket {
            level: 0.0,
            refilled_at: now,
        }
    }

    /// Adds the tokens of the time since the last call, at `rate` a microsecond, up to `max_level`.
    pub fn refill(&mut self, now: Timestamp, rate: f64, max_level: f64) {
        self.level =
            (self.level + rate * now.saturating_sub(self.refilled_at) as f64).min(max_level);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
