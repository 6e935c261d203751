//! Threads for what blocks. The loop hands work over and goes on; results come through a queue, and the poller is
//! woken by a byte on a socket.
use super::{at_start, Reactor, Registered};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// Stack of a thread: handshakes and parsers need little.
const STACK_BYTES: usize = 512 * 1024;

type Work<R> = Box<dyn FnOnce() -> R + Send>;

/// Runs work elsewhere: some side by side, some in order.
pub struct Workers<R: Send + 'static> {
    woken: Registered<UnixStream>,
    waker: Arc<UnixStream>,
    sender: Sender<R>,
    results: Receiver<R>,
    /// A thread for work that must keep its order; made with the first.
    ordered: Option<Sender<Work<R>>>,
}

impl<R: Send + 'static> Workers<R> {
    /// No thread yet. `key` is ready to be read once there are results.
    pub fn new(reactor: &Reactor, key: usize) -> io::Result<Self> {
        let (woken, waker) = at_start(UnixStream::pair)?;
        woken.set_nonblocking(true)?;
        waker.set_nonblocking(true)?;
        let (sender, results) = channel();
        Ok(Workers {
            woken: reactor.watch(woken, key, false)?,
            waker: Arc::new(waker),
            sender,
            results,
            ordered: None,
        })
    }

    /// Runs work on a thread of its own. The caller bounds how many there are.
    pub fn run(&self, work: impl FnOnce() -> R + Send + 'static) -> io::Result<()> {
        let (sender, waker) = (self.sender.clone(), Arc::clone(&self.waker));
        let thread = std::thread::Builder::new()
            .name("worker".into())
            .stack_size(STACK_BYTES);
        thread
            .spawn(move || complete(&sender, &waker, work()))
            .map(drop)
    }

    /// Runs work after all that was given here before.
    pub fn in_order(&mut self, work: impl FnOnce() -> R + Send + 'static) -> io::Result<()> {
        let ordered = match &self.ordered {
            Some(ordered) => ordered,
            None => {
                let (ordered, queue) = channel::<Work<R>>();
                let (sender, waker) = (self.sender.clone(), Arc::clone(&self.waker));
                let thread = std::thread::Builder::new()
                    .name("in-order".into())
                    .stack_size(STACK_BYTES);
                thread.spawn(move || {
                    queue
                        .into_iter()
                        .for_each(|work| complete(&sender, &waker, work()))
                })?;
                self.ordered.insert(ordered)
            }
        };
        ordered
            .send(Box::new(work))
            .map_err(|_| io::Error::other("the thread is gone"))
    }

    /// What has been done since this was asked last.
    pub fn results(&mut self) -> Vec<R> {
        let mut bytes = [0; 64];
        while matches!((&*self.woken).read(&mut bytes), Ok(n) if n > 0) {}
        self.results.try_iter().collect()
    }
}

fn complete<R>(sender: &Sender<R>, waker: &UnixStream, result: R) {
    // Nobody waits any more where the loop has ended; a full socket wakes it as well as one byte more would.
    if sender.send(result).is_ok() {
        let _ = (&*waker).write(&[1]);
    }
}

#[cfg(test)]
mod tests;
