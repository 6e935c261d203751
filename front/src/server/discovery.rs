//! The connection to the control feed.
use crate::protocol::feed::{decode, hello, News};
use crate::transport::{dial, Outgoing, Reactor, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_startup::{CallEnd, CallSchedule};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// An empty frame comes each second: no whole one for longer means that the connection is dead.
const SILENCE_MOST: Micros = 2_500_000;
/// A service that says for so long that its last event is before the one held here has begun to count anew; one that is only
/// behind comes up to it by then.
const BEHIND_MOST: Micros = 3_000_000;
/// Bytes that one read takes at most.
const READ_MOST: usize = 16 * 1024;
/// Reads in one turn: a service that tells without end keeps neither timers nor clients waiting.
const READS_MOST: usize = 8;

/// Follows the feed from the last event that is known.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    last: u64,
    scratch: Vec<u8>,
    stream: Option<(usize, Stream<()>)>,
    /// It is connected.
    up: bool,
    /// When it calls: the service is one for all fronts.
    calls: CallSchedule,
    /// Since when nothing is heard of the service, and whether that was told.
    lost: Option<(Timestamp, bool)>,
    /// Since when this connection says that its last event is before the one held here.
    behind: Option<Timestamp>,
    /// When it is given up if nothing more is heard, or tried again.
    pub due: Timestamp,
    /// CallSchedule that were made.
    pub called: u64,
}

impl Discovery {
    /// Is not connected yet: that is due soon.
    pub fn new(
        now: Timestamp,
        address: SocketAddr,
        last: u64,
        mut calls: CallSchedule,
        others: bool,
    ) -> Self {
        let (scratch, due) = (vec![0; READ_MOST], calls.first_call(now, others));
        Discovery {
            address,
            last,
            scratch,
            stream: None,
            up: false,
            calls,
            lost: None,
            due,
            called: 0,
            behind: None,
        }
    }

    /// Since when the service was not heard of, if it is not now; and the last event that is held.
    pub fn stands(&self) -> (Option<Timestamp>, u64) {
        (self.lost.map(|lost| lost.0), self.last)
    }

    /// Whether the service is heard now: it has said something on this connection.
    pub fn heard(&self) -> bool {
        self.up && self.lost.is_none() && self.calls.has_received()
    }

    /// Whether this is the connection to the feed.
    pub fn is(&self, key: usize) -> bool {
        self.stream.as_ref().is_some_and(|s| s.0 == key)
    }

    /// What others told stands for all events up to this one.
    pub fn skip_to(&mut self, number: u64) {
        self.last = self.last.max(number);
    }

    /// The feed is elsewhere from now on: what comes after the last event held is asked for there at once. Whether it was at
    /// another address before.
    pub fn move_to(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        (self.stream, self.due) = (None, now);
        std::mem::replace(&mut self.address, address) != address
    }

    /// What is due: to connect, or to give up what has been silent for too long and call again later.
    pub fn go(&mut self, now: Timestamp, reactor: &Reactor, key: usize) {
        if self.stream.is_some() {
            self.end(
                now,
                if self.up {
                    CallEnd::Silent
                } else {
                    CallEnd::Unanswered
                },
            );
            if self.due > now {
                return;
            }
        }
        self.due = self.calls.start_call(now);
        self.called += 1;
        self.behind = None;
        match dial(self.address).and_then(|s| Stream::new(reactor, s, key, true)) {
            Ok(stream) => (self.stream, self.up) = (Some((key, stream)), false),
            Err(_) => return self.end(now, CallEnd::Refused),
        }
        let head = hello(self.last).to_vec();
        if let Some((_, stream)) = &mut self.stream {
            stream.push(Outgoing {
                tag: (),
                head,
                body: Rc::default(),
                tail: b"",
            });
        }
    }

    /// Goes on with the connection; what is new.
    pub fn ready(&mut self, now: Timestamp) -> Vec<News> {
        let mut news = Vec::new();
        if let Err(e) = self.go_on(now, &mut news) {
            self.end(
                now,
                match e.kind() {
                    io::ErrorKind::ConnectionRefused => CallEnd::Refused,
                    io::ErrorKind::InvalidData => CallEnd::Malformed,
                    _ => CallEnd::Closed,
                },
            );
        }
        news
    }

    /// A call, or the connection that came of it, has ended.
    fn end(&mut self, now: Timestamp, end: CallEnd) {
        self.stream = None;
        self.due = self.calls.end_call(now, end);
        let (since, told) = self.lost.unwrap_or((now, false));
        // One break is nothing to wake anybody for.
        let tell = !told && self.calls.is_failing();
        if tell {
            let again_ms = (self.due - now) / 1_000;
            tracing::warn!(kind = "list", ?end, again_ms, at = %self.address, "the list service fails: what is known stands");
        }
        self.lost = Some((since, told || tell));
    }

    fn go_on(&mut self, now: Timestamp, news: &mut Vec<News>) -> io::Result<()> {
        let Some((_, stream)) = &mut self.stream else {
            return Ok(());
        };
        if !stream.connected()? {
            return Ok(());
        }
        self.up = true;
        if !stream.flushed() {
            stream.flush(|()| {})?;
            stream.rewatch(true)?;
            self.due = now + SILENCE_MOST;
        }
        for _ in 0..READS_MOST {
            let Some(n) = stream.fill(&mut self.scratch)? else {
                break;
            };
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
            while let Some((number, event, used)) = decode(stream.input()).map_err(bad)? {
                stream.consume(used);
                // Only a whole frame is a sign of life: a feed may stop in the middle of one.
                self.due = now + SILENCE_MOST;
                self.calls.record_message(now);
                if let Some((since, true)) = self.lost.take() {
                    let lost_ms = now.saturating_sub(since) / 1_000;
                    tracing::info!(kind = "list", lost_ms, "the list service is heard again");
                }
                let behind = number < self.last && event.is_none() && self.calls.has_budget();
                self.behind = behind.then(|| self.behind.unwrap_or(now));
                if self.behind.is_some_and(|since| now >= since + BEHIND_MOST) {
                    tracing::warn!(
                        kind = "list",
                        number,
                        held = self.last,
                        "the list service counts anew: all is asked for"
                    );
                    self.last = 0;
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                // After a new connection events may come again.
                if let Some(event) = event.filter(|_| number > self.last) {
                    self.last = number;
                    news.push(event);
                }
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
