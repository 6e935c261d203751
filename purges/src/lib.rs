//! Cache purges for a fleet: an ordered, numbered purge log, matching against requests, and replication to cache nodes.
//!
//! The crate performs no I/O except through [`journal::JournalFile`], and reads no clock. Purges and cached copies carry
//! wall-clock timestamps in Unix milliseconds ([`UnixMillis`]), like the field `born` of cache nodes; timers use a
//! monotonic clock in microseconds ([`Timestamp`]).
//!
//! - [`log`]: numbering of purges, deduplication of commands, batches for followers, compaction.
//! - [`journal`]: storage of the log in a file with checksums.
//! - [`matching`]: selection of the purges that match a request. Unknown attributes match every purge.
//! - [`replication`]: delivery of purges to cache nodes, and their confirmations.
//! - [`lease`]: limits on serving cached copies while the writer of the log is unreachable.
//! - [`shield`]: rate limit on requests that bypass the caches after a large purge.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod journal;
pub mod lease;
pub mod log;
pub mod matching;
pub mod replication;
pub mod shield;

/// A wall-clock timestamp in Unix milliseconds.
pub type UnixMillis = u64;
/// A timestamp on a monotonic clock, in microseconds.
pub type Timestamp = u64;
/// A duration in microseconds.
pub type Micros = u64;
/// The number of a purge in its log. Numbers start at 1 and have no gaps; 0 is the position before the first purge.
pub type PurgeNumber = u64;

/// Maximum length of a surrogate tag, in bytes.
pub const MAX_TAG_BYTES: usize = 64;
/// Maximum length of a pattern, in bytes.
pub const MAX_PATTERN_BYTES: usize = 200;
/// Maximum length of a command id, requester or reason, in bytes.
pub const MAX_TEXT_BYTES: usize = 200;

/// The set of cached objects that a purge removes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// One object, with all its parts.
    Object(u64),
    /// All objects of a group.
    Group(u32),
    /// All objects that carry a surrogate tag.
    Tag(Box<str>),
    /// All objects and parts whose [`request_key`] matches a glob pattern.
    Pattern(Box<str>),
}

/// An entry of the purge log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// The position in the log; 0 for a purge that is not durable and therefore has no position.
    pub number: PurgeNumber,
    /// When the purge takes effect: copies created before this time are stale.
    pub at_ms: UnixMillis,
    /// The set of objects to remove.
    pub target: PurgeTarget,
    /// The idempotency key of the command: a command with the same id is the same purge.
    pub id: Box<str>,
    /// The name of the requester, for the audit trail.
    pub who: Box<str>,
    /// The reason for the request, for the audit trail.
    pub why: Box<str>,
}

/// Returns the key of a request that patterns are matched against: `CLASS/OBJECT/PART`, with the object as 16 lower-case
/// hex digits.
pub fn request_key(class: &str, object: u64, part: u32) -> String {
    format!("{class}/{object:016x}/{part}")
}
