//! Graceful shutdown of clients' connections, of all at once.
use super::connection::Connection;
use super::Clients;
use crate::protocol::client;
use cranesill::api::Timestamp;

impl Clients {
    /// The program ends: nothing more is taken in, and what is owed nothing is shut.
    pub fn close_all(&mut self, now: Timestamp) {
        self.closes_all = true;
        let keys: Vec<_> = self.connections.keys().copied().collect();
        for key in keys {
            self.connections
                .get_mut(&key)
                .into_iter()
                .for_each(Connection::begin_draining);
            self.flush(now, key);
        }
    }

    /// Whether all are being closed since the program ends.
    pub fn closes_all(&self) -> bool {
        self.closes_all
    }

    /// Tells all clients that no new requests are wanted; `empties`: connections are closed as they become free.
    pub fn drain(&mut self, now: Timestamp, empties: bool) {
        (self.draining, self.closes_idle) = (true, self.closes_idle || empties);
        let keys: Vec<_> = self.connections.keys().copied().collect();
        keys.into_iter()
            .for_each(|key| self.notify_draining(now, key));
    }

    /// New requests are wanted again. A connection whose client was told otherwise stays told, and goes.
    pub fn resume(&mut self) {
        self.draining = false;
    }

    pub(super) fn notify_draining(&mut self, now: Timestamp, key: usize) {
        if let Some(client) = self
            .connections
            .get_mut(&key)
            .filter(|client| client.notified_at.is_none())
        {
            client.stream.push(client::no_more());
            client.notified_at = Some(now);
        }
        self.flush(now, key);
    }
}
