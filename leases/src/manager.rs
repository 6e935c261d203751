//! Expiry of leases, decided on the leader of the log.
use crate::{Command, FencingToken, LeaseId, LeaseTable, Micros, Timestamp};
use std::collections::BTreeMap;

/// An expiry that may have been lost is proposed again after this fraction of a lease duration.
const RETRY_DIVISOR: u64 = 8;

/// A grant, or its last renewal, as the leader saw it first.
#[derive(Clone, Copy, Debug)]
struct ObservedGrant {
    token: FencingToken,
    renewals: u64,
    /// When this leader first saw the grant with this number of renewals.
    observed_at: Timestamp,
}

/// Counts lease durations by the leader's own clock.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    lease_duration: Micros,
    grants: BTreeMap<LeaseId, ObservedGrant>,
    is_leader: bool,
}

impl LeaseManager {
    /// A manager on a replica that is not the leader. `lease_duration` is the whole duration that holders were told.
    pub fn new(lease_duration: Micros) -> Self {
        LeaseManager {
            lease_duration,
            grants: BTreeMap::new(),
            is_leader: false,
        }
    }

    /// This replica became the leader, or is no longer. Every lease duration starts anew: what an earlier leader had
    /// counted is not known here.
    pub fn set_leader(&mut self, is_leader: bool) {
        self.grants.clear();
        self.is_leader = is_leader;
    }

    /// The expiries to propose now. Must be called whenever the table has changed, this replica became the leader, or
    /// [`LeaseManager::next_deadline`] has passed. A lease duration counts from the call that saw the grant first:
    /// later than the grant, never before it.
    pub fn poll(&mut self, now: Timestamp, table: &LeaseTable) -> Vec<Command> {
        if !self.is_leader {
            return Vec::new();
        }
        let leases = 0..table.len() as LeaseId;
        leases
            .filter_map(|lease| self.poll_lease(now, lease, table))
            .collect()
    }

    fn poll_lease(
        &mut self,
        now: Timestamp,
        lease: LeaseId,
        table: &LeaseTable,
    ) -> Option<Command> {
        let Some(grant) = table.grant_of(lease) else {
            self.grants.remove(&lease);
            return None;
        };
        let current = ObservedGrant {
            token: grant.token,
            renewals: grant.renewals,
            observed_at: now,
        };
        let observed = self.grants.entry(lease).or_insert(current);
        if observed.token != grant.token || observed.renewals != grant.renewals {
            *observed = current;
        }
        if now < observed.observed_at + self.lease_duration {
            return None;
        }
        // The command may be lost on its way, so it is due again after a while.
        observed.observed_at = now - self.lease_duration + self.lease_duration / RETRY_DIVISOR;
        Some(Command::Expire {
            lease,
            token: grant.token,
            renewals: grant.renewals,
        })
    }

    /// When the next lease expires; `None` if none can.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        if !self.is_leader {
            return None;
        }
        let expiries = self
            .grants
            .values()
            .map(|observed| observed.observed_at + self.lease_duration);
        expiries.min()
    }
}

#[cfg(test)]
mod tests;
