//! A share of one CPU core.
use crate::{Micros, Timestamp};

/// Longest idle time whose share is saved for a burst.
const BURST_WINDOW: Micros = 100_000;
/// Longest time between two refills that is credited. Only guards the arithmetic: far more than [`BURST_WINDOW`].
const MAX_REFILL_INTERVAL: Micros = 10 * 60 * 1_000_000;
/// Longest single piece of work that is charged. Only guards the arithmetic.
const MAX_WORK_DURATION: Micros = 60_000_000;
/// The balance counts hundredths of a microsecond, so that a percentage of a microsecond is a whole number.
const UNITS_PER_MICROSECOND: i64 = 100;

/// CPU time that one kind of work may take: a share of the time that passes, with a little saved up while it is idle.
/// Work is charged after it is done, so one piece may overdraw the balance; no other starts until that is paid back.
#[derive(Clone, Copy, Debug)]
pub struct CpuShare {
    percent: u32,
    /// Hundredths of a microsecond that may be used; negative if overdrawn.
    balance: i64,
    refilled_at: Timestamp,
}

impl CpuShare {
    /// A share of 1 to 100 percent of a core, with a full balance.
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

    /// Changes the share. An overdrawn balance stays overdrawn.
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

    /// Whether a piece of work may start.
    pub fn may_start(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.balance > 0
    }

    /// Charges a piece of work that took this long on the core.
    pub fn charge(&mut self, duration: Micros) {
        let cost = duration.min(MAX_WORK_DURATION) as i64 * UNITS_PER_MICROSECOND;
        self.balance = self.balance.saturating_sub(cost);
    }

    /// The earliest timestamp at which work may start.
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
