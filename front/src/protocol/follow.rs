//! The protocol between the writer of the purge log and its followers (`docs/protocol.md`, "Between the ledger's writer and
//! those that follow it"). All numbers are little-endian.
//!
//! ```text
//! follower   "CRFOLLOW" version:2 ledger:8 last:8       once; then last:8 after each batch that it has kept
//! writer     kind:1 ledger:8 base:8 head:8 size:4 body  kind 0 a batch: records as in the ledger's file, size bytes of them
//!                                                       kind 1 begin anew behind `base`: what was before is not known
//! ```
//!
//! The writer sends the next batch only once the follower has confirmed the one before, and
//! waits for a slow follower. It sends an empty batch each second as a heartbeat; `head` tells whether the follower has everything.
use super::{Cursor, DecodeError};
use cranesill_purges::journal::{self, DecodedRecord};
use cranesill_purges::log::MAX_BATCH_PURGES;
use cranesill_purges::{Purge, PurgeNumber};

const MAGIC: &[u8; 8] = b"CRFOLLOW";
const PROTOCOL_VERSION: u16 = 1;
/// Bytes of a follower's hello.
pub const HELLO_BYTES: usize = 26;
/// The most bytes that one encoded purge takes.
const MAX_RECORD_BYTES: usize = 2_100;
/// The longest body of a frame, in bytes.
const MAX_BODY_BYTES: usize = MAX_BATCH_PURGES * MAX_RECORD_BYTES;
/// Bytes of a frame before its body.
const FRAME_HEADER_BYTES: usize = 29;

/// Kinds of frames.
mod kind {
    pub const BATCH: u8 = 0;
    pub const RESET: u8 = 1;
}

/// What a follower sends on connecting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The identity of the log that it follows; 0 if it follows none yet.
    pub log_identity: u64,
    /// The number of the last purge that it has stored.
    pub last: PurgeNumber,
}

/// What the writer sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Whether the follower has to discard its log and begin anew after `base`.
    pub reset: bool,
    /// The identity of the log.
    pub log_identity: u64,
    /// The number before the first purge that the writer still has.
    pub base: PurgeNumber,
    /// The number of the writer's last purge.
    pub head: PurgeNumber,
    /// The purges after the last that the follower has confirmed.
    pub purges: Vec<Purge>,
}

fn little_endian(cursor: &mut Cursor<'_>) -> Option<u64> {
    cursor.array().map(u64::from_le_bytes)
}

/// Encodes a follower's hello.
pub fn hello(hello: Hello) -> Vec<u8> {
    [
        &MAGIC[..],
        &PROTOCOL_VERSION.to_le_bytes(),
        &hello.log_identity.to_le_bytes(),
        &hello.last.to_le_bytes(),
    ]
    .concat()
}

/// Decodes a follower's hello. `None`: it is not complete yet.
pub fn decode_hello(input: &[u8]) -> Result<Option<Hello>, DecodeError> {
    // Another protocol is rejected by its first bytes: it may never send as many as a hello has.
    let received = input.len().min(MAGIC.len());
    if input[..received] != MAGIC[..received] {
        return Err(DecodeError("no follower"));
    }
    let Some(bytes) = input.get(..HELLO_BYTES) else {
        return Ok(None);
    };
    let mut cursor = Cursor(&bytes[MAGIC.len()..]);
    let version = cursor.array().map(u16::from_le_bytes);
    if version != Some(PROTOCOL_VERSION) {
        return Err(DecodeError("a follower of another version"));
    }
    Ok(little_endian(&mut cursor)
        .zip(little_endian(&mut cursor))
        .map(|(log_identity, last)| Hello { log_identity, last }))
}

/// Encodes a frame.
pub fn frame(frame: &Frame) -> Vec<u8> {
    let body: Vec<u8> = frame
        .purges
        .iter()
        .flat_map(journal::encode_record)
        .collect();
    let kind = if frame.reset {
        kind::RESET
    } else {
        kind::BATCH
    };
    let mut bytes = vec![kind];
    for number in [frame.log_identity, frame.base, frame.head] {
        bytes.extend(number.to_le_bytes());
    }
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Decodes the first frame of `input`, and returns it with its length in bytes. `None`: it is not complete yet.
pub fn decode_frame(input: &[u8]) -> Result<Option<(Frame, usize)>, DecodeError> {
    let mut cursor = Cursor(input);
    let Some(kind) = cursor.u8() else {
        return Ok(None);
    };
    if kind > kind::RESET {
        return Err(DecodeError("an unknown kind of frame"));
    }
    let numbers = little_endian(&mut cursor)
        .zip(little_endian(&mut cursor))
        .zip(little_endian(&mut cursor));
    let Some((((log_identity, base), head), size)) =
        numbers.zip(cursor.array().map(u32::from_le_bytes))
    else {
        return Ok(None);
    };
    let size = size as usize;
    if size > MAX_BODY_BYTES {
        return Err(DecodeError("a batch that is too long"));
    }
    let Some(body) = cursor.bytes(size) else {
        return Ok(None);
    };
    let frame = Frame {
        reset: kind == kind::RESET,
        log_identity,
        base,
        head,
        purges: decode_purges(body)?,
    };
    Ok(Some((frame, FRAME_HEADER_BYTES + size)))
}

fn decode_purges(mut body: &[u8]) -> Result<Vec<Purge>, DecodeError> {
    let mut purges = Vec::new();
    while !body.is_empty() {
        let DecodedRecord::Record { purge, length } = journal::decode_record(body) else {
            return Err(DecodeError("a batch that is not as it was written"));
        };
        purges.push(purge);
        body = &body[length..];
    }
    Ok(purges)
}

#[cfg(test)]
mod tests;
