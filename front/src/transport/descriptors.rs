//! Detects that this process has no file descriptor left.

/// Descriptor limits above this are not checked: the scan would take too long.
const MAX_CHECKED_LIMIT: u64 = 65_536;

/// Returns the limit on open descriptors, or `None` if it is unknown or above [`MAX_CHECKED_LIMIT`].
#[allow(unsafe_code)]
fn limit() -> Option<i32> {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: `getrlimit` writes only to the structure passed to it, which is valid for the call.
    let found = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) };
    let checked = found == 0 && limit.rlim_cur <= MAX_CHECKED_LIMIT;
    checked.then_some(limit.rlim_cur as i32)
}

#[allow(unsafe_code)]
fn is_open(descriptor: i32) -> bool {
    // SAFETY: `fcntl` with F_GETFD takes no pointers and has no effect on the descriptor.
    unsafe { libc::fcntl(descriptor, libc::F_GETFD) >= 0 }
}

/// Whether all descriptors that this process may open are in use. Scans downwards, because the system assigns the lowest free
/// number first: unless descriptors are nearly exhausted, the first check finds a free one.
pub fn descriptors_exhausted() -> bool {
    limit().is_some_and(|limit| (0..limit).rev().all(is_open))
}
