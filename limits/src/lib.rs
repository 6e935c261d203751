//! Limits that subsystems share, without I/O or a clock: timestamps are passed in, decisions come out.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod concurrency;
mod cpu;

pub use concurrency::{Admission, Slots};
pub use cpu::CpuShare;

/// A timestamp on the caller's monotonic clock, in microseconds.
pub type Timestamp = u64;
/// A duration in microseconds.
pub type Micros = u64;
/// The key under which the caller knows a connection.
pub type ConnectionKey = usize;
