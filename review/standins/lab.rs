//! Stand-ins for a case: the platform that starts fronts, the control feed, cache nodes and clients. Standard library alone.
#![allow(dead_code)]
use std::collections::HashMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const CANNOT_RUN: i32 = 2;

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record of the run.
pub fn open_record(path: &Path) {
    let file = File::create(path).expect("record");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Milliseconds since the record was opened.
pub fn ms() -> u64 {
    RECORD.get().map_or(0, |(_, start)| start.elapsed().as_millis() as u64)
}

/// Writes a line to the record.
pub fn note(line: &str) {
    if let Some((file, start)) = RECORD.get() {
        let at = start.elapsed().as_secs_f64();
        let _ = writeln!(file.lock().unwrap(), "{at:9.3} {line}");
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(n: u64) {
    thread::sleep(Duration::from_millis(n));
}

/// Whether the disruption is made: not with TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn free_port() -> u16 {
    let socket = TcpListener::bind("127.0.0.1:0").expect("free port");
    socket.local_addr().unwrap().port()
}

// ---------------------------------------------------------------------------------------------------------------- fronts

/// What a front is told, beside the classes and kinds that all cases share.
#[derive(Clone)]
pub struct Setup {
    pub memory_mb: u64,
    pub sockets: u64,
    pub feed: u16,
    /// Id, port and kind (0 cache, 1 parent, 2 origin) of each member of the start.
    pub members: Vec<(u32, u16, usize)>,
}

/// A front, started as the deploy file says.
pub struct Front {
    pub child: Child,
    pub listen: SocketAddr,
    pub ops: SocketAddr,
    pub folder: PathBuf,
}

const KINDS: [&str; 3] = ["small-box", "parent", "origin"];
const ZONES: [&str; 3] = ["edge-1", "east-hub", "east-hub"];

fn config(setup: &Setup, listen: SocketAddr, ops: SocketAddr) -> String {
    let members: Vec<String> = setup
        .members
        .iter()
        .map(|(id, port, kind)| {
            let weight = [8, 24, 1][*kind];
            format!(
                r#"{{"instanceId":"s-{id:08x}","hostPort":"127.0.0.1:{port}","zone":"{}","machineType":"{}","cell":{kind},"lifecycle":"in_service","weight":{weight},"startedAtMs":0}}"#,
                ZONES[*kind], KINDS[*kind]
            )
        })
        .collect();
    format!(
        r#"{{"name":"n1","listen":"{listen}","ops":"{ops}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},
"peer_listen":"127.0.0.1:{}","peers":[],"peers_all":"127.0.0.1:{}","feed":"127.0.0.1:{}",
"flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{{"n":1,"events":[{{"n":1,"members":{{"generation":1,"reset":true,"instances":[{}]}}}}]}},
"settings":{{"classes":[
{{"name":"car-video","semantics":"pure","streaming":false,"group":"all","gain":2.0,"lateWorth":0.15,"aim":600000,"aimStretch":2.0,"deadline":5000000,"memorySpan":5000000}},
{{"name":"page-bits","semantics":"pure","streaming":false,"group":"all","gain":1.0,"lateWorth":0.2,"aim":300000,"aimStretch":2.0,"deadline":2500000,"memorySpan":5000000}},
{{"name":"book-car","semantics":"side_effect","streaming":false,"group":"all","gain":3.0,"lateWorth":0.0,"aim":600000,"deadline":3000000,"memorySpan":5000000}}],
"discovery":"automatic","familyInfo":{{"attachedTo":[0,0],"classFresh":[0,8000000,0],"classWrite":[false,false,true],"usableAfter":[0,10000000,0],
"clientKbPerS":6800.0,"feedKbPerS":[0.0,82231.0],"joins":true,"notesGiven":"all","parentColdFrom":0.064,"parentFallMultiple":2.0,"parentWarmsIn":22000000,
"passThroughOk":true,"peersFill":"silent","purgeGrace":500000,"purgeTakes":6000000,"rootKind":2,"seatsByZone":[0,1],"upperKind":1}},
"index":0,"kinds":["small-box","parent","origin"],"nInstances":1,
"policyLimits":{{"cancelling":true,"connIdle":15000000,"connectTimeout":400000,"maxRetryAfter":500000,"mayDuplicate":false,"mayProbe":false,"openCap":20000,"retryAfter":true,"sendCap":6,"streamsPerConn":100}},
"report":{{"fields":["load_share","concurrent","x1"],"source":"piggyback"}},
"rules":{{"answerSlack":8000,"cold":15000000,"coldFrom":0.15,"drainGrace":500000,"fallMultiple":4.0,"overloadFor":1500000}},
"zone":1,"zones":["east-hub","edge-1"]}}}}"#,
        setup.memory_mb,
        setup.sockets,
        free_port(),
        free_port(),
        setup.feed,
        members.join(",")
    )
}

impl Front {
    /// Starts a front with the command `run` of the deploy file, from the root of the repository.
    pub fn start(root: &Path, run: &str, setup: &Setup) -> Front {
        let folder = std::env::temp_dir().join(format!("cranesill-review-{}-{}", std::process::id(), free_port()));
        std::fs::create_dir_all(folder.join("tmp")).expect("temporary folder");
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let ops: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        std::fs::write(folder.join("config.json"), config(setup, listen, ops)).expect("configuration");
        let log = File::create(folder.join("front.log")).expect("log");
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(root)
            .env("RELAY_NAME", "n1")
            .env("RELAY_LISTEN", listen.to_string())
            .env("RELAY_OPS", ops.to_string())
            .env("RELAY_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("front");
        note(&format!("platform: front started, process {}, clients at {listen}, operators at {ops}", child.id()));
        Front { child, listen, ops, folder }
    }

    /// Waits until the front says yes to a client that asks whether it is ready.
    pub fn wait_ready(&self, most_ms: u64) -> bool {
        let until = Instant::now() + Duration::from_millis(most_ms);
        while Instant::now() < until {
            if is_ready(self.listen) == Some(true) {
                note("platform: the front says that it is ready");
                return true;
            }
            sleep_ms(50);
        }
        false
    }

    /// A field of /proc/PID/status in KB.
    pub fn status_kb(&self, field: &str) -> Option<u64> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = text.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    pub fn signal(&self, name: &str) {
        note(&format!("platform: {name} to the front"));
        let _ = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
    }

    /// One call at the operators' address: the first line of the answer.
    pub fn call(&self, line: &str) -> String {
        let answer = (|| -> std::io::Result<String> {
            let mut socket = TcpStream::connect(self.ops)?;
            socket.set_read_timeout(Some(Duration::from_secs(2)))?;
            socket.write_all(format!("{line}\n").as_bytes())?;
            let mut text = String::new();
            socket.read_to_string(&mut text)?;
            Ok(text)
        })();
        let answer = answer.unwrap_or_else(|e| format!("no answer: {e}"));
        note(&format!("operator: {line}: {}", answer.lines().next().unwrap_or("")));
        answer
    }

    /// Ends the front and copies its log to the record.
    pub fn end(mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = std::fs::read_to_string(self.folder.join("front.log")).unwrap_or_default();
        // A line that only repeats the one before, apart from its time, is left out.
        let mut before = "";
        for line in log.lines() {
            let text = line.split_once(' ').map_or(line, |(_, text)| text);
            if text != before {
                note(&format!("log of the front: {line}"));
            }
            before = text;
        }
    }
}

impl Drop for Front {
    /// No front outlives its case, even if that ends by a panic.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Asks a front whether it is ready, on a connection of its own.
pub fn is_ready(at: SocketAddr) -> Option<bool> {
    let mut socket = TcpStream::connect_timeout(&at, Duration::from_millis(500)).ok()?;
    socket.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    socket.write_all(&frame(20, 1, &[0])).ok()?;
    loop {
        let (kind, _, payload) = read_frame(&mut socket).ok()??;
        if kind == 21 {
            return Some(payload.first() == Some(&1));
        }
    }
}

// ---------------------------------------------------------------------------------------------------------------- frames

pub fn frame(kind: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut out = ((payload.len() + 5) as u32).to_be_bytes().to_vec();
    out.push(kind);
    out.extend(stream.to_be_bytes());
    out.extend(payload);
    out
}

pub fn fields(list: &[(&str, &str)]) -> Vec<u8> {
    let mut out = vec![list.len() as u8];
    for (name, value) in list {
        out.push(name.len() as u8);
        out.extend(name.bytes());
        out.extend((value.len() as u16).to_be_bytes());
        out.extend(value.bytes());
    }
    out
}

pub fn request(stream: u32, class: &str, txn: u64, limit_ms: u64, item: u64, body: &[u8]) -> Vec<u8> {
    let mut payload = fields(&[
        ("verb", class),
        ("txn", &format!("{txn:016x}")),
        ("limit", &limit_ms.to_string()),
        ("item", &format!("{item:016x}")),
        ("part", "0"),
        ("group", "17"),
    ]);
    payload.extend(body);
    frame(10, stream, &payload)
}

/// Reads a frame; `None` at the end of the connection between two frames.
pub fn read_frame(socket: &mut impl Read) -> std::io::Result<Option<(u8, u32, Vec<u8>)>> {
    let mut head = [0; 9];
    let mut have = 0;
    while have < 9 {
        match socket.read(&mut head[have..])? {
            0 if have == 0 => return Ok(None),
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            n => have += n,
        }
    }
    let length = u32::from_be_bytes(head[..4].try_into().unwrap()) as usize;
    let stream = u32::from_be_bytes(head[5..9].try_into().unwrap());
    let mut payload = vec![0; length.saturating_sub(5)];
    socket.read_exact(&mut payload)?;
    Ok(Some((head[4], stream, payload)))
}

/// The body of an answer: what follows its code and fields.
pub fn answer_body(payload: &[u8]) -> &[u8] {
    let mut at = 2;
    for _ in 0..payload.get(1).copied().unwrap_or(0) {
        at += 1 + payload[at] as usize;
        at += 2 + u16::from_be_bytes([payload[at], payload[at + 1]]) as usize;
    }
    &payload[at..]
}

// ---------------------------------------------------------------------------------------------------------------- feed

/// The control feed: all events with a number above the one that a front names, then an empty frame each second.
#[derive(Clone, Default)]
pub struct Feed {
    pub events: Arc<Mutex<Vec<(u64, u8, Vec<u8>)>>>,
}

impl Feed {
    pub fn start(&self) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("feed");
        let port = listener.local_addr().unwrap().port();
        let events = Arc::clone(&self.events);
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let events = Arc::clone(&events);
                thread::spawn(move || serve_feed(socket, events));
            }
        });
        port
    }
}

fn serve_feed(mut socket: TcpStream, events: Arc<Mutex<Vec<(u64, u8, Vec<u8>)>>>) {
    let mut hello = [0; 8];
    if socket.read_exact(&mut hello).is_err() {
        return;
    }
    let mut last = u64::from_be_bytes(hello);
    let mut empty_at = Instant::now();
    loop {
        let mut out = Vec::new();
        for (number, kind, payload) in events.lock().unwrap().iter() {
            if *number > last {
                out.extend(feed_frame(*number, *kind, payload));
                last = *number;
            }
        }
        if Instant::now() >= empty_at {
            out.extend(feed_frame(last, 0, &[]));
            empty_at = Instant::now() + Duration::from_secs(1);
        }
        if !out.is_empty() && socket.write_all(&out).is_err() {
            return;
        }
        sleep_ms(10);
    }
}

pub fn feed_frame(number: u64, kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut out = ((payload.len() + 9) as u32).to_be_bytes().to_vec();
    out.extend(number.to_be_bytes());
    out.push(kind);
    out.extend(payload);
    out
}

// ---------------------------------------------------------------------------------------------------------------- nodes

/// A command as a node received it.
#[derive(Clone, Debug)]
pub struct Fetch {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// What a node does with a fetch: bytes to answer after a time.
pub type Serve = Arc<dyn Fn(&Fetch) -> (Duration, Vec<u8>) + Send + Sync>;

/// Starts a node (cache, parent or origin) that answers each fetch by `serve`.
pub fn node(serve: Serve) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("node");
    let port = listener.local_addr().unwrap().port();
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve_node(socket, serve, port));
        }
    });
    port
}

fn serve_node(socket: TcpStream, serve: Serve, port: u16) {
    let _ = socket.set_nodelay(true);
    let writer = Arc::new(Mutex::new(socket.try_clone().unwrap()));
    let given_up: Arc<Mutex<std::collections::HashSet<String>>> = Arc::default();
    let mut reader = std::io::BufReader::new(socket);
    while let Ok(Some(words)) = read_command(&mut reader) {
        let text = |n: usize| words.get(n).map_or(String::new(), |w: &Vec<u8>| String::from_utf8_lossy(w).into_owned());
        match text(0).as_str() {
            "fetch" => {
                let pairs = text(2);
                let fetch = Fetch {
                    id: text(1),
                    fields: pairs.split(',').filter_map(|p| p.split_once('=')).map(|(k, v)| (k.into(), v.into())).collect(),
                    body: words.get(3).cloned().unwrap_or_default(),
                };
                let named = |name: &str| fetch.fields.get(name).cloned().unwrap_or_default();
                note(&format!("node {port}: runs {} {} of {}", fetch.id, named("cls"), named("item")));
                let (wait, answer) = serve(&fetch);
                let (writer, given_up) = (Arc::clone(&writer), Arc::clone(&given_up));
                let send = move || {
                    if !given_up.lock().unwrap().contains(&fetch.id) {
                        let _ = writer.lock().unwrap().write_all(&answer);
                    }
                };
                if wait.is_zero() {
                    send();
                } else {
                    thread::spawn(move || {
                        thread::sleep(wait);
                        send();
                    });
                }
            }
            "abort" => drop(given_up.lock().unwrap().insert(text(1))),
            "alive" | "stats" => {
                let answer = bulk(&[text(1).as_bytes(), b"PONG", b"-", b""]);
                let _ = writer.lock().unwrap().write_all(&answer);
            }
            _ => return,
        }
    }
}

fn read_line(reader: &mut impl std::io::BufRead) -> std::io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end().to_string())
}

fn read_command(reader: &mut impl std::io::BufRead) -> std::io::Result<Option<Vec<Vec<u8>>>> {
    let head = read_line(reader)?;
    let Some(count) = head.strip_prefix('*').and_then(|n| n.parse::<usize>().ok()) else {
        return Ok(None);
    };
    let mut words = Vec::new();
    for _ in 0..count {
        let head = read_line(reader)?;
        let Some(length) = head.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) else {
            return Ok(None);
        };
        let mut word = vec![0; length + 2];
        reader.read_exact(&mut word)?;
        word.truncate(length);
        words.push(word);
    }
    Ok(Some(words))
}

/// A RESP array of bulk strings.
pub fn bulk(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend(format!("${}\r\n", word.len()).bytes());
        out.extend(*word);
        out.extend(b"\r\n");
    }
    out
}

/// A good answer with these bytes, from a copy given out `age_ms` ago.
pub fn hit(id: &str, age_ms: u64, body: &[u8]) -> Vec<u8> {
    let fields = format!("ver={:016x},born={},tell=local,meter=load_share:0.1;concurrent:1;x1:0.1", 0x4be0c1927d55a6f3u64, unix_ms() - age_ms);
    bulk(&[id.as_bytes(), b"HIT", fields.as_bytes(), body])
}

/// The bytes of an object: its id, repeated to the length.
pub fn object_bytes(item: u64, length: usize) -> Vec<u8> {
    format!("{item:016x}").bytes().cycle().take(length).collect()
}

/// Ends a connection for writing.
pub fn shut(socket: &TcpStream) {
    let _ = socket.shutdown(Shutdown::Write);
}

/// The arguments of a case: the root of the repository, the command `run`, the folder of the case.
pub fn arguments() -> (PathBuf, String, PathBuf) {
    let mut args = std::env::args().skip(1);
    let root = args.next().expect("root");
    let run = args.next().expect("run");
    let case = args.next().expect("case");
    (root.into(), run, case.into())
}
