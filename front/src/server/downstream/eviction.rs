//! Closes connections that are dead, idle, or in the way of others.
use super::connection::{Connection, ConnectionState};
use super::{ClientEvent, Clients};
use cranesill::api::{Micros, Timestamp};

/// A connection that carries nothing for this long is closed: clients close theirs far earlier.
pub(super) const MAX_IDLE: Micros = 10_000_000;
/// A client that takes nothing of what is written for this long is not there.
const MAX_STALL: Micros = 10_000_000;
/// The same while clients hold all the memory that they may: others wait for them then.
const MAX_STALL_UNDER_PRESSURE: Micros = 1_000_000;
/// A frame that is begun, or owed as the first on a connection, has to be whole after this long. Guards against
/// connections held by clients that say nothing or never end what they say.
const MAX_FRAME_TIME: Micros = 1_500_000;
/// A client that said nothing for this long is not about to: its connection may be closed for lack of descriptors.
const MIN_EVICTABLE_IDLE: Micros = 1_000_000;

impl Clients {
    /// Closes what is dead or idle, and while too much is held who holds most. Returns who waits no more.
    pub fn sweep(&mut self, now: Timestamp, pressed: usize, held_most: usize) -> Vec<ClientEvent> {
        let stall = if self.buffered_bytes > pressed {
            MAX_STALL_UNDER_PRESSURE
        } else {
            MAX_STALL
        };
        let keys: Vec<_> = self.connections.keys().copied().collect();
        for key in keys {
            let Some(client) = self.connections.get_mut(&key) else {
                continue;
            };
            let open = client.state == ConnectionState::Open;
            if open
                && client
                    .incomplete_since
                    .is_some_and(|since| now > since + MAX_FRAME_TIME)
            {
                client.reject_input();
            }
            let idle = now > client.active_at + MAX_IDLE
                && client.open_streams.is_empty()
                && client.stream.flushed();
            if open && (idle || self.closes_idle && client.is_free(now)) {
                client.begin_draining();
            }
            // Those that rested are read again.
            self.flush(now, key);
        }
        let stale = |c: &Connection| {
            let stalled = !c.stream.flushed() && now > c.active_at + stall;
            stalled || matches!(c.state, ConnectionState::Shut(at) if now > at)
        };
        let stale: Vec<_> = self
            .connections
            .iter()
            .filter(|(_, c)| stale(c))
            .map(|(key, _)| *key)
            .collect();
        let stalled = stale
            .iter()
            .filter(|key| !self.connections[key].stream.flushed())
            .count();
        if stalled > 0 {
            tracing::info!(clients = stalled, "clients given up that take nothing");
        }
        let mut gone: Vec<_> = stale
            .into_iter()
            .flat_map(|key| self.disconnect(key))
            .collect();
        while self.buffered_bytes > held_most {
            let most = self
                .connections
                .iter()
                .max_by_key(|(key, c)| (c.stream.held(), **key))
                .map(|(key, _)| *key);
            let Some(key) = most else { break };
            gone.extend(self.disconnect(key));
        }
        gone
    }

    /// Closes a connection without a request: before the one that was idle for longest, one that never sent a
    /// whole frame. `false`: all have some. One of which something has come that is not read yet, most likely a request,
    /// is no idle one.
    pub fn evict(&mut self) -> bool {
        let free = self
            .connections
            .iter()
            .filter(|(_, c)| c.open_streams.is_empty() && c.stream.flushed());
        let mut idle: Vec<_> = free
            .map(|(key, c)| (c.incomplete_since.is_none(), c.active_at, *key))
            .collect();
        idle.sort_unstable();
        let unread = |key: &usize| self.connections.get(key).is_some_and(|c| c.stream.unread());
        let key = idle
            .into_iter()
            .map(|(.., key)| key)
            .find(|key| !unread(key));
        key.map(|key| self.disconnect(key)).is_some()
    }

    /// Closes the connection that was idle for longest, if one was for so long that no request is on its way there.
    pub fn evict_idle(&mut self, now: Timestamp) -> bool {
        let idle = |c: &Connection| {
            c.open_streams.is_empty() && c.stream.flushed() && c.stream.input().is_empty()
        };
        let evictable = |c: &Connection| idle(c) && now > c.active_at + MIN_EVICTABLE_IDLE;
        let oldest = self
            .connections
            .iter()
            .filter(|(_, c)| evictable(c) && !c.stream.unread());
        let key = oldest
            .min_by_key(|(key, c)| (c.active_at, **key))
            .map(|(key, _)| *key);
        key.map(|key| self.disconnect(key)).is_some()
    }
}
