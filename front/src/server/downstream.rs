//! Connections of clients.
mod connection;
mod eviction;
mod lifecycle;
mod unconfirmed;

use crate::protocol::client;
use crate::routing::{Answer, Ask, ReplyTo};
use crate::transport::{Reactor, Registered, Stream};
use connection::{Connection, ConnectionState, READ_PAUSE_WITH_REQUESTS};
use cranesill::api::{Micros, Timestamp};
use rustls::ServerConnection;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::TcpStream;
use unconfirmed::Unconfirmed;

/// A connection on which all is said is closed after this long, whether or not its client closes it.
const CLOSE_TIMEOUT: Micros = 500_000;
/// Bytes that one read takes at most, and reads of one connection in one turn: no client keeps the loop to itself.
const MAX_READ_BYTES: usize = 16 * 1024;
const MAX_READS_PER_TURN: usize = 2;

/// What came from a client.
#[derive(Debug)]
pub enum ClientEvent {
    Request(ReplyTo, Ask),
    /// A request that can't be taken in; it has been answered or is yet to be.
    BadRequest(ReplyTo, &'static str),
    Disconnected(ReplyTo),
}

/// All connections of clients.
#[derive(Debug, Default)]
pub struct Clients {
    connections: HashMap<usize, Connection>,
    /// No new requests are wanted.
    draining: bool,
    /// Who asks whether the front is ready is told yes, unless it leaves.
    pub ready: bool,
    /// Connections are closed as soon as they carry nothing.
    closes_idle: bool,
    /// The program ends: all connections are closed once they are owed nothing.
    closes_all: bool,
    buffered_bytes: usize,
    disconnected: Vec<ClientEvent>,
    /// Clients with open requests that rest, and when they are read again.
    paused: VecDeque<(Timestamp, usize)>,
    unconfirmed: Unconfirmed,
    scratch: Vec<u8>,
}

impl Clients {
    /// No connections yet.
    pub fn new() -> Self {
        Clients {
            scratch: vec![0; MAX_READ_BYTES],
            ..Clients::default()
        }
    }

    /// Connections held.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Bytes held for them.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether everything that was answered is written.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(|c| c.stream.flushed())
    }

    /// Whether some have begun what is not whole yet, or sent what is held back.
    pub fn has_partial_requests(&self) -> bool {
        let begun =
            |c: &Connection| c.state == ConnectionState::Open && !c.stream.input().is_empty();
        !self.unconfirmed.is_empty() || self.connections.values().any(begun)
    }

    /// When [`Clients::due`] has something to do.
    pub fn next(&self) -> Option<Timestamp> {
        let read_at = self.paused.front().map(|(at, _)| *at);
        read_at.into_iter().chain(self.unconfirmed.next()).min()
    }

    /// Reads those again that have rested, and returns requests that are held back no longer.
    pub fn due(&mut self, now: Timestamp) -> Vec<ClientEvent> {
        while let Some((_, key)) = self.paused.front().copied().filter(|(at, _)| *at <= now) {
            self.paused.pop_front();
            self.flush(now, key);
        }
        let confirmed = std::iter::from_fn(|| self.unconfirmed.take(now));
        confirmed
            .map(|(from, ask)| ClientEvent::Request(from, ask))
            .collect()
    }

    /// Whether this is a client's connection.
    pub fn has(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Takes over a connection that was accepted. It may have been in the system's queue for `accept_delay`, and its first
    /// requests with it.
    pub fn add(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        socket: TcpStream,
        key: usize,
        accept_delay: Micros,
    ) -> io::Result<()> {
        let stream = Stream::new(reactor, socket, key, false)?;
        self.insert(now, stream, key, accept_delay);
        Ok(())
    }

    /// Takes over a connection whose TLS handshake is complete.
    pub fn add_tls(
        &mut self,
        now: Timestamp,
        socket: Registered<TcpStream>,
        connection: ServerConnection,
        key: usize,
    ) {
        // Nothing is asked before the handshake is complete.
        self.insert(now, Stream::secured(socket, connection), key, 0);
        self.flush(now, key);
    }

    fn insert(&mut self, now: Timestamp, stream: Stream<()>, key: usize, accept_delay: Micros) {
        let client = Connection {
            stream,
            open_streams: HashSet::new(),
            state: ConnectionState::Open,
            active_at: now,
            incomplete_since: Some(now),
            paused_at: None,
            notified_at: None,
            accept_delay,
        };
        self.connections.insert(key, client);
        if self.draining {
            self.notify_draining(now, key);
        }
    }

    /// Reads what has come on a connection.
    pub fn read(&mut self, now: Timestamp, key: usize) -> Vec<ClientEvent> {
        let mut events = Vec::new();
        let rested_at = self
            .connections
            .get(&key)
            .and_then(|client| client.paused_at);
        let mut ended = false;
        for round in 0..MAX_READS_PER_TURN {
            // The first read is made even from one that rests: its end is told whether it is watched or not, and
            // would be told again and again.
            let Some(client) = self
                .connections
                .get_mut(&key)
                .filter(|c| round == 0 || c.wants_input(now))
            else {
                break;
            };
            match client.stream.fill(&mut self.scratch) {
                Ok(Some(n)) if n > 0 => {}
                Ok(None) => break,
                Ok(Some(_)) if client.half_close() => {
                    ended = true;
                    self.flush(now, key);
                    break;
                }
                _ => {
                    events.extend(self.disconnect(key));
                    break;
                }
            }
            if client.state != ConnectionState::Open {
                client.stream.consume(client.stream.input().len());
                continue;
            }
            client.active_at = now;
            client.receive(now, key, self.ready && !self.draining, &mut events);
            // What comes later was not there when the connection was accepted.
            client.accept_delay = 0;
            if self.closes_all && !client.open_streams.is_empty() {
                // It came while the program ends: what it has asked is answered, and nothing more is taken in.
                client.begin_draining();
            }
            self.flush(now, key);
        }
        // Who came and left in one turn asks for nothing: it would be sent on for nobody.
        let gone = |one: &ClientEvent| {
            if let ClientEvent::Disconnected(from) = one {
                Some(*from)
            } else {
                None
            }
        };
        let left: HashSet<_> = events.iter().filter_map(gone).collect();
        let mut never = HashSet::new();
        events.retain(|one| match one {
            ClientEvent::Request(from, _) if left.contains(from) => !never.insert(*from),
            ClientEvent::Disconnected(from) => !never.contains(from),
            _ => true,
        });
        if ended {
            events = self.hold_back(now, events);
        }
        self.note_pause(now, key, rested_at);
        events
    }

    /// Holds requests back whose client may have closed its connection. Returns the other events.
    fn hold_back(&mut self, now: Timestamp, events: Vec<ClientEvent>) -> Vec<ClientEvent> {
        let mut others = Vec::new();
        for event in events {
            match event {
                ClientEvent::Request(from, ask) => self.unconfirmed.hold(now, from, ask),
                other => others.push(other),
            }
        }
        others
    }

    /// Notes when a client is read again that began to rest after `before`.
    fn note_pause(&mut self, now: Timestamp, key: usize, before: Option<Timestamp>) {
        let rested_at = self
            .connections
            .get(&key)
            .and_then(|client| client.paused_at);
        if rested_at.is_some() && rested_at != before {
            self.paused.push_back((now + READ_PAUSE_WITH_REQUESTS, key));
        }
    }

    /// Gives a stream its final answer.
    pub fn answer(&mut self, now: Timestamp, to: ReplyTo, answer: Answer) {
        let Some(client) = self.connections.get_mut(&to.client) else {
            return;
        };
        if client.open_streams.remove(&to.stream) {
            client.stream.push(client::answer(to.stream, answer));
            self.flush(now, to.client);
        }
    }

    /// Writes what can be written.
    pub fn flush(&mut self, now: Timestamp, key: usize) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        let before = client.stream.held();
        let written = client.stream.flush(|()| {});
        if client.stream.held() < before {
            client.active_at = now;
        }
        client.stream.count(&mut self.buffered_bytes);
        let done = client.open_streams.is_empty() && client.stream.flushed();
        if client.state == ConnectionState::Draining && done {
            // All is said: the client closes it now, or a sweep does.
            client.stream.finish();
            client.state = ConnectionState::Shut(now + CLOSE_TIMEOUT);
        }
        let over = client.state == ConnectionState::HalfClosed && done;
        let reads = client.wants_input(now);
        if over || written.and_then(|()| client.stream.rewatch(reads)).is_err() {
            let gone = self.disconnect(key);
            self.disconnected.extend(gone);
        }
    }

    /// Who waited on connections that broke while they were written to.
    pub fn take_disconnected(&mut self) -> Vec<ClientEvent> {
        std::mem::take(&mut self.disconnected)
    }

    /// Gives a connection up: nobody waits there any more.
    fn disconnect(&mut self, key: usize) -> Vec<ClientEvent> {
        let Some(mut client) = self.connections.remove(&key) else {
            return Vec::new();
        };
        client.stream.discount(&mut self.buffered_bytes);
        self.unconfirmed.drop_client(key);
        let mut open: Vec<_> = client.open_streams.into_iter().collect();
        open.sort_unstable();
        open.into_iter()
            .map(|stream| {
                ClientEvent::Disconnected(ReplyTo {
                    client: key,
                    stream,
                })
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
