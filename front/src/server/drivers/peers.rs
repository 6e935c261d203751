//! Exchanges the endpoint list with peers. A front serves its list to other fronts, and polls a few of them while the list
//! service is silent. A request is the client's current revision in 8 bytes, big-endian. The response is the list in its
//! on-disk format, or empty if the server has no newer one. The server then closes the connection.
mod clients;

pub use clients::MAX_CLIENTS;

use super::snapshot::{decode_list, wall_clock_ms, ListRequirements};
use super::{AdminEffect, Driver, Effect, EndpointEffect, Turn};
use crate::protocol::snapshot::{Snapshot, MAX_SNAPSHOT_BYTES};
use crate::transport::{dial, listen, retry_on_shortage, BackoffListener, Outgoing, Stream};
use clients::Clients;
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::Peers as Settings;
use cranesill_startup::{ListOffer, PeerBootstrap};
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io;
use std::net::{AddrParseError, SocketAddr, TcpListener};
use std::rc::Rc;
use thiserror::Error;

/// Timeout of an exchange at either end, so that a slow peer does not occupy a slot.
const EXCHANGE_TIMEOUT: Micros = 1_500_000;
/// Silence of the list service after which peers are polled.
const SERVICE_TIMEOUT: Micros = 1_000_000;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Size of a request, which consists of a revision.
const REQUEST_BYTES: usize = size_of::<u64>();

/// Failure to set up the exchange with peers. Its text is shown to operators.
#[derive(Debug, Error)]
pub enum PeersError {
    /// An address in the settings is invalid.
    #[error("startup.peers.{key}: {address}: {cause}")]
    Address {
        /// Key of the setting.
        key: &'static str,
        /// Value of the setting.
        address: String,
        /// Error of the parser.
        cause: AddrParseError,
    },
    /// The listener for peers could not be opened.
    #[error("startup.peers.listen: cannot listen on {address}: {cause}")]
    Listen {
        /// Address in the settings.
        address: SocketAddr,
        /// Error of the system call.
        cause: io::Error,
    },
}

/// Lifetimes of endpoint lists and of the purges in them.
#[derive(Clone, Copy, Debug)]
pub struct ListLifetimes {
    /// Time for which purges are kept, in milliseconds.
    pub purge_ms: u64,
    /// Maximum age of a list that is used to serve requests, in milliseconds.
    pub serve_ms: u64,
}

/// A connection over which a peer is polled.
struct Poll {
    peer: usize,
    stream: Stream<()>,
    deadline: Timestamp,
    /// Revision of this front's list when the peer was polled.
    known_revision: u64,
}

/// Whether the response of a peer is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    Complete,
}

/// Counters for operators.
#[derive(Default)]
struct Counters {
    /// Usable lists received from peers.
    offered: u64,
    /// Lists adopted from peers.
    adopted: u64,
    /// Polls that failed or returned an unusable list.
    failed: u64,
}

/// The driver that exchanges the endpoint list with peers.
pub struct Peers {
    listener: BackoffListener<TcpListener>,
    listener_key: usize,
    peers: Vec<SocketAddr>,
    bootstrap: PeerBootstrap,
    list: Snapshot,
    lifetimes: ListLifetimes,
    clients: Clients,
    polls: HashMap<usize, Poll>,
    read_buffer: Vec<u8>,
    /// Time of the last message of the list service.
    service_seen_at: Option<Timestamp>,
    counters: Counters,
}

/// Parses the address in the setting `key`.
fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, PeersError> {
    text.parse().map_err(|cause| PeersError::Address {
        key,
        address: text.into(),
        cause,
    })
}

/// Returns the addresses of the peers in the settings, without this front's own.
fn other_peers(settings: &Settings, own: SocketAddr) -> Result<Vec<SocketAddr>, PeersError> {
    let mut peers = Vec::new();
    for text in &settings.ask {
        let address = parse_address("ask", text)?;
        if address != own {
            peers.push(address);
        }
    }
    Ok(peers)
}

/// Wraps bytes for sending on a stream.
fn outgoing(bytes: Vec<u8>) -> Outgoing<()> {
    Outgoing {
        tag: (),
        head: bytes,
        body: Rc::default(),
        tail: b"",
    }
}

impl Peers {
    /// Opens the listener for peers. `list` is the front's initial list.
    pub fn new(
        turn: &mut Turn<'_>,
        settings: &Settings,
        list: Snapshot,
        seed: u64,
        lifetimes: ListLifetimes,
    ) -> Result<Self, PeersError> {
        let address = parse_address("listen", &settings.listen)?;
        let peers = other_peers(settings, address)?;
        let listener_key = turn.key();
        let listener = retry_on_shortage(|| listen(address))
            .and_then(|l| turn.reactor.watch(l, listener_key, false))
            .map_err(|cause| PeersError::Listen { address, cause })?;
        tracing::info!(at = %address, peers = peers.len(), "serving the endpoint list to peers");
        let interval = settings.every_ms * 1_000;
        let bootstrap = PeerBootstrap::new(turn.now, peers.len(), settings.agree, interval, seed);
        Ok(Peers {
            listener: BackoffListener::new(listener),
            listener_key,
            peers,
            bootstrap,
            list,
            lifetimes,
            clients: Clients::default(),
            polls: HashMap::new(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            service_seen_at: None,
            counters: Counters::default(),
        })
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        while let Some(socket) = self.listener.accept(turn.now) {
            self.clients.admit(turn, socket);
        }
    }

    fn poll_peer(&mut self, turn: &mut Turn<'_>, peer: usize) {
        let key = turn.key();
        let connected =
            dial(self.peers[peer]).and_then(|socket| Stream::new(turn.reactor, socket, key, true));
        let Ok(mut stream) = connected else {
            return self.bootstrap.record_failure(turn.now, peer);
        };
        let known_revision = self.list.revision;
        stream.push(outgoing(known_revision.to_be_bytes().to_vec()));
        let poll = Poll {
            peer,
            stream,
            deadline: turn.now + EXCHANGE_TIMEOUT,
            known_revision,
        };
        self.polls.insert(key, poll);
    }

    /// Reads from and writes to a peer that is being polled.
    fn advance_poll(&mut self, key: usize) -> io::Result<Progress> {
        let Some(poll) = self.polls.get_mut(&key) else {
            return Ok(Progress::Pending);
        };
        if !poll.stream.connected()? {
            return Ok(Progress::Pending);
        }
        if !poll.stream.flushed() {
            poll.stream.flush(|()| {})?;
            poll.stream.rewatch(true)?;
        }
        while let Some(n) = poll.stream.read_input(&mut self.read_buffer)? {
            if n == 0 {
                return Ok(Progress::Complete);
            }
            if poll.stream.input().len() > MAX_SNAPSHOT_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        Ok(Progress::Pending)
    }

    fn handle_response(&mut self, turn: &mut Turn<'_>, poll: &Poll) {
        let peer = poll.peer;
        let response = poll.stream.input();
        if response.is_empty() {
            return self.bootstrap.record_no_update(peer);
        }
        // This front's list may have been updated since the peer was polled.
        let required = ListRequirements {
            source: self.list.source,
            known_revision: poll.known_revision.max(self.list.revision),
            max_age_ms: self.lifetimes.serve_ms,
        };
        match decode_list(response, required) {
            Ok(list) => self.record_offer(turn, peer, list),
            Err(error) => {
                let at = self.peers[peer];
                tracing::info!(kind = "peer", why = %error, %at, "endpoint list of a peer rejected");
                self.record_failure(turn.now, peer);
            }
        }
    }

    fn record_offer(&mut self, turn: &mut Turn<'_>, peer: usize, list: Snapshot) {
        self.counters.offered += 1;
        let offer = ListOffer {
            revision: list.revision,
            digest: list.digest(),
        };
        let known_revision = self.list.revision;
        let quorum = self
            .bootstrap
            .record_offer(turn.now, peer, known_revision, offer);
        if quorum {
            let offered = EndpointEffect::Offered(Box::new(list));
            turn.effects.push(Effect::Endpoints(offered));
        }
    }

    fn record_failure(&mut self, now: Timestamp, peer: usize) {
        self.counters.failed += 1;
        self.bootstrap.record_failure(now, peer);
    }

    /// Closes connections to clients and peers whose exchange has timed out.
    fn close_expired(&mut self, now: Timestamp) {
        self.clients.close_expired(now);
        let expired: Vec<_> = self
            .polls
            .iter()
            .filter(|(_, poll)| poll.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            if let Some(poll) = self.polls.remove(&key) {
                self.record_failure(now, poll.peer);
            }
        }
    }

    /// Whether the list service has been silent for long enough to poll peers.
    fn service_is_silent(&self, now: Timestamp) -> bool {
        self.service_seen_at
            .is_none_or(|at| now >= at + SERVICE_TIMEOUT)
    }

    /// Returns the state for operators.
    fn state(&self) -> Value {
        json!({
            "last_event": self.list.revision,
            "known_ms_ago": wall_clock_ms().saturating_sub(self.list.at_ms),
            "served": self.clients.served(),
            "offered": self.counters.offered,
            "taken": self.counters.adopted,
            "failed": self.counters.failed,
        })
    }
}

impl Driver for Peers {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if key == self.listener_key {
            return self.accept(turn);
        }
        if self.clients.contains(key) {
            return self.clients.advance(key, &self.list, &mut self.read_buffer);
        }
        let progress = self.advance_poll(key);
        if matches!(progress, Ok(Progress::Pending)) {
            return;
        }
        let Some(poll) = self.polls.remove(&key) else {
            return;
        };
        match progress {
            Ok(_) => self.handle_response(turn, &poll),
            Err(_) => self.record_failure(turn.now, poll.peer),
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        self.listener.resume_if_due(now);
        self.close_expired(now);
        if now < self.bootstrap.next_round() {
            return;
        }
        // Rounds continue while the list service is in contact, but no peer is polled.
        let chosen = self.bootstrap.start_round(now);
        if self.service_is_silent(now) {
            for peer in chosen {
                self.poll_peer(turn, peer);
            }
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let polls = self.polls.values().map(|poll| poll.deadline);
        polls
            .chain(self.clients.next_deadline())
            .chain([self.bootstrap.next_round()])
            .chain(self.listener.resumes_at())
            .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Endpoints(EndpointEffect::WatchEvent { revision, event }) => {
                self.service_seen_at = Some(turn.now);
                let purge_ms = self.lifetimes.purge_ms;
                self.list.apply(
                    *revision,
                    wall_clock_ms(),
                    turn.now / 1_000,
                    purge_ms,
                    event,
                );
            }
            Effect::Endpoints(EndpointEffect::Current) => {
                self.service_seen_at = Some(turn.now);
                self.list.at_ms = wall_clock_ms();
            }
            Effect::Endpoints(EndpointEffect::Adopted(list)) => {
                self.counters.adopted += 1;
                self.list = Snapshot::clone(list);
            }
            Effect::Admin(AdminEffect::Command { id, name, .. }) if name == "peers" => {
                turn.effects.push(Effect::response(*id, Ok(self.state())));
            }
            _ => {}
        }
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        vec![(
            "peers",
            "exchange of the endpoint list with peers: lists served, offered and adopted, and age of the list",
        )]
    }
}
