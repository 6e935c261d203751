//! Route: passes events to the router and executes the actions that it returns.
use super::*;
use cranesill::api::{EndpointEntry, Event, LearnedHealth, ListKind, ObjectId};

impl RequestPipeline {
    /// Passes an event to the router and executes its actions.
    pub(super) fn handle_event(&mut self, now: Timestamp, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(now, action);
        }
        self.actions = actions;
    }

    fn apply_action(&mut self, now: Timestamp, action: Action) {
        match action {
            Action::Send {
                request,
                target,
                timeout,
                fill,
            } => {
                let timeout_at = (timeout > 0).then_some(now + timeout);
                self.dispatch(now, request, target, timeout_at, fill);
            }
            Action::Cancel(request, number) => self.cancel_attempt(AttemptId { request, number }),
            Action::Reject(id, retry_after) => self.conclude(id, Response::Rejected(retry_after)),
            Action::Fail(id) => self.conclude(id, Response::Failed),
            Action::Timer(delay, token) => self.commands.push_back(Command::SetTimer {
                at: now + delay,
                timer: Timer::Router(token),
            }),
            // Discovery pushes changes without a subscription.
            Action::Subscribe => {}
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
        }
    }

    /// Applies the complete endpoint list or changes to it.
    pub fn apply_endpoints(
        &mut self,
        now: Timestamp,
        kind: ListKind,
        entries: Vec<EndpointEntry>,
        source: EventSource,
    ) {
        if source == EventSource::Live {
            let started = entries.iter().map(|entry| entry.started);
            for started_at in started.filter(|started_at| *started_at > 0) {
                self.clock_offset.observe(now, started_at);
            }
            let ahead = self.clock_offset.max_ahead();
            self.handle_event(now, Event::ClockAhead(ahead));
        }
        self.handle_event(now, Event::Endpoints(kind, entries));
    }

    /// Applies a purge of an object or a group, timestamped `at` by the clock of discovery. A timestamp that cannot be
    /// converted to the local clock is replaced by `now`, so that no older copy is accepted.
    pub fn apply_purge(
        &mut self,
        now: Timestamp,
        object: Option<u64>,
        group: u32,
        at: Timestamp,
        source: EventSource,
    ) {
        if source == EventSource::Live {
            self.clock_offset.observe(now, at);
        }
        let at = match source {
            EventSource::Stored => now,
            EventSource::Live | EventSource::Configuration => self.clock_offset.to_local(at),
        };
        let age = now.saturating_sub(at);
        self.handle_event(
            now,
            Event::Purged {
                object: object.map(ObjectId),
                group,
                age,
            },
        );
    }

    /// Resets the clock offset: discovery moves to another machine, which has another clock.
    pub fn discovery_moved(&mut self) {
        self.clock_offset = ClockOffset::default();
    }

    /// Cordons or uncordons an endpoint.
    pub fn set_cordoned(&mut self, now: Timestamp, endpoint: EndpointId, cordoned: bool) {
        self.handle_event(now, Event::Cordon { endpoint, cordoned });
    }

    /// Returns the learned health of the endpoints, which is handed over to the next process.
    pub fn learned_health(&self) -> Vec<LearnedHealth> {
        self.router.learned_health()
    }

    /// Restores the health of endpoints that an earlier process has learned.
    pub fn restore_learned_health(&mut self, now: Timestamp, learned: Vec<LearnedHealth>) {
        self.handle_event(now, Event::LearnedHealth(learned));
    }

    /// Sets the maximum number of connected cache nodes and the idle timeout of connections.
    pub fn set_connection_limits(
        &mut self,
        now: Timestamp,
        (max_connections, idle_timeout): (usize, Micros),
    ) {
        self.handle_event(
            now,
            Event::Connections {
                max: max_connections,
                idle: idle_timeout,
            },
        );
    }

    /// Changes the capacity limits.
    pub fn set_capacity(&mut self, capacity: CapacityLimits) {
        self.capacity = capacity;
    }

    /// Handles the expiry of a timer that was set by [`Command::SetTimer`].
    pub fn handle_timer(&mut self, now: Timestamp, timer: Timer) {
        match timer {
            Timer::Router(token) => self.handle_event(now, Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => self.time_out(now, attempt),
            Timer::RequestDeadline(id) => self.deadline_passed(now, id),
        }
    }
}
