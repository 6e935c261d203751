//! What the processes of one front share while a new one takes over from the old: two locks and a few small files in the
//! folder that the platform gives to both.
//!
//! `accept` is locked by the process that accepts clients, `alive` by one that has no earlier process beside it any more.
//! The system lets go of a lock when its process ends, however it ends: what a dead one left is told from a live one by
//! that alone.
//!
//! All of it is tiny and in memory, so it is done on the loop: no call here waits for a disk or another process.
use crate::protocol::shared::{learned, out_member, out_name, read_learned, LEARNED_MOST};
use cranesill::api::{EndpointId, LearnedHealth, Micros, Timestamp};
use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io::{self, Read};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

/// What was learned longer ago than this says nothing of now.
const LEARNED_FRESH: Micros = 10_000_000;
/// Members out by hand at once.
pub const OUT_MOST: usize = 1_024;
/// Files in the folder that are looked at. With more it can't be told who is out, and all stay as they are: what is passed
/// over would come back into use by it.
const FILES_MOST: usize = 4 * OUT_MOST;
/// Files with names of no meaning here that are told of in the log.
const FOREIGN_TOLD: usize = 4;

/// A lock that a process has or waits for.
#[derive(Debug)]
struct Lock {
    file: File,
    held: bool,
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
        Ok(Lock { file, held: false })
    }

    /// Takes it, if nobody has it.
    fn take(&mut self) -> bool {
        if !self.held {
            self.held = match self.file.try_lock() {
                Ok(()) => true,
                Err(TryLockError::WouldBlock) => false,
                // A file system without locks: better two that accept than none.
                Err(TryLockError::Error(error)) => {
                    tracing::warn!(kind = "upgrade", %error, "no locks: taken for free");
                    true
                }
            };
        }
        self.held
    }
}

/// The folder and the locks in it.
#[derive(Debug)]
pub struct Shared {
    folder: PathBuf,
    accept: Lock,
    alive: Lock,
    foreign: usize,
    /// It was told that the folder can't be read.
    unreadable: bool,
}

impl Shared {
    /// Opens the folder, which is made if need be, in `parent`.
    pub fn new(parent: &Path) -> io::Result<Self> {
        let folder = parent.join("cranesill");
        match fs::DirBuilder::new().mode(0o700).create(&folder) {
            Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
            _ => {}
        }
        let (accept, alive) = (
            Lock::new(&folder.join("accept"))?,
            Lock::new(&folder.join("alive"))?,
        );
        Ok(Shared {
            folder,
            accept,
            alive,
            foreign: 0,
            unreadable: false,
        })
    }

    /// Whether this process accepts clients, from now on if not before.
    pub fn accepts(&mut self) -> bool {
        self.accept.take()
    }

    /// Whether no earlier process is left.
    pub fn alone(&mut self) -> bool {
        self.alive.take()
    }

    /// Leaves accepting to another process, with what was learned.
    pub fn hand_over(&mut self, now: Timestamp, members: &[LearnedHealth]) {
        if !self.accept.held {
            return;
        }
        let aside = self
            .folder
            .join(format!("learned.{}.tmp", std::process::id()));
        let text = learned(now, members);
        let text = if text.len() <= LEARNED_MOST {
            text
        } else {
            learned(now, &[])
        };
        let written =
            fs::write(&aside, text).and_then(|()| fs::rename(&aside, self.folder.join("learned")));
        if let Err(error) = written {
            // Best effort: what is half written is of no use to anybody.
            let _ = fs::remove_file(&aside);
            tracing::warn!(kind = "upgrade", %error, "what was learned is not handed over");
        }
        if let Err(error) = self.accept.file.unlock() {
            tracing::warn!(kind = "upgrade", %error, "the next process accepts only once this one has ended");
        }
        self.accept.held = false;
    }

    /// What an earlier process has learned lately. It is read once.
    pub fn learned(&self, now: Timestamp) -> Vec<LearnedHealth> {
        let path = self.folder.join("learned");
        let mut text = Vec::new();
        let opened = File::options()
            .read(true)
            .custom_flags(libc::O_NONBLOCK)
            .open(&path);
        let found = opened.and_then(|f| f.take(LEARNED_MOST as u64 + 1).read_to_end(&mut text));
        match found {
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Vec::new(),
            Err(error) => {
                tracing::warn!(kind = "upgrade", %error, "what was learned can't be read");
                return Vec::new();
            }
            Ok(_) => drop(fs::remove_file(&path)),
        }
        match read_learned(&text) {
            Ok((at, members)) if at <= now && now <= at + LEARNED_FRESH => members,
            Ok(_) => {
                tracing::info!(kind = "upgrade", "what was learned is too old");
                Vec::new()
            }
            Err(error) => {
                tracing::warn!(kind = "upgrade", error, "what was learned is left aside");
                Vec::new()
            }
        }
    }

    /// Notes that a member is out by hand, or no longer, for all processes of this front.
    pub fn set_out(&self, member: EndpointId, out: bool) -> io::Result<()> {
        let path = self.folder.join(out_name(member));
        if out {
            File::create(path).map(drop)
        } else {
            fs::remove_file(path).or_else(|e| {
                if e.kind() == io::ErrorKind::NotFound {
                    Ok(())
                } else {
                    Err(e)
                }
            })
        }
    }

    /// The members that are out by hand; `None`: that can't be told, and all stay as they are.
    pub fn out(&mut self) -> Option<BTreeSet<EndpointId>> {
        let found = self.read_out();
        // It is asked ten times a second: one line tells it.
        if let Some(error) = found.as_ref().err().filter(|_| !self.unreadable) {
            tracing::warn!(kind = "by-hand", %error, "what is shared can't be read: calls to another process are missed");
        }
        self.unreadable = found.is_err();
        found.ok()
    }

    fn read_out(&mut self) -> io::Result<BTreeSet<EndpointId>> {
        let mut out = BTreeSet::new();
        let mut foreign = 0;
        for (n, entry) in fs::read_dir(&self.folder)?.enumerate() {
            if n >= FILES_MOST {
                return Err(io::Error::other("too many files"));
            }
            let name = entry?.file_name();
            let name = name.to_string_lossy();
            match out_member(&name) {
                Some(member) => drop(out.insert(member)),
                None if ["accept", "alive", "learned"].contains(&&*name)
                    || name.ends_with(".tmp") => {}
                None => {
                    foreign += 1;
                    if foreign > self.foreign && foreign <= FOREIGN_TOLD {
                        tracing::warn!(kind = "upgrade", file = %name, "a file of no meaning here");
                    }
                }
            }
        }
        self.foreign = self.foreign.max(foreign);
        Ok(out)
    }
}

#[cfg(test)]
mod tests;
