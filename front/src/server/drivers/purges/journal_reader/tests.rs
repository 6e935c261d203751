use super::*;
use cranesill_purges::log::PurgeLog;
use cranesill_purges::PurgeTarget;
use std::io::Write;

const LOG: u64 = 7;

fn purge(number: u64) -> Purge {
    Purge {
        number,
        at_ms: number,
        target: PurgeTarget::Object(number),
        id: format!("id-{number}").into(),
        who: "operator".into(),
        why: "".into(),
    }
}

/// The file of a journal with the purges 1 to `last`.
fn journal_file(last: u64) -> Vec<u8> {
    let mut log = PurgeLog::new(LOG);
    for number in 1..=last {
        log.append(LOG, purge(number)).unwrap();
    }
    struct Encoded(Vec<u8>);
    impl journal::JournalFile for Encoded {
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
            self.0 = bytes.to_vec();
            Ok(())
        }
    }
    let mut encoded = Encoded(Vec::new());
    journal::rewrite(&mut encoded, &log).unwrap();
    encoded.0
}

#[test]
fn appended_records_are_read_once_whichever_bytes_have_arrived() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    let mut reader = JournalReader::new(&path);
    let missing = reader.read_changes().unwrap();
    assert_eq!(
        missing,
        JournalRead::replaced(OpenedJournal::Missing, false)
    );
    std::fs::write(&path, journal_file(1)).unwrap();
    let first = reader.read_changes().unwrap().change;
    assert!(
        matches!(first, JournalChange::Replaced(OpenedJournal::Complete { log, .. }) if log.last_number() == 1)
    );
    let appended = journal_file(3)[journal_file(1).len()..].to_vec();
    let mut received = Vec::new();
    for (index, byte) in appended.iter().enumerate() {
        let mut file = File::options().append(true).open(&path).unwrap();
        file.write_all(&[*byte]).unwrap();
        let read = reader.read_changes().unwrap();
        if let JournalChange::Appended { identity, purges } = read.change {
            assert_eq!(identity, LOG);
            received.extend(purges);
        }
        let is_complete = [1, 2].contains(&received.len()) && !read.ends_incomplete;
        assert_eq!(is_complete, !read.ends_incomplete, "byte {index}");
    }
    assert_eq!(received, [purge(2), purge(3)]);
    let unchanged = reader.read_changes().unwrap();
    assert_eq!(unchanged.change, JournalChange::Unchanged);
    assert!(!unchanged.ends_incomplete);
}

#[test]
fn a_replaced_or_damaged_file_is_read_as_a_whole() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    std::fs::write(&path, journal_file(2)).unwrap();
    let mut reader = JournalReader::new(&path);
    reader.read_changes().unwrap();
    // Another file of the same length.
    let other = folder.path().join("other");
    std::fs::write(&other, journal_file(2)).unwrap();
    std::fs::rename(&other, &path).unwrap();
    let replaced = reader.read_changes().unwrap().change;
    assert!(matches!(
        replaced,
        JournalChange::Replaced(OpenedJournal::Complete { .. })
    ));
    let mut file = File::options().append(true).open(&path).unwrap();
    file.write_all(&[0xff; 64]).unwrap();
    let damaged = reader.read_changes().unwrap().change;
    assert!(matches!(
        damaged,
        JournalChange::Replaced(OpenedJournal::Damaged { .. })
    ));
    assert_eq!(
        reader.read_changes().unwrap().change,
        JournalChange::Unchanged
    );
    std::fs::remove_file(&path).unwrap();
    let missing = reader.read_changes().unwrap().change;
    assert_eq!(missing, JournalChange::Replaced(OpenedJournal::Missing));
}
