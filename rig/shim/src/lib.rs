//! Preloaded into a process under test (`LD_PRELOAD`) to shift its wall clock and to inject disk and socket faults.
//!
//! The faults are configured by a file of `WORDS` 64-bit numbers that the process maps; `CRANESILL_SHIM` is its path, and
//! `CRANESILL_SHIM_FILES` the folder to which disk faults apply. Without them nothing changes.
//!
//! Words: 0 shift of the wall clock in milliseconds; 1 disk faults (bit 0: writes fail, bit 1: syncs fail); 2 duration of a sync
//! in milliseconds; from 16 on see `sockets.rs`.
mod sockets;

use std::ffi::{c_char, c_int, c_long, c_void};
use std::sync::atomic::{AtomicI64, AtomicPtr, Ordering};

const WORDS: usize = 32;
const DISK_FULL: i64 = 1;
const SYNC_FAILS: i64 = 2;

type Words = [AtomicI64; WORDS];
static DEFAULTS: Words = [const { AtomicI64::new(0) }; WORDS];
static MAPPED: AtomicPtr<Words> = AtomicPtr::new(std::ptr::null_mut());

fn system_call(number: c_long, args: [usize; 4]) -> c_long {
    // SAFETY: each caller passes the arguments of the system call that it replaces, unchanged.
    unsafe { libc::syscall(number, args[0], args[1], args[2], args[3]) }
}

fn environment_variable(name: &std::ffi::CStr) -> *const c_char {
    // SAFETY: the name is null-terminated, and processes under test do not change their environment.
    unsafe { libc::getenv(name.as_ptr()) }
}

/// Returns the mapped fault configuration, or `DEFAULTS` if there is none.
fn words() -> &'static Words {
    let mapped = MAPPED.load(Ordering::Acquire);
    // SAFETY: the pointer is null, a mapping that is never removed, or `DEFAULTS`.
    if let Some(words) = unsafe { mapped.as_ref() } {
        return words;
    }
    let path = environment_variable(c"CRANESILL_SHIM");
    let mut found: *const Words = &DEFAULTS;
    if !path.is_null() {
        let fd = system_call(
            libc::SYS_openat,
            [
                libc::AT_FDCWD as usize,
                path as usize,
                libc::O_RDWR as usize,
                0,
            ],
        );
        if fd >= 0 {
            let size = std::mem::size_of::<Words>();
            // SAFETY: a new mapping of a file that the test created with this size.
            let at = unsafe {
                let access = libc::PROT_READ | libc::PROT_WRITE;
                libc::mmap(
                    std::ptr::null_mut(),
                    size,
                    access,
                    libc::MAP_SHARED,
                    fd as c_int,
                    0,
                )
            };
            system_call(libc::SYS_close, [fd as usize, 0, 0, 0]);
            if at != libc::MAP_FAILED {
                found = at.cast();
            }
        }
    }
    MAPPED.store(found.cast_mut(), Ordering::Release);
    // SAFETY: as above.
    unsafe { &*found }
}

fn word(place: usize) -> i64 {
    words()[place].load(Ordering::Relaxed)
}

fn fail_with(errno: c_int) -> c_int {
    // SAFETY: the pointer refers to the error number of this thread.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Whether a descriptor refers to a file in the folder to which disk faults apply.
fn is_in_fault_folder(fd: c_int) -> bool {
    let folder = environment_variable(c"CRANESILL_SHIM_FILES");
    if folder.is_null() {
        return false;
    }
    // SAFETY: the pointer refers to a string in the environment.
    let folder = unsafe { std::ffi::CStr::from_ptr(folder) }.to_bytes();
    let mut link = *b"/proc/self/fd/\0\0\0\0\0\0\0\0\0\0\0\0";
    let (mut n, mut digits, mut at) = (fd.max(0), [0u8; 10], 0);
    loop {
        digits[at] = b'0' + (n % 10) as u8;
        (n, at) = (n / 10, at + 1);
        if n == 0 {
            break;
        }
    }
    for (to, from) in link[14..].iter_mut().zip(digits[..at].iter().rev()) {
        *to = *from;
    }
    let mut path = [0u8; 512];
    let args = [
        libc::AT_FDCWD as usize,
        link.as_ptr() as usize,
        path.as_mut_ptr() as usize,
        path.len(),
    ];
    let len = system_call(libc::SYS_readlinkat, args);
    usize::try_from(len).is_ok_and(|len| path[..len].starts_with(folder))
}

/// Replaces `clock_gettime` and shifts the wall clock.
///
/// # Safety
/// As for the system function: `to` is null or valid for writes.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: libc::clockid_t, to: *mut libc::timespec) -> c_int {
    type Real = unsafe extern "C" fn(libc::clockid_t, *mut libc::timespec) -> c_int;
    static REAL: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
    let mut real = REAL.load(Ordering::Relaxed);
    if real.is_null() {
        real = libc::dlsym(libc::RTLD_NEXT, c"clock_gettime".as_ptr());
        REAL.store(real, Ordering::Relaxed);
    }
    let result = match real.is_null() {
        true => system_call(libc::SYS_clock_gettime, [clock as usize, to as usize, 0, 0]) as c_int,
        false => std::mem::transmute::<*mut c_void, Real>(real)(clock, to),
    };
    if result == 0 && clock == libc::CLOCK_REALTIME && !to.is_null() {
        let nanos = i128::from((*to).tv_sec) * 1_000_000_000 + i128::from((*to).tv_nsec);
        let nanos = (nanos + i128::from(word(0)) * 1_000_000).max(0);
        (*to).tv_sec = (nanos / 1_000_000_000) as libc::time_t;
        (*to).tv_nsec = (nanos % 1_000_000_000) as c_long;
    }
    result
}

/// Replaces `write`, which fails with `ENOSPC` for files in the fault folder while the disk is full.
///
/// # Safety
/// As for the system function: `from` is valid for reads of `count` bytes.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, count: usize) -> isize {
    if word(1) & DISK_FULL != 0 && is_in_fault_folder(fd) {
        return fail_with(libc::ENOSPC) as isize;
    }
    system_call(libc::SYS_write, [fd as usize, from as usize, count, 0]) as isize
}

fn sync(number: c_long, fd: c_int) -> c_int {
    if is_in_fault_folder(fd) {
        let delay_ms = word(2).max(0);
        if delay_ms > 0 {
            let duration = libc::timespec {
                tv_sec: delay_ms / 1_000,
                tv_nsec: delay_ms % 1_000 * 1_000_000,
            };
            system_call(libc::SYS_nanosleep, [&raw const duration as usize, 0, 0, 0]);
        }
        if word(1) & SYNC_FAILS != 0 {
            return fail_with(libc::EIO);
        }
    }
    system_call(number, [fd as usize, 0, 0, 0]) as c_int
}

/// Replaces `fsync`, which is delayed or fails as configured.
#[no_mangle]
pub extern "C" fn fsync(fd: c_int) -> c_int {
    sync(libc::SYS_fsync, fd)
}

/// Replaces `fdatasync`, which is delayed or fails as configured.
#[no_mangle]
pub extern "C" fn fdatasync(fd: c_int) -> c_int {
    sync(libc::SYS_fdatasync, fd)
}
