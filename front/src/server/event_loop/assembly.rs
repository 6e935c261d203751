//! Builds a server from its configuration and starts the subsystems that the settings switch on.
use super::admin::ADMIN_COMMANDS;
use super::takeover::open_handover;
use super::timers::Timer;
use super::timers::SWEEP_INTERVAL;
use super::Server;
use super::FIRST_CONNECTION_KEY;
use super::LISTENER_KEY;
use super::SIGHUP_KEY;
use super::SIGTERM_KEY;
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
const DEFAULT_MAX_WAIT: Micros = 3_000_000;

impl Server {
    /// Listens, and takes over what the configuration says of the members.
    /// Subsystems are those of `settings`, which came from `settings_file`.
    pub fn new(
        mut config: Config,
        settings: Daemon,
        settings_file: Option<PathBuf>,
    ) -> Result<Self, String> {
        // First of all: what is opened before could get the number of a socket that nobody handed over.
        let held = config
            .accept_fd
            .map(|fd| inherited(fd).map_err(|e| format!("RELAY_ACCEPT_FD: {fd}: {e}")));
        let held = held.transpose()?;
        let log = Log::install(&settings.log);
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
            .watch(listener, LISTENER_KEY, false)
            .map_err(failed("poller"))?;
        let sigterm = at_start(|| raised(&reactor, signal_hook::consts::SIGTERM, SIGTERM_KEY))
            .map_err(failed("signals"))?;
        let sighup = at_start(|| raised(&reactor, signal_hook::consts::SIGHUP, SIGHUP_KEY))
            .map_err(failed("signals"))?;
        let handover = config.accept_fd.and_then(|_| open_handover());
        let limits = config.deployment.limits.clone();
        let whole = limits
            .waits
            .iter()
            .copied()
            .max()
            .filter(|w| *w > 0)
            .unwrap_or(DEFAULT_MAX_WAIT);
        let Known {
            last,
            news,
            list,
            from,
        } = known(&mut config, settings.startup.as_ref());
        let calls = calls(clock.now(), &config, settings.startup.as_ref());
        let others = settings.startup.as_ref().is_some_and(|s| s.peers.is_some());
        let startup = Startup::new(clock.now(), &config, settings.startup.as_ref());
        let mut server = Server {
            front: Front::new(config.deployment.clone(), config.seed, config.room()),
            upstream: CacheNodes::new(config.links_most(), limits.streams, limits.idle, whole),
            discovery: Discovery::new(clock.now(), config.feed, last, calls, others),
            startup,
            forwards_watch_events: false,
            clock_skew_logged: false,
            clients: Clients::new(),
            timers: Deadlines::new(),
            log,
            last_key: FIRST_CONNECTION_KEY,
            shutdown: None,
            handover,
            accepts_clients: true,
            accept_backoff: AcceptBackoff::default(),
            cordoned: BTreeSet::new(),
            quiesced_at: None,
            admin_slot: 0,
            settings,
            settings_file,
            drivers: Vec::new(),
            effects: Vec::new(),
            disconnected: Vec::new(),
            started_at: clock.now(),
            config,
            clock,
            reactor,
            listener,
            sigterm,
            sighup,
        };
        let now = server.clock.now();
        let at = server.listener.local_addr().map_err(failed("listener"))?;
        tracing::info!(name = server.config.name, %at, "listening");
        server.front.set_reach(now, server.upstream.reach());
        server.start_drivers(now, list)?;
        news.into_iter()
            .for_each(|news| server.apply_watch_event(now, news, from));
        server.forwards_watch_events = server
            .settings
            .startup
            .as_ref()
            .is_some_and(|s| s.snapshots.is_some() || s.peers.is_some());
        server.poll_takeover(now, true);
        server.poll_cordons(now);
        server.update_readiness(now);
        server.timers.add(server.discovery.due, Timer::Discovery);
        server.timers.add(now + SWEEP_INTERVAL, Timer::Sweep);
        Ok(server)
    }

    /// Starts the subsystems that the settings name. The control socket is the last: it knows the others' words.
    fn start_drivers(&mut self, now: Timestamp, list: Snapshot) -> Result<(), String> {
        if let Some(at) = self.config.ops {
            let beside = self.config.accept_fd.is_some();
            self.start_driver(now, |turn| Ok(Box::new(Ops::new(turn, at, beside)?)))?;
            self.admin_slot = self.drivers.len();
        }
        let (daemon, name) = (self.settings.clone(), self.config.name.clone());
        if let Some(tls) = daemon.tls {
            self.start_driver(now, |turn| Ok(Box::new(Tls::new(turn, tls)?)))?;
        }
        if let Some(certs) = daemon.certs {
            self.start_driver(now, |turn| Ok(Box::new(Certs::new(turn, &certs, &name)?)))?;
        }
        let kinds = self.config.deployment.names.kinds.clone();
        if let Some(purges) = daemon.purges {
            self.start_driver(now, |turn| {
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
            self.start_driver(now, |turn| {
                Ok(Box::new(Peers::new(turn, peers, known, seed, times)?))
            })?;
        }
        if let Some(path) = snapshots(&self.config, daemon.startup.as_ref()) {
            self.start_driver(now, |turn| {
                Ok(Box::new(Snapshots::new(turn, path, list, purge)?))
            })?;
        }
        if let Some(control) = daemon.control {
            let words = self.drivers.iter().flat_map(|(driver, _)| driver.words());
            let help: BTreeMap<_, _> = words.chain(ADMIN_COMMANDS).collect();
            self.start_driver(now, |turn| {
                Ok(Box::new(Control::new(turn, &control.path, help)?))
            })?;
        }
        self.carry_out_effects(now);
        Ok(())
    }

    fn start_driver(
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
