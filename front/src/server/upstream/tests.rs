use super::*;
use crate::routing::FillInstructions;
use crate::transport::Reactor;
use std::io;

fn fetch(n: u64) -> Fetch {
    Fetch {
        transaction: TransactionId::new(&format!("{n:016x}")).unwrap(),
        class: "page-bits".into(),
        object: None,
        part: 0,
        deadline: 60_000_000,
        write_by: Timestamp::MAX,
        fill: None,
        cached_tag: None,
        idempotency_key: None,
        write: false,
        execution: None,
        body: b"".as_slice().into(),
    }
}

const ENDPOINT: EndpointId = EndpointId(1);

/// One endpoint behind `listener`, with a limit on connections.
fn upstream(max_connections: usize, listener: &std::net::TcpListener) -> UpstreamConnections {
    let mut upstream = UpstreamConnections::new(max_connections, 100, 15_000_000, 5_000_000);
    let state = EndpointState::Ready;
    let entry = EndpointEntry {
        endpoint: ENDPOINT,
        kind: 0,
        zone: 0,
        cell: 0,
        weight: 1.0,
        started: 0,
        state,
    };
    upstream.update_endpoint(&entry, listener.local_addr().unwrap(), &mut Vec::new());
    upstream
}

fn attempt(n: u64) -> AttemptId {
    AttemptId {
        request: cranesill::api::RequestId(n),
        number: 0,
    }
}

#[test]
fn attempts_on_a_failed_connection_count_as_one_failure_and_duplicates() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(1, &listener);
    for n in 1..=3 {
        upstream.send(
            0,
            &reactor,
            9,
            Target {
                attempt: attempt(n),
                endpoint: ENDPOINT,
                write_deadline: Timestamp::MAX,
            },
            &fetch(n),
            &mut ends,
        );
    }
    // The id cannot be used twice on a connection, and the limit allows no other connection.
    upstream.send(
        0,
        &reactor,
        9,
        Target {
            attempt: attempt(4),
            endpoint: ENDPOINT,
            write_deadline: Timestamp::MAX,
        },
        &fetch(3),
        &mut ends,
    );
    assert!(matches!(ends[..], [(_, AttemptEnd::NoConnection)]));
    upstream.fail_unestablished(9, &mut ends);
    let duplicate_failure: Vec<_> = ends[1..]
        .iter()
        .map(|e| {
            matches!(
                e.1,
                AttemptEnd::Unsent {
                    duplicate_failure: true
                }
            )
        })
        .collect();
    assert_eq!(duplicate_failure, [false, true, true]);
}

#[test]
fn unwritten_attempts_are_withdrawn_when_their_endpoint_or_source_is_excluded() {
    // Guards against attempts written to a draining endpoint because connecting took longer than the drain grace period.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(9, &listener);
    let source = |id: u64| FillInstructions {
        source: Some(EndpointId(id)),
        rank: 1,
        max_age: 0,
        coalesce: false,
        cached_only: false,
        revalidate: false,
    };
    for n in 1..=3 {
        let fetch = Fetch {
            fill: Some(source(n)),
            ..fetch(n)
        };
        upstream.send(
            0,
            &reactor,
            n as usize,
            Target {
                attempt: attempt(n),
                endpoint: ENDPOINT,
                write_deadline: Timestamp::MAX,
            },
            &fetch,
            &mut ends,
        );
    }
    let only_withdrawn = |withdrawn| ExcludedAttempts {
        in_flight: 0,
        withdrawn,
    };
    let excluded = upstream.exclude(EndpointId(2), &mut ends);
    assert_eq!(excluded, only_withdrawn(1));
    assert!(
        matches!(ends[..], [(two, AttemptEnd::NoConnection)] if two == attempt(2)),
        "{ends:?}"
    );
    assert_eq!(upstream.exclude(ENDPOINT, &mut ends), only_withdrawn(2));
    assert_eq!(ends.len(), 3);
    // The connections are established now; nothing may be written on them.
    for key in 1..=3 {
        reactor.wait(0, Some(100_000)).unwrap();
        upstream.ready(0, key, false, &mut ends);
    }
    assert_eq!((upstream.attempts_written, ends.len()), (0, 3));
    // A written attempt stays open.
    let target = Target {
        attempt: attempt(4),
        endpoint: ENDPOINT,
        write_deadline: Timestamp::MAX,
    };
    upstream.send(0, &reactor, 4, target, &fetch(4), &mut ends);
    let in_flight = ExcludedAttempts {
        in_flight: 1,
        withdrawn: 0,
    };
    assert_eq!(upstream.exclude(ENDPOINT, &mut ends), in_flight);
    assert_eq!((upstream.attempts_written, ends.len()), (1, 3));
}

#[test]
fn a_connection_without_a_response_for_too_long_gets_no_further_attempts() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(9, &listener);
    let mut starts_connection = |now: Timestamp, n: u64, out: Micros| {
        let target = Target {
            attempt: attempt(n),
            endpoint: ENDPOINT,
            write_deadline: Timestamp::MAX,
        };
        let started = upstream.send(now, &reactor, n as usize, target, &fetch(n), &mut ends);
        upstream.cancel(now + out, attempt(n), &mut ends);
        started.is_some()
    };
    assert!(starts_connection(0, 1, 10_000));
    // A short wait does not retire the connection, a long one does.
    assert!(!starts_connection(20_000, 2, 2_000_000));
    assert!(starts_connection(3_000_000, 3, 10_000));
}

#[test]
fn silent_waits_of_cancelled_attempts_add_up_until_the_connection_is_retired() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(9, &listener);
    let mut starts_connection = |n: u64| {
        let (now, target) = (
            n * 500_000,
            Target {
                attempt: attempt(n),
                endpoint: ENDPOINT,
                write_deadline: Timestamp::MAX,
            },
        );
        let started = upstream.send(now, &reactor, n as usize, target, &fetch(n), &mut ends);
        upstream.cancel(now + 400_000, attempt(n), &mut ends);
        started.is_some()
    };
    assert_eq!(
        [1, 2, 3, 4].map(&mut starts_connection),
        [true, false, false, true]
    );
}

#[test]
fn a_response_that_never_completes_is_aborted_after_the_longest_client_wait() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(9, &listener);
    upstream.send(
        0,
        &reactor,
        1,
        Target {
            attempt: attempt(1),
            endpoint: ENDPOINT,
            write_deadline: Timestamp::MAX,
        },
        &fetch(1),
        &mut ends,
    );
    let mut node = listener.accept().unwrap().0;
    let head = format!(
        "*4\r\n$16\r\n{:016x}\r\n$3\r\nHIT\r\n$1\r\n-\r\n$200000\r\n",
        1
    );
    node.write_all(head.as_bytes()).unwrap();
    let mut now = 0;
    // Four bytes arrive every 250 ms; the longest client wait is 5 s.
    while upstream.has_connection(1) && now < 60_000_000 {
        now += 250_000;
        node.write_all(b"more").unwrap();
        while !reactor
            .wait(0, Some(20_000_000))
            .unwrap()
            .iter()
            .any(|event| event.readable)
        {}
        upstream.ready(now, 1, true, &mut ends);
        upstream.sweep(now, &mut ends);
    }
    assert!((5_000_000..6_000_000).contains(&now), "{now}");
    assert!(
        matches!(ends[..], [(_, AttemptEnd::Broken { .. })]),
        "{ends:?}"
    );
}

/// The endpoint's side of a connection, with the attempts open there according to the commands received.
struct RemoteEnd {
    socket: std::net::TcpStream,
    bytes: Vec<u8>,
    open: HashSet<u64>,
    /// Whether reading is suspended.
    frozen: bool,
    is_closed: bool,
}

impl RemoteEnd {
    /// Reads and processes all commands received so far.
    fn read(&mut self) {
        use std::io::Read;
        let mut chunk = vec![0; 1 << 16];
        while !self.frozen && !self.is_closed {
            match self.socket.read(&mut chunk) {
                Ok(0) => self.is_closed = true,
                Ok(n) => self.bytes.extend(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => self.is_closed = true,
            }
        }
        // A command is an array of bulk strings, each preceded by a line with its length.
        let line = |at: usize| {
            let end = at
                + self
                    .bytes
                    .get(at..)?
                    .windows(2)
                    .position(|two| two == b"\r\n")?;
            let n: usize = std::str::from_utf8(&self.bytes[at + 1..end])
                .ok()?
                .parse()
                .ok()?;
            Some((n, end + 2))
        };
        let mut done = 0;
        let complete_command = |from: usize| {
            let (count, mut at) = line(from)?;
            let mut parts = Vec::new();
            for _ in 0..count {
                let (n, begin) = line(at)?;
                parts.push(self.bytes.get(begin..begin + n)?.to_vec());
                at = begin + n + 2;
            }
            (at <= self.bytes.len()).then_some((parts, at))
        };
        let mut open = self.open.clone();
        while let Some((parts, next)) = complete_command(done) {
            let txn = u64::from_str_radix(std::str::from_utf8(&parts[1]).unwrap(), 16).unwrap();
            // A cancelled attempt may already have been answered.
            if parts[0] == b"abort" {
                open.remove(&txn);
            } else {
                assert!(open.insert(txn), "{txn:x} was sent twice on a connection");
            }
            done = next;
        }
        self.bytes.drain(..done);
        self.open = if self.is_closed { HashSet::new() } else { open };
    }
}

/// Sends, cancels, answers, resets, withdraws and excludes attempts in random order on up to `max_connections` connections. Returns
/// how often an attempt was outstanding.
fn run_random_operations(seed: u64, max_connections: usize) -> usize {
    let listeners: Vec<_> = (0..2)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let mut reactor = Reactor::new().unwrap();
    let mut upstream = UpstreamConnections::new(max_connections, 100, 15_000_000, 5_000_000);
    for (n, listener) in listeners.iter().enumerate() {
        listener.set_nonblocking(true).unwrap();
        let (endpoint, state) = (EndpointId(n as u64 + 1), EndpointState::Ready);
        let entry = EndpointEntry {
            endpoint,
            kind: 0,
            zone: 0,
            cell: 0,
            weight: 1.0,
            started: 0,
            state,
        };
        upstream.update_endpoint(&entry, listener.local_addr().unwrap(), &mut Vec::new());
    }
    let mut rng = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut random = |n: u64| {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        rng % n
    };
    let (mut remotes, mut ends): (Vec<RemoteEnd>, Ends) = (Vec::new(), Vec::new());
    let mut wanted: HashMap<u64, AttemptId> = HashMap::new();
    let (mut now, mut number, mut key, mut outstanding) = (0, 0, 0, 0);
    for _ in 0..600 {
        now += random(40_000);
        let request = random(6) + 1;
        match random(12) {
            0..=4 if !wanted.contains_key(&request) => {
                (number, key) = (number + 1, key + 1);
                let id = AttemptId {
                    request: cranesill::api::RequestId(request),
                    number,
                };
                wanted.insert(request, id);
                let fetch = fetch(request);
                upstream.send(
                    now,
                    &reactor,
                    key,
                    Target {
                        attempt: id,
                        endpoint: EndpointId(1 + random(2)),
                        write_deadline: Timestamp::MAX,
                    },
                    &fetch,
                    &mut ends,
                );
            }
            0..=5 => {
                if let Some(id) = wanted.remove(&request) {
                    upstream.cancel(now, id, &mut ends);
                }
            }
            6 | 7 => {
                for event in reactor.wait(now, Some(now)).unwrap() {
                    upstream.ready(now, event.key, event.readable, &mut ends);
                }
            }
            8 => {
                let candidate = remotes
                    .iter_mut()
                    .filter(|f| !f.open.is_empty() && !f.frozen)
                    .nth(random(3) as usize);
                if let Some((remote, txn)) =
                    candidate.and_then(|f| f.open.iter().copied().min().map(|t| (f, t)))
                {
                    use std::io::Write;
                    remote.open.remove(&txn);
                    let text =
                        format!("*4\r\n$16\r\n{txn:016x}\r\n$4\r\nNONE\r\n$1\r\n-\r\n$0\r\n\r\n");
                    let _ = (&remote.socket).write_all(text.as_bytes());
                }
            }
            9 => {
                if let Some(remote) = remotes
                    .iter_mut()
                    .filter(|f| !f.is_closed)
                    .nth(random(6) as usize)
                {
                    match random(3) {
                        0 => {
                            let _ = remote.socket.shutdown(std::net::Shutdown::Both);
                            (remote.is_closed, remote.open) = (true, HashSet::new());
                        }
                        _ => remote.frozen = !remote.frozen,
                    }
                }
            }
            10 => match random(3) {
                0 => drop(upstream.exclude(EndpointId(1 + random(2)), &mut ends)),
                1 => wanted
                    .get(&request)
                    .copied()
                    .into_iter()
                    .for_each(|id| upstream.withdraw(id, &mut ends)),
                _ => upstream.fail_unestablished(1 + random(key.max(1) as u64) as usize, &mut ends),
            },
            _ => upstream.sweep(now, &mut ends),
        }
        for (id, _) in ends.drain(..) {
            let request = id.request.0;
            if wanted.get(&request) == Some(&id) {
                wanted.remove(&request);
            }
        }
        for listener in &listeners {
            while let Ok((socket, _)) = listener.accept() {
                socket.set_nonblocking(true).unwrap();
                remotes.push(RemoteEnd {
                    socket,
                    bytes: Vec::new(),
                    open: HashSet::new(),
                    frozen: false,
                    is_closed: false,
                });
            }
        }
        remotes.iter_mut().for_each(RemoteEnd::read);
        for request in 1..=6 {
            let out = remotes
                .iter()
                .filter(|remote| !remote.frozen && remote.open.contains(&request))
                .count();
            let most = usize::from(wanted.contains_key(&request));
            assert!(
                out <= most,
                "seed {seed}, {max_connections} connections: request {request} has {out} outstanding attempts, at most {most} allowed"
            );
            outstanding += out;
        }
    }
    outstanding
}

#[test]
fn at_most_one_attempt_of_a_request_is_outstanding_for_any_number_of_connections() {
    for max_connections in [2, 4, 12, 40] {
        let outstanding: usize = (0..20)
            .map(|seed| run_random_operations(seed * 41 + max_connections as u64, max_connections))
            .sum();
        assert!(
            outstanding > 1_000,
            "only {outstanding} outstanding attempts observed: the test is not meaningful"
        );
    }
}

#[test]
fn at_the_connection_limit_a_new_endpoint_replaces_the_longest_idle_connection() {
    let listeners: Vec<_> = (0..4)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(3, &listeners[0]);
    for (id, listener) in (1..).zip(&listeners) {
        let (endpoint, state) = (EndpointId(id), EndpointState::Ready);
        let entry = EndpointEntry {
            endpoint,
            kind: 0,
            zone: 0,
            cell: 0,
            weight: 1.0,
            started: 0,
            state,
        };
        upstream.update_endpoint(&entry, listener.local_addr().unwrap(), &mut Vec::new());
    }
    // The second and the third connection become idle, the third one first; the first keeps an open attempt.
    for n in 1..=3 {
        let target = Target {
            attempt: attempt(n),
            endpoint: EndpointId(n),
            write_deadline: Timestamp::MAX,
        };
        upstream.send(0, &reactor, n as usize, target, &fetch(n), &mut ends);
        while !upstream.connections[&(n as usize)].established {
            reactor.wait(0, Some(100_000)).unwrap();
            upstream.ready(0, n as usize, false, &mut ends);
        }
    }
    upstream.cancel(1_000, attempt(3), &mut ends);
    upstream.cancel(2_000, attempt(2), &mut ends);
    upstream.send(
        3_000,
        &reactor,
        4,
        Target {
            attempt: attempt(4),
            endpoint: EndpointId(4),
            write_deadline: Timestamp::MAX,
        },
        &fetch(4),
        &mut ends,
    );
    let mut kept: Vec<_> = upstream.connections.keys().copied().collect();
    kept.sort_unstable();
    assert_eq!((kept, ends.len()), (vec![1, 2, 4], 0));
    // A second connection to an endpoint does not close another one.
    upstream.send(
        4_000,
        &reactor,
        5,
        Target {
            attempt: attempt(5),
            endpoint: ENDPOINT,
            write_deadline: Timestamp::MAX,
        },
        &fetch(5),
        &mut ends,
    );
    assert!(upstream.has_connection(2) && !upstream.has_connection(5) && ends.is_empty());
}

#[test]
fn the_time_left_is_computed_when_the_request_is_written() {
    use std::io::Read;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(1, &listener);
    let fetch = Fetch {
        deadline: 1_000_000,
        ..fetch(1)
    };
    upstream.send(
        0,
        &reactor,
        9,
        Target {
            attempt: attempt(1),
            endpoint: ENDPOINT,
            write_deadline: Timestamp::MAX,
        },
        &fetch,
        &mut ends,
    );
    reactor.wait(0, Some(1_000_000)).unwrap();
    upstream.ready(300_000, 9, false, &mut ends);
    assert_eq!((upstream.attempts_written, ends.len()), (1, 0));
    let mut written = [0; 256];
    let n = listener.accept().unwrap().0.read(&mut written).unwrap();
    let text = String::from_utf8_lossy(&written[..n]);
    assert!(text.contains("limit=700"), "{text}");
    let held = upstream.buffered_bytes();
    assert_eq!(
        held, 0,
        "the total over connections is correct after the head was rewritten"
    );
}

/// A connection with open attempts that the endpoint has closed must not get a further one, even before the poller reports the close.
#[test]
fn an_attempt_avoids_a_busy_connection_that_the_endpoint_has_closed() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut upstream = upstream(2, &listener);
    let mut nodes = Vec::new();
    let target = |n| Target {
        attempt: attempt(n),
        endpoint: ENDPOINT,
        write_deadline: Timestamp::MAX,
    };
    for key in 1..=2 {
        upstream.send(
            0,
            &reactor,
            key,
            target(key as u64),
            &fetch(key as u64),
            &mut ends,
        );
        nodes.push(listener.accept().unwrap().0);
        while !upstream.connections[&key].established {
            reactor.wait(0, Some(1_000_000)).unwrap();
            upstream.ready(0, key, false, &mut ends);
        }
    }
    assert_eq!((upstream.attempts_written, ends.len()), (2, 0));
    // The command is read first, so that the close is no reset.
    let mut closed = nodes.remove(0);
    io::Read::read(&mut closed, &mut [0; 1_000]).unwrap();
    drop(closed);
    while !upstream.connections[&1].stream.is_closed_by_peer() {
        std::thread::yield_now();
    }
    upstream.send(0, &reactor, 3, target(3), &fetch(3), &mut ends);
    upstream.ready(0, 1, true, &mut ends);
    let ended: Vec<_> = ends.iter().map(|(attempt, _)| *attempt).collect();
    assert_eq!(ended, [attempt(1)], "{ends:?}");
}
