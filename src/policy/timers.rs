//! Purposes of pending timers.
use std::collections::BTreeMap;

/// The purpose of each pending timer. Tokens are never reused.
#[derive(Clone, Debug)]
pub(crate) struct Timers<T> {
    purposes: BTreeMap<u64, T>,
    last_token: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            purposes: BTreeMap::new(),
            last_token: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Records the purpose of a new timer and returns its token.
    pub fn set(&mut self, purpose: T) -> u64 {
        self.last_token += 1;
        self.purposes.insert(self.last_token, purpose);
        self.last_token
    }

    /// Removes the timer with this token and returns its purpose.
    pub fn take(&mut self, token: u64) -> Option<T> {
        self.purposes.remove(&token)
    }
}

#[cfg(test)]
mod tests;
