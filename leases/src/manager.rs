//! Where the log is led: when a grant has lapsed.
use crate::{Book, Command, Duty, Fence, Span, Time};
use std::collections::BTreeMap;

/// Terms by the leader's own clock.
#[derive(Clone, Debug)]
pub struct Keeper {
    term: Span,
    /// Of each duty that is held: under which fence, how often prolonged, and since when that is known here.
    since: BTreeMap<Duty, (Fence, u64, Time)>,
    /// Since when the log is led here.
    leads: Option<Time>,
}

impl Keeper {
    /// Does not lead yet. A term is what holders are told, whole.
    pub fn new(term: Span) -> Self {
        Keeper { term, since: BTreeMap::new(), leads: None }
    }

    /// The log is led here from now on, or no longer. What an earlier leader counted is not known: every term begins anew.
    pub fn leads(&mut self, now: Time, leads: bool) {
        self.since.clear();
        self.leads = leads.then_some(now);
    }

    /// The book has changed, the log has come to be led here, or time has gone on: what has lapsed, to be put into the log. A term
    /// counts from the look that saw it first: later than the grant, never before.
    pub fn look(&mut self, now: Time, book: &Book) -> Vec<Command> {
        if self.leads.is_none() {
            return Vec::new();
        }
        let mut lapsed = Vec::new();
        for duty in 0..book.duties() as Duty {
            let Some((_, fence, renewals)) = book.held(duty) else {
                self.since.remove(&duty);
                continue;
            };
            let known = self.since.entry(duty).or_insert((fence, renewals, now));
            if (known.0, known.1) != (fence, renewals) {
                *known = (fence, renewals, now);
            }
            if now >= known.2 + self.term {
                lapsed.push(Command::Lapse { duty, fence, renewals });
                // It may be lost on its way: it is said again.
                known.2 = now - self.term + self.term / 8;
            }
        }
        lapsed
    }

    /// When something lapses next.
    pub fn next(&self) -> Option<Time> {
        self.leads.and(self.since.values().map(|known| known.2 + self.term).min())
    }
}

#[cfg(test)]
mod tests;
