//! Selects a connection for an attempt, or starts a new one.
use super::connection::{Connection, OpenAttempt};
use super::{Ends, Target, UpstreamConnections};
use crate::protocol::cache_node;
use crate::routing::{AttemptEnd, Fetch, TransactionId};
use crate::transport::{dial, is_local, Reactor, Stream};
use cranesill::api::{EndpointId, Timestamp};
use std::io;

/// A connection with this many open attempts is busy. Another one is then started, because a large response delays all later
/// responses on its connection.
const MIN_BUSY_STREAMS: usize = 1;

/// Result of an attempt to start a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectResult {
    /// No connection was needed, or there is no capacity for one.
    NotAttempted,
    /// Connecting has started.
    Started,
    /// The endpoint refused the connection.
    Refused,
    /// This host could not start the connection, which gives no information about the endpoint.
    LocalFailure,
    /// Connecting failed for another reason.
    Failed,
}

impl UpstreamConnections {
    /// Sends an attempt on an existing connection or on a new one with the poller key `key`. Returns the key if a connection was
    /// started.
    pub fn send(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        target: Target,
        fetch: &Fetch,
        ends: &mut Ends,
    ) -> Option<usize> {
        let endpoint = target.endpoint;
        let chosen = self.choose_live(now, endpoint, &fetch.transaction, ends);
        let new = self.connect_if_needed(now, reactor, key, endpoint, chosen);
        let may_retry = new == ConnectResult::LocalFailure && chosen.is_none();
        if may_retry && self.redials.record_failure(now, endpoint) {
            self.redials.wait(now, target, fetch);
            return None;
        }
        let started = (new == ConnectResult::Started).then_some(key);
        match started.or(chosen) {
            Some(key) => self.enqueue(now, key, target, fetch, ends),
            None if new == ConnectResult::Refused => {
                ends.push((
                    target.attempt,
                    AttemptEnd::Unsent {
                        duplicate_failure: false,
                    },
                ));
            }
            None => ends.push((target.attempt, AttemptEnd::NoConnection)),
        }
        started
    }

    /// Starts a connection if none was chosen, or if the chosen one is busy and the endpoint may have another.
    fn connect_if_needed(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        endpoint: EndpointId,
        chosen: Option<usize>,
    ) -> ConnectResult {
        let open_attempts = |key| {
            let connection: Option<&Connection> = self.connections.get(&key);
            connection.map_or(0, |connection| connection.open_attempts.len())
        };
        let chosen_is_free = chosen.is_some_and(|key| open_attempts(key) < MIN_BUSY_STREAMS);
        let max_per_endpoint = (self.max_connections / self.listed.len().max(1)).max(2);
        if chosen_is_free || self.usable_connections(endpoint) >= max_per_endpoint {
            return ConnectResult::NotAttempted;
        }
        let Some((address, _)) = self.listed.get(&endpoint).copied() else {
            return ConnectResult::NotAttempted;
        };
        // An additional connection to an endpoint must not replace a connection to another endpoint.
        let has_capacity = self.connections.len() < self.max_connections
            || chosen.is_none() && self.ensure_capacity();
        if !has_capacity {
            return ConnectResult::NotAttempted;
        }
        match dial(address).and_then(|socket| Stream::new(reactor, socket, key, true)) {
            Ok(stream) => {
                self.redials.record_success(endpoint);
                self.insert(now, key, endpoint, stream);
                ConnectResult::Started
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => ConnectResult::Refused,
            Err(e) if is_local(&e) => ConnectResult::LocalFailure,
            Err(_) => ConnectResult::Failed,
        }
    }

    /// Returns the number of connections of an endpoint that still get attempts. Retired connections to an earlier process of the
    /// endpoint do not count, so that they cannot prevent connections to the new one.
    fn usable_connections(&self, endpoint: EndpointId) -> usize {
        let keys = self.by_endpoint.get(&endpoint).into_iter().flatten();
        let connections = keys.filter_map(|key| self.connections.get(key));
        connections.filter(|connection| !connection.retired).count()
    }

    fn insert(
        &mut self,
        now: Timestamp,
        key: usize,
        endpoint: EndpointId,
        stream: Stream<Option<TransactionId>>,
    ) {
        let connection = Connection::new(now, endpoint, stream);
        self.connections.insert(key, connection);
        self.by_endpoint.entry(endpoint).or_default().push(key);
    }

    /// Queues an attempt on a connection and writes as much as possible.
    fn enqueue(
        &mut self,
        now: Timestamp,
        key: usize,
        target: Target,
        fetch: &Fetch,
        ends: &mut Ends,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return ends.push((target.attempt, AttemptEnd::NoConnection));
        };
        connection.recent_ids.add(now, fetch.transaction);
        let sent = OpenAttempt {
            attempt: target.attempt,
            sent_at: now,
            is_write: fetch.write,
            source: fetch.fill.and_then(|fill| fill.source),
            written: false,
            write_deadline: target.write_deadline,
            fetch: None,
        };
        connection.open_attempts.insert(fetch.transaction, sent);
        connection.stream.push(cache_node::fetch(fetch, now));
        self.by_attempt
            .insert(target.attempt, (key, fetch.transaction));
        self.flush(now, key, ends);
        // Copied only now because most requests are written immediately and need no copy.
        let connection = self.connections.get_mut(&key);
        let sent =
            connection.and_then(|connection| connection.open_attempts.get_mut(&fetch.transaction));
        if let Some(sent) = sent.filter(|sent| !sent.written) {
            sent.fetch = Some(Box::new(fetch.clone()));
        }
    }

    /// Chooses a connection that the endpoint has not closed, which the poller may not have reported yet. An idle one is read first. Of
    /// one with open attempts the input is left for its own turn: attempts must not end before the clients that disconnect in this
    /// turn are handled.
    fn choose_live(
        &mut self,
        now: Timestamp,
        endpoint: EndpointId,
        txn: &TransactionId,
        ends: &mut Ends,
    ) -> Option<usize> {
        loop {
            let key = self.choose(endpoint, txn)?;
            let connection = self.connections.get_mut(&key)?;
            if !connection.is_idle() {
                if !connection.established || !connection.stream.is_closed_by_peer() {
                    return Some(key);
                }
                connection.retired = true;
                continue;
            }
            if let Err(error) = self.read(now, key, ends) {
                self.fail(key, &error.to_string(), ends);
                continue;
            }
            let connection = self.connections.get(&key);
            if connection.is_some_and(|connection| connection.accepts(txn, self.max_streams)) {
                return Some(key);
            }
        }
    }

    /// Chooses the connection with the fewest open attempts among those of the endpoint that accept this id.
    fn choose(&self, endpoint: EndpointId, txn: &TransactionId) -> Option<usize> {
        let keys = self.by_endpoint.get(&endpoint)?.iter();
        let connections = keys.filter_map(|key| Some((*key, self.connections.get(key)?)));
        connections
            .filter(|(_, connection)| connection.accepts(txn, self.max_streams))
            .min_by_key(|(key, connection)| {
                let open_attempts = connection.open_attempts.len();
                (open_attempts, !connection.established, *key)
            })
            .map(|(key, _)| key)
    }

    /// Closes the connection idle for longest if the limit on connections is reached, so that requests do not lack one while others are
    /// idle. Returns whether there is capacity for another one.
    fn ensure_capacity(&mut self) -> bool {
        if self.connections.len() < self.max_connections {
            return true;
        }
        let idle = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_idle());
        let longest = idle
            .min_by_key(|(key, connection)| (!connection.retired, connection.idle_since, **key))
            .map(|(key, _)| *key);
        if let Some(key) = longest {
            self.fail(key, "idle", &mut Vec::new());
        }
        self.connections.len() < self.max_connections
    }

    /// Starts a connection to an endpoint that has none, before a request needs it. Returns whether one was started; after a failure
    /// the first request starts one.
    pub fn preconnect(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        endpoint: EndpointId,
    ) -> bool {
        let has_capacity = self.connections.len() < self.max_connections;
        if !has_capacity || self.usable_connections(endpoint) > 0 {
            return false;
        }
        let Some((address, _)) = self.listed.get(&endpoint).copied() else {
            return false;
        };
        let stream = dial(address).and_then(|socket| Stream::new(reactor, socket, key, true));
        let started = stream.map(|stream| self.insert(now, key, endpoint, stream));
        started.is_ok()
    }
}
