//! Retries of system calls during startup, so that a temporary lack of resources does not fail the start.
use super::faults::is_shortage;
use std::io;
use std::time::{Duration, Instant};

/// A call that still fails for lack of resources after this time returns its error.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Delay between two calls. Blocking is acceptable here because nothing is served yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Makes a call and repeats it, within [`RETRY_TIMEOUT`], while it fails for lack of descriptors, buffers or memory. Any other
/// error is returned immediately. Blocks the thread: not for use on the event loop.
pub fn retry_on_shortage<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let deadline = Instant::now() + RETRY_TIMEOUT;
    loop {
        match call() {
            Err(error) if is_shortage(&error) && Instant::now() < deadline => {
                std::thread::sleep(RETRY_INTERVAL);
            }
            result => return result,
        }
    }
}
