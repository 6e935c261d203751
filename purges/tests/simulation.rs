//! Fronts, a ledger and boxes on one virtual clock, with faults from a seed. What is checked: no answer from a copy
//! older than a purge that its front had known for half a second; with the strict lease, none older than one that the
//! ledger had taken longer ago than the lease and half a second; purges reach each box in order; all are confirmed
//! once the faults end. Taking a guard out has to be found.
use cranesill_purges::lease::{Contact, Without};
use cranesill_purges::log::{Command, Ledger, Taken};
use cranesill_purges::matching::{compile, tag_mark, Index, Matcher};
use cranesill_purges::replication::Boxes;
use cranesill_purges::{key, Ms, Number, Purge, What};
use std::collections::BTreeMap;

const OBJECTS: u64 = 40;
const TAGS: [&str; 4] = ["vitara", "blue", "winter", "old"];
const FRONTS: usize = 3;
const BOXES: u64 = 6;
const START: Ms = 1_000_000;
const GRACE: Ms = 500;
const LEASE: Ms = 2_000;
const FAULTS_UNTIL: Ms = 20_000;
const END: Ms = 45_000;
/// By so much the origin's clock may be ahead.
const SKEW: Ms = 1_500;

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
    copies: BTreeMap<u64, (Ms, Ms)>,
    /// Fills under way: object, given out then, arrives then.
    fills: Vec<(u64, (Ms, Ms), Ms)>,
    applied: Number,
    up: bool,
    /// Answers with what it has, whatever it is asked.
    liar: bool,
}

struct Front {
    ledger: Ledger,
    matcher: Matcher,
    index: Index,
    contact: Contact,
    /// When each number was learnt.
    learnt: BTreeMap<Number, Ms>,
    cut_until: Ms,
}

struct World {
    rng: Rng,
    out: Guard,
    ledger: Ledger,
    boxes: Boxes,
    members: Vec<Member>,
    fronts: Vec<Front>,
    /// On their way: batches of purges to fronts, and to boxes.
    to_front: Vec<(Ms, usize, Vec<Purge>)>,
    to_box: Vec<(Ms, u64, Number, Number)>,
    from_box: Vec<(Ms, u64, Number)>,
    answers: u64,
    refused: u64,
}

fn tags_of(object: u64, version: Ms) -> Vec<&'static str> {
    // Tags change with the version.
    let shift = (version / 7_000) as usize;
    (0..(object % 3) as usize)
        .map(|i| TAGS[(object as usize + i + shift) % TAGS.len()])
        .collect()
}

fn concerns(purge: &Purge, object: u64, all_tags: &[&str]) -> bool {
    match &purge.what {
        What::Object(o) => *o == object,
        What::Group(g) => u64::from(*g) == object % 5,
        What::Tag(tag) => all_tags.contains(&&**tag),
        What::Pattern(p) => key("video", object, 0).starts_with(p.trim_end_matches('*')),
    }
}

impl World {
    fn new(seed: u64, out: Guard) -> Self {
        let front = |_| Front {
            ledger: Ledger::new(7),
            matcher: Matcher::default(),
            index: Index::new(2_048),
            contact: Contact::new(START * 1_000, START, LEASE * 1_000, Without::Strict),
            learnt: BTreeMap::new(),
            cut_until: 0,
        };
        let mut boxes = Boxes::new(START * 1_000, 7, 500.0);
        (1..=BOXES).for_each(|id| {
            boxes.list(id);
            boxes.connected(id, 7, 0, true, 0);
        });
        World {
            rng: Rng(seed),
            out,
            ledger: Ledger::new(7),
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

    fn purge(&mut self, now: Ms) {
        let what = match self.rng.below(5) {
            0 | 1 => What::Tag(TAGS[self.rng.below(4) as usize].into()),
            2 => What::Object(self.rng.below(OBJECTS)),
            3 => What::Group(self.rng.below(5) as u32),
            _ => What::Pattern(format!("video/{:015x}*", self.rng.below(3)).into()),
        };
        // Now and then the same command again.
        let id = self.rng.below(400).to_string().into();
        let command = Command {
            what,
            id,
            who: "sim".into(),
            why: "".into(),
            all: false,
        };
        if let Ok(Taken::New(purge)) = self.ledger.take(now, &command) {
            self.ledger.append(7, purge).unwrap();
        }
    }

    /// The writer sends to fronts what they lack, late, twice, in disorder or not at all.
    fn replicate(&mut self, now: Ms, faults: bool) {
        for i in 0..FRONTS {
            if now < self.fronts[i].cut_until {
                continue;
            }
            let mut batch = self.ledger.batch(self.fronts[i].ledger.last()).unwrap();
            if faults && self.rng.one_in(6) {
                batch = self
                    .ledger
                    .batch(self.rng.below(self.ledger.last() + 1))
                    .unwrap();
            }
            if faults && self.rng.one_in(8) {
                continue;
            }
            let late = 10 + if faults { self.rng.below(400) } else { 0 };
            self.to_front.push((now + late, i, batch));
        }
    }

    fn arrive(&mut self, now: Ms) {
        let (due, rest) = std::mem::take(&mut self.to_front)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.to_front = rest;
        let due: Vec<(Ms, usize, Vec<Purge>)> = due;
        for (_, i, batch) in due {
            let front = &mut self.fronts[i];
            let skew = if self.out == Guard::SkewAllowed {
                0
            } else {
                SKEW
            };
            for purge in batch {
                let number = purge.number;
                match front.ledger.append(7, purge.clone()) {
                    Ok(true) => {
                        front.matcher.add(&purge, skew);
                        front.learnt.insert(number, now);
                    }
                    Ok(false) => {}
                    Err(_) if self.out == Guard::NumbersChecked => {
                        // It takes the number for its place: what is between is never asked for.
                        let mut jump = Ledger::after(7, number - 1);
                        jump.append(7, purge).unwrap();
                        front.ledger = jump;
                    }
                    Err(_) => break,
                }
            }
            if let Some(job) = front.matcher.job() {
                front.matcher.install(compile(job));
            }
            // Contact is had by a front that has all that the writer had when this was sent.
            if front.ledger.last() == self.ledger.last() || self.out == Guard::NumbersChecked {
                front.contact.heard(now * 1_000, now);
            }
        }
        self.boxes_arrive(now);
    }

    fn boxes_arrive(&mut self, now: Ms) {
        let (due, rest) = std::mem::take(&mut self.to_box)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.to_box = rest;
        let due: Vec<(Ms, u64, Number, Number)> = due;
        for (_, id, after, upto) in due {
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
            for number in after + 1..=upto {
                let Some(purge) = self.ledger.get(number) else {
                    continue;
                };
                member.copies.retain(|object, (born, _)| {
                    !concerns(purge, *object, &TAGS) || *born >= purge.at + SKEW
                });
            }
            member.applied = member.applied.max(upto);
            self.from_box.push((now + 5 + self.rng.below(30), id, upto));
        }
        let (due, rest) = std::mem::take(&mut self.from_box)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.from_box = rest;
        let due: Vec<(Ms, u64, Number)> = due;
        for (_, id, number) in due {
            if self.members[id as usize - 1].up {
                self.boxes.confirmed(now * 1_000, id, number);
            }
        }
        for batch in self
            .boxes
            .next(now * 1_000, self.ledger.base(), self.ledger.last())
        {
            self.to_box.push((
                now + 5 + self.rng.below(60),
                batch.to,
                batch.after,
                batch.upto,
            ));
        }
    }

    fn fault(&mut self, now: Ms) {
        let id = 1 + self.rng.below(BOXES);
        let at = id as usize - 1;
        match self.rng.below(5) {
            0 => {
                // It dies, with what is out to it.
                self.members[at].up = false;
                self.members[at].fills.clear();
                self.to_box.retain(|m| m.1 != id);
                self.from_box.retain(|m| m.1 != id);
                self.boxes.lost(now * 1_000, id);
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
                (front.index, front.matcher) = (Index::new(2_048), Matcher::default());
                let held: Vec<_> = front.ledger.iter().cloned().collect();
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
    fn back(&mut self, now: Ms, id: u64) {
        let member = &mut self.members[id as usize - 1];
        if member.up {
            return;
        }
        member.up = true;
        let empty = self.rng.one_in(2);
        if empty {
            member.copies.clear();
            member.applied = self.ledger.last();
        }
        let reported = if self.out == Guard::ReportBelieved {
            self.ledger.last()
        } else {
            member.applied
        };
        if self.out == Guard::ReportBelieved {
            member.applied = reported;
        }
        self.boxes
            .connected(id, 7, reported, empty, self.ledger.last());
        let _ = now;
    }

    /// A request at a front: what it was answered with is checked.
    fn request(&mut self, now: Ms) -> Result<(), String> {
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
        let arrived: Vec<(u64, (Ms, Ms), Ms)> = arrived;
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
        let contact = match self.out {
            Guard::ContactLease => 0,
            _ => front.contact.floor(now * 1_000, now).saturating_add(
                if now * 1_000 >= front.contact.due() {
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
                &key("video", object, 0),
            )
            .max(contact);
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
        let marks: Vec<u64> = names.iter().map(|t| tag_mark(t)).collect();
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
                &key("video", object, 0),
            )
            .max(contact);
        if copy.0 < floor && self.out != Guard::AnswersChecked {
            self.refused += 1;
            if copy.0 < asked {
                self.boxes.lied(now * 1_000, at as u64 + 1);
            } else {
                // It kept to what it was asked: the question was too mild.
                front.index.forget(object);
            }
            return Ok(());
        }
        self.answers += 1;
        if named {
            front.index.learn(object, Some(&names));
        }
        // What this copy carries is known only to the origin; the checker knows.
        for purge in self.ledger.iter() {
            let learnt = front.learnt.get(&purge.number);
            let known = learnt.is_some_and(|t| now > t + GRACE);
            let overdue = now > purge.at + LEASE + GRACE;
            if (known || overdue) && copy.1 < purge.at && concerns(purge, object, &names) {
                return Err(format!(
                    "at {now} front {i} answered object {object} from {} though purge {} of {:?} was at {} (known {known})",
                    copy.1, purge.number, purge.what, purge.at
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
        let head = self.ledger.last();
        for row in self.boxes.rows() {
            if !self.members[row.id as usize - 1].liar && row.confirmed != head {
                return Err(format!(
                    "box {} has confirmed {} of {head}",
                    row.id, row.confirmed
                ));
            }
        }
        let behind = self.fronts.iter().any(|f| f.ledger.last() != head);
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
    assert!(world.ledger.last() > 50);
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
    let mut boxes = Boxes::new(0, 7, 100_000.0);
    (1..=100).for_each(|id| {
        boxes.list(id);
        boxes.connected(id, 7, 0, false, 1_000);
    });
    let (mut now, mut out) = (0u64, Vec::<(u64, u64, Number)>::new());
    let mut sent = BTreeMap::<u64, Number>::new();
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
        for batch in boxes.next(now, 0, 1_000) {
            assert!(batch.upto - batch.after <= 256);
            assert_eq!(
                sent.insert(batch.to, batch.upto).unwrap_or(0),
                batch.after,
                "in order, none left out"
            );
            assert!(
                !out.iter().any(|o| o.1 == batch.to),
                "never two batches out"
            );
            // Twenty boxes take two seconds for each batch.
            let takes = if batch.to % 5 == 0 { 2_000_000 } else { 20_000 };
            out.push((now + takes, batch.to, batch.upto));
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
    boxes.lied(now, 3);
    assert_eq!(boxes.missing(1_000).into_iter().collect::<Vec<_>>(), [3]);
    // A number of another ledger is none.
    boxes.connected(4, 8, 900, false, 1_000);
    assert_eq!(boxes.confirmed_by(4), 0);
    boxes.gone(3);
    boxes.gone(4);
    assert_eq!(boxes.confirmed_by_all(), Some(1_000));
}
