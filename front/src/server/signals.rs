//! Signals: a socket that becomes readable when one comes, and those that come while the process starts.
use crate::transport::{Reactor, Registered};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Catches signals while the process starts. It takes no descriptor: one that the platform hands over may have any number.
pub struct StartupSignals([(i32, Arc<AtomicBool>); 2]);

impl StartupSignals {
    /// Catches SIGTERM and SIGHUP, which end the process otherwise.
    pub fn new() -> io::Result<Self> {
        let signals = StartupSignals([SIGTERM, SIGHUP].map(|signal| (signal, Arc::default())));
        for (signal, received) in &signals.0 {
            signal_hook::flag::register(*signal, Arc::clone(received))?;
        }
        Ok(signals)
    }

    /// Raises the signals that came before again, for whoever watches them now. One that comes meanwhile may be raised twice,
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

/// Watches a socket under `key` that becomes readable when the signal comes.
pub fn watch(reactor: &Reactor, signal: i32, key: usize) -> io::Result<Registered<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, write)?;
    reactor.watch(read, key, false)
}

/// Makes the socket of a signal unreadable until the signal comes again.
pub fn clear(signal: &Registered<UnixStream>) {
    let mut bytes = [0; 16];
    while matches!(io::Read::read(&mut &**signal, &mut bytes), Ok(n) if n > 0) {}
}
