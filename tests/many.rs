//! Dozens of routers side by side on one virtual clock, counted over all of them: what one does by itself is small.
mod common;
use common::*;
use cranesill::api::*;
use std::collections::VecDeque;

const ROUTERS: u32 = 48;
const STEP: u64 = 10 * MS;
/// How long a member takes for an answer.
const ANSWER: u64 = 60 * MS;
const CACHES: u64 = 12;

/// Many routers of one location, their shared members, and what was sent to whom.
struct Fleet {
    stands: Vec<Stand>,
    /// Attempts that are out: when they end, by whom.
    out: VecDeque<(Time, usize, Sent)>,
    /// Every attempt, with the member that it was for.
    sent: Vec<(Time, usize, u64)>,
    rng: Rng,
    next: u64,
    now: Time,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let members = || -> Vec<Entry> {
            let caches = (10..10 + CACHES).map(|id| entry(id, CACHE));
            caches.chain([entry(50, PARENT), entry(51, PARENT), entry(60, ORIGIN)]).collect()
        };
        let stands = (0..ROUTERS).map(|number| {
            let routers_by_zone = vec![0, 0, ROUTERS];
            let fleet =
                Settings { routers: ROUTERS, routers_by_zone, number, second_copies: false, ..settings() };
            Stand::new(fleet, members())
        });
        let stands: Vec<_> = stands.collect();
        let now = stands[0].now;
        Fleet { stands, out: VecDeque::new(), sent: Vec::new(), rng: Rng(seed), next: 0, now }
    }

    /// Plays on for a time: each router is asked ten times a second, and `dead` answers no connection.
    fn play(&mut self, span: Span, dead: &[u64]) {
        let until = self.now + span;
        while self.now < until {
            self.now += STEP;
            for n in 0..self.stands.len() {
                let left = self.now - self.stands[n].now;
                let mut begun = self.stands[n].advance(left);
                if self.rng.roll(10) == 0 {
                    self.next += 1;
                    let object = self.rng.roll(5_000);
                    begun.extend(self.stands[n].ask(ask(self.next, object)));
                }
                self.note(n, begun, dead);
            }
            while self.out.front().is_some_and(|out| out.0 <= self.now) {
                let (_, n, sent) = self.out.pop_front().expect("seen");
                let live = |s: &Sent| s.request == sent.request && s.number == sent.number && s.live;
                if !self.stands[n].sent.iter().any(live) {
                    continue;
                }
                let (status, note) = if dead.contains(&sent.target) {
                    (Status::ConnectFailed, Note::None)
                } else {
                    (Status::Ok, Note::Hit)
                };
                let begun = self.stands[n].end(&sent, status, note, 0);
                self.note(n, begun, dead);
            }
            if self.now.is_multiple_of(S) {
                for stand in &mut self.stands {
                    let closed: Vec<_> =
                        stand.sent.iter().map(|s| s.live || !stand.checker.closed(s.request)).collect();
                    let mut keep = closed.into_iter();
                    stand.sent.retain(|_| keep.next().unwrap_or(true));
                }
            }
        }
        for stand in &self.stands {
            assert_eq!(stand.checker.broken, Vec::<String>::new());
        }
    }

    fn note(&mut self, n: usize, begun: Vec<Sent>, dead: &[u64]) {
        for sent in begun {
            self.sent.push((self.now, n, sent.target));
            // Nobody listens there: that is told at once.
            let takes = if dead.contains(&sent.target) { STEP } else { ANSWER };
            let at = self.out.partition_point(|out| out.0 <= self.now + takes);
            self.out.insert(at, (self.now + takes, n, sent));
        }
    }

    fn to(&self, member: u64, from: Time, until: Time) -> usize {
        self.sent.iter().filter(|(at, _, to)| *to == member && (from..until).contains(at)).count()
    }
}

#[test]
fn a_cache_that_dies_costs_the_fleet_a_few_attempts_each_and_its_probes_are_few() {
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
        assert!(learning <= most + 3 * ROUTERS as usize, "seed {seed}: {learning} attempts in 20 s");
        assert!(probes <= 4 * ROUTERS as usize, "seed {seed}: {probes} probes in 10 s");
        // It answers again: all go back to it.
        let back = fleet.now;
        fleet.play(12 * S, &[]);
        let work = fleet.to(10, back + 8 * S, back + 12 * S);
        assert!(work * 2 > before, "seed {seed}: {work} in 4 s, {before} before");
    }
}

#[test]
fn a_cold_cache_gets_no_more_from_all_together_than_it_can_bear() {
    for seed in 0..3 {
        let mut fleet = Fleet::new(seed);
        fleet.play(3 * S, &[]);
        let started = fleet.now;
        let cold = Entry { started, weight: 2.0, ..entry(11, CACHE) };
        for stand in &mut fleet.stands {
            stand.tell(Event::Members(ListKind::Delta, vec![cold.clone()]));
        }
        fleet.play(22 * S, &[]);
        let settings = settings();
        let (limits, span) = (settings.cold_cache, settings.overload_span);
        let all: Vec<_> =
            fleet.sent.iter().filter(|(at, _, to)| *to == 11 && *at >= started).map(|s| s.0).collect();
        let mut got = 0;
        for at in all.iter().filter(|at| **at < started + limits.warm_in) {
            let sent = all.iter().filter(|other| (*at..at + span).contains(other)).count();
            got = got.max(sent);
            // What it can do at the window's begin, in requests of 300 ms.
            let age = (at - started) as f64 / limits.warm_in as f64;
            let capacity = cold.weight * (limits.from + (1.0 - limits.from) * age);
            let most = limits.fall_multiple * capacity * span as f64 / 300_000.0;
            assert!(
                sent as f64 <= most,
                "seed {seed}: {sent} in {span} us at age {age:.2}, {most:.1} at most"
            );
        }
        assert!(got > 0, "seed {seed}: nothing was sent to it");
    }
}
