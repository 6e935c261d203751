//! Matching of requests against purges, with hash tables for objects, groups and tags, and one automaton for patterns.
//! The cost per request is independent of the number of purges, except for patterns that are not compiled yet.
mod pattern;
mod purge_matcher;
mod tag_index;

pub use pattern::{
    compile_patterns, parse_pattern, CompileError, CompileJob, ParsedPattern, PatternError,
    PatternSet,
};
pub use purge_matcher::{LivePurges, PurgeMatcher, RequestAttributes, MAX_PATTERNS};
pub use tag_index::{tag_hash, TagCounts, TagIndex};

use crate::{PurgeNumber, UnixMillis};

/// The latest purge of a target. The order is by time, then by number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LatestPurge {
    /// Copies created before this time are stale.
    pub at_ms: UnixMillis,
    /// The number of the purge; [`PurgeNumber::MAX`] if it is not in the log.
    pub number: PurgeNumber,
}

#[cfg(test)]
mod tests;
