use super::record::decode_payload;
use super::*;
use crate::log::{Command, Prepared};
use crate::PurgeTarget;

#[derive(Default)]
struct MemoryFile {
    durable: Option<Vec<u8>>,
    written: Vec<u8>,
    disk_full: bool,
    /// Syncs fail and lose unsynced bytes, like an operating system that drops dirty pages after a write error.
    sync_fails: bool,
}

impl JournalFile for MemoryFile {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.durable.clone())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.disk_full {
            // A write to a full disk may be partial.
            self.written.extend(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.written.extend(bytes);
        Ok(())
    }
    fn sync(&mut self) -> io::Result<()> {
        if self.sync_fails {
            self.written = self.durable.clone().unwrap_or_default();
            return Err(io::Error::from_raw_os_error(5));
        }
        self.durable = Some(self.written.clone());
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.disk_full || self.sync_fails {
            return Err(io::ErrorKind::StorageFull.into());
        }
        (self.durable, self.written) = (Some(bytes.to_vec()), bytes.to_vec());
        Ok(())
    }
}

fn journal_with_purges(n: u64) -> (MemoryFile, PurgeLog) {
    let (mut file, mut log) = (MemoryFile::default(), PurgeLog::new(0xfeed));
    rewrite(&mut file, &log).unwrap();
    for i in 0..n {
        let target = match i % 4 {
            0 => PurgeTarget::Object(i),
            1 => PurgeTarget::Group(i as u32),
            2 => PurgeTarget::Tag(format!("tag-{i}").into()),
            _ => PurgeTarget::Pattern(format!("car-*/{i:x}*").into()),
        };
        let id = i.to_string().into();
        let command = Command {
            target,
            id,
            who: "ops".into(),
            why: "new photos".into(),
            all: false,
        };
        let Ok(Prepared::New(purge)) = log.prepare(1_000 + i, &command) else {
            panic!()
        };
        append_purge(&mut file, &purge).unwrap();
        log.append(0xfeed, purge).unwrap();
    }
    (file, log)
}

#[test]
fn a_journal_truncated_at_any_byte_yields_exactly_its_complete_records() {
    let (file, log) = journal_with_purges(20);
    let bytes = file.durable.unwrap();
    let ends: Vec<usize> = (0..=20)
        .map(|n| {
            HEADER_BYTES
                + log
                    .iter()
                    .take(n)
                    .map(|p| encode_record(p).len())
                    .sum::<usize>()
        })
        .collect();
    for cut in HEADER_BYTES..=bytes.len() {
        let mut file = MemoryFile {
            durable: Some(bytes[..cut].to_vec()),
            ..MemoryFile::default()
        };
        let OpenedJournal::Complete {
            log: found,
            torn_bytes,
        } = open(&mut file).unwrap()
        else {
            panic!("cut at {cut}")
        };
        let kept = ends.iter().rposition(|end| *end <= cut).unwrap();
        assert_eq!(
            (found.last_number(), torn_bytes),
            (kept as u64, cut - ends[kept]),
            "cut at {cut}"
        );
        assert!(found.iter().eq(log.iter().take(kept)));
    }
}

#[test]
fn a_flipped_bit_is_detected_at_every_offset() {
    let (file, log) = journal_with_purges(8);
    let bytes = file.durable.unwrap();
    for at in 0..bytes.len() {
        for bit in [0, 5] {
            let mut corrupted = bytes.clone();
            corrupted[at] ^= 1 << bit;
            let mut file = MemoryFile {
                durable: Some(corrupted),
                ..MemoryFile::default()
            };
            match open(&mut file).unwrap() {
                OpenedJournal::Damaged {
                    log: found,
                    offset: found_offset,
                } => {
                    let found = found.map_or(0, |l| l.last_number());
                    assert!(
                        found < log.last_number() && found_offset <= at,
                        "bit {bit} at {at}"
                    );
                }
                OpenedJournal::NewerVersion => assert_eq!(at, 7),
                // A length beyond the end of the file is indistinguishable from an incomplete last record.
                OpenedJournal::Complete {
                    log: found,
                    torn_bytes,
                } => assert!(torn_bytes > 0 && found.last_number() < 8, "{at}"),
                OpenedJournal::Missing => panic!(),
            }
        }
    }
}

#[test]
fn records_written_before_the_disk_was_full_stay_readable() {
    let (mut file, log) = journal_with_purges(3);
    file.disk_full = true;
    let command = Command {
        target: PurgeTarget::Object(1),
        id: "x".into(),
        who: "".into(),
        why: "".into(),
        all: false,
    };
    let Ok(Prepared::New(purge)) = log.prepare(9_000, &command) else {
        panic!()
    };
    assert!(append_purge(&mut file, &purge).is_err());
    file.durable = Some(file.written.clone());
    let OpenedJournal::Complete {
        log: found,
        torn_bytes,
    } = open(&mut file).unwrap()
    else {
        panic!()
    };
    assert_eq!((found, torn_bytes > 0), (log, true));
}

#[test]
fn compaction_keeps_purge_numbers_and_corrupted_records_never_panic() {
    let (mut file, mut log) = journal_with_purges(20);
    log.compact(15, 5_000);
    rewrite(&mut file, &log).unwrap();
    let OpenedJournal::Complete { log: found, .. } = open(&mut file).unwrap() else {
        panic!()
    };
    assert_eq!((found.base(), found.last_number()), (15, 20));
    let mut newer = MemoryFile {
        durable: Some([b"CRPURGE2".to_vec(), vec![0; 40]].concat()),
        ..MemoryFile::default()
    };
    assert_eq!(open(&mut newer).unwrap(), OpenedJournal::NewerVersion);
    let bytes = encode_record(log.get(20).unwrap());
    let mut rng = 1u64;
    for _ in 0..50_000 {
        let mut corrupted = bytes.clone();
        for _ in 0..3 {
            rng = rng
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let at = (rng >> 33) as usize % corrupted.len();
            corrupted[at] = (rng >> 20) as u8;
        }
        let _ = (
            decode_record(&corrupted),
            decode_payload(&corrupted),
            decode_payload(&corrupted[8..]),
        );
    }
}

#[test]
fn appends_fail_after_a_failed_write_or_sync_until_the_journal_is_rewritten() {
    for sync_fails in [false, true] {
        let (mut memory, mut log) = journal_with_purges(3);
        (memory.disk_full, memory.sync_fails) = (!sync_fails, sync_fails);
        let mut file = GuardedFile::new(memory);
        let purge = |log: &PurgeLog, id: &str| {
            let target = PurgeTarget::Object(1);
            let command = Command {
                target,
                id: id.into(),
                who: "".into(),
                why: "".into(),
                all: false,
            };
            let Ok(Prepared::New(purge)) = log.prepare(9_000, &command) else {
                panic!()
            };
            purge
        };
        let first = purge(&log, "x");
        assert!(append_purges(&mut file, std::slice::from_ref(&first)).is_err());
        log.append(0xfeed, first).unwrap();
        // After the disk has recovered, an append would store a record after a gap.
        (file.file_mut().disk_full, file.file_mut().sync_fails) = (false, false);
        let second = purge(&log, "y");
        assert!(
            append_purges(&mut file, std::slice::from_ref(&second)).is_err(),
            "sync_fails: {sync_fails}"
        );
        log.append(0xfeed, second).unwrap();
        rewrite(&mut file, &log).unwrap();
        let third = purge(&log, "z");
        append_purge(&mut file, &third).unwrap();
        log.append(0xfeed, third).unwrap();
        let OpenedJournal::Complete {
            log: found,
            torn_bytes,
        } = open(&mut file).unwrap()
        else {
            panic!()
        };
        assert_eq!((found, torn_bytes), (log, 0));
    }
}

// Guards against a restart that takes a log for complete although purges are missing from it.
#[test]
fn the_time_up_to_which_purges_may_be_missing_outlives_restarts_and_compaction() {
    let (mut file, mut log) = journal_with_purges(6);
    for up_to in [5_000, 9_000, 7_000] {
        log.record_missing(up_to);
        log.compact(3, 2_000);
        rewrite(&mut file, &log).unwrap();
        let OpenedJournal::Complete { log: found, .. } = open(&mut file).unwrap() else {
            panic!()
        };
        assert_eq!(found, log);
    }
    assert_eq!(log.purged_up_to(), 9_000, "the latest");
    let bytes = file.durable.unwrap();
    let note_bytes = encode_record(&missing_purges(&log).unwrap()).len();
    for at in HEADER_BYTES..HEADER_BYTES + note_bytes {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 1;
        let mut file = MemoryFile {
            durable: Some(corrupted),
            ..MemoryFile::default()
        };
        match open(&mut file).unwrap() {
            OpenedJournal::Damaged { .. } => {}
            // A length beyond the end of the file is indistinguishable from an incomplete last record, as of any record.
            OpenedJournal::Complete { torn_bytes, .. } => {
                assert!(torn_bytes >= note_bytes && at < HEADER_BYTES + 4, "at {at}");
            }
            other => panic!("at {at}: {other:?}"),
        }
    }
}

/// The journal of an empty log with the identity 0xfeed, as written before there was a note on missing purges.
const JOURNAL_WITHOUT_NOTE: [u8; HEADER_BYTES] = [
    0x43, 0x52, 0x50, 0x55, 0x52, 0x47, 0x45, 0x31, 0xed, 0xfe, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0,
    0, 0, 0x41, 0x1f, 0x09, 0x54,
];

#[test]
fn journals_without_a_note_on_missing_purges_are_read_and_written_as_before() {
    let mut file = MemoryFile {
        durable: Some(JOURNAL_WITHOUT_NOTE.to_vec()),
        ..MemoryFile::default()
    };
    let OpenedJournal::Complete { log, torn_bytes: 0 } = open(&mut file).unwrap() else {
        panic!()
    };
    assert_eq!(log, PurgeLog::new(0xfeed));
    rewrite(&mut file, &log).unwrap();
    assert_eq!(file.durable.as_deref(), Some(&JOURNAL_WITHOUT_NOTE[..]));
}
