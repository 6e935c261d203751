//! Guards against incompatible changes of the journal format.
use cranesill_purges::journal::{self, JournalFile, OpenedJournal};
use cranesill_purges::{Purge, PurgeTarget};
use std::io;

/// A journal written by version 0.1.0 with identity 0xfeed0123, base 4 and purges 5 to 8, one of each kind.
const VERSION_0_1_0: &[u8] = include_bytes!("data/version-0.1.0.journal");

struct MemoryFile(Vec<u8>);

impl JournalFile for MemoryFile {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(Some(self.0.clone()))
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.extend(bytes);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0 = bytes.to_vec();
        Ok(())
    }
}

#[test]
fn a_journal_of_version_0_1_0_is_read_and_rewritten_byte_for_byte() {
    let mut file = MemoryFile(VERSION_0_1_0.to_vec());
    let OpenedJournal::Complete { log, torn_bytes } = journal::open(&mut file).unwrap() else {
        panic!("the journal cannot be read");
    };
    assert_eq!(torn_bytes, 0);
    assert_eq!((log.identity, log.base()), (0xfeed_0123, 4));
    let targets = [
        PurgeTarget::Object(0xabc),
        PurgeTarget::Group(17),
        PurgeTarget::Tag("vitara".into()),
        PurgeTarget::Pattern("segment/7f*/1".into()),
    ];
    let expected = targets.into_iter().zip(1..).map(|(target, n)| Purge {
        number: 4 + n,
        at_ms: 1_700_000_000_000 + n,
        target,
        id: format!("a-{n}").into(),
        who: "operator".into(),
        why: "new photos".into(),
    });
    assert!(log.iter().cloned().eq(expected));
    let mut written = MemoryFile(Vec::new());
    journal::rewrite(&mut written, &log).unwrap();
    assert_eq!(written.0, VERSION_0_1_0);
}
