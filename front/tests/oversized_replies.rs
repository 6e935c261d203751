//! Replies of nodes that are longer than an object may be, beside sound replies to the same client.
mod common;
use common::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// Longest object of the protocol.
const MAX_OBJECT_BYTES: usize = 240_000;
const SOUND_DELAY: Duration = Duration::from_millis(50);
const OTHER_REQUESTS: u32 = 8;
/// Object of the request that is answered with an oversized reply; all others are answered with sound ones.
const OVERSIZED_ITEM: &str = "00000000000000aa";

/// Answers requests for [`OVERSIZED_ITEM`] at once with an object of `length` bytes, and all others after a short time.
fn serve(listener: &TcpListener, length: usize) {
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || answer_on_connection(socket, length));
        }
    });
}

fn answer_on_connection(socket: TcpStream, length: usize) {
    let mut node = NodeConnection(BufReader::new(socket.try_clone().unwrap()));
    while let Some(fetch) = node.receive() {
        if fetch[0] != "fetch" {
            continue;
        }
        if fetch[2].contains(OVERSIZED_ITEM) {
            send_hit(&socket, &fetch[1], &"x".repeat(length));
            continue;
        }
        let (socket, id) = (socket.try_clone().unwrap(), fetch[1].clone());
        std::thread::spawn(move || {
            std::thread::sleep(SOUND_DELAY);
            send_hit(&socket, &id, "sound");
        });
    }
}

/// Sends a hit. The front may have closed the connection.
fn send_hit(mut socket: &TcpStream, id: &str, object: &str) {
    let length = object.len();
    let head = format!("*4\r\n$16\r\n{id}\r\n$3\r\nHIT\r\n$13\r\nver=ab,born=5\r\n${length}\r\n");
    let _ = socket.write_all(format!("{head}{object}\r\n").as_bytes());
}

/// Sends a request that is answered with an object of `length` bytes, and others behind it on the same connection. Returns the
/// beginnings of the answers by stream.
fn answers_beside_an_object_of(length: usize) -> BTreeMap<u32, String> {
    let setup = TestFront::new(|_| {});
    for listener in setup.caches.iter().chain([&setup.origin]) {
        serve(listener, length);
    }
    let mut client = setup.client();
    let request = |client: &mut Client, stream: u32, item: &str| {
        let transaction = format!("{stream:016x}");
        let fields = [("txn", transaction.as_str()), ("item", item)];
        client.try_request(stream, "car-video", &fields).unwrap();
    };
    request(&mut client, 1, OVERSIZED_ITEM);
    for stream in 2..2 + OTHER_REQUESTS {
        request(&mut client, stream, &format!("{stream:016x}"));
    }
    let mut answers = BTreeMap::new();
    while answers.len() < 1 + OTHER_REQUESTS as usize {
        let answer = client.receive().expect("the connection can be read on");
        let (stream, payload) = parse_answer(&answer);
        let beginning = payload.chars().take(20).collect();
        assert_eq!(answers.insert(stream, beginning), None, "one answer each");
    }
    answers
}

/// Splits an answer into its stream and its payload.
fn parse_answer(answer: &str) -> (u32, &str) {
    let rest = answer.strip_prefix("type 11 stream ").expect(answer);
    let (stream, payload) = rest.split_once(": ").unwrap();
    (stream.parse().unwrap(), payload)
}

// Guards against a frame that no client can read: all other requests on the connection were lost with it.
#[test]
fn an_oversized_reply_is_not_served_and_no_other_request_on_the_connection_is_lost() {
    for length in [262_138, 262_144, 262_145, 262_137, MAX_OBJECT_BYTES + 1] {
        let answers = answers_beside_an_object_of(length);
        assert!(
            !answers[&1].starts_with("\\x01"),
            "{length} bytes: {answers:?}"
        );
        for stream in 2..2 + OTHER_REQUESTS {
            assert_eq!(answers[&stream], "\\x01\\x00sound", "{length} bytes");
        }
    }
}

#[test]
fn the_longest_object_is_served_beside_others() {
    let answers = answers_beside_an_object_of(MAX_OBJECT_BYTES);
    assert_eq!(answers[&1], "\\x01\\x00xxxxxxxxxxxx");
    assert!(answers
        .values()
        .skip(1)
        .all(|answer| answer == "\\x01\\x00sound"));
}
