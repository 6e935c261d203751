//! Connections over which boxes are purged: one to each, beside those of requests. What goes out when is chosen in
//! `cranesill_purges::replication`.
use crate::protocol::{member, purge};
use crate::server::drivers::Turn;
use crate::transport::{dial, Stream};
use cranesill::api::{EndpointId, Micros, Timestamp};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::replication::{NodeReport, Replication};
use cranesill_purges::PurgeNumber;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

/// A connection that is not up, or whose box has not said how it stands, after this long has failed.
const HELLO_MOST: Micros = 2_000_000;
/// A batch that is not confirmed after this long ends its connection: it may stay open and silent for ever.
const CONFIRM_MOST: Micros = 4_000_000;
/// Pauses between two tries to connect: the first, and the longest.
const RETRY_FIRST: Micros = 200_000;
const RETRY_MOST: Micros = 10_000_000;
const READ_MOST: usize = 4 * 1024;

#[derive(Debug)]
struct Link {
    member: u64,
    stream: Stream<()>,
    /// The command that is out, and what it carries up to; 0: the question how it stands.
    asked: (u64, PurgeNumber),
    since: Timestamp,
    greeted: bool,
    /// A command is out.
    waits: bool,
}

#[derive(Debug)]
struct Seat {
    address: SocketAddr,
    link: Option<usize>,
    due: Timestamp,
    failures: u32,
}

/// Boxes that speak of purges, and the connections to them.
#[derive(Debug)]
pub struct BoxLinks {
    boxes: Replication,
    seats: BTreeMap<u64, Seat>,
    links: HashMap<usize, Link>,
    /// Connections at once.
    most: usize,
    last: u64,
    scratch: Vec<u8>,
    confirmed: PurgeNumber,
}

impl BoxLinks {
    /// No boxes yet.
    pub fn new(now: Timestamp, ledger: &PurgeLog, per_s: f64, most: usize) -> Self {
        BoxLinks {
            boxes: Replication::new(now, ledger.identity, per_s),
            seats: BTreeMap::new(),
            links: HashMap::new(),
            most,
            last: 0,
            scratch: vec![0; READ_MOST],
            confirmed: 0,
        }
    }

    /// Takes over where members listen; `None`: one has gone.
    pub fn list(&mut self, now: Timestamp, members: &[(u64, Option<SocketAddr>)], whole: bool) {
        if whole {
            let gone: Vec<_> = self
                .seats
                .keys()
                .filter(|id| !members.iter().any(|m| m.0 == **id))
                .copied()
                .collect();
            gone.into_iter().for_each(|id| self.gone(id));
        }
        for (id, address) in members {
            match address {
                None => self.gone(*id),
                Some(address) if self.seats.get(id).is_some_and(|s| s.address == *address) => {}
                Some(address) => {
                    // Another address is another process: what it holds has to be asked anew.
                    let old = self.seats.get_mut(id).and_then(|s| s.link.take());
                    old.and_then(|key| self.links.remove(&key));
                    self.boxes.add_node(*id);
                    self.boxes.disconnected(now, *id);
                    let seat = Seat {
                        address: *address,
                        link: None,
                        due: now,
                        failures: 0,
                    };
                    self.seats.insert(*id, seat);
                }
            }
        }
    }

    fn gone(&mut self, id: u64) {
        if let Some(key) = self.seats.remove(&id).and_then(|seat| seat.link) {
            self.links.remove(&key);
        }
        self.boxes.remove_node(id);
    }

    /// Whether this is a connection to a box.
    pub fn has(&self, key: usize) -> bool {
        self.links.contains_key(&key)
    }

    /// A box was caught with a copy that it had confirmed to be gone.
    pub fn lied(&mut self, now: Timestamp, id: u64) {
        if self.boxes.confirmed_by(id) > 0 {
            tracing::warn!(
                kind = "lied",
                member = member::name_of(EndpointId(id)),
                "purges: a box served what it had purged"
            );
            self.boxes.stale_copy_served(now, id);
        }
    }

    /// Goes on with a connection.
    pub fn ready(&mut self, now: Timestamp, key: usize, head: PurgeNumber) {
        if let Err(error) = self.go_on(now, key, head) {
            self.fail(now, key, &error.to_string());
        }
    }

    fn go_on(&mut self, now: Timestamp, key: usize, head: PurgeNumber) -> io::Result<()> {
        let Some(link) = self.links.get_mut(&key) else {
            return Ok(());
        };
        if !link.stream.connected()? {
            return Ok(());
        }
        link.stream.flush(|()| {})?;
        link.stream.rewatch(true)?;
        while let Some(n) = link.stream.fill(&mut self.scratch)? {
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            loop {
                let found =
                    purge::decode(link.stream.input()).map_err(|e| io::Error::other(e.0))?;
                let Some((word, used)) = found else { break };
                link.stream.consume(used);
                // A repeat, or an answer to nothing that is out, tells nothing.
                if word.id != link.asked.0 {
                    continue;
                }
                (link.since, link.waits) = (now, false);
                if link.greeted {
                    self.boxes.confirmed(now, link.member, word.upto);
                } else {
                    link.greeted = true;
                    self.boxes.connected(
                        link.member,
                        NodeReport {
                            log: word.ledger,
                            applied: word.upto,
                            empty: word.empty,
                        },
                        head,
                    );
                    if let Some(seat) = self.seats.get_mut(&link.member) {
                        seat.failures = 0;
                    }
                }
            }
        }
        Ok(())
    }

    fn fail(&mut self, now: Timestamp, key: usize, why: &str) {
        let Some(link) = self.links.remove(&key) else {
            return;
        };
        self.boxes.disconnected(now, link.member);
        if let Some(seat) = self.seats.get_mut(&link.member) {
            seat.link = None;
            seat.failures += 1;
            seat.due = now + (RETRY_FIRST << (seat.failures - 1).min(10)).min(RETRY_MOST);
            if seat.failures == 1 {
                let member = member::name_of(EndpointId(link.member));
                tracing::info!(
                    kind = "box-lost",
                    member,
                    error = why,
                    "purges: no connection to a box"
                );
            }
        }
    }

    /// Connects and sends what is due.
    pub fn work(&mut self, turn: &mut Turn<'_>, ledger: &PurgeLog) {
        let now = turn.now;
        let quiet = |l: &Link| {
            let most = if l.greeted { CONFIRM_MOST } else { HELLO_MOST };
            l.waits && now > l.since + most
        };
        let quiet: Vec<_> = self
            .links
            .iter()
            .filter(|(_, l)| quiet(l))
            .map(|(key, _)| *key)
            .collect();
        quiet
            .into_iter()
            .for_each(|key| self.fail(now, key, "it says nothing"));
        let due = self
            .seats
            .iter()
            .filter(|(_, s)| s.link.is_none() && s.due <= now)
            .map(|(id, _)| *id);
        for id in due.collect::<Vec<_>>() {
            if self.links.len() >= self.most {
                break;
            }
            let key = turn.key();
            self.last += 1;
            let Some(seat) = self.seats.get_mut(&id) else {
                continue;
            };
            match dial(seat.address).and_then(|s| Stream::new(turn.reactor, s, key, true)) {
                Ok(mut stream) => {
                    stream.push(purge::batch(self.last, ledger.identity, 0, 0, &[]));
                    seat.link = Some(key);
                    let asked = (self.last, 0);
                    self.links.insert(
                        key,
                        Link {
                            member: id,
                            stream,
                            asked,
                            since: now,
                            greeted: false,
                            waits: true,
                        },
                    );
                }
                Err(_) => {
                    seat.failures += 1;
                    seat.due = now + (RETRY_FIRST << (seat.failures - 1).min(10)).min(RETRY_MOST);
                }
            }
        }
        for batch in self
            .boxes
            .next_batches(now, ledger.base(), ledger.last_number())
        {
            let key = self.seats.get(&batch.node).and_then(|s| s.link);
            let Some((key, link)) =
                key.and_then(|key| self.links.get_mut(&key).map(|link| (key, link)))
            else {
                continue;
            };
            let mut purges = ledger.batch_after(batch.after).unwrap_or_default();
            purges.truncate((batch.through - batch.after) as usize);
            self.last += 1;
            link.asked = (self.last, batch.through);
            (link.since, link.waits) = (now, true);
            link.stream.push(purge::batch(
                self.last,
                ledger.identity,
                batch.after,
                batch.through,
                &purges,
            ));
            if let Err(error) = link
                .stream
                .flush(|()| {})
                .and_then(|()| link.stream.rewatch(true))
            {
                self.fail(now, key, &error.to_string());
            }
        }
    }

    /// When there may be something to be done without anything else happening.
    pub fn next(&self, now: Timestamp, head: PurgeNumber) -> Option<Timestamp> {
        let full = self.links.len() >= self.most;
        let dial = self
            .seats
            .values()
            .filter(|s| s.link.is_none() && !full)
            .map(|s| s.due)
            .min();
        let hello = self
            .links
            .values()
            .filter(|l| l.waits)
            .map(|l| l.since + HELLO_MOST + 1)
            .min();
        [dial, hello, self.boxes.next_wakeup(now, head)]
            .into_iter()
            .flatten()
            .min()
    }

    /// What all boxes have confirmed, if that has changed.
    pub fn changed(&mut self) -> Option<PurgeNumber> {
        let now = self.boxes.confirmed_by_all().unwrap_or(0);
        (std::mem::replace(&mut self.confirmed, now) != now).then_some(now)
    }

    /// What all boxes have confirmed.
    pub fn confirmed(&self) -> PurgeNumber {
        self.boxes.confirmed_by_all().unwrap_or(0)
    }

    /// Boxes that have not confirmed a number, by name.
    pub fn missing(&self, number: PurgeNumber) -> Vec<String> {
        self.boxes
            .unconfirmed(number)
            .into_iter()
            .map(|id| member::name_of(EndpointId(id)))
            .collect()
    }

    /// How each box stands.
    pub fn rows(&self) -> Vec<Value> {
        let row = |r: cranesill_purges::replication::NodeStatus| {
            json!({"box": member::name_of(EndpointId(r.id)), "confirmed": r.confirmed, "connected": r.connected,
                   "slow": r.slow, "lies": r.stale_copies})
        };
        self.boxes.statuses().map(row).collect()
    }
}
