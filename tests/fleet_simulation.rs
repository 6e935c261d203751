//! Simulation of many fronts on one virtual clock. Checks limits on the total load that they send to an endpoint.
mod common;
use common::*;
use cranesill::api::*;
use std::collections::VecDeque;

const FRONTS: u32 = 48;
/// Time by which the simulation advances at once.
const STEP: u64 = 10 * MS;
/// Response time of an endpoint.
const RESPONSE_TIME: u64 = 60 * MS;
const CACHES: u64 = 12;
/// Requests per second to each front of the default fleet.
const DEFAULT_RATE_PER_S: f64 = 10.0;

/// The fronts of one zone, which share all endpoints.
struct Fleet {
    harnesses: Vec<RouterHarness>,
    /// Attempts in flight: when they end, the index of the front, and the attempt.
    in_flight: VecDeque<(Timestamp, usize, SentAttempt)>,
    /// All attempts: when they were sent, the index of the front, and the target.
    sent: Vec<(Timestamp, usize, u64)>,
    /// Mean number of requests to each front per step.
    requests_per_step: f64,
    rng: Rng,
    next_id: u64,
    now: Timestamp,
}

fn endpoints() -> Vec<EndpointEntry> {
    let caches = (10..10 + CACHES).map(|id| entry(id, CACHE));
    caches
        .chain([entry(50, PARENT), entry(51, PARENT), entry(60, ORIGIN)])
        .collect()
}

impl Fleet {
    fn new(seed: u64) -> Self {
        Fleet::with_load(FRONTS, DEFAULT_RATE_PER_S, seed)
    }

    /// A fleet of `fronts` fronts, each of which gets `rate` requests per second.
    fn with_load(fronts: u32, rate: f64, seed: u64) -> Self {
        let harnesses = (0..fronts).map(|front_index| {
            let fronts_by_zone = vec![0, 0, fronts];
            let fleet_settings = Settings {
                fronts,
                fronts_by_zone,
                front_index,
                hedging: false,
                ..settings()
            };
            RouterHarness::new(fleet_settings, endpoints())
        });
        let harnesses: Vec<_> = harnesses.collect();
        let now = harnesses[0].now;
        let requests_per_step = rate * STEP as f64 / S as f64;
        let (in_flight, sent) = (VecDeque::new(), Vec::new());
        Fleet {
            harnesses,
            in_flight,
            sent,
            requests_per_step,
            rng: Rng(seed),
            next_id: 0,
            now,
        }
    }

    /// Passes a change of the endpoint list to all fronts.
    fn notify(&mut self, kind: ListKind, endpoints: &[EndpointEntry]) {
        for n in 0..self.harnesses.len() {
            let sent = self.harnesses[n].notify(Event::Endpoints(kind, endpoints.to_vec()));
            self.record_sent(n, sent, &[]);
        }
    }

    /// Random number of requests to a front in this step.
    fn requests_in_step(&mut self) -> u64 {
        let chance = (self.requests_per_step.fract() * 10_000.0) as u64;
        self.requests_per_step as u64 + u64::from(self.rng.below(10_000) < chance)
    }

    /// Continues the simulation for `span`. The `unreachable` endpoints refuse connections.
    fn run(&mut self, span: Micros, unreachable: &[u64]) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for n in 0..self.harnesses.len() {
                let elapsed = self.now - self.harnesses[n].now;
                let mut sent = self.harnesses[n].advance(elapsed);
                for _ in 0..self.requests_in_step() {
                    self.next_id += 1;
                    let object = self.rng.below(5_000);
                    sent.extend(self.harnesses[n].send_request(new_request(self.next_id, object)));
                }
                self.record_sent(n, sent, unreachable);
            }
            while self
                .in_flight
                .front()
                .is_some_and(|ending| ending.0 <= self.now)
            {
                let (_, n, sent) = self
                    .in_flight
                    .pop_front()
                    .expect("an attempt that has ended");
                let is_same_in_flight = |s: &SentAttempt| {
                    s.request == sent.request && s.number == sent.number && s.in_flight
                };
                if !self.harnesses[n].sent.iter().any(is_same_in_flight) {
                    continue;
                }
                let (status, note) = if unreachable.contains(&sent.target) {
                    (Status::ConnectFailed, FillNote::None)
                } else {
                    (Status::Ok, FillNote::Hit)
                };
                let sent = self.harnesses[n].end_attempt(&sent, status, note, 0);
                self.record_sent(n, sent, unreachable);
            }
            if self.now.is_multiple_of(S) {
                for harness in &mut self.harnesses {
                    let kept: Vec<_> = harness
                        .sent
                        .iter()
                        .map(|s| s.in_flight || !harness.checker.is_closed(s.request))
                        .collect();
                    let mut kept = kept.into_iter();
                    harness.sent.retain(|_| kept.next().unwrap_or(true));
                }
            }
        }
        for harness in &self.harnesses {
            assert_eq!(harness.checker.violations, Vec::<String>::new());
        }
    }

    fn record_sent(&mut self, n: usize, sent: Vec<SentAttempt>, unreachable: &[u64]) {
        for sent in sent {
            self.sent.push((self.now, n, sent.target));
            // A refused connection fails immediately.
            let duration = if unreachable.contains(&sent.target) {
                STEP
            } else {
                RESPONSE_TIME
            };
            let at = self
                .in_flight
                .partition_point(|ending| ending.0 <= self.now + duration);
            self.in_flight.insert(at, (self.now + duration, n, sent));
        }
    }

    fn sent_to(&self, endpoint: u64, from: Timestamp, until: Timestamp) -> usize {
        self.sent
            .iter()
            .filter(|(at, _, to)| *to == endpoint && (from..until).contains(at))
            .count()
    }
}

#[test]
fn a_stopped_cache_costs_each_front_a_few_attempts_and_probes() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed);
        fleet.run(5 * S, &[]);
        let before = fleet.sent_to(10, fleet.now - 4 * S, fleet.now);
        assert!(
            before > 50,
            "the cache must get requests before it stops: {before}"
        );
        let stopped_at = fleet.now;
        fleet.run(30 * S, &[10]);
        // Each front detects the failure after four failed attempts, with 10% more in flight, and sends up to three
        // probes.
        let detection_attempts = fleet.sent_to(10, stopped_at, stopped_at + 20 * S);
        let max_attempts = FRONTS as usize * 4 * 11 / 10;
        // Afterwards each front sends at most two probes per fail window of 5 s.
        let probes = fleet.sent_to(10, stopped_at + 20 * S, stopped_at + 30 * S);
        assert!(
            detection_attempts <= max_attempts + 3 * FRONTS as usize,
            "seed {seed}: {detection_attempts} attempts in 20 s"
        );
        assert!(
            probes <= 4 * FRONTS as usize,
            "seed {seed}: {probes} probes in 10 s"
        );
        // All fronts use the cache again after its restart.
        let restarted_at = fleet.now;
        fleet.run(12 * S, &[]);
        let after = fleet.sent_to(10, restarted_at + 8 * S, restarted_at + 12 * S);
        assert!(
            after * 2 > before,
            "seed {seed}: {after} requests in 4 s after the restart, {before} before the stop"
        );
    }
}

#[test]
fn all_fronts_together_do_not_overload_a_cache_in_slow_start() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed);
        fleet.run(3 * S, &[]);
        let started = fleet.now;
        let restarted = EndpointEntry {
            started,
            weight: 2.0,
            ..entry(11, CACHE)
        };
        for harness in &mut fleet.harnesses {
            harness.notify(Event::Endpoints(ListKind::Delta, vec![restarted.clone()]));
        }
        fleet.run(22 * S, &[]);
        let settings = settings();
        let (limits, window) = (settings.cache_slow_start, settings.overload_window);
        let times: Vec<_> = fleet
            .sent
            .iter()
            .filter(|(at, _, to)| *to == 11 && *at >= started)
            .map(|s| s.0)
            .collect();
        let mut max_sent = 0;
        for at in times.iter().filter(|at| **at < started + limits.warm_up) {
            let sent = times
                .iter()
                .filter(|other| (*at..at + window).contains(other))
                .count();
            max_sent = max_sent.max(sent);
            // Capacity at the start of the window, in requests with a transfer time of 300 ms.
            let age = (at - started) as f64 / limits.warm_up as f64;
            let capacity = restarted.weight
                * (limits.initial_capacity_fraction
                    + (1.0 - limits.initial_capacity_fraction) * age);
            let max_requests = limits.overload_multiple * capacity * window as f64 / 300_000.0;
            assert!(
                sent as f64 <= max_requests,
                "seed {seed}: {sent} requests in {window} us at {age:.2} of the warm-up, limit {max_requests:.1}"
            );
        }
        assert!(
            max_sent > 0,
            "seed {seed}: no requests to the cache in slow start"
        );
    }
}

/// The cache that restarts in the tests of the slow-start budget. Its weight is a tenth of the others', so that the
/// budget limits its load.
const RESTARTED_CACHE: u64 = 11;

fn restarted_cache(started: Timestamp) -> EndpointEntry {
    EndpointEntry {
        started,
        weight: 2.0,
        ..entry(RESTARTED_CACHE, CACHE)
    }
}

/// Maximum number of requests with a transfer time of 300 ms to the cache that started at `started`, in the overload
/// window that begins at `now`: the number that the settings allow, plus two or three standard deviations for random
/// arrivals.
fn max_requests_in_window(started: Timestamp, now: Timestamp) -> f64 {
    let settings = settings();
    let limits = settings.cache_slow_start;
    let age = (now - started) as f64 / limits.warm_up as f64;
    let capacity = restarted_cache(started).weight
        * (limits.initial_capacity_fraction + (1.0 - limits.initial_capacity_fraction) * age);
    let allowed =
        limits.overload_multiple * capacity * settings.overload_window as f64 / (300 * MS) as f64;
    if allowed < 30.0 {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// Checks each overload window of a slow start against the budget. Returns the largest number of requests in a window.
fn assert_within_budget(
    fleet: &Fleet,
    started: Timestamp,
    until: Timestamp,
    context: &str,
) -> usize {
    let settings = settings();
    let slow_start = started..until.min(started + settings.cache_slow_start.warm_up);
    let to_it =
        |(at, _, to): &&(Timestamp, usize, u64)| *to == RESTARTED_CACHE && slow_start.contains(at);
    let times: Vec<Timestamp> = fleet.sent.iter().filter(to_it).map(|sent| sent.0).collect();
    let mut max_sent = 0;
    for at in &times {
        let sent = times
            .iter()
            .filter(|other| (*at..at + settings.overload_window).contains(*other))
            .count();
        max_sent = max_sent.max(sent);
        let max_requests = max_requests_in_window(started, *at);
        let age_ms = (at - started) / MS;
        assert!(
            sent as f64 <= max_requests,
            "{context}: {sent} requests in the window {age_ms} ms after the start, limit {max_requests:.1}"
        );
    }
    max_sent
}

/// Number of fronts and requests per second to each; the total is 480 requests per second.
const FLEETS: [(u32, f64); 3] = [(1, 480.0), (FRONTS, DEFAULT_RATE_PER_S), (400, 1.2)];

#[test]
fn fleets_of_any_size_stay_within_the_slow_start_budget() {
    for (fronts, rate) in FLEETS {
        let mut fleet = Fleet::with_load(fronts, rate, 7);
        fleet.run(3 * S, &[]);
        let started = fleet.now;
        fleet.notify(ListKind::Delta, &[restarted_cache(started)]);
        fleet.run(12 * S, &[]);
        let max_sent =
            assert_within_budget(&fleet, started, fleet.now, &format!("{fronts} fronts"));
        assert!(
            max_sent > 0,
            "{fronts} fronts: no requests to the cache in slow start"
        );
    }
}

#[test]
fn a_repeated_list_during_a_slow_start_does_not_reset_the_budget() {
    for (fronts, rate) in FLEETS {
        let mut fleet = Fleet::with_load(fronts, rate, 8);
        fleet.run(3 * S, &[]);
        let started = fleet.now;
        fleet.notify(ListKind::Delta, &[restarted_cache(started)]);
        for _ in 0..8 {
            fleet.run(S, &[]);
            // A full list is received, as after a reload.
            let mut all = endpoints();
            all.retain(|entry| entry.endpoint != EndpointId(RESTARTED_CACHE));
            all.push(restarted_cache(started));
            fleet.notify(ListKind::Full, &all);
        }
        fleet.run(4 * S, &[]);
        assert_within_budget(&fleet, started, fleet.now, &format!("{fronts} fronts"));
    }
}

#[test]
fn a_second_restart_within_a_slow_start_restarts_the_budget() {
    for (fronts, rate) in FLEETS {
        let mut fleet = Fleet::with_load(fronts, rate, 9);
        fleet.run(3 * S, &[]);
        let first = fleet.now;
        fleet.notify(ListKind::Delta, &[restarted_cache(first)]);
        fleet.run(6 * S, &[]);
        let context = format!("{fronts} fronts");
        assert_within_budget(&fleet, first, fleet.now, &context);
        let removed = EndpointEntry {
            state: EndpointState::Removed,
            ..restarted_cache(first)
        };
        fleet.notify(ListKind::Delta, &[removed]);
        fleet.run(S, &[]);
        let second = fleet.now;
        fleet.notify(ListKind::Delta, &[restarted_cache(second)]);
        fleet.run(12 * S, &[]);
        let max_sent = assert_within_budget(&fleet, second, fleet.now, &context);
        assert!(
            max_sent > 0,
            "{context}: no requests to the cache in slow start"
        );
    }
}
