//! Purges: what was purged recently is not answered from older copies.
use super::request_state::PendingRequest;
use super::router::Router;
use super::units::MILLISECOND;
use crate::api::{Micros, ObjectId, Request, Timestamp};

/// Purges are remembered this much longer than caches may have old copies.
const PURGE_RETENTION_SLACK: Micros = 1_000 * MILLISECOND;

impl Router {
    /// For how long a purge is remembered.
    fn purge_retention(&self) -> Micros {
        self.settings.purge_propagation + PURGE_RETENTION_SLACK
    }

    /// Records the purge of an object, or of a whole group, that was made this long ago.
    pub(super) fn record_purge(&mut self, object: Option<ObjectId>, group: u32, age: Micros) {
        let purged_at = self.now.saturating_sub(age);
        let horizon = self.now.saturating_sub(self.purge_retention());
        self.purge_times.record(object, group, purged_at, horizon);
    }

    /// When the object of a request was purged, if that was so recently that old copies may be left.
    fn recent_purge_at(&self, request: &Request) -> Option<Timestamp> {
        let latest = self.purge_times.latest(request.object, request.group);
        latest.filter(|purged_at| self.now < purged_at + self.purge_retention())
    }

    /// Whether the object of a request was purged so recently that old copies may be left.
    pub(super) fn was_purged_recently(&self, request: &Request) -> bool {
        self.recent_purge_at(request).is_some()
    }

    /// The greatest age of a copy that may answer; 0 where any fresh one does. No copy from before a purge may
    /// answer, at the cache or at the source, for as long as caches may have old ones.
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
        // 0 would ask for the default, so the least is 1.
        let age = self.now.saturating_sub(purged_at + MILLISECOND).max(1);
        age.min(if max_age > 0 { max_age } else { Micros::MAX })
    }
}
