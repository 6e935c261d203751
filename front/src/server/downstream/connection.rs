//! One connection of a client: its state, and the frames that come on it.
use super::ClientEvent;
use crate::protocol::client::{self, Message};
use crate::routing::{Ask, ReplyTo};
use crate::transport::Stream;
use cranesill::api::{Micros, Timestamp};
use std::collections::HashSet;

/// Requests open at once on one connection.
const MAX_STREAMS: usize = 32;
/// Messages that a client has not taken yet from which on no more is read from it: small frames at full speed
/// would else pile up answers without end.
const MAX_UNREAD_ANSWERS: usize = 2 * MAX_STREAMS;
/// While the front is emptied, a connection that carried nothing for this long is closed: what its client sent before
/// it was told has come by then.
pub(super) const MIN_DRAINING_IDLE: Micros = 200_000;
/// A client that was told to open nothing new and goes on all the same is closed after this long, as soon as nothing of
/// it is open.
pub(super) const MAX_DRAINING_TIME: Micros = 1_500_000;
/// A client that sends what can't be taken in is read again after this long: those that ask for something come
/// first, however fast it goes on.
pub(super) const READ_PAUSE: Micros = 100_000;
/// The same where requests of it are open: it may cancel them, and nothing may be begun for it 0.1 s after that.
pub(super) const READ_PAUSE_WITH_REQUESTS: Micros = 25_000;

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
pub(super) enum ConnectionState {
    Open,
    HalfClosed,
    Draining,
    Shut(Timestamp),
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: Stream<()>,
    /// Streams that are owed an answer.
    pub(super) open_streams: HashSet<u32>,
    pub(super) state: ConnectionState,
    pub(super) active_at: Timestamp,
    /// Since when a frame is owed: the first, or one that is begun.
    pub(super) incomplete_since: Option<Timestamp>,
    /// Since when nothing is read, after what can't be taken in.
    pub(super) paused_at: Option<Timestamp>,
    /// When it was told to open nothing new here.
    pub(super) notified_at: Option<Timestamp>,
    /// What its first requests may have spent in the system's queue before the connection was accepted.
    pub(super) accept_delay: Micros,
}

impl Connection {
    /// Whether it can be closed since the front is emptied: nothing is open, begun or, most likely, on its way. A
    /// request that crosses the close in the moment after is sent again by its client.
    pub(super) fn is_free(&self, now: Timestamp) -> bool {
        let over = |told: Timestamp| {
            now > told + MAX_DRAINING_TIME || now > told.max(self.active_at) + MIN_DRAINING_IDLE
        };
        let idle =
            self.open_streams.is_empty() && self.stream.flushed() && self.stream.input().is_empty();
        idle && self.notified_at.is_some_and(over)
    }

    /// Whether more is read from it.
    pub(super) fn wants_input(&self, now: Timestamp) -> bool {
        self.state != ConnectionState::HalfClosed
            && !self.is_paused(now)
            && self.stream.untaken() < MAX_UNREAD_ANSWERS
    }

    /// Whether it rests after what can't be taken in.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        let span = if self.open_streams.is_empty() {
            READ_PAUSE
        } else {
            READ_PAUSE_WITH_REQUESTS
        };
        self.paused_at.is_some_and(|since| now < since + span)
    }

    /// Its client ends its side. Whether it is owed something all the same: who no longer waits says so (type 12) or is not
    /// there. The frame that is sent shows which: where nobody is, the system answers it by a reset.
    pub(super) fn half_close(&mut self) -> bool {
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
    pub(super) fn begin_draining(&mut self) {
        if self.state == ConnectionState::Open {
            self.stream.consume(self.stream.input().len());
            self.state = ConnectionState::Draining;
        }
    }

    /// Takes whole frames off the input.
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        key: usize,
        ready: bool,
        events: &mut Vec<ClientEvent>,
    ) {
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
    pub(super) fn reject_input(&mut self) {
        self.stream.push(client::error());
        self.begin_draining();
    }
}
