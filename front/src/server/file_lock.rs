//! Advisory lock on a file, by which processes agree on which of them owns a resource. The operating system releases the lock when
//! its process ends for any reason, so a lock that is not held proves that its owner has ended or has given the resource up.
use std::fs::{File, TryLockError};
use std::io;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// File mode of a new lock file.
const LOCK_MODE: u32 = 0o600;

/// A lock file, and whether this process holds its lock.
#[derive(Debug)]
pub struct FileLock {
    file: File,
    is_held: bool,
}

impl FileLock {
    /// Opens the lock file, which is created if it does not exist, without acquiring the lock.
    pub fn open(path: &Path) -> io::Result<Self> {
        // O_NONBLOCK: opening must not block if the path is a FIFO without a reader.
        let mut options = File::options();
        options
            .create(true)
            .truncate(false)
            .write(true)
            .mode(LOCK_MODE)
            .custom_flags(libc::O_NONBLOCK);
        let file = options.open(path)?;
        Ok(FileLock {
            file,
            is_held: false,
        })
    }

    /// Acquires the lock unless another process holds it. Returns whether this process holds it. An error means that locks are not
    /// available on this file system.
    pub fn try_acquire(&mut self) -> io::Result<bool> {
        if !self.is_held {
            self.is_held = match self.file.try_lock() {
                Ok(()) => true,
                Err(TryLockError::WouldBlock) => false,
                Err(TryLockError::Error(error)) => return Err(error),
            };
        }
        Ok(self.is_held)
    }

    /// Releases the lock if this process holds it. After an error the system releases it when the process ends.
    pub fn release(&mut self) -> io::Result<()> {
        if !std::mem::take(&mut self.is_held) {
            return Ok(());
        }
        self.file.unlock()
    }

    /// Treats the lock as held, for callers that go on where locks are not available.
    pub fn assume_held(&mut self) {
        self.is_held = true;
    }

    /// Whether this process holds the lock.
    pub fn is_held(&self) -> bool {
        self.is_held
    }

    /// Returns the lock file.
    pub fn file(&self) -> &File {
        &self.file
    }
}
