//! File format of the log: records `length:4 crc:4 kind:1 payload` with little-endian numbers, where the length covers kind
//! and payload, and the CRC-32 covers the same bytes. The first record identifies the owner of the file. Records are only
//! appended; an entry replaces any entries with the same or a higher index.
//!
//! A voter that lost its file must not rejoin under its old identity, because it does not know its earlier votes. A file
//! is therefore created only once, together with the voter ([`encode_owner`]), and an empty file or a file of another
//! owner is rejected.
use protobuf::Message;
use raft::eraftpb::{Entry, HardState};
use thiserror::Error;

/// Maximum length of kind and payload of a record, in bytes. It is checked before memory is allocated for them.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Length of the fields before the kind, in bytes: record length and checksum.
const RECORD_HEADER_BYTES: usize = 8;
const KIND_ENTRY: u8 = 1;
const KIND_STATE: u8 = 2;
const KIND_OWNER: u8 = 3;

/// The voter that a file belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    /// A random identifier drawn at the creation of the cluster, which keeps clusters apart.
    pub cluster: u64,
    /// The identifier of the voter within the cluster.
    pub voter: u64,
}

/// The decoded contents of a file.
#[derive(Debug, Default)]
pub struct StoredLog {
    /// The log entries with contiguous indexes.
    pub entries: Vec<Entry>,
    /// The last stored term, vote and commit index.
    pub state: HardState,
    /// Length of the complete records, in bytes. The file must be truncated to it before the next append, which removes an
    /// incomplete last record.
    pub complete_bytes: usize,
}

/// The error for a file that cannot be used. Its voter must not vote, because its earlier votes are unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("invalid record at byte {offset}: {reason}")]
pub struct StorageError {
    /// Offset of the invalid record in the file, in bytes.
    pub offset: usize,
    /// The reason why the record is invalid.
    pub reason: Corruption,
}

/// The reason why a record is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Corruption {
    /// The length is 0 or greater than [`MAX_RECORD_BYTES`].
    #[error("the record length is not in the range from 1 to {MAX_RECORD_BYTES} bytes")]
    Length,
    /// The checksum of a record other than the last one does not match.
    #[error("the checksum does not match")]
    Checksum,
    /// The owner record cannot be decoded.
    #[error("the owner record cannot be decoded")]
    Owner,
    /// The file belongs to another cluster.
    #[error("the file belongs to another cluster")]
    OtherCluster,
    /// The file belongs to another voter of this cluster.
    #[error("the file belongs to another voter of this cluster")]
    OtherVoter,
    /// The first record is not an owner record.
    #[error("the file does not start with an owner record")]
    NoOwner,
    /// The file is missing or empty, or its first record is incomplete.
    #[error("the file is missing or empty, or its first record is incomplete")]
    NoFile,
    /// An entry cannot be decoded.
    #[error("the log entry cannot be decoded")]
    Entry,
    /// The index of an entry is less than that of the first entry.
    #[error("the index of the log entry is less than that of the first entry")]
    EntryBeforeFirst,
    /// The index of an entry leaves a gap after the previous entry.
    #[error("log entries are missing before this one")]
    Gap,
    /// Term, vote and commit index cannot be decoded.
    #[error("term, vote and commit index cannot be decoded")]
    State,
    /// The kind of the record is unknown, or it is a second owner record.
    #[error("the record has an unknown kind")]
    Kind,
}

fn encode_record(kind: u8, payload: &[u8]) -> Vec<u8> {
    let body = [&[kind], payload].concat();
    let length = (body.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(&body).to_le_bytes();
    [&length, &checksum, &body[..]].concat()
}

/// Encodes the owner record, with which the file of a new voter starts.
pub fn encode_owner(owner: Owner) -> Vec<u8> {
    let payload = [owner.cluster.to_le_bytes(), owner.voter.to_le_bytes()].concat();
    encode_record(KIND_OWNER, &payload)
}

/// Encodes a log entry as a record.
pub fn encode_entry(entry: &Entry) -> Vec<u8> {
    encode_record(KIND_ENTRY, &entry.write_to_bytes().unwrap_or_default())
}

/// Encodes term, vote and commit index as a record.
pub fn encode_state(state: &HardState) -> Vec<u8> {
    encode_record(KIND_STATE, &state.write_to_bytes().unwrap_or_default())
}

fn decode_owner(payload: &[u8]) -> Option<Owner> {
    let (cluster, voter) = payload.split_first_chunk::<8>()?;
    let cluster = u64::from_le_bytes(*cluster);
    let voter = u64::from_le_bytes(voter.try_into().ok()?);
    Some(Owner { cluster, voter })
}

struct Record<'a> {
    kind: u8,
    payload: &'a [u8],
    /// Length of the encoded record, in bytes.
    length: usize,
}

/// Splits off the first record. Returns `None` if it is incomplete.
fn split_record(bytes: &[u8]) -> Result<Option<Record<'_>>, Corruption> {
    let Some(header) = bytes.first_chunk::<RECORD_HEADER_BYTES>() else {
        return Ok(None);
    };
    let [l0, l1, l2, l3, c0, c1, c2, c3] = *header;
    let body_length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
    let checksum = u32::from_le_bytes([c0, c1, c2, c3]);
    if !(1..=MAX_RECORD_BYTES).contains(&body_length) {
        return Err(Corruption::Length);
    }
    let length = RECORD_HEADER_BYTES + body_length;
    let Some(body) = bytes.get(RECORD_HEADER_BYTES..length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != checksum {
        // After a crash, the file may have its final length before the contents of the last record are on disk.
        let is_last_record = bytes.len() == length;
        return if is_last_record {
            Ok(None)
        } else {
            Err(Corruption::Checksum)
        };
    }
    Ok(Some(Record {
        kind: body[0],
        payload: &body[1..],
        length,
    }))
}

/// Decodes the file of a voter, and checks its owner. An incomplete last record, as left behind by a crash, is ignored; any
/// other invalid record is an error.
pub fn read(bytes: &[u8], expected_owner: Owner) -> Result<StoredLog, StorageError> {
    let mut log = StoredLog::default();
    loop {
        let offset = log.complete_bytes;
        let error = |reason| StorageError { offset, reason };
        let Some(record) = split_record(&bytes[offset..]).map_err(error)? else {
            break;
        };
        match offset {
            0 => check_owner(&record, expected_owner).map_err(error)?,
            _ => log.apply(&record).map_err(error)?,
        }
        log.complete_bytes += record.length;
    }
    if log.complete_bytes == 0 {
        return Err(StorageError {
            offset: 0,
            reason: Corruption::NoFile,
        });
    }
    Ok(log)
}

fn check_owner(record: &Record<'_>, expected: Owner) -> Result<(), Corruption> {
    if record.kind != KIND_OWNER {
        return Err(Corruption::NoOwner);
    }
    let owner = decode_owner(record.payload).ok_or(Corruption::Owner)?;
    if owner.cluster != expected.cluster {
        return Err(Corruption::OtherCluster);
    }
    if owner.voter != expected.voter {
        return Err(Corruption::OtherVoter);
    }
    Ok(())
}

impl StoredLog {
    fn apply(&mut self, record: &Record<'_>) -> Result<(), Corruption> {
        match record.kind {
            KIND_ENTRY => self.apply_entry(record.payload),
            KIND_STATE => {
                self.state =
                    HardState::parse_from_bytes(record.payload).map_err(|_| Corruption::State)?;
                Ok(())
            }
            _ => Err(Corruption::Kind),
        }
    }

    fn apply_entry(&mut self, payload: &[u8]) -> Result<(), Corruption> {
        let entry = Entry::parse_from_bytes(payload).map_err(|_| Corruption::Entry)?;
        let first_index = self
            .entries
            .first()
            .map_or(entry.index, |first| first.index);
        let position = entry
            .index
            .checked_sub(first_index)
            .ok_or(Corruption::EntryBeforeFirst)? as usize;
        if position > self.entries.len() {
            return Err(Corruption::Gap);
        }
        self.entries.truncate(position);
        self.entries.push(entry);
        Ok(())
    }
}

#[cfg(test)]
mod tests;
