//! By how much this front's clock is ahead of the list service's. Moments that the service names, of purges and of starts, are
//! heard of at once or late, never early: what was heard with the least delay bounds the difference.
use cranesill::api::{Span, Time};

/// The least delay of one such span and the one before counts: clocks drift.
const WINDOW: Span = 60_000_000;

/// The least delay between a moment that was named and when it was heard of.
#[derive(Debug, Default)]
pub struct Ahead {
    /// In this window and the one before. A clock that is behind makes them negative.
    new: Option<i64>,
    old: Option<i64>,
    since: Time,
}

impl Ahead {
    /// The service tells now of what was `at` by its clock. Only what it tells as news counts, not what was known or kept.
    pub fn told(&mut self, now: Time, at: Time) {
        if now > self.since + WINDOW {
            // Without news for long the last window with some stands.
            (self.old, self.new, self.since) = (self.new.or(self.old), None, now);
        }
        let delay = now as i64 - at as i64;
        self.new = Some(self.new.map_or(delay, |least| least.min(delay)));
    }

    /// By this clock, what was `at` by the service's: never before it was, and later by no more than the least delay.
    pub fn here(&self, at: Time) -> Time {
        at.saturating_add_signed(self.least())
    }

    /// How far this clock is ahead at most; 0 while nothing was heard, or if it is behind.
    pub fn span(&self) -> Span {
        self.least().max(0) as Span
    }

    /// By how many milliseconds this clock is ahead, less than 0 if it is behind, and the least delay of news in it; `None` while
    /// nothing was heard.
    pub fn ms(&self) -> Option<i64> {
        self.new.into_iter().chain(self.old).min().map(|least| least / 1_000)
    }

    fn least(&self) -> i64 {
        self.new.into_iter().chain(self.old).min().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Span = 1_000_000;

    #[test]
    fn what_is_named_is_never_taken_for_older_than_it_is_whatever_the_clock() {
        // By the service's clock it is 1,000 s later; delays of news go from 40 to 240 ms, after a break to 8 s.
        for clock in [0, 9 * S as i64, -9 * S as i64, 3_600 * S as i64, 450_000] {
            let mut ahead = Ahead::default();
            let here = |at: Time| at.saturating_add_signed(clock);
            for n in 0..4_000u64 {
                let (at, late) = (1_000 * S + n * S, if n % 500 < 8 { 8 * S - n % 500 * S } else { 0 });
                let delay = 40_000 + n * 7_919 % 200_000 + late;
                ahead.told(here(at + delay), at);
                let taken = ahead.here(at);
                assert!(taken >= here(at), "clock {clock}, purge {n}: taken for older than it is");
                assert!(taken <= here(at + delay), "nothing is taken for later than it was heard of");
                if n > 200 {
                    assert!(taken <= here(at + 100_000), "clock {clock}, purge {n}: {}", taken - here(at));
                }
            }
        }
    }

    #[test]
    fn a_clock_that_drifts_is_followed_and_silence_forgets_nothing() {
        let mut ahead = Ahead::default();
        for n in 0..3_000u64 {
            // A hundredth faster, and news each second: two windows of drift at most.
            let (now, at) = (1_000 * S + n * S + n * 10_000, 1_000 * S + n * S);
            ahead.told(now, at);
            let late = (now - ahead.here(at)) as f64 / 1e6;
            assert!(late <= 1.3, "{late} s at {n}");
        }
        let before = ahead.span();
        ahead.told(5_000 * S, 4_960 * S);
        assert!((before..before + 1_300_000).contains(&ahead.span()), "{before} {}", ahead.span());
    }
}
