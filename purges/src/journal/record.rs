//! Encoding of purges as journal records, which are also used on the wire to followers and cache nodes.
use crate::{Purge, PurgeTarget};

/// Maximum length of a record's payload, in bytes.
const MAX_PAYLOAD_BYTES: usize = 2_048;
/// Length of the fields before the payload, in bytes: payload length and checksum.
const RECORD_HEADER_BYTES: usize = 8;

const KIND_OBJECT: u8 = 0;
const KIND_GROUP: u8 = 1;
const KIND_TAG: u8 = 2;
const KIND_PATTERN: u8 = 3;

/// The result of decoding the first record of a byte sequence.
#[derive(Debug, PartialEq, Eq)]
pub enum DecodedRecord {
    /// A complete record.
    Record {
        /// The decoded purge.
        purge: Purge,
        /// Length of the encoded record, in bytes.
        length: usize,
    },
    /// The bytes end before the record is complete.
    Incomplete,
    /// The record has an invalid length, checksum or payload.
    Corrupt,
}

/// Encodes a purge as a record.
pub fn encode_record(purge: &Purge) -> Vec<u8> {
    let mut payload = Vec::with_capacity(64);
    payload.extend(purge.number.to_le_bytes());
    payload.extend(purge.at_ms.to_le_bytes());
    encode_target(&mut payload, &purge.target);
    for text in [&purge.id, &purge.who, &purge.why] {
        encode_text(&mut payload, text);
    }
    let length = (payload.len() as u32).to_le_bytes();
    let checksum = checksum(&length, &payload).to_le_bytes();
    [&length[..], &checksum, &payload].concat()
}

fn encode_target(payload: &mut Vec<u8>, target: &PurgeTarget) {
    match target {
        PurgeTarget::Object(object) => {
            payload.push(KIND_OBJECT);
            payload.extend(object.to_le_bytes());
        }
        PurgeTarget::Group(group) => {
            payload.push(KIND_GROUP);
            payload.extend(group.to_le_bytes());
        }
        PurgeTarget::Tag(tag) => {
            payload.push(KIND_TAG);
            encode_text(payload, tag);
        }
        PurgeTarget::Pattern(pattern) => {
            payload.push(KIND_PATTERN);
            encode_text(payload, pattern);
        }
    }
}

/// Encodes a text with a 16-bit length. The length cannot overflow, since texts are validated before they enter the log.
fn encode_text(payload: &mut Vec<u8>, text: &str) {
    payload.extend((text.len() as u16).to_le_bytes());
    payload.extend(text.as_bytes());
}

fn checksum(length: &[u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(length);
    hasher.update(payload);
    hasher.finalize()
}

/// Decodes the first record of a byte sequence. Lengths are validated before they are used for an allocation.
pub fn decode_record(bytes: &[u8]) -> DecodedRecord {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else {
        return DecodedRecord::Incomplete;
    };
    let payload_bytes = u32::from_le_bytes(*length) as usize;
    if payload_bytes > MAX_PAYLOAD_BYTES {
        return DecodedRecord::Corrupt;
    }
    let Some((stored_checksum, rest)) = rest.split_first_chunk::<4>() else {
        return DecodedRecord::Incomplete;
    };
    let Some(payload) = rest.get(..payload_bytes) else {
        return DecodedRecord::Incomplete;
    };
    if checksum(length, payload) != u32::from_le_bytes(*stored_checksum) {
        return DecodedRecord::Corrupt;
    }
    match decode_payload(payload) {
        Some(purge) => DecodedRecord::Record {
            purge,
            length: RECORD_HEADER_BYTES + payload_bytes,
        },
        None => DecodedRecord::Corrupt,
    }
}

/// Decodes a payload; returns `None` if it is malformed or has trailing bytes.
pub(super) fn decode_payload(payload: &[u8]) -> Option<Purge> {
    let mut reader = PayloadReader(payload);
    let purge = Purge {
        number: reader.u64()?,
        at_ms: reader.u64()?,
        target: reader.target()?,
        id: reader.text()?.into(),
        who: reader.text()?.into(),
        why: reader.text()?.into(),
    };
    reader.0.is_empty().then_some(purge)
}

/// Reads fields from the remaining bytes of a payload.
struct PayloadReader<'a>(&'a [u8]);

impl<'a> PayloadReader<'a> {
    fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (field, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(field)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_le_bytes)
    }

    fn text(&mut self) -> Option<&'a str> {
        let length = u16::from_le_bytes(self.array()?);
        std::str::from_utf8(self.bytes(length.into())?).ok()
    }

    fn target(&mut self) -> Option<PurgeTarget> {
        let [kind] = self.array()?;
        match kind {
            KIND_OBJECT => self.u64().map(PurgeTarget::Object),
            KIND_GROUP => self
                .array()
                .map(|group| PurgeTarget::Group(u32::from_le_bytes(group))),
            KIND_TAG => self.text().map(|tag| PurgeTarget::Tag(tag.into())),
            KIND_PATTERN => self
                .text()
                .map(|pattern| PurgeTarget::Pattern(pattern.into())),
            _ => None,
        }
    }
}
