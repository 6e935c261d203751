//! Chooses or begins a connection for an attempt.
use super::connection::{Connection, Sent};
use super::{CacheNodes, Ends};
use crate::protocol::member;
use crate::routing::{AttemptId, End, Fetch, Txn};
use crate::transport::{dial, is_local, Reactor, Stream};
use cranesill::api::{EndpointId, Timestamp};
use std::io;

/// Attempts on one connection from which on another is opened: a large answer blocks what is behind it.
const MAX_CALM_STREAMS: usize = 1;

impl CacheNodes {
    /// Puts an attempt on a connection; `key` is for a new one. It is not begun to be written later than `write_deadline`. Returns the key
    /// if a connection was begun.
    pub fn send(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        (attempt, to, write_deadline): (AttemptId, EndpointId, Timestamp),
        fetch: &Fetch,
        ends: &mut Ends,
    ) -> Option<usize> {
        let mut chosen = self.choose_live(now, to, &fetch.txn, ends);
        let carries = |key: &usize| {
            self.connections
                .get(key)
                .map_or(0, |connection| connection.open_attempts.len())
        };
        let calm = chosen
            .as_ref()
            .is_some_and(|key| carries(key) < MAX_CALM_STREAMS);
        let keys = self.by_endpoint.entry(to).or_default();
        let most = (self.max_connections / self.listed.len().max(1)).max(2);
        // Those to an earlier process may stay silent for long and must not keep a new one from being reached.
        let live = keys
            .iter()
            .filter(|key| self.connections.get(key).is_some_and(|l| !l.retired))
            .count();
        let address = self
            .listed
            .get(&to)
            .map(|l| l.0)
            .filter(|_| !calm && live < most);
        // One that would only be the second to a node closes none to another.
        let room = self.connections.len() < self.max_connections;
        let room = room || address.is_some() && chosen.is_none() && self.free_connection();
        let (mut begun, mut end) = (None, End::Unplaced);
        if let Some(address) = address.filter(|_| room) {
            match dial(address).and_then(|socket| Stream::new(reactor, socket, key, true)) {
                Ok(stream) => {
                    self.redials.dialled(to);
                    self.connections
                        .insert(key, Connection::new(now, to, stream));
                    self.by_endpoint.entry(to).or_default().push(key);
                    (chosen, begun) = (Some(key), Some(key));
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                    end = End::Unsent { along: false }
                }
                Err(e) if is_local(&e) && chosen.is_none() && self.redials.may_wait(now, to) => {
                    self.redials.wait(now, (attempt, to, write_deadline), fetch);
                    return None;
                }
                Err(_) => {}
            }
        }
        let connection = chosen.and_then(|key| {
            self.connections
                .get_mut(&key)
                .map(|connection| (key, connection))
        });
        let Some((key, connection)) = connection else {
            ends.push((attempt, end));
            return None;
        };
        connection.recent_ids.add(now, fetch.txn);
        let source = fetch.fill.and_then(|fill| fill.source);
        let sent = Sent {
            attempt,
            sent_at: now,
            is_write: fetch.write,
            source,
            written: false,
            write_deadline,
            fetch: None,
        };
        connection.open_attempts.insert(fetch.txn, sent);
        connection.stream.push(member::fetch(fetch, now));
        self.by_attempt.insert(attempt, (key, fetch.txn));
        self.flush(now, key, ends);
        let sent = self
            .connections
            .get_mut(&key)
            .and_then(|connection| connection.open_attempts.get_mut(&fetch.txn));
        if let Some(sent) = sent.filter(|sent| !sent.written) {
            sent.fetch = Some(Box::new(fetch.clone()));
        }
        begun
    }

    /// The same, once what has come on one that carried nothing is taken in. Guards against commands that are written into the
    /// end of a connection: its other side may have closed it, which is not told of yet.
    pub(super) fn choose_live(
        &mut self,
        now: Timestamp,
        to: EndpointId,
        txn: &Txn,
        ends: &mut Ends,
    ) -> Option<usize> {
        loop {
            let key = self.choose(to, txn)?;
            if !self.connections.get(&key).is_some_and(|connection| {
                connection.established && connection.open_attempts.is_empty()
            }) {
                return Some(key);
            }
            match self.read(now, key, ends) {
                Ok(())
                    if self
                        .connections
                        .get(&key)
                        .is_some_and(|connection| connection.accepts(txn, self.max_streams)) =>
                {
                    return Some(key)
                }
                Ok(()) => {}
                Err(e) => self.fail(key, &e.to_string(), ends),
            }
        }
    }

    /// The connection to a member that is best for this id.
    pub(super) fn choose(&self, to: EndpointId, txn: &Txn) -> Option<usize> {
        let keys = self.by_endpoint.get(&to)?.iter();
        let fit = keys.filter_map(|key| {
            self.connections
                .get(key)
                .map(|connection| (key, connection))
        });
        let fit = fit.filter(|(_, connection)| connection.accepts(txn, self.max_streams));
        fit.min_by_key(|(key, connection)| {
            (
                connection.open_attempts.len(),
                !connection.established,
                **key,
            )
        })
        .map(|(key, _)| *key)
    }

    /// Makes room for one more connection, if there is none: the one that has carried nothing for longest is closed. Guards
    /// against requests that find no connection while others lie idle. Whether there is room.
    pub(super) fn free_connection(&mut self) -> bool {
        if self.connections.len() < self.max_connections {
            return true;
        }
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.established && connection.open_attempts.is_empty()
        });
        let longest = idle
            .min_by_key(|(key, connection)| (!connection.retired, connection.idle_since, **key))
            .map(|(key, _)| *key);
        longest
            .into_iter()
            .for_each(|key| self.fail(key, "idle", &mut Vec::new()));
        self.connections.len() < self.max_connections
    }

    /// Begins a connection to a member that has none, before anything is asked there. Whether it was begun.
    pub fn connect_ahead(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        to: EndpointId,
    ) -> bool {
        let keys = self.by_endpoint.entry(to).or_default();
        let has = keys.iter().any(|key| {
            self.connections
                .get(key)
                .is_some_and(|connection| !connection.retired)
        });
        let address = self
            .listed
            .get(&to)
            .map(|l| l.0)
            .filter(|_| !has && self.connections.len() < self.max_connections);
        // What can't be begun now is begun once something is asked there.
        let stream = address.and_then(|at| {
            dial(at)
                .and_then(|socket| Stream::new(reactor, socket, key, true))
                .ok()
        });
        let begun = stream.map(|stream| {
            self.connections
                .insert(key, Connection::new(now, to, stream));
            keys.push(key);
        });
        begun.is_some()
    }
}
