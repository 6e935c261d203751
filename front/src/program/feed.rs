//! The connection to the control feed.
use crate::protocol::feed::{decode, hello, News};
use crate::transport::{dial, Outgoing, Reactor, Stream};
use cranesill::api::{Span, Time};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// An empty frame comes each second: no whole one for longer means that the connection is dead.
const SILENCE_MOST: Span = 2_500_000;
/// A connection that is not up by then is given up: one to a machine that is cut off never comes up.
const DIAL_MOST: Span = 500_000;
/// Bytes that one read takes at most.
const READ_MOST: usize = 16 * 1024;
/// Time between two tries to connect.
const RETRY: Span = 200_000;

/// Follows the feed from the last event that is known.
#[derive(Debug)]
pub struct Feed {
    address: SocketAddr,
    last: u64,
    scratch: Vec<u8>,
    stream: Option<(usize, Stream<()>)>,
    /// When it is given up if nothing more is heard, or tried again.
    pub due: Time,
}

impl Feed {
    /// Is not connected yet: that is due at once.
    pub fn new(address: SocketAddr, last: u64) -> Self {
        Feed { address, last, scratch: vec![0; READ_MOST], stream: None, due: 0 }
    }

    /// Whether this is the connection to the feed.
    pub fn is(&self, key: usize) -> bool {
        self.stream.as_ref().is_some_and(|s| s.0 == key)
    }

    /// The feed is elsewhere from now on: what comes after the last event held is asked for there at once.
    pub fn move_to(&mut self, now: Time, address: SocketAddr) {
        (self.address, self.stream, self.due) = (address, None, now);
    }

    /// Begins to connect, anew if it has been silent for too long.
    pub fn connect(&mut self, now: Time, reactor: &Reactor, key: usize) {
        self.stream =
            dial(self.address).and_then(|s| Stream::new(reactor, s, key, true)).ok().map(|s| (key, s));
        self.due = now + if self.stream.is_some() { DIAL_MOST } else { RETRY };
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
        if !stream.flushed() {
            stream.flush(|()| {})?;
            stream.rewatch(true)?;
            self.due = now + SILENCE_MOST;
        }
        while let Some(n) = stream.fill(&mut self.scratch)? {
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
            while let Some((number, event, used)) = decode(stream.input()).map_err(bad)? {
                stream.consume(used);
                // Only a whole frame is a sign of life: a feed may stop in the middle of one.
                self.due = now + SILENCE_MOST;
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

#[cfg(test)]
mod tests {
    use super::*;
    use std::io::{Read, Write};

    #[test]
    fn a_feed_that_stops_in_the_middle_of_an_event_is_given_up() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut reactor = Reactor::new().unwrap();
        let mut feed = Feed::new(listener.local_addr().unwrap(), 7);
        feed.connect(0, &reactor, 5);
        assert!(feed.due <= 1_000_000, "a connection that never comes up is given up soon");
        let (mut peer, _) = listener.accept().unwrap();
        let mut hello = [0; 8];
        while feed.due <= 1_000_000 {
            reactor.wait(0, Some(1_000_000)).unwrap();
            feed.ready(0);
        }
        peer.read_exact(&mut hello).unwrap();
        assert_eq!((u64::from_be_bytes(hello), feed.due), (7, SILENCE_MOST));
        // A whole frame is a sign of life, what comes of the next one is not.
        let empty = [&[0, 0, 0, 9][..], &7u64.to_be_bytes(), &[0]].concat();
        for (now, bytes) in [(1_000_000, &empty[..]), (2_000_000, &empty[..5]), (3_000_000, &empty[5..9])] {
            peer.write_all(bytes).unwrap();
            reactor.wait(0, Some(20_000_000)).unwrap();
            assert!(feed.ready(now).is_empty());
            assert_eq!(feed.due, 1_000_000 + SILENCE_MOST);
        }
    }
}
