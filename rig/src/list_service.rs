//! Stand-in for the list service, whose behaviour the test changes at run time.
use crate::history::{History, Observation};
use crate::list_event::Event;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often the service checks whether the test has changed its mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the empty frames that keep a connection alive.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two bytes in [`ServiceMode::ByteByByte`].
const BYTE_INTERVAL: Duration = Duration::from_millis(30);
/// Number of the first published event; the configuration of a front contains the event before it.
pub const FIRST_EVENT: u64 = 2;

/// How the service treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceMode {
    /// Has no listener.
    Down,
    /// Accepts connections and closes them immediately.
    Close,
    /// Accepts connections and sends nothing.
    Silent,
    /// Sends undecodable bytes.
    Garbage,
    /// Sends a part of an event and closes the connection.
    Truncate,
    /// Serves events one byte at a time, so that an event takes seconds.
    ByteByByte,
    /// Serves events, and an empty frame each second.
    Serve,
}

/// Published events, and for each front the addresses at which it reaches the nodes.
type Published = Arc<Mutex<(Vec<Event>, Vec<Vec<SocketAddr>>)>>;

/// Stand-in for the list service. Subscribed connections are closed when its mode changes. Each front connects to an address
/// of its own, so that the history names the receiver of an event.
pub struct ListService {
    /// Listening address for the first front, or for all if there is one address only.
    pub address: SocketAddr,
    /// Listening address for each front.
    pub addresses: Vec<SocketAddr>,
    shared: Shared,
}

#[derive(Clone)]
struct Shared {
    mode: Arc<Mutex<ServiceMode>>,
    stop: Arc<AtomicBool>,
    published: Published,
    history: History,
}

impl ListService {
    /// Starts the service with one address for all fronts.
    pub fn new(history: &History, mode: ServiceMode) -> Self {
        Self::with_addresses(history, mode, vec![Vec::new()])
    }

    /// Starts the service with one address for each entry of `node_addresses`, which holds the nodes' addresses for that front.
    pub fn with_addresses(
        history: &History,
        mode: ServiceMode,
        node_addresses: Vec<Vec<SocketAddr>>,
    ) -> Self {
        let listeners: Vec<_> = node_addresses
            .iter()
            .map(|_| TcpListener::bind(crate::unique_address()).expect("bind a loopback port"))
            .collect();
        let addresses: Vec<_> = listeners
            .iter()
            .map(|l| l.local_addr().expect("address of a bound listener"))
            .collect();
        let (mode, stop) = (Arc::new(Mutex::new(mode)), Arc::new(AtomicBool::new(false)));
        let published = Arc::new(Mutex::new((Vec::new(), node_addresses)));
        let shared = Shared {
            mode,
            stop,
            published,
            history: history.clone(),
        };
        let (own, at) = (shared.clone(), addresses.clone());
        thread::spawn(move || listen(listeners, &at, &own));
        ListService {
            address: addresses[0],
            addresses,
            shared,
        }
    }

    /// Changes the mode and records that.
    pub fn set(&self, mode: ServiceMode) {
        *self.shared.mode.lock().expect("lock poisoned") = mode;
        self.shared.history.record(Observation::ModeChanged);
    }

    /// Publishes an event and returns its number.
    pub fn publish(&self, event: Event) -> u64 {
        let events = &mut self.shared.published.lock().expect("lock poisoned").0;
        events.push(event);
        FIRST_EVENT + events.len() as u64 - 1
    }

    /// Removes all events, so that numbers start again with the first. Open connections end with the next change of mode.
    pub fn clear_events(&self) {
        self.shared
            .published
            .lock()
            .expect("lock poisoned")
            .0
            .clear();
    }

    /// All published events, starting with the first.
    pub fn events(&self) -> Vec<Event> {
        self.shared
            .published
            .lock()
            .expect("lock poisoned")
            .0
            .clone()
    }
}

impl Drop for ListService {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
    }
}

fn listen(first: Vec<TcpListener>, addresses: &[SocketAddr], shared: &Shared) {
    let mut listeners: Vec<_> = first.into_iter().map(Some).collect();
    while !shared.stop.load(Ordering::SeqCst) {
        let now = *shared.mode.lock().expect("lock poisoned");
        if now == ServiceMode::Down {
            listeners.iter_mut().for_each(|listener| *listener = None);
            thread::sleep(POLL_INTERVAL / 4);
            continue;
        }
        let mut accepted = false;
        for (front, listener) in listeners.iter_mut().enumerate() {
            let Some(socket) = listener.as_ref() else {
                // Another socket may use the port for a short time; binding is repeated until it succeeds.
                *listener = TcpListener::bind(addresses[front]).ok();
                continue;
            };
            socket
                .set_nonblocking(true)
                .expect("set the listener non-blocking");
            let Ok((connection, _)) = socket.accept() else {
                continue;
            };
            accepted = true;
            shared.history.record(Observation::Call);
            let shared = shared.clone();
            thread::spawn(move || {
                // An error means that the front closed its connection.
                let _ = serve(connection, front, now, &shared);
            });
        }
        if !accepted {
            thread::sleep(Duration::from_millis(2));
        }
    }
}

fn serve(
    mut socket: TcpStream,
    front: usize,
    mode: ServiceMode,
    shared: &Shared,
) -> std::io::Result<()> {
    socket.set_nonblocking(false)?;
    let unchanged = || {
        !shared.stop.load(Ordering::SeqCst) && *shared.mode.lock().expect("lock poisoned") == mode
    };
    match mode {
        ServiceMode::Down | ServiceMode::Close => Ok(()),
        ServiceMode::Silent => {
            while unchanged() {
                thread::sleep(POLL_INTERVAL);
            }
            Ok(())
        }
        ServiceMode::Garbage => socket.write_all(&[0xff; 64]),
        ServiceMode::Truncate => socket.write_all(&[0, 0, 0, 40, 0, 0]),
        ServiceMode::ByteByByte | ServiceMode::Serve => {
            let mut last = [0; 8];
            socket.read_exact(&mut last)?;
            shared
                .history
                .record(Observation::Subscribed(u64::from_be_bytes(last)));
            let done = send_events(
                &socket,
                front,
                u64::from_be_bytes(last),
                mode == ServiceMode::ByteByByte,
                &unchanged,
                shared,
            );
            shared.history.record(Observation::SubscriptionEnded);
            done
        }
    }
}

fn send_events(
    mut socket: &TcpStream,
    front: usize,
    mut last: u64,
    byte_by_byte: bool,
    unchanged: &dyn Fn() -> bool,
    shared: &Shared,
) -> std::io::Result<()> {
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    let mut due = Instant::now();
    while unchanged() {
        let next = {
            let published = shared.published.lock().expect("lock poisoned");
            let index = (last + 1).saturating_sub(FIRST_EVENT) as usize;
            let number = FIRST_EVENT + index as u64;
            published
                .0
                .get(index)
                .map(|event| (number, event.frame(number, &published.1[front])))
        };
        if let Some((number, frame)) = next {
            // Recorded before the last byte is sent: whatever the front does because of the event is recorded later.
            let (head, end) = frame.split_at(frame.len() - 1);
            if byte_by_byte {
                for byte in head {
                    socket.write_all(&[*byte])?;
                    thread::sleep(BYTE_INTERVAL);
                    if !unchanged() {
                        return Ok(());
                    }
                }
            } else {
                socket.write_all(head)?;
            }
            shared.history.record(Observation::EventSent(front, number));
            socket.write_all(end)?;
            last = number;
            continue;
        }
        if Instant::now() >= due {
            // The frame names the last event of the service, which the front may not have received yet.
            let last_event =
                FIRST_EVENT - 1 + shared.published.lock().expect("lock poisoned").0.len() as u64;
            socket
                .write_all(&[&9u32.to_be_bytes()[..], &last_event.to_be_bytes(), &[0]].concat())?;
            due = Instant::now() + HEARTBEAT_INTERVAL;
        }
        // A front sends nothing after its first message; a read detects the end of the connection.
        match socket.read(&mut [0; 8]) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
