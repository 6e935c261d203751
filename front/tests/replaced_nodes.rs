//! A node that is replaced by another process: at the address of one that has gone, or under its own id at the same or another address.
//! What was decided for the one does not go to the other, and connections to the earlier process are not used.
mod common;
use common::*;
use cranesill_standins::cache_node::unix_ms;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Time in which a request would arrive.
const SETTLE_TIME: Duration = Duration::from_millis(300);
const READY: u8 = 0;
const GONE: u8 = 2;
const ORIGIN_ID: u32 = 0x31;
const ORIGIN_KIND: u8 = 2;
const ORIGIN_ZONE: u8 = 0;

/// Encodes an origin of the feed's list.
fn origin_record(id: u32, at: SocketAddr, state: u8, started_ms: u64) -> Vec<u8> {
    let mut record = node_record(id, at, state, started_ms);
    // State, zone and kind follow id, address and port.
    record[11] = ORIGIN_ZONE;
    record[12] = ORIGIN_KIND;
    record
}

fn with_long_connect_timeout(config: &mut serde_json::Value) {
    config["settings"]["policyLimits"]["connectTimeout"] = 10_000_000.into();
    config["settings"]["familyInfo"]["purgeGrace"] = 10_000_000.into();
}

/// Whether nothing arrives on a connection.
fn is_unused(stream: &TcpStream) -> bool {
    stream.set_read_timeout(Some(SETTLE_TIME)).unwrap();
    !matches!((&*stream).read(&mut [0; 1]), Ok(count) if count > 0)
}

fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Waits until the front has read what was sent on a connection.
fn wait_until_read(client: &mut Client, stream: u32) {
    client.send(20, stream, &[0]);
    assert!(client.receive().unwrap().starts_with("type 21"));
}

/// Guards against a request that is written to another node, which has come up at the address to which a connection was being made.
#[test]
fn request_for_a_node_that_moved_is_not_written_to_its_old_address() {
    let setup = TestFront::new(with_long_connect_timeout);
    let (mut feed, _) = accept_feed(&setup.feed);
    let filler = fill_accept_queue(&setup.origin);
    let mut client = setup.client();
    client.request(1, "book-car", "20000", &[], b"keys");
    wait_until_read(&mut client, 2);
    // The origin was restarted elsewhere. Whoever accepts at its old address is another process.
    let moved = listener();
    let at = moved.local_addr().unwrap();
    let record = origin_record(ORIGIN_ID, at, READY, unix_ms());
    feed.write_all(&feed_event(2, 2, &record)).unwrap();
    std::thread::sleep(SETTLE_TIME);
    drop(accept(&setup.origin));
    drop(filler);
    // The system repeats a connection attempt after a second.
    setup.origin.set_nonblocking(true).unwrap();
    let deadline = Instant::now() + Duration::from_secs(2);
    while Instant::now() < deadline {
        if let Ok((stream, _)) = setup.origin.accept() {
            stream.set_nonblocking(false).unwrap();
            assert!(is_unused(&stream), "written to another node");
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let mut origin = accept_node(&moved);
    let fetch = origin.receive().unwrap();
    origin.respond(&fetch[1], "HIT", "-", "from the moved origin");
    assert!(client.receive().unwrap().ends_with("from the moved origin"));
}

/// Guards against requests on connections to a process that has gone silently, after another one has come up.
#[test]
fn connections_to_an_earlier_process_are_not_used_for_its_successor() {
    // The successor has another id at the same address, or the same id and another start time.
    for successor in [0x41, ORIGIN_ID] {
        let setup = TestFront::new(|_| {});
        let (mut feed, _) = accept_feed(&setup.feed);
        let address = setup.origin.local_addr().unwrap();
        let mut client = setup.client();
        client.request(1, "book-car", "20000", &[], b"keys");
        let mut earlier = accept_node(&setup.origin);
        let fetch = earlier.receive().unwrap();
        earlier.respond(&fetch[1], "HIT", "-", "from the earlier process");
        client.receive().unwrap();
        let mut records = origin_record(successor, address, READY, unix_ms());
        if successor != ORIGIN_ID {
            records.extend(origin_record(ORIGIN_ID, address, GONE, 0));
        }
        feed.write_all(&feed_event(2, 2, &records)).unwrap();
        // The event is applied before a request that is sent later.
        std::thread::sleep(SETTLE_TIME);
        client.request(
            3,
            "book-car",
            "20000",
            &[("txn", "00000000000000a3")],
            b"keys",
        );
        let mut later = accept_node(&setup.origin);
        let fetch = later.receive().unwrap();
        assert_eq!(fetch[1], "00000000000000a3");
        later.respond(&fetch[1], "HIT", "-", "from the successor");
        assert!(client.receive().unwrap().ends_with("from the successor"));
        // The connection to the earlier process is idle or closed.
        let mut rest = Vec::new();
        let stream = earlier.0.into_inner();
        stream.set_read_timeout(Some(SETTLE_TIME)).unwrap();
        let _ = BufReader::new(stream).read_to_end(&mut rest);
        assert!(rest.is_empty(), "{}", rest.escape_ascii());
    }
}

/// Guards against a request that may have run at a process that has gone, and runs again at its successor.
#[test]
fn request_in_flight_at_a_process_that_has_gone_is_not_sent_to_its_successor() {
    for successor in [0x41, ORIGIN_ID] {
        let setup = TestFront::new(|_| {});
        let (mut feed, _) = accept_feed(&setup.feed);
        let address = setup.origin.local_addr().unwrap();
        let mut client = setup.client();
        client.request(1, "book-car", "3000", &[], b"keys");
        let mut earlier = accept_node(&setup.origin);
        earlier.receive().unwrap();
        let mut records = origin_record(successor, address, READY, unix_ms());
        if successor != ORIGIN_ID {
            records.extend(origin_record(ORIGIN_ID, address, GONE, 0));
        }
        feed.write_all(&feed_event(2, 2, &records)).unwrap();
        std::thread::sleep(SETTLE_TIME);
        // The earlier process ends: its connection is reset.
        drop(earlier);
        assert!(client
            .receive()
            .unwrap()
            .starts_with("type 11 stream 1: \\x03"));
        setup.origin.set_nonblocking(true).unwrap();
        std::thread::sleep(SETTLE_TIME);
        if let Ok((stream, _)) = setup.origin.accept() {
            stream.set_nonblocking(false).unwrap();
            assert!(is_unused(&stream), "sent to the successor");
        }
    }
}
