//! Discovery: the connection to the list service, which sends watch events of the endpoint list.
use crate::protocol::discovery::{decode, hello, WatchEvent};
use crate::transport::{dial, Outgoing, Reactor, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_startup::{CallEnd, CallSchedule};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// The service sends an empty frame each second: without a complete one for this long the connection is dead.
const MAX_SILENCE: Micros = 2_500_000;
/// A service whose revision is older than the one known here for this long has begun to count anew; one that is only behind
/// catches up by then.
const MAX_REVISION_LAG: Micros = 3_000_000;
/// Bytes that one read takes at most.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Reads in one turn: a service that sends without end keeps neither timers nor clients waiting.
const MAX_READS_PER_TURN: usize = 8;

/// A time in which the list service cannot be reached.
#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Timestamp,
    /// Whether it was logged: a single lost connection is nothing to wake anybody for.
    logged: bool,
}

/// Follows the endpoint list from the revision that is known.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    /// The revision of the endpoint list that is known here.
    revision: u64,
    /// Where reads go first.
    scratch: Vec<u8>,
    /// The connection, if there is one, and its poller key.
    stream: Option<(usize, Stream<()>)>,
    /// Whether the connection is established.
    established: bool,
    /// Decides when to connect: all fronts share one service.
    calls: CallSchedule,
    /// Set while the service cannot be reached.
    outage: Option<Outage>,
    /// Since when the service reports an older revision than the one known here.
    behind_since: Option<Timestamp>,
    /// When the connection is given up if nothing is received, or tried again.
    pub deadline: Timestamp,
    /// How often a connection was begun.
    pub connections_begun: u64,
}

impl Discovery {
    /// Begins without a connection; the first is due at the deadline.
    pub fn new(
        now: Timestamp,
        address: SocketAddr,
        revision: u64,
        mut calls: CallSchedule,
        has_peers: bool,
    ) -> Self {
        let deadline = calls.first_call(now, has_peers);
        Discovery {
            address,
            revision,
            scratch: vec![0; MAX_READ_BYTES],
            stream: None,
            established: false,
            calls,
            outage: None,
            deadline,
            connections_begun: 0,
            behind_since: None,
        }
    }

    /// Returns since when the service cannot be reached; `None` while it can.
    pub fn unreachable_since(&self) -> Option<Timestamp> {
        self.outage.map(|outage| outage.since)
    }

    /// Returns the revision of the endpoint list that is known here.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the service is connected and has sent something on this connection.
    pub fn is_connected(&self) -> bool {
        self.established && self.outage.is_none() && self.calls.has_received()
    }

    /// Whether this is the poller key of the connection.
    pub fn has_connection(&self, key: usize) -> bool {
        self.stream.as_ref().is_some_and(|s| s.0 == key)
    }

    /// Skips the events up to this revision: a list of peers stands for them.
    pub fn advance_to(&mut self, number: u64) {
        self.revision = self.revision.max(number);
    }

    /// Connects to this address from now on, at once, and asks for what is newer than the known revision. Returns whether the
    /// address has changed.
    pub fn reconnect_to(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        self.stream = None;
        self.deadline = now;
        std::mem::replace(&mut self.address, address) != address
    }

    /// Handles the deadline: connects, or gives up a connection that was silent for too long and connects again later.
    pub fn poll(&mut self, now: Timestamp, reactor: &Reactor, key: usize) {
        if self.stream.is_some() {
            self.end_connection(
                now,
                if self.established {
                    CallEnd::Silent
                } else {
                    CallEnd::Unanswered
                },
            );
            if self.deadline > now {
                return;
            }
        }
        self.deadline = self.calls.start_call(now);
        self.connections_begun += 1;
        self.behind_since = None;
        match dial(self.address).and_then(|s| Stream::new(reactor, s, key, true)) {
            Ok(stream) => {
                self.stream = Some((key, stream));
                self.established = false;
            }
            Err(_) => return self.end_connection(now, CallEnd::Refused),
        }
        let head = hello(self.revision).to_vec();
        if let Some((_, stream)) = &mut self.stream {
            stream.push(Outgoing {
                tag: (),
                head,
                body: Rc::default(),
                tail: b"",
            });
        }
    }

    /// Handles a connection that can be read or written. Returns new watch events.
    pub fn ready(&mut self, now: Timestamp) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        if let Err(e) = self.read(now, &mut events) {
            self.end_connection(
                now,
                match e.kind() {
                    io::ErrorKind::ConnectionRefused => CallEnd::Refused,
                    io::ErrorKind::InvalidData => CallEnd::Malformed,
                    _ => CallEnd::Closed,
                },
            );
        }
        events
    }

    /// Notes that a connection has ended, or could not be established.
    fn end_connection(&mut self, now: Timestamp, end: CallEnd) {
        self.stream = None;
        self.deadline = self.calls.end_call(now, end);
        let outage = self.outage.get_or_insert(Outage {
            since: now,
            logged: false,
        });
        if !outage.logged && self.calls.is_failing() {
            outage.logged = true;
            let again_ms = (self.deadline - now) / 1_000;
            tracing::warn!(kind = "list", ?end, again_ms, at = %self.address, "the list service fails: what is known stands");
        }
    }

    /// Writes the request once the connection is established. Returns whether it is.
    fn establish(&mut self, now: Timestamp) -> io::Result<bool> {
        let Some((_, stream)) = &mut self.stream else {
            return Ok(false);
        };
        if !stream.connected()? {
            return Ok(false);
        }
        self.established = true;
        if !stream.flushed() {
            stream.flush(|()| {})?;
            stream.rewatch(true)?;
            self.deadline = now + MAX_SILENCE;
        }
        Ok(true)
    }

    /// Reads watch events until there are none or it is the others' turn.
    fn read(&mut self, now: Timestamp, events: &mut Vec<WatchEvent>) -> io::Result<()> {
        if !self.establish(now)? {
            return Ok(());
        }
        for _ in 0..MAX_READS_PER_TURN {
            let Some((_, stream)) = &mut self.stream else {
                break;
            };
            match stream.read_input(&mut self.scratch)? {
                None => break,
                Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(_) => {}
            }
            while let Some((revision, event)) = self.take_frame()? {
                self.record_frame(now);
                self.check_revision(now, revision, event.is_some())?;
                // After a reconnect events may come again.
                if let Some(event) = event.filter(|_| revision > self.revision) {
                    self.revision = revision;
                    events.push(event);
                }
            }
        }
        Ok(())
    }

    /// Takes a complete frame off the input: a revision and, unless there is nothing new, the event that leads to it.
    fn take_frame(&mut self) -> io::Result<Option<(u64, Option<WatchEvent>)>> {
        let Some((_, stream)) = &mut self.stream else {
            return Ok(None);
        };
        let malformed = |_| io::Error::from(io::ErrorKind::InvalidData);
        let Some(frame) = decode(stream.input()).map_err(malformed)? else {
            return Ok(None);
        };
        stream.consume(frame.length);
        Ok(Some((frame.revision, frame.event)))
    }

    /// Notes that the service is there. Only a complete frame shows it: a service may stop in the middle of one.
    fn record_frame(&mut self, now: Timestamp) {
        self.deadline = now + MAX_SILENCE;
        self.calls.record_message(now);
        let outage = self.outage.take();
        if let Some(outage) = outage.filter(|outage| outage.logged) {
            let lost_ms = now.saturating_sub(outage.since) / 1_000;
            tracing::info!(kind = "list", lost_ms, "the list service is heard again");
        }
    }

    /// Fails if the service has been behind the revision that is known here for so long that it must have begun to count anew.
    /// The next connection asks for the complete list then.
    fn check_revision(&mut self, now: Timestamp, number: u64, has_event: bool) -> io::Result<()> {
        let is_behind = number < self.revision && !has_event && self.calls.has_budget();
        self.behind_since = is_behind.then(|| self.behind_since.unwrap_or(now));
        let behind_since = self.behind_since;
        if behind_since.is_none_or(|since| now < since + MAX_REVISION_LAG) {
            return Ok(());
        }
        tracing::warn!(
            kind = "list",
            number,
            held = self.revision,
            "the list service counts anew: all is asked for"
        );
        self.revision = 0;
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

#[cfg(test)]
mod tests;
