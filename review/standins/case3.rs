//! Bad clients send messages that never end, each on a connection of its own, while usual clients ask.
#[path = "lab.rs"]
mod lab;
use lab::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 64;
const SOCKETS: u64 = 1_024;
/// Under a third of the descriptors.
const BAD_CLIENTS: usize = 300;
/// The longest message that there is; its last byte never comes.
const MESSAGE_BYTES: u32 = 262_144;
const USUAL_CLIENTS: u64 = 4;

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    answered: AtomicUsize,
    lost: AtomicUsize,
}

/// Asks for a page twenty times a second, and counts the requests without a whole answer.
fn usual_client(at: SocketAddr, name: u64, counts: &Counts, stop: &AtomicBool) {
    let Ok(mut socket) = TcpStream::connect(at) else { return };
    let _ = socket.set_read_timeout(Some(Duration::from_millis(3_050)));
    for stream in 1.. {
        if stop.load(SeqCst) || socket.write_all(&request(stream, "page-bits", name << 32 | u64::from(stream), 2_500, u64::from(stream), b"")).is_err() {
            return;
        }
        counts.sent.fetch_add(1, SeqCst);
        match read_frame(&mut socket) {
            Ok(Some((11, answered, payload))) if answered == stream => {
                counts.answered.fetch_add(1, SeqCst);
                note(&format!("client {name}: stream {stream} answered, code {}", payload[0]));
            }
            other => {
                counts.lost.fetch_add(1, SeqCst);
                let what = other.map(|frame| frame.map(|(kind, ..)| kind));
                return note(&format!("LOST: client {name}: stream {stream}: {what:?}"));
            }
        }
        sleep_ms(50);
    }
}

/// Sends a message without its end, reads whatever comes, and returns how long it was kept.
fn bad_client(at: SocketAddr) -> (usize, u64) {
    let begun = ms();
    let Ok(mut socket) = TcpStream::connect(at) else { return (0, 0) };
    let _ = socket.set_read_timeout(Some(Duration::from_secs(4)));
    let mut message = MESSAGE_BYTES.to_be_bytes().to_vec();
    message.push(10);
    message.extend(1u32.to_be_bytes());
    message.resize(4 + MESSAGE_BYTES as usize - 1, b'x');
    let mut written = 0;
    while let Some(rest) = message.get(written..).filter(|rest| !rest.is_empty()) {
        match socket.write(rest) {
            Ok(n) => written += n,
            Err(_) => break,
        }
    }
    let mut chunk = [0; 1_024];
    while matches!(socket.read(&mut chunk), Ok(n) if n > 0) {}
    (written, ms() - begun)
}

fn main() {
    let (root, run, case) = arguments();
    open_record(&case.join("record.txt"));
    let serve: Serve = Arc::new(|fetch: &Fetch| (Duration::from_millis(5), hit(&fetch.id, 1_000, &object_bytes(8, 2_000))));
    let members = (1..=5).map(|n| (n, node(Arc::clone(&serve)), [0, 0, 0, 1, 2][n as usize - 1])).collect();
    let setup = Setup { memory_mb: MEMORY_MB, sockets: SOCKETS, feed: Feed::default().start(), members };
    let front = Front::start(&root, &run, &setup);
    if !front.wait_ready(10_000) {
        note("cannot run: the front is not ready");
        front.end();
        std::process::exit(CANNOT_RUN);
    }
    let (counts, stop): (Arc<Counts>, Arc<AtomicBool>) = Default::default();
    let usual: Vec<_> = (1..=USUAL_CLIENTS)
        .map(|name| {
            let (at, counts, stop) = (front.listen, Arc::clone(&counts), Arc::clone(&stop));
            std::thread::spawn(move || usual_client(at, name, &counts, &stop))
        })
        .collect();
    sleep_ms(1_000);
    let at_rest = front.status_kb("RssAnon").unwrap_or(0);
    note(&format!("platform: the front holds {at_rest} KB of its own (RssAnon), the limit is {} KB", MEMORY_MB * 1_024));
    let bad: Vec<_> = (0..if trouble() { BAD_CLIENTS } else { 0 })
        .map(|_| {
            let at = front.listen;
            std::thread::spawn(move || bad_client(at))
        })
        .collect();
    note(&format!("{} bad clients, each with one message of {MESSAGE_BYTES} bytes without its last byte", bad.len()));
    // The platform: over memory_mb the front is killed. Only the process's own pages count here, not its files and sockets.
    let (begun, mut most, mut killed) = (Instant::now(), 0, false);
    while begun.elapsed() < Duration::from_secs(6) {
        let held = front.status_kb("RssAnon").unwrap_or(0);
        if held > most {
            most = held;
            note(&format!("platform: the front holds {held} KB"));
        }
        if held > MEMORY_MB * 1_024 && !killed {
            killed = true;
            note("platform: over memory_mb, the front is killed");
            front.signal("KILL");
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    stop.store(true, SeqCst);
    usual.into_iter().for_each(|client| drop(client.join()));
    let bad: Vec<_> = bad.into_iter().filter_map(|client| client.join().ok()).collect();
    if let Some((_, longest)) = bad.iter().max_by_key(|(_, kept)| *kept) {
        let bytes: usize = bad.iter().map(|(written, _)| written).sum();
        note(&format!("bad clients: {bytes} bytes sent in all, the last one was let go after {longest} ms"));
    }
    let [sent, answered, lost] = [&counts.sent, &counts.answered, &counts.lost].map(|count| count.load(SeqCst));
    // The rule is on memory alone; what the usual clients lose is told beside it.
    let verdict = match (killed, sent > 0 && lost == 0) {
        (true, _) => BROKEN,
        (false, true) => HELD,
        _ => CANNOT_RUN,
    };
    let line = format!("{most} KB held at most, limit {} KB; usual clients: {sent} sent, {answered} answered, {lost} lost", MEMORY_MB * 1_024);
    note(&format!("result: {line}, exit code {verdict}"));
    println!("{line}");
    front.end();
    std::process::exit(verdict);
}
