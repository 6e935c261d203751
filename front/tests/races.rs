//! Two events that cross, each crossing forced: a scripted peer holds a byte, an answer or an end back until the other event
//! is seen to have happened, or the front is stopped while both come. `docs/design/races.md` lists the pairs.
mod common;
use common::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Enough for the program to see on loopback what was sent before; nothing is told from it alone.
const SEEN: Duration = Duration::from_millis(300);

/// Nothing may be begun for a request that was cancelled, or whose client has closed its connection, this long ago.
const CANCELLED: Duration = Duration::from_millis(100);

/// Waits until so much time has passed since some moment.
fn wait_since(moment: Instant, span: Duration) {
    std::thread::sleep(span.saturating_sub(moment.elapsed()));
}

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

/// How many connections come up within two seconds, in which the system tries again; `None`: something is asked on one.
fn late_ones(at: &TcpListener) -> Option<usize> {
    at.set_nonblocking(true).unwrap();
    let (mut links, by) = (0, Instant::now() + Duration::from_secs(2));
    while Instant::now() < by {
        if let Ok((stream, _)) = at.accept() {
            stream.set_nonblocking(false).unwrap();
            links += 1;
            if !is_unused(&mut Link(BufReader::new(stream))) {
                return None;
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    Some(links)
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
    format!(
        "*4\r\n{}",
        parts.map(|p| format!("${}\r\n{p}\r\n", p.len())).concat()
    )
}

fn with_one_cache(config: &mut serde_json::Value) {
    config["known"]["events"][0]["members"]["instances"]
        .as_array_mut()
        .unwrap()
        .remove(1);
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
    for (n, class, fields) in [
        (1, "page-bits", &[("have", "aaaa")][..]),
        (2, "page-bits", &[]),
        (3, "book-car", &[]),
    ] {
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
            assert!(client
                .hear()
                .unwrap()
                .starts_with("type 11 stream 3: \\x03"));
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
    client.ask(
        1,
        "book-car",
        "3000",
        &[("unique", "09c73d25ce9e55c8f6f6fd00cb6a8bae")],
        b"keys",
    );
    let named = |fetch: &[String]| {
        fetch[2]
            .split(',')
            .any(|f| f == "nonce=09c73d25ce9e55c8f6f6fd00cb6a8bae")
    };
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
    let flood = Flood::new(
        first.0.into_inner(),
        answer("00000000000000ff", "not asked for")
            .repeat(2_000)
            .into(),
    );
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
    first
        .0
        .get_mut()
        .write_all(&[whole.as_bytes(), &half.as_bytes()[..40]].concat())
        .unwrap();
    assert!(client.hear().unwrap().ends_with("whole"));
    client.ask(2, "book-car", "5000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    origin
        .0
        .get_mut()
        .write_all(
            &[
                answer(&fetch[1], "booked").as_bytes(),
                &half.as_bytes()[..5],
            ]
            .concat(),
        )
        .unwrap();
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
    assert!(
        client
            .hear()
            .unwrap()
            .starts_with("type 11 stream 1: \\x02"),
        "nodes know repeats: no harm in one of the client's"
    );
    drop(accepted(&stage.origin));
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
                socket2::SockRef::from(&client.0)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                drop(client);
            }
        }
        wait_since(Instant::now(), CANCELLED);
        drop(accepted(&stage.origin));
        drop(filler);
        assert!(
            late_ones(&stage.origin).is_some_and(|links| links <= 1),
            "{leaves}"
        );
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
        socket2::SockRef::from(&client.0)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        all.push(client);
    }
    stage.while_stopped(|| drop(all));
    wait_since(Instant::now(), CANCELLED);
    drop(accepted(&stage.origin));
    drop(filler);
    let links = late_ones(&stage.origin).expect("nothing is asked on them");
    assert!(links > 0, "none of the connections came up");
}

#[test]
fn a_request_whose_client_leaves_in_the_pause_before_a_repeat_is_not_sent_on() {
    let stage = Stage::new(|config| config["settings"]["classes"][2]["aim"] = 5_000_000.into());
    let mut client = stage.client();
    client.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    // Turned away unseen: it goes out again after a tenth of its aim, half a second. What can't be read comes behind that: the
    // end of the connection shows that both were heard.
    origin.say(&fetch[1], "SHED", "-", "");
    origin.0.get_mut().write_all(b"+OK\r\n").unwrap();
    assert_eq!(origin.hear(), None);
    client.send(12, 1, b"");
    // Another one that is turned away later goes out again, the first one never does.
    let mut other = stage.client();
    other.ask(7, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
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
    let nodes = [0, 1]
        .map(|i| record(CACHES[i], stage.caches[i].local_addr().unwrap(), 1, 0))
        .concat();
    stream.write_all(&event(2, 2, &nodes)).unwrap();
    // Both drain: the origin is what is left.
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    origin.say(&fetch[1], "HIT", "-", "from the origin");
    assert!(client.hear().unwrap().ends_with("from the origin"));
    stage.caches.iter().for_each(|cache| drop(accepted(cache)));
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
    assert!(
        client.hear().unwrap().starts_with("type 21"),
        "one answer and no more"
    );
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
    assert!(
        heard.elapsed() < Duration::from_millis(3_200),
        "{:?}",
        heard.elapsed()
    );
    assert_eq!(last, 1);
    let drains = event(
        2,
        2,
        &record(CACHES[0], stage.caches[0].local_addr().unwrap(), 1, 0),
    );
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

#[test]
fn a_repeat_is_not_written_by_a_turn_that_comes_after_its_window() {
    let stage = Stage::new(|config| {
        let class = &mut config["settings"]["classes"][2];
        class["semantics"] = "token".into();
        class["group"] = "all".into();
        class["memorySpan"] = 2_000_000.into();
        patient(config);
    });
    let mut client = stage.client();
    client.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    origin.hear().unwrap();
    let sent = Instant::now();
    let filler = fill_up(&stage.origin);
    drop(origin);
    // Its connection is being made once the front has heard of that; it comes up, and its window ends, while the front stands.
    assert!(stage.readiness().unwrap().starts_with("type 21"));
    let mut late = None;
    stage.while_stopped(|| {
        drop(accepted(&stage.origin));
        drop(filler);
        late = Some(link(&stage.origin));
        while sent.elapsed() < Duration::from_millis(2_300) {
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    assert!(client
        .hear()
        .unwrap()
        .starts_with("type 11 stream 1: \\x02"));
    assert!(is_unused(&mut late.unwrap()), "its window is over");
}

#[test]
fn a_purge_told_during_the_dial_leaves_no_older_copy_to_be_asked_for() {
    let stage = Stage::new(|config| {
        with_one_cache(config);
        config["settings"]["policyLimits"]["connectTimeout"] = 10_000_000.into();
        config["settings"]["familyInfo"]["purgeGrace"] = 300_000.into();
    });
    let (mut stream, _) = feed(&stage.feed);
    let mut client = stage.client();
    let fillers = [fill_up(&stage.caches[0]), fill_up(&stage.origin)];
    client.ask(1, "page-bits", "20000", &[], b"");
    client.send(20, 2, &[0]);
    assert!(client.hear().unwrap().starts_with("type 21"));
    let at = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let purged = Instant::now();
    let object = [
        &0x7f3a_9c21_e0b4_d655u64.to_be_bytes()[..],
        &(at.as_millis() as u64).to_be_bytes(),
    ]
    .concat();
    stream.write_all(&event(2, 3, &object)).unwrap();
    // More than the grace passes before any connection can come up.
    while purged.elapsed() < Duration::from_millis(400) {
        std::thread::sleep(Duration::from_millis(5));
    }
    [&stage.caches[0], &stage.origin]
        .iter()
        .for_each(|at| drop(accepted(at)));
    drop(fillers);
    let fetch = loop {
        let (_, mut link) = any_link(&stage);
        if let Some(fetch) = link.hear() {
            break fetch;
        }
    };
    let oldest = fetch[2]
        .split(',')
        .find_map(|field| field.strip_prefix("oldest="))
        .expect("an age is asked for");
    let oldest = Duration::from_millis(oldest.parse().unwrap());
    assert!(
        oldest > Duration::ZERO && oldest <= purged.elapsed() + Duration::from_millis(50),
        "{oldest:?}"
    );
}

#[test]
fn an_answer_and_the_end_of_its_connection_in_one_turn_are_an_answer() {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    for (stream, resets) in [(1, false), (2, true)] {
        client.ask(stream, "book-car", "5000", &[], b"keys");
        let mut origin = link(&stage.origin);
        let fetch = origin.hear().unwrap();
        stage.while_stopped(|| {
            origin.say(&fetch[1], "HIT", "-", "booked");
            let over = if resets { Some(Duration::ZERO) } else { None };
            socket2::SockRef::from(origin.0.get_ref())
                .set_linger(over)
                .unwrap();
            drop(origin);
        });
        assert!(client.hear().unwrap().ends_with("booked"), "{stream}");
    }
}

#[test]
fn a_client_that_ends_its_side_alone_is_still_answered() {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    client.ask(1, "page-bits", "5000", &[], b"");
    let (_, mut cache) = any_link(&stage);
    let fetch = cache.hear().unwrap();
    client.0.shutdown(std::net::Shutdown::Write).unwrap();
    // The front has heard of it: it says that nothing new is wanted here.
    assert!(client.hear().unwrap().starts_with("type 30 stream 0"));
    cache.say(&fetch[1], "HIT", "-", "whole");
    assert!(client.hear().unwrap().ends_with("whole"));
    assert_eq!(client.hear(), None);
}

#[test]
fn who_asks_and_leaves_in_one_turn_asks_no_node() {
    let stage = Stage::new(with_one_cache);
    let (mut client, mut other) = (stage.client(), stage.client());
    // Both are known to the front.
    for client in [&mut client, &mut other] {
        client.send(20, 1, &[0]);
        assert!(client.hear().unwrap().starts_with("type 21"));
    }
    // A connection to the node is up: what is sent on would be written at once.
    other.ask(6, "page-bits", "5000", &[("part", "6")], b"");
    let mut cache = link(&stage.caches[0]);
    let fetch = cache.hear().unwrap();
    cache.say(&fetch[1], "HIT", "-", "");
    other.hear().unwrap();
    stage.while_stopped(|| {
        client.ask(2, "page-bits", "5000", &[], b"");
        client.send(12, 2, b"");
    });
    client.send(20, 3, &[0]);
    assert!(client.hear().unwrap().starts_with("type 21 stream 3"));
    other.ask(7, "page-bits", "5000", &[("part", "7")], b"");
    let first = cache.hear().unwrap();
    assert_eq!(first[1], format!("{:016x}", 7), "{first:?}");
}

#[test]
fn who_asks_and_closes_before_the_front_has_read_it_asks_no_node() {
    let stage = Stage::new(with_one_cache);
    let mut client = stage.client();
    // A connection to the node is up: what is forwarded would be written at once.
    client.ask(6, "page-bits", "5000", &[("part", "6")], b"");
    let mut cache = link(&stage.caches[0]);
    let fetch = cache.hear().unwrap();
    cache.say(&fetch[1], "HIT", "-", "");
    client.hear().unwrap();
    stage.while_stopped(|| {
        let mut leaves = stage.client();
        leaves.ask(2, "page-bits", "5000", &[], b"");
        drop(leaves);
        wait_since(Instant::now(), CANCELLED);
    });
    wait_since(Instant::now(), CANCELLED);
    client.ask(7, "page-bits", "5000", &[("part", "7")], b"");
    let first = cache.hear().unwrap();
    assert_eq!(first[1], format!("{:016x}", 7), "{first:?}");
}

#[test]
fn a_client_that_rests_after_a_bad_request_is_heard_in_time_when_it_cancels_another() {
    // What is turned away unseen goes out again after a tenth of its aim: 0.12 s.
    let stage = Stage::new(|config| config["settings"]["classes"][2]["aim"] = 1_200_000.into());
    let asked = Asked::default();
    noted(&stage.origin, &asked);
    let attempts = |stream: u32| {
        let id = format!("{stream:016x}");
        asked
            .lock()
            .unwrap()
            .iter()
            .filter(|(asked, _)| *asked == id)
            .count()
    };
    // When it is heard shows by its place in the front's sweeps, each quarter of a second: one client after another.
    for stream in (0..5).map(|n| 10 + n) {
        let mut client = stage.client();
        client.ask(stream, "book-car", "20000", &[], b"keys");
        while attempts(stream) == 0 {
            std::thread::yield_now();
        }
        // No fields at all: it is answered as failed, and its client is read from less often.
        client.send(10, 2, &[0]);
        assert!(client.hear().unwrap().starts_with("type 11 stream 2"));
        client.send(12, stream, b"");
        let turned_away =
            format!("*4\r\n$16\r\n{stream:016x}\r\n$4\r\nSHED\r\n$1\r\n-\r\n$0\r\n\r\n");
        asked
            .lock()
            .unwrap()
            .last_mut()
            .unwrap()
            .1
            .write_all(turned_away.as_bytes())
            .unwrap();
        std::thread::sleep(SEEN);
        assert_eq!(attempts(stream), 1, "an attempt was begun for nobody");
    }
}

#[test]
fn clients_that_send_without_end_hold_up_neither_moments_nor_discovery() {
    let stage = Stage::new(|_| {});
    let (mut stream, _) = feed(&stage.feed);
    // Nothing is owed for what takes back what was never asked.
    let gone = [0, 0, 0, 5, 12, 0, 0, 0, 9].repeat(4_000);
    let floods: Vec<_> = (0..8)
        .map(|_| Flood::new(stage.client().0, gone.clone()))
        .collect();
    let mut client = stage.client();
    for n in 1..=5 {
        client.ask(n, "page-bits", "400", &[], b"");
        let asked = Instant::now();
        assert!(
            client
                .hear()
                .unwrap()
                .starts_with(&format!("type 11 stream {n}")),
            "no node answers"
        );
        assert!(
            asked.elapsed() < Duration::from_millis(1_400),
            "{:?}",
            asked.elapsed()
        );
    }
    let nodes = [0, 1]
        .map(|i| record(CACHES[i], stage.caches[i].local_addr().unwrap(), 1, 0))
        .concat();
    stream.write_all(&event(2, 2, &nodes)).unwrap();
    // Heard within half a second: what is asked later goes to the origin.
    std::thread::sleep(Duration::from_millis(500));
    client.ask(6, "page-bits", "5000", &[], b"");
    let mut origin = link(&stage.origin);
    loop {
        let fetch = origin.hear().unwrap();
        if fetch[0] == "fetch" && fetch[1] == format!("{:016x}", 6) {
            break;
        }
    }
    floods
        .into_iter()
        .for_each(|flood| assert!(!flood.end(), "such a client is not closed for that"));
}

/// Waits for the end of a front; how long that took since some moment. Its code has to be 0.
fn ended(stage: &mut Stage, since: Instant) -> Duration {
    assert_eq!(stage.front.wait().unwrap().code(), Some(0));
    since.elapsed()
}

/// Whether a connection ends as it should: by an end, not by a reset.
fn ends_whole(client: &mut Client) -> bool {
    matches!(client.0.read(&mut [0; 1]), Ok(0))
}

#[test]
fn with_nodes_that_hang_and_clients_that_rest_the_end_comes_in_time_and_all_are_answered() {
    // Killed 0.7 s after the longest time of a class: of 60 s three count, of a second all.
    for (longest, killed) in [(60_000_000u64, 3_700), (1_000_000, 1_700), (400_000, 1_100)] {
        let mut stage = Stage::new(|config| {
            (0..3).for_each(|class| {
                config["settings"]["classes"][class]["deadline"] = longest.into()
            });
        });
        let (mut waits, mut rests) = (stage.client(), stage.client());
        rests.send(20, 1, &[0]);
        assert!(rests.hear().unwrap().starts_with("type 21"));
        stage.signal("-TERM");
        let told = Instant::now();
        assert!(waits.hear().unwrap().starts_with("type 30"));
        assert!(rests.hear().unwrap().starts_with("type 30"));
        // It is taken after that, and waits for longer than there is time.
        while told.elapsed() < Duration::from_millis(600) {
            std::thread::sleep(Duration::from_millis(5));
        }
        waits.ask(1, "page-bits", "50000", &[], b"");
        let (_, mut cache) = any_link(&stage);
        cache.hear().unwrap();
        ["-TERM", "-HUP"]
            .iter()
            .for_each(|signal| stage.signal(signal));
        assert!(
            waits.hear().unwrap().starts_with("type 11 stream 1"),
            "{longest}"
        );
        assert!(
            ends_whole(&mut waits) && ends_whole(&mut rests),
            "{longest}"
        );
        let took = ended(&mut stage, told);
        assert!(took < Duration::from_millis(killed), "{longest}: {took:?}");
    }
}

/// One client that asks all the while on one connection and leaves it to the front to end that. Returns the requests that were
/// asked long before the end and are not answered, and how many were answered.
fn asks_until_the_end(mut client: Client) -> (Vec<u32>, usize) {
    let mut reads = Client(client.0.try_clone().unwrap());
    let answers = std::thread::spawn(move || {
        let mut answered = Vec::new();
        while let Some(told) = reads.hear() {
            // "type 11 stream N: ..." is an answer.
            let stream: Option<u32> = told
                .strip_prefix("type 11 stream ")
                .and_then(|t| t.split(':').next()?.parse().ok());
            answered.extend(stream);
        }
        (answered, Instant::now())
    });
    let mut asked: Vec<(u32, Instant)> = Vec::new();
    for stream in 1u32.. {
        let (txn, part) = (format!("{stream:016x}"), stream.to_string());
        let more = [
            ("txn", &txn[..]),
            ("item", "7f3a9c21e0b4d655"),
            ("part", &part),
        ];
        if answers.is_finished() || client.try_ask(stream, "page-bits", &more).is_err() {
            break;
        }
        asked.push((stream, Instant::now()));
        // No more are open at once than a connection may have.
        std::thread::sleep(Duration::from_millis(120));
    }
    let (answered, ended): (Vec<u32>, Instant) = answers.join().unwrap();
    // What crosses the front's end of the connection was never read: its client asks again elsewhere.
    let before = |at: Instant| at + Duration::from_millis(50) < ended;
    let open = asked
        .iter()
        .filter(|(stream, at)| before(*at) && !answered.contains(stream));
    (open.map(|(stream, _)| *stream).collect(), answered.len())
}

#[test]
fn clients_that_go_on_sending_through_the_end_are_all_answered_and_it_comes_in_time() {
    for (longest, killed) in [(60_000_000u64, 3_700), (1_000_000, 1_700), (400_000, 1_100)] {
        let mut stage = Stage::new(|config| {
            (0..3).for_each(|class| {
                config["settings"]["classes"][class]["deadline"] = longest.into()
            });
        });
        // One node answers, the others hang through all of it.
        drop(desk::answering(&stage.caches[0]));
        let asked = Asked::default();
        [&stage.caches[1], &stage.origin]
            .iter()
            .for_each(|at| noted(at, &asked));
        let clients: Vec<_> = (0..8).map(|_| stage.client()).collect();
        let clients = clients
            .into_iter()
            .map(|client| std::thread::spawn(|| asks_until_the_end(client)));
        let clients: Vec<_> = clients.collect();
        std::thread::sleep(SEEN);
        stage.signal("-TERM");
        let told = Instant::now();
        let took = ended(&mut stage, told);
        assert!(took < Duration::from_millis(killed), "{longest}: {took:?}");
        for client in clients {
            let (open, answered) = client.join().unwrap();
            assert!(
                open.is_empty() && answered > 0,
                "{longest}: {open:?} were not answered, {answered} were"
            );
        }
    }
}

#[test]
fn what_comes_on_a_connection_that_the_front_has_shut_is_not_sent_on() {
    let stage = Stage::new(desk::with_ops);
    let at = desk::ops_of(&stage.log);
    let mut rests = stage.client();
    rests.send(20, 1, &[0]);
    assert!(rests.hear().unwrap().starts_with("type 21"));
    // Emptied, the front shuts connections that carry nothing; on others it still serves.
    let emptied = Instant::now();
    desk::call(at, "quiesce");
    assert!(rests.hear().unwrap().starts_with("type 30") && ends_whole(&mut rests));
    // A client that has not seen that yet asks all the same; it is dropped, and nobody is reset over it.
    rests.ask(2, "page-bits", "5000", &[], b"");
    assert!(late_ones(&stage.caches[0]) == Some(0) && late_ones(&stage.caches[1]) == Some(0));
    assert!(
        emptied.elapsed() > Duration::from_millis(1_500),
        "by now the front would refuse it"
    );
}

#[test]
fn at_its_end_the_front_still_reads_what_comes_on_what_it_has_shut() {
    // Whether the front lives when the end is seen is up to the scheduler: it has 0.2 s, and five tries.
    let shown = (0..5).any(|_| {
        let mut stage = Stage::new(|_| {});
        let mut rests = stage.client();
        rests.send(20, 1, &[0]);
        assert!(rests.hear().unwrap().starts_with("type 21"));
        stage.signal("-TERM");
        let told = Instant::now();
        assert!(rests.hear().unwrap().starts_with("type 30") && ends_whole(&mut rests));
        if !stage.while_stopped(|| rests.ask(2, "page-bits", "5000", &[], b"")) {
            return false;
        }
        let took = ended(&mut stage, told);
        assert!(took < Duration::from_millis(3_700), "{took:?}");
        assert!(
            rests.0.take_error().unwrap().is_none(),
            "a close over unread bytes resets"
        );
        true
    });
    assert!(shown);
}

#[test]
fn what_comes_in_the_turn_in_which_the_front_would_shut_is_answered() {
    let mut stage = Stage::new(|_| {});
    let mut client = stage.client();
    client.send(20, 1, &[0]);
    assert!(client.hear().unwrap().starts_with("type 21"));
    stage.signal("-TERM");
    let told = Instant::now();
    assert!(client.hear().unwrap().starts_with("type 30"));
    stage.while_stopped(|| {
        while told.elapsed() < Duration::from_millis(1_100) {
            std::thread::sleep(Duration::from_millis(5));
        }
        client.ask(2, "page-bits", "5000", &[], b"");
    });
    let (_, mut cache) = any_link(&stage);
    let fetch = cache.hear().unwrap();
    cache.say(&fetch[1], "HIT", "-", "at the last moment");
    assert!(client.hear().unwrap().ends_with("at the last moment"));
    assert!(ends_whole(&mut client));
    assert!(ended(&mut stage, told) < Duration::from_millis(3_700));
}

#[test]
fn a_request_of_which_half_has_come_when_the_front_would_shut_is_answered() {
    let mut stage = Stage::new(|_| {});
    let mut client = stage.client();
    client.send(20, 1, &[0]);
    assert!(client.hear().unwrap().starts_with("type 21"));
    let ready = [&[0, 0, 0, 6, 20, 0, 0, 0, 2][..], &[0]].concat();
    stage.signal("-TERM");
    let told = Instant::now();
    assert!(client.hear().unwrap().starts_with("type 30"));
    while told.elapsed() < Duration::from_millis(700) {
        std::thread::sleep(Duration::from_millis(5));
    }
    client.0.write_all(&ready[..7]).unwrap();
    // The rest comes when the front would have shut the connection.
    while told.elapsed() < Duration::from_millis(1_300) {
        std::thread::sleep(Duration::from_millis(5));
    }
    client.0.write_all(&ready[7..]).unwrap();
    assert!(client.hear().unwrap().starts_with("type 21 stream 2"));
    assert!(ends_whole(&mut client));
    assert!(ended(&mut stage, told) < Duration::from_millis(3_700));
}

#[test]
fn signals_that_come_while_the_front_starts_are_heeded_once_it_has_started() {
    for (signals, ends) in [
        (&["-TERM"][..], true),
        (&["-HUP"], false),
        (&["-HUP", "-TERM"], true),
    ] {
        let stage = Stage::new(|_| {});
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("config.json");
        assert!(std::process::Command::new("mkfifo")
            .arg(&file)
            .status()
            .unwrap()
            .success());
        let mut command = std::process::Command::new(binary());
        command
            .arg("serve")
            .env("RELAY_CONFIG", &file)
            .stderr(std::process::Stdio::piped());
        let mut front = command.spawn().unwrap();
        // It reads its configuration once this can be opened.
        let mut pipe = std::fs::File::options().write(true).open(&file).unwrap();
        for signal in signals {
            let mut kill = std::process::Command::new("kill");
            assert!(kill
                .arg(signal)
                .arg(front.id().to_string())
                .status()
                .unwrap()
                .success());
        }
        // What it reads again is a file.
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, stage.config.to_string()).unwrap();
        pipe.write_all(stage.config.to_string().as_bytes()).unwrap();
        drop(pipe);
        let log = follow(
            &mut front,
            tempfile::NamedTempFile::new().unwrap().into_temp_path(),
        );
        let mut process = desk::Process { front, log };
        until(&process.log, "listening");
        if !ends {
            until(&process.log, "SIGHUP: configuration read");
            process.front.kill().unwrap();
        }
        let code = process.front.wait().unwrap().code();
        assert_eq!(code, ends.then_some(0), "{signals:?}");
    }
}

#[test]
fn the_end_and_a_new_configuration_in_one_turn_are_both_heeded() {
    let mut stage = Stage::new(|_| {});
    let (mut old, _) = feed(&stage.feed);
    old.write_all(&event(2, 4, &[0; 10])).unwrap();
    assert!(stage.readiness().unwrap().starts_with("type 21"));
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = stage.config.clone();
    config["feed"] = moved.local_addr().unwrap().to_string().into();
    std::fs::write(&stage.file, config.to_string()).unwrap();
    stage.while_stopped(|| {
        ["-HUP", "-TERM"]
            .iter()
            .for_each(|signal| stage.signal(signal))
    });
    let told = Instant::now();
    // What drains or is purged is still heard of while open requests end.
    let (_new, last) = feed(&moved);
    assert_eq!(last, 2);
    assert!(ended(&mut stage, told) < Duration::from_millis(3_700));
}

/// All that nodes are asked: the ids, with where the answer goes.
type Asked = Arc<std::sync::Mutex<Vec<(String, TcpStream)>>>;

/// Takes down what a node is asked, and answers nothing.
fn noted(at: &TcpListener, asked: &Asked) {
    let (at, asked) = (at.try_clone().unwrap(), Arc::clone(asked));
    std::thread::spawn(move || {
        for stream in at.incoming().map_while(Result::ok) {
            let asked = Arc::clone(&asked);
            std::thread::spawn(move || {
                let answers = stream.try_clone().unwrap();
                let mut link = Link(BufReader::new(stream));
                while let Some(words) = link.hear() {
                    if words[0] == "fetch" {
                        asked
                            .lock()
                            .unwrap()
                            .push((words[1].clone(), answers.try_clone().unwrap()));
                    }
                }
            });
        }
    });
}

#[test]
fn hundreds_that_leave_while_they_wait_for_room_are_not_sent_on_when_there_is_some() {
    for resets in [false, true] {
        let stage = Stage::new(|config| {
            for node in config["known"]["events"][0]["members"]["instances"]
                .as_array_mut()
                .unwrap()
            {
                node["weight"] = 1.into();
            }
        });
        let asked = Asked::default();
        stage
            .caches
            .iter()
            .chain([&stage.origin])
            .for_each(|at| noted(at, &asked));
        let mut clients: Vec<_> = (0..20).map(|_| stage.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            for stream in 1..=30 {
                let txn = format!("{:016x}", n * 100 + stream);
                let more = [
                    ("txn", &txn[..]),
                    ("item", "7f3a9c21e0b4d655"),
                    ("part", &stream.to_string()),
                ];
                client.try_ask(stream as u32, "page-bits", &more).unwrap();
            }
            client.send(20, 99, &[0]);
            while !client.hear().unwrap().starts_with("type 21") {}
        }
        std::thread::sleep(SEEN);
        let out = asked.lock().unwrap().len();
        assert!(0 < out && out < 600, "{out} were sent, the others wait");
        // All of them in one turn.
        stage.while_stopped(|| {
            for client in &mut clients {
                if resets {
                    socket2::SockRef::from(&client.0)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                } else {
                    (1..=30).for_each(|stream| client.send(12, stream, b""));
                }
            }
            drop(resets.then(|| std::mem::take(&mut clients)));
        });
        wait_since(Instant::now(), CANCELLED);
        for (id, stream) in &mut *asked.lock().unwrap() {
            let _ = stream.write_all(answer(id, "too late").as_bytes());
        }
        std::thread::sleep(SEEN);
        assert_eq!(
            asked.lock().unwrap().len(),
            out,
            "there is room, and nobody waits for it"
        );
    }
}

#[test]
fn what_waited_past_its_time_is_not_sent_on_by_a_turn_that_comes_late() {
    let stage = Stage::new(|config| {
        for node in config["known"]["events"][0]["members"]["instances"]
            .as_array_mut()
            .unwrap()
        {
            node["weight"] = 1.into();
        }
    });
    let asked = Asked::default();
    stage
        .caches
        .iter()
        .chain([&stage.origin])
        .for_each(|at| noted(at, &asked));
    let (mut first, mut late) = (stage.client(), stage.client());
    let mut begun = Instant::now();
    // The first ones take the room that there is.
    for (n, client, limit, asks) in [(1, &mut first, "20000", 6), (2, &mut late, "1500", 30)] {
        begun = Instant::now();
        for stream in 1..=asks {
            let txn = format!("{:016x}", n * 100 + stream);
            client.ask(
                stream,
                "page-bits",
                limit,
                &[("txn", &txn), ("part", &stream.to_string())],
                b"",
            );
        }
        client.send(20, 99, &[0]);
        while !client.hear().unwrap().starts_with("type 21") {}
    }
    let out = || {
        asked
            .lock()
            .unwrap()
            .iter()
            .map(|(id, _)| id.clone())
            .collect::<Vec<_>>()
    };
    let waits = |n: u32| !out().contains(&format!("{:016x}", 200 + n));
    stage.while_stopped(|| {
        while begun.elapsed() < Duration::from_millis(1_600) {
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!((1..=30).all(waits), "they wait for room");
        for (id, stream) in &mut *asked.lock().unwrap() {
            stream.write_all(answer(id, "room").as_bytes()).unwrap();
        }
    });
    // All of them are answered: their time is over.
    let answers = (0..30).map(|_| late.hear().unwrap()).collect::<Vec<_>>();
    assert!(answers.iter().all(|told| told.starts_with("type 11")));
    std::thread::sleep(SEEN);
    assert!((1..=30).all(waits), "{:?}", out());
}

#[test]
fn processes_of_a_hand_over_that_are_told_to_end_in_any_order_end_and_whoever_is_left_serves() {
    let stage = Stage::new(|_| {});
    stage
        .caches
        .iter()
        .chain([&stage.origin])
        .for_each(|member| drop(desk::answering(member)));
    let held = desk::Held::new(&stage.config);
    let at = held.listener.local_addr().unwrap();
    let asks = |stream: u32| {
        let mut client = Client(TcpStream::connect(at).unwrap());
        client.ask(stream, "page-bits", "20000", &[], b"");
        client.hear().unwrap().contains("bytes")
    };
    let (mut old, _) = held.start();
    until(&old.log, "accepts clients");
    let (mut waits, _) = held.start();
    until(&waits.log, "waits for another process");
    // The one that waits is told first: the other one serves as before.
    waits.signal("-TERM");
    assert_eq!(waits.front.wait().unwrap().code(), Some(0));
    assert!(asks(1));
    // The one that serves and one that waits are told at once: a third takes over.
    let (mut both, _) = held.start();
    until(&both.log, "waits for another process");
    let (third, _) = held.start();
    until(&third.log, "waits for another process");
    [&old, &both]
        .iter()
        .for_each(|process| process.signal("-TERM"));
    until(&third.log, "accepts clients");
    assert!(asks(2));
    let codes = [&mut old, &mut both].map(|process| process.front.wait().unwrap().code());
    assert_eq!(codes, [Some(0); 2]);
    assert!(asks(3));
}

#[test]
fn answers_out_of_all_bounds_end_their_connection_alone_and_their_requests_move() {
    let stage = Stage::new(|_| {});
    let mut client = stage.client();
    // One that is well, and has to stay so.
    client.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let booking = origin.hear().unwrap();
    let heads = [
        "*4\r\n$16\r\n{}\r\n$3\r\nHIT\r\n$3000000000\r\n",
        "*9999999\r\n",
        "*4\r\n$-1\r\n",
        "*4\r\n$16\r\n{}\r\n$99999999999999999999\r\n",
    ];
    for (n, head) in heads.iter().enumerate() {
        let stream = 2 + n as u32;
        client.ask(
            stream,
            "page-bits",
            "20000",
            &[("part", &stream.to_string())],
            b"",
        );
        let (_, mut cache) = any_link(&stage);
        let fetch = cache.hear().unwrap();
        cache
            .0
            .get_mut()
            .write_all(head.replace("{}", &fetch[1]).as_bytes())
            .unwrap();
        assert_eq!(cache.hear(), None, "{head}");
        let (_, mut other) = any_link(&stage);
        let fetch = other.hear().unwrap();
        assert_eq!(fetch[1], format!("{stream:016x}"));
        other.say(&fetch[1], "HIT", "-", "moved");
        assert!(client.hear().unwrap().ends_with("moved"), "{head}");
    }
    origin.say(&booking[1], "HIT", "-", "booked");
    assert!(client.hear().unwrap().ends_with("booked"));
}

#[test]
fn a_front_that_was_stopped_past_its_end_answers_what_it_has_and_what_has_come_and_ends() {
    let mut stage = Stage::new(|config| {
        (0..3)
            .for_each(|class| config["settings"]["classes"][class]["deadline"] = 1_000_000.into());
    });
    let (mut waits, mut asks) = (stage.client(), stage.client());
    asks.send(20, 1, &[0]);
    assert!(asks.hear().unwrap().starts_with("type 21"));
    waits.ask(1, "book-car", "50000", &[], b"keys");
    let mut origin = link(&stage.origin);
    origin.hear().unwrap();
    stage.signal("-TERM");
    let told = Instant::now();
    assert!(
        waits.hear().unwrap().starts_with("type 30") && asks.hear().unwrap().starts_with("type 30")
    );
    // It would have been over by then.
    stage.while_stopped(|| {
        asks.ask(2, "book-car", "50000", &[], b"keys");
        while told.elapsed() < Duration::from_millis(2_500) {
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    // The booking that is at the origin may have run: it is not refused, for its client would ask again.
    assert!(waits.hear().unwrap().starts_with("type 11 stream 1: \\x03"));
    assert!(asks.hear().unwrap().starts_with("type 11 stream 2"));
    ended(&mut stage, told);
}
