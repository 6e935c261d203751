//! Clients that read their responses slowly. What the front's kernel has taken is not delivered: the connections stay open, and
//! further requests on them are answered, until the clients have received their responses.
mod common;
use common::operations::{
    counters, operator_address, operator_command, with_operator_address, InheritedListener,
};
use common::*;
use std::net::SocketAddr;
use std::process::Child;
use std::time::{Duration, Instant};

/// Requests whose responses a client does not read at first. The kernel takes them all at once.
const UNREAD_RESPONSES: u32 = 4;
const RESPONSE_BYTES: usize = 100_000;
/// Longer than it took the front to close a connection after it was drained, or to exit.
const READ_DELAY: Duration = Duration::from_millis(2_500);
/// Earliest time after SIGTERM at which the platform kills a front that has not exited.
const KILL_DELAY: Duration = Duration::from_millis(3_700);

/// Responds to every fetch from a cache with a body of [`RESPONSE_BYTES`].
fn serve_large_hits(setup: &TestFront) {
    for listener in &setup.caches {
        let listener = listener.try_clone().unwrap();
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let mut node = NodeConnection(std::io::BufReader::new(socket));
                std::thread::spawn(move || {
                    while let Some(command) = node.receive() {
                        node.respond(&command[1], "HIT", "-", &"x".repeat(RESPONSE_BYTES));
                    }
                });
            }
        });
    }
}

/// A front, its address for operators, and a client with responses that it has not read.
fn front_with_unread_responses() -> (TestFront, SocketAddr, Client) {
    let setup = TestFront::new(with_operator_address);
    let operators = operator_address(&setup.log);
    serve_large_hits(&setup);
    let mut client = setup.client_with_small_buffer();
    request_without_reading(&mut client, operators);
    (setup, operators, client)
}

/// Sends requests and waits until the front has answered them.
fn request_without_reading(client: &mut Client, operators: SocketAddr) {
    for stream in 1..=UNREAD_RESPONSES {
        client.request(stream, "page-bits", "20000", &[], b"");
    }
    let deadline = Instant::now() + Duration::from_secs(10);
    while counters(operators)["handled.page-bits.passed"] < u64::from(UNREAD_RESPONSES) {
        assert!(Instant::now() < deadline, "the requests are not answered");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Asserts that a front exits by itself, with 0, before the platform would kill it. A delay of this thread only makes it look later.
fn assert_exits_before_kill(front: &mut Child, terminated_at: Instant) {
    loop {
        let is_due = terminated_at.elapsed() >= KILL_DELAY;
        if let Some(status) = front.try_wait().unwrap() {
            return assert!(status.success(), "{status}");
        }
        assert!(!is_due, "still running {KILL_DELAY:?} after SIGTERM");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// The frames up to the end of the connection, each as its type, stream and length.
fn receive_all(client: &mut Client) -> Vec<(String, usize)> {
    let frames = std::iter::from_fn(|| client.receive());
    let described = frames.map(|frame| {
        let (head, payload) = frame.split_once(": ").unwrap();
        (head.to_string(), payload.len())
    });
    described.collect()
}

/// Streams with a complete response of [`RESPONSE_BYTES`].
fn served(frames: &[(String, usize)]) -> Vec<u32> {
    let large = frames.iter().filter(|frame| frame.1 > RESPONSE_BYTES);
    let streams = large.filter_map(|frame| frame.0.strip_prefix("type 11 stream "));
    let mut streams: Vec<u32> = streams.map(|stream| stream.parse().unwrap()).collect();
    streams.sort_unstable();
    streams
}

// Guards against a drained front that resets connections whose clients still read responses, and drops the requests that they
// send before they can read the notification to stop.
#[test]
fn quiesced_front_answers_clients_that_still_read_their_responses() {
    let (setup, operators, mut client) = front_with_unread_responses();
    assert_eq!(operator_command(operators, "quiesce"), "+OK quiesced\n");
    let quiesced_at = Instant::now();
    let mut stream = UNREAD_RESPONSES;
    while quiesced_at.elapsed() < READ_DELAY {
        std::thread::sleep(Duration::from_millis(400));
        stream += 1;
        client.request(stream, "page-bits", "20000", &[], b"");
    }
    let frames = receive_all(&mut client);
    let complete = served(&frames);
    assert!(
        (1..=UNREAD_RESPONSES).all(|stream| complete.contains(&stream)),
        "{frames:?}"
    );
    for stream in 1..=stream {
        let head = format!("type 11 stream {stream}");
        let answers = frames.iter().filter(|frame| frame.0 == head);
        assert_eq!(answers.count(), 1, "stream {stream}: {frames:?}");
    }
    assert_eq!(client.0.take_error().unwrap().map(|e| e.kind()), None);
    drop(setup);
}

// Guards against a front that exits while clients still read their responses: their next message resets the connection.
#[test]
fn terminated_front_exits_after_slow_clients_have_received_their_responses() {
    let (mut setup, _, mut client) = front_with_unread_responses();
    setup.signal("-TERM");
    let terminated_at = Instant::now();
    std::thread::sleep(READ_DELAY);
    // Cancels a stream that was answered long ago.
    client.send(12, 1, &[]);
    let frames = receive_all(&mut client);
    assert_eq!(served(&frames), [1, 2, 3, 4], "{frames:?}");
    assert_exits_before_kill(&mut setup.child, terminated_at);
}

// Guards against a process that ends under the clients of a front that another process has taken over.
#[test]
fn replaced_process_exits_after_slow_clients_have_received_their_responses() {
    let nodes = TestFront::new(|_| {});
    serve_large_hits(&nodes);
    let inherited = InheritedListener::new(&nodes.config);
    let (mut old, operators) = inherited.start();
    wait_for_line(&old.log, "accepts clients");
    let mut client = client_with_small_buffer(inherited.listener.local_addr().unwrap());
    request_without_reading(&mut client, operators);
    let (new, _) = inherited.start();
    wait_for_line(&new.log, "waits for another process");
    old.signal("-TERM");
    let terminated_at = Instant::now();
    wait_for_line(&new.log, "accepts clients");
    // The platform lets clients send on open connections for a while.
    let last_stream = UNREAD_RESPONSES + 1;
    client.request(last_stream, "page-bits", "20000", &[], b"");
    std::thread::sleep(READ_DELAY);
    client.send(12, 1, &[]);
    let frames = receive_all(&mut client);
    assert_eq!(served(&frames), [1, 2, 3, 4, last_stream], "{frames:?}");
    assert_exits_before_kill(&mut old.child, terminated_at);
}

// Guards against a client that reads nothing and holds up the end of the process until it is killed.
#[test]
fn terminated_front_exits_in_time_beside_a_client_that_reads_nothing() {
    let (mut setup, _, _client) = front_with_unread_responses();
    setup.signal("-TERM");
    let terminated_at = Instant::now();
    assert_exits_before_kill(&mut setup.child, terminated_at);
}

// Guards against responses that are lost because the client sent something malformed after its requests.
#[test]
fn responses_are_delivered_before_a_connection_with_malformed_input_is_closed() {
    let (_setup, _, mut client) = front_with_unread_responses();
    client.send(255, 9, &[]);
    std::thread::sleep(READ_DELAY);
    client.send(20, 10, &[0]);
    let frames = receive_all(&mut client);
    assert_eq!(served(&frames), [1, 2, 3, 4], "{frames:?}");
}
