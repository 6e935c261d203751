//! What stories and measurements of daily use share: operators' calls, members that answer, a front whose clients' socket
//! the platform holds, and a load on it.
#![allow(dead_code)]
use super::*;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Operators are answered within this, whatever the load.
pub const DUE: Duration = Duration::from_secs(1);

pub fn with_ops(config: &mut Value) {
    config["ops"] = "127.0.0.1:0".into();
}

pub fn ops_of(log: &Receiver<String>) -> SocketAddr {
    field(&until(log, "operator listener open"), "at")
        .parse()
        .unwrap()
}

/// Says something on the second address, ends or not, and hears the whole answer.
pub fn say(at: SocketAddr, bytes: &[u8], ends: bool) -> String {
    let mut socket = TcpStream::connect(at).unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(20)))
        .unwrap();
    socket.write_all(bytes).unwrap();
    if ends {
        socket.shutdown(Shutdown::Write).unwrap();
    }
    let mut answer = String::new();
    socket.read_to_string(&mut answer).unwrap();
    answer
}

pub fn call(at: SocketAddr, line: &str) -> String {
    let began = Instant::now();
    let answer = say(at, format!("{line}\n").as_bytes(), false);
    assert!(began.elapsed() < DUE, "{line} took {:?}", began.elapsed());
    answer
}

pub fn figures(at: SocketAddr) -> BTreeMap<String, u64> {
    let answer = call(at, "counters");
    let lines: Vec<_> = answer.lines().collect();
    assert_eq!((lines.first(), lines.last()), (Some(&"+OK"), Some(&".")));
    let figure = |line: &&str| {
        let (name, value) = line.split_once('=').unwrap();
        (
            name.strip_prefix("edge_relay.").unwrap().to_string(),
            value.parse().unwrap(),
        )
    };
    lines[1..lines.len() - 1].iter().map(figure).collect()
}

/// A member that answers all that it is asked, and counts it.
pub fn answering(listener: &TcpListener) -> Arc<AtomicU32> {
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
                        link.say(
                            std::str::from_utf8(&words[1]).unwrap(),
                            "HIT",
                            "tell=local",
                            "bytes",
                        );
                    }
                }
            });
        }
    });
    asked
}

/// A front whose clients' socket the platform holds.
pub struct Held {
    pub listener: TcpListener,
    pub folder: tempfile::TempDir,
    pub config: Value,
}

impl Held {
    pub fn new(config: &Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener)
            .set_cloexec(false)
            .unwrap();
        let mut config = config.clone();
        with_ops(&mut config);
        Held {
            listener,
            folder: tempfile::tempdir().unwrap(),
            config,
        }
    }

    pub fn start(&self) -> (Process, SocketAddr) {
        let process = self.begin(&self.config);
        let at = ops_of(&process.log);
        (process, at)
    }

    /// Starts one more process, with a configuration that may differ.
    pub fn begin(&self, config: &Value) -> Process {
        let fd = std::os::fd::AsRawFd::as_raw_fd(&self.listener).to_string();
        let folder = self.folder.path().display().to_string();
        let variables = [
            ("RELAY_ACCEPT_FD", fd.as_str()),
            ("TMPDIR", folder.as_str()),
        ];
        let (mut front, file) = start_in(config, None, &variables);
        let log = follow(&mut front, file);
        // From here on it is ended whatever happens.
        Process { front, log }
    }
}

pub struct Process {
    pub front: Child,
    pub log: Receiver<String>,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let pid = self.front.id().to_string();
        assert!(std::process::Command::new("kill")
            .args([name, &pid])
            .status()
            .unwrap()
            .success());
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
pub fn load(
    at: SocketAddr,
    over: &Arc<AtomicBool>,
    failures: &Arc<Mutex<Vec<String>>>,
    clients: u32,
) -> Vec<std::thread::JoinHandle<u32>> {
    let client = |number: u32| {
        let (over, failures) = (Arc::clone(over), Arc::clone(failures));
        std::thread::spawn(move || {
            let (mut answered, mut client, mut stream) = (0, None::<Client>, number << 20);
            while !over.load(Ordering::SeqCst) {
                stream += 1;
                let mut connected = client.take().unwrap_or_else(|| {
                    let socket = TcpStream::connect(at).unwrap();
                    socket
                        .set_read_timeout(Some(Duration::from_secs(20)))
                        .unwrap();
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
                    other => failures
                        .lock()
                        .unwrap()
                        .push(format!("{stream}: {other:?}, told off: {told_off}")),
                }
                client = Some(connected).filter(|_| !told_off);
            }
            answered
        })
    };
    (1..=clients).map(client).collect()
}
