//! The ledger in one file: a head, then records, each with its checksum. Records are appended and synced before
//! anybody is told of them; compaction writes a new file aside, syncs and renames it.
//!
//! ```text
//! head    "CRPURGE1" identity:8 base:8 crc:4          numbers are little-endian, crc is CRC-32 of what stands before
//! record  length:4 crc:4 payload                      crc is CRC-32 of length and payload
//! payload number:8 at:8 kind:1 what id who why        kind 0 object:8, 1 group:4, 2 tag, 3 pattern; texts are size:2 bytes
//! ```
use crate::ledger::Ledger;
use crate::{Purge, What};
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
    [&purge.id, &purge.who, &purge.why].into_iter().for_each(|t| text(&mut payload, t));
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
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Found::Partial };
    let size = u32::from_le_bytes(*length) as usize;
    if size > RECORD_MOST {
        return Found::Bad;
    }
    let Some((crc, rest)) = rest.split_first_chunk::<4>() else { return Found::Partial };
    let Some(payload) = rest.get(..size) else { return Found::Partial };
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
    rest.is_empty().then_some(Purge { number, at, what, id, who, why })
}

/// Reads a ledger.
pub fn open(file: &mut dyn File) -> io::Result<Opened> {
    let Some(bytes) = file.read()? else { return Ok(Opened::Missing) };
    if bytes.len() < HEAD {
        return Ok(Opened::Damaged { ledger: None, at: 0 });
    }
    let (head, mut rest) = bytes.split_at(HEAD);
    if !head.starts_with(MAGIC) {
        let newer = head.starts_with(MAGIC_STEM) && head[7].is_ascii_digit();
        return Ok(if newer { Opened::Newer } else { Opened::Damaged { ledger: None, at: 0 } });
    }
    let number = |at: usize| head[at..at + 8].try_into().map_or(0, u64::from_le_bytes);
    let crc = head[24..28].try_into().map_or(0, u32::from_le_bytes);
    if crc32fast::hash(&head[..24]) != crc {
        return Ok(Opened::Damaged { ledger: None, at: 0 });
    }
    let mut ledger = Ledger::after(number(8), number(16));
    loop {
        let at = bytes.len() - rest.len();
        match decode(rest) {
            Found::Record(purge, used) => {
                let identity = ledger.identity;
                if ledger.append(identity, purge) != Ok(true) {
                    return Ok(Opened::Damaged { ledger: Some(ledger), at });
                }
                rest = &rest[used..];
            }
            Found::Partial => return Ok(Opened::Whole { ledger, torn: rest.len() }),
            Found::Bad => return Ok(Opened::Damaged { ledger: Some(ledger), at }),
        }
    }
}

/// Keeps a purge: durable once this returns without an error. After an error the file has to be opened anew.
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
mod tests {
    use super::*;
    use crate::ledger::{Command, Taken};

    #[derive(Default)]
    struct Memory {
        kept: Option<Vec<u8>>,
        live: Vec<u8>,
        full: bool,
    }

    impl File for Memory {
        fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
            Ok(self.kept.clone())
        }
        fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
            if self.full {
                // As a full disk does: a part of it is there.
                self.live.extend(&bytes[..bytes.len() / 2]);
                return Err(io::ErrorKind::StorageFull.into());
            }
            self.live.extend(bytes);
            Ok(())
        }
        fn sync(&mut self) -> io::Result<()> {
            self.kept = Some(self.live.clone());
            Ok(())
        }
        fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
            (self.kept, self.live) = (Some(bytes.to_vec()), bytes.to_vec());
            Ok(())
        }
    }

    fn filled(n: u64) -> (Memory, Ledger) {
        let (mut file, mut ledger) = (Memory::default(), Ledger::new(0xfeed));
        rewrite(&mut file, &ledger).unwrap();
        for i in 0..n {
            let what = match i % 4 {
                0 => What::Object(i),
                1 => What::Group(i as u32),
                2 => What::Tag(format!("tag-{i}").into()),
                _ => What::Pattern(format!("car-*/{i:x}*").into()),
            };
            let id = i.to_string().into();
            let command = Command { what, id, who: "ops".into(), why: "new photos".into(), all: false };
            let Ok(Taken::New(purge)) = ledger.take(1_000 + i, &command) else { panic!() };
            keep(&mut file, &purge).unwrap();
            ledger.append(0xfeed, purge).unwrap();
        }
        (file, ledger)
    }

    #[test]
    fn what_was_kept_is_there_after_a_cut_at_any_byte_and_no_more() {
        let (file, ledger) = filled(20);
        let whole = file.kept.unwrap();
        let ends: Vec<usize> =
            (0..=20).map(|n| HEAD + ledger.iter().take(n).map(|p| record(p).len()).sum::<usize>()).collect();
        for cut in HEAD..=whole.len() {
            let mut file = Memory { kept: Some(whole[..cut].to_vec()), ..Memory::default() };
            let Opened::Whole { ledger: found, torn } = open(&mut file).unwrap() else {
                panic!("cut at {cut}")
            };
            let kept = ends.iter().rposition(|end| *end <= cut).unwrap();
            assert_eq!((found.last(), torn), (kept as u64, cut - ends[kept]), "cut at {cut}");
            assert!(found.iter().eq(ledger.iter().take(kept)));
        }
    }

    #[test]
    fn a_flipped_bit_is_found_wherever_it_is() {
        let (file, ledger) = filled(8);
        let whole = file.kept.unwrap();
        for at in 0..whole.len() {
            for bit in [0, 5] {
                let mut bytes = whole.clone();
                bytes[at] ^= 1 << bit;
                let mut file = Memory { kept: Some(bytes), ..Memory::default() };
                match open(&mut file).unwrap() {
                    Opened::Damaged { ledger: found, at: told } => {
                        let found = found.map_or(0, |l| l.last());
                        assert!(found < ledger.last() && told <= at, "bit {bit} at {at}");
                    }
                    Opened::Newer => assert_eq!(at, 7),
                    // A length that grew past the end looks like a record that is cut off: nothing of it was told.
                    Opened::Whole { ledger: found, torn } => assert!(torn > 0 && found.last() < 8, "{at}"),
                    Opened::Missing => panic!(),
                }
            }
        }
    }

    #[test]
    fn a_full_disk_leaves_what_was_kept_before() {
        let (mut file, ledger) = filled(3);
        file.full = true;
        let command =
            Command { what: What::Object(1), id: "x".into(), who: "".into(), why: "".into(), all: false };
        let Ok(Taken::New(purge)) = ledger.take(9_000, &command) else { panic!() };
        assert!(keep(&mut file, &purge).is_err());
        file.kept = Some(file.live.clone());
        let Opened::Whole { ledger: found, torn } = open(&mut file).unwrap() else { panic!() };
        assert_eq!((found, torn > 0), (ledger, true));
    }

    #[test]
    fn compaction_keeps_numbers_and_odd_bytes_never_panic() {
        let (mut file, mut ledger) = filled(20);
        ledger.compact(15, 5_000);
        rewrite(&mut file, &ledger).unwrap();
        let Opened::Whole { ledger: found, .. } = open(&mut file).unwrap() else { panic!() };
        assert_eq!((found.base(), found.last()), (15, 20));
        let mut newer =
            Memory { kept: Some([b"CRPURGE2".to_vec(), vec![0; 40]].concat()), ..Memory::default() };
        assert_eq!(open(&mut newer).unwrap(), Opened::Newer);
        let bytes = record(ledger.get(20).unwrap());
        let mut dice = 1u64;
        for _ in 0..50_000 {
            let mut odd = bytes.clone();
            for _ in 0..3 {
                dice = dice.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let at = (dice >> 33) as usize % odd.len();
                odd[at] = (dice >> 20) as u8;
            }
            let _ = (decode(&odd), parse(&odd), parse(&odd[8..]));
        }
    }
}
