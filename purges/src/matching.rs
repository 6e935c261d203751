//! Which purge concerns a request: hash tables for objects, groups and tags, one automaton for patterns. The cost of a
//! request does not grow with the purges but for those patterns that came lately.
use crate::{Ms, Number, Purge, What, PATTERN_MOST};
use globset::{Glob, GlobBuilder, GlobMatcher, GlobSet, GlobSetBuilder};
use std::collections::HashMap;
use std::hash::Hash;

/// Wildcards in one pattern.
const WILDCARDS_MOST: usize = 12;
/// Patterns that are matched one by one until they are put into the automaton with the others.
const RECENT_MOST: usize = 32;
/// Patterns that may be live: one more counts as matching everything.
pub const PATTERNS_MOST: usize = 4_096;
/// Tags of one object that are remembered; one with more is unknown.
const TAGS_MOST: usize = 4;
/// Places for an object in the index: the one used longest ago makes room.
const WAYS: usize = 8;

/// Compiles a pattern; `true`: it matches everything.
pub fn glob(pattern: &str) -> Result<(Glob, bool), &'static str> {
    if pattern.is_empty() || pattern.len() > PATTERN_MOST {
        return Err("pattern: empty or too long");
    }
    if pattern.bytes().filter(|b| b"*?[{".contains(b)).count() > WILDCARDS_MOST {
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
pub struct Mark {
    /// Its moment.
    pub at: Ms,
    /// Its number.
    pub number: Number,
}

/// A 64-bit mark of a tag. Two tags with one mark are purged together: too much, never too little.
pub fn tag_mark(tag: &str) -> u64 {
    let mut h = 0xcbf2_9ce4_8422_2325u64;
    for byte in tag.bytes() {
        h = (h ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    (h ^ (h >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) | 1
}

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    object: u64,
    tags: [u64; TAGS_MOST],
    /// How many; 0: the slot is free. More than fit: unknown.
    count: u8,
    used: u32,
}

/// From objects to their tags, in memory of fixed size. An object that was displaced, or never seen, is unknown.
#[derive(Debug)]
pub struct Index {
    slots: Vec<Slot>,
    clock: u32,
}

impl Index {
    /// An index of about that many bytes.
    pub fn new(bytes: usize) -> Self {
        let rows = (bytes / (WAYS * std::mem::size_of::<Slot>())).max(1);
        Index {
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
    pub fn learn(&mut self, object: u64, tags: Option<&[&str]>) {
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
        slot.count = 1 + tags.len().min(TAGS_MOST + 1) as u8;
        tags.iter()
            .take(TAGS_MOST)
            .zip(&mut slot.tags)
            .for_each(|(tag, mark)| *mark = tag_mark(tag));
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
        (count <= TAGS_MOST).then(|| &found.tags[..count])
    }

    /// Objects that are known, and how many of them carry a tag: for a dry run. It looks at all.
    pub fn count(&self, tag: &str) -> (usize, usize) {
        let mark = tag_mark(tag);
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
pub struct Set {
    globs: GlobSet,
    marks: Vec<Mark>,
    texts: Vec<Box<str>>,
}

/// Puts patterns together. It takes milliseconds for a thousand: not for the loop.
pub fn compile(patterns: Vec<(Box<str>, Mark)>) -> Result<Set, String> {
    let mut builder = GlobSetBuilder::new();
    for (text, _) in &patterns {
        builder.add(glob(text)?.0);
    }
    let globs = builder.build().map_err(|e| e.to_string())?;
    let (texts, marks) = patterns.into_iter().unzip();
    Ok(Set {
        globs,
        marks,
        texts,
    })
}

/// Purges that are live, ready to be asked.
#[derive(Debug, Default)]
pub struct Matcher {
    objects: HashMap<u64, Mark>,
    groups: HashMap<u32, Mark>,
    tags: HashMap<u64, Mark>,
    /// The latest of a tag, whichever: what an unknown object is taken to carry.
    any_tag: Mark,
    set: Option<Set>,
    recent: Vec<(Box<str>, GlobMatcher, Mark)>,
    /// Of everything.
    all: Mark,
    /// Patterns are being put together: those up to this number.
    compiling: Option<Number>,
}

fn raise<K: Hash + Eq>(map: &mut HashMap<K, Mark>, key: K, mark: Mark) {
    let last = map.entry(key).or_default();
    *last = mark.max(*last);
}

impl Matcher {
    /// Takes a purge in; `skew`: milliseconds by which the clocks of those who date copies may be ahead.
    pub fn add(&mut self, purge: &Purge, skew: Ms) {
        // One without a number is in no ledger: no box ever confirms it.
        let number = if purge.number == 0 {
            Number::MAX
        } else {
            purge.number
        };
        let mark = Mark {
            at: purge.at.saturating_add(skew),
            number,
        };
        match &purge.what {
            What::Object(object) => raise(&mut self.objects, *object, mark),
            What::Group(group) => raise(&mut self.groups, *group, mark),
            What::Tag(tag) => {
                raise(&mut self.tags, tag_mark(tag), mark);
                self.any_tag = mark.max(self.any_tag);
            }
            What::Pattern(text) => {
                let live = self.recent.len() + self.set.as_ref().map_or(0, |s| s.marks.len());
                match glob(text) {
                    Ok((_, true)) | Err(_) => self.all = mark.max(self.all),
                    Ok(_) if live >= PATTERNS_MOST => self.all = mark.max(self.all),
                    Ok((glob, _)) => {
                        if let Some(same) = self.recent.iter_mut().find(|(t, ..)| t == text) {
                            same.2 = mark.max(same.2);
                        } else {
                            self.recent
                                .push((text.clone(), glob.compile_matcher(), mark));
                        }
                    }
                }
            }
        }
    }

    /// Everything was purged at `at`, as far as is known: what a front says that has lost its memory. No box ever
    /// confirms that.
    pub fn add_all(&mut self, at: Ms) {
        self.all = Mark {
            at,
            number: Number::MAX,
        }
        .max(self.all);
    }

    /// Patterns to be put together elsewhere by [`compile`] and given back by [`Matcher::install`], once there are
    /// enough of them.
    pub fn job(&mut self) -> Option<Vec<(Box<str>, Mark)>> {
        if self.recent.len() < RECENT_MOST || self.compiling.is_some() {
            return None;
        }
        self.compiling = self.recent.iter().map(|(.., mark)| mark.number).max();
        let mut all: HashMap<Box<str>, Mark> = HashMap::new();
        if let Some(set) = &self.set {
            set.texts
                .iter()
                .zip(&set.marks)
                .for_each(|(text, mark)| raise(&mut all, text.clone(), *mark));
        }
        self.recent
            .iter()
            .for_each(|(text, _, mark)| raise(&mut all, text.clone(), *mark));
        let mut all: Vec<_> = all.into_iter().collect();
        all.sort();
        Some(all)
    }

    /// Takes patterns over that were put together, or learns that it failed: then they count as matching everything.
    pub fn install(&mut self, set: Result<Set, String>) {
        let upto = self.compiling.take().unwrap_or(0);
        match set {
            Ok(set) => {
                self.set = Some(set);
                self.recent.retain(|(.., mark)| mark.number > upto);
            }
            Err(_) => {
                let worst = self.recent.iter().map(|(.., mark)| *mark).max();
                self.all = worst.unwrap_or_default().max(self.all);
                self.recent.clear();
            }
        }
    }

    /// The oldest moment from which a copy may stem, by purges after `after`; 0: any. `tags`: of the object, `None`:
    /// unknown.
    pub fn floor(
        &self,
        after: Number,
        object: u64,
        group: u32,
        tags: Option<&[u64]>,
        key: &str,
    ) -> Ms {
        let live = |mark: &Mark| mark.number > after;
        let mut floor = 0;
        let mut note = |mark: Option<&Mark>| {
            floor = mark.filter(|m| live(m)).map_or(floor, |m| floor.max(m.at))
        };
        note(Some(&self.all));
        note(self.objects.get(&object));
        note(self.groups.get(&group));
        match tags {
            None => note(Some(&self.any_tag)),
            Some(tags) => tags.iter().for_each(|tag| note(self.tags.get(tag))),
        }
        if let Some(set) = &self.set {
            set.globs
                .matches(key)
                .into_iter()
                .for_each(|i| note(set.marks.get(i)));
        }
        for (_, glob, mark) in &self.recent {
            if mark.at > floor && live(mark) && glob.is_match(key) {
                floor = mark.at;
            }
        }
        floor
    }

    /// Whether there is nothing to match.
    pub fn is_empty(&self) -> bool {
        let maps = self.objects.is_empty() && self.groups.is_empty() && self.tags.is_empty();
        maps && self.recent.is_empty() && self.set.is_none() && self.all.at == 0
    }

    /// Purges that are live: objects, groups, tags, patterns.
    pub fn counts(&self) -> [usize; 4] {
        let patterns = self.recent.len() + self.set.as_ref().map_or(0, |s| s.marks.len());
        [
            self.objects.len(),
            self.groups.len(),
            self.tags.len(),
            patterns,
        ]
    }

    /// Forgets what was purged before `horizon`: no member holds a copy from before that any more.
    pub fn expire(&mut self, horizon: Ms) {
        self.objects.retain(|_, mark| mark.at >= horizon);
        self.groups.retain(|_, mark| mark.at >= horizon);
        self.tags.retain(|_, mark| mark.at >= horizon);
        self.recent.retain(|(.., mark)| mark.at >= horizon);
        if self
            .set
            .as_ref()
            .is_some_and(|s| s.marks.iter().all(|m| m.at < horizon))
        {
            self.set = None;
        }
        for mark in [&mut self.any_tag, &mut self.all] {
            if mark.at < horizon {
                *mark = Mark::default();
            }
        }
    }
}

#[cfg(test)]
mod tests;
