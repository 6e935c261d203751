//! What a front remembers of a request until it is answered, and of each of its attempts.
use super::endpoint::EndpointIndex;
use crate::api::{Action, Class, Idempotency, Micros, ObjectId, Request, RequestId, Timestamp};

/// One part of an object: what caches keep and fill.
pub(crate) type PartKey = (ObjectId, u32);

/// What a waiting request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum WaitTarget {
    /// Capacity at any cache.
    Cache,
    /// Capacity at an endpoint.
    Endpoint(EndpointIndex),
    /// Capacity on the link into the zone.
    Link,
    /// The end of a fill of the same part.
    Fill(ObjectId, u32),
}

/// What has a concurrency limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resource {
    /// An endpoint.
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

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum TimerPurpose {
    /// An attempt, by its number, is overdue.
    AttemptOverdue(RequestId, usize),
    /// A request has waited for as long as it may.
    WaitExpired(RequestId),
    /// The next turn under the fraction of a concurrency limit.
    FractionalSlotFree(Resource),
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Route {
    pub target: EndpointIndex,
    /// Where a miss is filled from. The target itself: it is not filled. `None`: no instructions for a fill are sent.
    pub source: Option<EndpointIndex>,
}

impl Route {
    /// To this endpoint alone.
    pub fn direct(target: EndpointIndex) -> Self {
        Route {
            target,
            source: None,
        }
    }

    /// To this cache, which fills a miss from the source.
    pub fn filled_from(target: EndpointIndex, source: EndpointIndex) -> Self {
        Route {
            target,
            source: Some(source),
        }
    }

    /// To this cache, which does not fill a miss.
    pub fn without_fill(target: EndpointIndex) -> Self {
        Route::filled_from(target, target)
    }

    /// The source, where that is another endpoint than the target.
    pub fn other_source(&self) -> Option<EndpointIndex> {
        self.source.filter(|source| *source != self.target)
    }
}

/// What is done next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Plan {
    Send(Route),
    Wait(WaitTarget),
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlanError {
    /// Too little time is left.
    DeadlineTooClose,
    /// The class, the number of attempts or the errors allow no further attempt.
    NotRepeatable,
    /// No cache is usable, nor is anything else allowed.
    NoUsableCache,
    /// No origin is known, and only that can run the request.
    NoOrigin,
}

/// Which endpoints of an attempt it probes, since they are SUSPECT.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probes {
    pub target: bool,
    pub source: bool,
}

/// One attempt of a request.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub route: Route,
    pub sent_at: Timestamp,
    /// It is in flight.
    pub in_flight: bool,
    /// It was cancelled, or may not be cancelled any more.
    pub cancelled: bool,
    pub probes: Probes,
    /// Microseconds of transfer time charged to the slow-start budget of the source.
    pub slow_start_charge_us: f64,
    /// A miss comes in through the link into the zone.
    pub uses_link: bool,
    /// The origin, where it is known that a parent has to fetch from it.
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

    /// Cancels the attempt if it is still in flight and was not cancelled before.
    pub fn cancel(&mut self, request: RequestId, number: usize, actions: &mut Vec<Action>) {
        if self.in_flight && !self.cancelled {
            self.cancelled = true;
            actions.push(Action::Cancel(request, number as u16));
        }
    }
}

/// An error answer that is not yet charged to the endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ErrorResponse {
    pub endpoint: EndpointIndex,
    pub sent_at: Timestamp,
}

/// Position in a wait queue: the requests with the highest priority weight for their transfer time come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueuePosition {
    /// Bits of the transfer time over the priority weight. It is not negative, so the bits sort like the number.
    cost_bits: u64,
    pub request: RequestId,
}

/// A request that is not answered yet.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub request: Request,
    pub class: Class,
    /// Its own transfer time in microseconds.
    pub transfer_time_us: f64,
    /// An answer by then meets the latency objective.
    pub objective_at: Timestamp,
    pub deadline: Timestamp,
    pub attempts: Vec<Attempt>,
    /// Targets that failed this request.
    pub failed_targets: Vec<EndpointIndex>,
    /// Sources that failed this request, once for each failure.
    pub failed_sources: Vec<EndpointIndex>,
    pub errors: Vec<ErrorResponse>,
    /// The cache was asked for a cached copy only and lacks it.
    pub missed: bool,
    /// The parent was asked for a cached copy only and lacks it: a fill goes by way of the origin.
    pub parent_missed: bool,
    pub waiting_for: Option<WaitTarget>,
    /// A write that was rejected waits until then.
    pub backoff_until: Option<Timestamp>,
    /// The last attempt asked for a copy past its freshness lifetime.
    pub accepts_stale: bool,
    /// The part was requested recently by another request.
    pub requested_recently: bool,
    /// When the first attempt was sent that may have run.
    pub may_have_run_at: Option<Timestamp>,
    /// Nothing more is owed to the client.
    pub done: bool,
}

impl PendingRequest {
    /// A request that arrived `now`, of which nothing is sent yet.
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

    /// Whether it may run any number of times.
    pub fn is_idempotent(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }

    /// The part that it asks for.
    pub fn part_key(&self) -> PartKey {
        (self.request.object, self.request.part)
    }

    /// Latency up to which an answer of one attempt is in time.
    pub fn latency_objective(&self) -> Micros {
        let stretch = self.class.objective_stretch * self.transfer_time_us;
        self.class.latency_objective + stretch as Micros
    }

    /// Whether an attempt is in flight.
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

    /// Cancels all attempts.
    pub fn cancel_all(&mut self, actions: &mut Vec<Action>) {
        self.cancel_all_but(None, actions);
    }

    /// Cancels all attempts but one.
    pub fn cancel_all_but(&mut self, number: Option<usize>, actions: &mut Vec<Action>) {
        for (other, attempt) in self.attempts.iter_mut().enumerate() {
            if Some(other) != number {
                attempt.cancel(self.request.id, other, actions);
            }
        }
    }

    /// Its position in a wait queue.
    pub fn queue_position(&self) -> QueuePosition {
        let cost = self.transfer_time_us / self.class.priority_weight;
        QueuePosition {
            cost_bits: cost.max(0.0).to_bits(),
            request: self.request.id,
        }
    }
}
