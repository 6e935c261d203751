//! The decisions of a request router. The types that it speaks are in `src/api.rs`; read those first.
//!
//! Each router counts failed attempts per member (cache, parent or origin), takes a member DOWN for a fail
//! window at a threshold, probes it afterwards as SUSPECT with real requests, and moves on to the next member
//! in hash order. `docs/design.md` cites the source and tells under what condition each departure acts.
use crate::api::*;
use crate::policy::hash::mix;
use crate::policy::parts::{Bucket, Count, Purges, Queues, Seen, Timers};
use crate::policy::reach::Reach;
use crate::policy::state::{
    Attempt, Due, Failure, Member, Pace, Pending, Plan, Role, Roster, Spot, State,
};
use std::collections::{BTreeMap, BTreeSet};

mod choice;
mod hash;
mod parts;
mod placement;
mod reach;
mod state;

// ------------------------------------------------------------------------------------------ tuned values
const MS: Micros = 1_000;
/// What was asked for within this time or twice it is kept at a higher rank: one-offs displace nothing of it.
const KEEP_MEMORY: Micros = 10_000 * MS;
/// The source's `max_retries`, `suspect_server`, `rr_retries`: failed attempts beyond the first that take a
/// member DOWN, tries beside the first probe of a SUSPECT one, tries of a request before the next parent.
const MAX_RETRIES: u32 = 3;
const SUSPECT_RETRIES: u32 = 1;
const RR_RETRIES: usize = 3;
/// How long a DOWN member gets nothing. The source has 60 s, the design 10 s; a member is a good part of a
/// location, and a probe costs one request that is tried elsewhere.
const FAIL_WINDOW: Micros = 5_000 * MS;
/// A failed fill that took this share of the aim moves on at once; a source lost within this multiple of the
/// time for connections was not reached: it is gone.
const SLOW_FAILURE: f64 = 0.25;
const CONNECT_SLACK: f64 = 1.25;
/// Requests at a cache over its full pace, as if all routers of the zone held what this one does (this many
/// or more), from which an object spills to the next with half of that, unless the link is told so busy.
const SPILL_LOAD: f64 = 1.8;
const SPILL_HELD: u32 = 3;
const SPILL_LINK: f64 = 1.0;
/// Share of the fall multiple that a cold member is offered (the rest is for what is not seen), and share of
/// the overload span whose budget can be spent in one burst.
const COLD_SHARE: f64 = 0.5;
const COLD_BURST: f64 = 0.1;
/// Requests in the overload span that a router's share of a cold member must allow, or only some send there.
const COLD_TURN: f64 = 2.0;
/// Attempts that all routers may have out at first, over the full pace of a member or link; and how many one
/// router always may, unless its share of the full pace is less.
const LIMIT_START: f64 = 3.0;
const LIMIT_LEAST: f64 = 2.0;
/// Places, or share of the full pace, by which limits grow in a round of answers in time; the factor by which
/// a jam cuts one, at most once in the pause.
const LIMIT_GROWTH: f64 = 4.0;
const LIMIT_CATCH_UP: f64 = 0.05;
const LIMIT_CUT: f64 = 0.85;
const LIMIT_PAUSE: Micros = 300 * MS;
/// Size of the origin, which is not told, over that of all parents; its share of late answers if it is slow.
const ORIGIN_SIZE: f64 = 0.25;
const ORIGIN_LATE: f64 = 0.4;
/// Share of requests whose object was purged lately, from which on the origin is asked for all: what
/// fills by its way is held to its limit before the first late answer shows that it has no room for more.
const VOID_MUCH: f64 = 0.25;
/// Transfers on the link into the zone, over those that fit at full pace, from which it is full: a fill runs
/// two to four times as fast as a client takes it, so up to there it holds up none. And how old a report may
/// be.
const LINK_FULL: f64 = 3.0;
const LINK_LEAST: f64 = 0.2;
const REPORT_FRESH: Micros = 1_000 * MS;
/// Share of late answers of a member up to which it is calm.
const CALM_LATE: f64 = 0.1;
/// Attempts that name a source, over its limit, from which a cache is first asked for what it holds alone:
/// about half of them are hits that never reach it. What has missed is held to the limit itself.
const NAMED_MOST: f64 = 2.0;
/// Further attempts after a refusal for lack of room, and second copies of overdue attempts, for each first
/// attempt, and how many of each may be saved up. More would turn an overload into a storm.
const RETRY_RATIO: f64 = 0.1;
const HEDGE_RATIO: f64 = 0.05;
const EXTRA_BURST: f64 = 10.0;
/// An attempt is never overdue before this multiple of its own sending time plus a round of waiting.
const OVERDUE_WORK: f64 = 1.5;
const OVERDUE_WAIT: Micros = 100 * MS;
/// Sending time assumed where no size is told; the weight of a new value in moving averages.
const WORK_UNKNOWN: f64 = 200_000.0;
const EWMA: f64 = 0.05;
/// A write that was refused for lack of room waits this share of its aim; nothing new is tried with less time
/// left; purges are remembered this much longer than members may hold old copies.
const WRITE_PAUSE: f64 = 0.1;
const LEFT_LEAST: Micros = 5 * MS;
/// Members that answer a request with an error before it is given up: the request is at fault, not they.
const ERRORS_MOST: usize = 2;
/// Share of its time that a request waits at most while nothing of it was sent: its client can ask elsewhere.
const WAIT_MOST: f64 = 0.5;
const PURGE_SLACK: Micros = 1_000 * MS;

// ------------------------------------------------------------------------------------------------ health

/// Health of one member; one mechanism for caches, parents and the origin.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    down_since: Option<Timestamp>,
    /// Attempts sent before this moment prove nothing about the state since.
    changed: Timestamp,
    /// Probes out while SUSPECT.
    trials: u32,
    /// Went DOWN because no connection was made: it will come back cold.
    lost: bool,
    last_answer: Timestamp,
    last_failure: Timestamp,
    /// When the first attempt was sent that met its silence, if that was after its last answer.
    silent: Timestamp,
}

impl Health {
    fn state(&self, now: Timestamp) -> State {
        match self.down_since {
            None => State::Up,
            Some(since) if now < since + FAIL_WINDOW => State::Down,
            Some(_) => State::Suspect,
        }
    }

    fn selectable(&self, now: Timestamp) -> bool {
        let state = self.state(now);
        state == State::Up || state == State::Suspect && self.trials <= SUSPECT_RETRIES
    }

    /// A failed attempt counts at once. Returns whether the member went DOWN by it.
    fn fail(&mut self, sent: Timestamp, now: Timestamp, lost: bool) -> bool {
        let state = self.state(now);
        if state == State::Down || sent < self.changed {
            return false;
        }
        self.failures += 1;
        if state == State::Up && self.failures <= MAX_RETRIES {
            return false;
        }
        (self.down_since, self.changed, self.lost, self.trials) = (Some(now), now, lost, 0);
        true
    }

    /// A served answer. Returns whether a SUSPECT member came UP by it. An UP one has one failure taken off,
    /// not all: a member that fails every other attempt must go DOWN.
    fn served(&mut self, sent: Timestamp, now: Timestamp) -> bool {
        self.last_answer = now;
        // A late success of an attempt from before the window's end is no probe.
        let probe = self
            .down_since
            .is_some_and(|since| sent >= since + FAIL_WINDOW);
        if probe {
            *self = Health {
                changed: now,
                last_answer: now,
                ..Health::default()
            };
        } else if self.down_since.is_none() {
            self.failures = self.failures.saturating_sub(1);
        }
        probe
    }
}

/// One router's decisions. Deterministic: the same settings and events give the same actions.
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    now: Timestamp,
    out: Vec<Action>,
    members: Roster,
    reach: Reach,
    /// Members that are in slow start, or were when last looked at.
    warming: BTreeSet<usize>,
    seen: Seen<(ObjectId, u32)>,
    pending: BTreeMap<RequestId, Pending>,
    purges: Purges,
    /// Mean sending time by class.
    mean_work: Vec<f64>,
    /// Attempts that fill a miss, if it is one, by object and part.
    filling: Count<(ObjectId, u32)>,
    /// Requests that wait, by what they wait for: those that earn most for their sending time first.
    queues: Queues<Spot, (u64, RequestId)>,
    timers: Timers<Due>,
    hedges: f64,
    retries: f64,
    /// Fills from outside on the link into the zone, and the last report of how full that is.
    link: Pace,
    link_told: Option<(f64, Timestamp)>,
    /// Moving average of the share of requests whose object was purged lately.
    void: f64,
}

impl Router {
    /// A router at its start. Nothing is left to chance: the seed is not used.
    pub fn new(settings: Settings, _seed: u64) -> Self {
        Router {
            mean_work: vec![0.0; settings.classes.len()],
            out: settings
                .must_subscribe
                .then_some(Action::Subscribe)
                .into_iter()
                .collect(),
            settings,
            now: 0,
            members: Roster::default(),
            reach: Reach::default(),
            warming: BTreeSet::new(),
            seen: Seen::default(),
            pending: BTreeMap::new(),
            purges: Purges::default(),
            filling: Count::default(),
            queues: Queues::default(),
            timers: Timers::default(),
            hedges: EXTRA_BURST,
            retries: EXTRA_BURST,
            link: Pace::default(),
            link_told: None,
            void: 0.0,
        }
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Timestamp, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.reach.expire(now);
        match event {
            Event::Endpoints(kind, entries) => self.members_changed(kind, entries),
            Event::Request(ask) => self.request(ask),
            Event::Outcome(outcome) => self.outcome(outcome),
            Event::Started(id, number) => self.started(id, number),
            Event::Cancelled(id) => self.finish(id),
            Event::Timer(token) => match self.timers.take(token) {
                Some(Due::Attempt(id, number)) => self.overdue(id, number),
                Some(Due::Wait(id)) => self.wait_over(id),
                Some(Due::Turn(spot)) => self.release(spot),
                None => {}
            },
            Event::Purged(object, group, age) => {
                let keep = self.settings.purge_propagation + PURGE_SLACK;
                self.purges.note(
                    object,
                    group,
                    now.saturating_sub(age),
                    now.saturating_sub(keep),
                );
            }
            Event::ClockAhead(span) => self.members.ahead = span,
            Event::Cordon(member, out) => self.by_hand(member, out),
            Event::LearnedHealth(all) => all.into_iter().for_each(|one| self.learn(one)),
            Event::Connections(at_most, idle) => self.reach.set_limits(at_most, idle),
        }
        actions.append(&mut self.out);
    }

    /// Takes over the list. Caches of other zones are of no use here and are not kept.
    fn members_changed(&mut self, kind: ListKind, entries: Vec<EndpointEntry>) {
        match kind {
            ListKind::Failed => self.out.push(Action::Subscribe),
            ListKind::Full => self.members.all_gone(),
            ListKind::Delta => {}
        }
        for mut entry in entries {
            entry.weight = if entry.weight > 0.0 {
                entry.weight
            } else {
                1.0
            };
            let role = match Some(entry.kind) {
                kind if kind == self.settings.parent_kind => Role::Parent,
                kind if kind == self.settings.origin_kind => Role::Origin,
                _ if entry.zone != self.settings.zone => continue,
                _ => Role::Cache,
            };
            let known = self.members.find(entry.endpoint);
            if let Some(at) = known.filter(|at| self.members[*at].listed.started == entry.started) {
                self.members.update(at, entry);
                continue;
            }
            // New, or cold and empty again: its old health says nothing.
            let share = entry.weight / f64::from(self.routers(role));
            let held = known.map_or(0, |at| self.members[at].pace.held);
            let (limit, least, service) =
                (LIMIT_START * share, LIMIT_LEAST.min(share), WORK_UNKNOWN);
            let member = Member {
                role,
                cold_since: self.members.cold_since(&entry, self.now),
                cold: if role == Role::Parent {
                    self.settings.parent_slow_start
                } else {
                    self.settings.cache_slow_start
                },
                health: Health {
                    changed: self.now,
                    ..Health::default()
                },
                pace: Pace {
                    held,
                    limit,
                    least,
                    service,
                    full: share,
                    ..Pace::default()
                },
                budget: Bucket::new(self.now),
                listed: entry,
            };
            let at = self.members.put(member);
            self.reach.forget(at);
            self.warming.insert(at);
        }
        let forgotten = self.members.forget_gone();
        forgotten.into_iter().for_each(|at| self.reach.forget(at));
        // Where the size of the link is not told it is at first taken for that of the caches behind it.
        let behind = self.members.ranking(Role::Cache).weight();
        let parents = self.members.ranking(Role::Parent).weight();
        let origin = parents * ORIGIN_SIZE / f64::from(self.routers(Role::Origin));
        if let Some(at) = self.origin() {
            let pace = &mut self.members[at].pace;
            pace.least = LIMIT_LEAST.min(origin);
            pace.limit = pace.limit.max(if pace.cut_at == 0 {
                LIMIT_START * origin
            } else {
                pace.least
            });
        }
        let told = self.settings.link_kb_per_s / self.settings.client_kb_per_s;
        let share = if told > 0.0 { told } else { behind } / f64::from(self.routers(Role::Cache));
        self.link.limit = if self.link_told.is_none() {
            LIMIT_START * share
        } else {
            self.link.limit
        };
        self.link.least = if told > 0.0 {
            share
        } else {
            LIMIT_LEAST.min(share)
        };
        self.release_members();
    }

    /// After a change of the list: what waits for members looks again, in the order of their ids.
    fn release_members(&mut self) {
        let member = |spot: &Spot| match spot {
            Spot::Member(at) => Some((self.members[*at].listed.endpoint, *at)),
            _ => None,
        };
        let mut waited_for: Vec<_> = self.queues.keys().filter_map(member).collect();
        waited_for.sort_unstable();
        waited_for
            .into_iter()
            .for_each(|(_, at)| self.release(Spot::Member(at)));
    }

    /// An operator takes a member out, or gives it back; the list has no say in it. What comes back was
    /// restarted: it is cold, and neither an old failure nor an old answer says anything of it.
    fn by_hand(&mut self, id: EndpointId, out: bool) {
        if !self.members.set_by_hand(id, out) {
            return;
        }
        if let Some(at) = self.members.find(id).filter(|_| !out) {
            let (now, started) = (self.now, self.members.dated(self.now));
            let member = &mut self.members[at];
            member.cold_since = started;
            (member.budget, member.health) = (
                Bucket::new(now),
                Health {
                    changed: now,
                    ..Health::default()
                },
            );
            self.warming.insert(at);
        }
        self.members_changed(ListKind::Delta, Vec::new());
        self.release(Spot::Cache);
    }

    /// What is worth handing to the next process: who is DOWN or SUSPECT, and who is cold though not by the
    /// list.
    pub fn learned_health(&self) -> Vec<LearnedHealth> {
        let all = self.members.all().map(|m| LearnedHealth {
            endpoint: m.listed.endpoint,
            started: m.listed.started,
            cold_since: m.cold_since,
            down: m.health.down_since.is_some(),
            lost: m.health.lost,
        });
        all.filter(|one| one.down || one.cold_since != one.started)
            .collect()
    }

    /// Takes over what an earlier process learned of a member that has not started anew since. What was DOWN
    /// is SUSPECT: it has to prove itself to this one.
    fn learn(&mut self, one: LearnedHealth) {
        let same = |at: &usize| self.members[*at].listed.started == one.started;
        let Some(at) = self.members.find(one.endpoint).filter(same) else {
            return;
        };
        let member = &mut self.members[at];
        member.cold_since = member.cold_since.max(one.cold_since);
        self.warming.insert(at);
        if one.down && member.health.down_since.is_none() {
            member.health.down_since = Some(self.now.saturating_sub(FAIL_WINDOW));
            member.health.lost = one.lost;
        }
    }

    /// Whether a listed member is avoided now: out by hand, draining, DOWN, or SUSPECT with its probes out.
    pub fn is_unavailable(&self, id: EndpointId) -> bool {
        self.members.is_by_hand(id) || self.members.find(id).is_some_and(|at| !self.usable(at))
    }

    // ----------------------------------------------------------------------------------------- placement
    /// Routers that send to members of a role: those of the zone to its caches, all to the others.
    fn routers(&self, role: Role) -> u32 {
        let zone = self
            .settings
            .fronts_by_zone
            .get(usize::from(self.settings.zone));
        match role {
            Role::Cache => zone.map_or(1, |n| (*n).max(1)),
            _ => self.settings.fronts.max(1),
        }
    }

    fn origin(&self) -> Option<usize> {
        self.members.ready(Role::Origin).first().copied()
    }

    // -------------------------------------------------------------------------------------------- guards
    fn is_cold(&self, at: usize) -> bool {
        let (m, now) = (&self.members[at], self.members.dated(self.now));
        m.role != Role::Origin && m.cold_since > 0 && now < m.cold_since + m.cold.warm_up
    }

    /// Slow start: a member that started lately gets no more than this router's share of what it can do for
    /// sure. Guards against pushing it over, and against jams at one that is still slow. Where the share is
    /// too small only some routers send at all, by number from a place hashed for the member; more of them
    /// as it warms. It harms where few of them need the member.
    fn cold_room(&mut self, at: usize) -> bool {
        if !self.is_cold(at) {
            return true;
        }
        let (limits, routers) = (
            self.members[at].cold,
            f64::from(self.routers(self.members[at].role)),
        );
        let (span, work) = (
            self.settings.overload_window as f64,
            self.mean_work.iter().fold(1.0, |a, b| b.max(a)),
        );
        let now = self.members.dated(self.now);
        let member = &mut self.members[at];
        let age = now.saturating_sub(member.cold_since) as f64 / limits.warm_up as f64;
        let capacity = member.listed.weight
            * (limits.initial_share + (1.0 - limits.initial_share) * age.min(1.0));
        let rate = capacity * limits.overload_multiple * COLD_SHARE;
        let some = (rate * span / work / COLD_TURN).floor().clamp(1.0, routers);
        let place = mix(member.listed.endpoint.0, member.start())
            .wrapping_add(self.settings.front_index.into());
        member
            .budget
            .refill(self.now, rate / some, rate / some * span * COLD_BURST);
        // Overdrawn by one request, or none larger than the bucket would pass.
        member.budget.level > 0.0 && place % (routers as u64) < some as u64
    }

    fn room(&self, at: usize) -> bool {
        self.members[at].pace.room(self.now)
    }

    /// Whether this router's share of a source is less than one place: many routers send to few parents. The
    /// origin's size is a guess, so it goes with the parents there.
    fn thin(&self, at: usize) -> bool {
        let thin = |at: &usize| self.members[*at].pace.least < 1.0;
        match self.members[at].role {
            Role::Origin => self.members.ready(Role::Parent).iter().any(thin),
            _ => thin(&at),
        }
    }

    /// What a fill from `source` waits for, if anything: for the link only where reports tell of it.
    fn fill_waits(&self, source: usize, lacks: bool, ask: &Request) -> Option<Spot> {
        let lack = |room: bool, spot: Spot| (!room).then_some(spot);
        let behind = self
            .slow_origin(source, ask)
            .filter(|at| lacks && !self.room(*at));
        let here = lack(self.room(source), Spot::Member(source)).or(lack(
            self.link_told.is_none() || !self.link.over(NAMED_MOST),
            Spot::Link,
        ));
        here.or(behind.map(Spot::Member))
    }

    /// The origin, where `source` is a parent and what comes by way of the origin is late, or will be since
    /// all copies went void: a parent is then first asked for what it holds, or its places would all be taken
    /// by what waits for the origin. Each of many routers sees too few late answers to learn it in time.
    fn slow_origin(&self, source: usize, ask: &Request) -> Option<usize> {
        let parent = self.members[source].role == Role::Parent;
        let void = self.void >= VOID_MUCH && self.purged(ask);
        let work = ask.size_kb / self.settings.client_kb_per_s * 1e6;
        let apart = !self.settings.coalescing && work > self.mean_work[usize::from(ask.class)];
        self.origin()
            .filter(|at| parent && (void || apart || self.members[*at].pace.late >= ORIGIN_LATE))
    }

    /// How full the link into the zone is, where a report tells.
    fn link_told(&self) -> Option<f64> {
        self.link_told
            .filter(|told| self.now < told.1 + REPORT_FRESH)
            .map(|told| told.0)
    }

    /// Concurrency limit of a member or the link: guards against a jam in which all answers come too late. A
    /// refusal is a `sure` sign of one. Late answers alone leave the full pace: sizes vary and are not told.
    fn pace(&mut self, spot: Spot, well: bool, sure: bool) {
        let role = if let Spot::Member(at) = spot {
            self.members[at].role
        } else {
            Role::Cache
        };
        // Where a report says how empty the link is, its limit grows the faster.
        let empty = self
            .link_told()
            .filter(|_| spot == Spot::Link)
            .map_or(1.0, |x| LINK_FULL / x.max(LINK_LEAST));
        let growth = (LIMIT_GROWTH / f64::from(self.routers(role))).min(1.0) * empty.max(1.0);
        let (now, pace) = (self.now, self.pace_of(spot));
        pace.late += (f64::from(u8::from(!well)) - pace.late) * EWMA;
        if well {
            if f64::from(pace.held + 1) > pace.limit / 2.0 {
                pace.limit += growth.max(LIMIT_CATCH_UP * pace.full) / pace.limit;
            }
        } else if (sure || pace.late >= CALM_LATE) && now >= pace.cut_at + LIMIT_PAUSE {
            let least = if sure {
                pace.least
            } else {
                pace.least.max(pace.full)
            };
            pace.limit = (pace.limit.min(f64::from(pace.held + 1)) * LIMIT_CUT).max(least);
            pace.cut_at = now;
        }
    }

    fn pace_of(&mut self, spot: Spot) -> &mut Pace {
        match spot {
            Spot::Member(at) => &mut self.members[at].pace,
            _ => &mut self.link,
        }
    }

    /// Takes a place at a member or the link; if it was a turn, the next one wakes who waits there.
    fn take(&mut self, spot: Spot) {
        let now = self.now;
        if let Some(wait) = self.pace_of(spot).take(now) {
            self.wake(wait, Due::Turn(spot));
        }
    }

    /// Whether the object was purged so lately that old copies may be left.
    fn purged(&self, ask: &Request) -> bool {
        let keep = self.settings.purge_propagation + PURGE_SLACK;
        self.purges
            .last(ask.object, ask.group)
            .is_some_and(|at| self.now < at + keep)
    }

    /// The oldest copy that will do, as an age; 0 where any fresh one does. No copy from before a purge may
    /// answer, at the cache or at the source, for as long as members may hold old ones.
    fn oldest(&self, req: &Pending) -> Micros {
        let fresh = req.class.freshness_lifetime + if req.stale { req.class.grace } else { 0 };
        let keep = self.settings.purge_propagation + PURGE_SLACK;
        self.purges
            .last(req.ask.object, req.ask.group)
            .filter(|at| self.now < at + keep)
            .map_or(fresh, |at| {
                // 0 would ask for the default, so the least is 1.
                let age = self.now.saturating_sub(at + MS).max(1);
                age.min(if fresh > 0 { fresh } else { Micros::MAX })
            })
    }

    // ------------------------------------------------------------------------------------------ attempts
    fn request(&mut self, ask: Request) {
        let Some(class) = self.settings.classes.get(usize::from(ask.class)).cloned() else {
            return self.out.push(Action::Reject(ask.id, 0));
        };
        if self.pending.contains_key(&ask.id) {
            return;
        }
        let work = ask.size_kb / self.settings.client_kb_per_s * 1e6;
        let work = if work > 0.0 && work.is_finite() && !class.write {
            work
        } else {
            WORK_UNKNOWN
        };
        let mean = &mut self.mean_work[usize::from(ask.class)];
        *mean = if *mean == 0.0 {
            work
        } else {
            *mean + (work - *mean) * EWMA
        };
        self.hedges = (self.hedges + HEDGE_RATIO).min(EXTRA_BURST);
        self.retries = (self.retries + RETRY_RATIO).min(EXTRA_BURST);
        let void = f64::from(u8::from(self.purged(&ask)));
        self.void += (void - self.void) * EWMA;
        let again = self
            .seen
            .again((ask.object, ask.part), self.now, KEEP_MEMORY);
        let id = ask.id;
        let req = Pending::new(ask, class, work, self.now, again);
        self.pending.insert(id, req);
        self.next_attempt(id);
    }

    /// Sends the next attempt of a request, lets it wait, or gives up.
    fn next_attempt(&mut self, id: RequestId) {
        let Some(mut req) = self.pending.remove(&id) else {
            return;
        };
        let in_time = self.now + LEFT_LEAST < req.deadline;
        let plan = if in_time && self.may_repeat(&req) {
            self.plan(&req)
        } else {
            Plan::No
        };
        req.hold_until = None;
        let waited = req.waits.take().is_some();
        if let Plan::Wait(spot) = plan {
            req.waits = Some(spot);
            self.queues.add(spot, req.place());
            if !waited {
                // It waits for as long as an answer can still be in time.
                let wait = req
                    .aim_at
                    .min(req.deadline)
                    .saturating_sub(self.now + req.work as Micros);
                let most = (req.deadline.saturating_sub(self.now) as f64 * WAIT_MOST) as Micros;
                let wait = if req.attempts.is_empty() {
                    wait.min(most)
                } else {
                    wait
                };
                self.wake(wait.max(MS), Due::Wait(id));
            }
        }
        self.pending.insert(id, req);
        match plan {
            Plan::Go(target, source) => self.send(id, target, source),
            Plan::Wait(_) => {}
            Plan::No => self.give_up(id),
        }
    }

    fn wake(&mut self, wait: Micros, due: Due) {
        self.out.push(Action::Timer(wait, self.timers.set(due)));
    }

    /// Lets requests that wait for something go while it is to be had, or never will be: first what earns
    /// most for its sending time.
    fn release(&mut self, spot: Spot) {
        let open = |router: &Self| match spot {
            Spot::Cache => {
                let caches = router.members.ready(Role::Cache).iter();
                let mut fit = caches.filter(|at| router.usable(**at)).peekable();
                fit.peek().is_none() || fit.any(|at| router.room(*at))
            }
            Spot::Member(at) => router.room(at) || !router.usable(at),
            Spot::Link => router.link.room(router.now),
            Spot::Fill(object, part) => !router.filling.contains(&(object, part)),
        };
        let mut queue = self.queues.take(&spot);
        if queue.is_empty() {
            return;
        }
        while open(self) {
            let Some((_, id)) = queue.pop_first() else {
                break;
            };
            self.next_attempt(id);
        }
        self.queues.put_back(spot, queue);
    }

    fn usable(&self, at: usize) -> bool {
        self.members.is_ready(at) && self.members[at].health.selectable(self.now)
    }

    /// Rule of effects: what may have run is repeated only as its class allows.
    fn may_repeat(&self, req: &Pending) -> bool {
        if req.attempts.len() >= self.settings.max_attempts as usize
            || req.errors.len() >= ERRORS_MOST
        {
            return false;
        }
        match (req.may_have_run, req.class.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => true,
            (
                Some(first),
                Idempotency::Keyed {
                    scope: KeyScope::All,
                    window,
                },
            ) => self.now + LEFT_LEAST < first + window,
            _ => false,
        }
    }

    /// Target and source of the next attempt.
    fn plan(&mut self, req: &Pending) -> Plan {
        if req.class.write {
            let Some(origin) = self.origin() else {
                return Plan::No;
            };
            if self.settings.pass_through {
                return Plan::Go(origin, None);
            }
            return self
                .cache_for(req)
                .map_or(Plan::No, |target| Plan::Go(target, Some(origin)));
        }
        let source = self.source_for(req);
        let Some(target) = self.cache_for(req) else {
            // No cache can take it: straight to the source, where that is allowed.
            return match source.filter(|_| self.settings.pass_through) {
                None => Plan::No,
                Some(source) if !self.room(source) => Plan::Wait(Spot::Member(source)),
                Some(source) => Plan::Go(source, self.origin().filter(|o| *o != source)),
            };
        };
        if !self.cache_room(target) {
            // The parents may carry what the caches left have no room for.
            let spare = source.filter(|at| {
                self.settings.pass_through && self.fill_waits(*at, false, &req.ask).is_none()
            });
            let straight = |at| Plan::Go(at, self.origin().filter(|o| *o != at));
            return spare.map_or(Plan::Wait(Spot::Cache), straight);
        }
        let Some(source) = source else {
            return Plan::Go(target, Some(target));
        };
        if req.missed {
            // A second fill of the same part would crowd the link: the copy will be there soon.
            let twin = !self.settings.coalescing && self.filling.contains(&req.key());
            // What a parent has no room for goes to the origin while that has some, where the parents left
            // carry a DOWN one's fills, or where one place is more than this router's share of the parent: a
            // late fill holds all of such a limit, and many routers would wait beside an idle origin.
            let mut order = self.order(Role::Parent, &req.ask);
            let home = self.ranked(Role::Parent, &mut order, 0);
            let bereft = home.is_some_and(|at| !self.members[at].health.selectable(self.now))
                || self.thin(source);
            let spare = self
                .origin()
                .filter(|o| bereft && !self.room(source) && self.room(*o));
            let fill = Spot::Fill(req.ask.object, req.ask.part);
            let source = spare.unwrap_or(source);
            return match if twin {
                Some(fill)
            } else {
                self.fill_waits(source, req.lacks, &req.ask)
            } {
                None => Plan::Go(target, Some(source)),
                // Rather than wait, ask once more for a copy past its fresh time.
                Some(_) if req.class.grace > 0 && !req.stale => Plan::Go(target, Some(target)),
                Some(spot) => Plan::Wait(spot),
            };
        }
        // Where a fill finds no room, a hit is not to wait behind it: look first, fill when there is some.
        let link = self.link_told.is_some() && self.link.over(NAMED_MOST)
            || self.link_told() > Some(LINK_FULL);
        let look = (link || self.members[source].pace.over(NAMED_MOST))
            && self.slow_origin(source, &req.ask).is_none();
        Plan::Go(target, Some(if look { target } else { source }))
    }

    fn send(&mut self, id: RequestId, target: usize, source: Option<usize>) {
        let Some(mut req) = self.pending.remove(&id) else {
            return;
        };
        let work = self.mean_work[usize::from(req.ask.class)];
        let suspect = |at: usize| self.members[at].health.state(self.now) == State::Suspect;
        let mut attempt = Attempt {
            target,
            source,
            sent: self.now,
            live: true,
            cancelled: false,
            trial: [
                suspect(target),
                source.is_some_and(|s| s != target && suspect(s)),
            ],
            charged: 0.0,
            by_link: false,
            behind: source
                .filter(|_| req.lacks)
                .and_then(|at| self.slow_origin(at, &req.ask)),
        };
        if let Some(at) = attempt.behind {
            self.take(Spot::Member(at));
        }
        let other = attempt.other();
        let outside = |at: usize| self.members[at].role != Role::Cache;
        attempt.by_link = !req.class.write && (outside(target) || other.is_some_and(outside));
        if attempt.by_link {
            self.take(Spot::Link);
        }
        if self.members[target].role == Role::Cache {
            self.reach.sent(self.now, target);
        }
        for (at, trial) in attempt.members() {
            self.take(Spot::Member(at));
            self.members[at].health.trials += u32::from(trial);
            if self.is_cold(at) {
                self.members[at].budget.level -= work;
                attempt.charged = if at == target { 0.0 } else { work };
            }
        }
        if other.is_some() {
            self.filling.add(req.key());
        }
        req.stale = req.missed && other.is_none();
        let fill = source.map(|at| Fill {
            source: self.members[at].listed.endpoint,
            max_age: self.oldest(&req),
            rank: if req.class.write {
                0
            } else {
                1 + u8::from(req.again)
            },
            coalesce: self.settings.coalescing,
            only_cached: self.members[at].role == Role::Cache
                || (!req.lacks && self.slow_origin(at, &req.ask).is_some()),
            refresh: req.class.freshness_lifetime > 0 && !req.class.write,
        });
        let target = self.members[target].listed.endpoint;
        self.out.push(Action::Send {
            request: id,
            target,
            timeout: 0,
            fill,
        });
        let least = (req.work * OVERDUE_WORK) as Micros + OVERDUE_WAIT;
        let wait = req
            .aim_at
            .saturating_sub(self.now + req.work as Micros)
            .max(least);
        if self.now + wait < req.deadline {
            self.wake(wait, Due::Attempt(id, req.attempts.len()));
        }
        req.attempts.push(attempt);
        self.pending.insert(id, req);
    }

    /// The wait of a write after a refusal has ended, or one for room, which came to nothing.
    fn wait_over(&mut self, id: RequestId) {
        let Some(req) = self.pending.get(&id).filter(|r| !r.done) else {
            return;
        };
        if req.hold_until.is_some_and(|t| t <= self.now) {
            self.next_attempt(id);
        } else if req.waits.is_some() {
            self.give_up(id);
        }
    }

    /// An attempt is overdue: a fresh one could only just be in time. Where few answers of its members are
    /// late this is no jam but a stall (a member loses some requests): a second copy goes out or it moves,
    /// within budget. In a jam that would only add to it.
    fn overdue(&mut self, id: RequestId, number: usize) {
        let Some(req) = self.pending.get(&id).filter(|r| !r.done) else {
            return;
        };
        let Some(attempt) = req.attempts.get(number).filter(|a| a.live && !a.cancelled) else {
            return;
        };
        let (sent, target, source, trial) = (
            attempt.sent,
            attempt.target,
            attempt.other(),
            attempt.trial[0],
        );
        let suspect = self.blame(target, source, sent);
        let Some(mut req) = self.pending.remove(&id) else {
            return;
        };
        let alone = req
            .attempts
            .iter()
            .all(|a| a.live == (a.sent == sent) && !a.cancelled);
        let mut plan = Plan::No;
        let rescue = req.safe() && alone && self.hedges >= 1.0 && self.may_repeat(&req);
        let calm = |at: usize| self.members[at].pace.late < CALM_LATE;
        let stalled = calm(target) && source.is_none_or(calm);
        let whole =
            !self.settings.hedging && self.settings.cancellation && (source.is_none() || trial);
        if rescue && stalled && whole {
            // Never two at once here: it is called off, which leads to the next one. Not a fill, whose work
            // would be lost, but one on trial at a suspect.
            self.hedges -= 1.0;
            req.attempts[number].call_off(id, number, &mut self.out);
        } else if rescue && self.settings.hedging && stalled {
            req.failed.push(target);
            if let (true, Some(source)) = (suspect == source, source) {
                req.failed_sources.extend([source; RR_RETRIES]);
            }
            plan = self.plan(&req);
        }
        self.pending.insert(id, req);
        if let Plan::Go(to, from) = plan {
            if to != target {
                self.hedges -= 1.0;
                self.send(id, to, from);
            }
        }
    }

    /// Who has fallen silent since `sent`: the target, or else the source.
    fn blame(&mut self, target: usize, source: Option<usize>, sent: Timestamp) -> Option<usize> {
        let silent = |at: &usize| self.members[*at].health.last_answer < sent;
        let suspect = Some(target).filter(silent).or(source.filter(silent))?;
        self.failed(suspect, sent, Failure::Soft);
        Some(suspect)
    }

    /// Whether most other members of the kind that were heard from since `sent` do well. Only then a soft
    /// failure says something of this one: a trouble that hits all alike (a slow origin, a full link, an
    /// overload) must not take them DOWN, and one of many does well. Failures that did not count tell too.
    fn peers_fine(&self, at: usize, sent: Timestamp) -> bool {
        let well = |h: &Health| h.down_since.is_none() && h.last_failure <= h.last_answer;
        let few = |h: &Health| well(h) && h.failures * 2 <= MAX_RETRIES;
        let others = self
            .members
            .ready(self.members[at].role)
            .iter()
            .filter(|i| **i != at);
        let heard = others
            .map(|i| &self.members[*i].health)
            .filter(|h| !few(h) || h.last_answer >= sent);
        let (fine, heard) =
            heard.fold((0, 0), |(fine, all), h| (fine + u32::from(few(h)), all + 1));
        fine * 2 > heard
    }

    /// Counts a failure; when a cache goes DOWN by it, safe requests that wait for it are moved.
    fn failed(&mut self, at: usize, sent: Timestamp, failure: Failure) {
        let health = &mut self.members[at].health;
        health.last_failure = self.now;
        // Where little is asked others are heard during its whole silence alone.
        health.silent = if health.silent <= health.last_answer {
            sent
        } else {
            health.silent.min(sent)
        };
        let since = health.silent;
        if failure == Failure::Soft && !self.peers_fine(at, since) {
            return;
        }
        let member = &mut self.members[at];
        if !member.health.fail(sent, self.now, failure == Failure::Lost) {
            return;
        }
        let (role, id, count) = (
            member.role,
            member.listed.endpoint.0,
            member.health.failures,
        );
        self.out.push(Action::Log(format!(
            "{role:?} {id:x} DOWN after {count} failures, {failure:?}"
        )));
        if !self.settings.cancellation || role != Role::Cache {
            return;
        }
        for (id, req) in self.pending.iter_mut().filter(|(_, r)| !r.done && r.safe()) {
            for (number, attempt) in req.attempts.iter_mut().enumerate() {
                if attempt.target == at {
                    attempt.call_off(*id, number, &mut self.out);
                }
            }
        }
    }

    // ------------------------------------------------------------------------------------------- answers
    fn outcome(&mut self, outcome: Outcome) {
        let Outcome {
            request: id,
            status,
            note,
            latency,
            ..
        } = outcome;
        let Some(mut req) = self.pending.remove(&id) else {
            return;
        };
        let part = req.key();
        let Some(attempt) = req
            .attempts
            .get_mut(usize::from(outcome.attempt))
            .filter(|a| a.live)
        else {
            self.pending.insert(id, req);
            return;
        };
        attempt.live = false;
        let (target, other, sent) = (attempt.target, attempt.other(), attempt.sent);
        let (charged, by_link, behind) = (attempt.charged, attempt.by_link, attempt.behind);
        for (at, trial) in attempt.members() {
            let member = &mut self.members[at];
            member.pace.give(latency, EWMA);
            member.health.trials = member.health.trials.saturating_sub(u32::from(trial));
        }
        if by_link {
            self.link.give(latency, EWMA);
        }
        if let Some(origin) = behind {
            self.members[origin].pace.give(latency, EWMA);
        }
        let report = outcome
            .report
            .filter(|_| self.members[target].role == Role::Cache);
        let full = report.and_then(|r| r.link).filter(|full| full.is_finite());
        self.link_told = full.map(|full| (full, self.now)).or(self.link_told);
        if let Some(full) = self.link_told().filter(|_| by_link) {
            self.pace(Spot::Link, full <= LINK_FULL, true);
        }
        if let Some(source) = other {
            self.filling.remove(&part);
            if matches!(note, FillNote::Hit | FillNote::Stale) {
                // A hit did not reach the source: its budget gets the work back.
                self.members[source].budget.level += charged;
            }
        }
        if !status.proves_not_run() && req.may_have_run.is_none() {
            req.may_have_run = Some(sent);
        }
        let in_time = latency
            <= req.class.latency_objective + (req.class.objective_stretch * req.work) as Micros;
        let by_source =
            other.filter(|_| matches!(note, FillNote::SourceRejected | FillNote::SourceLost));
        // The member at fault, if there is one; the failure is never charged to who only passed it on.
        let mut fault = None;
        let mut overload = false;
        match status {
            Status::Ok => {
                self.served(target, sent);
                // What is served here is a good request: who answered it with an error is at fault.
                let errors = std::mem::take(&mut req.errors);
                errors
                    .into_iter()
                    .for_each(|(at, sent)| self.failed(at, sent, Failure::Error));
                // What came by way of the origin tells of the parent no more than that it answers. A late
                // fill is no failure, but no sign of life either: attempts that are overdue count (`blame`).
                let by_origin = note == FillNote::FilledByOrigin;
                let source = if by_origin {
                    self.origin().or(other)
                } else {
                    other
                };
                let filled = source.filter(|_| by_origin || note == FillNote::Filled);
                for at in filled
                    .filter(|_| in_time)
                    .into_iter()
                    .chain(other.filter(|_| by_origin))
                {
                    self.served(at, sent);
                }
                // Of a source of which one place is more than its share a router hears too seldom to tell a
                // jam by late answers: a few would hold its limit down long after. What came fills caches.
                let well = in_time || filled.is_some_and(|at| self.thin(at));
                if well || filled.is_none() || self.link_told() <= Some(LINK_FULL) {
                    self.pace(Spot::Member(filled.unwrap_or(target)), well, false);
                }
            }
            Status::NotSent => req.failed.push(target),
            Status::Cancelled => req.failed.push(target),
            Status::Miss if other.is_none() => req.missed = true,
            _ if by_source.is_some() => {
                let source = by_source.unwrap_or(target);
                let connect = (self.settings.connect_timeout as f64 * CONNECT_SLACK) as Micros;
                let lost = note == FillNote::SourceLost && outcome.source_wait <= connect;
                let slow = latency as f64 > SLOW_FAILURE * req.aim_at.saturating_sub(sent) as f64;
                overload = !lost;
                fault = Some((source, if lost { Failure::Lost } else { Failure::Soft }));
                req.failed_sources
                    .extend(vec![source; if slow { RR_RETRIES } else { 1 }]);
                self.pace(
                    Spot::Member(source),
                    false,
                    note == FillNote::SourceRejected,
                );
            }
            _ if note == FillNote::SourceMiss => (req.lacks, req.missed) = (true, true),
            // The parent only passed it on: no failure of its own, but what is behind it has no room.
            _ if note == FillNote::OriginFailed => {
                overload = true;
                self.pace(Spot::Member(other.unwrap_or(target)), false, false);
            }
            _ => {
                req.failed.push(target);
                overload = status == Status::Rejected;
                match status {
                    // All that one broken connection carried is one failure, not many.
                    Status::ConnectFailed | Status::Reset if outcome.shared_failure => {}
                    Status::ConnectFailed | Status::Reset => fault = Some((target, Failure::Lost)),
                    // Bad requests get errors from all: nothing is said of this one before another serves it.
                    Status::Error => req.errors.push((target, sent)),
                    Status::Timeout => {
                        self.pace(Spot::Member(other.unwrap_or(target)), false, false)
                    }
                    Status::Rejected if note != FillNote::NoFillSlot => {
                        self.pace(Spot::Member(target), false, true)
                    }
                    _ => {}
                }
            }
        }
        let over = req.done || outcome.closed;
        let live = req.attempts.iter().any(|a| a.live);
        let held = req.class.write && overload;
        if held && !live && !over {
            // Writes are few and worth most: they outwait a refusal, and the retry budget is not for them.
            let until = self.now + (req.class.latency_objective as f64 * WRITE_PAUSE) as Micros;
            let until = until.min(req.deadline.saturating_sub(LEFT_LEAST));
            req.hold_until = Some(until);
            self.wake(until.saturating_sub(self.now), Due::Wait(id));
        }
        self.pending.insert(id, req);
        if status == Status::Timeout {
            self.blame(target, other, sent);
        } else if !matches!(
            status,
            Status::Cancelled | Status::NotSent | Status::ConnectFailed | Status::Reset
        ) {
            self.members[target].health.last_answer = self.now;
        }
        if let Some((at, failure)) = fault {
            self.failed(at, sent, failure);
        }
        if over {
            self.finish(id);
        } else if !live && !held {
            // Retry budget: what was refused for lack of room is tried again only now and then.
            let allowed = !overload || self.retries >= 1.0;
            self.retries -= if overload && allowed { 1.0 } else { 0.0 };
            if allowed {
                self.next_attempt(id);
            } else {
                self.give_up(id);
            }
        }
        let members = [behind, other].map(|at| at.map(Spot::Member));
        let here = [Spot::Cache, Spot::Member(target), Spot::Link].map(Some);
        let fill = other.map(|_| Spot::Fill(part.0, part.1));
        here.into_iter()
            .chain(members)
            .chain([fill])
            .flatten()
            .for_each(|spot| self.release(spot));
    }

    fn served(&mut self, at: usize, sent: Timestamp) {
        let started = self.members.dated(self.now);
        let member = &mut self.members[at];
        let lost = member.health.lost;
        if member.health.served(sent, self.now) {
            if lost {
                // No connection was made before: the process died and comes back cold.
                member.cold_since = started;
                member.budget = Bucket::new(self.now);
                self.warming.insert(at);
            }
            self.out.push(Action::Log(format!(
                "{:?} {:x} UP again",
                member.role, member.listed.endpoint.0
            )));
        }
    }

    /// A stream has begun: this attempt belongs to the client, the others are called off.
    fn started(&mut self, id: RequestId, number: u16) {
        let Some(req) = self.pending.get_mut(&id) else {
            return;
        };
        req.call_off_others(
            Some(usize::from(number)),
            self.settings.cancellation,
            &mut self.out,
        );
        // What is marked here is called off by nothing else.
        req.attempts.iter_mut().for_each(|a| a.cancelled = true);
    }

    /// The request is over: calls off what is still out and forgets it once nothing is.
    fn finish(&mut self, id: RequestId) {
        let Some(req) = self.pending.get_mut(&id) else {
            return;
        };
        req.done = true;
        if let Some(spot) = req.waits.take() {
            self.queues.remove(spot, &req.place());
        }
        req.call_off_others(None, self.settings.cancellation, &mut self.out);
        if req.attempts.iter().all(|a| !a.live) {
            self.pending.remove(&id);
        }
    }

    /// The final answer of what is not served: a refusal where that is known to be harmless.
    fn give_up(&mut self, id: RequestId) {
        let Some(req) = self.pending.get(&id) else {
            return;
        };
        let harmless = match req.class.idempotency {
            Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: KeyScope::All,
                ..
            } => true,
            _ => req.may_have_run.is_none(),
        };
        let refusal = Action::Reject(id, self.settings.max_retry_after);
        self.out
            .push(if harmless { refusal } else { Action::Fail(id) });
        self.finish(id);
    }
}
