//! The file format of the log: records `length:4 crc:4 kind:1 payload` with little-endian numbers, where the length counts
//! kind and payload. The first record identifies the owner of the file. Records are only appended; an entry whose index
//! exists already replaces it and all entries behind it.
//!
//! A voter that lost its file must not return under its old identity: it has made promises that it no longer knows. A
//! file is therefore created once, with the voter ([`encode_owner`]), and an empty or foreign file is rejected.
use protobuf::Message;
use raft::eraftpb::{Entry, HardState};
use thiserror::Error;

/// Longest record, in bytes; checked before anything is allocated by it.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
const RECORD_HEADER_BYTES: usize = 8;
const KIND_ENTRY: u8 = 1;
const KIND_STATE: u8 = 2;
const KIND_OWNER: u8 = 3;

/// The voter that a file belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    /// The cluster, by a random number that was drawn when it was created, so that two clusters never merge.
    pub cluster: u64,
    /// The voter in it.
    pub voter: u64,
}

/// The contents of a file.
#[derive(Debug, Default)]
pub struct StoredLog {
    /// The entries, in order and without a gap.
    pub entries: Vec<Entry>,
    /// The last term, vote and commit index.
    pub state: HardState,
    /// Bytes up to the end of the last complete record. Anything behind was torn while it was written, and is to be
    /// truncated before the next append.
    pub complete_bytes: usize,
}

/// Why a file cannot be used. What it promised is not known, so its owner must not vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("byte {offset}: {reason}")]
pub struct StorageError {
    /// Offset of the bad record in the file, in bytes.
    pub offset: usize,
    /// What is wrong with it.
    pub reason: Corruption,
}

/// What is wrong with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Corruption {
    /// Its length is zero or larger than [`MAX_RECORD_BYTES`].
    #[error("a length that is never written")]
    Length,
    /// Its checksum does not match, and it is not the last record.
    #[error("a checksum is wrong")]
    Checksum,
    /// The owner record cannot be decoded.
    #[error("the owner cannot be decoded")]
    Owner,
    /// The file belongs to another cluster.
    #[error("it is of another cluster")]
    OtherCluster,
    /// The file belongs to another voter of this cluster.
    #[error("it is of another voter")]
    OtherVoter,
    /// The first record is not the owner.
    #[error("it does not begin with its owner")]
    NoOwner,
    /// The file is missing, empty, or torn before its first record is complete.
    #[error("there is no file of this voter")]
    NoFile,
    /// An entry cannot be decoded.
    #[error("an entry cannot be decoded")]
    Entry,
    /// An entry precedes the first entry of the file.
    #[error("an entry before the first")]
    EntryBeforeFirst,
    /// An entry is missing before this one.
    #[error("a gap between entries")]
    Gap,
    /// Term, vote and commit index cannot be decoded.
    #[error("the state cannot be decoded")]
    State,
    /// The record's kind is not known.
    #[error("a record of an unknown kind")]
    Kind,
}

fn encode_record(kind: u8, payload: &[u8]) -> Vec<u8> {
    let body = [&[kind], payload].concat();
    let length = (body.len() as u32).to_le_bytes();
    let checksum = crc32fast::hash(&body).to_le_bytes();
    [&length, &checksum, &body[..]].concat()
}

/// Encodes the first record of a new voter's file.
pub fn encode_owner(owner: Owner) -> Vec<u8> {
    let payload = [owner.cluster.to_le_bytes(), owner.voter.to_le_bytes()].concat();
    encode_record(KIND_OWNER, &payload)
}

/// Encodes a log entry.
pub fn encode_entry(entry: &Entry) -> Vec<u8> {
    encode_record(KIND_ENTRY, &entry.write_to_bytes().unwrap_or_default())
}

/// Encodes term, vote and commit index.
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
    /// Its length in the file, in bytes.
    length: usize,
}

/// Splits the first record off; `None` if it is torn.
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
        // The last record may be torn in its middle: a file can have its length before its bytes.
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

/// Decodes the file of this voter. An incomplete last record was torn by a crash and is left out; any other record that
/// cannot be decoded is an error, and so is a file without an owner or with another one.
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
