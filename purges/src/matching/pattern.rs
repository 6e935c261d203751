//! Glob patterns over request keys: one by one, and compiled into one automaton.
use super::LatestPurge;
use crate::MAX_PATTERN_BYTES;
use globset::{Glob, GlobBuilder, GlobSet, GlobSetBuilder};
use thiserror::Error;

/// Most wildcards in one pattern.
const MAX_WILDCARDS: usize = 12;
/// Keys that have nothing in common: a pattern that matches all of them is taken to match everything.
const SAMPLE_KEYS: [&str; 3] = [
    "a/0123456789abcdef/0",
    "zz-z/fedcba9876543210/4294967295",
    "k/5a5a5a5a5a5a5a5a/7",
];

/// Why a pattern is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// It is empty or longer than [`MAX_PATTERN_BYTES`].
    #[error("pattern: empty or too long")]
    Length,
    /// It has more wildcards than are allowed.
    #[error("pattern: too many wildcards")]
    TooManyWildcards,
    /// It is no glob.
    #[error("pattern: it can't be read")]
    Syntax,
}

/// Patterns could not be compiled.
#[derive(Debug, Error)]
pub enum CompileError {
    /// One of them is not valid.
    #[error(transparent)]
    Pattern(#[from] PatternError),
    /// Together they are too large for an automaton.
    #[error(transparent)]
    Automaton(#[from] globset::Error),
    /// The worker thread could not be started.
    #[error(transparent)]
    Worker(#[from] std::io::Error),
}

/// A valid pattern.
#[derive(Clone, Debug)]
pub struct ParsedPattern {
    /// The glob over request keys.
    pub glob: Glob,
    /// Whether it matches every key.
    pub matches_everything: bool,
}

/// Parses a pattern.
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

/// Patterns to compile, with the latest purge of each.
pub type CompileJob = Vec<(Box<str>, LatestPurge)>;

/// Patterns compiled into one automaton by [`compile_patterns`].
#[derive(Debug)]
pub struct PatternSet {
    globs: GlobSet,
    /// The latest purges, in the order of the globs.
    pub(super) latest_purges: Vec<LatestPurge>,
    texts: Vec<Box<str>>,
}

impl PatternSet {
    /// The patterns with their latest purges.
    pub(super) fn patterns(&self) -> impl Iterator<Item = (&Box<str>, &LatestPurge)> {
        self.texts.iter().zip(&self.latest_purges)
    }

    /// The latest purges of the patterns that match a key.
    pub(super) fn matches<'a>(&'a self, key: &str) -> impl Iterator<Item = &'a LatestPurge> {
        let matched = self.globs.matches(key).into_iter();
        matched.filter_map(|index| self.latest_purges.get(index))
    }
}

/// Compiles patterns. It takes milliseconds for a thousand of them, so it must not run on the event loop.
pub fn compile_patterns(job: CompileJob) -> Result<PatternSet, CompileError> {
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
