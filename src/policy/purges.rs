//! Purges: recently purged objects are not served from copies made before the purge.
use super::request_state::PendingRequest;
use super::router::Router;
use super::units::MILLISECOND;
use crate::api::{Micros, ObjectId, Request, Timestamp};

/// Time for which purges are kept beyond the time that caches need to drop purged copies.
const PURGE_RETENTION_SLACK: Micros = 1_000 * MILLISECOND;

impl Router {
    /// Time for which a purge is kept.
    fn purge_retention(&self) -> Micros {
        self.settings.purge_propagation + PURGE_RETENTION_SLACK
    }

    /// Records the purge of an object, or of a group, that was made `age` ago.
    pub(super) fn record_purge(&mut self, object: Option<ObjectId>, group: u32, age: Micros) {
        let purged_at = self.now.saturating_sub(age);
        let horizon = self.now.saturating_sub(self.purge_retention());
        self.purge_times.record(object, group, purged_at, horizon);
    }

    /// Time of the purge of the request's object, if it was so recent that caches may still hold old copies.
    fn recent_purge_at(&self, request: &Request) -> Option<Timestamp> {
        let latest = self.purge_times.latest(request.object, request.group);
        latest.filter(|purged_at| self.now < purged_at + self.purge_retention())
    }

    /// Whether the request's object was purged so recently that caches may still hold old copies.
    pub(super) fn was_purged_recently(&self, request: &Request) -> bool {
        self.recent_purge_at(request).is_some()
    }

    /// Maximum age of a copy that may be served; 0: any fresh copy. After a purge, copies from before it may not be
    /// served by the cache or the source for as long as caches may hold them.
    pub(super) fn max_age(&self, pending: &PendingRequest) -> Micros {
        let class = &pending.class;
        let grace = if pending.accepts_stale {
            class.grace
        } else {
            0
        };
        let max_age = class.freshness_lifetime + grace;
        let Some(purged_at) = self.recent_purge_at(&pending.request) else {
            return max_age;
        };
        // 0 would mean the freshness lifetime of the class, so the minimum is 1.
        let age = self.now.saturating_sub(purged_at + MILLISECOND).max(1);
        age.min(if max_age > 0 { max_age } else { Micros::MAX })
    }
}
