//! The stages that every request passes: ingress, admission, route, dispatch, relay, accounting. Requests and replies go
//! in, commands come out; wire formats and sockets stay outside, so that a second client protocol would pass through
//! the same decisions and rules.
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
pub use purge_floors::{Freshness, PurgeFloors};
pub use types::*;

use cranesill::api::{Action, EndpointId, Micros, RequestId, Timestamp};
use cranesill::Router;
use cranesill_purges::shield::Shield;
use cranesill_settings::Deployment;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// A request that has not had its final response.
#[derive(Debug)]
struct PendingRequest {
    reply_to: ReplyTo,
    request: Rc<ClientRequest>,
    /// When the response has to leave.
    deadline: Timestamp,
    /// The index of its class in the settings.
    class: usize,
    /// Whether its class runs at the origin and leaves no copy.
    write: bool,
    attempts_sent: u16,
    /// When the first attempt was sent that may have run.
    first_possible_run: Option<Timestamp>,
}

/// An attempt that has not ended.
#[derive(Debug)]
struct OutstandingAttempt {
    sent_at: Timestamp,
    target: EndpointId,
    /// The part that it fetches past the caches, since purges require a newer copy than they have.
    bypass: Option<ObjectPart>,
}

/// Capacity of one front beyond the limits in the settings.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Requests that may be pending at once.
    pub max_pending: usize,
    /// Bytes of responses that may be in memory at once.
    pub max_buffered_bytes: usize,
}

/// The assumed size of a response before the first one.
const INITIAL_RESPONSE_BYTES: f64 = 32_768.0;

/// The stages and the state that they share.
#[derive(Debug)]
pub struct RequestPipeline {
    router: Router,
    deployment: Deployment,
    capacity: CapacityLimits,
    pending: HashMap<RequestId, PendingRequest>,
    by_reply_to: HashMap<ReplyTo, RequestId>,
    by_transaction: HashMap<TransactionId, RequestId>,
    outstanding: HashMap<AttemptId, OutstandingAttempt>,
    /// Bytes of responses that are not delivered yet.
    buffered_bytes: usize,
    /// Moving average of the responses' sizes.
    average_response_bytes: f64,
    last_request_id: u64,
    /// Final responses, by class.
    counts: Vec<ResponseCounts>,
    /// Whether every new request is rejected.
    rejecting: bool,
    /// The offset between this clock and discovery's.
    pub clock_offset: ClockOffset,
    /// Reused between events.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// The age limits that purges set, if the daemon's own purges are on.
    pub floors: Option<PurgeFloors>,
    /// Limits what purges send past the caches.
    pub shield: Option<Shield>,
    /// Parts that are being fetched past the caches, with the number of attempts that fetch them.
    bypasses: HashMap<ObjectPart, u32>,
}

impl RequestPipeline {
    /// A pipeline that knows no endpoint yet. `seed` is that of the decisions' random numbers.
    pub fn new(deployment: Deployment, seed: u64, capacity: CapacityLimits) -> Self {
        RequestPipeline {
            router: Router::new(deployment.settings.clone(), seed),
            counts: vec![ResponseCounts::default(); deployment.settings.classes.len()],
            rejecting: false,
            clock_offset: ClockOffset::default(),
            deployment,
            capacity,
            pending: HashMap::new(),
            by_reply_to: HashMap::new(),
            by_transaction: HashMap::new(),
            outstanding: HashMap::new(),
            buffered_bytes: 0,
            average_response_bytes: INITIAL_RESPONSE_BYTES,
            last_request_id: 0,
            actions: Vec::new(),
            commands: VecDeque::new(),
            floors: None,
            shield: None,
            bypasses: HashMap::new(),
        }
    }

    /// The next command, in the order decided.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// The number of requests that have not had a final response.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Sets the number of bytes that connections buffer, beside what the pending requests may come to.
    pub fn set_buffered_bytes(&mut self, bytes: usize) {
        self.buffered_bytes = bytes;
    }

    /// Rejects every new request from now on, or admits them again.
    pub fn reject_new_requests(&mut self, rejecting: bool) {
        self.rejecting = rejecting;
    }

    /// The final responses so far, by the name of the class.
    pub fn response_counts(&self) -> impl Iterator<Item = (&str, &ResponseCounts)> {
        let names = self.deployment.names.classes.iter();
        names.map(String::as_str).zip(&self.counts)
    }

    /// Whether the decisions avoid an endpoint now.
    pub fn is_avoided(&self, endpoint: EndpointId) -> bool {
        self.router.is_unavailable(endpoint)
    }

    /// When a client may retry that was rejected because the front itself is overloaded.
    fn overload_retry_after(&self) -> Micros {
        self.deployment.settings.max_retry_after
    }
}
