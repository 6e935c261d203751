//! Which box has confirmed what, and what it is sent next: in order, one batch out at a time, slow boxes apart from fast
//! ones, paced over the fleet.
use crate::log::BATCH_MOST;
use crate::{Micros, Number, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A batch that is not confirmed after this long is taken for lost, and what it held is sent again.
const CONFIRM_MOST: Micros = 5_000_000;
/// Pauses after a loss: the first, and the longest.
const PAUSE_FIRST: Micros = 100_000;
const PAUSE_MOST: Micros = 10_000_000;
/// A box whose last batch took longer than this is a slow one.
const SLOW: Micros = 1_000_000;
/// Batches out at once: to slow boxes at most so many, so that they don't take all the places.
const OUT_MOST: usize = 64;
const OUT_SLOW_MOST: usize = 8;

/// A box, by its id.
pub type BoxId = u64;

/// What a box is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Batch {
    /// To whom.
    pub to: BoxId,
    /// Purges after this number,
    pub after: Number,
    /// up to this one.
    pub upto: Number,
}

#[derive(Clone, Debug)]
struct State {
    /// Everything up to this one is carried out.
    confirmed: Number,
    /// The batch that is out, and since when.
    out: Option<(Number, Timestamp)>,
    connected: bool,
    slow: bool,
    failures: u32,
    /// Nothing is sent before this moment.
    rests: Timestamp,
    lies: u64,
}

/// How a box stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// Which.
    pub id: BoxId,
    /// Everything up to this number is carried out.
    pub confirmed: Number,
    /// It can be reached.
    pub connected: bool,
    /// It takes long.
    pub slow: bool,
    /// How often it was caught with an old copy.
    pub lies: u64,
}

/// All boxes.
#[derive(Clone, Debug)]
pub struct Boxes {
    identity: u64,
    all: BTreeMap<BoxId, State>,
    /// Who was sent something last: the next one comes first.
    turn: BoxId,
    out: usize,
    out_slow: usize,
    /// Purges a second over the fleet, and what may be sent now.
    per_s: f64,
    level: f64,
    at: Timestamp,
}

impl Boxes {
    /// No boxes yet; `per_s` purges a second go out to all of them together. `identity`: of the ledger.
    pub fn new(now: Timestamp, identity: u64, per_s: f64) -> Self {
        let (per_s, all) = (per_s.max(1.0), BTreeMap::new());
        Boxes {
            identity,
            all,
            turn: 0,
            out: 0,
            out_slow: 0,
            per_s,
            level: per_s,
            at: now,
        }
    }

    /// A box is listed: a new one has nothing. One that was known before keeps what it confirmed, unless it says
    /// otherwise when it is connected.
    pub fn list(&mut self, id: BoxId) {
        self.all.entry(id).or_insert(State {
            confirmed: 0,
            out: None,
            connected: false,
            slow: false,
            failures: 0,
            rests: 0,
            lies: 0,
        });
    }

    /// A box has gone for good.
    pub fn gone(&mut self, id: BoxId) {
        self.end(id);
        self.all.remove(&id);
    }

    /// A connection to a box is up, and it reports what it has carried out, of which ledger. `empty`: it holds no copy,
    /// so it starts at the head. A number of another ledger, or beyond `head`, is none.
    pub fn connected(
        &mut self,
        id: BoxId,
        ledger: u64,
        reported: Number,
        empty: bool,
        head: Number,
    ) {
        self.end(id);
        let identity = self.identity;
        if let Some(state) = self.all.get_mut(&id) {
            (state.connected, state.rests) = (true, 0);
            state.confirmed = match (empty, ledger == identity && reported <= head) {
                (true, _) => head,
                (false, true) => reported,
                (false, false) => 0,
            };
        }
    }

    /// The connection to a box is gone, with what was out on it.
    pub fn lost(&mut self, now: Timestamp, id: BoxId) {
        self.end(id);
        if let Some(state) = self.all.get_mut(&id) {
            state.connected = false;
            Self::rest(state, now);
        }
    }

    /// A box has carried out everything up to a number. Less or more than was sent tells nothing: `false`.
    pub fn confirmed(&mut self, now: Timestamp, id: BoxId, number: Number) -> bool {
        let Some((upto, since)) = self.all.get(&id).and_then(|s| s.out) else {
            return false;
        };
        if number != upto {
            return false;
        }
        self.end(id);
        if let Some(state) = self.all.get_mut(&id) {
            (state.confirmed, state.failures) = (number, 0);
            state.slow = now.saturating_sub(since) > SLOW;
        }
        true
    }

    /// An answer of a box was older than a purge that it had confirmed: it is purged anew, from the first that is held.
    pub fn lied(&mut self, now: Timestamp, id: BoxId) {
        self.end(id);
        if let Some(state) = self.all.get_mut(&id) {
            state.lies += 1;
            state.confirmed = 0;
            Self::rest(state, now);
        }
    }

    fn rest(state: &mut State, now: Timestamp) {
        state.failures += 1;
        state.rests = now + (PAUSE_FIRST << (state.failures - 1).min(10)).min(PAUSE_MOST);
    }

    fn end(&mut self, id: BoxId) {
        if let Some(state) = self.all.get_mut(&id) {
            if state.out.take().is_some() {
                self.out -= 1;
                self.out_slow -= usize::from(state.slow);
            }
        }
    }

    /// What goes out now. `base`: the number before the first that the ledger holds, `head`: its last.
    pub fn next(&mut self, now: Timestamp, base: Number, head: Number) -> Vec<Batch> {
        self.level =
            (self.level + now.saturating_sub(self.at) as f64 / 1e6 * self.per_s).min(self.per_s);
        self.at = self.at.max(now);
        let late = |s: &State| s.out.is_some_and(|(_, since)| now > since + CONFIRM_MOST);
        let overdue: Vec<_> = self
            .all
            .iter()
            .filter(|(_, s)| late(s))
            .map(|(id, _)| *id)
            .collect();
        for id in overdue {
            self.end(id);
            if let Some(state) = self.all.get_mut(&id) {
                state.slow = true;
                Self::rest(state, now);
            }
        }
        let mut batches = Vec::new();
        // In turn: who came last comes last.
        let after = self.all.range(self.turn + 1..).map(|(id, _)| *id);
        let order: Vec<_> = after
            .chain(self.all.range(..=self.turn).map(|(id, _)| *id))
            .collect();
        for id in order {
            if self.out >= OUT_MOST || self.level < 1.0 {
                break;
            }
            let Some(state) = self.all.get_mut(&id) else {
                continue;
            };
            let waits = !state.connected || state.out.is_some() || now < state.rests;
            if waits || state.confirmed >= head || state.slow && self.out_slow >= OUT_SLOW_MOST {
                continue;
            }
            // What is not held any more was confirmed by all that were there, and is past the horizon.
            let from = state.confirmed.max(base);
            let most = (self.level as u64).min(BATCH_MOST as u64).max(1);
            let upto = head.min(from + most);
            self.level -= (upto - from) as f64;
            state.out = Some((upto, now));
            self.out += 1;
            self.out_slow += usize::from(state.slow);
            self.turn = id;
            batches.push(Batch {
                to: id,
                after: from,
                upto,
            });
        }
        batches
    }

    /// When [`Boxes::next`] may have something without anything else happening.
    pub fn wake(&self, now: Timestamp, head: Number) -> Option<Timestamp> {
        let behind = |s: &&State| s.connected && s.confirmed < head;
        let due = |s: &State| match s.out {
            Some((_, since)) => since + CONFIRM_MOST + 1,
            None => s.rests,
        };
        let first = self.all.values().filter(behind).map(due).min()?;
        let level = if self.level < 1.0 {
            ((1.0 - self.level) / self.per_s * 1e6) as u64 + 1
        } else {
            0
        };
        Some(first.max(now + level).max(now + 1_000))
    }

    /// What a box has confirmed; 0 for one that is not known.
    pub fn confirmed_by(&self, id: BoxId) -> Number {
        self.all.get(&id).map_or(0, |s| s.confirmed)
    }

    /// What every box has confirmed; `None`: there are none.
    pub fn confirmed_by_all(&self) -> Option<Number> {
        self.all.values().map(|s| s.confirmed).min()
    }

    /// Those that have not confirmed a number.
    pub fn missing(&self, number: Number) -> BTreeSet<BoxId> {
        self.all
            .iter()
            .filter(|(_, s)| s.confirmed < number)
            .map(|(id, _)| *id)
            .collect()
    }

    /// How each stands.
    pub fn rows(&self) -> impl Iterator<Item = Row> + '_ {
        self.all.iter().map(|(id, s)| Row {
            id: *id,
            confirmed: s.confirmed,
            connected: s.connected,
            slow: s.slow,
            lies: s.lies,
        })
    }
}
