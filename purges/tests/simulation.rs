//! Simulates fronts, a purge log and cache nodes on a virtual clock, with random faults from a seed. Guards against stale
//! replies after a purge reached the front or the lease expired, purges that reach nodes out of order, purges that are
//! never confirmed, and checks that cannot detect a disabled guard.
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
/// Time after the receipt of a purge within which stale replies are tolerated.
const MAX_DELAY_MS: UnixMillis = 500;
const LEASE_MS: UnixMillis = 2_000;
const FAULTS_DURATION_MS: UnixMillis = 20_000;
const RUN_DURATION_MS: UnixMillis = 45_000;
/// Maximum time by which the origin's clock may be ahead.
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

/// The guard that a run disables to verify that the checks detect its absence. Each variant is described by its effect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Guard {
    None,
    /// Replies are relayed without a check of their age.
    ReplyCheck,
    /// An object with unknown tags matches no tag purge.
    UnknownTagsMatch,
    /// A reply is checked by the indexed tags instead of its own.
    ReplyTags,
    /// An expired lease does not raise the floor.
    LeaseExpiry,
    /// Purge times are not increased by the clock skew.
    SkewAllowance,
    /// A follower accepts purges after a gap.
    NumberCheck,
    /// A node reports purges as applied that it has not received.
    AppliedNumberOnReconnect,
}

#[derive(Clone, Default)]
struct CacheNode {
    /// Creation time of the copy of each object: by the origin's clock, and the true time.
    copies: BTreeMap<u64, (UnixMillis, UnixMillis)>,
    /// Pending fills: object, creation times of the copy, arrival time.
    fills: Vec<(u64, (UnixMillis, UnixMillis), UnixMillis)>,
    applied: PurgeNumber,
    up: bool,
    /// Whether the node serves copies older than the requested maximum age.
    ignores_max_age: bool,
}

struct Front {
    log: PurgeLog,
    matcher: PurgeMatcher,
    index: TagIndex,
    lease: Lease,
    /// Time when the front received each purge.
    received_at: BTreeMap<PurgeNumber, UnixMillis>,
    partitioned_until: UnixMillis,
}

struct Simulation {
    rng: Rng,
    disabled: Guard,
    log: PurgeLog,
    replication: Replication,
    nodes: Vec<CacheNode>,
    fronts: Vec<Front>,
    /// Batches in flight: arrival time, front, purges.
    batches_to_fronts: Vec<(UnixMillis, usize, Vec<Purge>)>,
    /// Batches in flight: arrival time, node, range of purge numbers.
    batches_to_nodes: Vec<(UnixMillis, u64, PurgeNumber, PurgeNumber)>,
    /// Confirmations in flight: arrival time, node, number.
    confirmations: Vec<(UnixMillis, u64, PurgeNumber)>,
    served_replies: u64,
    rejected_replies: u64,
}

fn origin_tags(object: u64, version: UnixMillis) -> Vec<&'static str> {
    // A new version of an object has other tags.
    let shift = (version / 7_000) as usize;
    (0..(object % 3) as usize)
        .map(|i| TAGS[(object as usize + i + shift) % TAGS.len()])
        .collect()
}

fn is_purged_by(purge: &Purge, object: u64, all_tags: &[&str]) -> bool {
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

impl Simulation {
    fn new(seed: u64, disabled: Guard) -> Self {
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
            received_at: BTreeMap::new(),
            partitioned_until: 0,
        };
        let mut replication = Replication::new(START_MS * 1_000, 7, 500.0);
        (1..=NODES).for_each(|id| {
            replication.add_node(id);
            replication.connected(id, report(7, 0, true), 0);
        });
        Simulation {
            rng: Rng(seed),
            disabled,
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
            batches_to_fronts: vec![],
            batches_to_nodes: vec![],
            confirmations: vec![],
            served_replies: 0,
            rejected_replies: 0,
        }
    }

    fn purge(&mut self, now: UnixMillis) {
        let target = match self.rng.below(5) {
            0 | 1 => PurgeTarget::Tag(TAGS[self.rng.below(4) as usize].into()),
            2 => PurgeTarget::Object(self.rng.below(OBJECTS)),
            3 => PurgeTarget::Group(self.rng.below(5) as u32),
            _ => PurgeTarget::Pattern(format!("video/{:015x}*", self.rng.below(3)).into()),
        };
        // Ids are drawn from a small range, so that some commands are repeated.
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

    /// Sends purges to the fronts. With faults, batches are delayed, duplicated, reordered or lost.
    fn replicate(&mut self, now: UnixMillis, faults: bool) {
        for i in 0..FRONTS {
            if now < self.fronts[i].partitioned_until {
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
            let delay = 10 + if faults { self.rng.below(400) } else { 0 };
            self.batches_to_fronts.push((now + delay, i, batch));
        }
    }

    fn deliver_batches_to_fronts(&mut self, now: UnixMillis) {
        let (due, rest) = std::mem::take(&mut self.batches_to_fronts)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.batches_to_fronts = rest;
        let due: Vec<(UnixMillis, usize, Vec<Purge>)> = due;
        for (_, i, batch) in due {
            let front = &mut self.fronts[i];
            let skew = if self.disabled == Guard::SkewAllowance {
                0
            } else {
                SKEW_MS
            };
            for purge in batch {
                let number = purge.number;
                match front.log.append(7, purge.clone()) {
                    Ok(Appended::New) => {
                        front.matcher.add(&purge, skew);
                        front.received_at.insert(number, now);
                    }
                    Ok(Appended::AlreadyPresent) => {}
                    Err(_) if self.disabled == Guard::NumberCheck => {
                        // Skips the gap, so that the missing purges are never requested.
                        let mut log_after_gap = PurgeLog::after(7, number - 1);
                        log_after_gap.append(7, purge).unwrap();
                        front.log = log_after_gap;
                    }
                    Err(_) => break,
                }
            }
            if let Some(job) = front.matcher.take_compile_job() {
                front.matcher.install(compile_patterns(job));
            }
            // Only a front with all purges of the writer renews its lease.
            if front.log.last_number() == self.log.last_number()
                || self.disabled == Guard::NumberCheck
            {
                front.lease.renew(now * 1_000, now);
            }
        }
        self.deliver_to_nodes(now);
    }

    fn deliver_to_nodes(&mut self, now: UnixMillis) {
        let (due, rest) = std::mem::take(&mut self.batches_to_nodes)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.batches_to_nodes = rest;
        let due: Vec<(UnixMillis, u64, PurgeNumber, PurgeNumber)> = due;
        for (_, id, after, through) in due {
            let node = &mut self.nodes[id as usize - 1];
            if !node.up {
                continue;
            }
            // A batch must not skip any purge after the last applied one.
            assert!(
                after <= node.applied,
                "node {id} was sent a batch after {after}, but has applied only {}",
                node.applied
            );
            for number in after + 1..=through {
                let Some(purge) = self.log.get(number) else {
                    continue;
                };
                node.copies.retain(|object, (born, _)| {
                    !is_purged_by(purge, *object, &TAGS) || *born >= purge.at_ms + SKEW_MS
                });
            }
            node.applied = node.applied.max(through);
            self.confirmations
                .push((now + 5 + self.rng.below(30), id, through));
        }
        let (due, rest) = std::mem::take(&mut self.confirmations)
            .into_iter()
            .partition(|m| m.0 <= now);
        self.confirmations = rest;
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
            self.batches_to_nodes.push((
                now + 5 + self.rng.below(60),
                batch.node,
                batch.after,
                batch.through,
            ));
        }
    }

    fn inject_fault(&mut self, now: UnixMillis) {
        let id = 1 + self.rng.below(NODES);
        let at = id as usize - 1;
        match self.rng.below(5) {
            0 => {
                // The node crashes and loses all messages in flight.
                self.nodes[at].up = false;
                self.nodes[at].fills.clear();
                self.batches_to_nodes.retain(|m| m.1 != id);
                self.confirmations.retain(|m| m.1 != id);
                self.replication.disconnected(now * 1_000, id);
            }
            1 => self.restart(now, id),
            2 => self.nodes[at].ignores_max_age = !self.nodes[at].ignores_max_age,
            3 => {
                let front = self.rng.below(FRONTS as u64) as usize;
                self.fronts[front].partitioned_until = now + self.rng.below(6_000);
            }
            _ => {
                // A front restarts with its log, but without the tag index and the matcher.
                let at = self.rng.below(FRONTS as u64) as usize;
                let front = &mut self.fronts[at];
                (front.index, front.matcher) = (TagIndex::new(2_048), PurgeMatcher::default());
                let purges: Vec<_> = front.log.iter().cloned().collect();
                let skew = if self.disabled == Guard::SkewAllowance {
                    0
                } else {
                    SKEW_MS
                };
                purges.iter().for_each(|p| front.matcher.add(p, skew));
            }
        }
    }

    /// Restarts a crashed node, with its disk or with an empty cache.
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
        let reported = if self.disabled == Guard::AppliedNumberOnReconnect {
            self.log.last_number()
        } else {
            node.applied
        };
        if self.disabled == Guard::AppliedNumberOnReconnect {
            node.applied = reported;
        }
        self.replication
            .connected(id, report(7, reported, empty), self.log.last_number());
        let _ = now;
    }

    /// Sends a request through a front, and checks that the reply is not stale.
    fn request(&mut self, now: UnixMillis) -> Result<(), String> {
        let (i, object) = (
            self.rng.below(FRONTS as u64) as usize,
            self.rng.below(OBJECTS),
        );
        let at = self.rng.below(NODES) as usize;
        // The origin's clock is ahead of the other clocks.
        let fresh_copy = (now + SKEW_MS - 100, now);
        let node = &mut self.nodes[at];
        let (arrived, pending) = std::mem::take(&mut node.fills)
            .into_iter()
            .partition(|f| f.2 <= now);
        node.fills = pending;
        let arrived: Vec<(u64, (UnixMillis, UnixMillis), UnixMillis)> = arrived;
        arrived.into_iter().for_each(|(object, copy, _)| {
            node.copies.insert(object, copy);
        });
        if !node.up {
            return Ok(());
        }
        let front = &mut self.fronts[i];
        let tags = match (front.index.tags(object), self.disabled) {
            (None, Guard::UnknownTagsMatch) => Some(&[][..]),
            (tags, _) => tags,
        };
        let lease = match self.disabled {
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
        let requested_floor = floor;
        let copy = match node.copies.get(&object).copied() {
            Some(copy) if copy.0 >= floor || node.ignores_max_age => copy,
            _ => {
                // The fill is added to the cache later, and may serve other requests.
                let delay = self.rng.below(300);
                node.fills.push((object, fresh_copy, now + delay));
                fresh_copy
            }
        };
        // A reply is checked by its own tags, since an older version may carry other tags than the indexed ones. A reply
        // without a tag list has unknown tags.
        let tags_in_reply = origin_tags(object, copy.1);
        let names_tags = !self.rng.one_in(4);
        let tag_hashes: Vec<u64> = tags_in_reply.iter().map(|t| tag_hash(t)).collect();
        let reply_tags = match (names_tags, self.disabled) {
            (true, _) => Some(&tag_hashes[..]),
            (false, Guard::UnknownTagsMatch) => Some(&[][..]),
            (false, Guard::ReplyTags) => front.index.tags(object),
            (false, _) => None,
        };
        let reply_tags = if self.disabled == Guard::ReplyTags {
            front.index.tags(object)
        } else {
            reply_tags
        };
        let floor = front
            .matcher
            .floor(
                0,
                &RequestAttributes {
                    object,
                    group: (object % 5) as u32,
                    tags: reply_tags,
                    key: &request_key("video", object, 0),
                },
            )
            .max(lease);
        if copy.0 < floor && self.disabled != Guard::ReplyCheck {
            self.rejected_replies += 1;
            if copy.0 < requested_floor {
                self.replication
                    .stale_copy_served(now * 1_000, at as u64 + 1);
            } else {
                // The node respected the requested age, which was computed from outdated tags.
                front.index.forget(object);
            }
            return Ok(());
        }
        self.served_replies += 1;
        if names_tags {
            front.index.record(object, Some(&tags_in_reply));
        }
        // The check uses the true tags of the copy, even if the reply does not list them.
        for purge in self.log.iter() {
            let received_at = front.received_at.get(&purge.number);
            let known = received_at.is_some_and(|t| now > t + MAX_DELAY_MS);
            let overdue = now > purge.at_ms + LEASE_MS + MAX_DELAY_MS;
            if (known || overdue)
                && copy.1 < purge.at_ms
                && is_purged_by(purge, object, &tags_in_reply)
            {
                return Err(format!(
                    "at {now}: front {i} served object {object} created at {} despite purge {} of {:?} at {} (received: {known})",
                    copy.1, purge.number, purge.target, purge.at_ms
                ));
            }
        }
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        let mut now = START_MS;
        while now < START_MS + RUN_DURATION_MS {
            let faults = now < START_MS + FAULTS_DURATION_MS;
            if faults && self.rng.one_in(40) {
                self.purge(now);
            }
            if self.rng.one_in(5) {
                self.replicate(now, faults);
            }
            if faults && self.rng.one_in(60) {
                self.inject_fault(now);
            }
            if !faults {
                self.fronts.iter_mut().for_each(|f| f.partitioned_until = 0);
                (1..=NODES).for_each(|id| self.restart(now, id));
            }
            self.deliver_batches_to_fronts(now);
            if faults || self.rng.one_in(4) {
                self.request(now)?;
            }
            now += 5;
        }
        let head = self.log.last_number();
        for status in self.replication.statuses() {
            if !self.nodes[status.id as usize - 1].ignores_max_age && status.confirmed != head {
                return Err(format!(
                    "node {} has confirmed {} of {head} purges",
                    status.id, status.confirmed
                ));
            }
        }
        let behind = self.fronts.iter().any(|f| f.log.last_number() != head);
        if behind {
            Err("a front has not received all purges by the end of the run".into())
        } else {
            Ok(())
        }
    }
}

fn find_violations(disabled: Guard, seeds: std::ops::Range<u64>) -> Vec<(u64, String)> {
    let run = |seed| {
        Simulation::new(seed, disabled)
            .run()
            .err()
            .map(|e| (seed, e))
    };
    seeds.filter_map(run).collect()
}

#[test]
fn no_front_serves_a_stale_copy() {
    let violations = find_violations(Guard::None, 0..150);
    assert!(
        violations.is_empty(),
        "{:#?}",
        &violations[..violations.len().min(3)]
    );
    let mut simulation = Simulation::new(1, Guard::None);
    simulation.run().unwrap();
    assert!(
        simulation.served_replies > 2_000 && simulation.rejected_replies > 10,
        "{} replies served, {} rejected",
        simulation.served_replies,
        simulation.rejected_replies
    );
    assert!(simulation.log.last_number() > 50);
}

#[test]
fn disabling_any_guard_causes_a_violation() {
    for disabled in [
        Guard::ReplyCheck,
        Guard::UnknownTagsMatch,
        Guard::ReplyTags,
        Guard::LeaseExpiry,
        Guard::SkewAllowance,
        Guard::NumberCheck,
    ] {
        assert!(
            !find_violations(disabled, 0..40).is_empty(),
            "no violation without {disabled:?}"
        );
    }
}

#[test]
fn reply_checks_catch_a_node_that_reports_more_purges_than_it_applied() {
    // Replies are rejected, but no stale reply is served.
    assert!(find_violations(Guard::AppliedNumberOnReconnect, 0..40).is_empty());
}

#[test]
fn batches_are_bounded_and_slow_nodes_leave_slots_for_fast_ones() {
    let mut replication = Replication::new(0, 7, 100_000.0);
    (1..=100).for_each(|id| {
        replication.add_node(id);
        replication.connected(id, report(7, 0, false), 1_000);
    });
    let (mut now, mut in_flight) = (0u64, Vec::<(u64, u64, PurgeNumber)>::new());
    let mut sent_through = BTreeMap::<u64, PurgeNumber>::new();
    while now < 60_000_000 && replication.confirmed_by_all() != Some(1_000) {
        now += 1_000;
        let completed: Vec<_> = in_flight.iter().filter(|o| o.0 <= now).copied().collect();
        in_flight.retain(|o| o.0 > now);
        for (_, id, number) in completed {
            assert!(replication.confirmed(now, id, number));
            assert!(
                !replication.confirmed(now, id, number),
                "a repeated confirmation is ignored"
            );
        }
        for batch in replication.next_batches(now, 0, 1_000) {
            assert!(batch.through - batch.after <= 256);
            assert_eq!(
                sent_through.insert(batch.node, batch.through).unwrap_or(0),
                batch.after,
                "batches are contiguous"
            );
            assert!(
                !in_flight.iter().any(|o| o.1 == batch.node),
                "only one batch is in flight to a node"
            );
            // Every fifth node takes 2 s to confirm a batch.
            let duration = if batch.node % 5 == 0 {
                2_000_000
            } else {
                20_000
            };
            in_flight.push((now + duration, batch.node, batch.through));
        }
        if now == 2_500_000 {
            let fast = (1..=100).filter(|id| id % 5 != 0);
            assert!(
                fast.clone().all(|id| replication.confirmed_by(id) == 1_000),
                "all fast nodes have confirmed"
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
    // A number reported for another log is ignored.
    replication.connected(4, report(8, 900, false), 1_000);
    assert_eq!(replication.confirmed_by(4), 0);
    replication.remove_node(3);
    replication.remove_node(4);
    assert_eq!(replication.confirmed_by_all(), Some(1_000));
}
