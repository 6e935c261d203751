//! Emulates large fleets on a virtual clock: the production policy modules run against models of the list service, cache nodes
//! and parents. A run is determined by its seed.
//!
//! The list service is modelled as a queue with a fixed service time; it also serves calls whose callers have timed out.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod cache_nodes;
mod cold_start;
mod list_service;
mod plot;
mod rng;

pub use cache_nodes::{simulate_connections, ConnectPolicy, ConnectionResult};
pub use cold_start::{ColdFleet, ColdStartResult, SlowStartPolicy};
pub use list_service::{CallPolicy, Outage, OutageResult};
pub use plot::{draw, Line};

/// A time or duration on the virtual clock, in microseconds.
pub type Timestamp = u64;
/// One second on the virtual clock.
pub const SECOND: Timestamp = 1_000_000;
