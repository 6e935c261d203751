//! Scheduling of calls to the list service. A call is a connection attempt and the connection that it opens. All fronts
//! share one service, so synchronized retries of the whole fleet could keep a recovering service overloaded.
use crate::rng::next_fraction;
use crate::{FleetPosition, Micros, Timestamp};

/// Wait before a call that follows a healthy connection: one broken connection says nothing about the service. Without a budget, the
/// wait before every call.
const RETRY_INTERVAL: Micros = 200_000;
/// Wait before a call in the urgent period (see [`CallBudget::urgent_period`]).
const URGENT_INTERVAL: Micros = 500_000;
/// Lower bound of the interval between two calls of one front under a budget.
const MIN_CALL_INTERVAL: Micros = 1_000_000;
/// Relative jitter of a wait, in both directions.
const JITTER: f64 = 0.25;
/// Relative jitter once the calls of the fleet are spread evenly; a larger one would make them cluster again.
const SPREAD_JITTER: f64 = 0.03;
/// Lower bound of the window over which synchronized calls of a fleet are spread, unless the call interval is shorter.
const MIN_SPREAD_WINDOW: Micros = 3_000_000;
/// A connection counts as healthy if its first and last message are at least this far apart. One that broke sooner is no reason to
/// call again quickly.
const MIN_HEALTHY_DURATION: Micros = 2_000_000;
/// Connect timeout of the first call.
const INITIAL_CONNECT_TIMEOUT: Micros = 500_000;
/// Upper bound of the connect timeout. After the urgent period, the timeout grows with each consecutive unanswered call:
/// a slow service gets more time to answer, not more calls.
const MAX_CONNECT_TIMEOUT: Micros = 4_000_000;
/// Growth factor of the connect timeout for each consecutive unanswered call.
const CONNECT_TIMEOUT_FACTOR: u64 = 2;

/// How a call, or the connection that it opened, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The service refused the connection, or no socket could be opened.
    Refused,
    /// The connection was not established before the connect timeout.
    Unanswered,
    /// The connection was closed or reset.
    Closed,
    /// The service stopped sending on an established connection.
    Silent,
    /// A message could not be decoded.
    Malformed,
}

/// Limits on calls to a failing list service, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallBudget {
    /// Calls per second of the whole fleet.
    pub calls_per_s: f64,
    /// Upper bound of the interval between two calls of one front. It takes precedence over `calls_per_s`.
    pub max_wait: Micros,
    /// Calls are made twice per second for this long after the last message from the service, so that a service that
    /// recovers within this time delivers all changes before they must take effect.
    pub urgent_period: Micros,
}

/// One front's part of a [`CallBudget`].
#[derive(Clone, Copy, Debug)]
struct FrontBudget {
    /// Interval between two calls outside the urgent period.
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
    /// Consecutive calls that have ended, including the last healthy one.
    failures: u32,
    /// Consecutive unanswered calls after the urgent period.
    unanswered_calls: u32,
    /// Whether this front's calls were spread by its fleet position since the last healthy connection.
    is_spread: bool,
    call_started_at: Timestamp,
    /// When the last complete message arrived on any connection; initially the start, whose events are part of the
    /// configuration.
    last_message_at: Timestamp,
    /// When the first complete message arrived on the current connection.
    first_message_at: Option<Timestamp>,
    rng_state: u64,
}

impl CallSchedule {
    /// Creates the schedule of a front whose endpoint list is current at `now`. Without a budget, calls are retried every
    /// 200 ms regardless of the number of failures.
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

    /// Returns when to make the first call. With a budget and `has_peers`, the first calls of the fleet are spread over
    /// one call interval, because a front can get the list from peers in the meantime.
    pub fn first_call(&mut self, now: Timestamp, has_peers: bool) -> Timestamp {
        let Some(budget) = self.budget.filter(|_| has_peers) else {
            return now + (RETRY_INTERVAL as f64 * self.random()) as Micros;
        };
        // The calls are spread already, and no healthy connection was lost that would justify a quick second call.
        self.failures = 1;
        self.is_spread = true;
        let offset = f64::from(self.position.number) + self.random();
        now + RETRY_INTERVAL
            + (budget.interval as f64 * offset / f64::from(self.position.fronts)) as Micros
    }

    /// Records the start of a call, and returns the deadline for establishing its connection.
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

    /// Returns a random factor from `1 - relative` to `1 + relative`.
    fn jitter(&mut self, relative: f64) -> f64 {
        1.0 - relative + 2.0 * relative * self.random()
    }

    /// Whether calls are limited by a budget.
    pub fn has_budget(&self) -> bool {
        self.budget.is_some()
    }

    /// Whether a complete message has arrived on the current connection.
    pub fn has_received(&self) -> bool {
        self.first_message_at.is_some()
    }

    /// Whether the service is failing: more than one consecutive call has ended. A single lost connection is not a
    /// failure of the service.
    pub fn is_failing(&self) -> bool {
        self.failures > 1
    }

    /// Records that a complete message has arrived.
    pub fn record_message(&mut self, now: Timestamp) {
        self.last_message_at = now;
        self.unanswered_calls = 0;
        self.first_message_at.get_or_insert(now);
    }

    /// Records the end of a call, and returns when to make the next one: at `now` or later.
    pub fn end_call(&mut self, now: Timestamp, end: CallEnd) -> Timestamp {
        // Health is measured by messages, since an open connection may be silent.
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

    /// Time spent waiting for the service, which is deducted from the wait before the next call.
    fn response_wait(&self, now: Timestamp, end: CallEnd) -> Micros {
        match end {
            CallEnd::Unanswered | CallEnd::Silent => {
                now.saturating_sub(self.call_started_at.max(self.last_message_at))
            }
            _ => 0,
        }
    }

    /// Wait for the next call outside the fleet-wide schedule. It is random even if `elapsed` exceeds `wait`, because all
    /// fronts may detect the same failure at the same time.
    fn short_wait(&mut self, wait: Micros, elapsed: Micros) -> Micros {
        let random = self.random();
        let jitter = 1.0 - JITTER + 2.0 * JITTER * random;
        let remaining = wait as f64 * jitter - elapsed as f64;
        remaining.max(RETRY_INTERVAL as f64 * random) as Micros
    }

    /// Wait for the next call on the fleet-wide schedule.
    fn interval_wait(&mut self, wait: Micros, elapsed: Micros) -> Micros {
        let wait = wait as f64;
        let elapsed = elapsed as f64;
        if self.is_spread {
            return (wait * self.jitter(SPREAD_JITTER) - elapsed).max(0.0) as Micros;
        }
        // Spreads synchronized fronts over the interval by their fleet position. If they have already waited for most of
        // the interval, the remainder would be too short a window, hence its lower bound.
        self.is_spread = true;
        let offset =
            (f64::from(self.position.number) + self.random()) / f64::from(self.position.fronts);
        let min_window = (wait / 2.0).max(wait.min(MIN_SPREAD_WINDOW as f64));
        ((wait - elapsed).max(min_window) * offset) as Micros
    }
}

#[cfg(test)]
mod tests;
