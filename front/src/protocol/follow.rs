//! Between a ledger's writer and those that follow it (our own protocol; numbers are little-endian).
//!
//! ```text
//! follower   "CRFOLLOW" version:2 ledger:8 last:8       once; then last:8 after each batch that it has kept
//! writer     kind:1 ledger:8 base:8 head:8 size:4 body  kind 0 a batch: records as in the ledger's file, size bytes of them
//!                                                       kind 1 begin anew behind `base`: what was before is not known
//! ```
//!
//! One batch is out at a time: a follower that is slow is waited for. An empty batch each second is a sign of life, and
//! `head` tells whether the follower has all.
use super::{Cursor, Unreadable};
use cranesill_purges::journal::{self, DecodedRecord};
use cranesill_purges::log::MAX_BATCH_PURGES;
use cranesill_purges::{Purge, PurgeNumber};

const MAGIC: &[u8; 8] = b"CRFOLLOW";
const VERSION: u16 = 1;
pub const HELLO_BYTES: usize = 26;
/// Bytes of a batch's body.
const BODY_MOST: usize = MAX_BATCH_PURGES * 2_100;
const HEAD: usize = 29;

/// What a follower says first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The ledger that it follows; 0: none yet.
    pub ledger: u64,
    /// The last number that it has kept.
    pub last: PurgeNumber,
}

/// What a writer sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// The follower has to begin anew behind `base`.
    pub anew: bool,
    /// Which ledger this is.
    pub ledger: u64,
    /// The number before the first that is held.
    pub base: PurgeNumber,
    /// The last number that there is.
    pub head: PurgeNumber,
    /// What follows the last number that the follower told.
    pub purges: Vec<Purge>,
}

fn little(cursor: &mut Cursor<'_>) -> Option<u64> {
    cursor.array().map(u64::from_le_bytes)
}

/// The bytes of a follower's first word.
pub fn hello(hello: Hello) -> Vec<u8> {
    [
        &MAGIC[..],
        &VERSION.to_le_bytes(),
        &hello.ledger.to_le_bytes(),
        &hello.last.to_le_bytes(),
    ]
    .concat()
}

/// Reads a follower's first word. `None`: it is not complete yet.
pub fn decode_hello(input: &[u8]) -> Result<Option<Hello>, Unreadable> {
    let known = input.len().min(MAGIC.len());
    if input[..known] != MAGIC[..known] {
        return Err(Unreadable("no follower"));
    }
    let Some(bytes) = input.get(..HELLO_BYTES) else {
        return Ok(None);
    };
    let mut cursor = Cursor(&bytes[MAGIC.len()..]);
    let version = cursor.array().map(u16::from_le_bytes);
    if version != Some(VERSION) {
        return Err(Unreadable("a follower of another version"));
    }
    Ok(little(&mut cursor)
        .zip(little(&mut cursor))
        .map(|(ledger, last)| Hello { ledger, last }))
}

/// The bytes of a frame.
pub fn frame(frame: &Frame) -> Vec<u8> {
    let body: Vec<u8> = frame
        .purges
        .iter()
        .flat_map(journal::encode_record)
        .collect();
    let mut bytes = vec![u8::from(frame.anew)];
    for number in [frame.ledger, frame.base, frame.head] {
        bytes.extend(number.to_le_bytes());
    }
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Takes the first frame off `input`, with its length in bytes. `None`: it is not complete yet.
pub fn decode_frame(input: &[u8]) -> Result<Option<(Frame, usize)>, Unreadable> {
    let mut cursor = Cursor(input);
    let Some(kind) = cursor.u8() else {
        return Ok(None);
    };
    if kind > 1 {
        return Err(Unreadable("an unknown kind of frame"));
    }
    let numbers = little(&mut cursor)
        .zip(little(&mut cursor))
        .zip(little(&mut cursor));
    let Some((((ledger, base), head), size)) = numbers.zip(cursor.array().map(u32::from_le_bytes))
    else {
        return Ok(None);
    };
    let size = size as usize;
    if size > BODY_MOST {
        return Err(Unreadable("a batch that is too long"));
    }
    let Some(mut body) = cursor.bytes(size) else {
        return Ok(None);
    };
    let mut purges = Vec::new();
    while !body.is_empty() {
        let DecodedRecord::Record { purge, length } = journal::decode_record(body) else {
            return Err(Unreadable("a batch that is not as it was written"));
        };
        purges.push(purge);
        body = &body[length..];
    }
    Ok(Some((
        Frame {
            anew: kind == 1,
            ledger,
            base,
            head,
            purges,
        },
        HEAD + size,
    )))
}

#[cfg(test)]
mod tests;
