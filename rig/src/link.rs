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
const TURN: Duration = Duration::from_millis(5);
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
struct Ways {
    /// From who called to who was called.
    there: Transmission,
    back: Transmission,
}

/// A link to one address. Who is to use it is given its own address in that one's place.
pub struct Link {
    /// Where it is called.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    to: SocketAddr,
    ways: Mutex<Ways>,
    /// Nobody listens.
    refuses: AtomicBool,
    over: AtomicBool,
    /// Connections of an older age are reset.
    age: AtomicU64,
}

impl Link {
    /// A link that passes all to `to`.
    pub fn new(to: SocketAddr) -> Self {
        let listener = TcpListener::bind(crate::unique_address()).expect("a port");
        let address = listener.local_addr().expect("bound");
        let ways = Mutex::new(Ways {
            there: Transmission::Pass,
            back: Transmission::Pass,
        });
        let (refuses, over, age) = (
            AtomicBool::new(false),
            AtomicBool::new(false),
            AtomicU64::new(0),
        );
        let shared = Arc::new(Shared {
            to,
            ways,
            refuses,
            over,
            age,
        });
        let own = Arc::clone(&shared);
        thread::spawn(move || listen(listener, address, &own));
        Link { address, shared }
    }

    /// From now on each direction does this: `there` from who called to who was called, `back` the other way.
    pub fn set(&self, there: Transmission, back: Transmission) {
        *self.shared.ways.lock().expect("no holder panics") = Ways { there, back };
    }

    /// Both directions pass again, and calls are accepted.
    pub fn heal(&self) {
        self.set(Transmission::Pass, Transmission::Pass);
        self.refuse(false);
    }

    /// Resets all connections that are open.
    pub fn reset(&self) {
        self.shared.age.fetch_add(1, Ordering::SeqCst);
    }

    /// Calls are refused from now on, or no longer. Open connections stay.
    pub fn refuse(&self, refuses: bool) {
        self.shared.refuses.store(refuses, Ordering::SeqCst);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::SeqCst);
    }
}

fn listen(first: TcpListener, address: SocketAddr, shared: &Arc<Shared>) {
    let mut listener = Some(first);
    while !shared.over.load(Ordering::SeqCst) {
        if shared.refuses.load(Ordering::SeqCst) {
            listener = None;
            thread::sleep(TURN);
            continue;
        }
        let Some(here) = listener.as_ref() else {
            listener = TcpListener::bind(address).ok();
            continue;
        };
        here.set_nonblocking(true).expect("a socket");
        match here.accept() {
            Ok((caller, _)) => {
                let shared = Arc::clone(shared);
                thread::spawn(move || relay(caller, &shared));
            }
            Err(_) => thread::sleep(TURN),
        }
    }
}

/// Relays one connection until it ends on either side, or is reset.
fn relay(caller: TcpStream, shared: &Arc<Shared>) {
    // Nobody there: the caller's connection ends, as it would have without a link.
    let Ok(called) = TcpStream::connect(shared.to) else {
        return reset(&caller);
    };
    let age = shared.age.load(Ordering::SeqCst);
    let pump = |from: &TcpStream, to: &TcpStream, there: bool| {
        let (Ok(from), Ok(to), shared) = (from.try_clone(), to.try_clone(), Arc::clone(shared))
        else {
            return;
        };
        thread::spawn(move || {
            if pass(&from, &to, there, age, &shared).is_err() {
                reset(&from);
                reset(&to);
            }
        });
    };
    pump(&caller, &called, true);
    pump(&called, &caller, false);
}

fn reset(socket: &TcpStream) {
    // It may be gone already.
    let _ = socket2::SockRef::from(socket).set_linger(Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

/// Passes bytes one way. An error: the connection is to be reset.
fn pass(
    mut from: &TcpStream,
    mut to: &TcpStream,
    there: bool,
    age: u64,
    shared: &Shared,
) -> io::Result<()> {
    from.set_nonblocking(false)?;
    to.set_nonblocking(false)?;
    from.set_read_timeout(Some(TURN))?;
    let mut chunk = vec![0; CHUNK];
    let goes_on = || {
        let over = shared.over.load(Ordering::SeqCst) || shared.age.load(Ordering::SeqCst) != age;
        if over {
            Err(io::Error::from(io::ErrorKind::ConnectionReset))
        } else {
            Ok(())
        }
    };
    let way = || {
        let ways = *shared.ways.lock().expect("no holder panics");
        if there {
            ways.there
        } else {
            ways.back
        }
    };
    loop {
        goes_on()?;
        let now = way();
        let most = match now {
            Transmission::Cut => {
                thread::sleep(TURN);
                continue;
            }
            Transmission::Throttle(rate) => {
                ((rate as f64 * TURN.as_secs_f64()) as usize).clamp(1, CHUNK)
            }
            Transmission::Pass | Transmission::Delay(_) => CHUNK,
        };
        let n = match from.read(&mut chunk[..most]) {
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
            match way() {
                Transmission::Cut => thread::sleep(TURN),
                now => break now,
            }
            goes_on()?;
        };
        match now {
            Transmission::Delay(span) => {
                // What comes behind waits as well, so all of it is late by this at least.
                let due = Instant::now() + span;
                while Instant::now() < due && shared.age.load(Ordering::SeqCst) == age {
                    thread::sleep(TURN);
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
