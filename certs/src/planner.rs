//! Which certificates are ordered, and when: over many names, one order for names that belong together, never more
//! than so many orders in a window, and none that fails holds up others. No input or output; everything it knows
//! is in its entries, each of which stands in exactly one queue.
use crate::error::Failure;
use crate::renewal::{due, Ranking, Rule, Validity};
use crate::retry::{wait, Cause};
use crate::wire::Window;
use crate::{Clocks, Micros, Timestamp, UnixTime, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// From this share of its lifetime on a certificate is renewed without a name that is refused, though the old one
/// still stands for it.
const WITHOUT_PERCENT: u64 = 90;
/// A renewal before this share of the lifetime is an early one.
const EARLY_PERCENT: u64 = 10;
/// No wait is longer, in seconds: a moment further ahead was set by a clock that has gone back since.
const WAIT_MOST: u64 = 8 * 24 * 3_600;
/// Pause between two warnings of certificates that will expire, and of those that have.
const WARN_EACH: Micros = 3_600 * SECOND;
const ERROR_EACH: Micros = 60 * SECOND;
/// Names told in one notice.
const TOLD_MOST: usize = 5;
/// Names that are remembered as refused.
const REFUSED_MOST: usize = 20_000;

/// What the planner goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerSettings {
    /// When a certificate is due.
    pub rule: Rule,
    /// Share of the lifetime, in percent, from which on a warning is written.
    pub warn_percent: u32,
    /// Orders begun within `window` at most.
    pub max_orders: usize,
    /// The window, in microseconds.
    pub order_window: Micros,
    /// Orders under way at once.
    pub max_concurrent_orders: usize,
}

/// An order to be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Of the certificate: its first name.
    pub id: String,
    /// Names to be asked for.
    pub names: Vec<String>,
}

/// A name that the authority refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// It is not asked for again before this second.
    pub until: UnixTime,
    /// How often in a row.
    pub failures: u32,
}

/// Something that an operator has to hear.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// So many certificates will end soon; the first in `left` seconds. Some of their names.
    Expiring {
        /// How many.
        count: usize,
        /// Seconds until the first ends.
        left: u64,
        /// Some of them.
        names: Vec<String>,
    },
    /// So many have ended; the first `since` seconds ago.
    Expired {
        /// How many.
        count: usize,
        /// Seconds since the first ended.
        since: u64,
        /// Some of them.
        names: Vec<String>,
    },
    /// The wall clock is before the first second of this many: it is likely wrong.
    NotYet {
        /// How many.
        count: usize,
        /// Some of them.
        names: Vec<String>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// Not due: in `later`, by the second.
    Later(UnixTime),
    /// Due, and waits for its turn or after a failure: in `held_back`.
    HeldBack(Timestamp),
    /// May be ordered: in `ready`, by when the old one ends.
    Ready(UnixTime),
    /// An order is under way.
    Busy,
}

#[derive(Debug)]
struct Entry {
    names: Vec<String>,
    held: Option<Validity>,
    /// Names for which the one held stands.
    covered: BTreeSet<String>,
    window: Option<Window>,
    failures: u32,
    /// Why it failed last.
    why: Option<(Cause, String)>,
    /// Not before this moment.
    hold: Timestamp,
    /// Renewed whatever its dates say.
    forced: bool,
    /// How often in a row it was renewed right after it was issued because the authority said so, and the second
    /// until which that is not done again.
    early: (u32, UnixTime),
    /// Its turn was waited for since it came due.
    turned: bool,
    /// An order from before a restart is taken up: it was counted then.
    resumes: bool,
    place: Place,
}

/// How a certificate stands.
#[derive(Clone, Debug)]
pub struct CertificateStatus {
    /// Its first name.
    pub id: String,
    /// All its names.
    pub names: Vec<String>,
    /// The dates of the one held.
    pub validity: Option<Validity>,
    /// `later`, `held-back`, `ready` or `ordering`.
    pub state: &'static str,
    /// Seconds until something is done for it, as far as that is known.
    pub next_s: Option<u64>,
    /// Failures in a row, and the last one's cause and text.
    pub failures: u32,
    /// Why it failed last.
    pub last_failure: Option<(Cause, String)>,
    /// Those of its names that are held back.
    pub refused: Vec<String>,
}

/// The planner.
pub struct Planner {
    plan: PlannerSettings,
    turns: Box<dyn Ranking + Send>,
    entries: BTreeMap<String, Entry>,
    later: BTreeSet<(UnixTime, String)>,
    held_back: BTreeSet<(Timestamp, String)>,
    ready: BTreeSet<(UnixTime, String)>,
    busy: usize,
    refused: BTreeMap<String, Refusal>,
    /// Orders begun within the window, on both clocks.
    begun: VecDeque<(Timestamp, UnixTime)>,
    /// Nothing is ordered before this moment: the authority is away.
    away_until: Timestamp,
    away_failures: u32,
    /// Certificates that were rate limited since the last success.
    limited: BTreeSet<String>,
    warn_at: Timestamp,
    error_at: Timestamp,
}

impl std::fmt::Debug for Planner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "Planner({} certificates, {} under way)",
            self.entries.len(),
            self.busy
        )
    }
}

impl Planner {
    /// A planner without certificates.
    pub fn new(plan: PlannerSettings, turns: Box<dyn Ranking + Send>) -> Self {
        Planner {
            plan,
            turns,
            entries: BTreeMap::new(),
            later: BTreeSet::new(),
            held_back: BTreeSet::new(),
            ready: BTreeSet::new(),
            busy: 0,
            refused: BTreeMap::new(),
            begun: VecDeque::new(),
            away_until: 0,
            away_failures: 0,
            limited: BTreeSet::new(),
            warn_at: 0,
            error_at: 0,
        }
    }

    /// Takes over what was remembered over a restart.
    pub fn remember(
        &mut self,
        clocks: Clocks,
        orders: &[UnixTime],
        refused: BTreeMap<String, Refusal>,
    ) {
        let window = self.plan.order_window / SECOND;
        let mut known: Vec<_> = orders
            .iter()
            .copied()
            .filter(|w| w + window > clocks.wall)
            .collect();
        known.sort_unstable();
        known.truncate(self.plan.max_orders);
        // One that lies ahead was begun before the clock went back: it counts as begun now.
        let age = |w: &UnixTime| clocks.wall.saturating_sub(*w) * SECOND;
        self.begun = known
            .iter()
            .map(|w| (clocks.now.saturating_sub(age(w)), *w))
            .collect();
        self.refused = refused;
    }

    /// What has to be remembered over a restart.
    pub fn memory(&self) -> (Vec<UnixTime>, BTreeMap<String, Refusal>) {
        (
            self.begun.iter().map(|(_, wall)| *wall).collect(),
            self.refused.clone(),
        )
    }

    /// Takes over another plan and other turns.
    pub fn set(&mut self, clocks: Clocks, plan: PlannerSettings, turns: Box<dyn Ranking + Send>) {
        (self.plan, self.turns) = (plan, turns);
        let ids: Vec<_> = self.entries.keys().cloned().collect();
        ids.iter().for_each(|id| self.schedule(clocks, id));
    }

    /// Which certificates are wanted from now on; each by its names, the first is its id. Those not named any more
    /// are forgotten, an order under way for one of them included.
    pub fn want(&mut self, clocks: Clocks, all: &[Vec<String>]) {
        let wanted: BTreeMap<String, Vec<String>> = all
            .iter()
            .filter_map(|names| {
                let names: Vec<_> = names.iter().map(|n| n.to_ascii_lowercase()).collect();
                names.first().cloned().map(|id| (id, names))
            })
            .collect();
        let gone: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !wanted.contains_key(*id))
            .cloned()
            .collect();
        for id in gone {
            self.unqueue(&id);
            self.entries.remove(&id);
        }
        for (id, names) in wanted {
            let fresh = Entry {
                names: names.clone(),
                held: None,
                covered: BTreeSet::new(),
                window: None,
                failures: 0,
                why: None,
                hold: 0,
                forced: false,
                early: (0, 0),
                turned: false,
                resumes: false,
                place: Place::Later(u64::MAX),
            };
            let entry = self.entries.entry(id.clone()).or_insert(fresh);
            if entry.names != names {
                (entry.names, entry.failures, entry.hold) = (names, 0, 0);
            }
            self.schedule(clocks, &id);
        }
    }

    /// The ids of all certificates.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.entries.keys()
    }

    /// The names of one.
    pub fn names(&self, id: &str) -> Option<&[String]> {
        self.entries.get(id).map(|e| &e.names[..])
    }

    /// A certificate is held, from disk, by import or otherwise.
    pub fn set_certificate(
        &mut self,
        clocks: Clocks,
        id: &str,
        held: Validity,
        covered: &[String],
    ) {
        if let Some(entry) = self.entries.get_mut(id) {
            if entry.held != Some(held) {
                (entry.window, entry.turned) = (None, false);
            }
            entry.held = Some(held);
            entry.covered = covered.iter().cloned().collect();
            self.schedule(clocks, id);
        }
    }

    /// An order from before a restart is there to be taken up: at once, and it was counted then.
    pub fn resumes(&mut self, clocks: Clocks, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.resumes = true;
            self.schedule(clocks, id);
        }
    }

    /// The authority named a window for the one held.
    pub fn suggested(&mut self, clocks: Clocks, id: &str, window: Window) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.window = Some(window);
            self.schedule(clocks, id);
        }
    }

    /// An operator wants it renewed now, whatever its dates and earlier failures. `false`: there is no such one.
    pub fn force(&mut self, clocks: Clocks, id: &str) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        (entry.forced, entry.hold, entry.turned) = (true, 0, true);
        let names = entry.names.clone();
        self.refused.retain(|name, _| !names.contains(name));
        self.away_until = 0;
        self.schedule(clocks, id);
        true
    }

    /// The next order to be made, if one may be begun now. It counts from here on.
    pub fn next(&mut self, clocks: Clocks) -> Option<Choice> {
        self.advance(clocks);
        let busy_most = if self.away_failures > 0 {
            1
        } else {
            self.plan.max_concurrent_orders
        };
        if clocks.now < self.away_until || self.busy >= busy_most {
            return None;
        }
        while self
            .begun
            .front()
            .is_some_and(|(at, _)| clocks.now >= at.saturating_add(self.plan.order_window))
        {
            self.begun.pop_front();
        }
        let full = self.begun.len() >= self.plan.max_orders;
        let may = |id: &String| !full || self.entries.get(id).is_some_and(|e| e.resumes);
        // Where the window is full, only those that were counted before go on; few are.
        let (_, id) = self.ready.iter().find(|(_, id)| may(id)).cloned()?;
        let names = self.askable(clocks.wall, &id);
        self.unqueue(&id);
        let entry = self.entries.get_mut(&id)?;
        if names.is_empty() {
            // Its names were refused since it was queued.
            self.schedule(clocks, &id);
            return None;
        }
        entry.place = Place::Busy;
        self.busy += 1;
        if !std::mem::take(&mut entry.resumes) {
            self.begun.push_back((clocks.now, clocks.wall));
        }
        Some(Choice { id, names })
    }

    /// An order brought a certificate.
    pub fn succeeded(&mut self, clocks: Clocks, id: &str, held: Validity, covered: &[String]) {
        self.answers();
        self.limited.clear();
        for name in covered {
            self.refused.remove(name);
        }
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        (entry.failures, entry.why, entry.hold) = (0, None, 0);
        // Guards against an authority whose windows lie in the past always, and against a clock by which what is
        // new is old.
        let early = entry
            .held
            .is_some_and(|old| clocks.wall < old.at(EARLY_PERCENT))
            && entry.window.is_some();
        let old = due(&held, None, self.plan.rule, id) <= clocks.wall;
        entry.early.0 = if (early || old) && !entry.forced {
            entry.early.0 + 1
        } else {
            0
        };
        if entry.early.0 > 0 {
            entry.early.1 = clocks.wall + wait(Cause::Refused, entry.early.0, None, id) / SECOND;
        }
        (entry.forced, entry.window) = (false, None);
        if held.not_after <= clocks.wall {
            // By this clock it has ended already. One of the two clocks is wrong; asking again at once mends neither.
            entry.failures = 1;
            entry.why = Some((
                Cause::Broken,
                "what was issued has ended by this machine's clock".into(),
            ));
            entry.hold = clocks.now + wait(Cause::Broken, 4, None, id);
        }
        self.unbusy(id);
        self.set_certificate(clocks, id, held, covered);
        self.schedule(clocks, id);
    }

    /// An order failed.
    pub fn failed(&mut self, clocks: Clocks, id: &str, failure: &Failure) {
        self.unbusy(id);
        let Failure { cause, told, .. } = *failure;
        if cause.common() {
            self.away(clocks, cause, told);
        } else {
            self.answers();
        }
        for name in &failure.refused {
            if self.refused.len() < REFUSED_MOST || self.refused.contains_key(name) {
                let refusal = self.refused.entry(name.clone()).or_default();
                refusal.failures += 1;
                refusal.until =
                    clocks.wall + wait(Cause::Refused, refusal.failures, told, name) / SECOND;
            }
        }
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.why = Some((cause, failure.text.clone()));
        entry.failures += 1;
        entry.resumes = failure.keeps_order;
        if cause == Cause::Unknown {
            // The account is made anew; the order itself did nothing wrong.
        } else if cause.common() {
            entry.hold = self.away_until;
        } else if !failure.refused.is_empty() && failure.refused.len() < entry.names.len() {
            // The others go on without it at once.
            entry.hold = clocks.now;
        } else {
            entry.hold = clocks.now + wait(cause, entry.failures, told, id);
        }
        let hold = entry.hold;
        if cause == Cause::Limited {
            self.limited.insert(id.into());
            // One may have a limit of its own; two in a row have one in common.
            if self.limited.len() > 1 {
                self.away_until = self.away_until.max(hold);
            }
        }
        self.schedule(clocks, id);
    }

    /// The authority is away as a whole, or won't talk to this account.
    pub fn away(&mut self, clocks: Clocks, cause: Cause, told: Option<Micros>) {
        self.away_failures += 1;
        self.away_until = clocks.now + wait(cause, self.away_failures, told, "authority");
    }

    /// The authority answers.
    pub fn answers(&mut self) {
        self.away_failures = 0;
    }

    /// Whether something could be ordered if the authority let us: an account is worth having.
    pub fn wants(&mut self, clocks: Clocks) -> bool {
        self.advance(clocks);
        clocks.now >= self.away_until && !self.ready.is_empty()
    }

    /// Until when the authority is left alone; 0: it is not.
    pub fn away_until(&self) -> Timestamp {
        self.away_until
    }

    /// The next moment at which something may have changed, by the clocks as they are.
    pub fn wake(&self, clocks: Clocks) -> Option<Timestamp> {
        let later = self.later.first().filter(|(at, _)| *at < u64::MAX);
        let later =
            later.map(|(at, _)| clocks.now + at.saturating_sub(clocks.wall).min(1 << 32) * SECOND);
        let held = self.held_back.first().map(|(at, _)| *at);
        let ready = (!self.ready.is_empty()).then(|| {
            let full = self.begun.len() >= self.plan.max_orders;
            let window = self
                .begun
                .front()
                .filter(|_| full)
                .map_or(0, |(at, _)| at + self.plan.order_window);
            // What waits for another to end is looked at when that ends.
            let free = if self.busy > 0 {
                clocks.now + 60 * SECOND
            } else {
                clocks.now
            };
            self.away_until.max(window).max(free)
        });
        [later, held, ready].into_iter().flatten().min()
    }

    /// What operators have to hear now.
    pub fn notices(&mut self, clocks: Clocks) -> Vec<Notice> {
        let (warn, error) = (clocks.now >= self.warn_at, clocks.now >= self.error_at);
        if !warn && !error {
            return Vec::new();
        }
        let wall = clocks.wall;
        let held = || {
            self.entries
                .iter()
                .filter_map(|(id, e)| e.held.map(|h| (h, id)))
        };
        let mut notices = Vec::new();
        if error {
            let ended: Vec<_> = held().filter(|(h, _)| wall > h.not_after).collect();
            if let Some(first) = ended.iter().map(|(h, _)| h.not_after).min() {
                let (count, names) = (ended.len(), some(&ended));
                notices.push(Notice::Expired {
                    count,
                    since: wall - first,
                    names,
                });
                self.error_at = clocks.now + ERROR_EACH;
            }
        }
        if warn {
            let percent = u64::from(self.plan.warn_percent);
            let ending: Vec<_> = held()
                .filter(|(h, _)| wall >= h.at(percent) && wall <= h.not_after)
                .collect();
            let early: Vec<_> = held().filter(|(h, _)| wall < h.not_before).collect();
            if let Some(first) = ending.iter().map(|(h, _)| h.not_after).min() {
                let (count, names) = (ending.len(), some(&ending));
                notices.push(Notice::Expiring {
                    count,
                    left: first - wall,
                    names,
                });
            }
            if !early.is_empty() {
                notices.push(Notice::NotYet {
                    count: early.len(),
                    names: some(&early),
                });
            }
            if !notices.is_empty() {
                self.warn_at = clocks.now + WARN_EACH;
            }
        }
        notices
    }

    /// How each certificate stands, in the order of their ids.
    pub fn statuses(&self, clocks: Clocks) -> Vec<CertificateStatus> {
        let status = |(id, e): (&String, &Entry)| {
            let (state, next_s) = match e.place {
                Place::Later(u64::MAX) => ("later", None),
                Place::Later(at) => ("later", Some(at.saturating_sub(clocks.wall))),
                Place::HeldBack(at) => ("held-back", Some(at.saturating_sub(clocks.now) / SECOND)),
                Place::Ready(_) => (
                    "ready",
                    Some(self.away_until.saturating_sub(clocks.now) / SECOND),
                ),
                Place::Busy => ("ordering", None),
            };
            let refused = e
                .names
                .iter()
                .filter(|n| self.held_off(n, clocks.wall))
                .cloned()
                .collect();
            let (id, names, last_failure) = (id.clone(), e.names.clone(), e.why.clone());
            CertificateStatus {
                id,
                names,
                validity: e.held,
                state,
                next_s,
                failures: e.failures,
                last_failure,
                refused,
            }
        };
        self.entries.iter().map(status).collect()
    }

    /// Orders begun within the window, and how many may be.
    pub fn budget(&self) -> (usize, usize) {
        (self.begun.len(), self.plan.max_orders)
    }

    fn held_off(&self, name: &str, wall: UnixTime) -> bool {
        self.refused
            .get(name)
            .is_some_and(|r| r.until > wall && r.until < wall + WAIT_MOST)
    }

    /// Names that an order made now would ask for.
    fn askable(&self, wall: UnixTime, id: &str) -> Vec<String> {
        let Some(entry) = self.entries.get(id) else {
            return Vec::new();
        };
        entry
            .names
            .iter()
            .filter(|n| !self.held_off(n, wall))
            .cloned()
            .collect()
    }

    /// The second from which something should be ordered for a certificate.
    fn due(&self, wall: UnixTime, id: &str, entry: &Entry) -> UnixTime {
        if entry.forced || entry.resumes {
            return 0;
        }
        let off = |name: &&String| self.held_off(name, wall);
        let until = |names: &mut dyn Iterator<Item = &String>| {
            names
                .filter_map(|n| self.refused.get(n))
                .map(|r| r.until)
                .min()
        };
        let Some(held) = entry.held else {
            let free = entry.names.iter().any(|n| !off(&n));
            return if free {
                0
            } else {
                until(&mut entry.names.iter()).unwrap_or(0)
            };
        };
        let mut renew = due(&held, entry.window, self.plan.rule, id);
        if entry.early.0 > 0 && entry.early.1 < wall + WAIT_MOST {
            renew = renew.max(entry.early.1);
        }
        let missing: Vec<_> = entry
            .names
            .iter()
            .filter(|n| !entry.covered.contains(*n))
            .collect();
        if missing.iter().any(|n| !off(n)) {
            return 0;
        }
        let complete = until(&mut missing.iter().copied()).unwrap_or(u64::MAX);
        // What the old one stands for is not given up while it holds on for long.
        let at_stake = until(
            &mut entry
                .names
                .iter()
                .filter(|n| entry.covered.contains(*n))
                .filter(off),
        );
        let renew = match at_stake {
            Some(until) => renew.max(until.min(held.at(WITHOUT_PERCENT))),
            None => renew,
        };
        let free = entry.names.iter().any(|n| !off(&n));
        let renew = if free {
            renew
        } else {
            renew.max(until(&mut entry.names.iter()).unwrap_or(0))
        };
        renew.min(complete)
    }

    /// Puts a certificate into the queue where it belongs now.
    fn schedule(&mut self, clocks: Clocks, id: &str) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if entry.place == Place::Busy {
            return;
        }
        let due = self.due(clocks.wall, id, entry);
        self.unqueue(id);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.place = if due > clocks.wall {
            entry.turned = false;
            Place::Later(due)
        } else {
            if !std::mem::replace(&mut entry.turned, true) {
                let left = entry
                    .held
                    .map_or(0, |h| h.not_after.saturating_sub(clocks.wall));
                entry.hold = entry.hold.max(clocks.now + self.turns.delay(id, left));
            }
            let urgency = entry.held.map_or(0, |h| h.not_after);
            if entry.hold > clocks.now {
                Place::HeldBack(entry.hold)
            } else {
                Place::Ready(urgency)
            }
        };
        match entry.place {
            Place::Later(at) => drop(self.later.insert((at, id.into()))),
            Place::HeldBack(at) => drop(self.held_back.insert((at, id.into()))),
            Place::Ready(at) => drop(self.ready.insert((at, id.into()))),
            Place::Busy => {}
        }
    }

    fn unqueue(&mut self, id: &str) {
        match self.entries.get(id).map(|e| e.place) {
            Some(Place::Later(at)) => drop(self.later.remove(&(at, id.into()))),
            Some(Place::HeldBack(at)) => drop(self.held_back.remove(&(at, id.into()))),
            Some(Place::Ready(at)) => drop(self.ready.remove(&(at, id.into()))),
            Some(Place::Busy) => self.busy -= 1,
            None => {}
        }
    }

    fn unbusy(&mut self, id: &str) {
        if self.entries.get(id).is_some_and(|e| e.place == Place::Busy) {
            self.busy -= 1;
            if let Some(entry) = self.entries.get_mut(id) {
                entry.place = Place::Later(u64::MAX);
            }
        }
    }

    /// Moves what has come due.
    fn advance(&mut self, clocks: Clocks) {
        while let Some((_, id)) = self
            .later
            .first()
            .filter(|(at, _)| *at <= clocks.wall)
            .cloned()
        {
            self.later.pop_first();
            self.entries
                .get_mut(&id)
                .into_iter()
                .for_each(|e| e.place = Place::Later(0));
            self.schedule(clocks, &id);
        }
        while let Some((_, id)) = self
            .held_back
            .first()
            .filter(|(at, _)| *at <= clocks.now)
            .cloned()
        {
            self.held_back.pop_first();
            self.entries
                .get_mut(&id)
                .into_iter()
                .for_each(|e| e.place = Place::HeldBack(0));
            self.schedule(clocks, &id);
        }
    }
}

fn some(found: &[(Validity, &String)]) -> Vec<String> {
    found
        .iter()
        .take(TOLD_MOST)
        .map(|(_, id)| id.to_string())
        .collect()
}
