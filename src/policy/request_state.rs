//! State of a request until its final response and the end of all its attempts.
use super::endpoint::EndpointIndex;
use crate::api::{Action, Class, Idempotency, Micros, ObjectId, Request, RequestId, Timestamp};

/// One part of an object, the unit that caches store and fill.
pub(crate) type PartKey = (ObjectId, u32);

/// Condition that a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WaitTarget {
    /// Capacity at any cache.
    Cache,
    /// Capacity at an endpoint.
    Endpoint(EndpointIndex),
    /// Capacity of the link into the zone.
    Link,
    /// The end of a fill of this part.
    Fill(ObjectId, u32),
}

/// A resource with a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resource {
    Endpoint(EndpointIndex),
    /// The link into the zone of this front.
    Link,
}

impl From<Resource> for WaitTarget {
    fn from(resource: Resource) -> Self {
        match resource {
            Resource::Endpoint(at) => WaitTarget::Endpoint(at),
            Resource::Link => WaitTarget::Link,
        }
    }
}

/// Purpose of a timer.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerPurpose {
    /// The attempt with this number is overdue.
    AttemptOverdue(RequestId, usize),
    /// The wait or the backoff of a request ends.
    WaitExpired(RequestId),
    /// The fractional slot of a concurrency limit is available again.
    FractionalSlotFree(Resource),
}

/// Route of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub target: EndpointIndex,
    /// Where a miss is filled from. The target itself: a miss is not filled. `None`: no fill instructions are sent, and
    /// with them no age limit, so that only the origin, which holds no old copies, may be the target.
    pub source: Option<EndpointIndex>,
}

impl Route {
    /// Route to the origin, without fill instructions.
    pub fn direct(origin: EndpointIndex) -> Self {
        Route {
            target: origin,
            source: None,
        }
    }

    /// Route to a cache or a parent that fills a miss from `source`.
    pub fn filled_from(target: EndpointIndex, source: EndpointIndex) -> Self {
        Route {
            target,
            source: Some(source),
        }
    }

    /// Route to a cache or a parent that does not fill a miss.
    pub fn without_fill(target: EndpointIndex) -> Self {
        Route::filled_from(target, target)
    }

    /// The source, if it is not the target itself.
    pub fn other_source(&self) -> Option<EndpointIndex> {
        self.source.filter(|source| *source != self.target)
    }
}

/// Next step for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Plan {
    Send(Route),
    Wait(WaitTarget),
}

/// Why no further attempt of a request is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanError {
    /// Too little time is left before the deadline.
    DeadlineTooClose,
    /// The idempotency of the class, the number of attempts or the error responses rule out another attempt.
    NotRepeatable,
    /// No cache is usable, and the request may not bypass the caches.
    NoUsableCache,
    /// No origin is ready, and the request can run only there.
    NoOrigin,
}

/// Which endpoints of an attempt are SUSPECT and are probed by it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probes {
    pub target: bool,
    pub source: bool,
}

/// Charge of an attempt to the slow-start budget of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStartCharge {
    /// Transfer time in microseconds.
    pub amount_us: f64,
    /// The start of the endpoint whose budget was charged; a later start has a budget of its own.
    pub started_at: Timestamp,
}

/// Charges of an attempt to the slow-start budgets of its endpoints.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SlowStartCharges {
    pub target: Option<SlowStartCharge>,
    pub source: Option<SlowStartCharge>,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub route: Route,
    pub sent_at: Timestamp,
    pub in_flight: bool,
    /// Whether the attempt was cancelled, or must not be cancelled because a response has begun.
    pub cancelled: bool,
    pub probes: Probes,
    pub slow_start_charges: SlowStartCharges,
    /// Whether a miss is transferred over the link into the zone.
    pub uses_link: bool,
    /// The origin, if a parent is known to have to fetch from it.
    pub upstream_origin: Option<EndpointIndex>,
}

impl Attempt {
    /// Target and source, each with whether the attempt probes it.
    pub fn endpoints(&self) -> impl Iterator<Item = (EndpointIndex, bool)> {
        let target = Some((self.route.target, self.probes.target));
        let source = self.route.other_source();
        let source = source.map(|source| (source, self.probes.source));
        target.into_iter().chain(source)
    }

    /// Cancels the attempt if it is in flight and not marked as cancelled.
    pub fn cancel(&mut self, request: RequestId, number: usize, actions: &mut Vec<Action>) {
        if self.in_flight && !self.cancelled {
            self.cancelled = true;
            actions.push(Action::Cancel(request, number as u16));
        }
    }
}

/// An error response that has not been charged to the endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ErrorResponse {
    pub endpoint: EndpointIndex,
    pub sent_at: Timestamp,
}

/// Position in a wait queue: requests with the highest ratio of priority weight to transfer time come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// Bits of the ratio of transfer time to priority weight. The ratio is not negative, so its bits sort like its
    /// value.
    cost_bits: u64,
    pub request: RequestId,
}

/// A request without a final response, or with attempts still in flight after it.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub request: Request,
    pub class: Class,
    /// Transfer time of the response in microseconds.
    pub transfer_time_us: f64,
    /// Latest time of a response that meets the latency objective.
    pub objective_at: Timestamp,
    pub deadline: Timestamp,
    pub attempts: Vec<Attempt>,
    /// Targets that failed this request.
    pub failed_targets: Vec<EndpointIndex>,
    /// Sources that failed this request, once per failure.
    pub failed_sources: Vec<EndpointIndex>,
    pub errors: Vec<ErrorResponse>,
    /// Whether a cache was checked for a copy without a fill and had none.
    pub missed: bool,
    /// Whether a parent was asked for a cached copy only and had none: a fill goes through to the origin.
    pub parent_missed: bool,
    pub waiting_for: Option<WaitTarget>,
    /// End of the backoff of a rejected write.
    pub backoff_until: Option<Timestamp>,
    /// Whether the last attempt accepted a copy past its freshness lifetime.
    pub accepts_stale: bool,
    /// Whether the part was requested recently by another request.
    pub requested_recently: bool,
    /// When the first attempt that may have run was sent.
    pub may_have_run_at: Option<Timestamp>,
    /// Whether the client has its response or has disconnected.
    pub done: bool,
}

impl PendingRequest {
    /// Creates the state of a request that arrived at `now`.
    pub fn new(
        request: Request,
        class: Class,
        transfer_time_us: f64,
        now: Timestamp,
        requested_recently: bool,
    ) -> Self {
        let stretch = (class.objective_stretch * transfer_time_us) as Micros;
        PendingRequest {
            objective_at: now + class.latency_objective + stretch,
            deadline: now + request.time_left,
            request,
            class,
            transfer_time_us,
            attempts: Vec::new(),
            failed_targets: Vec::new(),
            failed_sources: Vec::new(),
            errors: Vec::new(),
            missed: false,
            parent_missed: false,
            waiting_for: None,
            backoff_until: None,
            accepts_stale: false,
            requested_recently,
            may_have_run_at: None,
            done: false,
        }
    }

    pub fn is_idempotent(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }

    pub fn part_key(&self) -> PartKey {
        (self.request.object, self.request.part)
    }

    /// Latency up to which the response of one attempt is in time.
    pub fn latency_objective(&self) -> Micros {
        let stretch = self.class.objective_stretch * self.transfer_time_us;
        self.class.latency_objective + stretch as Micros
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Marks an attempt as ended and returns it; `None` if it is not in flight.
    pub fn end_attempt(&mut self, number: u16) -> Option<Attempt> {
        let attempt = self.attempts.get_mut(usize::from(number))?;
        if !attempt.in_flight {
            return None;
        }
        attempt.in_flight = false;
        Some(attempt.clone())
    }

    /// Cancels all attempts in flight.
    pub fn cancel_all(&mut self, actions: &mut Vec<Action>) {
        self.cancel_all_but(None, actions);
    }

    /// Cancels all attempts in flight except `number`.
    pub fn cancel_all_but(&mut self, number: Option<usize>, actions: &mut Vec<Action>) {
        for (other, attempt) in self.attempts.iter_mut().enumerate() {
            if Some(other) != number {
                attempt.cancel(self.request.id, other, actions);
            }
        }
    }

    pub fn queue_position(&self) -> QueuePosition {
        let cost = self.transfer_time_us / self.class.priority_weight;
        QueuePosition {
            cost_bits: cost.max(0.0).to_bits(),
            request: self.request.id,
        }
    }
}
