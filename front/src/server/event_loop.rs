//! The loop.
use super::acceptor::{AcceptBackoff, Next};
use super::config::Config;
use super::discovery::Discovery;
use super::downstream::{ClientEvent, Clients};
use super::drain::{Drain, Stage};
use super::drivers::certs::Certs;
use super::drivers::control::Control;
use super::drivers::ops::Ops;
use super::drivers::peers::Peers;
use super::drivers::purges::{parse_target, Purges};
use super::drivers::snapshot::{purge_ms, wall_ms, Snapshots};
use super::drivers::tls::Tls;
use super::drivers::{slot_of, Driver, Effect, Purging, Secured, Turn};
use super::floors;
use super::handover::{Shared, OUT_MOST};
use super::log::Log;
use super::signals::{drain, raised};
use super::startup::{calls, known, snapshots, Known, Startup};
use super::upstream::{CacheNodes, Ends};
use crate::protocol::feed::{Listing, News};
use crate::protocol::member::name_of;
use crate::protocol::ops::member_id;
use crate::protocol::snapshot::Snapshot;
use crate::routing::{
    AttemptEnd, AttemptId, Command, EventSource, Fetch, ReplyTo, RequestPipeline, Response, Timer,
};
use crate::transport::{
    at_start, inherited, listen, used_up, AcceptFault, Clock, Deadlines, Reactor, Registered,
};
use cranesill::api::{EndpointEntry, EndpointId, EndpointState, ListKind, Micros, Timestamp};
use cranesill_daemon::{changes, Daemon, Level};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::io;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

const LISTENER: usize = 0;
const TERM: usize = 1;
const HANGUP: usize = 2;
/// Keys from here on are for connections.
const KEYS: usize = 3;
/// Pause between two sweeps over all connections.
const SWEEP: Micros = 250_000;
/// A front that is emptied serves what is asked on open connections for this long; then it refuses.
const QUIESCE_SERVES: Micros = 1_500_000;
/// A process that waits for another to leave the clients' socket to it looks this often, and for members out by hand
/// that the other has heard of. A yes to a call out is given once the other has looked.
const TAKE_OVER: Micros = 10_000;
const LOOK: Micros = 100_000;
const SEEN: Micros = 250_000;
/// A process that leaves the socket to another closes connections to members that carry nothing for this long.
const LINK_IDLE: Micros = 500_000;
/// Nobody waits for an answer longer than this where the settings name no time.
const WAIT_MOST: Micros = 3_000_000;
/// Rank from which on events of a turn come after all that is heard of clients: what nodes leave free is not for those who left.
const NODES: usize = 3;
/// Connections accepted in one turn.
const ACCEPTS_MOST: usize = 64;
/// A clock that is apart from the list service's by more than this is told.
const CLOCK_APART_MS: i64 = 5_000;

/// What is due at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Timer(Timer),
    Dial(usize),
    Unwritten(AttemptId),
    Discovery,
    Sweep,
    /// The end of the program goes on.
    Drain,
    Quiesced,
    /// Members that are listed come into use.
    Members,
    /// Another process may have left the clients' socket to this one.
    TakeOver,
    /// Another process may have heard of members out by hand.
    OutByHand,
    /// An operator's call is answered.
    Confirm(u64),
    /// The clients' listener has rested after a failed `accept`.
    Accept,
    /// Connections to nodes that this machine could not begin are tried again.
    Redial,
}

/// One front on its sockets.
pub struct Server {
    config: Config,
    clock: Clock,
    reactor: Reactor,
    listener: Registered<TcpListener>,
    term: Registered<UnixStream>,
    hangup: Registered<UnixStream>,
    deadlines: Deadlines<Due>,
    front: RequestPipeline,
    clients: Clients,
    nodes: CacheNodes,
    discovery: Discovery,
    startup: Startup,
    /// What the list service tells is told to drivers.
    hears: bool,
    /// That this clock is far from the list service's was told.
    clock_told: bool,
    log: Log,
    last_key: usize,
    /// Since SIGTERM.
    draining: Option<Drain>,
    /// Where the platform starts a new process beside the old.
    shared: Option<Shared>,
    /// Whether this process accepts clients.
    accepts: bool,
    acceptor: AcceptBackoff,
    /// Members out by hand, as last seen in what is shared.
    out: BTreeSet<EndpointId>,
    /// Since when it is emptied.
    quiesced: Option<Timestamp>,
    /// The driver that goes before clients: operators' calls are due whatever the load.
    first: usize,
    /// The daemon's own settings, and where they were read from.
    daemon: Daemon,
    daemon_file: Option<PathBuf>,
    /// Subsystems that the settings switch on, each with the last key that it gave out.
    drivers: Vec<(Box<dyn Driver>, usize)>,
    effects: Vec<Effect>,
    /// Who no longer waits, as heard in this turn.
    gone: Vec<ReplyTo>,
    began: Timestamp,
}

/// Words for operators that the front itself takes.
const WORDS: [(&str, &str); 11] = [
    ("health", "whether it can serve"),
    ("counters", "the figures"),
    (
        "cordon",
        "{node}: take a cache, a parent or the origin out, by hand",
    ),
    ("uncordon", "{node}: it may serve again"),
    ("quiesce", "empty the front of clients"),
    ("resume", "take clients again"),
    (
        "purge-dry",
        "{object | group | tag | pattern}: how many known objects match",
    ),
    ("status", "how the front stands"),
    (
        "startup",
        "whether it is ready, what it waits for, and the calls on the list service",
    ),
    (
        "log",
        "{level}: change the log's level until the next reload",
    ),
    (
        "reload",
        "read configuration and settings again, as SIGHUP does",
    ),
];

impl Server {
    /// Listens, and takes over what the configuration says of the members.
    /// Subsystems are those of `daemon`, which came from `daemon_file`.
    pub fn new(
        mut config: Config,
        daemon: Daemon,
        daemon_file: Option<PathBuf>,
    ) -> Result<Self, String> {
        // First of all: what is opened before could get the number of a socket that nobody handed over.
        let held = config
            .accept_fd
            .map(|fd| inherited(fd).map_err(|e| format!("RELAY_ACCEPT_FD: {fd}: {e}")));
        let held = held.transpose()?;
        let log = Log::install(&daemon.log);
        let failed = |what: &'static str| move |e: io::Error| format!("{what}: {e}");
        let clock = Clock::new();
        let reactor = at_start(Reactor::new).map_err(failed("poller"))?;
        let listener = match held {
            Some(listener) => listener,
            None => {
                at_start(|| listen(config.listen)).map_err(|e| format!("{}: {e}", config.listen))?
            }
        };
        let listener = reactor
            .watch(listener, LISTENER, false)
            .map_err(failed("poller"))?;
        let term = at_start(|| raised(&reactor, signal_hook::consts::SIGTERM, TERM))
            .map_err(failed("signals"))?;
        let hangup = at_start(|| raised(&reactor, signal_hook::consts::SIGHUP, HANGUP))
            .map_err(failed("signals"))?;
        let shared = config.accept_fd.and_then(|_| share());
        let limits = config.deployment.limits.clone();
        let whole = limits
            .waits
            .iter()
            .copied()
            .max()
            .filter(|w| *w > 0)
            .unwrap_or(WAIT_MOST);
        let Known {
            last,
            news,
            list,
            from,
        } = known(&mut config, daemon.startup.as_ref());
        let calls = calls(clock.now(), &config, daemon.startup.as_ref());
        let others = daemon.startup.as_ref().is_some_and(|s| s.peers.is_some());
        let startup = Startup::new(clock.now(), &config, daemon.startup.as_ref());
        let mut server = Server {
            front: RequestPipeline::new(config.deployment.clone(), config.seed, config.room()),
            nodes: CacheNodes::new(config.links_most(), limits.streams, limits.idle, whole),
            discovery: Discovery::new(clock.now(), config.feed, last, calls, others),
            startup,
            hears: false,
            clock_told: false,
            clients: Clients::new(),
            deadlines: Deadlines::new(),
            log,
            last_key: KEYS,
            draining: None,
            shared,
            accepts: true,
            acceptor: AcceptBackoff::default(),
            out: BTreeSet::new(),
            quiesced: None,
            first: 0,
            daemon,
            daemon_file,
            drivers: Vec::new(),
            effects: Vec::new(),
            gone: Vec::new(),
            began: clock.now(),
            config,
            clock,
            reactor,
            listener,
            term,
            hangup,
        };
        let now = server.clock.now();
        let at = server.listener.local_addr().map_err(failed("listener"))?;
        tracing::info!(name = server.config.name, %at, "listening");
        server
            .front
            .set_connection_limits(now, server.nodes.reach());
        server.drivers(now, list)?;
        news.into_iter()
            .for_each(|news| server.news(now, news, from));
        server.hears = server
            .daemon
            .startup
            .as_ref()
            .is_some_and(|s| s.snapshots.is_some() || s.peers.is_some());
        server.take_over(now, true);
        server.look(now);
        server.get_ready(now);
        server.deadlines.add(server.discovery.due, Due::Discovery);
        server.deadlines.add(now + SWEEP, Due::Sweep);
        Ok(server)
    }

    /// Starts the subsystems that the settings name. The control socket is the last: it knows the others' words.
    fn drivers(&mut self, now: Timestamp, list: Snapshot) -> Result<(), String> {
        if let Some(at) = self.config.ops {
            let beside = self.config.accept_fd.is_some();
            self.start(now, |turn| Ok(Box::new(Ops::new(turn, at, beside)?)))?;
            self.first = self.drivers.len();
        }
        let (daemon, name) = (self.daemon.clone(), self.config.name.clone());
        if let Some(tls) = daemon.tls {
            self.start(now, |turn| Ok(Box::new(Tls::new(turn, tls)?)))?;
        }
        if let Some(certs) = daemon.certs {
            self.start(now, |turn| Ok(Box::new(Certs::new(turn, &certs, &name)?)))?;
        }
        let kinds = self.config.deployment.names.kinds.clone();
        if let Some(purges) = daemon.purges {
            self.start(now, |turn| {
                let purges = Purges::new(turn, &purges, &kinds).map_err(|e| e.to_string())?;
                Ok(Box::new(purges))
            })?;
        }
        let purge = self.config.deployment.settings.purge_done;
        if let Some((startup, peers)) = daemon
            .startup
            .as_ref()
            .and_then(|s| Some((s, s.peers.as_ref()?)))
        {
            let (known, seed) = (list.clone(), self.config.seed);
            let times = (purge_ms(purge), startup.serve_snapshot_s * 1_000);
            self.start(now, |turn| {
                Ok(Box::new(Peers::new(turn, peers, known, seed, times)?))
            })?;
        }
        if let Some(path) = snapshots(&self.config, daemon.startup.as_ref()) {
            self.start(now, |turn| {
                Ok(Box::new(Snapshots::new(turn, path, list, purge)?))
            })?;
        }
        if let Some(control) = daemon.control {
            let words = self.drivers.iter().flat_map(|(driver, _)| driver.words());
            let help: BTreeMap<_, _> = words.chain(WORDS).collect();
            self.start(now, |turn| {
                Ok(Box::new(Control::new(turn, &control.path, help)?))
            })?;
        }
        self.effects(now);
        Ok(())
    }

    fn start(
        &mut self,
        now: Timestamp,
        make: impl FnOnce(&mut Turn<'_>) -> Result<Box<dyn Driver>, String>,
    ) -> Result<(), String> {
        let mut last = 0;
        let slot = (self.drivers.len() + 1, &mut last);
        let behind_ms = self.front.clock_offset.behind_ms();
        let mut turn = Turn {
            now,
            behind_ms,
            reactor: &self.reactor,
            effects: &mut self.effects,
            slot,
        };
        let driver = make(&mut turn)?;
        self.drivers.push((driver, last));
        Ok(())
    }

    /// Gives a driver its turn.
    fn drive(
        &mut self,
        now: Timestamp,
        slot: usize,
        act: impl FnOnce(&mut dyn Driver, &mut Turn<'_>),
    ) {
        let behind_ms = self.front.clock_offset.behind_ms();
        if let Some((driver, last)) = slot.checked_sub(1).and_then(|i| self.drivers.get_mut(i)) {
            let (reactor, effects) = (&self.reactor, &mut self.effects);
            act(
                driver.as_mut(),
                &mut Turn {
                    now,
                    behind_ms,
                    reactor,
                    effects,
                    slot: (slot, last),
                },
            );
        }
    }

    /// Carries out what drivers brought about for others.
    fn effects(&mut self, now: Timestamp) {
        while !self.effects.is_empty() {
            for effect in std::mem::take(&mut self.effects) {
                match effect {
                    Effect::Secured(Secured::Client(socket, connection)) => {
                        self.secured(now, socket, *connection)
                    }
                    Effect::Offered(list) => self.take_list(now, list),
                    Effect::Purges(news) if !matches!(news, Purging::Compile(_)) => {
                        self.effects
                            .extend(floors::take(&mut self.front, now, news));
                    }
                    Effect::Word(number, word, args) if WORDS.iter().any(|(w, _)| *w == word) => {
                        match self.word(now, &word, &args) {
                            // Another process of this front is to act on it before the operator is told that it counts.
                            Ok(_) if word == "cordon" && self.shared.is_some() => {
                                self.deadlines.add(now + SEEN, Due::Confirm(number))
                            }
                            answer => self.effects.push(Effect::Answer(number, answer)),
                        }
                    }
                    effect => {
                        for slot in 1..=self.drivers.len() {
                            self.drive(now, slot, |driver, turn| driver.told(turn, &effect));
                        }
                    }
                }
            }
        }
    }

    /// A client whose handshake is complete; it may have said something with it already.
    fn secured(
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

    /// Answers an operator.
    fn word(&mut self, now: Timestamp, word: &str, args: &Value) -> Result<Value, String> {
        match word {
            "health" if self.draining.is_some() => Err("leaving".into()),
            "health" if self.quiesced.is_some() => Err("quiesced".into()),
            "health" => Ok("serving".into()),
            "counters" => Ok(self.counters()),
            "cordon" | "uncordon" => self.by_hand(now, args, word == "cordon"),
            "quiesce" => Ok(self.quiesce(now).into()),
            "resume" => self.resume().map(Value::from),
            "log" => {
                let level: Level = serde_json::from_value(args["level"].clone())
                    .map_err(|e| format!("level: {e}"))?;
                self.log.set(&cranesill_daemon::Log {
                    level,
                    ..self.daemon.log.clone()
                });
                Ok(json!(format!("level is {level:?}").to_lowercase()))
            }
            "purge-dry" => {
                let target = parse_target(args).map_err(|e| e.to_string())?;
                let floors = self.front.floors.as_ref().ok_or("purges are off")?;
                let (known, matched) = floors.count_matches(&target);
                Ok(json!({"known_objects": known, "matched": matched}))
            }
            "startup" => {
                let mut shown = self
                    .startup
                    .shown(self.nodes.listed().count(), self.nodes.reached());
                let (unheard, last) = self.discovery.stands();
                shown["list"] = json!({
                    "last_event": last, "unheard_for_ms": unheard.map(|since| now.saturating_sub(since) / 1_000),
                    "calls": self.discovery.called, "next_call_in_ms": unheard.map(|_| self.discovery.due.saturating_sub(now) / 1_000),
                });
                Ok(shown)
            }
            "reload" => {
                self.reload(now);
                Ok("read again; the log tells what was taken over".into())
            }
            _ => Ok(json!({
                "name": self.config.name, "version": env!("CARGO_PKG_VERSION"),
                "up_s": (now - self.began) / 1_000_000, "leaving": self.draining.is_some(),
                "quiesced": self.quiesced.is_some(), "accepts_clients": !self.elsewhere(),
                "limits_shared": self.config.halved,
                "out_by_hand": self.out.iter().map(|id| name_of(*id)).collect::<Vec<_>>(),
                "list": json!({"last_event": self.discovery.stands().1, "clock_ahead_ms": self.front.clock_offset.offset_ms(),
                    "unheard_for_ms": self.discovery.stands().0.map(|since| now.saturating_sub(since) / 1_000)}),
                "open_requests": self.front.pending_requests(), "clients": self.clients.len(),
                "clients_most": self.config.clients_most(), "held_bytes": self.clients.held() + self.nodes.held(),
                "held_bytes_most": self.config.held_most(), "settings": self.daemon_file,
                "purges": self.front.floors.as_ref().map(|f| json!({
                    "live_objects_groups_tags_patterns": f.counts(), "answers_refused": f.stale_replies, "lies": f.stale_despite_request,
                    "shield_passed": self.front.shield.as_ref().map(|s| s.passed),
                    "shield_refused": self.front.shield.as_ref().map(|s| s.rejected),
                    "answers_in_doubt": f.lease.as_ref().map(|c| c.unverified_replies)})),
            })),
        }
    }

    /// The figures, by their names.
    fn counters(&self) -> Value {
        let mut all = serde_json::Map::new();
        let mut put =
            |name: String, n: u64| drop(all.insert(format!("edge_relay.{name}"), n.into()));
        for (class, counts) in self.front.response_counts() {
            put(format!("handled.{class}.passed"), counts.served);
            put(format!("handled.{class}.dropped"), counts.rejected);
            put(format!("handled.{class}.bad_gateway"), counts.failed);
        }
        put("upstream_tries".into(), self.nodes.written);
        put("in_progress".into(), self.front.pending_requests() as u64);
        put(
            "known_cache_nodes".into(),
            (self.nodes.listed().count() + self.startup.waiting()) as u64,
        );
        put(
            "skipped_cache_nodes".into(),
            self.nodes
                .listed()
                .filter(|m| self.front.is_avoided(*m))
                .count() as u64,
        );
        all.into()
    }

    /// Takes a member out by hand, or gives it back. Only one that is or was listed can be meant.
    fn by_hand(&mut self, now: Timestamp, args: &Value, out: bool) -> Result<Value, String> {
        let text = args["node"].as_str().ok_or("node: missing")?;
        let id = member_id(text).ok_or("node: not s- and 8 hex digits")?;
        let known = self.nodes.listed().any(|listed| listed == id)
            || self.startup.has(id)
            || self.front.is_avoided(id);
        if !known {
            return Err(format!("{text}: unknown"));
        }
        if out && self.out.len() >= OUT_MOST && !self.out.contains(&id) {
            return Err(format!("{text}: {OUT_MOST} are out by hand already"));
        }
        if let Some(shared) = &self.shared {
            shared
                .set_out(id, out)
                .map_err(|e| format!("{text}: it can't be kept: {e}"))?;
        }
        self.set_by_hand(now, id, out);
        self.settle(now, Vec::new());
        Ok(if out { "out" } else { "may serve" }.into())
    }

    fn set_by_hand(&mut self, now: Timestamp, id: EndpointId, out: bool) {
        let changed = if out {
            self.out.insert(id)
        } else {
            self.out.remove(&id)
        };
        if changed {
            tracing::info!(
                kind = "by-hand",
                member = name_of(id),
                out,
                "cache node by hand"
            );
            self.front.set_cordoned(now, id, out);
            let mut ends = Vec::new();
            if out {
                self.nodes.leave_out(id, &mut ends);
            }
            self.settle(now, ends);
        }
    }

    /// Looks which members are out by hand: another process of this front may have been told.
    fn look(&mut self, now: Timestamp) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        if let Some(out) = shared.out() {
            let changed: Vec<_> = out.symmetric_difference(&self.out).copied().collect();
            changed
                .into_iter()
                .for_each(|id| self.set_by_hand(now, id, out.contains(&id)));
        }
        self.deadlines.add(now + LOOK, Due::OutByHand);
    }

    /// Accepts clients once no other process of this front does, and uses all of its limits once none is left.
    fn take_over(&mut self, now: Timestamp, first: bool) {
        let Some(shared) = &mut self.shared else {
            return;
        };
        if self.draining.is_some() {
            return;
        }
        let (accepts, alone) = (shared.accepts(), shared.alone());
        if accepts && (first || !self.accepts) {
            let learned = shared.learned(now);
            tracing::info!(kind = "upgrade", learned = learned.len(), "accepts clients");
            self.front.restore_learned_health(now, learned);
        }
        if first && !accepts {
            tracing::info!(
                kind = "upgrade",
                "waits for another process to leave the clients' socket"
            );
        }
        self.accepts = accepts;
        self.halve(now, !alone);
        self.listen(true);
        if !accepts || !alone {
            self.deadlines.add(now + TAKE_OVER, Due::TakeOver);
        }
    }

    /// Shares the limits with another process of this front, or no longer.
    fn halve(&mut self, now: Timestamp, halved: bool) {
        if std::mem::replace(&mut self.config.halved, halved) != halved {
            self.nodes
                .limit(self.config.links_most(), self.draining.map(|_| LINK_IDLE));
            self.front.set_connection_limits(now, self.nodes.reach());
            self.front.set_capacity(self.config.room());
        }
    }

    /// Empties the front: clients are told to go elsewhere, what is taken is answered.
    fn quiesce(&mut self, now: Timestamp) -> &'static str {
        if self.quiesced.is_none() {
            tracing::info!(kind = "quiesce", clients = self.clients.len(), "quiesced");
            self.quiesced = Some(now);
            self.clients.drain(now, true);
            self.deadlines.add(now + QUIESCE_SERVES, Due::Quiesced);
            self.settle(now, Vec::new());
        }
        "quiesced"
    }

    fn resume(&mut self) -> Result<&'static str, String> {
        if self.draining.is_some() {
            return Err("leaving: another process takes over".into());
        }
        if self.quiesced.take().is_some() {
            tracing::info!(kind = "quiesce", "takes clients again");
            self.clients.resume();
            self.front.reject_new_requests(false);
        }
        Ok("takes clients")
    }

    /// Serves until it has left.
    pub fn run(mut self) -> Result<(), String> {
        while !self.turn()? {}
        Ok(())
    }

    /// Waits for something to do and does it. Whether the front has left.
    fn turn(&mut self) -> Result<bool, String> {
        let drivers = self
            .drivers
            .iter()
            .filter_map(|(driver, _)| driver.next())
            .min();
        let next = self
            .deadlines
            .next()
            .into_iter()
            .chain(drivers)
            .chain(self.clients.next())
            .min();
        let mut events = self
            .reactor
            .wait(self.clock.now(), next)
            .map_err(|e| format!("poller: {e}"))?;
        let now = self.clock.now();
        // What the feed tells is heeded before anything is sent in the same turn; new connections come last, since
        // room for them is made by closing those of which nothing was read yet.
        // Operators come before clients, clients before nodes, and those before other subsystems.
        let rank = |key: usize| match slot_of(key) {
            slot if slot > 0 && slot == self.first => 1,
            slot if slot > 0 => NODES + slot,
            _ if self.discovery.is(key) => 0,
            _ if self.nodes.has(key) => NODES,
            _ => 2,
        };
        events.sort_by_cached_key(|(key, ..)| (*key == LISTENER, rank(*key)));
        let nodes = events
            .iter()
            .position(|(key, ..)| *key == LISTENER || rank(*key) >= NODES);
        for (n, (key, readable, writable)) in events.into_iter().enumerate() {
            if nodes == Some(n) {
                self.left(now);
            }
            self.event(now, key, readable, writable);
        }
        self.left(now);
        while let Some(due) = self.deadlines.take(now) {
            self.due(now, due);
        }
        let heard = self.clients.due(now);
        self.hear(now, heard);
        for slot in 1..=self.drivers.len() {
            self.drive(now, slot, |driver, turn| {
                if driver.next().is_some_and(|at| at <= turn.now) {
                    driver.due(turn);
                }
            });
        }
        self.effects(now);
        self.nodes.pause(
            now,
            self.clients.held() > self.config.room().max_buffered_bytes,
        );
        Ok(self.parted(now))
    }

    /// Goes on with the end of the program, if it was told to end. Whether that is over.
    fn parted(&mut self, now: Timestamp) -> bool {
        // A request whose last byte comes after the end of its connection would be lost.
        let owes =
            self.front.pending_requests() > 0 || !self.clients.flushed() || self.clients.begun();
        let clients = self.clients.len() > 0;
        let Some(drain) = &mut self.draining else {
            return false;
        };
        if let Some(over) = drain.part(now, owes, clients) {
            self.clients.part(now);
            self.deadlines.add(over, Due::Drain);
        }
        let all_gone = self.clients.parting() && self.clients.len() == 0;
        drain.stage(now) == Stage::Over || all_gone
    }

    fn key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }

    fn event(&mut self, now: Timestamp, key: usize, readable: bool, writable: bool) {
        match key {
            LISTENER => self.accept(now),
            TERM => self.begin_drain(now),
            HANGUP => {
                drain(&self.hangup);
                self.reload(now);
            }
            _ if slot_of(key) > 0 => {
                self.drive(now, slot_of(key), |driver, turn| {
                    driver.ready(turn, key, readable, writable)
                });
                self.effects(now);
            }
            _ if self.discovery.is(key) => {
                self.discovery
                    .ready(now)
                    .into_iter()
                    .for_each(|news| self.news(now, news, EventSource::Live));
                self.deadlines.add(self.discovery.due, Due::Discovery);
            }
            _ if self.nodes.has(key) => {
                let mut ends = Vec::new();
                self.nodes.ready(now, key, readable, &mut ends);
                self.settle(now, ends);
            }
            _ if self.clients.has(key) => {
                if writable {
                    self.clients.flush(now, key);
                }
                let heard = if readable {
                    self.clients.read(now, key)
                } else {
                    Vec::new()
                };
                self.hear(now, heard);
            }
            _ => {}
        }
    }

    fn due(&mut self, now: Timestamp, due: Due) {
        let mut ends = Vec::new();
        match due {
            Due::Timer(timer) => self.front.handle_timer(now, timer),
            Due::Dial(key) => self.nodes.undialed(key, &mut ends),
            Due::Unwritten(attempt) => self.nodes.withdraw(attempt, &mut ends),
            Due::Discovery if now >= self.discovery.due => {
                let key = self.key();
                self.discovery.go(now, &self.reactor, key);
                self.deadlines.add(self.discovery.due, Due::Discovery);
            }
            Due::Discovery => {}
            Due::Sweep => {
                let gone = self.clients.sweep(
                    now,
                    self.config.room().max_buffered_bytes,
                    self.config.held_most(),
                );
                self.log.sweep();
                let lease = self.front.floors.as_mut().and_then(|f| f.lease.as_mut());
                if lease.is_some_and(|lease| lease.report_expiry(now)) {
                    tracing::warn!(kind = "contact-lost", "purges: no contact with the ledger");
                }
                self.hear(now, gone);
                self.left(now);
                self.nodes.sweep(now, &mut ends);
                self.get_ready(now);
                if self.discovery.heard() && self.hears {
                    self.effects.push(Effect::Current);
                    self.effects(now);
                }
                self.listen(true);
                self.deadlines.add(now + SWEEP, Due::Sweep);
            }
            Due::Members => {
                let list = self.startup.due(now);
                self.take_members(now, false, list, EventSource::Stored);
            }
            Due::TakeOver => self.take_over(now, false),
            Due::OutByHand => self.look(now),
            Due::Redial => {
                for (target, fetch) in self.nodes.take_redials(now) {
                    let key = self.key();
                    self.dispatch(now, key, target, &fetch, &mut ends);
                }
            }
            Due::Accept => {
                self.acceptor.resume();
                self.listen(true);
                self.accept(now);
            }
            Due::Confirm(number) => {
                self.effects.push(Effect::Answer(number, Ok("out".into())));
                self.effects(now);
            }
            Due::Quiesced => {
                if self
                    .quiesced
                    .is_some_and(|since| now >= since + QUIESCE_SERVES)
                {
                    self.front.reject_new_requests(true);
                }
            }
            Due::Drain => {
                let stage = self
                    .draining
                    .map_or(Stage::Serves, |drain| drain.stage(now));
                if stage >= Stage::Refuses {
                    self.front.reject_new_requests(true);
                    self.drivers
                        .iter_mut()
                        .for_each(|(driver, _)| driver.drain());
                }
                if stage >= Stage::Parts {
                    self.front.conclude_all(now);
                }
            }
        }
        self.settle(now, ends);
    }

    /// Whether another process accepts on the clients' socket now.
    fn elsewhere(&self) -> bool {
        !self.accepts || self.config.accept_fd.is_some() && self.draining.is_some()
    }

    /// Watches the listener, or lets it rest; while another process accepts it rests, and for a moment after a failed call.
    fn listen(&mut self, on: bool) {
        let on = on && !self.elsewhere() && !self.acceptor.is_resting();
        // The listener is watched for as long as the program runs: this can't fail.
        let _ = self.listener.rewatch(on, false);
    }

    fn accept(&mut self, now: Timestamp) {
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

    /// SIGTERM: clients are told, and what is taken is still answered.
    fn begin_drain(&mut self, now: Timestamp) {
        drain(&self.term);
        if self.draining.is_none() {
            tracing::info!("SIGTERM: leaving");
            let drain = Drain::new(
                now,
                &self.config.deployment.limits.waits,
                self.shared.is_some(),
            );
            self.draining = Some(drain);
            self.clients.drain(now, self.config.accept_fd.is_some());
            self.listen(true);
            let learned = self.front.learned_health();
            if let Some(shared) = &mut self.shared {
                shared.hand_over(now, &learned);
                self.halve(now, true);
            }
            drain
                .moments()
                .into_iter()
                .for_each(|at| self.deadlines.add(at, Due::Drain));
        }
    }

    /// SIGHUP: configuration and settings are read again. A file that can't be used changes nothing; of a good
    /// configuration only the feed's address is taken over, and open requests notice nothing. Of the settings all
    /// that can change in service is.
    fn reload(&mut self, now: Timestamp) {
        match Config::load(&self.config.file) {
            Ok(new) => {
                tracing::info!(feed = %new.feed, "SIGHUP: configuration read");
                if self.discovery.move_to(now, new.feed) {
                    self.front.discovery_moved();
                }
                self.deadlines.add(now, Due::Discovery);
            }
            Err(faults) => tracing::warn!(
                error = faults.join("; "),
                "the configuration stays as it was"
            ),
        }
        let Some(file) = &self.daemon_file else {
            return;
        };
        let new = match super::config::settings(file) {
            Ok(new) => new,
            Err(faults) => {
                return tracing::warn!(error = faults.join("; "), "the settings stay as they were");
            }
        };
        let changes = changes(&self.daemon, &new);
        self.log.set(&new.log);
        for slot in 1..=self.drivers.len() {
            self.drive(now, slot, |driver, turn| driver.reload(turn, &new));
        }
        self.effects(now);
        if !changes.restart.is_empty() {
            tracing::warn!(
                paths = changes.restart.join(" "),
                "settings that need a restart"
            );
        }
        tracing::info!(paths = changes.taken.join(" "), "settings taken over");
        // What needs a restart is compared with what runs.
        let (old, restart) = (std::mem::replace(&mut self.daemon, new), changes.restart);
        if !restart.is_empty() {
            self.daemon.control = old.control;
            self.daemon.tls = self
                .daemon
                .tls
                .take()
                .zip(old.tls.clone())
                .map(|(new, old)| cranesill_daemon::Tls {
                    listen: old.listen,
                    ..new
                })
                .or(old.tls);
            self.daemon.certs = self
                .daemon
                .certs
                .take()
                .zip(old.certs.clone())
                .map(|(new, old)| cranesill_daemon::Certs {
                    directory: old.directory,
                    authority: old.authority,
                    http_listen: old.http_listen,
                    ..new
                })
                .or(old.certs);
        }
    }

    fn hear(&mut self, now: Timestamp, heard: Vec<ClientEvent>) {
        for one in heard {
            self.front
                .set_buffered_bytes(self.clients.held() + self.nodes.held());
            match one {
                ClientEvent::Ask(from, ask) => self.front.receive_request(now, from, ask),
                ClientEvent::Bad(from, why) => {
                    tracing::info!(error = why, "bad request");
                    self.clients.answer(now, from, Response::Failed);
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
    fn left(&mut self, now: Timestamp) {
        let mut gone = std::mem::take(&mut self.gone);
        gone.sort_by_cached_key(|from| self.front.has_outstanding_attempt(*from));
        for from in gone {
            self.front.cancel_request(now, from);
            self.settle(now, Vec::new());
        }
    }

    fn news(&mut self, now: Timestamp, news: News, origin: EventSource) {
        if self.hears {
            self.effects
                .push(Effect::Heard(self.discovery.stands().1, news.clone()));
            self.effects(now);
        }
        match news {
            News::Members { whole, list } => {
                if !self.drivers.is_empty() {
                    let here =
                        |l: &Listing| Some(l.address).filter(|_| l.state != EndpointState::Removed);
                    let told = |l: &Listing| (u64::from(l.id), l.kind, here(l));
                    self.effects
                        .push(Effect::Members(list.iter().map(told).collect(), whole));
                    self.effects(now);
                }
                let list = self.startup.listed(now, whole, list);
                self.take_members(now, whole, list, origin);
            }
            News::Purge {
                object,
                group,
                at_ms,
            } => self
                .front
                .apply_purge(now, object, group, at_ms.saturating_mul(1_000), origin),
        }
        let ahead_ms = self
            .front
            .clock_offset
            .offset_ms()
            .filter(|ms| ms.abs() > CLOCK_APART_MS);
        if let Some(ahead_ms) = ahead_ms.filter(|_| !self.clock_told) {
            tracing::warn!(
                kind = "clock",
                ahead_ms,
                "this clock is far from that of the list service"
            );
        }
        self.clock_told = ahead_ms.is_some();
        self.settle(now, Vec::new());
    }

    /// Takes over a list that peers hold, unless the service is heard or has told as much.
    fn take_list(&mut self, now: Timestamp, list: Box<Snapshot>) {
        if self.discovery.heard() || list.number <= self.discovery.stands().1 {
            return;
        }
        let (event, age_ms) = (list.number, wall_ms().saturating_sub(list.at_ms));
        tracing::info!(
            kind = "list",
            event,
            age_ms,
            members = list.members.len(),
            "the list is taken from peers"
        );
        self.discovery.skip_to(list.number);
        // It does not grow younger by being taken.
        self.hears = false;
        list.news()
            .into_iter()
            .for_each(|news| self.news(now, news, EventSource::Stored));
        self.hears = true;
        self.effects.push(Effect::Taken(list));
        self.effects(now);
    }

    /// Takes over what the list says of members; `whole`: of all that are in use.
    fn take_members(
        &mut self,
        now: Timestamp,
        whole: bool,
        list: Vec<Listing>,
        origin: EventSource,
    ) {
        let mut ends = Vec::new();
        let entries: Vec<_> = list.iter().map(entry).collect();
        let mut before: Vec<_> = if whole {
            self.nodes.listed().collect()
        } else {
            Vec::new()
        };
        if whole {
            let listed: HashSet<_> = entries.iter().map(|e| e.member).collect();
            self.nodes.keep_only(&listed);
            before.retain(|id| !listed.contains(id));
        }
        entries
            .iter()
            .zip(&list)
            .for_each(|(entry, l)| self.nodes.list(entry, l.address));
        let mut left_out: Vec<_> = entries
            .iter()
            .filter(|e| e.state != EndpointState::Ready)
            .map(|e| e.member)
            .collect();
        left_out.extend(before);
        let new: Vec<_> = entries
            .iter()
            .filter(|e| e.state == EndpointState::Ready)
            .map(|e| e.member)
            .collect();
        let kind = if whole {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        self.front.apply_endpoints(now, kind, entries, origin);
        left_out
            .into_iter()
            .for_each(|id| self.nodes.leave_out(id, &mut ends));
        self.settle(now, ends);
        let dialled = if self.startup.dials() {
            new
        } else {
            Vec::new()
        };
        for member in dialled {
            let key = self.key();
            if self.nodes.open(now, &self.reactor, key, member) {
                self.deadlines.add(
                    now + self.config.deployment.settings.connect_timeout,
                    Due::Dial(key),
                );
            }
        }
        if let Some(at) = self.startup.next() {
            self.deadlines.add(at, Due::Members);
        }
    }

    fn get_ready(&mut self, now: Timestamp) {
        let (used, reached) = (self.nodes.listed().count(), self.nodes.reached());
        self.clients.ready = self.startup.ready(now, used, reached);
    }

    /// Puts an attempt on a connection to its node, or notes when that is tried again.
    fn dispatch(
        &mut self,
        now: Timestamp,
        key: usize,
        target: (AttemptId, EndpointId, Timestamp),
        fetch: &Fetch,
        ends: &mut Ends,
    ) {
        let waiting_until = self.nodes.redial_due();
        if let Some(key) = self
            .nodes
            .send(now, &self.reactor, key, target, fetch, ends)
        {
            let due = now + self.config.deployment.settings.connect_timeout;
            self.deadlines.add(due, Due::Dial(key));
        }
        if let Some(at) = self
            .nodes
            .redial_due()
            .filter(|at| Some(*at) != waiting_until)
        {
            self.deadlines.add(at, Due::Redial);
        }
    }

    /// Books ends and carries out commands until there are none.
    fn settle(&mut self, now: Timestamp, mut ends: Ends) {
        loop {
            for (attempt, end) in std::mem::take(&mut ends) {
                self.front.attempt_ended(now, attempt, end);
            }
            for gone in self.clients.lost() {
                if let ClientEvent::Gone(from) = gone {
                    self.front.cancel_request(now, from);
                }
            }
            let Some(command) = self.front.next_command() else {
                break;
            };
            match command {
                Command::Send {
                    attempt,
                    target: to,
                    fetch,
                } => {
                    let key = self.key();
                    let due = now + self.config.deployment.settings.connect_timeout;
                    // A purge told meanwhile leaves no more time than that to what was decided before it; a repeat goes out in
                    // its window or not at all.
                    let unwritten = due.min(now + self.config.deployment.limits.purge_grace);
                    let by = unwritten.min(fetch.write_by).min(fetch.deadline);
                    self.dispatch(now, key, (attempt, to, by), &fetch, &mut ends);
                    self.deadlines.add(by, Due::Unwritten(attempt));
                }
                Command::Abort(attempt) => {
                    self.nodes.abort(now, attempt, &mut ends);
                    ends.insert(0, (attempt, AttemptEnd::Cancelled));
                }
                Command::Respond { to, response } => self.clients.answer(now, to, response),
                Command::SetTimer { at, timer } => self.deadlines.add(at, Due::Timer(timer)),
                Command::StaleCopyServed(member) => self.effects.push(Effect::Lied(member.0)),
                Command::Log(text) => tracing::info!(kind = "decision", text, "decision"),
            }
        }
    }
}

/// The folder that the platform shares between the processes of this front. Without it a new process serves all the
/// same.
fn share() -> Option<Shared> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty());
    let found = folder
        .ok_or_else(|| io::Error::other("TMPDIR is not set"))
        .map(PathBuf::from);
    let opened = found.and_then(|folder| at_start(|| Shared::new(&folder)));
    if let Err(error) = &opened {
        tracing::warn!(kind = "upgrade", %error, "nothing is shared with another process: it accepts clients as well");
    }
    opened.ok()
}

fn entry(listing: &Listing) -> EndpointEntry {
    EndpointEntry {
        member: EndpointId(listing.id.into()),
        kind: listing.kind,
        zone: listing.zone,
        cell: listing.cell,
        weight: listing.weight,
        started: listing.started_ms.saturating_mul(1_000),
        state: listing.state,
    }
}
