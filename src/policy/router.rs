//! The router: its state, and the dispatch of events to the modules that handle them.
use super::concurrency_limit::ConcurrencyLimit;
use super::connection_set::ConnectionSet;
use super::endpoint::{EndpointIndex, Role};
use super::endpoint_table::EndpointTable;
use super::multiset::Multiset;
use super::purge_times::PurgeTimes;
use super::recent_keys::RecentKeys;
use super::request_state::{
    PartKey, PendingRequest, QueuePosition, Resource, TimerPurpose, WaitTarget,
};
use super::retry_budget::RetryBudget;
use super::timers::Timers;
use super::wait_queues::WaitQueues;
use crate::api::{Action, Event, Micros, RequestId, Settings, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Retries after a rejection for lack of capacity, per request.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Hedged requests and cancellations of overdue attempts, per request.
const HEDGES_PER_REQUEST: f64 = 0.05;

/// The link utilization from the latest load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkReport {
    /// Transfers in progress over those that fit at full rate.
    pub utilization: f64,
    pub received_at: Timestamp,
}

/// Decision state of one front. It is deterministic: the same settings and events give the same actions.
#[derive(Debug)]
pub struct Router {
    pub(super) settings: Settings,
    pub(super) now: Timestamp,
    /// Actions of the event being handled.
    pub(super) actions: Vec<Action>,
    pub(super) endpoints: EndpointTable,
    pub(super) connections: ConnectionSet,
    /// Endpoints that were in slow start when last checked.
    pub(super) warming_up: BTreeSet<EndpointIndex>,
    pub(super) recent_parts: RecentKeys<PartKey>,
    pub(super) pending: BTreeMap<RequestId, PendingRequest>,
    pub(super) purge_times: PurgeTimes,
    /// Moving average of the ratio of requests for recently purged objects.
    pub(super) purged_ratio: f64,
    /// Moving average of the transfer time in microseconds, by class; 0 before the first request.
    pub(super) mean_transfer_time_us: Vec<f64>,
    /// Parts that attempts in flight may fill.
    pub(super) fills_in_flight: Multiset<PartKey>,
    pub(super) wait_queues: WaitQueues<WaitTarget, QueuePosition>,
    timers: Timers<TimerPurpose>,
    pub(super) hedge_budget: RetryBudget,
    pub(super) retry_budget: RetryBudget,
    /// Limit of fills over the link into the zone.
    pub(super) link: ConcurrencyLimit,
    pub(super) link_report: Option<LinkReport>,
}

impl Router {
    /// Creates a router without endpoints. The seed is unused, since no decision is random.
    pub fn new(settings: Settings, _seed: u64) -> Self {
        let subscription = settings.must_subscribe.then_some(Action::Subscribe);
        Router {
            mean_transfer_time_us: vec![0.0; settings.classes.len()],
            actions: subscription.into_iter().collect(),
            settings,
            now: 0,
            endpoints: EndpointTable::default(),
            connections: ConnectionSet::default(),
            warming_up: BTreeSet::new(),
            recent_parts: RecentKeys::default(),
            pending: BTreeMap::new(),
            purge_times: PurgeTimes::default(),
            purged_ratio: 0.0,
            fills_in_flight: Multiset::default(),
            wait_queues: WaitQueues::default(),
            timers: Timers::default(),
            hedge_budget: RetryBudget::new(HEDGES_PER_REQUEST),
            retry_budget: RetryBudget::new(RETRIES_PER_REQUEST),
            link: ConcurrencyLimit::default(),
            link_report: None,
        }
    }

    /// Handles one event at time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.connections.expire(now);
        match event {
            Event::Endpoints(kind, entries) => self.apply_endpoint_list(kind, entries),
            Event::Request(request) => self.request_arrived(request),
            Event::Outcome(outcome) => self.attempt_ended(outcome),
            Event::Started(id, number) => self.response_started(id, number),
            Event::Cancelled(id) => self.finish(id),
            Event::Timer(token) => self.timer_expired(token),
            Event::Purged { object, group, age } => self.record_purge(object, group, age),
            Event::ClockAhead(ahead) => self.endpoints.clock_ahead = ahead,
            Event::Cordon { endpoint, cordoned } => self.set_cordoned(endpoint, cordoned),
            Event::LearnedHealth(all) => self.restore_health(all),
            Event::Connections { max, idle } => self.connections.set_limits(max, idle),
        }
        actions.append(&mut self.actions);
    }

    fn timer_expired(&mut self, token: u64) {
        match self.timers.take(token) {
            Some(TimerPurpose::AttemptOverdue(id, number)) => self.attempt_overdue(id, number),
            Some(TimerPurpose::WaitExpired(id)) => self.wait_timer_expired(id),
            Some(TimerPurpose::FractionalSlotFree(resource)) => self.wake_waiting(resource.into()),
            None => {}
        }
    }

    pub(super) fn set_timer(&mut self, delay: Micros, purpose: TimerPurpose) {
        let token = self.timers.set(purpose);
        self.actions.push(Action::Timer(delay, token));
    }

    /// Number of fronts that share the endpoints of a role: those of the zone for caches, all fronts for parents and
    /// the origin.
    pub(super) fn fronts_sharing(&self, role: Role) -> u32 {
        let zone = usize::from(self.settings.zone);
        match role {
            Role::Cache => {
                let in_zone = self.settings.fronts_by_zone.get(zone);
                in_zone.map_or(1, |fronts| (*fronts).max(1))
            }
            Role::Parent | Role::Origin => self.settings.fronts.max(1),
        }
    }

    /// The origin, if it is listed as ready.
    pub(super) fn origin(&self) -> Option<EndpointIndex> {
        self.endpoints.ready(Role::Origin).first().copied()
    }

    /// Whether an endpoint is ready and its health admits requests.
    pub(super) fn is_usable(&self, at: EndpointIndex) -> bool {
        self.endpoints.is_ready(at) && self.endpoints[at].health.is_selectable(self.now)
    }

    pub(super) fn concurrency_mut(&mut self, resource: Resource) -> &mut ConcurrencyLimit {
        match resource {
            Resource::Endpoint(at) => &mut self.endpoints[at].concurrency,
            Resource::Link => &mut self.link,
        }
    }

    /// Whether an endpoint has capacity for one more request of this front.
    pub(super) fn has_capacity(&self, at: EndpointIndex) -> bool {
        self.endpoints[at].concurrency.has_capacity(self.now)
    }
}
