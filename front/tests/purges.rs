//! Purges by operators: a front as a process, and caches that hold old copies.
mod common;
use common::purges::write_empty_journal;
use common::*;
use cranesill_purges::journal::{self, DecodedRecord};
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

/// Copy in a cache: creation time in Unix milliseconds and tags.
#[derive(Clone, Default)]
struct Copy {
    created_ms: u64,
    tags: Option<&'static str>,
}

/// Cache that responds from its copies; a correct one replaces copies older than the requested maximum age.
#[derive(Clone, Default)]
struct Cache {
    copies: Arc<Mutex<HashMap<String, Copy>>>,
    /// Maximum age in milliseconds of each fetch; 0 for none.
    max_ages: Arc<Mutex<Vec<u64>>>,
    ignores_max_age: bool,
    /// Does not answer purge commands.
    ignores_purges: Arc<AtomicBool>,
    /// Log identity of the last batch, and number up to which its purges are applied.
    applied: Arc<Mutex<(u64, u64)>>,
}

impl Cache {
    /// Applies a batch of purges in order.
    fn purge(&self, node: &mut NodeConnection, id: &str, fields: &str, body: &[u8]) {
        let field = |name: &str| {
            fields
                .split(',')
                .find_map(|f| f.strip_prefix(&format!("{name}=")))
                .unwrap()
                .to_string()
        };
        let log_identity = u64::from_str_radix(&field("ledger"), 16).unwrap();
        let (after, upto): (u64, u64) = (
            field("after").parse().unwrap(),
            field("upto").parse().unwrap(),
        );
        let mut applied = self.applied.lock().unwrap();
        if upto > 0 {
            let held = if applied.0 == log_identity {
                applied.1
            } else {
                0
            };
            assert!(
                after <= held,
                "batch after purge {after} sent to a cache at purge {held}"
            );
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
            *applied = (log_identity, held.max(upto));
        }
        let fields = format!("ledger={:016x},upto={}", applied.0, applied.1);
        drop(applied);
        let parts = [id, "DONE", &fields, ""].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        std::io::Write::write_all(
            node.0.get_mut(),
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
                    let mut node = NodeConnection(std::io::BufReader::new(socket));
                    while let Some(strings) = node.receive_raw() {
                        let text = |i: usize| String::from_utf8_lossy(&strings[i]).to_string();
                        match text(0).as_str() {
                            "fetch" => cache.answer(&mut node, &[text(0), text(1), text(2)]),
                            "purge" if cache.ignores_purges.load(Ordering::SeqCst) => {}
                            "purge" => cache.purge(&mut node, &text(1), &text(2), &strings[3]),
                            _ => {}
                        }
                    }
                });
            }
        });
    }

    fn answer(&self, node: &mut NodeConnection, strings: &[String]) {
        let field = |name: &str| {
            strings[2]
                .split(',')
                .find_map(|f| f.strip_prefix(&format!("{name}=")))
                .map(str::to_string)
        };
        let item = field("item").unwrap_or_default();
        let max_age: u64 = field("oldest").map_or(0, |o| o.parse().unwrap());
        self.max_ages.lock().unwrap().push(max_age);
        let mut copies = self.copies.lock().unwrap();
        let copy = copies.entry(item).or_insert(Copy {
            created_ms: unix_ms(),
            tags: None,
        });
        if max_age > 0 && unix_ms() > copy.created_ms + max_age && !self.ignores_max_age {
            copy.created_ms = unix_ms();
        }
        let tags = copy.tags.map_or(String::new(), |t| format!(",tags={t}"));
        let fields = format!(
            "ver=4be0c1927d55a6f3,born={},tell=local{tags}",
            copy.created_ms
        );
        let body = format!("born {}", copy.created_ms);
        drop(copies);
        let parts = [strings[1].as_str(), "HIT", &fields, &body]
            .map(|p| format!("${}\r\n{p}\r\n", p.len()));
        std::io::Write::write_all(
            node.0.get_mut(),
            format!("*4\r\n{}", parts.concat()).as_bytes(),
        )
        .unwrap();
    }
}

struct Fixture {
    folder: tempfile::TempDir,
    cache: Cache,
}

impl Fixture {
    fn new(ignores_max_age: bool, purges_nodes: bool) -> Fixture {
        let fixture = Fixture {
            folder: tempfile::tempdir().unwrap(),
            cache: Cache {
                ignores_max_age,
                ..Cache::default()
            },
        };
        let mut settings = json!({"control": {"path": fixture.path("control")},
                                  "purges": {"file": fixture.path("purges"), "skew_ms": 0, "horizon_s": 3600}});
        if purges_nodes {
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
            // Without a file all objects would count as purged.
            write_empty_journal(&self.path("purges"));
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

    /// Runs `cranesill` with arguments; returns its exit code and output.
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

    fn purge_number(&self, arguments: &[&str]) -> u64 {
        let (code, text) = self.run(arguments);
        assert_eq!(code, 0, "{text}");
        serde_json::from_str::<Value>(&text).unwrap()["number"]
            .as_u64()
            .unwrap()
    }
}

const OBJECT: &str = "7f3a9c21e0b4d655";

/// Requests an object; returns the creation time of the copy, or the frame of another response.
fn request(setup: &TestFront, stream: u32, item: &str) -> Result<u64, String> {
    let mut client = setup.client();
    // Of two fields with the same name the last one counts.
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
        fixture.purge_number(&["purge", "--tag", "vitara", "--id", "photos-1"]),
        1
    );
    let new = request(&setup, 3, OBJECT).unwrap();
    assert!(old < before && new >= before, "{old} {before} {new}");
    assert_eq!(
        request(&setup, 4, other).unwrap(),
        plain,
        "the object without the tag was fetched again"
    );
    let max_ages = fixture.cache.max_ages.lock().unwrap().clone();
    assert_eq!(
        (max_ages[3], max_ages[1]),
        (8_000, 8_000),
        "maximum age differs from that of the class: {max_ages:?}"
    );
    assert!(
        max_ages[2] < 8_000,
        "the purged object was requested without a lower maximum age: {max_ages:?}"
    );
    // A repeated command is the same purge; another target with the same id is rejected.
    assert_eq!(
        fixture.purge_number(&["purge", "--tag", "vitara", "--id", "photos-1"]),
        1
    );
    assert_eq!(
        fixture
            .run(&["purge", "--tag", "swift", "--id", "photos-1"])
            .0,
        1
    );
    assert_eq!(
        fixture.purge_number(&["purge", "--pattern", "page-*/00000000000000a?/*"]),
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
    fixture.purge_number(&["purge", "--object", OBJECT]);
    // All caches return the old copy: the request fails instead.
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
        fixture.purge_number(&["purge", "--tag", "vitara"]);
        let _ = &setup;
        unix_ms()
    };
    {
        let setup = fixture.start();
        // The tags of its objects are unknown after a restart, so the purge applies.
        assert!(request(&setup, 1, OBJECT).unwrap() >= purged - 500);
        fixture.store("00000000000000aa", 3_000, Some("swift"));
        assert_eq!(fixture.purge_number(&["purge", "--group", "7"]), 2);
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
        "an unknown object was served from an older copy"
    );
    assert!(
        fixture.path("purges.damaged").exists(),
        "the damaged file was not kept"
    );
    assert_eq!(
        fixture.purge_number(&["purge", "--group", "7"]),
        3,
        "the log does not continue after the intact purges"
    );
    drop(setup);
    let setup = fixture.start();
    fixture.store("00000000000000bc", 3_000, Some("swift"));
    assert!(
        request(&setup, 4, "00000000000000bc").unwrap() + 2_500 >= begun,
        "a second start lost the purge of all objects"
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
        "the node still has the copy"
    );
    // Once all nodes have confirmed, requests have no lower maximum age, but responses are still checked.
    assert_eq!(fixture.cache.applied.lock().unwrap().1, 1);
    fixture.cache.ignores_purges.store(true, Ordering::SeqCst);
    let (code, text) = fixture.run(&["purge", "--object", OBJECT, "--wait-s", "1"]);
    assert!(
        code == 1 && text.contains("purge 2 is not confirmed by s-00000031"),
        "{text}"
    );
    fixture.cache.ignores_purges.store(false, Ordering::SeqCst);
    // A repeated command waits again, and the lost batch is sent again.
    let (code, text) = fixture.run(&["purge", "--group", "9", "--id", "again", "--wait"]);
    assert!(code == 0 && text.contains("by all boxes"), "{text}");
    let (_, text) = fixture.run(&["purges", "boxes"]);
    assert!(text.contains("\"confirmed\": 3"), "{text}");
    drop(setup);
    // After a restart the node reports its last purge; it would reject a repeated batch.
    let _stage = fixture.start();
    let (code, text) = fixture.run(&["purge", "--group", "8", "--wait"]);
    assert!(code == 0, "{text}");
    assert_eq!(fixture.cache.applied.lock().unwrap().1, 4);
}

/// Starts a front with its own folder that follows the writer on a port.
fn follower(fixture: &Fixture, port: u16, without_contact: &str) -> (Fixture, TestFront) {
    let follower = Fixture {
        folder: tempfile::tempdir().unwrap(),
        cache: fixture.cache.clone(),
    };
    let settings = json!({"control": {"path": follower.path("control")},
                          "purges": {"file": follower.path("purges"), "skew_ms": 0,
                                     "follow": {"address": format!("127.0.0.1:{port}"), "lease_ms": 1000,
                                                "without_contact": without_contact}}});
    std::fs::write(follower.path("daemon.json"), settings.to_string()).unwrap();
    let setup = follower.start();
    (follower, setup)
}

/// Returns a port that is free now.
fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().port()
}

/// Number of the last purge in the log of a front.
fn last_number(fixture: &Fixture) -> u64 {
    let (_, text) = fixture.run(&["purges", "list", "--json"]);
    serde_json::from_str::<Value>(&text).unwrap()["last"]
        .as_u64()
        .unwrap()
}

/// Waits until the last purge in the log of a front has this number.
fn wait_for_number(fixture: &Fixture, number: u64) {
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while last_number(fixture) != number {
        assert!(
            std::time::Instant::now() < deadline,
            "follower at purge {}, expected {number}",
            last_number(fixture)
        );
    }
}

#[test]
fn follower_replicates_the_writer_and_reports_a_lost_connection() {
    let port = free_port();
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
    wait_for_number(&strict, 600);
    wait_for_number(&open, 600);
    let (code, text) = strict.run(&["purge", "--group", "1"]);
    assert!(
        code == 1 && text.contains("send the purge to that front"),
        "{text}"
    );
    // A purge reaches a follower within half a second.
    writer.store(OBJECT, 3_000, Some("vitara"));
    assert_eq!(writer.purge_number(&["purge", "--tag", "vitara"]), 601);
    wait_for_number(&strict, 601);
    let purged = unix_ms();
    assert!(request(&setup, 1, OBJECT).unwrap() >= purged - 500);
    // Without the writer one follower rejects copies older than the lease, the other serves and counts them.
    drop(first);
    wait_for_line(&setup.log, "contact-lost");
    wait_for_line(&loose.log, "contact-lost");
    let other = "00000000000000cc";
    writer.store(other, 3_000, Some("swift"));
    let held = unix_ms() - 3_000;
    // An object without a matching purge, on a front that knows its tags.
    assert!(request(&loose, 2, other).is_ok());
    writer.store(other, 3_000, Some("swift"));
    let served_copy = request(&loose, 4, other).unwrap();
    assert!(
        served_copy <= held + 1_000,
        "the available follower did not serve the copy: {served_copy} of {held}"
    );
    assert!(
        request(&setup, 3, other).unwrap() > held + 1_000,
        "the strict follower served a copy older than the lease"
    );
    let (_, text) = open.run(&["ctl", "status"]);
    assert!(
        serde_json::from_str::<Value>(&text).unwrap()["purges"]["answers_in_doubt"]
            .as_u64()
            .unwrap()
            > 0
    );
    // The writer restarts with its file, so the log identity is the same.
    let _again = writer.start();
    wait_for_line(
        &setup.log,
        "contact with the writer of the purge log restored",
    );
    assert_eq!(writer.purge_number(&["purge", "--group", "3"]), 602);
    wait_for_number(&strict, 602);
    // A restarted follower continues from its file without additional purges.
    drop(setup);
    let setup = strict.start();
    wait_for_number(&strict, 602);
    let _ = setup;
}

// Guards against a purge that a follower has applied and forgets after a restart of its writer and then its own.
#[test]
fn purge_is_obeyed_after_restarts_of_a_writer_without_a_file_and_of_its_follower() {
    let port = free_port();
    let writer = Fixture::new(false, false);
    let settings = json!({"control": {"path": writer.path("control")},
                          "purges": {"skew_ms": 0, "serve": format!("127.0.0.1:{port}")}});
    std::fs::write(writer.path("daemon.json"), settings.to_string()).unwrap();
    let first = writer.start();
    let (follower, front) = follower(&writer, port, "strict");
    assert_eq!(writer.purge_number(&["purge", "--object", OBJECT]), 1);
    let purged_ms = unix_ms();
    wait_for_number(&follower, 1);
    writer.store(OBJECT, 3_000, None);
    // The writer begins a new log, which does not have the purge. The follower has stored that before it is restarted.
    let journal_before = std::fs::read(follower.path("purges")).unwrap();
    drop(first);
    let _again = writer.start();
    wait_for_line(&front.log, "the writer reset the purge log");
    while std::fs::read(follower.path("purges")).unwrap() == journal_before {
        std::thread::yield_now();
    }
    drop(front);
    let front = follower.start();
    let other = "00000000000000cc";
    assert_eq!(writer.purge_number(&["purge", "--object", other]), 1);
    wait_for_number(&follower, 1);
    let created_ms = request(&front, 1, OBJECT).unwrap();
    assert!(
        created_ms >= purged_ms,
        "copy from {} ms before its purge",
        purged_ms - created_ms
    );
}
