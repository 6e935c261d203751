//! Route: the decisions are told what happened, and what they ask for is carried out.
use super::*;
use cranesill::api::{Event, ListKind};

impl RequestPipeline {
    /// Tells the decisions of an event and carries out what they ask for.
    pub(super) fn handle_event(&mut self, now: Timestamp, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.router.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send {
                    request,
                    target,
                    timeout,
                    fill,
                } => {
                    let until = (timeout > 0).then_some(now + timeout);
                    self.send(now, request, target, until, fill)
                }
                Action::Cancel(request, number) => {
                    self.cancel_attempt(AttemptId { request, number })
                }
                Action::Reject(id, later) => self.conclude(id, Response::Rejected(later)),
                Action::Fail(id) => self.conclude(id, Response::Failed),
                Action::Timer(span, token) => self
                    .commands
                    .push_back(Command::SetTimer(now + span, Timer::Policy(token))),
                // The control feed pushes changes by itself.
                Action::Subscribe => {}
                Action::Log(line) => self.commands.push_back(Command::Log(line)),
            }
        }
        self.actions = actions;
    }

    /// Takes over the list of members, or what has changed in it.
    pub fn apply_endpoints(
        &mut self,
        now: Timestamp,
        whole: bool,
        list: Vec<cranesill::api::EndpointEntry>,
        origin: EventSource,
    ) {
        if origin == EventSource::Live {
            list.iter()
                .filter(|e| e.started > 0)
                .for_each(|e| self.clock_offset.observe(now, e.started));
            self.handle_event(now, Event::ClockAhead(self.clock_offset.max_ahead()));
        }
        self.handle_event(
            now,
            Event::Endpoints(
                if whole {
                    ListKind::Full
                } else {
                    ListKind::Delta
                },
                list,
            ),
        );
    }

    /// Takes over a purge made `at` by the clock of the list service. No copy from before it may be taken for a newer one, so
    /// one of which nobody can tell here when it was counts as of now.
    pub fn apply_purge(
        &mut self,
        now: Timestamp,
        object: Option<u64>,
        group: u32,
        at: Timestamp,
        origin: EventSource,
    ) {
        let object = object.map(cranesill::api::ObjectId);
        if origin == EventSource::Live {
            self.clock_offset.observe(now, at);
        }
        let at = if origin == EventSource::Stored {
            now
        } else {
            self.clock_offset.to_local(at)
        };
        self.handle_event(now, Event::Purged(object, group, now.saturating_sub(at)));
    }

    /// The list is told by another machine from now on, whose clock nobody has compared with this one.
    pub fn discovery_moved(&mut self) {
        self.clock_offset = ClockOffset::default();
    }

    /// An operator takes a member out, or gives it back.
    pub fn set_cordoned(&mut self, now: Timestamp, member: EndpointId, out: bool) {
        self.handle_event(now, Event::Cordon(member, out));
    }

    /// What the decisions have learned of members, for the next process.
    pub fn learned_health(&self) -> Vec<cranesill::api::LearnedHealth> {
        self.router.learned()
    }

    /// Takes over what an earlier process has learned.
    pub fn restore_learned_health(
        &mut self,
        now: Timestamp,
        learned: Vec<cranesill::api::LearnedHealth>,
    ) {
        self.handle_event(now, Event::LearnedHealth(learned));
    }

    /// How many cache nodes can be reached at once, each by a connection, and how long one stays open that carries nothing.
    pub fn set_connection_limits(&mut self, now: Timestamp, (at_most, idle): (usize, Micros)) {
        self.handle_event(now, Event::Connections(at_most, idle));
    }

    /// Changes the room for requests.
    pub fn set_capacity(&mut self, capacity: CapacityLimits) {
        self.capacity = capacity;
    }

    /// A moment that the stages asked to be woken at has come.
    pub fn handle_timer(&mut self, now: Timestamp, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.handle_event(now, Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => self.time_out(now, attempt),
            Timer::RequestDeadline(id) => self.deadline_passed(now, id),
        }
    }
}
