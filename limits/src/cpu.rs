//! A limit on CPU time, as a percentage of one core.
use crate::{Micros, Timestamp};

/// Idle time for which unused CPU time is credited. Bounds the burst after an idle period.
const BURST_WINDOW: Micros = 100_000;
/// Upper bound of the credited interval between two refills. Prevents an overflow; far larger than [`BURST_WINDOW`].
const MAX_REFILL_INTERVAL: Micros = 10 * 60 * 1_000_000;
/// Upper bound of the charged duration of one unit of work. Prevents an overflow.
const MAX_WORK_DURATION: Micros = 60_000_000;
/// Balance units per microsecond. With 100 units, a percentage of a microsecond is an integer.
const UNITS_PER_MICROSECOND: i64 = 100;

/// A limit on the CPU time of one kind of work: a percentage of elapsed time, plus a short burst after an idle period.
/// Work is charged after its completion and may overdraw the balance; no further work starts until the balance is positive
/// again.
#[derive(Clone, Copy, Debug)]
pub struct CpuShare {
    percent: u32,
    /// Available CPU time in hundredths of a microsecond; negative if overdrawn.
    balance: i64,
    refilled_at: Timestamp,
}

impl CpuShare {
    /// Creates a limit of `percent` of a core, clamped to the range from 1 to 100, with a full balance.
    pub fn new(now: Timestamp, percent: u32) -> Self {
        let percent = percent.clamp(1, 100);
        CpuShare {
            percent,
            balance: Self::max_balance(percent),
            refilled_at: now,
        }
    }

    fn max_balance(percent: u32) -> i64 {
        BURST_WINDOW as i64 * i64::from(percent)
    }

    /// Changes the percentage. A negative balance is kept.
    pub fn set_percent(&mut self, now: Timestamp, percent: u32) {
        self.refill(now);
        self.percent = percent.clamp(1, 100);
        self.balance = self.balance.min(Self::max_balance(self.percent));
    }

    fn refill(&mut self, now: Timestamp) {
        let elapsed = now
            .saturating_sub(self.refilled_at)
            .min(MAX_REFILL_INTERVAL) as i64;
        let credit = elapsed * i64::from(self.percent);
        self.refilled_at = self.refilled_at.max(now);
        self.balance = (self.balance + credit).min(Self::max_balance(self.percent));
    }

    /// Whether a unit of work may start now.
    pub fn may_start(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.balance > 0
    }

    /// Charges the CPU time of a completed unit of work.
    pub fn charge(&mut self, duration: Micros) {
        let cost = duration.min(MAX_WORK_DURATION) as i64 * UNITS_PER_MICROSECOND;
        self.balance = self.balance.saturating_sub(cost);
    }

    /// Returns the earliest time at which work may start.
    pub fn next_start(&self) -> Timestamp {
        if self.balance > 0 {
            return self.refilled_at;
        }
        let deficit = self.balance.unsigned_abs();
        self.refilled_at + deficit / u64::from(self.percent) + 1
    }
}

#[cfg(test)]
mod tests;
