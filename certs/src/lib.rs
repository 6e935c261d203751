//! Certificates by ACME (RFC 8555, RFC 8737, RFC 9773): what to order and when, how an order goes, and how keys and
//! certificates are kept.
//!
//! [`Client`] is the whole of it as a state machine: moments and events go in, [`Action`]s come out. It does no
//! input or output and reads no clock. What it asks for is carried out by whoever drives it: [`exchange`] speaks
//! HTTPS with an absolute deadline, [`disk`] writes files so that a kill leaves old or new and never half of
//! each. Both block and belong on a worker thread.
//!
//! Two clocks come in with each [`Clocks`]: a monotonic one for waits, and the wall clock, which may jump, for
//! what certificates say of themselves.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
pub mod disk;
pub mod error;
pub mod exchange;
pub mod http;
pub mod identity;
pub mod jose;
pub mod messages;
pub mod order;
mod pending_writes;
pub mod planner;
pub mod renewal;
pub mod retry;
pub mod url;
pub mod wire;

pub use client::{Client, Settings};
pub use disk::FileUpdate;
pub use http::Method;
pub use identity::Identity;
pub use jose::AccountKey;
pub use messages::{Action, Challenge, Event, KeyRequest, Level, LogEntry, Request, Sign};

/// A moment on a clock that never goes back, in microseconds.
pub type Timestamp = u64;
/// A span, in microseconds.
pub type Micros = u64;
/// Seconds since the Unix epoch on the wall clock, which may jump.
pub type UnixTime = u64;

/// A second.
pub const SECOND: Micros = 1_000_000;

/// Now, on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// On the monotonic clock, in microseconds.
    pub now: Timestamp,
    /// On the wall clock, in seconds.
    pub wall: UnixTime,
}

/// A number that is the same for the same texts on each machine and after each start (FNV-1a, finished by a mix).
pub(crate) fn hash(parts: &[&str]) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for byte in parts.iter().flat_map(|p| p.bytes().chain([0xff])) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 33)
}

/// A share of `whole` that depends on the texts alone: 0 up to, but not, `whole`.
pub(crate) fn hash_below(whole: u64, parts: &[&str]) -> u64 {
    ((u128::from(whole) * u128::from(hash(parts))) >> 64) as u64
}

/// Foreign text as it may stand in a log: one line, printable, not too long.
pub fn sanitize(text: &str, most: usize) -> String {
    let mut sanitize: String = text
        .chars()
        .take(most)
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    if text.chars().nth(most).is_some() {
        sanitize.push('…');
    }
    sanitize
}
