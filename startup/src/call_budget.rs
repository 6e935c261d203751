//! When a front calls the list service again. The service is one for all fronts: what each does by itself is harmless, and
//! what all do in step keeps it down.
use crate::{Span, Time};

/// The next call after a connection that broke: a break alone says nothing of the service. Without a budget it is so after
/// every end.
const AGAIN: Span = 200_000;
/// Wait between two calls while haste has a reason.
const SOON: Span = 500_000;
/// A front's share of the budget as a wait between two calls, at least.
const SHARE_LEAST: Span = 1_000_000;
/// Waits are spread by so much of them to either side, by each front's own random numbers; less once the fleet is strewn evenly, which
/// these would undo.
const SPREAD: f64 = 0.25;
const STREWN_SPREAD: f64 = 0.03;
/// A connection that was heard over this long was well. What was told on a shorter one is known, but no reason for haste.
const WELL: Span = 2_000_000;
/// A connection is waited for this long at first; once calls are rare, twice as long after each one that never came up: a
/// service that is slow to answer gets longer, not more calls.
const DIAL: Span = 500_000;
const DIAL_MOST: Span = 4_000_000;
const DIAL_GROWTH: u64 = 2;

/// How a call, or the connection that came of it, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Nobody listens there, or no socket was to be had.
    Refused,
    /// It did not come up in time.
    Unanswered,
    /// It broke or was closed.
    Closed,
    /// It fell silent, in the middle of an event or between two.
    Silent,
    /// What came could not be read.
    Garbage,
}

/// What all fronts together may ask of a service that fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Calls a second.
    pub calls_per_s: f64,
    /// The longest wait of one front between two calls, whatever its share.
    pub wait_most: Span,
    /// For so long after the last word of the service calls are made twice a second: all that came about since then is learned
    /// in time by a call before it must be heeded. Later than that nothing is to be gained by haste.
    pub haste: Span,
}

/// The calls of one front.
#[derive(Clone, Debug)]
pub struct Calls {
    /// Wait between two calls at this front's share of the budget, and for how long there is haste; `None`: no budget.
    budget: Option<(Span, Span)>,
    /// Which of the fronts it is, and how many there are.
    place: (u32, u32),
    /// Ends in a row, the last well connection's among them.
    failures: u32,
    /// Calls in a row that were not answered at all while calls were rare.
    unanswered: u32,
    /// It has waited its share since the service was last well: from then on the fleet is spread.
    spread: bool,
    began: Time,
    /// When something whole was last heard, on any connection; at first the start, whose news the configuration brings.
    heard: Time,
    /// When something whole was first heard on this connection.
    first: Option<Time>,
    rng: u64,
}

impl Calls {
    /// The front of this number, from 0, of so many, with random numbers of its own; all up to `now` is known. Without a budget it calls
    /// anew after a fifth of a second, however often that fails.
    pub fn new(now: Time, (number, fronts): (u32, u32), seed: u64, budget: Option<Budget>) -> Self {
        let fronts = fronts.max(1);
        let share = |b: Budget| {
            let share = (f64::from(fronts) / b.calls_per_s.max(f64::MIN_POSITIVE) * 1e6) as Span;
            (share.max(SHARE_LEAST).min(b.wait_most), b.haste)
        };
        let (place, rng, budget) = ((number % fronts, fronts), seed, budget.map(share));
        Calls {
            budget,
            place,
            failures: 0,
            unanswered: 0,
            spread: false,
            began: now,
            heard: now,
            first: None,
            rng,
        }
    }

    /// A number from 0 to 1.
    fn roll(&mut self) -> f64 {
        (crate::rng::next(&mut self.rng) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// When the first call is made by a front that starts: all of a fleet may start at one moment. One that learns of the list
    /// from others meanwhile waits for its place among all.
    pub fn first(&mut self, now: Time, others: bool) -> Time {
        if let Some((share, _)) = self.budget.filter(|_| others) {
            // The fleet is strewn by this already, and what was never well has not broken: no quick second call.
            (self.failures, self.spread) = (1, true);
            let (number, fronts) = (f64::from(self.place.0), f64::from(self.place.1));
            return now + AGAIN + (share as f64 * (number + self.roll()) / fronts) as Span;
        }
        now + (AGAIN as f64 * self.roll()) as Span
    }

    /// A call is made. It is given up at the moment returned if it has not come up by then.
    pub fn begin(&mut self, now: Time) -> Time {
        (self.began, self.first) = (now, None);
        let most = self.budget.map_or(DIAL, |(share, _)| DIAL_MOST.min(share / 2).max(DIAL));
        let allowed = DIAL.saturating_mul(DIAL_GROWTH.saturating_pow(self.unanswered)).min(most);
        now + (allowed as f64 * (1.0 - SPREAD + 2.0 * SPREAD * self.roll())) as Span
    }

    /// Whether a budget is set: the service is not the platform's.
    pub fn budgeted(&self) -> bool {
        self.budget.is_some()
    }

    /// Whether something whole was heard on this connection.
    pub fn spoke(&self) -> bool {
        self.first.is_some()
    }

    /// Whether the service fails: more than a break that was mended at once.
    pub fn fails(&self) -> bool {
        self.failures > 1
    }

    /// Something whole was heard.
    pub fn heard(&mut self, now: Time) {
        (self.heard, self.unanswered) = (now, 0);
        self.first.get_or_insert(now);
    }

    /// The call, or its connection, has ended. When the next is made: never before now.
    pub fn end(&mut self, now: Time, end: End) -> Time {
        // By what was heard, not by how long it was open: one that says nothing is not well.
        let spoke = self.first.take().map(|first| self.heard.saturating_sub(first));
        if spoke.is_some_and(|span| span >= WELL) {
            (self.failures, self.spread) = (0, false);
        }
        let (share, haste) = self.budget.unwrap_or((AGAIN, Span::MAX));
        let soon = spoke.is_none() && now < self.heard.saturating_add(haste);
        self.unanswered = if end == End::Unanswered && !soon { self.unanswered.saturating_add(1) } else { 0 };
        let wait = match self.failures {
            0 => AGAIN,
            _ if soon => SOON.min(share),
            _ => share,
        };
        self.failures = self.failures.saturating_add(1);
        let roll = self.roll();
        // From when the call was made, or from the silence's begin: time that it waited in vain is part of the wait.
        let vain = matches!(end, End::Unanswered | End::Silent);
        let gone = if vain { now.saturating_sub(self.began.max(self.heard)) as f64 } else { 0.0 };
        let long = wait as f64;
        if wait < share || soon || self.budget.is_none() {
            // All may have heard of the end at one moment, and a silence ends for all of them at once.
            let wait = (long * (1.0 - SPREAD + 2.0 * SPREAD * roll) - gone).max(AGAIN as f64 * roll);
            return now + wait as Span;
        }
        let wait = if self.spread {
            (long * (1.0 - STREWN_SPREAD + 2.0 * STREWN_SPREAD * roll) - gone).max(0.0)
        } else {
            // A fleet that began in step is strewn over the whole share, each front by its place in it.
            let place = (f64::from(self.place.0) + roll) / f64::from(self.place.1);
            // A silence may have taken longer than the share.
            (long - gone).max(long / 2.0) * place
        };
        self.spread = true;
        now + wait as Span
    }
}

#[cfg(test)]
mod tests;
