//! The connection to the control feed.
use crate::protocol::feed::{decode, hello, News};
use crate::transport::{dial, Outgoing, Reactor, Stream};
use cranesill::api::{Span, Time};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// An empty frame comes each second: silence for longer means that the connection is dead.
const SILENCE_MOST: Span = 3_000_000;
/// Time between two tries to connect.
const RETRY: Span = 200_000;

/// Follows the feed from the last event that is known.
#[derive(Debug)]
pub struct Feed {
    address: SocketAddr,
    last: u64,
    stream: Option<(usize, Stream<()>)>,
    /// When it is given up if nothing more is heard, or tried again.
    pub due: Time,
}

impl Feed {
    /// Is not connected yet: that is due at once.
    pub fn new(address: SocketAddr, last: u64) -> Self {
        Feed { address, last, stream: None, due: 0 }
    }

    /// Whether this is the connection to the feed.
    pub fn is(&self, key: usize) -> bool {
        self.stream.as_ref().is_some_and(|s| s.0 == key)
    }

    /// Begins to connect, anew if it has been silent for too long.
    pub fn connect(&mut self, now: Time, reactor: &Reactor, key: usize) {
        self.stream =
            dial(self.address).and_then(|s| Stream::new(reactor, s, key, true)).ok().map(|s| (key, s));
        self.due = now + if self.stream.is_some() { SILENCE_MOST } else { RETRY };
        let head = hello(self.last).to_vec();
        if let Some((_, stream)) = &mut self.stream {
            stream.push(Outgoing { tag: (), head, body: Rc::default(), tail: b"" });
        }
    }

    /// Goes on with the connection; what is new.
    pub fn ready(&mut self, now: Time) -> Vec<News> {
        let mut news = Vec::new();
        if self.go_on(now, &mut news).is_err() {
            self.stream = None;
            self.due = now + RETRY;
        }
        news
    }

    fn go_on(&mut self, now: Time, news: &mut Vec<News>) -> io::Result<()> {
        let Some((_, stream)) = &mut self.stream else { return Ok(()) };
        if !stream.connected()? {
            return Ok(());
        }
        stream.flush(|()| {})?;
        stream.rewatch(true)?;
        while let Some(n) = stream.fill()? {
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.due = now + SILENCE_MOST;
            let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
            while let Some((number, event, used)) = decode(stream.input()).map_err(bad)? {
                stream.consume(used);
                // After a new connection events may come again.
                if let Some(event) = event.filter(|_| number > self.last) {
                    self.last = number;
                    news.push(event);
                }
            }
        }
        Ok(())
    }
}
