//! Worker threads for blocking calls. Results are returned to the event loop through a queue; a byte on a socket wakes the
//! poller.
use super::{retry_on_shortage, Reactor, Registered};
use std::io::{self, Read, Write};
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::Arc;

/// Stack size of a worker thread, sufficient for TLS handshakes and parsers.
const STACK_BYTES: usize = 512 * 1024;

type Work<R> = Box<dyn FnOnce() -> R + Send>;

/// Runs work on separate threads, either concurrently or in order.
pub struct Workers<R: Send + 'static> {
    /// Readable while results may be queued.
    woken: Registered<UnixStream>,
    /// The other end of `woken`, written to by the threads.
    waker: Arc<UnixStream>,
    sender: Sender<R>,
    results: Receiver<R>,
    /// The queue of the thread that runs work in order; the thread is started on first use.
    ordered: Option<Sender<Work<R>>>,
}

impl<R: Send + 'static> Workers<R> {
    /// Creates workers without any thread. The poller reports `key` as readable once results are queued.
    pub fn new(reactor: &Reactor, key: usize) -> io::Result<Self> {
        let (woken, waker) = retry_on_shortage(UnixStream::pair)?;
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

    /// Runs work on a new thread. The caller limits the number of threads.
    pub fn run(&self, work: impl FnOnce() -> R + Send + 'static) -> io::Result<()> {
        let sender = self.sender.clone();
        let waker = Arc::clone(&self.waker);
        let thread = std::thread::Builder::new()
            .name("worker".into())
            .stack_size(STACK_BYTES);
        thread
            .spawn(move || complete(&sender, &waker, work()))
            .map(drop)
    }

    /// Runs work on the ordered thread, after all work passed to earlier calls.
    pub fn in_order(&mut self, work: impl FnOnce() -> R + Send + 'static) -> io::Result<()> {
        let ordered = match &self.ordered {
            Some(ordered) => ordered,
            None => {
                let (ordered, queue) = channel::<Work<R>>();
                let sender = self.sender.clone();
                let waker = Arc::clone(&self.waker);
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
            .map_err(|_| io::Error::other("the worker thread has ended"))
    }

    /// Returns the results queued since the last call.
    pub fn results(&mut self) -> Vec<R> {
        let mut bytes = [0; 64];
        while matches!((&*self.woken).read(&mut bytes), Ok(n) if n > 0) {}
        self.results.try_iter().collect()
    }
}

fn complete<R>(sender: &Sender<R>, waker: &UnixStream, result: R) {
    // Sending fails only after the event loop has ended. If the socket buffer is full, a wake-up is already pending.
    if sender.send(result).is_ok() {
        let _ = (&*waker).write(&[1]);
    }
}

#[cfg(test)]
mod tests;
