//! The loop.
use super::clients::{Clients, Heard};
use super::config::Config;
use super::feed::Feed;
use super::log::Log;
use super::members::{Ends, Members};
use crate::protocol::feed::{Listing, News};
use crate::routing::{Answer, AttemptId, Command, End, Front, Wake};
use crate::transport::{listen, Clock, Deadlines, Reactor, Registered};
use cranesill::api::{Entry, MemberId, Span, Time};
use std::io;
use std::net::TcpListener;
use std::os::unix::net::UnixStream;

const LISTENER: usize = 0;
const TERM: usize = 1;
const HANGUP: usize = 2;
/// Keys from here on are for connections.
const KEYS: usize = 3;
/// Pause between two sweeps over all connections.
const SWEEP: Span = 250_000;
/// After SIGTERM requests are taken for this long: clients hear of it one after another.
const LEAVE_WINDOW: Span = 1_000_000;
/// After SIGTERM the program ends then, whatever is not done.
const LEAVE_MOST: Span = 15_000_000;
/// Connections accepted in one turn.
const ACCEPTS_MOST: usize = 64;

/// What is due at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Wake(Wake),
    Dial(usize),
    Unwritten(AttemptId),
    Feed,
    Sweep,
    Leave,
}

/// One front on its sockets.
pub struct Server {
    config: Config,
    clock: Clock,
    reactor: Reactor,
    listener: Registered<TcpListener>,
    term: Registered<UnixStream>,
    hangup: Registered<UnixStream>,
    deadlines: Deadlines<Due>,
    front: Front,
    clients: Clients,
    members: Members,
    feed: Feed,
    log: Log,
    last_key: usize,
    leaving: Option<Time>,
}

impl Server {
    /// Listens, and takes over what the configuration says of the members.
    pub fn new(mut config: Config) -> Result<Self, String> {
        let failed = |what: &'static str| move |e: io::Error| format!("{what}: {e}");
        let clock = Clock::new();
        let reactor = Reactor::new().map_err(failed("poller"))?;
        let listener = listen(config.listen).map_err(|e| format!("{}: {e}", config.listen))?;
        let listener = reactor.watch(listener, LISTENER, false).map_err(failed("poller"))?;
        let term = raised(&reactor, signal_hook::consts::SIGTERM, TERM).map_err(failed("signals"))?;
        let hangup = raised(&reactor, signal_hook::consts::SIGHUP, HANGUP).map_err(failed("signals"))?;
        let limits = config.deployment.limits.clone();
        let (last, known) = std::mem::take(&mut config.known);
        let mut server = Server {
            front: Front::new(config.deployment.clone(), config.seed, config.room()),
            members: Members::new(config.links_most(), limits.streams, limits.idle),
            feed: Feed::new(config.feed, last),
            clients: Clients::new(),
            deadlines: Deadlines::new(),
            log: Log::default(),
            last_key: KEYS,
            leaving: None,
            config,
            clock,
            reactor,
            listener,
            term,
            hangup,
        };
        let now = server.clock.now();
        let at = server.listener.local_addr().map_err(failed("listener"))?;
        server.log.line(now, &format!("{} listens on {at}", server.config.name));
        known.into_iter().for_each(|news| server.news(now, news));
        server.deadlines.add(now, Due::Feed);
        server.deadlines.add(now + SWEEP, Due::Sweep);
        Ok(server)
    }

    /// Serves until it has left.
    pub fn run(mut self) -> Result<(), String> {
        while !self.turn()? {}
        Ok(())
    }

    /// Waits for something to do and does it. Whether the front has left.
    fn turn(&mut self) -> Result<bool, String> {
        let next = self.deadlines.next();
        let mut events = self.reactor.wait(self.clock.now(), next).map_err(|e| format!("poller: {e}"))?;
        let now = self.clock.now();
        // What the feed tells is heeded before anything is sent in the same turn; new connections come last, since
        // room for them is made by closing those of which nothing was read yet.
        events.sort_by_key(|(key, ..)| (*key == LISTENER, !self.feed.is(*key)));
        for (key, readable, writable) in events {
            self.event(now, key, readable, writable);
        }
        while let Some(due) = self.deadlines.take(now) {
            self.due(now, due);
        }
        self.members.pause(now, self.clients.held() > self.config.room().bytes);
        let since = self.leaving.filter(|since| now >= since + LEAVE_WINDOW);
        let done = self.front.open() == 0 && self.clients.flushed();
        Ok(since.is_some_and(|since| done || now >= since + LEAVE_MOST))
    }

    fn key(&mut self) -> usize {
        self.last_key += 1;
        self.last_key
    }

    fn event(&mut self, now: Time, key: usize, readable: bool, writable: bool) {
        match key {
            LISTENER => self.accept(now),
            TERM => self.leave(now),
            HANGUP => self.reload(now),
            _ if self.feed.is(key) => {
                self.feed.ready(now).into_iter().for_each(|news| self.news(now, news));
                self.deadlines.add(self.feed.due, Due::Feed);
            }
            _ if self.members.has(key) => {
                let mut ends = Vec::new();
                self.members.ready(now, key, readable, &mut ends);
                self.settle(now, ends);
            }
            _ if self.clients.has(key) => {
                if writable {
                    self.clients.flush(now, key);
                }
                let heard = if readable { self.clients.read(now, key) } else { Vec::new() };
                self.hear(now, heard);
            }
            _ => {}
        }
    }

    fn due(&mut self, now: Time, due: Due) {
        let mut ends = Vec::new();
        match due {
            Due::Wake(wake) => self.front.wake(now, wake),
            Due::Dial(key) => self.members.undialed(key, &mut ends),
            Due::Unwritten(attempt) => self.members.withdraw(attempt, &mut ends),
            Due::Feed if now >= self.feed.due => {
                let key = self.key();
                self.feed.connect(now, &self.reactor, key);
                self.deadlines.add(self.feed.due, Due::Feed);
            }
            Due::Feed => {}
            Due::Sweep => {
                let gone = self.clients.sweep(now, self.config.room().bytes, self.config.held_most());
                std::mem::take(&mut self.clients.notes).iter().for_each(|line| self.log.line(now, line));
                self.hear(now, gone);
                self.members.sweep(now, &mut ends);
                self.listen(true);
                self.deadlines.add(now + SWEEP, Due::Sweep);
            }
            Due::Leave => self.front.close(),
        }
        self.settle(now, ends);
    }

    fn listen(&mut self, on: bool) {
        // The listener is watched for as long as the program runs: this can't fail.
        let _ = self.listener.rewatch(on, false);
    }

    fn accept(&mut self, now: Time) {
        for _ in 0..ACCEPTS_MOST {
            match self.listener.accept() {
                Ok((socket, _)) => {
                    // Guards the descriptor limit. A connection without a request may be closed.
                    if self.clients.len() >= self.config.clients_most() && !self.clients.evict() {
                        continue;
                    }
                    let key = self.key();
                    if let Err(e) = self.clients.add(now, &self.reactor, socket, key) {
                        self.log.line(now, &format!("client lost: {e}"));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    // Out of descriptors: the poller would report it again at once, so it rests till the sweep.
                    self.log.line(now, &format!("accept: {e}"));
                    if !self.clients.evict() {
                        self.listen(false);
                    }
                    break;
                }
            }
        }
    }

    /// SIGTERM: clients are told, and what is taken is still answered.
    fn leave(&mut self, now: Time) {
        drain(&self.term);
        if self.leaving.is_none() {
            self.log.line(now, "SIGTERM: leaving");
            self.leaving = Some(now);
            self.clients.leave(now);
            self.deadlines.add(now + LEAVE_WINDOW, Due::Leave);
            self.deadlines.add(now + LEAVE_WINDOW + LEAVE_MOST, Due::Leave);
        }
    }

    /// SIGHUP: the configuration is read again. One that can't be used changes nothing; of a good one only the
    /// feed's address is taken over, and open requests notice nothing.
    fn reload(&mut self, now: Time) {
        drain(&self.hangup);
        match Config::load(&self.config.file) {
            Ok(new) => {
                self.log.line(now, &format!("SIGHUP: the feed is at {}", new.feed));
                self.feed.move_to(now, new.feed);
                self.deadlines.add(now, Due::Feed);
            }
            Err(e) => self.log.line(now, &format!("SIGHUP: the configuration stays as it was: {e}")),
        }
    }

    fn hear(&mut self, now: Time, heard: Vec<Heard>) {
        for one in heard {
            self.front.holds(self.clients.held() + self.members.held());
            match one {
                Heard::Ask(from, ask) => self.front.take_in(now, from, ask),
                Heard::Bad(from, why) => {
                    self.log.line(now, &format!("bad request: {why}"));
                    self.clients.answer(now, from, Answer::Failed);
                }
                Heard::Gone(from) => self.front.gone(now, from),
            }
            self.settle(now, Vec::new());
        }
    }

    fn news(&mut self, now: Time, news: News) {
        match news {
            News::Members { whole, list } => {
                let entries: Vec<_> = list.iter().map(entry).collect();
                if whole {
                    let ids: Vec<_> = entries.iter().map(|e| e.member).collect();
                    self.members.keep_only(&ids);
                }
                entries.iter().zip(&list).for_each(|(entry, l)| self.members.list(entry, l.address));
                self.front.members(now, whole, entries);
            }
            News::Purge { object, group, at_ms } => {
                self.front.purged(now, object, group, at_ms.saturating_mul(1_000))
            }
        }
        self.settle(now, Vec::new());
    }

    /// Books ends and carries out commands until there are none.
    fn settle(&mut self, now: Time, mut ends: Ends) {
        loop {
            for (attempt, end) in std::mem::take(&mut ends) {
                self.front.ended(now, attempt, end);
            }
            for gone in self.clients.lost() {
                if let Heard::Gone(from) = gone {
                    self.front.gone(now, from);
                }
            }
            std::mem::take(&mut self.members.notes).iter().for_each(|line| self.log.line(now, line));
            let Some(command) = self.front.command() else { break };
            match command {
                Command::Send(attempt, to, fetch) => {
                    let key = self.key();
                    let target = (attempt, to);
                    let begun = self.members.send(now, &self.reactor, key, target, &fetch, &mut ends);
                    let due = now + self.config.deployment.settings.connect_timeout;
                    if let Some(key) = begun {
                        self.deadlines.add(due, Due::Dial(key));
                    }
                    self.deadlines.add(due, Due::Unwritten(attempt));
                }
                Command::Abort(attempt) => {
                    self.members.abort(now, attempt, &mut ends);
                    ends.insert(0, (attempt, End::CalledOff));
                }
                Command::Answer(to, answer) => self.clients.answer(now, to, answer),
                Command::Wake(at, wake) => self.deadlines.add(at, Due::Wake(wake)),
                Command::Log(line) => self.log.line(now, &line),
            }
        }
    }
}

/// What becomes readable when a signal comes.
fn raised(reactor: &Reactor, signal: i32, key: usize) -> io::Result<Registered<UnixStream>> {
    let (read, write) = UnixStream::pair()?;
    read.set_nonblocking(true)?;
    signal_hook::low_level::pipe::register(signal, write)?;
    reactor.watch(read, key, false)
}

fn drain(signal: &Registered<UnixStream>) {
    let mut bytes = [0; 16];
    while matches!(io::Read::read(&mut &**signal, &mut bytes), Ok(n) if n > 0) {}
}

fn entry(listing: &Listing) -> Entry {
    Entry {
        member: MemberId(listing.id.into()),
        kind: listing.kind,
        zone: listing.zone,
        cell: listing.cell,
        weight: listing.weight,
        started: listing.started_ms.saturating_mul(1_000),
        state: listing.state,
    }
}
