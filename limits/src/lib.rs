//! Resource limits shared by several subsystems: connection slots and CPU time. The crate performs no I/O and reads no
//! clock; the caller passes in timestamps.
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
/// The caller's key of a connection.
pub type ConnectionKey = usize;
