//! The origin is out by hand while an object is purged that caches and parents still hold.
#[path = "lab.rs"]
mod lab;
use lab::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

const ITEM: u64 = 0x7f3a_9c21_e0b4_d655;
const BYTES: usize = 20_000;
const ORIGIN: u32 = 3;
/// The bytes of the object before and after the purge.
const OLD: u64 = 1;
const NEW: u64 = 2;
/// The control feed tells of a purge this much later: 78 to 370 ms.
const TOLD_AFTER_MS: u64 = 200;
/// Caches and parents drop purged copies by themselves, each in its own time, within 6 s.
const DROPPED_AFTER_MS: u64 = 5_000;
/// Time to heed a purge, the 50 ms by which every limit is extended, and 200 ms in favour of the front: what counts is the
/// first byte of a send, and the nodes note when all of it has arrived.
const GRACE_MS: u64 = 500 + 50 + 200;
const CLIENTS: u64 = 4;
const OPEN: u32 = 25;

#[derive(Default)]
struct World {
    /// Unix milliseconds; 0: not yet.
    purged_at: AtomicU64,
    told_at: AtomicU64,
    /// When the copies of the cache and of the parent were given out by the origin.
    born: [AtomicU64; 2],
    stale_at_nodes: AtomicUsize,
    stale_at_clients: AtomicUsize,
    answers: AtomicUsize,
    stop: AtomicBool,
}

impl World {
    /// Whether a send at this time may not be answered from an older copy than the purge.
    fn is_bound(&self, sent_at: u64) -> bool {
        let told_at = self.told_at.load(SeqCst);
        told_at > 0 && sent_at > told_at + GRACE_MS
    }

    /// A sound node: its own copy where that will do, else one fetched anew if the front names a source, else a miss.
    /// Without `oldest` the fresh time of the class counts, and this class has none: a copy is good until it is dropped.
    fn answer(&self, name: &str, who: usize, fetch: &Fetch) -> Vec<u8> {
        let now = unix_ms();
        let purged_at = self.purged_at.load(SeqCst);
        let oldest: u64 = fetch.fields.get("oldest").and_then(|text| text.parse().ok()).unwrap_or(0);
        let from = fetch.fields.get("from");
        let held = self.born[who].load(SeqCst);
        let dropped = purged_at > 0 && held < purged_at && now > purged_at + DROPPED_AFTER_MS;
        let will_do = !dropped && (oldest == 0 || now - held <= oldest);
        if !will_do && from.is_none() {
            note(&format!("{name}: {} oldest={oldest} from=-: NONE", fetch.id));
            return bulk(&[fetch.id.as_bytes(), b"NONE", b"tell=not_there", b""]);
        }
        if !will_do {
            self.born[who].store(now, SeqCst);
        }
        let born = self.born[who].load(SeqCst);
        let is_old = purged_at == 0 || born < purged_at;
        let breaks = is_old && self.is_bound(now);
        if breaks {
            self.stale_at_nodes.fetch_add(1, SeqCst);
        }
        let from = from.map_or("-", String::as_str);
        let mark = if breaks { format!(", PURGED {} ms ago", now - purged_at) } else { String::new() };
        note(&format!("{name}: {} oldest={oldest} from={from}: HIT, copy {} ms old{mark}", fetch.id, now - born));
        let version = if is_old { OLD } else { NEW };
        let fields = format!("ver={version:016x},born={born},tell=local,meter=load_share:0.1;concurrent:1;x1:0.1");
        bulk(&[fetch.id.as_bytes(), b"HIT", fields.as_bytes(), &object_bytes(version, BYTES)])
    }
}

/// Keeps some requests for the object open, and looks at the bytes of each answer.
fn client(at: SocketAddr, name: u64, world: &World) {
    let mut socket = TcpStream::connect(at).expect("client");
    let _ = socket.set_nodelay(true);
    let _ = socket.set_read_timeout(Some(Duration::from_secs(6)));
    let (mut sent, mut next) = (HashMap::new(), 0);
    let mut ask = |socket: &mut TcpStream, sent: &mut HashMap<u32, u64>| {
        next += 1;
        sent.insert(next, unix_ms());
        socket.write_all(&request(next, "car-video", name << 32 | u64::from(next), 5_000, ITEM, b"")).is_ok()
    };
    for _ in 0..OPEN {
        ask(&mut socket, &mut sent);
    }
    while !world.stop.load(SeqCst) {
        match read_frame(&mut socket) {
            Ok(Some((11, stream, payload))) => {
                world.answers.fetch_add(1, SeqCst);
                let asked_at = sent.remove(&stream).unwrap_or(0);
                if payload[0] != 1 {
                    note(&format!("client {name}: stream {stream}: code {}", payload[0]));
                    sleep_ms(50);
                } else if world.is_bound(asked_at) && answer_body(&payload) == object_bytes(OLD, BYTES) {
                    world.stale_at_clients.fetch_add(1, SeqCst);
                    let told = asked_at - world.told_at.load(SeqCst);
                    note(&format!("PURGED BYTES: client {name}, stream {stream}, asked {told} ms after the front was told"));
                }
                if !ask(&mut socket, &mut sent) {
                    return;
                }
            }
            Ok(Some(_)) => {}
            _ => return,
        }
    }
}

fn main() {
    let (root, run, case) = arguments();
    open_record(&case.join("record.txt"));
    let world: Arc<World> = Arc::default();
    world.born.iter().for_each(|born| born.store(unix_ms() - 20_000, SeqCst));
    let holder = |name: &'static str, who: usize, wait_ms: u64| {
        let world = Arc::clone(&world);
        node(Arc::new(move |fetch: &Fetch| (Duration::from_millis(wait_ms), world.answer(name, who, fetch))))
    };
    // The cache takes its time to send, so that it is full and requests go to the parent as well.
    let (cache, parent) = (holder("cache", 0, 300), holder("parent", 1, 50));
    let origin = node(Arc::new(|fetch: &Fetch| (Duration::from_millis(50), hit(&fetch.id, 0, &object_bytes(NEW, BYTES)))));
    let feed = Feed::default();
    let setup = Setup { memory_mb: 192, sockets: 1024, feed: feed.start(), members: vec![(1, cache, 0), (2, parent, 1), (ORIGIN, origin, 2)] };
    let front = Front::start(&root, &run, &setup);
    if !front.wait_ready(10_000) {
        note("cannot run: the front is not ready");
        front.end();
        std::process::exit(CANNOT_RUN);
    }
    let clients: Vec<_> = (1..=CLIENTS)
        .map(|name| {
            let (at, world) = (front.listen, Arc::clone(&world));
            std::thread::spawn(move || client(at, name, &world))
        })
        .collect();
    sleep_ms(1_000);
    let called = !trouble() || front.call(&format!("cordon s-{ORIGIN:08x}")).starts_with("+OK");
    sleep_ms(1_000);
    let purged_at = unix_ms();
    world.purged_at.store(purged_at, SeqCst);
    note(&format!("purge of {ITEM:016x}"));
    sleep_ms(TOLD_AFTER_MS);
    let payload = [ITEM.to_be_bytes(), purged_at.to_be_bytes()].concat();
    feed.events.lock().unwrap().push((2, 3, payload));
    sleep_ms(20);
    world.told_at.store(unix_ms(), SeqCst);
    note("control feed: the purge is told");
    sleep_ms(5_000);
    world.stop.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let [nodes, stale, answers] = [&world.stale_at_nodes, &world.stale_at_clients, &world.answers].map(|count| count.load(SeqCst));
    let called = called && front.status_kb("RssAnon").is_some();
    let verdict = match (called, answers, nodes + stale) {
        (false, ..) | (_, 0, _) => CANNOT_RUN,
        (_, _, 0) => HELD,
        _ => BROKEN,
    };
    let line = format!("{nodes} sends answered from a purged copy, {stale} of {answers} answers with purged bytes at clients");
    note(&format!("result: {line}, exit code {verdict}"));
    println!("{line}");
    front.end();
    std::process::exit(verdict);
}
