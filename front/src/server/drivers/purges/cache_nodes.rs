//! Sends purges to cache nodes over one dedicated connection per node. [`cranesill_purges::replication`] decides what is
//! sent when.
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

/// Time after connecting in which a node has to report its state.
const REPORT_TIMEOUT: Micros = 2_000_000;
/// Time after sending a batch in which the node has to confirm it. Without it a connection could stay open and silent for ever.
const CONFIRM_TIMEOUT: Micros = 4_000_000;
/// Backoff after the first failure. It doubles with each further one.
const INITIAL_BACKOFF: Micros = 200_000;
const MAX_BACKOFF: Micros = 10_000_000;
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// A connection to a node.
#[derive(Debug)]
struct Connection {
    node: NodeId,
    stream: Stream<()>,
    /// Id of the last command.
    command: u64,
    /// Time at which the last command was sent or answered.
    last_progress_at: Timestamp,
    /// Whether the node has reported its state.
    reported: bool,
    awaiting_answer: bool,
}

impl Connection {
    fn timeout(&self) -> Micros {
        if self.reported {
            CONFIRM_TIMEOUT
        } else {
            REPORT_TIMEOUT
        }
    }

    fn is_overdue(&self, now: Timestamp) -> bool {
        self.awaiting_answer && now > self.last_progress_at + self.timeout()
    }
}

impl Connection {
    /// Returns the next answer to the last command, if one has arrived. Answers to other commands are dropped.
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

    /// Applies an answer. The first one reports the node's state, later ones confirm batches.
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
    /// Poller key of its connection.
    connection: Option<usize>,
    connect_at: Timestamp,
    /// Failures since the node last reported its state.
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
    /// Indexes of the kinds of endpoints that are sent purges.
    kinds: Vec<u8>,
    nodes: BTreeMap<NodeId, Node>,
    /// By poller key.
    connections: HashMap<usize, Connection>,
    max_connections: usize,
    last_command: u64,
    read_buffer: Vec<u8>,
    /// Last number that [`CacheNodeLinks::take_confirmation`] reported as confirmed by all nodes.
    reported_confirmed: PurgeNumber,
}

impl CacheNodeLinks {
    /// Creates the links, without nodes. Endpoints of the given kinds are sent purges, at most `purges_per_s` in total.
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
            read_buffer: vec![0; READ_BUFFER_BYTES],
            reported_confirmed: 0,
        }
    }

    /// Applies the complete endpoint list (`full`), or changes of it. An endpoint without an address is removed.
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

    /// Begins anew for another log, of which no node has confirmed anything.
    pub(super) fn reset(&mut self, now: Timestamp, log: &PurgeLog) {
        self.replication.begin_log(log.identity);
        for id in self.nodes.keys() {
            self.replication.disconnected(now, *id);
        }
        self.connections.clear();
        for node in self.nodes.values_mut() {
            node.connection = None;
            node.connect_at = now;
        }
        self.reported_confirmed = 0;
    }

    fn set_address(&mut self, now: Timestamp, id: NodeId, address: SocketAddr) {
        let known = self.nodes.get_mut(&id);
        if known.as_ref().is_some_and(|node| node.address == address) {
            return;
        }
        // A process at a new address has to report its state first.
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

    /// Whether a poller key belongs to a connection.
    pub(super) fn owns_key(&self, key: usize) -> bool {
        self.connections.contains_key(&key)
    }

    /// Handles a node that served a copy older than requested because of a purge. If the node has confirmed purges, they were not
    /// effective, which is logged.
    pub(super) fn stale_copy_served(&mut self, now: Timestamp, id: NodeId) {
        if self.replication.confirmed_by(id) > 0 {
            tracing::warn!(
                kind = "lied",
                member = cache_node::endpoint_name(EndpointId(id)),
                "purges: cache node served a copy that it had confirmed as purged"
            );
            self.replication.stale_copy_served(now, id);
        }
    }

    /// Handles a ready connection. `head` is the last number in the log.
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
        while let Some(received) = connection.stream.read_input(&mut self.read_buffer)? {
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

    fn disconnect(&mut self, now: Timestamp, key: usize, reason: &str) {
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
                at = %node.address,
                error = reason,
                "purges: connection to cache node lost; reconnecting with backoff"
            );
        }
    }

    /// Closes overdue connections, opens new ones, and sends the batches that are due.
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
        let overdue: Vec<(usize, Micros)> = overdue
            .map(|(key, connection)| (*key, connection.timeout()))
            .collect();
        for (key, timeout) in overdue {
            let reason = format!("no answer within {} ms", timeout / 1_000);
            self.disconnect(now, key, &reason);
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

    /// Connects to a node, and sends an empty batch to request its state.
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

    /// Returns the time at which [`CacheNodeLinks::send_due`] has to be called next. `head` is the last number in the log.
    pub(super) fn next_due(&self, now: Timestamp, head: PurgeNumber) -> Option<Timestamp> {
        let full = self.connections.len() >= self.max_connections;
        let unconnected = self
            .nodes
            .values()
            .filter(|node| node.connection.is_none() && !full);
        let connect = unconnected.map(|node| node.connect_at).min();
        let connections = self.connections.values();
        let awaiting = connections.filter(|connection| connection.awaiting_answer);
        // The shorter of the two timeouts: a check that is too early has no effect.
        let check = awaiting
            .map(|connection| connection.last_progress_at + REPORT_TIMEOUT + 1)
            .min();
        [connect, check, self.replication.next_wakeup(now, head)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns the last number that all nodes have confirmed, if it has changed since the last call.
    pub(super) fn take_confirmation(&mut self) -> Option<PurgeNumber> {
        let confirmed = self.confirmed();
        let before = std::mem::replace(&mut self.reported_confirmed, confirmed);
        (before != confirmed).then_some(confirmed)
    }

    /// Returns the last number that all nodes have confirmed; 0 if there are no nodes.
    pub(super) fn confirmed(&self) -> PurgeNumber {
        self.replication.confirmed_by_all().unwrap_or(0)
    }

    /// Returns the names of the nodes that have not confirmed a number.
    pub(super) fn unconfirmed(&self, number: PurgeNumber) -> Vec<String> {
        let nodes = self.replication.unconfirmed(number).into_iter();
        nodes
            .map(|id| cache_node::endpoint_name(EndpointId(id)))
            .collect()
    }

    /// Returns the status of each node, for operators.
    pub(super) fn rows(&self) -> Vec<Value> {
        let row = |node: NodeStatus| {
            json!({"box": cache_node::endpoint_name(EndpointId(node.id)), "confirmed": node.confirmed,
                   "connected": node.connected, "slow": node.slow, "lies": node.stale_copies})
        };
        self.replication.statuses().map(row).collect()
    }
}
