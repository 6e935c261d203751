//! TLS listener. Handshakes run on the event loop with limits on their number, duration and CPU share, and after the work of
//! established connections. A connection whose handshake is complete is passed on as a client's.
mod failure_log;
mod handshake;
mod selection;

use super::certificate_table::ALPN_BINARY;
use super::{AdminEffect, Driver, Effect, TlsEffect, Turn};
use crate::server::acceptor::{AcceptBackoff, AcceptRetry};
use crate::transport::{listen, retry_on_shortage, AcceptFault, Registered};
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::{Daemon, Tls as Settings};
use cranesill_limits::{CpuShare, Slots};
use failure_log::FailureLog;
use handshake::{Handshake, HandshakeError, Progress};
use rustls::HandshakeKind;
use selection::CertificateSelector;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io;
use std::net::{AddrParseError, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Instant;
use thiserror::Error;

/// Maximum CPU time of handshakes per turn of the event loop, so that they do not delay established connections.
const MAX_CPU_PER_TURN: Micros = 2_000;
/// Maximum number of connections accepted per turn of the event loop.
const MAX_ACCEPTS_PER_TURN: usize = 16;
/// Time for which a handshake is protected from being displaced. Under a flood of connections, newer ones wait in the accept
/// queue.
const MIN_SLOT_DURATION: Micros = 250_000;

/// Failure to start the TLS listener. Its text is shown to operators.
#[derive(Debug, Error)]
pub enum TlsError {
    /// The address is invalid.
    #[error("tls.listen: {address}: {cause}")]
    Address {
        /// Address in the settings.
        address: String,
        /// Error of the parser.
        cause: AddrParseError,
    },
    /// The listener could not be opened.
    #[error("tls.listen: cannot listen on {address}: {cause}")]
    Listen {
        /// Address in the settings.
        address: String,
        /// Error of the system call.
        cause: io::Error,
    },
}

/// Counters for operators.
#[derive(Default)]
struct Counters {
    accepted: u64,
    complete: u64,
    resumed: u64,
    displaced: u64,
    timed_out: u64,
    /// By label of the error.
    failed: BTreeMap<&'static str, u64>,
    cpu_us: u64,
}

/// A handshake that was given a slot. It may have ended since.
struct Admitted {
    admitted_at: Timestamp,
    key: usize,
}

/// The driver of the TLS listener.
pub struct Tls {
    listener: Registered<TcpListener>,
    listener_key: usize,
    address: SocketAddr,
    /// Whether the listener is watched.
    accepting: bool,
    settings: Settings,
    selector: CertificateSelector,
    slots: Slots,
    cpu_share: CpuShare,
    /// Handshakes in the order of admission.
    admitted: VecDeque<Admitted>,
    handshakes: HashMap<usize, Handshake>,
    counters: Counters,
    failure_log: FailureLog,
    accept_backoff: AcceptBackoff,
    /// Time before which nothing is accepted, after a failed `accept`.
    accept_resumes_at: Timestamp,
    draining: bool,
}

impl Tls {
    /// Opens the listener.
    pub fn new(turn: &mut Turn<'_>, settings: Settings) -> Result<Self, TlsError> {
        let configured: SocketAddr =
            settings.listen.parse().map_err(|cause| TlsError::Address {
                address: settings.listen.clone(),
                cause,
            })?;
        let listen_error = |cause| TlsError::Listen {
            address: settings.listen.clone(),
            cause,
        };
        let listener_key = turn.key();
        let listener = retry_on_shortage(|| listen(configured)).map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        let listener = turn
            .reactor
            .watch(listener, listener_key, false)
            .map_err(listen_error)?;
        tracing::info!(at = %address, "TLS listening");
        let timeout = settings.handshake_ms * 1_000;
        Ok(Tls {
            listener,
            listener_key,
            address,
            accepting: true,
            slots: Slots::new(settings.handshakes_most, timeout),
            cpu_share: CpuShare::new(turn.now, settings.core_percent),
            selector: CertificateSelector {
                table: Arc::default(),
                challenges: HashMap::new(),
                expired: settings.expired,
            },
            settings,
            admitted: VecDeque::new(),
            handshakes: HashMap::new(),
            counters: Counters::default(),
            failure_log: FailureLog::default(),
            accept_backoff: AcceptBackoff::default(),
            accept_resumes_at: 0,
            draining: false,
        })
    }

    /// Whether a slot is free, or the oldest handshake may be displaced.
    fn has_slot(&mut self, now: Timestamp) -> bool {
        while let Some(oldest) = self.admitted.front() {
            if self.handshakes.contains_key(&oldest.key) {
                break;
            }
            self.admitted.pop_front();
        }
        let free = self.slots.len() < self.settings.handshakes_most;
        let oldest = self.admitted.front();
        free || oldest.is_none_or(|oldest| now >= oldest.admitted_at + MIN_SLOT_DURATION)
    }

    /// Whether a connection may be accepted: a slot is available, and no handshake waits because the CPU share is used up.
    fn may_accept(&mut self, now: Timestamp) -> bool {
        self.has_slot(now) && (!self.slots.has_ready() || self.cpu_share.may_start(now))
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        self.accept_backoff.begin_turn();
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            if !self.may_accept(turn.now) {
                // Further connections wait in the accept queue.
                return self.watch_listener(false);
            }
            match self.listener.accept() {
                Ok((socket, _)) => self.admit(turn, socket),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return self.accept_backoff.emptied();
                }
                Err(e) => match self.accept_backoff.failed(turn.now, AcceptFault::of(&e)) {
                    AcceptRetry::Now => {}
                    AcceptRetry::At(until) => {
                        tracing::warn!(error = %e, "cannot accept a TLS connection; retrying");
                        self.accept_resumes_at = until;
                        return self.watch_listener(false);
                    }
                },
            }
        }
    }

    /// Starts the handshake on an accepted connection, and displaces an older one if all slots are taken.
    fn admit(&mut self, turn: &mut Turn<'_>, socket: TcpStream) {
        // No request is sent before the handshake is complete, so the time in the accept queue delays none.
        self.accept_backoff.accepted(turn.now);
        let key = turn.key();
        let ready = socket
            .set_nonblocking(true)
            .and_then(|()| socket.set_nodelay(true));
        let Ok(socket) = ready.and_then(|()| turn.reactor.watch(socket, key, false)) else {
            return;
        };
        self.counters.accepted += 1;
        for displaced in self.slots.acquire(turn.now, key).displaced {
            self.counters.displaced += 1;
            self.handshakes.remove(&displaced);
        }
        self.admitted.push_back(Admitted {
            admitted_at: turn.now,
            key,
        });
        self.handshakes.insert(key, Handshake::new(socket));
    }

    fn watch_listener(&mut self, accepting: bool) {
        if self.accepting != accepting {
            self.accepting = accepting;
            // Fails only for a socket that is not watched.
            let _ = self.listener.rewatch(accepting, false);
        }
    }

    /// Advances the handshakes whose sockets are ready, as far as the CPU share allows.
    fn advance_ready(&mut self, turn: &mut Turn<'_>) {
        let mut spent = 0;
        while spent < MAX_CPU_PER_TURN && self.cpu_share.may_start(turn.now) {
            let Some(key) = self.slots.next_ready() else {
                break;
            };
            let started_at = Instant::now();
            let progress = match self.handshakes.get_mut(&key) {
                Some(handshake) => handshake.advance(&self.selector),
                None => Ok(Progress::Pending),
            };
            let elapsed = started_at.elapsed().as_micros() as Micros;
            self.counters.cpu_us += elapsed;
            // At least one microsecond each, so that the loop terminates.
            let charged = elapsed.max(1);
            self.cpu_share.charge(charged);
            spent += charged;
            self.handle_progress(turn, key, progress);
        }
    }

    fn handle_progress(
        &mut self,
        turn: &mut Turn<'_>,
        key: usize,
        progress: Result<Progress, HandshakeError>,
    ) {
        match progress {
            Ok(Progress::Pending) => {
                if let Some(handshake) = self.handshakes.get(&key) {
                    handshake.watch();
                }
            }
            Ok(Progress::Complete) => self.complete(turn, key),
            Err(error) => {
                self.slots.release(key);
                self.handshakes.remove(&key);
                *self.counters.failed.entry(error.label()).or_default() += 1;
                self.failure_log.record(error.label());
            }
        }
    }

    fn complete(&mut self, turn: &mut Turn<'_>, key: usize) {
        self.slots.release(key);
        let handshake = self.handshakes.remove(&key);
        let Some((socket, connection)) = handshake.and_then(Handshake::into_connection) else {
            return;
        };
        self.counters.complete += 1;
        if connection.handshake_kind() == Some(HandshakeKind::Resumed) {
            self.counters.resumed += 1;
        }
        // A connection that validated an ACME challenge is closed here.
        if connection.alpn_protocol() == Some(ALPN_BINARY) {
            let client = TlsEffect::Client { socket, connection };
            turn.effects.push(Effect::Tls(client));
        }
    }

    /// Closes the handshakes that have timed out.
    fn close_expired(&mut self, now: Timestamp) {
        for key in self.slots.take_expired(now) {
            self.counters.timed_out += 1;
            self.failure_log.record("late");
            self.handshakes.remove(&key);
        }
    }

    /// Returns the time at which the listener may be watched again; `None` while it is watched, or if the process shuts down.
    fn next_accept(&self) -> Option<Timestamp> {
        if self.accepting || self.draining {
            return None;
        }
        let full = self.slots.len() >= self.settings.handshakes_most;
        let slot_at = self
            .admitted
            .front()
            .filter(|oldest| full && self.handshakes.contains_key(&oldest.key))
            .map_or(0, |oldest| oldest.admitted_at + MIN_SLOT_DURATION);
        let cpu_at = self.cpu_share.next_start();
        Some(slot_at.max(cpu_at).max(self.accept_resumes_at))
    }

    /// Returns the state for operators.
    fn state(&self) -> Value {
        let counters = &self.counters;
        json!({
            "at": self.address.to_string(),
            "accepting": self.accepting,
            "under_way": self.handshakes.len(),
            "names": self.selector.table.len(),
            "accepted": counters.accepted,
            "complete": counters.complete,
            "resumed": counters.resumed,
            "displaced": counters.displaced,
            "late": counters.timed_out,
            "failed": counters.failed,
            "core_us": counters.cpu_us,
        })
    }
}

impl Driver for Tls {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if key == self.listener_key {
            return self.accept(turn);
        }
        self.slots.mark_ready(key);
        if let Some(handshake) = self.handshakes.get(&key) {
            // The poller would report it continuously until it is advanced.
            handshake.unwatch();
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        self.close_expired(turn.now);
        self.advance_ready(turn);
        let unchanged = self.accepting || self.draining || turn.now < self.accept_resumes_at;
        if !unchanged && self.has_slot(turn.now) && self.cpu_share.may_start(turn.now) {
            self.watch_listener(true);
        }
        self.failure_log.log_if_due(turn.now);
    }

    fn next(&self) -> Option<Timestamp> {
        let has_ready = self.slots.has_ready();
        let advance = has_ready.then(|| self.cpu_share.next_start());
        let log = self.failure_log.next_deadline();
        [self.slots.next_deadline(), advance, self.next_accept(), log]
            .into_iter()
            .flatten()
            .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Tls(TlsEffect::Certificates(table)) => {
                self.selector.table = Arc::clone(table);
            }
            Effect::Tls(TlsEffect::Challenge { name, certificate }) => match certificate {
                Some(certificate) => {
                    let certificate = Arc::clone(certificate);
                    self.selector.challenges.insert(name.clone(), certificate);
                }
                None => drop(self.selector.challenges.remove(name)),
            },
            Effect::Admin(AdminEffect::Command { id, name, .. }) if name == "tls" => {
                turn.effects.push(Effect::response(*id, Ok(self.state())));
            }
            _ => {}
        }
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        vec![(
            "tls",
            "state of the TLS listener: handshakes in progress, complete, and failed by cause",
        )]
    }

    fn reload(&mut self, turn: &mut Turn<'_>, settings: &Daemon) {
        let Some(new) = &settings.tls else {
            return;
        };
        // The address only changes with a restart, since the socket stays open.
        let listen = std::mem::take(&mut self.settings.listen);
        self.settings = Settings {
            listen,
            ..new.clone()
        };
        self.selector.expired = new.expired;
        self.slots
            .set_limits(new.handshakes_most, new.handshake_ms * 1_000);
        self.cpu_share.set_percent(turn.now, new.core_percent);
    }

    fn drain(&mut self) {
        self.draining = true;
        self.watch_listener(false);
    }
}
