//! Downstream: connections from clients.
mod connection;
mod eviction;
mod lifecycle;
mod unconfirmed;

use crate::protocol::client::{self, RequestError};
use crate::routing::{ClientRequest, ReplyTo, Response};
use crate::transport::{Outgoing, PeerEnd, Reactor, Registered, Stream};
use connection::{Connection, ConnectionState, DrainNotice, READ_PAUSE_WITH_REQUESTS};
use cranesill::api::{Micros, Timestamp};
use rustls::ServerConnection;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::TcpStream;
use unconfirmed::Unconfirmed;

/// A connection whose write side was closed is closed this long after its client has received all responses, even if the client does
/// not close it.
const CLOSE_TIMEOUT: Micros = 500_000;
/// Limits on one read, and on the reads of one connection in one turn of the event loop, so that no client monopolizes the loop.
const MAX_READ_BYTES: usize = 16 * 1024;
const MAX_READS_PER_TURN: usize = 2;

/// How reading from a client ended in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadEnd {
    /// All input was read, or the connection was closed.
    NoMoreInput,
    /// There may be more input.
    MoreInput,
    /// All input was read, and the client has closed its write side while responses are pending.
    HalfClosed,
}

/// An event of a client connection.
#[derive(Debug)]
pub enum ClientEvent {
    /// A well-formed request.
    Request(ReplyTo, ClientRequest),
    /// A malformed request and its error.
    BadRequest(ReplyTo, RequestError),
    /// The client has cancelled the request or disconnected: no response is needed.
    Disconnected(ReplyTo),
}

/// All client connections.
#[derive(Debug, Default)]
pub struct Clients {
    connections: HashMap<usize, Connection>,
    /// Whether clients are asked to send no new requests.
    draining: bool,
    /// Whether readiness checks of clients succeed. They always fail while draining.
    pub ready: bool,
    /// Whether connections are closed as soon as they are idle.
    closes_idle: bool,
    /// Whether all connections are closed once their responses are written, because the process is exiting.
    closes_all: bool,
    /// Bytes of unconsumed input and unwritten output on all connections.
    buffered_bytes: usize,
    /// Memory occupied by the input buffers of all connections.
    input_bytes: usize,
    /// Events for the requests of connections that failed during a write.
    disconnected: Vec<ClientEvent>,
    /// Connections with open requests whose reading is paused, with the time at which it resumes.
    paused: VecDeque<(Timestamp, usize)>,
    /// Requests whose clients may already have closed their connections.
    unconfirmed: Unconfirmed,
    /// Read buffer shared by all connections.
    scratch: Vec<u8>,
}

impl Clients {
    /// Creates a set without connections.
    pub fn new() -> Self {
        Clients {
            scratch: vec![0; MAX_READ_BYTES],
            ..Clients::default()
        }
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns the bytes buffered on all connections.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Whether all responses are written.
    pub fn is_flushed(&self) -> bool {
        self.connections.values().all(|c| c.stream.flushed())
    }

    /// Whether a client still receives responses that it waits for.
    pub fn has_undelivered_responses(&self, now: Timestamp) -> bool {
        let mut connections = self.connections.values();
        connections.any(|connection| connection.has_undelivered_responses(now))
    }

    /// Whether a request is partially received, or held back until its client is known to be connected.
    pub fn has_partial_requests(&self) -> bool {
        let is_partial =
            |c: &Connection| c.state == ConnectionState::Open && !c.stream.input().is_empty();
        !self.unconfirmed.is_empty() || self.connections.values().any(is_partial)
    }

    /// Returns the time at which [`Clients::poll`] must be called.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let read_at = self.paused.front().map(|(at, _)| *at);
        read_at
            .into_iter()
            .chain(self.unconfirmed.next_deadline())
            .min()
    }

    /// Resumes reading from connections whose pause is over, and returns requests that are no longer held back.
    pub fn poll(&mut self, now: Timestamp) -> Vec<ClientEvent> {
        while let Some((_, key)) = self.paused.front().copied().filter(|(at, _)| *at <= now) {
            self.paused.pop_front();
            self.flush(now, key);
        }
        let confirmed = std::iter::from_fn(|| self.unconfirmed.take(now));
        confirmed
            .map(|(from, request)| ClientEvent::Request(from, request))
            .collect()
    }

    /// Whether `key` is the poller key of a client connection.
    pub fn has_connection(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Adds an accepted connection, which may have been in the accept queue for `accept_delay`. The delay is deducted from the time
    /// limits of its first requests.
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

    /// Adds a connection whose TLS handshake is complete.
    pub fn add_tls(
        &mut self,
        now: Timestamp,
        socket: Registered<TcpStream>,
        connection: ServerConnection,
        key: usize,
    ) {
        // Requests cannot arrive before the handshake is complete, so there is no accept delay.
        self.insert(now, Stream::with_tls(socket, connection), key, 0);
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
            deliver_by: 0,
            drain_notice: DrainNotice::NotSent,
            received_position: 0,
            received_at: now,
            accept_delay,
        };
        self.connections.insert(key, client);
        if self.draining {
            self.notify_draining(now, key);
        }
    }

    /// Reads from a connection and returns its events.
    pub fn read(&mut self, now: Timestamp, key: usize) -> Vec<ClientEvent> {
        let paused_before = self.paused_at(key);
        let mut events = Vec::new();
        let read_end = self.read_frames(now, key, &mut events);
        remove_cancelled(&mut events);
        if read_end == ReadEnd::HalfClosed || self.ends_behind_input(key, read_end, &mut events) {
            events = self.hold_back(now, events);
        }
        self.schedule_resume(now, key, paused_before);
        events
    }

    fn paused_at(&self, key: usize) -> Option<Timestamp> {
        let connection = self.connections.get(&key);
        connection.and_then(|connection| connection.paused_at)
    }

    /// Whether the client has closed the connection, or its write side, behind input that is not read yet. If the connection was reset
    /// it is closed, and its requests are dropped.
    fn ends_behind_input(
        &mut self,
        key: usize,
        read_end: ReadEnd,
        events: &mut Vec<ClientEvent>,
    ) -> bool {
        let is_request = |event: &ClientEvent| matches!(event, ClientEvent::Request(..));
        if read_end != ReadEnd::MoreInput || !events.iter().any(is_request) {
            return false;
        }
        let Some(connection) = self.connections.get(&key) else {
            return false;
        };
        match connection.stream.peer_end() {
            PeerEnd::Open => false,
            PeerEnd::Finished => true,
            PeerEnd::Reset => {
                events.retain(|event| !is_request(event));
                events.extend(self.disconnect(key));
                false
            }
        }
    }

    /// Reads until there is no more input or the limit per turn is reached.
    fn read_frames(
        &mut self,
        now: Timestamp,
        key: usize,
        events: &mut Vec<ClientEvent>,
    ) -> ReadEnd {
        for round in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.connections.get_mut(&key) else {
                return ReadEnd::NoMoreInput;
            };
            // The first read is made even while reading is paused: the poller reports the end of a connection regardless of its
            // registered interest, and would report it again in each turn.
            if round > 0 && !connection.wants_input(now) {
                return ReadEnd::MoreInput;
            }
            match connection.stream.read_input(&mut self.scratch) {
                Ok(Some(n)) if n > 0 => {}
                Ok(None) => return ReadEnd::NoMoreInput,
                Ok(Some(_)) if connection.half_close() => {
                    self.flush(now, key);
                    return ReadEnd::HalfClosed;
                }
                _ => {
                    events.extend(self.disconnect(key));
                    return ReadEnd::NoMoreInput;
                }
            }
            self.take_input(now, key, events);
        }
        ReadEnd::MoreInput
    }

    /// Processes the frames received, or discards the input if the connection accepts no more requests.
    fn take_input(&mut self, now: Timestamp, key: usize, events: &mut Vec<ClientEvent>) {
        let ready = self.ready && !self.draining;
        let closes_all = self.closes_all;
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if connection.state != ConnectionState::Open {
            let length = connection.stream.input().len();
            connection.stream.consume(length);
            connection.stream.update_input_total(&mut self.input_bytes);
            return;
        }
        connection.active_at = now;
        connection.receive(now, key, ready, events);
        // Later input was not in the accept queue.
        connection.accept_delay = 0;
        if closes_all && !connection.open_streams.is_empty() {
            // Received while the process is exiting: these requests are answered, further input is discarded.
            connection.begin_draining();
        }
        self.flush(now, key);
    }

    /// Holds back requests whose client may have closed its connection. Returns the remaining events.
    fn hold_back(&mut self, now: Timestamp, events: Vec<ClientEvent>) -> Vec<ClientEvent> {
        let mut others = Vec::new();
        for event in events {
            match event {
                ClientEvent::Request(from, request) => self.unconfirmed.hold(now, from, request),
                other => others.push(other),
            }
        }
        others
    }

    /// Schedules the end of the pause if reading was paused since `before` was determined.
    fn schedule_resume(&mut self, now: Timestamp, key: usize, before: Option<Timestamp>) {
        let paused_at = self
            .connections
            .get(&key)
            .and_then(|client| client.paused_at);
        if paused_at.is_some() && paused_at != before {
            self.paused.push_back((now + READ_PAUSE_WITH_REQUESTS, key));
        }
    }

    /// Sends the final response of a stream, which its client waits for until `deadline`.
    pub fn respond(
        &mut self,
        now: Timestamp,
        to: ReplyTo,
        response: Response,
        deadline: Timestamp,
    ) {
        let Some(client) = self.connections.get_mut(&to.client) else {
            return;
        };
        if client.open_streams.remove(&to.stream) {
            client.stream.push(encode_answer(to, response));
            client.deliver_by = client.deliver_by.max(deadline);
            self.flush(now, to.client);
        }
    }

    /// Writes as much pending output as possible, and updates the state of the connection.
    pub fn flush(&mut self, now: Timestamp, key: usize) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        let before = client.stream.buffered_bytes();
        let written = client.stream.flush(|()| {});
        if client.stream.buffered_bytes() < before {
            client.active_at = now;
        }
        client.stream.update_total(&mut self.buffered_bytes);
        client.stream.update_input_total(&mut self.input_bytes);
        let done = client.open_streams.is_empty() && client.stream.flushed();
        if client.state == ConnectionState::Draining && done {
            // The kernel has all output: the client closes the connection, or a sweep does after the timeout.
            client.stream.shutdown_write();
            client.state = ConnectionState::WriteClosed(now + CLOSE_TIMEOUT);
        }
        let is_finished = client.state == ConnectionState::HalfClosed && done;
        let reads = client.wants_input(now);
        if is_finished || written.and_then(|()| client.stream.rewatch(reads)).is_err() {
            let disconnected = self.disconnect(key);
            self.disconnected.extend(disconnected);
        }
    }

    /// Removes and returns the events for the requests of connections that failed during a write.
    pub fn take_disconnected(&mut self) -> Vec<ClientEvent> {
        std::mem::take(&mut self.disconnected)
    }

    /// Closes a connection and returns a `Disconnected` event for each of its open requests.
    fn disconnect(&mut self, key: usize) -> Vec<ClientEvent> {
        let Some(mut client) = self.connections.remove(&key) else {
            return Vec::new();
        };
        client.stream.remove_from_total(&mut self.buffered_bytes);
        client.stream.remove_from_input_total(&mut self.input_bytes);
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

/// Encodes the final response to a request. One that does not fit into a frame is replaced by a failure: the client could read neither
/// it nor the responses to its other requests.
fn encode_answer(to: ReplyTo, response: Response) -> Outgoing<()> {
    client::answer(to.stream, response).unwrap_or_else(|error| {
        tracing::warn!(
            kind = "response-too-long",
            stream = to.stream,
            %error,
            "cannot send a response to a client: answered as failed"
        );
        client::failure(to.stream)
    })
}

/// Removes requests that are already cancelled, together with the events of their cancellation, so that they are not forwarded.
fn remove_cancelled(events: &mut Vec<ClientEvent>) {
    let disconnected: HashSet<_> = events
        .iter()
        .filter_map(|event| match event {
            ClientEvent::Disconnected(from) => Some(*from),
            _ => None,
        })
        .collect();
    let mut cancelled = HashSet::new();
    events.retain(|event| match event {
        ClientEvent::Request(from, _) if disconnected.contains(from) => !cancelled.insert(*from),
        ClientEvent::Disconnected(from) => !cancelled.contains(from),
        _ => true,
    });
}

#[cfg(test)]
mod tests;
