//! The live purges, ready to be matched against requests.
use super::pattern::{parse_pattern, CompileError, CompileJob, PatternSet};
use super::tag_index::tag_hash;
use super::LatestPurge;
use crate::{Purge, PurgeNumber, PurgeTarget, UnixMillis};
use globset::GlobMatcher;
use std::collections::HashMap;
use std::hash::Hash;

/// Patterns that are matched one by one before they are compiled together with the others.
pub(super) const MAX_UNCOMPILED_PATTERNS: usize = 32;
/// Most live patterns: a further one counts as matching everything.
pub const MAX_PATTERNS: usize = 4_096;

/// A pattern that is matched by itself.
#[derive(Debug)]
pub(super) struct Pattern {
    text: Box<str>,
    matcher: GlobMatcher,
    latest: LatestPurge,
}

/// What purges are matched against.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttributes<'a> {
    /// The requested object.
    pub object: u64,
    /// The object's group.
    pub group: u32,
    /// Hashes of the object's tags; `None` if they are unknown.
    pub tags: Option<&'a [u64]>,
    /// The [`request_key`](crate::request_key).
    pub key: &'a str,
}

/// The numbers of live purges, by kind of target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LivePurges {
    /// Of objects.
    pub objects: usize,
    /// Of groups.
    pub groups: usize,
    /// Of tags.
    pub tags: usize,
    /// Of patterns.
    pub patterns: usize,
}

/// Live purges.
#[derive(Debug, Default)]
pub struct PurgeMatcher {
    objects: HashMap<u64, LatestPurge>,
    groups: HashMap<u32, LatestPurge>,
    tags: HashMap<u64, LatestPurge>,
    /// The latest of any tag: what concerns an object whose tags are unknown.
    any_tag: LatestPurge,
    pub(super) compiled: Option<PatternSet>,
    pub(super) uncompiled: Vec<Pattern>,
    /// The latest purge of everything.
    all: LatestPurge,
    /// While patterns are being compiled: the greatest number among them.
    compiling: Option<PurgeNumber>,
}

/// Sets the latest purge of a key unless it has a later one.
fn update_latest<K: Hash + Eq>(
    latest_purges: &mut HashMap<K, LatestPurge>,
    key: K,
    latest: LatestPurge,
) {
    let known = latest_purges.entry(key).or_default();
    *known = latest.max(*known);
}

impl PurgeMatcher {
    /// Adds a purge. Clocks of those who date copies may be ahead by `skew_ms`, so copies count as stale for that much
    /// longer.
    pub fn add(&mut self, purge: &Purge, skew_ms: UnixMillis) {
        let number = match purge.number {
            // It has no place in the log, so no cache node ever confirms it.
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
        let parsed = match parse_pattern(text) {
            Ok(parsed) if !parsed.matches_everything && self.pattern_count() < MAX_PATTERNS => {
                parsed
            }
            _ => {
                self.all = latest.max(self.all);
                return;
            }
        };
        let mut uncompiled = self.uncompiled.iter_mut();
        match uncompiled.find(|pattern| &*pattern.text == text) {
            Some(known) => known.latest = latest.max(known.latest),
            None => self.uncompiled.push(Pattern {
                text: text.into(),
                matcher: parsed.glob.compile_matcher(),
                latest,
            }),
        }
    }

    /// Counts everything as purged at a time, for a front that has lost its memory. No cache node ever confirms that.
    pub fn add_all(&mut self, at_ms: UnixMillis) {
        let latest = LatestPurge {
            at_ms,
            number: PurgeNumber::MAX,
        };
        self.all = latest.max(self.all);
    }

    /// Patterns to compile elsewhere by [`compile_patterns`](super::compile_patterns) and to give back to
    /// [`PurgeMatcher::install`], once there are enough new ones.
    pub fn take_compile_job(&mut self) -> Option<CompileJob> {
        if self.uncompiled.len() < MAX_UNCOMPILED_PATTERNS || self.compiling.is_some() {
            return None;
        }
        let numbers = self.uncompiled.iter().map(|pattern| pattern.latest.number);
        self.compiling = numbers.max();
        let mut latest_purges: HashMap<Box<str>, LatestPurge> = HashMap::new();
        let compiled = self.compiled.iter().flat_map(PatternSet::patterns);
        for (text, latest) in compiled {
            update_latest(&mut latest_purges, text.clone(), *latest);
        }
        for pattern in &self.uncompiled {
            update_latest(&mut latest_purges, pattern.text.clone(), pattern.latest);
        }
        let mut job: CompileJob = latest_purges.into_iter().collect();
        job.sort();
        Some(job)
    }

    /// Installs compiled patterns. If compiling failed, they count as matching everything.
    pub fn install(&mut self, compiled: Result<PatternSet, CompileError>) {
        let compiled_up_to = self.compiling.take().unwrap_or(0);
        match compiled {
            Ok(set) => {
                self.compiled = Some(set);
                self.uncompiled
                    .retain(|pattern| pattern.latest.number > compiled_up_to);
            }
            Err(_) => {
                let latest = self.uncompiled.iter().map(|pattern| pattern.latest).max();
                self.all = latest.unwrap_or_default().max(self.all);
                self.uncompiled.clear();
            }
        }
    }

    /// The earliest creation time of a copy that may answer a request, by purges after the number `after`; 0: any.
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

    /// Raises a floor by the patterns that are not compiled. Only those that could raise it are matched.
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
        self.uncompiled.len() + compiled
    }

    /// The numbers of live purges.
    pub fn live_purges(&self) -> LivePurges {
        LivePurges {
            objects: self.objects.len(),
            groups: self.groups.len(),
            tags: self.tags.len(),
            patterns: self.pattern_count(),
        }
    }

    /// Removes purges from before `horizon`: no endpoint has a copy from before it any more.
    pub fn expire(&mut self, horizon: UnixMillis) {
        let live = |latest: &LatestPurge| latest.at_ms >= horizon;
        self.objects.retain(|_, latest| live(latest));
        self.groups.retain(|_, latest| live(latest));
        self.tags.retain(|_, latest| live(latest));
        self.uncompiled.retain(|pattern| live(&pattern.latest));
        // The automaton cannot give up single patterns.
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
