//! Sorted queues, one for each thing that is waited for.
use std::collections::{BTreeMap, BTreeSet};

/// Sorted queues, one for each key.
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

    /// The complete queue of `key`, which is empty afterwards.
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

#[cfg(test)]
mod tests;
