//! Closes connections that are dead, idle, or needed for other clients.
use super::connection::{Connection, ConnectionState, DrainNotice};
use super::{ClientEvent, Clients};
use cranesill::api::{Micros, Timestamp};

/// Idle connections are closed after this time. Clients normally close them much earlier.
pub(super) const IDLE_TIMEOUT: Micros = 10_000_000;
/// A client that reads none of the pending output for this time is disconnected, and one that reads no whole response once the deadlines
/// of its responses have passed.
const STALL_TIMEOUT: Micros = 10_000_000;
/// A client that reads no whole response for this time is disconnected while so much is buffered that reading from upstream is paused.
const STALL_TIMEOUT_UNDER_PRESSURE: Micros = 1_000_000;
/// Time limit for receiving a complete frame, from its first byte or, for the first frame, from the start of the connection.
/// Disconnects clients that occupy connections without sending requests.
const FRAME_TIMEOUT: Micros = 1_500_000;
/// A connection without input for this time may be closed for lack of descriptors, since no request is likely to be in transit.
const MIN_EVICTABLE_IDLE: Micros = 1_000_000;

impl Clients {
    /// Closes dead and idle connections, and the ones with the largest buffers while more than `max_buffered` bytes are buffered.
    /// Above `pressure` buffered bytes, clients that do not read are disconnected earlier. Returns the events of closed connections.
    pub fn sweep(
        &mut self,
        now: Timestamp,
        pressure: usize,
        max_buffered: usize,
    ) -> Vec<ClientEvent> {
        // Determined before any connection is closed.
        let under_pressure = self.buffered_bytes > pressure;
        self.drain_idle(now);
        let mut disconnected = self.close_stale(now, under_pressure);
        while self.buffered_bytes > max_buffered {
            let largest = self
                .connections
                .iter()
                .max_by_key(|(key, connection)| (connection.stream.buffered_bytes(), **key))
                .map(|(key, _)| *key);
            let Some(key) = largest else { break };
            disconnected.extend(self.disconnect(key));
        }
        disconnected
    }

    /// Closes the connections with the longest input while what clients have sent and the routing has not received occupies more than
    /// `max_input_bytes`: incomplete frames, and bodies of requests that are held back. Returns the events of the closed connections.
    /// Called after each read: many clients that send at once exceed the limit long before the next sweep.
    pub fn limit_input(&mut self, max_input_bytes: usize) -> Vec<ClientEvent> {
        let clients_before = self.connections.len();
        let mut disconnected = Vec::new();
        while self.input_bytes + self.unconfirmed.body_bytes() > max_input_bytes {
            let connections = self.connections.iter();
            let longest = connections.max_by_key(|(key, connection)| {
                let held_back = self.unconfirmed.body_bytes_of(**key);
                (connection.stream.input().len() + held_back, **key)
            });
            let Some(key) = longest.map(|(key, _)| *key) else {
                break;
            };
            disconnected.extend(self.disconnect(key));
        }
        let clients = clients_before - self.connections.len();
        if clients > 0 {
            tracing::info!(
                kind = "input-limit",
                clients,
                max_bytes = max_input_bytes,
                "disconnected the clients with the longest input: the limit on what all clients have sent is reached"
            );
        }
        disconnected
    }

    /// Rejects further input on connections with an overdue frame, drains idle connections, and resumes reading where a pause is
    /// over.
    fn drain_idle(&mut self, now: Timestamp) {
        let keys: Vec<_> = self.connections.keys().copied().collect();
        for key in keys {
            let closes_idle = self.closes_idle;
            let Some(connection) = self.connections.get_mut(&key) else {
                continue;
            };
            let was_open = connection.state == ConnectionState::Open;
            let is_idle = now > connection.active_at + IDLE_TIMEOUT;
            if !was_open || is_idle || connection.drain_notice != DrainNotice::NotSent {
                connection.update_delivery(now);
            }
            if !connection.stream.flushed() {
                connection.update_received(now);
            }
            let expected_since = connection.incomplete_since;
            if was_open && expected_since.is_some_and(|since| now > since + FRAME_TIMEOUT) {
                connection.reject_input();
            }
            let idle = now > connection.active_at + IDLE_TIMEOUT
                && connection.open_streams.is_empty()
                && connection.stream.flushed();
            if was_open && (idle || closes_idle && connection.is_closable(now)) {
                connection.begin_draining();
            }
            self.flush(now, key);
        }
    }

    /// Closes connections whose clients do not read, or do not close a connection after its write side was closed.
    fn close_stale(&mut self, now: Timestamp, under_pressure: bool) -> Vec<ClientEvent> {
        let is_stalled = |c: &Connection| is_stalled(c, now, under_pressure);
        let is_overdue =
            |c: &Connection| matches!(c.state, ConnectionState::WriteClosed(at) if now > at);
        let stale: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, c)| is_stalled(c) || is_overdue(c))
            .map(|(key, c)| (*key, !c.stream.flushed()))
            .collect();
        let clients = stale.iter().filter(|(_, stalled)| *stalled).count();
        if clients > 0 {
            tracing::info!(
                clients,
                timeout_ms = stall_timeout(under_pressure) / 1_000,
                "disconnected clients that do not read their responses"
            );
        }
        let keys = stale.into_iter().map(|(key, _)| key);
        keys.flat_map(|key| self.disconnect(key)).collect()
    }

    /// Closes a connection without open requests, preferably one that never sent a complete frame, then the one idle for longest.
    /// Connections with unread input, probably a request, and those whose clients still receive responses are skipped. Returns whether
    /// a connection was closed.
    pub fn evict(&mut self, now: Timestamp) -> bool {
        let free = self
            .connections
            .iter()
            .filter(|(_, c)| c.open_streams.is_empty() && c.stream.flushed());
        let mut idle: Vec<_> = free
            .map(|(key, c)| (c.incomplete_since.is_none(), c.active_at, *key))
            .collect();
        idle.sort_unstable();
        let in_use = |key: &usize| {
            self.connections
                .get(key)
                .is_some_and(|c| c.stream.has_unread_input() || c.has_undelivered_responses(now))
        };
        let key = idle
            .into_iter()
            .map(|(.., key)| key)
            .find(|key| !in_use(key));
        key.map(|key| self.disconnect(key)).is_some()
    }

    /// Closes the connection idle for longest, if that is at least [`MIN_EVICTABLE_IDLE`]. Returns whether a connection was closed.
    pub fn evict_idle(&mut self, now: Timestamp) -> bool {
        let idle = |c: &Connection| {
            c.open_streams.is_empty()
                && c.stream.input().is_empty()
                && !c.has_undelivered_responses(now)
        };
        let evictable = |c: &Connection| idle(c) && now > c.active_at + MIN_EVICTABLE_IDLE;
        let oldest = self
            .connections
            .iter()
            .filter(|(_, c)| evictable(c) && !c.stream.has_unread_input());
        let key = oldest
            .min_by_key(|(key, c)| (c.active_at, **key))
            .map(|(key, _)| *key);
        key.map(|key| self.disconnect(key)).is_some()
    }
}

/// Time in which a client has to read a response.
fn stall_timeout(under_pressure: bool) -> Micros {
    if under_pressure {
        STALL_TIMEOUT_UNDER_PRESSURE
    } else {
        STALL_TIMEOUT
    }
}

/// Whether a client does not read its responses. Only whole responses count, except that until their deadlines any progress does if
/// memory is not short.
fn is_stalled(connection: &Connection, now: Timestamp, under_pressure: bool) -> bool {
    let timeout = stall_timeout(under_pressure);
    let reads_no_response = now > connection.active_at + timeout;
    let reads_part = !under_pressure && connection.is_receiving(now, timeout);
    !connection.stream.flushed() && reads_no_response && !reads_part
}
