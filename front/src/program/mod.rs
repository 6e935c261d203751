//! Command line, configuration, log and the loop.
mod cli;
mod clients;
mod config;
mod feed;
mod log;
mod members;
mod serve;

pub use cli::run;
