//! When a front says that it is ready.
use crate::{Span, Time};
use std::fmt;

/// What a front is to have before it says yes, and by when it says so with less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Needs {
    /// Of the members listed so many in a hundred have a connection that is up.
    pub percent: u32,
    /// So long after its start it says yes with fewer, if it has a list at all.
    pub most: Span,
    /// The yes of a whole fleet is spread over this.
    pub spread: Span,
}

/// What a front waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waits {
    /// It knows no members.
    List,
    /// Connections that are up, and how many are needed.
    Members(usize, usize),
    /// Its place in the spread.
    Turn,
}

impl fmt::Display for Waits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Waits::List => write!(f, "a list of members"),
            Waits::Members(up, needed) => write!(f, "connections: {up} of {needed} members are reached"),
            Waits::Turn => write!(f, "its turn among the fronts"),
        }
    }
}

/// A front's yes.
#[derive(Clone, Debug)]
pub struct Ready {
    needs: Needs,
    began: Time,
    /// Its place in the spread.
    turn: Span,
    /// It has said yes. It does not take that back for connections: members that are lost are the decisions' business.
    said: bool,
}

impl Ready {
    /// The front of this number of so many, which starts now.
    pub fn new(now: Time, (number, fronts): (u32, u32), needs: Needs) -> Self {
        let turn = needs.spread / u64::from(fronts.max(1)) * u64::from(number % fronts.max(1));
        Ready { needs, began: now, turn, said: false }
    }

    /// What it waits for; `None`: it is ready. `listed` members are known, `up` of them have a connection that is up.
    pub fn look(&mut self, now: Time, listed: usize, up: usize) -> Option<Waits> {
        // Without a list nothing can be served, whatever was said before.
        if listed == 0 {
            return Some(Waits::List);
        }
        let needed = (listed * self.needs.percent as usize).div_ceil(100);
        let late = now >= self.began + self.needs.most;
        if !self.said && !late {
            if up < needed {
                return Some(Waits::Members(up, needed));
            }
            if now < self.began + self.turn {
                return Some(Waits::Turn);
            }
        }
        self.said = true;
        None
    }
}

#[cfg(test)]
mod tests;
