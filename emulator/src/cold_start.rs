//! Simulates the simultaneous cold start of all fronts and nodes under load: production routers against modelled nodes.
//!
//! A cache or parent has a number of slots, fewer while it warms up, and slows down when more requests than slots are in flight.
//! It fails for the rest of the run when it receives more than the overload multiple of its settings, with a margin for
//! statistical variation. Clients repeat an unserved request once.
use crate::rng::Rng;
use crate::{Timestamp, SECOND};
use cranesill::api::*;
use cranesill::Router;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};

const MS: Timestamp = 1_000;
const CACHE: u8 = 0;
const PARENT: u8 = 1;
const ORIGIN: u8 = 2;
/// Requests that a warm cache processes at once without slowing down.
const CACHE_SLOTS: f64 = 20.0;
/// Requests that a warm parent processes at once without slowing down.
const PARENT_SLOTS: f64 = 120.0;
/// Time that a request occupies a slot of a node that is not overloaded.
const SERVICE_TIME: Timestamp = 200 * MS;
/// Additional time of a fill from a parent.
const FILL_TIME: Timestamp = 30 * MS;
/// Additional time of a fetch from the origin.
const ORIGIN_TIME: Timestamp = 60 * MS;
/// Time until a front learns that a node cannot serve a request.
const REFUSAL_TIME: Timestamp = MS;
const OBJECT_COUNT: f64 = 20_000.0;
const CLIENT_TIMEOUT: Timestamp = 2_500 * MS;
const CLIENT_RETRY_DELAY: Timestamp = 500 * MS;
/// Start of the simulation. It is not 0, because an endpoint with the start time 0 counts as warm.
const START_TIME: Timestamp = 1_000 * SECOND;

/// How a fleet limits the load of nodes that have just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartPolicy {
    /// As in production: each front uses its share of a cold node's capacity.
    FleetShare,
    /// Each front uses a cold node's whole capacity; for comparison only.
    PerFront,
    /// Cold nodes are treated as warm; for comparison only.
    Disabled,
}

/// Load on the nodes and service of the clients during a cold start.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct ColdStartResult {
    /// Caches and parents that failed from overload.
    #[serde(rename = "fell")]
    pub failed_nodes: usize,
    /// Highest load of a node that was warming up, as a multiple of the load at which it fails.
    pub worst_load: f64,
    /// Fraction of the requests of the first 5 s that were served; repeated requests do not count.
    pub served_first: f64,
    /// The same for the last 5 s.
    pub served_last: f64,
    /// Mean number of attempts per request; a repeated request counts as a request of its own.
    #[serde(rename = "attempts")]
    pub attempts_per_request: f64,
    /// Most fetches from the origin within any second.
    #[serde(rename = "origin_most")]
    pub max_origin_fetches_per_s: usize,
}

/// A fleet with its nodes and the load of its clients.
#[derive(Clone, Copy, Debug)]
pub struct ColdFleet {
    /// Number of fronts.
    pub fronts: u32,
    /// Number of caches; there is one parent for every four, and at least two.
    pub caches: u32,
    /// Client load as a fraction of the capacity of the warm caches.
    pub load: f64,
    /// Simulated time, in seconds.
    pub seconds: u64,
    /// Seed of the random numbers.
    pub seed: u64,
}

#[derive(Debug)]
struct Node {
    is_parent: bool,
    cached: HashSet<u64>,
    in_flight: u32,
    recent_arrivals: VecDeque<Timestamp>,
    failed: bool,
}

/// An event of the simulation.
enum Scheduled {
    ClientRequest(u32, u64, bool),
    Timer(u32, u64),
    AttemptEnd(u32, RequestId, u16, Status, FillNote, u64),
    ClientTimeout(u32, RequestId),
}

struct OpenRequest {
    arrived_at: Timestamp,
    object: u64,
    first_try: bool,
    attempts: u16,
}

struct Simulation {
    settings: Settings,
    nodes: BTreeMap<u64, Node>,
    routers: Vec<Router>,
    open_requests: HashMap<(u32, RequestId), OpenRequest>,
    /// The node and start time of each attempt in flight.
    attempts_in_flight: HashMap<(u32, RequestId, u16), (u64, Timestamp)>,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    scheduled: HashMap<u64, Scheduled>,
    last_key: u64,
    now: Timestamp,
    end_time: Timestamp,
    rng: Rng,
    /// Served requests and all requests of the first and of the last 5 s, without repeated ones.
    served_and_total: [(u64, u64); 2],
    requests: u64,
    attempts: u64,
    worst_load: f64,
    origin_fetches: Vec<Timestamp>,
}

impl ColdFleet {
    fn settings(&self, number: u32, policy: SlowStartPolicy) -> Settings {
        let per_front = policy == SlowStartPolicy::PerFront;
        let routers = if per_front { 1 } else { self.fronts };
        let cold = SlowStartLimits {
            initial_capacity_fraction: 0.15,
            warm_up: 15 * SECOND,
            overload_multiple: 4.0,
        };
        let class = Class {
            latency_objective: SECOND,
            objective_stretch: 2.0,
            priority_weight: 1.0,
            idempotency: Idempotency::Idempotent,
            write: false,
            freshness_lifetime: 0,
            grace: 0,
        };
        Settings {
            zone: 1,
            fronts_by_zone: vec![0, routers],
            fronts: routers,
            front_index: if per_front { 0 } else { number },
            classes: vec![class],
            parent_kind: Some(PARENT),
            origin_kind: Some(ORIGIN),
            client_kb_per_s: 1_000.0,
            link_kb_per_s: 0.0,
            pass_through: true,
            coalescing: true,
            purge_propagation: 6 * SECOND,
            cache_slow_start: cold,
            parent_slow_start: SlowStartLimits {
                overload_multiple: 2.0,
                ..cold
            },
            overload_window: 1_500 * MS,
            connect_timeout: 400 * MS,
            max_attempts: 8,
            hedging: false,
            cancellation: true,
            max_retry_after: 500 * MS,
            must_subscribe: false,
        }
    }

    /// Simulates the cold start.
    pub fn simulate(&self, policy: SlowStartPolicy) -> ColdStartResult {
        let started = if policy == SlowStartPolicy::Disabled {
            0
        } else {
            START_TIME
        };
        let parents = self.caches.div_ceil(4).max(2);
        let entry = |id: u64, kind: u8, weight: f64, started: Timestamp| {
            let zone = u16::from(kind == CACHE);
            EndpointEntry {
                endpoint: EndpointId(id),
                kind,
                zone,
                cell: 0,
                weight,
                started,
                state: EndpointState::Ready,
            }
        };
        let caches =
            (0..u64::from(self.caches)).map(|n| entry(0x100 + n, CACHE, CACHE_SLOTS, started));
        let parent_entries =
            (0..u64::from(parents)).map(|n| entry(0x10_000 + n, PARENT, PARENT_SLOTS, started));
        let list: Vec<_> = caches
            .chain(parent_entries)
            .chain([entry(0x20_000, ORIGIN, 1.0, 0)])
            .collect();
        let node = |e: &EndpointEntry| {
            let (cached, recent_arrivals) = (HashSet::new(), VecDeque::new());
            (
                e.endpoint.0,
                Node {
                    is_parent: e.kind == PARENT,
                    cached,
                    in_flight: 0,
                    recent_arrivals,
                    failed: false,
                },
            )
        };
        let mut simulation = Simulation {
            settings: self.settings(0, SlowStartPolicy::FleetShare),
            nodes: list.iter().filter(|e| e.kind != ORIGIN).map(node).collect(),
            routers: (0..self.fronts)
                .map(|n| Router::new(self.settings(n, policy), n.into()))
                .collect(),
            open_requests: HashMap::new(),
            attempts_in_flight: HashMap::new(),
            queue: BinaryHeap::new(),
            scheduled: HashMap::new(),
            last_key: 0,
            now: START_TIME,
            end_time: START_TIME + self.seconds * SECOND,
            rng: Rng(self.seed.wrapping_mul(1_000_003) | 1),
            served_and_total: [(0, 0); 2],
            requests: 0,
            attempts: 0,
            worst_load: 0.0,
            origin_fetches: Vec::new(),
        };
        for front in 0..self.fronts {
            simulation.handle_event(front, Event::Endpoints(ListKind::Full, list.clone()));
        }
        let per_s =
            self.load * f64::from(self.caches) * CACHE_SLOTS * SECOND as f64 / SERVICE_TIME as f64;
        let mut at = START_TIME as f64;
        while at < simulation.end_time as f64 {
            at += -(1.0 - simulation.rng.uniform()).ln() / per_s * SECOND as f64;
            let object = (OBJECT_COUNT * simulation.rng.uniform().powi(3)) as u64;
            let front = simulation.rng.below(self.fronts.into()) as u32;
            simulation.schedule(
                at as Timestamp,
                Scheduled::ClientRequest(front, object, true),
            );
        }
        simulation.run();
        let share = |(served, all): (u64, u64)| served as f64 / all.max(1) as f64;
        simulation.origin_fetches.sort_unstable();
        ColdStartResult {
            failed_nodes: simulation.nodes.values().filter(|node| node.failed).count(),
            worst_load: simulation.worst_load,
            served_first: share(simulation.served_and_total[0]),
            served_last: share(simulation.served_and_total[1]),
            attempts_per_request: simulation.attempts as f64 / simulation.requests.max(1) as f64,
            max_origin_fetches_per_s: crate::list_service::max_in_window(
                &simulation.origin_fetches,
                SECOND,
            ),
        }
    }
}

impl Simulation {
    fn schedule(&mut self, at: Timestamp, event: Scheduled) {
        self.last_key += 1;
        self.queue.push(Reverse((at, self.last_key)));
        self.scheduled.insert(self.last_key, event);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, key))) = self.queue.pop() {
            self.now = at;
            let Some(event) = self.scheduled.remove(&key) else {
                continue;
            };
            match event {
                Scheduled::ClientRequest(front, object, first_try) => {
                    self.start_request(front, object, first_try)
                }
                Scheduled::Timer(front, token) => self.handle_event(front, Event::Timer(token)),
                Scheduled::AttemptEnd(front, id, number, status, note, node) => {
                    self.end_attempt(front, id, number, status, note, node)
                }
                Scheduled::ClientTimeout(front, id) => {
                    if self.open_requests.contains_key(&(front, id)) {
                        self.finish_request(front, id, false);
                        self.handle_event(front, Event::Cancelled(id));
                    }
                }
            }
        }
    }

    fn start_request(&mut self, front: u32, object: u64, first_try: bool) {
        self.requests += 1;
        let id = RequestId(self.requests);
        self.open_requests.insert(
            (front, id),
            OpenRequest {
                arrived_at: self.now,
                object,
                first_try,
                attempts: 0,
            },
        );
        self.schedule(
            self.now + CLIENT_TIMEOUT,
            Scheduled::ClientTimeout(front, id),
        );
        let object = ObjectId(object);
        let (class, part, group, size_kb) = (0, 0, 0, SERVICE_TIME as f64 / 1e3);
        self.handle_event(
            front,
            Event::Request(Request {
                id,
                class,
                object,
                part,
                group,
                size_kb,
                time_left: CLIENT_TIMEOUT,
            }),
        );
    }

    /// Records the result of a request. The client repeats an unserved first try at a random front.
    fn finish_request(&mut self, front: u32, id: RequestId, served: bool) {
        let Some(open) = self.open_requests.remove(&(front, id)) else {
            return;
        };
        let second = (open.arrived_at - START_TIME) / SECOND;
        let phase = (second < 5)
            .then_some(0)
            .or((open.arrived_at + 5 * SECOND >= self.end_time).then_some(1));
        if let Some(count) = phase
            .filter(|_| open.first_try)
            .and_then(|phase| self.served_and_total.get_mut(phase))
        {
            count.0 += u64::from(served);
            count.1 += 1;
        }
        if open.first_try && !served {
            let other = self.rng.below(self.routers.len() as u64) as u32;
            self.schedule(
                self.now + CLIENT_RETRY_DELAY,
                Scheduled::ClientRequest(other, open.object, false),
            );
        }
    }

    fn handle_event(&mut self, front: u32, event: Event) {
        let mut actions = Vec::new();
        self.routers[front as usize].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    target,
                    timeout,
                    fill,
                } => self.start_attempt(front, request, target.0, timeout, fill),
                Action::Cancel(id, number) => {
                    self.end_attempt(front, id, number, Status::Cancelled, FillNote::None, 0)
                }
                Action::Reject(id, _) | Action::Fail(id) => self.finish_request(front, id, false),
                Action::Timer(span, token) => {
                    self.schedule(self.now + span, Scheduled::Timer(front, token))
                }
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn start_attempt(
        &mut self,
        front: u32,
        id: RequestId,
        target: u64,
        timeout: Micros,
        fill: Option<Fill>,
    ) {
        let Some(open) = self.open_requests.get_mut(&(front, id)) else {
            return;
        };
        let (number, object, client_deadline) =
            (open.attempts, open.object, open.arrived_at + CLIENT_TIMEOUT);
        open.attempts += 1;
        self.attempts += 1;
        let deadline = if timeout > 0 {
            client_deadline.min(self.now + timeout)
        } else {
            client_deadline
        };
        let (duration, status, note) = match self.process_at_node(target, object, fill) {
            Some(response) => response,
            None => {
                self.origin_fetches.push(self.now);
                (
                    SERVICE_TIME + ORIGIN_TIME,
                    Status::Ok,
                    FillNote::FilledByOrigin,
                )
            }
        };
        self.attempts_in_flight
            .insert((front, id, number), (target, self.now));
        let (at, status, note) = match self.now + duration {
            late if late > deadline => (deadline, Status::Timeout, FillNote::None),
            at => (at, status, note),
        };
        self.schedule(
            at,
            Scheduled::AttemptEnd(front, id, number, status, note, target),
        );
    }

    /// Duration and outcome of a request at a cache or parent; `None` if `id` is neither.
    fn process_at_node(
        &mut self,
        id: u64,
        object: u64,
        fill: Option<Fill>,
    ) -> Option<(Timestamp, Status, FillNote)> {
        let duration = self.admit(id)?;
        let Some(duration) = duration else {
            return Some((REFUSAL_TIME, Status::ConnectFailed, FillNote::None));
        };
        if self.nodes[&id].cached.contains(&object) {
            return Some((duration, Status::Ok, FillNote::Hit));
        }
        let parent = self.nodes[&id].is_parent;
        let store = |simulation: &mut Simulation, at: u64| {
            simulation
                .nodes
                .get_mut(&at)
                .map(|n| n.cached.insert(object))
        };
        let fill = fill.filter(|fill| !fill.only_cached);
        if parent {
            self.origin_fetches.push(self.now);
            store(self, id);
            return Some((duration + ORIGIN_TIME, Status::Ok, FillNote::Filled));
        }
        let Some(fill) = fill else {
            return Some((REFUSAL_TIME, Status::Miss, FillNote::None));
        };
        let (fill_duration, note) = match self.admit(fill.source.0) {
            Some(None) => return Some((REFUSAL_TIME, Status::Rejected, FillNote::SourceLost)),
            Some(Some(_)) if self.nodes[&fill.source.0].cached.contains(&object) => {
                (FILL_TIME, FillNote::Filled)
            }
            Some(Some(_)) => {
                self.origin_fetches.push(self.now);
                store(self, fill.source.0);
                (FILL_TIME + ORIGIN_TIME, FillNote::Filled)
            }
            None => {
                self.origin_fetches.push(self.now);
                (ORIGIN_TIME, FillNote::FilledByOrigin)
            }
        };
        // A fill occupies a slot of the parent only briefly; it still counts as an arrival.
        if let Some(node) = self.nodes.get_mut(&fill.source.0) {
            node.in_flight = node.in_flight.saturating_sub(1);
        }
        store(self, id);
        Some((duration + fill_duration, Status::Ok, note))
    }

    /// Counts a request at a node and returns how long it takes; `Some(None)` if the node has failed or fails from this request,
    /// `None` if `id` is neither a cache nor a parent.
    fn admit(&mut self, id: u64) -> Option<Option<Timestamp>> {
        let (now, settings) = (self.now, &self.settings);
        let node = self.nodes.get_mut(&id)?;
        if node.failed {
            return Some(None);
        }
        let (cold, slots) = match node.is_parent {
            true => (settings.parent_slow_start, PARENT_SLOTS),
            false => (settings.cache_slow_start, CACHE_SLOTS),
        };
        let age = ((now - START_TIME) as f64 / cold.warm_up as f64).min(1.0);
        let slots =
            slots * (cold.initial_capacity_fraction + (1.0 - cold.initial_capacity_fraction) * age);
        node.recent_arrivals.push_back(now);
        while node
            .recent_arrivals
            .front()
            .is_some_and(|at| at + settings.overload_window < now)
        {
            node.recent_arrivals.pop_front();
        }
        let n =
            cold.overload_multiple * slots * settings.overload_window as f64 / SERVICE_TIME as f64;
        let load = node.recent_arrivals.len() as f64 / (n + 3.0 * n.sqrt() + 3.0);
        self.worst_load = self.worst_load.max(if age < 1.0 { load } else { 0.0 });
        if age < 1.0 && load > 1.0 {
            node.failed = true;
            return Some(None);
        }
        node.in_flight += 1;
        Some(Some(
            (SERVICE_TIME as f64 * (f64::from(node.in_flight) / slots).max(1.0)) as Timestamp,
        ))
    }

    fn end_attempt(
        &mut self,
        front: u32,
        id: RequestId,
        number: u16,
        status: Status,
        note: FillNote,
        _: u64,
    ) {
        let Some((target, sent)) = self.attempts_in_flight.remove(&(front, id, number)) else {
            return;
        };
        if let Some(node) = self.nodes.get_mut(&target) {
            node.in_flight = node.in_flight.saturating_sub(1);
        }
        if status == Status::Ok {
            self.finish_request(front, id, true);
        }
        let closed = !self.open_requests.contains_key(&(front, id));
        let latency = self.now - sent;
        let (request, attempt, along, waited, report) = (id, number, false, 0, None);
        let outcome = Outcome {
            request,
            attempt,
            closed,
            status,
            shared_failure: along,
            note,
            source_wait: waited,
            latency,
            report,
        };
        self.handle_event(front, Event::Outcome(outcome));
    }
}
