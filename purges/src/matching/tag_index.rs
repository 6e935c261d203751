//! An index from objects to their surrogate tags, in memory of fixed size.

/// Most tags of an object that are remembered; the tags of one with more are unknown.
const MAX_INDEXED_TAGS: usize = 4;
/// Slots in which an object may stand; the one used longest ago is replaced.
const SLOTS_PER_ROW: usize = 8;

/// A 64-bit hash of a tag. Two tags with the same hash are purged together, which removes too much but never too little.
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
    /// One more than the number of tags; 0 if the slot is free. The tags are unknown if there are more than fit.
    count: u8,
    /// The index's clock when the slot was written.
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
    /// Objects in the index.
    pub known_objects: usize,
    /// Those of them that carry the tag.
    pub tagged_objects: usize,
}

/// The index. The tags of an object that was replaced, or never seen, are unknown.
#[derive(Debug)]
pub struct TagIndex {
    pub(super) slots: Vec<Slot>,
    /// Counts the records; it may wrap around.
    sequence: u32,
}

impl TagIndex {
    /// An index that takes about this number of bytes.
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

    /// Records the tags that a reply named, in place of those known before. `None`: it named none, and the tags known
    /// before stay.
    pub fn record(&mut self, object: u64, tags: Option<&[&str]>) {
        let Some(tags) = tags else { return };
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let range = self.row(object);
        let row = &mut self.slots[range];
        let mut slot = Slot {
            object,
            written_at: sequence,
            // One more than fit stands for unknown; an object without tags is known to have none.
            count: 1 + tags.len().min(MAX_INDEXED_TAGS + 1) as u8,
            ..Slot::default()
        };
        for (tag, hash) in tags.iter().zip(&mut slot.tags) {
            *hash = tag_hash(tag);
        }
        row[select_slot(row, object, sequence)] = slot;
    }

    /// Makes the tags of an object unknown: a reply was rejected for tags that were not recorded.
    pub fn forget(&mut self, object: u64) {
        let row = self.row(object);
        let slots = self.slots[row].iter_mut();
        slots
            .filter(|slot| slot.object == object)
            .for_each(|slot| slot.count = 0);
    }

    /// The hashes of an object's tags; `None` if they are unknown.
    pub fn tags(&self, object: u64) -> Option<&[u64]> {
        let mut row = self.slots[self.row(object)].iter();
        let slot = row.find(|slot| slot.holds(object))?;
        let count = usize::from(slot.count) - 1;
        slot.tags.get(..count)
    }

    /// Counts the objects in the index, and those that carry a tag. It visits all slots.
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

/// The slot for an object: its own, else a free one, else the one written longest ago.
fn select_slot(row: &[Slot], object: u64, sequence: u32) -> usize {
    let own = row.iter().position(|slot| slot.holds(object));
    let free = || row.iter().position(|slot| slot.count == 0);
    let age = |index: &usize| sequence.wrapping_sub(row[*index].written_at);
    let oldest = || (0..row.len()).max_by_key(age).unwrap_or(0);
    own.or_else(free).unwrap_or_else(oldest)
}
