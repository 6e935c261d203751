//! Memory of a front beside clients that send messages without an end.
mod common;
use common::operations::serve_hits;
use common::*;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 1_024;
/// At most a third of the descriptors are held by clients.
const BAD_CLIENTS: usize = 300;
/// The longest frame that is allowed. Its last byte is not sent.
const FRAME_BYTES: u32 = 262_144;
const ATTACK_DURATION: Duration = Duration::from_secs(3);

/// Anonymous memory of a process in KB.
fn anonymous_memory_kb(process_id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("RssAnon"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.unwrap().parse().unwrap()
}

/// Sends as much of a frame as the front takes, on each of many connections in turn, until `stop` is set.
fn send_incomplete_frames(address: std::net::SocketAddr, stop: &AtomicBool) {
    let mut frame = FRAME_BYTES.to_be_bytes().to_vec();
    frame.resize(4 + FRAME_BYTES as usize - 1, 10);
    let mut connections = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        if connections.len() < BAD_CLIENTS {
            let Ok(socket) = TcpStream::connect(address) else {
                continue;
            };
            socket.set_nonblocking(true).unwrap();
            connections.push((socket, 0));
        }
        connections.retain_mut(|(socket, sent)| {
            match socket.write(&frame[*sent..]) {
                Ok(count) => *sent += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return false,
            }
            true
        });
    }
}

// Guards against a front that is killed for its memory: the limit on what clients have sent was applied four times a second.
#[test]
fn clients_with_incomplete_messages_do_not_exceed_the_memory_limit() {
    let setup = TestFront::new(|config| {
        config["limits"]["memory_mb"] = MEMORY_MB.into();
        config["limits"]["sockets"] = DESCRIPTORS.into();
    });
    setup
        .caches
        .iter()
        .for_each(|cache| drop(serve_hits(cache)));
    let stop = Arc::new(AtomicBool::new(false));
    let (address, stopped) = (setup.address, Arc::clone(&stop));
    let attack = std::thread::spawn(move || send_incomplete_frames(address, &stopped));
    let mut usual = setup.client();
    let (began, mut stream, mut most_kb) = (Instant::now(), 0, 0);
    while began.elapsed() < ATTACK_DURATION {
        stream += 1;
        usual.request(stream, "page-bits", "20000", &[], b"");
        let answer = usual.receive().expect("the usual client is answered");
        assert!(answer.ends_with("bytes"), "{answer}");
        most_kb = most_kb.max(anonymous_memory_kb(setup.child.id()));
    }
    stop.store(true, Ordering::SeqCst);
    attack.join().unwrap();
    assert!(most_kb < MEMORY_MB * 1_024, "{most_kb} KB");
}
