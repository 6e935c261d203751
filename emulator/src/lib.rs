//! Large fleets on a virtual clock: the project's cores, as they ship, against modelled services.
//!
//! The list service is a queue that is slower the more it is asked: it spends its time on calls whose callers have gone as well.
//! Cache nodes count the connections that come to them. All follows from a seed.
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

/// A moment or span on the virtual clock, in microseconds.
pub type Timestamp = u64;
/// A second.
pub const SECOND: Timestamp = 1_000_000;
