//! Clients of the fronts: one thread for each connection, with one request at a time, recorded in the history.
use crate::client_frames::request_frame;
use crate::history::{History, Observation};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const MAX_FRAME_BYTES: usize = 1 << 18;

/// How long a client still waits for a response after its timeout, so that late responses are recorded.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Load that the clients put on the fronts.
#[derive(Clone, Debug)]
pub struct ClientLoad {
    /// Class of read requests; nine in ten requests are reads.
    pub read_class: String,
    /// Class of write requests, which must not be executed twice.
    pub write_class: String,
    /// Number of different objects.
    pub objects: u64,
    /// Connections to each front, each with one request at a time.
    pub connections_per_front: usize,
    /// Pause after each response.
    pub pause: Duration,
    /// Timeout that a client sends with its request.
    pub timeout: Duration,
}

/// Clients of all fronts, running until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// How clients may use a front.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrontAccess {
    /// The front accepts connections at this address.
    Open(SocketAddr),
    /// Open connections to this address stay in use, new ones are not made.
    Draining(SocketAddr),
    /// The process is not running.
    Closed,
}

impl FrontAccess {
    /// Address for new connections.
    fn connect_to(self) -> Option<SocketAddr> {
        match self {
            FrontAccess::Open(address) => Some(address),
            FrontAccess::Draining(_) | FrontAccess::Closed => None,
        }
    }

    /// Whether connections to this address stay in use.
    fn keeps(self, used: SocketAddr) -> bool {
        matches!(self, FrontAccess::Open(address) | FrontAccess::Draining(address) if address == used)
    }
}

/// Access to each front, by number.
pub type Addresses = Arc<Mutex<Vec<FrontAccess>>>;

impl Clients {
    /// Starts the clients of each front.
    pub fn start(history: &History, addresses: &Addresses, load: &ClientLoad, seed: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let count = addresses.lock().expect("lock poisoned").len();
        let clients = (0..count)
            .flat_map(|front| (0..load.connections_per_front).map(move |number| (front, number)));
        let threads = clients.map(|(front, number)| {
            let (history, addresses, load) = (history.clone(), Arc::clone(addresses), load.clone());
            let stop = Arc::clone(&stop);
            let rng = (seed
                ^ ((number * count + front) as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
                | 1;
            thread::spawn(move || {
                Client {
                    front,
                    number,
                    rng,
                    stream: 0,
                    load,
                }
                .run(&history, &addresses, &stop)
            })
        });
        Clients {
            threads: threads.collect(),
            stop,
        }
    }

    /// Sends no new requests and waits until open requests are answered or have timed out.
    pub fn stop(mut self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads.drain(..) {
            thread.join().expect("client thread panicked");
        }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

struct Client {
    front: usize,
    /// Number of the client among those of its front.
    number: usize,
    rng: u64,
    stream: u32,
    load: ClientLoad,
}

impl Client {
    /// Transaction id of a request, composed of front, client and stream.
    fn txn(&self, stream: u32) -> u64 {
        ((self.front as u64 + 1) << 40) | ((self.number as u64) << 32) | u64::from(stream)
    }

    fn next_random(&mut self) -> u64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        self.rng
    }

    fn run(mut self, history: &History, addresses: &Addresses, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let access = addresses.lock().expect("lock poisoned")[self.front];
            let connected = access
                .connect_to()
                .and_then(|address| Some((address, TcpStream::connect(address).ok()?)));
            match connected {
                Some((address, socket)) => {
                    // Disconnect from a process that was killed: a request sent there would reach nobody.
                    let front = self.front;
                    let same_process =
                        || addresses.lock().expect("lock poisoned")[front].keeps(address);
                    while !stop.load(Ordering::SeqCst)
                        && same_process()
                        && self.request(&socket, history).is_ok()
                    {
                        thread::sleep(self.load.pause);
                    }
                }
                None => thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Sends a request and waits for its response. After an error the connection must not be used again.
    fn request(&mut self, mut socket: &TcpStream, history: &History) -> std::io::Result<()> {
        self.stream += 1;
        let (front, stream) = (self.front, self.stream);
        let txn = self.txn(stream);
        let write = self.next_random().is_multiple_of(10);
        let (class, item) = (
            if write {
                &self.load.write_class
            } else {
                &self.load.read_class
            }
            .clone(),
            self.next_random() % self.load.objects,
        );
        let (id, item) = (format!("{txn:016x}"), format!("{item:016x}"));
        let limit = self.load.timeout.as_millis().to_string();
        let fields = [
            ("verb", class.as_str()),
            ("txn", &id),
            ("limit", &limit),
            ("item", &item),
        ];
        let body: &[u8] = if write { b"keys" } else { b"" };
        let frame = request_frame(stream, &fields, body);
        history.record(Observation::ClientRequest { front, txn });
        let until = Instant::now() + self.load.timeout + LATE_RESPONSE_TIMEOUT;
        let done = socket
            .write_all(&frame)
            .and_then(|()| self.receive(socket, history, txn, until));
        if done.is_err() {
            // The connection was closed or the response did not arrive in time.
            history.record(Observation::ClientUnanswered(front, txn));
        }
        done
    }

    fn receive(
        &self,
        mut socket: &TcpStream,
        history: &History,
        txn: u64,
        until: Instant,
    ) -> std::io::Result<()> {
        loop {
            let left = until
                .saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1));
            socket.set_read_timeout(Some(left))?;
            let mut length = [0; 4];
            socket.read_exact(&mut length)?;
            let length = u32::from_be_bytes(length) as usize;
            if !(5..=MAX_FRAME_BYTES).contains(&length) {
                return Err(ErrorKind::InvalidData.into());
            }
            let mut frame = vec![0; length];
            socket.read_exact(&mut frame)?;
            if frame[0] != 11 {
                // Another message of the front; it asks the client to reconnect, which takes effect after this request.
                continue;
            }
            let stream = u32::from_be_bytes([frame[1], frame[2], frame[3], frame[4]]);
            let code = frame.get(5).copied().unwrap_or(0);
            let response_txn = self.txn(stream);
            history.record(Observation::ClientResponse(self.front, response_txn, code));
            if response_txn == txn {
                return Ok(());
            }
        }
    }
}
