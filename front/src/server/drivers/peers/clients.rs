//! Connections of peers that request the endpoint list.
use super::{outgoing, EXCHANGE_TIMEOUT, REQUEST_BYTES};
use crate::protocol::snapshot::Snapshot;
use crate::server::drivers::Turn;
use crate::transport::Stream;
use cranesill::api::Timestamp;
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;

/// Maximum number of connected clients; further ones are disconnected.
pub const MAX_CLIENTS: usize = 16;

struct Client {
    stream: Stream<()>,
    deadline: Timestamp,
    responded: bool,
}

/// The peers that are being served.
#[derive(Default)]
pub(super) struct Clients {
    /// By poller key.
    connections: HashMap<usize, Client>,
    served: u64,
}

impl Clients {
    /// Adds an accepted connection, or closes it if there are [`MAX_CLIENTS`] already.
    pub(super) fn admit(&mut self, turn: &mut Turn<'_>, socket: TcpStream) {
        if self.connections.len() >= MAX_CLIENTS {
            return;
        }
        let key = turn.key();
        if let Ok(stream) = Stream::new(turn.reactor, socket, key, false) {
            let client = Client {
                stream,
                deadline: turn.now + EXCHANGE_TIMEOUT,
                responded: false,
            };
            self.connections.insert(key, client);
        }
    }

    /// Whether a poller key belongs to a client.
    pub(super) fn contains(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Returns the number of lists that were sent.
    pub(super) fn served(&self) -> u64 {
        self.served
    }

    /// Reads from and writes to a client. Closes the connection once the exchange is complete or has failed.
    pub(super) fn advance(&mut self, key: usize, list: &Snapshot, read_buffer: &mut [u8]) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        if exchange(client, list, read_buffer, &mut self.served).is_err() {
            self.connections.remove(&key);
        }
    }

    /// Closes the connections whose exchange has timed out.
    pub(super) fn close_expired(&mut self, now: Timestamp) {
        self.connections.retain(|_, client| client.deadline > now);
    }

    /// Returns the time at which the next exchange times out.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.connections
            .values()
            .map(|client| client.deadline)
            .min()
    }
}

/// Reads the request and writes the response. An error means that the connection is to be closed, also after a complete
/// exchange.
fn exchange(
    client: &mut Client,
    list: &Snapshot,
    read_buffer: &mut [u8],
    served: &mut u64,
) -> io::Result<()> {
    while let Some(n) = client.stream.read_input(read_buffer)? {
        if n == 0 || client.stream.input().len() > REQUEST_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let request: Option<[u8; REQUEST_BYTES]> = client.stream.input().try_into().ok();
    if let Some(request) = request.filter(|_| !client.responded) {
        client.responded = true;
        let client_revision = u64::from_be_bytes(request);
        let newer = Some(list).filter(|list| list.revision > client_revision);
        if let Some(text) = newer.and_then(Snapshot::encode) {
            *served += 1;
            client.stream.push(outgoing(text.into()));
        }
    }
    client.stream.flush(|()| {})?;
    client.stream.rewatch(true)?;
    if client.responded && client.stream.flushed() {
        return Err(io::ErrorKind::WriteZero.into());
    }
    Ok(())
}
