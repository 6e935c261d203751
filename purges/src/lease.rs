//! The contact lease: a front that has not heard of the ledger for a while can't know what was purged.
use crate::{Micros, Ms, Timestamp};

/// What a front does without contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Without {
    /// The floor follows the clock, a lease behind it: what the ledger took longer ago than that holds, known or
    /// not. A floor that stayed at the last contact would let a copy pass that came after it and was purged later.
    Strict,
    /// It goes on, and counts what stood under the doubt.
    Available,
}

/// When the ledger was heard of last.
#[derive(Clone, Debug)]
pub struct Contact {
    lease: Micros,
    without: Without,
    /// On the monotonic clock, and by the wall.
    heard: (Timestamp, Ms),
    lost: bool,
    /// Answers that stood under the doubt.
    pub doubtful: u64,
}

impl Contact {
    /// Contact was had `now`; it is lost `lease` microseconds later.
    pub fn new(now: Timestamp, wall: Ms, lease: Micros, without: Without) -> Self {
        Contact {
            lease,
            without,
            heard: (now, wall),
            lost: false,
            doubtful: 0,
        }
    }

    /// Contact was not had yet, as at a start.
    pub fn lost(now: Timestamp, wall: Ms, lease: Micros, without: Without) -> Self {
        Contact::new(
            now.saturating_sub(lease),
            wall.saturating_sub(lease / 1_000),
            lease,
            without,
        )
    }

    /// The ledger was heard of. `true`: contact was lost until now.
    pub fn heard(&mut self, now: Timestamp, wall: Ms) -> bool {
        self.heard = (now.max(self.heard.0), wall);
        std::mem::take(&mut self.lost)
    }

    /// When contact counts as lost if nothing is heard.
    pub fn due(&self) -> Timestamp {
        self.heard.0 + self.lease
    }

    /// Whether contact was lost just now: to be said once.
    pub fn lost_now(&mut self, now: Timestamp) -> bool {
        let lost = now >= self.due();
        lost && !std::mem::replace(&mut self.lost, lost)
    }

    /// The floor that the loss of contact brings, in milliseconds of `wall`; 0: none.
    pub fn floor(&self, now: Timestamp, wall: Ms) -> Ms {
        match self.without {
            Without::Strict if now >= self.due() => {
                wall.saturating_sub(self.lease / 1_000).max(self.heard.1)
            }
            _ => 0,
        }
    }

    /// An answer is passed on: where contact is lost and the front goes on all the same, it stands under the doubt.
    pub fn answered(&mut self, now: Timestamp) {
        self.doubtful += u64::from(self.without == Without::Available && now >= self.due());
    }
}

#[cfg(test)]
mod tests;
