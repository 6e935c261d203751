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
const MAX_CALM_STREAMS: usize = 1;
/// Share of the members' idle time after which a connection is closed here: a request must not cross their
/// close.
const IDLE_FRACTION: f64 = 0.5;
/// Share of the connections that first ones to cache nodes may take up; the rest is for parents, the origin, and second
/// ones to nodes that are busy.
const CACHE_NODE_FRACTION: f64 = 0.75;
/// For how long, or up to twice that, a connection remembers an id that it carried: answers to it may still come.
const RECENT_ID_TIME: Micros = 10_000_000;
/// Bytes that one read takes at most, and reads of one connection in one turn: a node that sends without end keeps neither
/// timers nor the feed waiting.
const MAX_READ_BYTES: usize = 64 * 1024;
const MAX_READS_PER_TURN: usize = 4;
/// Answers to nothing that is open that a connection may bring beyond two for each id that it carried: one late and one
/// twice. More of them end it, or they would come for ever.
const MAX_UNEXPECTED_ANSWERS: usize = 16;
/// An answer of which nothing more comes for this long is broken off, and whatever is behind it with it.
const MAX_PARTIAL_ANSWER_TIME: Micros = 500_000;

/// A connection on which attempts that were given up waited for this long in all, and nothing came, gets no other.
const MAX_SILENT_WAIT: Micros = 1_000_000;

/// Attempts that ended.
pub type Ends = Vec<(AttemptId, End)>;

/// An attempt on a connection.
#[derive(Debug)]
struct Sent {
    attempt: AttemptId,
    sent_at: Timestamp,
    is_write: bool,
    /// Whom it names to fill a miss.
    source: Option<EndpointId>,
    /// All of it.
    written: bool,
    /// It is not begun to be written later than this.
    write_deadline: Timestamp,
    /// What is asked, until it is written: the time that is left is told as of the moment of writing.
    fetch: Option<Box<Fetch>>,
}

impl Sent {
    /// All of it is written: what was asked need not be kept.
    fn set_written(&mut self) {
        self.written = true;
        self.fetch = None;
    }
}

#[derive(Debug)]
struct Connection {
    stream: Stream<Option<Txn>>,
    endpoint: EndpointId,
    established: bool,
    /// Nothing new goes here.
    retired: bool,
    open_attempts: HashMap<Txn, Sent>,
    recent_ids: RecentIds,
    idle_since: Timestamp,
    /// When something came here last.
    received_at: Timestamp,
    /// Since when part of an answer is here that is not whole yet.
    partial_since: Option<Timestamp>,
    /// For how long attempts waited here that were given up, since something came.
    silent_wait: Micros,
    /// Answers that came here to nothing that was open.
    unexpected_answers: usize,
}

impl Connection {
    fn new(now: Timestamp, endpoint: EndpointId, stream: Stream<Option<Txn>>) -> Self {
        Connection {
            stream,
            endpoint,
            established: false,
            retired: false,
            open_attempts: HashMap::new(),
            recent_ids: RecentIds::default(),
            idle_since: now,
            received_at: now,
            partial_since: None,
            silent_wait: 0,
            unexpected_answers: 0,
        }
    }

    fn accepts(&self, txn: &Txn, streams: usize) -> bool {
        !self.retired
            && !self.recent_ids.has(txn)
            && self.open_attempts.len() < streams
            && !self.is_blocked()
    }

    /// Whether the rest of an answer that nobody waits for has still to come, and everything else behind it.
    fn is_blocked(&self) -> bool {
        let input = self.stream.input();
        let whose =
            || member::begun_id(input).and_then(|id| Txn::new(std::str::from_utf8(id).ok()?));
        !input.is_empty()
            && (self.open_attempts.is_empty()
                || whose().is_some_and(|txn| !self.open_attempts.contains_key(&txn)))
    }
}

/// Ids that a connection carried lately, in two generations. Guards against an answer that comes twice, or late
/// for an attempt that was given up: it would be taken for that of the next attempt under the same id.
#[derive(Debug, Default)]
struct RecentIds {
    new: HashSet<Txn>,
    old: HashSet<Txn>,
    since: Timestamp,
}

impl RecentIds {
    fn has(&self, txn: &Txn) -> bool {
        self.new.contains(txn) || self.old.contains(txn)
    }

    fn len(&self) -> usize {
        self.new.len() + self.old.len()
    }

    fn add(&mut self, now: Timestamp, txn: Txn) {
        if now > self.since + RECENT_ID_TIME {
            (self.old, self.since) = (std::mem::take(&mut self.new), now);
        }
        self.new.insert(txn);
    }
}

/// All connections to members; they belong to a member's id, since an address may come to be another's.
#[derive(Debug)]
pub struct CacheNodes {
    connections: HashMap<usize, Connection>,
    /// Connections of each member.
    by_endpoint: HashMap<EndpointId, Vec<usize>>,
    /// Where each listens, and when it started.
    listed: HashMap<EndpointId, (SocketAddr, Timestamp)>,
    by_attempt: HashMap<AttemptId, (usize, Txn)>,
    /// Attempts for which this machine could not begin a connection.
    redials: Redials,
    max_connections: usize,
    max_streams: usize,
    max_idle: Micros,
    /// An answer that is begun is whole after this long, or nobody waits for it any more.
    max_answer_time: Micros,
    /// Commands that were written whole.
    pub attempts_written: u64,
    /// Bytes held on all connections.
    buffered_bytes: usize,
    /// Nothing is read: too much is held already.
    paused: bool,
    scratch: Vec<u8>,
}

impl CacheNodes {
    /// Holds up to `max_connections` connections, each with up to `streams` attempts; nobody waits for an answer longer than `whole`.
    pub fn new(
        max_connections: usize,
        max_streams: usize,
        max_idle: Micros,
        max_answer_time: Micros,
    ) -> Self {
        CacheNodes {
            connections: HashMap::new(),
            by_endpoint: HashMap::new(),
            listed: HashMap::new(),
            by_attempt: HashMap::new(),
            redials: Redials::default(),
            max_connections,
            max_streams,
            attempts_written: 0,
            max_answer_time,
            max_idle: (max_idle as f64 * IDLE_FRACTION) as Micros,
            buffered_bytes: 0,
            paused: false,
            scratch: vec![0; MAX_READ_BYTES],
        }
    }

    /// From now on so many connections are held at most; one that carries nothing for `idle` is closed.
    pub fn limit(&mut self, max_connections: usize, idle: Option<Micros>) {
        self.max_connections = max_connections;
        self.max_idle = idle.unwrap_or(self.max_idle);
    }

    /// How many cache nodes can be reached at once, each by a connection, and how long one stays open that carries nothing.
    pub fn reach(&self) -> (usize, Micros) {
        (
            (self.max_connections as f64 * CACHE_NODE_FRACTION) as usize,
            self.max_idle,
        )
    }

    /// Whether this is a connection to a member.
    pub fn has(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// The members that are listed.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> + '_ {
        self.listed.keys().copied()
    }

    /// Bytes held on all connections.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered_bytes
    }

    /// Reads nothing more from members, or goes on. Guards the memory limit: what members send faster than
    /// clients take it stays with the members.
    pub fn pause(&mut self, now: Timestamp, paused: bool) {
        if self.paused != paused {
            self.paused = paused;
            // It can only fail for a socket that is not watched.
            for connection in self.connections.values_mut().filter(|l| l.established) {
                drop(connection.stream.rewatch(!paused));
                connection.received_at = connection.received_at.max(now);
                connection.partial_since = connection.partial_since.map(|_| now);
            }
        }
    }

    /// Makes room for one more connection, if there is none: the one that has carried nothing for longest is closed. Guards
    /// against requests that find no connection while others lie idle. Whether there is room.
    fn free_connection(&mut self) -> bool {
        if self.connections.len() < self.max_connections {
            return true;
        }
        let idle = self.connections.iter().filter(|(_, connection)| {
            connection.established && connection.open_attempts.is_empty()
        });
        let longest = idle
            .min_by_key(|(key, connection)| (!connection.retired, connection.idle_since, **key))
            .map(|(key, _)| *key);
        longest
            .into_iter()
            .for_each(|key| self.fail(key, "idle", &mut Vec::new()));
        self.connections.len() < self.max_connections
    }

    /// Takes over where a member listens. Connections to an earlier process of it get nothing new.
    pub fn update_endpoint(&mut self, entry: &EndpointEntry, address: SocketAddr) {
        let now = Some((address, entry.started));
        let before = if entry.state == EndpointState::Removed {
            self.listed.remove(&entry.member)
        } else {
            self.listed.insert(entry.member, (address, entry.started))
        };
        if entry.state == EndpointState::Removed || before.is_some() && before != now {
            for key in self.by_endpoint.get(&entry.member).into_iter().flatten() {
                self.connections
                    .get_mut(key)
                    .into_iter()
                    .for_each(|connection| connection.retired = true);
            }
        }
    }

    /// The whole list is about to come: what it lacks is gone.
    pub fn keep_only(&mut self, listed: &HashSet<EndpointId>) {
        self.listed.retain(|member, _| listed.contains(member));
        self.connections
            .values_mut()
            .filter(|l| !listed.contains(&l.endpoint))
            .for_each(|l| l.retired = true);
    }

    /// Begins a connection to a member that has none, before anything is asked there. Whether it was begun.
    pub fn connect_ahead(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        to: EndpointId,
    ) -> bool {
        let keys = self.by_endpoint.entry(to).or_default();
        let has = keys.iter().any(|key| {
            self.connections
                .get(key)
                .is_some_and(|connection| !connection.retired)
        });
        let address = self
            .listed
            .get(&to)
            .map(|l| l.0)
            .filter(|_| !has && self.connections.len() < self.max_connections);
        // What can't be begun now is begun once something is asked there.
        let stream = address.and_then(|at| {
            dial(at)
                .and_then(|socket| Stream::new(reactor, socket, key, true))
                .ok()
        });
        let begun = stream.map(|stream| {
            self.connections
                .insert(key, Connection::new(now, to, stream));
            keys.push(key);
        });
        begun.is_some()
    }

    /// How many of the members that are listed have a connection that is up.
    pub fn reached_endpoints(&self) -> usize {
        let up = |key: &usize| {
            self.connections
                .get(key)
                .is_some_and(|connection| connection.established && !connection.retired)
        };
        self.by_endpoint
            .iter()
            .filter(|(member, keys)| self.listed.contains_key(member) && keys.iter().any(up))
            .count()
    }

    /// The connection to a member that is best for this id.
    fn choose(&self, to: EndpointId, txn: &Txn) -> Option<usize> {
        let keys = self.by_endpoint.get(&to)?.iter();
        let fit = keys.filter_map(|key| {
            self.connections
                .get(key)
                .map(|connection| (key, connection))
        });
        let fit = fit.filter(|(_, connection)| connection.accepts(txn, self.max_streams));
        fit.min_by_key(|(key, connection)| {
            (
                connection.open_attempts.len(),
                !connection.established,
                **key,
            )
        })
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
            if !self.connections.get(&key).is_some_and(|connection| {
                connection.established && connection.open_attempts.is_empty()
            }) {
                return Some(key);
            }
            match self.read(now, key, ends) {
                Ok(())
                    if self
                        .connections
                        .get(&key)
                        .is_some_and(|connection| connection.accepts(txn, self.max_streams)) =>
                {
                    return Some(key)
                }
                Ok(()) => {}
                Err(e) => self.fail(key, &e.to_string(), ends),
            }
        }
    }

    /// Puts an attempt on a connection; `key` is for a new one. It is not begun to be written later than `write_deadline`. Returns the key
    /// if a connection was begun.
    pub fn send(
        &mut self,
        now: Timestamp,
        reactor: &Reactor,
        key: usize,
        (attempt, to, write_deadline): (AttemptId, EndpointId, Timestamp),
        fetch: &Fetch,
        ends: &mut Ends,
    ) -> Option<usize> {
        let mut chosen = self.choose_live(now, to, &fetch.txn, ends);
        let carries = |key: &usize| {
            self.connections
                .get(key)
                .map_or(0, |connection| connection.open_attempts.len())
        };
        let calm = chosen
            .as_ref()
            .is_some_and(|key| carries(key) < MAX_CALM_STREAMS);
        let keys = self.by_endpoint.entry(to).or_default();
        let most = (self.max_connections / self.listed.len().max(1)).max(2);
        // Those to an earlier process may stay silent for long and must not keep a new one from being reached.
        let live = keys
            .iter()
            .filter(|key| self.connections.get(key).is_some_and(|l| !l.retired))
            .count();
        let address = self
            .listed
            .get(&to)
            .map(|l| l.0)
            .filter(|_| !calm && live < most);
        // One that would only be the second to a node closes none to another.
        let room = self.connections.len() < self.max_connections;
        let room = room || address.is_some() && chosen.is_none() && self.free_connection();
        let (mut begun, mut end) = (None, End::Unplaced);
        if let Some(address) = address.filter(|_| room) {
            match dial(address).and_then(|socket| Stream::new(reactor, socket, key, true)) {
                Ok(stream) => {
                    self.redials.dialled(to);
                    self.connections
                        .insert(key, Connection::new(now, to, stream));
                    self.by_endpoint.entry(to).or_default().push(key);
                    (chosen, begun) = (Some(key), Some(key));
                }
                Err(e) if e.kind() == io::ErrorKind::ConnectionRefused => {
                    end = End::Unsent { along: false }
                }
                Err(e) if is_local(&e) && chosen.is_none() && self.redials.may_wait(now, to) => {
                    self.redials.wait(now, (attempt, to, write_deadline), fetch);
                    return None;
                }
                Err(_) => {}
            }
        }
        let connection = chosen.and_then(|key| {
            self.connections
                .get_mut(&key)
                .map(|connection| (key, connection))
        });
        let Some((key, connection)) = connection else {
            ends.push((attempt, end));
            return None;
        };
        connection.recent_ids.add(now, fetch.txn);
        let source = fetch.fill.and_then(|fill| fill.source);
        let sent = Sent {
            attempt,
            sent_at: now,
            is_write: fetch.write,
            source,
            written: false,
            write_deadline,
            fetch: None,
        };
        connection.open_attempts.insert(fetch.txn, sent);
        connection.stream.push(member::fetch(fetch, now));
        self.by_attempt.insert(attempt, (key, fetch.txn));
        self.flush(now, key, ends);
        let sent = self
            .connections
            .get_mut(&key)
            .and_then(|connection| connection.open_attempts.get_mut(&fetch.txn));
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
    fn update_time_left(&mut self, now: Timestamp, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let open = &connection.open_attempts;
        connection.stream.rewrite(|tag| {
            let fetch = open.get(tag.as_ref()?)?.fetch.as_ref()?;
            Some(member::fetch(fetch, now).head)
        });
    }

    /// Gives an attempt up at its member.
    pub fn abort(&mut self, now: Timestamp, attempt: AttemptId, ends: &mut Ends) {
        self.redials.remove(attempt);
        let Some((key, txn)) = self.by_attempt.remove(&attempt) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let sent = connection.open_attempts.remove(&txn);
        connection.idle_since = now;
        // An answer that never comes leaves a connection that is of no further use, open as it may be. Where clients wait for
        // less than that, it takes more than one of them to tell.
        let vain = sent
            .filter(|sent| connection.received_at <= sent.sent_at)
            .map(|sent| now.saturating_sub(sent.sent_at));
        connection.silent_wait += vain.unwrap_or(0);
        connection.retired |= connection.silent_wait > MAX_SILENT_WAIT;
        if connection.stream.take_back(|tag| *tag == Some(txn)) {
            return;
        }
        connection.stream.push(member::abort(txn));
        self.flush(now, key, ends);
        // Guards the rule that no two attempts of a request are out: a command that can't be written yet
        // gives nothing up, the end of the connection does.
        if self
            .connections
            .get(&key)
            .is_some_and(|connection| !connection.stream.flushed())
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
        self.withdraw_unwritten(attempt, End::Unsent { along: false }, ends);
    }

    /// A connection has come up: what had to be written before now is not written any more. Guards against a turn that comes
    /// late, in which the connection is told of before the moments that have passed.
    fn withdraw_late(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
        let Some(connection) = self.connections.get(&key) else {
            return;
        };
        let mut late: Vec<_> = connection
            .open_attempts
            .values()
            .filter(|s| s.write_deadline < now)
            .map(|s| s.attempt)
            .collect();
        late.sort_unstable();
        late.into_iter()
            .for_each(|attempt| self.withdraw_unwritten(attempt, End::Unplaced, ends));
    }

    /// A member drains, is gone or was taken out: what was decided before and waits for its connection goes neither to it
    /// nor, by way of another, to it as a source. Guards the rule on drains: a connection may come up later than new work
    /// is allowed there. It says nothing of any member.
    pub fn exclude(&mut self, out: EndpointId, ends: &mut Ends) {
        let meant = |connection: &Connection, sent: &Sent| {
            !sent.written && (connection.endpoint == out || sent.source == Some(out))
        };
        let open = self.connections.values().flat_map(|connection| {
            connection
                .open_attempts
                .values()
                .map(move |sent| (connection, sent))
        });
        let mut meant: Vec<_> = open
            .filter(|(connection, sent)| meant(connection, sent))
            .map(|(_, sent)| sent.attempt)
            .collect();
        meant.sort_unstable();
        meant
            .into_iter()
            .for_each(|attempt| self.withdraw_unwritten(attempt, End::Unplaced, ends));
        ends.extend(
            self.redials
                .leave_out(out)
                .into_iter()
                .map(|attempt| (attempt, End::Unplaced)),
        );
    }

    fn withdraw_unwritten(&mut self, attempt: AttemptId, end: End, ends: &mut Ends) {
        let Some((key, txn)) = self.by_attempt.get(&attempt).copied() else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if connection.stream.take_back(|tag| *tag == Some(txn)) {
            connection.open_attempts.remove(&txn);
            self.by_attempt.remove(&attempt);
            ends.push((attempt, end));
        }
    }

    /// A connection that is still not up has failed.
    pub fn fail_unestablished(&mut self, key: usize, ends: &mut Ends) {
        if self
            .connections
            .get(&key)
            .is_some_and(|connection| !connection.established)
        {
            self.fail(key, "not up in time", ends);
        }
    }

    /// Goes on with a connection that can be read or written.
    pub fn ready(&mut self, now: Timestamp, key: usize, readable: bool, ends: &mut Ends) {
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        if !connection.established {
            match connection.stream.connected() {
                Ok(up) => connection.established = up,
                Err(e) => return self.fail(key, &e.to_string(), ends),
            }
            if !connection.established {
                return;
            }
            connection.received_at = now;
            self.withdraw_late(now, key, ends);
        }
        self.update_time_left(now, key);
        self.flush(now, key, ends);
        if let Some(e) = readable.then(|| self.read(now, key, ends).err()).flatten() {
            self.fail(key, &e.to_string(), ends);
        }
    }

    fn read(&mut self, now: Timestamp, key: usize, ends: &mut Ends) -> io::Result<()> {
        for _ in 0..MAX_READS_PER_TURN {
            let Some(connection) = self.connections.get_mut(&key) else {
                break;
            };
            match connection.stream.fill(&mut self.scratch)? {
                None => break,
                Some(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Some(_) => (connection.received_at, connection.silent_wait) = (now, 0),
            }
            loop {
                let found = member::decode(connection.stream.input());
                let Some((id, reply, used)) =
                    found.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?
                else {
                    break;
                };
                // Guards against passing on what no member made: all that is served but a write names its copy.
                let known = std::str::from_utf8(id).ok().and_then(Txn::new);
                let read = known
                    .and_then(|txn| connection.open_attempts.get(&txn))
                    .is_some_and(|sent| !sent.is_write);
                if read && reply.nameless() {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                // An answer to what was given up, or to nothing that was asked, is dropped.
                if let Some(sent) = known.and_then(|txn| connection.open_attempts.remove(&txn)) {
                    self.by_attempt.remove(&sent.attempt);
                    ends.push((sent.attempt, End::Reply(reply)));
                    connection.idle_since = now;
                } else {
                    connection.unexpected_answers += 1;
                    if connection.unexpected_answers
                        > MAX_UNEXPECTED_ANSWERS + 2 * connection.recent_ids.len()
                    {
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                }
                connection.stream.consume(used);
                connection.partial_since = None;
            }
            let begun = !connection.stream.input().is_empty();
            connection.partial_since = begun.then(|| connection.partial_since.unwrap_or(now));
            connection.stream.count(&mut self.buffered_bytes);
            // One read is made all the same: the end of a connection is told though it is not watched, and would
            // be told again and again.
            if self.paused {
                break;
            }
        }
        Ok(())
    }

    fn flush(&mut self, now: Timestamp, key: usize, ends: &mut Ends) {
        let Some(connection) = self
            .connections
            .get_mut(&key)
            .filter(|connection| connection.established)
        else {
            return;
        };
        connection.idle_since = now;
        let (open, count) = (&mut connection.open_attempts, &mut self.attempts_written);
        let done = |tag: Option<Txn>| {
            *count += u64::from(tag.is_some());
            tag.and_then(|txn| open.get_mut(&txn))
                .into_iter()
                .for_each(Sent::set_written);
        };
        let flushed = connection
            .stream
            .flush(done)
            .and_then(|()| connection.stream.rewatch(!self.paused));
        connection.stream.count(&mut self.buffered_bytes);
        if let Err(e) = flushed {
            self.fail(key, &e.to_string(), ends);
        }
    }

    /// Gives a connection up with all that is open on it.
    fn fail(&mut self, key: usize, why: &str, ends: &mut Ends) {
        let Some(mut connection) = self.connections.remove(&key) else {
            return;
        };
        connection.stream.discount(&mut self.buffered_bytes);
        if !connection.open_attempts.is_empty() {
            let (member, attempts) = (
                member::name_of(connection.endpoint),
                connection.open_attempts.len(),
            );
            tracing::info!(
                member,
                up = connection.established,
                error = why,
                attempts,
                "connection lost"
            );
        }
        self.by_endpoint
            .get_mut(&connection.endpoint)
            .into_iter()
            .for_each(|keys| keys.retain(|k| *k != key));
        let mut open: Vec<_> = connection.open_attempts.into_values().collect();
        open.sort_unstable_by_key(|sent| sent.attempt);
        for (i, sent) in open.into_iter().enumerate() {
            self.by_attempt.remove(&sent.attempt);
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
        let short = |l: &Connection| {
            now > l.received_at + MAX_PARTIAL_ANSWER_TIME
                || l.partial_since
                    .is_some_and(|at| now > at + self.max_answer_time)
        };
        let part = |l: &Connection| !self.paused && !l.stream.input().is_empty() && short(l);
        let part: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, l)| part(l))
            .map(|(key, _)| *key)
            .collect();
        part.into_iter()
            .for_each(|key| self.fail(key, "an answer stops short", ends));
        let over = |l: &Connection| {
            l.open_attempts.is_empty() && (l.retired || now > l.idle_since + self.max_idle)
        };
        let over: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, l)| over(l))
            .map(|(key, _)| *key)
            .collect();
        over.into_iter()
            .for_each(|key| self.fail(key, "idle", &mut Vec::new()));
        self.by_endpoint.retain(|_, keys| !keys.is_empty());
    }
}

#[cfg(test)]
mod tests;
