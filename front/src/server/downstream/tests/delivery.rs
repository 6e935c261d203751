//! Responses that the kernel has taken and the client has not acknowledged.
use super::*;
use crate::server::downstream::connection::MAX_DRAINING_TIME;
use std::io::Read;

const SECOND: Timestamp = 1_000_000;
/// Deadline of the unread response.
const DEADLINE: Timestamp = 20 * SECOND;
const RESPONSE_BYTES: usize = 200_000;
const SWEEP_INTERVAL: Timestamp = 250_000;
/// Most bytes of an object.
const LARGEST_OBJECT_BYTES: usize = 240_000;
/// A frame of an unknown type.
const MALFORMED: [u8; 9] = [0, 0, 0, 5, 255, 0, 0, 0, 9];

/// A client with a small receive buffer that has not read the response to its request. The front has written it completely.
fn client_with_unread_response(harness: &mut Harness, now: Timestamp, key: usize) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let address = harness.listener.local_addr().unwrap();
    socket.connect(&address.into()).unwrap();
    let accepted = harness.listener.accept().unwrap().0;
    let added = harness.clients.add(now, &harness.reactor, accepted, key, 0);
    added.unwrap();
    let socket: TcpStream = socket.into();
    let events = harness.send_and_read(now, &socket, key, REQUEST);
    let [ClientEvent::Request(from, _)] = events[..] else {
        panic!("{events:?}")
    };
    let response = Response::Served(vec![7; RESPONSE_BYTES].into());
    harness.clients.respond(now, from, response, DEADLINE);
    flush_all(harness, now, key);
    socket
}

/// Requests as many objects as may be open on a connection, and responds to them.
fn queue_more_than_the_kernel_takes(harness: &mut Harness, client: &TcpStream) {
    for stream in 2..=32 {
        let mut request = REQUEST.to_vec();
        request[8] = stream;
        let events = harness.send_and_read(2, client, 1, &request);
        let [ClientEvent::Request(from, _)] = events[..] else {
            panic!("{events:?}")
        };
        let response = Response::Served(vec![7; LARGEST_OBJECT_BYTES].into());
        harness.clients.respond(2, from, response, DEADLINE);
    }
}

/// Writes until the kernel has taken all output.
fn flush_all(harness: &mut Harness, now: Timestamp, key: usize) {
    while !harness.clients.connections[&key].stream.flushed() {
        assert!(!harness.reactor.wait(0, Some(DEADLINE)).unwrap().is_empty());
        harness.clients.flush(now, key);
    }
}

fn read_all(mut socket: &TcpStream, length: usize) {
    let timeout = std::time::Duration::from_secs(20);
    socket.set_read_timeout(Some(timeout)).unwrap();
    let mut bytes = vec![0; length];
    socket.read_exact(&mut bytes).unwrap();
}

/// Waits until the client's acknowledgment of all output has arrived.
fn wait_until_delivered(harness: &Harness, key: usize) {
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(20);
    while harness.clients.connections[&key]
        .stream
        .has_undelivered_output()
    {
        assert!(std::time::Instant::now() < deadline, "not acknowledged");
        std::thread::yield_now();
    }
}

/// Sweeps from `from` to `to` at the interval of the event loop.
fn sweep(harness: &mut Harness, from: Timestamp, to: Timestamp) {
    for now in (from..=to).step_by(SWEEP_INTERVAL as usize) {
        harness.clients.sweep(now, usize::MAX, usize::MAX);
    }
}

fn state(harness: &Harness, key: usize) -> Option<ConnectionState> {
    let connection = harness.clients.connections.get(&key);
    connection.map(|connection| connection.state)
}

// Guards against a drained connection that is closed under the responses that its client still receives.
#[test]
fn draining_waits_until_the_client_has_received_its_responses() {
    let mut harness = Harness::new();
    let client = client_with_unread_response(&mut harness, 1, 1);
    harness.clients.drain(2, true);
    let later = 4 * SECOND;
    sweep(&mut harness, 2, later);
    assert_eq!(state(&harness, 1), Some(ConnectionState::Open));
    assert!(harness.clients.has_undelivered_responses(later));
    // A request sent before the client can have read the notification is still accepted.
    let mut second = REQUEST.to_vec();
    second[8] = 2;
    let events = harness.send_and_read(later, &client, 1, &second);
    let [ClientEvent::Request(from, _)] = events[..] else {
        panic!("{events:?}")
    };
    let rejection = Response::Rejected(0);
    harness.clients.respond(later, from, rejection, DEADLINE);
    sweep(&mut harness, later, later + 2 * MAX_DRAINING_TIME);
    assert_eq!(state(&harness, 1), Some(ConnectionState::Open));
    read_all(&client, RESPONSE_BYTES);
    wait_until_delivered(&harness, 1);
    let delivered_at = later + 2 * MAX_DRAINING_TIME;
    assert!(!harness.clients.has_undelivered_responses(delivered_at));
    // From now on as for a client that has received its responses at once.
    sweep(&mut harness, delivered_at, delivered_at + SWEEP_INTERVAL);
    assert!(matches!(
        state(&harness, 1),
        Some(ConnectionState::WriteClosed(_))
    ));
}

// Guards against a drain that waits for a client that goes on sending after it has received the notification: one of its responses
// is always in transit.
#[test]
fn a_client_that_ignores_the_drain_is_closed_after_the_maximum_time() {
    let mut harness = Harness::new();
    let client = client_with_unread_response(&mut harness, 1, 1);
    harness.clients.drain(2, true);
    read_all(&client, RESPONSE_BYTES);
    wait_until_delivered(&harness, 1);
    sweep(&mut harness, MIN_DRAINING_IDLE, MIN_DRAINING_IDLE);
    let mut second = REQUEST.to_vec();
    second[8] = 2;
    let events = harness.send_and_read(MIN_DRAINING_IDLE, &client, 1, &second);
    let [ClientEvent::Request(from, _)] = events[..] else {
        panic!("{events:?}")
    };
    let response = Response::Served(vec![8; RESPONSE_BYTES].into());
    let respond_at = MAX_DRAINING_TIME - SWEEP_INTERVAL;
    harness
        .clients
        .respond(respond_at, from, response, DEADLINE);
    flush_all(&mut harness, respond_at, 1);
    sweep(&mut harness, respond_at, MAX_DRAINING_TIME);
    assert_eq!(state(&harness, 1), Some(ConnectionState::Open));
    sweep(&mut harness, MAX_DRAINING_TIME + 3, DEADLINE - 1);
    assert!(matches!(
        state(&harness, 1),
        Some(ConnectionState::WriteClosed(_))
    ));
    read_all(&client, RESPONSE_BYTES);
}

// Guards against a client that reads nothing and keeps its connection, or the process, for ever.
#[test]
fn undelivered_responses_count_as_pending_until_their_deadline() {
    let mut harness = Harness::new();
    let _client = client_with_unread_response(&mut harness, 1, 1);
    harness.clients.drain(2, true);
    sweep(&mut harness, 2, DEADLINE - 1);
    assert_eq!(state(&harness, 1), Some(ConnectionState::Open));
    assert!(!harness.clients.has_undelivered_responses(DEADLINE));
    let closed_at = DEADLINE + MIN_DRAINING_IDLE + SWEEP_INTERVAL + CLOSE_TIMEOUT;
    sweep(&mut harness, DEADLINE, closed_at + SWEEP_INTERVAL);
    assert_eq!(state(&harness, 1), None);
}

// Guards against a connection that is taken for an idle one while its client still receives a response.
#[test]
fn connections_with_undelivered_responses_are_neither_evicted_nor_idle() {
    let mut harness = Harness::new();
    let client = client_with_unread_response(&mut harness, 1, 1);
    let later = IDLE_TIMEOUT + 2 * CLOSE_TIMEOUT;
    assert!(!harness.clients.evict(later) && !harness.clients.evict_idle(later));
    sweep(&mut harness, 1, later);
    assert_eq!(state(&harness, 1), Some(ConnectionState::Open));
    read_all(&client, RESPONSE_BYTES);
    wait_until_delivered(&harness, 1);
    assert!(harness.clients.evict(later));
}

// Guards against a timeout for closing that runs while the client still receives a response.
#[test]
fn the_close_timeout_starts_once_the_responses_are_received() {
    let mut harness = Harness::new();
    let client = client_with_unread_response(&mut harness, 1, 1);
    harness.send_and_read(2, &client, 1, &MALFORMED);
    let later = 8 * CLOSE_TIMEOUT;
    sweep(&mut harness, 2, later);
    assert!(matches!(
        state(&harness, 1),
        Some(ConnectionState::WriteClosed(_))
    ));
    read_all(&client, RESPONSE_BYTES);
    wait_until_delivered(&harness, 1);
    let end = later + CLOSE_TIMEOUT + 2 * SWEEP_INTERVAL;
    sweep(&mut harness, later + 1, end);
    assert_eq!(state(&harness, 1), None);
}

// Guards against a client that is taken for one that reads nothing while memory is short.
#[test]
fn a_client_that_reads_1_mb_per_second_is_not_disconnected_under_memory_pressure() {
    const READ_PER_SWEEP_BYTES: usize = 250_000;
    let mut harness = Harness::new();
    let client = client_with_unread_response(&mut harness, 1, 1);
    queue_more_than_the_kernel_takes(&mut harness, &client);
    let unread = RESPONSE_BYTES + 31 * LARGEST_OBJECT_BYTES;
    let sweeps = (unread / READ_PER_SWEEP_BYTES) as u64;
    for sweep in 1..=sweeps {
        read_all(&client, READ_PER_SWEEP_BYTES);
        let now = sweep * SWEEP_INTERVAL;
        harness.clients.sweep(now, 0, usize::MAX);
        assert!(harness.clients.has_connection(1), "closed at {now} us");
    }
}

// Guards against a client that is taken for one that reads nothing because no whole response fits into its time.
#[test]
fn a_client_that_reads_slowly_is_not_disconnected_before_its_deadline() {
    const READ_PER_SWEEP_BYTES: usize = 5_000;
    let mut harness = Harness::new();
    let client = client_with_unread_response(&mut harness, 1, 1);
    queue_more_than_the_kernel_takes(&mut harness, &client);
    for now in (SWEEP_INTERVAL..DEADLINE).step_by(SWEEP_INTERVAL as usize) {
        read_all(&client, READ_PER_SWEEP_BYTES);
        harness.clients.sweep(now, usize::MAX, usize::MAX);
        assert!(harness.clients.has_connection(1), "closed at {now} us");
    }
}

// Guards against a client that reads nothing and keeps its connection until a deadline that is far away.
#[test]
fn a_client_that_reads_nothing_is_disconnected_before_its_deadline() {
    let mut harness = Harness::new();
    let client = client_with_unread_response(&mut harness, 1, 1);
    queue_more_than_the_kernel_takes(&mut harness, &client);
    sweep(&mut harness, SWEEP_INTERVAL, DEADLINE / 2 + SECOND);
    assert_eq!(state(&harness, 1), None);
}
