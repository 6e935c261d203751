//! Attempts that are cancelled, or not written any more because something changed while they waited.
use super::{Ends, UpstreamConnections};
use crate::protocol::cache_node;
use crate::routing::{AttemptEnd, AttemptId};
use cranesill::api::{EndpointId, Micros, Timestamp};

/// A connection on which cancelled attempts waited for this long in all, and nothing was received, gets no further ones.
const MAX_SILENT_WAIT: Micros = 1_000_000;

impl UpstreamConnections {
    /// Cancels an attempt at its endpoint.
    pub fn abort(&mut self, now: Timestamp, attempt: AttemptId, ends: &mut Ends) {
        self.redials.remove(attempt);
        let Some((key, txn)) = self.by_attempt.remove(&attempt) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let sent = connection.open_attempts.remove(&txn);
        connection.idle_since = now;
        // A connection on which an answer never comes is of no further use, open as it may be. Where clients wait for less than
        // that takes to see, it takes more than one of them.
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
        // Guards the rule that no two attempts of a request are out: a cancellation that can't be written yet has no effect, the
        // end of the connection has.
        let connection = self.connections.get(&key);
        if connection.is_some_and(|connection| !connection.stream.flushed()) {
            self.fail(key, "blocked", ends);
        }
    }

    /// Withdraws an attempt of which nothing is written: what was decided a while ago may contradict what is known since.
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

    /// Withdraws attempts on a connection that is established only now, if their deadline for writing has passed. Guards
    /// against a late turn of the loop, in which the connection comes before the timers.
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

    /// Withdraws what waits to be written to an endpoint that drains, was removed or cordoned, and what names it as the source
    /// for a fill. Guards the rule on drains: a connection may be established later than new work is allowed there. The ends
    /// count against no endpoint.
    pub fn exclude(&mut self, endpoint: EndpointId, ends: &mut Ends) {
        let mut excluded = Vec::new();
        for connection in self.connections.values() {
            let is_target = connection.endpoint == endpoint;
            let attempts = connection.open_attempts.values();
            let concerned = attempts
                .filter(|sent| !sent.written && (is_target || sent.source == Some(endpoint)));
            excluded.extend(concerned.map(|sent| sent.attempt));
        }
        excluded.sort_unstable();
        for attempt in excluded {
            self.withdraw_unwritten(attempt, AttemptEnd::NoConnection, ends);
        }
        let waiting = self.redials.exclude(endpoint).into_iter();
        ends.extend(waiting.map(|attempt| (attempt, AttemptEnd::NoConnection)));
    }

    /// Takes an attempt back with this end, if nothing of it is written.
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
