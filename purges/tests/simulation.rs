//! Fronts, a purge log and cache nodes on one virtual clock, with faults from a seed. Checked are: no reply from a copy
//! older than a purge that its front had known for half a second; with the strict lease, none older than one that the log
//! had accepted longer ago than the lease and half a second; purges reach each node in order; all are confirmed once the
//! faults end. The absence of each guard has to be found.
use cranesill_purges::lease::{ExpiryPolicy, Lease};
use cranesill_purges::log::{Appended, Command, Prepared, PurgeLog};
use cranesill_purges::matching::{
    compile_patterns, tag_hash, PurgeMatcher, RequestAttributes, TagIndex,
};
use cranesill_purges::replication::{NodeReport, Replication};
use cranesill_purges::{request_key, Purge, PurgeNumber, PurgeTarget, UnixMillis};
use std::collections::BTreeMap;

const OBJECTS: u64 = 40;
const TAGS: [&str; 4] = ["vitara", "blue", "winter", "old"];
const FRONTS: usize = 3;
const NODES: u64 = 6;
const START_MS: UnixMillis = 1_000_000;
const GRACE_MS: UnixMillis = 500;
const LEASE_MS: UnixMillis = 2_000;
const FAULTS_MS: UnixMillis = 20_000;
const DURATION_MS: UnixMillis = 45_000;
/// How far the origin's clock may be ahead.
const SKEW_MS: UnixMillis = 1_500;

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

/// The guards, each of which may be missing.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    Nothing,
    /// Replies are relayed without being checked.
    AnswersChecked,
    /// An object whose tags are unknown counts as having none.
    UnknownMatched,
    /// A reply is checked by the indexed tags, not by its own.
    OwnTags,
    /// A front whose lease has expired goes on as if it knew all purges.
    LeaseExpiry,
    /// Clocks count as equal.
    SkewAllowed,
    /// A follower accepts purges whatever their numbers.
    NumbersChecked,
    /// A node that lost its copies reports what it had applied before.
    ReportBelieved,
}

#[derive(Clone, Default)]
struct CacheNode {
    /// Copies: when the origin gave them out, by its clock, and truly.
    copies: BTreeMap<u64, (UnixMillis, UnixMillis)>,
    /// Fills under way: object, given out then, arrives then.
    fills: Vec<(u64, (UnixMillis, UnixMillis), UnixMillis)>,
    applied: PurgeNumber,
    up: bool,
    /// It serves what it has, whatever age is allowed.
    serves_stale: bool,
}

struct Front {
    log: PurgeLog,
    matcher: PurgeMatcher,
    index: TagIndex,
    lease: Lease,
    /// When each purge arrived.
    learned_at: BTreeMap<PurgeNumber, UnixMillis>,
    cut_until: UnixMillis,
}

struct World {
    rng: Rng,
    without: Guard,
    log: PurgeLog,
    replication: Replication,
    nodes: Vec<CacheNode>,
    fronts: Vec<Front>,
    /// On their way: batches of purges to fronts, and to boxes.
    to_front: Vec<(UnixMillis, usize, Vec<Purge>)>,
    to_node: Vec<(UnixMillis, u64, PurgeNumber, PurgeNumber)>,
    from_node: Vec<(UnixMillis, u64, PurgeNumber)>,
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
    fn new(seed: u64, without: Guard) -> Self {
        let front = |_| Front {
            log: PurgeLog::new(7),
            matcher: PurgeMatcher::default(),
            index: TagIndex::new(2_048),
            lease: Lease::new(
                START_MS * 1_000,
                START_MS,
                LEASE_MS * 1_000,
                ExpiryPolicy::Strict,
            ),
            learned_at: BTreeMap::new(),
            cut_until: 0,
        };
        let mut replication = Replication::new(START_MS * 1_000, 7, 500.0);
        (1..=NODES).for_each(|id| {
            replication.add_node(id);
            replication.connected(id, report(7, 0, true), 0);
        });
        World {
            rng: Rng(seed),
            without,
            log: PurgeLog::new(7),
            replication,
            nodes: vec![
                CacheNode {
                    up: true,
                    ..CacheNode::default()
                };
                NODES as usize
            ],
            fronts: (0..FRONTS).map(front).collect(),
            to_front: vec![],
            to_node: vec![],
            from_node: vec![],
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
            let skew = if self.without == Guard::SkewAllowed {
                0
            } else {
                SKEW_MS
            };
            for purge in batch {
                let number = purge.number;
                match front.log.append(7, purge.clone()) {
                    Ok(Appended::New) => {
                        front.matcher.add(&purge, skew);
                        front.learned_at.insert(number, now);
                    }
                    Ok(Appended::AlreadyPresent) => {}
                    Err(_) if self.without == Guard::NumbersChecked => {
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
                || self.without == Guard::NumbersChecked
            {
                front.lease.renew(now * 1_000, now);
            }
        }
        self.nodes_arrive(now);
    }

    fn nodes_arrive(&mut self, now: UnixMillis) {
        let (due, rest) = std::mem::take(&mut self.to_node)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.to_node = rest;
        let due: Vec<(UnixMillis, u64, PurgeNumber, PurgeNumber)> = due;
        for (_, id, after, through) in due {
            let node = &mut self.nodes[id as usize - 1];
            if !node.up {
                continue;
            }
            // In order: nothing may be left out between what is applied and what comes.
            assert!(
                after <= node.applied,
                "box {id} was sent {after} and has {}",
                node.applied
            );
            for number in after + 1..=through {
                let Some(purge) = self.log.get(number) else {
                    continue;
                };
                node.copies.retain(|object, (born, _)| {
                    !concerns(purge, *object, &TAGS) || *born >= purge.at_ms + SKEW_MS
                });
            }
            node.applied = node.applied.max(through);
            self.from_node
                .push((now + 5 + self.rng.below(30), id, through));
        }
        let (due, rest) = std::mem::take(&mut self.from_node)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.from_node = rest;
        let due: Vec<(UnixMillis, u64, PurgeNumber)> = due;
        for (_, id, number) in due {
            if self.nodes[id as usize - 1].up {
                self.replication.confirmed(now * 1_000, id, number);
            }
        }
        for batch in
            self.replication
                .next_batches(now * 1_000, self.log.base(), self.log.last_number())
        {
            self.to_node.push((
                now + 5 + self.rng.below(60),
                batch.node,
                batch.after,
                batch.through,
            ));
        }
    }

    fn fault(&mut self, now: UnixMillis) {
        let id = 1 + self.rng.below(NODES);
        let at = id as usize - 1;
        match self.rng.below(5) {
            0 => {
                // It dies, with what is out to it.
                self.nodes[at].up = false;
                self.nodes[at].fills.clear();
                self.to_node.retain(|m| m.1 != id);
                self.from_node.retain(|m| m.1 != id);
                self.replication.disconnected(now * 1_000, id);
            }
            1 => self.restart(now, id),
            2 => self.nodes[at].serves_stale = !self.nodes[at].serves_stale,
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
                let skew = if self.without == Guard::SkewAllowed {
                    0
                } else {
                    SKEW_MS
                };
                held.iter().for_each(|p| front.matcher.add(p, skew));
            }
        }
    }

    /// A box comes back, with its old disk or with none.
    fn restart(&mut self, now: UnixMillis, id: u64) {
        let node = &mut self.nodes[id as usize - 1];
        if node.up {
            return;
        }
        node.up = true;
        let empty = self.rng.one_in(2);
        if empty {
            node.copies.clear();
            node.applied = self.log.last_number();
        }
        let reported = if self.without == Guard::ReportBelieved {
            self.log.last_number()
        } else {
            node.applied
        };
        if self.without == Guard::ReportBelieved {
            node.applied = reported;
        }
        self.replication
            .connected(id, report(7, reported, empty), self.log.last_number());
        let _ = now;
    }

    /// A request at a front: what it was answered with is checked.
    fn request(&mut self, now: UnixMillis) -> Result<(), String> {
        let (i, object) = (
            self.rng.below(FRONTS as u64) as usize,
            self.rng.below(OBJECTS),
        );
        let at = self.rng.below(NODES) as usize;
        // The origin's clock is ahead of the others'.
        let fresh = (now + SKEW_MS - 100, now);
        let node = &mut self.nodes[at];
        let (arrived, under_way) = std::mem::take(&mut node.fills)
            .into_iter()
            .partition(|f| f.2 <= now);
        node.fills = under_way;
        let arrived: Vec<(u64, (UnixMillis, UnixMillis), UnixMillis)> = arrived;
        arrived.into_iter().for_each(|(object, copy, _)| {
            node.copies.insert(object, copy);
        });
        if !node.up {
            return Ok(());
        }
        let front = &mut self.fronts[i];
        let tags = match (front.index.tags(object), self.without) {
            (None, Guard::UnknownMatched) => Some(&[][..]),
            (tags, _) => tags,
        };
        let lease = match self.without {
            Guard::LeaseExpiry => 0,
            _ => front.lease.floor(now * 1_000, now).saturating_add(
                if now * 1_000 >= front.lease.expires_at() {
                    SKEW_MS
                } else {
                    0
                },
            ),
        };
        let floor = front
            .matcher
            .floor(
                0,
                &RequestAttributes {
                    object,
                    group: (object % 5) as u32,
                    tags,
                    key: &request_key("video", object, 0),
                },
            )
            .max(lease);
        let asked = floor;
        let copy = match node.copies.get(&object).copied() {
            Some(copy) if copy.0 >= floor || node.serves_stale => copy,
            _ => {
                // A fill, which takes its time; others may get what it brings.
                let late = self.rng.below(300);
                node.fills.push((object, fresh, now + late));
                fresh
            }
        };
        // An answer is judged by the tags that it names itself, since an older version may carry others than those
        // that are known; one that names none is unknown.
        let names = tags_of(object, copy.1);
        let named = !self.rng.one_in(4);
        let marks: Vec<u64> = names.iter().map(|t| tag_hash(t)).collect();
        let checked_by = match (named, self.without) {
            (true, _) => Some(&marks[..]),
            (false, Guard::UnknownMatched) => Some(&[][..]),
            (false, Guard::OwnTags) => front.index.tags(object),
            (false, _) => None,
        };
        let checked_by = if self.without == Guard::OwnTags {
            front.index.tags(object)
        } else {
            checked_by
        };
        let floor = front
            .matcher
            .floor(
                0,
                &RequestAttributes {
                    object,
                    group: (object % 5) as u32,
                    tags: checked_by,
                    key: &request_key("video", object, 0),
                },
            )
            .max(lease);
        if copy.0 < floor && self.without != Guard::AnswersChecked {
            self.refused += 1;
            if copy.0 < asked {
                self.replication
                    .stale_copy_served(now * 1_000, at as u64 + 1);
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
            let learned_at = front.learned_at.get(&purge.number);
            let known = learned_at.is_some_and(|t| now > t + GRACE_MS);
            let overdue = now > purge.at_ms + LEASE_MS + GRACE_MS;
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
        let mut now = START_MS;
        while now < START_MS + DURATION_MS {
            let faults = now < START_MS + FAULTS_MS;
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
                (1..=NODES).for_each(|id| self.restart(now, id));
            }
            self.arrive(now);
            if faults || self.rng.one_in(4) {
                self.request(now)?;
            }
            now += 5;
        }
        let head = self.log.last_number();
        for row in self.replication.statuses() {
            if !self.nodes[row.id as usize - 1].serves_stale && row.confirmed != head {
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

fn runs(without: Guard, seeds: std::ops::Range<u64>) -> Vec<(u64, String)> {
    let run = |seed| World::new(seed, without).run().err().map(|e| (seed, e));
    seeds.filter_map(run).collect()
}

#[test]
fn no_front_serves_a_stale_copy_over_many_seeds() {
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
    for without in [
        Guard::AnswersChecked,
        Guard::UnknownMatched,
        Guard::OwnTags,
        Guard::LeaseExpiry,
        Guard::SkewAllowed,
        Guard::NumbersChecked,
    ] {
        assert!(
            !runs(without, 0..40).is_empty(),
            "{without:?} was not missed"
        );
    }
}

#[test]
fn a_node_that_reports_more_than_it_applied_is_caught_by_its_replies() {
    // It costs refused answers, and none that is old.
    assert!(runs(Guard::ReportBelieved, 0..40).is_empty());
}

#[test]
fn nodes_far_behind_get_bounded_batches_and_slow_ones_leave_slots_for_fast_ones() {
    let mut replication = Replication::new(0, 7, 100_000.0);
    (1..=100).for_each(|id| {
        replication.add_node(id);
        replication.connected(id, report(7, 0, false), 1_000);
    });
    let (mut now, mut without) = (0u64, Vec::<(u64, u64, PurgeNumber)>::new());
    let mut sent = BTreeMap::<u64, PurgeNumber>::new();
    while now < 60_000_000 && replication.confirmed_by_all() != Some(1_000) {
        now += 1_000;
        let done: Vec<_> = without.iter().filter(|o| o.0 <= now).copied().collect();
        without.retain(|o| o.0 > now);
        for (_, id, number) in done {
            assert!(replication.confirmed(now, id, number));
            assert!(
                !replication.confirmed(now, id, number),
                "a repeated confirmation is ignored"
            );
        }
        for batch in replication.next_batches(now, 0, 1_000) {
            assert!(batch.through - batch.after <= 256);
            assert_eq!(
                sent.insert(batch.node, batch.through).unwrap_or(0),
                batch.after,
                "in order, none left out"
            );
            assert!(
                !without.iter().any(|o| o.1 == batch.node),
                "never two batches out"
            );
            // Twenty boxes take two seconds for each batch.
            let takes = if batch.node % 5 == 0 {
                2_000_000
            } else {
                20_000
            };
            without.push((now + takes, batch.node, batch.through));
        }
        if now == 2_500_000 {
            let fast = (1..=100).filter(|id| id % 5 != 0);
            assert!(
                fast.clone().all(|id| replication.confirmed_by(id) == 1_000),
                "the fast ones are done"
            );
        }
    }
    assert_eq!(replication.confirmed_by_all(), Some(1_000));
    replication.stale_copy_served(now, 3);
    assert_eq!(
        replication
            .unconfirmed(1_000)
            .into_iter()
            .collect::<Vec<_>>(),
        [3]
    );
    // A number of another ledger is none.
    replication.connected(4, report(8, 900, false), 1_000);
    assert_eq!(replication.confirmed_by(4), 0);
    replication.remove_node(3);
    replication.remove_node(4);
    assert_eq!(replication.confirmed_by_all(), Some(1_000));
}
