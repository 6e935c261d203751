//! A listener that pauses after a failed `accept`. The level-triggered poller would otherwise report the pending connection
//! continuously, and the event loop would spin.
use super::{AcceptFault, Registered};
use cranesill::api::{Micros, Timestamp};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};

/// Pause after a failed `accept`.
const RETRY_INTERVAL: Micros = 50_000;
/// Consecutive connection errors in one call to [`BackoffListener::accept`] after which the listener pauses as well.
const MAX_FAILURES: usize = 8;

/// A listening socket, abstracted for tests.
pub trait Accept: AsFd {
    /// The type of an accepted connection.
    type Connection;
    /// Accepts a pending connection without blocking.
    fn accept_one(&self) -> io::Result<Self::Connection>;
}

impl Accept for TcpListener {
    type Connection = TcpStream;
    fn accept_one(&self) -> io::Result<TcpStream> {
        self.accept().map(|(socket, _)| socket)
    }
}

impl Accept for UnixListener {
    type Connection = UnixStream;
    fn accept_one(&self) -> io::Result<UnixStream> {
        self.accept().map(|(socket, _)| socket)
    }
}

/// A registered listener that pauses after a failed `accept`.
#[derive(Debug)]
pub struct BackoffListener<L: Accept> {
    listener: Registered<L>,
    /// When the pause ends; `None` while not paused.
    resumes_at: Option<Timestamp>,
}

impl<L: Accept> BackoffListener<L> {
    /// Wraps a listener that is registered for readability.
    pub fn new(listener: Registered<L>) -> Self {
        BackoffListener {
            listener,
            resumes_at: None,
        }
    }

    /// Accepts a connection. Returns `None` if none is pending or `accept` failed, in which case the listener pauses.
    pub fn accept(&mut self, now: Timestamp) -> Option<L::Connection> {
        for _ in 0..MAX_FAILURES {
            match self.listener.accept_one() {
                Ok(connection) => return Some(connection),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return None,
                Err(e) if AcceptFault::of(&e) == AcceptFault::Connection => {}
                Err(_) => break,
            }
        }
        self.resumes_at = Some(now + RETRY_INTERVAL);
        self.set_watched(false);
        None
    }

    /// Enables or disables polling of the listener. A pause is not shortened.
    pub fn set_watched(&self, watched: bool) {
        let watched = watched && self.resumes_at.is_none();
        // Fails only for a listener that is not registered.
        let _ = self.listener.rewatch(watched, false);
    }

    /// Returns when the pause ends, or `None` while not paused.
    pub fn resumes_at(&self) -> Option<Timestamp> {
        self.resumes_at
    }

    /// Ends the pause if it is over by `now`.
    pub fn resume_if_due(&mut self, now: Timestamp) {
        if self.resumes_at.is_some_and(|at| at <= now) {
            self.resumes_at = None;
            self.set_watched(true);
        }
    }
}

#[cfg(test)]
mod tests;
