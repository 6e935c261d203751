//! Slots that limit the number of concurrent connections in an early phase, such as the handshake.
use crate::{ConnectionKey, Micros, Timestamp};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The number of a slot in the order of acquisition. Distinguishes successive slots of a reused connection key.
type SlotId = u64;

#[derive(Clone, Copy, Debug)]
struct Slot {
    deadline: Timestamp,
    id: SlotId,
}

/// The result of acquiring a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// When the slot expires.
    pub deadline: Timestamp,
    /// Connections that lost their slots to this one, which the caller must close.
    pub displaced: Vec<ConnectionKey>,
}

/// A bounded number of connection slots, each with an absolute deadline. If all slots are in use, a new connection displaces
/// the oldest one, so that idle connections cannot block others during a connection flood.
#[derive(Debug)]
pub struct Slots {
    capacity: usize,
    /// Maximum time for which a slot may be held.
    timeout: Micros,
    slots: HashMap<ConnectionKey, Slot>,
    by_age: BTreeMap<SlotId, ConnectionKey>,
    /// FIFO queue of connections with pending work.
    ready: VecDeque<(ConnectionKey, SlotId)>,
    last_slot_id: SlotId,
}

impl Slots {
    /// Creates `capacity` slots, at least one, each of which expires after `timeout`.
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

    /// Changes the limits. Existing deadlines are unchanged, and a smaller capacity takes effect when the next slot is
    /// acquired.
    pub fn set_limits(&mut self, capacity: usize, timeout: Micros) {
        self.capacity = capacity.max(1);
        self.timeout = timeout;
    }

    /// Returns the number of slots in use.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether no slot is in use.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Acquires a slot for a connection, displacing the oldest ones if necessary.
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

    /// Releases the slot of a connection. Returns whether the connection held one.
    pub fn release(&mut self, key: ConnectionKey) -> bool {
        let Some(slot) = self.slots.remove(&key) else {
            return false;
        };
        self.by_age.remove(&slot.id).is_some()
    }

    /// Adds a connection with pending work to the ready queue, unless it is queued already or holds no slot.
    pub fn mark_ready(&mut self, key: ConnectionKey) {
        let Some(slot) = self.slots.get(&key) else {
            return;
        };
        if !self.ready.iter().any(|(queued, _)| *queued == key) {
            self.ready.push_back((key, slot.id));
        }
    }

    /// Removes and returns the first connection in the ready queue that still holds its slot.
    pub fn next_ready(&mut self) -> Option<ConnectionKey> {
        loop {
            let (key, id) = self.ready.pop_front()?;
            let holds_same_slot = self.slots.get(&key).is_some_and(|slot| slot.id == id);
            if holds_same_slot {
                return Some(key);
            }
        }
    }

    /// Whether the ready queue has entries, including those of released slots.
    pub fn has_ready(&self) -> bool {
        !self.ready.is_empty()
    }

    /// Releases the slots whose deadline has passed, and returns their connections in the order of acquisition.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<ConnectionKey> {
        // All slots are checked, because a later slot may have an earlier deadline after a change of the timeout.
        let in_order = self.by_age.values().copied();
        let expired: Vec<_> = in_order
            .filter(|key| self.slots[key].deadline <= now)
            .collect();
        for key in &expired {
            self.release(*key);
        }
        expired
    }

    /// Returns the earliest deadline of all slots; `None` if no slot is in use.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        self.slots.values().map(|slot| slot.deadline).min()
    }
}

#[cfg(test)]
mod tests;
