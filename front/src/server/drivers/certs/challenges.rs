//! HTTP listener that answers http-01 challenges (RFC 8555, section 8.3).
use super::settings::CertsError;
use crate::server::drivers::Turn;
use crate::transport::{listen, retry_on_shortage, BackoffListener, Registered};
use cranesill::api::{Micros, Timestamp};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// Maximum number of connected clients; a further one displaces the oldest.
pub(super) const MAX_CLIENTS: usize = 16;
/// Time for which a client is protected from being displaced. Under a flood of connections, newer ones wait in the accept
/// queue.
const MIN_CLIENT_DURATION: Micros = 250_000;
/// Maximum number of connections accepted per turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Interval of attempts to listen while the address is in use.
const LISTEN_RETRY_INTERVAL: Micros = 500_000;
const MAX_REQUEST_BYTES: usize = 4 * 1024;
/// Time after accepting a client at which it is disconnected.
const CLIENT_TIMEOUT: Micros = 5_000_000;
const READ_BUFFER_BYTES: usize = 1024;
const MAX_HEADERS: usize = 32;
const PATH_PREFIX: &str = "/.well-known/acme-challenge/";

/// The connection of a client, which may be any host that reaches the port.
struct Client {
    socket: Registered<TcpStream>,
    request: Vec<u8>,
    response: Vec<u8>,
    deadline: Timestamp,
}

struct Listener {
    socket: BackoffListener<TcpListener>,
    key: usize,
}

/// The open challenges, and the clients that request them.
#[derive(Default)]
pub(super) struct Challenges {
    listener: Option<Listener>,
    /// Address of the listener, if the settings have one.
    address: Option<SocketAddr>,
    /// Time of the next attempt to listen; `None` if none is due.
    listen_at: Option<Timestamp>,
    clients: HashMap<usize, Client>,
    /// All slots are taken and no client may be displaced yet, so the listener is not watched.
    full: bool,
    /// Key authorizations by token.
    authorizations: HashMap<String, String>,
}

impl Challenges {
    /// Listens on `address` if `listens`. Without an address there is never a listener.
    pub(super) fn new(
        turn: &mut Turn<'_>,
        address: Option<&str>,
        listens: bool,
    ) -> Result<Self, CertsError> {
        let address = address.map(parse_address).transpose()?;
        let listener = address.filter(|_| listens).map(|at| open(turn, at));
        Ok(Challenges {
            listener: listener.transpose()?,
            address,
            ..Challenges::default()
        })
    }

    /// Closes the listener.
    pub(super) fn stop_listening(&mut self) {
        self.listener = None;
        self.listen_at = None;
        self.full = false;
    }

    /// Listens from now on, as soon as the address is free.
    pub(super) fn listen_again(&mut self, now: Timestamp) {
        self.listen_at = Some(now);
    }

    fn retry_listening(&mut self, turn: &mut Turn<'_>) {
        let due = self.listen_at.is_some_and(|at| turn.now >= at);
        let Some(address) = self.address.filter(|_| due && self.listener.is_none()) else {
            return;
        };
        self.listen_at = None;
        match open(turn, address) {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                tracing::warn!(kind = "upgrade", %error, "cannot listen for challenges yet; retrying");
                self.listen_at = Some(turn.now + LISTEN_RETRY_INTERVAL);
            }
        }
    }

    /// Serves a key authorization under its token.
    pub(super) fn publish(&mut self, token: String, authorization: String) {
        self.authorizations.insert(token, authorization);
    }

    /// Stops serving the key authorization of a token.
    pub(super) fn withdraw(&mut self, token: &str) {
        self.authorizations.remove(token);
    }

    /// Handles a ready listener or client.
    pub(super) fn ready(&mut self, turn: &mut Turn<'_>, key: usize) {
        if self.listener.as_ref().is_some_and(|l| l.key == key) {
            return self.accept(turn);
        }
        let Some(client) = self.clients.get_mut(&key) else {
            return;
        };
        if advance(client, &self.authorizations).is_err() {
            self.clients.remove(&key);
        }
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.reserve_slot(turn.now) {
                return self.pause();
            }
            let Some(listener) = &mut self.listener else {
                return;
            };
            let Some(socket) = listener.socket.accept(turn.now) else {
                return;
            };
            self.admit(turn, socket);
        }
    }

    /// Disconnects the oldest client if all slots are taken. Returns whether a new one may be accepted.
    fn reserve_slot(&mut self, now: Timestamp) -> bool {
        if self.clients.len() < MAX_CLIENTS {
            return true;
        }
        let clients = self.clients.iter();
        let oldest = clients.min_by_key(|(key, client)| (client.deadline, **key));
        let Some((key, deadline)) = oldest.map(|(key, client)| (*key, client.deadline)) else {
            return true;
        };
        if deadline + MIN_CLIENT_DURATION > now + CLIENT_TIMEOUT {
            return false;
        }
        self.clients.remove(&key);
        true
    }

    /// Stops accepting until a client may be displaced.
    fn pause(&mut self) {
        if let Some(listener) = &self.listener {
            listener.socket.set_watched(false);
            self.full = true;
        }
    }

    fn admit(&mut self, turn: &mut Turn<'_>, socket: TcpStream) {
        let key = turn.key();
        let ready = socket
            .set_nonblocking(true)
            .and_then(|()| turn.reactor.watch(socket, key, false));
        if let Ok(socket) = ready {
            let client = Client {
                socket,
                request: Vec::new(),
                response: Vec::new(),
                deadline: turn.now + CLIENT_TIMEOUT,
            };
            self.clients.insert(key, client);
        }
    }

    /// Disconnects clients that have timed out, and resumes a paused listener.
    pub(super) fn due(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        self.retry_listening(turn);
        if let Some(listener) = &mut self.listener {
            listener.socket.resume_if_due(now);
        }
        self.clients.retain(|_, client| client.deadline > now);
        if std::mem::take(&mut self.full) {
            // If there is still no free slot, the next call of `accept` pauses the listener again.
            if let Some(listener) = &self.listener {
                listener.socket.set_watched(true);
            }
        }
    }

    /// Returns the time at which [`Challenges::due`] has to be called next.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        let deadlines = self.clients.values().map(|client| client.deadline);
        let client = deadlines.min().map(|deadline| match self.full {
            true => deadline + MIN_CLIENT_DURATION - CLIENT_TIMEOUT,
            false => deadline,
        });
        let listener = self.listener.as_ref();
        let listener = listener.and_then(|listener| listener.socket.resumes_at());
        let listen_at = self.listen_at.filter(|_| self.address.is_some());
        [client, listener, listen_at].into_iter().flatten().min()
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, CertsError> {
    text.parse().map_err(|cause| CertsError::ListenAddress {
        address: text.into(),
        cause,
    })
}

fn open(turn: &mut Turn<'_>, configured: SocketAddr) -> Result<Listener, CertsError> {
    let listen_error = |cause| CertsError::Listen {
        address: configured.to_string(),
        cause,
    };
    let key = turn.key();
    let listener = retry_on_shortage(|| listen(configured)).map_err(listen_error)?;
    let address = listener.local_addr().map_err(listen_error)?;
    tracing::info!(at = %address, "http-01 challenge listener open");
    let listener = turn.reactor.watch(listener, key, false);
    let socket = BackoffListener::new(listener.map_err(listen_error)?);
    Ok(Listener { socket, key })
}

/// Reads the request and writes the response. An error means that the connection is to be closed, also after the response is
/// complete.
fn advance(client: &mut Client, authorizations: &HashMap<String, String>) -> io::Result<()> {
    let mut buffer = [0; READ_BUFFER_BYTES];
    while client.response.is_empty() {
        match (&*client.socket).read(&mut buffer) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => client.request.extend_from_slice(&buffer[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(e) => return Err(e),
        }
        if client.request.len() > MAX_REQUEST_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        client.response = respond(&client.request, authorizations).unwrap_or_default();
    }
    while !client.response.is_empty() {
        match (&*client.socket).write(&client.response) {
            Ok(n) if n > 0 => drop(client.response.drain(..n)),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                return client.socket.rewatch(false, true);
            }
            _ => break,
        }
    }
    let _ = client.socket.shutdown(Shutdown::Write);
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// Returns the response to a request, or `None` while the request is incomplete.
fn respond(request: &[u8], authorizations: &HashMap<String, String>) -> Option<Vec<u8>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let (status, body) = match head.parse(request) {
        Ok(httparse::Status::Partial) => return None,
        Err(_) => ("400 Bad Request", ""),
        Ok(httparse::Status::Complete(_)) => {
            let token = head.path.and_then(|path| path.strip_prefix(PATH_PREFIX));
            match (head.method, token.and_then(|t| authorizations.get(t))) {
                (Some("GET"), Some(authorization)) => ("200 OK", authorization.as_str()),
                (Some("GET"), None) => ("404 Not Found", ""),
                _ => ("405 Method Not Allowed", ""),
            }
        }
    };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    Some(text.into_bytes())
}

#[cfg(test)]
mod tests;
