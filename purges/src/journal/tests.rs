use super::record::decode_payload;
use super::*;
use crate::log::{Command, Prepared};
use crate::PurgeTarget;

#[derive(Default)]
struct Memory {
    kept: Option<Vec<u8>>,
    live: Vec<u8>,
    full: bool,
    /// Whether syncs fail; unsynced bytes are lost, as the system drops pages that it could not write.
    unsynced: bool,
}

impl JournalFile for Memory {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        Ok(self.kept.clone())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.full {
            // As on a full disk, a part is written.
            self.live.extend(&bytes[..bytes.len() / 2]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.live.extend(bytes);
        Ok(())
    }
    fn sync(&mut self) -> io::Result<()> {
        if self.unsynced {
            self.live = self.kept.clone().unwrap_or_default();
            return Err(io::Error::from_raw_os_error(5));
        }
        self.kept = Some(self.live.clone());
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        if self.full || self.unsynced {
            return Err(io::ErrorKind::StorageFull.into());
        }
        (self.kept, self.live) = (Some(bytes.to_vec()), bytes.to_vec());
        Ok(())
    }
}

fn filled(n: u64) -> (Memory, PurgeLog) {
    let (mut file, mut log) = (Memory::default(), PurgeLog::new(0xfeed));
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
fn durable_records_are_read_after_a_cut_at_any_byte_and_no_more() {
    let (file, log) = filled(20);
    let whole = file.kept.unwrap();
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
    for cut in HEADER_BYTES..=whole.len() {
        let mut file = Memory {
            kept: Some(whole[..cut].to_vec()),
            ..Memory::default()
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
fn a_flipped_bit_is_found_wherever_it_is() {
    let (file, log) = filled(8);
    let whole = file.kept.unwrap();
    for at in 0..whole.len() {
        for bit in [0, 5] {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            let mut file = Memory {
                kept: Some(bytes),
                ..Memory::default()
            };
            match open(&mut file).unwrap() {
                OpenedJournal::Damaged {
                    log: found,
                    offset: found_at,
                } => {
                    let found = found.map_or(0, |l| l.last_number());
                    assert!(
                        found < log.last_number() && found_at <= at,
                        "bit {bit} at {at}"
                    );
                }
                OpenedJournal::NewerVersion => assert_eq!(at, 7),
                // A length that grew past the end looks like a record that was cut off: nobody was notified of it.
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
fn a_full_disk_leaves_earlier_records_readable() {
    let (mut file, log) = filled(3);
    file.full = true;
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
    file.kept = Some(file.live.clone());
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
fn compaction_keeps_numbers_and_odd_bytes_never_panic() {
    let (mut file, mut log) = filled(20);
    log.compact(15, 5_000);
    rewrite(&mut file, &log).unwrap();
    let OpenedJournal::Complete { log: found, .. } = open(&mut file).unwrap() else {
        panic!()
    };
    assert_eq!((found.base(), found.last_number()), (15, 20));
    let mut newer = Memory {
        kept: Some([b"CRPURGE2".to_vec(), vec![0; 40]].concat()),
        ..Memory::default()
    };
    assert_eq!(open(&mut newer).unwrap(), OpenedJournal::NewerVersion);
    let bytes = encode_record(log.get(20).unwrap());
    let mut rng = 1u64;
    for _ in 0..50_000 {
        let mut odd = bytes.clone();
        for _ in 0..3 {
            rng = rng
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let at = (rng >> 33) as usize % odd.len();
            odd[at] = (rng >> 20) as u8;
        }
        let _ = (
            decode_record(&odd),
            decode_payload(&odd),
            decode_payload(&odd[8..]),
        );
    }
}

#[test]
fn after_a_failed_write_or_sync_nothing_counts_as_durable_until_the_journal_is_rewritten() {
    for unsynced in [false, true] {
        let (mut memory, mut log) = filled(3);
        (memory.full, memory.unsynced) = (!unsynced, unsynced);
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
        // The disk works again: a batch that follows would be stored behind a gap.
        (file.file_mut().full, file.file_mut().unsynced) = (false, false);
        let second = purge(&log, "y");
        assert!(
            append_purges(&mut file, std::slice::from_ref(&second)).is_err(),
            "unsynced: {unsynced}"
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
