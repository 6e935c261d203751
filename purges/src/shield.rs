//! How much may go past the caches to the main store while floors are high: a rate, of which the last part is kept for
//! what is worth more.
use crate::Timestamp;

/// Seconds of the rate that may be laid by.
const LAID_BY_S: f64 = 1.0;
/// Share of what is laid by that the least worth may not touch.
const KEPT: f64 = 0.5;

/// The shield.
#[derive(Clone, Debug)]
pub struct Shield {
    per_s: f64,
    level: f64,
    at: Timestamp,
    /// What went past, and what was turned away.
    pub passed: u64,
    /// Turned away.
    pub refused: u64,
}

impl Shield {
    /// Lets `per_s` requests a second past.
    pub fn new(now: Timestamp, per_s: f64) -> Self {
        let per_s = per_s.max(0.1);
        Shield {
            per_s,
            level: per_s * LAID_BY_S,
            at: now,
            passed: 0,
            refused: 0,
        }
    }

    /// Whether a request may go past the caches now. `worth`: 0 to 1, among the classes that there are. What is worth
    /// most may use all that is there, what is worth least leaves half of it.
    pub fn may(&mut self, now: Timestamp, worth: f64) -> bool {
        let most = (self.per_s * LAID_BY_S).max(1.0);
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + passed * self.per_s).min(most);
        self.at = self.at.max(now);
        let keeps = most * KEPT * (1.0 - worth.clamp(0.0, 1.0));
        let may = self.level - 1.0 >= keeps - 1e-9 && self.level >= 1.0;
        if may {
            self.level -= 1.0;
            self.passed += 1;
        } else {
            self.refused += 1;
        }
        may
    }

    /// Microseconds until there is room for a request of that worth, if nobody else takes it.
    pub fn wait(&self, worth: f64) -> u64 {
        let most = (self.per_s * LAID_BY_S).max(1.0);
        let needs = (most * KEPT * (1.0 - worth.clamp(0.0, 1.0)) + 1.0).min(most);
        ((needs - self.level).max(0.0) / self.per_s * 1e6).ceil() as u64
    }
}

#[cfg(test)]
mod tests;
