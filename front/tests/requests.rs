//! Requests through one front with scripted peers on loopback: forwarding, failures of peers and clients, limits, signals.
mod common;
use common::*;
use std::io::Write;

/// Accepts the front's first connection to a cache and returns it with the cache's index.
fn accept_first_attempt(setup: &TestFront) -> (usize, NodeConnection) {
    setup
        .caches
        .iter()
        .for_each(|c| c.set_nonblocking(true).unwrap());
    loop {
        for (i, cache) in setup.caches.iter().enumerate() {
            if let Ok((stream, _)) = cache.accept() {
                setup
                    .caches
                    .iter()
                    .for_each(|c| c.set_nonblocking(false).unwrap());
                stream.set_nonblocking(false).unwrap();
                return (i, NodeConnection(std::io::BufReader::new(stream)));
            }
        }
        std::thread::yield_now();
    }
}

#[test]
fn request_is_forwarded_to_a_cache_and_the_response_returned() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    let mut received = Vec::new();
    client.send(20, 1, &[0]);
    received.extend(client.receive());
    client.request(
        2,
        "page-bits",
        "2000",
        &[("part", "3"), ("group", "17")],
        b"",
    );
    let (_, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    received.push(fetch.join(" "));
    cache.respond(
        &fetch[1],
        "HIT",
        "ver=ab,tell=local,meter=load_share:0.5;concurrent:3;x1:0.1",
        "bytes",
    );
    received.extend(client.receive());
    // Validation of the copy that the client holds.
    client.request(
        3,
        "page-bits",
        "2000",
        &[("part", "3"), ("have", "4be0c1927d55a6f3")],
        b"",
    );
    let fetch = cache.receive().unwrap();
    received.push(fetch.join(" "));
    cache.respond(&fetch[1], "VALID", "ver=4be0c1927d55a6f3,tell=local", "");
    received.extend(client.receive());
    insta::assert_debug_snapshot!(received);
}

#[test]
fn write_is_retried_only_if_it_cannot_have_been_executed() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "book-car", "3000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let mut received = vec![origin.receive().unwrap().join(" ")];
    // Received completely before the connection broke: it may have been executed.
    drop(origin);
    received.extend(client.receive());
    // Rejected before execution: the front retries.
    client.request(2, "book-car", "3000", &[], b"keys");
    let mut origin = accept_node(&setup.origin);
    let fetch = origin.receive().unwrap();
    origin.respond(&fetch[1], "SHED", "-", "");
    // On a new connection: a duplicate of the first response could be mistaken for that of this attempt.
    origin.respond(&fetch[1], "SHED", "-", "");
    let mut origin = accept_node(&setup.origin);
    received.push(origin.receive().unwrap().join(" "));
    origin.respond(&fetch[1], "HIT", "-", "booked");
    received.extend(client.receive());
    insta::assert_debug_snapshot!(received);
}

#[test]
fn write_to_an_unreachable_origin_is_rejected_with_retry_after() {
    // Bound without listening: connections are refused, and no other test gets the port.
    let deaf = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    deaf.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    let at = deaf.local_addr().unwrap().as_socket().unwrap().to_string();
    let setup = TestFront::new(|config| {
        config["known"]["events"][0]["members"]["instances"][2]["hostPort"] = at.as_str().into();
    });
    let mut client = setup.client();
    client.request(1, "book-car", "3000", &[], b"keys");
    insta::assert_debug_snapshot!(client.receive());
}

#[test]
fn broken_connection_moves_its_read_to_another_node() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (at, mut cache) = accept_first_attempt(&setup);
    cache.receive().unwrap();
    // An undecodable response ends only this connection.
    cache.0.get_mut().write_all(b"+OK\r\n").unwrap();
    let mut other = accept_node(&setup.caches[1 - at]);
    let fetch = other.receive().unwrap();
    other.respond(&fetch[1], "HIT", "tell=pulled", "from the other");
    assert!(client.receive().unwrap().ends_with("from the other"));
}

#[test]
fn late_response_to_a_cancelled_request_is_dropped() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (_, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    client.send(12, 1, b"");
    assert_eq!(cache.receive().unwrap(), ["abort", &fetch[1]]);
    cache.respond(&fetch[1], "HIT", "-", "too late");
    // A request with the same id must use another connection, as the old one may still deliver the late response.
    let mut second = setup.client();
    second.request(1, "page-bits", "5000", &[], b"");
    let (_, mut fresh) = accept_first_attempt(&setup);
    let fetch = fresh.receive().unwrap();
    fresh.respond(&fetch[1], "HIT", "-", "in time");
    assert!(second.receive().unwrap().ends_with("in time"));
    // The first client received no response.
    client.send(20, 9, &[0]);
    assert!(client.receive().unwrap().starts_with("type 21 stream 9"));
}

#[test]
fn request_to_a_silent_cache_ends_at_the_clients_deadline() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "300", &[], b"");
    let (_, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    assert!(client
        .receive()
        .unwrap()
        .starts_with("type 11 stream 1: \\x02"));
    assert_eq!(cache.receive().unwrap(), ["abort", &fetch[1]]);
}

#[test]
fn requests_of_a_disconnected_client_are_cancelled() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (_, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    drop(client);
    assert_eq!(cache.receive().unwrap(), ["abort", &fetch[1]]);
}

#[test]
fn requests_before_an_invalid_frame_are_answered() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (_, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    client.0.write_all(&[0xff; 300]).unwrap();
    assert!(client.receive().unwrap().starts_with("type 11 stream 0"));
    client.0.write_all(&[0xff; 300]).unwrap();
    cache.respond(&fetch[1], "HIT", "-", "complete");
    assert!(client.receive().unwrap().ends_with("complete"));
    assert_eq!(client.receive(), None);
}

#[test]
fn invalid_frames_end_one_connection_and_invalid_fields_one_request() {
    let setup = TestFront::new(|_| {});
    let mut received = Vec::new();
    let mut client = setup.client();
    client.request(1, "no-such-class", "300", &[], b"");
    received.extend(client.receive());
    client.request(2, "page-bits", "soon", &[], b"");
    received.extend(client.receive());
    client.send(99, 0, b"");
    received.push(format!(
        "{:?} then {:?}",
        client.receive(),
        client.receive()
    ));
    let mut other = setup.client();
    other.0.write_all(&[0xff; 8]).unwrap();
    received.push(format!("{:?} then {:?}", other.receive(), other.receive()));
    received.extend(setup.readiness());
    insta::assert_debug_snapshot!(received);
}

#[test]
fn feed_resumes_from_the_last_event_after_reconnecting() {
    let setup = TestFront::new(|_| {});
    let (mut stream, last) = accept_feed(&setup.feed);
    assert_eq!(last, 1);
    // One cache drains, then the other; a repetition of the first event has no effect.
    let [a, b] = [0, 1].map(|i| (CACHE_IDS[i], setup.caches[i].local_addr().unwrap()));
    let first = feed_event(2, 2, &node_record(a.0, a.1, 1, 0));
    let second = feed_event(
        3,
        2,
        &[node_record(a.0, a.1, 0, 0), node_record(b.0, b.1, 1, 0)].concat(),
    );
    stream
        .write_all(&[&first[..], &second, &first, &[0, 0, 0, 1]].concat())
        .unwrap();
    // The last frame is undecodable: the front reconnects and resumes after its last event.
    let (mut stream, last) = accept_feed(&setup.feed);
    assert_eq!(last, 3);
    stream.write_all(&feed_event(3, 0, b"")).unwrap();
    let mut client = setup.client();
    for id in 1..=4 {
        client.request(id, "page-bits", "5000", &[("part", &id.to_string())], b"");
        let mut cache = accept_node(&setup.caches[0]);
        let fetch = cache.receive().unwrap();
        cache.respond(&fetch[1], "HIT", "-", "");
        client.receive().unwrap();
        drop(cache);
    }
}

#[test]
fn restarted_node_gets_new_connections_while_old_ones_are_silent() {
    // One cache; the lowest descriptor limit allows eighteen connections to each of two nodes.
    let setup = TestFront::new(|config| {
        config["limits"]["sockets"] = 96.into();
        config["known"]["events"][0]["members"]["instances"]
            .as_array_mut()
            .unwrap()
            .remove(1);
    });
    let (mut stream, _) = accept_feed(&setup.feed);
    let mut client = setup.client();
    let mut silent = Vec::new();
    for id in 1..=18 {
        client.request(id, "car-video", "60000", &[("part", &id.to_string())], b"");
        let mut old = accept_node(&setup.caches[0]);
        old.receive().unwrap();
        silent.push(old);
    }
    let at = setup.caches[0].local_addr().unwrap();
    stream
        .write_all(
            &[
                feed_event(2, 2, &node_record(CACHE_IDS[0], at, 0, 1)),
                vec![0; 4],
            ]
            .concat(),
        )
        .unwrap();
    let (_stream, last) = accept_feed(&setup.feed);
    assert_eq!(last, 2);
    client.request(19, "car-video", "60000", &[("part", "19")], b"");
    let fetch = accept_node(&setup.caches[0]).receive().unwrap();
    assert_eq!(fetch[1], format!("{:016x}", 19));
}

#[test]
fn sigterm_answers_open_requests_and_redirects_new_connections() {
    let mut setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (at, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    setup.signal("-TERM");
    let mut received = vec![client.receive()];
    let mut late = setup.client();
    received.push(late.receive());
    late.request(2, "page-bits", "5000", &[], b"");
    let mut second = accept_node(&setup.caches[at]);
    let new = second.receive().unwrap();
    second.respond(&new[1], "HIT", "-", "new");
    received.push(late.receive());
    cache.respond(&fetch[1], "HIT", "-", "old");
    received.push(client.receive());
    assert_eq!(setup.child.wait().unwrap().code(), Some(0));
    insta::assert_debug_snapshot!(received);
}

#[test]
fn sighup_moves_the_feed_and_keeps_open_requests() {
    let setup = TestFront::new(|_| {});
    let (mut old, _) = accept_feed(&setup.feed);
    old.write_all(&feed_event(2, 4, &[0; 10])).unwrap();
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (_, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    // An invalid file has no effect.
    std::fs::write(&setup.file, "{").unwrap();
    setup.signal("-HUP");
    wait_for_line(&setup.log, "the configuration stays as it was");
    let moved = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = setup.config.clone();
    config["feed"] = moved.local_addr().unwrap().to_string().into();
    std::fs::write(&setup.file, config.to_string()).unwrap();
    setup.signal("-HUP");
    let (_new, last) = accept_feed(&moved);
    assert_eq!(last, 2, "the feed did not resume after the last event");
    cache.respond(&fetch[1], "HIT", "-", "undisturbed");
    assert!(client.receive().unwrap().ends_with("undisturbed"));
}

#[test]
fn duplicate_response_does_not_complete_the_next_attempt() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (at, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    // A duplicate and an unrelated response must not complete the next attempt.
    cache.respond(&fetch[1], "NONE", "tell=not_there", "");
    cache.respond(&fetch[1], "NONE", "tell=not_there", "");
    cache.respond("00000000000000ff", "HIT", "-", "not asked for");
    let mut again = accept_node(&setup.caches[at]);
    let fetch = again.receive().unwrap();
    again.respond(&fetch[1], "HIT", "-", "filled");
    assert!(client.receive().unwrap().ends_with("filled"));
}

#[test]
fn silent_and_incomplete_clients_get_an_error_and_are_closed() {
    let setup = TestFront::new(|_| {});
    let [mut silent, mut half, mut usual] = [0; 3].map(|_| setup.client());
    half.0.write_all(&[0, 0, 1, 0, 10]).unwrap();
    usual.send(20, 1, &[0]);
    for client in [&mut silent, &mut half] {
        assert!(client.receive().unwrap().starts_with("type 11 stream 0"));
        assert_eq!(client.receive(), None);
    }
    // A client between two requests is kept.
    usual.send(20, 2, &[0]);
    assert!(usual.receive().unwrap().starts_with("type 21 stream 1"));
    assert!(usual.receive().unwrap().starts_with("type 21 stream 2"));
}

#[test]
fn truncated_response_moves_its_request() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (at, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    let begun = format!(
        "*4\r\n$16\r\n{}\r\n$3\r\nHIT\r\n$1\r\n-\r\n$900\r\nhal",
        fetch[1]
    );
    cache.0.get_mut().write_all(begun.as_bytes()).unwrap();
    let mut other = accept_node(&setup.caches[1 - at]);
    let fetch = other.receive().unwrap();
    other.respond(&fetch[1], "HIT", "-", "complete");
    assert!(client.receive().unwrap().ends_with("complete"));
}

#[test]
fn idle_connection_is_closed_for_a_new_one_at_the_limit() {
    let setup = TestFront::new(|config| config["limits"]["sockets"] = 96.into());
    let mut clients: Vec<_> = (0..80).map(|_| setup.client()).collect();
    let last = clients.last_mut().unwrap();
    last.send(20, 1, &[0]);
    assert!(last.receive().unwrap().starts_with("type 21"));
    assert_eq!(
        clients[0].receive(),
        None,
        "the connection idle for longest was not closed"
    );
}

#[test]
fn clients_that_do_not_read_are_disconnected_before_memory_runs_out() {
    let setup = TestFront::new(|config| config["limits"]["memory_mb"] = 16.into());
    for cache in &setup.caches {
        let cache = cache.try_clone().unwrap();
        std::thread::spawn(move || loop {
            let mut node = accept_node(&cache);
            std::thread::spawn(move || {
                while let Some(fetch) = node.receive() {
                    if fetch[0] == "fetch" {
                        node.respond(&fetch[1], "HIT", "-", &"x".repeat(240_000));
                    }
                }
            });
        });
    }
    // Four clients request more than memory and system buffers hold and read nothing.
    let mut slow: Vec<_> = (0..4).map(|_| setup.client_with_small_buffer()).collect();
    for (client, first) in slow.iter_mut().zip([100, 200, 300, 400]) {
        (first..first + 32).for_each(|id| client.request(id, "car-video", "60000", &[], b""));
    }
    let mut other = setup.client();
    for id in 1_000..1_200 {
        other.request(id, "car-video", "60000", &[], b"");
        assert!(other
            .receive()
            .unwrap()
            .starts_with(&format!("type 11 stream {id}")));
    }
    wait_for_line(
        &setup.log,
        "disconnected clients that do not read their responses",
    );
    let taken = slow
        .iter_mut()
        .map(|client| std::iter::from_fn(|| client.receive()).take(32).count());
    assert!(taken.sum::<usize>() < 4 * 32);
}

#[test]
fn invalid_configuration_ends_the_start_with_one_line() {
    let setup = TestFront::new(|_| {});
    let received = [
        ("listen", "nowhere"),
        ("known", "none"),
        ("feed", "127.0.0.1"),
    ]
    .map(|(key, value)| {
        let mut config = setup.config.clone();
        config[key] = value.into();
        let (front, file) = start(&config);
        let done = front.wait_with_output().unwrap();
        assert_eq!(done.status.code(), Some(1));
        String::from_utf8(done.stderr)
            .unwrap()
            .replace(&file.display().to_string(), "FILE")
    });
    insta::assert_debug_snapshot!(received);
}

#[test]
fn hit_without_a_valid_creation_time_is_not_returned() {
    let setup = TestFront::new(|_| {});
    let mut client = setup.client();
    client.request(1, "page-bits", "5000", &[], b"");
    let (at, mut cache) = accept_first_attempt(&setup);
    let fetch = cache.receive().unwrap();
    cache.respond(&fetch[1], "HIT", "born=soon", "spoilt");
    let mut other = accept_node(&setup.caches[1 - at]);
    let fetch = other.receive().unwrap();
    other.respond(&fetch[1], "HIT", "-", "good");
    assert!(client.receive().unwrap().ends_with("good"));
}
