//! Floors: the oldest moment from which a copy may stem that answers a request, by the purges that this front knows.
//! They are asked when an attempt is sent and again when its answer comes: purges come while requests wait.
use super::{Ask, MemberReply, Word};
use cranesill::api::{Span, Time};
use cranesill_purges::matching::{tag_mark, Index, Matcher, Set};
use cranesill_purges::{key, Ms, Purge, What};

/// Tags that one answer may name.
const TAGS_MOST: usize = 16;
const MS: Span = 1_000;

/// What this front knows of purges.
#[derive(Debug)]
pub struct Floors {
    matcher: Matcher,
    index: Index,
    /// By so many milliseconds the clocks of those who date copies may be ahead.
    skew: Ms,
    /// Answers that were refused for their age, and of them those that were asked for better.
    pub refused: u64,
    pub lies: u64,
}

impl Floors {
    /// No purge is known; `index_bytes` are for tags of objects.
    pub fn new(index_bytes: usize, skew: Ms) -> Self {
        Floors { matcher: Matcher::default(), index: Index::new(index_bytes), skew, refused: 0, lies: 0 }
    }

    /// Takes a purge in.
    pub fn add(&mut self, purge: &Purge) {
        self.matcher.add(purge, self.skew);
    }

    /// Everything may have been purged up to a moment.
    pub fn add_all(&mut self, at: Ms) {
        self.matcher.add_all(at.saturating_add(self.skew), 0);
    }

    /// Forgets purges of which no member holds an old copy any more.
    pub fn expire(&mut self, horizon: Ms) {
        self.matcher.expire(horizon);
    }

    /// Patterns to be put together elsewhere.
    pub fn job(&mut self) -> Option<Vec<(Box<str>, cranesill_purges::matching::Mark)>> {
        self.matcher.job()
    }

    /// Patterns that were put together.
    pub fn install(&mut self, set: Result<Set, String>) {
        self.matcher.install(set);
    }

    /// Purges that are live: objects, groups, tags, patterns.
    pub fn counts(&self) -> [usize; 4] {
        self.matcher.counts()
    }

    /// Objects that are known, and how many of them a purge of that kind would match, as far as that can be told.
    pub fn matched(&self, what: &What) -> (usize, Option<usize>) {
        match what {
            What::Tag(tag) => {
                let (known, with) = self.index.count(tag);
                (known, Some(with))
            }
            What::Object(object) => {
                (self.index.count("").0, Some(usize::from(self.index.tags(*object).is_some())))
            }
            _ => (self.index.count("").0, None),
        }
    }

    fn floor(&self, ask: &Ask, tags: Option<&[u64]>) -> Time {
        if self.matcher.is_empty() {
            return 0;
        }
        let Some(item) = &ask.item else { return 0 };
        let key = key(&ask.class, item.id, ask.part);
        self.matcher.floor(0, item.id, ask.group, tags, &key).saturating_mul(MS)
    }

    /// The oldest copy that will do, as an age, where purges have a say: the lesser of `oldest` (0: as the class has
    /// it) and the floor.
    pub fn oldest(&self, now: Time, ask: &Ask, oldest: Span) -> Span {
        let tags = ask.item.as_ref().and_then(|item| self.index.tags(item.id));
        match self.floor(ask, tags) {
            0 => oldest,
            floor => {
                // 0 would ask for the class's own, so the least is a millisecond.
                let age = now.saturating_sub(floor).max(MS);
                if oldest > 0 {
                    age.min(oldest)
                } else {
                    age
                }
            }
        }
    }

    /// Judges an answer that a member says is good, by the tags that it names itself: an older version may carry others
    /// than those that are known. One that names none is unknown. `false`: it is from before a purge.
    pub fn judge(&mut self, ask: &Ask, reply: &MemberReply) -> bool {
        if !matches!(reply.word, Word::Hit | Word::Valid) {
            return true;
        }
        let Some(item) = &ask.item else { return true };
        let names: Option<Vec<&str>> =
            reply.tags.as_ref().map(|t| t.split(';').filter(|t| !t.is_empty()).take(TAGS_MOST + 1).collect());
        // One with too many is unknown.
        let names = names.filter(|names| names.len() <= TAGS_MOST);
        let marks: Option<Vec<u64>> = names.as_ref().map(|names| names.iter().map(|t| tag_mark(t)).collect());
        let floor = self.floor(ask, marks.as_deref());
        let born = reply.born.unwrap_or(0).saturating_mul(MS);
        if floor > 0 && born < floor {
            self.refused += 1;
            let asked = self.floor(ask, self.index.tags(item.id));
            if born < asked {
                self.lies += 1;
            } else {
                // It kept to what it was asked: the question was too mild.
                self.index.forget(item.id);
            }
            return false;
        }
        self.index.learn(item.id, names.as_deref());
        true
    }
}
