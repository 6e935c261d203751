//! Classification of socket errors: temporary shortages, local connect failures, and failures of `accept`.
use std::io;

/// Cause of a failed `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFault {
    /// A single pending connection failed; the next `accept` may succeed (accept(2), "Error handling").
    Connection,
    /// The process or the system has no free descriptor.
    Descriptors,
    /// Any other cause, such as a lack of memory.
    Other,
}

/// Errors of `accept` that concern only the connection being accepted.
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

/// Errors of socket and poller calls that indicate a temporary lack of resources, or an interrupted call.
const SHORTAGE_ERRORS: [i32; 5] = [
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::EINTR,
];

/// Errors of `connect` caused by this host rather than by the peer.
const LOCAL_CONNECT_ERRORS: [i32; 4] = [
    libc::EADDRNOTAVAIL,
    libc::ENETUNREACH,
    libc::ENETDOWN,
    libc::EAGAIN,
];

impl AcceptFault {
    /// Classifies an error returned by `accept`.
    pub fn of(error: &io::Error) -> Self {
        match error.raw_os_error() {
            Some(libc::EMFILE | libc::ENFILE) => AcceptFault::Descriptors,
            Some(code) if CONNECTION_ERRORS.contains(&code) => AcceptFault::Connection,
            _ => AcceptFault::Other,
        }
    }
}

/// Whether the call failed for lack of descriptors, buffers or memory, or was interrupted, and may succeed if repeated.
pub fn is_shortage(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|code| SHORTAGE_ERRORS.contains(&code))
}

/// Whether `connect` failed because of this host, which gives no information about the peer.
pub fn is_local(error: &io::Error) -> bool {
    is_shortage(error)
        || error
            .raw_os_error()
            .is_some_and(|code| LOCAL_CONNECT_ERRORS.contains(&code))
}

#[cfg(test)]
mod tests;
