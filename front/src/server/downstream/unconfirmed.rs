//! Requests received together with the end of the client's write side.
//!
//! The client of such a request may have closed its socket, for example while the connection was in the accept queue. A closed
//! socket responds to the next frame with a reset, so the request is held back until a reset would have arrived.
use crate::routing::{ClientRequest, ReplyTo};
use cranesill::api::{Micros, Timestamp};
use std::collections::VecDeque;

/// Maximum time until the reset of a closed client socket arrives.
pub const RESET_WAIT: Micros = 40_000;

/// Held-back requests in the order in which they become due.
#[derive(Debug, Default)]
pub struct Unconfirmed(VecDeque<(Timestamp, ReplyTo, ClientRequest)>);

impl Unconfirmed {
    /// Holds a request back. The delay is deducted from its time limit.
    pub fn hold(&mut self, now: Timestamp, from: ReplyTo, mut request: ClientRequest) {
        request.time_limit = request.time_limit.saturating_sub(RESET_WAIT);
        self.0.push_back((now + RESET_WAIT, from, request));
    }

    /// Removes the requests of a disconnected client.
    pub fn drop_client(&mut self, client: usize) {
        self.0.retain(|(_, from, _)| from.client != client);
    }

    /// Returns when the next request becomes due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.0.front().map(|(at, ..)| *at)
    }

    /// Removes and returns a request that is due, i.e. whose client did not disconnect in time.
    pub fn take(&mut self, now: Timestamp) -> Option<(ReplyTo, ClientRequest)> {
        self.next_deadline().filter(|at| *at <= now)?;
        self.0.pop_front().map(|(_, from, request)| (from, request))
    }

    /// Whether no request is held back.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
