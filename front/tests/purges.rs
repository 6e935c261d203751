//! Stories of purges by operators: a front as a process, caches that hold old copies on purpose.
mod common;
use common::*;
use cranesill_purges::journal::{self, DecodedRecord};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::PurgeTarget;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// What a cache holds: of which age, with which tags.
#[derive(Clone, Default)]
struct Copy {
    created_ms: u64,
    tags: Option<&'static str>,
}

/// A cache that answers from what it holds; an honest one fetches anew what is older than it was asked for.
#[derive(Clone, Default)]
struct Cache {
    copies: Arc<Mutex<HashMap<String, Copy>>>,
    /// `oldest` of each fetch, as it was asked for; 0: not at all.
    asked: Arc<Mutex<Vec<u64>>>,
    ignores_max_age: bool,
    /// Says nothing of purges.
    ignores_purges: Arc<AtomicBool>,
    /// Everything up to this number is carried out: of the ledger in the last batch.
    applied: Arc<Mutex<(u64, u64)>>,
}

impl Cache {
    /// Carries a batch out, in order.
    fn purge(&self, link: &mut NodeConnection, id: &str, fields: &str, body: &[u8]) {
        let field = |name: &str| {
            fields
                .split(',')
                .find_map(|f| f.strip_prefix(&format!("{name}=")))
                .unwrap()
                .to_string()
        };
        let ledger = u64::from_str_radix(&field("ledger"), 16).unwrap();
        let (after, upto): (u64, u64) = (
            field("after").parse().unwrap(),
            field("upto").parse().unwrap(),
        );
        let mut applied = self.applied.lock().unwrap();
        if upto > 0 {
            let held = if applied.0 == ledger { applied.1 } else { 0 };
            assert!(after <= held, "sent {after} to one that has {held}");
            let (mut rest, mut number) = (body, after);
            while let DecodedRecord::Record {
                purge,
                length: used,
            } = journal::decode_record(rest)
            {
                number += 1;
                assert_eq!(purge.number, number);
                rest = &rest[used..];
                self.copies.lock().unwrap().retain(|item, copy| {
                    let tagged = |tag: &str| copy.tags.unwrap_or("").split(';').any(|t| t == tag);
                    let hit = match &purge.target {
                        PurgeTarget::Tag(tag) => tagged(tag),
                        PurgeTarget::Object(object) => *item == format!("{object:016x}"),
                        _ => false,
                    };
                    !hit || copy.created_ms >= purge.at_ms
                });
            }
            assert!(rest.is_empty() && number == upto);
            *applied = (ledger, held.max(upto));
        }
        let fields = format!("ledger={:016x},upto={}", applied.0, applied.1);
        drop(applied);
        let parts = [id, "DONE", &fields, ""].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        std::io::Write::write_all(
            link.0.get_mut(),
            format!("*4\r\n{}", parts.concat()).as_bytes(),
        )
        .unwrap();
    }

    fn serve(&self, listener: &TcpListener) {
        let (cache, listener) = (self.clone(), listener.try_clone().unwrap());
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let cache = cache.clone();
                std::thread::spawn(move || {
                    let mut link = NodeConnection(std::io::BufReader::new(socket));
                    while let Some(words) = link.receive_raw() {
                        let text = |i: usize| String::from_utf8_lossy(&words[i]).to_string();
                        match text(0).as_str() {
                            "fetch" => cache.answer(&mut link, &[text(0), text(1), text(2)]),
                            "purge" if cache.ignores_purges.load(Ordering::SeqCst) => {}
                            "purge" => cache.purge(&mut link, &text(1), &text(2), &words[3]),
                            _ => {}
                        }
                    }
                });
            }
        });
    }

    fn answer(&self, link: &mut NodeConnection, words: &[String]) {
        let field = |name: &str| {
            words[2]
                .split(',')
                .find_map(|f| f.strip_prefix(&format!("{name}=")))
                .map(str::to_string)
        };
        let item = field("item").unwrap_or_default();
        let oldest: u64 = field("oldest").map_or(0, |o| o.parse().unwrap());
        self.asked.lock().unwrap().push(oldest);
        let mut copies = self.copies.lock().unwrap();
        let copy = copies.entry(item).or_insert(Copy {
            created_ms: unix_ms(),
            tags: None,
        });
        if oldest > 0 && unix_ms() > copy.created_ms + oldest && !self.ignores_max_age {
            copy.created_ms = unix_ms();
        }
        let tags = copy.tags.map_or(String::new(), |t| format!(",tags={t}"));
        let fields = format!(
            "ver=4be0c1927d55a6f3,born={},tell=local{tags}",
            copy.created_ms
        );
        let body = format!("born {}", copy.created_ms);
        drop(copies);
        let parts =
            [words[1].as_str(), "HIT", &fields, &body].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        std::io::Write::write_all(
            link.0.get_mut(),
            format!("*4\r\n{}", parts.concat()).as_bytes(),
        )
        .unwrap();
    }
}

/// An empty ledger's file.
struct EmptyJournal(PathBuf);

impl journal::JournalFile for EmptyJournal {
    fn read(&mut self) -> std::io::Result<Option<Vec<u8>>> {
        Ok(None)
    }
    fn append(&mut self, _: &[u8]) -> std::io::Result<()> {
        Ok(())
    }
    fn sync(&mut self) -> std::io::Result<()> {
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        std::fs::write(&self.0, bytes)
    }
}

struct Fixture {
    folder: tempfile::TempDir,
    cache: Cache,
}

impl Fixture {
    fn new(ignores_max_age: bool, boxes: bool) -> Fixture {
        let fixture = Fixture {
            folder: tempfile::tempdir().unwrap(),
            cache: Cache {
                ignores_max_age,
                ..Cache::default()
            },
        };
        let mut settings = json!({"control": {"path": fixture.path("control")},
                                  "purges": {"file": fixture.path("purges"), "skew_ms": 0, "horizon_s": 3600}});
        if boxes {
            settings["purges"]["boxes"] = json!({"kinds": ["origin"], "connections_most": 8});
        }
        std::fs::write(fixture.path("daemon.json"), settings.to_string()).unwrap();
        fixture
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn start(&self) -> TestFront {
        let begin = || {
            let setup = TestFront::with(|_| {}, Some(&self.path("daemon.json")));
            wait_for_line(&setup.log, "control socket");
            setup
        };
        if !self.path("purges").exists() {
            // Without a file everything would count as purged.
            let identity = u64::from(std::process::id());
            journal::rewrite(
                &mut EmptyJournal(self.path("purges")),
                &PurgeLog::new(identity),
            )
            .unwrap();
        }
        let setup = begin();
        setup
            .caches
            .iter()
            .chain([&setup.origin])
            .for_each(|c| self.cache.serve(c));
        setup
    }

    fn store(&self, item: &str, age: u64, tags: Option<&'static str>) {
        self.cache.copies.lock().unwrap().insert(
            item.into(),
            Copy {
                created_ms: unix_ms() - age,
                tags,
            },
        );
    }

    /// `cranesill` with arguments; its exit code and what it printed.
    fn run(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cranesill"));
        let done = command
            .args(arguments)
            .env("CRANESILL_SOCKET", self.path("control"))
            .output()
            .unwrap();
        let text = [done.stdout, done.stderr].concat();
        (
            done.status.code().unwrap(),
            String::from_utf8(text).unwrap(),
        )
    }

    fn number(&self, arguments: &[&str]) -> u64 {
        let (code, text) = self.run(arguments);
        assert_eq!(code, 0, "{text}");
        serde_json::from_str::<Value>(&text).unwrap()["number"]
            .as_u64()
            .unwrap()
    }
}

const OBJECT: &str = "7f3a9c21e0b4d655";

/// What a client is told: the moment that the copy was given out, or the code of another answer.
fn request(setup: &TestFront, stream: u32, item: &str) -> Result<u64, String> {
    let mut client = setup.client();
    // The last field of a name counts.
    client.request(stream, "page-bits", "3000", &[("item", item)], b"");
    let received = client.receive().unwrap();
    received
        .rsplit_once("born ")
        .and_then(|(_, born)| born.parse().ok())
        .ok_or(received)
}

#[test]
fn purge_by_tag_affects_only_objects_with_the_tag() {
    let fixture = Fixture::new(false, false);
    let setup = fixture.start();
    let other = "00000000000000aa";
    fixture.store(OBJECT, 3_000, Some("vitara;blue"));
    fixture.store(other, 3_000, Some("swift"));
    let old = request(&setup, 1, OBJECT).unwrap();
    let plain = request(&setup, 2, other).unwrap();
    let (_, text) = fixture.run(&["purge", "--tag", "vitara", "--dry-run"]);
    assert!(
        text.contains("\"known_objects\": 2") && text.contains("\"matched\": 1"),
        "{text}"
    );
    let before = unix_ms();
    assert_eq!(
        fixture.number(&["purge", "--tag", "vitara", "--id", "photos-1"]),
        1
    );
    let new = request(&setup, 3, OBJECT).unwrap();
    assert!(old < before && new >= before, "{old} {before} {new}");
    assert_eq!(
        request(&setup, 4, other).unwrap(),
        plain,
        "known, and without the tag"
    );
    let asked = fixture.cache.asked.lock().unwrap().clone();
    assert_eq!(
        (asked[3], asked[1]),
        (8_000, 8_000),
        "it is asked for as its class has it: {asked:?}"
    );
    assert!(
        asked[2] < 8_000,
        "the other was asked for something newer: {asked:?}"
    );
    // The same command again is the same purge; another under its id is refused.
    assert_eq!(
        fixture.number(&["purge", "--tag", "vitara", "--id", "photos-1"]),
        1
    );
    assert_eq!(
        fixture
            .run(&["purge", "--tag", "swift", "--id", "photos-1"])
            .0,
        1
    );
    assert_eq!(
        fixture.number(&["purge", "--pattern", "page-*/00000000000000a?/*"]),
        2
    );
    assert!(request(&setup, 5, other).unwrap() >= before);
    for bad in [
        ["--pattern", "*"],
        ["--pattern", "["],
        ["--object", "12"],
        ["--group", "256"],
        ["--tag", "a,b"],
    ] {
        assert_eq!(
            fixture.run(&[&["purge"][..], &bad[..]].concat()).0,
            1,
            "{bad:?}"
        );
    }
    assert_eq!(fixture.run(&["purges", "show", "2"]).0, 0);
    assert_eq!(fixture.run(&["purges", "show", "9"]).0, 3);
}

#[test]
fn older_copy_from_a_faulty_cache_is_rejected() {
    let fixture = Fixture::new(true, false);
    let setup = fixture.start();
    fixture.store(OBJECT, 3_000, Some("vitara"));
    assert!(request(&setup, 1, OBJECT).is_ok());
    fixture.number(&["purge", "--object", OBJECT]);
    // All lie: the request fails, and no old copy is passed on.
    let received = request(&setup, 2, OBJECT).unwrap_err();
    assert!(!received.contains("born"), "{received}");
    let (_, text) = fixture.run(&["ctl", "status"]);
    let status: Value = serde_json::from_str(&text).unwrap();
    assert!(status["purges"]["lies"].as_u64().unwrap() > 0, "{text}");
}

#[test]
fn restart_keeps_purges_and_a_damaged_file_purges_everything() {
    let fixture = Fixture::new(false, false);
    let purged = {
        let setup = fixture.start();
        fixture.store(OBJECT, 3_000, Some("vitara"));
        fixture.number(&["purge", "--tag", "vitara"]);
        let _ = &setup;
        unix_ms()
    };
    {
        let setup = fixture.start();
        // Its tags are not known any more: it counts as matched.
        assert!(request(&setup, 1, OBJECT).unwrap() >= purged - 500);
        fixture.store("00000000000000aa", 3_000, Some("swift"));
        assert_eq!(fixture.number(&["purge", "--group", "7"]), 2);
    }
    let file = fixture.path("purges");
    let mut bytes = std::fs::read(&file).unwrap();
    let at = bytes.len() - 3;
    bytes[at] ^= 0x10;
    std::fs::write(&file, &bytes).unwrap();
    let setup = fixture.start();
    let begun = unix_ms();
    fixture.store("00000000000000bb", 3_000, Some("swift"));
    assert!(
        request(&setup, 2, "00000000000000bb").unwrap() + 5_000 >= begun,
        "what is not known counts as purged"
    );
    assert!(
        fixture.path("purges.damaged").exists(),
        "what was found is kept for a look"
    );
    assert_eq!(
        fixture.number(&["purge", "--group", "7"]),
        3,
        "what stood before is held, then comes everything"
    );
    drop(setup);
    let setup = fixture.start();
    fixture.store("00000000000000bc", 3_000, Some("swift"));
    assert!(
        request(&setup, 4, "00000000000000bc").unwrap() + 2_500 >= begun,
        "a second start does not forget it"
    );
}

#[test]
fn purges_reach_nodes_in_order_and_unconfirmed_nodes_are_named() {
    let fixture = Fixture::new(false, true);
    let setup = fixture.start();
    fixture.store(OBJECT, 3_000, Some("vitara"));
    let (code, text) = fixture.run(&["purge", "--tag", "vitara", "--wait"]);
    assert!(code == 0 && text.contains("by all boxes"), "{text}");
    assert!(
        fixture.cache.copies.lock().unwrap().is_empty(),
        "it is gone from the box"
    );
    // Confirmed by all: nothing newer is asked for any more, and the answer is judged all the same.
    assert_eq!(fixture.cache.applied.lock().unwrap().1, 1);
    fixture.cache.ignores_purges.store(true, Ordering::SeqCst);
    let (code, text) = fixture.run(&["purge", "--object", OBJECT, "--wait-s", "1"]);
    assert!(
        code == 1 && text.contains("purge 2 is not confirmed by s-00000031"),
        "{text}"
    );
    fixture.cache.ignores_purges.store(false, Ordering::SeqCst);
    // The same command waits again, and the batch that was lost is sent again.
    let (code, text) = fixture.run(&["purge", "--group", "9", "--id", "again", "--wait"]);
    assert!(code == 0 && text.contains("by all boxes"), "{text}");
    let (_, text) = fixture.run(&["purges", "boxes"]);
    assert!(text.contains("\"confirmed\": 3"), "{text}");
    drop(setup);
    // After a restart the box reports what it has: nothing is sent twice, which the box itself would tell.
    let _stage = fixture.start();
    let (code, text) = fixture.run(&["purge", "--group", "8", "--wait"]);
    assert!(code == 0, "{text}");
    assert_eq!(fixture.cache.applied.lock().unwrap().1, 4);
}

/// A front that follows the writer at a port, with its own folder.
fn follower(fixture: &Fixture, port: u16, without: &str) -> (Fixture, TestFront) {
    let follower = Fixture {
        folder: tempfile::tempdir().unwrap(),
        cache: fixture.cache.clone(),
    };
    let settings = json!({"control": {"path": follower.path("control")},
                          "purges": {"file": follower.path("purges"), "skew_ms": 0,
                                     "follow": {"address": format!("127.0.0.1:{port}"), "lease_ms": 1000,
                                                "without_contact": without}}});
    std::fs::write(follower.path("daemon.json"), settings.to_string()).unwrap();
    let setup = follower.start();
    (follower, setup)
}

#[test]
fn follower_replicates_the_writer_and_reports_a_lost_connection() {
    let port = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port();
    let writer = Fixture::new(false, false);
    let text = std::fs::read_to_string(writer.path("daemon.json")).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    settings["purges"]["serve"] = format!("127.0.0.1:{port}").into();
    std::fs::write(writer.path("daemon.json"), settings.to_string()).unwrap();
    let first = writer.start();
    (0..600).for_each(|i| {
        // More than two batches.
        let word = json!({"word": "purge", "args": {"group": 1 + i % 200, "id": i.to_string()}});
        use std::io::{BufRead, Write};
        let mut socket = std::os::unix::net::UnixStream::connect(writer.path("control")).unwrap();
        socket.write_all(format!("{word}\n").as_bytes()).unwrap();
        std::io::BufReader::new(socket)
            .read_line(&mut String::new())
            .unwrap();
    });
    let (strict, setup) = follower(&writer, port, "strict");
    let (open, loose) = follower(&writer, port, "available");
    let last = |fixture: &Fixture| {
        let (_, text) = fixture.run(&["purges", "list", "--json"]);
        serde_json::from_str::<Value>(&text).unwrap()["last"]
            .as_u64()
            .unwrap()
    };
    let caught_up = |fixture: &Fixture, number: u64| {
        let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
        while last(fixture) != number {
            assert!(
                std::time::Instant::now() < deadline,
                "{} of {number}",
                last(fixture)
            );
        }
    };
    caught_up(&strict, 600);
    caught_up(&open, 600);
    let (code, text) = strict.run(&["purge", "--group", "1"]);
    assert!(code == 1 && text.contains("purge at its writer"), "{text}");
    // A purge at the writer counts at a follower well within half a second.
    writer.store(OBJECT, 3_000, Some("vitara"));
    assert_eq!(writer.number(&["purge", "--tag", "vitara"]), 601);
    caught_up(&strict, 601);
    let purged = unix_ms();
    assert!(request(&setup, 1, OBJECT).unwrap() >= purged - 500);
    // The writer is gone: one does not serve what is older than the lease, the other goes on and counts.
    drop(first);
    wait_for_line(&setup.log, "contact-lost");
    wait_for_line(&loose.log, "contact-lost");
    let other = "00000000000000cc";
    writer.store(other, 3_000, Some("swift"));
    let held = unix_ms() - 3_000;
    // One that is not under a purge, to a front that knows its tags.
    assert!(request(&loose, 2, other).is_ok());
    writer.store(other, 3_000, Some("swift"));
    let going = request(&loose, 4, other).unwrap();
    assert!(going <= held + 1_000, "it goes on: {going} of {held}");
    assert!(
        request(&setup, 3, other).unwrap() > held + 1_000,
        "it does not"
    );
    let (_, text) = open.run(&["ctl", "status"]);
    assert!(
        serde_json::from_str::<Value>(&text).unwrap()["purges"]["answers_in_doubt"]
            .as_u64()
            .unwrap()
            > 0
    );
    // The writer is back with its file: the same ledger goes on.
    let _again = writer.start();
    wait_for_line(&setup.log, "contact with the ledger again");
    assert_eq!(writer.number(&["purge", "--group", "3"]), 602);
    caught_up(&strict, 602);
    // A follower that restarts goes on from its file, and nothing counts as purged that was not.
    drop(setup);
    let setup = strict.start();
    caught_up(&strict, 602);
    let _ = setup;
}
