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

pub use clock_offset::ClockOffset;
pub use purge_floors::{Freshness, FreshnessRequirement, PurgeFloors};
pub use types::*;

use cranesill::api::{Action, EndpointId, Micros, RequestId, Timestamp};
use cranesill::Router;
use cranesill_purges::shield::Shield;
use cranesill_settings::Deployment;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// A request that still is owed its final answer.
#[derive(Debug)]
struct PendingRequest {
    from: ReplyTo,
    request: Rc<ClientRequest>,
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
struct OutstandingAttempt {
    sent: Timestamp,
    to: EndpointId,
    /// What it fetches past the caches, since purges ask for newer than they have.
    past: Option<(u64, u32)>,
}

/// Limits of one front beyond those of the settings.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Requests open at once.
    pub max_pending: usize,
    /// Bytes that answers may take up in memory, at most.
    pub max_buffered_bytes: usize,
}

/// Bytes of an answer that are assumed before the first; the weight of each in the moving average.
const INITIAL_RESPONSE_BYTES: f64 = 32_768.0;
const RESPONSE_BYTES_WEIGHT: f64 = 0.01;

/// The stages and what they share.
#[derive(Debug)]
pub struct RequestPipeline {
    router: Router,
    deployment: Deployment,
    capacity: CapacityLimits,
    pending: HashMap<RequestId, PendingRequest>,
    /// The requests that are open, by who asked.
    by_client: HashMap<ReplyTo, RequestId>,
    by_transaction: HashMap<TransactionId, RequestId>,
    outstanding: HashMap<AttemptId, OutstandingAttempt>,
    /// Bytes of answers that are not with their clients yet.
    buffered_bytes: usize,
    /// Moving average of what an answer takes up.
    average_response_bytes: f64,
    last_request_id: u64,
    /// Final answers, by class.
    counts: Vec<ResponseCounts>,
    /// Everything new is refused.
    rejecting: bool,
    /// How far this clock is ahead of that of the list service.
    pub clock_offset: ClockOffset,
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Where the daemon's own purges are on.
    pub floors: Option<PurgeFloors>,
    /// Bounds what purges send past the caches.
    pub shield: Option<Shield>,
    /// Objects and parts that are fetched past the caches now, and by how many attempts.
    shielded_fetches: HashMap<(u64, u32), u32>,
}

impl RequestPipeline {
    /// A front that knows of no member yet.
    pub fn new(deployment: Deployment, seed: u64, capacity: CapacityLimits) -> Self {
        RequestPipeline {
            router: Router::new(deployment.settings.clone(), seed),
            counts: vec![ResponseCounts::default(); deployment.settings.classes.len()],
            rejecting: false,
            clock_offset: ClockOffset::default(),
            deployment,
            capacity,
            pending: HashMap::new(),
            by_client: HashMap::new(),
            by_transaction: HashMap::new(),
            outstanding: HashMap::new(),
            buffered_bytes: 0,
            average_response_bytes: INITIAL_RESPONSE_BYTES,
            last_request_id: 0,
            actions: Vec::new(),
            commands: VecDeque::new(),
            floors: None,
            shield: None,
            shielded_fetches: HashMap::new(),
        }
    }

    /// The next thing to be done, in the order decided.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Requests that are owed an answer.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Tells how many bytes are held on connections, beside what the open requests may come to.
    pub fn set_buffered_bytes(&mut self, bytes: usize) {
        self.buffered_bytes = bytes;
    }

    /// From now on everything new is refused, or no longer.
    pub fn reject_new_requests(&mut self, rejecting: bool) {
        self.rejecting = rejecting;
    }

    /// Final answers so far: each class with its counts.
    pub fn response_counts(&self) -> impl Iterator<Item = (&str, &ResponseCounts)> {
        self.deployment
            .names
            .classes
            .iter()
            .map(String::as_str)
            .zip(&self.counts)
    }

    /// Whether the decisions avoid a listed member now.
    pub fn is_avoided(&self, member: EndpointId) -> bool {
        self.router.avoids(member)
    }

    /// How long a client is asked to stay away when the front itself has no room.
    fn overload_retry_after(&self) -> Micros {
        self.deployment.settings.max_retry_after
    }
}
