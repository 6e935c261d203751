//! Fleets with a log that is led now here, now there, on clocks that drift; words lost, doubled and held up; fronts stopped and
//! killed. Acts at the resource are what the verdict rests on.
use cranesill_leases::{Book, Command, Duty, Fact, Fence, Gate, Holder, Keeper, Says, Time};
use std::collections::BTreeMap;

const MS: Time = 1_000;
const S: Time = 1_000_000;
const TERM: Time = 3 * S;
const FRONTS: u32 = 6;
const DUTIES: Duty = 4;
const VOTERS: usize = 3;
/// Faults end then, and the play a while later.
const FAULTS: Time = 40 * S;
const END: Time = 60 * S;
/// Once faults have ended each duty is held again by then: a term of a grant that nobody prolongs, one more that a new leader
/// counts, and what those who would have it wait.
const HELD_AGAIN: Time = 2 * TERM + TERM;

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n
    }

    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

/// A clock that is apart from the true time and faster or slower.
#[derive(Clone, Copy)]
struct Clock(Time, i64);

impl Clock {
    fn new(rng: &mut Rng, drift_per_mille_10: u64) -> Self {
        let drift = rng.below(2 * drift_per_mille_10 + 1) as i64 - drift_per_mille_10 as i64;
        Clock(rng.below(1_000 * S) + 100 * S, drift)
    }

    fn at(&self, now: Time) -> Time {
        self.0 + (now as i64 + now as i64 * self.1 / 10_000) as Time
    }

    fn back(&self, at: Time) -> Time {
        ((at - self.0) as f64 / (1.0 + self.1 as f64 / 1e4)) as Time
    }
}

struct One {
    holder: Holder,
    clock: Clock,
    stopped: Option<Time>,
    /// Cut off from the log, though not from the resource: until when, whether its words are lost, and whether what it hears is.
    cut: (Time, bool, bool),
    /// What came to it and is not read yet.
    inbox: BTreeMap<(Time, u64), Fact>,
    /// Words that it has said, over restarts.
    words: u64,
}

/// An act at the resource: of which duty, by whom, under which fence, from when to when, and whether a stop came between the
/// look at the lease and it.
#[derive(Debug, Clone, Copy)]
struct Act {
    duty: Duty,
    front: u32,
    fence: Fence,
    from: Time,
    to: Time,
    late: bool,
}

/// Words on their way, by when they arrive and in which order they were said.
type Words = BTreeMap<(Time, u64), Command>;

#[derive(Default)]
struct Found {
    acts: Vec<Act>,
    refused: u64,
    hand_overs: u64,
}

fn wants(front: u32, now: Time) -> Vec<(Duty, Time)> {
    (0..DUTIES).map(|duty| (duty, now + u64::from((front + u32::from(duty)) % FRONTS) * 50 * MS)).collect()
}

/// `drift` is how much each clock is off at most, in ten-thousandths.
fn play(seed: u64, drift: u64) -> Found {
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut fronts: Vec<One> = (0..FRONTS)
        .map(|front| {
            let clock = Clock::new(&mut rng, drift);
            let holder = Holder::new(front, TERM, 0, wants(front, clock.at(0)));
            One { holder, clock, stopped: None, cut: (0, false, false), inbox: BTreeMap::new(), words: 0 }
        })
        .collect();
    let mut keepers: Vec<_> = (0..VOTERS).map(|_| (Keeper::new(TERM), Clock::new(&mut rng, drift))).collect();
    let mut book = Book::new(DUTIES.into());
    let mut gates = vec![Gate::default(); DUTIES.into()];
    // Words on their way to the log, and commands on their way to be agreed on.
    let (mut way, mut log) = (Words::new(), Words::new());
    let (mut leader, mut change, mut seq) = (Some(0), 5 * S, 0);
    let first = keepers[0].1.at(0);
    keepers[0].0.leads(first, true);
    let mut found = Found::default();
    let mut late: Vec<(Time, Act)> = Vec::new();
    let mut now = 0;
    while now < END {
        now += 5 * MS;
        let faulty = now < FAULTS;
        if now >= change || !faulty && leader.is_none() {
            // Nobody leads for a while, then somebody else.
            match leader.take() {
                Some(at) => {
                    let clock = keepers[at].1;
                    keepers[at].0.leads(clock.at(now), false);
                    change = now + rng.below(2 * S);
                    // What was not agreed on is lost with its leader.
                    log.clear();
                }
                None => {
                    let at = rng.below(VOTERS as u64) as usize;
                    leader = Some(at);
                    let clock = keepers[at].1;
                    keepers[at].0.leads(clock.at(now), true);
                    change = if faulty { now + S + rng.below(12 * S) } else { Time::MAX };
                }
            }
        }
        if !faulty && leader.is_some() {
            change = Time::MAX;
        }
        // To the leader, and agreed on in order.
        while way.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
            let (_, command) = way.pop_first().expect("seen");
            if leader.is_some() {
                seq += 1;
                let after = log.last_key_value().map_or(0, |((at, _), _)| *at);
                log.insert((after.max(now + MS + rng.below(30 * MS)), seq), command);
            }
        }
        while log.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
            let (_, command) = log.pop_first().expect("seen");
            let before: Vec<_> = (0..DUTIES).map(|duty| book.held(duty).map(|held| held.1)).collect();
            let Some(fact) = book.apply(command) else { continue };
            for duty in 0..DUTIES {
                found.hand_overs += u64::from(book.held(duty).map(|h| h.1) > before[usize::from(duty)]);
            }
            for one in &mut fronts {
                if faulty && (rng.one_in(12) || now < one.cut.0 && one.cut.2) {
                    continue;
                }
                seq += 1;
                one.inbox.insert((now + MS + rng.below(40 * MS), seq), fact);
            }
        }
        if let Some(at) = leader {
            let clock = keepers[at].1;
            for command in keepers[at].0.look(clock.at(now), &book) {
                seq += 1;
                way.insert((now, seq), command);
            }
        }
        for (n, one) in fronts.iter_mut().enumerate() {
            if faulty && one.stopped.is_none() && rng.one_in(2_500) {
                one.stopped = Some(now + rng.below(3 * TERM));
            }
            if one.stopped.is_some_and(|until| now < until && faulty) {
                continue;
            }
            one.stopped = None;
            if faulty && now >= one.cut.0 && rng.one_in(1_500) {
                one.cut = (now + rng.below(3 * TERM), !rng.one_in(3), !rng.one_in(3));
            }
            let here = one.clock.at(now);
            if faulty && rng.one_in(6_000) {
                // Killed and started anew: it holds nothing, and goes on counting its words.
                one.words += 1_000_000;
                one.holder = Holder::new(n as u32, TERM, one.words, wants(n as u32, here));
                one.inbox.clear();
            }
            let mut says = Vec::new();
            while one.inbox.first_key_value().is_some_and(|((at, _), _)| *at <= now) {
                let (_, fact) = one.inbox.pop_first().expect("seen");
                says.extend(one.holder.heard(here, fact));
            }
            says.extend(one.holder.look(here));
            if faulty && rng.one_in(4_000) {
                says.extend(one.holder.fails(here, rng.below(DUTIES.into()) as Duty));
            }
            for said in says {
                let Says::Log(command) = said else { continue };
                if faulty && now < one.cut.0 && one.cut.1 {
                    continue;
                }
                // Lost, doubled, or held up for long.
                for _ in 0..if faulty { [1, 1, 1, 1, 1, 1, 1, 0, 1, 2][rng.below(10) as usize] } else { 1 } {
                    let held = if faulty && rng.one_in(100) { rng.below(20 * S) } else { 0 };
                    seq += 1;
                    way.insert((now + MS + rng.below(40 * MS) + held, seq), command);
                }
            }
            for duty in 0..DUTIES {
                if !rng.one_in(20) {
                    continue;
                }
                let takes = 10 * MS + rng.below(400 * MS);
                if let Ok(fence) = one.holder.act(here, duty, here + takes) {
                    one.holder.does(duty);
                    let to = one.clock.back(here + takes);
                    let act = Act { duty, front: n as u32, fence, from: now, to, late: false };
                    if faulty && rng.one_in(200) {
                        // Stopped between the look and the act.
                        let wakes = now + rng.below(2 * TERM);
                        one.stopped = Some(wakes);
                        late.push((wakes, Act { from: wakes, to: wakes + takes, late: true, ..act }));
                    } else if gates[usize::from(duty)].pass(fence).is_ok() {
                        found.acts.push(act);
                    } else {
                        panic!("seed {seed}: an act in time was refused: {act:?}");
                    }
                }
            }
        }
        late.retain(|(at, act)| {
            if *at > now {
                return true;
            }
            match gates[usize::from(act.duty)].pass(act.fence) {
                Ok(()) => found.acts.push(*act),
                Err(_) => found.refused += 1,
            }
            false
        });
    }
    found
}

/// Breaches of what is promised.
fn check(seed: u64, found: &Found) -> Result<(), String> {
    for duty in 0..DUTIES {
        let mine: Vec<_> = found.acts.iter().filter(|act| act.duty == duty).collect();
        let mut highest = 0;
        for act in &mine {
            if act.fence < highest {
                return Err(format!("seed {seed}: the fence went back to {act:?} after {highest}"));
            }
            highest = act.fence;
        }
        // In time means in time: none overlaps with an act of another.
        let in_time: Vec<_> = mine.iter().filter(|act| !act.late).collect();
        for pair in in_time.windows(2) {
            if pair[0].front != pair[1].front && pair[1].from < pair[0].to {
                return Err(format!("seed {seed}: two act at once: {pair:?}"));
            }
        }
        let again = mine.iter().any(|act| (FAULTS..FAULTS + HELD_AGAIN).contains(&act.from));
        let last = mine.iter().any(|act| act.from > END - S);
        if !again || !last {
            return Err(format!("seed {seed}: duty {duty} is not held again"));
        }
    }
    Ok(())
}

#[test]
fn whatever_fails_one_acts_at_a_time_under_fences_that_grow_and_each_duty_is_held_again() {
    let (mut hand_overs, mut refused, mut acts) = (0, 0, 0);
    for seed in 0..200 {
        // Any two clocks drift from each other by less than ten in a thousand.
        let found = play(seed, 49);
        check(seed, &found).unwrap();
        (hand_overs, refused, acts) =
            (hand_overs + found.hand_overs, refused + found.refused, acts + found.acts.len());
    }
    println!("{hand_overs} hand-overs, {acts} acts, {refused} old ones refused");
    assert!(hand_overs > 2_000 && refused > 20 && acts > 100_000, "{hand_overs} {refused} {acts}");
}

#[test]
fn clocks_that_drift_beyond_the_bound_break_one_at_a_time_and_fences_hold_all_the_same() {
    // Ten times the bound: what is promised for clocks within it is not for these, and the checker sees it.
    let broken = (0..60).filter(|seed| {
        let found = std::panic::catch_unwind(|| play(*seed, 900));
        found.map_or(true, |found| check(*seed, &found).is_err())
    });
    assert!(broken.count() > 0);
}
