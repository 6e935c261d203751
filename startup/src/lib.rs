//! The cold start of a fleet, without input, output or a clock: when a front calls the list service, when it begins
//! to use members that are new to it, whether a list on disk is served from, and when it says that it is ready.
//!
//! Rates are stated for the whole fleet and divided by the number of fronts, which every front knows from the settings.
//! `docs/design/startup.md` says why it is so and what was measured.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod calls;
mod peers;
mod ramp;
mod ready;
pub mod rng;
mod snapshot;

pub use calls::{Budget, Calls, End};
pub use peers::Peers;
pub use ramp::{Ramp, Take};
pub use ready::{Needs, Ready, Waits};
pub use snapshot::{judge, Aside, Dated};

/// A moment on the caller's monotonic clock, in microseconds.
pub type Time = u64;
/// A span of time in microseconds.
pub type Span = u64;
