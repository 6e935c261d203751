//! Limits that subsystems share. No input or output, no clock: moments come in, choices go out. Moments and spans
//! are microseconds.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod concurrency;
mod cpu;

pub use concurrency::{Place, Places};
pub use cpu::CoreTime;

/// A moment, in microseconds on a clock that never goes back.
pub type Time = u64;
/// A span, in microseconds.
pub type Span = u64;
