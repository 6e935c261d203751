//! One connection of a client: its state, and the frames that come on it.
use super::ClientEvent;
use crate::protocol::client::{self, Message, RequestError};
use crate::routing::{ClientRequest, ReplyTo};
use crate::transport::Stream;
use cranesill::api::{Micros, Timestamp};
use std::collections::HashSet;

/// Requests open at once on one connection.
const MAX_STREAMS: usize = 32;
/// Answers that a client has not read at which reading from it stops: small frames at full speed would else pile up
/// answers without end.
const MAX_UNREAD_RESPONSES: usize = 2 * MAX_STREAMS;
/// While draining, a connection that carried nothing for this long is closed: what its client sent before it was notified
/// has come by then.
pub(super) const MIN_DRAINING_IDLE: Micros = 200_000;
/// The connection of a client that goes on sending requests after it was notified is closed after this long, as soon as
/// none is open.
pub(super) const MAX_DRAINING_TIME: Micros = 1_500_000;
/// How long reading is paused after a bad request: clients with good ones come first, however fast the other goes on.
pub(super) const READ_PAUSE: Micros = 100_000;
/// The same where requests of it are open: it may cancel them, and nothing may be begun for it 0.1 s after that.
pub(super) const READ_PAUSE_WITH_REQUESTS: Micros = 25_000;

/// The state of a connection. Each event has one answer in each state:
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
    /// Requests are taken.
    Open,
    /// The client has ended its side and is still owed answers.
    HalfClosed,
    /// Nothing more is taken in; what is owed is written.
    Draining,
    /// This side is shut; the connection is closed at this time at the latest.
    WriteClosed(Timestamp),
}

/// A connection of a client.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: Stream<()>,
    /// Streams whose requests are not answered yet.
    pub(super) open_streams: HashSet<u32>,
    /// What events mean here now.
    pub(super) state: ConnectionState,
    /// When something was last read, or written out of the buffer.
    pub(super) active_at: Timestamp,
    /// Since when a frame is expected: the first, or the rest of one that is begun.
    pub(super) incomplete_since: Option<Timestamp>,
    /// When reading was paused after a bad request.
    pub(super) paused_at: Option<Timestamp>,
    /// When the client was asked to open no new requests here.
    pub(super) notified_at: Option<Timestamp>,
    /// How long its first requests may have been in the system's queue before the connection was accepted.
    pub(super) accept_delay: Micros,
}

impl Connection {
    /// Whether a draining connection can be closed: nothing is open, begun or, most likely, on its way. A request that
    /// crosses the close in the moment after is sent again by its client.
    pub(super) fn is_closable(&self, now: Timestamp) -> bool {
        let grace_is_over = |notified_at: Timestamp| {
            let idle_since = notified_at.max(self.active_at);
            now > notified_at + MAX_DRAINING_TIME || now > idle_since + MIN_DRAINING_IDLE
        };
        let idle =
            self.open_streams.is_empty() && self.stream.flushed() && self.stream.input().is_empty();
        idle && self.notified_at.is_some_and(grace_is_over)
    }

    /// Whether the connection is to be read from.
    pub(super) fn wants_input(&self, now: Timestamp) -> bool {
        self.state != ConnectionState::HalfClosed
            && !self.is_paused(now)
            && self.stream.unsent_messages() < MAX_UNREAD_RESPONSES
    }

    /// Whether reading is paused after a bad request.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        let pause = if self.open_streams.is_empty() {
            READ_PAUSE
        } else {
            READ_PAUSE_WITH_REQUESTS
        };
        self.paused_at.is_some_and(|since| now < since + pause)
    }

    /// The client has ended its side. Returns whether it is owed something all the same: a client that no longer waits
    /// cancels (type 12) or is not there. The frame that is sent shows which: where nobody is, the system answers with a
    /// reset.
    pub(super) fn half_close(&mut self) -> bool {
        let has_pending_responses = !self.open_streams.is_empty() || !self.stream.flushed();
        if !has_pending_responses
            || !matches!(
                self.state,
                ConnectionState::Open | ConnectionState::Draining
            )
        {
            return false;
        }
        self.stream.consume(self.stream.input().len());
        self.stream.push(client::no_more());
        self.state = ConnectionState::HalfClosed;
        self.incomplete_since = None;
        true
    }

    /// Takes nothing more in; open requests are answered.
    pub(super) fn begin_draining(&mut self) {
        if self.state == ConnectionState::Open {
            self.stream.consume(self.stream.input().len());
            self.state = ConnectionState::Draining;
        }
    }

    /// Takes complete frames off the input.
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
                    let incomplete = !self.stream.input().is_empty();
                    self.incomplete_since =
                        incomplete.then(|| self.incomplete_since.unwrap_or(now));
                    return;
                }
                // Where the next frame begins is unknown: requests that were taken are answered, nothing more is read.
                Err(_) => return self.reject_input(),
            };
            match message {
                Message::Request(stream, payload) => {
                    let from = reply_to(key, stream);
                    let request = client::decode_request(payload);
                    // Streams are new on their connection; an answer could else be taken for another's.
                    if !self.open_streams.insert(stream) {
                        return self.reject_input();
                    }
                    events.push(self.accept_request(now, from, request));
                }
                Message::Cancelled(stream) => {
                    if self.open_streams.remove(&stream) {
                        events.push(ClientEvent::Disconnected(reply_to(key, stream)));
                    }
                }
                Message::Ready(stream) => self.stream.push(client::ready(stream, ready)),
            }
            self.stream.consume(used);
            self.incomplete_since = None;
        }
    }

    /// Checks a request against the limit on streams, and charges it the time that it waited before the connection was
    /// accepted. After a bad one reading is paused.
    fn accept_request(
        &mut self,
        now: Timestamp,
        from: ReplyTo,
        request: Result<ClientRequest, RequestError>,
    ) -> ClientEvent {
        let request = request.and_then(|request| {
            if self.open_streams.len() > MAX_STREAMS {
                return Err(RequestError::TooManyStreams);
            }
            Ok(request)
        });
        match request {
            Ok(request) => {
                let time_limit = request.time_limit.saturating_sub(self.accept_delay);
                ClientEvent::Request(
                    from,
                    ClientRequest {
                        time_limit,
                        ..request
                    },
                )
            }
            Err(error) => {
                self.paused_at = Some(now);
                ClientEvent::BadRequest(from, error)
            }
        }
    }

    /// Reports malformed input to the client; nothing more is taken in.
    pub(super) fn reject_input(&mut self) {
        self.stream.push(client::error());
        self.begin_draining();
    }
}

fn reply_to(client: usize, stream: u32) -> ReplyTo {
    ReplyTo { client, stream }
}
