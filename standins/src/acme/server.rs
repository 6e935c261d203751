//! HTTPS server of the test authority.
use super::authority::{Authority, Faults, Request, Response};
use super::validate::validate;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::{ServerConfig, ServerConnection, StreamOwned};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Open connections; further ones are closed.
const MAX_CONNECTIONS: usize = 64;
const MAX_REQUEST_BYTES: usize = 256 * 1024;
/// Timeout of each read from and write to a client.
const IO_TIMEOUT: Duration = Duration::from_secs(10);
/// Bounds the body of an "endless" response, so that no test hangs.
const MAX_ENDLESS_BYTES: usize = 16 << 20;

struct Shared {
    authority: Mutex<Authority>,
    config: Arc<ServerConfig>,
    http_port: u16,
    tls_port: u16,
    stop: AtomicBool,
    connections: AtomicUsize,
}

impl Shared {
    fn authority(&self) -> MutexGuard<'_, Authority> {
        // The thread that panicked reports the panic; the state stays usable.
        self.authority.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A running authority, which is stopped when this is dropped.
pub struct Server {
    shared: Arc<Shared>,
    /// The address on which the server listens.
    pub address: SocketAddr,
    accept_thread: Option<std::thread::JoinHandle<()>>,
}

impl Server {
    /// Starts an authority on an address. It validates challenges on `http_port` and `tls_port` of loopback; `seed` determines
    /// tokens and nonces.
    pub fn start(
        listen: SocketAddr,
        http_port: u16,
        tls_port: u16,
        seed: u64,
    ) -> io::Result<Server> {
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let mut authority = Authority::new(format!("https://{address}"), seed);
        let (key, chain) = authority.issuer.server_identity();
        let other = |e: &dyn std::fmt::Display| io::Error::other(e.to_string());
        let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(chain.as_bytes()).collect();
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes()).map_err(|e| other(&e))?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|e| other(&e))?
            .with_no_client_auth()
            .with_single_cert(chain.map_err(|e| other(&e))?, key)
            .map_err(|e| other(&e))?;
        let shared = Arc::new(Shared {
            authority: Mutex::new(authority),
            config: Arc::new(config),
            http_port,
            tls_port,
            stop: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
        });
        let accept_thread = {
            let shared = Arc::clone(&shared);
            std::thread::spawn(move || accept(&shared, &listener))
        };
        Ok(Server {
            shared,
            address,
            accept_thread: Some(accept_thread),
        })
    }

    /// Locks the authority, to inspect it or to inject faults.
    pub fn authority(&self) -> MutexGuard<'_, Authority> {
        self.shared.authority()
    }

    /// Root certificate of the HTTPS server and of the issued certificates, in PEM.
    pub fn root(&self) -> String {
        self.authority().issuer.root().to_string()
    }

    /// URL of the ACME directory.
    pub fn directory(&self) -> String {
        self.authority().directory()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
        // The connection unblocks the accept thread; it fails if the thread has ended.
        drop(TcpStream::connect(self.address));
        self.accept_thread.take().map(std::thread::JoinHandle::join);
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener) {
    for socket in listener.incoming() {
        if shared.stop.load(Ordering::SeqCst) {
            return;
        }
        let Ok(socket) = socket else { continue };
        if shared.connections.fetch_add(1, Ordering::SeqCst) >= MAX_CONNECTIONS {
            shared.connections.fetch_sub(1, Ordering::SeqCst);
            continue;
        }
        let shared = Arc::clone(shared);
        std::thread::spawn(move || {
            // Errors of one connection do not concern the server.
            let _ = serve_connection(&shared, socket);
            shared.connections.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

fn serve_connection(shared: &Arc<Shared>, socket: TcpStream) -> io::Result<()> {
    if shared.authority().faults.vanished {
        return Ok(());
    }
    socket.set_read_timeout(Some(IO_TIMEOUT))?;
    socket.set_write_timeout(Some(IO_TIMEOUT))?;
    socket.set_nodelay(true)?;
    let connection = ServerConnection::new(Arc::clone(&shared.config)).map_err(io::Error::other)?;
    let mut stream = StreamOwned::new(connection, socket);
    let request = read_request(&mut stream)?;
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    let (response, checks, faults, now) = {
        let mut authority = shared.authority();
        let response = if request.path == "/manage" && request.method == "POST" {
            manage(&mut authority, &request.body)
        } else {
            authority.handle(wall, &request)
        };
        let now = wall.saturating_add_signed(authority.clock);
        (response, authority.checks(), authority.faults.clone(), now)
    };
    for check in checks {
        let shared = Arc::clone(shared);
        std::thread::spawn(move || {
            let result = validate(&check, shared.http_port, shared.tls_port);
            shared.authority().checked(&check, result);
        });
    }
    write_response(
        &mut stream,
        &response,
        &faults,
        now,
        request.method == "HEAD",
    )?;
    stream.conn.send_close_notify();
    stream.flush()
}

/// Processes a `/manage` request, whose body is a JSON object. `faults` replaces all injected [`Faults`]; `clock`, `lifetime` (in
/// seconds) and `window` keep their values if they are absent; `forget_accounts` deletes all accounts.
fn manage(authority: &mut Authority, body: &[u8]) -> Response {
    #[derive(serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    struct Command {
        #[serde(default)]
        faults: Faults,
        clock: Option<i64>,
        lifetime: Option<u64>,
        window: Option<(u64, u64)>,
        #[serde(default)]
        forget_accounts: bool,
    }
    let command: Command = match serde_json::from_slice(body) {
        Ok(command) => command,
        Err(e) => {
            return Response {
                status: 400,
                fields: vec![],
                body: format!("{e}\n").into_bytes(),
            }
        }
    };
    authority.faults = command.faults;
    authority.clock = command.clock.unwrap_or(authority.clock);
    authority.lifetime = command.lifetime.unwrap_or(authority.lifetime);
    authority.window = command.window.or(authority.window);
    if command.forget_accounts {
        authority.forget_accounts();
    }
    Response {
        status: 200,
        fields: vec![],
        body: b"done\n".to_vec(),
    }
}

fn read_request(stream: &mut impl Read) -> io::Result<Request> {
    let (mut input, mut chunk) = (Vec::new(), [0; 4096]);
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    loop {
        let n = stream.read(&mut chunk)?;
        if n == 0 || input.len() + n > MAX_REQUEST_BYTES {
            return Err(invalid());
        }
        input.extend_from_slice(&chunk[..n]);
        let mut fields = [httparse::EMPTY_HEADER; 64];
        let mut head = httparse::Request::new(&mut fields);
        let httparse::Status::Complete(used) = head.parse(&input).map_err(|_| invalid())? else {
            continue;
        };
        let field = |name: &str| {
            let found = head
                .headers
                .iter()
                .find(|f| f.name.eq_ignore_ascii_case(name));
            found
                .map(|f| String::from_utf8_lossy(f.value).trim().to_string())
                .unwrap_or_default()
        };
        let length = field("content-length");
        let length = if length.is_empty() {
            0
        } else {
            length.parse().map_err(|_| invalid())?
        };
        if input.len() - used >= length {
            return Ok(Request {
                method: head.method.unwrap_or("").into(),
                path: head.path.unwrap_or("").into(),
                content_type: field("content-type"),
                body: input[used..used + length].to_vec(),
            });
        }
    }
}

fn write_response(
    stream: &mut impl Write,
    response: &Response,
    faults: &Faults,
    now: u64,
    is_head: bool,
) -> io::Result<()> {
    let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(now));
    let mut head = format!(
        "HTTP/1.1 {} -\r\nDate: {date}\r\nConnection: close\r\n",
        response.status
    );
    for (name, value) in &response.fields {
        head += &format!("{name}: {value}\r\n");
    }
    if faults.endless {
        stream.write_all(format!("{head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        let chunk = [b"1000\r\n".to_vec(), vec![b' '; 4096], b"\r\n".to_vec()].concat();
        return (0..MAX_ENDLESS_BYTES / 4096).try_for_each(|_| stream.write_all(&chunk));
    }
    head += &format!("Content-Length: {}\r\n\r\n", response.body.len());
    let mut bytes = head.into_bytes();
    if !is_head {
        bytes.extend(&response.body);
    }
    if faults.cut {
        bytes.truncate(bytes.len() * 2 / 3);
    }
    if faults.slow_ms > 0 {
        for byte in bytes {
            stream.write_all(&[byte])?;
            stream.flush()?;
            std::thread::sleep(Duration::from_millis(faults.slow_ms));
        }
        return Ok(());
    }
    stream.write_all(&bytes)
}
