//! A follower's lease on the purge log. Without contact to the writer, a front does not receive new purges, so the age of
//! the copies that it serves must be limited.
use crate::{Micros, Timestamp, UnixMillis};

/// The behavior of a front whose lease has expired.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpiryPolicy {
    /// Rejects copies older than one lease duration. The floor moves with the clock, because a copy created after the last
    /// renewal may have been purged since.
    Strict,
    /// Serves all copies, and counts replies that could not be checked against recent purges.
    Available,
}

/// A follower's lease on the purge log, which expires without contact to the writer.
#[derive(Clone, Debug)]
pub struct Lease {
    duration: Micros,
    expiry_policy: ExpiryPolicy,
    renewed_at: Timestamp,
    /// The time of the last renewal by the wall clock.
    renewed_at_ms: UnixMillis,
    /// Whether the current expiry was reported by [`Lease::report_expiry`].
    expiry_reported: bool,
    /// Number of replies served after expiry under [`ExpiryPolicy::Available`].
    pub unverified_replies: u64,
}

impl Lease {
    /// Creates a lease renewed at `now`, which is `now_ms` by the wall clock.
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

    /// Creates a lease that has already expired, for a front that has had no contact to the writer since its start.
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

    /// Renews the lease after contact to the writer. Returns whether its expiry had been reported.
    pub fn renew(&mut self, now: Timestamp, now_ms: UnixMillis) -> bool {
        self.renewed_at = self.renewed_at.max(now);
        self.renewed_at_ms = now_ms;
        std::mem::take(&mut self.expiry_reported)
    }

    /// Returns when the lease expires unless it is renewed.
    pub fn expires_at(&self) -> Timestamp {
        self.renewed_at + self.duration
    }

    fn is_expired(&self, now: Timestamp) -> bool {
        now >= self.expires_at()
    }

    /// Returns `true` once per expiry: on the first call after the lease has expired.
    pub fn report_expiry(&mut self, now: Timestamp) -> bool {
        self.is_expired(now) && !std::mem::replace(&mut self.expiry_reported, true)
    }

    /// Returns the earliest creation time of a copy that may be served, by the wall clock; 0 if there is no limit.
    pub fn floor(&self, now: Timestamp, now_ms: UnixMillis) -> UnixMillis {
        match self.expiry_policy {
            ExpiryPolicy::Strict if self.is_expired(now) => {
                let one_duration_ago = now_ms.saturating_sub(self.duration / 1_000);
                one_duration_ago.max(self.renewed_at_ms)
            }
            _ => 0,
        }
    }

    /// Records that a reply is served, and counts it if the lease has expired.
    pub fn record_reply(&mut self, now: Timestamp) {
        if self.expiry_policy == ExpiryPolicy::Available && self.is_expired(now) {
            self.unverified_replies += 1;
        }
    }
}

#[cfg(test)]
mod tests;
