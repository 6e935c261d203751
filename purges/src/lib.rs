//! Purges over a fleet: numbered in one ledger, matched against requests, carried to boxes in order.
//!
//! All of it is without input, output and clock. Moments of purges and copies are Unix milliseconds ([`Ms`]), as the
//! members' `born` is; what waits goes by a monotonic clock in microseconds ([`Time`]).
//!
//! - [`log`]: numbers, repeats, followers, compaction.
//! - [`journal`]: the ledger in one file, with checksums.
//! - [`matching`]: which purge concerns a request. What is unknown counts as matched.
//! - [`replication`]: which box has confirmed what, and what it is sent next.
//! - [`lease`]: what a front may still say that has not heard of the ledger for a while.
//! - [`shield`]: how much may go past the caches while floors are high.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod journal;
pub mod lease;
pub mod log;
pub mod matching;
pub mod replication;
pub mod shield;

/// Unix milliseconds.
pub type UnixMillis = u64;
/// A moment on a clock that never goes back, in microseconds.
pub type Timestamp = u64;
/// A span in microseconds.
pub type Micros = u64;
/// The number of a purge: 1 up, without gaps. 0: before the first.
pub type PurgeNumber = u64;

/// Letters of a tag, a pattern, a command's id, and of who and why, at most.
pub const MAX_TAG_BYTES: usize = 64;
/// Letters of a pattern.
pub const MAX_PATTERN_BYTES: usize = 200;
/// Letters of a command's id, and of who and why.
pub const MAX_TEXT_BYTES: usize = 200;

/// What a purge names.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum PurgeTarget {
    /// One object, whatever the part.
    Object(u64),
    /// All objects of a group.
    Group(u32),
    /// All objects that carry a tag.
    Tag(Box<str>),
    /// All keys that a glob matches. A key is `CLASS/ITEM/PART`, the item as 16 hex digits in lower case.
    Pattern(Box<str>),
}

/// A purge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Purge {
    /// Its place in the order.
    pub number: PurgeNumber,
    /// No copy from before this moment may answer.
    pub at_ms: UnixMillis,
    /// What it names.
    pub target: PurgeTarget,
    /// The command's id: the same one again is the same purge.
    pub id: Box<str>,
    /// Who asked.
    pub who: Box<str>,
    /// Why.
    pub why: Box<str>,
}

/// The key of a request as patterns see it.
pub fn request_key(class: &str, object: u64, part: u32) -> String {
    format!("{class}/{object:016x}/{part}")
}
