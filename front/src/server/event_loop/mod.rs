//! The event loop of a front: waits for sockets, signals and timers, and dispatches their events.
mod admin;
mod assembly;
mod clients;
mod cordon;
mod dispatch;
mod effects;
mod endpoints;
mod reload;
mod shutdown;
mod takeover;
mod timers;

use crate::routing::{ReplyTo, RequestPipeline};
use crate::server::acceptor::AcceptBackoff;
use crate::server::config::Config;
use crate::server::discovery::Discovery;
use crate::server::downstream::Clients;
use crate::server::drain::Drain;
use crate::server::drivers::{slot_of, Driver, Effect, PollerKeys};
use crate::server::error::ServerError;
use crate::server::handover::Handover;
use crate::server::log::Log;
use crate::server::signals;
use crate::server::startup::Startup;
use crate::server::upstream::UpstreamConnections;
use crate::transport::{Clock, Deadlines, Reactor, ReadyEvent, Registered};
use cranesill::api::{EndpointId, Timestamp};
use cranesill_daemon::Daemon;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use timers::Timer;

/// Poller keys of the sources registered at startup.
const LISTENER_KEY: usize = 0;
const SIGTERM_KEY: usize = 1;
const SIGHUP_KEY: usize = 2;
/// Connections get the keys above this one.
const LAST_RESERVED_KEY: usize = 3;

/// The order in which ready sources are handled in one turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// First, because watch events apply to all attempts sent in the same turn.
    Discovery,
    /// Operators' commands are answered regardless of the load.
    Admin,
    Clients,
    /// After clients, because capacity freed by a response must not be used for a client that has disconnected.
    Upstream,
    /// Other subsystems, by slot.
    Driver(usize),
    /// Last, because accepting may evict connections, which must be read first.
    Listener,
}

/// The driver of an enabled subsystem, with its poller keys.
struct RunningDriver {
    driver: Box<dyn Driver>,
    keys: PollerKeys,
}

/// A front: the event loop and its state.
pub struct Server {
    config: Config,
    /// The settings of the daemon.
    settings: Daemon,
    /// The settings file; `None` if the defaults are used.
    settings_file: Option<PathBuf>,
    log: Log,
    clock: Clock,
    reactor: Reactor,
    listener: Registered<TcpListener>,
    /// Readable after SIGTERM.
    sigterm: Registered<UnixStream>,
    /// Readable after SIGHUP.
    sighup: Registered<UnixStream>,
    timers: Deadlines<Timer>,
    pipeline: RequestPipeline,
    clients: Clients,
    upstream: UpstreamConnections,
    discovery: Discovery,
    startup: Startup,
    /// Whether watch events are forwarded to drivers.
    forwards_watch_events: bool,
    /// Whether the current clock skew has been logged.
    clock_skew_logged: bool,
    /// The last poller key assigned to a connection.
    last_key: usize,
    /// The graceful shutdown; `None` before SIGTERM.
    shutdown: Option<Drain>,
    /// The state shared with other processes of this front; `None` if the platform does not support handover.
    handover: Option<Handover>,
    /// Whether this process accepts clients.
    accepts_clients: bool,
    accept_backoff: AcceptBackoff,
    /// Endpoints taken out of service by operators.
    cordoned: BTreeSet<EndpointId>,
    /// When an operator drained this front with `quiesce`; `None` while it accepts clients.
    quiesced_at: Option<Timestamp>,
    /// The slot of the driver for the platform's operators; 0 if there is none.
    admin_slot: usize,
    /// The drivers of enabled subsystems, in the order of their slots.
    drivers: Vec<RunningDriver>,
    /// Messages between subsystems that are not delivered yet.
    effects: Vec<Effect>,
    /// Requests whose clients have disconnected or cancelled in this turn.
    disconnected: Vec<ReplyTo>,
    started_at: Timestamp,
}

impl Server {
    /// Runs the event loop until a graceful shutdown is complete.
    pub fn run(mut self) -> Result<(), ServerError> {
        while !self.run_turn()? {}
        Ok(())
    }

    /// Waits for events and handles them. Returns whether the process can exit.
    fn run_turn(&mut self) -> Result<bool, ServerError> {
        let deadline = self.next_deadline();
        let events = self.reactor.wait(self.clock.now(), deadline);
        let events = events.map_err(ServerError::Poller)?;
        let now = self.clock.now();
        self.handle_events(now, events);
        while let Some(timer) = self.timers.take(now) {
            self.handle_timer(now, timer);
        }
        let client_events = self.clients.poll(now);
        self.handle_client_events(now, client_events);
        self.run_due_drivers(now);
        let pauses =
            self.clients.buffered_bytes() > self.config.capacity_limits().max_buffered_bytes;
        self.upstream.set_paused(now, pauses);
        Ok(self.advance_shutdown(now))
    }

    fn next_deadline(&self) -> Option<Timestamp> {
        let drivers = self
            .drivers
            .iter()
            .filter_map(|running| running.driver.next());
        let own = [self.timers.next(), self.clients.next_deadline()];
        drivers.chain(own.into_iter().flatten()).min()
    }

    /// Handles readiness events in the order of [`Rank`]. Requests of disconnected clients are cancelled before any upstream
    /// connection is read.
    fn handle_events(&mut self, now: Timestamp, mut events: Vec<ReadyEvent>) {
        events.sort_by_cached_key(|event| self.rank(event.key));
        let clients_end = events.partition_point(|event| self.rank(event.key) < Rank::Upstream);
        for (n, event) in events.into_iter().enumerate() {
            if n == clients_end {
                self.cancel_disconnected(now);
            }
            self.handle_event(now, event);
        }
        self.cancel_disconnected(now);
    }

    fn rank(&self, key: usize) -> Rank {
        match slot_of(key) {
            slot if slot > 0 && slot == self.admin_slot => Rank::Admin,
            slot if slot > 0 => Rank::Driver(slot),
            _ if key == LISTENER_KEY => Rank::Listener,
            _ if self.discovery.has_connection(key) => Rank::Discovery,
            _ if self.upstream.has_connection(key) => Rank::Upstream,
            _ => Rank::Clients,
        }
    }

    fn run_due_drivers(&mut self, now: Timestamp) {
        for slot in 1..=self.drivers.len() {
            self.with_driver(now, slot, |driver, turn| {
                if driver.next().is_some_and(|at| at <= turn.now) {
                    driver.due(turn);
                }
            });
        }
        self.deliver_effects(now);
    }

    fn next_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }

    fn handle_event(&mut self, now: Timestamp, event: ReadyEvent) {
        let ReadyEvent {
            key,
            readable,
            writable,
        } = event;
        match key {
            LISTENER_KEY => self.accept_clients(now),
            SIGTERM_KEY => self.begin_shutdown(now),
            SIGHUP_KEY => {
                signals::clear(&self.sighup);
                self.reload(now);
            }
            _ if slot_of(key) > 0 => {
                self.with_driver(now, slot_of(key), |driver, turn| {
                    driver.ready(turn, key, readable, writable)
                });
                self.deliver_effects(now);
            }
            _ if self.discovery.has_connection(key) => self.read_discovery(now),
            _ if self.upstream.has_connection(key) => {
                let mut ends = Vec::new();
                self.upstream.ready(now, key, readable, &mut ends);
                self.run_commands(now, ends);
            }
            _ if self.clients.has_connection(key) => {
                self.serve_client(now, key, readable, writable)
            }
            _ => {}
        }
    }
}
