//! A share of the core.
use crate::{Span, Time};

/// How much a rest may lay by: a burst after a calm spell, in microseconds at a share of one.
const LAID_BY_MOST: Span = 100_000;

/// Core time that some kind of work may take: a share of the time that passes, with a little laid by while it
/// rests. What was taken is told afterwards, so one piece of work may run into debt; nothing more begins until
/// the debt is paid.
#[derive(Clone, Copy, Debug)]
pub struct CoreTime {
    percent: u32,
    /// Hundredths of a microsecond that may be taken; negative: owed.
    left: i64,
    at: Time,
}

impl CoreTime {
    /// A share in percent, 1 to 100, with all laid by that may be.
    pub fn new(now: Time, percent: u32) -> Self {
        let percent = percent.clamp(1, 100);
        CoreTime { percent, left: Self::most(percent), at: now }
    }

    fn most(percent: u32) -> i64 {
        LAID_BY_MOST as i64 * i64::from(percent)
    }

    /// Changes the share; what is owed stays owed.
    pub fn set(&mut self, now: Time, percent: u32) {
        self.earn(now);
        self.percent = percent.clamp(1, 100);
        self.left = self.left.min(Self::most(self.percent));
    }

    fn earn(&mut self, now: Time) {
        let passed = now.saturating_sub(self.at).min(10 * 60 * 1_000_000) as i64;
        self.at = self.at.max(now);
        self.left = (self.left + passed * i64::from(self.percent)).min(Self::most(self.percent));
    }

    /// Whether a piece of work may begin.
    pub fn may(&mut self, now: Time) -> bool {
        self.earn(now);
        self.left > 0
    }

    /// Tells how long a piece of work took, in microseconds of the core.
    pub fn took(&mut self, span: Span) {
        self.left = self.left.saturating_sub((span.min(60_000_000) as i64) * 100);
    }

    /// The earliest moment from which work may begin.
    pub fn next(&self) -> Time {
        let owed = (-self.left).max(0) as u64;
        if self.left > 0 {
            self.at
        } else {
            self.at + owed / u64::from(self.percent) + 1
        }
    }
}

#[cfg(test)]
mod tests;
