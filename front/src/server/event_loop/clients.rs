//! Accepts clients and passes their requests and disconnections to the routing.
use super::timers::Timer;
use super::Server;
use crate::routing::Response;
use crate::server::acceptor::AcceptRetry;
use crate::server::downstream::ClientEvent;
use crate::transport::{descriptors_exhausted, AcceptFault, Registered};
use cranesill::api::Timestamp;
use std::io;
use std::net::TcpStream;

/// Maximum number of connections accepted in one turn of the event loop, so that established connections are served in between.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl Server {
    /// Enables or disables polling of the listener for clients. It stays disabled while another process accepts and during the pause
    /// after a failed `accept`.
    pub(super) fn watch_listener(&mut self, on: bool) {
        let on = on && !self.another_process_accepts() && !self.accept_backoff.is_paused();
        // Fails only for a listener that is not registered.
        let _ = self.listener.rewatch(on, false);
    }

    /// Accepts pending connections.
    pub(super) fn accept_clients(&mut self, now: Timestamp) {
        self.accept_backoff.begin_turn();
        // The readiness event may precede the handover of the socket to another process.
        if self.another_process_accepts() {
            return;
        }
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            match self.listener.accept() {
                Ok((socket, _)) => self.add_client(now, socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.accept_backoff.emptied();
                }
                Err(error) => match self.accept_backoff.failed(now, AcceptFault::of(&error)) {
                    AcceptRetry::Now => {}
                    AcceptRetry::At(until) => return self.pause_listener(now, until, &error),
                },
            }
        }
    }

    fn add_client(&mut self, now: Timestamp, socket: TcpStream) {
        if !self.has_client_slot(now) {
            return;
        }
        let key = self.next_key();
        let waited = self.accept_backoff.accepted(now);
        let added = self.clients.add(now, &self.reactor, socket, key, waited);
        if let Err(error) = added {
            tracing::warn!(%error, "cannot register an accepted client: connection closed");
        }
    }

    /// Whether another client may connect. At the limit on clients, a connection without a request is closed to make this possible.
    fn has_client_slot(&mut self, now: Timestamp) -> bool {
        self.clients.len() < self.config.max_clients() || self.clients.evict(now)
    }

    /// Stops polling the listener until `until` after a failed `accept`.
    fn pause_listener(&mut self, now: Timestamp, until: Timestamp, error: &io::Error) {
        let again_ms = until.saturating_sub(now) / 1_000;
        tracing::warn!(%error, again_ms, "accept failed: retrying after a pause");
        self.free_descriptor(now, error);
        self.watch_listener(false);
        self.timers.add(until, Timer::AcceptRetry);
    }

    /// Closes an idle client if `accept` failed for lack of descriptors and this process has none left, or the system-wide shortage
    /// is lasting. A short system-wide shortage closes no connection.
    fn free_descriptor(&mut self, now: Timestamp, error: &io::Error) {
        let out_of_descriptors = AcceptFault::of(error) == AcceptFault::Descriptors;
        if out_of_descriptors && (descriptors_exhausted() || self.accept_backoff.is_lasting(now)) {
            self.clients.evict_idle(now);
        }
    }

    /// Adds a client whose TLS handshake is complete. Its first requests may have been received together with the end of the
    /// handshake.
    pub(super) fn add_tls_client(
        &mut self,
        now: Timestamp,
        mut socket: Registered<TcpStream>,
        connection: rustls::ServerConnection,
    ) {
        if !self.has_client_slot(now) {
            return;
        }
        let key = self.next_key();
        if let Err(error) = socket.rekey(key) {
            return tracing::warn!(%error, "cannot register a TLS client: connection closed");
        }
        self.clients.add_tls(now, socket, connection, key);
        self.read_client(now, key);
        self.cancel_disconnected(now);
    }

    /// Writes to and reads from a client connection, according to its reported readiness.
    pub(super) fn serve_client(
        &mut self,
        now: Timestamp,
        key: usize,
        readable: bool,
        writable: bool,
    ) {
        if writable {
            self.clients.flush(now, key);
        }
        if readable {
            self.read_client(now, key);
        }
    }

    /// Reads from a client connection, and disconnects clients if the input of all exceeds its limit.
    fn read_client(&mut self, now: Timestamp, key: usize) {
        let events = self.clients.read(now, key);
        self.handle_client_events(now, events);
        let max_input_bytes = self.config.max_client_input();
        let disconnected = self.clients.limit_input(max_input_bytes);
        self.handle_client_events(now, disconnected);
    }

    /// Passes requests to the routing. Disconnections are collected for [`Server::cancel_disconnected`].
    pub(super) fn handle_client_events(&mut self, now: Timestamp, events: Vec<ClientEvent>) {
        for event in events {
            let buffered = self.clients.buffered_bytes() + self.upstream.buffered_bytes();
            self.pipeline.set_buffered_bytes(buffered);
            match event {
                ClientEvent::Request(from, request) => {
                    self.pipeline.receive_request(now, from, request)
                }
                ClientEvent::BadRequest(from, error) => {
                    tracing::info!(%error, "bad request: answered as failed");
                    self.clients.respond(now, from, Response::Failed, now);
                }
                ClientEvent::Disconnected(from) => {
                    self.disconnected.push(from);
                    continue;
                }
            }
            self.run_commands(now, Vec::new());
        }
    }

    /// Cancels the requests of all clients that disconnected in this turn. Requests without an outstanding attempt are cancelled
    /// first; otherwise they could be sent with the capacity that the others free.
    pub(super) fn cancel_disconnected(&mut self, now: Timestamp) {
        let mut disconnected = std::mem::take(&mut self.disconnected);
        disconnected.sort_by_cached_key(|from| self.pipeline.has_outstanding_attempt(*from));
        for from in disconnected {
            self.pipeline.cancel_request(now, from);
            self.run_commands(now, Vec::new());
        }
    }
}
