//! Leases that one front holds at a time, without I/O or a clock: timestamps are passed in, and the replicated log is
//! provided by the caller.
//!
//! - [`LeaseTable`] is the state machine that all replicas share: which front holds which lease, under which fencing
//!   token. It changes only by [`Command`]s in the log's order and knows no time.
//! - [`LeaseManager`] runs on the leader of the log. It decides by its own clock when a grant has expired, and restarts
//!   every lease duration when it becomes leader, since it cannot know what the previous leader had counted.
//! - [`LeaseHolder`] runs on a front that wants leases. It counts a lease from before the request was sent, by its own
//!   clock and less the allowed clock drift, and every operation first passes [`LeaseHolder::authorize`].
//! - [`FencingCheck`] runs at the resource: it rejects a token older than the newest one it has seen.
//!
//! Two holders therefore never act at once while clocks drift apart by less than [`MAX_DRIFT_PER_MILLE`] and operations
//! end by the deadline they were authorized for. Beyond that, only fencing protects, where the resource checks it.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod fencing;
mod holder;
mod manager;
mod state_machine;

pub use fencing::{FencingCheck, StaleToken};
pub use holder::{Action, LeaseHolder, NotAuthorized};
pub use manager::LeaseManager;
pub use state_machine::{Command, Denial, Grant, LeaseTable, Outcome};

/// A timestamp on the caller's own monotonic clock, in microseconds. The clock goes on while the process is stopped.
pub type Timestamp = u64;
/// A duration in microseconds.
pub type Micros = u64;
/// A front, under the name that all replicas use for it.
pub type FrontId = u32;
/// The index of a lease in the settings.
pub type LeaseId = u16;
/// A number that grows with every grant of a lease. The first grant has token 1.
pub type FencingToken = u64;

/// Largest drift between two clocks that is tolerated, in thousandths: holders deduct it from each lease duration.
/// Computer clocks are typically accurate to a tenth of one thousandth.
pub const MAX_DRIFT_PER_MILLE: u64 = 10;
/// Largest number of leases in a [`LeaseTable`].
pub const MAX_LEASES: usize = 1_024;
/// Largest number of fronts that a [`LeaseTable`] remembers.
pub const MAX_FRONTS: usize = 4_096;
