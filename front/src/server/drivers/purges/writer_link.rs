//! Follower's connection to the writer of the purge log.
use super::outgoing;
use super::start::StartError;
use crate::protocol::follow::{decode_frame, hello, Frame, Hello};
use crate::server::drivers::Turn;
use crate::transport::{dial, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::PurgeNumber;
use std::io;
use std::net::SocketAddr;

/// Backoff after the first failure. It doubles with each further one.
const INITIAL_BACKOFF: Micros = 200_000;
const MAX_BACKOFF: Micros = 5_000_000;
/// Time without a complete frame after which the connection is closed.
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
    /// Time at which the last complete frame arrived, or the connection was started.
    last_frame_at: Timestamp,
    connect_at: Timestamp,
    /// Failures since the last complete frame.
    failures: u32,
    /// Last purge that arrived on this connection and is not confirmed yet.
    unconfirmed: Option<PurgeNumber>,
    read_buffer: Vec<u8>,
}

impl WriterLink {
    /// Creates a link that is not connected yet.
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
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Whether a poller key belongs to this connection.
    pub(super) fn owns_key(&self, key: usize) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.key == key)
    }

    /// Reads the frames that have arrived. A failure closes the connection; frames before it are still returned.
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
        // One read per turn, so that a writer with many purges does not block the event loop.
        if let Some(received) = stream.read_input(&mut self.read_buffer)? {
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

    /// Closes a connection that has failed or sent invalid data. It is reopened after a backoff.
    pub(super) fn disconnect(&mut self, now: Timestamp, reason: &str) {
        if self.connection.take().is_some() || self.failures == 0 {
            tracing::info!(kind = "writer-lost", writer = %self.address, error = reason, "purges: connection to the writer lost; reconnecting with backoff");
        }
        // The writer rejects a confirmation of a batch that it has not sent on the same connection.
        self.unconfirmed = None;
        self.failures += 1;
        let backoff = INITIAL_BACKOFF << (self.failures - 1).min(8);
        self.connect_at = now + backoff.min(MAX_BACKOFF);
    }

    /// Schedules a confirmation of all purges up to a number for when they are durable.
    pub(super) fn confirm_when_durable(&mut self, number: PurgeNumber) {
        self.unconfirmed = Some(number);
    }

    /// Sends the scheduled confirmation if its purges are durable.
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

    /// Connects if that is due, and sends a hello with the identity of the log and its last durable number.
    pub(super) fn connect_if_due(&mut self, turn: &mut Turn<'_>, log: u64, durable: PurgeNumber) {
        let now = turn.now;
        if self.connection.is_some() && now > self.last_frame_at + FRAME_TIMEOUT {
            self.disconnect(now, "no frame within the timeout");
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

    /// Returns the time at which [`WriterLink::connect_if_due`] has to be called next.
    pub(super) fn next_due(&self) -> Timestamp {
        match self.connection {
            Some(_) => self.last_frame_at + FRAME_TIMEOUT + 1,
            None => self.connect_at,
        }
    }
}
