//! Random faults from a seed. A script lists faults and recoveries; each step waits for a number of responses rather than for a
//! time, so that a slow machine goes through the same states.
use crate::cluster::{ClusterSize, TestCluster};
use crate::history::Observation;
use crate::link::Transmission;
use crate::list_event::State;
use crate::list_service::ServiceMode;
use crate::nodes::Behavior;
use std::collections::BTreeSet;
use std::time::Duration;

/// Step of a script.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Kills fronts with SIGKILL.
    Kill(Vec<usize>),
    /// Restarts killed fronts.
    Restart(Vec<usize>),
    /// Stops fronts with SIGSTOP.
    Stop(Vec<usize>),
    /// Continues stopped fronts.
    Resume(Vec<usize>),
    /// Sets both directions of the link between a front and the list service; `None` heals it.
    Feed(usize, Option<(Transmission, Transmission)>),
    /// Sets both directions of the links between a link group and a node; `None` heals them.
    Link(usize, usize, Option<(Transmission, Transmission)>),
    /// Resets the connections of a link group to a node.
    Reset(usize, usize),
    /// Changes the behaviour of a node.
    Node(usize, Behavior),
    /// Changes the listed state of a node.
    SetState(usize, State),
    /// Purges an object.
    Purge(u64),
    /// Changes the mode of the list service.
    Service(ServiceMode),
}

/// Sequence of faults that ends with a full recovery.
#[derive(Clone, Debug)]
pub struct Script {
    /// Seed of the script.
    pub seed: u64,
    /// Steps in order.
    pub steps: Vec<Fault>,
    /// Number of responses to wait for between two steps.
    pub responses: usize,
}

/// Generator of the random choices of a script.
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Rng(seed)
    }

    pub(crate) fn below(&mut self, n: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) % n.max(1) as u64) as usize
    }
}

impl Script {
    /// Creates a script of `count` faults. At least half of the fronts and one cache are not affected.
    pub fn from_seed(seed: u64, shape: ClusterSize, count: usize) -> Self {
        let mut rng = Rng(seed);
        let (mut down, mut stopped) = (BTreeSet::new(), BTreeSet::new());
        // Front 0 and cache 0 are never affected.
        let front = |rng: &mut Rng| 1 + rng.below(shape.fronts - 1);
        let index = |rng: &mut Rng| 1 + rng.below(shape.caches + shape.parents);
        let transmission = |rng: &mut Rng| {
            let direction = |rng: &mut Rng| match rng.below(4) {
                0 => Transmission::Pass,
                1 => Transmission::Delay(Duration::from_millis(50 + rng.below(300) as u64)),
                2 => Transmission::Throttle(200 + rng.below(2_000) as u64),
                _ => Transmission::Cut,
            };
            [None, Some((direction(rng), direction(rng)))][rng.below(3).min(1)]
        };
        let mut steps = Vec::new();
        while steps.len() < count {
            let max_down = shape.fronts / 2;
            steps.push(match rng.below(12) {
                0 | 1 if down.len() + stopped.len() < max_down => {
                    let some: BTreeSet<_> = (0..1 + rng.below(max_down))
                        .map(|_| front(&mut rng))
                        .collect();
                    let remaining = max_down - down.len() - stopped.len();
                    let free = some
                        .into_iter()
                        .filter(|f| !down.contains(f) && !stopped.contains(f));
                    let some: Vec<usize> = free.take(remaining).collect();
                    down.extend(&some);
                    Fault::Kill(some)
                }
                2 | 3 if !down.is_empty() => {
                    Fault::Restart(std::mem::take(&mut down).into_iter().collect())
                }
                4 if stopped.is_empty() && down.len() < max_down => {
                    let one = front(&mut rng);
                    if down.contains(&one) {
                        continue;
                    }
                    stopped.insert(one);
                    Fault::Stop(vec![one])
                }
                5 if !stopped.is_empty() => {
                    Fault::Resume(std::mem::take(&mut stopped).into_iter().collect())
                }
                6 => Fault::Feed(front(&mut rng), transmission(&mut rng)),
                7 => Fault::Link(
                    rng.below(shape.link_groups),
                    index(&mut rng),
                    transmission(&mut rng),
                ),
                8 => Fault::Reset(rng.below(shape.link_groups), index(&mut rng)),
                9 => {
                    let behaviors = [
                        Behavior::Respond(Duration::from_millis(1)),
                        Behavior::Respond(Duration::from_millis(80)),
                        Behavior::Silent,
                        Behavior::NotReading,
                        Behavior::Shed,
                        Behavior::Fail,
                        Behavior::Garbage,
                        Behavior::Truncate,
                        Behavior::Reset,
                        Behavior::Duplicate,
                        Behavior::Down,
                    ];
                    Fault::Node(index(&mut rng), behaviors[rng.below(behaviors.len())])
                }
                10 => {
                    let states = [State::Draining, State::Ready];
                    Fault::SetState(index(&mut rng), states[rng.below(2)])
                }
                11 => match rng.below(4) {
                    0 => Fault::Service(
                        [
                            ServiceMode::Serve,
                            ServiceMode::Close,
                            ServiceMode::Silent,
                            ServiceMode::Truncate,
                        ][rng.below(4)],
                    ),
                    _ => Fault::Purge(rng.below(50) as u64),
                },
                _ => continue,
            });
        }
        // Recovery from all faults.
        steps.push(Fault::Service(ServiceMode::Serve));
        steps.push(Fault::Restart(down.into_iter().collect()));
        steps.push(Fault::Resume(stopped.into_iter().collect()));
        steps.extend((1..shape.fronts).map(|front| Fault::Feed(front, None)));
        for index in 1..=shape.caches + shape.parents {
            steps.push(Fault::Node(
                index,
                Behavior::Respond(Duration::from_millis(1)),
            ));
            steps.push(Fault::SetState(index, State::Ready));
            steps.extend((0..shape.link_groups).map(|group| Fault::Link(group, index, None)));
        }
        Script {
            seed,
            steps,
            responses: 2 * shape.fronts,
        }
    }
}

impl TestCluster {
    /// Applies one step.
    pub fn apply(&mut self, fault: &Fault) {
        match fault {
            Fault::Kill(fronts) => self.kill(fronts),
            Fault::Restart(fronts) => self.restart(fronts),
            Fault::Stop(fronts) => self.set_stopped(fronts, true),
            Fault::Resume(fronts) => self.set_stopped(fronts, false),
            Fault::Feed(front, transmission) => self.set_feed_link(*front, *transmission),
            Fault::Link(group, index, transmission) => {
                self.set_node_link(*group, *index, *transmission)
            }
            Fault::Reset(group, index) => self.reset_connections(*group, *index),
            Fault::Node(index, behavior) => self.nodes.set(*index, *behavior),
            Fault::SetState(index, state) => drop(self.set_node_state(*index, *state)),
            Fault::Purge(item) => drop(self.purge(*item)),
            Fault::Service(mode) => self.list_service.set(*mode),
        }
    }

    /// Runs a script and waits until each front serves requests after the recovery.
    pub fn run_script(&mut self, script: &Script) {
        let response = |seen: &Observation| matches!(seen, Observation::ClientResponse(..));
        for (index, step) in script.steps.iter().enumerate() {
            let before = self.history.count(response);
            self.apply(step);
            if index + self.node_count() * 4 + self.size().fronts < script.steps.len() {
                let what = format!("seed {}: responses after {step:?}", script.seed);
                self.history
                    .wait_for(&what, before + script.responses, response);
            }
        }
        self.wait_until_all_serve(&format!("seed {}", script.seed));
    }

    /// Waits until each front has served a request that is sent from now on.
    pub(crate) fn wait_until_all_serve(&self, run: &str) {
        let healed = self.history.now();
        for front in 0..self.size().fronts {
            let served = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, 1) if *by == front);
            let before = self
                .history
                .timestamps(served)
                .iter()
                .filter(|at| **at <= healed)
                .count();
            let what = format!("{run}: front {front} serves requests after the recovery");
            self.history.wait_for(&what, before + 1, served);
        }
    }
}
