//! Faults of system calls on IPv4 TCP sockets.
//!
//! Words: 16 set of failing calls (1 accept, 2 socket, 4 connect, 8 read and 16 write on connections that the process opened, 32
//! read and 64 write on accepted ones); 17 error number; 18 one in this many calls fails; 19 and 20 calls fail for the first part
//! of each period, both in milliseconds (0: all the time); 21 and 22 maximum bytes of a read and of a write; 23 number of failures,
//! counted by this library.
use crate::{fail_with, system_call, word, words};
use std::ffi::{c_int, c_void};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};

const FAILING_CALLS: usize = 16;
const ERRNO: usize = 17;
const EVERY: usize = 18;
const BURST: usize = 19;
const PERIOD: usize = 20;
const MAX_READ_BYTES: usize = 21;
const MAX_WRITE_BYTES: usize = 22;
const FAILURE_COUNT: usize = 23;

const ACCEPT: i64 = 1;
const SOCKET: i64 = 2;
const CONNECT: i64 = 4;
const READ: i64 = 8;
const WRITE: i64 = 16;
/// Shift from the bit of a call on an outbound connection to that on an accepted one.
const ACCEPTED_SHIFT: u32 = 2;
/// Maximum number of slices of a `writev` that is cut short.
const MAX_SLICES: usize = 64;

/// Whether the process opened the connection, by descriptor.
static OUTBOUND: [AtomicBool; 1 << 14] = [const { AtomicBool::new(false) }; 1 << 14];
static CALLS: AtomicI64 = AtomicI64::new(0);

fn outbound(fd: c_int) -> Option<&'static AtomicBool> {
    OUTBOUND.get(usize::try_from(fd).ok()?)
}

/// Whether calls fail at the current time of the period.
fn in_burst() -> bool {
    let (burst, period) = (word(BURST), word(PERIOD));
    if period <= 0 {
        return true;
    }
    let mut now = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    system_call(
        libc::SYS_clock_gettime,
        [libc::CLOCK_MONOTONIC as usize, &raw mut now as usize, 0, 0],
    );
    (now.tv_sec * 1_000 + now.tv_nsec / 1_000_000) % period < burst
}

/// Returns the error with which a call has to fail, and counts the failure.
fn take_fault(call: i64) -> Option<c_int> {
    let every = word(EVERY);
    if word(FAILING_CALLS) & call == 0 || every <= 0 || !in_burst() {
        return None;
    }
    if CALLS.fetch_add(1, Ordering::Relaxed) % every != 0 {
        return None;
    }
    // Never reached with `DEFAULTS`, which must not be modified.
    words()[FAILURE_COUNT].fetch_add(1, Ordering::Relaxed);
    Some(word(ERRNO) as c_int)
}

fn is_tcp(fd: c_int) -> bool {
    let option = |name: c_int| {
        let (mut value, mut size): (c_int, libc::socklen_t) = (0, 4);
        // SAFETY: the call writes to the value and its size only.
        let got = unsafe {
            libc::getsockopt(
                fd,
                libc::SOL_SOCKET,
                name,
                (&raw mut value).cast(),
                &raw mut size,
            )
        };
        (got == 0).then_some(value)
    };
    option(libc::SO_DOMAIN) == Some(libc::AF_INET)
        && option(libc::SO_TYPE) == Some(libc::SOCK_STREAM)
}

/// Returns how many bytes a call may transfer, or the error with which it has to fail.
fn allowed_bytes(fd: c_int, call: i64) -> Result<usize, c_int> {
    let limit = if call == READ {
        word(MAX_READ_BYTES)
    } else {
        word(MAX_WRITE_BYTES)
    };
    if (word(FAILING_CALLS) == 0 && limit <= 0) || !is_tcp(fd) {
        return Ok(usize::MAX);
    }
    let accepted = !outbound(fd).is_some_and(|outbound| outbound.load(Ordering::Relaxed));
    match take_fault(if accepted {
        call << ACCEPTED_SHIFT
    } else {
        call
    }) {
        Some(errno) => Err(errno),
        None if limit > 0 => Ok(limit as usize),
        None => Ok(usize::MAX),
    }
}

fn to_result(returned: std::ffi::c_long) -> isize {
    // `libc::syscall` has already set the error number.
    returned as isize
}

/// Replaces `socket`, which may fail as configured.
#[no_mangle]
pub extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET {
        if let Some(errno) = take_fault(SOCKET) {
            return fail_with(errno);
        }
    }
    system_call(
        libc::SYS_socket,
        [domain as usize, kind as usize, protocol as usize, 0],
    ) as c_int
}

/// Replaces `connect`, which may fail as configured.
///
/// # Safety
/// As for the system function: `address` is valid for reads of `size` bytes.
#[no_mangle]
pub unsafe extern "C" fn connect(
    fd: c_int,
    address: *const libc::sockaddr,
    size: libc::socklen_t,
) -> c_int {
    if i32::from((*address).sa_family) == libc::AF_INET {
        if let Some(errno) = take_fault(CONNECT) {
            return fail_with(errno);
        }
        outbound(fd)
            .into_iter()
            .for_each(|outbound| outbound.store(true, Ordering::Relaxed));
    }
    system_call(
        libc::SYS_connect,
        [fd as usize, address as usize, size as usize, 0],
    ) as c_int
}

/// Replaces `accept4`, which may fail as configured.
///
/// # Safety
/// As for the system function: `address` and `size` are null, or a buffer and its size.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut libc::sockaddr,
    size: *mut libc::socklen_t,
    flags: c_int,
) -> c_int {
    if is_tcp(fd) {
        if let Some(errno) = take_fault(ACCEPT) {
            return fail_with(errno);
        }
    }
    let args = [fd as usize, address as usize, size as usize, flags as usize];
    let accepted = system_call(libc::SYS_accept4, args) as c_int;
    outbound(accepted)
        .into_iter()
        .for_each(|outbound| outbound.store(false, Ordering::Relaxed));
    accepted
}

/// Replaces `recv`, which may fail or read fewer bytes as configured.
///
/// # Safety
/// As for the system function: `to` is valid for writes of `size` bytes.
#[no_mangle]
pub unsafe extern "C" fn recv(fd: c_int, to: *mut c_void, size: usize, flags: c_int) -> isize {
    let size = match allowed_bytes(fd, READ) {
        Ok(limit) => size.min(limit),
        Err(errno) => return fail_with(errno) as isize,
    };
    to_result(libc::syscall(
        libc::SYS_recvfrom,
        fd,
        to,
        size,
        flags,
        0usize,
        0usize,
    ))
}

/// Replaces `send`, which may fail or write fewer bytes as configured.
///
/// # Safety
/// As for the system function: `from` is valid for reads of `size` bytes.
#[no_mangle]
pub unsafe extern "C" fn send(fd: c_int, from: *const c_void, size: usize, flags: c_int) -> isize {
    let size = match allowed_bytes(fd, WRITE) {
        Ok(limit) => size.min(limit),
        Err(errno) => return fail_with(errno) as isize,
    };
    to_result(libc::syscall(
        libc::SYS_sendto,
        fd,
        from,
        size,
        flags,
        0usize,
        0usize,
    ))
}

/// Replaces `writev`, which may fail or write fewer bytes as configured.
///
/// # Safety
/// As for the system function: `slices` is valid for reads of `count` slices.
#[no_mangle]
pub unsafe extern "C" fn writev(fd: c_int, slices: *const libc::iovec, count: c_int) -> isize {
    let limit = match allowed_bytes(fd, WRITE) {
        Ok(usize::MAX) => {
            return system_call(
                libc::SYS_writev,
                [fd as usize, slices as usize, count as usize, 0],
            ) as isize
        }
        Ok(limit) => limit,
        Err(errno) => return fail_with(errno) as isize,
    };
    let mut short = [libc::iovec {
        iov_base: std::ptr::null_mut(),
        iov_len: 0,
    }; MAX_SLICES];
    let (mut left, mut used) = (limit, 0);
    for to in short.iter_mut().take(count.max(0) as usize) {
        if left == 0 {
            break;
        }
        *to = *slices.add(used);
        to.iov_len = to.iov_len.min(left);
        left -= to.iov_len;
        used += 1;
    }
    system_call(
        libc::SYS_writev,
        [fd as usize, short.as_ptr() as usize, used, 0],
    ) as isize
}
