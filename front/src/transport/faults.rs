//! Which errors of system calls on sockets pass by themselves, and what a failed accept says of the listener.
use std::io;

/// What a failed call to `accept` means for the connections that still wait in the system's queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// That one connection is gone; the next one may be fine (accept(2), "Error handling").
    Connection,
    /// The process or the system has no descriptor left.
    Descriptors,
    /// Anything else, such as a lack of memory.
    Other,
}

/// Errors that a new connection had before it was accepted.
const CONNECTION_ERRORS: [i32; 13] = [
    libc::ECONNABORTED,
    libc::ECONNRESET,
    libc::EPROTO,
    libc::ENETDOWN,
    libc::ENETUNREACH,
    libc::EHOSTDOWN,
    libc::EHOSTUNREACH,
    libc::ENONET,
    libc::EOPNOTSUPP,
    libc::ENOPROTOOPT,
    libc::EPERM,
    libc::ETIMEDOUT,
    libc::EINTR,
];

/// Errors by which `socket`, `bind` or a poller call fails while the machine is short of something.
const SHORTAGE_ERRORS: [i32; 5] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EINTR,
];

/// Errors by which `connect` fails at once for reasons of this machine alone.
const LOCAL_CONNECT_ERRORS: [i32; 4] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENETDOWN,
    libc::EAGAIN,
];

impl AcceptFault {
    /// What this error of `accept` means.
    pub fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EMFILE | libc::ENFILE) => AcceptFault::Descriptors,
            Some(code) if CONNECTION_ERRORS.contains(&code) => AcceptFault::Connection,
            _ => AcceptFault::Other,
        }
    }
}

/// Whether the machine was short of descriptors, buffers or memory: the same call may succeed a moment later.
pub fn is_shortage(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| SHORTAGE_ERRORS.contains(&code))
}

/// Whether a connection could not even be begun for a reason of this machine: it says nothing of the other side.
pub fn is_local(error: &io::Error) -> bool {
    is_shortage(error)
        || error
            .raw_os_error()
            .is_some_and(|code| LOCAL_CONNECT_ERRORS.contains(&code))
}

#[cfg(test)]
mod tests;
