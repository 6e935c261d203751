//! Checkers of the invariants of a fleet, based on the history and the published events.
mod context;
mod warm_up;

pub use context::context;
pub use warm_up::{warm_up_violations, WarmUpLimits};

use crate::history::Observation;
use crate::list_event::{Event, State};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Time limits of the invariants, including the tolerance for a busy test machine.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// From the event that drains a node until no new attempt may go to it.
    pub drain: Duration,
    /// From a purge event until no response may come from an older copy.
    pub purge: Duration,
    /// From a client's request until its response.
    pub response: Duration,
    /// How long an attempt may outlast the start of the next one, which is on another connection.
    pub overlap: Duration,
    /// Whether a restarted front has the list from its disk and is bound by events that it received before.
    pub lists_on_disk: bool,
}

/// Violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time in the history.
    pub at: Duration,
    /// Name of the invariant.
    pub rule: &'static str,
    /// Transaction id of the affected request.
    pub txn: u64,
    /// Description with the affected front or node.
    pub text: String,
}

#[derive(Default)]
struct Request {
    front: usize,
    at: Duration,
    responses: u32,
    /// The client disconnected, or the front was unable to respond.
    excused: bool,
    /// Nodes with attempts that have not ended.
    outstanding: Vec<u32>,
    executions: u32,
    /// Number of attempts that arrived at nodes.
    attempts: u32,
    /// The connection was shut before the front read the request.
    shut_unread: bool,
}

/// Shutdown of a front after SIGTERM.
#[derive(Clone, Copy)]
struct Shutdown {
    terminated_at: Duration,
    exited_at: Option<Duration>,
}

impl Shutdown {
    /// Whether the front may shut the connection of a request that was sent at this time without reading the request.
    fn may_cross(&self, sent_at: Duration) -> bool {
        sent_at >= self.terminated_at + GUARANTEED_SERVICE
            && self.exited_at.is_none_or(|exited_at| sent_at <= exited_at)
    }
}

/// A front answers requests that are sent within this time after SIGTERM.
const GUARANTEED_SERVICE: Duration = Duration::from_millis(600);

/// Events that a front has received, each with the time from which it is bound by them.
#[derive(Default)]
struct Front {
    feed_impaired: bool,
    stopped: bool,
    shutdowns: Vec<Shutdown>,
    nodes: HashMap<u32, (State, Duration)>,
    purges: HashMap<u64, (u64, Duration)>,
}

impl Front {
    /// A front that ends loses what its list service has told it.
    fn forget_list(&mut self) {
        self.nodes.clear();
        self.purges.clear();
    }

    fn restart_grace(&mut self, now: Duration) {
        // Events that arrived in the meantime are read from now on.
        self.nodes.values_mut().for_each(|state| state.1 = now);
        self.purges.values_mut().for_each(|state| state.1 = now);
    }
}

/// Finds all violations; `event` returns the event with a number.
pub fn violations<'a>(
    history: &[(Duration, Observation)],
    event: impl Fn(u64) -> Option<&'a Event>,
    limits: &Limits,
) -> Vec<Violation> {
    let mut found = Vec::new();
    let mut fronts: HashMap<usize, Front> = HashMap::new();
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut open: BTreeSet<u64> = BTreeSet::new();
    let mut impaired: BTreeSet<(u32, usize)> = BTreeSet::new();
    // Time at which an impaired node became reachable; bytes that the link held arrive then.
    let mut restored: HashMap<u32, Duration> = HashMap::new();
    // Creation time that a response must reach, by request and node.
    let mut required_creation: HashMap<(u64, u32), u64> = HashMap::new();
    // Attempts still open after a later attempt or the response, with the time of that.
    let mut superseded: HashMap<(u64, u32), Duration> = HashMap::new();
    for (now, seen) in history {
        let now = *now;
        let mut report = |rule, txn, text| {
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
                            let state = front.nodes.entry(one.id).or_insert((one.state, now));
                            if state.0 != one.state {
                                *state = (one.state, now);
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
                let state = fronts.entry(front).or_default();
                if killed && !limits.lists_on_disk {
                    state.forget_list();
                }
                state.stopped = true;
                for txn in &open {
                    let request = requests.get_mut(txn).expect("open request");
                    request.excused |= request.front == front;
                }
            }
            Observation::Terminated(front) => {
                let shutdowns = &mut fronts.entry(front).or_default().shutdowns;
                shutdowns.push(Shutdown {
                    terminated_at: now,
                    exited_at: None,
                });
            }
            // Open requests are not excused: the front had to answer them first.
            Observation::Exited(front) => {
                let state = fronts.entry(front).or_default();
                if !limits.lists_on_disk {
                    state.forget_list();
                }
                state.stopped = true;
                for shutdown in &mut state.shutdowns {
                    shutdown.exited_at.get_or_insert(now);
                }
            }
            Observation::Resumed(front) | Observation::FeedRestored(front) => {
                let state = fronts.entry(front).or_default();
                match seen {
                    Observation::Resumed(_) => state.stopped = false,
                    _ => state.feed_impaired = false,
                }
                state.restart_grace(now);
            }
            Observation::FeedImpaired(front) => {
                fronts.entry(front).or_default().feed_impaired = true
            }
            Observation::NodeImpaired(node, by) => drop(impaired.insert((node, by))),
            Observation::NodeRestored(node, by) => {
                if impaired.remove(&(node, by)) {
                    restored.insert(node, now);
                }
                // A cancellation that could not be delivered in time is not the front's fault.
                superseded.retain(|(_, at), _| *at != node);
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
                    report(
                        "response",
                        txn,
                        format!(
                            "front {front} sent a response to {txn:x}, which no client requested"
                        ),
                    );
                    continue;
                };
                request.responses += 1;
                open.remove(&txn);
                // The client has its response: attempts still open have to be cancelled.
                for node in &request.outstanding {
                    superseded.entry((txn, *node)).or_insert(now);
                }
                if request.responses > 1 {
                    report(
                        "response",
                        txn,
                        format!(
                            "front {front} sent {} responses to {txn:x}",
                            request.responses
                        ),
                    );
                } else if now > request.at + limits.response && !request.excused {
                    let took = now - request.at;
                    report(
                        "response",
                        txn,
                        format!("front {front} responded to {txn:x} after {took:?}"),
                    );
                }
            }
            Observation::ClientUnanswered(_, txn) => {
                open.remove(&txn);
                let Some(request) = requests.get_mut(&txn) else {
                    continue;
                };
                let shutdowns = fronts.get(&request.front).map(|front| &front.shutdowns);
                let may_cross = shutdowns
                    .into_iter()
                    .flatten()
                    .any(|shutdown| shutdown.may_cross(request.at));
                let took = now - request.at;
                request.shut_unread = may_cross && request.attempts == 0 && took <= limits.overlap;
                if !request.excused && !request.shut_unread {
                    report(
                        "response",
                        txn,
                        format!(
                            "front {} sent no response to {txn:x} for {took:?}; the client disconnected",
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
                    report(
                        "unrequested",
                        txn,
                        format!("node {node:x} received {txn:x}, which no client requested"),
                    );
                    continue;
                };
                if request.shut_unread {
                    report(
                        "response",
                        txn,
                        format!("front {}: {txn:x} was forwarded to {node:x} after its connection was shut", request.front),
                    );
                }
                request.attempts += 1;
                for other in &request.outstanding {
                    superseded.entry((txn, *other)).or_insert(now);
                }
                request.outstanding.push(node);
                let recently_impaired = impaired.iter().any(|(at, _)| *at == node)
                    || restored
                        .get(&node)
                        .is_some_and(|at| now < *at + limits.overlap);
                let reachable =
                    |front: &&Front| !front.feed_impaired && !front.stopped && !recently_impaired;
                let Some(front) = fronts.get(&request.front).filter(reachable) else {
                    continue;
                };
                for at in [node, source] {
                    if let Some((State::Draining | State::Removed, since)) = front.nodes.get(&at) {
                        if now > *since + limits.drain {
                            let (late, by) = (now - *since, request.front);
                            let how = if at == node {
                                "sent"
                            } else {
                                "named as the source of"
                            };
                            report(
                                "drain",
                                txn,
                                format!("front {by}: node {at:x} was {how} {txn:x} {late:?} after the event that drained or removed it"),
                            );
                        }
                    }
                }
                if let Some((at_ms, since)) = front.purges.get(&item) {
                    if now > *since + limits.purge {
                        required_creation.insert((txn, node), *at_ms);
                    }
                }
            }
            Observation::Executed(txn) => {
                let request = requests.entry(txn).or_default();
                request.executions += 1;
                if request.executions > 1 {
                    report(
                        "repeated write",
                        txn,
                        format!(
                            "front {}: write {txn:x} was executed {} times",
                            request.front, request.executions
                        ),
                    );
                }
            }
            Observation::Aborted(node, txn)
            | Observation::ConnectionLost(node, txn)
            | Observation::Responded(node, txn, _) => {
                if let Some(request) = requests.get_mut(&txn) {
                    if let Some(index) = request.outstanding.iter().position(|at| *at == node) {
                        request.outstanding.swap_remove(index);
                    }
                    let front = request.front;
                    let excused = fronts.get(&front).is_some_and(|f| f.stopped)
                        || impaired.iter().any(|(at, _)| *at == node);
                    if let Some(since) = superseded.remove(&(txn, node)) {
                        if now > since + limits.overlap && !excused {
                            let open_for = now - since;
                            report(
                                "overlap",
                                txn,
                                format!(
                                    "front {front}: attempt of {txn:x} at {node:x} stayed open for {open_for:?} after the next attempt or the response"
                                ),
                            );
                        }
                    }
                }
                if let (Observation::Responded(_, _, created_ms), Some(at_ms)) =
                    (*seen, required_creation.remove(&(txn, node)))
                {
                    if created_ms > 0 && created_ms < at_ms {
                        let age = at_ms - created_ms;
                        report(
                            "purge",
                            txn,
                            format!("node {node:x} responded to {txn:x} from a copy {age} ms older than the purge"),
                        );
                    }
                }
            }
            _ => {}
        }
    }
    let end = history.last().map_or(Duration::ZERO, |last| last.0);
    for ((txn, node), since) in superseded {
        if end > since + limits.overlap && impaired.iter().all(|(at, _)| *at != node) {
            let text = format!(
                "attempt of {txn:x} at {node:x} was never ended after the next attempt or the response"
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
        if end > request.at + limits.response && !request.excused {
            let text = format!("front {} sent no response to {txn:x}", request.front);
            found.push(Violation {
                at: request.at,
                rule: "response",
                txn,
                text,
            });
        }
    }
    found.sort_by_key(|violation| violation.at);
    found
}

#[cfg(test)]
mod tests;
