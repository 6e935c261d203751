//! Command line, configuration, log, the one loop, and a file for each subsystem that it drives.
mod certs;
mod cli;
mod clients;
mod config;
mod control;
mod ctl;
mod driver;
mod feed;
mod log;
mod members;
mod purges;
mod serve;
mod tls;

pub use cli::run;
