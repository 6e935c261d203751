//! Stories of TLS and certificates over loopback: a front as a process, the stand-in authority in this one.
mod common;
use common::*;
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

const GUARD: Duration = Duration::from_secs(30);

/// A port that nobody else has, nor gets before the front does: the system gives out none below its own range, and one
/// that it had given out could go to a connection of another test meanwhile.
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

struct Play {
    folder: tempfile::TempDir,
    authority: Server,
    settings: Value,
    ports: (u16, u16),
}

impl Play {
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
        let play = Play {
            folder,
            authority,
            settings,
            ports,
        };
        play.write();
        play
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("daemon.json")
    }

    fn write(&self) {
        std::fs::write(self.file(), self.settings.to_string()).unwrap();
    }

    fn start(&self) -> Stage {
        let stage = Stage::with(|_| {}, Some(&self.file()));
        // Clients' own socket is told of first.
        until(&stage.log, "TLS listening");
        stage
    }

    fn tls(&self) -> SocketAddr {
        ([127, 0, 0, 1], self.ports.1).into()
    }

    /// `cranesill` with arguments; its exit code and what it printed.
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

/// A client over TLS.
struct Secure(StreamOwned<ClientConnection, TcpStream>);

impl Secure {
    fn connect(at: SocketAddr, name: &str, config: Arc<ClientConfig>) -> Result<Secure, String> {
        let mut socket = TcpStream::connect(at).map_err(|e| e.to_string())?;
        socket.set_read_timeout(Some(GUARD)).unwrap();
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
        let head = [
            &(5 + payload.len() as u32).to_be_bytes()[..],
            &[kind],
            &stream.to_be_bytes(),
        ]
        .concat();
        self.0.write_all(&[&head, payload].concat())
    }

    fn ask(&mut self, stream: u32) -> std::io::Result<()> {
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
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend(name.bytes());
            payload.extend((value.len() as u16).to_be_bytes());
            payload.extend(value.bytes());
        }
        self.send(10, stream, &payload)
    }

    fn hear(&mut self) -> std::io::Result<Vec<u8>> {
        let mut length = [0; 4];
        self.0.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        self.0.read_exact(&mut frame)?;
        Ok(frame)
    }
}

/// A cache that answers everything, on all its connections.
fn serve_all(cache: &TcpListener, body: &'static str) {
    let cache = cache.try_clone().unwrap();
    std::thread::spawn(move || {
        for socket in cache.incoming() {
            let Ok(socket) = socket else { return };
            std::thread::spawn(move || {
                let mut link = Link(std::io::BufReader::new(socket));
                while let Some(words) = link.hear() {
                    if words[0] == "fetch" {
                        link.say(&words[1], "HIT", "tell=local", body);
                    }
                }
            });
        }
    });
}

#[test]
fn a_front_gets_its_certificates_and_serves_requests_under_them() {
    for challenge in ["http-01", "tls-alpn-01"] {
        let play = Play::new(
            challenge,
            json!([{"names": ["front1.example", "alias.example"]}, {"names": ["other.example"]}]),
        );
        let stage = play.start();
        stage
            .caches
            .iter()
            .for_each(|c| serve_all(c, "bytes over TLS"));
        until(&stage.log, "kind=issued");
        until(&stage.log, "kind=issued");
        for name in ["front1.example", "ALIAS.example", "other.example"] {
            let mut client = play.connect(name).unwrap();
            client.ask(1).unwrap();
            assert!(
                client.hear().unwrap().ends_with(b"bytes over TLS"),
                "{challenge} {name}"
            );
        }
        let unknown = play.connect("unknown.example").err().unwrap();
        assert!(unknown.contains("UnrecognisedName"), "{unknown}");
        for protocol in ["http/1.1", ""] {
            let config = Arc::new(play.config(protocol));
            let refused = Secure::connect(play.tls(), "front1.example", config)
                .err()
                .unwrap();
            assert!(refused.contains("NoApplicationProtocol"), "{refused}");
        }
        // Keys are 0600 and nothing of a key is in the log.
        let folder = play.folder.path().join("certs");
        for file in std::fs::read_dir(&folder).unwrap() {
            use std::os::unix::fs::PermissionsExt;
            assert_eq!(
                file.unwrap().metadata().unwrap().permissions().mode() & 0o777,
                0o600
            );
        }
        let (code, text) = play.run(&["certs", "list"]);
        assert_eq!(code, 0, "{text}");
        assert!(
            text.contains("front1.example") && text.contains("good"),
            "{text}"
        );
    }
}

#[test]
fn both_versions_of_tls_work_and_sessions_are_resumed() {
    let play = Play::new("tls-alpn-01", json!([{"names": ["front1.example"]}]));
    let stage = play.start();
    stage.caches.iter().for_each(|c| serve_all(c, "x"));
    until(&stage.log, "kind=issued");
    for version in [&rustls::version::TLS12, &rustls::version::TLS13] {
        let mut roots = RootCertStore::empty();
        roots
            .add(CertificateDer::from_pem_slice(play.authority.root().as_bytes()).unwrap())
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
                    Secure::connect(play.tls(), "front1.example", Arc::clone(&config)).unwrap();
                client.ask(1).unwrap();
                client.hear().unwrap();
                client.0.conn.handshake_kind().unwrap()
            })
            .collect();
        assert_eq!(
            kinds,
            [rustls::HandshakeKind::Full, rustls::HandshakeKind::Resumed],
            "{version:?}"
        );
    }
    // A revoked certificate's tickets are good for nothing.
    let config = Arc::new(play.config("cranesill/1"));
    let first = Secure::connect(play.tls(), "front1.example", Arc::clone(&config)).unwrap();
    let (code, text) = play.run(&["certs", "revoke", "front1.example", "--reason", "1"]);
    assert_eq!(code, 0, "{text}");
    until(&stage.log, "kind=issued");
    let second = Secure::connect(play.tls(), "front1.example", config).unwrap();
    assert_eq!(
        second.0.conn.handshake_kind(),
        Some(rustls::HandshakeKind::Full)
    );
    assert_ne!(first.serial(), second.serial());
}

#[test]
fn a_renewal_while_connections_are_busy_loses_no_request() {
    let play = Play::new("http-01", json!([{"names": ["front1.example"]}]));
    let stage = play.start();
    stage.caches.iter().for_each(|c| serve_all(c, "busy"));
    until(&stage.log, "kind=issued");
    let config = Arc::new(play.config("cranesill/1"));
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let clients: Vec<_> = (0..100)
        .map(|_| {
            let mut client =
                Secure::connect(play.tls(), "front1.example", Arc::clone(&config)).unwrap();
            let stop = Arc::clone(&stop);
            std::thread::spawn(move || {
                let mut asked = 0;
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    asked += 1;
                    client.ask(asked).unwrap();
                    let answer = client.hear().unwrap();
                    assert_eq!((answer[5], answer.ends_with(b"busy")), (1, true));
                }
                asked
            })
        })
        .collect();
    let before = play.connect("front1.example").unwrap().serial();
    for _ in 0..3 {
        assert_eq!(play.run(&["certs", "renew", "front1.example"]).0, 0);
        until(&stage.log, "kind=issued");
    }
    let after = play.connect("front1.example").unwrap().serial();
    assert_ne!(before, after, "new handshakes get the new certificate");
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let asked: Vec<u32> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(asked.iter().all(|n| *n > 0), "{asked:?}");
}

#[test]
fn a_restart_without_the_authority_serves_what_the_folder_holds_and_takes_new_names_up_at_sighup() {
    let mut play = Play::new("http-01", json!([{"names": ["front1.example"]}]));
    let serial = {
        let stage = play.start();
        until(&stage.log, "kind=issued");
        // Written in order before this is answered by the folder's reader at the next start.
        let deadline = Instant::now() + GUARD;
        while !play.folder.path().join("certs/front1.example.pem").exists() {
            assert!(Instant::now() < deadline);
            std::thread::yield_now();
        }
        play.connect("front1.example").unwrap().serial()
    };
    play.authority.authority().faults.vanished = true;
    let stage = play.start();
    assert_eq!(play.connect("front1.example").unwrap().serial(), serial);
    // A second daemon can't take the same control socket.
    play.settings["certs"]["certificates"] =
        json!([{"names": ["front1.example"]}, {"names": ["front2.example"]}]);
    play.settings["tls"]["listen"] = "127.0.0.1:1".into();
    play.write();
    stage.signal("-HUP");
    assert!(until(&stage.log, "need a restart").contains("tls.listen"));
    assert!(until(&stage.log, "taken over").contains("certs.certificates"));
    let (code, text) = play.run(&["certs", "show", "front2.example"]);
    assert_eq!((code, text.contains("\"missing\"")), (4, true), "{text}");
    assert_eq!(play.run(&["certs", "show", "nobody.example"]).0, 3);
    // A broken file changes nothing, and all its faults are told.
    std::fs::write(play.file(), r#"{"tls": {"listen": "x"}, "surplus": 1}"#).unwrap();
    stage.signal("-HUP");
    let line = until(&stage.log, "the settings stay as they were");
    assert!(
        line.contains("$.tls.listen") && line.contains("surplus"),
        "{line}"
    );
    let (code, text) = play.run(&["check", "--settings", play.file().to_str().unwrap()]);
    assert_eq!((code, text.lines().count()), (1, 2), "{text}");
    assert_eq!(play.run(&["ctl", "status"]).0, 0);
    assert_eq!(play.run(&["ctl", "nonsense"]).0, 1);
}

#[test]
fn an_expired_certificate_is_served_loudly_or_refused_by_setting_and_never_in_silence() {
    for refuse in [false, true] {
        let mut play = Play::new("http-01", json!([{"names": ["front1.example"]}]));
        play.settings["tls"]["expired"] = if refuse { "refuse" } else { "serve" }.into();
        play.settings["certs"]["authority"] = Value::Null;
        play.settings["certs"]
            .as_object_mut()
            .unwrap()
            .remove("authority");
        play.write();
        // Issued long ago, and lying in the folder.
        let (key, chain) = old(&play, 1_000_000);
        std::fs::create_dir(play.folder.path().join("certs")).unwrap();
        std::fs::write(
            play.folder.path().join("certs/front1.example.pem"),
            format!("{key}{chain}"),
        )
        .unwrap();
        let stage = play.start();
        assert!(until(&stage.log, "kind=expired").contains(" error "));
        let refused = play.connect("front1.example").err().unwrap();
        // The client's own word, or the front's alert.
        assert_eq!(
            refused.contains("AlertReceived") || refused.contains("fatal alert"),
            refuse,
            "{refused}"
        );
        assert!(refused.contains("xpired"), "{refused}");
        let (code, text) = play.run(&["certs", "list"]);
        assert_eq!((code, text.contains("EXPIRED")), (5, true), "{text}");
    }
}

/// A key and a chain for front1.example that ended in 1970.
fn old(play: &Play, until: u64) -> (String, String) {
    let mut made = cranesill_certs::exchange::generate_key(&cranesill_certs::KeyRequest::Order(
        vec!["front1.example".into()],
        None,
    ));
    let Ok(cranesill_certs::exchange::GeneratedKey::Order(key, csr)) = made.as_mut() else {
        panic!()
    };
    let (chain, _) = play
        .authority
        .authority()
        .issuer
        .chain(csr, 0, until, false)
        .unwrap();
    (key.clone(), chain)
}

#[test]
fn floods_of_handshakes_garbage_and_silence_leave_open_connections_and_new_ones_served() {
    let play = Play::new("tls-alpn-01", json!([{"names": ["front1.example"]}]));
    let stage = play.start();
    stage.caches.iter().for_each(|c| serve_all(c, "x"));
    until(&stage.log, "kind=issued");
    let mut usual = play.connect("front1.example").unwrap();
    usual.ask(1).unwrap();
    usual.hear().unwrap();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    let at = play.tls();
    let config = Arc::new(play.config("cranesill/1"));
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
                        // Half a hello, and silence.
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
        usual.ask(stream).unwrap();
        assert!(usual.hear().unwrap().ends_with(b"x"));
    }
    // A new one gets through in time, and so does the authority's look at a challenge.
    let begun = Instant::now();
    let mut through = 0;
    while through == 0 && begun.elapsed() < GUARD {
        through += u32::from(play.connect("front1.example").is_ok());
    }
    assert_eq!(through, 1);
    assert_eq!(play.run(&["certs", "renew", "front1.example"]).0, 0);
    until(&stage.log, "kind=issued");
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    flood.into_iter().for_each(|f| f.join().unwrap());
    let (code, text) = play.run(&["ctl", "tls"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("garbage"), "{text}");
}

#[test]
fn a_second_hello_on_a_secured_connection_ends_that_one_alone() {
    let play = Play::new("http-01", json!([{"names": ["front1.example"]}]));
    let stage = play.start();
    stage.caches.iter().for_each(|c| serve_all(c, "x"));
    until(&stage.log, "kind=issued");
    let mut usual = play.connect("front1.example").unwrap();
    let mut odd = play.connect("front1.example").unwrap();
    odd.ask(1).unwrap();
    odd.hear().unwrap();
    // A hello in the clear where sealed records belong: what a client that renegotiates by force would send.
    odd.0
        .sock
        .write_all(&[22, 3, 3, 0, 8, 1, 0, 0, 4, 3, 3, 0, 0])
        .unwrap();
    assert!(odd.hear().is_err());
    usual.ask(1).unwrap();
    assert!(usual.hear().unwrap().ends_with(b"x"));
}
