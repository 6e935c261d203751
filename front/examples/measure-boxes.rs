//! Measures the delay from a purge command to the confirmation of the last cache node, with 10, 100 and 1,000 test cache nodes,
//! the rate of purge commands, and the load on the test origin after a purge of everything, with and without the shield.
//! `make measure-boxes` runs it; the results are in `docs/design/purges.md`.
use cranesill_rig::request_frame;
use cranesill_standins::cache_node::{CacheNode, Origin};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Front {
    child: Child,
    control: PathBuf,
    listen: SocketAddr,
    _folder: tempfile::TempDir,
    _list_service: TcpListener,
}

impl Front {
    fn start(caches: &[CacheNode], origin: &CacheNode, purges: Value) -> Front {
        let folder = tempfile::tempdir().unwrap();
        let list_service = TcpListener::bind("127.0.0.1:0").unwrap();
        let listen = TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let mut config: Value = serde_json::from_str(include_str!("config.json")).unwrap();
        config["listen"] = listen.to_string().into();
        config["feed"] = list_service.local_addr().unwrap().to_string().into();
        config["limits"]["sockets"] = 16_384.into();
        let endpoint = |id: usize, at: String, zone: &str, kind: &str| {
            json!({"instanceId": format!("s-{id:08x}"), "hostPort": at, "zone": zone, "machineType": kind,
                   "cell": 0, "lifecycle": "in_service", "weight": 8, "startedAtMs": 0})
        };
        let mut instances: Vec<Value> = caches
            .iter()
            .enumerate()
            .map(|(i, node)| endpoint(0x100 + i, node.address.to_string(), "edge-1", "small-box"))
            .collect();
        instances.push(endpoint(
            0x31,
            origin.address.to_string(),
            "east-hub",
            "origin",
        ));
        config["known"]["events"][0]["members"]["instances"] = instances.into();
        let control = folder.path().join("control");
        let mut purges = purges;
        purges["file"] = folder.path().join("purges").display().to_string().into();
        purges["skew_ms"] = 0.into();
        let settings = json!({"control": {"path": control}, "purges": purges});
        let write = |name: &str, value: &Value| {
            let path = folder.path().join(name);
            std::fs::write(&path, value.to_string()).unwrap();
            path
        };
        let (config, settings) = (
            write("config.json", &config),
            write("daemon.json", &settings),
        );
        let exe = std::env::current_exe().unwrap();
        let exe = exe
            .parent()
            .and_then(|p| p.parent())
            .unwrap()
            .join("cranesill");
        let mut command = Command::new(exe);
        command
            .arg("serve")
            .arg(&config)
            .arg("--settings")
            .arg(&settings)
            .stderr(Stdio::null());
        let child = command.spawn().unwrap();
        while !control.exists() {
            std::thread::yield_now();
        }
        Front {
            child,
            control,
            listen,
            _folder: folder,
            _list_service: list_service,
        }
    }

    fn command(&self, word: &str, args: Value) -> Value {
        let mut socket = UnixStream::connect(&self.control).unwrap();
        socket
            .write_all(format!("{}\n", json!({"word": word, "args": args})).as_bytes())
            .unwrap();
        let mut response = String::new();
        BufReader::new(socket).read_line(&mut response).unwrap();
        serde_json::from_str(&response).unwrap()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn measure_confirmation_delay(count: usize) {
    let origin = Arc::new(Origin::default());
    let caches: Vec<_> = (0..count)
        .map(|_| CacheNode::start(Arc::clone(&origin), true).unwrap())
        .collect();
    let origin_node = CacheNode::start_origin(Arc::clone(&origin)).unwrap();
    let confirmations =
        json!({"kinds": ["small-box"], "connections_most": count, "per_s": 1_000_000});
    let front = Front::start(&caches, &origin_node, json!({"boxes": confirmations}));
    let purge_and_wait = |n: u64| {
        front.command(
            "purge",
            json!({"tag": format!("t{n}"), "id": n.to_string(), "wait_s": 60}),
        )
    };
    assert!(purge_and_wait(0)["ok"].is_object());
    let rounds = if count > 500 { 30 } else { 100 };
    let mut delays_us: Vec<_> = (1..=rounds)
        .map(|n| {
            let started = Instant::now();
            let response = purge_and_wait(n);
            assert!(response["ok"].is_object(), "{response}");
            started.elapsed().as_micros()
        })
        .collect();
    delays_us.sort_unstable();
    let quantile = |share: f64| delays_us[((delays_us.len() - 1) as f64 * share) as usize];
    println!(
        "{count} cache nodes: purge confirmed by all after p50 {} us, p99 {} us, max {} us",
        quantile(0.5),
        quantile(0.99),
        quantile(1.0)
    );
    if count == 10 {
        let started = Instant::now();
        let threads: Vec<_> = (0..8)
            .map(|t| {
                let control = front.control.clone();
                std::thread::spawn(move || {
                    let mut socket = UnixStream::connect(control).unwrap();
                    let mut responses = BufReader::new(socket.try_clone().unwrap());
                    for n in 0..500 {
                        let args = json!({"object": format!("{n:016x}"), "id": format!("{t}-{n}")});
                        socket
                            .write_all(
                                format!("{}\n", json!({"word": "purge", "args": args})).as_bytes(),
                            )
                            .unwrap();
                        responses.read_line(&mut String::new()).unwrap();
                    }
                })
            })
            .collect();
        threads.into_iter().for_each(|t| t.join().unwrap());
        println!(
            "purges per second, each persisted before its response: {:.0}",
            4_000.0 / started.elapsed().as_secs_f64()
        );
    }
}

/// Sends one request; returns whether it was served, or `None` if the connection failed.
fn request(socket: &mut TcpStream, stream: u32, item: u64) -> Option<bool> {
    static LAST: AtomicU64 = AtomicU64::new(1);
    let (txn, item) = (
        format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed)),
        format!("{item:016x}"),
    );
    let fields = [
        ("verb", "page-bits"),
        ("txn", &txn),
        ("limit", "2400"),
        ("item", &item),
        ("group", "3"),
    ];
    let frame = request_frame(stream, &fields, b"");
    socket.write_all(&frame).ok()?;
    let mut length = [0; 4];
    socket.read_exact(&mut length).ok()?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    socket.read_exact(&mut frame).ok()?;
    Some(frame[5] == 1)
}

fn measure_purge_of_everything(shield: Option<u32>) {
    let origin = Arc::new(Origin::default());
    let caches: Vec<_> = (0..6)
        .map(|_| CacheNode::start(Arc::clone(&origin), true).unwrap())
        .collect();
    let origin_node = CacheNode::start_origin(Arc::clone(&origin)).unwrap();
    let mut purges = json!({});
    if let Some(shield) = shield {
        purges["shield_per_s"] = shield.into();
    }
    let front = Front::start(&caches, &origin_node, purges);
    let send_requests = |duration: Duration| {
        let threads: Vec<_> = (0..16u64)
            .map(|t| {
                let at = front.listen;
                std::thread::spawn(move || {
                    let (mut socket, started) = (TcpStream::connect(at).unwrap(), Instant::now());
                    let (mut served, mut total, mut stream) = (0u64, 0u64, 0);
                    while started.elapsed() < duration {
                        stream += 1;
                        let item = (u64::from(stream) * 16 + t) % 4_000;
                        served += u64::from(request(&mut socket, stream, item) == Some(true));
                        total += 1;
                    }
                    (served, total)
                })
            })
            .collect();
        threads
            .into_iter()
            .map(|t| t.join().unwrap())
            .fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1))
    };
    send_requests(Duration::from_secs(2));
    let before = origin.fetches.load(Ordering::SeqCst);
    let response = front.command("purge", json!({"pattern": "*", "all": true, "id": "all"}));
    assert!(response["ok"].is_object(), "{response}");
    let (served, total) = send_requests(Duration::from_secs(1));
    let fetches = origin.fetches.load(Ordering::SeqCst) - before;
    let (later_served, later_total) = send_requests(Duration::from_secs(2));
    println!(
        "purge of everything, shield {shield:?}: {fetches} fetches in the first second, served {served} of {total}; then {later_served} of {later_total}"
    );
}

fn main() {
    if std::env::args().all(|a| a != "shield") {
        [10, 100, 1_000]
            .into_iter()
            .for_each(measure_confirmation_delay);
    }
    [None, Some(500)]
        .into_iter()
        .for_each(measure_purge_of_everything);
}
