//! Measures the TLS listener of a release build on loopback: handshakes, requests over TLS beside plain ones, memory
//! of idle connections, changes of key under load, floods. `make measure-tls` runs it; the figures stand in
//! `docs/design/certs.md`.
use cranesill_standins::acme::Issuer;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SPAN: Duration = Duration::from_secs(4);
const NAME: &str = "front1.example";

fn port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}

/// A cache that answers everything.
fn cache() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(socket));
        }
    });
    at
}

fn serve(socket: TcpStream) -> Option<()> {
    socket.set_nodelay(true).ok()?;
    let mut input = BufReader::new(socket);
    let body = "x".repeat(2_000);
    loop {
        let number = |input: &mut BufReader<TcpStream>| -> Option<usize> {
            let mut line = String::new();
            input.read_line(&mut line).ok().filter(|n| *n > 0)?;
            line[1..].trim_end().parse().ok()
        };
        let mut words = Vec::new();
        for _ in 0..number(&mut input)? {
            let mut word = vec![0; number(&mut input)? + 2];
            input.read_exact(&mut word).ok()?;
            word.truncate(word.len() - 2);
            words.push(String::from_utf8(word).ok()?);
        }
        if words[0] == "fetch" {
            let fields = "ver=4be0c1927d55a6f3,born=1764576000123,tell=local";
            let parts =
                [&words[1], "HIT", fields, &body].map(|p| format!("${}\r\n{p}\r\n", p.len()));
            input
                .get_mut()
                .write_all(format!("*4\r\n{}", parts.concat()).as_bytes())
                .ok()?;
        }
    }
}

struct Front {
    child: Child,
    plain: SocketAddr,
    tls: SocketAddr,
    control: PathBuf,
    issuer: Mutex<Issuer>,
    _folder: tempfile::TempDir,
    _feed: TcpListener,
}

impl Front {
    fn start(tls: Value) -> Front {
        let folder = tempfile::tempdir().unwrap();
        let feed = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config: Value = serde_json::from_str(include_str!("config.json")).unwrap();
        config["listen"] = format!("127.0.0.1:{}", port()).into();
        config["feed"] = feed.local_addr().unwrap().to_string().into();
        let members = config["known"]["events"][0]["members"]["instances"]
            .as_array_mut()
            .unwrap();
        members
            .iter_mut()
            .for_each(|m| m["hostPort"] = cache().to_string().into());
        let control = folder.path().join("control");
        let secure: SocketAddr = ([127, 0, 0, 1], port()).into();
        let mut settings = json!({"control": {"path": control}, "tls": tls,
                                  "certs": {"certificates": [{"names": [NAME]}]}});
        settings["tls"]["listen"] = secure.to_string().into();
        let write = |name: &str, value: &Value| {
            let path = folder.path().join(name);
            std::fs::write(&path, value.to_string()).unwrap();
            path
        };
        let (config_file, settings_file) = (
            write("config.json", &config),
            write("daemon.json", &settings),
        );
        let exe = std::env::current_exe().unwrap();
        let exe = exe
            .parent()
            .and_then(|p| p.parent())
            .unwrap()
            .join("cranesill");
        let mut child = Command::new(exe)
            .arg("serve")
            .arg(&config_file)
            .arg("--settings")
            .arg(&settings_file)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
        while !log.next().unwrap().unwrap().contains("TLS listening") {}
        std::thread::spawn(move || log.for_each(drop));
        let plain = config["listen"].as_str().unwrap().parse().unwrap();
        let front = Front {
            child,
            plain,
            tls: secure,
            control,
            issuer: Mutex::new(Issuer::new()),
            _folder: folder,
            _feed: feed,
        };
        while !front.control.exists() {
            std::thread::yield_now();
        }
        front.import();
        front
    }

    fn ask(&self, word: Value) -> Value {
        let mut socket = UnixStream::connect(&self.control).unwrap();
        socket.write_all(format!("{word}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        BufReader::new(socket).read_line(&mut answer).unwrap();
        serde_json::from_str(&answer).unwrap()
    }

    /// Gives the front a new key and certificate.
    fn import(&self) {
        let key = cranesill_certs::KeyRequest::Order(vec![NAME.into()], None);
        let Ok(cranesill_certs::exchange::GeneratedKey::Order(key, csr)) =
            cranesill_certs::exchange::generate_key(&key)
        else {
            panic!()
        };
        let (chain, _) = self
            .issuer
            .lock()
            .unwrap()
            .chain(&csr, 0, 3_000_000_000, false)
            .unwrap();
        let answer =
            self.ask(json!({"word": "certs-import", "args": {"key": key, "chain": chain}}));
        assert!(answer["ok"].is_string(), "{answer}");
    }

    fn config(&self, resume: bool) -> Arc<ClientConfig> {
        let mut roots = RootCertStore::empty();
        let root = self.issuer.lock().unwrap().root().to_string();
        roots
            .add(CertificateDer::from_pem_slice(root.as_bytes()).unwrap())
            .unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap();
        let mut config = builder.with_root_certificates(roots).with_no_client_auth();
        config.alpn_protocols = vec![b"cranesill/1".to_vec()];
        if !resume {
            config.resumption = rustls::client::Resumption::disabled();
        }
        Arc::new(config)
    }

    /// CPU that the front has used, in microseconds; resident memory in bytes.
    fn used(&self) -> (u64, u64) {
        let read = |name: &str| {
            std::fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).unwrap()
        };
        let stat = read("stat");
        let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
        let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
        let pages: u64 = read("statm").split(' ').nth(1).unwrap().parse().unwrap();
        (ticks * 10_000, pages * 4_096)
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

trait Wire: Read + Write + Send {}
impl<T: Read + Write + Send> Wire for T {}

fn secure(at: SocketAddr, config: &Arc<ClientConfig>) -> std::io::Result<Box<dyn Wire>> {
    let mut socket = TcpStream::connect(at)?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(Duration::from_secs(10)))?;
    let name = ServerName::try_from(NAME).unwrap();
    let mut connection = ClientConnection::new(Arc::clone(config), name).unwrap();
    while connection.is_handshaking() {
        connection.complete_io(&mut socket)?;
    }
    Ok(Box::new(StreamOwned::new(connection, socket)))
}

fn plain(at: SocketAddr) -> std::io::Result<Box<dyn Wire>> {
    let socket = TcpStream::connect(at)?;
    socket.set_nodelay(true)?;
    Ok(Box::new(socket))
}

/// One request and its answer. The numbers of requests are never repeated in a run.
fn request(wire: &mut dyn Wire, stream: u32) -> std::io::Result<bool> {
    static LAST: AtomicU32 = AtomicU32::new(1);
    let txn = format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed));
    let fields = [
        ("verb", "page-bits"),
        ("txn", &txn),
        ("limit", "2400"),
        ("item", "7f3a9c21e0b4d655"),
    ];
    let mut payload = vec![fields.len() as u8];
    for (name, value) in fields {
        payload.push(name.len() as u8);
        payload.extend(name.bytes());
        payload.extend((value.len() as u16).to_be_bytes());
        payload.extend(value.bytes());
    }
    let head = [
        &(5 + payload.len() as u32).to_be_bytes()[..],
        &[10],
        &stream.to_be_bytes(),
    ]
    .concat();
    wire.write_all(&[head, payload].concat())?;
    let mut length = [0; 4];
    wire.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    wire.read_exact(&mut frame)?;
    Ok(frame[5] == 1)
}

/// What some closed-loop clients saw: spans of all requests in microseconds, in order, and how many failed.
#[derive(Default)]
struct Seen {
    spans: Vec<u64>,
    failed: u64,
}

impl Seen {
    fn at(&self, share: f64) -> u64 {
        self.spans
            .get((self.spans.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0)
    }
}

/// `n` clients, each with one request at a time and a pause between, until told to stop.
fn clients(
    n: usize,
    pause: Duration,
    stop: &Arc<AtomicBool>,
    connect: impl Fn() -> std::io::Result<Box<dyn Wire>>,
) -> Vec<std::thread::JoinHandle<Seen>> {
    let wires: Vec<_> = (0..n).map(|_| connect().unwrap()).collect();
    wires
        .into_iter()
        .map(|mut wire| {
            let stop = Arc::clone(stop);
            std::thread::spawn(move || {
                let mut seen = Seen::default();
                for stream in 1.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let begun = Instant::now();
                    let good = request(&mut *wire, stream);
                    seen.spans.push(begun.elapsed().as_micros() as u64);
                    seen.failed += u64::from(!matches!(good, Ok(true)));
                    if good.is_err() {
                        break;
                    }
                    std::thread::sleep(pause);
                }
                seen
            })
        })
        .collect()
}

fn gather(threads: Vec<std::thread::JoinHandle<Seen>>) -> Seen {
    let mut all = Seen::default();
    for seen in threads.into_iter().map(|t| t.join().unwrap()) {
        all.spans.extend(seen.spans);
        all.failed += seen.failed;
    }
    all.spans.sort_unstable();
    all
}

fn requests(front: &Front) {
    let config = front.config(true);
    // Alternating, so that what else the machine does falls on both.
    for round in 0..3 {
        for over in ["plain", "TLS"] {
            let stop = Arc::default();
            let before = front.used().0;
            let threads = match over {
                "plain" => clients(16, Duration::ZERO, &stop, || plain(front.plain)),
                _ => clients(16, Duration::ZERO, &stop, || secure(front.tls, &config)),
            };
            std::thread::sleep(SPAN);
            stop.store(true, Ordering::Relaxed);
            let seen = gather(threads);
            let cpu = (front.used().0 - before) as f64 / seen.spans.len() as f64;
            println!(
                "round {round} {over:5}: {:.0} requests/s, CPU {cpu:.1} us each, p50 {} us, p99 {} us, failed {}",
                seen.spans.len() as f64 / SPAN.as_secs_f64(),
                seen.at(0.5),
                seen.at(0.99),
                seen.failed
            );
        }
    }
}

fn handshakes(front: &Front) {
    for (kind, resume) in [("full", false), ("resumed", true)] {
        let stop = Arc::new(AtomicBool::new(false));
        let before = front.used().0;
        let threads: Vec<_> = (0..4)
            .map(|_| {
                let (stop, config, at) = (Arc::clone(&stop), front.config(resume), front.tls);
                std::thread::spawn(move || {
                    let mut done = 0u64;
                    while !stop.load(Ordering::Relaxed) {
                        // One request, so that a ticket is read.
                        let good = secure(at, &config).and_then(|mut wire| request(&mut *wire, 1));
                        done += u64::from(good.is_ok());
                    }
                    done
                })
            })
            .collect();
        std::thread::sleep(SPAN);
        stop.store(true, Ordering::Relaxed);
        let done: u64 = threads.into_iter().map(|t| t.join().unwrap()).sum();
        let cpu = (front.used().0 - before) as f64 / done as f64;
        let counts = front.ask(json!({"word": "tls"}));
        println!(
            "{kind} handshakes with one request: {:.0}/s, CPU {cpu:.0} us each, one core would do {:.0}/s ({} resumed so far)",
            done as f64 / SPAN.as_secs_f64(),
            1e6 / cpu,
            counts["ok"]["resumed"]
        );
    }
}

fn memory(front: &Front) {
    let config = front.config(false);
    for (over, tls) in [("plain", false), ("TLS", true)] {
        let before = front.used().1;
        let wires: Vec<_> = (0..400)
            .map(|_| {
                let mut wire = if tls {
                    secure(front.tls, &config)
                } else {
                    plain(front.plain)
                }
                .unwrap();
                assert!(request(&mut *wire, 1).unwrap());
                wire
            })
            .collect();
        println!(
            "{over}: {} bytes for each of 400 idle connections",
            (front.used().1 - before.min(front.used().1)) / 400
        );
        drop(wires);
        std::thread::sleep(Duration::from_millis(600));
    }
}

fn key_changes(front: &Front) {
    let (stop, config) = (Arc::default(), front.config(true));
    let threads = clients(100, Duration::from_millis(20), &stop, || {
        secure(front.tls, &config)
    });
    std::thread::sleep(Duration::from_secs(2));
    for _ in 0..100 {
        front.import();
        std::thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    let changed = gather(threads);
    let stop = Arc::default();
    let threads = clients(100, Duration::from_millis(20), &stop, || {
        secure(front.tls, &config)
    });
    std::thread::sleep(Duration::from_secs(7));
    stop.store(true, Ordering::Relaxed);
    let calm = gather(threads);
    for (what, seen) in [("100 key changes", changed), ("none", calm)] {
        println!(
            "{what}: {} requests on 100 connections, failed {}, p50 {} us, p99 {} us, longest {} us",
            seen.spans.len(),
            seen.failed,
            seen.at(0.5),
            seen.at(0.99),
            seen.spans.last().copied().unwrap_or(0)
        );
    }
}

fn flood(front: &Front) {
    let config = front.config(false);
    for kind in ["none", "garbage", "half", "full", "none"] {
        let (stop, over) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let usual = clients(16, Duration::from_millis(2), &stop, || {
            secure(front.tls, &config)
        });
        let attackers: Vec<_> = (0..4)
            .map(|_| {
                let (over, config, at) = (Arc::clone(&over), Arc::clone(&config), front.tls);
                std::thread::spawn(move || {
                    let (mut tried, mut held) = (0u64, Vec::new());
                    while !over.load(Ordering::Relaxed) && kind != "none" {
                        tried += 1;
                        if kind == "full" {
                            drop(secure(at, &config));
                            continue;
                        }
                        let Ok(mut socket) = TcpStream::connect(at) else {
                            continue;
                        };
                        let bytes: &[u8] = if kind == "half" {
                            &[22, 3, 1, 2, 0, 1, 0, 1]
                        } else {
                            &[0x55; 300]
                        };
                        let _ = socket.write_all(bytes);
                        if kind == "half" {
                            held.push(socket);
                            if held.len() > 500 {
                                held.clear();
                            }
                        }
                    }
                    tried
                })
            })
            .collect();
        let before = front.used().0;
        std::thread::sleep(Duration::from_millis(500));
        // A new client in the midst of it.
        let begun = Instant::now();
        let fresh = secure(front.tls, &config).is_ok();
        let new = begun.elapsed().as_millis();
        std::thread::sleep(SPAN);
        stop.store(true, Ordering::Relaxed);
        let cpu = (front.used().0 - before) as f64 / 1e6 / begun.elapsed().as_secs_f64();
        over.store(true, Ordering::Relaxed);
        let seen = gather(usual);
        let tried: u64 = attackers.into_iter().map(|a| a.join().unwrap()).sum();
        println!(
            "flood {kind:7}: {tried} tried; usual p50 {} us, p99 {} us, failed {}; a new one: {fresh} after {new} ms; core {:.0} %",
            seen.at(0.5),
            seen.at(0.99),
            seen.failed,
            cpu * 100.0
        );
    }
}

fn log_cost() {
    use tracing_subscriber::layer::SubscriberExt;
    let subscriber =
        tracing_subscriber::registry().with(tracing_subscriber::filter::LevelFilter::INFO);
    tracing::subscriber::set_global_default(subscriber).unwrap();
    let begun = Instant::now();
    for i in 0..50_000_000u64 {
        tracing::debug!(i, member = "s-1", "attempt");
    }
    println!(
        "an event of the log that is not written: {:.2} ns",
        begun.elapsed().as_nanos() as f64 / 5e7
    );
}

fn main() {
    log_cost();
    let open = Front::start(json!({"core_percent": 100, "handshakes_most": 512}));
    requests(&open);
    handshakes(&open);
    drop(open);
    let usual = Front::start(json!({}));
    memory(&usual);
    key_changes(&usual);
    flood(&usual);
}
