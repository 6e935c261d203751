//! Discovery: the connection to the list service, which sends watch events of the endpoint list.
use crate::protocol::discovery::{decode, hello, WatchEvent};
use crate::transport::{dial, Outgoing, Reactor, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_startup::{CallEnd, CallSchedule};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout for a complete frame. The service sends at least an empty one per second.
const MAX_SILENCE: Micros = 2_500_000;
/// A service that reports an older revision than the known one for this time has restarted its numbering; one that only lags
/// behind catches up sooner.
const MAX_REVISION_LAG: Micros = 3_000_000;
/// Size of the read buffer.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Maximum number of reads in one turn of the event loop, so that a stream of events does not delay timers and clients.
const MAX_READS_PER_TURN: usize = 8;

/// A period in which the list service is not reachable.
#[derive(Clone, Copy, Debug)]
struct Outage {
    since: Timestamp,
    /// Whether the outage has been logged. A single lost connection is not logged.
    logged: bool,
}

/// The client of the list service.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    /// The known revision of the endpoint list.
    revision: u64,
    /// The read buffer.
    scratch: Vec<u8>,
    /// The poller key and the stream of the current connection.
    stream: Option<(usize, Stream<()>)>,
    /// Whether the connection is established.
    established: bool,
    /// Schedules calls so that the fronts of a fleet do not overload the service.
    calls: CallSchedule,
    /// The current outage, if any.
    outage: Option<Outage>,
    /// When the service started to report an older revision than the known one; `None` while it does not.
    behind_since: Option<Timestamp>,
    /// When the current connection times out or, without one, when the next connection is started.
    pub deadline: Timestamp,
    /// The number of calls started since the start of the process, whether or not a connection was established.
    pub calls_started: u64,
}

impl Discovery {
    /// Creates a client without a connection; the first one is started at `deadline`.
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
            calls_started: 0,
            behind_since: None,
        }
    }

    /// Returns the start of the current outage; `None` while the service is reachable.
    pub fn unreachable_since(&self) -> Option<Timestamp> {
        self.outage.map(|outage| outage.since)
    }

    /// Returns the known revision of the endpoint list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the connection is established and a frame was received on it.
    pub fn is_connected(&self) -> bool {
        self.established && self.outage.is_none() && self.calls.has_received()
    }

    /// Whether `key` is the poller key of the connection.
    pub fn has_connection(&self, key: usize) -> bool {
        self.stream.as_ref().is_some_and(|s| s.0 == key)
    }

    /// Skips the events up to this revision, after a list of that revision was adopted from peers.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Moves to another address of the list service: closes the connection to the current one and connects immediately, from the
    /// known revision. Returns whether the address has changed.
    ///
    /// With the same address nothing changes, whatever the state of the connection. Events may be in flight on an open connection.
    /// One that is being established or has become silent still ends at its deadline. Without a connection the next call stays on
    /// its schedule, since a whole fleet may reload during an outage.
    pub fn move_to(&mut self, now: Timestamp, address: SocketAddr) -> bool {
        if address == self.address {
            return false;
        }
        self.address = address;
        self.stream = None;
        self.deadline = now;
        true
    }

    /// Handles the deadline: closes a connection that timed out, and starts the next one when it is due.
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
        self.calls_started += 1;
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

    /// Handles readiness of the connection. Returns new watch events.
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

    /// Records that the connection has ended or could not be established, and schedules the next one.
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
            tracing::warn!(kind = "list", ?end, again_ms, at = %self.address, "the list service is not reachable: the last known endpoint list stays in use");
        }
    }

    /// Sends the initial request once the connection is established. Returns whether it is established.
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

    /// Reads watch events until there are no more or the limit per turn is reached.
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
                // Events may be repeated after a reconnect.
                if let Some(event) = event.filter(|_| revision > self.revision) {
                    self.revision = revision;
                    events.push(event);
                }
            }
        }
        Ok(())
    }

    /// Removes a complete frame from the input. Returns its revision and, unless the frame is empty, its event.
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

    /// Records that the service is alive. Only complete frames count, because a service may stop in the middle of a frame.
    fn record_frame(&mut self, now: Timestamp) {
        self.deadline = now + MAX_SILENCE;
        self.calls.record_message(now);
        let outage = self.outage.take();
        if let Some(outage) = outage.filter(|outage| outage.logged) {
            let lost_ms = now.saturating_sub(outage.since) / 1_000;
            tracing::info!(
                kind = "list",
                lost_ms,
                "the list service is reachable again"
            );
        }
    }

    /// Fails if the service has reported an older revision for so long that it must have restarted its numbering. The next
    /// connection then requests the complete list.
    fn check_revision(&mut self, now: Timestamp, revision: u64, has_event: bool) -> io::Result<()> {
        let is_behind = revision < self.revision && !has_event && self.calls.has_budget();
        self.behind_since = is_behind.then(|| self.behind_since.unwrap_or(now));
        let behind_since = self.behind_since;
        if behind_since.is_none_or(|since| now < since + MAX_REVISION_LAG) {
            return Ok(());
        }
        tracing::warn!(
            kind = "list",
            number = revision,
            held = self.revision,
            "the list service restarted its revision numbers: reconnecting for the complete list"
        );
        self.revision = 0;
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

#[cfg(test)]
mod tests;
