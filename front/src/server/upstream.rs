//! Connections to members.
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

/// Share of the members' idle time after which a connection is closed here: a request must not cross their
/// close.
const IDLE_FRACTION: f64 = 0.5;
/// Share of the connections that first ones to cache nodes may take up; the rest is for parents, the origin, and second
/// ones to nodes that are busy.
const CACHE_NODE_FRACTION: f64 = 0.75;
/// Bytes that one read takes at most.
const MAX_READ_BYTES: usize = 64 * 1024;
/// An answer of which nothing more comes for this long is broken off, and whatever is behind it with it.
const MAX_PARTIAL_ANSWER_TIME: Micros = 500_000;

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

/// All connections to members; they belong to a member's id, since an address may come to be another's.
#[derive(Debug)]
pub struct CacheNodes {
    connections: HashMap<usize, Connection>,
    /// Connections of each member.
    by_endpoint: HashMap<EndpointId, Vec<usize>>,
    /// Where each listens, and when it started.
    listed: HashMap<EndpointId, (SocketAddr, Timestamp)>,
    by_attempt: HashMap<AttemptId, (usize, TransactionId)>,
    /// Attempts for which this machine could not begin a connection.
    redials: Redials,
    max_connections: usize,
    max_streams: usize,
    max_idle: Micros,
    /// An answer that is begun is whole after this long, or nobody waits for it any more.
    max_answer_time: Micros,
    /// Commands that were written whole.
    pub attempts_written: u64,
    /// Bytes held on all connections.
    buffered_bytes: usize,
    /// Nothing is read: too much is held already.
    paused: bool,
    scratch: Vec<u8>,
}

impl CacheNodes {
    /// Holds up to `max_connections` connections, each with up to `streams` attempts; nobody waits for an answer longer than `whole`.
    pub fn new(
        max_connections: usize,
        max_streams: usize,
        max_idle: Micros,
        max_answer_time: Micros,
    ) -> Self {
        CacheNodes {
            connections: HashMap::new(),
            by_endpoint: HashMap::new(),
            listed: HashMap::new(),
            by_attempt: HashMap::new(),
            redials: Redials::default(),
            max_connections,
            max_streams,
            attempts_written: 0,
            max_answer_time,
            max_idle: (max_idle as f64 * IDLE_FRACTION) as Micros,
            buffered_bytes: 0,
            paused: false,
            scratch: vec![0; MAX_READ_BYTES],
        }
    }

    /// From now on so many connections are held at most; one that carries nothing for `idle` is closed.
    pub fn limit(&mut self, max_connections: usize, idle: Option<Micros>) {
        self.max_connections = max_connections;
        self.max_idle = idle.unwrap_or(self.max_idle);
    }

    /// How many cache nodes can be reached at once, each by a connection, and how long one stays open that carries nothing.
    pub fn reach(&self) -> (usize, Micros) {
        (
            (self.max_connections as f64 * CACHE_NODE_FRACTION) as usize,
            self.max_idle,
        )
    }

    /// Whether this is a connection to a member.
    pub fn has(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// The members that are listed.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.listed.keys().copied()
    }

    /// Bytes held on all connections.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Reads nothing more from members, or goes on. Guards the memory limit: what members send faster than
    /// clients take it stays with the members.
    pub fn pause(&mut self, now: Timestamp, paused: bool) {
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

    /// Takes over where a member listens. Connections to an earlier process of it get nothing new.
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

    /// The whole list is about to come: what it lacks is gone.
    pub fn keep_only(&mut self, listed: &HashSet<EndpointId>) {
        self.listed.retain(|member, _| listed.contains(member));
        self.connections
            .values_mut()
            .filter(|l| !listed.contains(&l.endpoint))
            .for_each(|l| l.retired = true);
    }

    /// How many of the members that are listed have a connection that is up.
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

    /// When attempts that wait for a connection to be begun are due to try again.
    pub fn redial_due(&self) -> Option<Timestamp> {
        self.redials.due()
    }

    /// Attempts that are to be sent again now, to the node and by the moment that they had before.
    pub fn take_redials(&mut self, now: Timestamp) -> Vec<(Target, Fetch)> {
        self.redials.take(now)
    }

    /// Closes connections that stopped in the middle of an answer, and those that carry nothing and are old or
    /// not to be used again.
    pub fn sweep(&mut self, now: Timestamp, ends: &mut Ends) {
        let short = |l: &Connection| {
            now > l.received_at + MAX_PARTIAL_ANSWER_TIME
                || l.partial_since
                    .is_some_and(|at| now > at + self.max_answer_time)
        };
        let part = |l: &Connection| !self.paused && !l.stream.input().is_empty() && short(l);
        let part: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, l)| part(l))
            .map(|(key, _)| *key)
            .collect();
        part.into_iter()
            .for_each(|key| self.fail(key, "an answer stops short", ends));
        let over = |l: &Connection| {
            l.open_attempts.is_empty() && (l.retired || now > l.idle_since + self.max_idle)
        };
        let over: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, l)| over(l))
            .map(|(key, _)| *key)
            .collect();
        over.into_iter()
            .for_each(|key| self.fail(key, "idle", &mut Vec::new()));
        self.by_endpoint.retain(|_, keys| !keys.is_empty());
    }
}

#[cfg(test)]
mod tests;
