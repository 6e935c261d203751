//! Storage of the purge log in one file: a header followed by records with checksums. A record is appended and synced
//! before the purge is acknowledged or sent to others; compaction writes a new file, syncs it and renames it into place.
//!
//! Numbers are little-endian, sizes are in bytes, and a text is its length in two bytes followed by UTF-8:
//!
//! ```text
//! header  "CRPURGE1" identity:8 base:8 crc:4             crc is the CRC-32 of the preceding header bytes
//! record  length:4 crc:4 payload                         crc is the CRC-32 of length and payload
//! payload number:8 at_ms:8 kind:1 target id who why      kind 0: object:8, 1: group:4, 2: tag text, 3: pattern text
//! ```
//!
//! A record with number 0 is not a purge of the log: purges up to `at_ms` may be missing from the log, and all copies created
//! before count as purged. Programs that do not know it take the journal for damaged, and everything for purged.
mod guarded;
mod record;

use crate::log::{Appended, PurgeLog};
use crate::{Purge, PurgeNumber, PurgeTarget};
pub use guarded::GuardedFile;
pub use record::{decode_record, encode_record, DecodedRecord};
use std::io;

const MAGIC: &[u8; 8] = b"CRPURGE1";
/// The magic bytes without the version digit.
const MAGIC_PREFIX: &[u8; 7] = b"CRPURGE";
const HEADER_BYTES: usize = 28;
/// Offset of the checksum in the header, in bytes.
const CHECKSUM_OFFSET: usize = 24;
/// Number of the record by which a journal notes that purges may be missing. Purges are numbered from 1.
const MISSING_PURGES_NUMBER: PurgeNumber = 0;

/// File operations used by the journal, implemented by the caller.
pub trait JournalFile {
    /// Reads the whole file; returns `None` if it does not exist.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Appends bytes at the end of the file. They are durable only after [`JournalFile::sync`].
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes all appended bytes durable.
    fn sync(&mut self) -> io::Result<()>;
    /// Replaces the contents atomically and durably.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// The result of reading a journal with [`open`].
#[derive(Debug, PartialEq, Eq)]
pub enum OpenedJournal {
    /// The file does not exist.
    Missing,
    /// The file is intact, apart from a possibly incomplete last record.
    Complete {
        /// The log with all complete records.
        log: PurgeLog,
        /// Length in bytes of an incomplete last record, as left behind by a process killed during a write. That purge
        /// was never acknowledged, since its record was not synced.
        torn_bytes: usize,
    },
    /// The file is corrupted; records after the corruption are lost.
    Damaged {
        /// The log up to the corrupted record; `None` if the header is corrupted.
        log: Option<PurgeLog>,
        /// Offset of the corrupted record in the file, in bytes.
        offset: usize,
    },
    /// The file was written by a newer version of this program.
    NewerVersion,
}

/// The reason why the header cannot be decoded.
enum HeaderError {
    Damaged,
    NewerVersion,
}

fn encode_header(log: &PurgeLog) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(log.identity.to_le_bytes());
    bytes.extend(log.base().to_le_bytes());
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    bytes
}

/// Decodes the header, and returns the empty log that it describes and the bytes of the records.
fn decode_header(bytes: &[u8]) -> Result<(PurgeLog, &[u8]), HeaderError> {
    let Some((header, records)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Err(HeaderError::Damaged);
    };
    if !header.starts_with(MAGIC) {
        let other_version =
            header.starts_with(MAGIC_PREFIX) && header[MAGIC_PREFIX.len()].is_ascii_digit();
        return Err(if other_version {
            HeaderError::NewerVersion
        } else {
            HeaderError::Damaged
        });
    }
    let number = |offset: usize| {
        let field = header[offset..offset + 8].try_into();
        field.map_or(0, u64::from_le_bytes)
    };
    let stored_checksum = header[CHECKSUM_OFFSET..].try_into();
    let stored_checksum = stored_checksum.map_or(0, u32::from_le_bytes);
    if crc32fast::hash(&header[..CHECKSUM_OFFSET]) != stored_checksum {
        return Err(HeaderError::Damaged);
    }
    Ok((PurgeLog::after(number(8), number(16)), records))
}

/// Reads a journal. Corruption is reported in the result; an error means that the file could not be read.
pub fn open(file: &mut dyn JournalFile) -> io::Result<OpenedJournal> {
    let bytes = file.read()?;
    Ok(bytes.map_or(OpenedJournal::Missing, |bytes| decode(&bytes)))
}

/// Decodes the contents of a journal file.
pub fn decode(bytes: &[u8]) -> OpenedJournal {
    match decode_header(bytes) {
        Ok((log, records)) => read_records(log, records),
        Err(HeaderError::NewerVersion) => OpenedJournal::NewerVersion,
        Err(HeaderError::Damaged) => OpenedJournal::Damaged {
            log: None,
            offset: 0,
        },
    }
}

/// Records that were appended to a journal after it was decoded.
#[derive(Debug, PartialEq, Eq)]
pub struct AppendedRecords {
    /// The purges of the complete records.
    pub purges: Vec<Purge>,
    /// Length of the complete records in bytes. An incomplete one may follow, which is still being written.
    pub length: usize,
    /// Whether a corrupted record follows the complete ones.
    pub is_damaged: bool,
}

/// Decodes records that follow the ones that were already decoded.
pub fn decode_appended(bytes: &[u8]) -> AppendedRecords {
    let mut appended = AppendedRecords {
        purges: Vec::new(),
        length: 0,
        is_damaged: false,
    };
    loop {
        match decode_record(&bytes[appended.length..]) {
            DecodedRecord::Record { purge, length } => {
                appended.purges.push(purge);
                appended.length += length;
            }
            DecodedRecord::Incomplete => return appended,
            DecodedRecord::Corrupt => {
                appended.is_damaged = true;
                return appended;
            }
        }
    }
}

fn read_records(mut log: PurgeLog, records: &[u8]) -> OpenedJournal {
    let mut rest = records;
    loop {
        let offset = HEADER_BYTES + records.len() - rest.len();
        let damaged = |log| OpenedJournal::Damaged {
            log: Some(log),
            offset,
        };
        match decode_record(rest) {
            DecodedRecord::Record { purge, length } => {
                if purge.number == MISSING_PURGES_NUMBER {
                    log.record_missing(purge.at_ms);
                } else if log.append(log.identity, purge) != Ok(Appended::New) {
                    return damaged(log);
                }
                rest = &rest[length..];
            }
            DecodedRecord::Incomplete => {
                return OpenedJournal::Complete {
                    log,
                    torn_bytes: rest.len(),
                }
            }
            DecodedRecord::Corrupt => return damaged(log),
        }
    }
}

/// Appends a purge and syncs the file. After an error the file must be rewritten before the next append, which
/// [`GuardedFile`] enforces.
pub fn append_purge(file: &mut dyn JournalFile, purge: &Purge) -> io::Result<()> {
    append_purges(file, std::slice::from_ref(purge))
}

/// Appends several purges with a single sync, under the conditions of [`append_purge`].
pub fn append_purges(file: &mut dyn JournalFile, purges: &[Purge]) -> io::Result<()> {
    let bytes: Vec<u8> = purges.iter().flat_map(encode_record).collect();
    file.append(&bytes)?;
    file.sync()
}

/// Replaces the journal by the given log: at the first start, after compaction, or to remove an incomplete record.
pub fn rewrite(file: &mut dyn JournalFile, log: &PurgeLog) -> io::Result<()> {
    let mut bytes = encode_header(log);
    bytes.extend(missing_purges(log).iter().flat_map(encode_record));
    bytes.extend(log.iter().flat_map(encode_record));
    file.replace(&bytes)
}

/// Returns the record by which a journal notes that purges may be missing from the log, if that is the case.
fn missing_purges(log: &PurgeLog) -> Option<Purge> {
    let at_ms = log.purged_up_to();
    (at_ms > 0).then(|| Purge {
        number: MISSING_PURGES_NUMBER,
        at_ms,
        target: PurgeTarget::Pattern("*".into()),
        id: "missing".into(),
        who: "cranesill".into(),
        why: "purges may be missing".into(),
    })
}

#[cfg(test)]
mod tests;
