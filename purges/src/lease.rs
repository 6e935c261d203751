//! The lease of a follower on the purge log: a front that has not heard from the writer for a while cannot know what was
//! purged.
use crate::{Micros, Timestamp, UnixMillis};

/// What a front does once its lease has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiryPolicy {
    /// It serves no copy older than one lease duration: purges made before that had arrived, or are covered by that
    /// floor. A floor fixed at the last renewal would let a copy pass that was created after it and purged later.
    Strict,
    /// It goes on serving, and counts the replies that it could not verify.
    Available,
}

/// A follower's lease on the purge log.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Micros,
    expiry_policy: ExpiryPolicy,
    renewed_at: Timestamp,
    /// The same by the wall clock.
    renewed_at_ms: UnixMillis,
    /// Whether the expiry was reported.
    expiry_reported: bool,
    /// Replies that were served after expiry without being verified.
    pub unverified_replies: u64,
}

impl Lease {
    /// A lease that is renewed at `now`, and at `now_ms` by the wall clock.
    pub fn new(
        now: Timestamp,
        now_ms: UnixMillis,
        duration: Micros,
        expiry_policy: ExpiryPolicy,
    ) -> Self {
        Lease {
            duration,
            expiry_policy,
            renewed_at: now,
            renewed_at_ms: now_ms,
            expiry_reported: false,
            unverified_replies: 0,
        }
    }

    /// A lease that has expired, as at a start.
    pub fn expired(
        now: Timestamp,
        now_ms: UnixMillis,
        duration: Micros,
        expiry_policy: ExpiryPolicy,
    ) -> Self {
        Lease::new(
            now.saturating_sub(duration),
            now_ms.saturating_sub(duration / 1_000),
            duration,
            expiry_policy,
        )
    }

    /// Renews the lease, since the writer was heard from. Returns whether its expiry had been reported.
    pub fn renew(&mut self, now: Timestamp, now_ms: UnixMillis) -> bool {
        self.renewed_at = self.renewed_at.max(now);
        self.renewed_at_ms = now_ms;
        std::mem::take(&mut self.expiry_reported)
    }

    /// When the lease expires unless it is renewed.
    pub fn expires_at(&self) -> Timestamp {
        self.renewed_at + self.duration
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.expires_at()
    }

    /// Whether the lease has expired and that was not reported yet; it counts as reported from now on.
    pub fn report_expiry(&mut self, now: Timestamp) -> bool {
        self.is_expired(now) && !std::mem::replace(&mut self.expiry_reported, true)
    }

    /// The earliest creation time of a copy that may be served, by the clock of `now_ms`; 0: any.
    pub fn floor(&self, now: Timestamp, now_ms: UnixMillis) -> UnixMillis {
        match self.expiry_policy {
            ExpiryPolicy::Strict if self.is_expired(now) => {
                let one_duration_ago = now_ms.saturating_sub(self.duration / 1_000);
                one_duration_ago.max(self.renewed_at_ms)
            }
            _ => 0,
        }
    }

    /// Counts a reply that is served although the lease has expired.
    pub fn record_reply(&mut self, now: Timestamp) {
        if self.expiry_policy == ExpiryPolicy::Available && self.is_expired(now) {
            self.unverified_replies += 1;
        }
    }
}

#[cfg(test)]
mod tests;
