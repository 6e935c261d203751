//! The check at a resource that is used under a lease.
use crate::FencingToken;

/// An operation was rejected because a newer grant of the lease has been seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fencing token {presented} is older than {newest}")]
pub struct StaleToken {
    /// The token of the operation.
    pub presented: FencingToken,
    /// The newest token that the resource has seen.
    pub newest: FencingToken,
}

/// Remembers the newest fencing token and rejects older ones. The owner must store a newer token durably before it
/// carries out the first operation under it, so that a restart does not admit an older one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FencingCheck {
    newest: FencingToken,
    rejected: u64,
}

impl FencingCheck {
    /// Restores the check from the newest token that was stored durably.
    pub fn restore(newest: FencingToken) -> Self {
        FencingCheck {
            newest,
            rejected: 0,
        }
    }

    /// Admits an operation under this token, unless a newer token has been seen.
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

    /// The number of operations that were rejected.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

#[cfg(test)]
mod tests;
