//! The chain of stages that every request passes: take in, admit, route, send, relay, book. Requests and
//! answers go in, commands come out; no bytes of a wire and no socket is seen here, so a second client
//! protocol would pass through the same decisions and rules.
mod accounting;
mod admission;
mod clock_offset;
mod dispatch;
mod ingress;
mod purge_floors;
mod relay;
mod route;
#[cfg(test)]
mod tests;
mod types;

pub use clock_offset::Ahead;
pub use purge_floors::{Floors, Judged, Need};
pub use types::*;

use cranesill::api::{Action, EndpointId, Micros, RequestId, Timestamp};
use cranesill::Router;
use cranesill_purges::shield::Shield;
use cranesill_settings::Deployment;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// A request that still is owed its final answer.
#[derive(Debug)]
struct Open {
    from: ReplyTo,
    ask: Rc<Ask>,
    deadline: Timestamp,
    class: usize,
    /// Its class runs at the origin and leaves no copy.
    write: bool,
    /// Attempts sent so far.
    sent: u16,
    /// When the first was sent that may have run.
    ran: Option<Timestamp>,
}

/// An attempt that has not ended.
#[derive(Debug)]
struct Out {
    sent: Timestamp,
    to: EndpointId,
    /// What it fetches past the caches, since purges ask for newer than they have.
    past: Option<(u64, u32)>,
}

/// Limits of one front beyond those of the settings.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Requests open at once.
    pub open: usize,
    /// Bytes that answers may take up in memory, at most.
    pub bytes: usize,
}

/// Bytes of an answer that are assumed before the first; the weight of each in the moving average.
const ANSWER_BYTES: f64 = 32_768.0;
const ANSWER_WEIGHT: f64 = 0.01;

/// The stages and what they share.
#[derive(Debug)]
pub struct Front {
    router: Router,
    deployment: Deployment,
    room: Room,
    open: HashMap<RequestId, Open>,
    /// The requests that are open, by who asked.
    asked: HashMap<ReplyTo, RequestId>,
    by_txn: HashMap<Txn, RequestId>,
    out: HashMap<AttemptId, Out>,
    /// Bytes of answers that are not with their clients yet.
    held: usize,
    /// Moving average of what an answer takes up.
    answer_bytes: f64,
    last: u64,
    /// Final answers, by class.
    counts: Vec<Counts>,
    /// Everything new is refused.
    closed: bool,
    /// How far this clock is ahead of that of the list service.
    pub ahead: Ahead,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Where the daemon's own purges are on.
    pub floors: Option<Floors>,
    /// Bounds what purges send past the caches.
    pub shield: Option<Shield>,
    /// Objects and parts that are fetched past the caches now, and by how many attempts.
    past: HashMap<(u64, u32), u32>,
}

impl Front {
    /// A front that knows of no member yet.
    pub fn new(deployment: Deployment, seed: u64, room: Room) -> Self {
        Front {
            router: Router::new(deployment.settings.clone(), seed),
            counts: vec![Counts::default(); deployment.settings.classes.len()],
            closed: false,
            ahead: Ahead::default(),
            deployment,
            room,
            open: HashMap::new(),
            asked: HashMap::new(),
            by_txn: HashMap::new(),
            out: HashMap::new(),
            held: 0,
            answer_bytes: ANSWER_BYTES,
            last: 0,
            actions: Vec::new(),
            commands: VecDeque::new(),
            floors: None,
            shield: None,
            past: HashMap::new(),
        }
    }

    /// The next thing to be done, in the order decided.
    pub fn command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Requests that are owed an answer.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// Tells how many bytes are held on connections, beside what the open requests may come to.
    pub fn holds(&mut self, bytes: usize) {
        self.held = bytes;
    }

    /// From now on everything new is refused, or no longer.
    pub fn close(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// Final answers so far: each class with its counts.
    pub fn counts(&self) -> impl Iterator<Item = (&str, &Counts)> {
        self.deployment
            .names
            .classes
            .iter()
            .map(String::as_str)
            .zip(&self.counts)
    }

    /// Whether the decisions avoid a listed member now.
    pub fn avoids(&self, member: EndpointId) -> bool {
        self.router.is_unavailable(member)
    }

    /// How long a client is asked to stay away when the front itself has no room.
    fn later(&self) -> Micros {
        self.deployment.settings.max_retry_after
    }
}
