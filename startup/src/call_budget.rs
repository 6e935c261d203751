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
const MIN_QUOTA: Micros = 1_000_000;
/// Relative jitter of a wait, to either side.
const JITTER: f64 = 0.25;
/// The same once the calls of the fleet are spread evenly, which more jitter would undo.
const SPREAD_JITTER: f64 = 0.03;
/// The calls of a fleet that started in step are spread over this time at least, or over the quota if that is shorter.
const MIN_SPREAD: Micros = 3_000_000;
/// A connection that delivered messages over this long had worked. One that broke sooner is no reason for haste.
const MIN_HEALTHY: Micros = 2_000_000;
/// First connect timeout.
const CONNECT_TIMEOUT: Micros = 500_000;
/// Longest connect timeout. Once calls are rare, the timeout grows with each call that was never answered: a service
/// that is slow to answer gets more time, not more calls.
const MAX_CONNECT_TIMEOUT: Micros = 4_000_000;
const CONNECT_TIMEOUT_GROWTH: u64 = 2;

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
    quota: Micros,
    urgent_period: Micros,
}

impl FrontBudget {
    fn new(fronts: u32, budget: CallBudget) -> Self {
        let seconds = f64::from(fronts) / budget.calls_per_s.max(f64::MIN_POSITIVE);
        let quota = (seconds * 1e6) as Micros;
        FrontBudget {
            quota: quota.max(MIN_QUOTA).min(budget.max_wait),
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
    unanswered: u32,
    /// This front has waited by its quota since the service was last healthy, so the calls of the fleet are spread.
    spread: bool,
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
            unanswered: 0,
            spread: false,
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
        self.spread = true;
        let place = f64::from(self.position.number) + self.random();
        now + RETRY_INTERVAL
            + (budget.quota as f64 * place / f64::from(self.position.fronts)) as Micros
    }

    /// A call is made. Returns the deadline by which it must have connected.
    pub fn start_call(&mut self, now: Timestamp) -> Timestamp {
        self.call_started_at = now;
        self.first_message_at = None;
        let quota_limit = |budget: FrontBudget| {
            MAX_CONNECT_TIMEOUT
                .min(budget.quota / 2)
                .max(CONNECT_TIMEOUT)
        };
        let longest = self.budget.map_or(CONNECT_TIMEOUT, quota_limit);
        let growth = CONNECT_TIMEOUT_GROWTH.saturating_pow(self.unanswered);
        let timeout = CONNECT_TIMEOUT.saturating_mul(growth).min(longest);
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
        self.unanswered = 0;
        self.first_message_at.get_or_insert(now);
    }

    /// A call, or its connection, has ended. Returns when the next call is made, never before `now`.
    pub fn end_call(&mut self, now: Timestamp, end: CallEnd) -> Timestamp {
        // Judged by the messages, not by how long it was open: a silent connection is not healthy.
        let first_message_at = self.first_message_at.take();
        let delivered_for =
            first_message_at.map(|first| self.last_message_at.saturating_sub(first));
        if delivered_for.is_some_and(|duration| duration >= MIN_HEALTHY) {
            self.failures = 0;
            self.spread = false;
        }
        let budget = self.budget.unwrap_or(FrontBudget {
            quota: RETRY_INTERVAL,
            urgent_period: Micros::MAX,
        });
        let urgent_until = self.last_message_at.saturating_add(budget.urgent_period);
        let urgent = delivered_for.is_none() && now < urgent_until;
        let rare = !urgent;
        self.unanswered = match end {
            CallEnd::Unanswered if rare => self.unanswered.saturating_add(1),
            _ => 0,
        };
        let wait = match self.failures {
            0 => RETRY_INTERVAL,
            _ if urgent => URGENT_INTERVAL.min(budget.quota),
            _ => budget.quota,
        };
        self.failures = self.failures.saturating_add(1);
        let waited = self.unanswered_wait(now, end);
        let at_quota = self.budget.is_some() && rare && wait >= budget.quota;
        match at_quota {
            true => now + self.quota_wait(wait, waited),
            false => now + self.short_wait(wait, waited),
        }
    }

    /// Time that was spent waiting for an answer counts towards the wait before the next call.
    fn unanswered_wait(&self, now: Timestamp, end: CallEnd) -> Micros {
        match end {
            CallEnd::Unanswered | CallEnd::Silent => {
                now.saturating_sub(self.call_started_at.max(self.last_message_at))
            }
            _ => 0,
        }
    }

    /// All fronts may have noticed the end at once, and a silence ends for all of them at once: never without a wait.
    fn short_wait(&mut self, wait: Micros, waited: Micros) -> Micros {
        let random = self.random();
        let jitter = 1.0 - JITTER + 2.0 * JITTER * random;
        let left = wait as f64 * jitter - waited as f64;
        left.max(RETRY_INTERVAL as f64 * random) as Micros
    }

    fn quota_wait(&mut self, wait: Micros, waited: Micros) -> Micros {
        let wait = wait as f64;
        let waited = waited as f64;
        if self.spread {
            return (wait * self.jitter(SPREAD_JITTER) - waited).max(0.0) as Micros;
        }
        // A fleet that started in step is spread over the whole quota, each front by its number. Where the fronts have
        // waited in vain for about as long as that, what is left of the quota would bring them close together again.
        self.spread = true;
        let place =
            (f64::from(self.position.number) + self.random()) / f64::from(self.position.fronts);
        let least = (wait / 2.0).max(wait.min(MIN_SPREAD as f64));
        ((wait - waited).max(least) * place) as Micros
    }
}

#[cfg(test)]
mod tests;
