//! Slots for connections that are not yet trusted.
use crate::{ConnectionKey, Micros, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Numbers slots in the order in which they were taken, so that a key that is used again is told apart.
type SlotId = u64;

#[derive(Clone, Copy, Debug)]
struct Slot {
    deadline: Timestamp,
    id: SlotId,
}

/// The result of taking a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// When the connection has to be done with its slot.
    pub deadline: Timestamp,
    /// Connections that lost their slots to make room, and are to be closed.
    pub displaced: Vec<ConnectionKey>,
}

/// A bounded number of slots, each held until an absolute deadline. When all are taken, a newcomer displaces the oldest:
/// under a flood, connections that finish quickly get through, and idle ones make room first.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    /// How long a slot may be held.
    timeout: Micros,
    slots: HashMap<ConnectionKey, Slot>,
    by_age: BTreeMap<SlotId, ConnectionKey>,
    /// Connections with work to do, in the order in which they are served.
    ready: VecDeque<(ConnectionKey, SlotId)>,
    last_slot_id: SlotId,
}

impl Slots {
    /// `capacity` slots (at least one), each for `lease` microseconds.
    pub fn new(capacity: usize, timeout: Micros) -> Self {
        Slots {
            capacity: capacity.max(1),
            timeout,
            slots: HashMap::new(),
            by_age: BTreeMap::new(),
            ready: VecDeque::new(),
            last_slot_id: 0,
        }
    }

    /// Changes the limits. Deadlines that were given out stand; slots beyond a smaller capacity are displaced as new
    /// connections arrive.
    pub fn set_limits(&mut self, capacity: usize, timeout: Micros) {
        self.capacity = capacity.max(1);
        self.timeout = timeout;
    }

    /// The number of slots that are taken.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no slot is taken.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Takes a slot for a connection.
    pub fn acquire(&mut self, now: Timestamp, key: ConnectionKey) -> Admission {
        let displaced = self.displace_oldest();
        self.last_slot_id += 1;
        let id = self.last_slot_id;
        let deadline = now + self.timeout;
        self.slots.insert(key, Slot { deadline, id });
        self.by_age.insert(id, key);
        Admission {
            deadline,
            displaced,
        }
    }

    fn displace_oldest(&mut self) -> Vec<ConnectionKey> {
        let mut displaced = Vec::new();
        while self.slots.len() >= self.capacity {
            let Some((_, oldest)) = self.by_age.pop_first() else {
                break;
            };
            self.slots.remove(&oldest);
            displaced.push(oldest);
        }
        displaced
    }

    /// Gives a slot back. Returns whether it was still held.
    pub fn release(&mut self, key: ConnectionKey) -> bool {
        let Some(slot) = self.slots.remove(&key) else {
            return false;
        };
        self.by_age.remove(&slot.id).is_some()
    }

    /// Notes that a connection has work to do. It is queued once, however often this is called.
    pub fn mark_ready(&mut self, key: ConnectionKey) {
        let Some(slot) = self.slots.get(&key) else {
            return;
        };
        if !self.ready.iter().any(|(queued, _)| *queued == key) {
            self.ready.push_back((key, slot.id));
        }
    }

    /// Takes the next connection with work to do off the queue, in a fair order.
    pub fn next_ready(&mut self) -> Option<ConnectionKey> {
        loop {
            let (key, id) = self.ready.pop_front()?;
            let holds_same_slot = self.slots.get(&key).is_some_and(|slot| slot.id == id);
            if holds_same_slot {
                return Some(key);
            }
        }
    }

    /// Whether a connection is queued.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Takes back the slots whose deadline has passed, and returns who held them.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<ConnectionKey> {
        // In order of arrival. A changed lease may give a later slot an earlier deadline, so all are checked.
        let in_order = self.by_age.values().copied();
        let expired: Vec<_> = in_order
            .filter(|key| self.slots[key].deadline <= now)
            .collect();
        for key in &expired {
            self.release(*key);
        }
        expired
    }

    /// The earliest deadline of all slots.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.slots.values().map(|slot| slot.deadline).min()
    }
}

#[cfg(test)]
mod tests;
