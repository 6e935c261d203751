//! Announcements between the processes of a front: each appends to a file of its own which requests it is about to send that must not
//! be executed twice, and reads the files of the others. A process announces a request before it reads the others' files and sends it, so of
//! two processes that are asked at once at least one sees the other's announcement. Files of processes that were killed remain.
//!
//! A record is one byte, 1 for announced or 0 for not executed, and the identifier as 8 bytes, big-endian.
use crate::routing::{ExecutionKey, MAX_IDENTIFIERS};
use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::os::unix::fs::{MetadataExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Prefix of the names of the files.
pub(super) const FILE_PREFIX: &str = "executions.";
const RECORD_BYTES: usize = 9;
const FILE_MODE: u32 = 0o600;
/// Number of records after which a file is replaced by one with the identifiers that are still known.
const MAX_RECORDS: usize = 2 * MAX_IDENTIFIERS;
/// Maximum number of bytes of another process's file that are read at once.
const MAX_READ_BYTES: usize = 2 * MAX_RECORDS * RECORD_BYTES;
/// Maximum number of files of other processes.
const MAX_OTHERS: usize = 16;

/// A record of another process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The identifier of the request.
    pub key: ExecutionKey,
    /// Whether the request was not executed after all.
    pub withdrawn: bool,
}

/// The file of another process, as far as it was read.
#[derive(Debug)]
struct OtherFile {
    file: File,
    partial: Vec<u8>,
}

/// The files of this process and of the others.
#[derive(Debug)]
pub struct Executions {
    directory: PathBuf,
    own_name: OsString,
    /// The own file, from the first announcement on.
    own: Option<File>,
    records: usize,
    others: BTreeMap<OsString, OtherFile>,
    /// Whether the last write failed. Only the first failure in a row is logged.
    is_failing: bool,
}

impl Executions {
    /// Creates the file of this process in the directory.
    pub fn new(directory: &Path) -> Self {
        // The process id alone may have been that of an earlier process whose file remains.
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let started = started.unwrap_or_default().as_micros();
        let own_name = format!("{FILE_PREFIX}{}.{started}", std::process::id());
        let mut executions = Executions {
            directory: directory.to_path_buf(),
            own_name: own_name.into(),
            own: None,
            records: 0,
            others: BTreeMap::new(),
            is_failing: false,
        };
        // Created before this process can accept clients, so that an earlier one finds it.
        let created = executions.open_own().map(drop);
        executions.report(created);
        executions
    }

    fn open_own(&mut self) -> io::Result<&mut File> {
        match self.own {
            Some(ref mut file) => Ok(file),
            None => {
                let file = open_for_appending(&self.directory.join(&self.own_name))?;
                // Held while this process runs, so that no other one takes the file for that of an ended process.
                file.try_lock()?;
                Ok(self.own.insert(file))
            }
        }
    }

    /// Announces that a request is about to be sent. `known` are the identifiers that are still known, for when the file is replaced.
    pub fn announce(&mut self, key: ExecutionKey, known: impl Iterator<Item = ExecutionKey>) {
        if self.records >= MAX_RECORDS {
            let replaced = self.replace(known);
            self.report(replaced);
        }
        let written = self.append(1, key);
        self.report(written);
    }

    /// Announces that a request was not executed.
    pub fn withdraw(&mut self, key: ExecutionKey) {
        let written = self.append(0, key);
        self.report(written);
    }

    fn append(&mut self, kind: u8, key: ExecutionKey) -> io::Result<()> {
        self.records += 1;
        self.open_own()?.write_all(&encode(kind, key))
    }

    /// Replaces the own file atomically.
    fn replace(&mut self, known: impl Iterator<Item = ExecutionKey>) -> io::Result<()> {
        let path = self.directory.join(&self.own_name);
        let temporary = path.with_extension("tmp");
        let bytes: Vec<u8> = known.flat_map(|key| encode(1, key)).collect();
        self.records = bytes.len() / RECORD_BYTES;
        let mut file = open_for_appending(&temporary)?;
        file.try_lock()?;
        file.write_all(&bytes)?;
        fs::rename(&temporary, &path)?;
        self.own = Some(file);
        Ok(())
    }

    fn report(&mut self, result: io::Result<()>) {
        if let Some(error) = result.as_ref().err().filter(|_| !self.is_failing) {
            tracing::warn!(kind = "upgrade", %error, directory = %self.directory.display(), "cannot announce requests that must not be executed twice: an identifier that a client sends again to another process may be executed again");
        }
        self.is_failing = result.is_err();
    }

    /// Reads what other processes have announced since the last call. Files of processes that have started since are found if `scans`.
    pub fn read_others(&mut self, scans: bool) -> Vec<Announcement> {
        if scans {
            // Best effort: a directory that cannot be read is reported when cordons are read.
            let _ = self.scan();
        }
        let mut announced = Vec::new();
        let directory = &self.directory;
        self.others.retain(|name, other| {
            let read = other.read(&directory.join(name), &mut announced);
            // The file was removed, after its process had ended, or cannot be read.
            read.is_ok()
        });
        announced
    }

    fn scan(&mut self) -> io::Result<()> {
        for entry in fs::read_dir(&self.directory)? {
            let name = entry?.file_name();
            let text = name.to_string_lossy();
            let is_other = text.starts_with(FILE_PREFIX)
                && !text.ends_with(".tmp")
                && name != self.own_name
                && !self.others.contains_key(&name);
            if is_other && self.others.len() < MAX_OTHERS {
                let file = open_for_reading(&self.directory.join(&name))?;
                let partial = Vec::new();
                self.others.insert(name, OtherFile { file, partial });
            }
        }
        Ok(())
    }

    /// Removes the files of processes that have ended, after they were read.
    pub fn remove_ended(&mut self) {
        let directory = &self.directory;
        self.others.retain(|name, other| {
            let has_ended = other.file.try_lock().is_ok();
            if has_ended {
                // Best effort: a file that remains is read again by the next process.
                let _ = fs::remove_file(directory.join(name));
            }
            !has_ended
        });
    }
}

impl OtherFile {
    fn read(&mut self, path: &Path, announced: &mut Vec<Announcement>) -> io::Result<()> {
        self.read_rest(announced)?;
        let found = fs::metadata(path)?;
        let open = self.file.metadata()?;
        if (found.dev(), found.ino()) != (open.dev(), open.ino()) {
            // Replaced by a shorter file, which is read from its start.
            self.file = open_for_reading(path)?;
            self.partial.clear();
            self.read_rest(announced)?;
        }
        Ok(())
    }

    fn read_rest(&mut self, announced: &mut Vec<Announcement>) -> io::Result<()> {
        (&self.file)
            .take(MAX_READ_BYTES as u64)
            .read_to_end(&mut self.partial)?;
        let complete = self.partial.len() / RECORD_BYTES * RECORD_BYTES;
        for record in self.partial[..complete].chunks_exact(RECORD_BYTES) {
            let key = record[1..].try_into().map_or(0, u64::from_be_bytes);
            announced.push(Announcement {
                key: ExecutionKey(key),
                withdrawn: record[0] == 0,
            });
        }
        self.partial.drain(..complete);
        Ok(())
    }
}

fn open_for_appending(path: &Path) -> io::Result<File> {
    File::options()
        .create(true)
        .append(true)
        .mode(FILE_MODE)
        .open(path)
}

fn open_for_reading(path: &Path) -> io::Result<File> {
    // O_NONBLOCK: opening must not block if the path is a FIFO.
    File::options()
        .read(true)
        .custom_flags(libc::O_NONBLOCK)
        .open(path)
}

fn encode(kind: u8, key: ExecutionKey) -> [u8; RECORD_BYTES] {
    let mut record = [kind; RECORD_BYTES];
    record[1..].copy_from_slice(&key.0.to_be_bytes());
    record
}

#[cfg(test)]
mod tests;
