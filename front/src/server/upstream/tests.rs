use super::*;
use crate::routing::FillSource;
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
        body: b"".as_slice().into(),
    }
}

const MEMBER: EndpointId = EndpointId(1);

/// One member behind a listener, and up to so many connections.
fn members(max_connections: usize, listener: &std::net::TcpListener) -> CacheNodes {
    let mut members = CacheNodes::new(max_connections, 100, 15_000_000, 5_000_000);
    let state = EndpointState::Ready;
    let entry = EndpointEntry {
        endpoint: MEMBER,
        kind: 0,
        zone: 0,
        cell: 0,
        weight: 1.0,
        started: 0,
        state,
    };
    members.update_endpoint(&entry, listener.local_addr().unwrap());
    members
}

fn attempt(n: u64) -> AttemptId {
    AttemptId {
        request: cranesill::api::RequestId(n),
        number: 0,
    }
}

#[test]
fn what_one_connection_carried_ends_as_one_failure_and_others_along_with_it() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut members = members(1, &listener);
    for n in 1..=3 {
        members.send(
            0,
            &reactor,
            9,
            Target {
                attempt: attempt(n),
                endpoint: MEMBER,
                write_deadline: Timestamp::MAX,
            },
            &fetch(n),
            &mut ends,
        );
    }
    // The same id can't go out twice there, and there is no other connection to be had.
    members.send(
        0,
        &reactor,
        9,
        Target {
            attempt: attempt(4),
            endpoint: MEMBER,
            write_deadline: Timestamp::MAX,
        },
        &fetch(3),
        &mut ends,
    );
    assert!(matches!(ends[..], [(_, AttemptEnd::NoConnection)]));
    members.fail_unestablished(9, &mut ends);
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
fn what_waits_for_a_connection_goes_to_no_member_that_was_left_out_meanwhile() {
    // Connections may take 400 ms to come up, and the rule on drains leaves 250 on one deployment, 500 on another.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut members = members(9, &listener);
    let source = |id: u64| FillSource {
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
        members.send(
            0,
            &reactor,
            n as usize,
            Target {
                attempt: attempt(n),
                endpoint: MEMBER,
                write_deadline: Timestamp::MAX,
            },
            &fetch,
            &mut ends,
        );
    }
    members.exclude(EndpointId(2), &mut ends);
    assert!(
        matches!(ends[..], [(two, AttemptEnd::NoConnection)] if two == attempt(2)),
        "{ends:?}"
    );
    members.exclude(MEMBER, &mut ends);
    assert_eq!(ends.len(), 3);
    // The connections come up now: nothing is written on them.
    for key in 1..=3 {
        reactor.wait(0, Some(100_000)).unwrap();
        members.ready(0, key, false, &mut ends);
    }
    assert_eq!((members.attempts_written, ends.len()), (0, 3));
}

#[test]
fn a_connection_on_which_an_answer_never_came_gets_no_other_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut members = members(9, &listener);
    let mut begins = |now: Timestamp, n: u64, out: Micros| {
        let target = Target {
            attempt: attempt(n),
            endpoint: MEMBER,
            write_deadline: Timestamp::MAX,
        };
        let begun = members.send(now, &reactor, n as usize, target, &fetch(n), &mut ends);
        members.abort(now + out, attempt(n), &mut ends);
        begun.is_some()
    };
    assert!(begins(0, 1, 10_000));
    // Given up soon it says nothing; after long silence the connection is of no further use.
    assert!(!begins(20_000, 2, 2_000_000));
    assert!(begins(3_000_000, 3, 10_000));
}

#[test]
fn where_clients_wait_for_less_than_silence_takes_to_tell_several_of_them_tell_it() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut members = members(9, &listener);
    let mut begins = |n: u64| {
        let (now, target) = (
            n * 500_000,
            Target {
                attempt: attempt(n),
                endpoint: MEMBER,
                write_deadline: Timestamp::MAX,
            },
        );
        let begun = members.send(now, &reactor, n as usize, target, &fetch(n), &mut ends);
        members.abort(now + 400_000, attempt(n), &mut ends);
        begun.is_some()
    };
    assert_eq!([1, 2, 3, 4].map(&mut begins), [true, false, false, true]);
}

#[test]
fn an_answer_that_comes_on_and_on_is_broken_off_once_nobody_can_wait_for_it() {
    use std::io::Write;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut members = members(9, &listener);
    members.send(
        0,
        &reactor,
        1,
        Target {
            attempt: attempt(1),
            endpoint: MEMBER,
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
    // A few bytes come four times a second; those who ask wait for 5 s.
    while members.has(1) && now < 60_000_000 {
        now += 250_000;
        node.write_all(b"more").unwrap();
        while !reactor
            .wait(0, Some(20_000_000))
            .unwrap()
            .iter()
            .any(|event| event.readable)
        {}
        members.ready(now, 1, true, &mut ends);
        members.sweep(now, &mut ends);
    }
    assert!((5_000_000..6_000_000).contains(&now), "{now}");
    assert!(
        matches!(ends[..], [(_, AttemptEnd::Broken { .. })]),
        "{ends:?}"
    );
}

/// A node's end of one connection: what came on it, and what is open there by that.
struct Far {
    socket: std::net::TcpStream,
    bytes: Vec<u8>,
    open: HashSet<u64>,
    /// It reads nothing for now.
    frozen: bool,
    over: bool,
}

impl Far {
    /// Takes in all that was written so far.
    fn read(&mut self) {
        use std::io::Read;
        let mut chunk = vec![0; 1 << 16];
        while !self.frozen && !self.over {
            match self.socket.read(&mut chunk) {
                Ok(0) => self.over = true,
                Ok(n) => self.bytes.extend(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(_) => self.over = true,
            }
        }
        // A command of strings, each behind a line with its length.
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
        let whole = |from: usize| {
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
        while let Some((parts, next)) = whole(done) {
            let txn = u64::from_str_radix(std::str::from_utf8(&parts[1]).unwrap(), 16).unwrap();
            // What is given up may have been answered meanwhile.
            if parts[0] == b"abort" {
                open.remove(&txn);
            } else {
                assert!(open.insert(txn), "{txn:x} came twice on a connection");
            }
            done = next;
        }
        self.bytes.drain(..done);
        self.open = if self.over { HashSet::new() } else { open };
    }
}

/// By random numbers: what is sent, given up, answered, reset, withdrawn and left out in any order, on so many connections.
fn any_order(seed: u64, max_connections: usize) -> usize {
    let listeners: Vec<_> = (0..2)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let mut reactor = Reactor::new().unwrap();
    let mut members = CacheNodes::new(max_connections, 100, 15_000_000, 5_000_000);
    for (n, listener) in listeners.iter().enumerate() {
        listener.set_nonblocking(true).unwrap();
        let (member, state) = (EndpointId(n as u64 + 1), EndpointState::Ready);
        let entry = EndpointEntry {
            endpoint: member,
            kind: 0,
            zone: 0,
            cell: 0,
            weight: 1.0,
            started: 0,
            state,
        };
        members.update_endpoint(&entry, listener.local_addr().unwrap());
    }
    let mut rng = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut roll = |n: u64| {
        rng ^= rng << 13;
        rng ^= rng >> 7;
        rng ^= rng << 17;
        rng % n
    };
    let (mut far, mut ends): (Vec<Far>, Ends) = (Vec::new(), Vec::new());
    let mut current: HashMap<u64, AttemptId> = HashMap::new();
    let (mut now, mut number, mut key, mut seen) = (0, 0, 0, 0);
    for _ in 0..600 {
        now += roll(40_000);
        let request = roll(6) + 1;
        match roll(12) {
            0..=4 if !current.contains_key(&request) => {
                (number, key) = (number + 1, key + 1);
                let id = AttemptId {
                    request: cranesill::api::RequestId(request),
                    number,
                };
                current.insert(request, id);
                let fetch = fetch(request);
                members.send(
                    now,
                    &reactor,
                    key,
                    Target {
                        attempt: id,
                        endpoint: EndpointId(1 + roll(2)),
                        write_deadline: Timestamp::MAX,
                    },
                    &fetch,
                    &mut ends,
                );
            }
            0..=5 => {
                if let Some(id) = current.remove(&request) {
                    members.abort(now, id, &mut ends);
                }
            }
            6 | 7 => {
                for event in reactor.wait(now, Some(now)).unwrap() {
                    members.ready(now, event.key, event.readable, &mut ends);
                }
            }
            8 => {
                let some = far
                    .iter_mut()
                    .filter(|f| !f.open.is_empty() && !f.frozen)
                    .nth(roll(3) as usize);
                if let Some((far, txn)) =
                    some.and_then(|f| f.open.iter().copied().min().map(|t| (f, t)))
                {
                    use std::io::Write;
                    far.open.remove(&txn);
                    let text =
                        format!("*4\r\n$16\r\n{txn:016x}\r\n$4\r\nNONE\r\n$1\r\n-\r\n$0\r\n\r\n");
                    let _ = (&far.socket).write_all(text.as_bytes());
                }
            }
            9 => {
                if let Some(far) = far.iter_mut().filter(|f| !f.over).nth(roll(6) as usize) {
                    match roll(3) {
                        0 => {
                            let _ = far.socket.shutdown(std::net::Shutdown::Both);
                            (far.over, far.open) = (true, HashSet::new());
                        }
                        _ => far.frozen = !far.frozen,
                    }
                }
            }
            10 => match roll(3) {
                0 => members.exclude(EndpointId(1 + roll(2)), &mut ends),
                1 => current
                    .get(&request)
                    .copied()
                    .into_iter()
                    .for_each(|id| members.withdraw(id, &mut ends)),
                _ => members.fail_unestablished(1 + roll(key.max(1) as u64) as usize, &mut ends),
            },
            _ => members.sweep(now, &mut ends),
        }
        for (id, _) in ends.drain(..) {
            let request = id.request.0;
            if current.get(&request) == Some(&id) {
                current.remove(&request);
            }
        }
        for listener in &listeners {
            while let Ok((socket, _)) = listener.accept() {
                socket.set_nonblocking(true).unwrap();
                far.push(Far {
                    socket,
                    bytes: Vec::new(),
                    open: HashSet::new(),
                    frozen: false,
                    over: false,
                });
            }
        }
        far.iter_mut().for_each(Far::read);
        for request in 1..=6 {
            let out = far
                .iter()
                .filter(|far| !far.frozen && far.open.contains(&request))
                .count();
            let most = usize::from(current.contains_key(&request));
            assert!(
                out <= most,
                "seed {seed}, {max_connections} connections: {request} is out {out} times, {most} wanted"
            );
            seen += out;
        }
    }
    seen
}

#[test]
fn by_what_is_written_no_two_attempts_of_a_request_are_out_on_however_many_connections() {
    for max_connections in [2, 4, 12, 40] {
        let seen: usize = (0..20)
            .map(|seed| any_order(seed * 41 + max_connections as u64, max_connections))
            .sum();
        assert!(seen > 1_000, "{seen}: too little was out to tell anything");
    }
}

#[test]
fn where_all_connections_are_made_one_to_another_node_takes_the_place_of_the_one_idle_for_longest()
{
    let listeners: Vec<_> = (0..4)
        .map(|_| std::net::TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut members = members(3, &listeners[0]);
    for (id, listener) in (1..).zip(&listeners) {
        let (member, state) = (EndpointId(id), EndpointState::Ready);
        let entry = EndpointEntry {
            endpoint: member,
            kind: 0,
            zone: 0,
            cell: 0,
            weight: 1.0,
            started: 0,
            state,
        };
        members.update_endpoint(&entry, listener.local_addr().unwrap());
    }
    // The second and the third carry nothing any more, the third for longer; the first still does.
    for n in 1..=3 {
        let target = Target {
            attempt: attempt(n),
            endpoint: EndpointId(n),
            write_deadline: Timestamp::MAX,
        };
        members.send(0, &reactor, n as usize, target, &fetch(n), &mut ends);
        while !members.connections[&(n as usize)].established {
            reactor.wait(0, Some(100_000)).unwrap();
            members.ready(0, n as usize, false, &mut ends);
        }
    }
    members.abort(1_000, attempt(3), &mut ends);
    members.abort(2_000, attempt(2), &mut ends);
    members.send(
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
    let mut kept: Vec<_> = members.connections.keys().copied().collect();
    kept.sort_unstable();
    assert_eq!((kept, ends.len()), (vec![1, 2, 4], 0));
    // A second one to a node that has one closes none.
    members.send(
        4_000,
        &reactor,
        5,
        Target {
            attempt: attempt(5),
            endpoint: MEMBER,
            write_deadline: Timestamp::MAX,
        },
        &fetch(5),
        &mut ends,
    );
    assert!(members.has(2) && !members.has(5) && ends.is_empty());
}

#[test]
fn what_waits_for_its_connection_tells_the_time_that_is_left_when_it_is_written() {
    use std::io::Read;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (mut reactor, mut ends) = (Reactor::new().unwrap(), Vec::new());
    let mut members = members(1, &listener);
    let fetch = Fetch {
        deadline: 1_000_000,
        ..fetch(1)
    };
    members.send(
        0,
        &reactor,
        9,
        Target {
            attempt: attempt(1),
            endpoint: MEMBER,
            write_deadline: Timestamp::MAX,
        },
        &fetch,
        &mut ends,
    );
    reactor.wait(0, Some(1_000_000)).unwrap();
    members.ready(300_000, 9, false, &mut ends);
    assert_eq!((members.attempts_written, ends.len()), (1, 0));
    let mut written = [0; 256];
    let n = listener.accept().unwrap().0.read(&mut written).unwrap();
    let text = String::from_utf8_lossy(&written[..n]);
    assert!(text.contains("limit=700"), "{text}");
    let held = members.buffered_bytes();
    assert_eq!(
        held, 0,
        "the sum over connections is right after the head was written anew"
    );
}
