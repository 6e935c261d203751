//! System calls made before the loop begins: a shortage that passes must not end the start.
use super::faults::is_shortage;
use std::io;
use std::time::{Duration, Instant};

/// For how long a call of the start is repeated while the machine is short of something.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two attempts. Nothing is served yet, so that waiting here holds nobody up.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Makes a call, again and again within a bound while it fails for lack of descriptors, buffers or memory. Any other error
/// is returned at once.
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
