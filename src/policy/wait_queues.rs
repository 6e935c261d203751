//! Sorted wait queues by key.
use std::collections::{BTreeMap, BTreeSet};

/// Sorted queues by key. Empty queues are not stored.
#[derive(Clone, Debug)]
pub(crate) struct WaitQueues<K, T>(BTreeMap<K, BTreeSet<T>>);

impl<K, T> Default for WaitQueues<K, T> {
    fn default() -> Self {
        WaitQueues(BTreeMap::new())
    }
}

impl<K: Ord, T: Ord> WaitQueues<K, T> {
    /// Adds an item to the queue of `key`.
    pub fn add(&mut self, key: K, item: T) {
        self.0.entry(key).or_default().insert(item);
    }

    /// Removes an item from the queue of `key`.
    pub fn remove(&mut self, key: K, item: &T) {
        if let Some(queue) = self.0.get_mut(&key) {
            queue.remove(item);
            if queue.is_empty() {
                self.0.remove(&key);
            }
        }
    }

    /// Keys of the queues that are not empty, in order.
    pub fn keys(&self) -> impl Iterator<Item = &K> {
        self.0.keys()
    }

    /// Removes and returns the queue of `key`, which may be empty.
    pub fn take(&mut self, key: &K) -> BTreeSet<T> {
        self.0.remove(key).unwrap_or_default()
    }

    /// Merges the rest of a queue returned by `take` with the items added since.
    pub fn put_back(&mut self, key: K, mut queue: BTreeSet<T>) {
        for item in self.take(&key) {
            queue.insert(item);
        }
        if !queue.is_empty() {
            self.0.insert(key, queue);
        }
    }
}

#[cfg(test)]
mod tests;
