//! Whole clusters from one seed: messages late, lost, doubled and held up; voters cut off in one or both directions, stopped and
//! killed; disks that sync late and tear what was not synced. A voter that comes back has what its disk has.
use cranesill_quorum::storage::{self, Owner};
use cranesill_quorum::{Node, OutgoingMessage, Step};
use std::collections::{BTreeMap, BTreeSet};

/// A tick is 10 ms.
const FAULTS_END_TICK: u64 = 1_500;
const END_TICK: u64 = 2_200;

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
    applied: Vec<u64>,
    down_until: u64,
    paused_until: u64,
    /// Until when it is cut off, and whether from hearing and from being heard.
    partition: (u64, bool, bool),
}

#[derive(Debug, Default)]
struct Statistics {
    acknowledged: usize,
    leaders: usize,
    kills: usize,
    lost_disks: usize,
}

/// What breaks the order that [`Step`] gives, to show that the checks see it.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    Correct,
    /// What rests on the disk is sent before it is there.
    SendBeforeSync,
    /// A voter that has lost its disk votes again as the one it was.
    VoteAfterDiskLoss,
}

fn owner(voter: u64) -> Owner {
    Owner {
        cluster: 0xc1,
        voter,
    }
}

fn simulate(seed: u64, voters: u64, order: Order) -> Result<Statistics, String> {
    let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let ids: Vec<u64> = (1..=voters).collect();
    let start = |id: u64, disk: &[u8], rng: &mut Rng| {
        let log =
            storage::read(disk, owner(id)).map_err(|error| format!("seed {seed}: {error}"))?;
        Node::new(id, &ids, log, 12 + rng.below(12) as usize)
            .map_err(|error| format!("seed {seed}: {error}"))
    };
    let mut all_voters = Vec::new();
    for id in &ids {
        let disk = storage::encode_owner(owner(*id));
        let node = Some(start(*id, &disk, &mut rng)?);
        let (unsynced, applied) = (None, Vec::new());
        all_voters.push(Voter {
            node,
            disk,
            unsynced,
            applied,
            down_until: 0,
            paused_until: 0,
            partition: (0, false, false),
        });
    }
    let mut network: BTreeMap<(u64, u64), (u64, Vec<u8>)> = BTreeMap::new();
    // What was agreed on first, by position; commands that were told to whoever proposed them.
    let (mut log, mut acknowledged_commands): (Vec<u64>, BTreeSet<u64>) = Default::default();
    let mut proposed: BTreeMap<u64, u64> = BTreeMap::new();
    let mut lost_disks = 0;
    let (mut sequence, mut command, mut statistics, mut terms) =
        (0, 0, Statistics::default(), BTreeSet::new());
    for now in 1..END_TICK {
        let faulty = now < FAULTS_END_TICK;
        for n in 0..all_voters.len() {
            let id = ids[n];
            if faulty && rng.one_in(400) && all_voters[n].node.is_some() {
                // Killed: what was not synced is torn at any byte.
                let voter = &mut all_voters[n];
                voter.node = None;
                if let Some((bytes, _)) = voter.unsynced.take() {
                    let kept = rng.below(bytes.len() as u64 + 1) as usize;
                    voter.disk.extend(&bytes[..kept]);
                }
                voter.down_until = now + rng.below(150);
                statistics.kills += 1;
                // Its disk is gone with it: fewer than half of them in all.
                if (lost_disks + 1) * 2 < voters && rng.one_in(6) {
                    lost_disks += 1;
                    voter.disk = Vec::new();
                }
            }
            let voter = &mut all_voters[n];
            if faulty && rng.one_in(500) {
                voter.paused_until = now + rng.below(100);
            }
            if faulty && now >= voter.partition.0 && rng.one_in(400) {
                voter.partition = (now + rng.below(200), !rng.one_in(3), !rng.one_in(3));
            }
            if voter.node.is_none() && (now >= voter.down_until || !faulty) {
                if voter.disk.is_empty() && order == Order::VoteAfterDiskLoss {
                    voter.disk = storage::encode_owner(owner(id));
                }
                // One without its file stays away: the others go on without it.
                let Ok(complete_bytes) =
                    storage::read(&voter.disk, owner(id)).map(|log| log.complete_bytes)
                else {
                    continue;
                };
                voter.disk.truncate(complete_bytes);
                voter.applied.clear();
                voter.node = Some(start(id, &voter.disk, &mut rng)?);
            }
            if faulty && now < voter.paused_until {
                continue;
            }
            let Some(node) = &mut voter.node else {
                continue;
            };
            node.tick();
            while let Some(key) = network
                .range((0, 0)..=(now, u64::MAX))
                .find(|(_, (to, _))| *to == id)
                .map(|(k, _)| *k)
            {
                let (_, bytes) = network.remove(&key).expect("seen");
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
            let mut outgoing: Vec<OutgoingMessage> = Vec::new();
            let mut newly_committed = Vec::new();
            if voter.unsynced.as_ref().is_some_and(|u| now >= u.1) {
                let (bytes, _) = voter.unsynced.take().expect("seen");
                voter.disk.extend(bytes);
                if order == Order::Correct {
                    outgoing.extend(node.persisted());
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
                outgoing.extend(send);
                newly_committed.extend(committed);
                if write.is_empty() || order == Order::SendBeforeSync {
                    outgoing.extend(node.persisted());
                }
                if !write.is_empty() {
                    let sync_ticks = if rng.one_in(30) {
                        rng.below(60)
                    } else {
                        rng.below(2)
                    };
                    voter.unsynced = Some((write, now + sync_ticks));
                }
            }
            for bytes in newly_committed {
                let value = u64::from_le_bytes(
                    bytes
                        .try_into()
                        .map_err(|_| "a command of another length")?,
                );
                let position = voter.applied.len();
                voter.applied.push(value);
                match log.get(position) {
                    Some(first) if *first != value => {
                        return Err(format!(
                            "seed {seed}: voter {id} has {value} at {position}, agreed was {first}"
                        ));
                    }
                    Some(_) => {}
                    None => log.push(value),
                }
                if proposed.get(&value) == Some(&id) {
                    acknowledged_commands.insert(value);
                }
            }
            let partition = voter.partition;
            for OutgoingMessage { to, bytes } in outgoing {
                let recipient_partition = all_voters[to as usize - 1].partition;
                let lost = now < partition.0 && partition.1
                    || now < recipient_partition.0 && recipient_partition.2
                    || rng.one_in(15);
                if faulty && lost {
                    continue;
                }
                for _ in 0..if faulty && rng.one_in(25) { 2 } else { 1 } {
                    let delay_ticks = if faulty && rng.one_in(60) {
                        rng.below(400)
                    } else {
                        rng.below(4)
                    };
                    sequence += 1;
                    network.insert((now + 1 + delay_ticks, sequence), (to, bytes.clone()));
                }
            }
        }
    }
    let missing: Vec<_> = acknowledged_commands
        .iter()
        .filter(|value| !log.contains(value))
        .collect();
    if !missing.is_empty() {
        return Err(format!(
            "seed {seed}: {missing:?} were acknowledged and are not there"
        ));
    }
    for (id, voter) in ids
        .iter()
        .zip(&all_voters)
        .filter(|(_, voter)| voter.node.is_some())
    {
        if voter.applied.len() + 40 < log.len() {
            return Err(format!(
                "seed {seed}: voter {id} is at {} of {}",
                voter.applied.len(),
                log.len()
            ));
        }
        if acknowledged_commands
            .iter()
            .any(|value| !voter.applied.contains(value) && *value + 40 < command)
        {
            return Err(format!(
                "seed {seed}: voter {id} has lost what was acknowledged"
            ));
        }
    }
    let last_acknowledged = acknowledged_commands
        .iter()
        .next_back()
        .copied()
        .unwrap_or(0);
    if last_acknowledged + 60 < command || acknowledged_commands.len() < 50 {
        return Err(format!(
            "seed {seed}: {} of {command} agreed on, the last {last_acknowledged}",
            acknowledged_commands.len()
        ));
    }
    statistics.lost_disks = lost_disks as usize;
    statistics.acknowledged = acknowledged_commands.len();
    statistics.leaders = terms
        .iter()
        .map(|(id, _)| id)
        .collect::<BTreeSet<_>>()
        .len();
    Ok(statistics)
}

#[test]
fn voters_agree_and_no_acknowledged_command_is_lost() {
    let (mut acknowledged, mut kills, mut leaders, mut lost_disks) = (0, 0, 0, 0);
    for seed in 0..120 {
        let statistics = simulate(seed, [3, 5][seed as usize % 2], Order::Correct).unwrap();
        (acknowledged, kills, leaders) = (
            acknowledged + statistics.acknowledged,
            kills + statistics.kills,
            leaders + statistics.leaders,
        );
        lost_disks += statistics.lost_disks;
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
fn sending_messages_before_the_sync_causes_a_violation() {
    let broken = (0..20).filter(|seed| {
        std::panic::catch_unwind(|| simulate(*seed, 3, Order::SendBeforeSync))
            .map_or(true, |result| result.is_err())
    });
    assert!(broken.count() >= 1);
}

#[test]
fn voting_again_after_losing_the_disk_causes_a_violation() {
    let broken = (0..120).filter(|seed| {
        let run = || simulate(*seed, 3, Order::VoteAfterDiskLoss);
        std::panic::catch_unwind(run).map_or(true, |result| result.is_err())
    });
    assert!(broken.count() >= 1);
}
