//! Accepts clients and hands their requests and disconnections to the routing.
use super::timers::Timer;
use super::Server;
use crate::routing::Response;
use crate::server::acceptor::AcceptRetry;
use crate::server::downstream::ClientEvent;
use crate::transport::{descriptors_exhausted, AcceptFault, Registered};
use cranesill::api::Timestamp;
use std::io;
use std::net::TcpStream;

/// Connections accepted in one turn at most: those that are there already are served between.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl Server {
    /// Watches the clients' listener or stops watching it. It is not watched while another process accepts, nor for a moment
    /// after a failed call.
    pub(super) fn watch_listener(&mut self, on: bool) {
        let on = on && !self.another_process_accepts() && !self.accept_backoff.is_paused();
        // The listener is watched for as long as the program runs: this can't fail.
        let _ = self.listener.rewatch(on, false);
    }

    /// Accepts the clients that wait to connect.
    pub(super) fn accept_clients(&mut self, now: Timestamp) {
        self.accept_backoff.begin_turn();
        // The event may be older than the handover of the socket to another process.
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
        if !self.has_client_slot() {
            return;
        }
        let key = self.next_key();
        let waited = self.accept_backoff.accepted(now);
        let added = self.clients.add(now, &self.reactor, socket, key, waited);
        if let Err(error) = added {
            tracing::warn!(%error, "client lost");
        }
    }

    /// Whether one more client may connect, if need be in place of one without a request. Guards the limit on descriptors.
    fn has_client_slot(&mut self) -> bool {
        self.clients.len() < self.config.max_clients() || self.clients.evict()
    }

    /// Stops accepting after a failed call; it is tried again at `until`.
    fn pause_listener(&mut self, now: Timestamp, until: Timestamp, error: &io::Error) {
        tracing::warn!(%error, "accept");
        self.free_descriptor(now, error);
        self.watch_listener(false);
        self.timers.add(until, Timer::AcceptRetry);
    }

    /// Closes an idle client if `accept` failed for a lasting lack of descriptors: this process has used up its own, or the
    /// whole system has had none for long. A shortage that passes costs nobody a connection.
    fn free_descriptor(&mut self, now: Timestamp, error: &io::Error) {
        let out_of_descriptors = AcceptFault::of(error) == AcceptFault::Descriptors;
        if out_of_descriptors && (descriptors_exhausted() || self.accept_backoff.is_lasting(now)) {
            self.clients.evict_idle(now);
        }
    }

    /// Adds a client whose TLS handshake is complete. Its first requests may have come with the end of the handshake.
    pub(super) fn add_tls_client(
        &mut self,
        now: Timestamp,
        mut socket: Registered<TcpStream>,
        connection: rustls::ServerConnection,
    ) {
        if !self.has_client_slot() {
            return;
        }
        let key = self.next_key();
        if let Err(error) = socket.rekey(key) {
            return tracing::warn!(%error, "client lost");
        }
        self.clients.add_tls(now, socket, connection, key);
        let events = self.clients.read(now, key);
        self.handle_client_events(now, events);
        self.cancel_disconnected(now);
    }

    /// Writes to and reads from a client's connection, as far as the poller reported it.
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
            let events = self.clients.read(now, key);
            self.handle_client_events(now, events);
        }
    }

    /// Routes clients' requests. Disconnections are only noted, for [`Server::cancel_disconnected`].
    pub(super) fn handle_client_events(&mut self, now: Timestamp, events: Vec<ClientEvent>) {
        for event in events {
            let buffered = self.clients.buffered_bytes() + self.upstream.buffered_bytes();
            self.pipeline.set_buffered_bytes(buffered);
            match event {
                ClientEvent::Request(from, request) => {
                    self.pipeline.receive_request(now, from, request)
                }
                ClientEvent::BadRequest(from, error) => {
                    tracing::info!(%error, "bad request");
                    self.clients.respond(now, from, Response::Failed);
                }
                ClientEvent::Disconnected(from) => {
                    self.disconnected.push(from);
                    continue;
                }
            }
            self.run_commands(now, Vec::new());
        }
    }

    /// Cancels the requests of clients that have disconnected, all of a turn together. Those that wait for capacity are
    /// cancelled first: they would be given what the others free, and be forwarded for nobody.
    pub(super) fn cancel_disconnected(&mut self, now: Timestamp) {
        let mut disconnected = std::mem::take(&mut self.disconnected);
        disconnected.sort_by_cached_key(|from| self.pipeline.has_outstanding_attempt(*from));
        for from in disconnected {
            self.pipeline.cancel_request(now, from);
            self.run_commands(now, Vec::new());
        }
    }
}
