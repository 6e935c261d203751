//! Attempts that are cancelled, or not written any more because something changed while they waited.
use super::connection::{Connection, Sent};
use super::{CacheNodes, Ends};
use crate::protocol::member;
use crate::routing::{AttemptId, End};
use cranesill::api::{EndpointId, Micros, Timestamp};

/// A connection on which attempts that were given up waited for this long in all, and nothing came, gets no other.
const MAX_SILENT_WAIT: Micros = 1_000_000;

impl CacheNodes {
    /// Gives an attempt up at its member.
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
        // An answer that never comes leaves a connection that is of no further use, open as it may be. Where clients wait for
        // less than that, it takes more than one of them to tell.
        let vain = sent
            .filter(|sent| connection.received_at <= sent.sent_at)
            .map(|sent| now.saturating_sub(sent.sent_at));
        connection.silent_wait += vain.unwrap_or(0);
        connection.retired |= connection.silent_wait > MAX_SILENT_WAIT;
        if connection.stream.take_back(|tag| *tag == Some(txn)) {
            return;
        }
        connection.stream.push(member::abort(txn));
        self.flush(now, key, ends);
        // Guards the rule that no two attempts of a request are out: a command that can't be written yet
        // gives nothing up, the end of the connection does.
        if self
            .connections
            .get(&key)
            .is_some_and(|connection| !connection.stream.flushed())
        {
            self.fail(key, "blocked", ends);
        }
    }

    /// An attempt that is not begun to be written yet will not be: what was decided a while ago may be
    /// against what is known since.
    pub fn withdraw(&mut self, attempt: AttemptId, ends: &mut Ends) {
        if self.redials.remove(attempt) {
            return ends.push((attempt, End::Unplaced));
        }
        self.withdraw_unwritten(attempt, End::Unsent { along: false }, ends);
    }

    /// A connection has come up: what had to be written before now is not written any more. Guards against a turn that comes
    /// late, in which the connection is told of before the moments that have passed.
    pub(super) fn withdraw_late(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
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
        late.into_iter()
            .for_each(|attempt| self.withdraw_unwritten(attempt, End::Unplaced, ends));
    }

    /// A member drains, is gone or was taken out: what was decided before and waits for its connection goes neither to it
    /// nor, by way of another, to it as a source. Guards the rule on drains: a connection may come up later than new work
    /// is allowed there. It says nothing of any member.
    pub fn exclude(&mut self, out: EndpointId, ends: &mut Ends) {
        let meant = |connection: &Connection, sent: &Sent| {
            !sent.written && (connection.endpoint == out || sent.source == Some(out))
        };
        let open = self.connections.values().flat_map(|connection| {
            connection
                .open_attempts
                .values()
                .map(move |sent| (connection, sent))
        });
        let mut meant: Vec<_> = open
            .filter(|(connection, sent)| meant(connection, sent))
            .map(|(_, sent)| sent.attempt)
            .collect();
        meant.sort_unstable();
        meant
            .into_iter()
            .for_each(|attempt| self.withdraw_unwritten(attempt, End::Unplaced, ends));
        ends.extend(
            self.redials
                .leave_out(out)
                .into_iter()
                .map(|attempt| (attempt, End::Unplaced)),
        );
    }

    pub(super) fn withdraw_unwritten(&mut self, attempt: AttemptId, end: End, ends: &mut Ends) {
        let Some((key, txn)) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if connection.stream.take_back(|tag| *tag == Some(txn)) {
            connection.open_attempts.remove(&txn);
            self.by_attempt.remove(&attempt);
            ends.push((attempt, end));
        }
    }
}
