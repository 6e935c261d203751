//! Construction of a server from its configuration, including the drivers of enabled subsystems.
use super::admin::ADMIN_COMMANDS;
use super::takeover::open_handover;
use super::timers::{Timer, SWEEP_INTERVAL};
use super::{RunningDriver, Server, LAST_RESERVED_KEY, LISTENER_KEY, SIGHUP_KEY, SIGTERM_KEY};
use crate::protocol::snapshot::Snapshot;
use crate::routing::RequestPipeline;
use crate::server::acceptor::AcceptBackoff;
use crate::server::config::Config;
use crate::server::discovery::Discovery;
use crate::server::downstream::Clients;
use crate::server::drivers::certs::Certs;
use crate::server::drivers::control::Control;
use crate::server::drivers::ops::Ops;
use crate::server::drivers::peers::{ListLifetimes, Peers};
use crate::server::drivers::purges::Purges;
use crate::server::drivers::snapshot::{purge_retention_ms, Snapshots};
use crate::server::drivers::tls::Tls;
use crate::server::drivers::{Driver, PollerKeys, Turn};
use crate::server::error::ServerError;
use crate::server::handover::Handover;
use crate::server::log::Log;
use crate::server::signals;
use crate::server::startup::{call_schedule, known_list, snapshot_path, Startup};
use crate::server::upstream::UpstreamConnections;
use crate::transport::{
    inherited, listen, retry_on_shortage, Clock, Deadlines, Reactor, Registered,
};
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::Daemon;
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;

/// Longest time that a client waits for a response if the settings define none.
const DEFAULT_MAX_WAIT: Micros = 3_000_000;

/// The log, the clock and the event sources that a server has from the start.
struct Sources {
    log: Log,
    clock: Clock,
    reactor: Reactor,
    listener: Registered<TcpListener>,
    sigterm: Registered<UnixStream>,
    sighup: Registered<UnixStream>,
}

impl Sources {
    /// Installs the log and registers the signals and the listener for clients, which is created unless `inherited`.
    fn open(
        config: &Config,
        settings: &Daemon,
        inherited: Option<TcpListener>,
    ) -> Result<Self, ServerError> {
        let log = Log::install(&settings.log);
        let reactor = retry_on_shortage(Reactor::new).map_err(ServerError::Poller)?;
        let listener = match inherited {
            Some(listener) => listener,
            None => retry_on_shortage(|| listen(config.listen)).map_err(|source| {
                ServerError::Listen {
                    address: config.listen,
                    source,
                }
            })?,
        };
        let listener = reactor
            .watch(listener, LISTENER_KEY, false)
            .map_err(ServerError::Poller)?;
        let sigterm = retry_on_shortage(|| signals::watch(&reactor, SIGTERM, SIGTERM_KEY));
        let sigterm = sigterm.map_err(ServerError::Signals)?;
        let sighup = retry_on_shortage(|| signals::watch(&reactor, SIGHUP, SIGHUP_KEY));
        let sighup = sighup.map_err(ServerError::Signals)?;
        Ok(Sources {
            log,
            clock: Clock::new(),
            reactor,
            listener,
            sigterm,
            sighup,
        })
    }
}

/// Returns the listening socket inherited from the platform, if the configuration names one.
fn inherited_listener(config: &Config) -> Result<Option<TcpListener>, ServerError> {
    let Some(descriptor) = config.accept_fd else {
        return Ok(None);
    };
    let listener = inherited(descriptor);
    listener
        .map(Some)
        .map_err(|reason| ServerError::InheritedSocket { descriptor, reason })
}

/// Returns the longest time that a client waits for a response, according to the settings of the classes.
fn max_wait(config: &Config) -> Micros {
    let waits = config.deployment.limits.client_timeouts.iter().copied();
    let longest = waits.max().filter(|wait| *wait > 0);
    longest.unwrap_or(DEFAULT_MAX_WAIT)
}

impl Server {
    /// Creates a server: opens the listener, starts the subsystems that `settings` enable, and applies the endpoint list from the
    /// configuration or a snapshot on disk. `settings_file` is the file that a reload reads.
    pub fn new(
        mut config: Config,
        settings: Daemon,
        settings_file: Option<PathBuf>,
    ) -> Result<Self, ServerError> {
        // Before any descriptor is opened, which could be assigned the number of an inherited socket that was not passed.
        let inherited = inherited_listener(&config)?;
        let sources = Sources::open(&config, &settings, inherited)?;
        let known = known_list(&mut config, settings.startup.as_ref());
        let mut server = Self::assemble(config, settings, settings_file, sources, known.revision);
        let now = server.clock.now();
        let at = server
            .listener
            .local_addr()
            .map_err(ServerError::Listener)?;
        tracing::info!(name = server.config.name, %at, "listening");
        server
            .pipeline
            .set_connection_limits(now, server.upstream.cache_node_limits());
        server.start_drivers(now, known.snapshot)?;
        for event in known.events {
            server.apply_watch_event(now, event, known.source);
        }
        server.forwards_watch_events = server.has_list_followers();
        server.begin_takeover(now);
        server.poll_cordons(now);
        server.update_readiness(now);
        server
            .timers
            .add(server.discovery.deadline, Timer::Discovery);
        server.timers.add(now + SWEEP_INTERVAL, Timer::Sweep);
        Ok(server)
    }

    /// Whether a subsystem follows the watch events of the list service.
    fn has_list_followers(&self) -> bool {
        let startup = self.settings.startup.as_ref();
        startup.is_some_and(|s| s.snapshots.is_some() || s.peers.is_some())
    }

    /// Assembles the parts of a server; `revision` is the known revision of the endpoint list.
    fn assemble(
        config: Config,
        settings: Daemon,
        settings_file: Option<PathBuf>,
        sources: Sources,
        revision: u64,
    ) -> Self {
        let now = sources.clock.now();
        let limits = &config.deployment.limits;
        let startup = settings.startup.as_ref();
        let has_peers = startup.is_some_and(|s| s.peers.is_some());
        let schedule = call_schedule(now, &config, startup);
        Server {
            pipeline: RequestPipeline::new(
                config.deployment.clone(),
                config.seed,
                config.capacity_limits(),
            ),
            clients: Clients::new(),
            upstream: UpstreamConnections::new(
                config.max_upstream_connections(),
                limits.streams_per_connection,
                limits.idle_timeout,
                max_wait(&config),
            ),
            discovery: Discovery::new(now, config.list_service, revision, schedule, has_peers),
            startup: Startup::new(now, &config, startup),
            timers: Deadlines::new(),
            handover: config.accept_fd.and_then(|_| open_handover()),
            accepts_clients: true,
            accept_backoff: AcceptBackoff::default(),
            cordoned: BTreeSet::new(),
            shutdown: None,
            quiesced_at: None,
            forwards_watch_events: false,
            clock_skew_logged: false,
            drivers: Vec::new(),
            effects: Vec::new(),
            admin_slot: 0,
            disconnected: Vec::new(),
            last_key: LAST_RESERVED_KEY,
            started_at: now,
            log: sources.log,
            config,
            settings,
            settings_file,
            clock: sources.clock,
            reactor: sources.reactor,
            listener: sources.listener,
            sigterm: sources.sigterm,
            sighup: sources.sighup,
        }
    }

    /// Starts the subsystems that the settings enable. The control socket is started last because its help lists the commands of all
    /// other drivers.
    fn start_drivers(&mut self, now: Timestamp, list: Snapshot) -> Result<(), ServerError> {
        if let Some(at) = self.config.ops {
            let has_handover = self.config.accept_fd.is_some();
            self.start_driver(now, |turn| Ok(Box::new(Ops::new(turn, at, has_handover)?)))?;
            self.admin_slot = self.drivers.len();
        }
        // Before state on disk is loaded, which the process that accepts clients owns.
        let handover = self.handover.as_mut();
        let accepts_clients = handover.is_none_or(Handover::try_accept);
        let settings = self.settings.clone();
        if let Some(tls) = settings.tls {
            self.start_driver(now, |turn| Ok(Box::new(Tls::new(turn, tls)?)))?;
        }
        if let Some(certs) = settings.certs {
            let name = self.config.name.clone();
            self.start_driver(now, |turn| {
                Ok(Box::new(Certs::new(turn, &certs, &name, accepts_clients)?))
            })?;
        }
        if let Some(purges) = settings.purges {
            let kinds = self.config.deployment.names.kinds.clone();
            self.start_driver(now, |turn| {
                Ok(Box::new(Purges::new(
                    turn,
                    &purges,
                    &kinds,
                    accepts_clients,
                )?))
            })?;
        }
        self.start_list_drivers(now, settings.startup.as_ref(), list)?;
        if let Some(control) = settings.control {
            let commands = self
                .drivers
                .iter()
                .flat_map(|running| running.driver.commands());
            let help: BTreeMap<_, _> = commands.chain(ADMIN_COMMANDS).collect();
            self.start_driver(now, |turn| {
                Ok(Box::new(Control::new(turn, &control.path, help)?))
            })?;
        }
        self.deliver_effects(now);
        Ok(())
    }

    /// Starts the drivers that provide the endpoint list to peers and store it on disk.
    fn start_list_drivers(
        &mut self,
        now: Timestamp,
        startup: Option<&cranesill_daemon::Startup>,
        list: Snapshot,
    ) -> Result<(), ServerError> {
        let purge_done = self.config.deployment.settings.purge_propagation;
        if let Some((startup, peers)) = startup.and_then(|s| Some((s, s.peers.as_ref()?))) {
            let list = list.clone();
            let seed = self.config.seed;
            let lifetimes = ListLifetimes {
                purge_ms: purge_retention_ms(purge_done),
                serve_ms: startup.serve_snapshot_s * 1_000,
            };
            self.start_driver(now, |turn| {
                Ok(Box::new(Peers::new(turn, peers, list, seed, lifetimes)?))
            })?;
        }
        if let Some(path) = snapshot_path(&self.config, startup) {
            self.start_driver(now, |turn| {
                Ok(Box::new(Snapshots::new(turn, path, list, purge_done)?))
            })?;
        }
        Ok(())
    }

    /// Starts a driver in the next slot.
    fn start_driver(
        &mut self,
        now: Timestamp,
        make: impl FnOnce(&mut Turn<'_>) -> Result<Box<dyn Driver>, Box<dyn Error>>,
    ) -> Result<(), ServerError> {
        let mut keys = PollerKeys::new(self.drivers.len() + 1);
        let behind_ms = self.pipeline.clock_offset.behind_ms();
        let mut turn = Turn {
            now,
            behind_ms,
            reactor: &self.reactor,
            effects: &mut self.effects,
            keys: &mut keys,
        };
        let driver = make(&mut turn).map_err(ServerError::Subsystem)?;
        self.drivers.push(RunningDriver { driver, keys });
        Ok(())
    }
}
