//! Cache nodes of the cache protocol that hold tagged objects and apply purges. Tests can make a node serve stale copies, delay
//! its responses, and kill it with or without loss of its copies.
use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

const MAX_RECORD_BYTES: usize = 2_048;
const MAX_STRING_BYTES: usize = 1 << 20;

/// Milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|e| e.into_inner())
}

/// The origin from which cache nodes fetch: the current tags of each object, and the number of fetches.
#[derive(Default)]
pub struct Origin {
    tags: Mutex<HashMap<String, Vec<String>>>,
    /// Number of fetches.
    pub fetches: AtomicU64,
}

impl Origin {
    /// Replaces the tags of an object; copies that were fetched before keep theirs.
    pub fn tag(&self, item: &str, tags: &[&str]) {
        lock(&self.tags).insert(item.into(), tags.iter().map(|t| t.to_string()).collect());
    }

    fn fetch(&self, item: &str) -> CachedCopy {
        self.fetches.fetch_add(1, Ordering::SeqCst);
        // Taken before the tags are read: a copy must never be dated later than its contents.
        let born = unix_ms();
        CachedCopy {
            born,
            tags: lock(&self.tags).get(item).cloned().unwrap_or_default(),
        }
    }
}

#[derive(Clone, Debug)]
struct CachedCopy {
    born: u64,
    tags: Vec<String>,
}

#[derive(Clone, Default)]
struct Store {
    copies: HashMap<(String, String), CachedCopy>,
    log_identity: u64,
    applied: u64,
    /// The node has reported that it has no copies, so that earlier purges do not apply to it.
    reported_empty: bool,
}

struct Shared {
    origin: Arc<Origin>,
    store: Mutex<Store>,
    has_disk: bool,
    /// The node is the origin itself, which never responds with a miss.
    is_origin: bool,
    alive: AtomicBool,
    /// Increases when the node is killed; connections of an earlier generation end.
    generation: AtomicU64,
    serve_stale: AtomicBool,
    delay_ms: AtomicU64,
    sockets: Mutex<Vec<TcpStream>>,
    /// Purge batches that began after the node's last applied purge.
    gaps: AtomicU64,
}

/// A cache node, or the origin as an endpoint.
pub struct CacheNode {
    /// Address of the node; a killed node keeps it.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl CacheNode {
    /// Starts a cache node that fetches from `origin`; with a disk it keeps its copies when it is killed.
    pub fn start(origin: Arc<Origin>, disk: bool) -> io::Result<CacheNode> {
        Self::start_node(origin, disk, false)
    }

    /// Starts a node that acts as the origin and never responds with a miss.
    pub fn start_origin(origin: Arc<Origin>) -> io::Result<CacheNode> {
        Self::start_node(origin, false, true)
    }

    fn start_node(origin: Arc<Origin>, disk: bool, is_origin: bool) -> io::Result<CacheNode> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            origin,
            store: Mutex::default(),
            has_disk: disk,
            is_origin,
            alive: AtomicBool::new(true),
            generation: AtomicU64::new(0),
            serve_stale: AtomicBool::new(false),
            delay_ms: AtomicU64::new(0),
            sockets: Mutex::default(),
            gaps: AtomicU64::new(0),
        });
        let accepting = Arc::clone(&shared);
        let thread = std::thread::Builder::new().stack_size(128 * 1024);
        thread.spawn(move || accept(&accepting, &listener))?;
        Ok(CacheNode { address, shared })
    }

    /// Kills the node: its connections are closed, and its copies are lost unless it has a disk.
    pub fn kill(&self) {
        self.shared.alive.store(false, Ordering::SeqCst);
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
        if !self.shared.has_disk {
            *lock(&self.shared.store) = Store::default();
        }
        for socket in lock(&self.shared.sockets).drain(..) {
            // The peer may have closed the connection.
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Restarts the node at the same address.
    pub fn restart(&self) {
        self.shared.alive.store(true, Ordering::SeqCst);
    }

    /// Sets whether the node serves copies that are older than the maximum age of the request.
    pub fn set_serve_stale(&self, serve_stale: bool) {
        self.shared.serve_stale.store(serve_stale, Ordering::SeqCst);
    }

    /// Sets the delay of each response, in milliseconds.
    pub fn set_delay_ms(&self, ms: u64) {
        self.shared.delay_ms.store(ms, Ordering::SeqCst);
    }

    /// Number of the last purge up to which all purges are applied.
    pub fn applied(&self) -> u64 {
        lock(&self.shared.store).applied
    }

    /// Number of purge batches that began after the node's last applied purge.
    pub fn gaps(&self) -> u64 {
        self.shared.gaps.load(Ordering::SeqCst)
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for socket in listener.incoming().map_while(Result::ok) {
        if !shared.alive.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(copy) = socket.try_clone() else {
            continue;
        };
        lock(&shared.sockets).push(copy);
        let shared = Arc::clone(shared);
        let thread = std::thread::Builder::new().stack_size(128 * 1024);
        // If no thread can be started, the connection is closed.
        let _ = thread.spawn(move || serve_connection(&shared, socket));
    }
}

fn serve_connection(shared: &Shared, socket: TcpStream) -> Option<()> {
    let generation = shared.generation.load(Ordering::SeqCst);
    socket.set_nodelay(true).ok()?;
    let mut input = BufReader::new(socket);
    loop {
        let words = read_command(&mut input)?;
        let delay_ms = shared.delay_ms.load(Ordering::SeqCst);
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        if shared.generation.load(Ordering::SeqCst) != generation {
            return None;
        }
        let text = |i: usize| {
            words
                .get(i)
                .map(|w| String::from_utf8_lossy(w).to_string())
                .unwrap_or_default()
        };
        let (word, fields, body) = match text(0).as_str() {
            "fetch" => fetch(shared, &text(2)),
            "purge" => (
                "DONE",
                purge(shared, &text(2), words.get(3)?)?,
                String::new(),
            ),
            _ => continue,
        };
        let parts =
            [text(1).as_str(), word, &fields, &body].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        input
            .get_mut()
            .write_all(format!("*4\r\n{}", parts.concat()).as_bytes())
            .ok()?;
    }
}

fn read_command(input: &mut BufReader<TcpStream>) -> Option<Vec<Vec<u8>>> {
    fn number(input: &mut BufReader<TcpStream>) -> Option<usize> {
        let mut line = String::new();
        input.read_line(&mut line).ok().filter(|n| *n > 1)?;
        line.get(1..)?
            .trim_end()
            .parse()
            .ok()
            .filter(|n| *n <= MAX_STRING_BYTES)
    }
    let mut words = Vec::new();
    for _ in 0..number(input)? {
        let mut word = vec![0; number(input)? + 2];
        input.read_exact(&mut word).ok()?;
        word.truncate(word.len() - 2);
        words.push(word);
    }
    Some(words)
}

fn field<'a>(fields: &'a str, name: &str) -> Option<&'a str> {
    fields
        .split(',')
        .filter_map(|f| f.split_once('='))
        .find(|(n, _)| *n == name)
        .map(|(_, v)| v)
}

/// Processes a fetch; returns the status, the fields and the body of the response. The body describes the copy.
fn fetch(shared: &Shared, fields: &str) -> (&'static str, String, String) {
    let item = field(fields, "item").unwrap_or("").to_string();
    let key = (
        format!(
            "{}/{item}/{}",
            field(fields, "cls").unwrap_or(""),
            field(fields, "chunk").unwrap_or("0")
        ),
        item,
    );
    let oldest: u64 = field(fields, "oldest")
        .and_then(|o| o.parse().ok())
        .unwrap_or(0);
    let now = unix_ms();
    let cached = lock(&shared.store).copies.get(&key).cloned();
    let serve_stale = shared.serve_stale.load(Ordering::SeqCst);
    let usable = cached.filter(|copy| serve_stale || oldest == 0 || now <= copy.born + oldest);
    let (copy, source) = match usable {
        Some(copy) => (copy, "local"),
        // A request without a fill source only checks the cache.
        None if !shared.is_origin && field(fields, "from").is_none() => {
            return ("NONE", "tell=not_there".into(), String::new())
        }
        None => {
            let copy = shared.origin.fetch(&key.1);
            lock(&shared.store).copies.insert(key, copy.clone());
            (copy, "pulled")
        }
    };
    let tags = copy.tags.join(";");
    let fields = format!(
        "ver=4be0c1927d55a6f3,born={},tell={source},tags={tags}",
        copy.born
    );
    ("HIT", fields, format!("born={} tags={tags}", copy.born))
}

/// Applies a batch of purges and returns the fields of the response; `None` for a malformed batch.
fn purge(shared: &Shared, fields: &str, body: &[u8]) -> Option<String> {
    let log_identity = u64::from_str_radix(field(fields, "ledger")?, 16).ok()?;
    let number = |name| field(fields, name).and_then(|n| n.parse::<u64>().ok());
    let (after, upto) = (number("after")?, number("upto")?);
    let mut store = lock(&shared.store);
    if upto > 0 {
        if store.log_identity != log_identity {
            (store.log_identity, store.applied) = (log_identity, 0);
        }
        // An empty node can skip the purges before the batch.
        if std::mem::take(&mut store.reported_empty) || store.copies.is_empty() {
            store.applied = store.applied.max(after);
        }
        if after > store.applied && !store.copies.is_empty() {
            shared.gaps.fetch_add(1, Ordering::SeqCst);
        }
        let mut rest = body;
        while !rest.is_empty() {
            let (record, used) = parse_record(rest)?;
            rest = &rest[used..];
            store.copies.retain(|(key, item), copy| {
                copy.born >= record.at || !record.matches(key, item, copy)
            });
        }
        store.applied = store.applied.max(upto);
    }
    let empty = store.copies.is_empty() && upto == 0;
    store.reported_empty |= empty;
    let empty = u8::from(empty);
    Some(format!(
        "ledger={:016x},upto={},empty={empty}",
        store.log_identity, store.applied
    ))
}

struct Record {
    at: u64,
    kind: u8,
    number: u64,
    text: String,
}

impl Record {
    fn matches(&self, key: &str, item: &str, copy: &CachedCopy) -> bool {
        match self.kind {
            0 => item == format!("{:016x}", self.number),
            // The protocol does not tell a node the group of an object, so every copy matches.
            1 => true,
            2 => copy.tags.contains(&self.text),
            _ => pattern_matches(self.text.as_bytes(), key.as_bytes()),
        }
    }
}

/// Matches `*` and `?`. From a character class or alternative on any text matches, so that too much is purged, not too little.
fn pattern_matches(pattern: &[u8], text: &[u8]) -> bool {
    match (pattern.first(), text.first()) {
        (None, None) => true,
        (Some(b'['), _) | (Some(b'{'), _) => true,
        (Some(b'*'), _) => {
            pattern_matches(&pattern[1..], text)
                || !text.is_empty() && pattern_matches(pattern, &text[1..])
        }
        (Some(b'?'), Some(_)) => pattern_matches(&pattern[1..], &text[1..]),
        (Some(a), Some(b)) if a == b => pattern_matches(&pattern[1..], &text[1..]),
        _ => false,
    }
}

fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0u32, |mut crc, byte| {
        crc ^= u32::from(*byte);
        for _ in 0..8 {
            crc = (crc >> 1) ^ (0xedb8_8320 & (crc & 1).wrapping_neg());
        }
        crc
    })
}

/// Parses the first record of a batch and returns it with its length in bytes; `None` if it is malformed.
fn parse_record(bytes: &[u8]) -> Option<(Record, usize)> {
    let size = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    let payload = bytes
        .get(8..8 + size)
        .filter(|_| size <= MAX_RECORD_BYTES)?;
    let checksum = u32::from_le_bytes(bytes.get(4..8)?.try_into().ok()?);
    if crc32(&[&bytes[..4], payload].concat()) != checksum {
        return None;
    }
    let at = u64::from_le_bytes(payload.get(8..16)?.try_into().ok()?);
    let kind = *payload.get(16)?;
    let rest = payload.get(17..)?;
    let mut found = Record {
        at,
        kind,
        number: 0,
        text: String::new(),
    };
    match kind {
        0 => found.number = u64::from_le_bytes(rest.get(..8)?.try_into().ok()?),
        1 => found.number = u32::from_le_bytes(rest.get(..4)?.try_into().ok()?).into(),
        _ => {
            let size = u16::from_le_bytes(rest.get(..2)?.try_into().ok()?) as usize;
            found.text = std::str::from_utf8(rest.get(2..2 + size)?).ok()?.into();
        }
    }
    Some((found, 8 + size))
}

#[cfg(test)]
mod tests;
