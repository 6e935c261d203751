//! One connection to an endpoint, with the attempts on it and the ids that it carried.
use crate::protocol::cache_node;
use crate::routing::{AttemptId, Fetch, TransactionId};
use crate::transport::Stream;
use cranesill::api::{EndpointId, Micros, Timestamp};
use std::collections::{HashMap, HashSet};
use std::io;

/// For how long, or up to twice that, a connection remembers an id that it carried: answers to it may still come.
const RECENT_ID_RETENTION: Micros = 10_000_000;
/// Unexpected answers that a connection may bring beyond two for each id that it carried: one late and one repeated. More
/// of them end it, or they would come for ever.
const MAX_UNEXPECTED_RESPONSES: usize = 16;

/// An attempt on a connection.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    pub(super) attempt: AttemptId,
    /// When it was put on the connection.
    pub(super) sent_at: Timestamp,
    /// Whether its request changes something at the endpoint.
    pub(super) is_write: bool,
    /// The endpoint that it names as the source for a fill.
    pub(super) source: Option<EndpointId>,
    /// Whether all of it is written.
    pub(super) written: bool,
    /// Withdrawn if it is not begun to be written by then.
    pub(super) write_deadline: Timestamp,
    /// The request, until it is written: the time left that it names is as of when it is written.
    pub(super) fetch: Option<Box<Fetch>>,
}

impl OpenAttempt {
    /// Notes that it is written; the request need not be kept.
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
    /// Whether the connection is up.
    pub(super) established: bool,
    /// Whether it gets no further attempts.
    pub(super) retired: bool,
    /// Attempts that are not answered yet, by the id of their request.
    pub(super) open_attempts: HashMap<TransactionId, OpenAttempt>,
    /// Ids that may still be answered here.
    pub(super) recent_ids: RecentIds,
    /// When something was last sent or answered.
    pub(super) idle_since: Timestamp,
    /// When something was last received.
    pub(super) received_at: Timestamp,
    /// Since when an answer is incomplete.
    pub(super) partial_since: Option<Timestamp>,
    /// For how long attempts waited here that were cancelled, since something was received.
    pub(super) silent_wait: Micros,
    /// Answers to no open attempt.
    pub(super) unexpected_responses: usize,
}

impl Connection {
    /// A connection that is being established.
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

    /// Whether it is established and carries no attempt.
    pub(super) fn is_idle(&self) -> bool {
        self.established && self.open_attempts.is_empty()
    }

    /// Counts an answer to no open attempt. Too many are an error.
    pub(super) fn count_unexpected_response(&mut self) -> io::Result<()> {
        self.unexpected_responses += 1;
        let limit = MAX_UNEXPECTED_RESPONSES + 2 * self.recent_ids.len();
        if self.unexpected_responses > limit {
            return Err(io::ErrorKind::InvalidData.into());
        }
        Ok(())
    }

    /// Whether an attempt under this id may be sent here, where each connection carries up to `streams`.
    pub(super) fn accepts(&self, txn: &TransactionId, streams: usize) -> bool {
        !self.retired
            && !self.recent_ids.contains(txn)
            && self.open_attempts.len() < streams
            && !self.is_blocked()
    }

    /// Whether the rest of an answer to a cancelled attempt has still to come, with everything else behind it.
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

/// Ids that a connection carried recently, in two generations. Guards against an answer that comes twice, or late
/// for an attempt that was given up: it would be taken for that of the next attempt under the same id.
#[derive(Debug, Default)]
pub(super) struct RecentIds {
    new: HashSet<TransactionId>,
    old: HashSet<TransactionId>,
    rotated_at: Timestamp,
}

impl RecentIds {
    /// Whether the connection carried this id recently.
    pub(super) fn contains(&self, txn: &TransactionId) -> bool {
        self.new.contains(txn) || self.old.contains(txn)
    }

    /// Returns how many ids it carried recently.
    pub(super) fn len(&self) -> usize {
        self.new.len() + self.old.len()
    }

    /// Adds an id, and forgets those that are too old.
    pub(super) fn add(&mut self, now: Timestamp, txn: TransactionId) {
        if now > self.rotated_at + RECENT_ID_RETENTION {
            self.old = std::mem::take(&mut self.new);
            self.rotated_at = now;
        }
        self.new.insert(txn);
    }
}
