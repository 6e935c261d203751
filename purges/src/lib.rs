//! Purges over a fleet: numbered in one ordered log, matched against requests, replicated to cache nodes in order.
//!
//! Everything here is without I/O and clock. Purges and copies are dated in Unix milliseconds ([`UnixMillis`]), as the
//! cache nodes' `born` is; timers use a monotonic clock in microseconds ([`Timestamp`]).
//!
//! - [`log`]: numbering, repeated commands, followers, compaction.
//! - [`journal`]: the log in one file, with checksums.
//! - [`matching`]: which purges concern a request. What is unknown counts as matched.
//! - [`replication`]: which cache node has confirmed what, and what it is sent next.
//! - [`lease`]: what a front may still serve that has not heard from the writer of the log for a while.
//! - [`shield`]: how much may be fetched past the caches after a large purge.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod journal;
pub mod lease;
pub mod log;
pub mod matching;
pub mod replication;
pub mod shield;

/// A date in Unix milliseconds.
pub type UnixMillis = u64;
/// A timestamp on a monotonic clock, in microseconds.
pub type Timestamp = u64;
/// A duration in microseconds.
pub type Micros = u64;
/// The number of a purge in its log, from 1 without gaps. 0 stands for the position before the first.
pub type PurgeNumber = u64;

/// Longest surrogate tag, in bytes.
pub const MAX_TAG_BYTES: usize = 64;
/// Longest pattern, in bytes.
pub const MAX_PATTERN_BYTES: usize = 200;
/// Longest command id, and longest text that says who purges and why, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// What a purge removes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// One object with all its parts.
    Object(u64),
    /// All objects of a group.
    Group(u32),
    /// All objects that carry a surrogate tag.
    Tag(Box<str>),
    /// All requests whose [`request_key`] a glob matches.
    Pattern(Box<str>),
}

/// A purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Its number in the log.
    pub number: PurgeNumber,
    /// Copies created before this time are stale.
    pub at_ms: UnixMillis,
    /// What it removes.
    pub target: PurgeTarget,
    /// The id of the command: a command with the same id is the same purge.
    pub id: Box<str>,
    /// Who requested it.
    pub who: Box<str>,
    /// Why it was requested.
    pub why: Box<str>,
}

/// The key by which patterns match a request: `CLASS/OBJECT/PART`, the object as 16 hex digits in lower case.
pub fn request_key(class: &str, object: u64, part: u32) -> String {
    format!("{class}/{object:016x}/{part}")
}
