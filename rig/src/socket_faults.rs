//! Faults of system calls on the TCP sockets of a process, executed by the preloaded library (`shim/src/sockets.rs`).
use std::time::Duration;

/// Word with the set of failing calls, and word that counts failures.
pub(crate) const FAILING_CALLS: u64 = 16;
pub(crate) const FAILURE_COUNT: u64 = 23;
/// Number of words in the fault file.
pub(crate) const WORD_COUNT: u64 = 24;

/// System call on a TCP socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `accept` and `accept4`.
    Accept = 1,
    /// `socket`.
    Socket = 2,
    /// `connect`.
    Connect = 4,
    /// Reads from connections that the process opened.
    ReadOutbound = 8,
    /// Writes to connections that the process opened.
    WriteOutbound = 16,
    /// Reads from connections that the process accepted.
    ReadInbound = 32,
    /// Writes to connections that the process accepted.
    WriteInbound = 64,
}

/// Faults to inject into system calls.
#[derive(Clone, Debug, Default)]
pub struct SocketFaults {
    /// Calls that fail.
    pub calls: Vec<SystemCall>,
    /// Error number of the failures.
    pub errno: i32,
    /// One in this many calls fails; 1 for all.
    pub every: u32,
    /// Calls fail only for the first duration of each period of the second one; `None` for all the time.
    pub burst: Option<(Duration, Duration)>,
    /// Maximum bytes of a read; 0 for no limit.
    pub max_read_bytes: usize,
    /// Maximum bytes of a write; 0 for no limit.
    pub max_write_bytes: usize,
}

impl SocketFaults {
    /// All of these calls fail with an error.
    pub fn all(calls: &[SystemCall], errno: i32) -> Self {
        SocketFaults {
            calls: calls.to_vec(),
            errno,
            every: 1,
            ..SocketFaults::default()
        }
    }

    /// Only one in `every` calls fails.
    pub fn every(self, every: u32) -> Self {
        SocketFaults { every, ..self }
    }

    /// Calls fail only for the first part of each period.
    pub fn burst(self, fails: Duration, period: Duration) -> Self {
        SocketFaults {
            burst: Some((fails, period)),
            ..self
        }
    }

    /// Limits reads and writes to this many bytes.
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
