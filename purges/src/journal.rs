//! The ledger in one file: a head, then records, each with its checksum. Records are appended and synced before
//! anybody is told of them; compaction writes a new file aside, syncs and renames it.
//!
//! ```text
//! head    "CRPURGE1" identity:8 base:8 crc:4          numbers are little-endian, crc is CRC-32 of what stands before
//! record  length:4 crc:4 payload                      crc is CRC-32 of length and payload
//! payload number:8 at:8 kind:1 what id who why        kind 0 object:8, 1 group:4, 2 tag, 3 pattern; texts are size:2 bytes
//! ```
mod guarded;

use crate::log::PurgeLog;
use crate::{Purge, PurgeTarget};
pub use guarded::GuardedFile;
use std::io;

const MAGIC: &[u8; 8] = b"CRPURGE1";
const MAGIC_STEM: &[u8; 7] = b"CRPURGE";
const HEADER_BYTES: usize = 28;
/// Bytes of a record's payload.
const MAX_PAYLOAD_BYTES: usize = 2_048;

/// The steps of which writing consists, on one file.
pub trait JournalFile {
    /// All bytes; `None`: there is no file.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Puts bytes behind the last.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was appended durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Puts other bytes in the place of all, at once and durably.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// What a file held.
#[derive(Debug, PartialEq, Eq)]
pub enum OpenedJournal {
    /// There is none.
    Missing,
    /// All of it. `torn`: bytes at the end that were never told to anybody, as a kill leaves them.
    Complete {
        /// The ledger.
        log: PurgeLog,
        /// Bytes left behind by a write that was cut off.
        torn_bytes: usize,
    },
    /// Something in it is not as it was written: from there on nothing is known.
    Damaged {
        /// What stands before.
        log: Option<PurgeLog>,
        /// Offset of the damage.
        offset: usize,
    },
    /// A newer version wrote it.
    NewerVersion,
}

fn encode_header(log: &PurgeLog) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(log.identity.to_le_bytes());
    bytes.extend(log.base().to_le_bytes());
    let crc = crc32fast::hash(&bytes);
    bytes.extend(crc.to_le_bytes());
    bytes
}

/// A purge as it is kept, and as it goes to followers.
pub fn encode_record(purge: &Purge) -> Vec<u8> {
    let mut payload = Vec::with_capacity(64);
    payload.extend(purge.number.to_le_bytes());
    payload.extend(purge.at_ms.to_le_bytes());
    let text = |payload: &mut Vec<u8>, text: &str| {
        // All texts were bounded far below this when they were taken in.
        payload.extend((text.len() as u16).to_le_bytes());
        payload.extend(text.as_bytes());
    };
    match &purge.target {
        PurgeTarget::Object(object) => {
            payload.push(0);
            payload.extend(object.to_le_bytes());
        }
        PurgeTarget::Group(group) => {
            payload.push(1);
            payload.extend(group.to_le_bytes());
        }
        PurgeTarget::Tag(tag) => {
            payload.push(2);
            text(&mut payload, tag);
        }
        PurgeTarget::Pattern(pattern) => {
            payload.push(3);
            text(&mut payload, pattern);
        }
    }
    [&purge.id, &purge.who, &purge.why]
        .into_iter()
        .for_each(|t| text(&mut payload, t));
    let length = (payload.len() as u32).to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(&payload);
    [&length[..], &hasher.finalize().to_le_bytes(), &payload].concat()
}

/// What stands at the front of some bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodedRecord {
    /// A purge, and its length in bytes.
    Record(Purge, usize),
    /// It is not whole.
    Incomplete,
    /// It is not as it was written.
    Corrupt,
}

/// Takes the first record off some bytes. Nothing is allocated by a length that was not checked.
pub fn decode_record(bytes: &[u8]) -> DecodedRecord {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return DecodedRecord::Incomplete;
    };
    let size = u32::from_le_bytes(*length) as usize;
    if size > MAX_PAYLOAD_BYTES {
        return DecodedRecord::Corrupt;
    }
    let Some((crc, rest)) = rest.split_first_chunk::<4>() else {
        return DecodedRecord::Incomplete;
    };
    let Some(payload) = rest.get(..size) else {
        return DecodedRecord::Incomplete;
    };
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    if hasher.finalize() != u32::from_le_bytes(*crc) {
        return DecodedRecord::Corrupt;
    }
    parse(payload).map_or(DecodedRecord::Corrupt, |purge| {
        DecodedRecord::Record(purge, 8 + size)
    })
}

fn parse(payload: &[u8]) -> Option<Purge> {
    let mut rest = payload;
    let mut take = |n: usize| {
        let (field, left) = rest.split_at_checked(n)?;
        rest = left;
        Some(field)
    };
    let number = u64::from_le_bytes(take(8)?.try_into().ok()?);
    let at_ms = u64::from_le_bytes(take(8)?.try_into().ok()?);
    let kind = take(1)?[0];
    let target = match kind {
        0 => PurgeTarget::Object(u64::from_le_bytes(take(8)?.try_into().ok()?)),
        1 => PurgeTarget::Group(u32::from_le_bytes(take(4)?.try_into().ok()?)),
        2 | 3 => {
            let size = u16::from_le_bytes(take(2)?.try_into().ok()?);
            let text = std::str::from_utf8(take(size.into())?).ok()?;
            if kind == 2 {
                PurgeTarget::Tag(text.into())
            } else {
                PurgeTarget::Pattern(text.into())
            }
        }
        _ => return None,
    };
    let mut texts: [Box<str>; 3] = Default::default();
    for text in &mut texts {
        let size = u16::from_le_bytes(take(2)?.try_into().ok()?);
        *text = std::str::from_utf8(take(size.into())?).ok()?.into();
    }
    let [id, who, why] = texts;
    rest.is_empty().then_some(Purge {
        number,
        at_ms,
        target,
        id,
        who,
        why,
    })
}

/// Reads a ledger.
pub fn open(file: &mut dyn JournalFile) -> io::Result<OpenedJournal> {
    let Some(bytes) = file.read()? else {
        return Ok(OpenedJournal::Missing);
    };
    if bytes.len() < HEADER_BYTES {
        return Ok(OpenedJournal::Damaged {
            log: None,
            offset: 0,
        });
    }
    let (head, mut rest) = bytes.split_at(HEADER_BYTES);
    if !head.starts_with(MAGIC) {
        let newer = head.starts_with(MAGIC_STEM) && head[7].is_ascii_digit();
        return Ok(if newer {
            OpenedJournal::NewerVersion
        } else {
            OpenedJournal::Damaged {
                log: None,
                offset: 0,
            }
        });
    }
    let number = |at: usize| head[at..at + 8].try_into().map_or(0, u64::from_le_bytes);
    let crc = head[24..28].try_into().map_or(0, u32::from_le_bytes);
    if crc32fast::hash(&head[..24]) != crc {
        return Ok(OpenedJournal::Damaged {
            log: None,
            offset: 0,
        });
    }
    let mut log = PurgeLog::after(number(8), number(16));
    loop {
        let offset = bytes.len() - rest.len();
        match decode_record(rest) {
            DecodedRecord::Record(purge, used) => {
                let identity = log.identity;
                if log.append(identity, purge) != Ok(true) {
                    return Ok(OpenedJournal::Damaged {
                        log: Some(log),
                        offset,
                    });
                }
                rest = &rest[used..];
            }
            DecodedRecord::Incomplete => {
                return Ok(OpenedJournal::Complete {
                    log,
                    torn_bytes: rest.len(),
                })
            }
            DecodedRecord::Corrupt => {
                return Ok(OpenedJournal::Damaged {
                    log: Some(log),
                    offset,
                })
            }
        }
    }
}

/// Keeps a purge: durable once this returns without an error. After an error the file has to be written anew; [`Guarded`] sees
/// to that.
pub fn append_purge(file: &mut dyn JournalFile, purge: &Purge) -> io::Result<()> {
    file.append(&encode_record(purge))?;
    file.sync()
}

/// Keeps several, with one sync.
pub fn append_purges(file: &mut dyn JournalFile, purges: &[Purge]) -> io::Result<()> {
    let bytes: Vec<u8> = purges.iter().flat_map(encode_record).collect();
    file.append(&bytes)?;
    file.sync()
}

/// Writes a ledger anew: for a first start, after compaction, or to cut off what a kill left behind.
pub fn rewrite(file: &mut dyn JournalFile, log: &PurgeLog) -> io::Result<()> {
    let mut bytes = encode_header(log);
    log.iter()
        .for_each(|purge| bytes.extend(encode_record(purge)));
    file.replace(&bytes)
}

#[cfg(test)]
mod tests;
