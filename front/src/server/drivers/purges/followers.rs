//! The writer's end of the purge log: it serves the log to the fronts that follow.
use super::outgoing;
use super::start::StartError;
use crate::protocol::follow::{decode_hello, frame, Frame, Hello, HELLO_BYTES};
use crate::server::drivers::Turn;
use crate::transport::{at_start, listen, Registered, RestingListener, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::{Purge, PurgeNumber};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Most followers at once; further ones are closed.
pub const MAX_FOLLOWERS: usize = 32;
/// A follower that does not introduce itself, or takes nothing, for this long is closed.
const SILENCE_TIMEOUT: Micros = 5_000_000;
/// An empty batch is sent as a heartbeat after this long without another.
const HEARTBEAT_INTERVAL: Micros = 500_000;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Length of a confirmation.
const CONFIRMATION_BYTES: usize = 8;

#[derive(Debug)]
struct Follower {
    stream: Stream<()>,
    /// The number up to which it has stored the log; `None` until it has introduced itself.
    stored: Option<PurgeNumber>,
    /// The last number of the batch that it has not confirmed.
    in_flight: Option<PurgeNumber>,
    last_progress_at: Timestamp,
    heartbeat_at: Timestamp,
}

impl Follower {
    fn new(now: Timestamp, stream: Stream<()>) -> Self {
        Follower {
            stream,
            stored: None,
            in_flight: None,
            last_progress_at: now,
            heartbeat_at: now,
        }
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        let waiting = self.stored.is_none() || self.in_flight.is_some() || !self.stream.flushed();
        waiting && now > self.last_progress_at + SILENCE_TIMEOUT
    }

    /// The number after which it is sent the next batch; `None` while it cannot be sent one.
    fn ready_after(&self) -> Option<PurgeNumber> {
        self.stored
            .filter(|_| self.in_flight.is_none() && self.stream.flushed())
    }

    fn next_due(&self) -> Timestamp {
        match (self.stored, self.in_flight) {
            (Some(_), None) => self.heartbeat_at,
            _ => self.last_progress_at + SILENCE_TIMEOUT + 1,
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush(|()| {})?;
        self.stream.rewatch(true)
    }

    /// Reads the introduction, if it is complete. A follower of another log, or with numbers that this one does not have,
    /// begins anew.
    fn read_introduction(&mut self, log: &PurgeLog) -> io::Result<()> {
        let decoded = decode_hello(self.stream.input()).map_err(|e| invalid(e.0))?;
        let Some(Hello { log_identity, last }) = decoded else {
            return Ok(());
        };
        self.stream.consume(HELLO_BYTES);
        let known = (log.base()..=log.last_number()).contains(&last);
        if log_identity == log.identity && known {
            self.stored = Some(last);
            return Ok(());
        }
        let begin_anew = Frame {
            reset: true,
            ..batch_frame(log, Vec::new())
        };
        self.stream.push(outgoing(frame(&begin_anew)));
        self.stored = Some(log.base());
        Ok(())
    }

    fn read_confirmations(&mut self) -> io::Result<()> {
        while let Some(bytes) = self.stream.input().first_chunk::<CONFIRMATION_BYTES>() {
            let number = u64::from_le_bytes(*bytes);
            self.stream.consume(CONFIRMATION_BYTES);
            if self.in_flight.take() != Some(number) {
                return Err(invalid("a follower confirms what it was not sent"));
            }
            self.stored = Some(number);
        }
        Ok(())
    }

    /// Sends a batch, or an empty one as a heartbeat. Returns whether the connection works.
    fn send_if_due(&mut self, now: Timestamp, log: &PurgeLog) -> bool {
        let Some(after) = self.ready_after() else {
            return true;
        };
        if after >= log.last_number() && now < self.heartbeat_at {
            return true;
        }
        let Some(purges) = log.batch_after(after) else {
            // Its next purges were compacted meanwhile: it has to introduce itself again.
            return false;
        };
        self.in_flight = purges.last().map(|purge| purge.number);
        self.stream.push(outgoing(frame(&batch_frame(log, purges))));
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        if self.in_flight.is_some() {
            self.last_progress_at = now;
        }
        self.flush().is_ok()
    }
}

fn invalid(why: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

fn batch_frame(log: &PurgeLog, purges: Vec<Purge>) -> Frame {
    Frame {
        reset: false,
        log_identity: log.identity,
        base: log.base(),
        head: log.last_number(),
        purges,
    }
}

/// The followers of this front.
#[derive(Debug)]
pub(super) struct Followers {
    listener: RestingListener<TcpListener>,
    listener_key: usize,
    /// By the poller keys of their connections.
    followers: HashMap<usize, Follower>,
    scratch: Vec<u8>,
}

impl Followers {
    /// Listens for followers.
    pub(super) fn new(turn: &mut Turn<'_>, address: &str) -> Result<Self, StartError> {
        let socket_address: SocketAddr =
            address.parse().map_err(|cause| StartError::ServeAddress {
                address: address.into(),
                cause,
            })?;
        let listener_key = turn.key();
        let listener = Self::listen(turn, socket_address, listener_key).map_err(|cause| {
            StartError::Serve {
                address: address.into(),
                cause,
            }
        })?;
        Ok(Followers {
            listener: RestingListener::new(listener),
            listener_key,
            followers: HashMap::new(),
            scratch: vec![0; READ_BUFFER_BYTES],
        })
    }

    fn listen(
        turn: &mut Turn<'_>,
        address: SocketAddr,
        key: usize,
    ) -> io::Result<Registered<TcpListener>> {
        let listener = at_start(|| listen(address))?;
        let local = listener.local_addr()?;
        tracing::info!(at = %local, "purges: serving the ledger");
        turn.reactor.watch(listener, key, false)
    }

    /// Whether a poller key is that of the listener or of a follower.
    pub(super) fn has(&self, key: usize) -> bool {
        key == self.listener_key || self.followers.contains_key(&key)
    }

    /// The number of followers that have introduced themselves.
    pub(super) fn known(&self) -> usize {
        let followers = self.followers.values();
        followers
            .filter(|follower| follower.stored.is_some())
            .count()
    }

    /// Handles a ready listener or connection.
    pub(super) fn ready(&mut self, turn: &mut Turn<'_>, key: usize, log: &PurgeLog) {
        if key == self.listener_key {
            return self.accept(turn);
        }
        if let Err(error) = self.read(turn.now, key, log) {
            self.followers.remove(&key);
            tracing::info!(kind = "follower-lost", %error, "purges: a follower has gone");
        }
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        while let Some(socket) = self.listener.accept(turn.now) {
            if self.followers.len() >= MAX_FOLLOWERS {
                continue;
            }
            let key = turn.key();
            if let Ok(stream) = Stream::new(turn.reactor, socket, key, false) {
                self.followers.insert(key, Follower::new(turn.now, stream));
            }
        }
    }

    fn read(&mut self, now: Timestamp, key: usize, log: &PurgeLog) -> io::Result<()> {
        let Some(follower) = self.followers.get_mut(&key) else {
            return Ok(());
        };
        follower.stream.flush(|()| {})?;
        while let Some(received) = follower.stream.fill(&mut self.scratch)? {
            if received == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            follower.last_progress_at = now;
            if follower.stored.is_none() {
                follower.read_introduction(log)?;
            }
            if follower.stored.is_none() {
                continue;
            }
            follower.read_confirmations()?;
            if follower.stream.input().len() > HELLO_BYTES {
                return Err(invalid("a follower says too much"));
            }
        }
        follower.stream.rewatch(true)
    }

    /// Sends followers what is due, and closes those that are silent or fail.
    pub(super) fn send_due(&mut self, now: Timestamp, log: &PurgeLog) {
        self.listener.resume_if_due(now);
        self.followers.retain(|_, follower| {
            let silent = follower.is_silent(now);
            follower.send_if_due(now, log) && !silent
        });
    }

    /// When something is due without another event.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        let followers = self.followers.values().map(Follower::next_due);
        followers.chain(self.listener.resumes_at()).min()
    }
}
