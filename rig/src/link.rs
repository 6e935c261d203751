//! Network link of a test: a TCP relay whose two directions are controlled separately.
//!
//! A cut link holds the bytes of open connections and delivers them in order once it is healed, like retransmissions after a
//! network outage. New connections through a cut link are accepted and transfer nothing; while the link refuses connections it has
//! no listener.
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often a relay checks for a new setting.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Size of a read.
const CHUNK_BYTES: usize = 16 * 1024;

/// How one direction of a link transmits bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transmission {
    /// Passes bytes without delay.
    Pass,
    /// Passes nothing and keeps connections open.
    Cut,
    /// Delays bytes by this duration.
    Delay(Duration),
    /// Passes this many bytes per second.
    Throttle(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Directions {
    /// From the connecting to the accepting side.
    forward: Transmission,
    backward: Transmission,
}

/// Link to one address. The side that uses it connects to the link's address instead.
pub struct Link {
    /// Address of the link itself.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    to: SocketAddr,
    directions: Mutex<Directions>,
    /// Whether the link has no listener.
    refusing: AtomicBool,
    stop: AtomicBool,
    /// Incremented by a reset; connections of an earlier generation are reset.
    generation: AtomicU64,
}

impl Link {
    /// Creates a link to `to` that passes all bytes.
    pub fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(crate::unique_address()).expect("bind a loopback port");
        let address = listener.local_addr().expect("address of a bound listener");
        let directions = Mutex::new(Directions {
            forward: Transmission::Pass,
            backward: Transmission::Pass,
        });
        let (refusing, stop, generation) = (
            AtomicBool::new(false),
            AtomicBool::new(false),
            AtomicU64::new(0),
        );
        let shared = Arc::new(Shared {
            to,
            directions,
            refusing,
            stop,
            generation,
        });
        let thread_shared = Arc::clone(&shared);
        thread::spawn(move || listen(listener, address, &thread_shared));
        Link { address, shared }
    }

    /// Sets both directions: `forward` is from the connecting to the accepting side, `backward` the opposite one.
    pub fn set(&self, forward: Transmission, backward: Transmission) {
        *self.shared.directions.lock().expect("lock poisoned") = Directions { forward, backward };
    }

    /// Restores both directions and accepts connections.
    pub fn heal(&self) {
        self.set(Transmission::Pass, Transmission::Pass);
        self.refuse(false);
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Sets whether new connections are refused. Open connections are unaffected.
    pub fn refuse(&self, refusing: bool) {
        self.shared.refusing.store(refusing, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::SeqCst);
    }
}

fn listen(first: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(first);
    while !shared.stop.load(Ordering::SeqCst) {
        if shared.refusing.load(Ordering::SeqCst) {
            listener = None;
            thread::sleep(POLL_INTERVAL);
            continue;
        }
        let Some(socket) = listener.as_ref() else {
            listener = TcpListener::bind(address).ok();
            continue;
        };
        socket
            .set_nonblocking(true)
            .expect("set the listener non-blocking");
        match socket.accept() {
            Ok((caller, _)) => {
                let shared = Arc::clone(shared);
                thread::spawn(move || relay(caller, &shared));
            }
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Relays one connection until either side closes it or the link resets it.
fn relay(caller: TcpStream, shared: &Arc<Shared>) {
    // The target does not listen: end the connection, as without a link.
    let Ok(called) = TcpStream::connect(shared.to) else {
        return reset(&caller);
    };
    let generation = shared.generation.load(Ordering::SeqCst);
    let spawn_direction = |from: &TcpStream, to: &TcpStream, forward: bool| {
        let (Ok(from), Ok(to), shared) = (from.try_clone(), to.try_clone(), Arc::clone(shared))
        else {
            return;
        };
        thread::spawn(move || {
            if relay_direction(&from, &to, forward, generation, &shared).is_err() {
                reset(&from);
                reset(&to);
            }
        });
    };
    spawn_direction(&caller, &called, true);
    spawn_direction(&called, &caller, false);
}

fn reset(socket: &TcpStream) {
    // The other side may have closed it already.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

/// Relays one direction of a connection. An error means that the connection has to be reset.
fn relay_direction(
    mut from: &TcpStream,
    mut to: &TcpStream,
    forward: bool,
    generation: u64,
    shared: &Shared,
) -> io::Result<()> {
    from.set_nonblocking(false)?;
    to.set_nonblocking(false)?;
    from.set_read_timeout(Some(POLL_INTERVAL))?;
    let mut chunk = vec![0; CHUNK_BYTES];
    let check_open = || {
        let stop = shared.stop.load(Ordering::SeqCst)
            || shared.generation.load(Ordering::SeqCst) != generation;
        if stop {
            Err(io::Error::from(io::ErrorKind::ConnectionReset))
        } else {
            Ok(())
        }
    };
    let transmission = || {
        let directions = *shared.directions.lock().expect("lock poisoned");
        if forward {
            directions.forward
        } else {
            directions.backward
        }
    };
    loop {
        check_open()?;
        let now = transmission();
        let max_bytes = match now {
            Transmission::Cut => {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            Transmission::Throttle(rate) => {
                ((rate as f64 * POLL_INTERVAL.as_secs_f64()) as usize).clamp(1, CHUNK_BYTES)
            }
            Transmission::Pass | Transmission::Delay(_) => CHUNK_BYTES,
        };
        let n = match from.read(&mut chunk[..max_bytes]) {
            Ok(0) => return to.shutdown(Shutdown::Write),
            Ok(n) => n,
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) =>
            {
                continue
            }
            Err(e) => return Err(e),
        };
        // The setting may have changed during the read; the one that is in effect now counts. Bytes read before a cut are held.
        let now = loop {
            match transmission() {
                Transmission::Cut => thread::sleep(POLL_INTERVAL),
                now => break now,
            }
            check_open()?;
        };
        match now {
            Transmission::Delay(delay) => {
                // Later bytes wait behind these, so the delay is a lower bound for all of them.
                let due = Instant::now() + delay;
                while Instant::now() < due && shared.generation.load(Ordering::SeqCst) == generation
                {
                    thread::sleep(POLL_INTERVAL);
                }
            }
            Transmission::Throttle(rate) => {
                thread::sleep(Duration::from_secs_f64(n as f64 / rate.max(1) as f64))
            }
            Transmission::Pass | Transmission::Cut => {}
        }
        to.write_all(&chunk[..n])?;
    }
}

#[cfg(test)]
mod tests;
