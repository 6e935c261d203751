//! The fencing check at a resource that is protected by a lease.
use crate::FencingToken;

/// The error for an operation with a fencing token older than the newest one seen by the resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {presented} is stale: the resource has seen token {newest}")]
pub struct StaleToken {
    /// The token of the operation.
    pub presented: FencingToken,
    /// The newest token seen by the resource.
    pub newest: FencingToken,
}

/// Tracks the newest fencing token, and rejects older ones. The resource must store a newer token durably before the first
/// operation under it, so that older tokens are rejected after a restart too.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingCheck {
    newest: FencingToken,
    rejected: u64,
}

impl FencingCheck {
    /// Restores the check after a restart from the durably stored newest token.
    pub fn restore(newest: FencingToken) -> Self {
        FencingCheck {
            newest,
            rejected: 0,
        }
    }

    /// Admits an operation with this token, unless a newer token was seen.
    pub fn admit(&mut self, token: FencingToken) -> Result<(), StaleToken> {
        if token < self.newest {
            self.rejected += 1;
            return Err(StaleToken {
                presented: token,
                newest: self.newest,
            });
        }
        self.newest = token;
        Ok(())
    }

    /// Returns the number of rejected operations.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

#[cfg(test)]
mod tests;
