//! Cold start of a fleet, without I/O or a clock: when a front calls the list service, when it starts to use endpoints
//! that are new to it, whether a list from disk or from peers may be used, and when the front reports that it is ready.
//!
//! Rates are stated for the whole fleet and divided by the number of fronts, which every front knows from the settings.
//! `docs/design/startup.md` gives the reasons and the measurements.
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

/// The place of a front in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetPosition {
    /// The number of this front, from 0.
    pub number: u32,
    /// The number of fronts in the fleet.
    pub fronts: u32,
}

impl FleetPosition {
    /// The position with a fleet of at least one front and a number within it.
    fn normalized(self) -> Self {
        let fronts = self.fronts.max(1);
        FleetPosition {
            number: self.number % fronts,
            fronts,
        }
    }
}
