//! Reads the journal that another process writes: the whole file at first and after it was replaced, otherwise only the records that
//! were appended since the last read.
use super::journal_writer::MAX_JOURNAL_BYTES;
use cranesill_purges::journal::{self, AppendedRecords, OpenedJournal};
use cranesill_purges::Purge;
use std::fs::File;
use std::io::{self, Read};
use std::os::unix::fs::{FileExt, MetadataExt};
use std::path::{Path, PathBuf};

/// What has changed in a journal since it was last read.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum JournalChange {
    /// Nothing.
    Unchanged,
    /// Purges were appended to the log with this identity.
    Appended { identity: u64, purges: Vec<Purge> },
    /// The file is new to this process, was replaced, or is missing.
    Replaced(OpenedJournal),
}

/// A change, and whether the file ends with an incomplete record.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct JournalRead {
    pub(super) change: JournalChange,
    /// Either another process is writing the record, or it was killed while it did.
    pub(super) ends_incomplete: bool,
}

impl JournalRead {
    fn replaced(opened: OpenedJournal, ends_incomplete: bool) -> Self {
        JournalRead {
            change: JournalChange::Replaced(opened),
            ends_incomplete,
        }
    }
}

/// The file at the last read. It stays open, so that a file that replaces it cannot have the same inode.
#[derive(Debug)]
struct ReadFile {
    file: File,
    /// Identity of the log; `None` if the file could not be decoded.
    identity: Option<u64>,
    /// Length of the header and of the complete records that were read.
    decoded_bytes: u64,
    /// Length of the file.
    length: u64,
}

/// The journal as far as this process has read it.
#[derive(Debug)]
pub(super) struct JournalReader {
    path: PathBuf,
    last: Option<ReadFile>,
}

impl JournalReader {
    /// Refers to the journal at a path, without reading it.
    pub(super) fn new(path: &Path) -> Self {
        JournalReader {
            path: path.to_path_buf(),
            last: None,
        }
    }

    /// Reads what has changed since the last call. After an error the next call reads the whole file.
    pub(super) fn read_changes(&mut self) -> io::Result<JournalRead> {
        let last = self.last.take();
        let found = match std::fs::metadata(&self.path) {
            Ok(found) => found,
            Err(error) if error.kind() == io::ErrorKind::NotFound => {
                return Ok(JournalRead::replaced(OpenedJournal::Missing, false));
            }
            Err(error) => return Err(error),
        };
        if let Some(mut last) = last {
            let known = last.file.metadata()?;
            let is_same = (found.dev(), found.ino()) == (known.dev(), known.ino());
            if is_same && found.len() >= last.length {
                if let Some(read) = last.read_appended(found.len())? {
                    self.last = Some(last);
                    return Ok(read);
                }
            }
        }
        self.read_all()
    }

    /// Whether the file was read and is complete.
    pub(super) fn has_decoded(&self) -> bool {
        self.last
            .as_ref()
            .is_some_and(|last| last.identity.is_some())
    }

    /// Makes the next call of [`JournalReader::read_changes`] read the whole file.
    pub(super) fn restart(&mut self) {
        self.last = None;
    }

    fn read_all(&mut self) -> io::Result<JournalRead> {
        let mut file = File::open(&self.path)?;
        let mut bytes = Vec::new();
        (&mut file)
            .take(MAX_JOURNAL_BYTES + 1)
            .read_to_end(&mut bytes)?;
        let length = bytes.len() as u64;
        if length > MAX_JOURNAL_BYTES {
            return Err(io::Error::other(format!(
                "more than {MAX_JOURNAL_BYTES} bytes"
            )));
        }
        let opened = journal::decode(&bytes);
        let (identity, incomplete_bytes) = match &opened {
            OpenedJournal::Complete { log, torn_bytes } => (Some(log.identity), *torn_bytes as u64),
            _ => (None, 0),
        };
        self.last = Some(ReadFile {
            file,
            identity,
            decoded_bytes: length - incomplete_bytes,
            length,
        });
        Ok(JournalRead::replaced(opened, incomplete_bytes > 0))
    }
}

impl ReadFile {
    /// Reads the records up to the given length of the file. Returns `None` if the whole file has to be read.
    fn read_appended(&mut self, length: u64) -> io::Result<Option<JournalRead>> {
        if length == self.length {
            return Ok(Some(JournalRead {
                change: JournalChange::Unchanged,
                ends_incomplete: self.decoded_bytes < length,
            }));
        }
        let Some(identity) = self.identity else {
            return Ok(None);
        };
        let Ok(size) = usize::try_from(length.min(MAX_JOURNAL_BYTES) - self.decoded_bytes) else {
            return Ok(None);
        };
        let mut bytes = vec![0; size];
        self.file.read_exact_at(&mut bytes, self.decoded_bytes)?;
        let AppendedRecords {
            purges,
            length: decoded,
            is_damaged,
        } = journal::decode_appended(&bytes);
        if is_damaged {
            return Ok(None);
        }
        self.decoded_bytes += decoded as u64;
        self.length = length;
        Ok(Some(JournalRead {
            change: JournalChange::Appended { identity, purges },
            ends_incomplete: self.decoded_bytes < length,
        }))
    }
}

#[cfg(test)]
mod tests;
