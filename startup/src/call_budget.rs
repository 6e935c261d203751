//! When a front calls the list service again. All fronts use one service: what each does by itself is harmless, and
//! what all do in step keeps it down.
use crate::rng::next_fraction;
use crate::{FleetPosition, Micros, Timestamp};

/// Wait before the next call after a connection that had worked: one broken connection says nothing about the service.
/// Without a budget, the wait after every call.
const RETRY_INTERVAL: Micros = 200_000;
/// Wait between two calls in the urgent period (see [`CallBudget::urgent_period`]).
const URGENT_INTERVAL: Micros = 500_000;
/// The quota of one front is at least this, as a wait between two calls of one front.
const MIN_CALL_INTERVAL: Micros = 1_000_000;
/// Relative jitter of a wait, to either side.
const JITTER: f64 = 0.25;
/// The same once the calls of the fleet are spread evenly, which more jitter would undo.
const SPREAD_JITTER: f64 = 0.03;
/// The calls of a fleet that started in step are spread over this time at least, or over the quota if that is shorter.
const MIN_SPREAD_WINDOW: Micros = 3_000_000;
/// A connection that delivered messages over this long had worked. One that broke sooner is no reason for haste.
const MIN_HEALTHY_DURATION: Micros = 2_000_000;
/// First connect timeout.
const INITIAL_CONNECT_TIMEOUT: Micros = 500_000;
/// Longest connect timeout. Once calls are rare, the timeout grows with each call that was never answered: a service
/// that is slow to answer gets more time, not more calls.
const MAX_CONNECT_TIMEOUT: Micros = 4_000_000;
const CONNECT_TIMEOUT_FACTOR: u64 = 2;

/// How a call, or the connection that it opened, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// Nobody listens there, or no socket could be opened.
    Refused,
    /// The connection did not come up in time.
    Unanswered,
    /// The connection broke or was closed.
    Closed,
    /// The connection fell silent, within a message or between two.
    Silent,
    /// A message could not be decoded.
    Malformed,
}

/// What all fronts together may ask of a service that fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Calls per second of the whole fleet.
    pub calls_per_s: f64,
    /// Longest wait of one front between two calls, whatever its quota.
    pub max_wait: Micros,
    /// For this long after the last message of the service, calls are made twice a second: whatever has changed since
    /// then is learned in time by a call before it must be obeyed. Later, nothing is gained by haste.
    pub urgent_period: Micros,
}

/// The budget of one front.
#[derive(Clone, Copy, Debug)]
struct FrontBudget {
    /// This front's quota of the budget, as a wait between two calls.
    interval: Micros,
    urgent_period: Micros,
}

impl FrontBudget {
    fn new(fronts: u32, budget: CallBudget) -> Self {
        let seconds = f64::from(fronts) / budget.calls_per_s.max(f64::MIN_POSITIVE);
        let interval = (seconds * 1e6) as Micros;
        FrontBudget {
            interval: interval.max(MIN_CALL_INTERVAL).min(budget.max_wait),
            urgent_period: budget.urgent_period,
        }
    }
}

/// Schedules the calls of one front.
#[derive(Clone, Debug)]
pub struct CallSchedule {
    budget: Option<FrontBudget>,
    position: FleetPosition,
    /// Ends in a row, counting that of the last healthy connection.
    failures: u32,
    /// Calls in a row that were never answered while calls were rare.
    unanswered_calls: u32,
    /// This front has waited by its quota since the service was last healthy, so the calls of the fleet are spread.
    is_spread: bool,
    call_started_at: Timestamp,
    /// When the last complete message arrived on any connection; at first the start, whose events the configuration
    /// holds.
    last_message_at: Timestamp,
    /// When the first complete message arrived on this connection.
    first_message_at: Option<Timestamp>,
    rng_state: u64,
}

impl CallSchedule {
    /// The schedule of a front that knows everything up to `now`. Without a budget it calls again after a fifth of a
    /// second, however often that fails.
    pub fn new(
        now: Timestamp,
        position: FleetPosition,
        seed: u64,
        budget: Option<CallBudget>,
    ) -> Self {
        let position = position.normalized();
        CallSchedule {
            budget: budget.map(|budget| FrontBudget::new(position.fronts, budget)),
            position,
            failures: 0,
            unanswered_calls: 0,
            is_spread: false,
            call_started_at: now,
            last_message_at: now,
            first_message_at: None,
            rng_state: seed,
        }
    }

    fn random(&mut self) -> f64 {
        next_fraction(&mut self.rng_state)
    }

    /// When a front that starts makes its first call; a whole fleet may start at once. With `has_peers` the front can
    /// learn the list from peers meanwhile, and waits for its place in the fleet.
    pub fn first_call(&mut self, now: Timestamp, has_peers: bool) -> Timestamp {
        let Some(budget) = self.budget.filter(|_| has_peers) else {
            return now + (RETRY_INTERVAL as f64 * self.random()) as Micros;
        };
        // This spreads the fleet, and a service that never answered has not broken: no quick second call.
        self.failures = 1;
        self.is_spread = true;
        let offset = f64::from(self.position.number) + self.random();
        now + RETRY_INTERVAL
            + (budget.interval as f64 * offset / f64::from(self.position.fronts)) as Micros
    }

    /// A call is made. Returns the deadline by which it must have connected.
    pub fn start_call(&mut self, now: Timestamp) -> Timestamp {
        self.call_started_at = now;
        self.first_message_at = None;
        let timeout_limit = |budget: FrontBudget| {
            MAX_CONNECT_TIMEOUT
                .min(budget.interval / 2)
                .max(INITIAL_CONNECT_TIMEOUT)
        };
        let max_timeout = self.budget.map_or(INITIAL_CONNECT_TIMEOUT, timeout_limit);
        let growth = CONNECT_TIMEOUT_FACTOR.saturating_pow(self.unanswered_calls);
        let timeout = INITIAL_CONNECT_TIMEOUT
            .saturating_mul(growth)
            .min(max_timeout);
        now + (timeout as f64 * self.jitter(JITTER)) as Micros
    }

    /// A factor around 1.
    fn jitter(&mut self, relative: f64) -> f64 {
        1.0 - relative + 2.0 * relative * self.random()
    }

    /// Whether calls are limited by a budget.
    pub fn has_budget(&self) -> bool {
        self.budget.is_some()
    }

    /// Whether a complete message has arrived on this connection.
    pub fn has_received(&self) -> bool {
        self.first_message_at.is_some()
    }

    /// Whether the service is failing: more than one broken connection that was replaced at once.
    pub fn is_failing(&self) -> bool {
        self.failures > 1
    }

    /// A complete message has arrived.
    pub fn record_message(&mut self, now: Timestamp) {
        self.last_message_at = now;
        self.unanswered_calls = 0;
        self.first_message_at.get_or_insert(now);
    }

    /// A call, or its connection, has ended. Returns when the next call is made, never before `now`.
    pub fn end_call(&mut self, now: Timestamp, end: CallEnd) -> Timestamp {
        // Judged by the messages, not by how long it was open: a silent connection is not healthy.
        let first_message_at = self.first_message_at.take();
        let delivered_for =
            first_message_at.map(|first| self.last_message_at.saturating_sub(first));
        if delivered_for.is_some_and(|duration| duration >= MIN_HEALTHY_DURATION) {
            self.failures = 0;
            self.is_spread = false;
        }
        let budget = self.budget.unwrap_or(FrontBudget {
            interval: RETRY_INTERVAL,
            urgent_period: Micros::MAX,
        });
        let urgent_until = self.last_message_at.saturating_add(budget.urgent_period);
        let urgent = delivered_for.is_none() && now < urgent_until;
        self.unanswered_calls = match end {
            CallEnd::Unanswered if !urgent => self.unanswered_calls.saturating_add(1),
            _ => 0,
        };
        let wait = match self.failures {
            0 => RETRY_INTERVAL,
            _ if urgent => URGENT_INTERVAL.min(budget.interval),
            _ => budget.interval,
        };
        self.failures = self.failures.saturating_add(1);
        let elapsed = self.response_wait(now, end);
        let uses_interval = self.budget.is_some() && !urgent && wait >= budget.interval;
        match uses_interval {
            true => now + self.interval_wait(wait, elapsed),
            false => now + self.short_wait(wait, elapsed),
        }
    }

    /// Time that was spent waiting for an answer counts towards the wait before the next call.
    fn response_wait(&self, now: Timestamp, end: CallEnd) -> Micros {
        match end {
            CallEnd::Unanswered | CallEnd::Silent => {
                now.saturating_sub(self.call_started_at.max(self.last_message_at))
            }
            _ => 0,
        }
    }

    /// All fronts may have noticed the end at once, and a silence ends for all of them at once: never without a wait.
    fn short_wait(&mut self, wait: Micros, elapsed: Micros) -> Micros {
        let random = self.random();
        let jitter = 1.0 - JITTER + 2.0 * JITTER * random;
        let remaining = wait as f64 * jitter - elapsed as f64;
        remaining.max(RETRY_INTERVAL as f64 * random) as Micros
    }

    fn interval_wait(&mut self, wait: Micros, elapsed: Micros) -> Micros {
        let wait = wait as f64;
        let elapsed = elapsed as f64;
        if self.is_spread {
            return (wait * self.jitter(SPREAD_JITTER) - elapsed).max(0.0) as Micros;
        }
        // A fleet that started in step is spread over the whole quota, each front by its number. Where the fronts have
        // waited in vain for about as long as that, what is left of the quota would bring them close together again.
        self.is_spread = true;
        let offset =
            (f64::from(self.position.number) + self.random()) / f64::from(self.position.fronts);
        let min_window = (wait / 2.0).max(wait.min(MIN_SPREAD_WINDOW as f64));
        ((wait - elapsed).max(min_window) * offset) as Micros
    }
}

#[cfg(test)]
mod tests;
