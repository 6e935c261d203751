//! Stories of daily use: operators' calls on the second address, members out by hand, drains, and a process that is
//! replaced under load.
mod common;
use common::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Child;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Operators are answered within this, whatever the load.
const DUE: Duration = Duration::from_secs(1);

fn with_ops(config: &mut Value) {
    config["ops"] = "127.0.0.1:0".into();
}

fn ops_of(log: &Receiver<String>) -> SocketAddr {
    field(&until(log, "operators call here"), "at").parse().unwrap()
}

/// Says something on the second address, ends or not, and hears the whole answer.
fn say(at: SocketAddr, bytes: &[u8], ends: bool) -> String {
    let mut socket = TcpStream::connect(at).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    socket.write_all(bytes).unwrap();
    if ends {
        socket.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    answer
}

fn call(at: SocketAddr, line: &str) -> String {
    let began = Instant::now();
    let answer = say(at, format!("{line}\n").as_bytes(), false);
    assert!(began.elapsed() < DUE, "{line} took {:?}", began.elapsed());
    answer
}

fn figures(at: SocketAddr) -> BTreeMap<String, u64> {
    let answer = call(at, "counters");
    let lines: Vec<_> = answer.lines().collect();
    assert_eq!((lines.first(), lines.last()), (Some(&"+OK"), Some(&".")));
    let figure = |line: &&str| {
        let (name, value) = line.split_once('=').unwrap();
        (name.strip_prefix("edge_relay.").unwrap().to_string(), value.parse().unwrap())
    };
    lines[1..lines.len() - 1].iter().map(figure).collect()
}

/// A member that answers all that it is asked, and counts it.
fn answering(listener: &TcpListener) -> Arc<AtomicU32> {
    let (listener, asked) = (listener.try_clone().unwrap(), Arc::new(AtomicU32::new(0)));
    let count = Arc::clone(&asked);
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                let mut link = Link(BufReader::new(socket));
                while let Some(words) = link.hear_raw() {
                    if words[0] == b"fetch" {
                        count.fetch_add(1, Ordering::SeqCst);
                        link.say(std::str::from_utf8(&words[1]).unwrap(), "HIT", "tell=local", "bytes");
                    }
                }
            });
        }
    });
    asked
}

#[test]
fn each_call_has_its_answer_and_what_is_no_call_harms_nobody() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let calls: [&[u8]; 13] = [
        b"health\n",
        b"health\r\n",
        b"cordon s-000000ff\n",
        b"cordon s-00000011\n",
        b"cordon s-00000011\n",
        b"uncordon s-00000011\n",
        b"uncordon s-00000011\n",
        b"resume\n",
        b"quiesce\nresume\n",
        b"\xff\xfe\n",
        b"cordon\n",
        b"halt\n",
        &[b'x'; 5_000],
    ];
    let told: Vec<_> = calls.iter().map(|bytes| say(at, bytes, false)).collect();
    let half = say(at, b"heal", true);
    assert_eq!(say(at, b"", true), "", "nothing said, nothing answered");
    insta::assert_debug_snapshot!((told, half));
    // Without an address nothing listens.
    let stage = Stage::new(|_| {});
    assert!(!stage.log.try_iter().any(|line| line.contains("operators call here")));
}

#[test]
fn hundreds_that_say_nothing_do_not_keep_out_one_that_asks() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let silent: Vec<_> = (0..300u32)
        .map(|i| {
            let mut socket = TcpStream::connect(at).unwrap();
            // Some have begun.
            socket.write_all(if i % 3 == 0 { b"coun" } else { b"" }).unwrap();
            socket
        })
        .collect();
    assert_eq!(call(at, "health"), "+OK serving\n");
    assert_eq!(figures(at)["known_cache_nodes"], 3);
    drop(silent);
}

#[test]
fn the_figures_are_what_clients_and_members_saw() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let asked = stage.caches.iter().map(answering).chain([answering(&stage.origin)]).collect::<Vec<_>>();
    let (mut client, mut seen) = (stage.client(), BTreeMap::<&str, u64>::new());
    for stream in 1..=30 {
        match stream % 5 {
            // A class that there is not is in no count; one whose id is taken is answered by the front itself.
            0 => client.ask(stream, "no-such", "2000", &[], b""),
            1 => client.ask(stream, "book-car", "2000", &[], b"keys"),
            _ => client.ask(stream, "page-bits", "2000", &[], b""),
        }
        let told = client.hear().unwrap();
        let code = told.split(": ").nth(1).unwrap();
        let name = match (stream % 5, &code[..4]) {
            (0, _) => continue,
            (1, "\\x01") => "handled.book-car.passed",
            (_, "\\x01") => "handled.page-bits.passed",
            _ => panic!("{told}"),
        };
        *seen.entry(name).or_default() += 1;
    }
    // A request that its client takes back is in no count, and no longer in progress.
    client.ask(31, "page-bits", "2000", &[], b"");
    client.send(12, 31, b"");
    client.send(20, 32, &[0]);
    while !client.hear().unwrap().contains("stream 32") {}
    let told = figures(at);
    let tries: u32 = asked.iter().map(|n| n.load(Ordering::SeqCst)).sum();
    for (name, n) in seen {
        let slack = u64::from(name == "handled.page-bits.passed");
        assert!(told[name] >= n && told[name] <= n + slack, "{name}: {} and not {n}", told[name]);
    }
    assert!(told["upstream_tries"].abs_diff(tries.into()) <= 1, "{} and {tries}", told["upstream_tries"]);
    assert_eq!((told["in_progress"], told["skipped_cache_nodes"]), (0, 0));
    call(at, "cordon s-00000011");
    assert_eq!(figures(at)["skipped_cache_nodes"], 1);
}

#[test]
fn a_drained_front_says_no_lets_go_of_its_clients_and_takes_others_later() {
    let stage = Stage::new(with_ops);
    let at = ops_of(&stage.log);
    let (mut idle, mut busy) = (stage.client(), stage.client());
    let mut told = Vec::new();
    idle.send(20, 1, &[0]);
    told.extend(idle.hear());
    busy.ask(1, "book-car", "20000", &[], b"keys");
    let mut origin = link(&stage.origin);
    let fetch = origin.hear().unwrap();
    told.push(call(at, "quiesce"));
    told.push(call(at, "quiesce"));
    told.push(call(at, "health"));
    // Both are told to open nothing new; the idle one is closed, the other has its answer first.
    told.extend(idle.hear());
    assert_eq!(idle.hear(), None);
    told.extend(busy.hear());
    busy.send(20, 2, &[0]);
    told.extend(busy.hear());
    origin.say(&fetch[1], "HIT", "-", "booked");
    told.extend(busy.hear());
    assert_eq!(busy.hear(), None);
    told.push(call(at, "resume"));
    told.push(call(at, "health"));
    let mut next = stage.client();
    next.send(20, 1, &[0]);
    told.extend(next.hear());
    insta::assert_debug_snapshot!(told);
}

/// A front whose clients' socket the platform holds.
struct Held {
    listener: TcpListener,
    folder: tempfile::TempDir,
    config: Value,
}

impl Held {
    fn new(config: &Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener).set_cloexec(false).unwrap();
        let mut config = config.clone();
        with_ops(&mut config);
        Held { listener, folder: tempfile::tempdir().unwrap(), config }
    }

    fn start(&self) -> (Process, SocketAddr) {
        let fd = std::os::fd::AsRawFd::as_raw_fd(&self.listener).to_string();
        let folder = self.folder.path().display().to_string();
        let variables = [("RELAY_ACCEPT_FD", fd.as_str()), ("TMPDIR", folder.as_str())];
        let (mut front, file) = start_in(&self.config, None, &variables);
        let log = follow(&mut front, file);
        // From here on it is ended whatever happens.
        let process = Process { front, log };
        let at = ops_of(&process.log);
        (process, at)
    }
}

struct Process {
    front: Child,
    log: Receiver<String>,
}

impl Process {
    fn signal(&self, name: &str) {
        let pid = self.front.id().to_string();
        assert!(std::process::Command::new("kill").args([name, &pid]).status().unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.front.kill();
        let _ = self.front.wait();
    }
}

/// Clients that ask one thing after another until they are told to stop; how many were answered. Each that meets a closed
/// door is a failure, unless its front had told it to go elsewhere.
fn load(
    at: SocketAddr,
    over: &Arc<AtomicBool>,
    failures: &Arc<Mutex<Vec<String>>>,
) -> Vec<std::thread::JoinHandle<u32>> {
    let client = |number: u32| {
        let (over, failures) = (Arc::clone(over), Arc::clone(failures));
        std::thread::spawn(move || {
            let (mut answered, mut client, mut stream) = (0, None::<Client>, number << 20);
            while !over.load(Ordering::SeqCst) {
                stream += 1;
                let mut connected = client.take().unwrap_or_else(|| {
                    let socket = TcpStream::connect(at).unwrap();
                    socket.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
                    Client(socket)
                });
                connected.ask(stream, "page-bits", "20000", &[], b"");
                let mut told_off = false;
                let answer = loop {
                    match connected.hear() {
                        Some(told) if told.starts_with("type 30") => told_off = true,
                        other => break other,
                    }
                };
                match answer {
                    Some(told) if told.contains("\\x01") => answered += 1,
                    other => {
                        failures.lock().unwrap().push(format!("{stream}: {other:?}, told off: {told_off}"))
                    }
                }
                client = Some(connected).filter(|_| !told_off);
                // As a client that has something else to do between two requests.
                std::thread::sleep(Duration::from_millis(2));
            }
            answered
        })
    };
    (1..=4).map(client).collect()
}

#[test]
fn processes_are_replaced_under_load_and_no_request_meets_a_closed_door() {
    let stage = Stage::new(|_| {});
    let asked: Vec<_> = stage.caches.iter().map(answering).collect();
    answering(&stage.origin);
    let held = Held::new(&stage.config);
    let (mut old, mut ops) = held.start();
    until(&old.log, "accepts clients");
    let (over, failures) = (Arc::new(AtomicBool::new(false)), Arc::default());
    let clients = load(held.listener.local_addr().unwrap(), &over, &failures);
    // A member that is out by hand stays out, by whichever process, and so does one taken out in between.
    assert_eq!(call(ops, "cordon s-00000011"), "+OK out\n");
    let out = asked[0].load(Ordering::SeqCst);
    for round in 0..3 {
        let (new, new_ops) = held.start();
        until(&new.log, "waits for another process");
        assert_eq!(call(new_ops, "health"), "+OK serving\n", "it says yes beside the old one");
        assert_eq!(figures(new_ops)["skipped_cache_nodes"], 1);
        if round == 2 {
            assert_eq!(asked[0].load(Ordering::SeqCst), out, "nothing went to the member that was out");
            // Said to the old process, and to none other.
            call(ops, "uncordon s-00000011");
            call(ops, "cordon s-00000012");
        }
        old.signal("-TERM");
        until(&new.log, "accepts clients");
        assert!(old.front.wait().unwrap().success());
        (old, ops) = (new, new_ops);
    }
    let before = asked.iter().map(|n| n.load(Ordering::SeqCst)).collect::<Vec<_>>();
    // Killed outright, the next one needs nobody's word.
    let (new, _) = held.start();
    until(&new.log, "waits for another process");
    over.store(true, Ordering::SeqCst);
    let answered: u32 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert_eq!(*failures.lock().unwrap(), Vec::<String>::new());
    assert!(answered > 100, "the load must be one: {answered}");
    old.signal("-KILL");
    until(&new.log, "accepts clients");
    let mut client = Client(TcpStream::connect(held.listener.local_addr().unwrap()).unwrap());
    client.ask(1, "page-bits", "20000", &[], b"");
    assert!(client.hear().unwrap().contains("bytes"));
    assert_eq!(asked[1].load(Ordering::SeqCst), before[1], "the other one is out now");
    assert!(asked[0].load(Ordering::SeqCst) > out, "and the first is back");
}

#[test]
fn what_is_no_listening_socket_ends_the_start_with_one_line() {
    let stage = Stage::new(|_| {});
    let refused = |fd: &str| {
        let (mut front, _file) = start_in(&stage.config, None, &[("RELAY_ACCEPT_FD", fd)]);
        let mut errors = String::new();
        front.stderr.take().unwrap().read_to_string(&mut errors).unwrap();
        assert!(!front.wait().unwrap().success());
        let errors: Vec<_> = errors.lines().map(str::to_string).collect();
        assert_eq!(errors.len(), 1, "{errors:?}");
        assert!(errors[0].starts_with("cranesill: RELAY_ACCEPT_FD: "), "{errors:?}");
    };
    let (socket, _other) = std::os::unix::net::UnixStream::pair().unwrap();
    let plain = TcpStream::connect(stage.address).unwrap();
    let file = tempfile::tempfile().unwrap();
    socket2::SockRef::from(&socket).set_cloexec(false).unwrap();
    socket2::SockRef::from(&plain).set_cloexec(false).unwrap();
    let number = |fd: &dyn std::os::fd::AsRawFd| fd.as_raw_fd().to_string();
    for fd in
        ["1".into(), "900".into(), "-3".into(), "x".into(), number(&socket), number(&plain), number(&file)]
    {
        refused(&fd);
    }
}
