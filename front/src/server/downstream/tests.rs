use super::connection::{MAX_DRAINING_TIME, MIN_DRAINING_IDLE, READ_PAUSE};
use super::eviction::MAX_IDLE;
use super::*;
use std::io::Write;
use std::net::TcpListener;

const READY: [u8; 11] = [0, 0, 0, 7, 20, 0, 0, 0, 1, 0, 0];

struct Stage(TcpListener, Reactor, Clients);

impl Stage {
    fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        Stage(listener, Reactor::new().unwrap(), Clients::new())
    }

    fn client(&mut self, now: Timestamp, key: usize) -> TcpStream {
        let socket = TcpStream::connect(self.0.local_addr().unwrap()).unwrap();
        self.2
            .add(now, &self.1, self.0.accept().unwrap().0, key, 0)
            .unwrap();
        socket
    }

    /// Writes, and reads that as the loop would.
    fn tell(
        &mut self,
        now: Timestamp,
        mut socket: &TcpStream,
        key: usize,
        bytes: &[u8],
    ) -> Vec<ClientEvent> {
        socket.write_all(bytes).unwrap();
        assert!(self.told(20_000_000), "something came");
        self.2.read(now, key)
    }

    /// Whether there is something to read before that long has passed.
    fn told(&mut self, until: Timestamp) -> bool {
        // It may be told first that something can be written.
        (0..3).any(|_| {
            self.1
                .wait(0, Some(until))
                .unwrap()
                .iter()
                .any(|event| event.readable)
        })
    }
}

#[test]
fn connections_that_never_said_anything_make_room_before_idle_ones() {
    let mut stage = Stage::new();
    let usual = stage.client(0, 1);
    stage.tell(1, &usual, 1, &READY);
    let _silent = stage.client(2, 2);
    assert!(stage.2.evict());
    assert!(stage.2.has(1) && !stage.2.has(2));
}

#[test]
fn a_connection_that_carries_nothing_is_closed_whatever_is_done_for_others() {
    // Each sweep took what had nothing to write for what had written something.
    let mut stage = Stage::new();
    let idle = stage.client(0, 1);
    stage.tell(1, &idle, 1, &READY);
    stage.2.sweep(MAX_IDLE / 2, usize::MAX, usize::MAX);
    assert!(stage.2.has(1));
    stage.2.sweep(MAX_IDLE + 2, usize::MAX, usize::MAX);
    stage
        .2
        .sweep(MAX_IDLE + 3 + CLOSE_TIMEOUT, usize::MAX, usize::MAX);
    assert!(!stage.2.has(1));
}

#[test]
fn a_client_that_sends_what_can_not_be_taken_in_rests_and_its_end_is_still_seen() {
    let mut stage = Stage::new();
    let client = stage.client(0, 1);
    let bad = [0, 0, 0, 6, 10, 0, 0, 0, 1, 0];
    assert!(matches!(
        stage.tell(1, &client, 1, &bad)[..],
        [ClientEvent::BadRequest(..)]
    ));
    (&client).write_all(&READY).unwrap();
    assert!(!stage.told(20_000), "nothing is read from it for now");
    stage.2.sweep(READ_PAUSE + 1, usize::MAX, usize::MAX);
    assert!(stage.told(20_000_000));
    // An end that is told while nothing is watched for would be told for ever.
    let client = stage.client(0, 2);
    stage.tell(1, &client, 2, &bad);
    drop(client);
    assert!(stage.told(20_000_000));
    stage.2.read(2, 2);
    // It is owed an answer: whether it is there shows by what the system says to a frame.
    assert!(stage.told(20_000_000));
    stage.2.read(3, 2);
    assert!(!stage.2.has(2));
}

/// A request that can be taken in.
const REQUEST: &[u8] = b"\x00\x00\x00\x2d\x0a\x00\x00\x00\x01\x03\x04verb\x00\x01x\x03txn\x00\x109b1f03aa5c7e2d41\x05limit\x00\x011";

#[test]
fn a_client_with_an_open_request_rests_for_less_than_it_may_take_to_hear_that_it_cancels() {
    let mut stage = Stage::new();
    let client = stage.client(0, 1);
    assert!(matches!(
        stage.tell(1, &client, 1, REQUEST)[..],
        [ClientEvent::Request(..)]
    ));
    let heard = stage.tell(2, &client, 1, &[0, 0, 0, 6, 10, 0, 0, 0, 2, 0]);
    let [ClientEvent::BadRequest(from, _)] = heard[..] else {
        panic!("{heard:?}")
    };
    stage.2.answer(2, from, Response::Failed);
    (&client).write_all(&[0, 0, 0, 5, 12, 0, 0, 0, 1]).unwrap();
    assert!(!stage.told(20_000), "nothing is read from it for now");
    let read_at = stage.2.next().expect("it is read again");
    assert!(read_at < 50_000, "{read_at}");
    stage.2.due(read_at);
    assert!(stage.told(20_000_000));
    assert!(matches!(
        stage.2.read(read_at, 1)[..],
        [ClientEvent::Disconnected(_)]
    ));
    assert_eq!(stage.2.next(), None);
}

#[test]
fn what_comes_with_the_end_of_its_client_waits_until_that_has_shown_whether_it_is_there() {
    for closes in [true, false] {
        let mut stage = Stage::new();
        let client = stage.client(0, 1);
        (&client).write_all(REQUEST).unwrap();
        client.shutdown(std::net::Shutdown::Write).unwrap();
        let kept = (!closes).then_some(client);
        assert!(stage.told(20_000_000));
        assert!(stage.2.read(1, 1).is_empty() && stage.2.has_partial_requests());
        let at = stage.2.next().expect("it is held back");
        assert!(stage.2.due(at - 1).is_empty());
        if closes {
            assert!(stage.told(20_000_000), "a reset");
            stage.2.read(2, 1);
        }
        assert_eq!(stage.2.due(at).len(), usize::from(!closes), "{kept:?}");
        assert!(!stage.2.has_partial_requests() && stage.2.next().is_none());
    }
}

#[test]
fn an_emptied_front_closes_what_is_free_and_answers_what_is_open_first() {
    let mut stage = Stage::new();
    let (idle, busy, chatty) = (stage.client(0, 1), stage.client(0, 2), stage.client(0, 3));
    stage.tell(1, &idle, 1, &READY);
    stage.tell(1, &chatty, 3, &READY);
    // A request that can't be used is one all the same: it is owed an answer.
    let request = [0, 0, 0, 6, 10, 0, 0, 0, 1, 0];
    let heard = stage.tell(1, &busy, 2, &request);
    let [ClientEvent::BadRequest(from, _)] = heard[..] else {
        panic!("{heard:?}")
    };
    stage.2.drain(2, true);
    let sweep = |stage: &mut Stage, now| drop(stage.2.sweep(now, usize::MAX, usize::MAX));
    sweep(&mut stage, MIN_DRAINING_IDLE);
    assert!(
        [1, 2, 3]
            .iter()
            .all(|key| stage.2.connections[key].state == ConnectionState::Open),
        "what was on its way comes first"
    );
    stage.tell(MIN_DRAINING_IDLE, &chatty, 3, &READY);
    sweep(&mut stage, MIN_DRAINING_IDLE + 10);
    let closes = |stage: &Stage, key| stage.2.connections[&key].state != ConnectionState::Open;
    assert!(closes(&stage, 1) && !closes(&stage, 2) && !closes(&stage, 3));
    // It takes clients again: who was told to go goes, and who comes now stays.
    stage.2.resume();
    let _new = stage.client(MIN_DRAINING_IDLE + 20, 4);
    stage.tell(MIN_DRAINING_IDLE + 20, &_new, 4, &READY);
    stage
        .2
        .answer(MIN_DRAINING_IDLE + 30, from, Response::Failed);
    stage.tell(MAX_DRAINING_TIME, &chatty, 3, &READY);
    sweep(&mut stage, MAX_DRAINING_TIME + 10);
    assert!(closes(&stage, 2), "answered, it is free");
    assert!(
        closes(&stage, 3),
        "one that goes on asking is closed in the end"
    );
    sweep(&mut stage, MAX_DRAINING_TIME + 2 * CLOSE_TIMEOUT);
    assert!(![1, 2, 3].iter().any(|key| stage.2.has(*key)) && stage.2.has(4));
}

#[test]
fn what_has_come_and_is_not_read_yet_keeps_a_connection_from_making_room() {
    let mut stage = Stage::new();
    let (mut asks, idle) = (stage.client(0, 1), stage.client(5, 2));
    stage.tell(1, &asks, 1, &READY);
    stage.tell(6, &idle, 2, &READY);
    asks.write_all(&READY).unwrap();
    assert!(stage.told(20_000_000));
    assert!(
        stage.2.evict() && stage.2.has(1) && !stage.2.has(2),
        "the one that was idle for longer has asked"
    );
    assert!(!stage.2.evict() && stage.2.has(1));
}

#[test]
fn who_asks_and_takes_it_back_in_one_turn_is_not_heard_of() {
    let mut stage = Stage::new();
    let client = stage.client(0, 1);
    let gone = |stream: u8| [0, 0, 0, 5, 12, 0, 0, 0, stream];
    assert!(stage
        .tell(1, &client, 1, &[REQUEST, &gone(1)].concat())
        .is_empty());
    // What was heard of in a turn before is called off.
    let mut other = REQUEST.to_vec();
    other[8] = 2;
    assert!(matches!(
        stage.tell(1, &client, 1, &other)[..],
        [ClientEvent::Request(..)]
    ));
    assert!(matches!(
        stage.tell(2, &client, 1, &gone(2))[..],
        [ClientEvent::Disconnected(_)]
    ));
}

#[test]
fn a_client_that_takes_nothing_is_not_read_from_without_end() {
    let mut stage = Stage::new();
    let client = stage.client(0, 1);
    let request = |stream: u8| [0, 0, 0, 6, 10, 0, 0, 0, stream, 0];
    let all: Vec<u8> = (1..=32).flat_map(request).collect();
    stage.tell(1, &client, 1, &all);
    for stream in 1..=32 {
        let body = vec![7; 1 << 20].into();
        stage
            .2
            .answer(1, ReplyTo { client: 1, stream }, Response::Served(body));
    }
    stage.2.sweep(READ_PAUSE + 1, usize::MAX, usize::MAX);
    stage.tell(READ_PAUSE + 1, &client, 1, &READY.repeat(64));
    (&client).write_all(&READY).unwrap();
    assert!(!stage.told(20_000), "it has to take some first");
}

#[test]
fn who_comes_while_the_program_ends_is_answered_before_the_connection_is_shut() {
    let mut stage = Stage::new();
    stage.2.close_all(0);
    let mut client = stage.client(1, 1);
    let class = b"\x00\x00\x00\x2d\x0a\x00\x00\x00\x01\x03\x04verb\x00\x01x\x03txn\x00\x109b1f03aa5c7e2d41\x05limit\x00\x011";
    let heard = stage.tell(2, &client, 1, class);
    let [ClientEvent::Request(from, _)] = heard[..] else {
        panic!("{heard:?}")
    };
    stage.2.answer(3, from, Response::Failed);
    client
        .set_read_timeout(Some(std::time::Duration::from_secs(5)))
        .unwrap();
    let mut said = Vec::new();
    std::io::Read::read_to_end(&mut client, &mut said).unwrap();
    assert_eq!(said[4], 11, "an answer and then the end: {said:?}");
    // What comes after that is nobody's any more.
    assert!(stage.tell(4, &client, 1, class).is_empty());
}
