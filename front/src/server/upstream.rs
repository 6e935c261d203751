//! Upstream: connections to cache nodes, parents and the origin.
mod connection;
mod placement;
mod redial;
mod transfer;
mod withdrawal;
use self::connection::Connection;
use self::redial::Redials;
pub use self::withdrawal::ExcludedAttempts;
use crate::routing::{AttemptEnd, AttemptId, Fetch, TransactionId};
use cranesill::api::{EndpointEntry, EndpointId, EndpointState, Micros, Timestamp};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Fraction of the endpoints' idle timeout after which the front closes an idle connection, so that no request crosses a close by
/// the endpoint.
const IDLE_FRACTION: f64 = 0.5;
/// Fraction of the connections available for one connection per cache node; the rest is for parents, the origin, and additional
/// connections to busy endpoints.
const CACHE_NODE_FRACTION: f64 = 0.75;
/// Size of the read buffer.
const MAX_READ_BYTES: usize = 64 * 1024;
/// A connection is closed if an incomplete response makes no progress for this time.
const PARTIAL_RESPONSE_TIMEOUT: Micros = 500_000;

/// An attempt and where to send it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The attempt's id.
    pub attempt: AttemptId,
    /// The endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// The attempt is withdrawn if none of it is written by then.
    pub write_deadline: Timestamp,
}

/// Ended attempts and their results.
pub type Ends = Vec<(AttemptId, AttemptEnd)>;

/// All upstream connections. They are assigned to endpoints by id, because an address may be reused by another endpoint.
#[derive(Debug)]
pub struct UpstreamConnections {
    connections: HashMap<usize, Connection>,
    /// The poller keys of the connections to each endpoint.
    by_endpoint: HashMap<EndpointId, Vec<usize>>,
    /// The address and the start time of each listed endpoint.
    listed: HashMap<EndpointId, (SocketAddr, Timestamp)>,
    /// The poller key and the transaction of each open attempt.
    by_attempt: HashMap<AttemptId, (usize, TransactionId)>,
    /// Attempts waiting for a retry because this host could not start a connection.
    redials: Redials,
    max_connections: usize,
    /// Maximum number of open attempts on a connection.
    max_streams: usize,
    /// Idle connections are closed after this time.
    max_idle: Micros,
    /// Time limit for receiving a response, the longest time that any client waits.
    max_response_time: Micros,
    /// The number of attempts written completely.
    pub attempts_written: u64,
    /// Bytes buffered on all connections.
    buffered_bytes: usize,
    /// Whether reading is paused because too much is buffered.
    paused: bool,
    scratch: Vec<u8>,
}

impl UpstreamConnections {
    /// Creates a set without connections. `max_idle` is the time after which endpoints close idle connections.
    pub fn new(
        max_connections: usize,
        max_streams: usize,
        max_idle: Micros,
        max_response_time: Micros,
    ) -> Self {
        UpstreamConnections {
            connections: HashMap::new(),
            by_endpoint: HashMap::new(),
            listed: HashMap::new(),
            by_attempt: HashMap::new(),
            redials: Redials::default(),
            max_connections,
            max_streams,
            attempts_written: 0,
            max_response_time,
            max_idle: (max_idle as f64 * IDLE_FRACTION) as Micros,
            buffered_bytes: 0,
            paused: false,
            scratch: vec![0; MAX_READ_BYTES],
        }
    }

    /// Changes the limit on connections and, if given, the idle time after which they are closed.
    pub fn set_limits(&mut self, max_connections: usize, idle: Option<Micros>) {
        self.max_connections = max_connections;
        self.max_idle = idle.unwrap_or(self.max_idle);
    }

    /// Returns the maximum number of cache nodes connected at the same time, and how long idle connections stay open.
    pub fn cache_node_limits(&self) -> (usize, Micros) {
        (
            (self.max_connections as f64 * CACHE_NODE_FRACTION) as usize,
            self.max_idle,
        )
    }

    /// Whether `key` is the poller key of an upstream connection.
    pub fn has_connection(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Returns the listed endpoints.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.listed.keys().copied()
    }

    /// Returns the bytes buffered on all connections.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Pauses or resumes reading from all endpoints. Pausing keeps responses that clients read too slowly out of memory.
    pub fn set_paused(&mut self, now: Timestamp, paused: bool) {
        if self.paused != paused {
            self.paused = paused;
            // Fails only for a socket that is not registered.
            for connection in self
                .connections
                .values_mut()
                .filter(|connection| connection.established)
            {
                drop(connection.stream.rewatch(!paused));
                connection.received_at = connection.received_at.max(now);
                connection.partial_since = connection.partial_since.map(|_| now);
            }
        }
    }

    /// Adds, updates or removes a listed endpoint. Connections to an earlier process of the endpoint get no further attempts, and those
    /// of which nothing is written are withdrawn: another endpoint may listen on its address by now.
    pub fn update_endpoint(&mut self, entry: &EndpointEntry, address: SocketAddr, ends: &mut Ends) {
        let now = Some((address, entry.started));
        let before = if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.endpoint)
        } else {
            self.listed.insert(entry.endpoint, (address, entry.started))
        };
        let is_replaced = before.is_some() && before != now;
        if is_replaced {
            self.withdraw_from(entry.endpoint, ends);
        }
        if entry.state == EndpointState::Removed || is_replaced {
            for key in self.by_endpoint.get(&entry.endpoint).into_iter().flatten() {
                self.connections
                    .get_mut(key)
                    .into_iter()
                    .for_each(|connection| connection.retired = true);
            }
        }
    }

    /// Removes all endpoints that are not in `listed`.
    pub fn retain_listed(&mut self, listed: &HashSet<EndpointId>) {
        self.listed.retain(|endpoint, _| listed.contains(endpoint));
        self.connections
            .values_mut()
            .filter(|connection| !listed.contains(&connection.endpoint))
            .for_each(|connection| connection.retired = true);
    }

    /// Returns the number of listed endpoints with an established connection.
    pub fn reached_endpoints(&self) -> usize {
        let up = |key: &usize| {
            self.connections
                .get(key)
                .is_some_and(|connection| connection.established && !connection.retired)
        };
        self.by_endpoint
            .iter()
            .filter(|(endpoint, keys)| self.listed.contains_key(endpoint) && keys.iter().any(up))
            .count()
    }

    /// Returns when waiting attempts are due for a retry; `None` while none waits.
    pub fn redial_due(&self) -> Option<Timestamp> {
        self.redials.due()
    }

    /// Removes and returns the waiting attempts if a retry is due.
    pub fn take_redials(&mut self, now: Timestamp) -> Vec<(Target, Fetch)> {
        self.redials.take(now)
    }

    /// Closes connections with an overdue response, and idle ones that are retired or have exceeded the idle time.
    pub fn sweep(&mut self, now: Timestamp, ends: &mut Ends) {
        let overdue = self.keys_where(|connection| self.is_overdue(now, connection));
        for key in overdue {
            let error = format!(
                "response incomplete: no progress for {} ms, or not received within {} ms",
                PARTIAL_RESPONSE_TIMEOUT / 1_000,
                self.max_response_time / 1_000
            );
            self.fail(key, &error, ends);
        }
        let unused = self.keys_where(|connection| {
            let is_old = now > connection.idle_since + self.max_idle;
            connection.open_attempts.is_empty() && (connection.retired || is_old)
        });
        for key in unused {
            self.fail(key, "idle", &mut Vec::new());
        }
        self.by_endpoint.retain(|_, keys| !keys.is_empty());
    }

    fn keys_where(&self, predicate: impl Fn(&Connection) -> bool) -> Vec<usize> {
        let connections = self.connections.iter();
        let matching = connections.filter(|(_, connection)| predicate(connection));
        matching.map(|(key, _)| *key).collect()
    }

    /// Whether a partially received response makes no progress or exceeds its time limit.
    fn is_overdue(&self, now: Timestamp, connection: &Connection) -> bool {
        if self.paused || connection.stream.input().is_empty() {
            return false;
        }
        let is_silent = now > connection.received_at + PARTIAL_RESPONSE_TIMEOUT;
        let partial_since = connection.partial_since;
        is_silent || partial_since.is_some_and(|since| now > since + self.max_response_time)
    }
}

#[cfg(test)]
mod tests;
