//! Ownership of state on disk that several processes share, such as a journal: at most one process writes it at any time. The owner
//! holds a lock on a file beside the state, which the operating system releases when the owner ends.
use crate::server::file_lock::FileLock;
use std::ffi::OsString;
use std::io::{self, Read};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Maximum size of the owner's process id in the lock file.
const MAX_OWNER_BYTES: u64 = 16;

/// The right to write shared state.
#[derive(Debug)]
pub struct Ownership {
    lock_path: PathBuf,
    /// The lock file, once it could be opened.
    lock: Option<FileLock>,
}

impl Ownership {
    /// Refers to the ownership of a file. The lock file has the same name with the suffix `.lock`.
    pub fn of_file(path: &Path) -> Self {
        let mut lock_path = OsString::from(path);
        lock_path.push(".lock");
        Ownership {
            lock_path: lock_path.into(),
            lock: None,
        }
    }

    /// Returns the path of the lock file.
    pub fn lock_path(&self) -> &Path {
        &self.lock_path
    }

    /// Acquires the ownership unless another process has it. Returns whether this process is the owner.
    pub fn try_acquire(&mut self) -> io::Result<bool> {
        let lock = match &mut self.lock {
            Some(lock) => lock,
            None => self.lock.insert(FileLock::open(&self.lock_path)?),
        };
        if lock.is_held() {
            return Ok(true);
        }
        if !lock.try_acquire()? {
            return Ok(false);
        }
        write_owner(lock);
        Ok(true)
    }

    /// Gives up the ownership if this process has it. The caller has completed all writes.
    pub fn release(&mut self) {
        // After a failure to unlock, closing the file releases the lock.
        if self
            .lock
            .as_mut()
            .is_some_and(|lock| lock.release().is_err())
        {
            self.lock = None;
        }
    }

    /// Describes the owner for error messages.
    pub fn owner(&self) -> String {
        let mut text = String::new();
        let file = std::fs::File::open(&self.lock_path);
        let read = file.and_then(|file| file.take(MAX_OWNER_BYTES).read_to_string(&mut text));
        let pid = read.ok().and_then(|_| text.trim().parse::<u32>().ok());
        pid.map_or_else(
            || "another process".to_string(),
            |pid| format!("process {pid}"),
        )
    }
}

/// Writes the id of this process to the lock file. Best effort, since the id only serves messages.
fn write_owner(lock: &FileLock) {
    let text = format!("{}\n", std::process::id());
    let file = lock.file();
    let _ = file
        .set_len(0)
        .and_then(|()| file.write_all_at(text.as_bytes(), 0));
}

#[cfg(test)]
mod tests;
