//! The request pipeline. Every request passes the stages ingress, admission, route, dispatch, relay and accounting. The input
//! consists of requests, replies and events, the output of commands. The pipeline is independent of wire formats and sockets.
mod accounting;
mod admission;
mod body_memory;
mod clock_offset;
mod dispatch;
mod execution_guard;
mod ingress;
mod purge_floors;
mod relay;
mod route;
#[cfg(test)]
mod tests;
mod types;

use body_memory::BodyMemory;
pub use clock_offset::ClockOffset;
pub use execution_guard::{ExecutionGuard, ExecutionKey, MAX_IDENTIFIERS};
pub use purge_floors::{Freshness, PurgeFloors};
pub use types::*;

use cranesill::api::{Action, EndpointId, Idempotency, Micros, RequestId, Timestamp};
use cranesill::Router;
use cranesill_purges::shield::Shield;
use cranesill_settings::Deployment;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// A request without a final response.
#[derive(Debug)]
struct PendingRequest {
    reply_to: ReplyTo,
    request: Rc<ClientRequest>,
    /// The latest time to send the response.
    deadline: Timestamp,
    /// Index of the request class in the settings.
    class: usize,
    /// Whether requests of the class are executed by the origin and are not cached.
    write: bool,
    attempts_sent: u16,
    /// Send time of the first attempt that may have been executed.
    may_have_run_at: Option<Timestamp>,
}

/// An attempt without a reported end.
#[derive(Debug)]
struct OutstandingAttempt {
    sent_at: Timestamp,
    target: EndpointId,
    /// The part for which the attempt bypasses the caches, if a purge requires a newer copy than they have.
    bypass: Option<ObjectPart>,
    /// The identifier of the request, if its class must not be executed twice.
    execution: Option<ExecutionKey>,
}

/// Memory limits of one front.
#[derive(Clone, Copy, Debug)]
pub struct CapacityLimits {
    /// Maximum number of pending requests.
    pub max_pending: usize,
    /// Maximum number of bytes that are buffered, expected as responses, or occupied by the bodies of pending requests.
    pub max_buffered_bytes: usize,
    /// Maximum number of bytes that the bodies of pending requests occupy.
    pub max_body_bytes: usize,
}

/// Initial value of the moving average of response sizes, in bytes.
const INITIAL_RESPONSE_BYTES: f64 = 32_768.0;

/// The pipeline stages and their shared state. Routing decisions are made by a [`Router`].
#[derive(Debug)]
pub struct RequestPipeline {
    router: Router,
    deployment: Deployment,
    capacity: CapacityLimits,
    pending: HashMap<RequestId, PendingRequest>,
    by_reply_to: HashMap<ReplyTo, RequestId>,
    by_transaction: HashMap<TransactionId, RequestId>,
    outstanding: HashMap<AttemptId, OutstandingAttempt>,
    /// Bytes in the buffers of connections, as last reported by the server.
    buffered_bytes: usize,
    /// Memory occupied by the bodies of pending requests.
    bodies: BodyMemory,
    /// Moving average of response sizes.
    average_response_bytes: f64,
    last_request_id: u64,
    /// Final responses by class.
    counts: Vec<ResponseCounts>,
    /// Whether all new requests are rejected.
    rejecting: bool,
    /// Offset between the local clock and the clock of discovery.
    pub clock_offset: ClockOffset,
    /// Buffer for the actions of an event, reused to avoid allocations.
    actions: Vec<Action>,
    commands: VecDeque<Command>,
    /// Purge floors, if the purge log is enabled.
    pub floors: Option<PurgeFloors>,
    /// Limits the rate of fetches that bypass the caches because of purges.
    pub shield: Option<Shield>,
    /// Requests that may have been executed and must not be executed again.
    pub executions: ExecutionGuard,
    /// Parts whose fetches currently bypass the caches, with the number of attempts for each.
    bypasses: HashMap<ObjectPart, u32>,
}

impl RequestPipeline {
    /// Creates a pipeline without endpoints. `seed` initializes the random numbers of the router.
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
            bodies: BodyMemory::default(),
            average_response_bytes: INITIAL_RESPONSE_BYTES,
            last_request_id: 0,
            actions: Vec::new(),
            commands: VecDeque::new(),
            floors: None,
            shield: None,
            executions: ExecutionGuard::default(),
            bypasses: HashMap::new(),
        }
    }

    /// Takes the next command. Commands must be run in this order.
    pub fn next_command(&mut self) -> Option<Command> {
        self.commands.pop_front()
    }

    /// Returns the number of requests without a final response.
    pub fn pending_requests(&self) -> usize {
        self.pending.len()
    }

    /// Returns the memory occupied by the bodies of pending requests.
    pub fn body_bytes(&self) -> usize {
        self.bodies.total()
    }

    /// Sets the number of bytes in the buffers of connections, which count against the memory limit at admission.
    pub fn set_buffered_bytes(&mut self, bytes: usize) {
        self.buffered_bytes = bytes;
    }

    /// Sets whether all new requests are rejected.
    pub fn reject_new_requests(&mut self, rejecting: bool) {
        self.rejecting = rejecting;
    }

    /// Returns the counts of final responses by class name.
    pub fn response_counts(&self) -> impl Iterator<Item = (&str, &ResponseCounts)> {
        let names = self.deployment.names.classes.iter();
        names.map(String::as_str).zip(&self.counts)
    }

    /// Returns whether the router currently avoids an endpoint.
    pub fn is_avoided(&self, endpoint: EndpointId) -> bool {
        self.router.is_unavailable(endpoint)
    }

    /// Returns the identifier of a request if its class must not be executed twice.
    fn execution_key(&self, request: &PendingRequest) -> Option<ExecutionKey> {
        let class = self.deployment.settings.classes.get(request.class)?;
        let is_guarded = class.idempotency == Idempotency::NotIdempotent;
        is_guarded.then(|| request.request.transaction.into())
    }

    /// Returns the retry-after of requests that are rejected because this front is overloaded.
    fn overload_retry_after(&self) -> Micros {
        self.deployment.settings.max_retry_after
    }
}
