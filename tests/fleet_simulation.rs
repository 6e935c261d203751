//! Dozens of routers side by side on one virtual clock, counted over all of them: what one does by itself is small.
mod common;
use common::*;
use cranesill::api::*;
use std::collections::VecDeque;

const ROUTERS: u32 = 48;
const STEP: u64 = 10 * MS;
/// How long a endpoint takes for an answer.
const ANSWER: u64 = 60 * MS;
const CACHES: u64 = 12;
/// Requests a second of a router of the usual fleet.
const USUAL_RATE: f64 = 10.0;

/// Many routers of one location, their shared endpoints, and what was sent to whom.
struct Fleet {
    stands: Vec<RouterHarness>,
    /// Attempts that are out: when they end, by whom.
    out: VecDeque<(Timestamp, usize, Sent)>,
    /// Every attempt, with the endpoint that it was for.
    sent: Vec<(Timestamp, usize, u64)>,
    /// Requests that each router is asked in a step.
    asked_in_step: f64,
    rng: Rng,
    next: u64,
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
        Fleet::of(ROUTERS, USUAL_RATE, seed)
    }

    /// So many routers, each of which is asked so often a second.
    fn of(routers: u32, rate: f64, seed: u64) -> Self {
        let stands = (0..routers).map(|number| {
            let routers_by_zone = vec![0, 0, routers];
            let fleet = Settings {
                fronts: routers,
                fronts_by_zone: routers_by_zone,
                front_index: number,
                hedging: false,
                ..settings()
            };
            RouterHarness::new(fleet, endpoints())
        });
        let stands: Vec<_> = stands.collect();
        let now = stands[0].now;
        let asked_in_step = rate * STEP as f64 / S as f64;
        let (out, sent) = (VecDeque::new(), Vec::new());
        Fleet {
            stands,
            out,
            sent,
            asked_in_step,
            rng: Rng(seed),
            next: 0,
            now,
        }
    }

    /// All routers are told of endpoints.
    fn notify(&mut self, kind: ListKind, endpoints: &[EndpointEntry]) {
        for n in 0..self.stands.len() {
            let begun = self.stands[n].notify(Event::Endpoints(kind, endpoints.to_vec()));
            self.note(n, begun, &[]);
        }
    }

    /// How often a router is asked in this step.
    fn asks(&mut self) -> u64 {
        let chance = (self.asked_in_step.fract() * 10_000.0) as u64;
        self.asked_in_step as u64 + u64::from(self.rng.roll(10_000) < chance)
    }

    /// Plays on for a time; `dead` answers no connection.
    fn play(&mut self, span: Micros, dead: &[u64]) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for n in 0..self.stands.len() {
                let left = self.now - self.stands[n].now;
                let mut begun = self.stands[n].advance(left);
                for _ in 0..self.asks() {
                    self.next += 1;
                    let object = self.rng.roll(5_000);
                    begun.extend(self.stands[n].send_request(new_request(self.next, object)));
                }
                self.note(n, begun, dead);
            }
            while self.out.front().is_some_and(|out| out.0 <= self.now) {
                let (_, n, sent) = self.out.pop_front().expect("seen");
                let live =
                    |s: &Sent| s.request == sent.request && s.number == sent.number && s.live;
                if !self.stands[n].sent.iter().any(live) {
                    continue;
                }
                let (status, note) = if dead.contains(&sent.target) {
                    (Status::ConnectFailed, FillNote::None)
                } else {
                    (Status::Ok, FillNote::Hit)
                };
                let begun = self.stands[n].end(&sent, status, note, 0);
                self.note(n, begun, dead);
            }
            if self.now.is_multiple_of(S) {
                for harness in &mut self.stands {
                    let closed: Vec<_> = harness
                        .sent
                        .iter()
                        .map(|s| s.live || !harness.checker.closed(s.request))
                        .collect();
                    let mut keep = closed.into_iter();
                    harness.sent.retain(|_| keep.next().unwrap_or(true));
                }
            }
        }
        for harness in &self.stands {
            assert_eq!(harness.checker.violations, Vec::<String>::new());
        }
    }

    fn note(&mut self, n: usize, begun: Vec<Sent>, dead: &[u64]) {
        for sent in begun {
            self.sent.push((self.now, n, sent.target));
            // Nobody listens there: that is told at once.
            let takes = if dead.contains(&sent.target) {
                STEP
            } else {
                ANSWER
            };
            let at = self.out.partition_point(|out| out.0 <= self.now + takes);
            self.out.insert(at, (self.now + takes, n, sent));
        }
    }

    fn to(&self, endpoint: u64, from: Timestamp, until: Timestamp) -> usize {
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
        fleet.play(5 * S, &[]);
        let before = fleet.to(10, fleet.now - 4 * S, fleet.now);
        assert!(before > 50, "it has its part of the work: {before}");
        let died = fleet.now;
        fleet.play(30 * S, &[10]);
        // Each router that is asked for what belongs there learns it by four failures; a tenth more may be on its way.
        let learning = fleet.to(10, died, died + 20 * S);
        let most = ROUTERS as usize * 4 * 11 / 10;
        // From then on one probe and one more at a time in each router, each 5 s.
        let probes = fleet.to(10, died + 20 * S, died + 30 * S);
        assert!(
            learning <= most + 3 * ROUTERS as usize,
            "seed {seed}: {learning} attempts in 20 s"
        );
        assert!(
            probes <= 4 * ROUTERS as usize,
            "seed {seed}: {probes} probes in 10 s"
        );
        // It answers again: all go back to it.
        let back = fleet.now;
        fleet.play(12 * S, &[]);
        let work = fleet.to(10, back + 8 * S, back + 12 * S);
        assert!(
            work * 2 > before,
            "seed {seed}: {work} in 4 s, {before} before"
        );
    }
}

#[test]
fn all_fronts_together_do_not_overload_a_cache_in_slow_start() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed);
        fleet.play(3 * S, &[]);
        let started = fleet.now;
        let cold = EndpointEntry {
            started,
            weight: 2.0,
            ..entry(11, CACHE)
        };
        for harness in &mut fleet.stands {
            harness.notify(Event::Endpoints(ListKind::Delta, vec![cold.clone()]));
        }
        fleet.play(22 * S, &[]);
        let settings = settings();
        let (limits, span) = (settings.cache_slow_start, settings.overload_window);
        let all: Vec<_> = fleet
            .sent
            .iter()
            .filter(|(at, _, to)| *to == 11 && *at >= started)
            .map(|s| s.0)
            .collect();
        let mut got = 0;
        for at in all.iter().filter(|at| **at < started + limits.warm_up) {
            let sent = all
                .iter()
                .filter(|other| (*at..at + span).contains(other))
                .count();
            got = got.max(sent);
            // What it can do at the window's begin, in requests of 300 ms.
            let age = (at - started) as f64 / limits.warm_up as f64;
            let capacity = cold.weight
                * (limits.initial_capacity_fraction
                    + (1.0 - limits.initial_capacity_fraction) * age);
            let most = limits.overload_multiple * capacity * span as f64 / 300_000.0;
            assert!(
                sent as f64 <= most,
                "seed {seed}: {sent} in {span} us at age {age:.2}, {most:.1} at most"
            );
        }
        assert!(got > 0, "seed {seed}: nothing was sent to it");
    }
}

/// The cache that returns cold in the tests of the budget, of a tenth of the others' size, so that its budget binds.
const RETURNED: u64 = 11;

fn returned(started: Timestamp) -> EndpointEntry {
    EndpointEntry {
        started,
        weight: 2.0,
        ..entry(RETURNED, CACHE)
    }
}

/// Requests of mean work that a cache bears which started at that time, in the span that begins now: what the settings allow it
/// then, and what chance adds to that.
fn budget(started: Timestamp, now: Timestamp) -> f64 {
    let settings = settings();
    let limits = settings.cache_slow_start;
    let age = (now - started) as f64 / limits.warm_up as f64;
    let capacity = returned(started).weight
        * (limits.initial_capacity_fraction + (1.0 - limits.initial_capacity_fraction) * age);
    let allowed =
        limits.overload_multiple * capacity * settings.overload_window as f64 / (300 * MS) as f64;
    if allowed < 30.0 {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// Checks each span of a ramp against the budget. Returns the requests in the fullest one.
fn keeps_the_budget(fleet: &Fleet, started: Timestamp, until: Timestamp, what: &str) -> usize {
    let settings = settings();
    let ramp = started..until.min(started + settings.cache_slow_start.warm_up);
    let to_it = |(at, _, to): &&(Timestamp, usize, u64)| *to == RETURNED && ramp.contains(at);
    let all: Vec<Timestamp> = fleet.sent.iter().filter(to_it).map(|sent| sent.0).collect();
    let mut fullest = 0;
    for at in &all {
        let sent = all
            .iter()
            .filter(|other| (*at..at + settings.overload_window).contains(*other))
            .count();
        fullest = fullest.max(sent);
        let most = budget(started, *at);
        let age_ms = (at - started) / MS;
        assert!(
            sent as f64 <= most,
            "{what}: {sent} in a span {age_ms} ms after the start, {most:.1} at most"
        );
    }
    fullest
}

/// Fleets of one, of some and of hundreds, with the same load over all.
const FLEETS: [(u32, f64); 3] = [(1, 480.0), (ROUTERS, USUAL_RATE), (400, 1.2)];

#[test]
fn fleets_of_any_size_stay_within_the_slow_start_budget() {
    for (routers, rate) in FLEETS {
        let mut fleet = Fleet::of(routers, rate, 7);
        fleet.play(3 * S, &[]);
        let started = fleet.now;
        fleet.notify(ListKind::Delta, &[returned(started)]);
        fleet.play(12 * S, &[]);
        let fullest = keeps_the_budget(&fleet, started, fleet.now, &format!("{routers} routers"));
        assert!(fullest > 0, "{routers} routers: nothing was sent to it");
    }
}

#[test]
fn a_repeated_list_during_a_slow_start_does_not_reset_the_budget() {
    for (routers, rate) in FLEETS {
        let mut fleet = Fleet::of(routers, rate, 8);
        fleet.play(3 * S, &[]);
        let started = fleet.now;
        fleet.notify(ListKind::Delta, &[returned(started)]);
        for _ in 0..8 {
            fleet.play(S, &[]);
            // As after a reload: another service tells all of it.
            let mut all = endpoints();
            all.retain(|one| one.endpoint != EndpointId(RETURNED));
            all.push(returned(started));
            fleet.notify(ListKind::Full, &all);
        }
        fleet.play(4 * S, &[]);
        keeps_the_budget(&fleet, started, fleet.now, &format!("{routers} routers"));
    }
}

#[test]
fn a_second_restart_within_a_slow_start_restarts_the_budget() {
    for (routers, rate) in FLEETS {
        let mut fleet = Fleet::of(routers, rate, 9);
        fleet.play(3 * S, &[]);
        let first = fleet.now;
        fleet.notify(ListKind::Delta, &[returned(first)]);
        fleet.play(6 * S, &[]);
        let what = format!("{routers} routers");
        keeps_the_budget(&fleet, first, fleet.now, &what);
        let gone = EndpointEntry {
            state: EndpointState::Removed,
            ..returned(first)
        };
        fleet.notify(ListKind::Delta, &[gone]);
        fleet.play(S, &[]);
        let second = fleet.now;
        fleet.notify(ListKind::Delta, &[returned(second)]);
        fleet.play(12 * S, &[]);
        let fullest = keeps_the_budget(&fleet, second, fleet.now, &what);
        assert!(fullest > 0, "{what}: nothing was sent to it");
    }
}
