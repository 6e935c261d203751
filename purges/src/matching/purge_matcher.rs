//! The live purges, ready to be matched against requests.
use super::pattern::{parse_pattern, CompileError, CompileJob, PatternSet};
use super::tag_index::tag_hash;
use super::PurgeMark;
use crate::{Purge, PurgeNumber, PurgeTarget, UnixMillis};
use globset::GlobMatcher;
use std::collections::HashMap;
use std::hash::Hash;

/// Patterns that are matched one by one before they are compiled together with the others.
pub(super) const MAX_UNCOMPILED: usize = 32;
/// Most live patterns: a further one counts as matching everything.
pub const MAX_PATTERNS: usize = 4_096;

/// A pattern that is matched by itself.
#[derive(Debug)]
pub(super) struct Pattern {
    text: Box<str>,
    matcher: GlobMatcher,
    mark: PurgeMark,
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
    objects: HashMap<u64, PurgeMark>,
    groups: HashMap<u32, PurgeMark>,
    tags: HashMap<u64, PurgeMark>,
    /// The latest of any tag: what concerns an object whose tags are unknown.
    any_tag: PurgeMark,
    pub(super) compiled: Option<PatternSet>,
    pub(super) uncompiled: Vec<Pattern>,
    /// The latest purge of everything.
    all: PurgeMark,
    /// While patterns are being compiled: the greatest number among them.
    compiling: Option<PurgeNumber>,
}

/// Sets the mark of a key unless it has a later one.
fn raise<K: Hash + Eq>(marks: &mut HashMap<K, PurgeMark>, key: K, mark: PurgeMark) {
    let known = marks.entry(key).or_default();
    *known = mark.max(*known);
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
        let mark = PurgeMark {
            at_ms: purge.at_ms.saturating_add(skew_ms),
            number,
        };
        match &purge.target {
            PurgeTarget::Object(object) => raise(&mut self.objects, *object, mark),
            PurgeTarget::Group(group) => raise(&mut self.groups, *group, mark),
            PurgeTarget::Tag(tag) => {
                raise(&mut self.tags, tag_hash(tag), mark);
                self.any_tag = mark.max(self.any_tag);
            }
            PurgeTarget::Pattern(text) => self.add_pattern(text, mark),
        }
    }

    fn add_pattern(&mut self, text: &str, mark: PurgeMark) {
        let parsed = match parse_pattern(text) {
            Ok(parsed) if !parsed.matches_everything && self.patterns() < MAX_PATTERNS => parsed,
            _ => {
                self.all = mark.max(self.all);
                return;
            }
        };
        let mut uncompiled = self.uncompiled.iter_mut();
        match uncompiled.find(|pattern| &*pattern.text == text) {
            Some(known) => known.mark = mark.max(known.mark),
            None => self.uncompiled.push(Pattern {
                text: text.into(),
                matcher: parsed.glob.compile_matcher(),
                mark,
            }),
        }
    }

    /// Counts everything as purged at a time, for a front that has lost its memory. No cache node ever confirms that.
    pub fn add_all(&mut self, at_ms: UnixMillis) {
        let mark = PurgeMark {
            at_ms,
            number: PurgeNumber::MAX,
        };
        self.all = mark.max(self.all);
    }

    /// Patterns to compile elsewhere by [`compile_patterns`](super::compile_patterns) and to give back to
    /// [`PurgeMatcher::install`], once there are enough new ones.
    pub fn take_compile_job(&mut self) -> Option<CompileJob> {
        if self.uncompiled.len() < MAX_UNCOMPILED || self.compiling.is_some() {
            return None;
        }
        let numbers = self.uncompiled.iter().map(|pattern| pattern.mark.number);
        self.compiling = numbers.max();
        let mut marks: HashMap<Box<str>, PurgeMark> = HashMap::new();
        let compiled = self.compiled.iter().flat_map(PatternSet::patterns);
        for (text, mark) in compiled {
            raise(&mut marks, text.clone(), *mark);
        }
        for pattern in &self.uncompiled {
            raise(&mut marks, pattern.text.clone(), pattern.mark);
        }
        let mut job: CompileJob = marks.into_iter().collect();
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
                    .retain(|pattern| pattern.mark.number > compiled_up_to);
            }
            Err(_) => {
                let latest = self.uncompiled.iter().map(|pattern| pattern.mark).max();
                self.all = latest.unwrap_or_default().max(self.all);
                self.uncompiled.clear();
            }
        }
    }

    /// The earliest creation time of a copy that may answer a request, by purges after the number `after`; 0: any.
    pub fn floor(&self, after: PurgeNumber, request: &RequestAttributes<'_>) -> UnixMillis {
        let mut floor = 0;
        let mut apply = |mark: &PurgeMark| {
            if mark.number > after {
                floor = floor.max(mark.at_ms);
            }
        };
        apply(&self.all);
        if let Some(mark) = self.objects.get(&request.object) {
            apply(mark);
        }
        if let Some(mark) = self.groups.get(&request.group) {
            apply(mark);
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
            let mark = pattern.mark;
            if mark.at_ms > floor && mark.number > after && pattern.matcher.is_match(key) {
                floor = mark.at_ms;
            }
        }
        floor
    }

    /// Whether there is no live purge.
    pub fn is_empty(&self) -> bool {
        let targets = self.objects.len() + self.groups.len() + self.tags.len();
        targets == 0 && self.uncompiled.is_empty() && self.compiled.is_none() && self.all.at_ms == 0
    }

    fn patterns(&self) -> usize {
        let compiled = self.compiled.as_ref().map_or(0, |set| set.marks.len());
        self.uncompiled.len() + compiled
    }

    /// The numbers of live purges.
    pub fn live_purges(&self) -> LivePurges {
        LivePurges {
            objects: self.objects.len(),
            groups: self.groups.len(),
            tags: self.tags.len(),
            patterns: self.patterns(),
        }
    }

    /// Removes purges from before `horizon`: no endpoint has a copy from before it any more.
    pub fn expire(&mut self, horizon: UnixMillis) {
        let live = |mark: &PurgeMark| mark.at_ms >= horizon;
        self.objects.retain(|_, mark| live(mark));
        self.groups.retain(|_, mark| live(mark));
        self.tags.retain(|_, mark| live(mark));
        self.uncompiled.retain(|pattern| live(&pattern.mark));
        // The automaton cannot give up single patterns.
        if !self.compiled.iter().any(|set| set.marks.iter().any(live)) {
            self.compiled = None;
        }
        for mark in [&mut self.any_tag, &mut self.all] {
            if !live(mark) {
                *mark = PurgeMark::default();
            }
        }
    }
}
