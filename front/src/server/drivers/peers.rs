//! The list from one another. A front serves what it holds to those that ask, and asks a few while it does not hear the list
//! service. An asker writes the number of its last event, 8 bytes; what comes back is the text of the list as it is kept on
//! disk, or nothing if there is none newer, and the end.
use super::snapshot::wall_ms;
use super::{AdminEffect, Driver, Effect, EndpointEffect, Turn};
use crate::protocol::snapshot::{Snapshot, MAX_SNAPSHOT_BYTES};
use crate::transport::{at_start, dial, listen, Outgoing, RestingListener, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::Peers as Settings;
use cranesill_startup::{check_snapshot, ListOffer, PeerBootstrap, SnapshotHeader};
use serde_json::json;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Askers at once; one more is closed.
pub const ASKERS_MOST: usize = 16;
/// An exchange takes no longer than this, on either end: one that is slow by the byte is given up.
const EXCHANGE_MOST: Micros = 1_500_000;
/// Without a word of the service for this long others are asked.
const UNHEARD: Micros = 1_000_000;
const READ_MOST: usize = 64 * 1024;
const HELLO: usize = 8;

struct Asker {
    stream: Stream<()>,
    until: Timestamp,
    answered: bool,
}

struct Asked {
    peer: usize,
    stream: Stream<()>,
    until: Timestamp,
    /// The number of the last event that was held when it was asked.
    held: u64,
}

/// The driver.
pub struct Peers {
    listener: RestingListener<TcpListener>,
    listener_key: usize,
    peers: Vec<SocketAddr>,
    core: PeerBootstrap,
    known: Snapshot,
    purge_ms: u64,
    serve_ms: u64,
    askers: HashMap<usize, Asker>,
    asked: HashMap<usize, Asked>,
    scratch: Vec<u8>,
    /// When the service was last heard.
    heard: Option<Timestamp>,
    /// For operators: lists served, rounds, lists offered and taken, peers that failed.
    served: u64,
    offered: u64,
    taken: u64,
    failed: u64,
}

impl Peers {
    /// Listens; `known` is what is held at the start.
    pub fn new(
        turn: &mut Turn<'_>,
        settings: &Settings,
        known: Snapshot,
        seed: u64,
        (purge_ms, serve_ms): (u64, u64),
    ) -> Result<Self, String> {
        let address = |text: &str, path: &str| {
            text.parse::<SocketAddr>()
                .map_err(|e| format!("startup.peers.{path}: {text}: {e}"))
        };
        let own = address(&settings.listen, "listen")?;
        let all = settings
            .ask
            .iter()
            .map(|text| address(text, "ask"))
            .collect::<Result<Vec<_>, _>>()?;
        let peers: Vec<_> = all.into_iter().filter(|at| *at != own).collect();
        let failed = |e: io::Error| format!("startup.peers.listen: {own}: {e}");
        let listener_key = turn.key();
        let listener = at_start(|| listen(own))
            .and_then(|l| turn.reactor.watch(l, listener_key, false))
            .map_err(failed)?;
        tracing::info!(at = %own, peers = peers.len(), "the list is served to peers");
        let core = PeerBootstrap::new(
            turn.now,
            peers.len(),
            settings.agree,
            settings.every_ms * 1_000,
            seed,
        );
        Ok(Peers {
            listener: RestingListener::new(listener),
            listener_key,
            peers,
            core,
            known,
            purge_ms,
            serve_ms,
            askers: HashMap::new(),
            asked: HashMap::new(),
            scratch: vec![0; READ_MOST],
            heard: None,
            served: 0,
            offered: 0,
            taken: 0,
            failed: 0,
        })
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        while let Some(socket) = self.listener.accept(turn.now) {
            if self.askers.len() >= ASKERS_MOST {
                continue;
            }
            let key = turn.key();
            if let Ok(stream) = Stream::new(turn.reactor, socket, key, false) {
                let until = turn.now + EXCHANGE_MOST;
                self.askers.insert(
                    key,
                    Asker {
                        stream,
                        until,
                        answered: false,
                    },
                );
            }
        }
    }

    /// Goes on with an asker. An error: it is done with, or of no use.
    fn serve(&mut self, key: usize) -> io::Result<()> {
        let Some(asker) = self.askers.get_mut(&key) else {
            return Ok(());
        };
        while let Some(n) = asker.stream.fill(&mut self.scratch)? {
            if n == 0 || asker.stream.input().len() > HELLO {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        let hello: Option<[u8; HELLO]> = asker.stream.input().try_into().ok();
        if let Some(held) = hello.filter(|_| !asker.answered).map(u64::from_be_bytes) {
            asker.answered = true;
            if let Some(text) = Some(&self.known)
                .filter(|k| k.number > held)
                .and_then(Snapshot::encode)
            {
                self.served += 1;
                asker.stream.push(Outgoing {
                    tag: (),
                    head: text.into(),
                    body: Rc::default(),
                    tail: b"",
                });
            }
        }
        asker.stream.flush(|()| {})?;
        asker.stream.rewatch(true)?;
        if asker.answered && asker.stream.flushed() {
            return Err(io::ErrorKind::WriteZero.into());
        }
        Ok(())
    }

    fn ask(&mut self, turn: &mut Turn<'_>, peer: usize) {
        let key = turn.key();
        match dial(self.peers[peer]).and_then(|socket| Stream::new(turn.reactor, socket, key, true))
        {
            Ok(mut stream) => {
                let held = self.known.number;
                let head = held.to_be_bytes().to_vec();
                stream.push(Outgoing {
                    tag: (),
                    head,
                    body: Rc::default(),
                    tail: b"",
                });
                self.asked.insert(
                    key,
                    Asked {
                        peer,
                        stream,
                        until: turn.now + EXCHANGE_MOST,
                        held,
                    },
                );
            }
            Err(_) => self.core.record_failure(turn.now, peer),
        }
    }

    /// Goes on with a peer that was asked. `true`: all has come that it has to say.
    fn hear(&mut self, key: usize) -> io::Result<bool> {
        let Some(asked) = self.asked.get_mut(&key) else {
            return Ok(false);
        };
        if !asked.stream.connected()? {
            return Ok(false);
        }
        if !asked.stream.flushed() {
            asked.stream.flush(|()| {})?;
            asked.stream.rewatch(true)?;
        }
        while let Some(n) = asked.stream.fill(&mut self.scratch)? {
            if n == 0 {
                return Ok(true);
            }
            if asked.stream.input().len() > MAX_SNAPSHOT_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
        Ok(false)
    }

    fn said(&mut self, turn: &mut Turn<'_>, asked: &Asked) {
        let (peer, text) = (asked.peer, asked.stream.input());
        if text.is_empty() {
            return self.core.record_no_update(peer);
        }
        let judged = Snapshot::decode(text)
            .map_err(|error| error.to_string())
            .and_then(|list| {
                let header = SnapshotHeader {
                    source: list.source,
                    revision: list.number,
                    current_at_ms: list.at_ms,
                };
                let held = asked.held.max(self.known.number);
                let good =
                    check_snapshot(wall_ms(), header, self.known.source, held, self.serve_ms);
                good.map_err(|why| why.to_string()).map(|()| list)
            });
        match judged {
            Ok(list) => {
                self.offered += 1;
                let offer = ListOffer {
                    revision: list.number,
                    digest: list.digest(),
                };
                if self
                    .core
                    .record_offer(turn.now, peer, self.known.number, offer)
                {
                    turn.effects
                        .push(Effect::Endpoints(EndpointEffect::Offered(Box::new(list))));
                }
            }
            Err(why) => {
                let at = self.peers[peer];
                tracing::info!(kind = "peer", why, %at, "a peer's list is left aside");
                self.lost(turn.now, peer);
            }
        }
    }

    fn lost(&mut self, now: Timestamp, peer: usize) {
        self.failed += 1;
        self.core.record_failure(now, peer);
    }
}

impl Driver for Peers {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if key == self.listener_key {
            return self.accept(turn);
        }
        if self.askers.contains_key(&key) {
            if self.serve(key).is_err() {
                self.askers.remove(&key);
            }
            return;
        }
        match self.hear(key) {
            Ok(false) => {}
            Ok(true) => {
                if let Some(asked) = self.asked.remove(&key) {
                    self.said(turn, &asked);
                }
            }
            Err(_) => {
                if let Some(asked) = self.asked.remove(&key) {
                    self.lost(turn.now, asked.peer);
                }
            }
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        let now = turn.now;
        self.listener.resume_if_due(now);
        self.askers.retain(|_, asker| asker.until > now);
        let late: Vec<_> = self
            .asked
            .iter()
            .filter(|(_, a)| a.until <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            if let Some(asked) = self.asked.remove(&key) {
                self.lost(now, asked.peer);
            }
        }
        if now >= self.core.next_round() {
            let asked = self.core.start_round(now);
            let unheard = self.heard.is_none_or(|at| now >= at + UNHEARD);
            for peer in asked.into_iter().filter(|_| unheard) {
                self.ask(turn, peer);
            }
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let ends = self
            .askers
            .values()
            .map(|a| a.until)
            .chain(self.asked.values().map(|a| a.until));
        ends.chain([self.core.next_round()])
            .chain(self.listener.resumes_at())
            .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Endpoints(EndpointEffect::WatchEvent {
                revision: number,
                event: news,
            }) => {
                self.heard = Some(turn.now);
                self.known
                    .apply(*number, wall_ms(), turn.now / 1_000, self.purge_ms, news);
            }
            Effect::Endpoints(EndpointEffect::Current) => {
                self.heard = Some(turn.now);
                self.known.at_ms = wall_ms();
            }
            Effect::Endpoints(EndpointEffect::Adopted(list)) => {
                self.taken += 1;
                self.known = Snapshot::clone(list);
            }
            Effect::Admin(AdminEffect::Command {
                id: number,
                name: word,
                ..
            }) if word == "peers" => {
                let shown = json!({
                    "last_event": self.known.number, "known_ms_ago": wall_ms().saturating_sub(self.known.at_ms),
                    "served": self.served, "offered": self.offered, "taken": self.taken, "failed": self.failed,
                });
                turn.effects.push(Effect::response(*number, Ok(shown)));
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
