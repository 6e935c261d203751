//! An ACME client (RFC 8555, RFC 8737, RFC 9773): planning of renewals, processing of orders, and storage of keys and
//! certificates.
//!
//! [`Client`] is a state machine without input or output: it takes [`Event`]s and returns [`Action`]s, which its driver
//! carries out. [`exchange`] sends HTTPS requests with an absolute deadline, and [`disk`] replaces files atomically.
//! Both block and have to run on a worker thread.
//!
//! The client reads no clock. Each call passes [`Clocks`]: the monotonic clock is used for timers, the wall clock, which
//! may jump, for the validity of certificates.
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
mod name_lookup;
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

/// A time on the monotonic clock, in microseconds.
pub type Timestamp = u64;
/// A duration in microseconds.
pub type Micros = u64;
/// A time on the wall clock, in seconds since the Unix epoch.
pub type UnixTime = u64;

/// One second in microseconds.
pub const SECOND: Micros = 1_000_000;

/// The current time on both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clocks {
    /// Monotonic clock, in microseconds.
    pub now: Timestamp,
    /// Wall clock, in seconds since the Unix epoch.
    pub wall: UnixTime,
}

/// Returns a hash (FNV-1a with a final mix) that is stable across machines and restarts.
pub(crate) fn hash(parts: &[&str]) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for byte in parts.iter().flat_map(|p| p.bytes().chain([0xff])) {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    h ^= h >> 33;
    h = h.wrapping_mul(0xff51_afd7_ed55_8ccd);
    h ^ (h >> 33)
}

/// Returns a number in `0..limit` that depends on `limit` and `parts` alone.
pub(crate) fn hash_below(limit: u64, parts: &[&str]) -> u64 {
    ((u128::from(limit) * u128::from(hash(parts))) >> 64) as u64
}

/// Prepares text from a peer for the log: replaces control characters by spaces and truncates it to `max_chars`.
pub fn sanitize(text: &str, max_chars: usize) -> String {
    let mut sanitized: String = text
        .chars()
        .take(max_chars)
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    if text.chars().nth(max_chars).is_some() {
        sanitized.push('…');
    }
    sanitized
}
