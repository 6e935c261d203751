//! Writer side of purge log replication: serves the log to followers.
use super::outgoing;
use super::start::StartError;
use crate::protocol::follow::{decode_hello, frame, Frame, Hello, HELLO_BYTES};
use crate::server::drivers::Turn;
use crate::transport::{listen, retry_on_shortage, BackoffListener, Registered, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::{Purge, PurgeNumber};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Maximum number of connected followers; further ones are disconnected.
pub const MAX_FOLLOWERS: usize = 32;
/// Time in which a follower has to send its hello, or make progress on a batch.
const SILENCE_TIMEOUT: Micros = 5_000_000;
/// Time without a batch after which an empty one is sent as a heartbeat.
const HEARTBEAT_INTERVAL: Micros = 500_000;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Size of a confirmation, which consists of a purge number.
const CONFIRMATION_BYTES: usize = 8;

/// The connection of a follower.
#[derive(Debug)]
struct Follower {
    stream: Stream<()>,
    /// Number of the last purge that it has stored; `None` until its hello was received.
    stored: Option<PurgeNumber>,
    /// Last number of the batch that it has not confirmed yet.
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

    fn has_timed_out(&self, now: Timestamp) -> bool {
        let awaited = self.stored.is_none() || self.in_flight.is_some() || !self.stream.flushed();
        awaited && now > self.last_progress_at + SILENCE_TIMEOUT
    }

    /// Returns the number after which the next batch begins; `None` while no batch can be sent.
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

    /// Reads the hello, if it is complete. A follower of another log, or with a position that this log does not have, is sent a
    /// frame that resets its log.
    fn read_hello(&mut self, log: &PurgeLog) -> io::Result<()> {
        let decoded = decode_hello(self.stream.input()).map_err(|e| invalid(e.0))?;
        let Some(Hello { log_identity, last }) = decoded else {
            return Ok(());
        };
        self.stream.consume(HELLO_BYTES);
        let has_position = (log.base()..=log.last_number()).contains(&last);
        if log_identity == log.identity && has_position {
            self.stored = Some(last);
            return Ok(());
        }
        let reset = Frame {
            reset: true,
            ..batch_frame(log, Vec::new())
        };
        self.stream.push(outgoing(frame(&reset)));
        self.stored = Some(log.base());
        Ok(())
    }

    fn read_confirmations(&mut self) -> io::Result<()> {
        while let Some(bytes) = self.stream.input().first_chunk::<CONFIRMATION_BYTES>() {
            let number = u64::from_le_bytes(*bytes);
            self.stream.consume(CONFIRMATION_BYTES);
            let expected = self.in_flight.take();
            if expected != Some(number) {
                let expected = expected.map_or("none".into(), |last| last.to_string());
                return Err(invalid(format!(
                    "follower confirmed purge {number}; expected: {expected}"
                )));
            }
            self.stored = Some(number);
        }
        Ok(())
    }

    /// Sends a batch, or a heartbeat, if one is due. Returns `false` if the connection has to be closed.
    fn send_if_due(&mut self, now: Timestamp, log: &PurgeLog) -> bool {
        let Some(after) = self.ready_after() else {
            return true;
        };
        if after >= log.last_number() && now < self.heartbeat_at {
            return true;
        }
        let Some(purges) = log.batch_after(after) else {
            // The next purges were compacted: after a reconnect the follower is sent a reset.
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

fn invalid(message: impl Into<String>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message.into())
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

/// Parses the address for followers in the settings.
pub(super) fn parse_address(address: &str) -> Result<SocketAddr, StartError> {
    address.parse().map_err(|cause| StartError::ServeAddress {
        address: address.into(),
        cause,
    })
}

/// The followers of this front.
#[derive(Debug)]
pub(super) struct Followers {
    listener: BackoffListener<TcpListener>,
    listener_key: usize,
    /// By the poller key of their connection.
    followers: HashMap<usize, Follower>,
    read_buffer: Vec<u8>,
}

impl Followers {
    /// Opens the listener for followers.
    pub(super) fn new(turn: &mut Turn<'_>, address: &str) -> Result<Self, StartError> {
        let socket_address = parse_address(address)?;
        let listener_key = turn.key();
        let listener = Self::listen(turn, socket_address, listener_key).map_err(|cause| {
            StartError::Serve {
                address: address.into(),
                cause,
            }
        })?;
        Ok(Followers {
            listener: BackoffListener::new(listener),
            listener_key,
            followers: HashMap::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    fn listen(
        turn: &mut Turn<'_>,
        address: SocketAddr,
        key: usize,
    ) -> io::Result<Registered<TcpListener>> {
        let listener = retry_on_shortage(|| listen(address))?;
        let local = listener.local_addr()?;
        tracing::info!(at = %local, "purges: serving the purge log to followers");
        turn.reactor.watch(listener, key, false)
    }

    /// Whether a poller key belongs to the listener or to a follower.
    pub(super) fn owns_key(&self, key: usize) -> bool {
        key == self.listener_key || self.followers.contains_key(&key)
    }

    /// Returns the number of followers whose hello was received.
    pub(super) fn connected(&self) -> usize {
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
            tracing::info!(kind = "follower-lost", %error, "purges: connection to a follower closed");
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
        while let Some(received) = follower.stream.read_input(&mut self.read_buffer)? {
            if received == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            follower.last_progress_at = now;
            if follower.stored.is_none() {
                follower.read_hello(log)?;
            }
            if follower.stored.is_none() {
                continue;
            }
            follower.read_confirmations()?;
            let excess = follower.stream.input().len();
            if excess > HELLO_BYTES {
                return Err(invalid(format!(
                    "follower sent {excess} bytes that are not confirmations"
                )));
            }
        }
        follower.stream.rewatch(true)
    }

    /// Sends batches and heartbeats that are due, and closes connections that have failed or timed out.
    pub(super) fn send_due(&mut self, now: Timestamp, log: &PurgeLog) {
        self.listener.resume_if_due(now);
        self.followers.retain(|_, follower| {
            let timed_out = follower.has_timed_out(now);
            follower.send_if_due(now, log) && !timed_out
        });
    }

    /// Returns the time at which [`Followers::send_due`] has to be called next.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        let followers = self.followers.values().map(Follower::next_due);
        followers.chain(self.listener.resumes_at()).min()
    }
}
