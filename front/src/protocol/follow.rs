//! The protocol between the writer of the purge log and its followers, specified in `docs/protocol.md`. Numbers are
//! little-endian.
//!
//! ```text
//! follower   "CRFOLLOW" version:2 ledger:8 last:8       once; then last:8 after each batch that was stored
//! writer     kind:1 ledger:8 base:8 head:8 size:4 body  kind 0, batch: `size` bytes of records in the format of the journal
//!                                                       kind 1, reset: discard the log and start after `base`
//! ```
//!
//! `ledger` identifies the log. The writer sends a batch only after the follower has confirmed the previous one. Empty
//! batches serve as heartbeats; a follower is up to date if its last purge is `head`.
use super::{Cursor, DecodeError};
use cranesill_purges::journal::{self, DecodedRecord};
use cranesill_purges::log::MAX_BATCH_PURGES;
use cranesill_purges::{Purge, PurgeNumber};

const MAGIC: &[u8; 8] = b"CRFOLLOW";
const PROTOCOL_VERSION: u16 = 1;
/// Size of a follower's hello in bytes.
pub const HELLO_BYTES: usize = 26;
/// Maximum size of an encoded purge in bytes.
const MAX_RECORD_BYTES: usize = 2_100;
/// Maximum size of the body of a frame in bytes.
const MAX_BODY_BYTES: usize = MAX_BATCH_PURGES * MAX_RECORD_BYTES;
/// Size of a frame without its body in bytes.
const FRAME_HEADER_BYTES: usize = 29;

/// Frame kinds.
mod kind {
    pub const BATCH: u8 = 0;
    pub const RESET: u8 = 1;
}

/// The first message of a follower on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The identity of the follower's log; 0 if it has none yet.
    pub log_identity: u64,
    /// The number of the last purge that the follower has stored.
    pub last: PurgeNumber,
}

/// A message from the writer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Whether the follower must discard its log and start after `base`.
    pub reset: bool,
    /// The identity of the writer's log, assigned when that log was created.
    pub log_identity: u64,
    /// The number before the first purge in the writer's log.
    pub base: PurgeNumber,
    /// The number of the last purge in the writer's log.
    pub head: PurgeNumber,
    /// The purges that follow the last one confirmed by the follower.
    pub purges: Vec<Purge>,
}

/// Reads a little-endian number.
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

/// Decodes a follower's hello; `None` if it is not complete yet.
pub fn decode_hello(input: &[u8]) -> Result<Option<Hello>, DecodeError> {
    // A peer that speaks another protocol is rejected by its first bytes, since it may never send a complete hello.
    let received = input.len().min(MAGIC.len());
    if input[..received] != MAGIC[..received] {
        return Err(DecodeError(
            "hello of a purge log follower has the wrong magic bytes",
        ));
    }
    let Some(bytes) = input.get(..HELLO_BYTES) else {
        return Ok(None);
    };
    let mut cursor = Cursor(&bytes[MAGIC.len()..]);
    let version = cursor.array().map(u16::from_le_bytes);
    if version != Some(PROTOCOL_VERSION) {
        return Err(DecodeError("unsupported version of the purge log protocol"));
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

/// Decodes the first frame in `input` and returns it with its length in bytes; `None` if it is not complete yet.
pub fn decode_frame(input: &[u8]) -> Result<Option<(Frame, usize)>, DecodeError> {
    let mut cursor = Cursor(input);
    let Some(kind) = cursor.u8() else {
        return Ok(None);
    };
    if kind > kind::RESET {
        return Err(DecodeError("unknown kind of purge log frame"));
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
        return Err(DecodeError("body of a purge log frame is too long"));
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
            return Err(DecodeError("corrupt record in a purge log frame"));
        };
        purges.push(purge);
        body = &body[length..];
    }
    Ok(purges)
}

#[cfg(test)]
mod tests;
