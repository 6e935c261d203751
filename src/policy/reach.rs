//! The caches that connections are held to, as this router can tell: those that it has sent to lately.
//!
//! The embedding program can hold so many connections at once. In a fleet with more caches than that, each request
//! would need a new connection to its own cache, and one would have to be closed for it or none be had. So once as many
//! caches are in use, requests keep to these.
use crate::api::{Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Caches in use, each since when nothing was sent to it.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// Caches that can be in use at once; 0: any number.
    at_most: usize,
    /// A connection that carries nothing for this long is closed.
    idle: Micros,
    last_sent: BTreeMap<usize, Timestamp>,
    by_time: BTreeSet<(Timestamp, usize)>,
}

impl Reach {
    /// From now on this holds of connections.
    pub fn set_limits(&mut self, at_most: usize, idle: Micros) {
        (self.at_most, self.idle) = (at_most, idle);
    }

    /// Something is sent to a cache.
    pub fn sent(&mut self, now: Timestamp, place: usize) {
        if self.at_most == 0 {
            return;
        }
        self.forget(place);
        self.last_sent.insert(place, now);
        self.by_time.insert((now, place));
    }

    /// A cache is another process from now on, or none.
    pub fn forget(&mut self, place: usize) {
        if let Some(at) = self.last_sent.remove(&place) {
            self.by_time.remove(&(at, place));
        }
    }

    /// Caches to which the connections are closed by now are no longer in use.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((at, place)) = self
            .by_time
            .first()
            .copied()
            .filter(|(at, _)| at + self.idle <= now)
        {
            self.by_time.remove(&(at, place));
            self.last_sent.remove(&place);
        }
    }

    /// Whether no further cache can be in use.
    pub fn is_full(&self) -> bool {
        self.at_most > 0 && self.last_sent.len() >= self.at_most
    }

    /// By how much this router's share of a cache in use is larger than that of a router that sends to all `caches`:
    /// once each keeps to some of them, as many fewer send to each. 1 where that is not so.
    pub fn widening(&self, place: usize, caches: usize) -> f64 {
        if !self.is_full() || !self.last_sent.contains_key(&place) {
            return 1.0;
        }
        (caches as f64 / self.at_most as f64).max(1.0)
    }

    /// The caches in use.
    pub fn places(&self) -> impl Iterator<Item = usize> + '_ {
        self.last_sent.keys().copied()
    }
}

#[cfg(test)]
mod tests;
