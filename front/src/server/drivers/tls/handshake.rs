//! A TLS handshake: its input and output, and its two phases. Limits on time and number are enforced by the listener.
use super::selection::{CertificateSelector, SelectionError};
use crate::transport::Registered;
use rustls::server::Acceptor;
use rustls::ServerConnection;
use std::io::{self, Write};
use std::net::TcpStream;

/// Maximum number of bytes that a client may send before its handshake is complete.
const MAX_HANDSHAKE_BYTES: usize = 64 * 1024;

/// Failure of a handshake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandshakeError {
    /// The client closed the connection.
    Closed,
    /// A read or write failed.
    ConnectionFailed,
    /// The client sent more than [`MAX_HANDSHAKE_BYTES`].
    TooLong,
    /// The first message is not a valid ClientHello.
    Malformed,
    /// Client and server have no protocol version or cipher suite in common.
    NoAgreement,
    /// There is no certificate for the client.
    Selection(SelectionError),
    /// A later message of the client is invalid, or the client rejected the handshake by an alert.
    Rejected,
}

impl HandshakeError {
    /// Returns the name of the error in counters and in the log.
    pub(super) fn label(self) -> &'static str {
        match self {
            HandshakeError::Closed => "closed",
            HandshakeError::ConnectionFailed => "broken",
            HandshakeError::TooLong => "too-long",
            HandshakeError::Malformed => "garbage",
            HandshakeError::NoAgreement => "no-agreement",
            HandshakeError::Selection(error) => error.label(),
            HandshakeError::Rejected => "refused",
        }
    }
}

/// State of a handshake after an advance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// Waits for the socket.
    Pending,
    /// The handshake is complete.
    Complete,
}

enum Phase {
    /// Receiving the ClientHello, by which the certificate is selected.
    ClientHello(Box<Acceptor>),
    /// The rest of the handshake.
    Negotiation(Box<ServerConnection>),
}

/// Outcome of a read from the socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadOutcome {
    Bytes,
    WouldBlock,
}

/// A connection whose handshake is not complete.
pub(super) struct Handshake {
    socket: Registered<TcpStream>,
    phase: Phase,
    bytes_read: usize,
}

impl Handshake {
    /// Creates the handshake of an accepted connection.
    pub(super) fn new(socket: Registered<TcpStream>) -> Self {
        Handshake {
            socket,
            phase: Phase::ClientHello(Box::default()),
            bytes_read: 0,
        }
    }

    /// Advances the handshake until the socket would block or the handshake ends.
    pub(super) fn advance(
        &mut self,
        selector: &CertificateSelector,
    ) -> Result<Progress, HandshakeError> {
        loop {
            let outcome = self.read()?;
            if self.bytes_read > MAX_HANDSHAKE_BYTES {
                return Err(HandshakeError::TooLong);
            }
            match &mut self.phase {
                Phase::ClientHello(acceptor) => {
                    if let Some(connection) = accept(acceptor, &self.socket, selector)? {
                        // Continue even without further input: the next pass writes the response.
                        self.phase = Phase::Negotiation(Box::new(connection));
                        continue;
                    }
                }
                Phase::Negotiation(connection) => {
                    negotiate(connection, &self.socket)?;
                    if !connection.is_handshaking() {
                        return Ok(Progress::Complete);
                    }
                }
            }
            if outcome == ReadOutcome::WouldBlock {
                return Ok(Progress::Pending);
            }
        }
    }

    fn read(&mut self) -> Result<ReadOutcome, HandshakeError> {
        let mut socket: &TcpStream = &self.socket;
        loop {
            let read = match &mut self.phase {
                Phase::ClientHello(acceptor) => acceptor.read_tls(&mut socket),
                Phase::Negotiation(connection) => connection.read_tls(&mut socket),
            };
            match read {
                Ok(0) => return Err(HandshakeError::Closed),
                Ok(n) => {
                    self.bytes_read += n;
                    return Ok(ReadOutcome::Bytes);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(ReadOutcome::WouldBlock)
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(HandshakeError::ConnectionFailed),
            }
        }
    }

    /// Watches the socket for reading, and for writing if output is pending.
    pub(super) fn watch(&self) {
        let writes = match &self.phase {
            Phase::ClientHello(_) => false,
            Phase::Negotiation(connection) => connection.wants_write(),
        };
        // Fails only for a socket that is not watched.
        let _ = self.socket.rewatch(true, writes);
    }

    /// Stops watching the socket until [`Handshake::watch`] is called.
    pub(super) fn unwatch(&self) {
        // Fails only for a socket that is not watched.
        let _ = self.socket.rewatch(false, false);
    }

    /// Returns the socket and the TLS connection on it; `None` before the ClientHello was processed.
    pub(super) fn into_connection(self) -> Option<(Registered<TcpStream>, Box<ServerConnection>)> {
        match self.phase {
            Phase::ClientHello(_) => None,
            Phase::Negotiation(connection) => Some((self.socket, connection)),
        }
    }
}

/// Returns the TLS connection once the ClientHello is complete. On failure an alert is sent on a best-effort basis, without
/// waiting for the socket.
fn accept(
    acceptor: &mut Acceptor,
    mut socket: &TcpStream,
    selector: &CertificateSelector,
) -> Result<Option<ServerConnection>, HandshakeError> {
    let accepted = match acceptor.accept() {
        Ok(None) => return Ok(None),
        Ok(Some(accepted)) => accepted,
        Err((_, mut alert)) => {
            let _ = alert.write(&mut socket);
            return Err(HandshakeError::Malformed);
        }
    };
    let config = match selector.select(&accepted.client_hello()) {
        Ok(config) => config,
        Err(error) => {
            let _ = socket.write(&error.alert_record());
            return Err(HandshakeError::Selection(error));
        }
    };
    match accepted.into_connection(config) {
        Ok(connection) => Ok(Some(connection)),
        Err((_, mut alert)) => {
            let _ = alert.write(&mut socket);
            Err(HandshakeError::NoAgreement)
        }
    }
}

/// Processes received records and writes the response, which is an alert after a failure.
fn negotiate(connection: &mut ServerConnection, socket: &TcpStream) -> Result<(), HandshakeError> {
    let processed = connection.process_new_packets().map(drop);
    write_records(connection, socket)?;
    processed.map_err(|_| HandshakeError::Rejected)
}

/// Writes pending records until none are left or the socket would block.
fn write_records(
    connection: &mut ServerConnection,
    mut socket: &TcpStream,
) -> Result<(), HandshakeError> {
    while connection.wants_write() {
        match connection.write_tls(&mut socket) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return Err(HandshakeError::ConnectionFailed),
        }
    }
    Ok(())
}
