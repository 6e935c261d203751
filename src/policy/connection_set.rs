//! The caches that connections are held to, as this router can tell: those that it has sent to lately.
//!
//! The embedding program can hold so many connections at once. In a fleet with more caches than that, each request
//! would need a new connection to its own cache, and one would have to be closed for it or none be had. So once as many
//! caches are in use, requests keep to these.
use crate::api::{Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Caches in use, each since when nothing was sent to it.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSet {
    /// Caches that can be in use at once; 0: any number.
    max_endpoints: usize,
    /// A connection that carries nothing for this long is closed.
    idle: Micros,
    last_sent: BTreeMap<usize, Timestamp>,
    by_time: BTreeSet<(Timestamp, usize)>,
}

impl ConnectionSet {
    /// From now on this holds of connections.
    pub fn set_limits(&mut self, max_endpoints: usize, idle: Micros) {
        (self.max_endpoints, self.idle) = (max_endpoints, idle);
    }

    /// Something is sent to a cache.
    pub fn record_send(&mut self, now: Timestamp, endpoint: usize) {
        if self.max_endpoints == 0 {
            return;
        }
        self.forget(endpoint);
        self.last_sent.insert(endpoint, now);
        self.by_time.insert((now, endpoint));
    }

    /// A cache is another process from now on, or none.
    pub fn forget(&mut self, endpoint: usize) {
        if let Some(at) = self.last_sent.remove(&endpoint) {
            self.by_time.remove(&(at, endpoint));
        }
    }

    /// Caches to which the connections are closed by now are no longer in use.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((at, endpoint)) = self
            .by_time
            .first()
            .copied()
            .filter(|(at, _)| at + self.idle <= now)
        {
            self.by_time.remove(&(at, endpoint));
            self.last_sent.remove(&endpoint);
        }
    }

    /// Whether no further cache can be in use.
    pub fn is_full(&self) -> bool {
        self.max_endpoints > 0 && self.last_sent.len() >= self.max_endpoints
    }

    /// By how much this router's share of a cache in use is larger than that of a router that sends to all `caches`:
    /// once each keeps to some of them, as many fewer send to each. 1 where that is not so.
    pub fn share_factor(&self, endpoint: usize, caches: usize) -> f64 {
        if !self.is_full() || !self.last_sent.contains_key(&endpoint) {
            return 1.0;
        }
        (caches as f64 / self.max_endpoints as f64).max(1.0)
    }

    /// The caches in use.
    pub fn endpoints(&self) -> impl Iterator<Item = usize> + '_ {
        self.last_sent.keys().copied()
    }
}

#[cfg(test)]
mod tests;
