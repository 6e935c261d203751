//! The poller and its registered event sources.
use cranesill::api::Timestamp;
use polling::{Event, Events, PollMode, Poller};
use std::io;
use std::ops::{Deref, DerefMut};
use std::os::fd::{AsFd, AsRawFd};
use std::rc::Rc;
use std::time::Duration;

/// A level-triggered poller.
pub struct Reactor {
    poller: Rc<Poller>,
    events: Events,
}

/// Readiness of a registered source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReadyEvent {
    /// The poller key of the source.
    pub key: usize,
    /// Whether a read would not block.
    pub readable: bool,
    /// Whether a write would not block.
    pub writable: bool,
}

/// A source registered with the poller; dropping it removes the registration.
#[derive(Debug)]
pub struct Registered<S: AsFd> {
    source: S,
    poller: Rc<Poller>,
    key: usize,
}

impl Reactor {
    /// Creates a reactor without registered sources.
    pub fn new() -> io::Result<Self> {
        Ok(Reactor {
            poller: Rc::new(Poller::new()?),
            events: Events::new(),
        })
    }

    /// Registers `source` under `key` for readability and, if `write` is set, for writability.
    #[allow(unsafe_code)]
    pub fn watch<S: AsFd + AsRawFd>(
        &self,
        source: S,
        key: usize,
        write: bool,
    ) -> io::Result<Registered<S>> {
        // SAFETY: a source must be removed from the poller before it is closed. `Registered` owns the source and removes it in
        // its `drop`, which runs before the field `source` is dropped.
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

    /// Waits until a source is ready, a signal arrives or `deadline` has passed, and returns the ready sources. Without a deadline
    /// the wait is unlimited.
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
    /// Changes the readiness events that the source is registered for.
    pub fn rewatch(&self, read: bool, write: bool) -> io::Result<()> {
        self.poller.modify_with_mode(
            &self.source,
            Event::new(self.key, read, write),
            PollMode::Level,
        )
    }

    /// Registers the source under a new key, for readability only.
    pub fn rekey(&mut self, key: usize) -> io::Result<()> {
        self.key = key;
        self.rewatch(true, false)
    }
}

impl<S: AsFd> Drop for Registered<S> {
    fn drop(&mut self) {
        // Fails only for a source that is not registered.
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
