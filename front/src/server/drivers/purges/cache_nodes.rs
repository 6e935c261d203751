//! Connections over which cache nodes are sent purges: one to each node, beside those of requests. What is sent when is
//! decided in [`cranesill_purges::replication`].
use crate::protocol::{cache_node, purge};
use crate::server::drivers::{EndpointAddress, Turn};
use crate::transport::{dial, Stream};
use cranesill::api::{EndpointId, Micros, Timestamp};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::replication::{Batch, NodeId, NodeReport, NodeStatus, Replication};
use cranesill_purges::PurgeNumber;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;

/// A connection whose node has not reported its state after this long has failed.
const REPORT_TIMEOUT: Micros = 2_000_000;
/// A connection with a batch that is not confirmed after this long is closed: it could stay open and silent for ever.
const CONFIRM_TIMEOUT: Micros = 4_000_000;
/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Micros = 200_000;
/// Longest backoff.
const MAX_BACKOFF: Micros = 10_000_000;
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// A connection to a node.
#[derive(Debug)]
struct Connection {
    node: NodeId,
    stream: Stream<()>,
    /// The id of the last command.
    command: u64,
    /// When the last command was sent, or answered.
    last_progress_at: Timestamp,
    /// Whether the node has reported its state.
    reported: bool,
    awaiting_answer: bool,
}

impl Connection {
    fn is_overdue(&self, now: Timestamp) -> bool {
        let timeout = if self.reported {
            CONFIRM_TIMEOUT
        } else {
            REPORT_TIMEOUT
        };
        self.awaiting_answer && now > self.last_progress_at + timeout
    }
}

impl Connection {
    /// The next answer to the last command, if one has arrived. A repeated answer, or one to no command, is dropped.
    fn next_answer(&mut self, now: Timestamp) -> io::Result<Option<purge::Confirmation>> {
        loop {
            let decoded = purge::decode(self.stream.input()).map_err(|e| io::Error::other(e.0))?;
            let Some((answer, length)) = decoded else {
                return Ok(None);
            };
            self.stream.consume(length);
            if answer.id == self.command {
                self.last_progress_at = now;
                self.awaiting_answer = false;
                return Ok(Some(answer));
            }
        }
    }

    /// The first answer reports the node's state, further ones confirm batches.
    fn apply_answer(
        &mut self,
        answer: purge::Confirmation,
        replication: &mut Replication,
        node: Option<&mut Node>,
        head: PurgeNumber,
    ) {
        if self.reported {
            replication.confirmed(self.last_progress_at, self.node, answer.upto);
            return;
        }
        self.reported = true;
        let report = NodeReport {
            log: answer.log_identity,
            applied: answer.upto,
            empty: answer.empty,
        };
        replication.connected(self.node, report, head);
        if let Some(node) = node {
            node.failures = 0;
        }
    }
}

/// A node in the endpoint list.
#[derive(Debug)]
struct Node {
    address: SocketAddr,
    /// The poller key of its connection.
    connection: Option<usize>,
    connect_at: Timestamp,
    /// Failures since the last report.
    failures: u32,
}

impl Node {
    fn back_off(&mut self, now: Timestamp) {
        self.failures += 1;
        let backoff = INITIAL_BACKOFF << (self.failures - 1).min(10);
        self.connect_at = now + backoff.min(MAX_BACKOFF);
    }
}

/// The cache nodes that are sent purges, and the connections to them.
#[derive(Debug)]
pub(super) struct CacheNodeLinks {
    replication: Replication,
    /// Positions of the kinds of endpoints that are sent purges.
    kinds: Vec<u8>,
    nodes: BTreeMap<NodeId, Node>,
    /// By poller key.
    connections: HashMap<usize, Connection>,
    max_connections: usize,
    last_command: u64,
    scratch: Vec<u8>,
    /// What all nodes had confirmed when that was asked last.
    confirmed: PurgeNumber,
}

impl CacheNodeLinks {
    /// Links without nodes. Endpoints of the given kinds are sent purges, at most `purges_per_s` a second together.
    pub(super) fn new(
        now: Timestamp,
        log: &PurgeLog,
        kinds: Vec<u8>,
        purges_per_s: f64,
        max_connections: usize,
    ) -> Self {
        CacheNodeLinks {
            replication: Replication::new(now, log.identity, purges_per_s),
            kinds,
            nodes: BTreeMap::new(),
            connections: HashMap::new(),
            max_connections,
            last_command: 0,
            scratch: vec![0; READ_BUFFER_BYTES],
            confirmed: 0,
        }
    }

    /// Applies the endpoint list (`full`) or changes of it: ids, kinds and addresses (`None`: removed).
    pub(super) fn apply_endpoints(
        &mut self,
        now: Timestamp,
        endpoints: &[EndpointAddress],
        full: bool,
    ) {
        let nodes = endpoints
            .iter()
            .filter(|endpoint| self.kinds.contains(&endpoint.kind));
        let nodes: Vec<_> = nodes
            .map(|endpoint| (endpoint.id, endpoint.address))
            .collect();
        if full {
            let known = self.nodes.keys().copied();
            let missing = known.filter(|id| !nodes.iter().any(|(listed, _)| listed == id));
            for id in missing.collect::<Vec<_>>() {
                self.remove_node(id);
            }
        }
        for (id, address) in nodes {
            match address {
                Some(address) => self.set_address(now, id, address),
                None => self.remove_node(id),
            }
        }
    }

    fn set_address(&mut self, now: Timestamp, id: NodeId, address: SocketAddr) {
        let known = self.nodes.get_mut(&id);
        if known.as_ref().is_some_and(|node| node.address == address) {
            return;
        }
        // Another address is another process, which has to report its state.
        if let Some(key) = known.and_then(|node| node.connection.take()) {
            self.connections.remove(&key);
        }
        self.replication.add_node(id);
        self.replication.disconnected(now, id);
        let node = Node {
            address,
            connection: None,
            connect_at: now,
            failures: 0,
        };
        self.nodes.insert(id, node);
    }

    fn remove_node(&mut self, id: NodeId) {
        if let Some(key) = self.nodes.remove(&id).and_then(|node| node.connection) {
            self.connections.remove(&key);
        }
        self.replication.remove_node(id);
    }

    /// Whether a poller key is that of a connection.
    pub(super) fn has(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// A node served a copy that it had confirmed to be purged.
    pub(super) fn stale_copy_served(&mut self, now: Timestamp, id: NodeId) {
        if self.replication.confirmed_by(id) > 0 {
            tracing::warn!(
                kind = "lied",
                member = cache_node::endpoint_name(EndpointId(id)),
                "purges: a box served what it had purged"
            );
            self.replication.stale_copy_served(now, id);
        }
    }

    /// Handles a ready connection. `head` is the last number of the log.
    pub(super) fn ready(&mut self, now: Timestamp, key: usize, head: PurgeNumber) {
        if let Err(error) = self.read(now, key, head) {
            self.disconnect(now, key, &error.to_string());
        }
    }

    fn read(&mut self, now: Timestamp, key: usize, head: PurgeNumber) -> io::Result<()> {
        let Some(connection) = self.connections.get_mut(&key) else {
            return Ok(());
        };
        if !connection.stream.connected()? {
            return Ok(());
        }
        connection.stream.flush(|()| {})?;
        connection.stream.rewatch(true)?;
        while let Some(received) = connection.stream.fill(&mut self.scratch)? {
            if received == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            while let Some(answer) = connection.next_answer(now)? {
                let node = self.nodes.get_mut(&connection.node);
                connection.apply_answer(answer, &mut self.replication, node, head);
            }
        }
        Ok(())
    }

    fn disconnect(&mut self, now: Timestamp, key: usize, why: &str) {
        let Some(connection) = self.connections.remove(&key) else {
            return;
        };
        let id = connection.node;
        self.replication.disconnected(now, id);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.connection = None;
        node.back_off(now);
        if node.failures == 1 {
            tracing::info!(
                kind = "box-lost",
                member = cache_node::endpoint_name(EndpointId(id)),
                error = why,
                "purges: no connection to a box"
            );
        }
    }

    /// Closes connections that are overdue, connects and sends what is due.
    pub(super) fn send_due(&mut self, turn: &mut Turn<'_>, log: &PurgeLog) {
        let now = turn.now;
        self.disconnect_overdue(now);
        self.connect_due(turn, log);
        let batches = self
            .replication
            .next_batches(now, log.base(), log.last_number());
        for batch in batches {
            self.send_batch(now, batch, log);
        }
    }

    fn disconnect_overdue(&mut self, now: Timestamp) {
        let connections = self.connections.iter();
        let overdue = connections.filter(|(_, connection)| connection.is_overdue(now));
        let overdue: Vec<usize> = overdue.map(|(key, _)| *key).collect();
        for key in overdue {
            self.disconnect(now, key, "it says nothing");
        }
    }

    fn connect_due(&mut self, turn: &mut Turn<'_>, log: &PurgeLog) {
        let nodes = self.nodes.iter();
        let due =
            nodes.filter(|(_, node)| node.connection.is_none() && node.connect_at <= turn.now);
        let due: Vec<NodeId> = due.map(|(id, _)| *id).collect();
        for id in due {
            if self.connections.len() >= self.max_connections {
                break;
            }
            self.connect(turn, id, log);
        }
    }

    /// Connects to a node, and asks for its state by an empty batch.
    fn connect(&mut self, turn: &mut Turn<'_>, id: NodeId, log: &PurgeLog) {
        let key = turn.key();
        self.last_command += 1;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let connected =
            dial(node.address).and_then(|socket| Stream::new(turn.reactor, socket, key, true));
        let Ok(mut stream) = connected else {
            return node.back_off(turn.now);
        };
        stream.push(purge::batch(self.last_command, log.identity, 0, 0, &[]));
        node.connection = Some(key);
        let connection = Connection {
            node: id,
            stream,
            command: self.last_command,
            last_progress_at: turn.now,
            reported: false,
            awaiting_answer: true,
        };
        self.connections.insert(key, connection);
    }

    fn send_batch(&mut self, now: Timestamp, batch: Batch, log: &PurgeLog) {
        let Some(key) = self.nodes.get(&batch.node).and_then(|node| node.connection) else {
            return;
        };
        let Some(connection) = self.connections.get_mut(&key) else {
            return;
        };
        let mut purges = log.batch_after(batch.after).unwrap_or_default();
        purges.truncate((batch.through - batch.after) as usize);
        self.last_command += 1;
        connection.command = self.last_command;
        connection.last_progress_at = now;
        connection.awaiting_answer = true;
        let stream = &mut connection.stream;
        stream.push(purge::batch(
            self.last_command,
            log.identity,
            batch.after,
            batch.through,
            &purges,
        ));
        if let Err(error) = stream.flush(|()| {}).and_then(|()| stream.rewatch(true)) {
            self.disconnect(now, key, &error.to_string());
        }
    }

    /// When something is due without another event. `head` is the last number of the log.
    pub(super) fn next_due(&self, now: Timestamp, head: PurgeNumber) -> Option<Timestamp> {
        let full = self.connections.len() >= self.max_connections;
        let unconnected = self
            .nodes
            .values()
            .filter(|node| node.connection.is_none() && !full);
        let connect = unconnected.map(|node| node.connect_at).min();
        let connections = self.connections.values();
        let awaiting = connections.filter(|connection| connection.awaiting_answer);
        // The shorter of the two time-outs: a check that comes early does nothing.
        let check = awaiting
            .map(|connection| connection.last_progress_at + REPORT_TIMEOUT + 1)
            .min();
        [connect, check, self.replication.next_wakeup(now, head)]
            .into_iter()
            .flatten()
            .min()
    }

    /// The number that all nodes have confirmed, if it has changed since the last call.
    pub(super) fn take_confirmation(&mut self) -> Option<PurgeNumber> {
        let confirmed = self.confirmed();
        let before = std::mem::replace(&mut self.confirmed, confirmed);
        (before != confirmed).then_some(confirmed)
    }

    /// The number that all nodes have confirmed; 0 if there are none.
    pub(super) fn confirmed(&self) -> PurgeNumber {
        self.replication.confirmed_by_all().unwrap_or(0)
    }

    /// The names of the nodes that have not confirmed a number.
    pub(super) fn unconfirmed(&self, number: PurgeNumber) -> Vec<String> {
        let nodes = self.replication.unconfirmed(number).into_iter();
        nodes
            .map(|id| cache_node::endpoint_name(EndpointId(id)))
            .collect()
    }

    /// The status of each node, as operators see it.
    pub(super) fn rows(&self) -> Vec<Value> {
        let row = |node: NodeStatus| {
            json!({"box": cache_node::endpoint_name(EndpointId(node.id)), "confirmed": node.confirmed,
                   "connected": node.connected, "slow": node.slow, "lies": node.stale_copies})
        };
        self.replication.statuses().map(row).collect()
    }
}
