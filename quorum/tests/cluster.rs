//! Simulates clusters with random faults from a seed: delayed, lost and duplicated messages, network partitions, suspended and
//! killed voters, slow syncs, torn writes and lost disks. Guards against diverging logs and the loss of acknowledged commands.
use cranesill_quorum::storage::{self, Owner};
use cranesill_quorum::{Node, OutgoingMessage, Step};
use std::collections::{BTreeMap, BTreeSet};

/// Tick after which no faults are injected.
const FAULTS_END_TICK: u64 = 1_500;
/// Tick at which a run ends.
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
    /// The synced contents of the file.
    disk: Vec<u8>,
    /// Appended bytes that are not synced, and the tick at which their sync completes.
    unsynced: Option<(Vec<u8>, u64)>,
    /// Commands committed since the start of the voter, which delivers all of them from the first one.
    applied: Vec<u64>,
    down_until: u64,
    paused_until: u64,
    /// Tick at which the network partition ends, and whether it affects sent and received messages.
    partition: (u64, bool, bool),
}

#[derive(Debug, Default)]
struct Statistics {
    acknowledged: usize,
    leaders: usize,
    kills: usize,
    lost_disks: usize,
}

/// Whether a run follows the order documented for [`Step`], or violates it to verify that the checks detect that.
#[derive(Clone, Copy, PartialEq)]
enum Order {
    Correct,
    /// Messages that depend on the durability of records are sent before the sync.
    SendBeforeSync,
    /// A voter that has lost its disk rejoins under its old identity.
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
    // The log as committed first on any voter, and the commands acknowledged to their proposers.
    let (mut log, mut acknowledged_commands): (Vec<u64>, BTreeSet<u64>) = Default::default();
    let mut proposed: BTreeMap<u64, u64> = BTreeMap::new();
    let mut lost_disks = 0;
    let (mut sequence, mut command, mut statistics, mut terms) =
        (0, 0, Statistics::default(), BTreeSet::new());
    for now in 1..END_TICK {
        let faults_active = now < FAULTS_END_TICK;
        for n in 0..all_voters.len() {
            let id = ids[n];
            if faults_active && rng.one_in(400) && all_voters[n].node.is_some() {
                // The voter is killed, and unsynced data is truncated at a random byte.
                let voter = &mut all_voters[n];
                voter.node = None;
                if let Some((bytes, _)) = voter.unsynced.take() {
                    let kept = rng.below(bytes.len() as u64 + 1) as usize;
                    voter.disk.extend(&bytes[..kept]);
                }
                voter.down_until = now + rng.below(150);
                statistics.kills += 1;
                // The disk may be lost as well, but only those of a minority of the voters.
                if (lost_disks + 1) * 2 < voters && rng.one_in(6) {
                    lost_disks += 1;
                    voter.disk = Vec::new();
                }
            }
            let voter = &mut all_voters[n];
            if faults_active && rng.one_in(500) {
                voter.paused_until = now + rng.below(100);
            }
            if faults_active && now >= voter.partition.0 && rng.one_in(400) {
                voter.partition = (now + rng.below(200), !rng.one_in(3), !rng.one_in(3));
            }
            if voter.node.is_none() && (now >= voter.down_until || !faults_active) {
                if voter.disk.is_empty() && order == Order::VoteAfterDiskLoss {
                    voter.disk = storage::encode_owner(owner(id));
                }
                // A voter without a valid file does not rejoin.
                let Ok(complete_bytes) =
                    storage::read(&voter.disk, owner(id)).map(|log| log.complete_bytes)
                else {
                    continue;
                };
                voter.disk.truncate(complete_bytes);
                voter.applied.clear();
                voter.node = Some(start(id, &voter.disk, &mut rng)?);
            }
            if faults_active && now < voter.paused_until {
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
                let (_, bytes) = network.remove(&key).expect("the key was found above");
                // A response to a message sent before a restart may be rejected.
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
                let (bytes, _) = voter.unsynced.take().expect("unsynced was checked above");
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
                        .map_err(|_| "a committed command is not 8 bytes long")?,
                );
                let position = voter.applied.len();
                voter.applied.push(value);
                match log.get(position) {
                    Some(first) if *first != value => {
                        return Err(format!(
                            "seed {seed}: voter {id} committed {value} at {position}, but another voter committed {first}"
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
                if faults_active && lost {
                    continue;
                }
                for _ in 0..if faults_active && rng.one_in(25) {
                    2
                } else {
                    1
                } {
                    let delay_ticks = if faults_active && rng.one_in(60) {
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
            "seed {seed}: acknowledged commands {missing:?} are not in the log"
        ));
    }
    for (id, voter) in ids
        .iter()
        .zip(&all_voters)
        .filter(|(_, voter)| voter.node.is_some())
    {
        if voter.applied.len() + 40 < log.len() {
            return Err(format!(
                "seed {seed}: voter {id} has only {} of {} commands",
                voter.applied.len(),
                log.len()
            ));
        }
        if acknowledged_commands
            .iter()
            .any(|value| !voter.applied.contains(value) && *value + 40 < command)
        {
            return Err(format!(
                "seed {seed}: voter {id} has lost an acknowledged command"
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
            "seed {seed}: {} of {command} commands acknowledged, the last one is {last_acknowledged}",
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
        "{acknowledged} commands acknowledged, {kills} kills, {leaders} leaders, {lost_disks} lost disks"
    );
    assert!(lost_disks > 50, "only {lost_disks} lost disks");
    assert!(
        acknowledged > 20_000 && kills > 500 && leaders > 240,
        "{acknowledged} commands acknowledged, {kills} kills, {leaders} leaders"
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
