//! Token bucket with a variable rate.
use crate::api::Timestamp;

/// Token bucket whose rate may change between refills. The level may be negative.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Available tokens; negative while overdrawn.
    pub level: f64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Timestamp) -> Self {
        TokenBucket {
            level: 0.0,
            refilled_at: now,
        }
    }

    /// Adds the tokens earned since the last call at `rate` per microsecond, up to `max_level`.
    pub fn refill(&mut self, now: Timestamp, rate: f64, max_level: f64) {
        self.level =
            (self.level + rate * now.saturating_sub(self.refilled_at) as f64).min(max_level);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests;
