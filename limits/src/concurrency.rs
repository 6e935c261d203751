//! Places for those that nothing is known of yet.
use crate::{Span, Time};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Whom a place is for: the key under which its connection is known.
pub type Place = usize;

/// A bounded number of places, each held until an absolute deadline. One that comes when all are taken displaces
/// the oldest: under a flood who is quick gets through, and who holds a place without using it makes room first.
#[derive(Debug)]
pub struct Places {
    most: usize,
    span: Span,
    /// When each has to be done, and its number in order of arrival.
    held: HashMap<Place, (Time, u64)>,
    order: BTreeMap<u64, Place>,
    /// Those that have something to be dealt with and wait for their turn, in order.
    waiting: VecDeque<(Place, u64)>,
    last: u64,
}

impl Places {
    /// `most` places, each for `span` microseconds.
    pub fn new(most: usize, span: Span) -> Self {
        let (held, order, waiting) = (HashMap::new(), BTreeMap::new(), VecDeque::new());
        Places { most: most.max(1), span, held, order, waiting, last: 0 }
    }

    /// Changes the limits; deadlines that were given stand, and places beyond the new number are displaced as new
    /// ones come.
    pub fn set(&mut self, most: usize, span: Span) {
        (self.most, self.span) = (most.max(1), span);
    }

    /// Places that are taken.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether none is taken.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Takes a place. Returns its deadline, and who has to go for it.
    pub fn take(&mut self, now: Time, who: Place) -> (Time, Vec<Place>) {
        let mut displaced = Vec::new();
        while self.held.len() >= self.most {
            let Some((_, oldest)) = self.order.pop_first() else { break };
            self.held.remove(&oldest);
            displaced.push(oldest);
        }
        self.last += 1;
        let due = now + self.span;
        self.held.insert(who, (due, self.last));
        self.order.insert(self.last, who);
        (due, displaced)
    }

    /// Gives a place up. `false`: it was not held any more.
    pub fn leave(&mut self, who: Place) -> bool {
        let held = self.held.remove(&who);
        held.is_some_and(|(_, number)| self.order.remove(&number).is_some())
    }

    /// Notes that something came for a place; it waits for its turn once, however often that is told.
    pub fn wants(&mut self, who: Place) {
        let Some((_, number)) = self.held.get(&who) else { return };
        if !self.waiting.iter().any(|(w, _)| *w == who) {
            self.waiting.push_back((who, *number));
        }
    }

    /// Whose turn it is.
    pub fn turn(&mut self) -> Option<Place> {
        loop {
            let (who, number) = self.waiting.pop_front()?;
            if self.held.get(&who).is_some_and(|(_, held)| *held == number) {
                return Some(who);
            }
        }
    }

    /// Whether somebody waits for a turn.
    pub fn any_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Takes out those whose time is over.
    pub fn overdue(&mut self, now: Time) -> Vec<Place> {
        // In order of arrival; a changed span may have put a later one first, so all are looked at.
        let over: Vec<_> = self.order.values().copied().filter(|who| self.held[who].0 <= now).collect();
        for who in &over {
            self.leave(*who);
        }
        over
    }

    /// The first deadline.
    pub fn next(&self) -> Option<Time> {
        self.held.values().map(|(due, _)| *due).min()
    }
}

#[cfg(test)]
mod tests;
