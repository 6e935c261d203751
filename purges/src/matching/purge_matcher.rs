//! Lookup structures for matching requests against live purges.
use super::pattern::{parse_pattern, CompileError, CompileJob, PatternSet};
use super::tag_index::tag_hash;
use super::LatestPurge;
use crate::{Purge, PurgeNumber, PurgeTarget, UnixMillis};
use globset::GlobMatcher;
use std::collections::HashMap;
use std::hash::Hash;

/// Number of uncompiled patterns, which are matched one by one, that triggers a compilation of all patterns.
pub(super) const MAX_UNCOMPILED_PATTERNS: usize = 32;
/// Maximum number of live patterns. A purge with a further pattern matches everything.
pub const MAX_PATTERNS: usize = 4_096;

/// A pattern that is not compiled into the automaton yet.
#[derive(Debug)]
pub(super) struct Pattern {
    text: Box<str>,
    matcher: GlobMatcher,
    latest: LatestPurge,
    /// Its latest purge when the running compilation was started; `None` if it is not part of one.
    compiling: Option<LatestPurge>,
}

impl Pattern {
    /// Whether the running compilation contains the latest purge of this pattern.
    fn is_compiling(&self) -> bool {
        self.compiling == Some(self.latest)
    }
}

/// The attributes of a request that purges are matched against.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// The requested object.
    pub object: u64,
    /// The group that the object belongs to.
    pub group: u32,
    /// Hashes of the object's tags, by [`tag_hash`]; `None` if the tags are unknown.
    pub tags: Option<&'a [u64]>,
    /// The key that patterns are matched against, by [`request_key`](crate::request_key).
    pub key: &'a str,
}

/// Numbers of live purges by kind of target, for status output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivePurges {
    /// Number of purged objects.
    pub objects: usize,
    /// Number of purged groups.
    pub groups: usize,
    /// Number of purged tags.
    pub tags: usize,
    /// Number of purged patterns, apart from those that match everything.
    pub patterns: usize,
}

/// The live purges: those that may apply to a copy that an endpoint still has.
#[derive(Debug, Default)]
pub struct PurgeMatcher {
    objects: HashMap<u64, LatestPurge>,
    groups: HashMap<u32, LatestPurge>,
    tags: HashMap<u64, LatestPurge>,
    /// The latest purge of any tag, which applies to objects whose tags are unknown.
    any_tag: LatestPurge,
    pub(super) compiled: Option<PatternSet>,
    pub(super) uncompiled: Vec<Pattern>,
    /// The latest purge of everything.
    all: LatestPurge,
    /// Whether patterns are being compiled.
    is_compiling: bool,
}

/// Sets the latest purge of a key, unless a later one is known.
fn update_latest<K: Hash + Eq>(
    latest_purges: &mut HashMap<K, LatestPurge>,
    key: K,
    latest: LatestPurge,
) {
    let known = latest_purges.entry(key).or_default();
    *known = latest.max(*known);
}

impl PurgeMatcher {
    /// Adds a purge. Its time is increased by `skew_ms`, the maximum skew of the clocks that set the creation times of
    /// copies.
    pub fn add(&mut self, purge: &Purge, skew_ms: UnixMillis) {
        let number = match purge.number {
            // The purge is not in the log, so it is never confirmed by cache nodes.
            0 => PurgeNumber::MAX,
            number => number,
        };
        let latest = LatestPurge {
            at_ms: purge.at_ms.saturating_add(skew_ms),
            number,
        };
        match &purge.target {
            PurgeTarget::Object(object) => update_latest(&mut self.objects, *object, latest),
            PurgeTarget::Group(group) => update_latest(&mut self.groups, *group, latest),
            PurgeTarget::Tag(tag) => {
                update_latest(&mut self.tags, tag_hash(tag), latest);
                self.any_tag = latest.max(self.any_tag);
            }
            PurgeTarget::Pattern(text) => self.add_pattern(text, latest),
        }
    }

    fn add_pattern(&mut self, text: &str, latest: LatestPurge) {
        let mut uncompiled = self.uncompiled.iter_mut();
        if let Some(known) = uncompiled.find(|pattern| &*pattern.text == text) {
            known.latest = latest.max(known.latest);
            return;
        }
        let has_capacity = self.is_compiled(text) || self.pattern_count() < MAX_PATTERNS;
        match parse_pattern(text) {
            Ok(parsed) if !parsed.matches_everything && has_capacity => {
                self.uncompiled.push(Pattern {
                    text: text.into(),
                    matcher: parsed.glob.compile_matcher(),
                    latest,
                    compiling: None,
                });
            }
            _ => self.all = latest.max(self.all),
        }
    }

    fn is_compiled(&self, text: &str) -> bool {
        self.compiled.as_ref().is_some_and(|set| set.contains(text))
    }

    /// Treats every object as purged at this time, for a front whose purge history is incomplete. Cache nodes never confirm
    /// this purge.
    pub fn add_all(&mut self, at_ms: UnixMillis) {
        let latest = LatestPurge {
            at_ms,
            number: PurgeNumber::MAX,
        };
        self.all = latest.max(self.all);
    }

    /// Returns all patterns for a compilation, once there are enough new ones. The caller runs
    /// [`compile_patterns`](super::compile_patterns) on a worker thread, and passes the result to
    /// [`PurgeMatcher::install`].
    pub fn take_compile_job(&mut self) -> Option<CompileJob> {
        if self.uncompiled.len() < MAX_UNCOMPILED_PATTERNS || self.is_compiling {
            return None;
        }
        self.is_compiling = true;
        let mut latest_purges: HashMap<Box<str>, LatestPurge> = HashMap::new();
        let compiled = self.compiled.iter().flat_map(PatternSet::patterns);
        for (text, latest) in compiled {
            update_latest(&mut latest_purges, text.clone(), *latest);
        }
        for pattern in &mut self.uncompiled {
            pattern.compiling = Some(pattern.latest);
            update_latest(&mut latest_purges, pattern.text.clone(), pattern.latest);
        }
        Some(latest_purges.into_iter().collect())
    }

    /// Installs compiled patterns. If the compilation failed, the new patterns match everything from now on.
    pub fn install(&mut self, compiled: Result<PatternSet, CompileError>) {
        self.is_compiling = false;
        match compiled {
            Ok(set) => {
                self.compiled = Some(set);
                // Patterns that were added or purged again since the start of the compilation are not part of it.
                self.uncompiled.retain(|pattern| !pattern.is_compiling());
            }
            Err(_) => {
                let latest = self.uncompiled.iter().map(|pattern| pattern.latest).max();
                self.all = latest.unwrap_or_default().max(self.all);
                self.uncompiled.clear();
            }
        }
    }

    /// Returns the earliest creation time of a copy that may be served for a request, according to the purges with numbers
    /// greater than `after`; 0 if no purge matches.
    pub fn floor(&self, after: PurgeNumber, request: &RequestAttributes<'_>) -> UnixMillis {
        let mut floor = 0;
        let mut apply = |latest: &LatestPurge| {
            if latest.number > after {
                floor = floor.max(latest.at_ms);
            }
        };
        apply(&self.all);
        if let Some(latest) = self.objects.get(&request.object) {
            apply(latest);
        }
        if let Some(latest) = self.groups.get(&request.group) {
            apply(latest);
        }
        match request.tags {
            None => apply(&self.any_tag),
            Some(tags) => tags
                .iter()
                .filter_map(|tag| self.tags.get(tag))
                .for_each(&mut apply),
        }
        if let Some(set) = &self.compiled {
            set.matches(request.key).for_each(&mut apply);
        }
        self.uncompiled_floor(floor, after, request.key)
    }

    /// Raises a floor according to the uncompiled patterns. Patterns that cannot raise it are not evaluated.
    fn uncompiled_floor(&self, mut floor: UnixMillis, after: PurgeNumber, key: &str) -> UnixMillis {
        for pattern in &self.uncompiled {
            let latest = pattern.latest;
            if latest.at_ms > floor && latest.number > after && pattern.matcher.is_match(key) {
                floor = latest.at_ms;
            }
        }
        floor
    }

    /// Whether there is no live purge.
    pub fn is_empty(&self) -> bool {
        let targets = self.objects.len() + self.groups.len() + self.tags.len();
        targets == 0 && self.uncompiled.is_empty() && self.compiled.is_none() && self.all.at_ms == 0
    }

    fn pattern_count(&self) -> usize {
        let compiled = self
            .compiled
            .as_ref()
            .map_or(0, |set| set.latest_purges.len());
        // A compiled pattern that is purged again is also among the uncompiled ones until the next compilation.
        let uncompiled = self.uncompiled.iter();
        let new = uncompiled.filter(|pattern| !self.is_compiled(&pattern.text));
        new.count() + compiled
    }

    /// Returns the numbers of live purges by kind of target.
    pub fn live_purges(&self) -> LivePurges {
        LivePurges {
            objects: self.objects.len(),
            groups: self.groups.len(),
            tags: self.tags.len(),
            patterns: self.pattern_count(),
        }
    }

    /// Removes purges that took effect before `horizon`, the earliest creation time of any copy that an endpoint may still
    /// have.
    pub fn expire(&mut self, horizon: UnixMillis) {
        let live = |latest: &LatestPurge| latest.at_ms >= horizon;
        self.objects.retain(|_, latest| live(latest));
        self.groups.retain(|_, latest| live(latest));
        self.tags.retain(|_, latest| live(latest));
        self.uncompiled.retain(|pattern| live(&pattern.latest));
        // Single patterns cannot be removed from the automaton.
        if !self
            .compiled
            .iter()
            .any(|set| set.latest_purges.iter().any(live))
        {
            self.compiled = None;
        }
        for latest in [&mut self.any_tag, &mut self.all] {
            if !live(latest) {
                *latest = LatestPurge::default();
            }
        }
    }
}
