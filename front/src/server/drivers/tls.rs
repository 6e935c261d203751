//! The TLS listener: handshakes on the loop, bounded in number, in time and in their share of the core, behind
//! everything that open connections want. A connection whose handshake is complete is a client's like any other.
use super::certificate_table::{CertificateTable, ChallengeCertificate, ALPN_ACME, ALPN_BINARY};
use super::{AdminEffect, Driver, Effect, TlsEffect, Turn};
use crate::server::acceptor::{AcceptBackoff, Next};
use crate::transport::{at_start, listen, AcceptFault, Registered};
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::{Daemon, Expired, Tls as Settings};
use cranesill_limits::{CpuShare, Slots};
use rustls::server::Acceptor;
use rustls::{ServerConfig, ServerConnection};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Core time that handshakes get in one turn before open connections are looked at again.
const SLICE: Micros = 2_000;
/// Connections accepted in one turn.
const ACCEPTS_MOST: usize = 16;
/// A place is kept for this long before it may be displaced: those that come in a flood wait in the system's queue.
const KEPT_LEAST: Micros = 250_000;
/// Bytes that a client may send before its handshake is complete.
const HELLO_MOST: usize = 64 * 1024;
/// Pause between two notes of handshakes that failed.
const NOTE_EACH: Micros = 1_000_000;

/// Alerts that are sent before there are keys (RFC 8446, section 6; RFC 6066, section 3; RFC 7301, section 3.2).
const CERTIFICATE_EXPIRED: u8 = 45;
const INTERNAL_ERROR: u8 = 80;
const UNRECOGNIZED_NAME: u8 = 112;
const NO_APPLICATION_PROTOCOL: u8 = 120;

enum Phase {
    Hello(Box<Acceptor>),
    Shake(Box<ServerConnection>),
}

struct Handshake {
    socket: Registered<TcpStream>,
    phase: Phase,
    read: usize,
}

/// What became of a step.
enum Step {
    /// More has to come.
    Wait,
    Done,
    /// It is over; the word is for the counts.
    Over(&'static str),
}

#[derive(Default)]
struct Counts {
    accepted: u64,
    complete: u64,
    resumed: u64,
    displaced: u64,
    late: u64,
    failed: BTreeMap<&'static str, u64>,
    core_us: u64,
}

/// The listener.
pub struct Tls {
    listener: Registered<TcpListener>,
    listener_key: usize,
    at: SocketAddr,
    /// Whether the listener is watched.
    accepting: bool,
    settings: Settings,
    table: Arc<CertificateTable>,
    proofs: HashMap<String, Arc<ChallengeCertificate>>,
    slots: Slots,
    cpu_share: CpuShare,
    /// When each place was taken, oldest first; some have gone.
    taken: std::collections::VecDeque<(Timestamp, usize)>,
    all: HashMap<usize, Handshake>,
    counts: Counts,
    /// Failures since the last note.
    untold: BTreeMap<&'static str, u64>,
    note_at: Timestamp,
    accepts: AcceptBackoff,
    /// Nothing is accepted before this moment: a call failed.
    rests: Timestamp,
    draining: bool,
}

impl Tls {
    /// Listens.
    pub fn new(turn: &mut Turn<'_>, settings: Settings) -> Result<Self, String> {
        let failed = |e: &dyn std::fmt::Display| format!("tls.listen: {}: {e}", settings.listen);
        let at: SocketAddr = settings
            .listen
            .parse()
            .map_err(|e: std::net::AddrParseError| failed(&e))?;
        let listener_key = turn.key();
        let listener = at_start(|| listen(at)).map_err(|e| failed(&e))?;
        let at = listener.local_addr().map_err(|e| failed(&e))?;
        let listener = turn
            .reactor
            .watch(listener, listener_key, false)
            .map_err(|e| failed(&e))?;
        tracing::info!(%at, "TLS listening");
        let span = settings.handshake_ms * 1_000;
        Ok(Tls {
            listener,
            listener_key,
            at,
            accepting: true,
            slots: Slots::new(settings.handshakes_most, span),
            cpu_share: CpuShare::new(turn.now, settings.core_percent),
            settings,
            table: Arc::default(),
            proofs: HashMap::new(),
            taken: Default::default(),
            all: HashMap::new(),
            counts: Counts::default(),
            untold: BTreeMap::new(),
            note_at: 0,
            accepts: AcceptBackoff::default(),
            rests: 0,
            draining: false,
        })
    }

    /// When a connection may be accepted.
    fn room(&mut self, now: Timestamp) -> Result<(), Timestamp> {
        while self
            .taken
            .front()
            .is_some_and(|(_, key)| !self.all.contains_key(key))
        {
            self.taken.pop_front();
        }
        let free = self.slots.len() < self.settings.handshakes_most;
        match self.taken.front() {
            Some((since, _)) if !free && now < since + KEPT_LEAST => Err(since + KEPT_LEAST),
            _ => Ok(()),
        }
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        self.accepts.begin_turn();
        for _ in 0..ACCEPTS_MOST {
            if self.room(turn.now).is_err()
                || self.slots.has_ready() && !self.cpu_share.may_start(turn.now)
            {
                // The rest waits in the system's queue.
                return self.watch(false);
            }
            let socket = match self.listener.accept() {
                Ok((socket, _)) => socket,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return self.accepts.emptied(),
                Err(e) => match self.accepts.failed(turn.now, AcceptFault::of(&e)) {
                    Next::Retry => continue,
                    Next::Rest(until) => {
                        tracing::warn!(error = %e, "TLS accept");
                        self.rests = until;
                        return self.watch(false);
                    }
                },
            };
            // Nothing is asked before the handshake is complete: the wait is no request's.
            self.accepts.accepted(turn.now);
            let key = turn.key();
            let ready = socket
                .set_nonblocking(true)
                .and_then(|()| socket.set_nodelay(true));
            let Ok(socket) = ready.and_then(|()| turn.reactor.watch(socket, key, false)) else {
                continue;
            };
            self.counts.accepted += 1;
            let displaced = self.slots.acquire(turn.now, key).displaced;
            for old in displaced {
                self.counts.displaced += 1;
                self.all.remove(&old);
            }
            self.taken.push_back((turn.now, key));
            let phase = Phase::Hello(Box::default());
            self.all.insert(
                key,
                Handshake {
                    socket,
                    phase,
                    read: 0,
                },
            );
        }
    }

    fn watch(&mut self, accepting: bool) {
        if self.accepting != accepting {
            self.accepting = accepting;
            // The listener is watched for as long as the program runs: this can't fail.
            let _ = self.listener.rewatch(accepting, false);
        }
    }

    /// Lets handshakes go on that something came for, as far as their share of the core goes.
    fn work(&mut self, turn: &mut Turn<'_>) {
        let mut spent = 0;
        while spent < SLICE && self.cpu_share.may_start(turn.now) {
            let Some(key) = self.slots.next_ready() else {
                break;
            };
            let begun = Instant::now();
            let step = self.step(key);
            let took = begun.elapsed().as_micros() as Micros;
            self.cpu_share.charge(took.max(1));
            self.counts.core_us += took;
            spent += took.max(1);
            match step {
                Step::Wait => {
                    if let Some(handshake) = self.all.get(&key) {
                        let writes = match &handshake.phase {
                            Phase::Hello(_) => false,
                            Phase::Shake(connection) => connection.wants_write(),
                        };
                        // It can only fail for a socket that is not watched.
                        let _ = handshake.socket.rewatch(true, writes);
                    }
                }
                Step::Done => self.done(turn, key),
                Step::Over(why) => {
                    self.slots.release(key);
                    self.all.remove(&key);
                    *self.counts.failed.entry(why).or_default() += 1;
                    *self.untold.entry(why).or_default() += 1;
                }
            }
        }
    }

    fn done(&mut self, turn: &mut Turn<'_>, key: usize) {
        self.slots.release(key);
        if let Some(Handshake {
            socket,
            phase: Phase::Shake(connection),
            ..
        }) = self.all.remove(&key)
        {
            self.counts.complete += 1;
            self.counts.resumed +=
                u64::from(connection.handshake_kind() == Some(rustls::HandshakeKind::Resumed));
            // What answered a challenge has nothing more to say.
            if connection.alpn_protocol() == Some(ALPN_BINARY) {
                turn.effects
                    .push(Effect::Tls(TlsEffect::Client(socket, connection)));
            }
        }
    }

    fn step(&mut self, key: usize) -> Step {
        let Some(handshake) = self.all.get_mut(&key) else {
            return Step::Wait;
        };
        let mut socket: &TcpStream = &handshake.socket;
        loop {
            let read = match &mut handshake.phase {
                Phase::Hello(acceptor) => acceptor.read_tls(&mut socket),
                Phase::Shake(connection) => connection.read_tls(&mut socket),
            };
            let blocked = match read {
                Ok(0) => return Step::Over("closed"),
                Ok(n) => {
                    handshake.read += n;
                    false
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => true,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => return Step::Over("broken"),
            };
            if handshake.read > HELLO_MOST {
                return Step::Over("too-long");
            }
            match &mut handshake.phase {
                Phase::Hello(acceptor) => match acceptor.accept() {
                    Ok(None) if blocked => return Step::Wait,
                    Ok(None) => {}
                    Ok(Some(accepted)) => {
                        match choose(&accepted, &self.table, &self.proofs, self.settings.expired) {
                            Ok(config) => match accepted.into_connection(config) {
                                Ok(connection) => {
                                    handshake.phase = Phase::Shake(Box::new(connection))
                                }
                                Err((_, mut alert)) => {
                                    let _ = alert.write(&mut socket);
                                    return Step::Over("no-agreement");
                                }
                            },
                            Err((alert, why)) => {
                                // A record of one fatal alert (RFC 8446, section 5.1); best effort.
                                let _ = socket.write(&[21, 3, 3, 0, 2, 2, alert]);
                                return Step::Over(why);
                            }
                        }
                    }
                    Err((_, mut alert)) => {
                        let _ = alert.write(&mut socket);
                        return Step::Over("garbage");
                    }
                },
                Phase::Shake(connection) => {
                    let state = connection.process_new_packets();
                    while connection.wants_write() {
                        match connection.write_tls(&mut socket) {
                            Ok(n) if n > 0 => {}
                            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                            _ => return Step::Over("broken"),
                        }
                    }
                    if state.is_err() {
                        return Step::Over("refused");
                    }
                    if !connection.is_handshaking() {
                        return Step::Done;
                    }
                    if blocked {
                        return Step::Wait;
                    }
                }
            }
        }
    }

    fn note(&mut self, now: Timestamp) {
        if now < self.note_at || self.untold.is_empty() {
            return;
        }
        let kinds: Vec<_> = self
            .untold
            .iter()
            .map(|(why, n)| format!("{why}:{n}"))
            .collect();
        tracing::info!(kinds = kinds.join(","), "handshakes failed");
        self.untold.clear();
        self.note_at = now + NOTE_EACH;
    }
}

/// What a handshake is made with, or the alert that ends it and a word for the counts.
fn choose(
    accepted: &rustls::server::Accepted,
    table: &CertificateTable,
    proofs: &HashMap<String, Arc<ChallengeCertificate>>,
    expired: Expired,
) -> Result<Arc<ServerConfig>, (u8, &'static str)> {
    let hello = accepted.client_hello();
    let name = hello.server_name();
    let offers = |wanted: &[u8]| hello.alpn().is_some_and(|mut all| all.any(|p| p == wanted));
    if offers(ALPN_ACME) {
        let proof = name.and_then(|n| proofs.get(&n.to_ascii_lowercase()));
        return proof
            .map(|p| p.config())
            .ok_or((UNRECOGNIZED_NAME, "no-challenge"));
    }
    if !offers(ALPN_BINARY) {
        return Err((NO_APPLICATION_PROTOCOL, "no-protocol"));
    }
    let served = match table.find(name) {
        Some(served) => served,
        None if !table.has_default() => return Err((INTERNAL_ERROR, "no-certificate")),
        None => return Err((UNRECOGNIZED_NAME, "unknown-name")),
    };
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    if wall > served.not_after && expired == Expired::Refuse {
        return Err((CERTIFICATE_EXPIRED, "expired"));
    }
    Ok(Arc::clone(&served.config))
}

impl Driver for Tls {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if key == self.listener_key {
            return self.accept(turn);
        }
        self.slots.mark_ready(key);
        if let Some(handshake) = self.all.get(&key) {
            // It waits for its turn: the poller would tell of it without end. It can't fail for a watched socket.
            let _ = handshake.socket.rewatch(false, false);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        for key in self.slots.take_expired(turn.now) {
            self.counts.late += 1;
            *self.untold.entry("late").or_default() += 1;
            self.all.remove(&key);
        }
        self.work(turn);
        let rested = turn.now >= self.rests && !self.draining;
        if !self.accepting
            && rested
            && self.room(turn.now).is_ok()
            && self.cpu_share.may_start(turn.now)
        {
            self.watch(true);
        }
        self.note(turn.now);
    }

    fn next(&self) -> Option<Timestamp> {
        let work = self.slots.has_ready().then(|| self.cpu_share.next_start());
        let accept = (!self.accepting && !self.draining).then(|| {
            let full = self.slots.len() >= self.settings.handshakes_most;
            let oldest = self
                .taken
                .front()
                .filter(|(_, key)| full && self.all.contains_key(key));
            let room = oldest.map_or(0, |(since, _)| since + KEPT_LEAST);
            room.max(self.cpu_share.next_start()).max(self.rests)
        });
        let note = (!self.untold.is_empty()).then_some(self.note_at);
        [self.slots.next_deadline(), work, accept, note]
            .into_iter()
            .flatten()
            .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Tls(TlsEffect::Certificates(table)) => self.table = Arc::clone(table),
            Effect::Tls(TlsEffect::Challenge(name, Some(proof))) => {
                drop(self.proofs.insert(name.clone(), Arc::clone(proof)))
            }
            Effect::Tls(TlsEffect::Challenge(name, None)) => drop(self.proofs.remove(name)),
            Effect::Admin(AdminEffect::Command {
                id: number,
                name: word,
                ..
            }) if word == "tls" => {
                let counts = &self.counts;
                let state = json!({
                    "at": self.at.to_string(), "accepting": self.accepting, "under_way": self.all.len(),
                    "names": self.table.len(), "accepted": counts.accepted,
                    "complete": counts.complete, "resumed": counts.resumed, "displaced": counts.displaced,
                    "late": counts.late, "failed": counts.failed, "core_us": counts.core_us,
                });
                turn.effects.push(Effect::response(*number, Ok(state)));
            }
            _ => {}
        }
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        vec![(
            "tls",
            "the TLS listener: handshakes under way, complete, failed by cause",
        )]
    }

    fn reload(&mut self, turn: &mut Turn<'_>, settings: &Daemon) {
        if let Some(new) = &settings.tls {
            let listen = std::mem::take(&mut self.settings.listen);
            self.settings = Settings {
                listen,
                ..new.clone()
            };
            self.slots
                .set_limits(new.handshakes_most, new.handshake_ms * 1_000);
            self.cpu_share.set_percent(turn.now, new.core_percent);
        }
    }

    fn drain(&mut self) {
        self.draining = true;
        self.watch(false);
    }
}
