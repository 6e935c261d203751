//! PurgeFloors: the oldest moment from which a copy may stem that answers a request, by the purges that this front knows.
//! They are asked when an attempt is sent and again when its answer comes: purges come while requests wait.
use super::{ClientRequest, ReplyKind, UpstreamReply};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::lease::Contact;
use cranesill_purges::matching::{tag_mark, Index, Matcher, Set};
use cranesill_purges::{key, Ms, Number, Purge, What};
use std::collections::HashMap;

/// Tags that one answer may name.
const MAX_REPLY_TAGS: usize = 16;
const MS: Micros = 1_000;
/// Objects and parts under a floor of which it is remembered that they were renewed, in each of two generations.
const MAX_RENEWED: usize = 32_768;

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It may be passed on.
    Fresh,
    /// It is from before a purge that was not known to concern it.
    StaleUnrequested,
    /// It is from before a purge that was known to concern it.
    StaleDespiteRequest,
}

/// What purges ask of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessRequirement {
    /// The oldest that will do, as an age.
    pub oldest: Micros,
    /// One that is new enough was seen already: caches need not go past themselves.
    pub renewed: bool,
}

/// What this front knows of purges.
#[derive(Debug)]
pub struct PurgeFloors {
    matcher: Matcher,
    index: Index,
    /// By so many milliseconds the clocks of those who date copies may be ahead.
    skew: Ms,
    /// Everything up to this number is carried out by all boxes: members are not asked for it any more, but their
    /// answers are judged by it.
    pub confirmed: Number,
    /// When the copies were given out that were seen lately of objects and parts under a floor, in two generations.
    renewed: HashMap<(u64, u32), Timestamp>,
    renewed_before: HashMap<(u64, u32), Timestamp>,
    /// With the writer of the ledger, where this front follows one.
    pub contact: Option<Contact>,
    /// Answers that were refused for their age, and of them those that were asked for better.
    pub refused: u64,
    pub lies: u64,
}

impl PurgeFloors {
    /// No purge is known; `index_bytes` are for tags of objects.
    pub fn new(index_bytes: usize, skew: Ms) -> Self {
        PurgeFloors {
            renewed: HashMap::new(),
            renewed_before: HashMap::new(),
            matcher: Matcher::default(),
            index: Index::new(index_bytes),
            skew,
            confirmed: 0,
            contact: None,
            refused: 0,
            lies: 0,
        }
    }

    /// Takes a purge in.
    pub fn add(&mut self, purge: &Purge) {
        self.matcher.add(purge, self.skew);
    }

    /// Everything may have been purged up to a moment.
    pub fn add_all(&mut self, at: Ms) {
        self.matcher.add_all(at.saturating_add(self.skew));
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
    pub fn count_matches(&self, what: &What) -> (usize, Option<usize>) {
        match what {
            What::Tag(tag) => {
                let (known, with) = self.index.count(tag);
                (known, Some(with))
            }
            What::Object(object) => (
                self.index.count("").0,
                Some(usize::from(self.index.tags(*object).is_some())),
            ),
            _ => (self.index.count("").0, None),
        }
    }

    fn floor(
        &self,
        now: Timestamp,
        after: Number,
        request: &ClientRequest,
        tags: Option<&[u64]>,
    ) -> Timestamp {
        let Some(item) = &request.object else {
            return 0;
        };
        let contact = self.contact.as_ref().map_or(0, |c| c.floor(now, now / MS));
        let contact = if contact > 0 {
            contact.saturating_add(self.skew)
        } else {
            0
        };
        if self.matcher.is_empty() {
            return contact.saturating_mul(MS);
        }
        let key = key(&request.class, item.id, request.part);
        self.matcher
            .floor(after, item.id, request.group, tags, &key)
            .max(contact)
            .saturating_mul(MS)
    }

    /// What purges ask of the copy that answers a request; `None`: nothing beyond `oldest`, the age that will do (0:
    /// as the class has it).
    pub fn requirement(
        &self,
        now: Timestamp,
        request: &ClientRequest,
        oldest: Micros,
    ) -> Option<FreshnessRequirement> {
        let item = request.object.as_ref()?;
        let floor = self.floor(now, self.confirmed, request, self.index.tags(item.id));
        // 0 would ask for the class's own, so the least is a millisecond.
        let age = Some(now.saturating_sub(floor).max(MS))
            .filter(|age| floor > 0 && (oldest == 0 || *age < oldest))?;
        let key = (item.id, request.part);
        let born = self
            .renewed
            .get(&key)
            .or_else(|| self.renewed_before.get(&key));
        Some(FreshnessRequirement {
            oldest: age,
            renewed: born.is_some_and(|born| *born >= floor),
        })
    }

    /// Judges an answer that a member says is good, by the tags that it names itself: an older version may carry others
    /// than those that are known. One that names none is unknown.
    pub fn check_reply(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        reply: &UpstreamReply,
    ) -> Freshness {
        if !matches!(reply.kind, ReplyKind::Hit | ReplyKind::NotModified) {
            return Freshness::Fresh;
        }
        let Some(item) = &request.object else {
            return Freshness::Fresh;
        };
        let names: Option<Vec<&str>> = reply.tags.as_ref().map(|t| {
            t.split(';')
                .filter(|t| !t.is_empty())
                .take(MAX_REPLY_TAGS + 1)
                .collect()
        });
        // One with too many is unknown.
        let names = names.filter(|names| names.len() <= MAX_REPLY_TAGS);
        let marks: Option<Vec<u64>> = names
            .as_ref()
            .map(|names| names.iter().map(|t| tag_mark(t)).collect());
        let floor = self.floor(now, 0, request, marks.as_deref());
        let born = reply.created_at_ms.unwrap_or(0).saturating_mul(MS);
        if floor > 0 && born < floor {
            self.refused += 1;
            let known = self.floor(now, 0, request, self.index.tags(item.id));
            if born < known {
                self.lies += 1;
                return Freshness::StaleDespiteRequest;
            } else {
                // It kept to what it was asked: the question was too mild.
                self.index.forget(item.id);
            }
            return Freshness::StaleUnrequested;
        }
        self.index.learn(item.id, names.as_deref());
        if floor > 0 {
            if self.renewed.len() >= MAX_RENEWED {
                self.renewed_before = std::mem::take(&mut self.renewed);
            }
            self.renewed.insert((item.id, request.part), born);
        }
        self.contact
            .iter_mut()
            .for_each(|contact| contact.answered(now));
        Freshness::Fresh
    }
}
