//! The cold start of a fleet, without input, output or a clock: when a front calls the list service, when it begins
//! to use members that are new to it, whether a list on disk is served from, and when it says that it is ready.
//!
//! Rates are stated for the whole fleet and divided by the number of fronts, which every front knows from the settings.
//! `docs/design/startup.md` says why it is so and what was measured.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod call_budget;
mod peer_bootstrap;
mod readiness;
pub mod rng;
mod slow_start;
mod snapshot;

pub use call_budget::{Budget, Calls, End};
pub use peer_bootstrap::Peers;
pub use readiness::{Needs, Ready, Waits};
pub use slow_start::{Ramp, Take};
pub use snapshot::{judge, Aside, Dated};

/// A moment on the caller's monotonic clock, in microseconds.
pub type Time = u64;
/// A span of time in microseconds.
pub type Span = u64;
