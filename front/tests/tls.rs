//! TLS and certificates: a front as a process and a stand-in for the certificate authority in the test process.
mod common;
use common::*;
use cranesill_rig::{client_frame, request_frame};
use cranesill_standins::acme::Server;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, ClientConnection, RootCertStore, StreamOwned};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns an unused port below the range that the system assigns, so that no connection of another test can occupy it before
/// the front binds it.
fn port() -> u16 {
    static LAST: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let n = LAST.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 20_000 + ((std::process::id() * 64 + n) % 12_000) as u16;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

struct Fixture {
    folder: tempfile::TempDir,
    authority: Server,
    settings: Value,
    ports: (u16, u16),
}

impl Fixture {
    fn new(challenge: &str, names: Value) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let ports = (port(), port());
        let authority = Server::start("127.0.0.1:0".parse().unwrap(), ports.0, ports.1, 7).unwrap();
        std::fs::write(folder.path().join("root.pem"), authority.root()).unwrap();
        let settings = json!({
            "control": {"path": folder.path().join("control")},
            "tls": {"listen": format!("127.0.0.1:{}", ports.1)},
            "certs": {
                "directory": folder.path().join("certs"),
                "certificates": names,
                "http_listen": format!("127.0.0.1:{}", ports.0),
                "authority": {"directory_url": authority.directory(), "roots_file": folder.path().join("root.pem"),
                              "terms_agreed": true, "challenge": challenge}
            }
        });
        let fixture = Fixture {
            folder,
            authority,
            settings,
            ports,
        };
        fixture.write();
        fixture
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("daemon.json")
    }

    fn write(&self) {
        std::fs::write(self.file(), self.settings.to_string()).unwrap();
    }

    fn start(&self) -> TestFront {
        let setup = TestFront::with(|_| {}, Some(&self.file()));
        // Logged after the plain listener.
        wait_for_line(&setup.log, "TLS listening");
        setup
    }

    fn tls(&self) -> SocketAddr {
        ([127, 0, 0, 1], self.ports.1).into()
    }

    /// Runs `cranesill` with arguments; returns its exit code and output.
    fn run(&self, arguments: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_cranesill"));
        let done = command
            .args(arguments)
            .env("CRANESILL_SOCKET", self.folder.path().join("control"));
        let done = done.output().unwrap();
        let text = [done.stdout, done.stderr].concat();
        (
            done.status.code().unwrap(),
            String::from_utf8(text).unwrap(),
        )
    }

    fn config(&self, protocol: &str) -> ClientConfig {
        let mut roots = RootCertStore::empty();
        roots
            .add(CertificateDer::from_pem_slice(self.authority.root().as_bytes()).unwrap())
            .unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .unwrap();
        let mut config = builder.with_root_certificates(roots).with_no_client_auth();
        config.alpn_protocols = if protocol.is_empty() {
            vec![]
        } else {
            vec![protocol.into()]
        };
        config
    }

    fn connect(&self, name: &str) -> Result<Secure, String> {
        Secure::connect(self.tls(), name, Arc::new(self.config("cranesill/1")))
    }
}

/// Client over TLS.
struct Secure(StreamOwned<ClientConnection, TcpStream>);

impl Secure {
    fn connect(at: SocketAddr, name: &str, config: Arc<ClientConfig>) -> Result<Secure, String> {
        let mut socket = TcpStream::connect(at).map_err(|e| e.to_string())?;
        socket.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        let name = ServerName::try_from(name.to_string()).unwrap();
        let mut connection = ClientConnection::new(config, name).unwrap();
        while connection.is_handshaking() {
            connection
                .complete_io(&mut socket)
                .map_err(|e| e.to_string())?;
        }
        Ok(Secure(StreamOwned::new(connection, socket)))
    }

    fn serial(&self) -> Vec<u8> {
        self.0.conn.peer_certificates().unwrap()[0].to_vec()
    }

    fn send(&mut self, kind: u8, stream: u32, payload: &[u8]) -> std::io::Result<()> {
        self.0.write_all(&client_frame(kind, stream, payload))
    }

    fn request(&mut self, stream: u32) -> std::io::Result<()> {
        let txn = format!(
            "{:016x}",
            (u64::from(stream) << 32) | u64::from(self.0.sock.local_addr()?.port())
        );
        let fields = [
            ("verb", "page-bits"),
            ("txn", &txn),
            ("limit", "20000"),
            ("item", "7f3a9c21e0b4d655"),
        ];
        self.0.write_all(&request_frame(stream, &fields, b""))
    }

    fn receive(&mut self) -> std::io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.0.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut frame)?;
        Ok(frame)
    }
}

/// Serves hits on all connections of a cache.
fn serve_all(cache: &TcpListener, body: &'static str) {
    let cache = cache.try_clone().unwrap();
    std::thread::spawn(move || {
        for socket in cache.incoming() {
            let Ok(socket) = socket else { return };
            std::thread::spawn(move || {
                let mut node = NodeConnection(std::io::BufReader::new(socket));
                while let Some(words) = node.receive() {
                    if words[0] == "fetch" {
                        node.respond(&words[1], "HIT", "tell=local", body);
                    }
                }
            });
        }
    });
}

#[test]
fn front_obtains_certificates_and_serves_requests_with_them() {
    for challenge in ["http-01", "tls-alpn-01"] {
        let fixture = Fixture::new(
            challenge,
            json!([{"names": ["front1.example", "alias.example"]}, {"names": ["other.example"]}]),
        );
        let setup = fixture.start();
        setup
            .caches
            .iter()
            .for_each(|c| serve_all(c, "bytes over TLS"));
        wait_for_line(&setup.log, "kind=issued");
        wait_for_line(&setup.log, "kind=issued");
        for name in ["front1.example", "ALIAS.example", "other.example"] {
            let mut client = fixture.connect(name).unwrap();
            client.request(1).unwrap();
            assert!(
                client.receive().unwrap().ends_with(b"bytes over TLS"),
                "{challenge} {name}"
            );
        }
        let unknown = fixture.connect("unknown.example").err().unwrap();
        assert!(unknown.contains("UnrecognisedName"), "{unknown}");
        for protocol in ["http/1.1", ""] {
            let config = Arc::new(fixture.config(protocol));
            let refused = Secure::connect(fixture.tls(), "front1.example", config)
                .err()
                .unwrap();
            assert!(refused.contains("NoApplicationProtocol"), "{refused}");
        }
        // Files with keys are readable by the owner only.
        let folder = fixture.folder.path().join("certs");
        for file in std::fs::read_dir(&folder).unwrap() {
            use std::os::unix::fs::PermissionsExt;
            assert_eq!(
                file.unwrap().metadata().unwrap().permissions().mode() & 0o777,
                0o600
            );
        }
        let (code, text) = fixture.run(&["certs", "list"]);
        assert_eq!(code, 0, "{text}");
        assert!(
            text.contains("front1.example") && text.contains("good"),
            "{text}"
        );
    }
}

#[test]
fn tls_1_2_and_1_3_resume_sessions() {
    let fixture = Fixture::new("tls-alpn-01", json!([{"names": ["front1.example"]}]));
    let setup = fixture.start();
    setup.caches.iter().for_each(|c| serve_all(c, "x"));
    wait_for_line(&setup.log, "kind=issued");
    for version in [&rustls::version::TLS12, &rustls::version::TLS13] {
        let mut roots = RootCertStore::empty();
        roots
            .add(CertificateDer::from_pem_slice(fixture.authority.root().as_bytes()).unwrap())
            .unwrap();
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let builder = ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[version])
            .unwrap();
        let mut config = builder.with_root_certificates(roots).with_no_client_auth();
        config.alpn_protocols = vec![b"cranesill/1".to_vec()];
        let config = Arc::new(config);
        let kinds: Vec<_> = (0..2)
            .map(|_| {
                let mut client =
                    Secure::connect(fixture.tls(), "front1.example", Arc::clone(&config)).unwrap();
                client.request(1).unwrap();
                client.receive().unwrap();
                client.0.conn.handshake_kind().unwrap()
            })
            .collect();
        assert_eq!(
            kinds,
            [rustls::HandshakeKind::Full, rustls::HandshakeKind::Resumed],
            "{version:?}"
        );
    }
    // Session tickets issued under a revoked certificate are not accepted.
    let config = Arc::new(fixture.config("cranesill/1"));
    let first = Secure::connect(fixture.tls(), "front1.example", Arc::clone(&config)).unwrap();
    let (code, text) = fixture.run(&["certs", "revoke", "front1.example", "--reason", "1"]);
    assert_eq!(code, 0, "{text}");
    wait_for_line(&setup.log, "kind=issued");
    let second = Secure::connect(fixture.tls(), "front1.example", config).unwrap();
    assert_eq!(
        second.0.conn.handshake_kind(),
        Some(rustls::HandshakeKind::Full)
    );
    assert_ne!(first.serial(), second.serial());
}

#[test]
fn renewal_under_load_loses_no_request() {
    let fixture = Fixture::new("http-01", json!([{"names": ["front1.example"]}]));
    let setup = fixture.start();
    setup.caches.iter().for_each(|c| serve_all(c, "busy"));
    wait_for_line(&setup.log, "kind=issued");
    let config = Arc::new(fixture.config("cranesill/1"));
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = (0..100)
        .map(|_| {
            let mut client =
                Secure::connect(fixture.tls(), "front1.example", Arc::clone(&config)).unwrap();
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                let mut sent = 0;
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    sent += 1;
                    client.request(sent).unwrap();
                    let answer = client.receive().unwrap();
                    assert_eq!((answer[5], answer.ends_with(b"busy")), (1, true));
                }
                sent
            })
        })
        .collect();
    let before = fixture.connect("front1.example").unwrap().serial();
    for _ in 0..3 {
        assert_eq!(fixture.run(&["certs", "renew", "front1.example"]).0, 0);
        wait_for_line(&setup.log, "kind=issued");
    }
    let after = fixture.connect("front1.example").unwrap().serial();
    assert_ne!(
        before, after,
        "handshakes after the renewal use the old certificate"
    );
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let sent: Vec<u32> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(sent.iter().all(|n| *n > 0), "{sent:?}");
}

#[test]
fn restart_without_the_authority_serves_stored_certificates_and_sighup_adds_names() {
    let mut fixture = Fixture::new("http-01", json!([{"names": ["front1.example"]}]));
    let serial = {
        let setup = fixture.start();
        wait_for_line(&setup.log, "kind=issued");
        // The file is complete once it has its final name.
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !fixture
            .folder
            .path()
            .join("certs/front1.example.pem")
            .exists()
        {
            assert!(Instant::now() < deadline);
            std::thread::yield_now();
        }
        fixture.connect("front1.example").unwrap().serial()
    };
    fixture.authority.authority().faults.vanished = true;
    let setup = fixture.start();
    assert_eq!(fixture.connect("front1.example").unwrap().serial(), serial);
    // The listening address cannot change without a restart; the list of certificates can.
    fixture.settings["certs"]["certificates"] =
        json!([{"names": ["front1.example"]}, {"names": ["front2.example"]}]);
    fixture.settings["tls"]["listen"] = "127.0.0.1:1".into();
    fixture.write();
    setup.signal("-HUP");
    assert!(wait_for_line(&setup.log, "need a restart").contains("tls.listen"));
    assert!(wait_for_line(&setup.log, "taken over").contains("certs.certificates"));
    let (code, text) = fixture.run(&["certs", "show", "front2.example"]);
    assert_eq!((code, text.contains("\"missing\"")), (4, true), "{text}");
    assert_eq!(fixture.run(&["certs", "show", "nobody.example"]).0, 3);
    // An invalid file has no effect, and all of its errors are logged.
    std::fs::write(fixture.file(), r#"{"tls": {"listen": "x"}, "surplus": 1}"#).unwrap();
    setup.signal("-HUP");
    let line = wait_for_line(&setup.log, "the settings stay as they were");
    assert!(
        line.contains("$.tls.listen") && line.contains("surplus"),
        "{line}"
    );
    let (code, text) = fixture.run(&["check", "--settings", fixture.file().to_str().unwrap()]);
    assert_eq!((code, text.lines().count()), (1, 2), "{text}");
    assert_eq!(fixture.run(&["ctl", "status"]).0, 0);
    assert_eq!(fixture.run(&["ctl", "nonsense"]).0, 1);
}

#[test]
fn expired_certificate_is_served_or_refused_by_setting_and_logged() {
    for refuse in [false, true] {
        let mut fixture = Fixture::new("http-01", json!([{"names": ["front1.example"]}]));
        fixture.settings["tls"]["expired"] = if refuse { "refuse" } else { "serve" }.into();
        fixture.settings["certs"]["authority"] = Value::Null;
        fixture.settings["certs"]
            .as_object_mut()
            .unwrap()
            .remove("authority");
        fixture.write();
        // A certificate in the folder that expired long ago.
        let (key, chain) = old(&fixture, 1_000_000);
        std::fs::create_dir(fixture.folder.path().join("certs")).unwrap();
        std::fs::write(
            fixture.folder.path().join("certs/front1.example.pem"),
            format!("{key}{chain}"),
        )
        .unwrap();
        let setup = fixture.start();
        assert!(wait_for_line(&setup.log, "kind=expired").contains(" error "));
        let refused = fixture.connect("front1.example").err().unwrap();
        // Either the client rejects the certificate or the front sends an alert.
        assert_eq!(
            refused.contains("AlertReceived") || refused.contains("fatal alert"),
            refuse,
            "{refused}"
        );
        assert!(refused.contains("xpired"), "{refused}");
        let (code, text) = fixture.run(&["certs", "list"]);
        assert_eq!((code, text.contains("EXPIRED")), (5, true), "{text}");
    }
}

/// Key and chain for front1.example that expired at the given Unix time.
fn old(fixture: &Fixture, until: u64) -> (String, String) {
    let mut made = cranesill_certs::exchange::generate_key(&cranesill_certs::KeyRequest::Order(
        vec!["front1.example".into()],
        None,
    ));
    let Ok(cranesill_certs::exchange::GeneratedKey::Order(key, csr)) = made.as_mut() else {
        panic!()
    };
    let (chain, _) = fixture
        .authority
        .authority()
        .issuer
        .chain(csr, 0, until, false)
        .unwrap();
    (key.clone(), chain)
}

#[test]
fn handshake_floods_do_not_block_open_or_new_connections() {
    let fixture = Fixture::new("tls-alpn-01", json!([{"names": ["front1.example"]}]));
    let setup = fixture.start();
    setup.caches.iter().for_each(|c| serve_all(c, "x"));
    wait_for_line(&setup.log, "kind=issued");
    let mut usual = fixture.connect("front1.example").unwrap();
    usual.request(1).unwrap();
    usual.receive().unwrap();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let at = fixture.tls();
    let config = Arc::new(fixture.config("cranesill/1"));
    let mut flood = Vec::new();
    for kind in 0..4 {
        let (stop, config) = (Arc::clone(&stop), Arc::clone(&config));
        flood.push(std::thread::spawn(move || {
            let mut silent = Vec::new();
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                let Ok(mut socket) = TcpStream::connect(at) else {
                    continue;
                };
                match kind {
                    0 => drop(socket.write_all(&[0x55; 300])),
                    1 => {
                        // A partial hello without continuation.
                        let _ = socket.write_all(&[22, 3, 1, 2, 0, 1, 0, 1]);
                        silent.push(socket);
                        if silent.len() > 200 {
                            silent.clear();
                        }
                    }
                    _ => drop(Secure::connect(at, "front1.example", Arc::clone(&config))),
                }
            }
        }));
    }
    for stream in 2..200 {
        usual.request(stream).unwrap();
        assert!(usual.receive().unwrap().ends_with(b"x"));
    }
    // A new connection and the authority's validation succeed in time.
    let begun = Instant::now();
    let mut through = 0;
    while through == 0 && begun.elapsed() < WAIT_TIMEOUT {
        through += u32::from(fixture.connect("front1.example").is_ok());
    }
    assert_eq!(through, 1);
    assert_eq!(fixture.run(&["certs", "renew", "front1.example"]).0, 0);
    wait_for_line(&setup.log, "kind=issued");
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    flood.into_iter().for_each(|f| f.join().unwrap());
    let (code, text) = fixture.run(&["ctl", "tls"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("garbage"), "{text}");
}

#[test]
fn renegotiation_attempt_ends_only_its_connection() {
    let fixture = Fixture::new("http-01", json!([{"names": ["front1.example"]}]));
    let setup = fixture.start();
    setup.caches.iter().for_each(|c| serve_all(c, "x"));
    wait_for_line(&setup.log, "kind=issued");
    let mut usual = fixture.connect("front1.example").unwrap();
    let mut odd = fixture.connect("front1.example").unwrap();
    odd.request(1).unwrap();
    odd.receive().unwrap();
    // An unencrypted hello on an encrypted connection, as in a forced renegotiation.
    odd.0
        .sock
        .write_all(&[22, 3, 3, 0, 8, 1, 0, 0, 4, 3, 3, 0, 0])
        .unwrap();
    assert!(odd.receive().is_err());
    usual.request(1).unwrap();
    assert!(usual.receive().unwrap().ends_with(b"x"));
}

// Guards against a front that exits while TLS clients still read their responses: their next message resets the connection.
#[test]
fn terminated_front_exits_after_slow_tls_clients_have_received_their_responses() {
    const RESPONSES: u32 = 8;
    const RESPONSE_BYTES: usize = 200_000;
    // Longer than it took the front to exit.
    const READ_DELAY: Duration = Duration::from_millis(2_500);
    let fixture = Fixture::new("http-01", json!([{"names": ["front1.example"]}]));
    let mut setup = fixture.start();
    let body: &'static str = "x".repeat(RESPONSE_BYTES).leak();
    setup.caches.iter().for_each(|cache| serve_all(cache, body));
    wait_for_line(&setup.log, "kind=issued");
    let mut client = fixture.connect("front1.example").unwrap();
    for stream in 1..=RESPONSES {
        client.request(stream).unwrap();
    }
    // The first response shows that the requests are taken; the others stay unread.
    let mut served = vec![client.receive().unwrap().len()];
    setup.signal("-TERM");
    std::thread::sleep(READ_DELAY);
    client.send(12, 1, &[]).unwrap();
    while let Ok(frame) = client.receive() {
        served.push(frame.len());
    }
    served.retain(|length| *length > RESPONSE_BYTES);
    assert_eq!(served.len(), RESPONSES as usize);
    assert!(setup.child.wait().unwrap().success());
}
