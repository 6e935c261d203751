//! Signal handling: signals as readable sockets on the event loop, and signals received during startup.
use crate::transport::{Reactor, Registered};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Records signals received during startup. Opens no descriptor, since it could be assigned the number of an inherited socket that
/// was not passed.
pub struct StartupSignals([(i32, Arc<AtomicBool>); 2]);

impl StartupSignals {
    /// Installs handlers for SIGTERM and SIGHUP, which would otherwise end the process.
    pub fn new() -> io::Result<Self> {
        let signals = StartupSignals([SIGTERM, SIGHUP].map(|signal| (signal, Arc::default())));
        for (signal, received) in &signals.0 {
            signal_hook::flag::register(*signal, Arc::clone(received))?;
        }
        Ok(signals)
    }

    /// Raises the recorded signals again, for the handlers installed since. A signal that arrives meanwhile may be raised twice,
    /// which has the same effect as once.
    pub fn re_raise(self) -> io::Result<()> {
        let received = self
            .0
            .iter()
            .filter(|(_, received)| received.load(Ordering::Relaxed));
        received
            .into_iter()
            .try_for_each(|(signal, _)| signal_hook::low_level::raise(*signal))
    }
}

/// Registers a socket under `key` that becomes readable when the signal is received.
pub fn watch(reactor: &Reactor, signal: i32, key: usize) -> io::Result<Registered<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, write)?;
    reactor.watch(read, key, false)
}

/// Drains the socket of a signal, so that it is not readable until the next signal.
pub fn clear(signal: &Registered<UnixStream>) {
    let mut bytes = [0; 16];
    while matches!(io::Read::read(&mut &**signal, &mut bytes), Ok(n) if n > 0) {}
}
