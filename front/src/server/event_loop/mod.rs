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
use timers::Due;

const LISTENER: usize = 0;
const TERM: usize = 1;
const HANGUP: usize = 2;
/// Keys from here on are for connections.
const KEYS: usize = 3;
/// Rank from which on events of a turn come after all that is heard of clients: what nodes leave free is not for those who left.
const NODES: usize = 3;

/// One front on its sockets.
pub struct Server {
    config: Config,
    clock: Clock,
    reactor: Reactor,
    listener: Registered<TcpListener>,
    term: Registered<UnixStream>,
    hangup: Registered<UnixStream>,
    deadlines: Deadlines<Due>,
    front: Front,
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

impl Server {
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
        self.nodes
            .pause(now, self.clients.held() > self.config.room().bytes);
        Ok(self.parted(now))
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
                    .for_each(|news| self.news(now, news, Origin::Service));
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
}
