//! The server: command line, configuration, log, the event loop, and a driver for each subsystem that it runs.
//!
//! `event_loop` waits for sockets, signals and timers and hands each on: `downstream` holds the connections of clients,
//! `upstream` those to cache nodes, parents and the origin, `discovery` the one to the list service, and `drivers` the
//! subsystems that the daemon's own settings switch on.
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
mod handover;
mod log;
mod purge_effects;
mod signals;
mod startup;
mod upstream;

pub use cli::run;
