//! Command line, configuration, log, the one loop, and a file for each subsystem that it drives.
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
mod floors;
mod handover;
mod log;
mod signals;
mod startup;
mod upstream;

pub use cli::run;
