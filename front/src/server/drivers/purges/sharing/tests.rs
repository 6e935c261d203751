//! Two processes with one journal, as two drivers.
use super::*;
use crate::protocol::follow::{decode_hello, frame, Frame, HELLO_BYTES};
use crate::server::drivers::{AdminEffect, Driver, Effect, PollerKeys, PurgeEffect};
use crate::transport::Reactor;
use cranesill_daemon::Purges as Settings;
use cranesill_purges::journal::{self, OpenedJournal};
use cranesill_purges::{Purge, PurgeTarget, UnixMillis};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

const SECOND: Timestamp = 1_000_000;
const WRITER_LOG: u64 = 0xfeed;
/// Limit for waits; no result depends on its length.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The driver of one process, and what it has sent to the rest of the front.
struct TestProcess {
    reactor: Reactor,
    keys: PollerKeys,
    purges: Purges,
    now: Timestamp,
    obeyed: Vec<Box<str>>,
    all_purged: Vec<UnixMillis>,
    responses: Vec<Result<Value, String>>,
}

impl TestProcess {
    fn start(folder: &Path, accepts_clients: bool, more: &Value) -> Self {
        let mut settings = json!({"file": folder.join("purges")});
        let more = more.as_object().cloned().unwrap_or_default();
        settings.as_object_mut().unwrap().extend(more);
        let settings: Settings = serde_json::from_value(settings).unwrap();
        let (reactor, mut keys, mut effects) =
            (Reactor::new().unwrap(), PollerKeys::new(1), Vec::new());
        let mut turn = Turn {
            now: SECOND,
            behind_ms: 0,
            reactor: &reactor,
            effects: &mut effects,
            keys: &mut keys,
        };
        let purges = Purges::new(&mut turn, &settings, &[], accepts_clients).unwrap();
        TestProcess {
            reactor,
            keys,
            purges,
            now: SECOND,
            obeyed: Vec::new(),
            all_purged: Vec::new(),
            responses: Vec::new(),
        }
    }

    fn with_turn(&mut self, call: impl FnOnce(&mut Purges, &mut Turn<'_>)) {
        let mut effects = Vec::new();
        let mut turn = Turn {
            now: self.now,
            behind_ms: 0,
            reactor: &self.reactor,
            effects: &mut effects,
            keys: &mut self.keys,
        };
        call(&mut self.purges, &mut turn);
        for effect in effects {
            match effect {
                Effect::Purges(PurgeEffect::Purged(purges)) => {
                    self.obeyed.extend(purges.into_iter().map(|purge| purge.id));
                }
                Effect::Purges(PurgeEffect::AllPurged { up_to }) => self.all_purged.push(up_to),
                Effect::Admin(AdminEffect::Response { result, .. }) => self.responses.push(result),
                _ => {}
            }
        }
    }

    fn send(&mut self, change: ProcessEffect) {
        self.with_turn(|purges, turn| purges.handle_effect(turn, &Effect::Process(change)));
    }

    fn begin_purge(&mut self, id: &str) {
        let arguments = json!({"object": "00000000000000aa", "id": id});
        self.with_turn(|purges, turn| purges.handle_command(turn, 1, "purge", &arguments));
    }

    /// Runs the driver once, without waiting.
    fn run(&mut self) {
        self.now += POLL_INTERVAL;
        let events = self.reactor.wait(0, Some(1_000)).unwrap();
        self.with_turn(|purges, turn| {
            for event in events {
                purges.ready(turn, event.key, event.readable, event.writable);
            }
            purges.due(turn);
        });
    }

    fn until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < deadline, "not {what} in time");
            self.run();
        }
    }

    fn purge(&mut self, id: &str) -> Result<u64, String> {
        self.begin_purge(id);
        self.until("answered", |process| !process.responses.is_empty());
        let response = self.responses.pop().unwrap();
        response.map(|value| value["number"].as_u64().unwrap())
    }

    fn is_writer(&self) -> bool {
        self.purges.sharing.is_writer()
    }

    fn obeys(&self, id: &str) -> bool {
        self.obeyed.iter().any(|obeyed| **obeyed == *id)
    }
}

fn stored_ids(folder: &Path) -> Vec<String> {
    match journal::decode(&std::fs::read(folder.join("purges")).unwrap()) {
        OpenedJournal::Complete { log, torn_bytes: 0 } => {
            log.iter().map(|purge| purge.id.to_string()).collect()
        }
        other => panic!("the journal is not intact: {other:?}"),
    }
}

#[test]
fn the_next_process_obeys_the_purges_of_the_writer_and_continues_its_log() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = TestProcess::start(folder.path(), true, &json!({}));
    let first = old.purge("first").unwrap();
    let mut next = TestProcess::start(folder.path(), false, &json!({}));
    old.purge("second").unwrap();
    next.until("obeyed", |next| next.obeys("second"));
    let rejected = next.purge("third").unwrap_err();
    assert!(rejected.contains("writes the purge log"), "{rejected}");
    // Without clients it does not become the writer, even if the journal is free.
    old.send(ProcessEffect::ShutsDown);
    let rejected = old.purge("third").unwrap_err();
    assert!(rejected.contains("shutting down"), "{rejected}");
    for _ in 0..20 {
        next.run();
    }
    assert!(!next.is_writer());
    next.send(ProcessEffect::TakesOver);
    assert!(
        !next.purges.may_accept_clients(),
        "the journal was not read yet"
    );
    next.until("the writer", TestProcess::is_writer);
    assert!(next.purges.may_accept_clients());
    assert_eq!(next.purge("third"), Ok(first + 2));
    old.until("obeyed", |old| old.obeys("third"));
    assert!(old.all_purged.is_empty() && next.all_purged.is_empty());
    drop((old, next));
    assert_eq!(stored_ids(folder.path())[1..], ["first", "second", "third"]);
}

#[test]
fn a_process_that_shuts_down_keeps_the_journal_until_its_write_is_complete() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = TestProcess::start(folder.path(), true, &json!({}));
    old.begin_purge("last");
    old.begin_purge("queued");
    old.send(ProcessEffect::ShutsDown);
    let mut ownership = Ownership::of_file(&folder.path().join("purges"));
    assert!(!ownership.try_acquire().unwrap(), "released during a write");
    old.until("answered", |old| old.responses.len() == 2);
    let accepted: Vec<bool> = old.responses.iter().map(Result::is_ok).collect();
    assert_eq!(accepted, [true, false], "the queued purge is rejected");
    assert!(ownership.try_acquire().unwrap());
    assert!(stored_ids(folder.path()).contains(&"last".to_string()));
}

#[test]
fn clients_do_not_wait_long_for_a_slow_read_and_get_no_old_copies() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = TestProcess::start(folder.path(), true, &json!({}));
    let mut next = TestProcess::start(folder.path(), false, &json!({}));
    old.purge("first").unwrap();
    drop(old);
    next.send(ProcessEffect::TakesOver);
    // The result of the read is not collected.
    next.now += MAX_CATCH_UP_TIME - 1;
    next.with_turn(|purges, turn| purges.due(turn));
    assert!(!next.purges.may_accept_clients() && next.all_purged.is_empty());
    next.now += 1;
    next.with_turn(|purges, turn| purges.due(turn));
    assert!(next.purges.may_accept_clients());
    assert_eq!(next.all_purged, [next.now / 1_000]);
    next.until("the writer", TestProcess::is_writer);
    assert!(next.obeys("first"));
}

#[test]
fn a_record_that_a_killed_owner_left_incomplete_is_removed() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = TestProcess::start(folder.path(), true, &json!({}));
    let mut next = TestProcess::start(folder.path(), false, &json!({}));
    let last = old.purge("first").unwrap();
    drop(old);
    let path = folder.path().join("purges");
    let mut file = std::fs::File::options().append(true).open(&path).unwrap();
    file.write_all(&[40, 0, 0, 0, 1, 2]).unwrap();
    next.send(ProcessEffect::TakesOver);
    assert_eq!(next.purge("early").is_ok(), next.is_writer());
    next.until("the writer", TestProcess::is_writer);
    assert_eq!(next.purge("second"), Ok(last + 1));
    drop(next);
    assert_eq!(stored_ids(folder.path())[1..], ["first", "second"]);
}

#[test]
fn a_journal_that_is_lost_or_damaged_at_a_takeover_counts_everything_as_purged() {
    for lost in [true, false] {
        let folder = tempfile::tempdir().unwrap();
        let mut old = TestProcess::start(folder.path(), true, &json!({}));
        let mut next = TestProcess::start(folder.path(), false, &json!({}));
        old.purge("first").unwrap();
        drop(old);
        let path = folder.path().join("purges");
        if lost {
            std::fs::remove_file(&path).unwrap();
        } else {
            let mut bytes = std::fs::read(&path).unwrap();
            let middle = bytes.len() - 3;
            bytes[middle] ^= 0xff;
            std::fs::write(&path, bytes).unwrap();
        }
        next.send(ProcessEffect::TakesOver);
        next.until("the writer", TestProcess::is_writer);
        assert!(!next.all_purged.is_empty(), "lost: {lost}");
        next.purge("second").unwrap();
        assert_eq!(folder.path().join("purges.damaged").exists(), !lost);
        drop(next);
        assert!(stored_ids(folder.path()).contains(&"second".to_string()));
    }
}

#[test]
fn an_owner_that_rewrites_the_journal_is_followed() {
    let folder = tempfile::tempdir().unwrap();
    let mut old = TestProcess::start(folder.path(), true, &json!({}));
    let mut next = TestProcess::start(folder.path(), false, &json!({}));
    old.purge("first").unwrap();
    next.until("obeyed", |next| next.obeys("first"));
    // As after a reset by a writer that this front follows.
    old.purges.log.record_missing(77);
    old.with_turn(|purges, turn| purges.rewrite_journal(turn));
    next.until("purged", |next| !next.all_purged.is_empty());
    assert_eq!(next.all_purged, [77]);
    old.until("written", |old| {
        old.purges.journal.writes_in_progress() == 0
    });
    old.purge("second").unwrap();
    next.until("obeyed", |next| next.obeys("second"));
    assert_eq!(next.obeyed.iter().filter(|id| ***id == *"first").count(), 1);
}

/// Accepts a follower's connection, answers its hello with a reset, and sends one purge.
fn serve_follower(process: &mut TestProcess, writer: &TcpListener, purge: &Purge) -> TcpStream {
    let mut accepted = None;
    let deadline = Instant::now() + TEST_TIMEOUT;
    while accepted.is_none() {
        assert!(Instant::now() < deadline, "no connection in time");
        process.run();
        accepted = writer.accept().ok();
    }
    let (mut socket, _) = accepted.unwrap();
    socket.set_nonblocking(false).unwrap();
    socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    process.run();
    let mut hello = [0; HELLO_BYTES];
    socket.read_exact(&mut hello).unwrap();
    let known_log = decode_hello(&hello).unwrap().unwrap().log_identity;
    let batch = |reset: bool, purges: Vec<Purge>| {
        frame(&Frame {
            reset,
            log_identity: WRITER_LOG,
            base: 0,
            head: 1,
            purges,
        })
    };
    if known_log != WRITER_LOG {
        socket.write_all(&batch(true, Vec::new())).unwrap();
    }
    socket
        .write_all(&batch(false, vec![purge.clone()]))
        .unwrap();
    socket
}

#[test]
fn two_followers_with_one_journal_do_not_both_write_it() {
    let folder = tempfile::tempdir().unwrap();
    let writer = TcpListener::bind("127.0.0.1:0").unwrap();
    writer.set_nonblocking(true).unwrap();
    let address = writer.local_addr().unwrap().to_string();
    let follow = json!({"follow": {"address": address, "lease_ms": 1_000}});
    let purge = Purge {
        number: 1,
        at_ms: 900,
        target: PurgeTarget::Object(1),
        id: "first".into(),
        who: "operator".into(),
        why: "".into(),
    };
    let mut old = TestProcess::start(folder.path(), true, &follow);
    let mut next = TestProcess::start(folder.path(), false, &follow);
    let to_old = serve_follower(&mut old, &writer, &purge);
    old.until("obeyed", |old| old.obeys("first"));
    old.until("written", |old| {
        old.purges.journal.writes_in_progress() == 0
    });
    let to_next = serve_follower(&mut next, &writer, &purge);
    next.until("obeyed", |next| next.obeys("first"));
    next.until("written", |next| {
        next.purges.journal.writes_in_progress() == 0
    });
    assert_eq!(stored_ids(folder.path()), ["first"]);
    old.send(ProcessEffect::ShutsDown);
    next.send(ProcessEffect::TakesOver);
    next.until("the writer", TestProcess::is_writer);
    next.until("written", |next| {
        next.purges.journal.writes_in_progress() == 0
    });
    drop((old, next, to_old, to_next));
    assert_eq!(stored_ids(folder.path()), ["first"]);
}

#[test]
fn without_a_journal_purges_are_accepted_once_no_earlier_process_is_left() {
    let folder = tempfile::tempdir().unwrap();
    let mut next = TestProcess::start(folder.path(), false, &json!({"file": null}));
    assert!(next.purge("early").is_err());
    next.send(ProcessEffect::TakesOver);
    assert_eq!(next.all_purged, [next.now / 1_000]);
    assert!(
        next.purge("early").is_err(),
        "the earlier process could not obey it"
    );
    next.send(ProcessEffect::PredecessorEnded);
    assert!(next.purge("late").is_ok());
}

#[test]
fn a_follower_does_not_wait_for_a_journal_that_it_does_not_take_over() {
    let folder = tempfile::tempdir().unwrap();
    let follow = json!({"follow": {"address": "127.0.0.1:9", "lease_ms": 1_000}});
    let old = TestProcess::start(folder.path(), true, &follow);
    let mut next = TestProcess::start(folder.path(), false, &follow);
    next.send(ProcessEffect::TakesOver);
    assert!(next.purges.may_accept_clients());
    for _ in 0..10 {
        next.run();
    }
    assert!(next.all_purged.is_empty() && !next.is_writer());
    drop(old);
    next.until("the writer", TestProcess::is_writer);
}
