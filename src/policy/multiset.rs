//! A multiset.
use std::collections::BTreeMap;

/// Counts how often each key was added and not removed.
#[derive(Clone, Debug)]
pub(crate) struct Multiset<K>(BTreeMap<K, u32>);

impl<K> Default for Multiset<K> {
    fn default() -> Self {
        Multiset(BTreeMap::new())
    }
}

impl<K: Ord> Multiset<K> {
    /// Adds one occurrence.
    pub fn add(&mut self, key: K) {
        *self.0.entry(key).or_insert(0) += 1;
    }

    /// Removes one occurrence, if there is any.
    pub fn remove(&mut self, key: &K) {
        let left = self.0.get_mut(key).map(|n| {
            *n -= 1;
            *n
        });
        if left == Some(0) {
            self.0.remove(key);
        }
    }

    /// Whether there is at least one occurrence.
    pub fn contains(&self, key: &K) -> bool {
        self.0.contains_key(key)
    }
}

#[cfg(test)]
mod tests;
