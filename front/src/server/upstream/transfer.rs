//! Reading from and writing to upstream connections, and their end.
use super::connection::Sent;
use super::{CacheNodes, Ends};
use crate::protocol::member;
use crate::routing::{End, Txn};
use cranesill::api::Timestamp;
use std::io;

/// Reads of one connection in one turn: a node that sends without end keeps neither timers nor the feed waiting.
const MAX_READS_PER_TURN: usize = 4;
/// Answers to nothing that is open that a connection may bring beyond two for each id that it carried: one late and one
/// twice. More of them end it, or they would come for ever.
const MAX_UNEXPECTED_ANSWERS: usize = 16;

impl CacheNodes {
    /// Goes on with a connection that can be read or written.
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
            self.withdraw_late(now, key, ends);
        }
        self.update_time_left(now, key);
        self.flush(now, key, ends);
        if let Some(e) = readable.then(|| self.read(now, key, ends).err()).flatten() {
            self.fail(key, &e.to_string(), ends);
        }
    }

    pub(super) fn read(&mut self, now: Timestamp, key: usize, ends: &mut Ends) -> io::Result<()> {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.connections.get_mut(&key) else {
                break;
            };
            match connection.stream.fill(&mut self.scratch)? {
                None => break,
                Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(_) => (connection.received_at, connection.silent_wait) = (now, 0),
            }
            loop {
                let found = member::decode(connection.stream.input());
                let Some((id, reply, used)) =
                    found.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
                else {
                    break;
                };
                // Guards against passing on what no member made: all that is served but a write names its copy.
                let known = std::str::from_utf8(id).ok().and_then(Txn::new);
                let read = known
                    .and_then(|txn| connection.open_attempts.get(&txn))
                    .is_some_and(|sent| !sent.is_write);
                if read && reply.nameless() {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                // An answer to what was given up, or to nothing that was asked, is dropped.
                if let Some(sent) = known.and_then(|txn| connection.open_attempts.remove(&txn)) {
                    self.by_attempt.remove(&sent.attempt);
                    ends.push((sent.attempt, End::Reply(reply)));
                    connection.idle_since = now;
                } else {
                    connection.unexpected_answers += 1;
                    if connection.unexpected_answers
                        > MAX_UNEXPECTED_ANSWERS + 2 * connection.recent_ids.len()
                    {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                }
                connection.stream.consume(used);
                connection.partial_since = None;
            }
            let begun = !connection.stream.input().is_empty();
            connection.partial_since = begun.then(|| connection.partial_since.unwrap_or(now));
            connection.stream.count(&mut self.buffered_bytes);
            // One read is made all the same: the end of a connection is told though it is not watched, and would
            // be told again and again.
            if self.paused {
                break;
            }
        }
        Ok(())
    }

    pub(super) fn flush(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
        let Some(connection) = self
            .connections
            .get_mut(&key)
            .filter(|connection| connection.established)
        else {
            return;
        };
        connection.idle_since = now;
        let (open, count) = (&mut connection.open_attempts, &mut self.attempts_written);
        let done = |tag: Option<Txn>| {
            *count += u64::from(tag.is_some());
            tag.and_then(|txn| open.get_mut(&txn))
                .into_iter()
                .for_each(Sent::set_written);
        };
        let flushed = connection
            .stream
            .flush(done)
            .and_then(|()| connection.stream.rewatch(!self.paused));
        connection.stream.count(&mut self.buffered_bytes);
        if let Err(e) = flushed {
            self.fail(key, &e.to_string(), ends);
        }
    }

    /// What was not begun to be written tells how much time is left now, not when it was put there.
    pub(super) fn update_time_left(&mut self, now: Timestamp, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let open = &connection.open_attempts;
        connection.stream.rewrite(|tag| {
            let fetch = open.get(tag.as_ref()?)?.fetch.as_ref()?;
            Some(member::fetch(fetch, now).head)
        });
    }

    /// A connection that is still not up has failed.
    pub fn fail_unestablished(&mut self, key: usize, ends: &mut Ends) {
        if self
            .connections
            .get(&key)
            .is_some_and(|connection| !connection.established)
        {
            self.fail(key, "not up in time", ends);
        }
    }

    /// Gives a connection up with all that is open on it.
    pub(super) fn fail(&mut self, key: usize, why: &str, ends: &mut Ends) {
        let Some(mut connection) = self.connections.remove(&key) else {
            return;
        };
        connection.stream.discount(&mut self.buffered_bytes);
        if !connection.open_attempts.is_empty() {
            let (member, attempts) = (
                member::name_of(connection.endpoint),
                connection.open_attempts.len(),
            );
            tracing::info!(
                member,
                up = connection.established,
                error = why,
                attempts,
                "connection lost"
            );
        }
        self.by_endpoint
            .get_mut(&connection.endpoint)
            .into_iter()
            .for_each(|keys| keys.retain(|k| *k != key));
        let mut open: Vec<_> = connection.open_attempts.into_values().collect();
        open.sort_unstable_by_key(|sent| sent.attempt);
        for (i, sent) in open.into_iter().enumerate() {
            self.by_attempt.remove(&sent.attempt);
            let along = i > 0;
            ends.push((
                sent.attempt,
                if sent.written {
                    End::Broken { along }
                } else {
                    End::Unsent { along }
                },
            ));
        }
    }
}
