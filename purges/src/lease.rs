//! The contact lease: a front that has not heard of the ledger for a while can't know what was purged.
use crate::{Micros, Timestamp, UnixMillis};

/// What a front does without contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenExpired {
    /// The floor follows the clock, a lease behind it: what the ledger took longer ago than that holds, known or
    /// not. A floor that stayed at the last contact would let a copy pass that came after it and was purged later.
    Strict,
    /// It goes on, and counts what stood under the doubt.
    Available,
}

/// When the ledger was heard of last.
#[derive(Clone, Debug)]
pub struct Lease {
    lease: Micros,
    without: WhenExpired,
    /// On the monotonic clock, and by the wall.
    renewed: (Timestamp, UnixMillis),
    lost: bool,
    /// Answers that stood under the doubt.
    pub unverified_replies: u64,
}

impl Lease {
    /// Contact was had `now`; it is lost `lease` microseconds later.
    pub fn new(now: Timestamp, wall: UnixMillis, lease: Micros, without: WhenExpired) -> Self {
        Lease {
            lease,
            without,
            renewed: (now, wall),
            lost: false,
            unverified_replies: 0,
        }
    }

    /// Contact was not had yet, as at a start.
    pub fn expired(now: Timestamp, wall: UnixMillis, lease: Micros, without: WhenExpired) -> Self {
        Lease::new(
            now.saturating_sub(lease),
            wall.saturating_sub(lease / 1_000),
            lease,
            without,
        )
    }

    /// The ledger was heard of. `true`: contact was lost until now.
    pub fn renew(&mut self, now: Timestamp, wall: UnixMillis) -> bool {
        self.renewed = (now.max(self.renewed.0), wall);
        std::mem::take(&mut self.lost)
    }

    /// When contact counts as lost if nothing is heard.
    pub fn expires_at(&self) -> Timestamp {
        self.renewed.0 + self.lease
    }

    /// Whether contact was lost just now: to be said once.
    pub fn report_expiry(&mut self, now: Timestamp) -> bool {
        let lost = now >= self.expires_at();
        lost && !std::mem::replace(&mut self.lost, lost)
    }

    /// The floor that the loss of contact brings, in milliseconds of `wall`; 0: none.
    pub fn floor(&self, now: Timestamp, wall: UnixMillis) -> UnixMillis {
        match self.without {
            WhenExpired::Strict if now >= self.expires_at() => {
                wall.saturating_sub(self.lease / 1_000).max(self.renewed.1)
            }
            _ => 0,
        }
    }

    /// An answer is passed on: where contact is lost and the front goes on all the same, it stands under the doubt.
    pub fn record_reply(&mut self, now: Timestamp) {
        self.unverified_replies +=
            u64::from(self.without == WhenExpired::Available && now >= self.expires_at());
    }
}

#[cfg(test)]
mod tests;
