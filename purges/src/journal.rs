//! The purge log in one file: a header, then records, each with its checksum. Records are appended and synced before
//! anybody is notified of them; compaction writes a new file, syncs it and renames it into place.
//!
//! ```text
//! head    "CRPURGE1" identity:8 base:8 crc:4          numbers are little-endian, crc is CRC-32 of what stands before
//! record  length:4 crc:4 payload                      crc is CRC-32 of length and payload
//! payload number:8 at:8 kind:1 what id who why        kind 0 object:8, 1 group:4, 2 tag, 3 pattern; texts are size:2 bytes
//! ```
mod guarded;
mod record;

use crate::log::{Appended, PurgeLog};
use crate::Purge;
pub use guarded::GuardedFile;
pub use record::{decode_record, encode_record, DecodedRecord};
use std::io;

const MAGIC: &[u8; 8] = b"CRPURGE1";
/// The magic without the version.
const MAGIC_PREFIX: &[u8; 7] = b"CRPURGE";
const HEADER_BYTES: usize = 28;
/// Where the checksum stands in the header.
const CHECKSUM_OFFSET: usize = 24;

/// The file operations of a journal.
pub trait JournalFile {
    /// Reads all bytes; `None`: there is no file.
    fn read(&mut self) -> io::Result<Option<Vec<u8>>>;
    /// Appends bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes durable what was appended.
    fn sync(&mut self) -> io::Result<()>;
    /// Replaces the content, atomically and durably.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// What [`open`] found.
#[derive(Debug, PartialEq, Eq)]
pub enum OpenedJournal {
    /// There is no file.
    Missing,
    /// The complete log.
    Complete {
        /// The log.
        log: PurgeLog,
        /// Bytes at the end of a record that was cut off, as a killed process leaves them. Nobody was notified of it.
        torn_bytes: usize,
    },
    /// The file is damaged: what follows the damage is not known.
    Damaged {
        /// The log up to the damage; `None` if that is the header.
        log: Option<PurgeLog>,
        /// Where the damage is, in bytes.
        offset: usize,
    },
    /// A newer version of this program wrote the file.
    NewerVersion,
}

/// Why the header cannot be used.
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

/// Reads the header, and returns the empty log that it describes with the bytes of the records.
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

/// Reads a journal. An error is that of reading the file; damage is a result.
pub fn open(file: &mut dyn JournalFile) -> io::Result<OpenedJournal> {
    let Some(bytes) = file.read()? else {
        return Ok(OpenedJournal::Missing);
    };
    Ok(match decode_header(&bytes) {
        Ok((log, records)) => read_records(log, records),
        Err(HeaderError::NewerVersion) => OpenedJournal::NewerVersion,
        Err(HeaderError::Damaged) => OpenedJournal::Damaged {
            log: None,
            offset: 0,
        },
    })
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
                if log.append(log.identity, purge) != Ok(Appended::New) {
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

/// Appends a purge, which is durable once this returns without an error. After an error the file has to be rewritten;
/// [`GuardedFile`] ensures that.
pub fn append_purge(file: &mut dyn JournalFile, purge: &Purge) -> io::Result<()> {
    append_purges(file, std::slice::from_ref(purge))
}

/// Appends several purges with one sync, as [`append_purge`] does one.
pub fn append_purges(file: &mut dyn JournalFile, purges: &[Purge]) -> io::Result<()> {
    let bytes: Vec<u8> = purges.iter().flat_map(encode_record).collect();
    file.append(&bytes)?;
    file.sync()
}

/// Writes the whole log: at a first start, after compaction, or to remove a record that was cut off.
pub fn rewrite(file: &mut dyn JournalFile, log: &PurgeLog) -> io::Result<()> {
    let mut bytes = encode_header(log);
    bytes.extend(log.iter().flat_map(encode_record));
    file.replace(&bytes)
}

#[cfg(test)]
mod tests;
