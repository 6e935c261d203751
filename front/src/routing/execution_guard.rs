//! Identifiers of requests that may have been executed, for classes whose requests must not be executed twice. A request whose
//! identifier is known is not forwarded, whichever connection or process it arrives at.
use super::TransactionId;
use cranesill::api::{Micros, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Time for which an identifier is known after its last attempt was sent. A client sends a request at most three times, each
/// time for the timeout of the class at most, which is a few seconds.
pub const RETENTION: Micros = 60_000_000;
/// Maximum number of known identifiers. At the limit the oldest gives way: rejecting requests instead would let one client that sends
/// at full speed shut out all others.
pub const MAX_IDENTIFIERS: usize = 65_536;

/// The value of an identifier, in which upper and lower case are the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ExecutionKey(pub u64);

impl From<TransactionId> for ExecutionKey {
    fn from(transaction: TransactionId) -> Self {
        let value = transaction.as_bytes().iter().fold(0u64, |value, byte| {
            let digit = char::from(*byte).to_digit(16).unwrap_or(u32::from(*byte));
            value.rotate_left(4) ^ u64::from(digit)
        });
        ExecutionKey(value)
    }
}

/// The identifiers that are known.
#[derive(Debug, Default)]
pub struct ExecutionGuard {
    /// The time until which each identifier is known.
    known_until: HashMap<ExecutionKey, Timestamp>,
    /// The same in order of time. An identifier that was forgotten or recorded again has further entries.
    by_time: VecDeque<(Timestamp, ExecutionKey)>,
    /// Number of requests that were not forwarded because their identifier was known.
    pub duplicates: u64,
    /// Number of identifiers that gave way before their time.
    pub evicted: u64,
    /// Time from which on the next eviction is reported.
    report_at: Timestamp,
}

impl ExecutionGuard {
    /// Records that an attempt is about to be sent, by this process or by another one of this front. From now on it may be executed.
    pub fn record(&mut self, now: Timestamp, key: ExecutionKey) {
        self.expire(now);
        // Forgotten identifiers stay in the queue, which therefore counts as well.
        if self.by_time.len() >= MAX_IDENTIFIERS {
            self.evict_oldest();
        }
        let until = now + RETENTION;
        self.known_until.insert(key, until);
        self.by_time.push_back((until, key));
    }

    fn evict_oldest(&mut self) {
        let Some((until, key)) = self.by_time.pop_front() else {
            return;
        };
        if self.known_until.get(&key) == Some(&until) {
            self.known_until.remove(&key);
            self.evicted += 1;
        }
    }

    /// Returns whether evictions have to be reported, which is the case once within the retention.
    pub fn takes_report(&mut self, now: Timestamp, evicted_before: u64) -> bool {
        let is_due = self.evicted > evicted_before && now >= self.report_at;
        if is_due {
            self.report_at = now + RETENTION;
        }
        is_due
    }

    /// Returns the number of known identifiers.
    pub fn len(&self) -> usize {
        self.known_until.len()
    }

    /// Records that the request was not executed, so that it may be sent again.
    pub fn forget(&mut self, key: ExecutionKey) {
        self.known_until.remove(&key);
    }

    /// Whether a request with this identifier may have been executed.
    pub fn is_known(&self, now: Timestamp, key: ExecutionKey) -> bool {
        self.known_until.get(&key).is_some_and(|until| *until > now)
    }

    /// Iterates over the identifiers that are known.
    pub fn known(&self) -> impl Iterator<Item = ExecutionKey> + '_ {
        self.known_until.keys().copied()
    }

    fn expire(&mut self, now: Timestamp) {
        while let Some((until, key)) = self.by_time.front().copied() {
            if until > now {
                return;
            }
            self.by_time.pop_front();
            if self.known_until.get(&key) == Some(&until) {
                self.known_until.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
