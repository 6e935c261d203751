//! How much may go past the caches to the main store while floors are high: a rate, of which the last part is kept for
//! what is worth more.
use crate::Timestamp;

/// Seconds of the rate that may be laid by.
const BURST_S: f64 = 1.0;
/// Share of what is laid by that the least worth may not touch.
const RESERVED_SHARE: f64 = 0.5;

/// The shield.
#[derive(Clone, Debug)]
pub struct Shield {
    passes_per_s: f64,
    tokens: f64,
    refilled_at: Timestamp,
    /// What went past, and what was turned away.
    pub passed: u64,
    /// Turned away.
    pub rejected: u64,
}

impl Shield {
    /// Lets `per_s` requests a second past.
    pub fn new(now: Timestamp, passes_per_s: f64) -> Self {
        let passes_per_s = passes_per_s.max(0.1);
        Shield {
            passes_per_s,
            tokens: passes_per_s * BURST_S,
            refilled_at: now,
            passed: 0,
            rejected: 0,
        }
    }

    /// Whether a request may go past the caches now. `worth`: 0 to 1, among the classes that there are. What is worth
    /// most may use all that is there, what is worth least leaves half of it.
    pub fn try_pass(&mut self, now: Timestamp, priority: f64) -> bool {
        let capacity = (self.passes_per_s * BURST_S).max(1.0);
        let passed = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.tokens = (self.tokens + passed * self.passes_per_s).min(capacity);
        self.refilled_at = self.refilled_at.max(now);
        let reserved = capacity * RESERVED_SHARE * (1.0 - priority.clamp(0.0, 1.0));
        let passes = self.tokens - 1.0 >= reserved - 1e-9 && self.tokens >= 1.0;
        if passes {
            self.tokens -= 1.0;
            self.passed += 1;
        } else {
            self.rejected += 1;
        }
        passes
    }

    /// Microseconds until there is room for a request of that worth, if nobody else takes it.
    pub fn retry_after(&self, priority: f64) -> u64 {
        let capacity = (self.passes_per_s * BURST_S).max(1.0);
        let needs =
            (capacity * RESERVED_SHARE * (1.0 - priority.clamp(0.0, 1.0)) + 1.0).min(capacity);
        ((needs - self.tokens).max(0.0) / self.passes_per_s * 1e6).ceil() as u64
    }
}

#[cfg(test)]
mod tests;
