//! The ledger in one file: a head, then records, each with its checksum. Records are appended and synced before
//! anybody is told of them; compaction writes a new file aside, syncs and renames it.
//!
//! ```text
//! head    "CRPURGE1" identity:8 base:8 crc:4          numbers are little-endian, crc is CRC-32 of what stands before
//! record  length:4 crc:4 payload                      crc is CRC-32 of length and payload
//! payload number:8 at:8 kind:1 what id who why        kind 0 object:8, 1 group:4, 2 tag, 3 pattern; texts are size:2 bytes
//! ```
mod guarded;

use crate::log::Ledger;
use crate::{Purge, What};
pub use guarded::Guarded;
use std::io;

const MAGIC: &[u8; 8] = b"CRPURGE1";
const MAGIC_STEM: &[u8; 7] = b"CRPURGE";
const HEAD: usize = 28;
/// Bytes of a record's payload.
const RECORD_MOST: usize = 2_048;

/// The steps of which writing consists, on one file.
pub trait File {
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
pub enum Opened {
    /// There is none.
    Missing,
    /// All of it. `torn`: bytes at the end that were never told to anybody, as a kill leaves them.
    Whole {
        /// The ledger.
        ledger: Ledger,
        /// Bytes left behind by a write that was cut off.
        torn: usize,
    },
    /// Something in it is not as it was written: from there on nothing is known.
    Damaged {
        /// What stands before.
        ledger: Option<Ledger>,
        /// Offset of the damage.
        at: usize,
    },
    /// A newer version wrote it.
    Newer,
}

fn head(ledger: &Ledger) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(ledger.identity.to_le_bytes());
    bytes.extend(ledger.base().to_le_bytes());
    let crc = crc32fast::hash(&bytes);
    bytes.extend(crc.to_le_bytes());
    bytes
}

/// A purge as it is kept, and as it goes to followers.
pub fn record(purge: &Purge) -> Vec<u8> {
    let mut payload = Vec::with_capacity(64);
    payload.extend(purge.number.to_le_bytes());
    payload.extend(purge.at.to_le_bytes());
    let text = |payload: &mut Vec<u8>, text: &str| {
        // All texts were bounded far below this when they were taken in.
        payload.extend((text.len() as u16).to_le_bytes());
        payload.extend(text.as_bytes());
    };
    match &purge.what {
        What::Object(object) => {
            payload.push(0);
            payload.extend(object.to_le_bytes());
        }
        What::Group(group) => {
            payload.push(1);
            payload.extend(group.to_le_bytes());
        }
        What::Tag(tag) => {
            payload.push(2);
            text(&mut payload, tag);
        }
        What::Pattern(pattern) => {
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
pub enum Found {
    /// A purge, and its length in bytes.
    Record(Purge, usize),
    /// It is not whole.
    Partial,
    /// It is not as it was written.
    Bad,
}

/// Takes the first record off some bytes. Nothing is allocated by a length that was not checked.
pub fn decode(bytes: &[u8]) -> Found {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return Found::Partial;
    };
    let size = u32::from_le_bytes(*length) as usize;
    if size > RECORD_MOST {
        return Found::Bad;
    }
    let Some((crc, rest)) = rest.split_first_chunk::<4>() else {
        return Found::Partial;
    };
    let Some(payload) = rest.get(..size) else {
        return Found::Partial;
    };
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    if hasher.finalize() != u32::from_le_bytes(*crc) {
        return Found::Bad;
    }
    parse(payload).map_or(Found::Bad, |purge| Found::Record(purge, 8 + size))
}

fn parse(payload: &[u8]) -> Option<Purge> {
    let mut rest = payload;
    let mut take = |n: usize| {
        let (field, left) = rest.split_at_checked(n)?;
        rest = left;
        Some(field)
    };
    let number = u64::from_le_bytes(take(8)?.try_into().ok()?);
    let at = u64::from_le_bytes(take(8)?.try_into().ok()?);
    let kind = take(1)?[0];
    let what = match kind {
        0 => What::Object(u64::from_le_bytes(take(8)?.try_into().ok()?)),
        1 => What::Group(u32::from_le_bytes(take(4)?.try_into().ok()?)),
        2 | 3 => {
            let size = u16::from_le_bytes(take(2)?.try_into().ok()?);
            let text = std::str::from_utf8(take(size.into())?).ok()?;
            if kind == 2 {
                What::Tag(text.into())
            } else {
                What::Pattern(text.into())
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
        at,
        what,
        id,
        who,
        why,
    })
}

/// Reads a ledger.
pub fn open(file: &mut dyn File) -> io::Result<Opened> {
    let Some(bytes) = file.read()? else {
        return Ok(Opened::Missing);
    };
    if bytes.len() < HEAD {
        return Ok(Opened::Damaged {
            ledger: None,
            at: 0,
        });
    }
    let (head, mut rest) = bytes.split_at(HEAD);
    if !head.starts_with(MAGIC) {
        let newer = head.starts_with(MAGIC_STEM) && head[7].is_ascii_digit();
        return Ok(if newer {
            Opened::Newer
        } else {
            Opened::Damaged {
                ledger: None,
                at: 0,
            }
        });
    }
    let number = |at: usize| head[at..at + 8].try_into().map_or(0, u64::from_le_bytes);
    let crc = head[24..28].try_into().map_or(0, u32::from_le_bytes);
    if crc32fast::hash(&head[..24]) != crc {
        return Ok(Opened::Damaged {
            ledger: None,
            at: 0,
        });
    }
    let mut ledger = Ledger::after(number(8), number(16));
    loop {
        let at = bytes.len() - rest.len();
        match decode(rest) {
            Found::Record(purge, used) => {
                let identity = ledger.identity;
                if ledger.append(identity, purge) != Ok(true) {
                    return Ok(Opened::Damaged {
                        ledger: Some(ledger),
                        at,
                    });
                }
                rest = &rest[used..];
            }
            Found::Partial => {
                return Ok(Opened::Whole {
                    ledger,
                    torn: rest.len(),
                })
            }
            Found::Bad => {
                return Ok(Opened::Damaged {
                    ledger: Some(ledger),
                    at,
                })
            }
        }
    }
}

/// Keeps a purge: durable once this returns without an error. After an error the file has to be written anew; [`Guarded`] sees
/// to that.
pub fn keep(file: &mut dyn File, purge: &Purge) -> io::Result<()> {
    file.append(&record(purge))?;
    file.sync()
}

/// Keeps several, with one sync.
pub fn keep_all(file: &mut dyn File, purges: &[Purge]) -> io::Result<()> {
    let bytes: Vec<u8> = purges.iter().flat_map(record).collect();
    file.append(&bytes)?;
    file.sync()
}

/// Writes a ledger anew: for a first start, after compaction, or to cut off what a kill left behind.
pub fn rewrite(file: &mut dyn File, ledger: &Ledger) -> io::Result<()> {
    let mut bytes = head(ledger);
    ledger.iter().for_each(|purge| bytes.extend(record(purge)));
    file.replace(&bytes)
}

#[cfg(test)]
mod tests;
