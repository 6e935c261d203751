//! One connection to an endpoint, with the attempts on it and the ids that it carried.
use crate::protocol::member;
use crate::routing::{AttemptId, Fetch, Txn};
use crate::transport::Stream;
use cranesill::api::{EndpointId, Micros, Timestamp};
use std::collections::{HashMap, HashSet};

/// For how long, or up to twice that, a connection remembers an id that it carried: answers to it may still come.
const RECENT_ID_TIME: Micros = 10_000_000;

/// An attempt on a connection.
#[derive(Debug)]
pub(super) struct Sent {
    pub(super) attempt: AttemptId,
    pub(super) sent_at: Timestamp,
    pub(super) is_write: bool,
    /// Whom it names to fill a miss.
    pub(super) source: Option<EndpointId>,
    /// All of it.
    pub(super) written: bool,
    /// It is not begun to be written later than this.
    pub(super) write_deadline: Timestamp,
    /// What is asked, until it is written: the time that is left is told as of the moment of writing.
    pub(super) fetch: Option<Box<Fetch>>,
}

impl Sent {
    /// All of it is written: what was asked need not be kept.
    pub(super) fn set_written(&mut self) {
        self.written = true;
        self.fetch = None;
    }
}

#[derive(Debug)]
pub(super) struct Connection {
    pub(super) stream: Stream<Option<Txn>>,
    pub(super) endpoint: EndpointId,
    pub(super) established: bool,
    /// Nothing new goes here.
    pub(super) retired: bool,
    pub(super) open_attempts: HashMap<Txn, Sent>,
    pub(super) recent_ids: RecentIds,
    pub(super) idle_since: Timestamp,
    /// When something came here last.
    pub(super) received_at: Timestamp,
    /// Since when part of an answer is here that is not whole yet.
    pub(super) partial_since: Option<Timestamp>,
    /// For how long attempts waited here that were given up, since something came.
    pub(super) silent_wait: Micros,
    /// Answers that came here to nothing that was open.
    pub(super) unexpected_answers: usize,
}

impl Connection {
    pub(super) fn new(now: Timestamp, endpoint: EndpointId, stream: Stream<Option<Txn>>) -> Self {
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
            unexpected_answers: 0,
        }
    }

    pub(super) fn accepts(&self, txn: &Txn, streams: usize) -> bool {
        !self.retired
            && !self.recent_ids.has(txn)
            && self.open_attempts.len() < streams
            && !self.is_blocked()
    }

    /// Whether the rest of an answer that nobody waits for has still to come, and everything else behind it.
    pub(super) fn is_blocked(&self) -> bool {
        let input = self.stream.input();
        let whose =
            || member::begun_id(input).and_then(|id| Txn::new(std::str::from_utf8(id).ok()?));
        !input.is_empty()
            && (self.open_attempts.is_empty()
                || whose().is_some_and(|txn| !self.open_attempts.contains_key(&txn)))
    }
}

/// Ids that a connection carried lately, in two generations. Guards against an answer that comes twice, or late
/// for an attempt that was given up: it would be taken for that of the next attempt under the same id.
#[derive(Debug, Default)]
pub(super) struct RecentIds {
    new: HashSet<Txn>,
    old: HashSet<Txn>,
    since: Timestamp,
}

impl RecentIds {
    pub(super) fn has(&self, txn: &Txn) -> bool {
        self.new.contains(txn) || self.old.contains(txn)
    }

    pub(super) fn len(&self) -> usize {
        self.new.len() + self.old.len()
    }

    pub(super) fn add(&mut self, now: Timestamp, txn: Txn) {
        if now > self.since + RECENT_ID_TIME {
            (self.old, self.since) = (std::mem::take(&mut self.new), now);
        }
        self.new.insert(txn);
    }
}
