//! The loop.
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

use crate::routing::{Front, Origin, ReplyTo};
use crate::server::acceptor::AcceptBackoff;
use crate::server::config::Config;
use crate::server::discovery::Discovery;
use crate::server::downstream::Clients;
use crate::server::drain::Drain;
use crate::server::drivers::{slot_of, Driver, Effect};
use crate::server::handover::Shared;
use crate::server::log::Log;
use crate::server::signals::drain;
use crate::server::startup::Startup;
use crate::server::upstream::CacheNodes;
use crate::transport::{Clock, Deadlines, Reactor, Registered};
use cranesill::api::{EndpointId, Timestamp};
use cranesill_daemon::Daemon;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use timers::Timer;

const LISTENER_KEY: usize = 0;
const SIGTERM_KEY: usize = 1;
const SIGHUP_KEY: usize = 2;
/// Keys from here on are for connections.
const FIRST_CONNECTION_KEY: usize = 3;
/// Rank from which on events of a turn come after all that is heard of clients: what nodes leave free is not for those who left.
const UPSTREAM_RANK: usize = 3;

/// One front on its sockets.
pub struct Server {
    config: Config,
    clock: Clock,
    reactor: Reactor,
    listener: Registered<TcpListener>,
    sigterm: Registered<UnixStream>,
    sighup: Registered<UnixStream>,
    timers: Deadlines<Timer>,
    front: Front,
    clients: Clients,
    upstream: CacheNodes,
    discovery: Discovery,
    startup: Startup,
    /// What the list service tells is told to drivers.
    forwards_watch_events: bool,
    /// That this clock is far from the list service's was told.
    clock_skew_logged: bool,
    log: Log,
    last_key: usize,
    /// Since SIGTERM.
    shutdown: Option<Drain>,
    /// Where the platform starts a new process beside the old.
    handover: Option<Shared>,
    /// Whether this process accepts clients.
    accepts_clients: bool,
    accept_backoff: AcceptBackoff,
    /// Members out by hand, as last seen in what is shared.
    cordoned: BTreeSet<EndpointId>,
    /// Since when it is emptied.
    quiesced_at: Option<Timestamp>,
    /// The driver that goes before clients: operators' calls are due whatever the load.
    admin_slot: usize,
    /// The daemon's own settings, and where they were read from.
    settings: Daemon,
    settings_file: Option<PathBuf>,
    /// Subsystems that the settings switch on, each with the last key that it gave out.
    drivers: Vec<(Box<dyn Driver>, usize)>,
    effects: Vec<Effect>,
    /// Who no longer waits, as heard in this turn.
    disconnected: Vec<ReplyTo>,
    started_at: Timestamp,
}

impl Server {
    /// Serves until it has left.
    pub fn run(mut self) -> Result<(), String> {
        while !self.run_turn()? {}
        Ok(())
    }

    /// Waits for something to do and does it. Whether the front has left.
    fn run_turn(&mut self) -> Result<bool, String> {
        let drivers = self
            .drivers
            .iter()
            .filter_map(|(driver, _)| driver.next())
            .min();
        let next = self
            .timers
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
            slot if slot > 0 && slot == self.admin_slot => 1,
            slot if slot > 0 => UPSTREAM_RANK + slot,
            _ if self.discovery.is(key) => 0,
            _ if self.upstream.has(key) => UPSTREAM_RANK,
            _ => 2,
        };
        events.sort_by_cached_key(|(key, ..)| (*key == LISTENER_KEY, rank(*key)));
        let nodes = events
            .iter()
            .position(|(key, ..)| *key == LISTENER_KEY || rank(*key) >= UPSTREAM_RANK);
        for (n, (key, readable, writable)) in events.into_iter().enumerate() {
            if nodes == Some(n) {
                self.cancel_disconnected(now);
            }
            self.handle_event(now, key, readable, writable);
        }
        self.cancel_disconnected(now);
        while let Some(due) = self.timers.take(now) {
            self.handle_timer(now, due);
        }
        let heard = self.clients.due(now);
        self.handle_client_events(now, heard);
        for slot in 1..=self.drivers.len() {
            self.with_driver(now, slot, |driver, turn| {
                if driver.next().is_some_and(|at| at <= turn.now) {
                    driver.due(turn);
                }
            });
        }
        self.carry_out_effects(now);
        self.upstream
            .pause(now, self.clients.held() > self.config.room().bytes);
        Ok(self.advance_shutdown(now))
    }

    fn next_key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }

    fn handle_event(&mut self, now: Timestamp, key: usize, readable: bool, writable: bool) {
        match key {
            LISTENER_KEY => self.accept_clients(now),
            SIGTERM_KEY => self.begin_shutdown(now),
            SIGHUP_KEY => {
                drain(&self.sighup);
                self.reload(now);
            }
            _ if slot_of(key) > 0 => {
                self.with_driver(now, slot_of(key), |driver, turn| {
                    driver.ready(turn, key, readable, writable)
                });
                self.carry_out_effects(now);
            }
            _ if self.discovery.is(key) => {
                self.discovery
                    .ready(now)
                    .into_iter()
                    .for_each(|news| self.apply_watch_event(now, news, Origin::Service));
                self.timers.add(self.discovery.due, Timer::Discovery);
            }
            _ if self.upstream.has(key) => {
                let mut ends = Vec::new();
                self.upstream.ready(now, key, readable, &mut ends);
                self.run_commands(now, ends);
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
                self.handle_client_events(now, heard);
            }
            _ => {}
        }
    }
}
