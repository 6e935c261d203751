mod delivery;

use super::connection::{MAX_DRAINING_TIME, MIN_DRAINING_IDLE, READ_PAUSE};
use super::eviction::IDLE_TIMEOUT;
use super::*;
use crate::protocol::bulk_strings::MAX_OBJECT_BYTES;
use std::io::{Read, Write};
use std::net::TcpListener;

const READY: [u8; 11] = [0, 0, 0, 7, 20, 0, 0, 0, 1, 0, 0];

struct Harness {
    listener: TcpListener,
    reactor: Reactor,
    clients: Clients,
}

impl Harness {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Harness {
            listener,
            reactor: Reactor::new().unwrap(),
            clients: Clients::new(),
        }
    }

    fn client(&mut self, now: Timestamp, key: usize) -> TcpStream {
        let socket = TcpStream::connect(self.listener.local_addr().unwrap()).unwrap();
        self.clients
            .add(
                now,
                &self.reactor,
                self.listener.accept().unwrap().0,
                key,
                0,
            )
            .unwrap();
        socket
    }

    /// Sends bytes to the front and reads them as the event loop would.
    fn send_and_read(
        &mut self,
        now: Timestamp,
        mut socket: &TcpStream,
        key: usize,
        bytes: &[u8],
    ) -> Vec<ClientEvent> {
        socket.write_all(bytes).unwrap();
        assert!(
            self.becomes_readable(20_000_000),
            "the connection is readable"
        );
        self.clients.read(now, key)
    }

    /// Whether the poller reports a readable connection within `until` µs.
    fn becomes_readable(&mut self, until: Timestamp) -> bool {
        // Writability may be reported first.
        (0..3).any(|_| {
            self.reactor
                .wait(0, Some(until))
                .unwrap()
                .iter()
                .any(|event| event.readable)
        })
    }
}

#[test]
fn connections_without_a_complete_frame_are_evicted_before_idle_ones() {
    let mut harness = Harness::new();
    let established = harness.client(0, 1);
    harness.send_and_read(1, &established, 1, &READY);
    let _silent = harness.client(2, 2);
    assert!(harness.clients.evict(1_000));
    assert!(harness.clients.has_connection(1) && !harness.clients.has_connection(2));
}

#[test]
fn sweeps_close_idle_connections_that_have_nothing_to_write() {
    // Guards against a sweep that counts as activity on a connection with nothing to write.
    let mut harness = Harness::new();
    let idle = harness.client(0, 1);
    harness.send_and_read(1, &idle, 1, &READY);
    harness
        .clients
        .sweep(IDLE_TIMEOUT / 2, usize::MAX, usize::MAX);
    assert!(harness.clients.has_connection(1));
    harness
        .clients
        .sweep(IDLE_TIMEOUT + 2, usize::MAX, usize::MAX);
    harness
        .clients
        .sweep(IDLE_TIMEOUT + 3 + CLOSE_TIMEOUT, usize::MAX, usize::MAX);
    assert!(!harness.clients.has_connection(1));
}

#[test]
fn reading_pauses_after_a_bad_request_and_a_disconnection_is_still_detected() {
    let mut harness = Harness::new();
    let client = harness.client(0, 1);
    let bad = [0, 0, 0, 6, 10, 0, 0, 0, 1, 0];
    assert!(matches!(
        harness.send_and_read(1, &client, 1, &bad)[..],
        [ClientEvent::BadRequest(..)]
    ));
    (&client).write_all(&READY).unwrap();
    assert!(!harness.becomes_readable(20_000), "reading is paused");
    harness
        .clients
        .sweep(READ_PAUSE + 1, usize::MAX, usize::MAX);
    assert!(harness.becomes_readable(20_000_000));
    // The end of a connection is reported even while reading is paused, and must be handled.
    let client = harness.client(0, 2);
    harness.send_and_read(1, &client, 2, &bad);
    drop(client);
    assert!(harness.becomes_readable(20_000_000));
    harness.clients.read(2, 2);
    // A response is pending: the reset sent in response to the next frame shows that the client has disconnected.
    assert!(harness.becomes_readable(20_000_000));
    harness.clients.read(3, 2);
    assert!(!harness.clients.has_connection(2));
}

/// A well-formed request.
const REQUEST: &[u8] = b"\x00\x00\x00\x2d\x0a\x00\x00\x00\x01\x03\x04verb\x00\x01x\x03txn\x00\x109b1f03aa5c7e2d41\x05limit\x00\x011";

#[test]
fn reading_pauses_only_briefly_while_a_request_is_open_so_that_its_cancellation_is_read() {
    let mut harness = Harness::new();
    let client = harness.client(0, 1);
    assert!(matches!(
        harness.send_and_read(1, &client, 1, REQUEST)[..],
        [ClientEvent::Request(..)]
    ));
    let events = harness.send_and_read(2, &client, 1, &[0, 0, 0, 6, 10, 0, 0, 0, 2, 0]);
    let [ClientEvent::BadRequest(from, _)] = events[..] else {
        panic!("{events:?}")
    };
    harness.clients.respond(2, from, Response::Failed, 2);
    (&client).write_all(&[0, 0, 0, 5, 12, 0, 0, 0, 1]).unwrap();
    assert!(!harness.becomes_readable(20_000), "reading is paused");
    let read_at = harness.clients.next_deadline().expect("reading resumes");
    assert!(read_at < 50_000, "{read_at}");
    harness.clients.poll(read_at);
    assert!(harness.becomes_readable(20_000_000));
    assert!(matches!(
        harness.clients.read(read_at, 1)[..],
        [ClientEvent::Disconnected(_)]
    ));
    assert_eq!(harness.clients.next_deadline(), None);
}

#[test]
fn requests_received_with_a_half_close_wait_for_a_possible_reset() {
    for closes in [true, false] {
        let mut harness = Harness::new();
        let client = harness.client(0, 1);
        (&client).write_all(REQUEST).unwrap();
        client.shutdown(std::net::Shutdown::Write).unwrap();
        let kept = (!closes).then_some(client);
        assert!(harness.becomes_readable(20_000_000));
        assert!(harness.clients.read(1, 1).is_empty() && harness.clients.has_partial_requests());
        let at = harness
            .clients
            .next_deadline()
            .expect("the request is held back");
        assert!(harness.clients.poll(at - 1).is_empty());
        if closes {
            assert!(harness.becomes_readable(20_000_000), "a reset");
            harness.clients.read(2, 1);
        }
        assert_eq!(
            harness.clients.poll(at).len(),
            usize::from(!closes),
            "{kept:?}"
        );
        assert!(
            !harness.clients.has_partial_requests() && harness.clients.next_deadline().is_none()
        );
    }
}

#[test]
fn draining_closes_idle_connections_and_answers_open_requests_first() {
    let mut harness = Harness::new();
    let (idle, busy, active) = (
        harness.client(0, 1),
        harness.client(0, 2),
        harness.client(0, 3),
    );
    harness.send_and_read(1, &idle, 1, &READY);
    harness.send_and_read(1, &active, 3, &READY);
    // A malformed request is answered as well.
    let request = [0, 0, 0, 6, 10, 0, 0, 0, 1, 0];
    let events = harness.send_and_read(1, &busy, 2, &request);
    let [ClientEvent::BadRequest(from, _)] = events[..] else {
        panic!("{events:?}")
    };
    harness.clients.drain(2, true);
    let sweep =
        |harness: &mut Harness, now| drop(harness.clients.sweep(now, usize::MAX, usize::MAX));
    sweep(&mut harness, MIN_DRAINING_IDLE);
    assert!(
        [1, 2, 3]
            .iter()
            .all(|key| harness.clients.connections[key].state == ConnectionState::Open),
        "requests in transit may still arrive"
    );
    harness.send_and_read(MIN_DRAINING_IDLE, &active, 3, &READY);
    sweep(&mut harness, MIN_DRAINING_IDLE + 10);
    let closes =
        |harness: &Harness, key| harness.clients.connections[&key].state != ConnectionState::Open;
    assert!(closes(&harness, 1) && !closes(&harness, 2) && !closes(&harness, 3));
    // After resuming, notified clients are still disconnected and new ones stay connected.
    harness.clients.resume();
    let _new = harness.client(MIN_DRAINING_IDLE + 20, 4);
    harness.send_and_read(MIN_DRAINING_IDLE + 20, &_new, 4, &READY);
    harness.clients.respond(
        MIN_DRAINING_IDLE + 30,
        from,
        Response::Failed,
        MIN_DRAINING_IDLE + 30,
    );
    harness.send_and_read(MAX_DRAINING_TIME, &active, 3, &READY);
    sweep(&mut harness, MAX_DRAINING_TIME + 10);
    assert!(closes(&harness, 2), "closed once its request is answered");
    assert!(
        closes(&harness, 3),
        "a connection that stays active is closed after the maximum time"
    );
    sweep(&mut harness, MAX_DRAINING_TIME + 2 * CLOSE_TIMEOUT);
    assert!(
        ![1, 2, 3]
            .iter()
            .any(|key| harness.clients.has_connection(*key))
            && harness.clients.has_connection(4)
    );
}

#[test]
fn connections_with_unread_input_are_not_evicted() {
    let mut harness = Harness::new();
    let (mut pending, idle) = (harness.client(0, 1), harness.client(5, 2));
    harness.send_and_read(1, &pending, 1, &READY);
    harness.send_and_read(6, &idle, 2, &READY);
    pending.write_all(&READY).unwrap();
    assert!(harness.becomes_readable(20_000_000));
    assert!(
        harness.clients.evict(1_000)
            && harness.clients.has_connection(1)
            && !harness.clients.has_connection(2),
        "the connection idle for longer has unread input"
    );
    assert!(!harness.clients.evict(1_000) && harness.clients.has_connection(1));
}

#[test]
fn a_request_cancelled_in_the_same_read_is_not_reported() {
    let mut harness = Harness::new();
    let client = harness.client(0, 1);
    let cancelled = |stream: u8| [0, 0, 0, 5, 12, 0, 0, 0, stream];
    assert!(harness
        .send_and_read(1, &client, 1, &[REQUEST, &cancelled(1)].concat())
        .is_empty());
    // A request reported by an earlier read is cancelled.
    let mut other = REQUEST.to_vec();
    other[8] = 2;
    assert!(matches!(
        harness.send_and_read(1, &client, 1, &other)[..],
        [ClientEvent::Request(..)]
    ));
    assert!(matches!(
        harness.send_and_read(2, &client, 1, &cancelled(2))[..],
        [ClientEvent::Disconnected(_)]
    ));
}

#[test]
fn reading_stops_while_a_client_leaves_too_many_responses_unread() {
    let mut harness = Harness::new();
    let client = harness.client(0, 1);
    let request = |stream: u8| [0, 0, 0, 6, 10, 0, 0, 0, stream, 0];
    let all: Vec<u8> = (1..=32).flat_map(request).collect();
    harness.send_and_read(1, &client, 1, &all);
    for stream in 1..=32 {
        let body = vec![7; MAX_OBJECT_BYTES].into();
        harness
            .clients
            .respond(1, ReplyTo { client: 1, stream }, Response::Served(body), 1);
    }
    harness
        .clients
        .sweep(READ_PAUSE + 1, usize::MAX, usize::MAX);
    harness.send_and_read(READ_PAUSE + 1, &client, 1, &READY.repeat(64));
    (&client).write_all(&READY).unwrap();
    assert!(
        !harness.becomes_readable(20_000),
        "reading stops until responses are read"
    );
}

#[test]
fn a_request_received_during_shutdown_is_answered_before_the_connection_closes() {
    let mut harness = Harness::new();
    harness.clients.close_all(0);
    let mut client = harness.client(1, 1);
    let request = b"\x00\x00\x00\x2d\x0a\x00\x00\x00\x01\x03\x04verb\x00\x01x\x03txn\x00\x109b1f03aa5c7e2d41\x05limit\x00\x011";
    let events = harness.send_and_read(2, &client, 1, request);
    let [ClientEvent::Request(from, _)] = events[..] else {
        panic!("{events:?}")
    };
    harness.clients.respond(3, from, Response::Failed, 3);
    client
        .set_read_timeout(Some(std::time::Duration::from_secs(5)))
        .unwrap();
    let mut received = Vec::new();
    std::io::Read::read_to_end(&mut client, &mut received).unwrap();
    assert_eq!(
        received[4], 11,
        "a response, then the end of the stream: {received:?}"
    );
    // Later requests are discarded.
    assert!(harness.send_and_read(4, &client, 1, request).is_empty());
}

// Guards against clients with incomplete frames that exceed the memory limit before the next sweep.
#[test]
fn clients_with_the_longest_incomplete_frames_are_disconnected_at_the_limit() {
    const MAX_INPUT_BYTES: usize = 100_000;
    const BAD_CLIENTS: usize = 20;
    let mut harness = Harness::new();
    let usual = harness.client(0, 1);
    harness.send_and_read(1, &usual, 1, REQUEST);
    let mut sockets = Vec::new();
    for key in 2..2 + BAD_CLIENTS {
        let socket = harness.client(1, key);
        let part = [&[0, 4, 0, 0, 10][..], &vec![0; 4_000 + 500 * key]].concat();
        harness.send_and_read(1, &socket, key, &part);
        sockets.push(socket);
        harness.clients.limit_input(MAX_INPUT_BYTES);
        assert!(harness.clients.input_bytes <= MAX_INPUT_BYTES);
    }
    let is_connected = |key: usize| harness.clients.has_connection(key);
    assert!(is_connected(1), "the client with an open request");
    assert!(
        is_connected(2) && !is_connected(1 + BAD_CLIENTS),
        "the longest goes first"
    );
    let events = harness.clients.limit_input(0);
    assert!(matches!(events[..], [ClientEvent::Disconnected(_)]));
    assert_eq!(harness.clients.input_bytes, 0, "released on every way out");
}

// Guards against bodies of held-back requests that are in no account: clients that close their write side could exceed the limit.
#[test]
fn held_back_requests_count_against_the_limit_on_input() {
    const BODY_BYTES: usize = 8_000;
    const HELD_CLIENTS: usize = 4;
    let fields = &REQUEST[9..];
    let frame_bytes = (5 + fields.len() + BODY_BYTES) as u32;
    let head = [&frame_bytes.to_be_bytes()[..], &REQUEST[4..]].concat();
    let request = [head, vec![b'b'; BODY_BYTES]].concat();
    let mut harness = Harness::new();
    let mut sockets = Vec::new();
    for key in 1..=HELD_CLIENTS {
        let socket = harness.client(0, key);
        (&socket).write_all(&request).unwrap();
        socket.shutdown(std::net::Shutdown::Write).unwrap();
        assert!(harness.becomes_readable(20_000_000));
        assert!(harness.clients.read(1, key).is_empty(), "held back");
        sockets.push(socket);
    }
    let held_bytes = |harness: &Harness| harness.clients.unconfirmed.body_bytes();
    assert_eq!(held_bytes(&harness), HELD_CLIENTS * BODY_BYTES);
    // A client with a shorter incomplete frame is not disconnected.
    let incomplete = harness.client(0, HELD_CLIENTS + 1);
    let part = [&[0, 4, 0, 0, 10][..], &vec![0; BODY_BYTES / 2]].concat();
    harness.send_and_read(1, &incomplete, HELD_CLIENTS + 1, &part);
    let limit = harness.clients.input_bytes + 2 * BODY_BYTES;
    let events = harness.clients.limit_input(limit);
    assert_eq!(events.len(), HELD_CLIENTS - 2, "one request each");
    assert!(harness.clients.has_connection(HELD_CLIENTS + 1));
    assert_eq!(held_bytes(&harness), 2 * BODY_BYTES);
    let due_at = harness.clients.next_deadline().unwrap();
    assert_eq!(harness.clients.poll(due_at).len(), 2);
    assert_eq!(held_bytes(&harness), 0, "released on every way out");
}

#[test]
fn a_response_that_does_not_fit_into_a_frame_fails_one_request_and_keeps_the_connection() {
    let mut harness = Harness::new();
    let client = harness.client(0, 1);
    let requests = [REQUEST, &[0, 0, 0, 6, 10, 0, 0, 0, 2, 0]].concat();
    assert_eq!(harness.send_and_read(1, &client, 1, &requests).len(), 2);
    let respond = |harness: &mut Harness, stream: u32, length: usize| {
        let to = ReplyTo { client: 1, stream };
        let response = Response::Served(vec![7; length].into());
        harness.clients.respond(1, to, response, 1);
    };
    respond(&mut harness, 1, 262_144);
    respond(&mut harness, 2, 1);
    let mut received = [0; 2 * 11 + 1];
    (&client).read_exact(&mut received).unwrap();
    let failed = [0, 0, 0, 7, 11, 0, 0, 0, 1, 3, 0];
    let served = [0, 0, 0, 8, 11, 0, 0, 0, 2, 1, 0, 7];
    assert_eq!(received[..], [&failed[..], &served].concat());
    assert!(harness.clients.has_connection(1));
}
