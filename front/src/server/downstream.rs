//! Connections of clients.
mod unconfirmed;

use crate::protocol::client::{self, Message};
use crate::routing::{ClientRequest, ReplyTo, Response};
use crate::transport::{Reactor, Registered, Stream};
use cranesill::api::{Micros, Timestamp};
use rustls::ServerConnection;
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::TcpStream;
use unconfirmed::Unconfirmed;

/// Requests open at once on one connection.
const STREAMS_MOST: usize = 32;
/// A connection that carries nothing for this long is closed: clients close theirs far earlier.
const IDLE_MOST: Micros = 10_000_000;
/// A client that takes nothing of what is written for this long is not there.
const STALL_MOST: Micros = 10_000_000;
/// The same while clients hold all the memory that they may: others wait for them then.
const STALL_PRESSED: Micros = 1_000_000;
/// A frame that is begun, or owed as the first on a connection, has to be whole after this long. Guards against
/// connections held by clients that say nothing or never end what they say.
const FRAME_MOST: Micros = 1_500_000;
/// A connection on which all is said is closed after this long, whether or not its client closes it.
const FAREWELL: Micros = 500_000;
/// A client that said nothing for this long is not about to: its connection may be closed for lack of descriptors.
const EVICTABLE: Micros = 1_000_000;
/// Bytes that one read takes at most, and reads of one connection in one turn: no client keeps the loop to itself.
const READ_MOST: usize = 16 * 1024;
const READS_MOST: usize = 2;
/// Messages that a client has not taken yet from which on no more is read from it: small frames at full speed
/// would else pile up answers without end.
const UNTAKEN_MOST: usize = 2 * STREAMS_MOST;
/// While the front is emptied, a connection that carried nothing for this long is closed: what its client sent before
/// it was told has come by then.
const QUIET: Micros = 200_000;
/// A client that was told to open nothing new and goes on all the same is closed after this long, as soon as nothing of
/// it is open.
const TOLD_MOST: Micros = 1_500_000;
/// A client that sends what can't be taken in is read again after this long: those that ask for something come
/// first, however fast it goes on.
const REST: Micros = 100_000;
/// The same where requests of it are open: it may cancel them, and nothing may be begun for it 0.1 s after that.
const REST_WITH_REQUESTS: Micros = 25_000;

/// What came from a client.
#[derive(Debug)]
pub enum ClientEvent {
    Ask(ReplyTo, ClientRequest),
    /// A request that can't be taken in; it has been answered or is yet to be.
    Bad(ReplyTo, &'static str),
    Gone(ReplyTo),
}

/// Where a connection stands. Each event has one answer in each state:
///
/// | state | bytes come | its client ends its side | all is answered and written |
/// | --- | --- | --- | --- |
/// | `Open` | taken in | `Ended`, or closed where nothing is owed | stays, until it was idle for long: then `Closing` |
/// | `Ended` | none can | | closed: nothing unread is left |
/// | `Closing` | dropped | `Ended` | this side is shut: `Shut` |
/// | `Shut` | dropped | closed | closed at that moment, whether or not its client ends it |
///
/// A reset ends it in each state. Bytes are dropped rather than left: a close over unread ones resets the connection, and
/// answers on their way go with it. They are never taken in: whoever sent them could get no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Open,
    Ended,
    Closing,
    Shut(Timestamp),
}

#[derive(Debug)]
struct Client {
    stream: Stream<()>,
    /// Streams that are owed an answer.
    open: HashSet<u32>,
    life: Life,
    moved: Timestamp,
    /// Since when a frame is owed: the first, or one that is begun.
    owes: Option<Timestamp>,
    /// Since when nothing is read, after what can't be taken in.
    rested_at: Option<Timestamp>,
    /// When it was told to open nothing new here.
    told: Option<Timestamp>,
    /// What its first requests may have spent in the system's queue before the connection was accepted.
    waited: Micros,
}

/// All connections of clients.
#[derive(Debug, Default)]
pub struct Clients {
    all: HashMap<usize, Client>,
    /// No new requests are wanted.
    draining: bool,
    /// Who asks whether the front is ready is told yes, unless it leaves.
    pub ready: bool,
    /// Connections are closed as soon as they carry nothing.
    empties: bool,
    /// The program ends: all connections are closed once they are owed nothing.
    parting: bool,
    held: usize,
    lost: Vec<ClientEvent>,
    /// Clients with open requests that rest, and when they are read again.
    resting: VecDeque<(Timestamp, usize)>,
    unconfirmed: Unconfirmed,
    scratch: Vec<u8>,
}

impl Clients {
    /// No connections yet.
    pub fn new() -> Self {
        Clients {
            scratch: vec![0; READ_MOST],
            ..Clients::default()
        }
    }

    /// Connections held.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Bytes held for them.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether everything that was answered is written.
    pub fn flushed(&self) -> bool {
        self.all.values().all(|c| c.stream.flushed())
    }

    /// Whether some have begun what is not whole yet, or sent what is held back.
    pub fn begun(&self) -> bool {
        let begun = |c: &Client| c.life == Life::Open && !c.stream.input().is_empty();
        !self.unconfirmed.is_empty() || self.all.values().any(begun)
    }

    /// When [`Clients::due`] has something to do.
    pub fn next(&self) -> Option<Timestamp> {
        let read_at = self.resting.front().map(|(at, _)| *at);
        read_at.into_iter().chain(self.unconfirmed.next()).min()
    }

    /// Reads those again that have rested, and returns requests that are held back no longer.
    pub fn due(&mut self, now: Timestamp) -> Vec<ClientEvent> {
        while let Some((_, key)) = self.resting.front().copied().filter(|(at, _)| *at <= now) {
            self.resting.pop_front();
            self.flush(now, key);
        }
        let confirmed = std::iter::from_fn(|| self.unconfirmed.take(now));
        confirmed
            .map(|(from, ask)| ClientEvent::Ask(from, ask))
            .collect()
    }

    /// Whether this is a client's connection.
    pub fn has(&self, key: usize) -> bool {
        self.all.contains_key(&key)
    }

    /// Takes over a connection that was accepted. It may have been in the system's queue for `waited`, and its first
    /// requests with it.
    pub fn add(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        socket: TcpStream,
        key: usize,
        waited: Micros,
    ) -> io::Result<()> {
        let stream = Stream::new(reactor, socket, key, false)?;
        self.begin(now, stream, key, waited);
        Ok(())
    }

    /// Takes over a connection whose TLS handshake is complete.
    pub fn secured(
        &mut self,
        now: Timestamp,
        socket: Registered<TcpStream>,
        connection: ServerConnection,
        key: usize,
    ) {
        // Nothing is asked before the handshake is complete.
        self.begin(now, Stream::secured(socket, connection), key, 0);
        self.flush(now, key);
    }

    fn begin(&mut self, now: Timestamp, stream: Stream<()>, key: usize, waited: Micros) {
        let (open, owes) = (HashSet::new(), Some(now));
        let client = Client {
            stream,
            open,
            life: Life::Open,
            moved: now,
            owes,
            rested_at: None,
            told: None,
            waited,
        };
        self.all.insert(key, client);
        if self.draining {
            self.say_no_more(now, key);
        }
    }

    /// The program ends: nothing more is taken in, and what is owed nothing is shut.
    pub fn part(&mut self, now: Timestamp) {
        self.parting = true;
        let keys: Vec<_> = self.all.keys().copied().collect();
        for key in keys {
            self.all.get_mut(&key).into_iter().for_each(Client::close);
            self.flush(now, key);
        }
    }

    /// Whether all are being closed since the program ends.
    pub fn parting(&self) -> bool {
        self.parting
    }

    /// Tells all clients that no new requests are wanted; `empties`: connections are closed as they become free.
    pub fn drain(&mut self, now: Timestamp, empties: bool) {
        (self.draining, self.empties) = (true, self.empties || empties);
        let keys: Vec<_> = self.all.keys().copied().collect();
        keys.into_iter().for_each(|key| self.say_no_more(now, key));
    }

    /// New requests are wanted again. A connection whose client was told otherwise stays told, and goes.
    pub fn resume(&mut self) {
        self.draining = false;
    }

    fn say_no_more(&mut self, now: Timestamp, key: usize) {
        if let Some(client) = self
            .all
            .get_mut(&key)
            .filter(|client| client.told.is_none())
        {
            client.stream.push(client::no_more());
            client.told = Some(now);
        }
        self.flush(now, key);
    }

    /// Reads what has come on a connection.
    pub fn read(&mut self, now: Timestamp, key: usize) -> Vec<ClientEvent> {
        let mut heard = Vec::new();
        let rested_at = self.all.get(&key).and_then(|client| client.rested_at);
        let mut ended = false;
        for round in 0..READS_MOST {
            // The first read is made even from one that rests: its end is told whether it is watched or not, and
            // would be told again and again.
            let Some(client) = self
                .all
                .get_mut(&key)
                .filter(|c| round == 0 || c.reads(now))
            else {
                break;
            };
            match client.stream.fill(&mut self.scratch) {
                Ok(Some(n)) if n > 0 => {}
                Ok(None) => break,
                Ok(Some(_)) if client.ended() => {
                    ended = true;
                    self.flush(now, key);
                    break;
                }
                _ => {
                    heard.extend(self.drop(key));
                    break;
                }
            }
            if client.life != Life::Open {
                client.stream.consume(client.stream.input().len());
                continue;
            }
            client.moved = now;
            client.hear(now, key, self.ready && !self.draining, &mut heard);
            // What comes later was not there when the connection was accepted.
            client.waited = 0;
            if self.parting && !client.open.is_empty() {
                // It came while the program ends: what it has asked is answered, and nothing more is taken in.
                client.close();
            }
            self.flush(now, key);
        }
        // Who came and left in one turn asks for nothing: it would be sent on for nobody.
        let gone = |one: &ClientEvent| {
            if let ClientEvent::Gone(from) = one {
                Some(*from)
            } else {
                None
            }
        };
        let left: HashSet<_> = heard.iter().filter_map(gone).collect();
        let mut never = HashSet::new();
        heard.retain(|one| match one {
            ClientEvent::Ask(from, _) if left.contains(from) => !never.insert(*from),
            ClientEvent::Gone(from) => !never.contains(from),
            _ => true,
        });
        if ended {
            heard = self.hold_back(now, heard);
        }
        self.rest(now, key, rested_at);
        heard
    }

    /// Holds requests back whose client may have closed its connection. Returns the other events.
    fn hold_back(&mut self, now: Timestamp, heard: Vec<ClientEvent>) -> Vec<ClientEvent> {
        let mut others = Vec::new();
        for event in heard {
            match event {
                ClientEvent::Ask(from, ask) => self.unconfirmed.hold(now, from, ask),
                other => others.push(other),
            }
        }
        others
    }

    /// Notes when a client is read again that began to rest after `before`.
    fn rest(&mut self, now: Timestamp, key: usize, before: Option<Timestamp>) {
        let rested_at = self.all.get(&key).and_then(|client| client.rested_at);
        if rested_at.is_some() && rested_at != before {
            self.resting.push_back((now + REST_WITH_REQUESTS, key));
        }
    }

    /// Gives a stream its final answer.
    pub fn answer(&mut self, now: Timestamp, to: ReplyTo, response: Response) {
        let Some(client) = self.all.get_mut(&to.client) else {
            return;
        };
        if client.open.remove(&to.stream) {
            client.stream.push(client::answer(to.stream, response));
            self.flush(now, to.client);
        }
    }

    /// Writes what can be written.
    pub fn flush(&mut self, now: Timestamp, key: usize) {
        let Some(client) = self.all.get_mut(&key) else {
            return;
        };
        let before = client.stream.held();
        let written = client.stream.flush(|()| {});
        if client.stream.held() < before {
            client.moved = now;
        }
        client.stream.count(&mut self.held);
        let done = client.open.is_empty() && client.stream.flushed();
        if client.life == Life::Closing && done {
            // All is said: the client closes it now, or a sweep does.
            client.stream.finish();
            client.life = Life::Shut(now + FAREWELL);
        }
        let over = client.life == Life::Ended && done;
        let reads = client.reads(now);
        if over || written.and_then(|()| client.stream.rewatch(reads)).is_err() {
            let gone = self.drop(key);
            self.lost.extend(gone);
        }
    }

    /// Who waited on connections that broke while they were written to.
    pub fn lost(&mut self) -> Vec<ClientEvent> {
        std::mem::take(&mut self.lost)
    }

    /// Closes what is dead or idle, and while too much is held who holds most. Returns who waits no more.
    pub fn sweep(&mut self, now: Timestamp, pressed: usize, held_most: usize) -> Vec<ClientEvent> {
        let stall = if self.held > pressed {
            STALL_PRESSED
        } else {
            STALL_MOST
        };
        let keys: Vec<_> = self.all.keys().copied().collect();
        for key in keys {
            let Some(client) = self.all.get_mut(&key) else {
                continue;
            };
            let open = client.life == Life::Open;
            if open && client.owes.is_some_and(|since| now > since + FRAME_MOST) {
                client.end();
            }
            let idle =
                now > client.moved + IDLE_MOST && client.open.is_empty() && client.stream.flushed();
            if open && (idle || self.empties && client.is_free(now)) {
                client.close();
            }
            // Those that rested are read again.
            self.flush(now, key);
        }
        let stale = |c: &Client| {
            let stalled = !c.stream.flushed() && now > c.moved + stall;
            stalled || matches!(c.life, Life::Shut(at) if now > at)
        };
        let stale: Vec<_> = self
            .all
            .iter()
            .filter(|(_, c)| stale(c))
            .map(|(key, _)| *key)
            .collect();
        let stalled = stale
            .iter()
            .filter(|key| !self.all[key].stream.flushed())
            .count();
        if stalled > 0 {
            tracing::info!(clients = stalled, "clients given up that take nothing");
        }
        let mut gone: Vec<_> = stale.into_iter().flat_map(|key| self.drop(key)).collect();
        while self.held > held_most {
            let most = self
                .all
                .iter()
                .max_by_key(|(key, c)| (c.stream.held(), **key))
                .map(|(key, _)| *key);
            let Some(key) = most else { break };
            gone.extend(self.drop(key));
        }
        gone
    }

    /// Closes a connection without a request: before the one that was idle for longest, one that never sent a
    /// whole frame. `false`: all have some. One of which something has come that is not read yet, most likely a request,
    /// is no idle one.
    pub fn evict(&mut self) -> bool {
        let free = self
            .all
            .iter()
            .filter(|(_, c)| c.open.is_empty() && c.stream.flushed());
        let mut idle: Vec<_> = free
            .map(|(key, c)| (c.owes.is_none(), c.moved, *key))
            .collect();
        idle.sort_unstable();
        let unread = |key: &usize| self.all.get(key).is_some_and(|c| c.stream.unread());
        let key = idle
            .into_iter()
            .map(|(.., key)| key)
            .find(|key| !unread(key));
        key.map(|key| self.drop(key)).is_some()
    }

    /// Closes the connection that was idle for longest, if one was for so long that no request is on its way there.
    pub fn evict_idle(&mut self, now: Timestamp) -> bool {
        let idle =
            |c: &Client| c.open.is_empty() && c.stream.flushed() && c.stream.input().is_empty();
        let evictable = |c: &Client| idle(c) && now > c.moved + EVICTABLE;
        let oldest = self
            .all
            .iter()
            .filter(|(_, c)| evictable(c) && !c.stream.unread());
        let key = oldest
            .min_by_key(|(key, c)| (c.moved, **key))
            .map(|(key, _)| *key);
        key.map(|key| self.drop(key)).is_some()
    }

    /// Gives a connection up: nobody waits there any more.
    fn drop(&mut self, key: usize) -> Vec<ClientEvent> {
        let Some(mut client) = self.all.remove(&key) else {
            return Vec::new();
        };
        client.stream.discount(&mut self.held);
        self.unconfirmed.drop_client(key);
        let mut open: Vec<_> = client.open.into_iter().collect();
        open.sort_unstable();
        open.into_iter()
            .map(|stream| {
                ClientEvent::Gone(ReplyTo {
                    client: key,
                    stream,
                })
            })
            .collect()
    }
}

impl Client {
    /// Whether it can be closed since the front is emptied: nothing is open, begun or, most likely, on its way. A
    /// request that crosses the close in the moment after is sent again by its client.
    fn is_free(&self, now: Timestamp) -> bool {
        let over = |told: Timestamp| now > told + TOLD_MOST || now > told.max(self.moved) + QUIET;
        let idle = self.open.is_empty() && self.stream.flushed() && self.stream.input().is_empty();
        idle && self.told.is_some_and(over)
    }

    /// Whether more is read from it.
    fn reads(&self, now: Timestamp) -> bool {
        self.life != Life::Ended && !self.rests(now) && self.stream.untaken() < UNTAKEN_MOST
    }

    /// Whether it rests after what can't be taken in.
    fn rests(&self, now: Timestamp) -> bool {
        let span = if self.open.is_empty() {
            REST
        } else {
            REST_WITH_REQUESTS
        };
        self.rested_at.is_some_and(|since| now < since + span)
    }

    /// Its client ends its side. Whether it is owed something all the same: who no longer waits says so (type 12) or is not
    /// there. The frame that is sent shows which: where nobody is, the system answers it by a reset.
    fn ended(&mut self) -> bool {
        let owed = !self.open.is_empty() || !self.stream.flushed();
        if !owed || !matches!(self.life, Life::Open | Life::Closing) {
            return false;
        }
        self.stream.consume(self.stream.input().len());
        self.stream.push(client::no_more());
        (self.life, self.owes) = (Life::Ended, None);
        true
    }

    /// Nothing more is taken in; what is open is answered.
    fn close(&mut self) {
        if self.life == Life::Open {
            self.stream.consume(self.stream.input().len());
            self.life = Life::Closing;
        }
    }

    /// Takes whole frames off the input.
    fn hear(&mut self, now: Timestamp, key: usize, ready: bool, heard: &mut Vec<ClientEvent>) {
        loop {
            let (message, used) = match client::decode(self.stream.input()) {
                Ok(Some(found)) => found,
                Ok(None) => {
                    let begun = !self.stream.input().is_empty();
                    self.owes = begun.then(|| self.owes.unwrap_or(now));
                    return;
                }
                // Where one frame ends is lost: what was taken is answered, nothing more is read.
                Err(_) => return self.end(),
            };
            match message {
                Message::Request(stream, payload) => {
                    let from = ReplyTo {
                        client: key,
                        stream,
                    };
                    let ask = client::ask(payload);
                    // Streams are new on their connection; an answer could else be taken for another's.
                    if !self.open.insert(stream) {
                        return self.end();
                    }
                    let waited = self.waited;
                    let charged = ask.map(|ask| ClientRequest {
                        time_limit: ask.time_limit.saturating_sub(waited),
                        ..ask
                    });
                    let ask = charged.and_then(|ask| {
                        Some(ask)
                            .filter(|_| self.open.len() <= STREAMS_MOST)
                            .ok_or("too many streams")
                    });
                    heard.push(match ask {
                        Ok(ask) => ClientEvent::Ask(from, ask),
                        Err(why) => {
                            self.rested_at = Some(now);
                            ClientEvent::Bad(from, why)
                        }
                    });
                }
                Message::Gone(stream) => {
                    if self.open.remove(&stream) {
                        heard.push(ClientEvent::Gone(ReplyTo {
                            client: key,
                            stream,
                        }));
                    }
                }
                Message::Ready(stream) => self.stream.push(client::ready(stream, ready)),
            }
            self.stream.consume(used);
            self.owes = None;
        }
    }

    /// What can't be read has come: that is told, and nothing more is taken in.
    fn end(&mut self) {
        self.stream.push(client::error());
        self.close();
    }
}

#[cfg(test)]
mod tests;
