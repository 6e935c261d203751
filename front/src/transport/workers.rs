//! Threads for what blocks. The loop hands work over and goes on; results come through a queue, and the poller is
//! woken by a byte on a socket.
use super::{at_start, Reactor, Registered};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// Stack of a thread: handshakes and parsers need little.
const STACK: usize = 512 * 1024;

type Work<R> = Box<dyn FnOnce() -> R + Send>;

/// Runs work elsewhere: some side by side, some in order.
pub struct Workers<R: Send + 'static> {
    wake: Registered<UnixStream>,
    bell: Arc<UnixStream>,
    sender: Sender<R>,
    results: Receiver<R>,
    /// A thread for work that must keep its order; made with the first.
    lane: Option<Sender<Work<R>>>,
}

impl<R: Send + 'static> Workers<R> {
    /// No thread yet. `key` is ready to be read once there are results.
    pub fn new(reactor: &Reactor, key: usize) -> io::Result<Self> {
        let (wake, bell) = at_start(UnixStream::pair)?;
        wake.set_nonblocking(true)?;
        bell.set_nonblocking(true)?;
        let (sender, results) = channel();
        Ok(Workers {
            wake: reactor.watch(wake, key, false)?,
            bell: Arc::new(bell),
            sender,
            results,
            lane: None,
        })
    }

    /// Runs work on a thread of its own. The caller bounds how many there are.
    pub fn run(&self, work: impl FnOnce() -> R + Send + 'static) -> io::Result<()> {
        let (sender, bell) = (self.sender.clone(), Arc::clone(&self.bell));
        let thread = std::thread::Builder::new()
            .name("worker".into())
            .stack_size(STACK);
        thread.spawn(move || ring(&sender, &bell, work())).map(drop)
    }

    /// Runs work after all that was given here before.
    pub fn in_order(&mut self, work: impl FnOnce() -> R + Send + 'static) -> io::Result<()> {
        let lane = match &self.lane {
            Some(lane) => lane,
            None => {
                let (lane, queue) = channel::<Work<R>>();
                let (sender, bell) = (self.sender.clone(), Arc::clone(&self.bell));
                let thread = std::thread::Builder::new()
                    .name("in-order".into())
                    .stack_size(STACK);
                thread.spawn(move || {
                    queue
                        .into_iter()
                        .for_each(|work| ring(&sender, &bell, work()))
                })?;
                self.lane.insert(lane)
            }
        };
        lane.send(Box::new(work))
            .map_err(|_| io::Error::other("the thread is gone"))
    }

    /// What has been done since this was asked last.
    pub fn results(&mut self) -> Vec<R> {
        let mut bytes = [0; 64];
        while matches!((&*self.wake).read(&mut bytes), Ok(n) if n > 0) {}
        self.results.try_iter().collect()
    }
}

fn ring<R>(sender: &Sender<R>, bell: &UnixStream, result: R) {
    // Nobody waits any more where the loop has ended; a full socket wakes it as well as one byte more would.
    if sender.send(result).is_ok() {
        let _ = (&*bell).write(&[1]);
    }
}

#[cfg(test)]
mod tests;
