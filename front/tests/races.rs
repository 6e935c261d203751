//! Races between two events. A scripted peer holds back a byte, a response or a close until the other event has happened, or the
//! front is stopped while both happen. `docs/design/races.md` lists the pairs.
mod common;
use common::closing::close_all;
use common::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for the front to process what was sent on loopback.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time after a cancellation or a close until the front must not start attempts for the request.
const CANCELLATION_TIMEOUT: Duration = Duration::from_millis(100);

/// Waits until a duration has passed since a time.
fn wait_since(start: Instant, duration: Duration) {
    std::thread::sleep(duration.saturating_sub(start.elapsed()));
}

/// Whether a connection delivers neither bytes nor its end for a while.
fn is_silent(node: &mut NodeConnection) -> bool {
    node.0
        .get_ref()
        .set_read_timeout(Some(SETTLE_TIME))
        .unwrap();
    let read = node.0.read(&mut [0; 1]);
    matches!(read, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

/// Whether a connection of the front carries no command; it may be closed.
fn is_unused(node: &mut NodeConnection) -> bool {
    node.0
        .get_ref()
        .set_read_timeout(Some(SETTLE_TIME))
        .unwrap();
    !matches!(node.0.read(&mut [0; 1]), Ok(n) if n > 0)
}

/// Number of connections established within two seconds, which covers a retry of the system; `None` if one carries a command.
fn late_connections(at: &TcpListener) -> Option<usize> {
    at.set_nonblocking(true).unwrap();
    let (mut connections, deadline) = (0, Instant::now() + Duration::from_secs(2));
    while Instant::now() < deadline {
        if let Ok((stream, _)) = at.accept() {
            stream.set_nonblocking(false).unwrap();
            connections += 1;
            if !is_unused(&mut NodeConnection(BufReader::new(stream))) {
                return None;
            }
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    Some(connections)
}

/// Writes the same bytes repeatedly until the front closes the connection or the test stops it.
struct RepeatedWriter(Arc<AtomicBool>, std::thread::JoinHandle<bool>);

impl RepeatedWriter {
    fn new(mut stream: TcpStream, bytes: Vec<u8>) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let writes = move || loop {
            // Read before the write: one that began before the front closed the connection may have succeeded.
            let is_last = stopped.load(Ordering::Relaxed);
            if stream.write_all(&bytes).is_err() {
                return true;
            }
            if is_last {
                return false;
            }
        };
        RepeatedWriter(stop, std::thread::spawn(writes))
    }

    /// Stops writing and returns whether the front had closed the connection.
    fn stop(self) -> bool {
        self.0.store(true, Ordering::Relaxed);
        self.1.join().unwrap()
    }
}

fn hit_response(id: &str, body: &str) -> String {
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

/// Keeps the front waiting for connections that are established late.
fn with_long_connect_timeout(config: &mut serde_json::Value) {
    config["settings"]["policyLimits"]["connectTimeout"] = 10_000_000.into();
    config["settings"]["familyInfo"]["purgeGrace"] = 10_000_000.into();
}

#[test]
fn validation_counts_only_for_the_copy_the_client_holds() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    // The node has another copy, the client has none, the request is a write.
    for (n, class, fields) in [
        (1, "page-bits", &[("have", "aaaa")][..]),
        (2, "page-bits", &[]),
        (3, "book-car", &[]),
    ] {
        client.request(n, class, "5000", fields, b"");
        let (_, mut first) = accept_any_node(&setup);
        let fetch = first.receive().unwrap();
        first.respond(&fetch[1], "VALID", "-", "");
        if class == "page-bits" {
            let (_, mut other) = accept_any_node(&setup);
            let fetch = other.receive().unwrap();
            other.respond(&fetch[1], "HIT", "-", "complete");
            assert!(client.receive().unwrap().ends_with("complete"));
        } else {
            // The write may have been executed, so the request fails.
            assert!(client
                .receive()
                .unwrap()
                .starts_with("type 11 stream 3: \\x03"));
        }
    }
}

#[test]
fn idempotency_key_is_sent_with_each_attempt() {
    let setup = TestFront::new(|config| {
        let class = &mut config["settings"]["classes"][2];
        class["semantics"] = "token".into();
        class["group"] = "all".into();
    });
    let mut client = setup.client();
    client.request(
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
    let mut origin = accept_node(&setup.origin);
    let first = origin.receive().unwrap();
    drop(origin);
    let mut origin = accept_node(&setup.origin);
    let second = origin.receive().unwrap();
    assert!(named(&first) && named(&second), "{first:?} {second:?}");
    origin.respond(&second[1], "HIT", "-", "booked");
    assert!(client.receive().unwrap().ends_with("booked"));
}

#[test]
fn node_that_never_stops_sending_is_disconnected() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "30000", &[], b"");
    let (_, mut first) = accept_any_node(&setup);
    first.receive().unwrap();
    let writer = RepeatedWriter::new(
        first.0.into_inner(),
        hit_response("00000000000000ff", "not asked for")
            .repeat(2_000)
            .into(),
    );
    // The request moves although the node keeps sending.
    let (_, mut other) = accept_any_node(&setup);
    let fetch = other.receive().unwrap();
    other.respond(&fetch[1], "HIT", "-", "complete");
    assert!(client.receive().unwrap().ends_with("complete"));
    assert!(writer.stop(), "the front did not close the connection");
}

#[test]
fn endless_list_events_do_not_block_clients() {
    let setup = TestFront::new(|_| {});
    let (stream, _) = accept_feed(&setup.feed);
    let writer = RepeatedWriter::new(stream, feed_event(1, 0, b"").repeat(20_000));
    for n in 1..=20 {
        assert!(setup.readiness().unwrap().starts_with("type 21"), "{n}");
    }
    assert!(!writer.stop(), "the front closed a feed with valid events");
}

#[test]
fn connection_with_an_incomplete_response_is_not_reused() {
    let setup = TestFront::new(with_one_cache);
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let mut first = accept_node(&setup.caches[0]);
    let fetch = first.receive().unwrap();
    // A complete response and half of an unrelated one, behind which a further request would have to wait.
    let half = hit_response("00000000000000ff", "not asked for");
    let complete = hit_response(&fetch[1], "complete");
    first
        .0
        .get_mut()
        .write_all(&[complete.as_bytes(), &half.as_bytes()[..40]].concat())
        .unwrap();
    assert!(client.receive().unwrap().ends_with("complete"));
    client.request(2, "book-car", "5000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    origin
        .0
        .get_mut()
        .write_all(
            &[
                hit_response(&fetch[1], "booked").as_bytes(),
                &half.as_bytes()[..5],
            ]
            .concat(),
        )
        .unwrap();
    assert!(client.receive().unwrap().ends_with("booked"));
    client.request(3, "book-car", "5000", &[], b"keys");
    let mut fresh = accept_node(&setup.origin);
    let fetch = fresh.receive().unwrap();
    fresh.respond(&fetch[1], "HIT", "-", "booked again");
    assert!(client.receive().unwrap().ends_with("booked again"));
}

/// A write arrives in the turn of the event loop in which the node closes the connection that the write would use.
fn request_while_connection_closes(closes_first: bool) {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "book-car", "5000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    origin.respond(&fetch[1], "HIT", "-", "booked");
    assert!(client.receive().unwrap().ends_with("booked"));
    setup.while_stopped(|| {
        let mut connection = Some(origin.0.into_inner());
        if closes_first {
            close_all(connection.take());
        }
        client.request(2, "book-car", "5000", &[], b"keys");
        close_all(connection);
    });
    let mut fresh = accept_node(&setup.origin);
    let fetch = fresh.receive().unwrap();
    fresh.respond(&fetch[1], "HIT", "-", "booked too");
    assert!(client.receive().unwrap().ends_with("booked too"));
}

#[test]
fn write_is_not_sent_on_a_connection_closed_by_the_node() {
    request_while_connection_closes(true);
    request_while_connection_closes(false);
}

#[test]
fn retry_is_not_sent_when_the_connection_is_established_after_its_window() {
    let setup = TestFront::new(|config| {
        let class = &mut config["settings"]["classes"][2];
        class["semantics"] = "token".into();
        class["group"] = "all".into();
        class["memorySpan"] = 600_000.into();
        with_long_connect_timeout(config);
    });
    let mut client = setup.client();
    client.request(1, "book-car", "20000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    origin.receive().unwrap();
    // The write may have been executed; it may be repeated within 0.6 s, and its connection is established after about 1 s.
    let filler = fill_accept_queue(&setup.origin);
    drop(origin);
    assert!(
        client
            .receive()
            .unwrap()
            .starts_with("type 11 stream 1: \\x02"),
        "the client may repeat a request that nodes deduplicate"
    );
    drop(accept(&setup.origin));
    drop(filler);
    assert!(
        is_unused(&mut accept_node(&setup.origin)),
        "a retry was sent after its window"
    );
}

#[test]
fn request_cancelled_during_connect_is_not_forwarded() {
    for departure in ["cancels", "closes", "resets"] {
        let setup = TestFront::new(with_long_connect_timeout);
        let mut client = setup.client();
        let filler = fill_accept_queue(&setup.origin);
        client.request(1, "book-car", "20000", &[], b"keys");
        // The request has been read once a later one on the same connection is answered.
        client.send(20, 2, &[0]);
        assert!(client.receive().unwrap().starts_with("type 21"));
        match departure {
            "cancels" => client.send(12, 1, b""),
            "closes" => drop(client),
            _ => {
                socket2::SockRef::from(&client.0)
                    .set_linger(Some(Duration::ZERO))
                    .unwrap();
                drop(client);
            }
        }
        wait_since(Instant::now(), CANCELLATION_TIMEOUT);
        drop(accept(&setup.origin));
        drop(filler);
        assert!(
            late_connections(&setup.origin).is_some_and(|connections| connections <= 1),
            "{departure}"
        );
    }
}

#[test]
fn requests_of_many_simultaneously_reset_clients_are_not_forwarded() {
    let setup = TestFront::new(|config| {
        with_long_connect_timeout(config);
        config["limits"]["sockets"] = 1_024.into();
    });
    let filler = fill_accept_queue(&setup.origin);
    let mut all = Vec::new();
    for n in 1..=300 {
        let mut client = setup.client();
        client.request(n, "book-car", "20000", &[], b"keys");
        client.send(20, n + 1_000, &[0]);
        assert!(client.receive().unwrap().starts_with("type 21"));
        socket2::SockRef::from(&client.0)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        all.push(client);
    }
    setup.while_stopped(|| close_all(all.into_iter().map(|client| client.0)));
    wait_since(Instant::now(), CANCELLATION_TIMEOUT);
    drop(accept(&setup.origin));
    drop(filler);
    let connections = late_connections(&setup.origin).expect("a late connection carried a command");
    assert!(connections > 0, "no connection was established");
}

#[test]
fn request_cancelled_during_retry_backoff_is_not_forwarded() {
    let setup = TestFront::new(|config| config["settings"]["classes"][2]["aim"] = 5_000_000.into());
    let mut client = setup.client();
    client.request(1, "book-car", "20000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    // A rejected request is retried after a tenth of the latency objective, half a second. The front closes the connection because of
    // the invalid reply, which shows that it has read both.
    origin.respond(&fetch[1], "SHED", "-", "");
    origin.0.get_mut().write_all(b"+OK\r\n").unwrap();
    assert_eq!(origin.receive(), None);
    client.send(12, 1, b"");
    // A request rejected later is retried, the first one never.
    let mut other = setup.client();
    other.request(7, "book-car", "20000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    assert_eq!(fetch[1], format!("{:016x}", 7));
    origin.respond(&fetch[1], "SHED", "-", "");
    let mut again = accept_node(&setup.origin);
    assert_eq!(again.receive().unwrap()[1], format!("{:016x}", 7));
    assert!(is_silent(&mut again) && is_silent(&mut origin));
}

#[test]
fn request_moves_when_its_node_drains_during_connect() {
    let setup = TestFront::new(with_long_connect_timeout);
    let (mut stream, _) = accept_feed(&setup.feed);
    let mut client = setup.client();
    // The filled accept queues keep both caches from accepting the request.
    let fillers = setup.caches.each_ref().map(fill_accept_queue);
    client.request(1, "page-bits", "20000", &[], b"");
    client.send(20, 2, &[0]);
    assert!(client.receive().unwrap().starts_with("type 21"));
    let nodes = [0, 1]
        .map(|i| node_record(CACHE_IDS[i], setup.caches[i].local_addr().unwrap(), 1, 0))
        .concat();
    stream.write_all(&feed_event(2, 2, &nodes)).unwrap();
    // Both caches drain, so the request moves to the origin.
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    origin.respond(&fetch[1], "HIT", "-", "from the origin");
    assert!(client.receive().unwrap().ends_with("from the origin"));
    setup.caches.iter().for_each(|cache| drop(accept(cache)));
    drop(fillers);
    let late = accept_any_node(&setup).1;
    assert!(is_unused(&mut { late }));
}

#[test]
fn response_and_deadline_in_one_turn_yield_one_response() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "400", &[], b"");
    let (_, mut cache) = accept_any_node(&setup);
    let fetch = cache.receive().unwrap();
    let sent_at = Instant::now();
    setup.while_stopped(|| {
        cache.respond(&fetch[1], "HIT", "-", "just in time");
        while sent_at.elapsed() < Duration::from_millis(500) {
            std::thread::yield_now();
        }
    });
    assert!(client.receive().unwrap().starts_with("type 11 stream 1"));
    client.send(20, 2, &[0]);
    assert!(
        client.receive().unwrap().starts_with("type 21"),
        "more than one response"
    );
}

#[test]
fn silent_feed_is_reconnected_and_missed_events_apply() {
    let setup = TestFront::new(|_| {});
    let (mut silent, last) = accept_feed(&setup.feed);
    assert_eq!(last, 1);
    silent.write_all(&feed_event(1, 0, b"")).unwrap();
    let heard = Instant::now();
    // The connection stays open without further events.
    let (mut stream, last) = accept_feed(&setup.feed);
    assert!(
        heard.elapsed() < Duration::from_millis(3_200),
        "{:?}",
        heard.elapsed()
    );
    assert_eq!(last, 1);
    let drains = feed_event(
        2,
        2,
        &node_record(CACHE_IDS[0], setup.caches[0].local_addr().unwrap(), 1, 0),
    );
    stream.write_all(&drains).unwrap();
    // The event on the old connection must be ignored.
    let back: SocketAddr = setup.caches[0].local_addr().unwrap();
    let _ = silent.write_all(&feed_event(3, 2, &node_record(CACHE_IDS[0], back, 0, 0)));
    let mut client = setup.client();
    for n in 1..=6 {
        client.request(n, "page-bits", "5000", &[("part", &n.to_string())], b"");
        let mut cache = accept_node(&setup.caches[1]);
        let fetch = cache.receive().unwrap();
        cache.respond(&fetch[1], "HIT", "-", "");
        client.receive().unwrap();
        drop(cache);
    }
}

#[test]
fn retry_is_not_sent_by_a_turn_after_its_window() {
    let setup = TestFront::new(|config| {
        let class = &mut config["settings"]["classes"][2];
        class["semantics"] = "token".into();
        class["group"] = "all".into();
        class["memorySpan"] = 2_000_000.into();
        with_long_connect_timeout(config);
    });
    let mut client = setup.client();
    client.request(1, "book-car", "20000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    origin.receive().unwrap();
    let sent = Instant::now();
    let filler = fill_accept_queue(&setup.origin);
    drop(origin);
    // The front is connecting after this answer. The connection is established and the window ends while the front is stopped.
    assert!(setup.readiness().unwrap().starts_with("type 21"));
    let mut late = None;
    setup.while_stopped(|| {
        drop(accept(&setup.origin));
        drop(filler);
        late = Some(accept_node(&setup.origin));
        while sent.elapsed() < Duration::from_millis(2_300) {
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    assert!(client
        .receive()
        .unwrap()
        .starts_with("type 11 stream 1: \\x02"));
    assert!(
        is_unused(&mut late.unwrap()),
        "a retry was sent after its window"
    );
}

#[test]
fn purge_received_during_connect_limits_the_age_of_the_copy() {
    let setup = TestFront::new(|config| {
        with_one_cache(config);
        config["settings"]["policyLimits"]["connectTimeout"] = 10_000_000.into();
        config["settings"]["familyInfo"]["purgeGrace"] = 300_000.into();
    });
    let (mut stream, _) = accept_feed(&setup.feed);
    let mut client = setup.client();
    let fillers = [
        fill_accept_queue(&setup.caches[0]),
        fill_accept_queue(&setup.origin),
    ];
    client.request(1, "page-bits", "20000", &[], b"");
    client.send(20, 2, &[0]);
    assert!(client.receive().unwrap().starts_with("type 21"));
    let at = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap();
    let purged = Instant::now();
    let object = [
        &0x7f3a_9c21_e0b4_d655u64.to_be_bytes()[..],
        &(at.as_millis() as u64).to_be_bytes(),
    ]
    .concat();
    stream.write_all(&feed_event(2, 3, &object)).unwrap();
    // The purge grace ends before a connection is established.
    while purged.elapsed() < Duration::from_millis(400) {
        std::thread::sleep(Duration::from_millis(5));
    }
    [&setup.caches[0], &setup.origin]
        .iter()
        .for_each(|at| drop(accept(at)));
    drop(fillers);
    let fetch = loop {
        let (_, mut node) = accept_any_node(&setup);
        if let Some(fetch) = node.receive() {
            break fetch;
        }
    };
    let oldest = fetch[2]
        .split(',')
        .find_map(|field| field.strip_prefix("oldest="))
        .expect("the fetch has no maximum age");
    let oldest = Duration::from_millis(oldest.parse().unwrap());
    assert!(
        oldest > Duration::ZERO && oldest <= purged.elapsed() + Duration::from_millis(50),
        "{oldest:?}"
    );
}

#[test]
fn response_followed_by_connection_end_is_delivered() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    for (stream, resets) in [(1, false), (2, true)] {
        client.request(stream, "book-car", "5000", &[], b"keys");
        let mut origin = accept_node(&setup.origin);
        let fetch = origin.receive().unwrap();
        setup.while_stopped(|| {
            origin.respond(&fetch[1], "HIT", "-", "booked");
            let linger = if resets { Some(Duration::ZERO) } else { None };
            socket2::SockRef::from(origin.0.get_ref())
                .set_linger(linger)
                .unwrap();
            close_all([origin.0.into_inner()]);
        });
        assert!(client.receive().unwrap().ends_with("booked"), "{stream}");
    }
}

#[test]
fn half_closed_client_is_answered() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (_, mut cache) = accept_any_node(&setup);
    let fetch = cache.receive().unwrap();
    client.0.shutdown(std::net::Shutdown::Write).unwrap();
    // The front has seen the half-close and asks the client to reconnect.
    assert!(client.receive().unwrap().starts_with("type 30 stream 0"));
    cache.respond(&fetch[1], "HIT", "-", "complete");
    assert!(client.receive().unwrap().ends_with("complete"));
    assert_eq!(client.receive(), None);
}

#[test]
fn request_cancelled_in_the_same_turn_is_not_forwarded() {
    let setup = TestFront::new(with_one_cache);
    let (mut client, mut other) = (setup.client(), setup.client());
    // The front has read from both clients.
    for client in [&mut client, &mut other] {
        client.send(20, 1, &[0]);
        assert!(client.receive().unwrap().starts_with("type 21"));
    }
    // A connection to the node exists, so that an attempt would be sent immediately.
    other.request(6, "page-bits", "5000", &[("part", "6")], b"");
    let mut cache = accept_node(&setup.caches[0]);
    let fetch = cache.receive().unwrap();
    cache.respond(&fetch[1], "HIT", "-", "");
    other.receive().unwrap();
    setup.while_stopped(|| {
        client.request(2, "page-bits", "5000", &[], b"");
        client.send(12, 2, b"");
    });
    client.send(20, 3, &[0]);
    assert!(client.receive().unwrap().starts_with("type 21 stream 3"));
    other.request(7, "page-bits", "5000", &[("part", "7")], b"");
    let first = cache.receive().unwrap();
    assert_eq!(first[1], format!("{:016x}", 7), "{first:?}");
}

#[test]
fn request_of_a_closed_connection_is_not_forwarded() {
    let setup = TestFront::new(with_one_cache);
    let mut client = setup.client();
    // A connection to the node exists, so that an attempt would be sent immediately.
    client.request(6, "page-bits", "5000", &[("part", "6")], b"");
    let mut cache = accept_node(&setup.caches[0]);
    let fetch = cache.receive().unwrap();
    cache.respond(&fetch[1], "HIT", "-", "");
    client.receive().unwrap();
    setup.while_stopped(|| {
        let mut departing = setup.client();
        departing.request(2, "page-bits", "5000", &[], b"");
        close_all([departing.0]);
        wait_since(Instant::now(), CANCELLATION_TIMEOUT);
    });
    wait_since(Instant::now(), CANCELLATION_TIMEOUT);
    client.request(7, "page-bits", "5000", &[("part", "7")], b"");
    let first = cache.receive().unwrap();
    assert_eq!(first[1], format!("{:016x}", 7), "{first:?}");
}

// Guards against requests that are forwarded for a client that has closed its connection behind more input than is read in one turn.
#[test]
fn requests_before_a_close_that_is_not_read_yet_are_not_forwarded() {
    // All input fits into the receive buffer, so that the front's system has the end as well. Of many small requests only the first are
    // read while none is answered.
    for (requests, body_bytes) in [(18, 3_000), (110, 400)] {
        let setup = TestFront::new(|_| {});
        let recorded = RecordedRequests::default();
        record_requests(&setup.origin, &recorded);
        // A connection to the origin exists, so that attempts would be sent immediately.
        let mut client = setup.client();
        client.request(1, "book-car", "5000", &[], b"");
        while recorded.lock().unwrap().is_empty() {
            std::thread::sleep(Duration::from_millis(1));
        }
        setup.while_stopped(|| {
            let mut departing = setup.client();
            let body = vec![b'b'; body_bytes];
            for stream in 0..requests {
                departing.request(2 + stream, "book-car", "5000", &[], &body);
            }
            close_all([departing.0]);
        });
        wait_since(Instant::now(), CANCELLATION_TIMEOUT);
        let count = recorded.lock().unwrap().len();
        assert_eq!(count, 1, "forwarded for a client that has left");
    }
}

// Guards against a client that has closed its write side alone and is taken for one that has left.
#[test]
fn half_closed_client_with_much_unread_input_is_answered() {
    let setup = TestFront::new(|_| {});
    let nodes = setup.caches.iter().chain([&setup.origin]);
    nodes.for_each(|node| drop(operations::serve_hits(node)));
    let mut client = setup.client();
    setup.while_stopped(|| {
        for stream in 2..20 {
            client.request(stream, "book-car", "5000", &[], &[b'b'; 3_000]);
        }
        client.0.shutdown(std::net::Shutdown::Write).unwrap();
    });
    let mut served = 0;
    while let Some(received) = client.receive() {
        served += u32::from(received.ends_with("bytes"));
    }
    assert_eq!(served, 18);
}

#[test]
fn cancellation_from_a_throttled_client_is_read_in_time() {
    // A rejected request is retried after a tenth of the latency objective, 0.12 s.
    let setup = TestFront::new(|config| config["settings"]["classes"][2]["aim"] = 1_200_000.into());
    let recorded = RecordedRequests::default();
    record_requests(&setup.origin, &recorded);
    let attempts = |stream: u32| {
        let id = format!("{stream:016x}");
        recorded
            .lock()
            .unwrap()
            .iter()
            .filter(|(recorded, _)| *recorded == id)
            .count()
    };
    // Several clients, as the delay depends on the position in the front's sweeps every 250 ms.
    for stream in (0..5).map(|n| 10 + n) {
        let mut client = setup.client();
        client.request(stream, "book-car", "20000", &[], b"keys");
        while attempts(stream) == 0 {
            std::thread::yield_now();
        }
        // A request without fields fails, and the front then reads less often from its client.
        client.send(10, 2, &[0]);
        assert!(client.receive().unwrap().starts_with("type 11 stream 2"));
        client.send(12, stream, b"");
        let turned_away =
            format!("*4\r\n$16\r\n{stream:016x}\r\n$4\r\nSHED\r\n$1\r\n-\r\n$0\r\n\r\n");
        recorded
            .lock()
            .unwrap()
            .last_mut()
            .unwrap()
            .1
            .write_all(turned_away.as_bytes())
            .unwrap();
        std::thread::sleep(SETTLE_TIME);
        assert_eq!(
            attempts(stream),
            1,
            "an attempt was made for a cancelled request"
        );
    }
}

#[test]
fn flooding_clients_delay_neither_deadlines_nor_discovery() {
    let setup = TestFront::new(|_| {});
    let (mut stream, _) = accept_feed(&setup.feed);
    // Cancellations of unknown requests have no response.
    let cancellations = [0, 0, 0, 5, 12, 0, 0, 0, 9].repeat(4_000);
    let writers: Vec<_> = (0..8)
        .map(|_| RepeatedWriter::new(setup.client().0, cancellations.clone()))
        .collect();
    let mut client = setup.client();
    for n in 1..=5 {
        client.request(n, "page-bits", "400", &[], b"");
        let sent_at = Instant::now();
        assert!(
            client
                .receive()
                .unwrap()
                .starts_with(&format!("type 11 stream {n}")),
            "no response without a node that responds"
        );
        assert!(
            sent_at.elapsed() < Duration::from_millis(1_400),
            "{:?}",
            sent_at.elapsed()
        );
    }
    let nodes = [0, 1]
        .map(|i| node_record(CACHE_IDS[i], setup.caches[i].local_addr().unwrap(), 1, 0))
        .concat();
    stream.write_all(&feed_event(2, 2, &nodes)).unwrap();
    // The event applies within half a second, and later requests go to the origin.
    std::thread::sleep(Duration::from_millis(500));
    client.request(6, "page-bits", "5000", &[], b"");
    let mut origin = accept_node(&setup.origin);
    loop {
        let fetch = origin.receive().unwrap();
        if fetch[0] == "fetch" && fetch[1] == format!("{:016x}", 6) {
            break;
        }
    }
    writers
        .into_iter()
        .for_each(|writer| assert!(!writer.stop(), "the front closed a flooding client"));
}

/// Waits for the front to exit with code 0; returns the time since `since`.
fn wait_exit(setup: &mut TestFront, since: Instant) -> Duration {
    assert_eq!(setup.child.wait().unwrap().code(), Some(0));
    since.elapsed()
}

/// Whether a connection ends with a close rather than a reset.
fn closes_cleanly(client: &mut Client) -> bool {
    matches!(client.0.read(&mut [0; 1]), Ok(0))
}

#[test]
fn shutdown_with_hanging_nodes_and_idle_clients_is_bounded_and_answers_all() {
    // The time limit is 0.7 s after the longest deadline of a class, of which at most three seconds count.
    for (longest, killed) in [(60_000_000u64, 3_700), (1_000_000, 1_700), (400_000, 1_100)] {
        let mut setup = TestFront::new(|config| {
            (0..3).for_each(|class| {
                config["settings"]["classes"][class]["deadline"] = longest.into()
            });
        });
        let (mut waiting, mut idle) = (setup.client(), setup.client());
        idle.send(20, 1, &[0]);
        assert!(idle.receive().unwrap().starts_with("type 21"));
        setup.signal("-TERM");
        let terminated_at = Instant::now();
        assert!(waiting.receive().unwrap().starts_with("type 30"));
        assert!(idle.receive().unwrap().starts_with("type 30"));
        // This request arrives after the signal and has a longer timeout than remains.
        while terminated_at.elapsed() < Duration::from_millis(600) {
            std::thread::sleep(Duration::from_millis(5));
        }
        waiting.request(1, "page-bits", "50000", &[], b"");
        let (_, mut cache) = accept_any_node(&setup);
        cache.receive().unwrap();
        ["-TERM", "-HUP"]
            .iter()
            .for_each(|signal| setup.signal(signal));
        assert!(
            waiting.receive().unwrap().starts_with("type 11 stream 1"),
            "{longest}"
        );
        assert!(
            closes_cleanly(&mut waiting) && closes_cleanly(&mut idle),
            "{longest}"
        );
        let took = wait_exit(&mut setup, terminated_at);
        assert!(took < Duration::from_millis(killed), "{longest}: {took:?}");
    }
}

/// Sends requests on one connection until the front closes it. Returns the requests without a response that were sent well before
/// the close, and the number of responses.
fn request_until_closed(mut client: Client) -> (Vec<u32>, usize) {
    let mut reads = Client(client.0.try_clone().unwrap());
    let answers = std::thread::spawn(move || {
        let mut answered = Vec::new();
        while let Some(received) = reads.receive() {
            // "type 11 stream N: ..." is a response.
            let stream: Option<u32> = received
                .strip_prefix("type 11 stream ")
                .and_then(|t| t.split(':').next()?.parse().ok());
            answered.extend(stream);
        }
        (answered, Instant::now())
    });
    let mut sent: Vec<(u32, Instant)> = Vec::new();
    for stream in 1u32.. {
        let (txn, part) = (format!("{stream:016x}"), stream.to_string());
        let more = [
            ("txn", &txn[..]),
            ("item", "7f3a9c21e0b4d655"),
            ("part", &part),
        ];
        if answers.is_finished() || client.try_request(stream, "page-bits", &more).is_err() {
            break;
        }
        sent.push((stream, Instant::now()));
        // Keeps the number of open requests below the limit of a connection.
        std::thread::sleep(Duration::from_millis(120));
    }
    let (answered, ended): (Vec<u32>, Instant) = answers.join().unwrap();
    // Requests sent shortly before the close may be unread; their client repeats them on another front.
    let before = |at: Instant| at + Duration::from_millis(50) < ended;
    let open = sent
        .iter()
        .filter(|(stream, at)| before(*at) && !answered.contains(stream));
    (open.map(|(stream, _)| *stream).collect(), answered.len())
}

#[test]
fn shutdown_is_bounded_and_answers_all_while_clients_keep_sending() {
    for (longest, killed) in [(60_000_000u64, 3_700), (1_000_000, 1_700), (400_000, 1_100)] {
        let mut setup = TestFront::new(|config| {
            (0..3).for_each(|class| {
                config["settings"]["classes"][class]["deadline"] = longest.into()
            });
        });
        // One node responds, the others never do.
        drop(operations::serve_hits(&setup.caches[0]));
        let recorded = RecordedRequests::default();
        [&setup.caches[1], &setup.origin]
            .iter()
            .for_each(|at| record_requests(at, &recorded));
        let clients: Vec<_> = (0..8).map(|_| setup.client()).collect();
        let clients = clients
            .into_iter()
            .map(|client| std::thread::spawn(|| request_until_closed(client)));
        let clients: Vec<_> = clients.collect();
        std::thread::sleep(SETTLE_TIME);
        setup.signal("-TERM");
        let terminated_at = Instant::now();
        let took = wait_exit(&mut setup, terminated_at);
        assert!(took < Duration::from_millis(killed), "{longest}: {took:?}");
        for client in clients {
            let (open, answered) = client.join().unwrap();
            assert!(
                open.is_empty() && answered > 0,
                "deadline {longest} us: no response to {open:?}, {answered} responses"
            );
        }
    }
}

#[test]
fn request_on_a_shut_down_connection_is_not_forwarded() {
    let setup = TestFront::new(operations::with_operator_address);
    let at = operations::operator_address(&setup.log);
    let mut idle = setup.client();
    idle.send(20, 1, &[0]);
    assert!(idle.receive().unwrap().starts_with("type 21"));
    // A quiesced front closes idle connections and still serves on others.
    let emptied = Instant::now();
    operations::operator_command(at, "quiesce");
    assert!(idle.receive().unwrap().starts_with("type 30") && closes_cleanly(&mut idle));
    // A request sent before the client sees the close is dropped without a reset.
    idle.request(2, "page-bits", "5000", &[], b"");
    assert!(
        late_connections(&setup.caches[0]) == Some(0)
            && late_connections(&setup.caches[1]) == Some(0)
    );
    assert!(
        emptied.elapsed() > Duration::from_millis(1_500),
        "the check ended too early to show a rejection"
    );
}

#[test]
fn late_input_is_read_during_shutdown_to_avoid_a_reset() {
    // Whether the front is still running when the client sees the close depends on the scheduler, hence five attempts.
    let shown = (0..5).any(|_| {
        let mut setup = TestFront::new(|_| {});
        let mut idle = setup.client();
        idle.send(20, 1, &[0]);
        assert!(idle.receive().unwrap().starts_with("type 21"));
        setup.signal("-TERM");
        let terminated_at = Instant::now();
        assert!(idle.receive().unwrap().starts_with("type 30") && closes_cleanly(&mut idle));
        if !setup.while_stopped(|| idle.request(2, "page-bits", "5000", &[], b"")) {
            return false;
        }
        let took = wait_exit(&mut setup, terminated_at);
        assert!(took < Duration::from_millis(3_700), "{took:?}");
        assert!(
            idle.0.take_error().unwrap().is_none(),
            "the connection was reset because of unread bytes"
        );
        true
    });
    assert!(shown);
}

#[test]
fn request_arriving_with_the_shutdown_of_its_connection_is_answered() {
    let mut setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.send(20, 1, &[0]);
    assert!(client.receive().unwrap().starts_with("type 21"));
    setup.signal("-TERM");
    let terminated_at = Instant::now();
    assert!(client.receive().unwrap().starts_with("type 30"));
    setup.while_stopped(|| {
        while terminated_at.elapsed() < Duration::from_millis(1_100) {
            std::thread::sleep(Duration::from_millis(5));
        }
        client.request(2, "page-bits", "5000", &[], b"");
    });
    let (_, mut cache) = accept_any_node(&setup);
    let fetch = cache.receive().unwrap();
    cache.respond(&fetch[1], "HIT", "-", "at the last moment");
    assert!(client.receive().unwrap().ends_with("at the last moment"));
    assert!(closes_cleanly(&mut client));
    assert!(wait_exit(&mut setup, terminated_at) < Duration::from_millis(3_700));
}

#[test]
fn partially_received_request_is_answered_during_shutdown() {
    let mut setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.send(20, 1, &[0]);
    assert!(client.receive().unwrap().starts_with("type 21"));
    let ready = [&[0, 0, 0, 6, 20, 0, 0, 0, 2][..], &[0]].concat();
    setup.signal("-TERM");
    let terminated_at = Instant::now();
    assert!(client.receive().unwrap().starts_with("type 30"));
    while terminated_at.elapsed() < Duration::from_millis(700) {
        std::thread::sleep(Duration::from_millis(5));
    }
    client.0.write_all(&ready[..7]).unwrap();
    // The rest arrives when the front would have closed the connection.
    while terminated_at.elapsed() < Duration::from_millis(1_300) {
        std::thread::sleep(Duration::from_millis(5));
    }
    client.0.write_all(&ready[7..]).unwrap();
    assert!(client.receive().unwrap().starts_with("type 21 stream 2"));
    assert!(closes_cleanly(&mut client));
    assert!(wait_exit(&mut setup, terminated_at) < Duration::from_millis(3_700));
}

#[test]
fn signals_during_startup_are_handled_after_it() {
    for (signals, ends) in [
        (&["-TERM"][..], true),
        (&["-HUP"], false),
        (&["-HUP", "-TERM"], true),
    ] {
        let setup = TestFront::new(|_| {});
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
        // Opening succeeds once the front opens the pipe to read its configuration.
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
        // A reload reads a regular file.
        std::fs::remove_file(&file).unwrap();
        std::fs::write(&file, setup.config.to_string()).unwrap();
        pipe.write_all(setup.config.to_string().as_bytes()).unwrap();
        drop(pipe);
        let log = read_log(
            &mut front,
            tempfile::NamedTempFile::new().unwrap().into_temp_path(),
        );
        let mut process = operations::Process { child: front, log };
        wait_for_line(&process.log, "listening");
        if !ends {
            wait_for_line(&process.log, "SIGHUP: configuration read");
            process.child.kill().unwrap();
        }
        let code = process.child.wait().unwrap().code();
        assert_eq!(code, ends.then_some(0), "{signals:?}");
    }
}

#[test]
fn sighup_and_sigterm_in_one_turn_are_both_handled() {
    let mut setup = TestFront::new(|_| {});
    let (mut old, _) = accept_feed(&setup.feed);
    old.write_all(&feed_event(2, 4, &[0; 10])).unwrap();
    assert!(setup.readiness().unwrap().starts_with("type 21"));
    let moved = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = setup.config.clone();
    config["feed"] = moved.local_addr().unwrap().to_string().into();
    std::fs::write(&setup.file, config.to_string()).unwrap();
    setup.while_stopped(|| {
        ["-HUP", "-TERM"]
            .iter()
            .for_each(|signal| setup.signal(signal))
    });
    let terminated_at = Instant::now();
    // Drains and purges are still received during a graceful shutdown.
    let (_new, last) = accept_feed(&moved);
    assert_eq!(last, 2);
    assert!(wait_exit(&mut setup, terminated_at) < Duration::from_millis(3_700));
}

/// Requests received by nodes: transaction id and the connection for the response.
type RecordedRequests = Arc<std::sync::Mutex<Vec<(String, TcpStream)>>>;

/// Records the requests of a node without responding.
fn record_requests(at: &TcpListener, recorded: &RecordedRequests) {
    let (at, recorded) = (at.try_clone().unwrap(), Arc::clone(recorded));
    std::thread::spawn(move || {
        for stream in at.incoming().map_while(Result::ok) {
            let recorded = Arc::clone(&recorded);
            std::thread::spawn(move || {
                let answers = stream.try_clone().unwrap();
                let mut node = NodeConnection(BufReader::new(stream));
                while let Some(words) = node.receive() {
                    if words[0] == "fetch" {
                        recorded
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
fn queued_requests_of_disconnected_clients_are_not_forwarded() {
    for resets in [false, true] {
        let setup = TestFront::new(|config| {
            for node in config["known"]["events"][0]["members"]["instances"]
                .as_array_mut()
                .unwrap()
            {
                node["weight"] = 1.into();
            }
        });
        let recorded = RecordedRequests::default();
        setup
            .caches
            .iter()
            .chain([&setup.origin])
            .for_each(|at| record_requests(at, &recorded));
        let mut clients: Vec<_> = (0..20).map(|_| setup.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            for stream in 1..=30 {
                let txn = format!("{:016x}", n * 100 + stream);
                let more = [
                    ("txn", &txn[..]),
                    ("item", "7f3a9c21e0b4d655"),
                    ("part", &stream.to_string()),
                ];
                client
                    .try_request(stream as u32, "page-bits", &more)
                    .unwrap();
            }
            client.send(20, 99, &[0]);
            while !client.receive().unwrap().starts_with("type 21") {}
        }
        std::thread::sleep(SETTLE_TIME);
        let out = recorded.lock().unwrap().len();
        assert!(
            0 < out && out < 600,
            "{out} of 600 requests were sent to nodes"
        );
        // All clients leave in one turn of the event loop.
        setup.while_stopped(|| {
            for client in &mut clients {
                if resets {
                    socket2::SockRef::from(&client.0)
                        .set_linger(Some(Duration::ZERO))
                        .unwrap();
                } else {
                    (1..=30).for_each(|stream| client.send(12, stream, b""));
                }
            }
            if resets {
                close_all(clients.drain(..).map(|client| client.0));
            }
        });
        wait_since(Instant::now(), CANCELLATION_TIMEOUT);
        for (id, stream) in &mut *recorded.lock().unwrap() {
            let _ = stream.write_all(hit_response(id, "too late").as_bytes());
        }
        std::thread::sleep(SETTLE_TIME);
        assert_eq!(
            recorded.lock().unwrap().len(),
            out,
            "queued requests of disconnected clients were sent"
        );
    }
}

#[test]
fn expired_queued_requests_are_not_forwarded_by_a_late_turn() {
    let setup = TestFront::new(|config| {
        for node in config["known"]["events"][0]["members"]["instances"]
            .as_array_mut()
            .unwrap()
        {
            node["weight"] = 1.into();
        }
    });
    let recorded = RecordedRequests::default();
    setup
        .caches
        .iter()
        .chain([&setup.origin])
        .for_each(|at| record_requests(at, &recorded));
    let (mut first, mut late) = (setup.client(), setup.client());
    let mut begun = Instant::now();
    // The first requests occupy all slots.
    for (n, client, limit, requests) in [(1, &mut first, "20000", 6), (2, &mut late, "1500", 30)] {
        begun = Instant::now();
        for stream in 1..=requests {
            let txn = format!("{:016x}", n * 100 + stream);
            client.request(
                stream,
                "page-bits",
                limit,
                &[("txn", &txn), ("part", &stream.to_string())],
                b"",
            );
        }
        client.send(20, 99, &[0]);
        while !client.receive().unwrap().starts_with("type 21") {}
    }
    let out = || {
        recorded
            .lock()
            .unwrap()
            .iter()
            .map(|(id, _)| id.clone())
            .collect::<Vec<_>>()
    };
    let waiting = |n: u32| !out().contains(&format!("{:016x}", 200 + n));
    setup.while_stopped(|| {
        while begun.elapsed() < Duration::from_millis(1_600) {
            std::thread::sleep(Duration::from_millis(5));
        }
        assert!(
            (1..=30).all(waiting),
            "a request was sent without a free slot"
        );
        for (id, stream) in &mut *recorded.lock().unwrap() {
            stream
                .write_all(hit_response(id, "room").as_bytes())
                .unwrap();
        }
    });
    // All requests have exceeded their deadline.
    let answers = (0..30).map(|_| late.receive().unwrap()).collect::<Vec<_>>();
    assert!(answers
        .iter()
        .all(|received| received.starts_with("type 11")));
    std::thread::sleep(SETTLE_TIME);
    assert!((1..=30).all(waiting), "{:?}", out());
}

#[test]
fn processes_terminated_in_any_order_during_handover_leave_one_that_serves() {
    let setup = TestFront::new(|_| {});
    setup
        .caches
        .iter()
        .chain([&setup.origin])
        .for_each(|instance| drop(operations::serve_hits(instance)));
    let inherited = operations::InheritedListener::new(&setup.config);
    let at = inherited.listener.local_addr().unwrap();
    let requests = |stream: u32| {
        let mut client = Client(TcpStream::connect(at).unwrap());
        client.request(stream, "page-bits", "20000", &[], b"");
        client.receive().unwrap().contains("bytes")
    };
    let (mut old, _) = inherited.start();
    wait_for_line(&old.log, "accepts clients");
    let (mut waiting, _) = inherited.start();
    wait_for_line(&waiting.log, "waits for another process");
    // The waiting process is terminated first; the other one keeps serving.
    waiting.signal("-TERM");
    assert_eq!(waiting.child.wait().unwrap().code(), Some(0));
    assert!(requests(1));
    // The serving and one waiting process are terminated together: a third takes over.
    let (mut both, _) = inherited.start();
    wait_for_line(&both.log, "waits for another process");
    let (third, _) = inherited.start();
    wait_for_line(&third.log, "waits for another process");
    [&old, &both]
        .iter()
        .for_each(|process| process.signal("-TERM"));
    wait_for_line(&third.log, "accepts clients");
    assert!(requests(2));
    let codes = [&mut old, &mut both].map(|process| process.child.wait().unwrap().code());
    assert_eq!(codes, [Some(0); 2]);
    assert!(requests(3));
}

#[test]
fn oversized_responses_end_only_their_connection_and_requests_move() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    // A request whose connection must not be affected.
    client.request(1, "book-car", "20000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let booking = origin.receive().unwrap();
    let heads = [
        "*4\r\n$16\r\n{}\r\n$3\r\nHIT\r\n$3000000000\r\n",
        "*9999999\r\n",
        "*4\r\n$-1\r\n",
        "*4\r\n$16\r\n{}\r\n$99999999999999999999\r\n",
    ];
    for (n, head) in heads.iter().enumerate() {
        let stream = 2 + n as u32;
        client.request(
            stream,
            "page-bits",
            "20000",
            &[("part", &stream.to_string())],
            b"",
        );
        let (_, mut cache) = accept_any_node(&setup);
        let fetch = cache.receive().unwrap();
        cache
            .0
            .get_mut()
            .write_all(head.replace("{}", &fetch[1]).as_bytes())
            .unwrap();
        assert_eq!(cache.receive(), None, "{head}");
        let (_, mut other) = accept_any_node(&setup);
        let fetch = other.receive().unwrap();
        assert_eq!(fetch[1], format!("{stream:016x}"));
        other.respond(&fetch[1], "HIT", "-", "moved");
        assert!(client.receive().unwrap().ends_with("moved"), "{head}");
    }
    origin.respond(&booking[1], "HIT", "-", "booked");
    assert!(client.receive().unwrap().ends_with("booked"));
}

#[test]
fn front_stopped_past_its_shutdown_deadline_answers_all_and_exits() {
    let mut setup = TestFront::new(|config| {
        (0..3)
            .for_each(|class| config["settings"]["classes"][class]["deadline"] = 1_000_000.into());
    });
    let (mut waiting, mut requests) = (setup.client(), setup.client());
    requests.send(20, 1, &[0]);
    assert!(requests.receive().unwrap().starts_with("type 21"));
    waiting.request(1, "book-car", "50000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    origin.receive().unwrap();
    setup.signal("-TERM");
    let terminated_at = Instant::now();
    assert!(
        waiting.receive().unwrap().starts_with("type 30")
            && requests.receive().unwrap().starts_with("type 30")
    );
    // The shutdown deadline passes while the front is stopped.
    setup.while_stopped(|| {
        requests.request(2, "book-car", "50000", &[], b"keys");
        while terminated_at.elapsed() < Duration::from_millis(2_500) {
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    // The write at the origin may have been executed: it fails instead of being rejected, as the client would repeat it.
    assert!(waiting
        .receive()
        .unwrap()
        .starts_with("type 11 stream 1: \\x03"));
    assert!(requests.receive().unwrap().starts_with("type 11 stream 2"));
    wait_exit(&mut setup, terminated_at);
}
