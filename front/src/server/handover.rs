//! Handover of the listening socket for clients between two processes of a front, through lock files and small data files in a
//! directory shared by both.
//!
//! The process that accepts clients holds the lock `accept`. The process that holds the lock `alive` keeps it until it ends; another
//! one that acquires it thereby detects that all earlier processes have ended.
//! The operating system releases the locks of a process that ends for any reason, so a lock that is not held proves that its
//! process has ended.
//!
//! The files are small and on an in-memory file system, so the event loop reads and writes them directly.
mod executions;

pub use executions::Announcement;
use executions::{Executions, FILE_PREFIX};

use crate::protocol::handover::{
    cordon_file_name, cordoned_endpoint, decode_learned, encode_learned, MAX_LEARNED_BYTES,
};
use crate::server::file_lock::FileLock;
use cranesill::api::{EndpointId, LearnedHealth, Micros, Timestamp};
use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io::{self, Read};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Learned health older than this is ignored.
const MAX_LEARNED_AGE: Micros = 10_000_000;
/// Maximum number of cordoned endpoints.
pub const MAX_CORDONS: usize = 1_024;
/// Maximum number of files in the directory. With more of them cordons stay unchanged, because ignoring a cordon would return
/// its endpoint to service.
const MAX_FILES: usize = 4 * MAX_CORDONS;
/// Maximum number of files with unknown names that are logged.
const MAX_UNKNOWN_FILES_LOGGED: usize = 4;

/// Names of the files other than cordons.
const KNOWN_FILES: [&str; 3] = ["accept", "alive", "learned"];

/// Whether a file of this name, which is not a cordon, belongs to the handover.
fn is_known_file(name: &str) -> bool {
    KNOWN_FILES.contains(&name) || name.ends_with(".tmp") || name.starts_with(FILE_PREFIX)
}

/// Acquires a lock unless another process holds it. Returns whether this process holds it.
fn try_acquire(lock: &mut FileLock) -> bool {
    lock.try_acquire().unwrap_or_else(|error| {
        // On a file system without locks two processes that accept are better than none.
        tracing::warn!(kind = "upgrade", %error, "file lock not available: assuming that no other process holds it");
        lock.assume_held();
        true
    })
}

/// The shared directory and its locks.
#[derive(Debug)]
pub struct Handover {
    directory: PathBuf,
    accept: FileLock,
    alive: FileLock,
    /// Requests that must not be executed twice.
    pub executions: Executions,
    /// The largest number of files with unknown names seen so far.
    unknown_files: usize,
    /// Whether the failure to read the directory has been logged.
    unreadable_logged: bool,
}

impl Handover {
    /// Opens the directory `cranesill` in `parent`, which is created if it does not exist.
    pub fn new(parent: &Path) -> io::Result<Self> {
        let directory = parent.join("cranesill");
        match fs::DirBuilder::new().mode(0o700).create(&directory) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        let accept = FileLock::open(&directory.join("accept"))?;
        let alive = FileLock::open(&directory.join("alive"))?;
        Ok(Handover {
            executions: Executions::new(&directory),
            directory,
            accept,
            alive,
            unknown_files: 0,
            unreadable_logged: false,
        })
    }

    /// Acquires the right to accept clients unless another process has it. Returns whether this process accepts.
    pub fn try_accept(&mut self) -> bool {
        try_acquire(&mut self.accept)
    }

    /// Whether all earlier processes of this front have ended.
    pub fn is_only_process(&mut self) -> bool {
        try_acquire(&mut self.alive)
    }

    /// Writes the learned health and releases the right to accept clients to another process.
    pub fn hand_over(&mut self, now: Timestamp, learned: &[LearnedHealth]) {
        if !self.accept.is_held() {
            return;
        }
        let temporary = self
            .directory
            .join(format!("learned.{}.tmp", std::process::id()));
        let text = encode_learned(now, learned);
        let text = if text.len() <= MAX_LEARNED_BYTES {
            text
        } else {
            encode_learned(now, &[])
        };
        let written = fs::write(&temporary, text)
            .and_then(|()| fs::rename(&temporary, self.directory.join("learned")));
        if let Err(error) = written {
            // Best effort: a partially written file is useless.
            let _ = fs::remove_file(&temporary);
            tracing::warn!(kind = "upgrade", %error, directory = %self.directory.display(), "cannot write learned health: the next process starts without it");
        }
        if let Err(error) = self.accept.release() {
            tracing::warn!(kind = "upgrade", %error, "cannot release the accept lock: the next process accepts only after this one has ended");
        }
    }

    /// Reads and removes the health learned by an earlier process. Returns nothing if it is too old or not readable.
    pub fn take_learned(&self, now: Timestamp) -> Vec<LearnedHealth> {
        let path = self.directory.join("learned");
        let mut text = Vec::new();
        let opened = File::options()
            .read(true)
            .custom_flags(libc::O_NONBLOCK)
            .open(&path);
        let found =
            opened.and_then(|f| f.take(MAX_LEARNED_BYTES as u64 + 1).read_to_end(&mut text));
        match found {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Vec::new(),
            Err(error) => {
                tracing::warn!(kind = "upgrade", %error, file = %path.display(), "cannot read learned health: starting without it");
                return Vec::new();
            }
            Ok(_) => drop(fs::remove_file(&path)),
        }
        match decode_learned(&text) {
            Ok((at, learned)) if at <= now && now <= at + MAX_LEARNED_AGE => learned,
            Ok((at, _)) => {
                let age_ms = (now as i64 - at as i64) / 1_000;
                let max_age_ms = MAX_LEARNED_AGE / 1_000;
                tracing::info!(
                    kind = "upgrade",
                    age_ms,
                    max_age_ms,
                    "learned health is too old or from the future: ignored"
                );
                Vec::new()
            }
            Err(error) => {
                tracing::warn!(kind = "upgrade", %error, file = %path.display(), "learned health is malformed: ignored");
                Vec::new()
            }
        }
    }

    /// Stores or removes the cordon of an endpoint for all processes of this front.
    pub fn set_cordon(&self, endpoint: EndpointId, cordoned: bool) -> io::Result<()> {
        let path = self.directory.join(cordon_file_name(endpoint));
        if cordoned {
            return File::create(path).map(drop);
        }
        match fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Returns the cordoned endpoints, or `None` if the directory cannot be read, in which case cordons must stay unchanged.
    pub fn cordons(&mut self) -> Option<BTreeSet<EndpointId>> {
        let found = self.read_cordons();
        // The directory is polled ten times a second, so the error is logged only once until a read succeeds.
        if let Some(error) = found.as_ref().err().filter(|_| !self.unreadable_logged) {
            tracing::warn!(kind = "by-hand", %error, directory = %self.directory.display(), "cannot read the shared directory: cordons set in another process are not applied");
        }
        self.unreadable_logged = found.is_err();
        found.ok()
    }

    fn read_cordons(&mut self) -> io::Result<BTreeSet<EndpointId>> {
        let mut cordons = BTreeSet::new();
        let mut unknown = 0;
        for (n, entry) in fs::read_dir(&self.directory)?.enumerate() {
            if n >= MAX_FILES {
                return Err(io::Error::other(format!("more than {MAX_FILES} files")));
            }
            let name = entry?.file_name();
            let name = name.to_string_lossy();
            match cordoned_endpoint(&name) {
                Some(endpoint) => drop(cordons.insert(endpoint)),
                None if is_known_file(&name) => {}
                None => {
                    unknown += 1;
                    if unknown > self.unknown_files && unknown <= MAX_UNKNOWN_FILES_LOGGED {
                        tracing::warn!(kind = "upgrade", file = %name, "unknown file in the shared directory: ignored");
                    }
                }
            }
        }
        self.unknown_files = self.unknown_files.max(unknown);
        Ok(cordons)
    }
}

#[cfg(test)]
mod tests;
