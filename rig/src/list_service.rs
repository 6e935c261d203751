//! The list service as a stand-in: what it does with those that call is the test's to say, from one moment to the next.
use crate::history::{History, Observation};
use crate::list_event::Event;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often the service looks whether the test has said something else.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How often it sends an empty frame.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause between two bytes of one that answers by the byte.
const BYTE_INTERVAL: Duration = Duration::from_millis(30);
/// The number of the first event that the service tells; a front's configuration holds the one before.
pub const FIRST_EVENT: u64 = 2;

/// What the service does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceMode {
    /// Nobody listens.
    Down,
    /// It accepts, and closes at once.
    Close,
    /// It accepts, and says nothing.
    Silent,
    /// It sends what nobody can read.
    Garbage,
    /// It sends part of an event and closes.
    Truncate,
    /// It serves by the byte: an event takes seconds.
    ByteByByte,
    /// It serves: what is new, and once a second that nothing is.
    Serve,
}

/// Events, and under which addresses each front's fronts reach the nodes.
type Published = Arc<Mutex<(Vec<Event>, Vec<Vec<SocketAddr>>)>>;

/// A list service that the test holds in its hand. Connections that were served are closed when it stops serving. Each front
/// calls at a front of its own, so that the history says who was told.
pub struct ListService {
    /// Where it listens: the first front.
    pub address: SocketAddr,
    /// All addresses.
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
    /// Begins in a mode, with one front for all.
    pub fn new(history: &History, mode: ServiceMode) -> Self {
        Self::with_addresses(history, mode, vec![Vec::new()])
    }

    /// Begins in a mode, with a front for each of these; who calls there reaches the nodes at those addresses.
    pub fn with_addresses(
        history: &History,
        mode: ServiceMode,
        node_addresses: Vec<Vec<SocketAddr>>,
    ) -> Self {
        let listeners: Vec<_> = node_addresses
            .iter()
            .map(|_| TcpListener::bind(crate::unique_address()).expect("a port"))
            .collect();
        let addresses: Vec<_> = listeners
            .iter()
            .map(|l| l.local_addr().expect("bound"))
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

    /// From now on it does this.
    pub fn set(&self, mode: ServiceMode) {
        *self.shared.mode.lock().expect("no holder panics") = mode;
        self.shared.history.record(Observation::ModeChanged);
    }

    /// Has one more event to tell; its number.
    pub fn publish(&self, event: Event) -> u64 {
        let events = &mut self.shared.published.lock().expect("no holder panics").0;
        events.push(event);
        FIRST_EVENT + events.len() as u64 - 1
    }

    /// The service begins anew: it holds no event, and numbers begin with the first. Who is connected is closed with
    /// the next change of mode.
    pub fn clear_events(&self) {
        self.shared
            .published
            .lock()
            .expect("no holder panics")
            .0
            .clear();
    }

    /// All that it has told or would tell, from its first event on.
    pub fn events(&self) -> Vec<Event> {
        self.shared
            .published
            .lock()
            .expect("no holder panics")
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
        let now = *shared.mode.lock().expect("no holder panics");
        if now == ServiceMode::Down {
            listeners.iter_mut().for_each(|listener| *listener = None);
            thread::sleep(POLL_INTERVAL / 4);
            continue;
        }
        let mut accepted = false;
        for (front, listener) in listeners.iter_mut().enumerate() {
            let Some(socket) = listener.as_ref() else {
                // The port is kept free of others by having been this service's: it is tried for until it is had again.
                *listener = TcpListener::bind(addresses[front]).ok();
                continue;
            };
            socket.set_nonblocking(true).expect("a socket");
            let Ok((connection, _)) = socket.accept() else {
                continue;
            };
            accepted = true;
            shared.history.record(Observation::Call);
            let shared = shared.clone();
            thread::spawn(move || {
                // A front that goes away ends its connection: that is no fault of the service.
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
        !shared.stop.load(Ordering::SeqCst)
            && *shared.mode.lock().expect("no holder panics") == mode
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
            let published = shared.published.lock().expect("no holder panics");
            let index = (last + 1).saturating_sub(FIRST_EVENT) as usize;
            let number = FIRST_EVENT + index as u64;
            published
                .0
                .get(index)
                .map(|event| (number, event.frame(number, &published.1[front])))
        };
        if let Some((number, frame)) = next {
            // Noted before the front can know it: what it may do from then on it does later in the history.
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
            // It names its own last event, whatever the front holds.
            let last_event =
                FIRST_EVENT - 1 + shared.published.lock().expect("no holder panics").0.len() as u64;
            socket
                .write_all(&[&9u32.to_be_bytes()[..], &last_event.to_be_bytes(), &[0]].concat())?;
            due = Instant::now() + HEARTBEAT_INTERVAL;
        }
        // A front says nothing more: what can be read is its end.
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
