//! Soak runs from a seed: random faults, signals in series, graceful shutdowns under load, and in some runs a crowd of clients.
//!
//! Steps run one after another. Each waits for a number of responses rather than for a time, except where the platform's protocol
//! states a time: SIGKILL follows SIGTERM as early as it allows.
use crate::cluster::{ClusterSize, TestCluster};
use crate::faults::{Fault, Rng, Script};
use crate::history::Observation;
use crate::socket_faults::{SocketFaults, SystemCall};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time after SIGTERM for which new connections arrive.
const NEW_CONNECTIONS: Duration = Duration::from_millis(400);
/// Earliest time of SIGKILL after SIGTERM: the longest counted deadline of a class and 0.7 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Idle connections of a crowd, more than a front accepts.
const CROWD_CONNECTIONS: usize = 400;
/// Limit on descriptors of a front in a run with a crowd.
pub(crate) const CROWD_DESCRIPTORS: u64 = 256;
/// New connections opened and closed beside the crowd.
const FLOOD_CONNECTIONS: usize = 600;
/// Time for which the idle connections of a crowd stay open.
const CROWD_DURATION: Duration = Duration::from_millis(1_500);
/// Faults of a run that are not specific to soak runs.
const COMMON_FAULTS: usize = 8;
/// Steps that are specific to soak runs.
const SPECIFIC_STEPS: usize = 8;

/// Event around the SIGTERM of a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Termination {
    /// SIGTERM alone.
    Once,
    /// A second SIGTERM after this duration.
    Twice(Duration),
    /// SIGHUP several times immediately before and after SIGTERM, so that a reload is in progress.
    DuringReload,
    /// SIGSTOP after SIGTERM, and SIGCONT after this duration.
    Paused(Duration),
}

/// Step of a soak run.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakStep {
    /// A fault or recovery of the test cluster.
    Common(Fault),
    /// SIGHUP this many times in a row; the file is invalid for some of them if `spoiled`.
    Reload {
        /// Number of the front.
        front: usize,
        /// Number of signals.
        signals: usize,
        /// Whether the configuration is replaced by an invalid one in between.
        spoiled: bool,
    },
    /// Graceful shutdown and restart of a front under load.
    Terminate(usize, Termination),
    /// Socket calls of a front fail from time to time.
    SystemCalls(usize, SystemCallFaults),
    /// Writes and syncs on the disk of a front fail, or work again.
    Disk {
        /// Number of the front.
        front: usize,
        /// Whether the disk is full.
        full: bool,
        /// Whether syncs fail.
        unsynced: bool,
    },
    /// Sets the wall clock of a front ahead by milliseconds.
    Clock(usize, i64),
    /// Idle connections beyond the limit of a front, and a flood of new ones.
    Crowd(usize),
}

/// Faults of socket calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCallFaults {
    /// None.
    None,
    /// Calls that create connections lack buffers.
    NoBuffers,
    /// Reads and writes are interrupted.
    Interrupted,
    /// Reads and writes transfer at most this many bytes.
    Short(usize),
}

impl SystemCallFaults {
    fn faults(self) -> Option<SocketFaults> {
        let transfers = [
            SystemCall::ReadOutbound,
            SystemCall::WriteOutbound,
            SystemCall::ReadInbound,
            SystemCall::WriteInbound,
        ];
        let opening = [SystemCall::Accept, SystemCall::Socket, SystemCall::Connect];
        match self {
            SystemCallFaults::None => None,
            SystemCallFaults::NoBuffers => {
                Some(SocketFaults::all(&opening, libc::ENOBUFS).every(3))
            }
            SystemCallFaults::Interrupted => {
                Some(SocketFaults::all(&transfers, libc::EINTR).every(3))
            }
            SystemCallFaults::Short(bytes) => Some(SocketFaults::short(bytes)),
        }
    }
}

/// Plan of a soak run.
#[derive(Clone, Debug)]
pub struct Soak {
    /// Seed of the run.
    pub seed: u64,
    /// Steps in order.
    pub steps: Vec<SoakStep>,
    /// Whether the run has a crowd; the limit on descriptors is low then.
    pub has_crowd: bool,
    recovery: Vec<Fault>,
}

impl Soak {
    /// Creates the plan of a seed. Front 0 and cache 0 have no common faults.
    pub fn from_seed(seed: u64, size: ClusterSize) -> Self {
        let script = Script::from_seed(seed, size, COMMON_FAULTS);
        let (faults, recovery) = script.steps.split_at(COMMON_FAULTS);
        let mut rng = Rng::new(seed ^ 0x736f_616b);
        let has_crowd = seed.is_multiple_of(3);
        let mut steps: Vec<_> = faults.iter().cloned().map(SoakStep::Common).collect();
        for _ in 0..SPECIFIC_STEPS {
            let step = specific_step(&mut rng, size);
            let at = rng.below(steps.len() + 1);
            steps.insert(at, step);
        }
        if has_crowd {
            let at = rng.below(steps.len() + 1);
            steps.insert(at, SoakStep::Crowd(rng.below(size.fronts)));
        }
        // Each run has a shutdown while everything else works.
        steps.push(SoakStep::Terminate(0, Termination::Once));
        Soak {
            seed,
            steps,
            has_crowd,
            recovery: recovery.to_vec(),
        }
    }

    /// Descriptor limit for the configuration of the fronts; `None` for the default.
    pub fn descriptor_limit(&self) -> Option<u64> {
        self.has_crowd.then_some(CROWD_DESCRIPTORS)
    }
}

fn specific_step(rng: &mut Rng, size: ClusterSize) -> SoakStep {
    let front = rng.below(size.fronts);
    let milliseconds = |n: usize| Duration::from_millis(n as u64);
    match rng.below(8) {
        0 | 1 => SoakStep::Reload {
            front,
            signals: 1 + rng.below(8),
            spoiled: rng.below(3) == 0,
        },
        2..=4 => {
            let termination = match rng.below(4) {
                0 => Termination::Once,
                1 => Termination::Twice(milliseconds(rng.below(1_500))),
                2 => Termination::DuringReload,
                _ => Termination::Paused(milliseconds(100 + rng.below(900))),
            };
            SoakStep::Terminate(front, termination)
        }
        5 => {
            let faults = [
                SystemCallFaults::None,
                SystemCallFaults::NoBuffers,
                SystemCallFaults::Interrupted,
                SystemCallFaults::Short(1 + rng.below(40)),
            ];
            SoakStep::SystemCalls(front, faults[rng.below(faults.len())])
        }
        6 => SoakStep::Disk {
            front,
            full: rng.below(2) == 0,
            unsynced: rng.below(2) == 0,
        },
        _ => SoakStep::Clock(front, rng.below(20_000) as i64 - 10_000),
    }
}

/// Failure of a soak run that is not a violation of an invariant of the history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExitFailure {
    /// Number of the front.
    pub front: usize,
    /// Its exit code; `None` if it was still running at the time of SIGKILL.
    pub code: Option<i32>,
    /// The step.
    pub step: Termination,
}

impl TestCluster {
    /// Runs a plan, heals everything and waits until each front serves requests. Returns failed shutdowns.
    pub fn run_soak(&mut self, plan: &Soak) -> Vec<ExitFailure> {
        let mut failures = Vec::new();
        let responses = |cluster: &TestCluster| {
            cluster
                .history
                .count(|seen| matches!(seen, Observation::ClientResponse(..)))
        };
        for step in &plan.steps {
            let before = responses(self);
            failures.extend(self.run_step(step));
            let what = format!("seed {}: responses after {step:?}", plan.seed);
            let more = 2 * self.size().fronts;
            self.history.wait_for(&what, before + more, |seen| {
                matches!(seen, Observation::ClientResponse(..))
            });
        }
        self.heal(plan);
        failures
    }

    fn run_step(&mut self, step: &SoakStep) -> Option<ExitFailure> {
        match step {
            SoakStep::Common(fault) => self.apply(fault),
            SoakStep::Reload {
                front,
                signals,
                spoiled,
            } => self.reload(*front, *signals, *spoiled),
            SoakStep::Terminate(front, termination) => {
                return self.terminate_and_restart(*front, *termination)
            }
            SoakStep::SystemCalls(front, faults) => {
                self.fleet.injectors[*front].set_socket_faults(faults.faults().as_ref());
            }
            SoakStep::Disk {
                front,
                full,
                unsynced,
            } => self.fleet.injectors[*front].set_disk_faults(*full, *unsynced),
            SoakStep::Clock(front, ahead_ms) => {
                self.fleet.injectors[*front].set_clock_offset(*ahead_ms);
            }
            SoakStep::Crowd(front) => self.crowd(*front),
        }
        None
    }

    fn reload(&self, front: usize, signals: usize, spoiled: bool) {
        let text = self.fleet.config_text(front);
        for n in 0..signals {
            let invalid = spoiled && n % 2 == 1;
            self.fleet
                .write_config(front, if invalid { "{" } else { &text });
            self.fleet.signal([front], libc::SIGHUP);
        }
        self.fleet.write_config(front, &text);
    }

    /// Shuts a running front down while its clients go on, checks that it exits by itself before SIGKILL, and restarts it.
    fn terminate_and_restart(
        &mut self,
        front: usize,
        termination: Termination,
    ) -> Option<ExitFailure> {
        if self.fleet.process_id(front).is_none() || self.is_stopped(front) {
            return None;
        }
        const RELOADS: usize = 3;
        let started = Instant::now();
        let wait_until = |at: Duration| std::thread::sleep(at.saturating_sub(started.elapsed()));
        if termination == Termination::DuringReload {
            self.reload(front, RELOADS, false);
        }
        self.terminate(front);
        match termination {
            Termination::Once => {}
            Termination::Twice(after) => {
                wait_until(after.min(NEW_CONNECTIONS));
                self.fleet.signal([front], libc::SIGTERM);
            }
            Termination::DuringReload => self.reload(front, RELOADS, false),
            Termination::Paused(duration) => {
                self.set_stopped(&[front], true);
                wait_until(duration);
                self.set_stopped(&[front], false);
            }
        }
        wait_until(NEW_CONNECTIONS);
        self.stop_new_connections(front);
        let code = self.wait_exit(front, KILL_DELAY.saturating_sub(started.elapsed()));
        self.restart(&[front]);
        (code != Some(0)).then_some(ExitFailure {
            front,
            code,
            step: termination,
        })
    }

    fn is_stopped(&self, front: usize) -> bool {
        let mut stopped = false;
        for (_, seen) in self.history.observations() {
            match seen {
                Observation::Stopped(by) if by == front => stopped = true,
                Observation::Resumed(by) if by == front => stopped = false,
                _ => {}
            }
        }
        stopped
    }

    /// Opens more idle connections than the front accepts, and beside them short ones.
    fn crowd(&self, front: usize) {
        if self.fleet.process_id(front).is_none() || self.is_stopped(front) {
            return;
        }
        let address: SocketAddr = self.fleet.address(front);
        let started = Instant::now();
        let connect = || TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
        let idle: Vec<_> = (0..CROWD_CONNECTIONS).filter_map(|_| connect()).collect();
        for _ in 0..FLOOD_CONNECTIONS {
            if started.elapsed() > CROWD_DURATION {
                break;
            }
            drop(connect());
        }
        std::thread::sleep(CROWD_DURATION.saturating_sub(started.elapsed()));
        drop(idle);
    }

    /// Ends all faults and waits until each front serves requests.
    fn heal(&mut self, plan: &Soak) {
        for injector in &self.fleet.injectors {
            injector.set_socket_faults(None);
            injector.set_disk_faults(false, false);
            injector.set_clock_offset(0);
        }
        plan.recovery.iter().for_each(|fault| self.apply(fault));
        self.wait_until_all_serve(&format!("seed {}", plan.seed));
    }
}
