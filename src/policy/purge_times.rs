//! Times of recent purges.
use crate::api::{ObjectId, Timestamp};
use std::collections::BTreeMap;

/// Time of the latest purge of each object and group.
#[derive(Clone, Debug, Default)]
pub(crate) struct PurgeTimes {
    objects: BTreeMap<ObjectId, Timestamp>,
    groups: BTreeMap<u32, Timestamp>,
}

impl PurgeTimes {
    /// Records a purge at `purged_at` of an object, or of a group if `object` is `None`, and drops those from before
    /// `horizon`.
    pub fn record(
        &mut self,
        object: Option<ObjectId>,
        group: u32,
        purged_at: Timestamp,
        horizon: Timestamp,
    ) {
        self.objects.retain(|_, t| horizon <= *t);
        self.groups.retain(|_, t| horizon <= *t);
        let last = match object {
            Some(object) => self.objects.entry(object).or_insert(purged_at),
            None => self.groups.entry(group).or_insert(purged_at),
        };
        *last = purged_at.max(*last);
    }

    /// Time of the latest purge of an object, whether by itself or with its group.
    pub fn latest(&self, object: ObjectId, group: u32) -> Option<Timestamp> {
        self.objects
            .get(&object)
            .max(self.groups.get(&group))
            .copied()
    }
}
