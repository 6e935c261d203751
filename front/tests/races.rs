//! Two events that cross, each crossing forced: a scripted peer holds a byte, an answer or an end back until the other event
//! is seen to have happened, or the front is stopped while both come. `docs/design/races.md` lists the pairs.
mod common;
use common::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Enough for the program to see on loopback what was sent before; nothing is told from it alone.
const SEEN: Duration = Duration::from_millis(300);

/// Whether nothing comes on a connection within a while, nor its end.
fn is_silent(link: &mut Link) -> bool {
    link.0.get_ref().set_read_timeout(Some(SEEN)).unwrap();
    let read = link.0.read(&mut [0; 1]);
    matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Whether no command ever comes on a connection that the front has begun; its end may come.
fn is_unused(link: &mut Link) -> bool {
    link.0.get_ref().set_read_timeout(Some(SEEN)).unwrap();
    !matches!(link.0.read(&mut [0; 1]), Ok(n) if n > 0)
}

/// Writes the same again and again until the front ends that connection or it is let go.
struct Flood(Arc<AtomicBool>, std::thread::JoinHandle<bool>);

impl Flood {
    fn new(mut stream: TcpStream, bytes: Vec<u8>) -> Self {
        let over = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&over);
        let writes = move || loop {
            if stream.write_all(&bytes).is_err() {
                return true;
            }
            if told.load(Ordering::Relaxed) {
                return false;
            }
        };
        Flood(over, std::thread::spawn(writes))
    }

    /// Ends it. Whether the front had ended the connection.
    fn end(self) -> bool {
        self.0.store(true, Ordering::Relaxed);
        self.1.join().unwrap()
    }
}

fn answer(id: &str, body: &str) -> String {
    let parts = [id, "HIT", "ver=4be0c1927d55a6f3,born=1764576000123", body];
    format!("*4\r\n{}", parts.map(|p| format!("${}\r\n{p}\r\n", p.len())).concat())
}

fn with_one_cache(config: &mut serde_json::Value) {
    config["known"]["events"][0]["members"]["instances"].as_array_mut().unwrap().remove(1);
}

/// Late connections are waited for, so that it shows what becomes of them.
fn patient(config: &mut serde_json::Value) {
    config["settings"]["policyLimits"]["connectTimeout"] = 10_000_000.into();
    config["settings"]["familyInfo"]["purgeGrace"] = 10_000_000.into();
}

#[test]
fn a_copy_is_called_current_only_by_a_node_that_names_the_clients_own() {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    // It holds another copy than the one that is named; it holds none; it writes.
    for (n, class, fields) in
        [(1, "page-bits", &[("have", "aaaa")][..]), (2, "page-bits", &[]), (3, "book-car", &[])]
    {
        client.ask(n, class, "5000", fields, b"");
        let (_, mut first) = any_link(&stage);
        let fetch = first.hear().unwrap();
        first.say(&fetch[1], "VALID", "-", "");
        if class == "page-bits" {
            let (_, mut other) = any_link(&stage);
            let fetch = other.hear().unwrap();
            other.say(&fetch[1], "HIT", "-", "whole");
            assert!(client.hear().unwrap().ends_with("whole"));
        } else {
            // It may have run: nobody is told that it did.
            assert!(client.hear().unwrap().starts_with("type 11 stream 3: \\x03"));
        }
    }
}

#[test]
fn the_key_of_a_request_is_passed_on_with_each_of_its_attempts() {
    let stage = Stage::new(|config| {
        let class = &mut config["settings"]["classes"][2];
        class["semantics"] = "token".into();
        class["group"] = "all".into();
    });
    let mut client = stage.client();
    client.ask(1, "book-car", "3000", &[("unique", "09c73d25ce9e55c8f6f6fd00cb6a8bae")], b"keys");
    let named = |fetch: &[String]| fetch[2].split(',').any(|f| f == "nonce=09c73d25ce9e55c8f6f6fd00cb6a8bae");
    let mut origin = link(&stage.origin);
    let first = origin.hear().unwrap();
    drop(origin);
    let mut origin = link(&stage.origin);
    let second = origin.hear().unwrap();
    assert!(named(&first) && named(&second), "{first:?} {second:?}");
    origin.say(&second[1], "HIT", "-", "booked");
    assert!(client.hear().unwrap().ends_with("booked"));
}

#[test]
fn a_node_that_answers_without_end_is_cut_off_and_holds_up_nobody() {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    client.ask(1, "page-bits", "30000", &[], b"");
    let (_, mut first) = any_link(&stage);
    first.hear().unwrap();
    let flood = Flood::new(first.0.into_inner(), answer("00000000000000ff", "not asked for").repeat(2_000).into());
    // Its request is moved, though it never stops.
    let (_, mut other) = any_link(&stage);
    let fetch = other.hear().unwrap();
    other.say(&fetch[1], "HIT", "-", "whole");
    assert!(client.hear().unwrap().ends_with("whole"));
    assert!(flood.end(), "the front has ended it");
}

#[test]
fn a_list_service_that_tells_without_end_holds_up_no_client() {
    let stage = Stage::new(|_| {});
    let (stream, _) = feed(&stage.feed);
    let flood = Flood::new(stream, event(1, 0, b"").repeat(20_000));
    for n in 1..=20 {
        assert!(stage.readiness().unwrap().starts_with("type 21"), "{n}");
    }
    assert!(!flood.end(), "what it says is whole: it is heard");
}

#[test]
fn a_connection_with_the_rest_of_an_answer_to_come_is_not_used_again() {
    let stage = Stage::new(with_one_cache);
    let mut client = stage.client();
    client.ask(1, "page-bits", "5000", &[], b"");
    let mut first = link(&stage.caches[0]);
    let fetch = first.hear().unwrap();
    // The answer, and half of one that nobody asked for: what is asked next would wait behind it.
    let half = answer("00000000000000ff", "not asked for");
    let whole = answer(&fetch[1], "whole");
    first.0.get_mut().write_all(&[whole.as_bytes(), &half.as_bytes()[..40]].concat()).unwrap();
    assert!(client.hear().unwrap().ends_with("whole"));
    client.ask(2, "book-car", "5000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    origin.0.get_mut().write_all(&[answer(&fetch[1], "booked").as_bytes(), &half.as_bytes()[..5]].concat()).unwrap();
    assert!(client.hear().unwrap().ends_with("booked"));
    client.ask(3, "book-car", "5000", &[], b"keys");
    let mut fresh = link(&stage.origin);
    let fetch = fresh.hear().unwrap();
    fresh.say(&fetch[1], "HIT", "-", "booked again");
    assert!(client.hear().unwrap().ends_with("booked again"));
}

/// A booking arrives in the turn in which the connection that it would go out on is closed by its other side.
fn booked_as_it_closes(closes_first: bool) {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    client.ask(1, "book-car", "5000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    origin.say(&fetch[1], "HIT", "-", "booked");
    assert!(client.hear().unwrap().ends_with("booked"));
    stage.while_stopped(|| {
        let mut origin = Some(origin);
        if closes_first {
            drop(origin.take());
        }
        client.ask(2, "book-car", "5000", &[], b"keys");
        drop(origin);
    });
    let mut fresh = link(&stage.origin);
    let fetch = fresh.hear().unwrap();
    fresh.say(&fetch[1], "HIT", "-", "booked too");
    assert!(client.hear().unwrap().ends_with("booked too"));
}

#[test]
fn a_booking_is_not_written_into_a_connection_that_its_other_side_has_closed() {
    booked_as_it_closes(true);
    booked_as_it_closes(false);
}

#[test]
fn a_repeat_whose_connection_comes_up_after_its_window_is_not_written() {
    let stage = Stage::new(|config| {
        let class = &mut config["settings"]["classes"][2];
        class["semantics"] = "token".into();
        class["group"] = "all".into();
        class["memorySpan"] = 600_000.into();
        patient(config);
    });
    let mut client = stage.client();
    client.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    origin.hear().unwrap();
    // It may have run: it may go out again within 0.6 s, and no later. The connection for that comes up after about 1 s.
    let filler = fill_up(&stage.origin);
    drop(origin);
    assert!(client.hear().unwrap().starts_with("type 11 stream 1: \\x02"), "nodes know repeats: no harm in one of the client's");
    drop(stage.origin.accept().unwrap());
    drop(filler);
    assert!(is_unused(&mut link(&stage.origin)), "its window is over");
}

#[test]
fn a_request_whose_client_leaves_during_the_dial_is_not_sent_on() {
    for leaves in ["says so", "closes", "resets"] {
        let stage = Stage::new(patient);
        let mut client = stage.client();
        let filler = fill_up(&stage.origin);
        client.ask(1, "book-car", "20000", &[], b"keys");
        // It is taken once a later word on the same connection is answered.
        client.send(20, 2, &[0]);
        assert!(client.hear().unwrap().starts_with("type 21"));
        match leaves {
            "says so" => client.send(12, 1, b""),
            "closes" => drop(client),
            _ => {
                socket2::SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).unwrap();
                drop(client);
            }
        }
        // Whoever asks later is answered later: by then it was heard of.
        assert!(stage.readiness().unwrap().starts_with("type 21"));
        drop(stage.origin.accept().unwrap());
        drop(filler);
        assert!(is_unused(&mut link(&stage.origin)), "{leaves}");
    }
}

#[test]
fn hundreds_that_reset_at_once_while_they_wait_are_not_sent_on() {
    let stage = Stage::new(|config| {
        patient(config);
        config["limits"]["sockets"] = 1_024.into();
    });
    let filler = fill_up(&stage.origin);
    let mut all = Vec::new();
    for n in 1..=300 {
        let mut client = stage.client();
        client.ask(n, "book-car", "20000", &[], b"keys");
        client.send(20, n + 1_000, &[0]);
        assert!(client.hear().unwrap().starts_with("type 21"));
        socket2::SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).unwrap();
        all.push(client);
    }
    stage.while_stopped(|| drop(all));
    assert!(stage.readiness().unwrap().starts_with("type 21"));
    drop(stage.origin.accept().unwrap());
    drop(filler);
    let mut links = 0;
    stage.origin.set_nonblocking(true).unwrap();
    let by = Instant::now() + Duration::from_secs(2);
    while Instant::now() < by {
        if let Ok((stream, _)) = stage.origin.accept() {
            stream.set_nonblocking(false).unwrap();
            assert!(is_unused(&mut Link(BufReader::new(stream))));
            links += 1;
        }
        std::thread::yield_now();
    }
    assert!(links > 0, "none of the connections came up");
}

#[test]
fn a_request_whose_client_leaves_in_the_pause_before_a_repeat_is_not_sent_on() {
    let stage = Stage::new(|config| config["settings"]["classes"][2]["aim"] = 5_000_000.into());
    let mut client = stage.client();
    client.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    // Turned away unseen: it goes out again after a tenth of its aim, half a second.
    origin.say(&fetch[1], "SHED", "-", "");
    client.send(20, 2, &[0]);
    assert!(client.hear().unwrap().starts_with("type 21"));
    client.send(12, 1, b"");
    // Another one that is turned away later goes out again, the first one never does.
    let mut other = stage.client();
    other.ask(7, "book-car", "20000", &[], b"keys");
    let fetch = origin.hear().unwrap();
    assert_eq!(fetch[1], format!("{:016x}", 7));
    origin.say(&fetch[1], "SHED", "-", "");
    let mut again = link(&stage.origin);
    assert_eq!(again.hear().unwrap()[1], format!("{:016x}", 7));
    assert!(is_silent(&mut again) && is_silent(&mut origin));
}

#[test]
fn a_node_that_drains_while_it_is_dialled_gets_nothing_and_its_request_moves() {
    let stage = Stage::new(patient);
    let (mut stream, _) = feed(&stage.feed);
    let mut client = stage.client();
    // Which of the two it goes to shows by the one that is not dialled.
    let fillers = stage.caches.each_ref().map(fill_up);
    client.ask(1, "page-bits", "20000", &[], b"");
    client.send(20, 2, &[0]);
    assert!(client.hear().unwrap().starts_with("type 21"));
    let nodes = [0, 1].map(|i| record(CACHES[i], stage.caches[i].local_addr().unwrap(), 1, 0)).concat();
    stream.write_all(&event(2, 2, &nodes)).unwrap();
    // Both drain: the origin is what is left.
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    origin.say(&fetch[1], "HIT", "-", "from the origin");
    assert!(client.hear().unwrap().ends_with("from the origin"));
    stage.caches.iter().for_each(|cache| drop(cache.accept().unwrap()));
    drop(fillers);
    let late = any_link(&stage).1;
    assert!(is_unused(&mut { late }));
}

#[test]
fn an_answer_and_the_end_of_its_time_in_one_turn_make_one_answer() {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    client.ask(1, "page-bits", "400", &[], b"");
    let (_, mut cache) = any_link(&stage);
    let fetch = cache.hear().unwrap();
    let asked = Instant::now();
    stage.while_stopped(|| {
        cache.say(&fetch[1], "HIT", "-", "just in time");
        while asked.elapsed() < Duration::from_millis(500) {
            std::thread::yield_now();
        }
    });
    assert!(client.hear().unwrap().starts_with("type 11 stream 1"));
    client.send(20, 2, &[0]);
    assert!(client.hear().unwrap().starts_with("type 21"), "one answer and no more");
}

#[test]
fn an_open_feed_that_falls_silent_is_asked_anew_and_what_it_missed_acts() {
    let stage = Stage::new(|_| {});
    let (mut silent, last) = feed(&stage.feed);
    assert_eq!(last, 1);
    silent.write_all(&event(1, 0, b"")).unwrap();
    let heard = Instant::now();
    // Nothing more comes, and the connection stays open.
    let (mut stream, last) = feed(&stage.feed);
    assert!(heard.elapsed() < Duration::from_millis(3_200), "{:?}", heard.elapsed());
    assert_eq!(last, 1);
    let drains = event(2, 2, &record(CACHES[0], stage.caches[0].local_addr().unwrap(), 1, 0));
    stream.write_all(&drains).unwrap();
    // What the old one tells after all is of no account: it is told once, by the new one.
    let back: SocketAddr = stage.caches[0].local_addr().unwrap();
    let _ = silent.write_all(&event(3, 2, &record(CACHES[0], back, 0, 0)));
    let mut client = stage.client();
    for n in 1..=6 {
        client.ask(n, "page-bits", "5000", &[("part", &n.to_string())], b"");
        let mut cache = link(&stage.caches[1]);
        let fetch = cache.hear().unwrap();
        cache.say(&fetch[1], "HIT", "-", "");
        client.hear().unwrap();
        drop(cache);
    }
}
