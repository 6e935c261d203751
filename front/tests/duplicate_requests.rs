//! Requests of a class that must not be executed twice, whose identifier comes a second time: after the client has left, has cancelled
//! or was answered, on another connection and at another process of the front. No node receives the identifier twice.
mod common;
use common::operations::{operator_address, operator_command, InheritedListener, Process};
use common::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Class whose requests must not be executed twice.
const CLASS: &str = "book-car";
/// Identifiers in each arrangement.
const IDENTIFIERS: u64 = 7;
/// Time that the origin takes for a request.
const EXECUTION_TIME: Duration = Duration::from_millis(400);
/// Limit for waits; no result depends on its length.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Status of an answer in a frame.
const SERVED: &str = "\\x01";
const FAILED: &str = "\\x03";

/// An origin that counts how often it received each identifier.
#[derive(Clone, Default)]
struct Origin {
    received: Arc<Mutex<BTreeMap<String, u32>>>,
    /// Number of the next requests that are answered with `SHED` at once.
    shed: Arc<AtomicU32>,
}

impl Origin {
    fn serve(&self, listener: &TcpListener) {
        let (origin, listener) = (self.clone(), listener.try_clone().unwrap());
        std::thread::spawn(move || {
            for socket in listener.incoming().map_while(Result::ok) {
                let origin = origin.clone();
                std::thread::spawn(move || origin.serve_connection(socket));
            }
        });
    }

    fn serve_connection(&self, socket: TcpStream) {
        let mut node = NodeConnection(BufReader::new(socket.try_clone().unwrap()));
        let (sender, answers) = channel::<(Instant, String, &str)>();
        std::thread::spawn(move || {
            for (due_at, id, status) in answers {
                std::thread::sleep(due_at.saturating_duration_since(Instant::now()));
                let fields = if status == "HIT" {
                    "ver=4be0c1927d55a6f3,born=1764576000123,tell=local"
                } else {
                    "-"
                };
                let parts = [&*id, status, fields, "done"]
                    .map(|part| format!("${}\r\n{part}\r\n", part.len()));
                // Fails if the front has closed the connection.
                let _ = (&socket).write_all(format!("*4\r\n{}", parts.concat()).as_bytes());
            }
        });
        while let Some(strings) = node.receive_raw() {
            if strings[0] != b"fetch" {
                continue;
            }
            let id = String::from_utf8(strings[1].clone()).unwrap();
            *self.received.lock().unwrap().entry(id.clone()).or_default() += 1;
            let sheds = self
                .shed
                .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1));
            let answer = match sheds {
                Ok(_) => (Instant::now(), id, "SHED"),
                Err(_) => (Instant::now() + EXECUTION_TIME, id, "HIT"),
            };
            let _ = sender.send(answer);
        }
    }

    fn times_received(&self, id: &str) -> u32 {
        let received = self.received.lock().unwrap();
        received.get(id).copied().unwrap_or(0)
    }

    fn wait_for(&self, id: &str) {
        wait_until("received", || self.times_received(id) > 0);
    }

    fn assert_none_twice(&self) {
        let received = self.received.lock().unwrap();
        let twice: Vec<_> = received.iter().filter(|(_, times)| **times > 1).collect();
        let count = received.len();
        assert!(
            twice.is_empty(),
            "{} of {count} twice: {twice:?}",
            twice.len()
        );
    }
}

fn identifier(number: u64) -> String {
    format!("{:016x}", 0xb00c_0000 + number)
}

fn connect(address: SocketAddr) -> Client {
    let socket = TcpStream::connect(address).unwrap();
    socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    socket.set_nodelay(true).unwrap();
    Client(socket)
}

/// Sends a request on stream 1.
fn send(client: &mut Client, id: &str, second: bool) {
    let mut fields = vec![("txn", id), ("item", id)];
    if second {
        fields.push(("second", "1"));
    }
    client.try_request(1, CLASS, &fields).unwrap();
}

/// Receives the answer, which may follow the notification that the front drains.
fn receive_answer(client: &mut Client) -> String {
    loop {
        let received = client.receive().expect("an answer");
        if received.starts_with("type 11") {
            let (_, payload) = received.split_once(": ").unwrap();
            return payload[..4].to_string();
        }
    }
}

/// Sends an identifier on a new connection; returns the status of the answer.
fn request_again(address: SocketAddr, id: &str) -> String {
    let mut client = connect(address);
    send(&mut client, id, true);
    receive_answer(&mut client)
}

#[derive(Clone, Copy, Debug)]
enum First {
    ClientLeft,
    Cancelled,
    Answered,
    InProgress,
}

/// Sends an identifier for the first time.
fn request_first(address: SocketAddr, origin: &Origin, id: &str, first: First) -> Client {
    let mut client = connect(address);
    send(&mut client, id, false);
    origin.wait_for(id);
    match first {
        First::ClientLeft => drop(client.0.shutdown(std::net::Shutdown::Both)),
        First::Cancelled => client.send(12, 1, &[]),
        First::Answered => assert_eq!(receive_answer(&mut client), SERVED),
        First::InProgress => {}
    }
    client
}

fn front_with(origin: &Origin) -> TestFront {
    let setup = TestFront::new(|_| {});
    let nodes = setup.caches.iter().chain([&setup.origin]);
    nodes.for_each(|node| origin.serve(node));
    setup
}

/// Guards against bookings that are executed twice because their identifier comes again on another connection.
#[test]
fn identifier_that_comes_again_on_another_connection_is_not_forwarded() {
    for first in [
        First::ClientLeft,
        First::Cancelled,
        First::Answered,
        First::InProgress,
    ] {
        let origin = Origin::default();
        let setup = front_with(&origin);
        for number in 0..IDENTIFIERS {
            let id = identifier(number);
            let _first = request_first(setup.address, &origin, &id, first);
            // Not rejected, which would mean that it was not executed.
            assert_eq!(request_again(setup.address, &id), FAILED, "{first:?}");
        }
        origin.assert_none_twice();
    }
}

/// A request that was not executed is served when it comes again.
#[test]
fn identifier_of_a_request_that_was_not_executed_is_forwarded_again() {
    let origin = Origin::default();
    let setup = front_with(&origin);
    let id = identifier(1);
    origin.shed.store(u32::MAX, Ordering::SeqCst);
    let mut client = connect(setup.address);
    send(&mut client, &id, false);
    origin.wait_for(&id);
    drop(client);
    std::thread::sleep(Duration::from_millis(100));
    origin.shed.store(0, Ordering::SeqCst);
    assert_eq!(request_again(setup.address, &id), SERVED);
}

struct Upgrade {
    origin: Origin,
    inherited: InheritedListener,
    /// Its nodes are those of the processes.
    _setup: TestFront,
}

impl Upgrade {
    fn new() -> Self {
        let origin = Origin::default();
        let setup = front_with(&origin);
        Upgrade {
            origin,
            inherited: InheritedListener::new(&setup.config),
            _setup: setup,
        }
    }

    fn address(&self) -> SocketAddr {
        self.inherited.listener.local_addr().unwrap()
    }

    fn start(&self) -> Process {
        let process = self.inherited.start_with(&self.inherited.config);
        let operators = operator_address(&process.log);
        wait_until("healthy", || {
            operator_command(operators, "health").starts_with("+OK")
        });
        process
    }
}

#[derive(Clone, Copy, Debug)]
enum End {
    Terminated,
    Killed,
    StoppedAndKilled,
}

/// Guards against the same at the other process of an upgrade, whichever way the earlier one ends.
#[test]
fn identifier_that_comes_again_at_the_next_process_is_not_forwarded() {
    for end in [End::Terminated, End::Killed, End::StoppedAndKilled] {
        let upgrade = Upgrade::new();
        let mut old = upgrade.start();
        for number in 0..IDENTIFIERS {
            // Clients leave at different steps: some before the next process starts.
            let first = if number % 2 == 0 {
                First::ClientLeft
            } else {
                First::Answered
            };
            request_first(
                upgrade.address(),
                &upgrade.origin,
                &identifier(number),
                first,
            );
        }
        let _next = upgrade.start();
        let late = identifier(IDENTIFIERS);
        request_first(upgrade.address(), &upgrade.origin, &late, First::ClientLeft);
        match end {
            End::Terminated => old.signal("-TERM"),
            End::Killed => old.child.kill().unwrap(),
            End::StoppedAndKilled => {
                old.signal("-STOP");
                std::thread::sleep(Duration::from_millis(50));
                old.child.kill().unwrap();
            }
        }
        old.child.wait().unwrap();
        for number in 0..=IDENTIFIERS {
            let status = request_again(upgrade.address(), &identifier(number));
            assert_eq!(status, FAILED, "{end:?}");
        }
        upgrade.origin.assert_none_twice();
    }
}

/// What was not executed at the earlier process may be sent by the next one.
#[test]
fn identifier_of_a_request_that_was_not_executed_is_forwarded_by_the_next_process() {
    let upgrade = Upgrade::new();
    let old = upgrade.start();
    let id = identifier(1);
    upgrade.origin.shed.store(u32::MAX, Ordering::SeqCst);
    let mut client = connect(upgrade.address());
    send(&mut client, &id, false);
    upgrade.origin.wait_for(&id);
    drop(client);
    let _next = upgrade.start();
    drop(old);
    upgrade.origin.shed.store(0, Ordering::SeqCst);
    assert_eq!(request_again(upgrade.address(), &id), SERVED);
}

/// Guards against the same while both processes answer requests: the earlier one those on open connections.
#[test]
fn identifier_that_comes_to_both_processes_is_forwarded_by_one_at_most() {
    let upgrade = Upgrade::new();
    let old = upgrade.start();
    // The earlier process accepts all connections. Each first request has to come soon after its connection.
    let mut open: Vec<_> = (0..IDENTIFIERS)
        .map(|number| {
            let mut client = connect(upgrade.address());
            send(&mut client, &identifier(100 + number), false);
            client
        })
        .collect();
    for client in &mut open {
        assert_eq!(receive_answer(client), SERVED);
    }
    let next = upgrade.start();
    old.signal("-TERM");
    wait_for_line(&next.log, "accepts clients");
    let answers: Vec<_> = open
        .iter_mut()
        .enumerate()
        .map(|(number, client)| {
            let id = identifier(number as u64);
            let mut other = connect(upgrade.address());
            let fields = [("txn", &*id), ("item", &*id)];
            // The earlier process may have closed the connection on a busy machine.
            let sent = client.try_request(2, CLASS, &fields).is_ok();
            send(&mut other, &id, true);
            let second = receive_answer(&mut other);
            (sent, second)
        })
        .collect();
    upgrade.origin.assert_none_twice();
    assert!(answers.iter().any(|(sent, _)| *sent), "{answers:?}");
}
