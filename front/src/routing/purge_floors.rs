//! Purge floors: the earliest creation time of a copy that may answer a request, given the purges that this front has received.
//! They are applied when an attempt is sent and again to its reply, since purges may arrive in between.
use super::{ClientRequest, ObjectPart, ReplyKind, UpstreamReply};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::lease::Lease;
use cranesill_purges::matching::{
    tag_hash, CompileError, CompileJob, PatternSet, PurgeMatcher, RequestAttributes, TagIndex,
};
use cranesill_purges::{request_key, Purge, PurgeNumber, PurgeTarget, UnixMillis};
use std::collections::HashMap;

/// Maximum number of surrogate tags in a reply. The tags of a reply with more are treated as unknown.
const MAX_REPLY_TAGS: usize = 16;
const MICROS_PER_MS: Micros = 1_000;
/// Maximum number of parts in each of the two generations of [`RenewedParts`].
const MAX_GENERATION_PARTS: usize = 32_768;

/// The result of checking a reply against the purge floors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The copy is not older than its floor.
    Fresh,
    /// The copy is older than its floor, but the attempt did not request a newer one: the purge was not known to match it.
    StaleUnrequested,
    /// The copy is older than its floor although the attempt requested a newer one: the endpoint ignored the age limit.
    StaleDespiteRequest,
}

/// The requirement that purges place on the copy that answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessRequirement {
    /// Maximum age of the copy.
    pub max_age: Micros,
    /// Whether a copy that meets the requirement has been served before, so that caches need not be bypassed.
    pub renewed: bool,
}

/// Creation times of the last served copies of parts with a floor. Bounded by two generations: a full current generation
/// replaces the previous one.
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

/// The purges that this front has received, and the floors that follow from them.
#[derive(Debug)]
pub struct PurgeFloors {
    matcher: PurgeMatcher,
    index: TagIndex,
    /// Maximum clock skew of the machines that timestamp copies, in milliseconds.
    skew_ms: UnixMillis,
    /// The number up to which all cache nodes have confirmed purges. Requests no longer need floors for these purges, but
    /// replies are still checked against them.
    pub confirmed: PurgeNumber,
    renewed: RenewedParts,
    /// The lease on the purge log, if this front follows a writer.
    pub lease: Option<Lease>,
    /// Number of replies rejected as stale.
    pub stale_replies: u64,
    /// Number of stale replies whose attempt had requested a newer copy.
    pub stale_despite_request: u64,
}

impl PurgeFloors {
    /// Creates floors without purges. The index of the tags of objects uses `index_bytes` of memory; `skew_ms` is the maximum
    /// clock skew of the machines that timestamp copies, in milliseconds.
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

    /// Treats all copies created up to a time as purged.
    pub fn add_all(&mut self, at: UnixMillis) {
        self.matcher.add_all(at.saturating_add(self.skew_ms));
    }

    /// Removes purges from before `horizon`. No endpoint may hold a copy that is older.
    pub fn expire(&mut self, horizon: UnixMillis) {
        self.matcher.expire(horizon);
    }

    /// Takes a job that compiles patterns on a worker thread, if there are enough new ones.
    pub fn take_compile_job(&mut self) -> Option<CompileJob> {
        self.matcher.take_compile_job()
    }

    /// Installs compiled patterns.
    pub fn install(&mut self, set: Result<PatternSet, CompileError>) {
        self.matcher.install(set);
    }

    /// Returns the numbers of live purges of objects, groups, tags and patterns.
    pub fn counts(&self) -> [usize; 4] {
        let live = self.matcher.live_purges();
        [live.objects, live.groups, live.tags, live.patterns]
    }

    /// Returns the number of indexed objects, and how many of them a purge of this target would match, if that is known.
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

    /// Returns the floor set by an expired lease, in Unix milliseconds; 0 if there is none.
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

    /// Returns the earliest creation time of a copy that may answer a request, given the purges after the number `after`; 0 if
    /// any copy may. `tags` are the hashes of the object's tags, `None` if they are unknown.
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

    /// Returns the requirement on the copy that answers a request; `None` if purges require no more than `max_age`, the limit
    /// that applies in any case (0: the default of the request class).
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
        // A maximum age of 0 would select the default of the request class.
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

    /// Checks a successful reply against the floors, using the tags in the reply: an older version of the object may have had
    /// other tags than the indexed ones. The tags are unknown if the reply has none.
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

    /// Counts a stale reply, and determines whether the endpoint or the tag index is at fault.
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
        // The endpoint obeyed the age limit, which was too high because the indexed tags are outdated.
        self.index.forget(object);
        Freshness::StaleUnrequested
    }
}

/// Returns the surrogate tags of a reply; `None` if it has none or too many.
fn named_tags(reply: &UpstreamReply) -> Option<Vec<&str>> {
    let tags = reply.tags.as_ref()?.split(';');
    let tags: Vec<&str> = tags
        .filter(|tag| !tag.is_empty())
        .take(MAX_REPLY_TAGS + 1)
        .collect();
    (tags.len() <= MAX_REPLY_TAGS).then_some(tags)
}
