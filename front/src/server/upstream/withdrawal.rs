//! Cancellation of attempts, and withdrawal of attempts that are not written yet.
use super::{Ends, UpstreamConnections};
use crate::protocol::cache_node;
use crate::routing::{AttemptEnd, AttemptId};
use cranesill::api::{EndpointId, Micros, Timestamp};

/// Open attempts that concerned an endpoint when it was excluded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExcludedAttempts {
    /// Attempts that the endpoint may have received; they stay open.
    pub in_flight: usize,
    /// Attempts that were withdrawn before any of them was written.
    pub withdrawn: usize,
}

impl std::ops::AddAssign for ExcludedAttempts {
    fn add_assign(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.withdrawn += other.withdrawn;
    }
}

/// A connection is retired when cancelled attempts have waited for this time in total without any data received.
const MAX_SILENT_WAIT: Micros = 1_000_000;

impl UpstreamConnections {
    /// Cancels an attempt; an endpoint that may have received it is notified.
    pub fn cancel(&mut self, now: Timestamp, attempt: AttemptId, ends: &mut Ends) {
        self.redials.remove(attempt);
        let Some((key, txn)) = self.by_attempt.remove(&attempt) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let sent = connection.open_attempts.remove(&txn);
        connection.idle_since = now;
        // Detects connections that are open but never respond. The waits are added up because a single client may wait for less
        // than the limit.
        let silent_wait = sent
            .filter(|sent| connection.received_at <= sent.sent_at)
            .map(|sent| now.saturating_sub(sent.sent_at));
        connection.silent_wait += silent_wait.unwrap_or(0);
        connection.retired |= connection.silent_wait > MAX_SILENT_WAIT;
        if connection.stream.remove_unsent(|tag| *tag == Some(txn)) {
            return;
        }
        connection.stream.push(cache_node::abort(txn));
        self.flush(now, key, ends);
        // At most one attempt of a request may be outstanding. A cancellation that cannot be written yet has no effect, but closing
        // the connection has.
        let connection = self.connections.get(&key);
        if connection.is_some_and(|connection| !connection.stream.flushed()) {
            self.fail(key, "blocked", ends);
        }
    }

    /// Withdraws an attempt if none of it is written by its write deadline, since the decision to send it may be outdated.
    pub fn withdraw(&mut self, attempt: AttemptId, ends: &mut Ends) {
        if self.redials.remove(attempt) {
            return ends.push((attempt, AttemptEnd::NoConnection));
        }
        self.withdraw_unwritten(
            attempt,
            AttemptEnd::Unsent {
                duplicate_failure: false,
            },
            ends,
        );
    }

    /// Withdraws attempts on a newly established connection whose write deadline has passed. In a delayed turn of the event loop the
    /// connection is handled before the timers of these deadlines.
    pub(super) fn withdraw_overdue(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
        let Some(connection) = self.connections.get(&key) else {
            return;
        };
        let mut late: Vec<_> = connection
            .open_attempts
            .values()
            .filter(|s| s.write_deadline < now)
            .map(|s| s.attempt)
            .collect();
        late.sort_unstable();
        for attempt in late {
            self.withdraw_unwritten(attempt, AttemptEnd::NoConnection, ends);
        }
    }

    /// Withdraws unwritten attempts for an endpoint that is draining, removed or cordoned, and those that name it as the source for
    /// a fill. Their connections may be established after the endpoint stops accepting new work. The results count against no
    /// endpoint.
    pub fn exclude(&mut self, endpoint: EndpointId, ends: &mut Ends) -> ExcludedAttempts {
        let ends_before = ends.len();
        let mut concerned = 0;
        let mut unwritten = Vec::new();
        for connection in self.connections.values() {
            let is_target = connection.endpoint == endpoint;
            let attempts = connection.open_attempts.values();
            for sent in attempts.filter(|sent| is_target || sent.source == Some(endpoint)) {
                concerned += 1;
                if !sent.written {
                    unwritten.push(sent.attempt);
                }
            }
        }
        unwritten.sort_unstable();
        for attempt in unwritten {
            self.withdraw_unwritten(attempt, AttemptEnd::NoConnection, ends);
        }
        let in_flight = concerned - (ends.len() - ends_before);
        let waiting = self.redials.exclude(endpoint).into_iter();
        ends.extend(waiting.map(|attempt| (attempt, AttemptEnd::NoConnection)));
        ExcludedAttempts {
            in_flight,
            withdrawn: ends.len() - ends_before,
        }
    }

    /// Withdraws unwritten attempts on connections to an endpoint, which may be made to a process that is not the endpoint any more.
    /// The results count against no endpoint.
    pub(super) fn withdraw_from(&mut self, endpoint: EndpointId, ends: &mut Ends) {
        let connections = self.connections.values();
        let to_endpoint = connections.filter(|connection| connection.endpoint == endpoint);
        let attempts = to_endpoint.flat_map(|connection| connection.open_attempts.values());
        let unwritten = attempts.filter(|sent| !sent.written);
        let mut unwritten: Vec<_> = unwritten.map(|sent| sent.attempt).collect();
        unwritten.sort_unstable();
        for attempt in unwritten {
            self.withdraw_unwritten(attempt, AttemptEnd::NoConnection, ends);
        }
    }

    /// Withdraws an attempt with this result if none of it is written.
    pub(super) fn withdraw_unwritten(
        &mut self,
        attempt: AttemptId,
        end: AttemptEnd,
        ends: &mut Ends,
    ) {
        let Some((key, txn)) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if connection.stream.remove_unsent(|tag| *tag == Some(txn)) {
            connection.open_attempts.remove(&txn);
            self.by_attempt.remove(&attempt);
            ends.push((attempt, end));
        }
    }
}
