//! The poller and the sources that it watches.
use cranesill::api::Timestamp;
use polling::{Event, Events, PollMode, Poller};
use std::io;
use std::ops::{Deref, DerefMut};
use std::os::fd::{AsFd, AsRawFd};
use std::rc::Rc;
use std::time::Duration;

/// Waits for sockets, level-triggered.
pub struct Reactor {
    poller: Rc<Poller>,
    events: Events,
}

/// A watched source that the poller reports as ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyEvent {
    /// The key under which the source is watched.
    pub key: usize,
    /// Whether a read would not block.
    pub readable: bool,
    /// Whether a write would not block.
    pub writable: bool,
}

/// A source that is watched for as long as this lives.
#[derive(Debug)]
pub struct Registered<S: AsFd> {
    source: S,
    poller: Rc<Poller>,
    key: usize,
}

impl Reactor {
    /// Creates a reactor that watches nothing yet.
    pub fn new() -> io::Result<Self> {
        Ok(Reactor {
            poller: Rc::new(Poller::new()?),
            events: Events::new(),
        })
    }

    #[allow(unsafe_code)]
    /// Watches `source` under `key` for reading and, if `write` is set, for writing.
    pub fn watch<S: AsFd + AsRawFd>(
        &self,
        source: S,
        key: usize,
        write: bool,
    ) -> io::Result<Registered<S>> {
        // SAFETY: a source has to leave the poller before it is closed. `Registered` owns it from here on and
        // takes it out when it is dropped, which is before its field `source` is.
        unsafe {
            self.poller
                .add_with_mode(&source, Event::new(key, true, write), PollMode::Level)?
        };
        Ok(Registered {
            source,
            poller: Rc::clone(&self.poller),
            key,
        })
    }

    /// Waits until a source is ready, a signal comes or `deadline` has passed, and returns the sources that are ready.
    /// Without a deadline it waits as long as it takes.
    pub fn wait(
        &mut self,
        now: Timestamp,
        deadline: Option<Timestamp>,
    ) -> io::Result<Vec<ReadyEvent>> {
        self.events.clear();
        let timeout = deadline.map(|at| Duration::from_micros(at.saturating_sub(now)));
        match self.poller.wait(&mut self.events, timeout) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        Ok(self.events.iter().map(ReadyEvent::from).collect())
    }
}

impl From<Event> for ReadyEvent {
    fn from(event: Event) -> Self {
        ReadyEvent {
            key: event.key,
            readable: event.readable,
            writable: event.writable,
        }
    }
}

impl<S: AsFd> Registered<S> {
    /// Changes whether it is watched for reading and for writing.
    pub fn rewatch(&self, read: bool, write: bool) -> io::Result<()> {
        self.poller.modify_with_mode(
            &self.source,
            Event::new(self.key, read, write),
            PollMode::Level,
        )
    }

    /// Watches it under another key from now on, for reading.
    pub fn rekey(&mut self, key: usize) -> io::Result<()> {
        self.key = key;
        self.rewatch(true, false)
    }
}

impl<S: AsFd> Drop for Registered<S> {
    fn drop(&mut self) {
        // It can only fail for a source that is not watched.
        let _ = self.poller.delete(&self.source);
    }
}

impl<S: AsFd> Deref for Registered<S> {
    type Target = S;
    fn deref(&self) -> &S {
        &self.source
    }
}

impl<S: AsFd> DerefMut for Registered<S> {
    fn deref_mut(&mut self) -> &mut S {
        &mut self.source
    }
}
