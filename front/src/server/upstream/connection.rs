//! A connection to an endpoint, with its open attempts and recently used transaction ids.
use crate::protocol::cache_node;
use crate::routing::{AttemptId, Fetch, TransactionId};
use crate::transport::Stream;
use cranesill::api::{EndpointId, Micros, Timestamp};
use std::collections::{HashMap, HashSet};
use std::io;

/// A connection remembers transaction ids for at least this time, and for at most twice as long, because late responses may arrive.
const RECENT_ID_RETENTION: Micros = 10_000_000;
/// Limit on unexpected responses on a connection, in addition to two for each recent id (one late, one duplicate). A connection
/// that exceeds it is closed.
const MAX_UNEXPECTED_RESPONSES: usize = 16;

/// An attempt on a connection.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) attempt: AttemptId,
    /// When the attempt was queued on the connection.
    pub(super) sent_at: Timestamp,
    /// Whether the request is a write.
    pub(super) is_write: bool,
    /// The source for a fill named in the request.
    pub(super) source: Option<EndpointId>,
    /// Whether the request is completely written.
    pub(super) written: bool,
    /// The attempt is withdrawn if none of it is written by then.
    pub(super) write_deadline: Timestamp,
    /// The request until it is completely written, to update its remaining time until then.
    pub(super) fetch: Option<Box<Fetch>>,
}

impl OpenAttempt {
    /// Marks the attempt as completely written and drops its copy of the request.
    pub(super) fn set_written(&mut self) {
        self.written = true;
        self.fetch = None;
    }
}

/// A connection to an endpoint.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: Stream<Option<TransactionId>>,
    pub(super) endpoint: EndpointId,
    /// Whether the TCP connection is established.
    pub(super) established: bool,
    /// Whether the connection gets no further attempts.
    pub(super) retired: bool,
    /// Attempts without a response, by transaction id.
    pub(super) open_attempts: HashMap<TransactionId, OpenAttempt>,
    /// Transaction ids recently used on this connection.
    pub(super) recent_ids: RecentIds,
    /// When an attempt was last sent, answered or cancelled.
    pub(super) idle_since: Timestamp,
    /// When data was last received.
    pub(super) received_at: Timestamp,
    /// Since when a response is partially received.
    pub(super) partial_since: Option<Timestamp>,
    /// Total time that cancelled attempts had waited, since data was last received.
    pub(super) silent_wait: Micros,
    /// The number of responses received that match no open attempt.
    pub(super) unexpected_responses: usize,
}

impl Connection {
    /// Creates a connection that is being established.
    pub(super) fn new(
        now: Timestamp,
        endpoint: EndpointId,
        stream: Stream<Option<TransactionId>>,
    ) -> Self {
        Connection {
            stream,
            endpoint,
            established: false,
            retired: false,
            open_attempts: HashMap::new(),
            recent_ids: RecentIds::default(),
            idle_since: now,
            received_at: now,
            partial_since: None,
            silent_wait: 0,
            unexpected_responses: 0,
        }
    }

    /// Whether the connection is established and has no open attempt.
    pub(super) fn is_idle(&self) -> bool {
        self.established && self.open_attempts.is_empty()
    }

    /// Counts a response that matches no open attempt. Fails if there are too many.
    pub(super) fn count_unexpected_response(&mut self) -> io::Result<()> {
        self.unexpected_responses += 1;
        let limit = MAX_UNEXPECTED_RESPONSES + 2 * self.recent_ids.len();
        if self.unexpected_responses > limit {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Whether an attempt with this id may be sent on this connection, given the limit `streams` on open attempts.
    pub(super) fn accepts(&self, txn: &TransactionId, streams: usize) -> bool {
        !self.retired
            && !self.recent_ids.contains(txn)
            && self.open_attempts.len() < streams
            && !self.is_blocked()
    }

    /// Whether a partially received response to a cancelled attempt delays all later responses.
    pub(super) fn is_blocked(&self) -> bool {
        let input = self.stream.input();
        let first_id = || {
            cache_node::first_id(input)
                .and_then(|id| TransactionId::new(std::str::from_utf8(id).ok()?))
        };
        !input.is_empty()
            && (self.open_attempts.is_empty()
                || first_id().is_some_and(|txn| !self.open_attempts.contains_key(&txn)))
    }
}

/// Recently used transaction ids, in two generations. An id is not reused on a connection, so that a duplicate or late response
/// cannot be matched to a later attempt with the same id.
#[derive(Debug, Default)]
pub(super) struct RecentIds {
    new: HashSet<TransactionId>,
    old: HashSet<TransactionId>,
    rotated_at: Timestamp,
}

impl RecentIds {
    /// Whether the connection has used this id recently.
    pub(super) fn contains(&self, txn: &TransactionId) -> bool {
        self.new.contains(txn) || self.old.contains(txn)
    }

    /// Returns the number of remembered ids.
    pub(super) fn len(&self) -> usize {
        self.new.len() + self.old.len()
    }

    /// Adds an id and removes expired ones.
    pub(super) fn add(&mut self, now: Timestamp, txn: TransactionId) {
        if now > self.rotated_at + RECENT_ID_RETENTION {
            self.old = std::mem::take(&mut self.new);
            self.rotated_at = now;
        }
        self.new.insert(txn);
    }
}
