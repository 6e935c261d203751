//! Measures the TLS listener of a release build on loopback: handshakes, requests over TLS compared with plain TCP, memory of
//! idle connections, certificate changes under load, and floods of connections. `make measure-tls` runs it; the results are in
//! `docs/design/certs.md`.
use cranesill_rig::request_frame;
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

const MEASUREMENT_TIME: Duration = Duration::from_secs(4);
const NAME: &str = "front1.example";

fn free_port() -> u16 {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port()
}

/// Starts a cache that responds to every fetch with a hit.
fn start_cache() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve_cache(socket));
        }
    });
    at
}

fn serve_cache(socket: TcpStream) -> Option<()> {
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
    _list_service: TcpListener,
}

impl Front {
    fn start(tls: Value) -> Front {
        let folder = tempfile::tempdir().unwrap();
        let list_service = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config: Value = serde_json::from_str(include_str!("config.json")).unwrap();
        config["listen"] = format!("127.0.0.1:{}", free_port()).into();
        config["feed"] = list_service.local_addr().unwrap().to_string().into();
        let instances = config["known"]["events"][0]["members"]["instances"]
            .as_array_mut()
            .unwrap();
        instances
            .iter_mut()
            .for_each(|instance| instance["hostPort"] = start_cache().to_string().into());
        let control = folder.path().join("control");
        let tls_address: SocketAddr = ([127, 0, 0, 1], free_port()).into();
        let mut settings = json!({"control": {"path": control}, "tls": tls,
                                  "certs": {"certificates": [{"names": [NAME]}]}});
        settings["tls"]["listen"] = tls_address.to_string().into();
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
            tls: tls_address,
            control,
            issuer: Mutex::new(Issuer::new()),
            _folder: folder,
            _list_service: list_service,
        };
        while !front.control.exists() {
            std::thread::yield_now();
        }
        front.import_new_certificate();
        front
    }

    fn command(&self, word: Value) -> Value {
        let mut socket = UnixStream::connect(&self.control).unwrap();
        socket.write_all(format!("{word}\n").as_bytes()).unwrap();
        let mut response = String::new();
        BufReader::new(socket).read_line(&mut response).unwrap();
        serde_json::from_str(&response).unwrap()
    }

    /// Issues a certificate for a new key and imports both into the front.
    fn import_new_certificate(&self) {
        let key = cranesill_certs::KeyRequest::Order(vec![NAME.into()], None);
        let Ok(cranesill_certs::exchange::GeneratedKey::Order(key, csr)) =
            cranesill_certs::exchange::generate_key(&key)
        else {
            panic!("cannot generate a key and signing request")
        };
        let (chain, _) = self
            .issuer
            .lock()
            .unwrap()
            .chain(&csr, 0, 3_000_000_000, false)
            .unwrap();
        let response =
            self.command(json!({"word": "certs-import", "args": {"key": key, "chain": chain}}));
        assert!(response["ok"].is_string(), "{response}");
    }

    fn client_config(&self, resume: bool) -> Arc<ClientConfig> {
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

    /// CPU time that the front has used, in microseconds, and its resident memory in bytes.
    fn cpu_us_and_memory_bytes(&self) -> (u64, u64) {
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

trait Transport: Read + Write + Send {}
impl<T: Read + Write + Send> Transport for T {}

fn connect_tls(at: SocketAddr, config: &Arc<ClientConfig>) -> std::io::Result<Box<dyn Transport>> {
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

fn connect_plain(at: SocketAddr) -> std::io::Result<Box<dyn Transport>> {
    let socket = TcpStream::connect(at)?;
    socket.set_nodelay(true)?;
    Ok(Box::new(socket))
}

/// Sends one request and returns whether it was served. Each request of a run has its own transaction id.
fn request(transport: &mut dyn Transport, stream: u32) -> std::io::Result<bool> {
    static LAST: AtomicU32 = AtomicU32::new(1);
    let txn = format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed));
    let fields = [
        ("verb", "page-bits"),
        ("txn", &txn),
        ("limit", "2400"),
        ("item", "7f3a9c21e0b4d655"),
    ];
    transport.write_all(&request_frame(stream, &fields, b""))?;
    let mut length = [0; 4];
    transport.read_exact(&mut length)?;
    let mut frame = vec![0; u32::from_be_bytes(length) as usize];
    transport.read_exact(&mut frame)?;
    Ok(frame[5] == 1)
}

/// Results of closed-loop clients: the latencies of all requests, sorted once the clients have ended, and the number of failures.
#[derive(Default)]
struct Results {
    latencies_us: Vec<u64>,
    failed: u64,
}

impl Results {
    fn quantile(&self, share: f64) -> u64 {
        self.latencies_us
            .get((self.latencies_us.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0)
    }
}

/// Starts `n` clients, each with one request at a time and a pause after it, which run until `stop` is set.
fn start_clients(
    n: usize,
    pause: Duration,
    stop: &Arc<AtomicBool>,
    connect: impl Fn() -> std::io::Result<Box<dyn Transport>>,
) -> Vec<std::thread::JoinHandle<Results>> {
    let transports: Vec<_> = (0..n).map(|_| connect().unwrap()).collect();
    transports
        .into_iter()
        .map(|mut transport| {
            let stop = Arc::clone(stop);
            std::thread::spawn(move || {
                let mut results = Results::default();
                for stream in 1.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let started = Instant::now();
                    let response = request(&mut *transport, stream);
                    results
                        .latencies_us
                        .push(started.elapsed().as_micros() as u64);
                    results.failed += u64::from(!matches!(response, Ok(true)));
                    if response.is_err() {
                        break;
                    }
                    std::thread::sleep(pause);
                }
                results
            })
        })
        .collect()
}

fn collect_results(threads: Vec<std::thread::JoinHandle<Results>>) -> Results {
    let mut all = Results::default();
    for results in threads.into_iter().map(|t| t.join().unwrap()) {
        all.latencies_us.extend(results.latencies_us);
        all.failed += results.failed;
    }
    all.latencies_us.sort_unstable();
    all
}

fn measure_requests(front: &Front) {
    let config = front.client_config(true);
    // Rounds alternate, so that other load on the machine affects both transports.
    for round in 0..3 {
        for transport_name in ["plain", "TLS"] {
            let stop = Arc::default();
            let before = front.cpu_us_and_memory_bytes().0;
            let threads = match transport_name {
                "plain" => start_clients(16, Duration::ZERO, &stop, || connect_plain(front.plain)),
                _ => start_clients(16, Duration::ZERO, &stop, || {
                    connect_tls(front.tls, &config)
                }),
            };
            std::thread::sleep(MEASUREMENT_TIME);
            stop.store(true, Ordering::Relaxed);
            let results = collect_results(threads);
            let cpu = (front.cpu_us_and_memory_bytes().0 - before) as f64
                / results.latencies_us.len() as f64;
            println!(
                "round {round} {transport_name:5}: {:.0} requests/s, CPU {cpu:.1} us each, p50 {} us, p99 {} us, failed {}",
                results.latencies_us.len() as f64 / MEASUREMENT_TIME.as_secs_f64(),
                results.quantile(0.5),
                results.quantile(0.99),
                results.failed
            );
        }
    }
}

fn measure_handshakes(front: &Front) {
    for (kind, resume) in [("full", false), ("resumed", true)] {
        let stop = Arc::new(AtomicBool::new(false));
        let before = front.cpu_us_and_memory_bytes().0;
        let threads: Vec<_> = (0..4)
            .map(|_| {
                let (stop, config, address) =
                    (Arc::clone(&stop), front.client_config(resume), front.tls);
                std::thread::spawn(move || {
                    let mut done = 0u64;
                    while !stop.load(Ordering::Relaxed) {
                        // The client receives the session ticket only while it reads a response.
                        let response = connect_tls(address, &config)
                            .and_then(|mut transport| request(&mut *transport, 1));
                        done += u64::from(response.is_ok());
                    }
                    done
                })
            })
            .collect();
        std::thread::sleep(MEASUREMENT_TIME);
        stop.store(true, Ordering::Relaxed);
        let done: u64 = threads.into_iter().map(|t| t.join().unwrap()).sum();
        let cpu = (front.cpu_us_and_memory_bytes().0 - before) as f64 / done as f64;
        let counts = front.command(json!({"word": "tls"}));
        println!(
            "{kind} handshakes with one request: {:.0}/s, CPU {cpu:.0} us each, {:.0}/s per core ({} resumed so far)",
            done as f64 / MEASUREMENT_TIME.as_secs_f64(),
            1e6 / cpu,
            counts["ok"]["resumed"]
        );
    }
}

fn measure_memory(front: &Front) {
    let config = front.client_config(false);
    for (transport_name, tls) in [("plain", false), ("TLS", true)] {
        let before = front.cpu_us_and_memory_bytes().1;
        let transports: Vec<_> = (0..400)
            .map(|_| {
                let mut transport = if tls {
                    connect_tls(front.tls, &config)
                } else {
                    connect_plain(front.plain)
                }
                .unwrap();
                assert!(request(&mut *transport, 1).unwrap());
                transport
            })
            .collect();
        println!(
            "{transport_name}: {} bytes for each of 400 idle connections",
            (front.cpu_us_and_memory_bytes().1 - before.min(front.cpu_us_and_memory_bytes().1))
                / 400
        );
        drop(transports);
        std::thread::sleep(Duration::from_millis(600));
    }
}

fn measure_key_changes(front: &Front) {
    let (stop, config) = (Arc::default(), front.client_config(true));
    let threads = start_clients(100, Duration::from_millis(20), &stop, || {
        connect_tls(front.tls, &config)
    });
    std::thread::sleep(Duration::from_secs(2));
    for _ in 0..100 {
        front.import_new_certificate();
        std::thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::Relaxed);
    let with_key_changes = collect_results(threads);
    let stop = Arc::default();
    let threads = start_clients(100, Duration::from_millis(20), &stop, || {
        connect_tls(front.tls, &config)
    });
    std::thread::sleep(Duration::from_secs(7));
    stop.store(true, Ordering::Relaxed);
    let without_key_changes = collect_results(threads);
    for (what, results) in [
        ("100 key changes", with_key_changes),
        ("no key changes", without_key_changes),
    ] {
        println!(
            "{what}: {} requests on 100 connections, failed {}, p50 {} us, p99 {} us, max {} us",
            results.latencies_us.len(),
            results.failed,
            results.quantile(0.5),
            results.quantile(0.99),
            results.latencies_us.last().copied().unwrap_or(0)
        );
    }
}

fn measure_flood(front: &Front) {
    let config = front.client_config(false);
    for kind in ["none", "garbage", "half", "full", "none"] {
        let (stop, stop_attack) = (Arc::default(), Arc::new(AtomicBool::new(false)));
        let clients = start_clients(16, Duration::from_millis(2), &stop, || {
            connect_tls(front.tls, &config)
        });
        let attackers: Vec<_> = (0..4)
            .map(|_| {
                let (stop_attack, config, address) =
                    (Arc::clone(&stop_attack), Arc::clone(&config), front.tls);
                std::thread::spawn(move || {
                    let (mut attempts, mut open_sockets) = (0u64, Vec::new());
                    while !stop_attack.load(Ordering::Relaxed) && kind != "none" {
                        attempts += 1;
                        if kind == "full" {
                            drop(connect_tls(address, &config));
                            continue;
                        }
                        let Ok(mut socket) = TcpStream::connect(address) else {
                            continue;
                        };
                        let bytes: &[u8] = if kind == "half" {
                            &[22, 3, 1, 2, 0, 1, 0, 1]
                        } else {
                            &[0x55; 300]
                        };
                        let _ = socket.write_all(bytes);
                        if kind == "half" {
                            open_sockets.push(socket);
                            if open_sockets.len() > 500 {
                                open_sockets.clear();
                            }
                        }
                    }
                    attempts
                })
            })
            .collect();
        let before = front.cpu_us_and_memory_bytes().0;
        std::thread::sleep(Duration::from_millis(500));
        // A new client connects during the flood.
        let started = Instant::now();
        let connected = connect_tls(front.tls, &config).is_ok();
        let handshake_ms = started.elapsed().as_millis();
        std::thread::sleep(MEASUREMENT_TIME);
        stop.store(true, Ordering::Relaxed);
        let cpu = (front.cpu_us_and_memory_bytes().0 - before) as f64
            / 1e6
            / started.elapsed().as_secs_f64();
        stop_attack.store(true, Ordering::Relaxed);
        let results = collect_results(clients);
        let attempts: u64 = attackers.into_iter().map(|a| a.join().unwrap()).sum();
        println!(
            "flood {kind:7}: {attempts} connection attempts; clients p50 {} us, p99 {} us, failed {}; new client connected: {connected} after {handshake_ms} ms; CPU {:.0} %",
            results.quantile(0.5),
            results.quantile(0.99),
            results.failed,
            cpu * 100.0
        );
    }
}

fn measure_disabled_log_event() {
    use tracing_subscriber::layer::SubscriberExt;
    let subscriber =
        tracing_subscriber::registry().with(tracing_subscriber::filter::LevelFilter::INFO);
    tracing::subscriber::set_global_default(subscriber).unwrap();
    let started = Instant::now();
    for i in 0..50_000_000u64 {
        tracing::debug!(i, member = "s-1", "attempt");
    }
    println!(
        "log event below the log level: {:.2} ns",
        started.elapsed().as_nanos() as f64 / 5e7
    );
}

fn main() {
    measure_disabled_log_event();
    let with_high_limits = Front::start(json!({"core_percent": 100, "handshakes_most": 512}));
    measure_requests(&with_high_limits);
    measure_handshakes(&with_high_limits);
    drop(with_high_limits);
    let with_defaults = Front::start(json!({}));
    measure_memory(&with_defaults);
    measure_key_changes(&with_defaults);
    measure_flood(&with_defaults);
}
