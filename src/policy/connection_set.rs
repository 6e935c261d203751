//! The caches that this front probably has connections to: those that it sent requests to recently.
//!
//! The embedding program has a limited number of connections. With more caches than that, each request to another
//! cache would open a connection and close a different one. Requests therefore stay with the caches in the set once it
//! is full.
use super::endpoint::EndpointIndex;
use crate::api::{Micros, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Caches in use, with the time of the last request to each.
#[derive(Debug, Default)]
pub(crate) struct ConnectionSet {
    /// Maximum number of caches in use; 0: unlimited.
    max_endpoints: usize,
    /// Time without requests after which a connection is closed.
    idle_timeout: Micros,
    last_sent: BTreeMap<EndpointIndex, Timestamp>,
    by_last_sent: BTreeSet<(Timestamp, EndpointIndex)>,
}

impl ConnectionSet {
    /// Sets the maximum number of caches in use and the idle timeout of their connections.
    pub fn set_limits(&mut self, max_endpoints: usize, idle_timeout: Micros) {
        self.max_endpoints = max_endpoints;
        self.idle_timeout = idle_timeout;
    }

    pub fn record_send(&mut self, now: Timestamp, endpoint: EndpointIndex) {
        if self.max_endpoints == 0 {
            return;
        }
        self.remove(endpoint);
        self.last_sent.insert(endpoint, now);
        self.by_last_sent.insert((now, endpoint));
    }

    /// Removes a cache whose process has ended, and with it the connection.
    pub fn remove(&mut self, endpoint: EndpointIndex) {
        if let Some(sent_at) = self.last_sent.remove(&endpoint) {
            self.by_last_sent.remove(&(sent_at, endpoint));
        }
    }

    /// Removes caches whose connections have reached the idle timeout.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((sent_at, endpoint)) = self.by_last_sent.first().copied() {
            if sent_at + self.idle_timeout > now {
                break;
            }
            self.by_last_sent.remove(&(sent_at, endpoint));
            self.last_sent.remove(&endpoint);
        }
    }

    /// Whether the maximum number of caches is in use.
    pub fn is_full(&self) -> bool {
        self.max_endpoints > 0 && self.last_sent.len() >= self.max_endpoints
    }

    /// Factor by which this front's quota of a cache in use exceeds the quota of a front that sends to all `caches`.
    /// Once the set is full each front uses only some of the caches, so fewer fronts share each. 1 in all other cases.
    pub fn quota_factor(&self, endpoint: EndpointIndex, caches: usize) -> f64 {
        if !self.is_full() || !self.last_sent.contains_key(&endpoint) {
            return 1.0;
        }
        (caches as f64 / self.max_endpoints as f64).max(1.0)
    }

    pub fn endpoints(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        self.last_sent.keys().copied()
    }
}

#[cfg(test)]
mod tests;
