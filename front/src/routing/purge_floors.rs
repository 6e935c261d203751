//! Purge floors: the oldest creation time that a copy may have to answer a request, by the purges that this front knows.
//! They are applied when an attempt is sent and again to its reply, since purges arrive while requests wait.
use super::{ClientRequest, ObjectPart, ReplyKind, UpstreamReply};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::lease::Lease;
use cranesill_purges::matching::{
    tag_hash, CompileError, CompileJob, PatternSet, PurgeMatcher, RequestAttributes, TagIndex,
};
use cranesill_purges::{request_key, Purge, PurgeNumber, PurgeTarget, UnixMillis};
use std::collections::HashMap;

/// Most surrogate tags that a reply may name; one with more counts as naming none.
const MAX_REPLY_TAGS: usize = 16;
/// Microseconds in a millisecond.
const MICROS_PER_MS: Micros = 1_000;
/// Most parts in each of the two generations of [`RenewedParts`].
const MAX_GENERATION_PARTS: usize = 32_768;

/// How a reply compares with the purges known now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The copy is new enough.
    Fresh,
    /// The copy is older than a purge that was not known to concern it when the attempt was sent.
    StaleUnrequested,
    /// The copy is older than a purge that was known to concern it: the endpoint ignored the age limit.
    StaleDespiteRequest,
}

/// What purges require of the copy that answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessRequirement {
    /// The greatest age that is allowed.
    pub max_age: Micros,
    /// Whether a copy that is new enough was seen already, so that caches need not be bypassed.
    pub renewed: bool,
}

/// The creation times of the copies seen last of parts under a floor. A full generation replaces the one before.
#[derive(Debug, Default)]
struct RenewedParts {
    current: HashMap<ObjectPart, Timestamp>,
    previous: HashMap<ObjectPart, Timestamp>,
}

impl RenewedParts {
    fn insert(&mut self, part: ObjectPart, created_at: Timestamp) {
        if self.current.len() >= MAX_GENERATION_PARTS {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, created_at);
    }

    fn created_at(&self, part: &ObjectPart) -> Option<Timestamp> {
        let found = self.current.get(part).or_else(|| self.previous.get(part));
        found.copied()
    }
}

/// The purges that this front knows.
#[derive(Debug)]
pub struct PurgeFloors {
    matcher: PurgeMatcher,
    index: TagIndex,
    /// Milliseconds by which the clocks of those who date copies may be ahead.
    skew_ms: UnixMillis,
    /// All cache nodes have applied every purge up to this number: requests need not ask for it any more, but replies
    /// are still checked against it.
    pub confirmed: PurgeNumber,
    renewed: RenewedParts,
    /// The lease on the purge log, where this front follows a writer.
    pub lease: Option<Lease>,
    /// Replies that were rejected as stale.
    pub stale_replies: u64,
    /// Those of them whose endpoint had been asked for a newer copy.
    pub stale_despite_request: u64,
}

impl PurgeFloors {
    /// Floors without a purge. The index of the objects' tags takes `index_bytes`; clocks of those who date copies may
    /// be ahead by `skew_ms` milliseconds.
    pub fn new(index_bytes: usize, skew_ms: UnixMillis) -> Self {
        PurgeFloors {
            renewed: RenewedParts::default(),
            matcher: PurgeMatcher::default(),
            index: TagIndex::new(index_bytes),
            skew_ms,
            confirmed: 0,
            lease: None,
            stale_replies: 0,
            stale_despite_request: 0,
        }
    }

    /// Adds a purge.
    pub fn add(&mut self, purge: &Purge) {
        self.matcher.add(purge, self.skew_ms);
    }

    /// Counts everything as purged up to a time.
    pub fn add_all(&mut self, at: UnixMillis) {
        self.matcher.add_all(at.saturating_add(self.skew_ms));
    }

    /// Forgets purges from before `horizon`: no endpoint has a copy from before it any more.
    pub fn expire(&mut self, horizon: UnixMillis) {
        self.matcher.expire(horizon);
    }

    /// Patterns to compile on a worker thread, once there are enough new ones.
    pub fn take_compile_job(&mut self) -> Option<CompileJob> {
        self.matcher.take_compile_job()
    }

    /// Installs patterns that were compiled.
    pub fn install(&mut self, set: Result<PatternSet, CompileError>) {
        self.matcher.install(set);
    }

    /// Live purges: of objects, groups, tags and patterns.
    pub fn counts(&self) -> [usize; 4] {
        let live = self.matcher.live_purges();
        [live.objects, live.groups, live.tags, live.patterns]
    }

    /// The number of indexed objects, and how many of them a purge of this target would concern, where that is known.
    pub fn count_matches(&self, target: &PurgeTarget) -> (usize, Option<usize>) {
        match target {
            PurgeTarget::Tag(tag) => {
                let counts = self.index.count(tag);
                (counts.known_objects, Some(counts.tagged_objects))
            }
            PurgeTarget::Object(object) => {
                let known = self.index.count("").known_objects;
                let matched = usize::from(self.index.tags(*object).is_some());
                (known, Some(matched))
            }
            PurgeTarget::Group(_) | PurgeTarget::Pattern(_) => {
                (self.index.count("").known_objects, None)
            }
        }
    }

    /// The floor that an expired lease sets, in Unix milliseconds; 0: none.
    fn lease_floor_ms(&self, now: Timestamp) -> UnixMillis {
        let floor = match &self.lease {
            Some(lease) => lease.floor(now, now / MICROS_PER_MS),
            None => 0,
        };
        match floor {
            0 => 0,
            floor => floor.saturating_add(self.skew_ms),
        }
    }

    /// The earliest creation time of a copy that may answer a request, by purges after the number `after`; 0: any.
    /// `tags` are the hashes of the object's tags; `None`: they are not known.
    fn floor(
        &self,
        now: Timestamp,
        after: PurgeNumber,
        request: &ClientRequest,
        tags: Option<&[u64]>,
    ) -> Timestamp {
        let Some(object) = &request.object else {
            return 0;
        };
        let lease_floor = self.lease_floor_ms(now);
        if self.matcher.is_empty() {
            return lease_floor.saturating_mul(MICROS_PER_MS);
        }
        let key = request_key(&request.class, object.id, request.part);
        let attributes = RequestAttributes {
            object: object.id,
            group: request.group,
            tags,
            key: &key,
        };
        let purge_floor = self.matcher.floor(after, &attributes);
        purge_floor.max(lease_floor).saturating_mul(MICROS_PER_MS)
    }

    /// What purges require of the copy that answers a request; `None`: nothing beyond `max_age`, the limit that applies
    /// anyway (0: that of the request class).
    pub fn requirement(
        &self,
        now: Timestamp,
        request: &ClientRequest,
        max_age: Micros,
    ) -> Option<FreshnessRequirement> {
        let part = request.object_part()?;
        let tags = self.index.tags(part.object);
        let floor = self.floor(now, self.confirmed, request, tags);
        if floor == 0 {
            return None;
        }
        // An age of 0 would stand for the limit of the request class.
        let age = now.saturating_sub(floor).max(MICROS_PER_MS);
        if max_age != 0 && age >= max_age {
            return None;
        }
        let renewed_at = self.renewed.created_at(&part);
        Some(FreshnessRequirement {
            max_age: age,
            renewed: renewed_at.is_some_and(|created_at| created_at >= floor),
        })
    }

    /// Checks a reply that its endpoint calls good, by the tags that the reply itself names: an older version of the
    /// object may carry others than the indexed ones. A reply that names none has unknown tags.
    pub fn check_reply(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        reply: &UpstreamReply,
    ) -> Freshness {
        if !matches!(reply.kind, ReplyKind::Hit | ReplyKind::NotModified) {
            return Freshness::Fresh;
        }
        let Some(part) = request.object_part() else {
            return Freshness::Fresh;
        };
        let names = named_tags(reply);
        let hashes: Option<Vec<u64>> = names
            .as_ref()
            .map(|names| names.iter().map(|tag| tag_hash(tag)).collect());
        let floor = self.floor(now, 0, request, hashes.as_deref());
        let created_at = reply
            .created_at_ms
            .unwrap_or(0)
            .saturating_mul(MICROS_PER_MS);
        if floor > 0 && created_at < floor {
            return self.reject_stale(now, request, part.object, created_at);
        }
        self.index.record(part.object, names.as_deref());
        if floor > 0 {
            self.renewed.insert(part, created_at);
        }
        if let Some(lease) = &mut self.lease {
            lease.record_reply(now);
        }
        Freshness::Fresh
    }

    fn reject_stale(
        &mut self,
        now: Timestamp,
        request: &ClientRequest,
        object: u64,
        created_at: Timestamp,
    ) -> Freshness {
        self.stale_replies += 1;
        let requested_floor = self.floor(now, 0, request, self.index.tags(object));
        if created_at < requested_floor {
            self.stale_despite_request += 1;
            return Freshness::StaleDespiteRequest;
        }
        // The endpoint kept the age limit, which was too mild: the indexed tags are wrong.
        self.index.forget(object);
        Freshness::StaleUnrequested
    }
}

/// The surrogate tags that a reply names; `None` if it names none or too many.
fn named_tags(reply: &UpstreamReply) -> Option<Vec<&str>> {
    let tags = reply.tags.as_ref()?.split(';');
    let tags: Vec<&str> = tags
        .filter(|tag| !tag.is_empty())
        .take(MAX_REPLY_TAGS + 1)
        .collect();
    (tags.len() <= MAX_REPLY_TAGS).then_some(tags)
}
