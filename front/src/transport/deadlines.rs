//! Moments at which something is due.
use cranesill::api::Timestamp;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A queue of due moments. Entries are not taken back: who is woken checks whether it still matters.
#[derive(Debug)]
pub struct Deadlines<T> {
    heap: BinaryHeap<Reverse<(Timestamp, u64, T)>>,
    last: u64,
}

impl<T: Ord> Deadlines<T> {
    /// An empty queue.
    pub fn new() -> Self {
        Deadlines {
            heap: BinaryHeap::new(),
            last: 0,
        }
    }

    /// Notes that `what` is due `at`.
    pub fn add(&mut self, at: Timestamp, what: T) {
        self.last += 1;
        self.heap.push(Reverse((at, self.last, what)));
    }

    /// The next moment at which something is due.
    pub fn next(&self) -> Option<Timestamp> {
        self.heap.peek().map(|Reverse((at, ..))| *at)
    }

    /// Takes out what is due by `now`, earliest first; what is due at the same moment in the order added.
    pub fn take(&mut self, now: Timestamp) -> Option<T> {
        self.next().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, _, what))| what)
    }
}

#[cfg(test)]
mod tests;
