//! A priority queue of timers.
use cranesill::api::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Entries ordered by the timestamp at which they are due. Entries cannot be cancelled: the caller checks whether an entry that
/// it takes still applies.
#[derive(Debug)]
pub struct Deadlines<T> {
    /// Timestamp, sequence number and entry; the sequence number keeps entries with equal timestamps in insertion order.
    heap: BinaryHeap<Reverse<(Timestamp, u64, T)>>,
    last_sequence: u64,
}

impl<T: Ord> Deadlines<T> {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Deadlines {
            heap: BinaryHeap::new(),
            last_sequence: 0,
        }
    }

    /// Adds an entry that is due at `at`.
    pub fn add(&mut self, at: Timestamp, entry: T) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, entry)));
    }

    /// Returns the earliest timestamp at which an entry is due.
    pub fn next(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes and returns the earliest entry that is due by `now`. Entries with equal timestamps are returned in the order in
    /// which they were added.
    pub fn take(&mut self, now: Timestamp) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, _, entry))| entry)
    }
}

#[cfg(test)]
mod tests;
