//! The replicated state machine with the holder and the fencing token of each lease.
//!
//! All replicas apply the same commands in the order of the log, and so reach the same state. The state machine does not
//! depend on time: expiry is a command proposed by the leader.
use crate::{FencingToken, FrontId, LeaseId, MAX_FRONTS, MAX_LEASES};
use std::collections::BTreeMap;

/// A command in the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Requests a free lease, or renews a held one.
    Acquire {
        /// The requesting front.
        front: FrontId,
        /// The sequence number of the request, which increases with each request of a front, also across restarts.
        /// Duplicate and reordered requests are denied.
        sequence: u64,
        /// The requested lease.
        lease: LeaseId,
        /// The token under which the front holds the lease; `None` if it does not hold the lease. A process that has
        /// released the lease or was restarted must not renew the old grant, since a delayed release may still end it.
        renews: Option<FencingToken>,
    },
    /// Releases a lease. The front starts no more operations with that token.
    Release {
        /// The releasing front.
        front: FrontId,
        /// The released lease.
        lease: LeaseId,
        /// The token of the grant to release.
        token: FencingToken,
    },
    /// Ends a grant, because a lease duration has passed since its last renewal by the leader's clock.
    Expire {
        /// The expired lease.
        lease: LeaseId,
        /// The token of the grant to end.
        token: FencingToken,
        /// The number of renewals observed by the leader. The command has no effect after a further renewal.
        renewals: u64,
    },
    /// Reserves the next grant of a lease for one front, by an operator's request.
    Transfer {
        /// The lease to reserve.
        lease: LeaseId,
        /// The only front that may acquire the lease next.
        to: FrontId,
    },
    /// Suspends grants and renewals of a lease, or resumes them, by an operator's request.
    Suspend {
        /// The lease to suspend or resume.
        lease: LeaseId,
        /// `true` suspends, `false` resumes.
        suspended: bool,
    },
}

/// The reason why a lease was not granted or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The lease is held by this front, which may be the requesting one under another grant.
    HeldBy(FrontId),
    /// The lease is reserved for this other front.
    ReservedFor(FrontId),
    /// The lease is suspended.
    Suspended,
    /// The same or a later request of the front was applied before.
    StaleRequest,
    /// The lease does not exist, or the table has reached [`MAX_FRONTS`].
    Unknown,
}

/// The outcome of a command, which is sent to all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A lease was granted or renewed.
    Granted {
        /// The holder.
        front: FrontId,
        /// The sequence number of the granted request.
        sequence: u64,
        /// The granted lease.
        lease: LeaseId,
        /// The fencing token of the grant.
        token: FencingToken,
        /// The number of renewals of the grant.
        renewals: u64,
    },
    /// A lease was not granted or renewed.
    Denied {
        /// The requesting front.
        front: FrontId,
        /// The sequence number of the denied request.
        sequence: u64,
        /// The requested lease.
        lease: LeaseId,
        /// The reason of the denial.
        reason: Denial,
    },
    /// A lease was released or has expired, and is free.
    Freed(LeaseId),
}

/// The current grant of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The front that holds the lease.
    pub holder: FrontId,
    /// The fencing token of the grant.
    pub token: FencingToken,
    /// The number of renewals since the grant.
    pub renewals: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct LeaseState {
    /// The newest issued token, which never decreases.
    last_token: FencingToken,
    holder: Option<FrontId>,
    renewals: u64,
    /// The only front that may acquire the lease next, set by an operator.
    reserved_for: Option<FrontId>,
    suspended: bool,
}

impl LeaseState {
    /// Returns the denial if the lease is reserved for another front.
    fn operator_denial(&self, front: FrontId) -> Option<Denial> {
        match self.reserved_for {
            Some(reserved) if reserved != front => Some(Denial::ReservedFor(reserved)),
            _ => None,
        }
    }

    /// Renews the front's current grant, or grants the lease if it is free.
    fn acquire(&mut self, front: FrontId, renews: Option<FencingToken>) -> Result<(), Denial> {
        match self.holder {
            Some(holder) if holder == front && renews == Some(self.last_token) => self.renew(front),
            Some(holder) => Err(Denial::HeldBy(holder)),
            None => self.grant(front),
        }
    }

    /// Renews the grant, unless the lease is reserved for another front or suspended. Operators' commands do not end a
    /// grant; they only prevent its renewal.
    fn renew(&mut self, front: FrontId) -> Result<(), Denial> {
        if let Some(denial) = self.operator_denial(front) {
            return Err(denial);
        }
        if self.suspended {
            return Err(Denial::Suspended);
        }
        self.renewals += 1;
        Ok(())
    }

    fn grant(&mut self, front: FrontId) -> Result<(), Denial> {
        if self.suspended {
            return Err(Denial::Suspended);
        }
        if let Some(denial) = self.operator_denial(front) {
            return Err(denial);
        }
        self.last_token += 1;
        self.renewals = 0;
        self.holder = Some(front);
        self.reserved_for = None;
        Ok(())
    }
}

/// The state machine of all leases.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseTable {
    leases: Vec<LeaseState>,
    /// The sequence number of the last applied request of each front.
    last_sequences: BTreeMap<FrontId, u64>,
}

impl LeaseTable {
    /// Creates a table of `count` free leases, but no more than [`MAX_LEASES`].
    pub fn new(count: usize) -> Self {
        LeaseTable {
            leases: vec![LeaseState::default(); count.min(MAX_LEASES)],
            last_sequences: BTreeMap::new(),
        }
    }

    /// Returns the current grant of a lease; `None` if the lease is free or does not exist.
    pub fn grant_of(&self, lease: LeaseId) -> Option<Grant> {
        let state = self.leases.get(usize::from(lease))?;
        let holder = state.holder?;
        Some(Grant {
            holder,
            token: state.last_token,
            renewals: state.renewals,
        })
    }

    /// Returns the number of leases, which never changes.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether the table has no leases.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Returns the sequence number of the last applied request of a front; 0 if there was none.
    pub fn last_sequence(&self, front: FrontId) -> u64 {
        self.last_sequences.get(&front).copied().unwrap_or(0)
    }

    /// Applies the next command of the log. Returns the outcome to send to the fronts, if any.
    pub fn apply(&mut self, command: Command) -> Option<Outcome> {
        match command {
            Command::Acquire {
                front,
                sequence,
                lease,
                renews,
            } => Some(self.acquire(front, sequence, lease, renews)),
            Command::Release {
                front,
                lease,
                token,
            } => self.free_if(lease, |state| {
                state.holder == Some(front) && state.last_token == token
            }),
            // The grant may have been renewed between the leader's check and this command.
            Command::Expire {
                lease,
                token,
                renewals,
            } => self.free_if(lease, |state| {
                state.last_token == token && state.renewals == renewals
            }),
            Command::Transfer { lease, to } => {
                self.leases.get_mut(usize::from(lease))?.reserved_for = Some(to);
                None
            }
            Command::Suspend { lease, suspended } => {
                self.leases.get_mut(usize::from(lease))?.suspended = suspended;
                None
            }
        }
    }

    fn free_if(
        &mut self,
        lease: LeaseId,
        condition: impl Fn(&LeaseState) -> bool,
    ) -> Option<Outcome> {
        let state = self.leases.get_mut(usize::from(lease))?;
        if state.holder.is_none() || !condition(state) {
            return None;
        }
        state.holder = None;
        Some(Outcome::Freed(lease))
    }

    fn acquire(
        &mut self,
        front: FrontId,
        sequence: u64,
        lease: LeaseId,
        renews: Option<FencingToken>,
    ) -> Outcome {
        match self.try_acquire(front, sequence, lease, renews) {
            Ok(Grant {
                token, renewals, ..
            }) => Outcome::Granted {
                front,
                sequence,
                lease,
                token,
                renewals,
            },
            Err(reason) => Outcome::Denied {
                front,
                sequence,
                lease,
                reason,
            },
        }
    }

    fn try_acquire(
        &mut self,
        front: FrontId,
        sequence: u64,
        lease: LeaseId,
        renews: Option<FencingToken>,
    ) -> Result<Grant, Denial> {
        let has_capacity =
            self.last_sequences.contains_key(&front) || self.last_sequences.len() < MAX_FRONTS;
        if !has_capacity {
            return Err(Denial::Unknown);
        }
        let state = self
            .leases
            .get_mut(usize::from(lease))
            .ok_or(Denial::Unknown)?;
        let last_sequence = self.last_sequences.entry(front).or_insert(0);
        if sequence <= *last_sequence {
            return Err(Denial::StaleRequest);
        }
        *last_sequence = sequence;
        state.acquire(front, renews)?;
        Ok(Grant {
            holder: front,
            token: state.last_token,
            renewals: state.renewals,
        })
    }
}

#[cfg(test)]
mod tests;
