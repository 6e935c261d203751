//! One client that sends small or unsound requests at full speed on one connection, and other clients beside it: these are answered in
//! time, and the memory of the front does not grow.
mod common;
use common::*;
use cranesill_rig::{client_frame, request_frame};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// Time within which the class of the usual requests is wanted (`aim` in the configuration).
const MAX_RESPONSE_TIME: Duration = Duration::from_millis(300);
/// Time that a node takes for each request.
const NODE_DELAY: Duration = Duration::from_millis(50);
/// Of so many requests one may be late, as the machine may be busy.
const MAX_LATE_DIVISOR: u32 = 30;
const MEMORY_MB: u64 = 32;
/// Growth of the memory between the first second and the end that is not a leak: buffers and allocator overhead.
const MAX_GROWTH_KB: u64 = 4_096;
/// Number of requests that are written at once.
const BATCH: u64 = 64;

/// Encodes the request with a number.
type Encode = fn(u64) -> Vec<u8>;

/// Writes what `encode` returns for 1, 2, ... on one connection at a time, and reads everything. Reconnects when closed. Returns the
/// number of requests that were written.
fn flood(address: SocketAddr, stop: &AtomicBool, encode: Encode) -> u64 {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(socket) = TcpStream::connect(address) else {
            continue;
        };
        socket
            .set_write_timeout(Some(Duration::from_millis(100)))
            .unwrap();
        let mut input = socket.try_clone().unwrap();
        let reader = std::thread::spawn(move || {
            let mut buffer = vec![0; 65_536];
            while input.read(&mut buffer).is_ok_and(|count| count > 0) {}
        });
        let mut output = &socket;
        while !stop.load(Ordering::SeqCst) {
            let batch: Vec<u8> = (number..number + BATCH).flat_map(encode).collect();
            number += BATCH;
            let mut sent = 0;
            while sent < batch.len() && !stop.load(Ordering::SeqCst) {
                match output.write(&batch[sent..]) {
                    Ok(count) => sent += count,
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => break,
                }
            }
            if sent < batch.len() {
                break;
            }
        }
        let _ = socket.shutdown(Shutdown::Both);
        reader.join().unwrap();
    }
    number
}

/// Encodes a request on its own stream.
fn request(number: u64, fields: &[(&str, &str)]) -> Vec<u8> {
    request_frame(number as u32 + 1, fields, b"")
}

fn new_objects(number: u64) -> Vec<u8> {
    let id = format!("{:016x}", number + (1 << 40));
    request(
        number,
        &[
            ("verb", "page-bits"),
            ("txn", &id),
            ("limit", "2000"),
            ("item", &id),
        ],
    )
}

fn new_classes(number: u64) -> Vec<u8> {
    let id = format!("{:016x}", number + (1 << 40));
    let class = format!("class-{number}");
    request(
        number,
        &[
            ("verb", &class),
            ("txn", &id),
            ("limit", "2000"),
            ("item", &id),
        ],
    )
}

fn new_fields(number: u64) -> Vec<u8> {
    let names: Vec<String> = (0..254).map(|n| format!("{}", number * 254 + n)).collect();
    let mut fields = vec![("verb", "page-bits")];
    fields.extend(names.iter().map(|name| (name.as_str(), "")));
    request(number, &fields)
}

fn without_identifier(number: u64) -> Vec<u8> {
    request(number, &[("verb", "page-bits"), ("limit", "-7")])
}

fn requests_and_cancellations(number: u64) -> Vec<u8> {
    let mut bytes = new_objects(number);
    bytes.extend(client_frame(12, number as u32 + 1, &[]));
    bytes
}

fn cancellations_of_nothing(number: u64) -> Vec<u8> {
    client_frame(12, number as u32 + 1, &[])
}

fn readiness_requests(number: u64) -> Vec<u8> {
    client_frame(20, number as u32 + 1, &[0])
}

fn writes(number: u64) -> Vec<u8> {
    let id = format!("{:016x}", number + (1 << 40));
    request(
        number,
        &[
            ("verb", "book-car"),
            ("txn", &id),
            ("limit", "2000"),
            ("item", &id),
        ],
    )
}

fn unreadable(number: u64) -> Vec<u8> {
    (number as u32).to_be_bytes().repeat(3)
}

fn one_stream(number: u64) -> Vec<u8> {
    let mut frame = new_objects(number);
    frame[5..9].copy_from_slice(&7u32.to_be_bytes());
    frame
}

/// Answers each request with a hit after a delay, any number of requests at once.
fn serve_delayed_hits(listener: &TcpListener) {
    let listener = listener.try_clone().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve_connection(socket));
        }
    });
}

fn serve_connection(socket: TcpStream) {
    let mut node = NodeConnection(BufReader::new(socket.try_clone().unwrap()));
    let (sender, received) = channel::<(Instant, String)>();
    std::thread::spawn(move || {
        for (due_at, id) in received {
            std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
            let fields = "ver=4be0c1927d55a6f3,born=1764576000123,tell=local";
            let parts =
                [&*id, "HIT", fields, "bytes"].map(|part| format!("${}\r\n{part}\r\n", part.len()));
            // Fails if the front has closed the connection.
            let _ = (&socket).write_all(format!("*4\r\n{}", parts.concat()).as_bytes());
        }
    });
    while let Some(strings) = node.receive_raw() {
        if strings[0] == b"fetch" {
            let id = String::from_utf8(strings[1].clone()).unwrap();
            let _ = sender.send((Instant::now() + NODE_DELAY, id));
        }
    }
}

/// Guards against other clients that are answered late or never, and against memory that grows.
#[test]
fn other_clients_are_served_in_time_beside_one_that_sends_at_full_speed() {
    let floods: [(&str, Encode); 10] = [
        ("new objects", new_objects),
        ("new classes", new_classes),
        ("new fields", new_fields),
        ("without identifier", without_identifier),
        ("requests and cancellations", requests_and_cancellations),
        ("cancellations of nothing", cancellations_of_nothing),
        ("readiness requests", readiness_requests),
        ("writes", writes),
        ("unreadable", unreadable),
        ("one stream", one_stream),
    ];
    for (name, encode) in floods {
        let setup = TestFront::new(|config| config["limits"]["memory_mb"] = MEMORY_MB.into());
        let nodes = setup.caches.iter().chain([&setup.origin]);
        nodes.for_each(serve_delayed_hits);
        let stop = Arc::new(AtomicBool::new(false));
        let (address, stopped) = (setup.address, Arc::clone(&stop));
        let flooder = std::thread::spawn(move || flood(address, &stopped, encode));
        let mut usual = setup.client();
        let began = Instant::now();
        let (mut slowest, mut late) = (Duration::ZERO, 0u32);
        let (mut served, mut rejected) = (0u32, 0u32);
        let mut early_kb = 0;
        while began.elapsed() < FLOOD_DURATION {
            let sent = Instant::now();
            let stream = served + rejected + 1;
            let txn = format!("{stream:016x}");
            usual
                .try_request(stream, "page-bits", &[("txn", &txn), ("item", &txn)])
                .unwrap();
            let response = usual.receive().expect("the usual client is answered");
            slowest = slowest.max(sent.elapsed());
            late += u32::from(sent.elapsed() > MAX_RESPONSE_TIME);
            match response.ends_with("bytes") {
                true => served += 1,
                false => rejected += 1,
            }
            if began.elapsed() < FLOOD_DURATION / 4 {
                early_kb = anonymous_memory_kb(setup.child.id());
            }
        }
        let late_kb = anonymous_memory_kb(setup.child.id());
        stop.store(true, Ordering::SeqCst);
        let sent = flooder.join().unwrap();
        println!("{name}: {sent} sent; others: {served} served, {rejected} rejected, slowest {slowest:?}; {early_kb} -> {late_kb} KB");
        assert_eq!(rejected, 0, "{name}");
        assert!(
            late <= served / MAX_LATE_DIVISOR,
            "{name}: {late} of {served} late, {slowest:?}"
        );
        assert!(
            late_kb < early_kb + MAX_GROWTH_KB,
            "{name}: {early_kb} -> {late_kb} KB"
        );
        assert!(late_kb < MEMORY_MB * 1_024, "{name}: {late_kb} KB");
    }
}
