//! Handover of the clients' socket from one process of a front to the next: two locks and a few small files in the directory
//! that the platform gives to both.
//!
//! The process that accepts clients holds the lock `accept`; a process without an earlier one beside it holds `alive`. The
//! system releases a lock when its process ends, however it ends: that alone distinguishes a dead process from a live one.
//!
//! The files are tiny and in memory, so they are read and written on the loop: no call waits for a disk or another process.
use crate::protocol::handover::{
    cordon_file_name, cordoned_endpoint, decode_learned, encode_learned, MAX_LEARNED_BYTES,
};
use cranesill::api::{EndpointId, LearnedHealth, Micros, Timestamp};
use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// Learned health that is older than this is not used.
const MAX_LEARNED_AGE: Micros = 10_000_000;
/// Endpoints that can be cordoned at once.
pub const MAX_CORDONS: usize = 1_024;
/// Files in the directory that are read at most. With more, cordons stay as they are: one that is passed over would come back
/// into use.
const MAX_FILES: usize = 4 * MAX_CORDONS;
/// Files with unknown names that are logged.
const MAX_UNKNOWN_FILES_LOGGED: usize = 4;

/// Names of the other files in the directory.
const OWN_FILES: [&str; 3] = ["accept", "alive", "learned"];

/// A file lock that a process holds or waits for.
#[derive(Debug)]
struct Lock {
    file: File,
    is_held: bool,
}

impl Lock {
    fn new(path: &Path) -> io::Result<Self> {
        // Not blocking: what somebody else put there may be a pipe that nobody reads.
        let mut options = File::options();
        options
            .create(true)
            .truncate(false)
            .write(true)
            .custom_flags(libc::O_NONBLOCK);
        let file = options.open(path)?;
        Ok(Lock {
            file,
            is_held: false,
        })
    }

    /// Takes the lock if no other process holds it. Returns whether this process holds it.
    fn try_acquire(&mut self) -> bool {
        if !self.is_held {
            self.is_held = match self.file.try_lock() {
                Ok(()) => true,
                Err(TryLockError::WouldBlock) => false,
                // A file system without locks: better two that accept than none.
                Err(TryLockError::Error(error)) => {
                    tracing::warn!(kind = "upgrade", %error, "no locks: taken for free");
                    true
                }
            };
        }
        self.is_held
    }
}

/// The shared directory and the locks in it.
#[derive(Debug)]
pub struct Handover {
    directory: PathBuf,
    accept: Lock,
    alive: Lock,
    unknown_files: usize,
    /// Whether it was logged that the directory can't be read.
    unreadable_logged: bool,
}

impl Handover {
    /// Opens the directory in `parent`; it is made if need be.
    pub fn new(parent: &Path) -> io::Result<Self> {
        let directory = parent.join("cranesill");
        match fs::DirBuilder::new().mode(0o700).create(&directory) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        let accept = Lock::new(&directory.join("accept"))?;
        let alive = Lock::new(&directory.join("alive"))?;
        Ok(Handover {
            directory,
            accept,
            alive,
            unknown_files: 0,
            unreadable_logged: false,
        })
    }

    /// Takes over accepting clients if no other process does. Returns whether this process accepts.
    pub fn try_accept(&mut self) -> bool {
        self.accept.try_acquire()
    }

    /// Whether no earlier process of this front is left.
    pub fn is_only_process(&mut self) -> bool {
        self.alive.try_acquire()
    }

    /// Leaves accepting to another process, with the health that this one has learned.
    pub fn hand_over(&mut self, now: Timestamp, learned: &[LearnedHealth]) {
        if !self.accept.is_held {
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
            // Best effort: what is half written is of no use to anybody.
            let _ = fs::remove_file(&temporary);
            tracing::warn!(kind = "upgrade", %error, "what was learned is not handed over");
        }
        if let Err(error) = self.accept.file.unlock() {
            tracing::warn!(kind = "upgrade", %error, "the next process accepts only once this one has ended");
        }
        self.accept.is_held = false;
    }

    /// Takes the health that an earlier process has learned recently. It is read once.
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
                tracing::warn!(kind = "upgrade", %error, "what was learned can't be read");
                return Vec::new();
            }
            Ok(_) => drop(fs::remove_file(&path)),
        }
        match decode_learned(&text) {
            Ok((at, learned)) if at <= now && now <= at + MAX_LEARNED_AGE => learned,
            Ok(_) => {
                tracing::info!(kind = "upgrade", "what was learned is too old");
                Vec::new()
            }
            Err(error) => {
                tracing::warn!(kind = "upgrade", %error, "what was learned is left aside");
                Vec::new()
            }
        }
    }

    /// Cordons an endpoint for all processes of this front, or lifts its cordon.
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

    /// Reads which endpoints are cordoned; `None` where that can't be read, and all stay as they are.
    pub fn cordons(&mut self) -> Option<BTreeSet<EndpointId>> {
        let found = self.read_cordons();
        // It is read ten times a second: one line in the log is enough.
        if let Some(error) = found.as_ref().err().filter(|_| !self.unreadable_logged) {
            tracing::warn!(kind = "by-hand", %error, "what is shared can't be read: calls to another process are missed");
        }
        self.unreadable_logged = found.is_err();
        found.ok()
    }

    fn read_cordons(&mut self) -> io::Result<BTreeSet<EndpointId>> {
        let mut cordons = BTreeSet::new();
        let mut unknown = 0;
        for (n, entry) in fs::read_dir(&self.directory)?.enumerate() {
            if n >= MAX_FILES {
                return Err(io::Error::other("too many files"));
            }
            let name = entry?.file_name();
            let name = name.to_string_lossy();
            match cordoned_endpoint(&name) {
                Some(endpoint) => drop(cordons.insert(endpoint)),
                None if OWN_FILES.contains(&&*name) || name.ends_with(".tmp") => {}
                None => {
                    unknown += 1;
                    if unknown > self.unknown_files && unknown <= MAX_UNKNOWN_FILES_LOGGED {
                        tracing::warn!(kind = "upgrade", file = %name, "a file of no meaning here");
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
