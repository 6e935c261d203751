//! The ledger between fronts: the writer's end, which serves those that follow, and a follower's, which keeps contact.
use crate::protocol::follow::{frame, hello, read_frame, read_hello, Frame, Hello, HELLO};
use crate::server::drivers::Turn;
use crate::transport::{at_start, dial, listen, Outgoing, Registered, Stream};
use cranesill::api::{Micros, Timestamp};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::PurgeNumber;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Followers at once; one more is closed.
pub const FOLLOWERS_MOST: usize = 32;
/// A follower that has not said who it is after this long, or takes nothing for this long, is closed.
const SILENCE_MOST: Micros = 5_000_000;
/// An empty batch goes out after this long without another.
const BEAT: Micros = 500_000;
/// Pauses between two tries of a follower: the first, and the longest.
const RETRY_FIRST: Micros = 200_000;
const RETRY_MOST: Micros = 5_000_000;
/// Without a whole frame for this long a follower connects anew.
const QUIET_MOST: Micros = 2_500_000;
const READ_MOST: usize = 64 * 1024;

fn out(bytes: Vec<u8>) -> Outgoing<()> {
    Outgoing {
        tag: (),
        head: bytes,
        body: Rc::default(),
        tail: b"",
    }
}

#[derive(Debug)]
struct Reader {
    stream: Stream<()>,
    /// The last number that it has kept; `None`: it has not said who it is.
    last: Option<PurgeNumber>,
    /// Up to where the batch goes that is out.
    sent: Option<PurgeNumber>,
    moved: Timestamp,
    beat: Timestamp,
}

/// The writer's end.
#[derive(Debug)]
pub struct Followers {
    listener: Registered<TcpListener>,
    listener_key: usize,
    all: HashMap<usize, Reader>,
    scratch: Vec<u8>,
}

impl Followers {
    /// Listens.
    pub fn new(turn: &mut Turn<'_>, at: &str) -> Result<Self, String> {
        let failed = |e: &dyn std::fmt::Display| format!("purges.serve: {at}: {e}");
        let address: SocketAddr = at
            .parse()
            .map_err(|e: std::net::AddrParseError| failed(&e))?;
        let listener_key = turn.key();
        let listener = at_start(|| listen(address)).map_err(|e| failed(&e))?;
        let local = listener.local_addr().map_err(|e| failed(&e))?;
        tracing::info!(at = %local, "purges: serving the ledger");
        let listener = turn
            .reactor
            .watch(listener, listener_key, false)
            .map_err(|e| failed(&e))?;
        Ok(Followers {
            listener,
            listener_key,
            all: HashMap::new(),
            scratch: vec![0; READ_MOST],
        })
    }

    /// Whether this is one of its sources.
    pub fn has(&self, key: usize) -> bool {
        key == self.listener_key || self.all.contains_key(&key)
    }

    /// Followers that said who they are, and the least number that they have kept.
    pub fn state(&self) -> (usize, Option<PurgeNumber>) {
        let known = self.all.values().filter_map(|r| r.last);
        (known.clone().count(), known.min())
    }

    /// Goes on with one of its sources.
    pub fn ready(&mut self, turn: &mut Turn<'_>, key: usize, ledger: &PurgeLog) {
        if key == self.listener_key {
            while let Ok((socket, _)) = self.listener.accept() {
                if self.all.len() >= FOLLOWERS_MOST {
                    continue;
                }
                let key = turn.key();
                if let Ok(stream) = Stream::new(turn.reactor, socket, key, false) {
                    let reader = Reader {
                        stream,
                        last: None,
                        sent: None,
                        moved: turn.now,
                        beat: turn.now,
                    };
                    self.all.insert(key, reader);
                }
            }
            return;
        }
        if let Err(error) = self.read(turn.now, key, ledger) {
            self.all.remove(&key);
            tracing::info!(kind = "follower-lost", %error, "purges: a follower has gone");
        }
    }

    fn read(&mut self, now: Timestamp, key: usize, ledger: &PurgeLog) -> io::Result<()> {
        let Some(reader) = self.all.get_mut(&key) else {
            return Ok(());
        };
        let bad = |why: &'static str| io::Error::new(io::ErrorKind::InvalidData, why);
        reader.stream.flush(|()| {})?;
        while let Some(n) = reader.stream.fill(&mut self.scratch)? {
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            reader.moved = now;
            if reader.last.is_none() {
                let Some(told) = read_hello(reader.stream.input()).map_err(|e| bad(e.0))? else {
                    continue;
                };
                reader.stream.consume(HELLO);
                let known = told.ledger == ledger.identity
                    && (ledger.base()..=ledger.last_number()).contains(&told.last);
                let last = if known { told.last } else { ledger.base() };
                if !known {
                    let (identity, base, head) =
                        (ledger.identity, ledger.base(), ledger.last_number());
                    let anew = Frame {
                        anew: true,
                        ledger: identity,
                        base,
                        head,
                        purges: Vec::new(),
                    };
                    reader.stream.push(out(frame(&anew)));
                }
                reader.last = Some(last);
            }
            while let Some(number) = reader
                .stream
                .input()
                .first_chunk::<8>()
                .map(|b| u64::from_le_bytes(*b))
            {
                reader.stream.consume(8);
                // Its word for what is out, and for nothing else.
                if reader.sent.take() != Some(number) {
                    return Err(bad("a follower confirms what it was not sent"));
                }
                reader.last = Some(number);
            }
            if reader.stream.input().len() > HELLO {
                return Err(bad("a follower says too much"));
            }
        }
        reader.stream.rewatch(true)
    }

    /// Sends what is due.
    pub fn work(&mut self, now: Timestamp, ledger: &PurgeLog) {
        let mut gone = Vec::new();
        for (key, reader) in &mut self.all {
            let waits = reader.last.is_none() || reader.sent.is_some() || !reader.stream.flushed();
            if waits && now > reader.moved + SILENCE_MOST {
                gone.push(*key);
            }
            let Some(last) = reader
                .last
                .filter(|_| reader.sent.is_none() && reader.stream.flushed())
            else {
                continue;
            };
            if last >= ledger.last_number() && now < reader.beat {
                continue;
            }
            let Some(purges) = ledger.batch_after(last) else {
                // It was compacted away under it: it says anew how it stands.
                gone.push(*key);
                continue;
            };
            reader.sent = purges.last().map(|p| p.number);
            let (identity, base, head) = (ledger.identity, ledger.base(), ledger.last_number());
            let batch = Frame {
                anew: false,
                ledger: identity,
                base,
                head,
                purges,
            };
            reader.stream.push(out(frame(&batch)));
            reader.beat = now + BEAT;
            if reader.sent.is_some() {
                reader.moved = now;
            }
            if reader
                .stream
                .flush(|()| {})
                .and_then(|()| reader.stream.rewatch(true))
                .is_err()
            {
                gone.push(*key);
            }
        }
        gone.into_iter().for_each(|key| drop(self.all.remove(&key)));
    }

    /// The next moment at which something is due.
    pub fn next(&self) -> Option<Timestamp> {
        let due = |r: &Reader| {
            if r.last.is_some() && r.sent.is_none() {
                r.beat
            } else {
                r.moved + SILENCE_MOST + 1
            }
        };
        self.all.values().map(due).min()
    }
}

/// A follower's end.
#[derive(Debug)]
pub struct Following {
    address: SocketAddr,
    link: Option<(usize, Stream<()>)>,
    heard: Timestamp,
    due: Timestamp,
    failures: u32,
    /// The last purge that came on this connection and is not confirmed.
    owed: Option<PurgeNumber>,
    scratch: Vec<u8>,
}

impl Following {
    /// Not connected yet.
    pub fn new(now: Timestamp, address: &str) -> Result<Self, String> {
        let address = address
            .parse()
            .map_err(|e| format!("purges.follow.address: {address}: {e}"))?;
        Ok(Following {
            address,
            link: None,
            heard: now,
            due: now,
            failures: 0,
            owed: None,
            scratch: vec![0; READ_MOST],
        })
    }

    /// Whether this is its connection.
    pub fn has(&self, key: usize) -> bool {
        self.link.as_ref().is_some_and(|l| l.0 == key)
    }

    /// Frames that came.
    pub fn ready(&mut self, now: Timestamp) -> Vec<Frame> {
        let mut frames = Vec::new();
        if let Err(error) = self.read(now, &mut frames) {
            self.lost(now, &error.to_string());
        }
        frames
    }

    fn read(&mut self, now: Timestamp, frames: &mut Vec<Frame>) -> io::Result<()> {
        let Some((_, stream)) = &mut self.link else {
            return Ok(());
        };
        if !stream.connected()? {
            return Ok(());
        }
        stream.flush(|()| {})?;
        // One read a turn: a writer that has much to say does not keep the loop to itself.
        if let Some(n) = stream.fill(&mut self.scratch)? {
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            while let Some((frame, used)) =
                read_frame(stream.input()).map_err(|e| io::Error::other(e.0))?
            {
                stream.consume(used);
                (self.heard, self.failures) = (now, 0);
                frames.push(frame);
            }
        }
        stream.rewatch(true)
    }

    /// What came can't be used, or nothing comes any more.
    pub fn lost(&mut self, now: Timestamp, why: &str) {
        if self.link.take().is_some() || self.failures == 0 {
            tracing::info!(kind = "writer-lost", writer = %self.address, error = why, "purges: no connection to the writer");
        }
        // The writer takes no confirmation of what it has not sent on the same connection.
        self.owed = None;
        self.failures += 1;
        self.due = now + (RETRY_FIRST << (self.failures - 1).min(8)).min(RETRY_MOST);
    }

    /// Everything up to a number came in one batch: it is confirmed once it is durable.
    pub fn owe(&mut self, number: PurgeNumber) {
        self.owed = Some(number);
    }

    /// Everything up to a number is durable. The writer is told where it waits for that.
    pub fn kept(&mut self, now: Timestamp, durable: PurgeNumber) {
        let Some(number) = self.owed.filter(|number| *number <= durable) else {
            return;
        };
        self.owed = None;
        if let Some((_, stream)) = &mut self.link {
            stream.push(out(number.to_le_bytes().to_vec()));
            if let Err(error) = stream.flush(|()| {}).and_then(|()| stream.rewatch(true)) {
                self.lost(now, &error.to_string());
            }
        }
    }

    /// Connects where that is due, and says which ledger is durable here, and up to which purge.
    pub fn work(&mut self, turn: &mut Turn<'_>, ledger: u64, last: PurgeNumber) {
        let now = turn.now;
        if self.link.is_some() && now > self.heard + QUIET_MOST {
            self.lost(now, "it says nothing");
        }
        if self.link.is_some() || now < self.due {
            return;
        }
        let key = turn.key();
        match dial(self.address).and_then(|socket| Stream::new(turn.reactor, socket, key, true)) {
            Ok(mut stream) => {
                stream.push(out(hello(Hello { ledger, last })));
                self.heard = now;
                self.link = Some((key, stream));
            }
            Err(error) => self.lost(now, &error.to_string()),
        }
    }

    /// The next moment at which something is due.
    pub fn next(&self) -> Timestamp {
        if self.link.is_some() {
            self.heard + QUIET_MOST + 1
        } else {
            self.due
        }
    }
}
