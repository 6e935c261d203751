//! Journals of purge logs for tests.
#![allow(dead_code)]
use cranesill_purges::journal::{self, JournalFile};
use cranesill_purges::log::PurgeLog;
use std::io;
use std::path::Path;

struct NewJournal<'a>(&'a Path);

impl JournalFile for NewJournal<'_> {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(None)
    }
    fn append(&mut self, _: &[u8]) -> io::Result<()> {
        Ok(())
    }
    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        std::fs::write(self.0, bytes)
    }
}

/// Writes the journal of an empty log. Without a journal a front counts all objects as purged.
pub fn write_empty_journal(path: &Path) {
    let log = PurgeLog::new(std::process::id().into());
    journal::rewrite(&mut NewJournal(path), &log).unwrap();
}
