//! Exclusive leases for the fronts of a fleet, on top of a replicated log. The crate performs no I/O and reads no clock;
//! the caller passes in timestamps and provides the log.
//!
//! - [`LeaseTable`] is the replicated state machine with the holder and the fencing token of each lease. It is modified
//!   only by [`Command`]s in the order of the log, and does not depend on time.
//! - [`LeaseManager`] runs on the leader of the log, and proposes the expiry of grants according to its own clock. A new
//!   leader restarts all lease durations, since it does not know how much of them has passed.
//! - [`LeaseHolder`] runs on each front that competes for leases. It measures a lease from the time before its request was
//!   sent, by its own clock and reduced by the tolerated clock drift. Every operation under a lease requires
//!   [`LeaseHolder::authorize`].
//! - [`FencingCheck`] runs at the protected resource, and rejects tokens older than the newest one that it has seen.
//!
//! Two holders never act concurrently as long as clocks drift apart by less than [`MAX_DRIFT_PER_MILLE`] and operations
//! end by their authorized deadline. Otherwise only the fencing check protects the resource.
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

/// A timestamp on the local monotonic clock, in microseconds. The clock must advance while the process is suspended.
pub type Timestamp = u64;
/// A duration in microseconds.
pub type Micros = u64;
/// The identifier of a front, which is the same on all replicas.
pub type FrontId = u32;
/// The index of a lease in the settings.
pub type LeaseId = u16;
/// A number that increases with every grant of a lease. The first grant has token 1.
pub type FencingToken = u64;

/// Maximum tolerated drift between two clocks, in thousandths. Holders deduct it from each lease duration. Computer clocks are
/// typically accurate to a tenth of one thousandth.
pub const MAX_DRIFT_PER_MILLE: u64 = 10;
/// Maximum number of leases in a [`LeaseTable`].
pub const MAX_LEASES: usize = 1_024;
/// Maximum number of fronts whose sequence numbers a [`LeaseTable`] stores.
pub const MAX_FRONTS: usize = 4_096;
