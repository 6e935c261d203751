//! Requests that came together with the end of their client's side of the connection.
//!
//! Such a client may have closed its connection long ago: while the front was busy or its listener rested, the request and the
//! end arrived before either was read. Whether it still waits shows by the system's answer to the next frame: a reset where it
//! does not. The request is held back until the reset can have come.
use crate::routing::{ClientRequest, ReplyTo};
use cranesill::api::{Micros, Timestamp};
use std::collections::VecDeque;

/// How long a reset takes at most to come back from a client that has closed its connection.
pub const RESET_WAIT: Micros = 40_000;

/// The requests that are held back, in the order of their time.
#[derive(Debug, Default)]
pub struct Unconfirmed(VecDeque<(Timestamp, ReplyTo, ClientRequest)>);

impl Unconfirmed {
    /// Holds a request back. The wait counts against the time that its client gives it.
    pub fn hold(&mut self, now: Timestamp, from: ReplyTo, mut request: ClientRequest) {
        request.time_limit = request.time_limit.saturating_sub(RESET_WAIT);
        self.0.push_back((now + RESET_WAIT, from, request));
    }

    /// Drops the requests of a client that has closed its connection.
    pub fn drop_client(&mut self, client: usize) {
        self.0.retain(|(_, from, _)| from.client != client);
    }

    /// Returns when the next request is forwarded.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.0.front().map(|(at, ..)| *at)
    }

    /// Takes out a request whose client has not disconnected in time.
    pub fn take(&mut self, now: Timestamp) -> Option<(ReplyTo, ClientRequest)> {
        self.next_deadline().filter(|at| *at <= now)?;
        self.0.pop_front().map(|(_, from, request)| (from, request))
    }

    /// Whether no request is held back.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
