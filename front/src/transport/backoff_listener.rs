//! A subsystem's listener. When `accept` fails it is not watched for a moment: the connection that waits would make the
//! poller report the listener again and again, and the loop would spin.
use super::{AcceptFault, Registered};
use cranesill::api::{Micros, Timestamp};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::os::unix::net::{UnixListener, UnixStream};

/// Pause after a failed `accept`.
const RETRY_INTERVAL: Micros = 50_000;
/// Connections that may be gone before they were accepted, in one call; then the listener rests as well.
const MAX_FAILURES: usize = 8;

/// A listening socket.
pub trait Accept: AsFd {
    /// What it accepts.
    type Connection;
    /// Accepts a connection, without waiting for one.
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

/// A listener that rests after a failed `accept`.
#[derive(Debug)]
pub struct BackoffListener<L: Accept> {
    listener: Registered<L>,
    /// When it is watched again; `None` while it does not rest.
    resumes_at: Option<Timestamp>,
}

impl<L: Accept> BackoffListener<L> {
    /// A listener that is watched for reading.
    pub fn new(listener: Registered<L>) -> Self {
        BackoffListener {
            listener,
            resumes_at: None,
        }
    }

    /// The socket.
    pub fn get(&self) -> &L {
        &self.listener
    }

    /// Accepts a connection; `None` if there is none, or the listener rests from now on.
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

    /// Watches the listener or stops watching it. A rest is not cut short.
    pub fn set_watched(&self, watched: bool) {
        let watched = watched && self.resumes_at.is_none();
        // It can only fail for a listener that is not registered.
        let _ = self.listener.rewatch(watched, false);
    }

    /// When the rest ends; `None` while it does not rest.
    pub fn resumes_at(&self) -> Option<Timestamp> {
        self.resumes_at
    }

    /// Ends the rest if its time has come.
    pub fn resume_if_due(&mut self, now: Timestamp) {
        if self.resumes_at.is_some_and(|at| at <= now) {
            self.resumes_at = None;
            self.set_watched(true);
        }
    }
}

#[cfg(test)]
mod tests;
