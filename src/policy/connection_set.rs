//! The caches that this front has connections to, as far as it can tell: those that it has sent to recently.
//!
//! The embedding program can have a limited number of connections. In a fleet with more caches than that, each request
//! would need a new connection to its own cache, and another connection would have to be closed for it. So once as
//! many caches are in use, requests are kept to these.
use super::endpoint::EndpointIndex;
use crate::api::{Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Caches in use, each with the time of the last request to it.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSet {
    /// Caches that can be in use at once; 0: any number.
    max_endpoints: usize,
    /// A connection that carries nothing for this long is closed.
    idle_timeout: Micros,
    last_sent: BTreeMap<EndpointIndex, Timestamp>,
    by_last_sent: BTreeSet<(Timestamp, EndpointIndex)>,
}

impl ConnectionSet {
    /// Sets how many caches can be in use, and after which time without a request one no longer is.
    pub fn set_limits(&mut self, max_endpoints: usize, idle_timeout: Micros) {
        self.max_endpoints = max_endpoints;
        self.idle_timeout = idle_timeout;
    }

    /// Records a request to a cache.
    pub fn record_send(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        if self.max_endpoints == 0 {
            return;
        }
        self.remove(endpoint);
        self.last_sent.insert(endpoint, now);
        self.by_last_sent.insert((now, endpoint));
    }

    /// The process of a cache has ended: there is no connection to it.
    pub fn remove(&mut self, endpoint: EndpointIndex) {
        if let Some(sent_at) = self.last_sent.remove(&endpoint) {
            self.by_last_sent.remove(&(sent_at, endpoint));
        }
    }

    /// Forgets caches to which the connections are closed by now.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((sent_at, endpoint)) = self.by_last_sent.first().copied() {
            if sent_at + self.idle_timeout > now {
                break;
            }
            self.by_last_sent.remove(&(sent_at, endpoint));
            self.last_sent.remove(&endpoint);
        }
    }

    /// Whether as many caches are in use as can be.
    pub fn is_full(&self) -> bool {
        self.max_endpoints > 0 && self.last_sent.len() >= self.max_endpoints
    }

    /// Factor by which this front's share of a cache in use is larger than that of a front that sends to all
    /// `caches`: once each front keeps to some of them, as many fewer send to each. 1 where that is not so.
    pub fn quota_factor(&self, endpoint: EndpointIndex, caches: usize) -> f64 {
        if !self.is_full() || !self.last_sent.contains_key(&endpoint) {
            return 1.0;
        }
        (caches as f64 / self.max_endpoints as f64).max(1.0)
    }

    /// The caches in use.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.last_sent.keys().copied()
    }
}

#[cfg(test)]
mod tests;
