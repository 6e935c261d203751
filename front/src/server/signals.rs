//! Signals: what becomes readable when one comes, and those that come before anything listens for them.
use crate::transport::{Reactor, Registered};
use signal_hook::consts::{SIGHUP, SIGTERM};
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Signals that come while the program starts. It takes no descriptor: one that the platform hands over may have any number.
pub struct Early([(i32, Arc<AtomicBool>); 2]);

impl Early {
    /// From now on none of them ends the program.
    pub fn new() -> io::Result<Self> {
        let early = Early([SIGTERM, SIGHUP].map(|signal| (signal, Arc::default())));
        for (signal, came) in &early.0 {
            signal_hook::flag::register(*signal, Arc::clone(came))?;
        }
        Ok(early)
    }

    /// Whoever listens now hears of what came before. One that comes meanwhile may be heard twice, which is as once.
    pub fn again(self) -> io::Result<()> {
        let came = self
            .0
            .iter()
            .filter(|(_, came)| came.load(Ordering::Relaxed));
        came.into_iter()
            .try_for_each(|(signal, _)| signal_hook::low_level::raise(*signal))
    }
}

/// What becomes readable when a signal comes.
pub fn raised(reactor: &Reactor, signal: i32, key: usize) -> io::Result<Registered<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, write)?;
    reactor.watch(read, key, false)
}

/// Takes out what a signal left there.
pub fn drain(signal: &Registered<UnixStream>) {
    let mut bytes = [0; 16];
    while matches!(io::Read::read(&mut &**signal, &mut bytes), Ok(n) if n > 0) {}
}
