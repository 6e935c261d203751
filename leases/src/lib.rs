//! Duties that one front holds at a time. No input, output or clock: moments come in, and an ordered log is somebody else's.
//!
//! - [`Book`] is what all voters agree on: who holds what, under which fence. It changes by commands in the log's order alone
//!   and knows no time.
//! - [`Keeper`] runs where the log is led. It says when a grant has lapsed, by its own clock, and counts every term anew once it
//!   leads: what an earlier leader counted is not known.
//! - [`Holder`] is a front that holds duties. It counts a lease from before it asked, by its own clock less what clocks may
//!   drift, and every act passes [`Holder::act`] first.
//! - [`Gate`] stands at whatever is acted on: an older fence than the highest it has seen is refused.
//!
//! So two holders never act at once while clocks drift from each other by less than [`DRIFT_PER_MILLE`] and acts end by the
//! moment that they named. Beyond that fencing alone holds, where it is looked at.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod fencing;
mod holder;
mod manager;
mod state_machine;

pub use fencing::Gate;
pub use holder::{Holder, Says};
pub use manager::Keeper;
pub use state_machine::{Book, Command, Fact, No};

/// A moment on somebody's own monotonic clock, in microseconds; it goes on while the process is stopped.
pub type Time = u64;
/// A span in microseconds.
pub type Span = u64;
/// A front, as all name it.
pub type Front = u32;
/// A duty's place in the settings.
pub type Duty = u16;
/// Ever growing, anew with each grant of a duty.
pub type Fence = u64;

/// By how much clocks may drift from each other, in thousandths: what a holder takes off each term. Clocks of computers are
/// good to a tenth of one.
pub const DRIFT_PER_MILLE: u64 = 10;
/// Duties, and fronts, that a book keeps at most.
pub const DUTIES_MOST: usize = 1_024;
/// See above.
pub const FRONTS_MOST: usize = 4_096;
