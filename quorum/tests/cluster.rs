//! Whole clusters from one seed: messages late, lost, doubled and held up; voters cut off in one or both directions, stopped and
//! killed; disks that sync late and tear what was not synced. A voter that comes back has what its disk has.
use cranesill_quorum::storage::{self, Owner};
use cranesill_quorum::{Node, OutgoingMessage, Step};
use std::collections::{BTreeMap, BTreeSet};

/// A tick is 10 ms.
const FAULTS: u64 = 1_500;
const END: u64 = 2_200;

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

struct Voter {
    node: Option<Node>,
    /// What is synced, and what is written and is not: since when it will be.
    disk: Vec<u8>,
    unsynced: Option<(Vec<u8>, u64)>,
    /// Commands that came out since its start: all that was agreed on, from the first.
    agreed: Vec<u64>,
    down_until: u64,
    stopped_until: u64,
    /// Until when it is cut off, and whether from hearing and from being heard.
    cut: (u64, bool, bool),
}

#[derive(Debug, Default)]
struct Found {
    acknowledged: usize,
    leaders: usize,
    kills: usize,
    lost_disks: usize,
}

/// What breaks the order that [`Step`] gives, to show that the checks see it.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    Kept,
    /// What rests on the disk is sent before it is there.
    SentFirst,
    /// A voter that has lost its disk votes again as the one it was.
    EmptyVotes,
}

fn owner(voter: u64) -> Owner {
    Owner {
        cluster: 0xc1,
        voter,
    }
}

fn play(seed: u64, voters: u64, order: Order) -> Result<Found, String> {
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let ids: Vec<u64> = (1..=voters).collect();
    let start = |id: u64, disk: &[u8], rng: &mut Rng| {
        let log =
            storage::read(disk, owner(id)).map_err(|error| format!("seed {seed}: {error}"))?;
        Node::new(id, &ids, log, 12 + rng.below(12) as usize)
            .map_err(|error| format!("seed {seed}: {error}"))
    };
    let mut all = Vec::new();
    for id in &ids {
        let disk = storage::header(owner(*id));
        let node = Some(start(*id, &disk, &mut rng)?);
        let (unsynced, agreed) = (None, Vec::new());
        all.push(Voter {
            node,
            disk,
            unsynced,
            agreed,
            down_until: 0,
            stopped_until: 0,
            cut: (0, false, false),
        });
    }
    let mut way: BTreeMap<(u64, u64), (u64, Vec<u8>)> = BTreeMap::new();
    // What was agreed on first, by place; commands that were told to whoever proposed them.
    let (mut log, mut told): (Vec<u64>, BTreeSet<u64>) = Default::default();
    let mut proposed: BTreeMap<u64, u64> = BTreeMap::new();
    let mut lost_disks = 0;
    let (mut seq, mut command, mut found, mut terms) = (0, 0, Found::default(), BTreeSet::new());
    for now in 1..END {
        let faulty = now < FAULTS;
        for n in 0..all.len() {
            let id = ids[n];
            if faulty && rng.one_in(400) && all[n].node.is_some() {
                // Killed: what was not synced is torn at any byte.
                let voter = &mut all[n];
                voter.node = None;
                if let Some((bytes, _)) = voter.unsynced.take() {
                    let kept = rng.below(bytes.len() as u64 + 1) as usize;
                    voter.disk.extend(&bytes[..kept]);
                }
                voter.down_until = now + rng.below(150);
                found.kills += 1;
                // Its disk is gone with it: fewer than half of them in all.
                if (lost_disks + 1) * 2 < voters && rng.one_in(6) {
                    lost_disks += 1;
                    voter.disk = Vec::new();
                }
            }
            let voter = &mut all[n];
            if faulty && rng.one_in(500) {
                voter.stopped_until = now + rng.below(100);
            }
            if faulty && now >= voter.cut.0 && rng.one_in(400) {
                voter.cut = (now + rng.below(200), !rng.one_in(3), !rng.one_in(3));
            }
            if voter.node.is_none() && (now >= voter.down_until || !faulty) {
                if voter.disk.is_empty() && order == Order::EmptyVotes {
                    voter.disk = storage::header(owner(id));
                }
                // One without its file stays away: the others go on without it.
                let Ok(whole) = storage::read(&voter.disk, owner(id)).map(|log| log.complete_bytes)
                else {
                    continue;
                };
                voter.disk.truncate(whole);
                voter.agreed.clear();
                voter.node = Some(start(id, &voter.disk, &mut rng)?);
            }
            if faulty && now < voter.stopped_until {
                continue;
            }
            let Some(node) = &mut voter.node else {
                continue;
            };
            node.tick();
            while let Some(key) = way
                .range((0, 0)..=(now, u64::MAX))
                .find(|(_, (to, _))| *to == id)
                .map(|(k, _)| *k)
            {
                let (_, bytes) = way.remove(&key).expect("seen");
                // An answer from before a restart is none of this node's.
                let _ = node.receive(&bytes);
            }
            if node.is_leader() {
                terms.insert((id, now / 50));
                if rng.one_in(4) {
                    command += 1;
                    if node.propose(&u64::to_le_bytes(command)).is_ok() {
                        proposed.insert(command, id);
                    }
                }
            }
            let mut out: Vec<OutgoingMessage> = Vec::new();
            let mut agreed = Vec::new();
            if voter.unsynced.as_ref().is_some_and(|u| now >= u.1) {
                let (bytes, _) = voter.unsynced.take().expect("seen");
                voter.disk.extend(bytes);
                if order == Order::Kept {
                    out.extend(node.persisted());
                }
            }
            while voter.unsynced.is_none() {
                let Some(Step {
                    send,
                    write,
                    committed,
                }) = node.step()
                else {
                    break;
                };
                out.extend(send);
                agreed.extend(committed);
                if write.is_empty() || order == Order::SentFirst {
                    out.extend(node.persisted());
                }
                if !write.is_empty() {
                    let takes = if rng.one_in(30) {
                        rng.below(60)
                    } else {
                        rng.below(2)
                    };
                    voter.unsynced = Some((write, now + takes));
                }
            }
            for bytes in agreed {
                let value = u64::from_le_bytes(
                    bytes
                        .try_into()
                        .map_err(|_| "a command of another length")?,
                );
                let place = voter.agreed.len();
                voter.agreed.push(value);
                match log.get(place) {
                    Some(first) if *first != value => {
                        return Err(format!(
                            "seed {seed}: voter {id} has {value} at {place}, agreed was {first}"
                        ));
                    }
                    Some(_) => {}
                    None => log.push(value),
                }
                if proposed.get(&value) == Some(&id) {
                    told.insert(value);
                }
            }
            let cut = voter.cut;
            for OutgoingMessage { to, bytes } in out {
                let far = all[to as usize - 1].cut;
                let lost = now < cut.0 && cut.1 || now < far.0 && far.2 || rng.one_in(15);
                if faulty && lost {
                    continue;
                }
                for _ in 0..if faulty && rng.one_in(25) { 2 } else { 1 } {
                    let held = if faulty && rng.one_in(60) {
                        rng.below(400)
                    } else {
                        rng.below(4)
                    };
                    seq += 1;
                    way.insert((now + 1 + held, seq), (to, bytes.clone()));
                }
            }
        }
    }
    let missing: Vec<_> = told.iter().filter(|value| !log.contains(value)).collect();
    if !missing.is_empty() {
        return Err(format!(
            "seed {seed}: {missing:?} were acknowledged and are not there"
        ));
    }
    for (id, voter) in ids
        .iter()
        .zip(&all)
        .filter(|(_, voter)| voter.node.is_some())
    {
        if voter.agreed.len() + 40 < log.len() {
            return Err(format!(
                "seed {seed}: voter {id} is at {} of {}",
                voter.agreed.len(),
                log.len()
            ));
        }
        if told
            .iter()
            .any(|value| !voter.agreed.contains(value) && *value + 40 < command)
        {
            return Err(format!(
                "seed {seed}: voter {id} has lost what was acknowledged"
            ));
        }
    }
    let last = told.iter().next_back().copied().unwrap_or(0);
    if last + 60 < command || told.len() < 50 {
        return Err(format!(
            "seed {seed}: {} of {command} agreed on, the last {last}",
            told.len()
        ));
    }
    found.lost_disks = lost_disks as usize;
    found.acknowledged = told.len();
    found.leaders = terms
        .iter()
        .map(|(id, _)| id)
        .collect::<BTreeSet<_>>()
        .len();
    Ok(found)
}

#[test]
fn nothing_acknowledged_is_lost_and_all_agree_whatever_fails() {
    let (mut acknowledged, mut kills, mut leaders, mut lost_disks) = (0, 0, 0, 0);
    for seed in 0..120 {
        let found = play(seed, [3, 5][seed as usize % 2], Order::Kept).unwrap();
        (acknowledged, kills, leaders) = (
            acknowledged + found.acknowledged,
            kills + found.kills,
            leaders + found.leaders,
        );
        lost_disks += found.lost_disks;
    }
    println!(
        "{acknowledged} acknowledged, {kills} kills, {leaders} leaders, {lost_disks} disks lost"
    );
    assert!(lost_disks > 50, "{lost_disks}");
    assert!(
        acknowledged > 20_000 && kills > 500 && leaders > 240,
        "{acknowledged} {kills} {leaders}"
    );
}

#[test]
fn what_is_sent_before_it_is_on_disk_is_found_to_lose_or_to_split() {
    let broken = (0..20).filter(|seed| {
        std::panic::catch_unwind(|| play(*seed, 3, Order::SentFirst))
            .map_or(true, |found| found.is_err())
    });
    assert!(broken.count() >= 1);
}

#[test]
fn a_voter_that_votes_again_with_an_empty_disk_is_found_to_lose_what_was_acknowledged() {
    let broken = (0..120).filter(|seed| {
        let play = || play(*seed, 3, Order::EmptyVotes);
        std::panic::catch_unwind(play).map_or(true, |found| found.is_err())
    });
    assert!(broken.count() >= 1);
}
