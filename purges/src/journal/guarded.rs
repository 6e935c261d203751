//! A journal file that rejects appends after a write error until it is rewritten.
//!
//! The contents after a failed write are unknown, and the operating system reports a failed sync only once: a later
//! successful sync does not imply that data written before the failure is durable.
use super::JournalFile;
use std::io;

/// Wraps a journal file, and rejects appends and syncs after a write error until the file is rewritten.
#[derive(Debug)]
pub struct GuardedFile<F> {
    file: F,
    /// The last write error; cleared when [`JournalFile::replace`] succeeds.
    failure: Option<String>,
}

impl<F: JournalFile> GuardedFile<F> {
    /// Wraps a file that this process has just read or is about to create.
    pub fn new(file: F) -> Self {
        GuardedFile {
            file,
            failure: None,
        }
    }

    /// Returns the wrapped file.
    pub fn file_mut(&mut self) -> &mut F {
        &mut self.file
    }

    fn check_no_failure(&self) -> io::Result<()> {
        match &self.failure {
            Some(cause) => Err(io::Error::other(format!(
                "journal rejects writes until it is rewritten, since an earlier write failed: {cause}"
            ))),
            None => Ok(()),
        }
    }

    fn record_failure(&mut self, result: io::Result<()>) -> io::Result<()> {
        if let Err(error) = &result {
            self.failure = Some(error.to_string());
        }
        result
    }
}

impl<F: JournalFile> JournalFile for GuardedFile<F> {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.file.read()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check_no_failure()?;
        let result = self.file.append(bytes);
        self.record_failure(result)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.check_no_failure()?;
        let result = self.file.sync();
        self.record_failure(result)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let result = self.file.replace(bytes);
        if result.is_ok() {
            self.failure = None;
        }
        self.record_failure(result)
    }
}
