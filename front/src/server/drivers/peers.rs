//! Exchanges the endpoint list with peers. A front serves its list to the fronts that ask for it, and polls a few peers while
//! the list service is silent. A request is the last revision that the client knows, 8 bytes big-endian. The response is the
//! list in the form in which it is kept on disk, or nothing if there is no newer one; then the connection is closed.
mod clients;

pub use clients::MAX_CLIENTS;

use super::snapshot::{decode_list, wall_clock_ms, ListRequirements};
use super::{AdminEffect, Driver, Effect, EndpointEffect, Turn};
use crate::protocol::snapshot::{Snapshot, MAX_SNAPSHOT_BYTES};
use crate::transport::{at_start, dial, listen, Outgoing, RestingListener, Stream};
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

/// An exchange that takes longer is abandoned on either end, so that a peer that sends byte by byte holds no slot.
const EXCHANGE_TIMEOUT: Micros = 1_500_000;
/// Peers are polled once the list service was silent for this long.
const SERVICE_TIMEOUT: Micros = 1_000_000;
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// A request is the last revision that the client knows.
const REQUEST_BYTES: usize = size_of::<u64>();

/// Why the list cannot be exchanged with peers. The texts are what the operator sees.
#[derive(Debug, Error)]
pub enum PeersError {
    /// An address in the settings is not valid.
    #[error("startup.peers.{key}: {address}: {cause}")]
    Address {
        /// The key of the setting.
        key: &'static str,
        /// What stands there.
        address: String,
        /// Why it is not valid.
        cause: AddrParseError,
    },
    /// The address for peers cannot be listened on.
    #[error("startup.peers.listen: {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system says.
        cause: io::Error,
    },
}

/// For how long lists and the purges in them may be used.
#[derive(Clone, Copy, Debug)]
pub struct ListLifetimes {
    /// Purges are kept for this many milliseconds.
    pub purge_ms: u64,
    /// A list may be served from up to this age in milliseconds.
    pub serve_ms: u64,
}

/// A connection to a peer that is asked for its list.
struct Poll {
    peer: usize,
    stream: Stream<()>,
    deadline: Timestamp,
    /// The last revision that was known when the peer was asked.
    known_revision: u64,
}

/// How far the response of a peer has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Pending,
    Complete,
}

/// Figures for operators.
#[derive(Default)]
struct Counters {
    /// Usable lists received from peers.
    offered: u64,
    /// Lists adopted from peers.
    adopted: u64,
    /// Polls that failed or brought an unusable list.
    failed: u64,
}

/// The driver that exchanges the endpoint list with peers.
pub struct Peers {
    listener: RestingListener<TcpListener>,
    listener_key: usize,
    peers: Vec<SocketAddr>,
    bootstrap: PeerBootstrap,
    known: Snapshot,
    lifetimes: ListLifetimes,
    clients: Clients,
    polls: HashMap<usize, Poll>,
    read_buffer: Vec<u8>,
    /// When the list service last sent something.
    service_seen_at: Option<Timestamp>,
    counters: Counters,
}

/// Returns the address under `key` of the settings.
fn parse_address(key: &'static str, text: &str) -> Result<SocketAddr, PeersError> {
    text.parse().map_err(|cause| PeersError::Address {
        key,
        address: text.into(),
        cause,
    })
}

/// Returns the addresses of the other fronts: all in the settings except this front's own.
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

/// Bytes to send, as the stream takes them.
fn outgoing(bytes: Vec<u8>) -> Outgoing<()> {
    Outgoing {
        tag: (),
        head: bytes,
        body: Rc::default(),
        tail: b"",
    }
}

impl Peers {
    /// Opens the socket for peers. `known` is the list that the front begins with.
    pub fn new(
        turn: &mut Turn<'_>,
        settings: &Settings,
        known: Snapshot,
        seed: u64,
        lifetimes: ListLifetimes,
    ) -> Result<Self, PeersError> {
        let address = parse_address("listen", &settings.listen)?;
        let peers = other_peers(settings, address)?;
        let listener_key = turn.key();
        let listener = at_start(|| listen(address))
            .and_then(|l| turn.reactor.watch(l, listener_key, false))
            .map_err(|cause| PeersError::Listen { address, cause })?;
        tracing::info!(at = %address, peers = peers.len(), "the list is served to peers");
        let interval = settings.every_ms * 1_000;
        let bootstrap = PeerBootstrap::new(turn.now, peers.len(), settings.agree, interval, seed);
        Ok(Peers {
            listener: RestingListener::new(listener),
            listener_key,
            peers,
            bootstrap,
            known,
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
        let known_revision = self.known.revision;
        stream.push(outgoing(known_revision.to_be_bytes().to_vec()));
        let poll = Poll {
            peer,
            stream,
            deadline: turn.now + EXCHANGE_TIMEOUT,
            known_revision,
        };
        self.polls.insert(key, poll);
    }

    /// Reads from and writes to a peer that is polled.
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
        while let Some(n) = poll.stream.fill(&mut self.read_buffer)? {
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
        // The known list may have become newer since the peer was asked.
        let required = ListRequirements {
            source: self.known.source,
            known_revision: poll.known_revision.max(self.known.revision),
            max_age_ms: self.lifetimes.serve_ms,
        };
        match decode_list(response, required) {
            Ok(list) => self.record_offer(turn, peer, list),
            Err(error) => {
                let at = self.peers[peer];
                tracing::info!(kind = "peer", why = %error, %at, "a peer's list is left aside");
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
        let known_revision = self.known.revision;
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

    /// Disconnects clients and peers whose exchange takes too long.
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

    /// Whether the list service was silent for so long that peers are polled.
    fn service_is_silent(&self, now: Timestamp) -> bool {
        self.service_seen_at
            .is_none_or(|at| now >= at + SERVICE_TIMEOUT)
    }

    /// Returns the state as operators see it.
    fn state(&self) -> Value {
        json!({
            "last_event": self.known.revision,
            "known_ms_ago": wall_clock_ms().saturating_sub(self.known.at_ms),
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
            return self
                .clients
                .advance(key, &self.known, &mut self.read_buffer);
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
        // Rounds are counted while the service is in contact, too; nobody is polled then.
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
                self.known.apply(
                    *revision,
                    wall_clock_ms(),
                    turn.now / 1_000,
                    purge_ms,
                    event,
                );
            }
            Effect::Endpoints(EndpointEffect::Current) => {
                self.service_seen_at = Some(turn.now);
                self.known.at_ms = wall_clock_ms();
            }
            Effect::Endpoints(EndpointEffect::Adopted(list)) => {
                self.counters.adopted += 1;
                self.known = Snapshot::clone(list);
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
            "the list from one another: served, offered, taken, and how old it is",
        )]
    }
}
