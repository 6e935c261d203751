//! Timestamps at which something is due.
use cranesill::api::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of entries that are due at a timestamp. Entries are never removed early: whoever takes one checks whether it still
/// applies.
#[derive(Debug)]
pub struct Deadlines<T> {
    heap: BinaryHeap<Reverse<(Timestamp, u64, T)>>,
    last_sequence: u64,
}

impl<T: Ord> Deadlines<T> {
    /// An empty queue.
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

    /// Takes an entry that is due by `now`: the earliest first, and of equal ones the one that was added first.
    pub fn take(&mut self, now: Timestamp) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, _, entry))| entry)
    }
}

#[cfg(test)]
mod tests;
