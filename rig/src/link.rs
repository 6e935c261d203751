//! A link between two processes under the test's hand: a relay of TCP connections whose two directions are held apart.
//!
//! What a network cut does to an open connection is done here by holding its bytes: they come later, in order, once the link
//! heals, as retransmitted ones do. A connection that is begun while the link is cut comes up and says nothing, since the
//! system accepts it for the relay; one that is refused meets no listener.
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How often a relay looks whether the test has said something else.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Bytes that one read takes at most.
const CHUNK: usize = 16 * 1024;

/// What one direction of a link does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transmission {
    /// Bytes pass as they come.
    Pass,
    /// Nothing passes, and nobody is told.
    Cut,
    /// Bytes come this much later.
    Delay(Duration),
    /// So many bytes a second pass.
    Throttle(u64),
}

/// The two directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Directions {
    /// From who called to who was called.
    forward: Transmission,
    backward: Transmission,
}

/// A link to one address. Who is to use it is given its own address in that one's place.
pub struct Link {
    /// Where it is called.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    to: SocketAddr,
    directions: Mutex<Directions>,
    /// Nobody listens.
    refusing: AtomicBool,
    stop: AtomicBool,
    /// Connections of an older age are reset.
    generation: AtomicU64,
}

impl Link {
    /// A link that passes all to `to`.
    pub fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(crate::unique_address()).expect("a port");
        let address = listener.local_addr().expect("bound");
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

    /// From now on each direction does this: `there` from who called to who was called, `back` the other way.
    pub fn set(&self, forward: Transmission, backward: Transmission) {
        *self.shared.directions.lock().expect("no holder panics") =
            Directions { forward, backward };
    }

    /// Both directions pass again, and calls are accepted.
    pub fn heal(&self) {
        self.set(Transmission::Pass, Transmission::Pass);
        self.refuse(false);
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Calls are refused from now on, or no longer. Open connections stay.
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
        socket.set_nonblocking(true).expect("a socket");
        match socket.accept() {
            Ok((caller, _)) => {
                let shared = Arc::clone(shared);
                thread::spawn(move || relay(caller, &shared));
            }
            Err(_) => thread::sleep(POLL_INTERVAL),
        }
    }
}

/// Relays one connection until it ends on either side, or is reset.
fn relay(caller: TcpStream, shared: &Arc<Shared>) {
    // Nobody there: the caller's connection ends, as it would have without a link.
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
    // It may be gone already.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

/// Passes bytes one way. An error: the connection is to be reset.
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
    let mut chunk = vec![0; CHUNK];
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
        let directions = *shared.directions.lock().expect("no holder panics");
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
                ((rate as f64 * POLL_INTERVAL.as_secs_f64()) as usize).clamp(1, CHUNK)
            }
            Transmission::Pass | Transmission::Delay(_) => CHUNK,
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
        // The test may have said something else while this waited for bytes: what counts is what the link does once they are
        // here. What is not passed when it is cut is held.
        let now = loop {
            match transmission() {
                Transmission::Cut => thread::sleep(POLL_INTERVAL),
                now => break now,
            }
            check_open()?;
        };
        match now {
            Transmission::Delay(delay) => {
                // What comes behind waits as well, so all of it is late by this at least.
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
