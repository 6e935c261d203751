//! Faults of system calls on the TCP sockets of a process, as the library that is loaded into it is told (`shim/src/sockets.rs`).
use std::time::Duration;

/// Places of the words: which calls fail, and how many have.
pub(crate) const FAILING_CALLS: u64 = 16;
pub(crate) const FAILURE_COUNT: u64 = 23;
/// Words that are said in all.
pub(crate) const WORD_COUNT: u64 = 24;

/// A system call on a TCP socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept`, `accept4`.
    Accept = 1,
    /// `socket`.
    Socket = 2,
    /// `connect`.
    Connect = 4,
    /// Reads from connections that the process made.
    ReadOutbound = 8,
    /// Writes to connections that the process made.
    WriteOutbound = 16,
    /// Reads from connections that it accepted.
    ReadInbound = 32,
    /// Writes to connections that it accepted.
    WriteInbound = 64,
}

/// Which calls fail, how and when.
#[derive(Clone, Debug, Default)]
pub struct SocketFaults {
    /// The calls that fail.
    pub calls: Vec<SystemCall>,
    /// The error that they fail with.
    pub errno: i32,
    /// Of so many calls one fails; 1: all do.
    pub every: u32,
    /// They fail only for the first part of each of these periods; `None`: all the time.
    pub burst: Option<(Duration, Duration)>,
    /// Bytes that a read takes at most; 0: as many as there are.
    pub max_read_bytes: usize,
    /// Bytes that a write takes at most; 0: as many as fit.
    pub max_write_bytes: usize,
}

impl SocketFaults {
    /// All calls of these kinds fail with an error.
    pub fn all(calls: &[SystemCall], errno: i32) -> Self {
        SocketFaults {
            calls: calls.to_vec(),
            errno,
            every: 1,
            ..SocketFaults::default()
        }
    }

    /// Only one of so many does.
    pub fn every(self, every: u32) -> Self {
        SocketFaults { every, ..self }
    }

    /// They do so for the first part of each period.
    pub fn burst(self, fails: Duration, period: Duration) -> Self {
        SocketFaults {
            burst: Some((fails, period)),
            ..self
        }
    }

    /// Reads and writes of no more than so many bytes.
    pub fn short(bytes: usize) -> Self {
        SocketFaults {
            max_read_bytes: bytes,
            max_write_bytes: bytes,
            ..SocketFaults::default()
        }
    }

    pub(crate) fn words(&self) -> Vec<(u64, i64)> {
        let mask = self.calls.iter().fold(0, |mask, call| mask | *call as i64);
        let (fails, period) = self.burst.unwrap_or_default();
        let rest = [
            i64::from(self.errno),
            i64::from(self.every),
            fails.as_millis() as i64,
            period.as_millis() as i64,
            self.max_read_bytes as i64,
            self.max_write_bytes as i64,
        ];
        (FAILING_CALLS..)
            .zip([mask].into_iter().chain(rest))
            .collect()
    }
}
