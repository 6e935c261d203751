//! What a router remembers of its members and requests. No decision is made here.
use crate::api::*;
use crate::policy::parts::Bucket;
use crate::policy::placement::Ranking;
use crate::policy::Health;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::{Index, IndexMut};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Cache,
    Parent,
    Origin,
}

/// Health of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    Up,
    Down,
    Suspect,
}

/// What a failed attempt says of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection, or it broke: the process is gone.
    Lost,
    /// An error answer.
    Error,
    /// Refused, slow or silent: a fault of its own only where others of its kind do better.
    Soft,
}

/// How much this router has out somewhere, and how much it may have.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pace {
    pub held: u32,
    pub limit: f64,
    /// The limit is never cut below this.
    pub least: f64,
    /// This router's share of what goes there at full pace; 0 when that is not told.
    pub full: f64,
    pub cut_at: Timestamp,
    /// Moving average of the share of late answers.
    pub late: f64,
    /// Moving average of how long each is out.
    pub service: f64,
    /// The last one over the whole part of the limit went then; the next may go after this span.
    pub turn_began: Timestamp,
    pub turn_wait: Micros,
}

impl Pace {
    /// Room for one more. The fraction of a limit is held to by turns: one more may be out for that share of
    /// the time.
    pub fn room(&self, now: Timestamp) -> bool {
        self.wider_room(now, 1.0)
    }

    /// The same under a limit that is wider by this factor: turns come as much sooner.
    pub fn wider_room(&self, now: Timestamp, factor: f64) -> bool {
        let (held, limit) = (f64::from(self.held), self.limit * factor);
        let turn = self
            .turn_began
            .saturating_add((self.turn_wait as f64 / factor) as Micros);
        held + 1.0 <= limit || (held < limit && now >= turn)
    }

    /// Whether so many times the limit are out.
    pub fn over(&self, times: f64) -> bool {
        f64::from(self.held) >= self.limit * times
    }

    /// Takes a place, and returns how long the next turn is away if this one was a turn.
    pub fn take(&mut self, now: Timestamp) -> Option<Micros> {
        let over = self.limit - f64::from(self.held);
        self.held += 1;
        (0.0 < over && over < 1.0).then(|| {
            let wait = (self.service / over) as Micros;
            (self.turn_began, self.turn_wait) = (now, wait);
            wait
        })
    }

    /// Gives a place back that was taken for `span`, which has `weight` in the average.
    pub fn give(&mut self, span: Micros, weight: f64) {
        self.held = self.held.saturating_sub(1);
        self.service += (span as f64 - self.service) * weight;
    }
}

/// What a waiting request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Spot {
    /// Room at any cache.
    Cache,
    /// Room at a member.
    Member(usize),
    /// Room on the link into the zone.
    Link,
    /// The end of a fill of the same part.
    Fill(ObjectId, u32),
}

/// What a timer is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Due {
    /// An attempt, by its number, is overdue.
    Attempt(RequestId, usize),
    /// A request's wait ends.
    Wait(RequestId),
    /// One more may go, by turn.
    Turn(Spot),
}

#[derive(Debug)]
pub(crate) struct Member {
    pub listed: EndpointEntry,
    pub role: Role,
    pub cold_since: Timestamp,
    pub cold: SlowStartLimits,
    pub health: Health,
    pub pace: Pace,
    /// Work, in microseconds of sending time, that this router may send while the member is cold.
    pub budget: Bucket,
}

impl Member {
    /// When it started last, the same for all routers that were notified of it, whatever their clocks.
    pub fn start(&self) -> Timestamp {
        self.cold_since.max(self.listed.started)
    }
}

/// The members, each at a place that it keeps while it is listed or has something out. A change of one member costs
/// no look at the others.
#[derive(Debug, Default)]
pub(crate) struct Roster {
    all: Vec<Member>,
    index: BTreeMap<EndpointId, usize>,
    /// Places of members that were forgotten.
    free: Vec<usize>,
    /// Members that are gone from the list, of which some may still have something out.
    gone: BTreeSet<EndpointId>,
    /// Members that are listed as ready and not out by hand, by role.
    usable: [Usable; 3],
    /// Members that operators took out: by id, since each outlives its place in the list.
    by_hand: BTreeSet<EndpointId>,
    /// How far this clock is ahead of that by which starts are dated.
    pub ahead: Micros,
}

/// The usable members of a role.
#[derive(Debug, Default)]
struct Usable {
    /// Their places, in the order of their ids.
    places: Vec<usize>,
    ranking: Ranking,
}

impl Roster {
    pub fn find(&self, member: EndpointId) -> Option<usize> {
        self.index.get(&member).copied()
    }

    /// Now, by the clock by which starts are dated.
    pub fn dated(&self, now: Timestamp) -> Timestamp {
        now.saturating_sub(self.ahead)
    }

    /// Since when a member is cold that is listed now. A start in the future shows that this clock is behind: it was lately.
    pub fn cold_since(&self, entry: &EndpointEntry, now: Timestamp) -> Timestamp {
        entry.started.min(self.dated(now))
    }

    /// Takes a member out by hand, or gives it back. Whether that changes anything.
    pub fn set_by_hand(&mut self, member: EndpointId, out: bool) -> bool {
        let known = self.find(member);
        known.into_iter().for_each(|at| self.remove_usable(at));
        let changed = if out {
            self.by_hand.insert(member)
        } else {
            self.by_hand.remove(&member)
        };
        known.into_iter().for_each(|at| self.insert_usable(at));
        changed
    }

    /// All members that are known, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.index.values().map(|at| &self.all[*at])
    }

    pub fn is_by_hand(&self, member: EndpointId) -> bool {
        self.by_hand.contains(&member)
    }

    /// Whether a member is listed as ready, and no operator took it out.
    pub fn is_ready(&self, at: usize) -> bool {
        let listed = &self.all[at].listed;
        listed.state == EndpointState::Ready && !self.is_by_hand(listed.endpoint)
    }

    /// The members of a role that are listed as ready and not out by hand.
    pub fn ready(&self, role: Role) -> &[usize] {
        &self.usable[role as usize].places
    }

    /// The same members, to be put in order for an object.
    pub fn ranking(&self, role: Role) -> &Ranking {
        &self.usable[role as usize].ranking
    }

    pub fn ranking_mut(&mut self, role: Role) -> &mut Ranking {
        &mut self.usable[role as usize].ranking
    }

    pub fn all_gone(&mut self) {
        self.usable = Default::default();
        self.gone = self.index.keys().copied().collect();
        self.all
            .iter_mut()
            .for_each(|m| m.listed.state = EndpointState::Removed);
    }

    /// Takes over what the list says now of a member that is known.
    pub fn update(&mut self, at: usize, entry: EndpointEntry) {
        self.remove_usable(at);
        self.all[at].listed = entry;
        self.insert_usable(at);
    }

    /// Puts a member in its old place, or in a new one, and returns the place.
    pub fn put(&mut self, member: Member) -> usize {
        let known = self.find(member.listed.endpoint);
        known.into_iter().for_each(|at| self.remove_usable(at));
        let at = known.or_else(|| self.free.pop()).unwrap_or(self.all.len());
        self.index.insert(member.listed.endpoint, at);
        if at == self.all.len() {
            self.all.push(member);
        } else {
            self.all[at] = member;
        }
        self.insert_usable(at);
        at
    }

    /// Forgets members that are gone from the list and have nothing out, and returns their places.
    pub fn forget_gone(&mut self) -> Vec<usize> {
        let all = &self.all;
        let place = |id: &EndpointId| {
            self.index
                .get(id)
                .copied()
                .filter(|at| all[*at].pace.held == 0)
        };
        let over: Vec<_> = self
            .gone
            .iter()
            .filter_map(|id| place(id).map(|at| (*id, at)))
            .collect();
        for (id, at) in &over {
            self.gone.remove(id);
            self.index.remove(id);
            self.free.push(*at);
        }
        over.into_iter().map(|(_, at)| at).collect()
    }

    /// Before a change of a member: it is not among the usable ones.
    fn remove_usable(&mut self, at: usize) {
        let Member { listed, role, .. } = &self.all[at];
        self.gone.remove(&listed.endpoint);
        let (member, weight, usable) = (
            listed.endpoint,
            listed.weight,
            &mut self.usable[*role as usize],
        );
        if let Ok(position) = usable
            .places
            .binary_search_by_key(&member, |i| self.all[*i].listed.endpoint)
        {
            usable.places.remove(position);
            usable.ranking.remove(member, weight);
        }
    }

    /// After a change of a member: it is among the usable ones if it can be.
    fn insert_usable(&mut self, at: usize) {
        let Member { listed, role, .. } = &self.all[at];
        if listed.state == EndpointState::Removed {
            self.gone.insert(listed.endpoint);
        }
        if !self.is_ready(at) {
            return;
        }
        let usable = &mut self.usable[*role as usize];
        let position = usable
            .places
            .binary_search_by_key(&listed.endpoint, |i| self.all[*i].listed.endpoint);
        if let Err(position) = position {
            usable.places.insert(position, at);
            usable.ranking.insert(listed.endpoint, listed.weight, at);
        }
    }
}

impl Index<usize> for Roster {
    type Output = Member;
    fn index(&self, at: usize) -> &Member {
        &self.all[at]
    }
}

impl IndexMut<usize> for Roster {
    fn index_mut(&mut self, at: usize) -> &mut Member {
        &mut self.all[at]
    }
}

#[derive(Debug)]
pub(crate) struct Attempt {
    pub target: usize,
    /// Where a miss is filled from; the target itself: nowhere.
    pub source: Option<usize>,
    pub sent: Timestamp,
    pub live: bool,
    pub cancelled: bool,
    /// Whether it probes a SUSPECT target, source.
    pub trial: [bool; 2],
    /// Work charged to the cold budget of the source.
    pub charged: f64,
    /// A miss comes in through the link of the zone.
    pub by_link: bool,
    /// The origin, where it is known that a parent has to fetch from it.
    pub behind: Option<usize>,
}

impl Attempt {
    /// The source, where that is another member than the target.
    pub fn other(&self) -> Option<usize> {
        self.source.filter(|s| *s != self.target)
    }

    /// Target and source, each with whether the attempt probes it.
    pub fn members(&self) -> impl Iterator<Item = (usize, bool)> {
        let pair = [Some(self.target), self.other()]
            .into_iter()
            .zip(self.trial);
        pair.filter_map(|(at, trial)| at.map(|at| (at, trial)))
    }

    /// Calls the attempt off if it is still out and was not called off before.
    pub fn call_off(&mut self, request: RequestId, number: usize, out: &mut Vec<Action>) {
        if self.live && !self.cancelled {
            self.cancelled = true;
            out.push(Action::Cancel(request, number as u16));
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Plan {
    /// Send to this target; a source of `None` asks the target alone, the target itself means no fill.
    Go(usize, Option<usize>),
    Wait(Spot),
    No,
}

#[derive(Debug)]
pub(crate) struct Pending {
    pub ask: Request,
    pub class: Class,
    /// Own sending time in microseconds.
    pub work: f64,
    pub aim_at: Timestamp,
    pub deadline: Timestamp,
    pub attempts: Vec<Attempt>,
    /// Caches that failed this request, and sources, once for each failure.
    pub failed: Vec<usize>,
    pub failed_sources: Vec<usize>,
    /// Members that answered it with an error, and when they were sent it.
    pub errors: Vec<(usize, Timestamp)>,
    /// The cache was asked for what it holds and lacks it.
    pub missed: bool,
    /// The parent was asked for what it holds and lacks it: a fill goes by way of the origin.
    pub lacks: bool,
    /// What it waits for.
    pub waits: Option<Spot>,
    /// A write that was refused waits until then.
    pub hold_until: Option<Timestamp>,
    /// The last attempt asked for a copy past its fresh time.
    pub stale: bool,
    /// Asked for before, lately.
    pub again: bool,
    /// When the first attempt was sent that may have run.
    pub may_have_run: Option<Timestamp>,
    pub done: bool,
}

impl Pending {
    /// A request that came `now`, of which nothing is sent yet.
    pub fn new(ask: Request, class: Class, work: f64, now: Timestamp, again: bool) -> Self {
        Pending {
            aim_at: now + class.latency_objective + (class.objective_stretch * work) as Micros,
            deadline: now + ask.time_left,
            ask,
            class,
            work,
            attempts: Vec::new(),
            failed: Vec::new(),
            failed_sources: Vec::new(),
            errors: Vec::new(),
            missed: false,
            lacks: false,
            waits: None,
            hold_until: None,
            stale: false,
            again,
            may_have_run: None,
            done: false,
        }
    }

    pub fn safe(&self) -> bool {
        self.class.idempotency == Idempotency::Idempotent
    }

    pub fn key(&self) -> (ObjectId, u32) {
        (self.ask.object, self.ask.part)
    }

    /// Calls off all attempts but one, where that is allowed.
    pub fn call_off_others(&mut self, but: Option<usize>, allowed: bool, out: &mut Vec<Action>) {
        for (number, attempt) in self.attempts.iter_mut().enumerate() {
            if allowed && Some(number) != but {
                attempt.call_off(self.ask.id, number, out);
            }
        }
    }

    /// Place in a queue: sending time by worth. Both are positive, so their bits sort like the numbers.
    pub fn place(&self) -> (u64, RequestId) {
        (
            (self.work / self.class.priority_weight).max(0.0).to_bits(),
            self.ask.id,
        )
    }
}
