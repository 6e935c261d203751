//! A front that holds duties.
use crate::{Command, Duty, Fact, Fence, Front, No, Span, Time, DRIFT_PER_MILLE};
use std::collections::BTreeMap;

/// Words that are not answered are said again after this part of a term.
const AGAIN: u64 = 6;
/// A lease is prolonged once this part of it has passed.
const PROLONG: u64 = 3;
/// A front that could not do a duty leaves it alone for a term, and up to this many times that.
const AWAY_MOST: u32 = 5;

/// What a holder wants to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    /// To be put into the log.
    Log(Command),
    /// The duty is held from now on.
    Begins(Duty, Fence),
    /// It is no longer: nothing is begun under that fence.
    Ends(Duty, Fence),
}

#[derive(Clone, Debug, Default)]
struct Lease {
    fence: Fence,
    /// By then it is over, by this front's clock; 0: it is not held.
    until: Time,
    /// When it was asked for last, and by which word; the answer counts from before the asking.
    asked: Option<(Time, u64)>,
    /// When something is said next.
    due: Time,
    /// It is told that it is held.
    told: bool,
    /// By then all acts that were begun under it have ended.
    busy: Time,
    /// The fence that is given up, when that is said next, and until when: then it has lapsed whoever heard it.
    gives_up: Option<(Fence, Time, Time)>,
    /// Times in a row that it could not be done here, and until when it is left alone.
    failed: u32,
    away: Time,
}

/// One front's side.
#[derive(Clone, Debug)]
pub struct Holder {
    front: Front,
    term: Span,
    number: u64,
    leases: BTreeMap<Duty, Lease>,
    /// It ends or is emptied: nothing new is asked for.
    leaves: bool,
}

impl Holder {
    /// A front that would hold these, each from a moment of its own on: who should have it first asks first. `number` is beyond
    /// any word that it has said before, over restarts.
    pub fn new(front: Front, term: Span, number: u64, wants: impl IntoIterator<Item = (Duty, Time)>) -> Self {
        let lease = |due| Lease { due, ..Lease::default() };
        let leases = wants.into_iter().map(|(duty, due)| (duty, lease(due))).collect();
        Holder { front, term, number, leases, leaves: false }
    }

    /// What a term is worth to a holder.
    fn worth(&self) -> Span {
        self.term - self.term * DRIFT_PER_MILLE / 1_000
    }

    /// Whether an act that ends by `until` may begin now, and under which fence. A process that was stopped finds out here,
    /// before it does anything.
    pub fn act(&mut self, now: Time, duty: Duty, until: Time) -> Result<Fence, &'static str> {
        let held = self.leases.get_mut(&duty).filter(|lease| lease.until > 0);
        let lease = held.ok_or("the duty is not held here")?;
        if now >= lease.until {
            return Err("the lease is over");
        }
        if until > lease.until {
            return Err("the act would outlast the lease");
        }
        lease.busy = lease.busy.max(until);
        Ok(lease.fence)
    }

    /// What is due.
    pub fn look(&mut self, now: Time) -> Vec<Says> {
        let (worth, front) = (self.worth(), self.front);
        let (mut says, mut number) = (Vec::new(), self.number);
        for (duty, lease) in &mut self.leases {
            if lease.until > 0 && now >= lease.until {
                lease.until = 0;
                if std::mem::take(&mut lease.told) {
                    says.push(Says::Ends(*duty, lease.fence));
                }
            }
            if let Some((fence, due, last)) = lease.gives_up.filter(|gives| now >= gives.1) {
                says.push(Says::Log(Command::Release { front, duty: *duty, fence }));
                lease.gives_up = Some((fence, due.max(now) + worth / AGAIN, last)).filter(|_| now < last);
            }
            // What is given up is not asked for before that is said: it would be prolonged.
            if now >= lease.due && now >= lease.away && lease.gives_up.is_none() && !self.leaves {
                number += 1;
                lease.asked = Some((now, number));
                lease.due = now + worth / AGAIN;
                let prolongs = if lease.until > 0 { lease.fence } else { 0 };
                says.push(Says::Log(Command::Ask { front, number, duty: *duty, prolongs }));
            }
        }
        self.number = number;
        says
    }

    /// The log has come to this.
    pub fn heard(&mut self, now: Time, fact: Fact) -> Vec<Says> {
        let worth = self.worth();
        match fact {
            Fact::Granted { front, number, duty, fence, .. } if front == self.front => {
                let Some(lease) = self.leases.get_mut(&duty) else { return Vec::new() };
                // Only the last word says when it was asked; an earlier one is answered too late to be sure.
                let Some((asked, _)) = lease.asked.filter(|asked| asked.1 == number) else {
                    return Vec::new();
                };
                lease.asked = None;
                (lease.fence, lease.until) = (fence, asked + worth);
                lease.due = asked + worth / PROLONG;
                if now >= lease.until {
                    lease.until = 0;
                    return Vec::new();
                }
                let new = !std::mem::replace(&mut lease.told, true);
                new.then_some(Says::Begins(duty, fence)).into_iter().collect()
            }
            Fact::Refused { front, number, duty, why } if front == self.front => {
                if let Some(lease) =
                    self.leases.get_mut(&duty).filter(|l| l.asked.is_some_and(|a| a.1 == number))
                {
                    lease.asked = None;
                    // Somebody else has it, or it is kept: it is asked for again when a term may have passed.
                    // A word that another one overtook on its way says nothing: it is said anew at once.
                    lease.due = if why == No::Old { now } else { lease.due.max(now + worth / PROLONG) };
                }
                Vec::new()
            }
            // It is asked for by those who would have it, each from its own place on.
            Fact::Free(duty) => {
                if let Some(lease) = self.leases.get_mut(&duty).filter(|lease| lease.until == 0) {
                    lease.gives_up = None;
                    lease.due = lease.due.min(now + u64::from(self.front) * worth / 200);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// It can't do the duty, whatever the reason: it gives it up and leaves it alone for a while, longer each time. The log hears
    /// of it once the acts that were begun have ended; nothing new is begun from now on.
    pub fn fails(&mut self, now: Time, duty: Duty) -> Vec<Says> {
        let term = self.term;
        let Some(lease) = self.leases.get_mut(&duty) else { return Vec::new() };
        lease.failed = (lease.failed + 1).min(AWAY_MOST);
        lease.away = now + term * u64::from(lease.failed);
        let mut says = self.gives_up(duty);
        says.extend(self.look(now));
        says
    }

    /// It does the duty well.
    pub fn does(&mut self, duty: Duty) {
        if let Some(lease) = self.leases.get_mut(&duty) {
            lease.failed = 0;
        }
    }

    /// It ends or is emptied: all that it holds is handed on, each duty once the acts that were begun have ended. `true` by
    /// [`Holder::left`] says that all is said.
    pub fn leave(&mut self, now: Time) -> Vec<Says> {
        self.leaves = true;
        let all: Vec<_> = self.leases.keys().copied().collect();
        let mut says: Vec<_> = all.into_iter().flat_map(|duty| self.gives_up(duty)).collect();
        says.extend(self.look(now));
        says
    }

    /// Nothing is held here, and the log was told so.
    pub fn left(&self) -> bool {
        self.leases.values().all(|lease| lease.until == 0 && lease.gives_up.is_none())
    }

    fn gives_up(&mut self, duty: Duty) -> Vec<Says> {
        let worth = self.worth();
        let Some(lease) = self.leases.get_mut(&duty).filter(|lease| lease.until > 0) else {
            return Vec::new();
        };
        (lease.until, lease.asked, lease.told) = (0, None, false);
        lease.gives_up = Some((lease.fence, lease.busy, lease.busy + worth));
        vec![Says::Ends(duty, lease.fence)]
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Time> {
        let one = |lease: &Lease| {
            let asks = (!self.leaves && lease.gives_up.is_none()).then_some(lease.due.max(lease.away));
            let ends = (lease.until > 0).then_some(lease.until);
            let gives_up = lease.gives_up.map(|gives| gives.1);
            asks.into_iter().chain(ends).chain(gives_up).min()
        };
        self.leases.values().filter_map(one).min()
    }
}

#[cfg(test)]
mod tests;
