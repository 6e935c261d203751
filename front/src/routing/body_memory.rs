//! Account of the memory that the bodies of pending requests occupy, in total and by client.
use std::collections::HashMap;

/// Bytes of request bodies that are retained until the final responses to their requests.
#[derive(Debug, Default)]
pub(super) struct BodyMemory {
    total: usize,
    /// By the poller key of the client's connection. A client without a body has no entry.
    by_client: HashMap<usize, usize>,
}

impl BodyMemory {
    /// Returns the bytes of all bodies.
    pub(super) fn total(&self) -> usize {
        self.total
    }

    /// Whether a client may add a body of this size while all bodies may occupy `limit` bytes. A client that already has bodies
    /// here must leave as much free as it occupies itself, so that a few clients with many bodies leave memory for the others.
    pub(super) fn admits(&self, client: usize, bytes: usize, limit: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let Some(free) = limit.checked_sub(self.total + bytes) else {
            return false;
        };
        let occupied = self.by_client.get(&client).copied().unwrap_or(0);
        occupied == 0 || occupied + bytes <= free
    }

    /// Adds a body.
    pub(super) fn charge(&mut self, client: usize, bytes: usize) {
        if bytes > 0 {
            self.total += bytes;
            *self.by_client.entry(client).or_default() += bytes;
        }
    }

    /// Removes a body that was added by [`BodyMemory::charge`].
    pub(super) fn release(&mut self, client: usize, bytes: usize) {
        let Some(occupied) = self.by_client.get_mut(&client) else {
            return;
        };
        self.total -= bytes;
        *occupied -= bytes;
        if *occupied == 0 {
            self.by_client.remove(&client);
        }
    }
}

#[cfg(test)]
mod tests;
