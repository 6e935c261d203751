//! Route: events go to the decisions, and the actions that they return are carried out.
use super::*;
use cranesill::api::{EndpointEntry, Event, LearnedHealth, ListKind, ObjectId};

impl RequestPipeline {
    /// Hands an event to the decisions and carries out their actions.
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
                timer: Timer::Policy(token),
            }),
            // Discovery pushes changes without being asked.
            Action::Subscribe => {}
            Action::Log(line) => self.commands.push_back(Command::Log(line)),
        }
    }

    /// Applies the endpoint list, or changes of it.
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

    /// Applies a purge made `at` by discovery's clock, of one object or of a whole group. No copy from before it may be
    /// taken for a newer one, so a purge whose time cannot be converted to this clock counts as made now.
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

    /// Discovery moves to another machine, whose clock was never compared with this one.
    pub fn discovery_moved(&mut self) {
        self.clock_offset = ClockOffset::default();
    }

    /// An operator cordons an endpoint, or ends that.
    pub fn set_cordoned(&mut self, now: Timestamp, endpoint: EndpointId, cordoned: bool) {
        self.handle_event(now, Event::Cordon { endpoint, cordoned });
    }

    /// What the decisions have learned of the endpoints' health, for the next process.
    pub fn learned_health(&self) -> Vec<LearnedHealth> {
        self.router.learned_health()
    }

    /// Restores what an earlier process has learned of the endpoints' health.
    pub fn restore_learned_health(&mut self, now: Timestamp, learned: Vec<LearnedHealth>) {
        self.handle_event(now, Event::LearnedHealth(learned));
    }

    /// Sets how many cache nodes can be connected at once, and after what time without traffic a connection is closed.
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

    /// Handles a timer that a [`Command::SetTimer`] asked for.
    pub fn handle_timer(&mut self, now: Timestamp, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.handle_event(now, Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => self.time_out(now, attempt),
            Timer::RequestDeadline(id) => self.deadline_passed(now, id),
        }
    }
}
