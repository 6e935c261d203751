//! Name resolution with a deadline.
//!
//! The resolver of the system blocks and cannot be interrupted. Each lookup runs on a thread of its own, which is left to end by itself
//! if the deadline passes first; the number of such threads is limited.
use std::io;
use std::net::{SocketAddr, ToSocketAddrs};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Instant;

/// Maximum number of lookups that run at the same time in this process.
const MAX_LOOKUPS: usize = 8;

/// Number of lookups that run, including those whose deadline has passed.
static RUNNING_LOOKUPS: AtomicUsize = AtomicUsize::new(0);

/// A running lookup; dropping it ends the count.
struct RunningLookup(&'static AtomicUsize);

impl RunningLookup {
    /// Counts a lookup, unless too many run already.
    fn start(running: &'static AtomicUsize) -> Option<Self> {
        let below_limit = |count| (count < MAX_LOOKUPS).then_some(count + 1);
        running
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, below_limit)
            .ok()?;
        Some(RunningLookup(running))
    }
}

impl Drop for RunningLookup {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Resolves a host with the resolver of the system. Fails if that does not end before the deadline.
pub(crate) fn resolve(host: &str, port: u16, deadline: Instant) -> io::Result<Vec<SocketAddr>> {
    let host = host.to_string();
    let lookup = move || Ok((host.as_str(), port).to_socket_addrs()?.collect());
    run_lookup(&RUNNING_LOOKUPS, deadline, lookup)
}

fn run_lookup(
    running: &'static AtomicUsize,
    deadline: Instant,
    lookup: impl FnOnce() -> io::Result<Vec<SocketAddr>> + Send + 'static,
) -> io::Result<Vec<SocketAddr>> {
    let Some(count) = RunningLookup::start(running) else {
        let text = format!("{MAX_LOOKUPS} earlier look-ups have not ended");
        return Err(io::Error::other(text));
    };
    let (sender, result) = channel();
    thread::Builder::new()
        .name("name-lookup".into())
        .spawn(move || {
            let found = lookup();
            drop(count);
            // Fails if the deadline has passed.
            let _ = sender.send(found);
        })?;
    let left = deadline.saturating_duration_since(Instant::now());
    let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "deadline exceeded");
    result.recv_timeout(left).map_err(|_| timed_out())?
}

#[cfg(test)]
mod tests;
