//! Simulates a fleet with leader changes, clock drift, lost, duplicated and delayed messages, and suspended and killed
//! fronts. Guards against concurrent operations under a lease, decreasing tokens, and leases that stay without a holder.
use cranesill_leases::{
    Action, Command, FencingCheck, FencingToken, LeaseHolder, LeaseId, LeaseManager, LeaseTable,
    Outcome, Timestamp,
};
use std::collections::BTreeMap;

const MS: Timestamp = 1_000;
const SECOND: Timestamp = 1_000_000;
const STEP: Timestamp = 5 * MS;
const LEASE_DURATION: Timestamp = 3 * SECOND;
const FRONTS: u32 = 6;
const LEASES: LeaseId = 4;
const REPLICAS: usize = 3;
/// End of the random faults. The remaining time is for the recovery.
const FAULTS_END: Timestamp = 40 * SECOND;
const RUN_END: Timestamp = 60 * SECOND;
/// Time after the faults within which each lease must be held again: the rest of an abandoned grant, another lease duration
/// after a leader change, and the delay until the next request.
const MAX_RECOVERY: Timestamp = 2 * LEASE_DURATION + LEASE_DURATION;

struct Rng(u64);

impl Rng {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit
    }

    fn one_in(&mut self, chance: u64) -> bool {
        self.below(chance) == 0
    }
}

/// A clock with an offset from true time that runs fast or slow.
#[derive(Clone, Copy)]
struct Clock {
    offset: Timestamp,
    /// Relative drift, in ten-thousandths.
    drift: i64,
}

impl Clock {
    fn new(rng: &mut Rng, max_drift: u64) -> Self {
        let drift = rng.below(2 * max_drift + 1) as i64 - max_drift as i64;
        Clock {
            offset: rng.below(1_000 * SECOND) + 100 * SECOND,
            drift,
        }
    }

    fn read(&self, now: Timestamp) -> Timestamp {
        self.offset + (now as i64 + now as i64 * self.drift / 10_000) as Timestamp
    }

    fn true_time(&self, reading: Timestamp) -> Timestamp {
        ((reading - self.offset) as f64 / (1.0 + self.drift as f64 / 1e4)) as Timestamp
    }
}

/// A network partition between a front and the log. The resource stays reachable.
#[derive(Clone, Copy, Default)]
struct Partition {
    until: Timestamp,
    loses_proposals: bool,
    loses_outcomes: bool,
}

/// Messages in order of their arrival time, with a unique number for messages that arrive at the same time.
type Queue<T> = BTreeMap<(Timestamp, u64), T>;

fn pop_arrived<T>(queue: &mut Queue<T>, now: Timestamp) -> Option<T> {
    let (&(arrives_at, _), _) = queue.first_key_value()?;
    if arrives_at > now {
        return None;
    }
    queue.pop_first().map(|(_, message)| message)
}

struct SimulatedFront {
    number: u32,
    holder: LeaseHolder,
    clock: Clock,
    stopped_until: Option<Timestamp>,
    partition: Partition,
    inbox: Queue<Outcome>,
    /// The initial sequence number of the current incarnation.
    sequence: u64,
}

/// An operation at the resource.
#[derive(Debug, Clone, Copy)]
struct Operation {
    lease: LeaseId,
    front: u32,
    token: FencingToken,
    started_at: Timestamp,
    ended_at: Timestamp,
    /// Whether the front was suspended between the authorization and the operation.
    delayed: bool,
}

/// An operation of a suspended front, which reaches the resource when the front resumes.
struct DelayedOperation {
    resumes_at: Timestamp,
    operation: Operation,
}

struct SimulatedManager {
    manager: LeaseManager,
    clock: Clock,
}

/// The results of a run.
#[derive(Default)]
struct Observations {
    operations: Vec<Operation>,
    rejected: u64,
    handovers: u64,
}

struct Simulation {
    seed: u64,
    rng: Rng,
    now: Timestamp,
    fronts: Vec<SimulatedFront>,
    managers: Vec<SimulatedManager>,
    table: LeaseTable,
    checks: Vec<FencingCheck>,
    /// Proposals in flight to the leader.
    proposals: Queue<Command>,
    /// Commands accepted by the leader and not committed yet.
    uncommitted: Queue<Command>,
    leader: Option<usize>,
    next_leader_change: Timestamp,
    last_message: u64,
    delayed: Vec<DelayedOperation>,
    observations: Observations,
}

/// Returns the leases that a front competes for, starting with its preferred one.
fn wanted(front: u32, now: Timestamp) -> Vec<(LeaseId, Timestamp)> {
    let rank = |lease: LeaseId| u64::from((front + u32::from(lease)) % FRONTS);
    (0..LEASES)
        .map(|lease| (lease, now + rank(lease) * 50 * MS))
        .collect()
}

impl Simulation {
    /// Creates a fleet whose clocks drift by at most `max_drift` ten-thousandths.
    fn new(seed: u64, max_drift: u64) -> Self {
        let mut rng = Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        let front = |number| {
            let clock = Clock::new(&mut rng, max_drift);
            SimulatedFront {
                number,
                holder: LeaseHolder::new(number, LEASE_DURATION, 0, wanted(number, clock.read(0))),
                clock,
                stopped_until: None,
                partition: Partition::default(),
                inbox: Queue::new(),
                sequence: 0,
            }
        };
        let fronts = (0..FRONTS).map(front).collect();
        let manager = |_| SimulatedManager {
            manager: LeaseManager::new(LEASE_DURATION),
            clock: Clock::new(&mut rng, max_drift),
        };
        let mut managers: Vec<_> = (0..REPLICAS).map(manager).collect();
        managers[0].manager.set_leader(true);
        Simulation {
            seed,
            rng,
            now: 0,
            fronts,
            managers,
            table: LeaseTable::new(LEASES.into()),
            checks: vec![FencingCheck::default(); LEASES.into()],
            proposals: Queue::new(),
            uncommitted: Queue::new(),
            leader: Some(0),
            next_leader_change: 5 * SECOND,
            last_message: 0,
            delayed: Vec::new(),
            observations: Observations::default(),
        }
    }

    fn run(mut self) -> Observations {
        while self.now < RUN_END {
            self.now += STEP;
            self.change_leader();
            self.accept_proposals();
            self.commit();
            self.expire_leases();
            for front in 0..self.fronts.len() {
                self.step_front(front);
            }
            self.deliver_delayed_operations();
        }
        self.observations
    }

    fn faults_active(&self) -> bool {
        self.now < FAULTS_END
    }

    fn next_message(&mut self) -> u64 {
        self.last_message += 1;
        self.last_message
    }

    /// Removes the leader at random times, and elects another one after a delay.
    fn change_leader(&mut self) {
        if self.now >= self.next_leader_change || !self.faults_active() && self.leader.is_none() {
            match self.leader.take() {
                Some(leader) => self.lose_leader(leader),
                None => self.elect_leader(),
            }
        }
        if !self.faults_active() && self.leader.is_some() {
            self.next_leader_change = Timestamp::MAX;
        }
    }

    fn lose_leader(&mut self, leader: usize) {
        self.managers[leader].manager.set_leader(false);
        self.next_leader_change = self.now + self.rng.below(2 * SECOND);
        // Uncommitted commands are lost with their leader.
        self.uncommitted.clear();
    }

    fn elect_leader(&mut self) {
        let leader = self.rng.below(REPLICAS as u64) as usize;
        self.leader = Some(leader);
        self.managers[leader].manager.set_leader(true);
        self.next_leader_change = match self.faults_active() {
            true => self.now + SECOND + self.rng.below(12 * SECOND),
            false => Timestamp::MAX,
        };
    }

    /// Moves arrived proposals to the leader's log. They are lost if there is no leader.
    fn accept_proposals(&mut self) {
        while let Some(command) = pop_arrived(&mut self.proposals, self.now) {
            if self.leader.is_none() {
                continue;
            }
            let message = self.next_message();
            let previous = self
                .uncommitted
                .last_key_value()
                .map_or(0, |(&(commits_at, _), _)| commits_at);
            let commits_at = previous.max(self.now + MS + self.rng.below(30 * MS));
            self.uncommitted.insert((commits_at, message), command);
        }
    }

    fn commit(&mut self) {
        while let Some(command) = pop_arrived(&mut self.uncommitted, self.now) {
            let token = |table: &LeaseTable, lease| table.grant_of(lease).map(|grant| grant.token);
            let before: Vec<_> = (0..LEASES).map(|lease| token(&self.table, lease)).collect();
            let Some(outcome) = self.table.apply(command) else {
                continue;
            };
            let granted = (0..LEASES)
                .filter(|lease| token(&self.table, *lease) > before[usize::from(*lease)]);
            self.observations.handovers += granted.count() as u64;
            self.broadcast(outcome);
        }
    }

    fn broadcast(&mut self, outcome: Outcome) {
        for front in 0..self.fronts.len() {
            let partition = self.fronts[front].partition;
            let loses_message = self.now < partition.until && partition.loses_outcomes;
            if self.faults_active() && (self.rng.one_in(12) || loses_message) {
                continue;
            }
            let message = self.next_message();
            let arrives_at = self.now + MS + self.rng.below(40 * MS);
            self.fronts[front]
                .inbox
                .insert((arrives_at, message), outcome);
        }
    }

    fn expire_leases(&mut self) {
        let Some(leader) = self.leader else { return };
        let SimulatedManager { manager, clock } = &mut self.managers[leader];
        for command in manager.poll(clock.read(self.now), &self.table) {
            let message = self.next_message();
            self.proposals.insert((self.now, message), command);
        }
    }

    fn step_front(&mut self, front: usize) {
        if self.is_stopped(front) {
            return;
        }
        self.start_partition(front);
        let local_now = self.fronts[front].clock.read(self.now);
        if self.faults_active() && self.rng.one_in(6_000) {
            self.restart(front, local_now);
        }
        let actions = self.poll_holder(front, local_now);
        for action in actions {
            if let Action::Propose(command) = action {
                self.propose(front, command);
            }
        }
        for lease in 0..LEASES {
            if self.rng.one_in(20) {
                self.operate(front, local_now, lease);
            }
        }
    }

    fn is_stopped(&mut self, front: usize) -> bool {
        let faults_active = self.faults_active();
        let state = &mut self.fronts[front];
        if faults_active && state.stopped_until.is_none() && self.rng.one_in(2_500) {
            state.stopped_until = Some(self.now + self.rng.below(3 * LEASE_DURATION));
        }
        if state
            .stopped_until
            .is_some_and(|until| self.now < until && faults_active)
        {
            return true;
        }
        state.stopped_until = None;
        false
    }

    fn start_partition(&mut self, front: usize) {
        let reachable = self.now >= self.fronts[front].partition.until;
        if self.faults_active() && reachable && self.rng.one_in(1_500) {
            self.fronts[front].partition = Partition {
                until: self.now + self.rng.below(3 * LEASE_DURATION),
                loses_proposals: !self.rng.one_in(3),
                loses_outcomes: !self.rng.one_in(3),
            };
        }
    }

    /// Restarts a killed front, which holds no lease and uses higher sequence numbers than before.
    fn restart(&mut self, front: usize, local_now: Timestamp) {
        let state = &mut self.fronts[front];
        state.sequence += 1_000_000;
        state.holder = LeaseHolder::new(
            state.number,
            LEASE_DURATION,
            state.sequence,
            wanted(state.number, local_now),
        );
        state.inbox.clear();
    }

    fn poll_holder(&mut self, front: usize, local_now: Timestamp) -> Vec<Action> {
        let faults_active = self.faults_active();
        let state = &mut self.fronts[front];
        let mut actions = Vec::new();
        while let Some(outcome) = pop_arrived(&mut state.inbox, self.now) {
            actions.extend(state.holder.apply(local_now, outcome));
        }
        actions.extend(state.holder.poll(local_now));
        if faults_active && self.rng.one_in(4_000) {
            let lease = self.rng.below(LEASES.into()) as LeaseId;
            actions.extend(state.holder.record_failure(local_now, lease));
        }
        actions
    }

    /// Sends a proposal, which may be lost, duplicated or delayed.
    fn propose(&mut self, front: usize, command: Command) {
        let partition = self.fronts[front].partition;
        if self.faults_active() && self.now < partition.until && partition.loses_proposals {
            return;
        }
        let copies = match self.faults_active() {
            true => [1, 1, 1, 1, 1, 1, 1, 0, 1, 2][self.rng.below(10) as usize],
            false => 1,
        };
        for _ in 0..copies {
            let delay = if self.faults_active() && self.rng.one_in(100) {
                self.rng.below(20 * SECOND)
            } else {
                0
            };
            let message = self.next_message();
            let arrives_at = self.now + MS + self.rng.below(40 * MS) + delay;
            self.proposals.insert((arrives_at, message), command);
        }
    }

    /// Starts an operation under a lease if it is authorized. Some fronts are suspended after the authorization.
    fn operate(&mut self, front: usize, local_now: Timestamp, lease: LeaseId) {
        let duration = 10 * MS + self.rng.below(400 * MS);
        let state = &mut self.fronts[front];
        let Ok(token) = state
            .holder
            .authorize(local_now, lease, local_now + duration)
        else {
            return;
        };
        state.holder.record_success(lease);
        let operation = Operation {
            lease,
            front: state.number,
            token,
            started_at: self.now,
            ended_at: state.clock.true_time(local_now + duration),
            delayed: false,
        };
        if self.now < FAULTS_END && self.rng.one_in(200) {
            let resumes_at = self.now + self.rng.below(2 * LEASE_DURATION);
            state.stopped_until = Some(resumes_at);
            let ended_at = resumes_at + duration;
            let operation = Operation {
                started_at: resumes_at,
                ended_at,
                delayed: true,
                ..operation
            };
            self.delayed.push(DelayedOperation {
                resumes_at,
                operation,
            });
        } else if self.checks[usize::from(lease)].admit(token).is_ok() {
            self.observations.operations.push(operation);
        } else {
            panic!(
                "seed {}: an operation within its lease was rejected: {operation:?}",
                self.seed
            );
        }
    }

    fn deliver_delayed_operations(&mut self) {
        let now = self.now;
        let delayed = std::mem::take(&mut self.delayed);
        let (due, later): (Vec<_>, Vec<_>) = delayed
            .into_iter()
            .partition(|delayed| delayed.resumes_at <= now);
        self.delayed = later;
        for DelayedOperation { operation, .. } in due {
            match self.checks[usize::from(operation.lease)].admit(operation.token) {
                Ok(()) => self.observations.operations.push(operation),
                Err(_) => self.observations.rejected += 1,
            }
        }
    }
}

/// Checks the invariants of all leases after a run.
fn check(seed: u64, observations: &Observations) -> Result<(), String> {
    for lease in 0..LEASES {
        let in_lease = observations
            .operations
            .iter()
            .filter(|operation| operation.lease == lease);
        let operations: Vec<_> = in_lease.collect();
        check_tokens(seed, &operations)?;
        check_overlaps(seed, &operations)?;
        check_recovery(seed, lease, &operations)?;
    }
    Ok(())
}

fn check_tokens(seed: u64, operations: &[&Operation]) -> Result<(), String> {
    let mut highest = 0;
    for operation in operations {
        if operation.token < highest {
            return Err(format!(
                "seed {seed}: the token decreased to {operation:?} after {highest}"
            ));
        }
        highest = operation.token;
    }
    Ok(())
}

/// Checks that operations that were not delayed never overlap with those of another front.
fn check_overlaps(seed: u64, operations: &[&Operation]) -> Result<(), String> {
    let in_time: Vec<_> = operations
        .iter()
        .filter(|operation| !operation.delayed)
        .collect();
    for pair in in_time.windows(2) {
        if pair[0].front != pair[1].front && pair[1].started_at < pair[0].ended_at {
            return Err(format!(
                "seed {seed}: concurrent operations of two fronts: {pair:?}"
            ));
        }
    }
    Ok(())
}

fn check_recovery(seed: u64, lease: LeaseId, operations: &[&Operation]) -> Result<(), String> {
    let recovery = FAULTS_END..FAULTS_END + MAX_RECOVERY;
    let recovered = operations
        .iter()
        .any(|operation| recovery.contains(&operation.started_at));
    let held_at_end = operations
        .iter()
        .any(|operation| operation.started_at > RUN_END - SECOND);
    if !recovered || !held_at_end {
        return Err(format!(
            "seed {seed}: lease {lease} is not held after the faults"
        ));
    }
    Ok(())
}

#[test]
fn at_most_one_front_acts_under_a_lease_and_every_lease_recovers_from_faults() {
    let (mut handovers, mut rejected, mut operations) = (0, 0, 0);
    for seed in 0..200 {
        // Two clocks drift apart by at most 98 ten-thousandths, which is within the bound.
        let observations = Simulation::new(seed, 49).run();
        check(seed, &observations).unwrap();
        handovers += observations.handovers;
        rejected += observations.rejected;
        operations += observations.operations.len();
    }
    println!(
        "{handovers} handovers, {operations} operations, {rejected} rejected by the fencing check"
    );
    assert!(
        handovers > 2_000 && rejected > 20 && operations > 100_000,
        "{handovers} handovers, {operations} operations, {rejected} rejected"
    );
}

#[test]
fn clock_drift_beyond_the_bound_is_detected_as_a_violation() {
    // With drift far beyond the bound, mutual exclusion fails, and the checks must detect it.
    let broken = (0..60).filter(|seed| {
        let run = std::panic::catch_unwind(|| Simulation::new(*seed, 900).run());
        run.map_or(true, |observations| check(*seed, &observations).is_err())
    });
    assert!(broken.count() > 0);
}
