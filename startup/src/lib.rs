//! Start-up of a fleet of fronts: the schedule of calls to the list service, slow start of endpoints, validation of
//! endpoint lists from disk or from peers, and readiness.
//!
//! The crate performs no I/O and reads no clock. Rates apply to the whole fleet; each front divides them by the number
//! of fronts in its settings. See `docs/design/startup.md` for the design and the measurements.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod call_budget;
mod peer_bootstrap;
mod readiness;
pub mod rng;
mod slow_start;
mod snapshot;

pub use call_budget::{CallBudget, CallEnd, CallSchedule};
pub use peer_bootstrap::{ListOffer, PeerBootstrap};
pub use readiness::{NotReady, Readiness, ReadinessPolicy};
pub use slow_start::{Admission, Group, ListedEndpoint, SlowStart};
pub use snapshot::{check_snapshot, SnapshotHeader, SnapshotRejected};

/// A timestamp on the caller's monotonic clock, in microseconds.
pub type Timestamp = u64;
/// A duration in microseconds.
pub type Micros = u64;

/// The position of a front in its fleet, from the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// The index of this front, from 0 to one less than [`FleetPosition::fronts`].
    pub number: u32,
    /// The number of fronts in the fleet; 0 is treated as 1.
    pub fronts: u32,
}

impl FleetPosition {
    /// Replaces an empty fleet by a fleet of one front, and reduces the index into the valid range.
    fn normalized(self) -> Self {
        let fronts = self.fronts.max(1);
        FleetPosition {
            number: self.number % fronts,
            fronts,
        }
    }
}
