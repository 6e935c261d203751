//! Origin shield: a rate limit on requests that bypass the caches after a large purge. Part of the burst is reserved for
//! classes with higher priority.
use crate::{Micros, Timestamp};

/// Size of the token bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;
/// Fraction of the bucket that is not available to the lowest priority.
const RESERVED_FRACTION: f64 = 0.5;
/// Tolerance for rounding errors in token comparisons.
const ROUNDING_TOLERANCE: f64 = 1e-9;
const MICROS_PER_SECOND: f64 = 1e6;

/// A token bucket with priorities. A priority is a number from 0 to 1, relative to the highest priority of all classes.
#[derive(Clone, Debug)]
pub struct Shield {
    passes_per_s: f64,
    tokens: f64,
    refilled_at: Timestamp,
    /// Number of admitted requests.
    pub passed: u64,
    /// Number of rejected requests.
    pub rejected: u64,
}

impl Shield {
    /// Creates a shield that admits `passes_per_s` requests per second, at least 0.1.
    pub fn new(now: Timestamp, passes_per_s: f64) -> Self {
        let passes_per_s = passes_per_s.max(0.1);
        Shield {
            passes_per_s,
            tokens: passes_per_s * BURST_SECONDS,
            refilled_at: now,
            passed: 0,
            rejected: 0,
        }
    }

    /// Returns whether a request may bypass the caches now, and takes a token if it may. The highest priority may use all
    /// tokens, the lowest only half of the bucket.
    pub fn try_pass(&mut self, now: Timestamp, priority: f64) -> bool {
        self.refill(now);
        let has_tokens = self.tokens - 1.0 >= self.reserved_tokens(priority) - ROUNDING_TOLERANCE;
        let passes = has_tokens && self.tokens >= 1.0;
        if passes {
            self.tokens -= 1.0;
            self.passed += 1;
        } else {
            self.rejected += 1;
        }
        passes
    }

    /// Returns the time until a request of this priority may pass, if no other request takes a token.
    pub fn retry_after(&self, priority: f64) -> Micros {
        let needed = (self.reserved_tokens(priority) + 1.0).min(self.max_tokens());
        let missing = (needed - self.tokens).max(0.0);
        (missing / self.passes_per_s * MICROS_PER_SECOND).ceil() as Micros
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_SECOND;
        self.tokens = (self.tokens + elapsed_s * self.passes_per_s).min(self.max_tokens());
        self.refilled_at = self.refilled_at.max(now);
    }

    fn max_tokens(&self) -> f64 {
        (self.passes_per_s * BURST_SECONDS).max(1.0)
    }

    /// Number of tokens that a request of this priority must leave for higher priorities.
    fn reserved_tokens(&self, priority: f64) -> f64 {
        self.max_tokens() * RESERVED_FRACTION * (1.0 - priority.clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests;
