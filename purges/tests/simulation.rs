//! Fronts, a ledger and boxes on one virtual clock, with faults from a seed. What is checked: no answer from a copy
//! older than a purge that its front had known for half a second; with the strict lease, none older than one that the
//! ledger had taken longer ago than the lease and half a second; purges reach each box in order; all are confirmed
//! once the faults end. Taking a guard out has to be found.
use cranesill_purges::lease::{Lease, WhenExpired};
use cranesill_purges::log::{Appended, Command, Prepared, PurgeLog};
use cranesill_purges::matching::{compile_patterns, tag_hash, PurgeMatcher, TagIndex};
use cranesill_purges::replication::{NodeReport, Replication};
use cranesill_purges::{request_key, Purge, PurgeNumber, PurgeTarget, UnixMillis};
use std::collections::BTreeMap;

const OBJECTS: u64 = 40;
const TAGS: [&str; 4] = ["vitara", "blue", "winter", "old"];
const FRONTS: usize = 3;
const BOXES: u64 = 6;
const START: UnixMillis = 1_000_000;
const GRACE: UnixMillis = 500;
const LEASE: UnixMillis = 2_000;
const FAULTS_UNTIL: UnixMillis = 20_000;
const END: UnixMillis = 45_000;
/// By so much the origin's clock may be ahead.
const SKEW: UnixMillis = 1_500;

struct Rng(u64);

impl Rng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % n.max(1)
    }
    fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }
}

/// The guards, each of which may be taken out.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    Nothing,
    /// What a member says is good is taken.
    AnswersChecked,
    /// An object whose tags are not known is taken to have none.
    UnknownMatched,
    /// An answer is judged by the tags that were learnt before, not by its own.
    OwnTags,
    /// A front without contact goes on as if it knew all.
    ContactLease,
    /// Clocks are taken to agree.
    SkewAllowed,
    /// A follower takes what comes, whatever its number.
    NumbersChecked,
    /// A box that lost its copies' memory keeps its place in the order.
    ReportBelieved,
}

#[derive(Clone, Default)]
struct Member {
    /// Copies: when the origin gave them out, by its clock, and truly.
    copies: BTreeMap<u64, (UnixMillis, UnixMillis)>,
    /// Fills under way: object, given out then, arrives then.
    fills: Vec<(u64, (UnixMillis, UnixMillis), UnixMillis)>,
    applied: PurgeNumber,
    up: bool,
    /// Answers with what it has, whatever it is asked.
    liar: bool,
}

struct Front {
    log: PurgeLog,
    matcher: PurgeMatcher,
    index: TagIndex,
    lease: Lease,
    /// When each number was learnt.
    learnt: BTreeMap<PurgeNumber, UnixMillis>,
    cut_until: UnixMillis,
}

struct World {
    rng: Rng,
    out: Guard,
    log: PurgeLog,
    boxes: Replication,
    members: Vec<Member>,
    fronts: Vec<Front>,
    /// On their way: batches of purges to fronts, and to boxes.
    to_front: Vec<(UnixMillis, usize, Vec<Purge>)>,
    to_box: Vec<(UnixMillis, u64, PurgeNumber, PurgeNumber)>,
    from_box: Vec<(UnixMillis, u64, PurgeNumber)>,
    answers: u64,
    refused: u64,
}

fn tags_of(object: u64, version: UnixMillis) -> Vec<&'static str> {
    // Tags change with the version.
    let shift = (version / 7_000) as usize;
    (0..(object % 3) as usize)
        .map(|i| TAGS[(object as usize + i + shift) % TAGS.len()])
        .collect()
}

fn concerns(purge: &Purge, object: u64, all_tags: &[&str]) -> bool {
    match &purge.target {
        PurgeTarget::Object(o) => *o == object,
        PurgeTarget::Group(g) => u64::from(*g) == object % 5,
        PurgeTarget::Tag(tag) => all_tags.contains(&&**tag),
        PurgeTarget::Pattern(p) => {
            request_key("video", object, 0).starts_with(p.trim_end_matches('*'))
        }
    }
}

fn report(log: u64, applied: PurgeNumber, empty: bool) -> NodeReport {
    NodeReport {
        log,
        applied,
        empty,
    }
}

impl World {
    fn new(seed: u64, out: Guard) -> Self {
        let front = |_| Front {
            log: PurgeLog::new(7),
            matcher: PurgeMatcher::default(),
            index: TagIndex::new(2_048),
            lease: Lease::new(START * 1_000, START, LEASE * 1_000, WhenExpired::Strict),
            learnt: BTreeMap::new(),
            cut_until: 0,
        };
        let mut boxes = Replication::new(START * 1_000, 7, 500.0);
        (1..=BOXES).for_each(|id| {
            boxes.add_node(id);
            boxes.connected(id, report(7, 0, true), 0);
        });
        World {
            rng: Rng(seed),
            out,
            log: PurgeLog::new(7),
            boxes,
            members: vec![
                Member {
                    up: true,
                    ..Member::default()
                };
                BOXES as usize
            ],
            fronts: (0..FRONTS).map(front).collect(),
            to_front: vec![],
            to_box: vec![],
            from_box: vec![],
            answers: 0,
            refused: 0,
        }
    }

    fn purge(&mut self, now: UnixMillis) {
        let target = match self.rng.below(5) {
            0 | 1 => PurgeTarget::Tag(TAGS[self.rng.below(4) as usize].into()),
            2 => PurgeTarget::Object(self.rng.below(OBJECTS)),
            3 => PurgeTarget::Group(self.rng.below(5) as u32),
            _ => PurgeTarget::Pattern(format!("video/{:015x}*", self.rng.below(3)).into()),
        };
        // Now and then the same command again.
        let id = self.rng.below(400).to_string().into();
        let command = Command {
            target,
            id,
            who: "sim".into(),
            why: "".into(),
            all: false,
        };
        if let Ok(Prepared::New(purge)) = self.log.prepare(now, &command) {
            self.log.append(7, purge).unwrap();
        }
    }

    /// The writer sends to fronts what they lack, late, twice, in disorder or not at all.
    fn replicate(&mut self, now: UnixMillis, faults: bool) {
        for i in 0..FRONTS {
            if now < self.fronts[i].cut_until {
                continue;
            }
            let mut batch = self
                .log
                .batch_after(self.fronts[i].log.last_number())
                .unwrap();
            if faults && self.rng.one_in(6) {
                batch = self
                    .log
                    .batch_after(self.rng.below(self.log.last_number() + 1))
                    .unwrap();
            }
            if faults && self.rng.one_in(8) {
                continue;
            }
            let late = 10 + if faults { self.rng.below(400) } else { 0 };
            self.to_front.push((now + late, i, batch));
        }
    }

    fn arrive(&mut self, now: UnixMillis) {
        let (due, rest) = std::mem::take(&mut self.to_front)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.to_front = rest;
        let due: Vec<(UnixMillis, usize, Vec<Purge>)> = due;
        for (_, i, batch) in due {
            let front = &mut self.fronts[i];
            let skew = if self.out == Guard::SkewAllowed {
                0
            } else {
                SKEW
            };
            for purge in batch {
                let number = purge.number;
                match front.log.append(7, purge.clone()) {
                    Ok(Appended::New) => {
                        front.matcher.add(&purge, skew);
                        front.learnt.insert(number, now);
                    }
                    Ok(Appended::AlreadyPresent) => {}
                    Err(_) if self.out == Guard::NumbersChecked => {
                        // It takes the number for its place: what is between is never asked for.
                        let mut jump = PurgeLog::after(7, number - 1);
                        jump.append(7, purge).unwrap();
                        front.log = jump;
                    }
                    Err(_) => break,
                }
            }
            if let Some(job) = front.matcher.take_compile_job() {
                front.matcher.install(compile_patterns(job));
            }
            // Contact is had by a front that has all that the writer had when this was sent.
            if front.log.last_number() == self.log.last_number()
                || self.out == Guard::NumbersChecked
            {
                front.lease.renew(now * 1_000, now);
            }
        }
        self.boxes_arrive(now);
    }

    fn boxes_arrive(&mut self, now: UnixMillis) {
        let (due, rest) = std::mem::take(&mut self.to_box)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.to_box = rest;
        let due: Vec<(UnixMillis, u64, PurgeNumber, PurgeNumber)> = due;
        for (_, id, after, through) in due {
            let member = &mut self.members[id as usize - 1];
            if !member.up {
                continue;
            }
            // In order: nothing may be left out between what is applied and what comes.
            assert!(
                after <= member.applied,
                "box {id} was sent {after} and has {}",
                member.applied
            );
            for number in after + 1..=through {
                let Some(purge) = self.log.get(number) else {
                    continue;
                };
                member.copies.retain(|object, (born, _)| {
                    !concerns(purge, *object, &TAGS) || *born >= purge.at_ms + SKEW
                });
            }
            member.applied = member.applied.max(through);
            self.from_box
                .push((now + 5 + self.rng.below(30), id, through));
        }
        let (due, rest) = std::mem::take(&mut self.from_box)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.from_box = rest;
        let due: Vec<(UnixMillis, u64, PurgeNumber)> = due;
        for (_, id, number) in due {
            if self.members[id as usize - 1].up {
                self.boxes.confirmed(now * 1_000, id, number);
            }
        }
        for batch in self
            .boxes
            .next_batches(now * 1_000, self.log.base(), self.log.last_number())
        {
            self.to_box.push((
                now + 5 + self.rng.below(60),
                batch.node,
                batch.after,
                batch.through,
            ));
        }
    }

    fn fault(&mut self, now: UnixMillis) {
        let id = 1 + self.rng.below(BOXES);
        let at = id as usize - 1;
        match self.rng.below(5) {
            0 => {
                // It dies, with what is out to it.
                self.members[at].up = false;
                self.members[at].fills.clear();
                self.to_box.retain(|m| m.1 != id);
                self.from_box.retain(|m| m.1 != id);
                self.boxes.disconnected(now * 1_000, id);
            }
            1 => self.back(now, id),
            2 => self.members[at].liar = !self.members[at].liar,
            3 => {
                let front = self.rng.below(FRONTS as u64) as usize;
                self.fronts[front].cut_until = now + self.rng.below(6_000);
            }
            _ => {
                // A front restarts without its memory: everything may have been purged.
                let at = self.rng.below(FRONTS as u64) as usize;
                let front = &mut self.fronts[at];
                (front.index, front.matcher) = (TagIndex::new(2_048), PurgeMatcher::default());
                let held: Vec<_> = front.log.iter().cloned().collect();
                let skew = if self.out == Guard::SkewAllowed {
                    0
                } else {
                    SKEW
                };
                held.iter().for_each(|p| front.matcher.add(p, skew));
            }
        }
    }

    /// A box comes back, with its old disk or with none.
    fn back(&mut self, now: UnixMillis, id: u64) {
        let member = &mut self.members[id as usize - 1];
        if member.up {
            return;
        }
        member.up = true;
        let empty = self.rng.one_in(2);
        if empty {
            member.copies.clear();
            member.applied = self.log.last_number();
        }
        let reported = if self.out == Guard::ReportBelieved {
            self.log.last_number()
        } else {
            member.applied
        };
        if self.out == Guard::ReportBelieved {
            member.applied = reported;
        }
        self.boxes
            .connected(id, report(7, reported, empty), self.log.last_number());
        let _ = now;
    }

    /// A request at a front: what it was answered with is checked.
    fn request(&mut self, now: UnixMillis) -> Result<(), String> {
        let (i, object) = (
            self.rng.below(FRONTS as u64) as usize,
            self.rng.below(OBJECTS),
        );
        let at = self.rng.below(BOXES) as usize;
        // The origin's clock is ahead of the others'.
        let fresh = (now + SKEW - 100, now);
        let member = &mut self.members[at];
        let (arrived, under_way) = std::mem::take(&mut member.fills)
            .into_iter()
            .partition(|f| f.2 <= now);
        member.fills = under_way;
        let arrived: Vec<(u64, (UnixMillis, UnixMillis), UnixMillis)> = arrived;
        arrived.into_iter().for_each(|(object, copy, _)| {
            member.copies.insert(object, copy);
        });
        if !member.up {
            return Ok(());
        }
        let front = &mut self.fronts[i];
        let tags = match (front.index.tags(object), self.out) {
            (None, Guard::UnknownMatched) => Some(&[][..]),
            (tags, _) => tags,
        };
        let lease = match self.out {
            Guard::ContactLease => 0,
            _ => front.lease.floor(now * 1_000, now).saturating_add(
                if now * 1_000 >= front.lease.expires_at() {
                    SKEW
                } else {
                    0
                },
            ),
        };
        let floor = front
            .matcher
            .floor(
                0,
                object,
                (object % 5) as u32,
                tags,
                &request_key("video", object, 0),
            )
            .max(lease);
        let asked = floor;
        let copy = match member.copies.get(&object).copied() {
            Some(copy) if copy.0 >= floor || member.liar => copy,
            _ => {
                // A fill, which takes its time; others may get what it brings.
                let late = self.rng.below(300);
                member.fills.push((object, fresh, now + late));
                fresh
            }
        };
        // An answer is judged by the tags that it names itself, since an older version may carry others than those
        // that are known; one that names none is unknown.
        let names = tags_of(object, copy.1);
        let named = !self.rng.one_in(4);
        let marks: Vec<u64> = names.iter().map(|t| tag_hash(t)).collect();
        let judged = match (named, self.out) {
            (true, _) => Some(&marks[..]),
            (false, Guard::UnknownMatched) => Some(&[][..]),
            (false, Guard::OwnTags) => front.index.tags(object),
            (false, _) => None,
        };
        let judged = if self.out == Guard::OwnTags {
            front.index.tags(object)
        } else {
            judged
        };
        let floor = front
            .matcher
            .floor(
                0,
                object,
                (object % 5) as u32,
                judged,
                &request_key("video", object, 0),
            )
            .max(lease);
        if copy.0 < floor && self.out != Guard::AnswersChecked {
            self.refused += 1;
            if copy.0 < asked {
                self.boxes.stale_copy_served(now * 1_000, at as u64 + 1);
            } else {
                // It kept to what it was asked: the question was too mild.
                front.index.forget(object);
            }
            return Ok(());
        }
        self.answers += 1;
        if named {
            front.index.record(object, Some(&names));
        }
        // What this copy carries is known only to the origin; the checker knows.
        for purge in self.log.iter() {
            let learnt = front.learnt.get(&purge.number);
            let known = learnt.is_some_and(|t| now > t + GRACE);
            let overdue = now > purge.at_ms + LEASE + GRACE;
            if (known || overdue) && copy.1 < purge.at_ms && concerns(purge, object, &names) {
                return Err(format!(
                    "at {now} front {i} answered object {object} from {} though purge {} of {:?} was at {} (known {known})",
                    copy.1, purge.number, purge.target, purge.at_ms
                ));
            }
        }
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        let mut now = START;
        while now < START + END {
            let faults = now < START + FAULTS_UNTIL;
            if faults && self.rng.one_in(40) {
                self.purge(now);
            }
            if self.rng.one_in(5) {
                self.replicate(now, faults);
            }
            if faults && self.rng.one_in(60) {
                self.fault(now);
            }
            if !faults {
                self.fronts.iter_mut().for_each(|f| f.cut_until = 0);
                (1..=BOXES).for_each(|id| self.back(now, id));
            }
            self.arrive(now);
            if faults || self.rng.one_in(4) {
                self.request(now)?;
            }
            now += 5;
        }
        let head = self.log.last_number();
        for row in self.boxes.statuses() {
            if !self.members[row.id as usize - 1].liar && row.confirmed != head {
                return Err(format!(
                    "box {} has confirmed {} of {head}",
                    row.id, row.confirmed
                ));
            }
        }
        let behind = self.fronts.iter().any(|f| f.log.last_number() != head);
        if behind {
            Err("a front never caught up".into())
        } else {
            Ok(())
        }
    }
}

fn runs(out: Guard, seeds: std::ops::Range<u64>) -> Vec<(u64, String)> {
    let run = |seed| World::new(seed, out).run().err().map(|e| (seed, e));
    seeds.filter_map(run).collect()
}

#[test]
fn no_front_answers_from_an_older_copy_than_it_may_over_many_seeds() {
    let found = runs(Guard::Nothing, 0..150);
    assert!(found.is_empty(), "{:#?}", &found[..found.len().min(3)]);
    let mut world = World::new(1, Guard::Nothing);
    world.run().unwrap();
    assert!(
        world.answers > 2_000 && world.refused > 10,
        "{} {}",
        world.answers,
        world.refused
    );
    assert!(world.log.last_number() > 50);
}

#[test]
fn each_guard_that_is_taken_out_is_found() {
    for out in [
        Guard::AnswersChecked,
        Guard::UnknownMatched,
        Guard::OwnTags,
        Guard::ContactLease,
        Guard::SkewAllowed,
        Guard::NumbersChecked,
    ] {
        assert!(!runs(out, 0..40).is_empty(), "{out:?} was not missed");
    }
}

#[test]
fn a_box_that_reports_more_than_it_has_is_caught_by_its_answers() {
    // It costs refused answers, and none that is old.
    assert!(runs(Guard::ReportBelieved, 0..40).is_empty());
}

#[test]
fn a_million_behind_comes_in_bounded_batches_and_slow_boxes_leave_room_for_fast_ones() {
    let mut boxes = Replication::new(0, 7, 100_000.0);
    (1..=100).for_each(|id| {
        boxes.add_node(id);
        boxes.connected(id, report(7, 0, false), 1_000);
    });
    let (mut now, mut out) = (0u64, Vec::<(u64, u64, PurgeNumber)>::new());
    let mut sent = BTreeMap::<u64, PurgeNumber>::new();
    while now < 60_000_000 && boxes.confirmed_by_all() != Some(1_000) {
        now += 1_000;
        let done: Vec<_> = out.iter().filter(|o| o.0 <= now).copied().collect();
        out.retain(|o| o.0 > now);
        for (_, id, number) in done {
            assert!(boxes.confirmed(now, id, number));
            assert!(
                !boxes.confirmed(now, id, number),
                "a second word tells nothing"
            );
        }
        for batch in boxes.next_batches(now, 0, 1_000) {
            assert!(batch.through - batch.after <= 256);
            assert_eq!(
                sent.insert(batch.node, batch.through).unwrap_or(0),
                batch.after,
                "in order, none left out"
            );
            assert!(
                !out.iter().any(|o| o.1 == batch.node),
                "never two batches out"
            );
            // Twenty boxes take two seconds for each batch.
            let takes = if batch.node % 5 == 0 {
                2_000_000
            } else {
                20_000
            };
            out.push((now + takes, batch.node, batch.through));
        }
        if now == 2_500_000 {
            let fast = (1..=100).filter(|id| id % 5 != 0);
            assert!(
                fast.clone().all(|id| boxes.confirmed_by(id) == 1_000),
                "the fast ones are done"
            );
        }
    }
    assert_eq!(boxes.confirmed_by_all(), Some(1_000));
    boxes.stale_copy_served(now, 3);
    assert_eq!(
        boxes.unconfirmed(1_000).into_iter().collect::<Vec<_>>(),
        [3]
    );
    // A number of another ledger is none.
    boxes.connected(4, report(8, 900, false), 1_000);
    assert_eq!(boxes.confirmed_by(4), 0);
    boxes.remove_node(3);
    boxes.remove_node(4);
    assert_eq!(boxes.confirmed_by_all(), Some(1_000));
}
