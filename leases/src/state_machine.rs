//! The replicated state machine: which front holds which lease, under which fencing token.
//!
//! All replicas apply the same commands in the log's order and reach the same state. It knows no time: expiry is a
//! command that the leader proposes.
use crate::{FencingToken, FrontId, LeaseId, MAX_FRONTS, MAX_LEASES};
use std::collections::BTreeMap;

/// An entry of the replicated log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// A front requests a lease that is free, or renews its own.
    Acquire {
        /// The requesting front.
        front: FrontId,
        /// Grows with each request of a front, across restarts too. A request that arrives twice, or after a later
        /// one, changes nothing.
        sequence: u64,
        /// The requested lease.
        lease: LeaseId,
        /// The token under which the front holds the lease now; `None` if it does not hold it. A process that released
        /// the lease, or restarted under the same name, must not find itself renewed: its earlier release may still
        /// arrive and end that grant.
        renews: Option<FencingToken>,
    },
    /// A front releases a lease. It does nothing more under that token.
    Release {
        /// The releasing front.
        front: FrontId,
        /// The released lease.
        lease: LeaseId,
        /// The token under which it was held.
        token: FencingToken,
    },
    /// By the leader's clock, a lease duration has passed since the grant or its last renewal.
    Expire {
        /// The expired lease.
        lease: LeaseId,
        /// The token under which it was held.
        token: FencingToken,
        /// The number of renewals that the leader had seen.
        renewals: u64,
    },
    /// An operator reserves the next grant of a lease for one front.
    Transfer {
        /// The lease.
        lease: LeaseId,
        /// The only front that may acquire it next.
        to: FrontId,
    },
    /// An operator suspends a lease, so that nobody is granted it, or resumes it.
    Suspend {
        /// The lease.
        lease: LeaseId,
        /// `true` suspends, `false` resumes.
        suspended: bool,
    },
}

/// Why a lease was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// Another front, or another grant of the same front, holds it.
    HeldBy(FrontId),
    /// An operator reserved it for another front.
    ReservedFor(FrontId),
    /// An operator suspended it.
    Suspended,
    /// A later request of the same front was applied before.
    StaleRequest,
    /// There is no such lease, or the table cannot remember another front.
    Unknown,
}

/// The result of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A lease was granted or renewed.
    Granted {
        /// The new holder.
        front: FrontId,
        /// The request that was granted.
        sequence: u64,
        /// The lease.
        lease: LeaseId,
        /// The token of the grant.
        token: FencingToken,
        /// The number of renewals of this grant.
        renewals: u64,
    },
    /// A lease was not granted.
    Denied {
        /// The front that asked for it.
        front: FrontId,
        /// The request that was denied.
        sequence: u64,
        /// The lease.
        lease: LeaseId,
        /// The reason.
        reason: Denial,
    },
    /// A lease has no holder any more.
    Freed(LeaseId),
}

/// The current grant of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The holder.
    pub holder: FrontId,
    /// The token under which it holds the lease.
    pub token: FencingToken,
    /// How often the grant was renewed.
    pub renewals: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct LeaseState {
    /// The newest token that was issued; it never decreases.
    last_token: FencingToken,
    holder: Option<FrontId>,
    renewals: u64,
    /// The only front that an operator allows to acquire the lease next.
    reserved_for: Option<FrontId>,
    suspended: bool,
}

impl LeaseState {
    /// What an operator's command says against a grant to this front.
    fn operator_denial(&self, front: FrontId) -> Option<Denial> {
        match self.reserved_for {
            Some(reserved) if reserved != front => Some(Denial::ReservedFor(reserved)),
            _ => None,
        }
    }

    /// Grants the lease anew, or renews it.
    fn acquire(&mut self, front: FrontId, renews: Option<FencingToken>) -> Result<(), Denial> {
        match self.holder {
            Some(holder) if holder == front && renews == Some(self.last_token) => self.renew(front),
            Some(holder) => Err(Denial::HeldBy(holder)),
            None => self.grant(front),
        }
    }

    /// Operators' commands take effect between two lease durations: the holder is simply not renewed.
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
    /// The sequence number of the last request of each front.
    last_sequences: BTreeMap<FrontId, u64>,
}

impl LeaseTable {
    /// A table of `count` free leases, limited to [`MAX_LEASES`].
    pub fn new(count: usize) -> Self {
        LeaseTable {
            leases: vec![LeaseState::default(); count.min(MAX_LEASES)],
            last_sequences: BTreeMap::new(),
        }
    }

    /// The current grant of a lease; `None` if it is free or does not exist.
    pub fn grant_of(&self, lease: LeaseId) -> Option<Grant> {
        let state = self.leases.get(usize::from(lease))?;
        let holder = state.holder?;
        Some(Grant {
            holder,
            token: state.last_token,
            renewals: state.renewals,
        })
    }

    /// The number of leases.
    pub fn len(&self) -> usize {
        self.leases.len()
    }

    /// Whether there are no leases at all.
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// The sequence number of the last request of a front that was applied; 0 if there was none.
    pub fn last_sequence(&self, front: FrontId) -> u64 {
        self.last_sequences.get(&front).copied().unwrap_or(0)
    }

    /// Applies the next command of the log. Returns its outcome, if it has one that others need to know.
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
            // Protects a holder whose renewal came between the leader's check and this command.
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
