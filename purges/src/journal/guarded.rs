//! A journal file that accepts no append after a failure until it is rewritten.
//!
//! What a failed write left behind is not known, and the system reports a failed sync only once: a later sync that
//! succeeds does not mean that what was written before the failure is durable.
use super::JournalFile;
use std::io;

/// A journal file with that rule.
#[derive(Debug)]
pub struct GuardedFile<F> {
    file: F,
    /// The failure because of which nothing may be appended until [`JournalFile::replace`] has succeeded.
    failure: Option<String>,
}

impl<F: JournalFile> GuardedFile<F> {
    /// Guards a file that this process has just read or is about to create.
    pub fn new(file: F) -> Self {
        GuardedFile {
            file,
            failure: None,
        }
    }

    /// The file itself.
    pub fn file_mut(&mut self) -> &mut F {
        &mut self.file
    }

    fn check_no_failure(&self) -> io::Result<()> {
        match &self.failure {
            Some(cause) => Err(io::Error::other(format!(
                "an earlier write failed: {cause}"
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
