//! Command line, configuration, log, the one loop, and a file for each subsystem that it drives.
mod acceptor;
mod cli;
mod clients;
mod config;
mod ctl;
mod drain;
mod drivers;
mod feed;
mod floors;
mod log;
mod members;
mod serve;
mod shared;
mod signals;
mod startup;

pub use cli::run;
