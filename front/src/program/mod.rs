//! Command line, configuration, log, the one loop, and a file for each subsystem that it drives.
mod boxes;
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
mod ops;
mod purges;
mod replicas;
mod serve;
mod shared;
mod tls;

pub use cli::run;
