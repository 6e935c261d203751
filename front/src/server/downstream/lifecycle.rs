//! Draining and closing of all client connections.
use super::connection::DrainNotice;
use super::Clients;
use crate::protocol::client;
use cranesill::api::Timestamp;

impl Clients {
    /// Accepts no more requests and closes each connection once its responses are written. Called when the process exits.
    pub fn close_all(&mut self, now: Timestamp) {
        self.closes_all = true;
        let keys: Vec<_> = self.connections.keys().copied().collect();
        for key in keys {
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.begin_draining();
            }
            self.flush(now, key);
        }
    }

    /// Whether all connections are being closed.
    pub fn closes_all(&self) -> bool {
        self.closes_all
    }

    /// Asks all clients to send no new requests. With `close_idle`, connections are closed as they become idle.
    pub fn drain(&mut self, now: Timestamp, close_idle: bool) {
        self.draining = true;
        self.closes_idle |= close_idle;
        let keys: Vec<_> = self.connections.keys().copied().collect();
        for key in keys {
            self.notify_draining(now, key);
        }
    }

    /// Ends draining. Connections whose clients were notified are still closed.
    pub fn resume(&mut self) {
        self.draining = false;
    }

    /// Asks a client, once per connection, to send no new requests on it.
    pub(super) fn notify_draining(&mut self, now: Timestamp, key: usize) {
        let connection = self.connections.get_mut(&key);
        if let Some(connection) = connection.filter(|c| c.drain_notice == DrainNotice::NotSent) {
            connection.stream.push(client::no_more());
            connection.drain_notice = DrainNotice::InTransit {
                position: connection.stream.output_position(),
                since: now,
            };
        }
        self.flush(now, key);
    }
}
