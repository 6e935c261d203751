//! Which purge concerns a request: hash tables for objects, groups and tags, one automaton for patterns. The cost of a
//! request does not grow with the purges but for those patterns that came lately.
use crate::{Purge, PurgeNumber, PurgeTarget, UnixMillis, MAX_PATTERN_BYTES};
use globset::{Glob, GlobBuilder, GlobMatcher, GlobSet, GlobSetBuilder};
use std::collections::HashMap;
use std::hash::Hash;

/// Wildcards in one pattern.
const MAX_WILDCARDS: usize = 12;
/// Patterns that are matched one by one until they are put into the automaton with the others.
const MAX_UNCOMPILED: usize = 32;
/// Patterns that may be live: one more counts as matching everything.
pub const MAX_PATTERNS: usize = 4_096;
/// Tags of one object that are remembered; one with more is unknown.
const MAX_INDEXED_TAGS: usize = 4;
/// Places for an object in the index: the one used longest ago makes room.
const WAYS: usize = 8;

/// Compiles a pattern; `true`: it matches everything.
pub fn parse_pattern(pattern: &str) -> Result<(Glob, bool), &'static str> {
    if pattern.is_empty() || pattern.len() > MAX_PATTERN_BYTES {
        return Err("pattern: empty or too long");
    }
    if pattern.bytes().filter(|b| b"*?[{".contains(b)).count() > MAX_WILDCARDS {
        return Err("pattern: too many wildcards");
    }
    let glob = GlobBuilder::new(pattern).literal_separator(false).build();
    let glob = glob.map_err(|_| "pattern: it can't be read")?;
    let matcher = glob.compile_matcher();
    // Keys that have nothing in common: what matches all of these leaves nothing out.
    let odd = [
        "a/0123456789abcdef/0",
        "zz-z/fedcba9876543210/4294967295",
        "k/5a5a5a5a5a5a5a5a/7",
    ];
    Ok((glob, odd.iter().all(|key| matcher.is_match(key))))
}

/// The latest purge of something.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PurgeMark {
    /// Its moment.
    pub at_ms: UnixMillis,
    /// Its number.
    pub number: PurgeNumber,
}

/// A 64-bit mark of a tag. Two tags with one mark are purged together: too much, never too little.
pub fn tag_hash(tag: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for byte in tag.bytes() {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    (h ^ (h >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) | 1
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    object: u64,
    tags: [u64; MAX_INDEXED_TAGS],
    /// How many; 0: the slot is free. More than fit: unknown.
    count: u8,
    used: u32,
}

/// From objects to their tags, in memory of fixed size. An object that was displaced, or never seen, is unknown.
#[derive(Debug)]
pub struct TagIndex {
    slots: Vec<Slot>,
    clock: u32,
}

impl TagIndex {
    /// An index of about that many bytes.
    pub fn new(bytes: usize) -> Self {
        let rows = (bytes / (WAYS * std::mem::size_of::<Slot>())).max(1);
        TagIndex {
            slots: vec![Slot::default(); rows * WAYS],
            clock: 0,
        }
    }

    fn row(&self, object: u64) -> std::ops::Range<usize> {
        let rows = (self.slots.len() / WAYS) as u128;
        let spread = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let row = ((u128::from(spread) * rows) >> 64) as usize * WAYS;
        row..row + WAYS
    }

    /// An answer named these tags: they are the object's from now on, in the place of those it had. `None`: it named
    /// none, and what is known stays.
    pub fn record(&mut self, object: u64, tags: Option<&[&str]>) {
        let Some(tags) = tags else { return };
        self.clock = self.clock.wrapping_add(1);
        let (clock, row) = (self.clock, self.row(object));
        let row = &mut self.slots[row];
        let at = row.iter().position(|s| s.count > 0 && s.object == object);
        let at = at.or_else(|| row.iter().position(|s| s.count == 0));
        let oldest = |row: &[Slot]| {
            (0..WAYS)
                .max_by_key(|i| clock.wrapping_sub(row[*i].used))
                .unwrap_or(0)
        };
        let at = at.unwrap_or_else(|| oldest(row));
        let mut slot = Slot {
            object,
            used: clock,
            ..Slot::default()
        };
        // One more than fits stands for unknown; an object without tags is known to have none.
        slot.count = 1 + tags.len().min(MAX_INDEXED_TAGS + 1) as u8;
        tags.iter()
            .take(MAX_INDEXED_TAGS)
            .zip(&mut slot.tags)
            .for_each(|(tag, mark)| *mark = tag_hash(tag));
        row[at] = slot;
    }

    /// An answer was refused for tags that were not known of its object: it is unknown from now on.
    pub fn forget(&mut self, object: u64) {
        let row = self.row(object);
        self.slots[row]
            .iter_mut()
            .filter(|s| s.object == object)
            .for_each(|s| s.count = 0);
    }

    /// The marks of an object's tags; `None`: unknown.
    pub fn tags(&self, object: u64) -> Option<&[u64]> {
        let found = self.slots[self.row(object)]
            .iter()
            .find(|s| s.count > 0 && s.object == object)?;
        let count = usize::from(found.count) - 1;
        (count <= MAX_INDEXED_TAGS).then(|| &found.tags[..count])
    }

    /// Objects that are known, and how many of them carry a tag: for a dry run. It looks at all.
    pub fn count(&self, tag: &str) -> (usize, usize) {
        let mark = tag_hash(tag);
        let known = self.slots.iter().filter(|s| s.count > 0);
        let with = |s: &&Slot| {
            s.tags
                .iter()
                .take(usize::from(s.count) - 1)
                .any(|t| *t == mark)
        };
        (known.clone().count(), known.filter(with).count())
    }
}

/// Patterns put together, made by [`compile`].
#[derive(Debug)]
pub struct PatternSet {
    globs: GlobSet,
    marks: Vec<PurgeMark>,
    texts: Vec<Box<str>>,
}

/// Puts patterns together. It takes milliseconds for a thousand: not for the loop.
pub fn compile_patterns(patterns: Vec<(Box<str>, PurgeMark)>) -> Result<PatternSet, String> {
    let mut builder = GlobSetBuilder::new();
    for (text, _) in &patterns {
        builder.add(parse_pattern(text)?.0);
    }
    let globs = builder.build().map_err(|e| e.to_string())?;
    let (texts, marks) = patterns.into_iter().unzip();
    Ok(PatternSet {
        globs,
        marks,
        texts,
    })
}

/// Purges that are live, ready to be asked.
#[derive(Debug, Default)]
pub struct PurgeMatcher {
    objects: HashMap<u64, PurgeMark>,
    groups: HashMap<u32, PurgeMark>,
    tags: HashMap<u64, PurgeMark>,
    /// The latest of a tag, whichever: what an unknown object is taken to carry.
    any_tag: PurgeMark,
    compiled: Option<PatternSet>,
    uncompiled: Vec<(Box<str>, GlobMatcher, PurgeMark)>,
    /// Of everything.
    all: PurgeMark,
    /// Patterns are being put together: those up to this number.
    compiling: Option<PurgeNumber>,
}

fn raise<K: Hash + Eq>(map: &mut HashMap<K, PurgeMark>, key: K, mark: PurgeMark) {
    let last = map.entry(key).or_default();
    *last = mark.max(*last);
}

impl PurgeMatcher {
    /// Takes a purge in; `skew`: milliseconds by which the clocks of those who date copies may be ahead.
    pub fn add(&mut self, purge: &Purge, skew: UnixMillis) {
        // One without a number is in no ledger: no box ever confirms it.
        let number = if purge.number == 0 {
            PurgeNumber::MAX
        } else {
            purge.number
        };
        let mark = PurgeMark {
            at_ms: purge.at_ms.saturating_add(skew),
            number,
        };
        match &purge.target {
            PurgeTarget::Object(object) => raise(&mut self.objects, *object, mark),
            PurgeTarget::Group(group) => raise(&mut self.groups, *group, mark),
            PurgeTarget::Tag(tag) => {
                raise(&mut self.tags, tag_hash(tag), mark);
                self.any_tag = mark.max(self.any_tag);
            }
            PurgeTarget::Pattern(text) => {
                let live =
                    self.uncompiled.len() + self.compiled.as_ref().map_or(0, |s| s.marks.len());
                match parse_pattern(text) {
                    Ok((_, true)) | Err(_) => self.all = mark.max(self.all),
                    Ok(_) if live >= MAX_PATTERNS => self.all = mark.max(self.all),
                    Ok((glob, _)) => {
                        if let Some(same) = self.uncompiled.iter_mut().find(|(t, ..)| t == text) {
                            same.2 = mark.max(same.2);
                        } else {
                            self.uncompiled
                                .push((text.clone(), glob.compile_matcher(), mark));
                        }
                    }
                }
            }
        }
    }

    /// Everything was purged at `at`, as far as is known: what a front says that has lost its memory. No box ever
    /// confirms that.
    pub fn add_all(&mut self, at_ms: UnixMillis) {
        self.all = PurgeMark {
            at_ms,
            number: PurgeNumber::MAX,
        }
        .max(self.all);
    }

    /// Patterns to be put together elsewhere by [`compile`] and given back by [`Matcher::install`], once there are
    /// enough of them.
    pub fn take_compile_job(&mut self) -> Option<Vec<(Box<str>, PurgeMark)>> {
        if self.uncompiled.len() < MAX_UNCOMPILED || self.compiling.is_some() {
            return None;
        }
        self.compiling = self.uncompiled.iter().map(|(.., mark)| mark.number).max();
        let mut all: HashMap<Box<str>, PurgeMark> = HashMap::new();
        if let Some(set) = &self.compiled {
            set.texts
                .iter()
                .zip(&set.marks)
                .for_each(|(text, mark)| raise(&mut all, text.clone(), *mark));
        }
        self.uncompiled
            .iter()
            .for_each(|(text, _, mark)| raise(&mut all, text.clone(), *mark));
        let mut all: Vec<_> = all.into_iter().collect();
        all.sort();
        Some(all)
    }

    /// Takes patterns over that were put together, or learns that it failed: then they count as matching everything.
    pub fn install(&mut self, set: Result<PatternSet, String>) {
        let through = self.compiling.take().unwrap_or(0);
        match set {
            Ok(set) => {
                self.compiled = Some(set);
                self.uncompiled.retain(|(.., mark)| mark.number > through);
            }
            Err(_) => {
                let worst = self.uncompiled.iter().map(|(.., mark)| *mark).max();
                self.all = worst.unwrap_or_default().max(self.all);
                self.uncompiled.clear();
            }
        }
    }

    /// The oldest moment from which a copy may stem, by purges after `after`; 0: any. `tags`: of the object, `None`:
    /// unknown.
    pub fn floor(
        &self,
        after: PurgeNumber,
        object: u64,
        group: u32,
        tags: Option<&[u64]>,
        key: &str,
    ) -> UnixMillis {
        let live = |mark: &PurgeMark| mark.number > after;
        let mut floor = 0;
        let mut note = |mark: Option<&PurgeMark>| {
            floor = mark
                .filter(|m| live(m))
                .map_or(floor, |m| floor.max(m.at_ms))
        };
        note(Some(&self.all));
        note(self.objects.get(&object));
        note(self.groups.get(&group));
        match tags {
            None => note(Some(&self.any_tag)),
            Some(tags) => tags.iter().for_each(|tag| note(self.tags.get(tag))),
        }
        if let Some(set) = &self.compiled {
            set.globs
                .matches(key)
                .into_iter()
                .for_each(|i| note(set.marks.get(i)));
        }
        for (_, glob, mark) in &self.uncompiled {
            if mark.at_ms > floor && live(mark) && glob.is_match(key) {
                floor = mark.at_ms;
            }
        }
        floor
    }

    /// Whether there is nothing to match.
    pub fn is_empty(&self) -> bool {
        let maps = self.objects.is_empty() && self.groups.is_empty() && self.tags.is_empty();
        maps && self.uncompiled.is_empty() && self.compiled.is_none() && self.all.at_ms == 0
    }

    /// Purges that are live: objects, groups, tags, patterns.
    pub fn counts(&self) -> [usize; 4] {
        let patterns = self.uncompiled.len() + self.compiled.as_ref().map_or(0, |s| s.marks.len());
        [
            self.objects.len(),
            self.groups.len(),
            self.tags.len(),
            patterns,
        ]
    }

    /// Forgets what was purged before `horizon`: no member holds a copy from before that any more.
    pub fn expire(&mut self, horizon: UnixMillis) {
        self.objects.retain(|_, mark| mark.at_ms >= horizon);
        self.groups.retain(|_, mark| mark.at_ms >= horizon);
        self.tags.retain(|_, mark| mark.at_ms >= horizon);
        self.uncompiled.retain(|(.., mark)| mark.at_ms >= horizon);
        if self
            .compiled
            .as_ref()
            .is_some_and(|s| s.marks.iter().all(|m| m.at_ms < horizon))
        {
            self.compiled = None;
        }
        for mark in [&mut self.any_tag, &mut self.all] {
            if mark.at_ms < horizon {
                *mark = PurgeMark::default();
            }
        }
    }
}

#[cfg(test)]
mod tests;
