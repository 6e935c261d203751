//! Builds a server from its configuration and starts the subsystems that the settings switch on.
use super::admin::WORDS;
use super::takeover::share;
use super::timers::Due;
use super::timers::SWEEP;
use super::Server;
use super::HANGUP;
use super::KEYS;
use super::LISTENER;
use super::TERM;
use crate::protocol::snapshot::Snapshot;
use crate::routing::Front;
use crate::server::acceptor::AcceptBackoff;
use crate::server::config::Config;
use crate::server::discovery::Discovery;
use crate::server::downstream::Clients;
use crate::server::drivers::certs::Certs;
use crate::server::drivers::control::Control;
use crate::server::drivers::ops::Ops;
use crate::server::drivers::peers::Peers;
use crate::server::drivers::purges::Purges;
use crate::server::drivers::snapshot::{purge_ms, Snapshots};
use crate::server::drivers::tls::Tls;
use crate::server::drivers::{Driver, Turn};
use crate::server::log::Log;
use crate::server::signals::raised;
use crate::server::startup::{calls, known, snapshots, Known, Startup};
use crate::server::upstream::CacheNodes;
use crate::transport::{at_start, inherited, listen, Clock, Deadlines, Reactor};
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::Daemon;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::path::PathBuf;

/// Nobody waits for an answer longer than this where the settings name no time.
const WAIT_MOST: Micros = 3_000_000;

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
            front: Front::new(config.deployment.clone(), config.seed, config.room()),
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
        server.front.set_reach(now, server.nodes.reach());
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
                Ok(Box::new(Purges::new(turn, &purges, &kinds)?))
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
        let behind_ms = self.front.ahead.behind_ms();
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
}
