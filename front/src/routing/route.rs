//! Route: the decisions are told what happened, and what they ask for is carried out.
use super::*;
use cranesill::api::{Event, ListKind};

impl Front {
    /// Tells the decisions of an event and carries out what they ask for.
    pub(super) fn tell(&mut self, now: Timestamp, event: Event) {
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
                Action::Cancel(request, number) => self.call_off(AttemptId { request, number }),
                Action::Reject(id, later) => self.conclude(id, Answer::Refused(later)),
                Action::Fail(id) => self.conclude(id, Answer::Failed),
                Action::Timer(span, token) => self
                    .commands
                    .push_back(Command::Wake(now + span, Wake::Timer(token))),
                // The control feed pushes changes by itself.
                Action::Subscribe => {}
                Action::Log(line) => self.commands.push_back(Command::Log(line)),
            }
        }
        self.actions = actions;
    }

    /// Takes over the list of members, or what has changed in it.
    pub fn members(
        &mut self,
        now: Timestamp,
        whole: bool,
        list: Vec<cranesill::api::EndpointEntry>,
        origin: Origin,
    ) {
        if origin == Origin::Service {
            list.iter()
                .filter(|e| e.started > 0)
                .for_each(|e| self.ahead.told(now, e.started));
            self.tell(now, Event::ClockAhead(self.ahead.span()));
        }
        self.tell(
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
    pub fn purged(
        &mut self,
        now: Timestamp,
        object: Option<u64>,
        group: u32,
        at: Timestamp,
        origin: Origin,
    ) {
        let object = object.map(cranesill::api::ObjectId);
        if origin == Origin::Service {
            self.ahead.told(now, at);
        }
        let at = if origin == Origin::Kept {
            now
        } else {
            self.ahead.here(at)
        };
        self.tell(
            now,
            Event::Purged {
                object,
                group,
                age: now.saturating_sub(at),
            },
        );
    }

    /// The list is told by another machine from now on, whose clock nobody has compared with this one.
    pub fn list_moved(&mut self) {
        self.ahead = Ahead::default();
    }

    /// An operator takes a member out, or gives it back.
    pub fn by_hand(&mut self, now: Timestamp, member: EndpointId, out: bool) {
        self.tell(
            now,
            Event::Cordon {
                endpoint: member,
                cordoned: out,
            },
        );
    }

    /// What the decisions have learned of members, for the next process.
    pub fn learned(&self) -> Vec<cranesill::api::LearnedHealth> {
        self.router.learned_health()
    }

    /// Takes over what an earlier process has learned.
    pub fn learn(&mut self, now: Timestamp, learned: Vec<cranesill::api::LearnedHealth>) {
        self.tell(now, Event::LearnedHealth(learned));
    }

    /// How many cache nodes can be reached at once, each by a connection, and how long one stays open that carries nothing.
    pub fn set_reach(&mut self, now: Timestamp, (at_most, idle): (usize, Micros)) {
        self.tell(now, Event::Connections { max: at_most, idle });
    }

    /// Changes the room for requests.
    pub fn set_room(&mut self, room: Room) {
        self.room = room;
    }

    /// A moment that the stages asked to be woken at has come.
    pub fn wake(&mut self, now: Timestamp, wake: Wake) {
        match wake {
            Wake::Timer(token) => self.tell(now, Event::Timer(token)),
            Wake::Attempt(attempt) => self.expire(now, attempt),
            Wake::Request(id) => self.overdue(now, id),
        }
    }
}
