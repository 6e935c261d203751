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

fn wall() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// What a cache holds: of which age, with which tags.
#[derive(Clone, Default)]
struct Copy {
    born: u64,
    tags: Option<&'static str>,
}

/// A cache that answers from what it holds; an honest one fetches anew what is older than it was asked for.
#[derive(Clone, Default)]
struct Cache {
    copies: Arc<Mutex<HashMap<String, Copy>>>,
    /// `oldest` of each fetch, as it was asked for; 0: not at all.
    asked: Arc<Mutex<Vec<u64>>>,
    lies: bool,
    /// Says nothing of purges.
    deaf: Arc<AtomicBool>,
    /// Everything up to this number is carried out: of the ledger in the last batch.
    applied: Arc<Mutex<(u64, u64)>>,
}

impl Cache {
    /// Carries a batch out, in order.
    fn purge(&self, link: &mut Link, id: &str, fields: &str, body: &[u8]) {
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
                    !hit || copy.born >= purge.at_ms
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
                    let mut link = Link(std::io::BufReader::new(socket));
                    while let Some(words) = link.hear_raw() {
                        let text = |i: usize| String::from_utf8_lossy(&words[i]).to_string();
                        match text(0).as_str() {
                            "fetch" => cache.answer(&mut link, &[text(0), text(1), text(2)]),
                            "purge" if cache.deaf.load(Ordering::SeqCst) => {}
                            "purge" => cache.purge(&mut link, &text(1), &text(2), &words[3]),
                            _ => {}
                        }
                    }
                });
            }
        });
    }

    fn answer(&self, link: &mut Link, words: &[String]) {
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
            born: wall(),
            tags: None,
        });
        if oldest > 0 && wall() > copy.born + oldest && !self.lies {
            copy.born = wall();
        }
        let tags = copy.tags.map_or(String::new(), |t| format!(",tags={t}"));
        let fields = format!("ver=4be0c1927d55a6f3,born={},tell=local{tags}", copy.born);
        let body = format!("born {}", copy.born);
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
struct Fresh(PathBuf);

impl journal::JournalFile for Fresh {
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

struct Play {
    folder: tempfile::TempDir,
    cache: Cache,
}

impl Play {
    fn new(lies: bool, boxes: bool) -> Play {
        let play = Play {
            folder: tempfile::tempdir().unwrap(),
            cache: Cache {
                lies,
                ..Cache::default()
            },
        };
        let mut settings = json!({"control": {"path": play.path("control")},
                                  "purges": {"file": play.path("purges"), "skew_ms": 0, "horizon_s": 3600}});
        if boxes {
            settings["purges"]["boxes"] = json!({"kinds": ["origin"], "connections_most": 8});
        }
        std::fs::write(play.path("daemon.json"), settings.to_string()).unwrap();
        play
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn start(&self) -> Stage {
        let begin = || {
            let stage = Stage::with(|_| {}, Some(&self.path("daemon.json")));
            until(&stage.log, "control socket");
            stage
        };
        if !self.path("purges").exists() {
            // Without a file everything would count as purged.
            let identity = u64::from(std::process::id());
            journal::rewrite(&mut Fresh(self.path("purges")), &PurgeLog::new(identity)).unwrap();
        }
        let stage = begin();
        stage
            .caches
            .iter()
            .chain([&stage.origin])
            .for_each(|c| self.cache.serve(c));
        stage
    }

    fn hold(&self, item: &str, age: u64, tags: Option<&'static str>) {
        self.cache.copies.lock().unwrap().insert(
            item.into(),
            Copy {
                born: wall() - age,
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

const CAR: &str = "7f3a9c21e0b4d655";

/// What a client is told: the moment that the copy was given out, or the code of another answer.
fn ask(stage: &Stage, stream: u32, item: &str) -> Result<u64, String> {
    let mut client = stage.client();
    // The last field of a name counts.
    client.ask(stream, "page-bits", "3000", &[("item", item)], b"");
    let told = client.hear().unwrap();
    told.rsplit_once("born ")
        .and_then(|(_, born)| born.parse().ok())
        .ok_or(told)
}

#[test]
fn after_a_purge_by_tag_nothing_older_is_served_and_other_objects_are_left_alone() {
    let play = Play::new(false, false);
    let stage = play.start();
    let other = "00000000000000aa";
    play.hold(CAR, 3_000, Some("vitara;blue"));
    play.hold(other, 3_000, Some("swift"));
    let old = ask(&stage, 1, CAR).unwrap();
    let plain = ask(&stage, 2, other).unwrap();
    let (_, text) = play.run(&["purge", "--tag", "vitara", "--dry-run"]);
    assert!(
        text.contains("\"known_objects\": 2") && text.contains("\"matched\": 1"),
        "{text}"
    );
    let before = wall();
    assert_eq!(
        play.number(&["purge", "--tag", "vitara", "--id", "photos-1"]),
        1
    );
    let new = ask(&stage, 3, CAR).unwrap();
    assert!(old < before && new >= before, "{old} {before} {new}");
    assert_eq!(
        ask(&stage, 4, other).unwrap(),
        plain,
        "known, and without the tag"
    );
    let asked = play.cache.asked.lock().unwrap().clone();
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
        play.number(&["purge", "--tag", "vitara", "--id", "photos-1"]),
        1
    );
    assert_eq!(
        play.run(&["purge", "--tag", "swift", "--id", "photos-1"]).0,
        1
    );
    assert_eq!(
        play.number(&["purge", "--pattern", "page-*/00000000000000a?/*"]),
        2
    );
    assert!(ask(&stage, 5, other).unwrap() >= before);
    for bad in [
        ["--pattern", "*"],
        ["--pattern", "["],
        ["--object", "12"],
        ["--group", "256"],
        ["--tag", "a,b"],
    ] {
        assert_eq!(
            play.run(&[&["purge"][..], &bad[..]].concat()).0,
            1,
            "{bad:?}"
        );
    }
    assert_eq!(play.run(&["purges", "show", "2"]).0, 0);
    assert_eq!(play.run(&["purges", "show", "9"]).0, 3);
}

#[test]
fn a_cache_that_says_good_of_an_older_copy_is_not_believed() {
    let play = Play::new(true, false);
    let stage = play.start();
    play.hold(CAR, 3_000, Some("vitara"));
    assert!(ask(&stage, 1, CAR).is_ok());
    play.number(&["purge", "--object", CAR]);
    // All lie: the request fails, and no old copy is passed on.
    let told = ask(&stage, 2, CAR).unwrap_err();
    assert!(!told.contains("born"), "{told}");
    let (_, text) = play.run(&["ctl", "status"]);
    let status: Value = serde_json::from_str(&text).unwrap();
    assert!(status["purges"]["lies"].as_u64().unwrap() > 0, "{text}");
}

#[test]
fn a_restart_keeps_numbers_and_floors_and_a_damaged_file_counts_as_a_purge_of_everything() {
    let play = Play::new(false, false);
    let purged = {
        let stage = play.start();
        play.hold(CAR, 3_000, Some("vitara"));
        play.number(&["purge", "--tag", "vitara"]);
        let _ = &stage;
        wall()
    };
    {
        let stage = play.start();
        // Its tags are not known any more: it counts as matched.
        assert!(ask(&stage, 1, CAR).unwrap() >= purged - 500);
        play.hold("00000000000000aa", 3_000, Some("swift"));
        assert_eq!(play.number(&["purge", "--group", "7"]), 2);
    }
    let file = play.path("purges");
    let mut bytes = std::fs::read(&file).unwrap();
    let at = bytes.len() - 3;
    bytes[at] ^= 0x10;
    std::fs::write(&file, &bytes).unwrap();
    let stage = play.start();
    let begun = wall();
    play.hold("00000000000000bb", 3_000, Some("swift"));
    assert!(
        ask(&stage, 2, "00000000000000bb").unwrap() + 5_000 >= begun,
        "what is not known counts as purged"
    );
    assert!(
        play.path("purges.damaged").exists(),
        "what was found is kept for a look"
    );
    assert_eq!(
        play.number(&["purge", "--group", "7"]),
        3,
        "what stood before is held, then comes everything"
    );
    drop(stage);
    let stage = play.start();
    play.hold("00000000000000bc", 3_000, Some("swift"));
    assert!(
        ask(&stage, 4, "00000000000000bc").unwrap() + 2_500 >= begun,
        "a second start does not forget it"
    );
}

#[test]
fn boxes_are_purged_in_order_and_those_that_did_not_confirm_are_named() {
    let play = Play::new(false, true);
    let stage = play.start();
    play.hold(CAR, 3_000, Some("vitara"));
    let (code, text) = play.run(&["purge", "--tag", "vitara", "--wait"]);
    assert!(code == 0 && text.contains("by all boxes"), "{text}");
    assert!(
        play.cache.copies.lock().unwrap().is_empty(),
        "it is gone from the box"
    );
    // Confirmed by all: nothing newer is asked for any more, and the answer is judged all the same.
    assert_eq!(play.cache.applied.lock().unwrap().1, 1);
    play.cache.deaf.store(true, Ordering::SeqCst);
    let (code, text) = play.run(&["purge", "--object", CAR, "--wait-s", "1"]);
    assert!(
        code == 1 && text.contains("purge 2 is not confirmed by s-00000031"),
        "{text}"
    );
    play.cache.deaf.store(false, Ordering::SeqCst);
    // The same command waits again, and the batch that was lost is sent again.
    let (code, text) = play.run(&["purge", "--group", "9", "--id", "again", "--wait"]);
    assert!(code == 0 && text.contains("by all boxes"), "{text}");
    let (_, text) = play.run(&["purges", "boxes"]);
    assert!(text.contains("\"confirmed\": 3"), "{text}");
    drop(stage);
    // After a restart the box reports what it has: nothing is sent twice, which the box itself would tell.
    let _stage = play.start();
    let (code, text) = play.run(&["purge", "--group", "8", "--wait"]);
    assert!(code == 0, "{text}");
    assert_eq!(play.cache.applied.lock().unwrap().1, 4);
}

/// A front that follows the writer at a port, with its own folder.
fn follower(play: &Play, port: u16, without: &str) -> (Play, Stage) {
    let follower = Play {
        folder: tempfile::tempdir().unwrap(),
        cache: play.cache.clone(),
    };
    let settings = json!({"control": {"path": follower.path("control")},
                          "purges": {"file": follower.path("purges"), "skew_ms": 0,
                                     "follow": {"address": format!("127.0.0.1:{port}"), "lease_ms": 1000,
                                                "without_contact": without}}});
    std::fs::write(follower.path("daemon.json"), settings.to_string()).unwrap();
    let stage = follower.start();
    (follower, stage)
}

#[test]
fn a_follower_has_what_the_writer_has_and_says_when_contact_is_lost() {
    let port = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port();
    let writer = Play::new(false, false);
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
    let (strict, stage) = follower(&writer, port, "strict");
    let (open, loose) = follower(&writer, port, "available");
    let last = |play: &Play| {
        let (_, text) = play.run(&["purges", "list", "--json"]);
        serde_json::from_str::<Value>(&text).unwrap()["last"]
            .as_u64()
            .unwrap()
    };
    let caught_up = |play: &Play, number: u64| {
        let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
        while last(play) != number {
            assert!(
                std::time::Instant::now() < deadline,
                "{} of {number}",
                last(play)
            );
        }
    };
    caught_up(&strict, 600);
    caught_up(&open, 600);
    let (code, text) = strict.run(&["purge", "--group", "1"]);
    assert!(
        code == 1 && text.contains("send the purge to that front"),
        "{text}"
    );
    // A purge at the writer counts at a follower well within half a second.
    writer.hold(CAR, 3_000, Some("vitara"));
    assert_eq!(writer.number(&["purge", "--tag", "vitara"]), 601);
    caught_up(&strict, 601);
    let purged = wall();
    assert!(ask(&stage, 1, CAR).unwrap() >= purged - 500);
    // The writer is gone: one does not serve what is older than the lease, the other goes on and counts.
    drop(first);
    until(&stage.log, "contact-lost");
    until(&loose.log, "contact-lost");
    let other = "00000000000000cc";
    writer.hold(other, 3_000, Some("swift"));
    let held = wall() - 3_000;
    // One that is not under a purge, to a front that knows its tags.
    assert!(ask(&loose, 2, other).is_ok());
    writer.hold(other, 3_000, Some("swift"));
    let going = ask(&loose, 4, other).unwrap();
    assert!(going <= held + 1_000, "it goes on: {going} of {held}");
    assert!(ask(&stage, 3, other).unwrap() > held + 1_000, "it does not");
    let (_, text) = open.run(&["ctl", "status"]);
    assert!(
        serde_json::from_str::<Value>(&text).unwrap()["purges"]["answers_in_doubt"]
            .as_u64()
            .unwrap()
            > 0
    );
    // The writer is back with its file: the same ledger goes on.
    let _again = writer.start();
    until(
        &stage.log,
        "contact with the writer of the purge log restored",
    );
    assert_eq!(writer.number(&["purge", "--group", "3"]), 602);
    caught_up(&strict, 602);
    // A follower that restarts goes on from its file, and nothing counts as purged that was not.
    drop(stage);
    let stage = strict.start();
    caught_up(&strict, 602);
    let _ = stage;
}
