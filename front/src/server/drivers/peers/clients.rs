//! Connections from peers that ask for the endpoint list.
use super::{outgoing, EXCHANGE_TIMEOUT, REQUEST_BYTES};
use crate::protocol::snapshot::Snapshot;
use crate::server::drivers::Turn;
use crate::transport::Stream;
use cranesill::api::Timestamp;
use std::collections::HashMap;
use std::io;
use std::net::TcpStream;

/// How many clients are served at once; a further one is disconnected.
pub const MAX_CLIENTS: usize = 16;

struct Client {
    stream: Stream<()>,
    deadline: Timestamp,
    responded: bool,
}

/// The peers that are being served, by their poller keys.
#[derive(Default)]
pub(super) struct Clients {
    connections: HashMap<usize, Client>,
    served: u64,
}

impl Clients {
    /// Serves an accepted connection, or closes it if there are [`MAX_CLIENTS`] already.
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

    /// Whether the poller key is that of a client.
    pub(super) fn contains(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Returns how many lists were sent.
    pub(super) fn served(&self) -> u64 {
        self.served
    }

    /// Reads from and writes to a client, and closes the connection once the exchange is complete or the client misbehaves.
    pub(super) fn advance(&mut self, key: usize, known: &Snapshot, read_buffer: &mut [u8]) {
        let Some(client) = self.connections.get_mut(&key) else {
            return;
        };
        if exchange(client, known, read_buffer, &mut self.served).is_err() {
            self.connections.remove(&key);
        }
    }

    /// Closes the connections whose exchange takes too long.
    pub(super) fn close_expired(&mut self, now: Timestamp) {
        self.connections.retain(|_, client| client.deadline > now);
    }

    /// Returns when the next connection expires.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        self.connections
            .values()
            .map(|client| client.deadline)
            .min()
    }
}

/// Reads the request and writes the response. An error means that the connection is to be closed, be it because the exchange
/// is complete.
fn exchange(
    client: &mut Client,
    known: &Snapshot,
    read_buffer: &mut [u8],
    served: &mut u64,
) -> io::Result<()> {
    while let Some(n) = client.stream.fill(read_buffer)? {
        if n == 0 || client.stream.input().len() > REQUEST_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let request: Option<[u8; REQUEST_BYTES]> = client.stream.input().try_into().ok();
    if let Some(request) = request.filter(|_| !client.responded) {
        client.responded = true;
        let client_revision = u64::from_be_bytes(request);
        let newer = Some(known).filter(|known| known.revision > client_revision);
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
