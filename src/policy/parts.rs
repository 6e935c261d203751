//! Mechanical parts without decisions: a token bucket, a counting set, queues, timers and a memory of purges.
use crate::api::{Micros, ObjectId, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// A token bucket whose rate may change between refills. The level may go below zero.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// What can be taken.
    pub level: f64,
    at: Timestamp,
}

impl Bucket {
    /// An empty bucket.
    pub fn new(now: Timestamp) -> Self {
        Bucket {
            level: 0.0,
            at: now,
        }
    }

    /// Fills it with what has come in since the last call, up to `most`.
    pub fn refill(&mut self, now: Timestamp, rate: f64, most: f64) {
        self.level = (self.level + rate * now.saturating_sub(self.at) as f64).min(most);
        self.at = now;
    }
}

/// Counts how often each key was added and not removed.
#[derive(Clone, Debug)]
pub struct Count<K>(BTreeMap<K, u32>);

impl<K> Default for Count<K> {
    fn default() -> Self {
        Count(BTreeMap::new())
    }
}

impl<K: Ord> Count<K> {
    /// Adds one.
    pub fn add(&mut self, key: K) {
        *self.0.entry(key).or_insert(0) += 1;
    }

    /// Takes one away, if there is one.
    pub fn remove(&mut self, key: &K) {
        let left = self.0.get_mut(key).map(|n| {
            *n -= 1;
            *n
        });
        if left == Some(0) {
            self.0.remove(key);
        }
    }

    /// Whether any is left.
    pub fn contains(&self, key: &K) -> bool {
        self.0.contains_key(key)
    }
}

/// Moment of the latest purge of each object and group.
#[derive(Clone, Debug, Default)]
pub struct Purges {
    objects: BTreeMap<ObjectId, Timestamp>,
    groups: BTreeMap<u32, Timestamp>,
}

impl Purges {
    /// Notes a purge made `at` of an object, or of a whole group, and forgets those from before `horizon`.
    pub fn note(
        &mut self,
        object: Option<ObjectId>,
        group: u32,
        at: Timestamp,
        horizon: Timestamp,
    ) {
        self.objects.retain(|_, t| horizon <= *t);
        self.groups.retain(|_, t| horizon <= *t);
        let last = match object {
            Some(object) => self.objects.entry(object).or_insert(at),
            None => self.groups.entry(group).or_insert(at),
        };
        *last = at.max(*last);
    }

    /// The latest purge of an object, by itself or with its group.
    pub fn last(&self, object: ObjectId, group: u32) -> Option<Timestamp> {
        self.objects
            .get(&object)
            .max(self.groups.get(&group))
            .copied()
    }
}

/// The keys that were seen in this span of time and in the one before.
#[derive(Clone, Debug)]
pub struct Seen<K> {
    new: BTreeSet<K>,
    old: BTreeSet<K>,
    since: Timestamp,
    /// When it was asked first: before it has seen a whole span it can't tell what is new.
    began: Option<Timestamp>,
}

impl<K> Default for Seen<K> {
    fn default() -> Self {
        Seen {
            new: BTreeSet::new(),
            old: BTreeSet::new(),
            since: 0,
            began: None,
        }
    }
}

impl<K: Ord> Seen<K> {
    /// Notes a key; whether it was seen in the last one or two spans, or may have been.
    pub fn again(&mut self, key: K, now: Timestamp, span: Micros) -> bool {
        let young = now < *self.began.get_or_insert(now) + span;
        if now >= self.since + span {
            self.old = std::mem::take(&mut self.new);
            if now >= self.since + 2 * span {
                self.old.clear();
            }
            self.since = now;
        }
        let before = self.old.contains(&key);
        !self.new.insert(key) || before || young
    }
}

/// Sorted queues, one for each key.
#[derive(Clone, Debug)]
pub struct Queues<K, T>(BTreeMap<K, BTreeSet<T>>);

impl<K, T> Default for Queues<K, T> {
    fn default() -> Self {
        Queues(BTreeMap::new())
    }
}

impl<K: Ord, T: Ord> Queues<K, T> {
    /// Adds an item to the queue of `key`.
    pub fn add(&mut self, key: K, item: T) {
        self.0.entry(key).or_default().insert(item);
    }

    /// Takes an item out of the queue of `key`.
    pub fn remove(&mut self, key: K, item: &T) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.remove(item);
            if queue.is_empty() {
                self.0.remove(&key);
            }
        }
    }

    /// The keys of queues that are not empty, in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.0.keys()
    }

    /// The whole queue of `key`, which is empty afterwards.
    pub fn take(&mut self, key: &K) -> BTreeSet<T> {
        self.0.remove(key).unwrap_or_default()
    }

    /// Puts back what is left of a queue that was taken, beside what was added since.
    pub fn put_back(&mut self, key: K, mut queue: BTreeSet<T>) {
        for item in self.take(&key) {
            queue.insert(item);
        }
        if !queue.is_empty() {
            self.0.insert(key, queue);
        }
    }
}

/// What each timer that is set is for. Tokens count up, so none is used twice.
#[derive(Clone, Debug)]
pub struct Timers<T> {
    due: BTreeMap<u64, T>,
    last: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            due: BTreeMap::new(),
            last: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Notes what a new timer is for and returns its token.
    pub fn set(&mut self, due: T) -> u64 {
        self.last += 1;
        self.due.insert(self.last, due);
        self.last
    }

    /// What the timer of this token was for, once.
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.due.remove(&token)
    }
}

#[cfg(test)]
mod tests;
