//! Replays a history and checks the invariants at each observation.
use super::{Limits, Violation};
use crate::history::Observation;
use crate::list_event::{Event, State};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// A front answers requests that are sent within this time after SIGTERM.
const GUARANTEED_SERVICE: Duration = Duration::from_millis(600);

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

/// The state of a node in the list that a front has received, and the time from which the front is bound by it.
struct ListedState {
    state: State,
    since: Duration,
}

/// A purge that a front has received, and the time from which the front is bound by it.
struct ReceivedPurge {
    at_ms: u64,
    since: Duration,
}

/// What a front has received, and what prevents it from following the rules.
#[derive(Default)]
struct Front {
    feed_impaired: bool,
    stopped: bool,
    shutdowns: Vec<Shutdown>,
    nodes: HashMap<u32, ListedState>,
    purges: HashMap<u64, ReceivedPurge>,
}

impl Front {
    /// Applies an event of the list service.
    fn receive(&mut self, now: Duration, event: Option<&Event>) {
        match event {
            Some(Event::Nodes(_, listed)) => {
                for node in listed {
                    self.update_node(now, node.id, node.state);
                }
            }
            Some(Event::Purge(item, at_ms)) => {
                let purge = ReceivedPurge {
                    at_ms: *at_ms,
                    since: now,
                };
                self.purges.insert(*item, purge);
            }
            None => {}
        }
    }

    fn update_node(&mut self, now: Duration, id: u32, state: State) {
        let updated = ListedState { state, since: now };
        let known = self.nodes.get(&id);
        if known.is_none_or(|known| known.state != state) {
            self.nodes.insert(id, updated);
        }
    }

    /// A front that ends loses what its list service has sent.
    fn forget_list(&mut self) {
        self.nodes.clear();
        self.purges.clear();
    }

    /// Events that arrived in the meantime are read from now on.
    fn restart_grace(&mut self, now: Duration) {
        self.nodes.values_mut().for_each(|node| node.since = now);
        self.purges.values_mut().for_each(|purge| purge.since = now);
    }
}

/// An attempt: the transaction id of its request and the node that received it.
type AttemptKey = (u64, u32);

/// The state of a replay.
pub(super) struct Checker<'l> {
    limits: &'l Limits,
    now: Duration,
    found: Vec<Violation>,
    fronts: HashMap<usize, Front>,
    requests: BTreeMap<u64, Request>,
    /// Requests without a response.
    open: BTreeSet<u64>,
    /// Impaired nodes, each with the link group that is the cause.
    impaired: BTreeSet<(u32, usize)>,
    /// Time at which an impaired node became reachable; bytes that the link held arrive then.
    restored: HashMap<u32, Duration>,
    /// Creation time that a response must reach.
    required_creation: HashMap<AttemptKey, u64>,
    /// Attempts still open after a later attempt or the response, with the time of that.
    superseded: HashMap<AttemptKey, Duration>,
}

impl<'l> Checker<'l> {
    pub(super) fn new(limits: &'l Limits) -> Self {
        Checker {
            limits,
            now: Duration::ZERO,
            found: Vec::new(),
            fronts: HashMap::new(),
            requests: BTreeMap::new(),
            open: BTreeSet::new(),
            impaired: BTreeSet::new(),
            restored: HashMap::new(),
            required_creation: HashMap::new(),
            superseded: HashMap::new(),
        }
    }

    /// Checks the next observation; `event` returns the event with a number.
    pub(super) fn observe<'e>(
        &mut self,
        now: Duration,
        seen: Observation,
        event: impl Fn(u64) -> Option<&'e Event>,
    ) {
        self.now = now;
        match seen {
            Observation::EventSent(front, number) => self.front(front).receive(now, event(number)),
            Observation::Killed(front) => self.killed(front),
            Observation::Stopped(front) => self.stopped(front),
            Observation::Terminated(front) => self.terminated(front),
            Observation::Exited(front) => self.exited(front),
            Observation::Resumed(front) => {
                self.front(front).stopped = false;
                self.front(front).restart_grace(now);
            }
            Observation::FeedImpaired(front) => self.front(front).feed_impaired = true,
            Observation::FeedRestored(front) => {
                self.front(front).feed_impaired = false;
                self.front(front).restart_grace(now);
            }
            Observation::NodeImpaired(node, by) => drop(self.impaired.insert((node, by))),
            Observation::NodeRestored(node, by) => self.node_restored(node, by),
            Observation::ClientRequest { front, txn } => self.client_request(front, txn),
            Observation::ClientResponse(front, txn, _) => self.client_response(front, txn),
            Observation::ClientUnanswered(_, txn) => self.client_unanswered(txn),
            Observation::Attempt {
                node,
                txn,
                item,
                source,
                ..
            } => self.attempt(node, txn, item, source),
            Observation::Executed(txn) => self.executed(txn),
            Observation::Aborted(node, txn) | Observation::ConnectionLost(node, txn) => {
                self.attempt_ended(node, txn);
                self.required_creation.remove(&(txn, node));
            }
            Observation::Responded(node, txn, created_ms) => {
                self.attempt_ended(node, txn);
                self.check_creation(node, txn, created_ms);
            }
            _ => {}
        }
    }

    /// Checks what is still open at the end of the history, and returns all violations in the order of their times.
    pub(super) fn finish(mut self) -> Vec<Violation> {
        self.check_unended_attempts();
        self.check_unanswered_requests();
        self.found.sort_by_key(|violation| violation.at);
        self.found
    }

    fn front(&mut self, front: usize) -> &mut Front {
        self.fronts.entry(front).or_default()
    }

    fn report(&mut self, rule: &'static str, txn: u64, text: String) {
        let at = self.now;
        self.report_at(at, rule, txn, text);
    }

    fn report_at(&mut self, at: Duration, rule: &'static str, txn: u64, text: String) {
        self.found.push(Violation {
            at,
            rule,
            txn,
            text,
        });
    }

    fn killed(&mut self, front: usize) {
        if !self.limits.lists_on_disk {
            self.front(front).forget_list();
        }
        self.stopped(front);
    }

    fn stopped(&mut self, front: usize) {
        self.front(front).stopped = true;
        for txn in &self.open {
            let request = self.requests.get_mut(txn).expect("open request");
            request.excused |= request.front == front;
        }
    }

    fn terminated(&mut self, front: usize) {
        let shutdown = Shutdown {
            terminated_at: self.now,
            exited_at: None,
        };
        self.front(front).shutdowns.push(shutdown);
    }

    /// Open requests are not excused: the front had to answer them first.
    fn exited(&mut self, front: usize) {
        let (now, lists_on_disk) = (self.now, self.limits.lists_on_disk);
        let state = self.front(front);
        if !lists_on_disk {
            state.forget_list();
        }
        state.stopped = true;
        for shutdown in &mut state.shutdowns {
            shutdown.exited_at.get_or_insert(now);
        }
    }

    fn node_restored(&mut self, node: u32, by: usize) {
        if self.impaired.remove(&(node, by)) {
            self.restored.insert(node, self.now);
        }
        // A cancellation that could not be delivered in time is not the front's fault.
        self.superseded.retain(|(_, at), _| *at != node);
    }

    fn client_request(&mut self, front: usize, txn: u64) {
        let excused = self.is_stopped(front);
        let request = Request {
            front,
            at: self.now,
            excused,
            ..Request::default()
        };
        self.requests.insert(txn, request);
        self.open.insert(txn);
    }

    fn client_response(&mut self, front: usize, txn: u64) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&txn) else {
            let text =
                format!("front {front} sent a response to {txn:x}, which no client requested");
            return self.report("response", txn, text);
        };
        request.responses += 1;
        self.open.remove(&txn);
        // The client has its response: attempts still open have to be cancelled.
        for node in &request.outstanding {
            self.superseded.entry((txn, *node)).or_insert(now);
        }
        let responses = request.responses;
        let took = now.saturating_sub(request.at);
        if responses > 1 {
            let text = format!("front {front} sent {responses} responses to {txn:x}");
            self.report("response", txn, text);
        } else if took > self.limits.response && !request.excused {
            let text = format!("front {front} responded to {txn:x} after {took:?}");
            self.report("response", txn, text);
        }
    }

    fn client_unanswered(&mut self, txn: u64) {
        self.open.remove(&txn);
        let Some(request) = self.requests.get_mut(&txn) else {
            return;
        };
        let front = request.front;
        let shutdowns = self.fronts.get(&front).map(|front| &front.shutdowns);
        let may_cross = shutdowns
            .into_iter()
            .flatten()
            .any(|shutdown| shutdown.may_cross(request.at));
        let took = self.now - request.at;
        request.shut_unread = may_cross && request.attempts == 0 && took <= self.limits.overlap;
        if !request.excused && !request.shut_unread {
            let text = format!(
                "front {front} sent no response to {txn:x} for {took:?}; the client disconnected"
            );
            self.report("response", txn, text);
        }
    }

    fn attempt(&mut self, node: u32, txn: u64, item: u64, source: u32) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&txn) else {
            let text = format!("node {node:x} received {txn:x}, which no client requested");
            return self.report("unrequested", txn, text);
        };
        let front = request.front;
        let shut_unread = request.shut_unread;
        request.attempts += 1;
        for other in &request.outstanding {
            self.superseded.entry((txn, *other)).or_insert(now);
        }
        request.outstanding.push(node);
        if shut_unread {
            let text = format!(
                "front {front}: {txn:x} was forwarded to {node:x} after its connection was shut"
            );
            self.report("response", txn, text);
        }
        if self.is_bound_by_events(front, node) {
            self.check_drain(front, node, node, txn);
            self.check_drain(front, node, source, txn);
            self.require_creation(front, node, txn, item);
        }
    }

    /// Whether a front that sends an attempt to a node is bound by the events that it has received.
    fn is_bound_by_events(&self, front: usize, node: u32) -> bool {
        let restored_at = self.restored.get(&node);
        let recently_impaired = self.is_impaired(node)
            || restored_at.is_some_and(|at| self.now < *at + self.limits.overlap);
        let front = self.fronts.get(&front);
        front.is_some_and(|front| !front.feed_impaired && !front.stopped && !recently_impaired)
    }

    /// Checks that an attempt neither goes to a node that drains or is removed nor names it as its source.
    fn check_drain(&mut self, front: usize, node: u32, at: u32, txn: u64) {
        let listed = self.fronts.get(&front).and_then(|f| f.nodes.get(&at));
        let Some(listed) = listed.filter(|listed| listed.state != State::Ready) else {
            return;
        };
        let late = self.now.saturating_sub(listed.since);
        if late <= self.limits.drain {
            return;
        }
        let how = if at == node {
            "sent"
        } else {
            "named as the source of"
        };
        let text = format!("front {front}: node {at:x} was {how} {txn:x} {late:?} after the event that drained or removed it");
        self.report("drain", txn, text);
    }

    /// Notes the creation time that the response of a node must reach because of a purge.
    fn require_creation(&mut self, front: usize, node: u32, txn: u64, item: u64) {
        let purge = self.fronts.get(&front).and_then(|f| f.purges.get(&item));
        let Some(purge) = purge else { return };
        if self.now > purge.since + self.limits.purge {
            self.required_creation.insert((txn, node), purge.at_ms);
        }
    }

    fn check_creation(&mut self, node: u32, txn: u64, created_ms: u64) {
        let Some(at_ms) = self.required_creation.remove(&(txn, node)) else {
            return;
        };
        if created_ms > 0 && created_ms < at_ms {
            let age = at_ms - created_ms;
            let text = format!(
                "node {node:x} responded to {txn:x} from a copy {age} ms older than the purge"
            );
            self.report("purge", txn, text);
        }
    }

    fn executed(&mut self, txn: u64) {
        let request = self.requests.entry(txn).or_default();
        request.executions += 1;
        let (front, executions) = (request.front, request.executions);
        if executions > 1 {
            let text = format!("front {front}: write {txn:x} was executed {executions} times");
            self.report("repeated write", txn, text);
        }
    }

    /// Handles the end of an attempt, and checks that it did not outlast a later one or the response.
    fn attempt_ended(&mut self, node: u32, txn: u64) {
        let Some(request) = self.requests.get_mut(&txn) else {
            return;
        };
        if let Some(index) = request.outstanding.iter().position(|at| *at == node) {
            request.outstanding.swap_remove(index);
        }
        let front = request.front;
        let excused = self.is_stopped(front) || self.is_impaired(node);
        let Some(since) = self.superseded.remove(&(txn, node)) else {
            return;
        };
        if self.now > since + self.limits.overlap && !excused {
            let open_for = self.now - since;
            let text = format!(
                "front {front}: attempt of {txn:x} at {node:x} stayed open for {open_for:?} after the next attempt or the response"
            );
            self.report("overlap", txn, text);
        }
    }

    fn is_stopped(&self, front: usize) -> bool {
        self.fronts.get(&front).is_some_and(|front| front.stopped)
    }

    fn is_impaired(&self, node: u32) -> bool {
        self.impaired.iter().any(|(at, _)| *at == node)
    }

    fn check_unended_attempts(&mut self) {
        for ((txn, node), since) in std::mem::take(&mut self.superseded) {
            if self.now > since + self.limits.overlap && !self.is_impaired(node) {
                let text = format!(
                    "attempt of {txn:x} at {node:x} was never ended after the next attempt or the response"
                );
                self.report_at(since, "overlap", txn, text);
            }
        }
    }

    fn check_unanswered_requests(&mut self) {
        for txn in std::mem::take(&mut self.open) {
            let request = &self.requests[&txn];
            let (front, at) = (request.front, request.at);
            if self.now > at + self.limits.response && !request.excused {
                let text = format!("front {front} sent no response to {txn:x}");
                self.report_at(at, "response", txn, text);
            }
        }
    }
}
