//! The server: command line, configuration, log, event loop, and the drivers of optional subsystems.
//!
//! `event_loop` waits for sockets, signals and timers and dispatches their events: to `downstream` (connections from clients),
//! `upstream` (connections to cache nodes, parents and the origin), `discovery` (the connection to the list service) and `drivers`
//! (subsystems enabled by the daemon's settings).
mod acceptor;
mod cli;
mod config;
mod ctl;
mod discovery;
mod downstream;
mod drain;
mod drivers;
mod error;
mod event_loop;
mod file_lock;
mod handover;
mod log;
mod purge_effects;
mod signals;
mod startup;
mod upstream;

pub use cli::run;
