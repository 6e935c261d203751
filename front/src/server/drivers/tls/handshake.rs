//! One TLS handshake: reads, writes and its two phases. No decision about time or the number of handshakes is made here.
use super::selection::{CertificateSelector, SelectionError};
use crate::transport::Registered;
use rustls::server::Acceptor;
use rustls::ServerConnection;
use std::io::{self, Write};
use std::net::TcpStream;

/// Bytes that a client may send before its handshake is complete.
const MAX_HANDSHAKE_BYTES: usize = 64 * 1024;

/// Why a handshake failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HandshakeError {
    /// The client closed the connection.
    Closed,
    /// The connection failed.
    Broken,
    /// The client sent more than a handshake may take.
    TooLong,
    /// What the client sent is no TLS.
    Malformed,
    /// Client and server have no version or cipher suite in common.
    NoAgreement,
    /// There is no certificate for what the client asks for.
    Selection(SelectionError),
    /// A later message of the client is invalid, or the client rejects the server's.
    Rejected,
}

impl HandshakeError {
    /// The name under which operators see it.
    pub(super) fn label(self) -> &'static str {
        match self {
            HandshakeError::Closed => "closed",
            HandshakeError::Broken => "broken",
            HandshakeError::TooLong => "too-long",
            HandshakeError::Malformed => "garbage",
            HandshakeError::NoAgreement => "no-agreement",
            HandshakeError::Selection(error) => error.label(),
            HandshakeError::Rejected => "refused",
        }
    }
}

/// How far a handshake is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// It waits for the socket.
    Pending,
    /// It is complete.
    Complete,
}

enum Phase {
    /// Until the client's first message is complete; by it the certificate is selected.
    ClientHello(Box<Acceptor>),
    /// The rest of the handshake.
    Negotiation(Box<ServerConnection>),
}

/// What a read from the socket brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Arrival {
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
    /// Begins a handshake on an accepted connection.
    pub(super) fn new(socket: Registered<TcpStream>) -> Self {
        Handshake {
            socket,
            phase: Phase::ClientHello(Box::default()),
            bytes_read: 0,
        }
    }

    /// Goes on until the socket would block or the handshake ends.
    pub(super) fn advance(
        &mut self,
        selector: &CertificateSelector,
    ) -> Result<Progress, HandshakeError> {
        loop {
            let arrival = self.read()?;
            if self.bytes_read > MAX_HANDSHAKE_BYTES {
                return Err(HandshakeError::TooLong);
            }
            match &mut self.phase {
                Phase::ClientHello(acceptor) => {
                    if let Some(connection) = accept(acceptor, &self.socket, selector)? {
                        // Also when nothing more has arrived: the next pass writes the answer.
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
            if arrival == Arrival::WouldBlock {
                return Ok(Progress::Pending);
            }
        }
    }

    fn read(&mut self) -> Result<Arrival, HandshakeError> {
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
                    return Ok(Arrival::Bytes);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(Arrival::WouldBlock),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(HandshakeError::Broken),
            }
        }
    }

    /// Watches the socket for what the handshake waits for.
    pub(super) fn watch(&self) {
        let writes = match &self.phase {
            Phase::ClientHello(_) => false,
            Phase::Negotiation(connection) => connection.wants_write(),
        };
        // It can only fail for a socket that is not watched.
        let _ = self.socket.rewatch(true, writes);
    }

    /// Stops watching the socket until [`Handshake::watch`] is called.
    pub(super) fn unwatch(&self) {
        // It can only fail for a socket that is not watched.
        let _ = self.socket.rewatch(false, false);
    }

    /// Returns the socket and the TLS connection on it; `None` before the certificate was selected.
    pub(super) fn into_connection(self) -> Option<(Registered<TcpStream>, Box<ServerConnection>)> {
        match self.phase {
            Phase::ClientHello(_) => None,
            Phase::Negotiation(connection) => Some((self.socket, connection)),
        }
    }
}

/// Returns the connection once the client's first message is complete. On failure the client is sent an alert, as far as the
/// socket takes it at once.
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

/// Processes what was read, and writes the answer, which after a failure is an alert.
fn negotiate(connection: &mut ServerConnection, socket: &TcpStream) -> Result<(), HandshakeError> {
    let processed = connection.process_new_packets().map(drop);
    write_records(connection, socket)?;
    processed.map_err(|_| HandshakeError::Rejected)
}

/// Writes until nothing is left or the socket would block.
fn write_records(
    connection: &mut ServerConnection,
    mut socket: &TcpStream,
) -> Result<(), HandshakeError> {
    while connection.wants_write() {
        match connection.write_tls(&mut socket) {
            Ok(n) if n > 0 => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            _ => return Err(HandshakeError::Broken),
        }
    }
    Ok(())
}
