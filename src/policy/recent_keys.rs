//! Set of recently requested keys.
use crate::api::{Micros, Timestamp};
use std::collections::BTreeSet;

/// Maximum number of keys in a period. With more of them it ends early, so that clients cannot fill the
/// memory with ever new keys.
const MAX_KEYS_PER_PERIOD: usize = 32_768;

/// Keys requested in the current and the previous period.
#[derive(Clone, Debug)]
pub(crate) struct RecentKeys<K> {
    current: BTreeSet<K>,
    previous: BTreeSet<K>,
    period_started_at: Timestamp,
    /// Time of the first request. Until a full period after it, it is unknown whether a key is new.
    first_used_at: Option<Timestamp>,
}

impl<K> Default for RecentKeys<K> {
    fn default() -> Self {
        RecentKeys {
            current: BTreeSet::new(),
            previous: BTreeSet::new(),
            period_started_at: 0,
            first_used_at: None,
        }
    }
}

impl<K: Ord> RecentKeys<K> {
    /// Adds a key. Returns whether it was requested in the last one to two periods, or may have been.
    /// Periods are shorter while there are more than [`MAX_KEYS_PER_PERIOD`] keys.
    pub fn insert(&mut self, key: K, now: Timestamp, period: Micros) -> bool {
        let history_too_short = now < *self.first_used_at.get_or_insert(now) + period;
        let is_full = self.current.len() >= MAX_KEYS_PER_PERIOD;
        if is_full || now >= self.period_started_at + period {
            self.previous = std::mem::take(&mut self.current);
            if now >= self.period_started_at + 2 * period {
                self.previous.clear();
            }
            self.period_started_at = now;
        }
        let in_previous = self.previous.contains(&key);
        !self.current.insert(key) || in_previous || history_too_short
    }
}

#[cfg(test)]
mod tests;
