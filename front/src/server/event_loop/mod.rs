//! The event loop of a front: it waits for sockets, signals and timers, and hands each on to the module that knows it.
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

/// Poller keys of the sources that are there from the start.
const LISTENER_KEY: usize = 0;
const SIGTERM_KEY: usize = 1;
const SIGHUP_KEY: usize = 2;
/// The last key before those of connections.
const LAST_RESERVED_KEY: usize = 3;

/// The order in which the sources of one turn are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    /// First: what the list service says applies to all that is sent in the same turn.
    Discovery,
    /// Operators' commands are answered whatever the load.
    Admin,
    Clients,
    /// After all that is read from clients: capacity that an answer frees must not go to a client that has left.
    Upstream,
    /// Other subsystems, by slot.
    Driver(usize),
    /// Last: connections of which nothing was read yet may be closed to make room for new ones.
    Listener,
}

/// A subsystem that the settings switch on.
struct RunningDriver {
    driver: Box<dyn Driver>,
    keys: PollerKeys,
}

/// A front: the event loop and everything that runs on it.
pub struct Server {
    config: Config,
    /// The daemon's own settings.
    settings: Daemon,
    /// Where the settings were read from, if from anywhere.
    settings_file: Option<PathBuf>,
    log: Log,
    clock: Clock,
    reactor: Reactor,
    listener: Registered<TcpListener>,
    /// Readable once SIGTERM has come.
    sigterm: Registered<UnixStream>,
    /// Readable once SIGHUP has come.
    sighup: Registered<UnixStream>,
    timers: Deadlines<Timer>,
    pipeline: RequestPipeline,
    clients: Clients,
    upstream: UpstreamConnections,
    discovery: Discovery,
    startup: Startup,
    /// Whether watch events are passed to drivers.
    forwards_watch_events: bool,
    /// Whether it was logged that this clock is far from the list service's.
    clock_skew_logged: bool,
    /// The poller key that was given out last.
    last_key: usize,
    /// The graceful shutdown, once SIGTERM has come.
    shutdown: Option<Drain>,
    /// What is shared with other processes of this front, where the platform starts a new one beside the old.
    handover: Option<Handover>,
    /// Whether it is this process that accepts clients.
    accepts_clients: bool,
    accept_backoff: AcceptBackoff,
    /// Endpoints that operators have taken out of service.
    cordoned: BTreeSet<EndpointId>,
    /// When an operator drained this front; `None` while it accepts traffic.
    quiesced_at: Option<Timestamp>,
    /// The slot of the driver that answers operators of the platform; 0 where there is none.
    admin_slot: usize,
    /// Subsystems that the settings switch on, in the order of their slots.
    drivers: Vec<RunningDriver>,
    /// Messages of subsystems that are not carried out yet.
    effects: Vec<Effect>,
    /// Requests whose clients have disconnected in this turn.
    disconnected: Vec<ReplyTo>,
    started_at: Timestamp,
}

impl Server {
    /// Serves until a graceful shutdown is complete.
    pub fn run(mut self) -> Result<(), ServerError> {
        while !self.run_turn()? {}
        Ok(())
    }

    /// Waits for something to do and does it. Returns whether the process can end.
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

    /// Handles what the poller reported, in the order of [`Rank`]. Requests of clients that disconnected are cancelled before
    /// anything is read from upstream.
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
