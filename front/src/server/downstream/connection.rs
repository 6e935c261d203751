//! A client connection: its state and the processing of received frames.
use super::{ClientEvent, CLOSE_TIMEOUT};
use crate::protocol::client::{self, Message, RequestError};
use crate::routing::{ClientRequest, ReplyTo};
use crate::transport::Stream;
use cranesill::api::{Micros, Timestamp};
use std::collections::HashSet;

/// Maximum number of open requests on a connection.
const MAX_STREAMS: usize = 32;
/// Reading from a client stops at this number of unwritten responses; otherwise a client that does not read could make the queue
/// grow without limit.
const MAX_UNREAD_RESPONSES: usize = 2 * MAX_STREAMS;
/// While draining, a connection is closed after this idle time, within which requests sent before the notification arrive.
pub(super) const MIN_DRAINING_IDLE: Micros = 200_000;
/// A connection whose client continues to send requests after the notification is closed after this time, once none is open.
pub(super) const MAX_DRAINING_TIME: Micros = 1_500_000;
/// Pause of reading after a malformed request, so that a client that sends many of them does not delay others.
pub(super) const READ_PAUSE: Micros = 100_000;
/// The same while requests are open. It is shorter because no attempt may be started 0.1 s after the client cancelled a request.
pub(super) const READ_PAUSE_WITH_REQUESTS: Micros = 25_000;

/// The state of a connection, with its transitions:
///
/// | state | input received | client closes its write side | all responses written |
/// | --- | --- | --- | --- |
/// | `Open` | processed | `HalfClosed`, or closed if no response is pending | unchanged; `Draining` after the idle timeout |
/// | `HalfClosed` | not possible | | closed |
/// | `Draining` | discarded | `HalfClosed` | write side closed: `WriteClosed` |
/// | `WriteClosed` | discarded | closed | closed at the given time, even if the client does not close it |
///
/// In `WriteClosed` the time moves on while the client still receives responses.
///
/// A reset closes the connection in every state. Input is discarded rather than left unread, because closing a socket with unread
/// input resets the connection and loses responses in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// Requests are accepted.
    Open,
    /// The client has closed its write side while responses are pending.
    HalfClosed,
    /// No more requests are accepted; pending responses are written.
    Draining,
    /// The write side is closed; the connection is closed at this time at the latest.
    WriteClosed(Timestamp),
}

/// The notification that asks a client to send no new requests on its connection. It is queued behind earlier responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainNotice {
    NotSent,
    InTransit {
        /// Its end in the output.
        position: u64,
        /// The earliest time at which the client may have received it: when it was sent, or when it was last seen in transit.
        since: Timestamp,
    },
    /// The client received it, not before this time.
    Delivered(Timestamp),
}

impl DrainNotice {
    /// The earliest time at which the client may have received the notification; `None` if it was not sent.
    fn received_at(self) -> Option<Timestamp> {
        match self {
            DrainNotice::NotSent => None,
            DrainNotice::InTransit { since: at, .. } | DrainNotice::Delivered(at) => Some(at),
        }
    }
}

/// A client connection.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: Stream<()>,
    /// Streams whose response is not queued yet.
    pub(super) open_streams: HashSet<u32>,
    pub(super) state: ConnectionState,
    /// When data was last received or written, or was last seen in transit while draining or idle.
    pub(super) active_at: Timestamp,
    /// When the first byte of an incomplete frame arrived, or when the connection was accepted if no frame is complete yet; `None`
    /// between frames.
    pub(super) incomplete_since: Option<Timestamp>,
    /// When reading was paused after a malformed request.
    pub(super) paused_at: Option<Timestamp>,
    /// The latest deadline of the responses on this connection. Until then what the client has not acknowledged counts as pending.
    pub(super) deliver_by: Timestamp,
    pub(super) drain_notice: DrainNotice,
    /// Up to which position of the output the client had received it in the last sweep with unwritten output.
    pub(super) received_position: u64,
    /// When that position last advanced.
    pub(super) received_at: Timestamp,
    /// How long the first requests may have been in the accept queue; 0 after the first read.
    pub(super) accept_delay: Micros,
}

impl Connection {
    /// Whether a draining connection can be closed: no request is open, partially received or likely to be in transit. A client whose
    /// request crosses the close sends it again on another connection. One that still receives earlier responses cannot have received
    /// the notification, and its requests are still accepted.
    pub(super) fn is_closable(&self, now: Timestamp) -> bool {
        // A client that goes on sending always has a response in transit; it is received before the connection is closed.
        let grace_is_over = |notified_at: Timestamp| {
            let idle_since = notified_at.max(self.active_at);
            now > notified_at + MAX_DRAINING_TIME
                || now > idle_since + MIN_DRAINING_IDLE && !self.has_undelivered_responses(now)
        };
        self.open_streams.is_empty()
            && self.stream.flushed()
            && self.stream.input().is_empty()
            && self.drain_notice.received_at().is_some_and(grace_is_over)
    }

    /// Whether the client still receives responses that it waits for. What the local kernel has taken is not delivered until the client
    /// has acknowledged it: closing the connection before that can lose it.
    pub(super) fn has_undelivered_responses(&self, now: Timestamp) -> bool {
        !self.stream.flushed() || now < self.deliver_by && self.stream.has_undelivered_output()
    }

    /// Records how far the client has received the output.
    pub(super) fn update_received(&mut self, now: Timestamp) {
        let position = self.stream.acknowledged_position();
        if position > self.received_position {
            self.received_position = position;
            self.received_at = now;
        }
    }

    /// Whether the client waits for its responses and has received part of them within `timeout`, though maybe no whole one.
    pub(super) fn is_receiving(&self, now: Timestamp, timeout: Micros) -> bool {
        now < self.deliver_by && now <= self.received_at + timeout
    }

    /// Records responses that are still in transit as activity, and whether the client has received the notification to drain.
    pub(super) fn update_delivery(&mut self, now: Timestamp) {
        let undelivered = self.has_undelivered_responses(now);
        if undelivered && self.stream.flushed() {
            self.active_at = now;
        }
        if let DrainNotice::InTransit { position, since } = self.drain_notice {
            let in_transit = undelivered && self.stream.acknowledged_position() < position;
            self.drain_notice = if in_transit {
                let since = now;
                DrainNotice::InTransit { position, since }
            } else {
                DrainNotice::Delivered(since)
            };
        }
        if let ConnectionState::WriteClosed(closes_at) = &mut self.state {
            if undelivered {
                *closes_at = now + CLOSE_TIMEOUT;
            }
        }
    }

    /// Whether the connection should be read from.
    pub(super) fn wants_input(&self, now: Timestamp) -> bool {
        self.state != ConnectionState::HalfClosed
            && !self.is_paused(now)
            && self.stream.unsent_messages() < MAX_UNREAD_RESPONSES
    }

    /// Whether reading is paused after a malformed request.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        let pause = if self.open_streams.is_empty() {
            READ_PAUSE
        } else {
            READ_PAUSE_WITH_REQUESTS
        };
        self.paused_at.is_some_and(|since| now < since + pause)
    }

    /// Handles the end of the client's write side. Returns whether responses are pending, in which case the connection stays open:
    /// a client that no longer waits cancels its requests (type 12) or has closed the socket. The frame sent here distinguishes the
    /// two, since a closed socket responds to it with a reset.
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

    /// Accepts no more requests; open ones are still answered.
    pub(super) fn begin_draining(&mut self) {
        if self.state == ConnectionState::Open {
            self.stream.consume(self.stream.input().len());
            self.state = ConnectionState::Draining;
        }
    }

    /// Processes all complete frames of the input.
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
                // The start of the next frame is unknown: accepted requests are answered, further input is discarded.
                Err(_) => return self.reject_input(),
            };
            match message {
                Message::Request(stream, payload) => {
                    let from = reply_to(key, stream);
                    let request = client::decode_request(payload);
                    // A stream id must not be open already: the response could be matched to the wrong request.
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

    /// Checks a request against the limit on streams and deducts the accept delay from its time limit. A malformed request pauses
    /// reading.
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

    /// Reports malformed input to the client and accepts no more requests.
    pub(super) fn reject_input(&mut self) {
        self.stream.push(client::error());
        self.begin_draining();
    }
}

fn reply_to(client: usize, stream: u32) -> ReplyTo {
    ReplyTo { client, stream }
}
