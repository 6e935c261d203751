//! Accepts clients and hands their requests and disconnections to the routing.
use super::timers::Timer;
use super::Server;
use crate::routing::Answer;
use crate::server::acceptor::Next;
use crate::server::downstream::ClientEvent;
use crate::transport::{used_up, AcceptFault, Registered};
use cranesill::api::Timestamp;
use std::io;

/// Connections accepted in one turn.
const MAX_ACCEPTS_PER_TURN: usize = 64;

impl Server {
    /// Watches the listener, or lets it rest; while another process accepts it rests, and for a moment after a failed call.
    pub(super) fn watch_listener(&mut self, on: bool) {
        let on = on && !self.another_process_accepts() && !self.accept_backoff.is_resting();
        // The listener is watched for as long as the program runs: this can't fail.
        let _ = self.listener.rewatch(on, false);
    }

    pub(super) fn accept_clients(&mut self, now: Timestamp) {
        self.accept_backoff.begin_turn();
        // It may have been told of before it was left to another process.
        for _ in 0..if self.another_process_accepts() {
            0
        } else {
            MAX_ACCEPTS_PER_TURN
        } {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    // Guards the descriptor limit. A connection without a request may be closed.
                    if self.clients.len() >= self.config.clients_most() && !self.clients.evict() {
                        continue;
                    }
                    let key = self.next_key();
                    let waited = self.accept_backoff.accepted(now);
                    if let Err(error) = self.clients.add(now, &self.reactor, socket, key, waited) {
                        tracing::warn!(%error, "client lost");
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.accept_backoff.emptied();
                    break;
                }
                Err(error) => match self.accept_backoff.failed(now, AcceptFault::of(&error)) {
                    Next::Retry => {}
                    Next::Rest(until) => {
                        tracing::warn!(%error, "accept");
                        self.free_descriptor(now, &error);
                        self.watch_listener(false);
                        self.timers.add(until, Timer::AcceptRetry);
                        break;
                    }
                },
            }
        }
    }

    /// Closes a client that is idle beyond doubt if `accept` failed for a lack of descriptors that is real: this process has
    /// used up its own, or the whole system has had none for long. A shortage that passes costs nobody a connection.
    fn free_descriptor(&mut self, now: Timestamp, error: &io::Error) {
        let lacking = AcceptFault::of(error) == AcceptFault::Descriptors;
        if lacking && (used_up() || self.accept_backoff.is_lasting(now)) {
            self.clients.evict_idle(now);
        }
    }

    /// A client whose handshake is complete; it may have said something with it already.
    pub(super) fn add_tls_client(
        &mut self,
        now: Timestamp,
        mut socket: Registered<std::net::TcpStream>,
        connection: rustls::ServerConnection,
    ) {
        if self.clients.len() >= self.config.clients_most() && !self.clients.evict() {
            return;
        }
        let key = self.next_key();
        match socket.rekey(key) {
            Ok(()) => self.clients.secured(now, socket, connection, key),
            Err(error) => return tracing::warn!(%error, "client lost"),
        }
        let heard = self.clients.read(now, key);
        self.handle_client_events(now, heard);
        self.cancel_disconnected(now);
    }

    pub(super) fn handle_client_events(&mut self, now: Timestamp, heard: Vec<ClientEvent>) {
        for one in heard {
            self.front.holds(self.clients.held() + self.upstream.held());
            match one {
                ClientEvent::Ask(from, ask) => self.front.take_in(now, from, ask),
                ClientEvent::Bad(from, why) => {
                    tracing::info!(error = why, "bad request");
                    self.clients.answer(now, from, Answer::Failed);
                }
                ClientEvent::Gone(from) => {
                    self.disconnected.push(from);
                    continue;
                }
            }
            self.run_commands(now, Vec::new());
        }
    }

    /// Nobody waits any more for what these asked, all of a turn together. Who waits for room goes before who has some: it would
    /// be given to one after another of them, and each be sent on for nobody.
    pub(super) fn cancel_disconnected(&mut self, now: Timestamp) {
        let mut gone = std::mem::take(&mut self.disconnected);
        gone.sort_by_cached_key(|from| self.front.is_out(*from));
        for from in gone {
            self.front.gone(now, from);
            self.run_commands(now, Vec::new());
        }
    }
}
