//! A fixed-size, set-associative index from objects to their surrogate tags.

/// Maximum number of tags stored per object. The tags of an object with more are unknown.
const MAX_INDEXED_TAGS: usize = 4;
/// Number of slots in a row. Each object maps to one row, in which it replaces the slot written longest ago.
const SLOTS_PER_ROW: usize = 8;

/// Returns a 64-bit hash of a tag. Tags with the same hash are purged together, so a collision removes too much but never
/// too little.
pub fn tag_hash(tag: &str) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in tag.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) | 1
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Slot {
    object: u64,
    tags: [u64; MAX_INDEXED_TAGS],
    /// The number of tags plus 1; 0 if the slot is free. The tags are unknown if there are more than
    /// [`MAX_INDEXED_TAGS`].
    count: u8,
    /// The value of [`TagIndex::sequence`] when the slot was written.
    written_at: u32,
}

impl Slot {
    fn holds(&self, object: u64) -> bool {
        self.count > 0 && self.object == object
    }
}

/// The result of [`TagIndex::count`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TagCounts {
    /// Number of objects in the index.
    pub known_objects: usize,
    /// Number of objects in the index that carry the tag.
    pub tagged_objects: usize,
}

/// The tags of recently recorded objects. The tags of other objects are unknown.
#[derive(Debug)]
pub struct TagIndex {
    pub(super) slots: Vec<Slot>,
    /// The number of recorded objects, modulo 2^32. Orders the slots of a row by age.
    sequence: u32,
}

impl TagIndex {
    /// Creates an index that occupies about this number of bytes, and at least one row.
    pub fn new(bytes: usize) -> Self {
        let rows = (bytes / (SLOTS_PER_ROW * std::mem::size_of::<Slot>())).max(1);
        TagIndex {
            slots: vec![Slot::default(); rows * SLOTS_PER_ROW],
            sequence: 0,
        }
    }

    fn row(&self, object: u64) -> std::ops::Range<usize> {
        let rows = (self.slots.len() / SLOTS_PER_ROW) as u128;
        let hash = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let row = ((u128::from(hash) * rows) >> 64) as usize * SLOTS_PER_ROW;
        row..row + SLOTS_PER_ROW
    }

    /// Records the tags listed in a reply, which replace those recorded before. `None` means that the reply has no tag list,
    /// and leaves the recorded tags unchanged.
    pub fn record(&mut self, object: u64, tags: Option<&[&str]>) {
        let Some(tags) = tags else { return };
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let range = self.row(object);
        let row = &mut self.slots[range];
        let mut slot = Slot {
            object,
            written_at: sequence,
            // An object with too many tags has the count of one more than fit; one without tags has count 1.
            count: 1 + tags.len().min(MAX_INDEXED_TAGS + 1) as u8,
            ..Slot::default()
        };
        for (tag, hash) in tags.iter().zip(&mut slot.tags) {
            *hash = tag_hash(tag);
        }
        row[select_slot(row, object, sequence)] = slot;
    }

    /// Makes the tags of an object unknown, after a reply had tags that were not recorded.
    pub fn forget(&mut self, object: u64) {
        let row = self.row(object);
        let slots = self.slots[row].iter_mut();
        slots
            .filter(|slot| slot.object == object)
            .for_each(|slot| slot.count = 0);
    }

    /// Returns the hashes of an object's tags; `None` if the tags are unknown.
    pub fn tags(&self, object: u64) -> Option<&[u64]> {
        let mut row = self.slots[self.row(object)].iter();
        let slot = row.find(|slot| slot.holds(object))?;
        let count = usize::from(slot.count) - 1;
        slot.tags.get(..count)
    }

    /// Counts the objects in the index, and those that carry a tag. The cost is linear in the size of the index.
    pub fn count(&self, tag: &str) -> TagCounts {
        let hash = tag_hash(tag);
        let known = self.slots.iter().filter(|slot| slot.count > 0);
        let tagged = known.clone().filter(|slot| {
            let count = usize::from(slot.count) - 1;
            slot.tags.iter().take(count).any(|tag| *tag == hash)
        });
        TagCounts {
            known_objects: known.count(),
            tagged_objects: tagged.count(),
        }
    }
}

/// Returns the index of the slot to write for an object: its current one, else a free one, else the one written longest
/// ago.
fn select_slot(row: &[Slot], object: u64, sequence: u32) -> usize {
    let own = row.iter().position(|slot| slot.holds(object));
    let free = || row.iter().position(|slot| slot.count == 0);
    let age = |index: &usize| sequence.wrapping_sub(row[*index].written_at);
    let oldest = || (0..row.len()).max_by_key(age).unwrap_or(0);
    own.or_else(free).unwrap_or_else(oldest)
}
