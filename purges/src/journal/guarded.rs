//! A file that is not written to after a failure until it is written anew.
//!
//! What a failed write left is not known, and the system reports a failed sync once: a later sync that succeeds does not mean
//! that what was written before it is durable.
use super::JournalFile;
use std::io;

/// A file with that rule.
#[derive(Debug)]
pub struct GuardedFile<F> {
    file: F,
    /// Why nothing may be appended until [`File::replace`] has succeeded.
    failure: Option<String>,
}

impl<F: JournalFile> GuardedFile<F> {
    /// A file that was read, or is to be made, by this process.
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

    fn check(&self) -> io::Result<()> {
        match &self.failure {
            Some(why) => Err(io::Error::other(format!("an earlier write failed: {why}"))),
            None => Ok(()),
        }
    }

    fn noted(&mut self, done: io::Result<()>) -> io::Result<()> {
        if let Err(error) = &done {
            self.failure = Some(error.to_string());
        }
        done
    }
}

impl<F: JournalFile> JournalFile for GuardedFile<F> {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        self.file.read()
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.check()?;
        let done = self.file.append(bytes);
        self.noted(done)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.check()?;
        let done = self.file.sync();
        self.noted(done)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let done = self.file.replace(bytes);
        if done.is_ok() {
            self.failure = None;
        }
        self.noted(done)
    }
}
