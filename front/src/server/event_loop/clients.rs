//! Accepts clients and hands their requests and disconnections to the routing.
use super::timers::Due;
use super::Server;
use crate::routing::Answer;
use crate::server::acceptor::Next;
use crate::server::downstream::ClientEvent;
use crate::transport::{used_up, AcceptFault, Registered};
use cranesill::api::Timestamp;
use std::io;

/// Connections accepted in one turn.
const ACCEPTS_MOST: usize = 64;

impl Server {
    /// Watches the listener, or lets it rest; while another process accepts it rests, and for a moment after a failed call.
    pub(super) fn listen(&mut self, on: bool) {
        let on = on && !self.elsewhere() && !self.acceptor.is_resting();
        // The listener is watched for as long as the program runs: this can't fail.
        let _ = self.listener.rewatch(on, false);
    }

    pub(super) fn accept(&mut self, now: Timestamp) {
        self.acceptor.begin_turn();
        // It may have been told of before it was left to another process.
        for _ in 0..if self.elsewhere() { 0 } else { ACCEPTS_MOST } {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    // Guards the descriptor limit. A connection without a request may be closed.
                    if self.clients.len() >= self.config.clients_most() && !self.clients.evict() {
                        continue;
                    }
                    let key = self.key();
                    let waited = self.acceptor.accepted(now);
                    if let Err(error) = self.clients.add(now, &self.reactor, socket, key, waited) {
                        tracing::warn!(%error, "client lost");
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.acceptor.emptied();
                    break;
                }
                Err(error) => match self.acceptor.failed(now, AcceptFault::of(&error)) {
                    Next::Retry => {}
                    Next::Rest(until) => {
                        tracing::warn!(%error, "accept");
                        self.make_descriptor_free(now, &error);
                        self.listen(false);
                        self.deadlines.add(until, Due::Accept);
                        break;
                    }
                },
            }
        }
    }

    /// Closes a client that is idle beyond doubt if `accept` failed for a lack of descriptors that is real: this process has
    /// used up its own, or the whole system has had none for long. A shortage that passes costs nobody a connection.
    fn make_descriptor_free(&mut self, now: Timestamp, error: &io::Error) {
        let lacking = AcceptFault::of(error) == AcceptFault::Descriptors;
        if lacking && (used_up() || self.acceptor.is_lasting(now)) {
            self.clients.evict_idle(now);
        }
    }

    /// A client whose handshake is complete; it may have said something with it already.
    pub(super) fn secured(
        &mut self,
        now: Timestamp,
        mut socket: Registered<std::net::TcpStream>,
        connection: rustls::ServerConnection,
    ) {
        if self.clients.len() >= self.config.clients_most() && !self.clients.evict() {
            return;
        }
        let key = self.key();
        match socket.rekey(key) {
            Ok(()) => self.clients.secured(now, socket, connection, key),
            Err(error) => return tracing::warn!(%error, "client lost"),
        }
        let heard = self.clients.read(now, key);
        self.hear(now, heard);
        self.left(now);
    }

    pub(super) fn hear(&mut self, now: Timestamp, heard: Vec<ClientEvent>) {
        for one in heard {
            self.front.holds(self.clients.held() + self.nodes.held());
            match one {
                ClientEvent::Ask(from, ask) => self.front.take_in(now, from, ask),
                ClientEvent::Bad(from, why) => {
                    tracing::info!(error = why, "bad request");
                    self.clients.answer(now, from, Answer::Failed);
                }
                ClientEvent::Gone(from) => {
                    self.gone.push(from);
                    continue;
                }
            }
            self.settle(now, Vec::new());
        }
    }

    /// Nobody waits any more for what these asked, all of a turn together. Who waits for room goes before who has some: it would
    /// be given to one after another of them, and each be sent on for nobody.
    pub(super) fn left(&mut self, now: Timestamp) {
        let mut gone = std::mem::take(&mut self.gone);
        gone.sort_by_cached_key(|from| self.front.is_out(*from));
        for from in gone {
            self.front.gone(now, from);
            self.settle(now, Vec::new());
        }
    }
}
