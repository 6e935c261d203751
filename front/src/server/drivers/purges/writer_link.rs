//! A follower's connection to the writer of the purge log, which also renews the lease.
use super::outgoing;
use super::start::StartError;
use crate::protocol::follow::{decode_frame, hello, Frame, Hello};
use crate::server::drivers::Turn;
use crate::transport::{dial, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::PurgeNumber;
use std::io;
use std::net::SocketAddr;

/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Micros = 200_000;
/// Longest backoff.
const MAX_BACKOFF: Micros = 5_000_000;
/// Without a complete frame for this long the follower connects again.
const FRAME_TIMEOUT: Micros = 2_500_000;
const READ_BUFFER_BYTES: usize = 64 * 1024;

#[derive(Debug)]
struct Connection {
    key: usize,
    stream: Stream<()>,
}

/// The connection to the writer.
#[derive(Debug)]
pub(super) struct WriterLink {
    address: SocketAddr,
    connection: Option<Connection>,
    /// When the last complete frame arrived, or the connection was begun.
    last_frame_at: Timestamp,
    connect_at: Timestamp,
    /// Failures since the last complete frame.
    failures: u32,
    /// The last purge that arrived on this connection and is not confirmed.
    unconfirmed: Option<PurgeNumber>,
    scratch: Vec<u8>,
}

impl WriterLink {
    /// A link that is not connected yet.
    pub(super) fn new(now: Timestamp, address: &str) -> Result<Self, StartError> {
        let address = address.parse().map_err(|cause| StartError::FollowAddress {
            address: address.into(),
            cause,
        })?;
        Ok(WriterLink {
            address,
            connection: None,
            last_frame_at: now,
            connect_at: now,
            failures: 0,
            unconfirmed: None,
            scratch: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Whether a poller key is that of this connection.
    pub(super) fn has(&self, key: usize) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.key == key)
    }

    /// Reads the frames that arrived. A failure closes the connection; frames read before it are returned.
    pub(super) fn read_frames(&mut self, now: Timestamp) -> Vec<Frame> {
        let mut frames = Vec::new();
        if let Err(error) = self.read(now, &mut frames) {
            self.disconnect(now, &error.to_string());
        }
        frames
    }

    fn read(&mut self, now: Timestamp, frames: &mut Vec<Frame>) -> io::Result<()> {
        let Some(Connection { stream, .. }) = &mut self.connection else {
            return Ok(());
        };
        if !stream.connected()? {
            return Ok(());
        }
        stream.flush(|()| {})?;
        // One read a turn: a writer that sends a lot does not keep the loop to itself.
        if let Some(received) = stream.fill(&mut self.scratch)? {
            if received == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            loop {
                let decoded = decode_frame(stream.input()).map_err(|e| io::Error::other(e.0))?;
                let Some((frame, length)) = decoded else {
                    break;
                };
                stream.consume(length);
                self.last_frame_at = now;
                self.failures = 0;
                frames.push(frame);
            }
        }
        stream.rewatch(true)
    }

    /// Closes the connection, since it failed or what arrived cannot be used, and connects again after a backoff.
    pub(super) fn disconnect(&mut self, now: Timestamp, why: &str) {
        if self.connection.take().is_some() || self.failures == 0 {
            tracing::info!(kind = "writer-lost", writer = %self.address, error = why, "purges: no connection to the writer");
        }
        // The writer accepts no confirmation of what it has not sent on the same connection.
        self.unconfirmed = None;
        self.failures += 1;
        let backoff = INITIAL_BACKOFF << (self.failures - 1).min(8);
        self.connect_at = now + backoff.min(MAX_BACKOFF);
    }

    /// Owes the writer a confirmation of everything up to a number, once it is durable.
    pub(super) fn owe_confirmation(&mut self, number: PurgeNumber) {
        self.unconfirmed = Some(number);
    }

    /// Confirms what the writer waits for, if it is durable now.
    pub(super) fn confirm_durable(&mut self, now: Timestamp, durable: PurgeNumber) {
        let Some(number) = self.unconfirmed.filter(|number| *number <= durable) else {
            return;
        };
        self.unconfirmed = None;
        let Some(Connection { stream, .. }) = &mut self.connection else {
            return;
        };
        stream.push(outgoing(number.to_le_bytes().to_vec()));
        if let Err(error) = stream.flush(|()| {}).and_then(|()| stream.rewatch(true)) {
            self.disconnect(now, &error.to_string());
        }
    }

    /// Connects if that is due, and tells the writer which log is durable here, and up to which number.
    pub(super) fn connect_if_due(&mut self, turn: &mut Turn<'_>, log: u64, durable: PurgeNumber) {
        let now = turn.now;
        if self.connection.is_some() && now > self.last_frame_at + FRAME_TIMEOUT {
            self.disconnect(now, "it says nothing");
        }
        if self.connection.is_some() || now < self.connect_at {
            return;
        }
        let key = turn.key();
        let connected =
            dial(self.address).and_then(|socket| Stream::new(turn.reactor, socket, key, true));
        match connected {
            Ok(mut stream) => {
                stream.push(outgoing(hello(Hello {
                    log_identity: log,
                    last: durable,
                })));
                self.last_frame_at = now;
                self.connection = Some(Connection { key, stream });
            }
            Err(error) => self.disconnect(now, &error.to_string()),
        }
    }

    /// When something is due without another event.
    pub(super) fn next_due(&self) -> Timestamp {
        match self.connection {
            Some(_) => self.last_frame_at + FRAME_TIMEOUT + 1,
            None => self.connect_at,
        }
    }
}
