//! Reading from, writing to and closing upstream connections.
use super::{Ends, UpstreamConnections};
use crate::protocol::cache_node::{self, DecodedReply};
use crate::routing::{AttemptEnd, TransactionId};
use cranesill::api::Timestamp;
use std::io;

/// Maximum number of reads of one connection in one turn of the event loop, so that an endpoint that sends continuously delays
/// neither timers nor discovery.
const MAX_READS_PER_TURN: usize = 4;

impl UpstreamConnections {
    /// Handles readiness of a connection.
    pub fn ready(&mut self, now: Timestamp, key: usize, readable: bool, ends: &mut Ends) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if !connection.established {
            match connection.stream.connected() {
                Ok(up) => connection.established = up,
                Err(e) => return self.fail(key, &e.to_string(), ends),
            }
            if !connection.established {
                return;
            }
            connection.received_at = now;
            self.withdraw_overdue(now, key, ends);
        }
        self.update_time_left(now, key);
        self.flush(now, key, ends);
        if let Some(e) = readable.then(|| self.read(now, key, ends).err()).flatten() {
            self.fail(key, &e.to_string(), ends);
        }
    }

    /// Reads until there is no more input, the limit per turn is reached, or reading is paused.
    pub(super) fn read(&mut self, now: Timestamp, key: usize, ends: &mut Ends) -> io::Result<()> {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.connections.get_mut(&key) else {
                break;
            };
            match connection.stream.read_input(&mut self.scratch)? {
                None => break,
                Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(_) => {
                    connection.received_at = now;
                    connection.silent_wait = 0;
                }
            }
            self.take_responses(now, key, ends)?;
            // One read is made even while reading is paused: the poller reports the end of a connection regardless of its registered
            // interest, and would report it again in each turn.
            if self.paused {
                break;
            }
        }
        Ok(())
    }

    /// Processes all complete responses of the input.
    fn take_responses(&mut self, now: Timestamp, key: usize, ends: &mut Ends) -> io::Result<()> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Ok(());
        };
        while let Some(DecodedReply { id, reply, length }) =
            cache_node::decode(connection.stream.input()).map_err(|error| malformed(error.0))?
        {
            let txn = std::str::from_utf8(id).ok().and_then(TransactionId::new);
            let open = txn.and_then(|txn| connection.open_attempts.get(&txn));
            // Every served response except that of a write identifies its copy. One that does not was not produced by a correct
            // endpoint and must not reach a client.
            if open.is_some_and(|sent| !sent.is_write) && reply.lacks_identity() {
                return Err(malformed(
                    "served reply without the tag or creation time of its copy",
                ));
            }
            let answered = txn.and_then(|txn| connection.open_attempts.remove(&txn));
            if let Some(sent) = answered {
                self.by_attempt.remove(&sent.attempt);
                ends.push((sent.attempt, AttemptEnd::Reply(reply)));
                connection.idle_since = now;
            } else {
                // The attempt was cancelled, or the id was never used: the response is discarded.
                connection.count_unexpected_response()?;
            }
            connection.stream.consume(length);
            connection.partial_since = None;
        }
        let is_partial = !connection.stream.input().is_empty();
        connection.partial_since = is_partial.then(|| connection.partial_since.unwrap_or(now));
        connection.stream.update_total(&mut self.buffered_bytes);
        Ok(())
    }

    /// Writes as much pending output as possible.
    pub(super) fn flush(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
        let Some(connection) = self
            .connections
            .get_mut(&key)
            .filter(|connection| connection.established)
        else {
            return;
        };
        connection.idle_since = now;
        let open_attempts = &mut connection.open_attempts;
        let attempts_written = &mut self.attempts_written;
        let on_written = |tag: Option<TransactionId>| {
            *attempts_written += u64::from(tag.is_some());
            if let Some(sent) = tag.and_then(|txn| open_attempts.get_mut(&txn)) {
                sent.set_written();
            }
        };
        let flushed = connection
            .stream
            .flush(on_written)
            .and_then(|()| connection.stream.rewatch(!self.paused));
        connection.stream.update_total(&mut self.buffered_bytes);
        if let Err(e) = flushed {
            self.fail(key, &e.to_string(), ends);
        }
    }

    /// Updates the remaining time in requests of which nothing is written yet: it counts from when they are written.
    pub(super) fn update_time_left(&mut self, now: Timestamp, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let open = &connection.open_attempts;
        connection.stream.rewrite_heads(|tag| {
            let fetch = open.get(tag.as_ref()?)?.fetch.as_ref()?;
            Some(cache_node::fetch(fetch, now).head)
        });
    }

    /// Closes a connection that is not established when its connect timeout expires.
    pub fn fail_unestablished(&mut self, key: usize, ends: &mut Ends) {
        if self
            .connections
            .get(&key)
            .is_some_and(|connection| !connection.established)
        {
            self.fail(key, "connect timeout", ends);
        }
    }

    /// Closes a connection and ends its open attempts. The first of them reports the failure, the others are marked as duplicates.
    pub(super) fn fail(&mut self, key: usize, error: &str, ends: &mut Ends) {
        let Some(mut connection) = self.connections.remove(&key) else {
            return;
        };
        connection
            .stream
            .remove_from_total(&mut self.buffered_bytes);
        let attempts = connection.open_attempts.len();
        if attempts > 0 {
            let member = cache_node::endpoint_name(connection.endpoint);
            let up = connection.established;
            tracing::info!(member, up, error, attempts, "connection lost");
        }
        if let Some(keys) = self.by_endpoint.get_mut(&connection.endpoint) {
            keys.retain(|other| *other != key);
        }
        let mut open: Vec<_> = connection.open_attempts.into_values().collect();
        open.sort_unstable_by_key(|sent| sent.attempt);
        for (n, sent) in open.into_iter().enumerate() {
            self.by_attempt.remove(&sent.attempt);
            let duplicate_failure = n > 0;
            let end = if sent.written {
                AttemptEnd::Broken { duplicate_failure }
            } else {
                AttemptEnd::Unsent { duplicate_failure }
            };
            ends.push((sent.attempt, end));
        }
    }
}

fn malformed(cause: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, cause)
}
