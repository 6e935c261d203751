//! Helpers of tests and measurements of operation: operator commands, nodes that respond, fronts with an inherited listener, and
//! a client load.
#![allow(dead_code)]
use super::*;
use std::collections::BTreeMap;
use std::net::Shutdown;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Time within which an operator command has to be answered under any load.
pub const OPERATOR_TIMEOUT: Duration = Duration::from_secs(1);

pub fn with_operator_address(config: &mut Value) {
    config["ops"] = "127.0.0.1:0".into();
}

pub fn operator_address(log: &Receiver<String>) -> SocketAddr {
    log_field(&wait_for_line(log, "operator listener open"), "at")
        .parse()
        .unwrap()
}

/// Sends bytes to the operator address, optionally shuts down the sending side, and returns the whole answer.
pub fn exchange(at: SocketAddr, bytes: &[u8], ends: bool) -> String {
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

pub fn operator_command(at: SocketAddr, line: &str) -> String {
    let began = Instant::now();
    let answer = exchange(at, format!("{line}\n").as_bytes(), false);
    assert!(
        began.elapsed() < OPERATOR_TIMEOUT,
        "{line} took {:?}",
        began.elapsed()
    );
    answer
}

pub fn counters(at: SocketAddr) -> BTreeMap<String, u64> {
    let answer = operator_command(at, "counters");
    let lines: Vec<_> = answer.lines().collect();
    assert_eq!((lines.first(), lines.last()), (Some(&"+OK"), Some(&".")));
    let counter = |line: &&str| {
        let (name, value) = line.split_once('=').unwrap();
        (
            name.strip_prefix("edge_relay.").unwrap().to_string(),
            value.parse().unwrap(),
        )
    };
    lines[1..lines.len() - 1].iter().map(counter).collect()
}

/// Serves hits for all requests on a listener and counts them.
pub fn serve_hits(listener: &TcpListener) -> Arc<AtomicU32> {
    let (listener, requests) = (listener.try_clone().unwrap(), Arc::new(AtomicU32::new(0)));
    let count = Arc::clone(&requests);
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let count = Arc::clone(&count);
            std::thread::spawn(move || {
                let mut node = NodeConnection(BufReader::new(socket));
                while let Some(strings) = node.receive_raw() {
                    if strings[0] == b"fetch" {
                        count.fetch_add(1, Ordering::SeqCst);
                        node.respond(
                            std::str::from_utf8(&strings[1]).unwrap(),
                            "HIT",
                            "tell=local",
                            "bytes",
                        );
                    }
                }
            });
        }
    });
    requests
}

/// Client listener that fronts inherit, as from a service manager.
pub struct InheritedListener {
    pub listener: TcpListener,
    pub folder: tempfile::TempDir,
    pub config: Value,
}

impl InheritedListener {
    pub fn new(config: &Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        socket2::SockRef::from(&listener)
            .set_cloexec(false)
            .unwrap();
        let mut config = config.clone();
        with_operator_address(&mut config);
        InheritedListener {
            listener,
            folder: tempfile::tempdir().unwrap(),
            config,
        }
    }

    pub fn start(&self) -> (Process, SocketAddr) {
        let process = self.start_with(&self.config);
        let at = operator_address(&process.log);
        (process, at)
    }

    /// Starts a further process, whose configuration may differ.
    pub fn start_with(&self, config: &Value) -> Process {
        self.start_with_settings(config, None)
    }

    /// Like [`InheritedListener::start_with`], with daemon settings.
    pub fn start_with_settings(
        &self,
        config: &Value,
        settings: Option<&std::path::Path>,
    ) -> Process {
        let fd = std::os::fd::AsRawFd::as_raw_fd(&self.listener).to_string();
        let folder = self.folder.path().display().to_string();
        let variables = [
            ("RELAY_ACCEPT_FD", fd.as_str()),
            ("TMPDIR", folder.as_str()),
        ];
        let (mut front, file) = start_with_env(config, settings, &variables);
        let log = read_log(&mut front, file);
        // `Process` kills the front when it is dropped.
        Process { child: front, log }
    }
}

pub struct Process {
    pub child: Child,
    pub log: Receiver<String>,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(std::process::Command::new("kill")
            .args([name, &pid])
            .status()
            .unwrap()
            .success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts clients that send requests until `stop` is set and return their number of responses. A lost response counts as a
/// failure; a client that was asked to reconnect does so after its response.
pub fn start_load(
    at: SocketAddr,
    stop: &Arc<AtomicBool>,
    failures: &Arc<Mutex<Vec<String>>>,
    clients: u32,
) -> Vec<std::thread::JoinHandle<u32>> {
    let client = |number: u32| {
        let (stop, failures) = (Arc::clone(stop), Arc::clone(failures));
        std::thread::spawn(move || {
            let (mut answered, mut client, mut stream) = (0, None::<Client>, number << 20);
            while !stop.load(Ordering::SeqCst) {
                stream += 1;
                let mut connected = client.take().unwrap_or_else(|| {
                    let socket = TcpStream::connect(at).unwrap();
                    socket
                        .set_read_timeout(Some(Duration::from_secs(20)))
                        .unwrap();
                    Client(socket)
                });
                connected.request(stream, "page-bits", "20000", &[], b"");
                let mut redirected = false;
                let answer = loop {
                    match connected.receive() {
                        Some(received) if received.starts_with("type 30") => redirected = true,
                        other => break other,
                    }
                };
                match answer {
                    Some(received) if received.contains("\\x01") => answered += 1,
                    other => failures.lock().unwrap().push(format!(
                        "{stream}: {other:?}, told to reconnect: {redirected}"
                    )),
                }
                client = Some(connected).filter(|_| !redirected);
            }
            answered
        })
    };
    (1..=clients).map(client).collect()
}
