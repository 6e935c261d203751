//! Stand-ins for cache nodes, parents and the origin. One thread with a poller serves all of them, since many fronts and nodes
//! have thousands of connections. They keep copies for as long as the protocol allows, unless a request limits the age.
use crate::history::{History, Observation};
use polling::{Event, Events, PollMode, Poller};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Input without a complete command after which a connection is reset.
const MAX_INPUT_BYTES: usize = 1 << 20;
/// Limits of a command: number of strings and bytes of a string.
const MAX_STRINGS: usize = 8;
const MAX_STRING_BYTES: usize = 1 << 17;

/// How a node treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Responds after this duration.
    Respond(Duration),
    /// Reads requests and never responds.
    Silent,
    /// Does not read from its connections.
    NotReading,
    /// Rejects all requests because of overload.
    Shed,
    /// Fails all requests; writes may have been executed.
    Fail,
    /// Responds with undecodable bytes.
    Garbage,
    /// Executes a request and resets the connection.
    Reset,
    /// Sends half of each response.
    Truncate,
    /// Responds twice, also to cancelled requests.
    Duplicate,
    /// Responds immediately and closes connections in excess of this number.
    LimitConnections(usize),
    /// Has no listener; open connections are reset.
    Down,
}

/// Wall clock in Unix milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Stand-ins for the nodes of a test.
pub struct Nodes {
    /// Id and address of each node.
    pub all: Vec<(u32, SocketAddr)>,
    shared: Arc<Shared>,
    history: History,
}

struct Shared {
    /// Purged objects: id, time of the purge, and time from which no node has older copies (Unix milliseconds).
    purged: Mutex<Vec<(u64, u64, u64)>>,
    behaviors: Mutex<Vec<Behavior>>,
    stop: Mutex<bool>,
    poller: Poller,
}

impl Nodes {
    /// Starts nodes with these ids that respond immediately. `writes` names the classes that must not be executed twice.
    pub fn new(history: &History, ids: &[u32], writes: &[&str]) -> Self {
        let poller = Poller::new().expect("create a poller");
        let behaviors = Mutex::new(vec![Behavior::Respond(Duration::ZERO); ids.len()]);
        let purged = Mutex::default();
        let shared = Arc::new(Shared {
            purged,
            behaviors,
            stop: Mutex::new(false),
            poller,
        });
        let mut nodes = Vec::new();
        for id in ids {
            let listener =
                TcpListener::bind(crate::unique_address()).expect("bind a loopback port");
            let address = listener.local_addr().expect("address of a bound listener");
            let behavior = Behavior::Respond(Duration::ZERO);
            nodes.push(Node {
                id: *id,
                address,
                listener: Some(listener),
                behavior,
                copies: HashMap::new(),
            });
        }
        let all = nodes.iter().map(|node| (node.id, node.address)).collect();
        let writes = writes.iter().map(|name| name.to_string()).collect();
        let (own, history) = (Arc::clone(&shared), history.clone());
        let own_history = history.clone();
        thread::spawn(move || {
            let event_loop = EventLoop {
                shared: &own,
                history: &history,
                nodes,
                writes,
                connections: HashMap::new(),
                reply_count: 0,
                due: BinaryHeap::new(),
                previous_poll: Instant::now(),
            };
            event_loop.run();
        });
        Nodes {
            all,
            shared,
            history: own_history,
        }
    }

    /// Purges an object at a time in Unix milliseconds; after `duration` no node has an older copy.
    pub fn purge(&self, item: u64, at_ms: u64, duration: Duration) {
        let removed_ms = at_ms + duration.as_millis() as u64;
        self.shared
            .purged
            .lock()
            .expect("lock poisoned")
            .push((item, at_ms, removed_ms));
    }

    /// Changes the behaviour of a node.
    pub fn set(&self, index: usize, behavior: Behavior) {
        let id = self.all[index].0;
        // A node that does not read cannot receive a cancellation; the checkers must not blame the front for that.
        let seen = if matches!(behavior, Behavior::NotReading) {
            Observation::NodeImpaired(id, 0)
        } else {
            Observation::NodeRestored(id, 0)
        };
        self.history.record(seen);
        self.shared.behaviors.lock().expect("lock poisoned")[index] = behavior;
        self.shared.poller.notify().expect("wake the poller");
    }
}

impl Drop for Nodes {
    fn drop(&mut self) {
        *self.shared.stop.lock().expect("lock poisoned") = true;
        let _ = self.shared.poller.notify();
    }
}

struct Node {
    id: u32,
    address: SocketAddr,
    listener: Option<TcpListener>,
    behavior: Behavior,
    /// Creation time of each copy in Unix milliseconds, by object.
    copies: HashMap<u64, u64>,
}

struct Connection {
    index: usize,
    socket: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Requests without a response.
    open: Vec<u64>,
    /// Time after which unread input arrived; `None` if the previous poll did not report any.
    unread_since: Option<Instant>,
}

/// Scheduled reply: due time, sequence number, connection key, transaction id and content.
type DueReply = Reverse<(Instant, u64, usize, u64, Reply)>;

/// Content of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reply {
    /// Hit with the creation time of the copy.
    Hit(u64),
    Miss,
    Shed,
    Fault,
}

struct EventLoop<'a> {
    shared: &'a Shared,
    history: &'a History,
    nodes: Vec<Node>,
    writes: Vec<String>,
    connections: HashMap<usize, Connection>,
    reply_count: u64,
    due: BinaryHeap<DueReply>,
    /// Start of the poll before the last one. Input that the last poll reported arrived after it, as the earlier poll would
    /// have reported it otherwise.
    previous_poll: Instant,
}

/// Decoded fields of a fetch command.
#[derive(Default)]
struct FetchRequest {
    class: String,
    item: u64,
    source: u32,
    /// Maximum age of a copy in milliseconds; 0 for any age.
    max_age_ms: u64,
    /// Remaining time of the client in milliseconds.
    remaining_ms: u64,
    cached_only: bool,
}

fn parse_hex(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or(0)
}

/// Strings of a command and its length in bytes.
type Command<'a> = (Vec<&'a [u8]>, usize);

/// Decodes the first command; `None` if it is incomplete, an error if it is invalid.
fn command(input: &[u8]) -> Result<Option<Command<'_>>, ()> {
    let number = |at: usize, mark: u8, max: usize| {
        let Some(end) = input[at..].iter().position(|b| *b == b'\n') else {
            return if input.len() > at + 12 {
                Err(())
            } else {
                Ok(None)
            };
        };
        let text = input[at..at + end]
            .strip_prefix(&[mark])
            .and_then(|t| t.strip_suffix(b"\r"))
            .ok_or(())?;
        let n: usize = std::str::from_utf8(text)
            .ok()
            .and_then(|t| t.parse().ok())
            .ok_or(())?;
        if n > max {
            return Err(());
        }
        Ok(Some((n, at + end + 1)))
    };
    let Some((count, mut at)) = number(0, b'*', MAX_STRINGS)? else {
        return Ok(None);
    };
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let Some((n, begin)) = number(at, b'$', MAX_STRING_BYTES)? else {
            return Ok(None);
        };
        let Some(part) = input.get(begin..begin + n + 2) else {
            return Ok(None);
        };
        parts.push(&part[..n]);
        at = begin + n + 2;
    }
    Ok(Some((parts, at)))
}

fn fetch(fields: &[u8]) -> FetchRequest {
    let mut found = FetchRequest::default();
    let text = String::from_utf8_lossy(fields);
    for (name, value) in text.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "cls" => found.class = value.into(),
            "item" => found.item = parse_hex(value),
            "from" => found.source = parse_hex(value.trim_start_matches("s-")) as u32,
            "oldest" => found.max_age_ms = value.parse().unwrap_or(0),
            "limit" => found.remaining_ms = value.parse().unwrap_or(0),
            "mode" => found.cached_only = value.split('+').any(|word| word == "shallow"),
            _ => {}
        }
    }
    found
}

impl EventLoop<'_> {
    fn run(mut self) {
        for index in 0..self.nodes.len() {
            self.watch(index);
        }
        let (mut events, mut next) = (Events::new(), self.nodes.len());
        let mut last_poll = Instant::now();
        loop {
            self.previous_poll = std::mem::replace(&mut last_poll, Instant::now());
            let left = self
                .due
                .peek()
                .map(|due| due.0 .0.saturating_duration_since(Instant::now()));
            events.clear();
            if self.shared.poller.wait(&mut events, left).is_err() {
                return;
            }
            if *self.shared.stop.lock().expect("lock poisoned") {
                return;
            }
            self.apply_behaviors();
            while self
                .due
                .peek()
                .is_some_and(|due| due.0 .0 <= Instant::now())
            {
                let Some(Reverse((_, _, key, txn, reply))) = self.due.pop() else {
                    break;
                };
                self.answer(key, txn, reply);
            }
            for event in events.iter() {
                if event.key < self.nodes.len() {
                    while self.accept(event.key, &mut next) {}
                } else {
                    self.ready(event.key, event.readable);
                }
            }
        }
    }

    fn watch(&self, index: usize) {
        let Some(listener) = &self.nodes[index].listener else {
            return;
        };
        listener
            .set_nonblocking(true)
            .expect("set the listener non-blocking");
        // SAFETY: the listener is removed from the poller before it is dropped, in `apply_behaviors`.
        let added = unsafe {
            self.shared
                .poller
                .add_with_mode(listener, Event::readable(index), PollMode::Level)
        };
        added.expect("add the listener to the poller");
    }

    /// Applies the behaviours that the test has set.
    fn apply_behaviors(&mut self) {
        let behaviors = self.shared.behaviors.lock().expect("lock poisoned").clone();
        for (index, behavior) in behaviors.into_iter().enumerate() {
            if self.nodes[index].behavior == behavior {
                continue;
            }
            let before = std::mem::replace(&mut self.nodes[index].behavior, behavior);
            let mine: Vec<_> = self
                .connections
                .iter()
                .filter(|(_, l)| l.index == index)
                .map(|(k, _)| *k)
                .collect();
            if behavior == Behavior::Down {
                if let Some(listener) = self.nodes[index].listener.take() {
                    let _ = self.shared.poller.delete(&listener);
                }
                // A node that comes back is a new process without copies.
                self.nodes[index].copies.clear();
                mine.into_iter().for_each(|key| self.drop(key, true));
                continue;
            }
            if before == Behavior::Down {
                let at = self.nodes[index].address;
                let until = Instant::now() + crate::WAIT_TIMEOUT;
                let listener = loop {
                    match TcpListener::bind(at) {
                        Ok(listener) => break listener,
                        Err(e) => assert!(Instant::now() < until, "bind {at} again: {e}"),
                    }
                };
                self.nodes[index].listener = Some(listener);
                self.watch(index);
            }
            let reads = behavior != Behavior::NotReading;
            for key in mine {
                self.rewatch(key, reads);
            }
        }
    }

    fn rewatch(&self, key: usize, reads: bool) {
        if let Some(connection) = self.connections.get(&key) {
            let event = Event::new(key, reads, !connection.output.is_empty());
            let _ = self
                .shared
                .poller
                .modify_with_mode(&connection.socket, event, PollMode::Level);
        }
    }

    fn drop(&mut self, key: usize, reset: bool) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        let _ = self.shared.poller.delete(&connection.socket);
        if reset {
            let _ = socket2::SockRef::from(&connection.socket).set_linger(Some(Duration::ZERO));
        }
        for txn in connection.open {
            self.history.record(Observation::ConnectionLost(
                self.nodes[connection.index].id,
                txn,
            ));
        }
    }

    /// Accepts a connection; `false` if there is none.
    fn accept(&mut self, index: usize, next: &mut usize) -> bool {
        let accepted = self.nodes[index]
            .listener
            .as_ref()
            .and_then(|l| l.accept().ok());
        let Some((socket, _)) = accepted else {
            return false;
        };
        self.history
            .record(Observation::Accepted(self.nodes[index].id));
        if let Behavior::LimitConnections(max) = self.nodes[index].behavior {
            if self
                .connections
                .values()
                .filter(|connection| connection.index == index)
                .count()
                >= max
            {
                self.history
                    .record(Observation::ConnectionRejected(self.nodes[index].id));
                return true;
            }
        }
        socket
            .set_nonblocking(true)
            .expect("set the socket non-blocking");
        *next += 1;
        // SAFETY: the socket is removed from the poller before it is dropped, in `drop`.
        let added = unsafe {
            self.shared
                .poller
                .add_with_mode(&socket, Event::readable(*next), PollMode::Level)
        };
        added.expect("add the socket to the poller");
        let connection = Connection {
            index,
            socket,
            input: Vec::new(),
            output: Vec::new(),
            open: Vec::new(),
            unread_since: Some(self.previous_poll),
        };
        self.connections.insert(*next, connection);
        if self.nodes[index].behavior == Behavior::NotReading {
            self.rewatch(*next, false);
        }
        true
    }

    fn ready(&mut self, key: usize, readable: bool) {
        self.flush(key);
        let Some(connection) = self.connections.get_mut(&key).filter(|_| readable) else {
            return;
        };
        if self.nodes[connection.index].behavior == Behavior::NotReading {
            return;
        }
        let mut chunk = [0; 16 * 1024];
        let arrived_after = connection.unread_since.take().unwrap_or(self.previous_poll);
        match connection.socket.read(&mut chunk) {
            Ok(n) if n > 0 => {
                connection.input.extend_from_slice(&chunk[..n]);
                connection.unread_since = (n == chunk.len()).then_some(arrived_after);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return,
            _ => return self.drop(key, false),
        }
        loop {
            let Some(connection) = self.connections.get_mut(&key) else {
                return;
            };
            let input = std::mem::take(&mut connection.input);
            let found = command(&input).map(|found| {
                found.map(|(parts, used)| {
                    (parts.iter().map(|p| p.to_vec()).collect::<Vec<_>>(), used)
                })
            });
            match found {
                Ok(Some((parts, used))) => {
                    connection.input = input[used..].to_vec();
                    self.handle(key, &parts, arrived_after);
                }
                Ok(None) if input.len() <= MAX_INPUT_BYTES => {
                    connection.input = input;
                    return;
                }
                _ => return self.drop(key, true),
            }
        }
    }

    fn handle(&mut self, key: usize, parts: &[Vec<u8>], arrived_after: Instant) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let node = &mut self.nodes[connection.index];
        let text = |n: usize| {
            parts
                .get(n)
                .map(|p| String::from_utf8_lossy(p))
                .unwrap_or_default()
        };
        let txn = parse_hex(&text(1));
        if &*text(0) == "abort" {
            self.history.record(Observation::Aborted(node.id, txn));
            if node.behavior != Behavior::Duplicate {
                connection.open.retain(|open| *open != txn);
            }
            return;
        }
        let request = fetch(parts.get(2).map_or(&[], |p| &p[..]));
        let write = self.writes.contains(&request.class);
        self.history.record(Observation::Attempt {
            node: node.id,
            txn,
            write,
            item: request.item,
            source: request.source,
        });
        self.history.record(Observation::TimeLeft {
            txn,
            left_ms: request.remaining_ms,
            read_delay: arrived_after.elapsed(),
        });
        connection.open.push(txn);
        let runs = !matches!(node.behavior, Behavior::Shed | Behavior::Down);
        if write && runs {
            self.history.record(Observation::Executed(txn));
        }
        let mut due_at = Instant::now();
        let reply = match node.behavior {
            Behavior::Silent | Behavior::NotReading | Behavior::Down => return,
            Behavior::Shed => Some(Reply::Shed),
            Behavior::Fail => Some(Reply::Fault),
            Behavior::Reset => return self.drop(key, true),
            Behavior::Garbage => {
                connection.output.extend(b"+OK\r\n");
                return self.flush(key);
            }
            Behavior::Respond(duration) => {
                due_at += duration;
                None
            }
            Behavior::Truncate | Behavior::Duplicate | Behavior::LimitConnections(_) => None,
        };
        let reply = match reply {
            Some(reply) => reply,
            None if write => Reply::Hit(wall_ms()),
            None => {
                let now = wall_ms();
                let purged = self.shared.purged.lock().expect("lock poisoned").clone();
                let gone = |created_ms: u64| {
                    purged
                        .iter()
                        .any(|p| p.0 == request.item && created_ms < p.1 && now >= p.2)
                };
                let acceptable = |created_ms: &u64| {
                    !gone(*created_ms)
                        && (request.max_age_ms == 0 || now - *created_ms <= request.max_age_ms)
                };
                let held = node.copies.get(&request.item).copied().filter(acceptable);
                match held {
                    Some(created_ms) => Reply::Hit(created_ms),
                    None if request.cached_only => Reply::Miss,
                    None => {
                        node.copies.insert(request.item, now);
                        Reply::Hit(now)
                    }
                }
            }
        };
        self.reply_count += 1;
        self.due
            .push(Reverse((due_at, self.reply_count, key, txn, reply)));
    }

    fn answer(&mut self, key: usize, txn: u64, reply: Reply) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let node = &self.nodes[connection.index];
        let open_index = connection.open.iter().position(|open| *open == txn);
        if let Some(index) = open_index {
            // The front cannot use half a response, so the request stays open.
            if node.behavior != Behavior::Truncate {
                connection.open.swap_remove(index);
            }
        } else if node.behavior != Behavior::Duplicate {
            return;
        }
        let (name, fields, body, created_ms) = match reply {
            Reply::Hit(created_ms) => (
                "HIT",
                format!("ver={created_ms:x},born={created_ms},tell=local"),
                "bytes",
                created_ms,
            ),
            Reply::Miss => ("NONE", "tell=not_there".into(), "", 0),
            Reply::Shed => ("SHED", "-".into(), "", 0),
            Reply::Fault => ("FAULT", "-".into(), "", 0),
        };
        let id = format!("{txn:016x}");
        let parts = [id.as_str(), name, &fields, body].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        let encoded = format!("*4\r\n{}", parts.concat());
        if open_index.is_some() && node.behavior != Behavior::Truncate {
            self.history
                .record(Observation::Responded(node.id, txn, created_ms));
        }
        match node.behavior {
            Behavior::Truncate => connection
                .output
                .extend(&encoded.as_bytes()[..encoded.len() / 2]),
            Behavior::Duplicate => connection.output.extend(encoded.repeat(2).bytes()),
            _ => connection.output.extend(encoded.bytes()),
        }
        self.flush(key);
    }

    fn flush(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        while !connection.output.is_empty() {
            match connection.socket.write(&connection.output) {
                Ok(n) if n > 0 => drop(connection.output.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                _ => return self.drop(key, false),
            }
        }
        let reads = self.nodes[connection.index].behavior != Behavior::NotReading;
        self.rewatch(key, reads);
    }
}
