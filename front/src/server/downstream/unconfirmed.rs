//! Requests received together with the end of the client's write side.
//!
//! The client of such a request may have closed its socket, for example while the connection was in the accept queue. A closed
//! socket responds to the next frame with a reset, so the request is held back until a reset would have arrived.
use crate::routing::{ClientRequest, ReplyTo};
use cranesill::api::{Micros, Timestamp};
use std::collections::VecDeque;

/// Maximum time until the reset of a closed client socket arrives.
pub const RESET_WAIT: Micros = 40_000;

/// A request that is held back.
#[derive(Debug)]
struct HeldRequest {
    due_at: Timestamp,
    from: ReplyTo,
    request: ClientRequest,
}

/// Held-back requests in the order in which they become due.
#[derive(Debug, Default)]
pub struct Unconfirmed {
    requests: VecDeque<HeldRequest>,
    /// Bytes of the bodies of all held-back requests.
    body_bytes: usize,
}

impl Unconfirmed {
    /// Holds a request back. The delay is deducted from its time limit.
    pub fn hold(&mut self, now: Timestamp, from: ReplyTo, mut request: ClientRequest) {
        request.time_limit = request.time_limit.saturating_sub(RESET_WAIT);
        self.body_bytes += request.body.len();
        self.requests.push_back(HeldRequest {
            due_at: now + RESET_WAIT,
            from,
            request,
        });
    }

    /// Removes the requests of a disconnected client.
    pub fn drop_client(&mut self, client: usize) {
        self.body_bytes -= self.body_bytes_of(client);
        self.requests.retain(|held| held.from.client != client);
    }

    /// Returns the bytes of the bodies of all held-back requests.
    pub fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the bytes of the bodies of a client's held-back requests.
    pub fn body_bytes_of(&self, client: usize) -> usize {
        let requests = self.requests.iter();
        let of_client = requests.filter(|held| held.from.client == client);
        of_client.map(|held| held.request.body.len()).sum()
    }

    /// Returns when the next request becomes due.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.requests.front().map(|held| held.due_at)
    }

    /// Removes and returns a request that is due, i.e. whose client did not disconnect in time.
    pub fn take(&mut self, now: Timestamp) -> Option<(ReplyTo, ClientRequest)> {
        self.next_deadline().filter(|at| *at <= now)?;
        let held = self.requests.pop_front()?;
        self.body_bytes -= held.request.body.len();
        Some((held.from, held.request))
    }

    /// Whether no request is held back.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
