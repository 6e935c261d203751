//! Glob patterns over request keys, as single matchers or compiled into one automaton.
use super::LatestPurge;
use crate::MAX_PATTERN_BYTES;
use globset::{Glob, GlobBuilder, GlobSet, GlobSetBuilder};
use thiserror::Error;

/// Maximum number of wildcards in a pattern.
const MAX_WILDCARDS: usize = 12;
/// Keys without common parts. A pattern that matches all of them is considered to match everything.
const SAMPLE_KEYS: [&str; 3] = [
    "a/0123456789abcdef/0",
    "zz-z/fedcba9876543210/4294967295",
    "k/5a5a5a5a5a5a5a5a/7",
];

/// The reason why a pattern is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// The pattern is empty or longer than [`MAX_PATTERN_BYTES`].
    #[error("pattern: empty or longer than {MAX_PATTERN_BYTES} bytes")]
    Length,
    /// The pattern has too many wildcards.
    #[error("pattern: more than {MAX_WILDCARDS} wildcards")]
    TooManyWildcards,
    /// The pattern is not a valid glob.
    #[error("pattern: invalid glob syntax")]
    Syntax,
}

/// The reason why patterns could not be compiled.
#[derive(Debug, Error)]
pub enum CompileError {
    /// A pattern is invalid.
    #[error(transparent)]
    Pattern(#[from] PatternError),
    /// The automaton of all patterns would be too large.
    #[error(transparent)]
    Automaton(#[from] globset::Error),
    /// The worker thread for the compilation could not be started.
    #[error(transparent)]
    Worker(#[from] std::io::Error),
}

/// A valid pattern.
#[derive(Clone, Debug)]
pub struct ParsedPattern {
    /// The parsed glob, for matching against request keys.
    pub glob: Glob,
    /// Whether the pattern matches every key.
    pub matches_everything: bool,
}

/// Parses and validates a pattern.
pub fn parse_pattern(pattern: &str) -> Result<ParsedPattern, PatternError> {
    if pattern.is_empty() || pattern.len() > MAX_PATTERN_BYTES {
        return Err(PatternError::Length);
    }
    let wildcards = pattern.bytes().filter(|byte| b"*?[{".contains(byte));
    if wildcards.count() > MAX_WILDCARDS {
        return Err(PatternError::TooManyWildcards);
    }
    let glob = GlobBuilder::new(pattern)
        .literal_separator(false)
        .build()
        .map_err(|_| PatternError::Syntax)?;
    let matcher = glob.compile_matcher();
    Ok(ParsedPattern {
        glob,
        matches_everything: SAMPLE_KEYS.iter().all(|key| matcher.is_match(key)),
    })
}

/// Patterns to compile with [`compile_patterns`], each with its latest purge.
pub type CompileJob = Vec<(Box<str>, LatestPurge)>;

/// Patterns compiled into one automaton with [`compile_patterns`].
#[derive(Debug)]
pub struct PatternSet {
    globs: GlobSet,
    /// The latest purge of each pattern, in the order of the globs.
    pub(super) latest_purges: Vec<LatestPurge>,
    /// The patterns, sorted.
    texts: Vec<Box<str>>,
}

impl PatternSet {
    /// Iterates over the patterns and their latest purges.
    pub(super) fn patterns(&self) -> impl Iterator<Item = (&Box<str>, &LatestPurge)> {
        self.texts.iter().zip(&self.latest_purges)
    }

    /// Whether the set contains this pattern.
    pub(super) fn contains(&self, text: &str) -> bool {
        self.texts
            .binary_search_by(|known| (**known).cmp(text))
            .is_ok()
    }

    /// Iterates over the latest purges of the patterns that match a key.
    pub(super) fn matches<'a>(&'a self, key: &str) -> impl Iterator<Item = &'a LatestPurge> {
        let matched = self.globs.matches(key).into_iter();
        matched.filter_map(|index| self.latest_purges.get(index))
    }
}

/// Compiles patterns. This takes milliseconds for a thousand patterns, so it must not run on the event loop.
pub fn compile_patterns(mut job: CompileJob) -> Result<PatternSet, CompileError> {
    job.sort();
    let mut builder = GlobSetBuilder::new();
    for (text, _) in &job {
        builder.add(parse_pattern(text)?.glob);
    }
    let globs = builder.build()?;
    let (texts, latest_purges) = job.into_iter().unzip();
    Ok(PatternSet {
        globs,
        latest_purges,
        texts,
    })
}
