//! Checkers of the service's rules over the whole fleet. They read one history, and what was told by the list service.
use crate::history::Observation;
use crate::list_event::{Event, State};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Times that a fleet is held to. Each has the test machine's slack in it.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From being told that a node drains until nothing new goes there.
    pub drain: Duration,
    /// From being told of a purge until nothing is answered from an older copy.
    pub purge: Duration,
    /// From a request until its final answer.
    pub answer: Duration,
    /// For how long the end of one attempt may come after the begin of the next, on different connections.
    pub overlap: Duration,
    /// A front that was killed knows what it was told before: it lies on its disk.
    pub lists_on_disk: bool,
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When.
    pub at: Duration,
    /// Which rule.
    pub rule: &'static str,
    /// Of which request.
    pub txn: u64,
    /// What was seen.
    pub text: String,
}

#[derive(Default)]
struct Request {
    front: usize,
    at: Duration,
    answers: u32,
    /// The client no longer waits, or the front could not answer.
    excused: bool,
    /// Attempts at nodes that have not ended.
    out: Vec<u32>,
    ran: u32,
}

/// What a front was told, with the moment since which it counts.
#[derive(Default)]
struct Front {
    deaf: bool,
    stopped: bool,
    nodes: HashMap<u32, (State, Duration)>,
    purges: HashMap<u64, (u64, Duration)>,
}

impl Front {
    fn free(&mut self, now: Duration) {
        // What was told meanwhile is heard from now on.
        self.nodes.values_mut().for_each(|told| told.1 = now);
        self.purges.values_mut().for_each(|told| told.1 = now);
    }
}

/// All breaches of the rules; `event` gives what was told under a number.
pub fn violations<'a>(
    history: &[(Duration, Observation)],
    event: impl Fn(u64) -> Option<&'a Event>,
    limits: &Limits,
) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut fronts: HashMap<usize, Front> = HashMap::new();
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut open: BTreeSet<u64> = BTreeSet::new();
    let mut veiled: BTreeSet<(u32, usize)> = BTreeSet::new();
    // When each could be reached again: what was held comes then.
    let mut cleared: HashMap<u32, Duration> = HashMap::new();
    // Copies that must be newer: by request and node.
    let mut newer: HashMap<(u64, u32), u64> = HashMap::new();
    // Earlier attempts that are still out though another has begun, and since when.
    let mut doubts: HashMap<(u64, u32), Duration> = HashMap::new();
    for (now, seen) in history {
        let now = *now;
        let mut breach = |rule, txn, text| {
            found.push(Violation {
                at: now,
                rule,
                txn,
                text,
            })
        };
        match *seen {
            Observation::EventSent(front, number) => {
                let front = fronts.entry(front).or_default();
                match event(number) {
                    Some(Event::Nodes(_, listed)) => {
                        for one in listed {
                            let told = front.nodes.entry(one.id).or_insert((one.state, now));
                            if told.0 != one.state {
                                *told = (one.state, now);
                            }
                        }
                    }
                    Some(Event::Purge(item, at_ms)) => {
                        front.purges.insert(*item, (*at_ms, now));
                    }
                    None => {}
                }
            }
            Observation::Killed(front) | Observation::Stopped(front) => {
                let killed = matches!(seen, Observation::Killed(_));
                let told = fronts.entry(front).or_default();
                if killed && !limits.lists_on_disk {
                    *told = Front {
                        deaf: told.deaf,
                        ..Front::default()
                    };
                }
                told.stopped = true;
                for txn in &open {
                    let request = requests.get_mut(txn).expect("it is open");
                    request.excused |= request.front == front;
                }
            }
            Observation::Resumed(front) | Observation::FeedRestored(front) => {
                let told = fronts.entry(front).or_default();
                match seen {
                    Observation::Resumed(_) => told.stopped = false,
                    _ => told.deaf = false,
                }
                told.free(now);
            }
            Observation::FeedImpaired(front) => fronts.entry(front).or_default().deaf = true,
            Observation::NodeImpaired(node, by) => drop(veiled.insert((node, by))),
            Observation::NodeRestored(node, by) => {
                if veiled.remove(&(node, by)) {
                    cleared.insert(node, now);
                }
                // What could not be made known in time is nobody's fault.
                doubts.retain(|(_, at), _| *at != node);
            }
            Observation::ClientRequest { front, txn } => {
                let excused = fronts.get(&front).is_some_and(|f| f.stopped);
                requests.insert(
                    txn,
                    Request {
                        front,
                        at: now,
                        excused,
                        ..Request::default()
                    },
                );
                open.insert(txn);
            }
            Observation::ClientResponse(front, txn, _) => {
                let Some(request) = requests.get_mut(&txn) else {
                    breach(
                        "answer",
                        txn,
                        format!("front {front} answered {txn:x}, which nobody asked"),
                    );
                    continue;
                };
                request.answers += 1;
                open.remove(&txn);
                // Nobody waits for what is still out: its node is to hear of it.
                for node in &request.out {
                    doubts.entry((txn, *node)).or_insert(now);
                }
                if request.answers > 1 {
                    breach(
                        "answer",
                        txn,
                        format!("front {front} answered {txn:x} {} times", request.answers),
                    );
                } else if now > request.at + limits.answer && !request.excused {
                    let took = now - request.at;
                    breach(
                        "answer",
                        txn,
                        format!("front {front} answered {txn:x} after {took:?}"),
                    );
                }
            }
            Observation::ClientUnanswered(_, txn) => {
                open.remove(&txn);
                let Some(request) = requests.get_mut(&txn) else {
                    continue;
                };
                if !request.excused {
                    let took = now - request.at;
                    breach(
                        "answer",
                        txn,
                        format!(
                            "front {} left {txn:x} unanswered for {took:?}",
                            request.front
                        ),
                    );
                }
            }
            Observation::Attempt {
                node,
                txn,
                item,
                source,
                ..
            } => {
                let Some(request) = requests.get_mut(&txn) else {
                    breach(
                        "asked",
                        txn,
                        format!("{node:x} was sent {txn:x}, which nobody asked"),
                    );
                    continue;
                };
                for other in &request.out {
                    doubts.entry((txn, *other)).or_insert(now);
                }
                request.out.push(node);
                let held = veiled.iter().any(|(at, _)| *at == node)
                    || cleared
                        .get(&node)
                        .is_some_and(|at| now < *at + limits.overlap);
                let free = |front: &&Front| !front.deaf && !front.stopped && !held;
                let Some(front) = fronts.get(&request.front).filter(free) else {
                    continue;
                };
                for at in [node, source] {
                    if let Some((State::Draining | State::Removed, since)) = front.nodes.get(&at) {
                        if now > *since + limits.drain {
                            let (late, by) = (now - *since, request.front);
                            let how = if at == node {
                                "sent"
                            } else {
                                "named as source for"
                            };
                            breach(
                                "drain",
                                txn,
                                format!("front {by}: {at:x} was {how} {txn:x} {late:?} after"),
                            );
                        }
                    }
                }
                if let Some((at_ms, since)) = front.purges.get(&item) {
                    if now > *since + limits.purge {
                        newer.insert((txn, node), *at_ms);
                    }
                }
            }
            Observation::Executed(txn) => {
                let request = requests.entry(txn).or_default();
                request.ran += 1;
                if request.ran > 1 {
                    breach(
                        "twice",
                        txn,
                        format!("front {}: {txn:x} ran {} times", request.front, request.ran),
                    );
                }
            }
            Observation::Aborted(node, txn)
            | Observation::ConnectionLost(node, txn)
            | Observation::Responded(node, txn, _) => {
                if let Some(request) = requests.get_mut(&txn) {
                    if let Some(place) = request.out.iter().position(|at| *at == node) {
                        request.out.swap_remove(place);
                    }
                    let front = request.front;
                    let hindered = fronts.get(&front).is_some_and(|f| f.stopped)
                        || veiled.iter().any(|(at, _)| *at == node);
                    if let Some(since) = doubts.remove(&(txn, node)) {
                        if now > since + limits.overlap && !hindered {
                            let most = now - since;
                            breach(
                                "overlap",
                                txn,
                                format!(
                                    "front {front}: {txn:x} was out {most:?} longer than it should"
                                ),
                            );
                        }
                    }
                }
                if let (Observation::Responded(_, _, born), Some(at_ms)) =
                    (*seen, newer.remove(&(txn, node)))
                {
                    if born > 0 && born < at_ms {
                        let age = at_ms - born;
                        breach(
                            "purge",
                            txn,
                            format!("{node:x} answered {txn:x} {age} ms older than the purge"),
                        );
                    }
                }
            }
            _ => {}
        }
    }
    let end = history.last().map_or(Duration::ZERO, |last| last.0);
    for ((txn, node), since) in doubts {
        if end > since + limits.overlap && veiled.iter().all(|(at, _)| *at != node) {
            let text = format!(
                "{txn:x} was still out at {node:x} though another had begun or it was answered"
            );
            found.push(Violation {
                at: since,
                rule: "overlap",
                txn,
                text,
            });
        }
    }
    for txn in open {
        let request = &requests[&txn];
        if end > request.at + limits.answer && !request.excused {
            let text = format!("front {} never answered {txn:x}", request.front);
            found.push(Violation {
                at: request.at,
                rule: "answer",
                txn,
                text,
            });
        }
    }
    found.sort_by_key(|breach| breach.at);
    found
}

/// What a node bears that started lately, as the platform's settings say it.
#[derive(Clone, Copy, Debug)]
pub struct WarmUpLimits {
    /// Share of its capacity with which it starts, and how long it takes to have all of it.
    pub from: f64,
    /// See above.
    pub warm_in: Duration,
    /// It falls when it is sent more than this many times what it can do, for this long.
    pub multiple: f64,
    /// See above.
    pub span: Duration,
    /// What one request takes of one of its places.
    pub work: Duration,
}

impl WarmUpLimits {
    /// Requests that a node of so many places bears within the span, which ends so long after its start.
    fn bears(&self, weight: u32, age: Duration) -> f64 {
        let warm = (age.as_secs_f64() / self.warm_in.as_secs_f64()).min(1.0);
        let places = f64::from(weight) * (self.from + (1.0 - self.from) * warm);
        let n = self.multiple * places * self.span.as_secs_f64() / self.work.as_secs_f64();
        n + 3.0 * n.sqrt() + 3.0
    }
}

/// Nodes that were pushed over while they were cold: by all fronts together that had been told of their start.
pub fn warm_up_violations<'a>(
    history: &[(Duration, Observation)],
    event: impl Fn(u64) -> Option<&'a Event>,
    cold: &WarmUpLimits,
) -> Vec<Violation> {
    let mut found = Vec::new();
    // By node: its size, the start that it is listed with, when that was first told, who knows, and what came from them.
    type Started = (u32, u64, Duration, BTreeSet<usize>, VecDeque<Duration>);
    let mut started: HashMap<u32, Started> = HashMap::new();
    for (now, seen) in history {
        match *seen {
            Observation::EventSent(front, number) => {
                let Some(Event::Nodes(_, listed)) = event(number) else {
                    continue;
                };
                for one in listed
                    .iter()
                    .filter(|one| one.started_ms > 0 && one.state == State::Ready)
                {
                    let node = started
                        .entry(one.id)
                        .or_insert_with(|| (one.weight, 0, *now, BTreeSet::new(), VecDeque::new()));
                    if node.1 != one.started_ms {
                        *node = (
                            one.weight,
                            one.started_ms,
                            *now,
                            BTreeSet::new(),
                            VecDeque::new(),
                        );
                    }
                    node.3.insert(front);
                }
            }
            Observation::Attempt { node: id, txn, .. } => {
                let front = (txn >> 40) as usize;
                let Some((weight, _, since, knows, sent)) = started.get_mut(&id) else {
                    continue;
                };
                if !front
                    .checked_sub(1)
                    .is_some_and(|front| knows.contains(&front))
                {
                    continue;
                }
                sent.push_back(*now);
                while sent.front().is_some_and(|at| *at + cold.span < *now) {
                    sent.pop_front();
                }
                let (age, count) = (*now - *since, sent.len());
                if age < cold.warm_in && count as f64 > cold.bears(*weight, age) {
                    let text = format!(
                        "{id:x} was sent {count} in {:?}, {age:?} after its start",
                        cold.span
                    );
                    found.push(Violation {
                        at: *now,
                        rule: "cold",
                        txn,
                        text,
                    });
                    sent.clear();
                }
            }
            _ => {}
        }
    }
    found
}

/// What was seen of the request of a breach, and of faults from a second before it on, for who reads why.
pub fn context(history: &[(Duration, Observation)], breach: &Violation) -> String {
    let (from, to) = (
        breach.at.saturating_sub(Duration::from_secs(1)),
        breach.at + Duration::from_millis(100),
    );
    let front = history.iter().find_map(|(_, seen)| match *seen {
        Observation::ClientRequest { front, txn } if txn == breach.txn => Some(front),
        _ => None,
    });
    let of_it = |seen: &Observation| match *seen {
        Observation::EventSent(to, _) => (Some(to) != front).then_some(false),
        Observation::Attempt { txn, .. } | Observation::ClientRequest { txn, .. } => {
            Some(txn == breach.txn)
        }
        Observation::Executed(txn)
        | Observation::Aborted(_, txn)
        | Observation::ConnectionLost(_, txn)
        | Observation::Responded(_, txn, _) => Some(txn == breach.txn),
        Observation::ClientResponse(_, txn, _) | Observation::ClientUnanswered(_, txn) => {
            Some(txn == breach.txn)
        }
        Observation::Call
        | Observation::Subscribed(_)
        | Observation::SubscriptionEnded
        | Observation::Accepted(_)
        | Observation::ConnectionRejected(_) => Some(false),
        _ => None,
    };
    let shown = history
        .iter()
        .filter(|(at, seen)| of_it(seen).unwrap_or_else(|| (from..to).contains(at)));
    shown
        .map(|(at, seen)| format!("{at:?} {seen:?}\n"))
        .collect()
}

#[cfg(test)]
mod tests;
