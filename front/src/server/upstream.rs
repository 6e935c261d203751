//! Connections to members.
mod redial;
use self::redial::Redials;
use crate::protocol::member;
use crate::routing::{AttemptId, End, Fetch, Txn};
use crate::transport::{dial, is_local, Reactor, Stream};
use cranesill::api::{EndpointEntry, EndpointId, EndpointState, Micros, Timestamp};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;

/// Attempts on one connection from which on another is opened: a large answer blocks what is behind it.
const STREAMS_CALM: usize = 1;
/// Share of the members' idle time after which a connection is closed here: a request must not cross their
/// close.
const IDLE_SHARE: f64 = 0.5;
/// Share of the connections that first ones to cache nodes may take up; the rest is for parents, the origin, and second
/// ones to nodes that are busy.
const CACHES_SHARE: f64 = 0.75;
/// For how long, or up to twice that, a connection remembers an id that it carried: answers to it may still come.
const CARRIED: Micros = 10_000_000;
/// Bytes that one read takes at most, and reads of one connection in one turn: a node that sends without end keeps neither
/// timers nor the feed waiting.
const READ_MOST: usize = 64 * 1024;
const READS_MOST: usize = 4;
/// Answers to nothing that is open that a connection may bring beyond two for each id that it carried: one late and one
/// twice. More of them end it, or they would come for ever.
const STRAYS_MOST: usize = 16;
/// An answer of which nothing more comes for this long is broken off, and whatever is behind it with it.
const PART_MOST: Micros = 500_000;

/// A connection on which attempts that were given up waited for this long in all, and nothing came, gets no other.
const SILENT_MOST: Micros = 1_000_000;

/// Attempts that ended.
pub type Ends = Vec<(AttemptId, End)>;

/// An attempt on a connection.
#[derive(Debug)]
struct Sent {
    attempt: AttemptId,
    since: Timestamp,
    write: bool,
    /// Whom it names to fill a miss.
    source: Option<EndpointId>,
    /// All of it.
    written: bool,
    /// It is not begun to be written later than this.
    by: Timestamp,
    /// What is asked, until it is written: the time that is left is told as of the moment of writing.
    fetch: Option<Box<Fetch>>,
}

impl Sent {
    /// All of it is written: what was asked need not be kept.
    fn set_written(&mut self) {
        (self.written, self.fetch) = (true, None);
    }
}

#[derive(Debug)]
struct Link {
    stream: Stream<Option<Txn>>,
    member: EndpointId,
    up: bool,
    /// Nothing new goes here.
    retired: bool,
    open: HashMap<Txn, Sent>,
    carried: Carried,
    idle_since: Timestamp,
    /// When something came here last.
    heard: Timestamp,
    /// Since when part of an answer is here that is not whole yet.
    begun: Option<Timestamp>,
    /// For how long attempts waited here that were given up, since something came.
    vain: Micros,
    /// Answers that came here to nothing that was open.
    strays: usize,
}

impl Link {
    fn new(now: Timestamp, member: EndpointId, stream: Stream<Option<Txn>>) -> Self {
        let (open, carried) = (HashMap::new(), Carried::default());
        let (idle_since, heard, begun, vain, strays) = (now, now, None, 0, 0);
        let (up, retired) = (false, false);
        Link {
            stream,
            member,
            up,
            retired,
            open,
            carried,
            idle_since,
            heard,
            begun,
            vain,
            strays,
        }
    }

    fn takes(&self, txn: &Txn, streams: usize) -> bool {
        !self.retired && !self.carried.has(txn) && self.open.len() < streams && !self.blocked()
    }

    /// Whether the rest of an answer that nobody waits for has still to come, and everything else behind it.
    fn blocked(&self) -> bool {
        let input = self.stream.input();
        let whose =
            || member::begun_id(input).and_then(|id| Txn::new(std::str::from_utf8(id).ok()?));
        !input.is_empty()
            && (self.open.is_empty() || whose().is_some_and(|txn| !self.open.contains_key(&txn)))
    }
}

/// Ids that a connection carried lately, in two generations. Guards against an answer that comes twice, or late
/// for an attempt that was given up: it would be taken for that of the next attempt under the same id.
#[derive(Debug, Default)]
struct Carried {
    new: HashSet<Txn>,
    old: HashSet<Txn>,
    since: Timestamp,
}

impl Carried {
    fn has(&self, txn: &Txn) -> bool {
        self.new.contains(txn) || self.old.contains(txn)
    }

    fn len(&self) -> usize {
        self.new.len() + self.old.len()
    }

    fn add(&mut self, now: Timestamp, txn: Txn) {
        if now > self.since + CARRIED {
            (self.old, self.since) = (std::mem::take(&mut self.new), now);
        }
        self.new.insert(txn);
    }
}

/// All connections to members; they belong to a member's id, since an address may come to be another's.
#[derive(Debug)]
pub struct CacheNodes {
    links: HashMap<usize, Link>,
    /// Connections of each member.
    of: HashMap<EndpointId, Vec<usize>>,
    /// Where each listens, and when it started.
    listed: HashMap<EndpointId, (SocketAddr, Timestamp)>,
    at: HashMap<AttemptId, (usize, Txn)>,
    /// Attempts for which this machine could not begin a connection.
    redials: Redials,
    links_most: usize,
    streams: usize,
    idle: Micros,
    /// An answer that is begun is whole after this long, or nobody waits for it any more.
    whole: Micros,
    /// Commands that were written whole.
    pub written: u64,
    /// Bytes held on all connections.
    held: usize,
    /// Nothing is read: too much is held already.
    paused: bool,
    scratch: Vec<u8>,
}

impl CacheNodes {
    /// Holds up to `links_most` connections, each with up to `streams` attempts; nobody waits for an answer longer than `whole`.
    pub fn new(links_most: usize, streams: usize, idle: Micros, whole: Micros) -> Self {
        CacheNodes {
            links: HashMap::new(),
            of: HashMap::new(),
            listed: HashMap::new(),
            at: HashMap::new(),
            redials: Redials::default(),
            links_most,
            streams,
            written: 0,
            whole,
            idle: (idle as f64 * IDLE_SHARE) as Micros,
            held: 0,
            paused: false,
            scratch: vec![0; READ_MOST],
        }
    }

    /// From now on so many connections are held at most; one that carries nothing for `idle` is closed.
    pub fn limit(&mut self, links_most: usize, idle: Option<Micros>) {
        self.links_most = links_most;
        self.idle = idle.unwrap_or(self.idle);
    }

    /// How many cache nodes can be reached at once, each by a connection, and how long one stays open that carries nothing.
    pub fn reach(&self) -> (usize, Micros) {
        ((self.links_most as f64 * CACHES_SHARE) as usize, self.idle)
    }

    /// Whether this is a connection to a member.
    pub fn has(&self, key: usize) -> bool {
        self.links.contains_key(&key)
    }

    /// The members that are listed.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.listed.keys().copied()
    }

    /// Bytes held on all connections.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Reads nothing more from members, or goes on. Guards the memory limit: what members send faster than
    /// clients take it stays with the members.
    pub fn pause(&mut self, now: Timestamp, paused: bool) {
        if self.paused != paused {
            self.paused = paused;
            // It can only fail for a socket that is not watched.
            for link in self.links.values_mut().filter(|l| l.up) {
                drop(link.stream.rewatch(!paused));
                link.heard = link.heard.max(now);
                link.begun = link.begun.map(|_| now);
            }
        }
    }

    /// Makes room for one more connection, if there is none: the one that has carried nothing for longest is closed. Guards
    /// against requests that find no connection while others lie idle. Whether there is room.
    fn make_room(&mut self) -> bool {
        if self.links.len() < self.links_most {
            return true;
        }
        let idle = self
            .links
            .iter()
            .filter(|(_, link)| link.up && link.open.is_empty());
        let longest = idle
            .min_by_key(|(key, link)| (!link.retired, link.idle_since, **key))
            .map(|(key, _)| *key);
        longest
            .into_iter()
            .for_each(|key| self.fail(key, "idle", &mut Vec::new()));
        self.links.len() < self.links_most
    }

    /// Takes over where a member listens. Connections to an earlier process of it get nothing new.
    pub fn list(&mut self, entry: &EndpointEntry, address: SocketAddr) {
        let now = Some((address, entry.started));
        let before = if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.endpoint)
        } else {
            self.listed.insert(entry.endpoint, (address, entry.started))
        };
        if entry.state == EndpointState::Removed || before.is_some() && before != now {
            for key in self.of.get(&entry.endpoint).into_iter().flatten() {
                self.links
                    .get_mut(key)
                    .into_iter()
                    .for_each(|link| link.retired = true);
            }
        }
    }

    /// The whole list is about to come: what it lacks is gone.
    pub fn keep_only(&mut self, listed: &HashSet<EndpointId>) {
        self.listed.retain(|member, _| listed.contains(member));
        self.links
            .values_mut()
            .filter(|l| !listed.contains(&l.member))
            .for_each(|l| l.retired = true);
    }

    /// Begins a connection to a member that has none, before anything is asked there. Whether it was begun.
    pub fn open(&mut self, now: Timestamp, reactor: &Reactor, key: usize, to: EndpointId) -> bool {
        let keys = self.of.entry(to).or_default();
        let has = keys
            .iter()
            .any(|key| self.links.get(key).is_some_and(|link| !link.retired));
        let address = self
            .listed
            .get(&to)
            .map(|l| l.0)
            .filter(|_| !has && self.links.len() < self.links_most);
        // What can't be begun now is begun once something is asked there.
        let stream = address.and_then(|at| {
            dial(at)
                .and_then(|socket| Stream::new(reactor, socket, key, true))
                .ok()
        });
        let begun = stream.map(|stream| {
            self.links.insert(key, Link::new(now, to, stream));
            keys.push(key);
        });
        begun.is_some()
    }

    /// How many of the members that are listed have a connection that is up.
    pub fn reached(&self) -> usize {
        let up = |key: &usize| {
            self.links
                .get(key)
                .is_some_and(|link| link.up && !link.retired)
        };
        self.of
            .iter()
            .filter(|(member, keys)| self.listed.contains_key(member) && keys.iter().any(up))
            .count()
    }

    /// The connection to a member that is best for this id.
    fn choose(&self, to: EndpointId, txn: &Txn) -> Option<usize> {
        let keys = self.of.get(&to)?.iter();
        let fit = keys.filter_map(|key| self.links.get(key).map(|link| (key, link)));
        let fit = fit.filter(|(_, link)| link.takes(txn, self.streams));
        fit.min_by_key(|(key, link)| (link.open.len(), !link.up, **key))
            .map(|(key, _)| *key)
    }

    /// The same, once what has come on one that carried nothing is taken in. Guards against commands that are written into the
    /// end of a connection: its other side may have closed it, which is not told of yet.
    fn choose_live(
        &mut self,
        now: Timestamp,
        to: EndpointId,
        txn: &Txn,
        ends: &mut Ends,
    ) -> Option<usize> {
        loop {
            let key = self.choose(to, txn)?;
            if !self
                .links
                .get(&key)
                .is_some_and(|link| link.up && link.open.is_empty())
            {
                return Some(key);
            }
            match self.read(now, key, ends) {
                Ok(())
                    if self
                        .links
                        .get(&key)
                        .is_some_and(|link| link.takes(txn, self.streams)) =>
                {
                    return Some(key)
                }
                Ok(()) => {}
                Err(e) => self.fail(key, &e.to_string(), ends),
            }
        }
    }

    /// Puts an attempt on a connection; `key` is for a new one. It is not begun to be written later than `by`. Returns the key
    /// if a connection was begun.
    pub fn send(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        (attempt, to, by): (AttemptId, EndpointId, Timestamp),
        fetch: &Fetch,
        ends: &mut Ends,
    ) -> Option<usize> {
        let mut chosen = self.choose_live(now, to, &fetch.txn, ends);
        let carries = |key: &usize| self.links.get(key).map_or(0, |link| link.open.len());
        let calm = chosen
            .as_ref()
            .is_some_and(|key| carries(key) < STREAMS_CALM);
        let keys = self.of.entry(to).or_default();
        let most = (self.links_most / self.listed.len().max(1)).max(2);
        // Those to an earlier process may stay silent for long and must not keep a new one from being reached.
        let live = keys
            .iter()
            .filter(|key| self.links.get(key).is_some_and(|l| !l.retired))
            .count();
        let address = self
            .listed
            .get(&to)
            .map(|l| l.0)
            .filter(|_| !calm && live < most);
        // One that would only be the second to a node closes none to another.
        let room = self.links.len() < self.links_most;
        let room = room || address.is_some() && chosen.is_none() && self.make_room();
        let (mut begun, mut end) = (None, End::Unplaced);
        if let Some(address) = address.filter(|_| room) {
            match dial(address).and_then(|socket| Stream::new(reactor, socket, key, true)) {
                Ok(stream) => {
                    self.redials.dialled(to);
                    self.links.insert(key, Link::new(now, to, stream));
                    self.of.entry(to).or_default().push(key);
                    (chosen, begun) = (Some(key), Some(key));
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                    end = End::Unsent { along: false }
                }
                Err(e) if is_local(&e) && chosen.is_none() && self.redials.may_wait(now, to) => {
                    self.redials.wait(now, (attempt, to, by), fetch);
                    return None;
                }
                Err(_) => {}
            }
        }
        let link = chosen.and_then(|key| self.links.get_mut(&key).map(|link| (key, link)));
        let Some((key, link)) = link else {
            ends.push((attempt, end));
            return None;
        };
        link.carried.add(now, fetch.txn);
        let source = fetch.fill.and_then(|fill| fill.source);
        let sent = Sent {
            attempt,
            since: now,
            write: fetch.write,
            source,
            written: false,
            by,
            fetch: None,
        };
        link.open.insert(fetch.txn, sent);
        link.stream.push(member::fetch(fetch, now));
        self.at.insert(attempt, (key, fetch.txn));
        self.flush(now, key, ends);
        let sent = self
            .links
            .get_mut(&key)
            .and_then(|link| link.open.get_mut(&fetch.txn));
        if let Some(sent) = sent.filter(|sent| !sent.written) {
            sent.fetch = Some(Box::new(fetch.clone()));
        }
        begun
    }

    /// When attempts that wait for a connection to be begun are due to try again.
    pub fn redial_due(&self) -> Option<Timestamp> {
        self.redials.due()
    }

    /// Attempts that are to be sent again now, to the node and by the moment that they had before.
    pub fn take_redials(
        &mut self,
        now: Timestamp,
    ) -> Vec<((AttemptId, EndpointId, Timestamp), Fetch)> {
        self.redials.take(now)
    }

    /// What was not begun to be written tells how much time is left now, not when it was put there.
    fn tell_time_left(&mut self, now: Timestamp, key: usize) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let open = &link.open;
        link.stream.rewrite(|tag| {
            let fetch = open.get(tag.as_ref()?)?.fetch.as_ref()?;
            Some(member::fetch(fetch, now).head)
        });
    }

    /// Gives an attempt up at its member.
    pub fn abort(&mut self, now: Timestamp, attempt: AttemptId, ends: &mut Ends) {
        self.redials.remove(attempt);
        let Some((key, txn)) = self.at.remove(&attempt) else {
            return;
        };
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        let sent = link.open.remove(&txn);
        link.idle_since = now;
        // An answer that never comes leaves a connection that is of no further use, open as it may be. Where clients wait for
        // less than that, it takes more than one of them to tell.
        let vain = sent
            .filter(|sent| link.heard <= sent.since)
            .map(|sent| now.saturating_sub(sent.since));
        link.vain += vain.unwrap_or(0);
        link.retired |= link.vain > SILENT_MOST;
        if link.stream.take_back(|tag| *tag == Some(txn)) {
            return;
        }
        link.stream.push(member::abort(txn));
        self.flush(now, key, ends);
        // Guards the rule that no two attempts of a request are out: a command that can't be written yet
        // gives nothing up, the end of the connection does.
        if self
            .links
            .get(&key)
            .is_some_and(|link| !link.stream.flushed())
        {
            self.fail(key, "blocked", ends);
        }
    }

    /// An attempt that is not begun to be written yet will not be: what was decided a while ago may be
    /// against what is known since.
    pub fn withdraw(&mut self, attempt: AttemptId, ends: &mut Ends) {
        if self.redials.remove(attempt) {
            return ends.push((attempt, End::Unplaced));
        }
        self.take_back(attempt, End::Unsent { along: false }, ends);
    }

    /// A connection has come up: what had to be written before now is not written any more. Guards against a turn that comes
    /// late, in which the connection is told of before the moments that have passed.
    fn too_late(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
        let Some(link) = self.links.get(&key) else {
            return;
        };
        let mut late: Vec<_> = link
            .open
            .values()
            .filter(|s| s.by < now)
            .map(|s| s.attempt)
            .collect();
        late.sort_unstable();
        late.into_iter()
            .for_each(|attempt| self.take_back(attempt, End::Unplaced, ends));
    }

    /// A member drains, is gone or was taken out: what was decided before and waits for its connection goes neither to it
    /// nor, by way of another, to it as a source. Guards the rule on drains: a connection may come up later than new work
    /// is allowed there. It says nothing of any member.
    pub fn leave_out(&mut self, out: EndpointId, ends: &mut Ends) {
        let meant = |link: &Link, sent: &Sent| {
            !sent.written && (link.member == out || sent.source == Some(out))
        };
        let open = self
            .links
            .values()
            .flat_map(|link| link.open.values().map(move |sent| (link, sent)));
        let mut meant: Vec<_> = open
            .filter(|(link, sent)| meant(link, sent))
            .map(|(_, sent)| sent.attempt)
            .collect();
        meant.sort_unstable();
        meant
            .into_iter()
            .for_each(|attempt| self.take_back(attempt, End::Unplaced, ends));
        ends.extend(
            self.redials
                .leave_out(out)
                .into_iter()
                .map(|attempt| (attempt, End::Unplaced)),
        );
    }

    fn take_back(&mut self, attempt: AttemptId, end: End, ends: &mut Ends) {
        let Some((key, txn)) = self.at.get(&attempt).copied() else {
            return;
        };
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        if link.stream.take_back(|tag| *tag == Some(txn)) {
            link.open.remove(&txn);
            self.at.remove(&attempt);
            ends.push((attempt, end));
        }
    }

    /// A connection that is still not up has failed.
    pub fn undialed(&mut self, key: usize, ends: &mut Ends) {
        if self.links.get(&key).is_some_and(|link| !link.up) {
            self.fail(key, "not up in time", ends);
        }
    }

    /// Goes on with a connection that can be read or written.
    pub fn ready(&mut self, now: Timestamp, key: usize, readable: bool, ends: &mut Ends) {
        let Some(link) = self.links.get_mut(&key) else {
            return;
        };
        if !link.up {
            match link.stream.connected() {
                Ok(up) => link.up = up,
                Err(e) => return self.fail(key, &e.to_string(), ends),
            }
            if !link.up {
                return;
            }
            link.heard = now;
            self.too_late(now, key, ends);
        }
        self.tell_time_left(now, key);
        self.flush(now, key, ends);
        if let Some(e) = readable.then(|| self.read(now, key, ends).err()).flatten() {
            self.fail(key, &e.to_string(), ends);
        }
    }

    fn read(&mut self, now: Timestamp, key: usize, ends: &mut Ends) -> io::Result<()> {
        for _ in 0..READS_MOST {
            let Some(link) = self.links.get_mut(&key) else {
                break;
            };
            match link.stream.fill(&mut self.scratch)? {
                None => break,
                Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(_) => (link.heard, link.vain) = (now, 0),
            }
            loop {
                let found = member::decode(link.stream.input());
                let Some((id, reply, used)) =
                    found.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
                else {
                    break;
                };
                // Guards against passing on what no member made: all that is served but a write names its copy.
                let known = std::str::from_utf8(id).ok().and_then(Txn::new);
                let read = known
                    .and_then(|txn| link.open.get(&txn))
                    .is_some_and(|sent| !sent.write);
                if read && reply.nameless() {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                // An answer to what was given up, or to nothing that was asked, is dropped.
                if let Some(sent) = known.and_then(|txn| link.open.remove(&txn)) {
                    self.at.remove(&sent.attempt);
                    ends.push((sent.attempt, End::Reply(reply)));
                    link.idle_since = now;
                } else {
                    link.strays += 1;
                    if link.strays > STRAYS_MOST + 2 * link.carried.len() {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                }
                link.stream.consume(used);
                link.begun = None;
            }
            let begun = !link.stream.input().is_empty();
            link.begun = begun.then(|| link.begun.unwrap_or(now));
            link.stream.count(&mut self.held);
            // One read is made all the same: the end of a connection is told though it is not watched, and would
            // be told again and again.
            if self.paused {
                break;
            }
        }
        Ok(())
    }

    fn flush(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
        let Some(link) = self.links.get_mut(&key).filter(|link| link.up) else {
            return;
        };
        link.idle_since = now;
        let (open, count) = (&mut link.open, &mut self.written);
        let done = |tag: Option<Txn>| {
            *count += u64::from(tag.is_some());
            tag.and_then(|txn| open.get_mut(&txn))
                .into_iter()
                .for_each(Sent::set_written);
        };
        let flushed = link
            .stream
            .flush(done)
            .and_then(|()| link.stream.rewatch(!self.paused));
        link.stream.count(&mut self.held);
        if let Err(e) = flushed {
            self.fail(key, &e.to_string(), ends);
        }
    }

    /// Gives a connection up with all that is open on it.
    fn fail(&mut self, key: usize, why: &str, ends: &mut Ends) {
        let Some(mut link) = self.links.remove(&key) else {
            return;
        };
        link.stream.discount(&mut self.held);
        if !link.open.is_empty() {
            let (member, attempts) = (member::name_of(link.member), link.open.len());
            tracing::info!(
                member,
                up = link.up,
                error = why,
                attempts,
                "connection lost"
            );
        }
        self.of
            .get_mut(&link.member)
            .into_iter()
            .for_each(|keys| keys.retain(|k| *k != key));
        let mut open: Vec<_> = link.open.into_values().collect();
        open.sort_unstable_by_key(|sent| sent.attempt);
        for (i, sent) in open.into_iter().enumerate() {
            self.at.remove(&sent.attempt);
            let along = i > 0;
            ends.push((
                sent.attempt,
                if sent.written {
                    End::Broken { along }
                } else {
                    End::Unsent { along }
                },
            ));
        }
    }

    /// Closes connections that stopped in the middle of an answer, and those that carry nothing and are old or
    /// not to be used again.
    pub fn sweep(&mut self, now: Timestamp, ends: &mut Ends) {
        let short =
            |l: &Link| now > l.heard + PART_MOST || l.begun.is_some_and(|at| now > at + self.whole);
        let part = |l: &Link| !self.paused && !l.stream.input().is_empty() && short(l);
        let part: Vec<_> = self
            .links
            .iter()
            .filter(|(_, l)| part(l))
            .map(|(key, _)| *key)
            .collect();
        part.into_iter()
            .for_each(|key| self.fail(key, "an answer stops short", ends));
        let over = |l: &Link| l.open.is_empty() && (l.retired || now > l.idle_since + self.idle);
        let over: Vec<_> = self
            .links
            .iter()
            .filter(|(_, l)| over(l))
            .map(|(key, _)| *key)
            .collect();
        over.into_iter()
            .for_each(|key| self.fail(key, "idle", &mut Vec::new()));
        self.of.retain(|_, keys| !keys.is_empty());
    }
}

#[cfg(test)]
mod tests;
