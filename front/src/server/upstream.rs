//! Upstream: the connections to cache nodes, parents and the origin.
mod connection;
mod placement;
mod redial;
mod transfer;
mod withdrawal;
use self::connection::Connection;
use self::redial::Redials;
use crate::routing::{AttemptEnd, AttemptId, Fetch, TransactionId};
use cranesill::api::{EndpointEntry, EndpointId, EndpointState, Micros, Timestamp};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Fraction of the endpoints' idle time after which a connection is closed here: a request must not cross their close.
const IDLE_FRACTION: f64 = 0.5;
/// Fraction of the connections that first ones to cache nodes may take up; the rest is for parents, the origin, and second
/// ones to busy endpoints.
const CACHE_NODE_FRACTION: f64 = 0.75;
/// Bytes that one read takes at most.
const MAX_READ_BYTES: usize = 64 * 1024;
/// An incomplete answer of which nothing more comes for this long ends its connection.
const PARTIAL_RESPONSE_TIMEOUT: Micros = 500_000;

/// Where an attempt is to be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// The attempt.
    pub attempt: AttemptId,
    /// The endpoint that it is for.
    pub endpoint: EndpointId,
    /// The attempt is withdrawn if it is not begun to be written by then.
    pub write_deadline: Timestamp,
}

/// Attempts that ended, each with how it ended.
pub type Ends = Vec<(AttemptId, AttemptEnd)>;

/// All upstream connections. Each belongs to an endpoint by its id, since an address may come to be another endpoint's.
#[derive(Debug)]
pub struct UpstreamConnections {
    connections: HashMap<usize, Connection>,
    /// The connections to each endpoint.
    by_endpoint: HashMap<EndpointId, Vec<usize>>,
    /// Where each listed endpoint listens, and when it started.
    listed: HashMap<EndpointId, (SocketAddr, Timestamp)>,
    /// The connection of each open attempt, and the id that it has there.
    by_attempt: HashMap<AttemptId, (usize, TransactionId)>,
    /// Attempts for which this machine could not begin a connection.
    redials: Redials,
    max_connections: usize,
    max_streams: usize,
    max_idle: Micros,
    /// An answer that is begun is complete after this long, or no client waits for it any more.
    max_response_time: Micros,
    /// Attempts that were written completely.
    pub attempts_written: u64,
    /// Bytes buffered on all connections.
    buffered_bytes: usize,
    /// Whether reading is paused because too much is buffered.
    paused: bool,
    scratch: Vec<u8>,
}

impl UpstreamConnections {
    /// Has no connections yet. An endpoint closes connections that are idle for `max_idle`; each carries up to `max_streams`
    /// attempts.
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

    /// Changes the limits on connections, and on how long one may be idle.
    pub fn set_limits(&mut self, max_connections: usize, idle: Option<Micros>) {
        self.max_connections = max_connections;
        self.max_idle = idle.unwrap_or(self.max_idle);
    }

    /// Returns how many cache nodes can be connected at once, and how long an idle connection stays open.
    pub fn cache_node_limits(&self) -> (usize, Micros) {
        (
            (self.max_connections as f64 * CACHE_NODE_FRACTION) as usize,
            self.max_idle,
        )
    }

    /// Whether this is the poller key of an upstream connection.
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

    /// Pauses or resumes reading. Guards the memory limit: what endpoints send faster than clients read it stays with them.
    pub fn set_paused(&mut self, now: Timestamp, paused: bool) {
        if self.paused != paused {
            self.paused = paused;
            // It can only fail for a socket that is not watched.
            for connection in self.connections.values_mut().filter(|l| l.established) {
                drop(connection.stream.rewatch(!paused));
                connection.received_at = connection.received_at.max(now);
                connection.partial_since = connection.partial_since.map(|_| now);
            }
        }
    }

    /// Notes where an endpoint listens. Connections to an earlier process of it get no further attempts.
    pub fn update_endpoint(&mut self, entry: &EndpointEntry, address: SocketAddr) {
        let now = Some((address, entry.started));
        let before = if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.endpoint)
        } else {
            self.listed.insert(entry.endpoint, (address, entry.started))
        };
        if entry.state == EndpointState::Removed || before.is_some() && before != now {
            for key in self.by_endpoint.get(&entry.endpoint).into_iter().flatten() {
                self.connections
                    .get_mut(key)
                    .into_iter()
                    .for_each(|connection| connection.retired = true);
            }
        }
    }

    /// Removes the endpoints that a complete list does not name.
    pub fn retain_listed(&mut self, listed: &HashSet<EndpointId>) {
        self.listed.retain(|member, _| listed.contains(member));
        self.connections
            .values_mut()
            .filter(|l| !listed.contains(&l.endpoint))
            .for_each(|l| l.retired = true);
    }

    /// Returns how many listed endpoints have an established connection.
    pub fn reached_endpoints(&self) -> usize {
        let up = |key: &usize| {
            self.connections
                .get(key)
                .is_some_and(|connection| connection.established && !connection.retired)
        };
        self.by_endpoint
            .iter()
            .filter(|(member, keys)| self.listed.contains_key(member) && keys.iter().any(up))
            .count()
    }

    /// Returns when attempts that wait for a connection are to be tried again.
    pub fn redial_due(&self) -> Option<Timestamp> {
        self.redials.due()
    }

    /// Takes out the attempts that are to be tried again now.
    pub fn take_redials(&mut self, now: Timestamp) -> Vec<(Target, Fetch)> {
        self.redials.take(now)
    }

    /// Closes connections with an answer that is overdue, and idle ones that are old or retired.
    pub fn sweep(&mut self, now: Timestamp, ends: &mut Ends) {
        let overdue = self.keys_where(|connection| self.is_overdue(now, connection));
        for key in overdue {
            self.fail(key, "an answer stops short", ends);
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

    /// Whether an answer has begun on a connection and nothing more of it comes, or not all of it in time.
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
