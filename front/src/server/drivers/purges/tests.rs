//! Tests of the driver with a scripted writer and failing files.
use super::journal_writer::DiskFile;
use super::*;
use crate::protocol::follow::{decode_hello, frame, Frame, Hello, HELLO_BYTES};
use crate::server::drivers::PollerKeys;
use crate::transport::Reactor;
use cranesill_purges::journal::{self, JournalFile, OpenedJournal};
use cranesill_purges::PurgeTarget;
use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const LOG: u64 = 0xfeed;
const SECOND: Timestamp = 1_000_000;
/// Limit for waits; no result depends on its length.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A follower, its poller, and the listener of its writer.
struct TestFollower {
    reactor: Reactor,
    purges: Purges,
    /// Time up to which everything counted as purged when the purge floors were enabled.
    purged_up_to: Option<UnixMillis>,
    /// Times up to which everything counted as purged since then.
    all_purged: Vec<UnixMillis>,
    keys: PollerKeys,
    now: Timestamp,
    writer: TcpListener,
    folder: tempfile::TempDir,
}

impl TestFollower {
    fn new() -> Self {
        TestFollower::with_folder(tempfile::tempdir().unwrap())
    }

    fn with_folder(folder: tempfile::TempDir) -> Self {
        TestFollower::start(folder, SECOND)
    }

    /// Ends the process and starts it again with the same folder.
    fn restart(self) -> Self {
        let TestFollower {
            purges,
            folder,
            now,
            ..
        } = self;
        drop(purges);
        TestFollower::start(folder, now + SECOND)
    }

    fn start(folder: tempfile::TempDir, now: Timestamp) -> Self {
        let writer = TcpListener::bind("127.0.0.1:0").unwrap();
        let follow =
            json!({"address": writer.local_addr().unwrap().to_string(), "lease_ms": 1_000});
        let settings = json!({"file": folder.path().join("purges"), "follow": follow});
        let settings: Settings = serde_json::from_value(settings).unwrap();
        let (reactor, mut keys, mut effects) =
            (Reactor::new().unwrap(), PollerKeys::new(1), Vec::new());
        let mut turn = Turn {
            now,
            behind_ms: 0,
            reactor: &reactor,
            effects: &mut effects,
            keys: &mut keys,
        };
        let purges = Purges::new(&mut turn, &settings, &[], true).unwrap();
        let enabled = effects.iter().find_map(|effect| match effect {
            Effect::Purges(PurgeEffect::Enabled { purged_up_to, .. }) => Some(*purged_up_to),
            _ => None,
        });
        TestFollower {
            reactor,
            purges,
            purged_up_to: enabled.expect("purges are enabled"),
            all_purged: Vec::new(),
            keys,
            now,
            writer,
            folder,
        }
    }

    /// Runs the driver until a condition holds.
    fn until<T>(&mut self, mut condition: impl FnMut(&Purges) -> Option<T>) -> T {
        let deadline = Instant::now() + TEST_TIMEOUT;
        loop {
            let events = self.reactor.wait(0, Some(1_000)).unwrap();
            let mut effects = Vec::new();
            let mut turn = Turn {
                now: self.now,
                behind_ms: 0,
                reactor: &self.reactor,
                effects: &mut effects,
                keys: &mut self.keys,
            };
            for event in events {
                self.purges
                    .ready(&mut turn, event.key, event.readable, event.writable);
            }
            self.purges.due(&mut turn);
            let all_purged = effects.iter().filter_map(|effect| match effect {
                Effect::Purges(PurgeEffect::AllPurged { up_to }) => Some(*up_to),
                _ => None,
            });
            self.all_purged.extend(all_purged);
            if let Some(value) = condition(&self.purges) {
                return value;
            }
            assert!(Instant::now() < deadline, "condition not met in time");
        }
    }

    /// Accepts the follower's next connection and reads its hello.
    fn hello(&mut self) -> (TcpStream, Hello) {
        let writer = self.writer.try_clone().unwrap();
        writer.set_nonblocking(true).unwrap();
        let mut socket = self.until(|_| writer.accept().ok()).0;
        let hello = self.read_exactly::<HELLO_BYTES>(&mut socket);
        (socket, decode_hello(&hello).unwrap().unwrap())
    }

    fn read_exactly<const N: usize>(&mut self, socket: &mut TcpStream) -> [u8; N] {
        socket.set_nonblocking(true).unwrap();
        let (mut buffer, mut filled) = ([0; N], 0);
        self.until(|_| {
            filled += socket.read(&mut buffer[filled..]).unwrap_or(0);
            (filled == N).then_some(buffer)
        })
    }

    /// Whether the follower sends nothing for 200 ms.
    fn is_silent(&mut self, socket: &mut TcpStream) -> bool {
        let end = Instant::now() + Duration::from_millis(200);
        self.until(|_| (Instant::now() > end).then_some(()));
        socket.set_nonblocking(true).unwrap();
        matches!(socket.read(&mut [0; 1]), Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

fn purge(number: u64) -> Purge {
    let (target, id) = (PurgeTarget::Object(number), number.to_string().into());
    Purge {
        number,
        at_ms: 1_000,
        target,
        id,
        who: "ops".into(),
        why: "".into(),
    }
}

/// A batch of the purges `first` to `last`; a heartbeat if the range is empty.
fn batch(first: u64, last: u64) -> Vec<u8> {
    let purges = (first..=last).map(purge).collect();
    frame(&Frame {
        reset: false,
        log_identity: LOG,
        base: 0,
        head: last,
        purges,
    })
}

#[test]
fn a_follower_confirms_only_durable_purges_and_recovers_from_a_disk_failure() {
    let mut follower = TestFollower::new();
    let path = follower.folder.path().join("purges");
    let (mut socket, _) = follower.hello();
    let reset = Frame {
        reset: true,
        log_identity: LOG,
        base: 0,
        head: 0,
        purges: Vec::new(),
    };
    socket.write_all(&frame(&reset)).unwrap();
    socket.write_all(&batch(1, 2)).unwrap();
    assert_eq!(u64::from_le_bytes(follower.read_exactly(&mut socket)), 2);
    // Appending to the journal and rewriting it fail from now on.
    let temporary = path.with_extension("tmp");
    std::fs::create_dir(&temporary).unwrap();
    let stored = std::fs::read(&path).unwrap();
    let full = std::fs::OpenOptions::new()
        .append(true)
        .open("/dev/full")
        .unwrap();
    follower
        .purges
        .journal
        .file()
        .unwrap()
        .lock()
        .unwrap()
        .file_mut()
        .append_handle = Some(full);
    socket.write_all(&batch(3, 3)).unwrap();
    follower.until(|purges| purges.journal_failure.clone());
    assert_eq!(std::fs::read(&path).unwrap(), stored);
    // The purge takes effect, and is not confirmed to the writer since a restart would lose it.
    assert_eq!(follower.purges.log.last_number(), 3);
    follower.now += 2 * SECOND;
    let (mut socket, hello) = follower.hello();
    assert_eq!(
        hello,
        Hello {
            log_identity: LOG,
            last: 2
        }
    );
    socket.write_all(&batch(3, 3)).unwrap();
    assert!(follower.is_silent(&mut socket));
    // The disk works again: the journal is rewritten, and the pending purge is confirmed.
    std::fs::remove_dir(&temporary).unwrap();
    for _ in 0..=SWEEP_INTERVAL / SECOND {
        follower.now += SECOND;
        socket.write_all(&batch(4, 3)).unwrap();
        follower.until(|_| Some(()));
    }
    assert_eq!(u64::from_le_bytes(follower.read_exactly(&mut socket)), 3);
    let mut file = DiskFile::new(path.clone());
    let OpenedJournal::Complete { log, torn_bytes } = journal::open(&mut file).unwrap() else {
        panic!()
    };
    assert_eq!((log.last_number(), torn_bytes), (3, 0));
    socket.write_all(&batch(4, 4)).unwrap();
    assert_eq!(u64::from_le_bytes(follower.read_exactly(&mut socket)), 4);
}

#[test]
fn a_full_disk_does_not_prevent_the_start_and_the_journal_is_rewritten_later() {
    // A truncated, a missing and a damaged journal, each of which has to be rewritten.
    let mut intact = Memory::default();
    journal::rewrite(&mut intact, &PurgeLog::new(LOG)).unwrap();
    journal::append_purge(&mut intact, &purge(1)).unwrap();
    let truncated = intact.0[..intact.0.len() - 1].to_vec();
    let mut damaged = intact.0.clone();
    damaged[30] ^= 1;
    for stored in [Some(truncated), None, Some(damaged)] {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("purges");
        stored
            .iter()
            .for_each(|bytes| std::fs::write(&path, bytes).unwrap());
        let temporary = path.with_extension("tmp");
        std::os::unix::fs::symlink("/dev/full", &temporary).unwrap();
        let mut follower = TestFollower::with_folder(folder);
        assert!(follower.purges.journal_failure.is_some(), "{stored:?}");
        std::fs::remove_file(&temporary).unwrap();
        follower.now += SWEEP_INTERVAL;
        follower.until(|purges| purges.journal_failure.is_none().then_some(()));
        let mut file = DiskFile::new(path);
        let OpenedJournal::Complete { log, torn_bytes } = journal::open(&mut file).unwrap() else {
            panic!()
        };
        assert_eq!((&log, torn_bytes), (&follower.purges.log, 0));
    }
}

fn reset(log_identity: u64) -> Vec<u8> {
    frame(&Frame {
        reset: true,
        log_identity,
        base: 0,
        head: 0,
        purges: Vec::new(),
    })
}

// Guards against a purge that a follower has applied and forgets after a restart of its writer and then its own.
#[test]
fn all_copies_still_count_as_purged_after_a_reset_and_restarts() {
    const NEXT_LOG: u64 = LOG + 1;
    let mut follower = follower_of_empty_log();
    assert_eq!(follower.purged_up_to, None, "nothing is missing yet");
    let (mut socket, hello) = follower.hello();
    assert_eq!((hello.log_identity, hello.last), (LOG, 0));
    socket.write_all(&batch(1, 1)).unwrap();
    assert_eq!(u64::from_le_bytes(follower.read_exactly(&mut socket)), 1);
    // The writer begins a new log, without the purge. The journal is rewritten before the first purge of it is confirmed.
    follower.now += 10 * SECOND;
    let reset_at_ms = unix_ms(follower.now);
    socket.write_all(&reset(NEXT_LOG)).unwrap();
    let purges = vec![purge(1)];
    let next = Frame {
        reset: false,
        log_identity: NEXT_LOG,
        base: 0,
        head: 1,
        purges,
    };
    socket.write_all(&frame(&next)).unwrap();
    assert_eq!(u64::from_le_bytes(follower.read_exactly(&mut socket)), 1);
    for _ in 0..3 {
        follower = follower.restart();
        assert_eq!(follower.purged_up_to, Some(reset_at_ms));
        let (_, hello) = follower.hello();
        assert_eq!((hello.log_identity, hello.last), (NEXT_LOG, 1));
    }
    // Another reset, by a clock that was moved back, does not hide the first one.
    follower.now = 2 * SECOND;
    follower = follower.restart();
    let (mut socket, _) = follower.hello();
    socket.write_all(&reset(NEXT_LOG + 1)).unwrap();
    follower.until(|purges| (purges.log.identity == NEXT_LOG + 1).then_some(()));
    assert_eq!(follower.purges.log.purged_up_to(), reset_at_ms);
}

/// Creates a follower whose journal is that of the empty log [`LOG`].
fn follower_of_empty_log() -> TestFollower {
    let folder = tempfile::tempdir().unwrap();
    let mut file = DiskFile::new(folder.path().join("purges"));
    journal::rewrite(&mut file, &PurgeLog::new(LOG)).unwrap();
    TestFollower::with_folder(folder)
}

// Guards against a purge that the writer accepted while the follower was out of contact, and lost with its log.
#[test]
fn a_reset_counts_everything_as_purged_though_the_log_had_no_purge() {
    let mut follower = follower_of_empty_log();
    // The first contact with the writer of a log of its own, from which nothing is missing.
    let (mut socket, _) = follower.hello();
    socket.write_all(&reset(LOG + 1)).unwrap();
    follower.until(|purges| (purges.log.identity == LOG + 1).then_some(()));
    assert!(follower.all_purged.is_empty());
    follower.now += 10 * SECOND;
    let reset_at_ms = unix_ms(follower.now);
    socket.write_all(&reset(LOG + 2)).unwrap();
    follower.until(|purges| (purges.log.identity == LOG + 2).then_some(()));
    assert_eq!(follower.all_purged, [reset_at_ms]);
    // The same after a restart, which knows of the log only what is on disk.
    follower.until(|purges| {
        (purges.journal.file()?.try_lock().ok()?.read().ok()??.len() > 28).then_some(())
    });
    follower = follower.restart();
    assert_eq!(follower.purged_up_to, Some(reset_at_ms));
    let (mut socket, hello) = follower.hello();
    assert_eq!((hello.log_identity, hello.last), (LOG + 2, 0));
    follower.now += 10 * SECOND;
    let reset_at_ms = unix_ms(follower.now);
    socket.write_all(&reset(LOG + 3)).unwrap();
    follower.until(|purges| (purges.log.identity == LOG + 3).then_some(()));
    assert_eq!(follower.all_purged, [reset_at_ms]);
}

#[test]
fn a_heartbeat_of_the_writer_makes_an_empty_log_one_that_may_lack_purges() {
    let mut follower = follower_of_empty_log();
    let (mut socket, _) = follower.hello();
    socket.write_all(&batch(1, 0)).unwrap();
    socket.write_all(&reset(LOG + 1)).unwrap();
    follower.until(|purges| (purges.log.identity == LOG + 1).then_some(()));
    assert_eq!(follower.all_purged, [unix_ms(follower.now)]);
}

/// A journal in memory.
#[derive(Default)]
struct Memory(Vec<u8>);

impl JournalFile for Memory {
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
