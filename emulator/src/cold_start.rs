//! All fronts and all nodes cold at one moment, under load: the decisions as they ship, many times, against modelled nodes.
//!
//! A cache or parent has so many places, fewer while it is cold, and takes longer the more requests it holds. Sent more than the
//! settings let it bear, and chance, it falls and stays down. Clients ask once more what they were not served.
use crate::rng::Rng;
use crate::{Timestamp, S};
use cranesill::api::*;
use cranesill::Router;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};

const MS: Timestamp = 1_000;
const CACHE: u8 = 0;
const PARENT: u8 = 1;
const ORIGIN: u8 = 2;
/// Places of a cache and of a parent, and how long a request takes one.
const PLACES: f64 = 20.0;
const PARENT_PLACES: f64 = 120.0;
const WORK: Timestamp = 200 * MS;
/// What a fill takes from a parent, and from the origin behind it.
const FILL: Timestamp = 30 * MS;
const ORIGIN_TAKES: Timestamp = 60 * MS;
const REFUSED: Timestamp = MS;
const OBJECTS: f64 = 20_000.0;
/// Clients wait this long, and ask once more a moment later.
const WAIT: Timestamp = 2_500 * MS;
const AGAIN: Timestamp = 500 * MS;
/// The virtual clock begins here: 0 would mean that nodes started long ago.
const BEGIN: Timestamp = 1_000 * S;

/// How a fleet begins to use nodes that have just started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Held {
    /// As it ships: by the fleet's share of what a cold node bears.
    Shares,
    /// Each front goes by what the node bears as if it were alone: not taken.
    Alone,
    /// Cold nodes are taken for warm: not taken.
    Not,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Found {
    /// Nodes that fell, of all caches and parents.
    pub fell: usize,
    /// The most that one node was sent, over what it bears.
    pub worst_load: f64,
    /// Shares of first tries that were served by their clients' time in the first 5 s, and in the last 5 s.
    pub served_first: f64,
    /// See above.
    pub served_last: f64,
    /// Attempts for each request that was asked.
    pub attempts: f64,
    /// Fetches from the origin in the worst second.
    pub origin_most: usize,
}

/// A fleet and its nodes.
#[derive(Clone, Copy, Debug)]
pub struct Cold {
    /// Fronts of one location, and its caches; one parent for four of them.
    pub fronts: u32,
    /// Caches.
    pub caches: u32,
    /// Share of what warm caches can do that is asked.
    pub load: f64,
    /// Seconds.
    pub seconds: u64,
    /// All follows from it.
    pub seed: u64,
}

#[derive(Debug)]
struct Node {
    parent: bool,
    holds: HashSet<u64>,
    inside: u32,
    sent: VecDeque<Timestamp>,
    fallen: bool,
}

enum Due {
    Ask(u32, u64, bool),
    Timer(u32, u64),
    End(u32, RequestId, u16, Status, FillNote, u64),
    Over(u32, RequestId),
}

struct Open {
    at: Timestamp,
    object: u64,
    first: bool,
    sent: u16,
}

struct World {
    limits: Settings,
    nodes: BTreeMap<u64, Node>,
    routers: Vec<Router>,
    open: HashMap<(u32, RequestId), Open>,
    /// Attempts that are out, with their node.
    out: HashMap<(u32, RequestId, u16), (u64, Timestamp)>,
    due: BinaryHeap<Reverse<(Timestamp, u64)>>,
    what: HashMap<u64, Due>,
    last: u64,
    now: Timestamp,
    until: Timestamp,
    rng: Rng,
    asked: [(u64, u64); 2],
    requests: u64,
    attempts: u64,
    worst_load: f64,
    origin: Vec<Timestamp>,
}

impl Cold {
    fn settings(&self, number: u32, held: Held) -> Settings {
        let alone = held == Held::Alone;
        let routers = if alone { 1 } else { self.fronts };
        let cold = SlowStartLimits {
            initial_capacity_fraction: 0.15,
            warm_up: 15 * S,
            overload_multiple: 4.0,
        };
        let class = Class {
            latency_objective: S,
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
            front_index: if alone { 0 } else { number },
            classes: vec![class],
            parent_kind: Some(PARENT),
            origin_kind: Some(ORIGIN),
            client_kb_per_s: 1_000.0,
            link_kb_per_s: 0.0,
            pass_through: true,
            coalescing: true,
            purge_propagation: 6 * S,
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

    /// Plays it.
    pub fn play(&self, held: Held) -> Found {
        let started = if held == Held::Not { 0 } else { BEGIN };
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
        let caches = (0..u64::from(self.caches)).map(|n| entry(0x100 + n, CACHE, PLACES, started));
        let above =
            (0..u64::from(parents)).map(|n| entry(0x10_000 + n, PARENT, PARENT_PLACES, started));
        let list: Vec<_> = caches
            .chain(above)
            .chain([entry(0x20_000, ORIGIN, 1.0, 0)])
            .collect();
        let node = |e: &EndpointEntry| {
            let (holds, sent) = (HashSet::new(), VecDeque::new());
            (
                e.endpoint.0,
                Node {
                    parent: e.kind == PARENT,
                    holds,
                    inside: 0,
                    sent,
                    fallen: false,
                },
            )
        };
        let mut world = World {
            limits: self.settings(0, Held::Shares),
            nodes: list.iter().filter(|e| e.kind != ORIGIN).map(node).collect(),
            routers: (0..self.fronts)
                .map(|n| Router::new(self.settings(n, held), n.into()))
                .collect(),
            open: HashMap::new(),
            out: HashMap::new(),
            due: BinaryHeap::new(),
            what: HashMap::new(),
            last: 0,
            now: BEGIN,
            until: BEGIN + self.seconds * S,
            rng: Rng(self.seed.wrapping_mul(1_000_003) | 1),
            asked: [(0, 0); 2],
            requests: 0,
            attempts: 0,
            worst_load: 0.0,
            origin: Vec::new(),
        };
        for front in 0..self.fronts {
            world.tell(front, Event::Endpoints(ListKind::Full, list.clone()));
        }
        let per_s = self.load * f64::from(self.caches) * PLACES * S as f64 / WORK as f64;
        let mut at = BEGIN as f64;
        while at < world.until as f64 {
            at += -(1.0 - world.rng.roll()).ln() / per_s * S as f64;
            let object = (OBJECTS * world.rng.roll().powi(3)) as u64;
            let front = world.rng.below(self.fronts.into()) as u32;
            world.add(at as Timestamp, Due::Ask(front, object, true));
        }
        world.run();
        let share = |(served, all): (u64, u64)| served as f64 / all.max(1) as f64;
        world.origin.sort_unstable();
        Found {
            fell: world.nodes.values().filter(|node| node.fallen).count(),
            worst_load: world.worst_load,
            served_first: share(world.asked[0]),
            served_last: share(world.asked[1]),
            attempts: world.attempts as f64 / world.requests.max(1) as f64,
            origin_most: crate::list_service::worst(&world.origin, S),
        }
    }
}

impl World {
    fn add(&mut self, at: Timestamp, due: Due) {
        self.last += 1;
        self.due.push(Reverse((at, self.last)));
        self.what.insert(self.last, due);
    }

    fn run(&mut self) {
        while let Some(Reverse((at, key))) = self.due.pop() {
            self.now = at;
            let Some(due) = self.what.remove(&key) else {
                continue;
            };
            match due {
                Due::Ask(front, object, first) => self.ask(front, object, first),
                Due::Timer(front, token) => self.tell(front, Event::Timer(token)),
                Due::End(front, id, number, status, note, node) => {
                    self.end(front, id, number, status, note, node)
                }
                Due::Over(front, id) => {
                    if self.open.contains_key(&(front, id)) {
                        self.close(front, id, false);
                        self.tell(front, Event::Cancelled(id));
                    }
                }
            }
        }
    }

    fn ask(&mut self, front: u32, object: u64, first: bool) {
        self.requests += 1;
        let id = RequestId(self.requests);
        self.open.insert(
            (front, id),
            Open {
                at: self.now,
                object,
                first,
                sent: 0,
            },
        );
        self.add(self.now + WAIT, Due::Over(front, id));
        let object = ObjectId(object);
        let (class, part, group, size_kb) = (0, 0, 0, WORK as f64 / 1e3);
        self.tell(
            front,
            Event::Request(Request {
                id,
                class,
                object,
                part,
                group,
                size_kb,
                time_left: WAIT,
            }),
        );
    }

    /// A request has its final answer; one that was not served is asked once more, elsewhere.
    fn close(&mut self, front: u32, id: RequestId, served: bool) {
        let Some(open) = self.open.remove(&(front, id)) else {
            return;
        };
        let second = (open.at - BEGIN) / S;
        let which = (second < 5)
            .then_some(0)
            .or((open.at + 5 * S >= self.until).then_some(1));
        if let Some(count) = which
            .filter(|_| open.first)
            .and_then(|which| self.asked.get_mut(which))
        {
            count.0 += u64::from(served);
            count.1 += 1;
        }
        if open.first && !served {
            let other = self.rng.below(self.routers.len() as u64) as u32;
            self.add(self.now + AGAIN, Due::Ask(other, open.object, false));
        }
    }

    fn tell(&mut self, front: u32, event: Event) {
        let mut actions = Vec::new();
        self.routers[front as usize].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    target,
                    timeout,
                    fill,
                } => self.send(front, request, target.0, timeout, fill),
                Action::Cancel(id, number) => {
                    self.end(front, id, number, Status::Cancelled, FillNote::None, 0)
                }
                Action::Reject(id, _) | Action::Fail(id) => self.close(front, id, false),
                Action::Timer(span, token) => self.add(self.now + span, Due::Timer(front, token)),
                Action::Subscribe | Action::Log(_) => {}
            }
        }
    }

    fn send(
        &mut self,
        front: u32,
        id: RequestId,
        target: u64,
        timeout: Micros,
        fill: Option<Fill>,
    ) {
        let Some(open) = self.open.get_mut(&(front, id)) else {
            return;
        };
        let (number, object, over) = (open.sent, open.object, open.at + WAIT);
        open.sent += 1;
        self.attempts += 1;
        let until = if timeout > 0 {
            over.min(self.now + timeout)
        } else {
            over
        };
        let (takes, status, note) = match self.arrives(target, object, fill) {
            Some(found) => found,
            None => {
                self.origin.push(self.now);
                (WORK + ORIGIN_TAKES, Status::Ok, FillNote::FilledByOrigin)
            }
        };
        self.out.insert((front, id, number), (target, self.now));
        let (at, status, note) = match self.now + takes {
            late if late > until => (until, Status::Timeout, FillNote::None),
            at => (at, status, note),
        };
        self.add(at, Due::End(front, id, number, status, note, target));
    }

    /// What a node makes of a request; `None`: it is the origin.
    fn arrives(
        &mut self,
        id: u64,
        object: u64,
        fill: Option<Fill>,
    ) -> Option<(Timestamp, Status, FillNote)> {
        let takes = self.bears(id)?;
        let Some(takes) = takes else {
            return Some((REFUSED, Status::ConnectFailed, FillNote::None));
        };
        if self.nodes[&id].holds.contains(&object) {
            return Some((takes, Status::Ok, FillNote::Hit));
        }
        let parent = self.nodes[&id].parent;
        let hold =
            |world: &mut World, at: u64| world.nodes.get_mut(&at).map(|n| n.holds.insert(object));
        let fill = fill.filter(|fill| !fill.only_cached);
        if parent {
            self.origin.push(self.now);
            hold(self, id);
            return Some((takes + ORIGIN_TAKES, Status::Ok, FillNote::Filled));
        }
        let Some(fill) = fill else {
            return Some((REFUSED, Status::Miss, FillNote::None));
        };
        let (more, note) = match self.bears(fill.source.0) {
            Some(None) => return Some((REFUSED, Status::Rejected, FillNote::SourceLost)),
            Some(Some(_)) if self.nodes[&fill.source.0].holds.contains(&object) => {
                (FILL, FillNote::Filled)
            }
            Some(Some(_)) => {
                self.origin.push(self.now);
                hold(self, fill.source.0);
                (FILL + ORIGIN_TAKES, FillNote::Filled)
            }
            None => {
                self.origin.push(self.now);
                (ORIGIN_TAKES, FillNote::FilledByOrigin)
            }
        };
        // A fill that asks a parent holds none of its places for long: what it is sent counts all the same.
        if let Some(node) = self.nodes.get_mut(&fill.source.0) {
            node.inside = node.inside.saturating_sub(1);
        }
        hold(self, id);
        Some((takes + more, Status::Ok, note))
    }

    /// One more request at a node, which falls if it is too much: how long it takes. `None`: no such node; `Some(None)`: it fell.
    fn bears(&mut self, id: u64) -> Option<Option<Timestamp>> {
        let (now, limits) = (self.now, &self.limits);
        let node = self.nodes.get_mut(&id)?;
        if node.fallen {
            return Some(None);
        }
        let (cold, places) = match node.parent {
            true => (limits.parent_slow_start, PARENT_PLACES),
            false => (limits.cache_slow_start, PLACES),
        };
        let age = ((now - BEGIN) as f64 / cold.warm_up as f64).min(1.0);
        let places = places
            * (cold.initial_capacity_fraction + (1.0 - cold.initial_capacity_fraction) * age);
        node.sent.push_back(now);
        while node
            .sent
            .front()
            .is_some_and(|at| at + limits.overload_window < now)
        {
            node.sent.pop_front();
        }
        let n = cold.overload_multiple * places * limits.overload_window as f64 / WORK as f64;
        let load = node.sent.len() as f64 / (n + 3.0 * n.sqrt() + 3.0);
        self.worst_load = self.worst_load.max(if age < 1.0 { load } else { 0.0 });
        if age < 1.0 && load > 1.0 {
            node.fallen = true;
            return Some(None);
        }
        node.inside += 1;
        Some(Some(
            (WORK as f64 * (f64::from(node.inside) / places).max(1.0)) as Timestamp,
        ))
    }

    fn end(
        &mut self,
        front: u32,
        id: RequestId,
        number: u16,
        status: Status,
        note: FillNote,
        _: u64,
    ) {
        let Some((target, sent)) = self.out.remove(&(front, id, number)) else {
            return;
        };
        if let Some(node) = self.nodes.get_mut(&target) {
            node.inside = node.inside.saturating_sub(1);
        }
        if status == Status::Ok {
            self.close(front, id, true);
        }
        let closed = !self.open.contains_key(&(front, id));
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
        self.tell(front, Event::Outcome(outcome));
    }
}
