//! Whether this process has used up its descriptors.

/// No process that this program is meant for may open more files than this; above it the check is not made.
const MAX_CHECKED_LIMIT: u64 = 65_536;

/// The number of descriptors that this process may have open.
#[allow(unsafe_code)]
fn limit() -> Option<i32> {
    let mut limit = libc::rlimit {
        rlim_cur: 0,
        rlim_max: 0,
    };
    // SAFETY: the call writes to the structure that it is given, and to nothing else.
    let found = unsafe { libc::getrlimit(libc::RLIMIT_NOFILE, &raw mut limit) };
    let checked = found == 0 && limit.rlim_cur <= MAX_CHECKED_LIMIT;
    checked.then_some(limit.rlim_cur as i32)
}

#[allow(unsafe_code)]
fn is_open(descriptor: i32) -> bool {
    // SAFETY: the call takes numbers alone, and tells whether this one is open.
    unsafe { libc::fcntl(descriptor, libc::F_GETFD) >= 0 }
}

/// Whether every number that this process may open is in use. Numbers are given out from the lowest on, so that the answer
/// is found at the first look unless there is a real lack.
pub fn descriptors_exhausted() -> bool {
    limit().is_some_and(|limit| (0..limit).rev().all(is_open))
}
