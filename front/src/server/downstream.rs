//! Connections of clients.
mod unconfirmed;

use crate::protocol::client::{self, Message};
use crate::routing::{Answer, Ask, ReplyTo};
use crate::transport::{Reactor, Registered, Stream};
use cranesill::api::{Micros, Timestamp};
use rustls::ServerConnection;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::TcpStream;
use unconfirmed::Unconfirmed;

/// Requests open at once on one connection.
const MAX_STREAMS: usize = 32;
/// A connection that carries nothing for this long is closed: clients close theirs far earlier.
const MAX_IDLE: Micros = 10_000_000;
/// A client that takes nothing of what is written for this long is not there.
const MAX_STALL: Micros = 10_000_000;
/// The same while clients hold all the memory that they may: others wait for them then.
const MAX_STALL_UNDER_PRESSURE: Micros = 1_000_000;
/// A frame that is begun, or owed as the first on a connection, has to be whole after this long. Guards against
/// connections held by clients that say nothing or never end what they say.
const MAX_FRAME_TIME: Micros = 1_500_000;
/// A connection on which all is said is closed after this long, whether or not its client closes it.
const CLOSE_TIMEOUT: Micros = 500_000;
/// A client that said nothing for this long is not about to: its connection may be closed for lack of descriptors.
const MIN_EVICTABLE_IDLE: Micros = 1_000_000;
/// Bytes that one read takes at most, and reads of one connection in one turn: no client keeps the loop to itself.
const MAX_READ_BYTES: usize = 16 * 1024;
const MAX_READS_PER_TURN: usize = 2;
/// Messages that a client has not taken yet from which on no more is read from it: small frames at full speed
/// would else pile up answers without end.
const MAX_UNREAD_ANSWERS: usize = 2 * MAX_STREAMS;
/// While the front is emptied, a connection that carried nothing for this long is closed: what its client sent before
/// it was told has come by then.
const MIN_DRAINING_IDLE: Micros = 200_000;
/// A client that was told to open nothing new and goes on all the same is closed after this long, as soon as nothing of
/// it is open.
const MAX_DRAINING_TIME: Micros = 1_500_000;
/// A client that sends what can't be taken in is read again after this long: those that ask for something come
/// first, however fast it goes on.
const READ_PAUSE: Micros = 100_000;
/// The same where requests of it are open: it may cancel them, and nothing may be begun for it 0.1 s after that.
const READ_PAUSE_WITH_REQUESTS: Micros = 25_000;

/// What came from a client.
#[derive(Debug)]
pub enum ClientEvent {
    Request(ReplyTo, Ask),
    /// A request that can't be taken in; it has been answered or is yet to be.
    BadRequest(ReplyTo, &'static str),
    Disconnected(ReplyTo),
}

/// Where a connection stands. Each event has one answer in each state:
///
/// | state | bytes come | its client ends its side | all is answered and written |
/// | --- | --- | --- | --- |
/// | `Open` | taken in | `HalfClosed`, or closed where nothing is owed | stays, until it was idle for long: then `Draining` |
/// | `HalfClosed` | none can | | closed: nothing unread is left |
/// | `Draining` | dropped | `HalfClosed` | this side is shut: `Shut` |
/// | `Shut` | dropped | closed | closed at that moment, whether or not its client ends it |
///
/// A reset ends it in each state. Bytes are dropped rather than left: a close over unread ones resets the connection, and
/// answers on their way go with it. They are never taken in: whoever sent them could get no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Open,
    HalfClosed,
    Draining,
    Shut(Timestamp),
}

#[derive(Debug)]
struct Connection {
    stream: Stream<()>,
    /// Streams that are owed an answer.
    open_streams: HashSet<u32>,
    state: ConnectionState,
    active_at: Timestamp,
    /// Since when a frame is owed: the first, or one that is begun.
    incomplete_since: Option<Timestamp>,
    /// Since when nothing is read, after what can't be taken in.
    paused_at: Option<Timestamp>,
    /// When it was told to open nothing new here.
    notified_at: Option<Timestamp>,
    /// What its first requests may have spent in the system's queue before the connection was accepted.
    accept_delay: Micros,
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

    /// The program ends: nothing more is taken in, and what is owed nothing is shut.
    pub fn close_all(&mut self, now: Timestamp) {
        self.closes_all = true;
        let keys: Vec<_> = self.connections.keys().copied().collect();
        for key in keys {
            self.connections
                .get_mut(&key)
                .into_iter()
                .for_each(Connection::begin_draining);
            self.flush(now, key);
        }
    }

    /// Whether all are being closed since the program ends.
    pub fn closes_all(&self) -> bool {
        self.closes_all
    }

    /// Tells all clients that no new requests are wanted; `empties`: connections are closed as they become free.
    pub fn drain(&mut self, now: Timestamp, empties: bool) {
        (self.draining, self.closes_idle) = (true, self.closes_idle || empties);
        let keys: Vec<_> = self.connections.keys().copied().collect();
        keys.into_iter()
            .for_each(|key| self.notify_draining(now, key));
    }

    /// New requests are wanted again. A connection whose client was told otherwise stays told, and goes.
    pub fn resume(&mut self) {
        self.draining = false;
    }

    fn notify_draining(&mut self, now: Timestamp, key: usize) {
        if let Some(client) = self
            .connections
            .get_mut(&key)
            .filter(|client| client.notified_at.is_none())
        {
            client.stream.push(client::no_more());
            client.notified_at = Some(now);
        }
        self.flush(now, key);
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

    /// Closes what is dead or idle, and while too much is held who holds most. Returns who waits no more.
    pub fn sweep(&mut self, now: Timestamp, pressed: usize, held_most: usize) -> Vec<ClientEvent> {
        let stall = if self.buffered_bytes > pressed {
            MAX_STALL_UNDER_PRESSURE
        } else {
            MAX_STALL
        };
        let keys: Vec<_> = self.connections.keys().copied().collect();
        for key in keys {
            let Some(client) = self.connections.get_mut(&key) else {
                continue;
            };
            let open = client.state == ConnectionState::Open;
            if open
                && client
                    .incomplete_since
                    .is_some_and(|since| now > since + MAX_FRAME_TIME)
            {
                client.reject_input();
            }
            let idle = now > client.active_at + MAX_IDLE
                && client.open_streams.is_empty()
                && client.stream.flushed();
            if open && (idle || self.closes_idle && client.is_free(now)) {
                client.begin_draining();
            }
            // Those that rested are read again.
            self.flush(now, key);
        }
        let stale = |c: &Connection| {
            let stalled = !c.stream.flushed() && now > c.active_at + stall;
            stalled || matches!(c.state, ConnectionState::Shut(at) if now > at)
        };
        let stale: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, c)| stale(c))
            .map(|(key, _)| *key)
            .collect();
        let stalled = stale
            .iter()
            .filter(|key| !self.connections[key].stream.flushed())
            .count();
        if stalled > 0 {
            tracing::info!(clients = stalled, "clients given up that take nothing");
        }
        let mut gone: Vec<_> = stale
            .into_iter()
            .flat_map(|key| self.disconnect(key))
            .collect();
        while self.buffered_bytes > held_most {
            let most = self
                .connections
                .iter()
                .max_by_key(|(key, c)| (c.stream.held(), **key))
                .map(|(key, _)| *key);
            let Some(key) = most else { break };
            gone.extend(self.disconnect(key));
        }
        gone
    }

    /// Closes a connection without a request: before the one that was idle for longest, one that never sent a
    /// whole frame. `false`: all have some. One of which something has come that is not read yet, most likely a request,
    /// is no idle one.
    pub fn evict(&mut self) -> bool {
        let free = self
            .connections
            .iter()
            .filter(|(_, c)| c.open_streams.is_empty() && c.stream.flushed());
        let mut idle: Vec<_> = free
            .map(|(key, c)| (c.incomplete_since.is_none(), c.active_at, *key))
            .collect();
        idle.sort_unstable();
        let unread = |key: &usize| self.connections.get(key).is_some_and(|c| c.stream.unread());
        let key = idle
            .into_iter()
            .map(|(.., key)| key)
            .find(|key| !unread(key));
        key.map(|key| self.disconnect(key)).is_some()
    }

    /// Closes the connection that was idle for longest, if one was for so long that no request is on its way there.
    pub fn evict_idle(&mut self, now: Timestamp) -> bool {
        let idle = |c: &Connection| {
            c.open_streams.is_empty() && c.stream.flushed() && c.stream.input().is_empty()
        };
        let evictable = |c: &Connection| idle(c) && now > c.active_at + MIN_EVICTABLE_IDLE;
        let oldest = self
            .connections
            .iter()
            .filter(|(_, c)| evictable(c) && !c.stream.unread());
        let key = oldest
            .min_by_key(|(key, c)| (c.active_at, **key))
            .map(|(key, _)| *key);
        key.map(|key| self.disconnect(key)).is_some()
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

impl Connection {
    /// Whether it can be closed since the front is emptied: nothing is open, begun or, most likely, on its way. A
    /// request that crosses the close in the moment after is sent again by its client.
    fn is_free(&self, now: Timestamp) -> bool {
        let over = |told: Timestamp| {
            now > told + MAX_DRAINING_TIME || now > told.max(self.active_at) + MIN_DRAINING_IDLE
        };
        let idle =
            self.open_streams.is_empty() && self.stream.flushed() && self.stream.input().is_empty();
        idle && self.notified_at.is_some_and(over)
    }

    /// Whether more is read from it.
    fn wants_input(&self, now: Timestamp) -> bool {
        self.state != ConnectionState::HalfClosed
            && !self.is_paused(now)
            && self.stream.untaken() < MAX_UNREAD_ANSWERS
    }

    /// Whether it rests after what can't be taken in.
    fn is_paused(&self, now: Timestamp) -> bool {
        let span = if self.open_streams.is_empty() {
            READ_PAUSE
        } else {
            READ_PAUSE_WITH_REQUESTS
        };
        self.paused_at.is_some_and(|since| now < since + span)
    }

    /// Its client ends its side. Whether it is owed something all the same: who no longer waits says so (type 12) or is not
    /// there. The frame that is sent shows which: where nobody is, the system answers it by a reset.
    fn half_close(&mut self) -> bool {
        let owed = !self.open_streams.is_empty() || !self.stream.flushed();
        if !owed
            || !matches!(
                self.state,
                ConnectionState::Open | ConnectionState::Draining
            )
        {
            return false;
        }
        self.stream.consume(self.stream.input().len());
        self.stream.push(client::no_more());
        (self.state, self.incomplete_since) = (ConnectionState::HalfClosed, None);
        true
    }

    /// Nothing more is taken in; what is open is answered.
    fn begin_draining(&mut self) {
        if self.state == ConnectionState::Open {
            self.stream.consume(self.stream.input().len());
            self.state = ConnectionState::Draining;
        }
    }

    /// Takes whole frames off the input.
    fn receive(&mut self, now: Timestamp, key: usize, ready: bool, events: &mut Vec<ClientEvent>) {
        loop {
            let (message, used) = match client::decode(self.stream.input()) {
                Ok(Some(found)) => found,
                Ok(None) => {
                    let begun = !self.stream.input().is_empty();
                    self.incomplete_since = begun.then(|| self.incomplete_since.unwrap_or(now));
                    return;
                }
                // Where one frame ends is lost: what was taken is answered, nothing more is read.
                Err(_) => return self.reject_input(),
            };
            match message {
                Message::Request(stream, payload) => {
                    let from = ReplyTo {
                        client: key,
                        stream,
                    };
                    let ask = client::ask(payload);
                    // Streams are new on their connection; an answer could else be taken for another's.
                    if !self.open_streams.insert(stream) {
                        return self.reject_input();
                    }
                    let accept_delay = self.accept_delay;
                    let charged = ask.map(|ask| Ask {
                        limit: ask.limit.saturating_sub(accept_delay),
                        ..ask
                    });
                    let ask = charged.and_then(|ask| {
                        Some(ask)
                            .filter(|_| self.open_streams.len() <= MAX_STREAMS)
                            .ok_or("too many streams")
                    });
                    events.push(match ask {
                        Ok(ask) => ClientEvent::Request(from, ask),
                        Err(why) => {
                            self.paused_at = Some(now);
                            ClientEvent::BadRequest(from, why)
                        }
                    });
                }
                Message::Gone(stream) => {
                    if self.open_streams.remove(&stream) {
                        events.push(ClientEvent::Disconnected(ReplyTo {
                            client: key,
                            stream,
                        }));
                    }
                }
                Message::Ready(stream) => self.stream.push(client::ready(stream, ready)),
            }
            self.stream.consume(used);
            self.incomplete_since = None;
        }
    }

    /// What can't be read has come: that is told, and nothing more is taken in.
    fn reject_input(&mut self) {
        self.stream.push(client::error());
        self.begin_draining();
    }
}

#[cfg(test)]
mod tests;
