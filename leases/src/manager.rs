//! Expiry of leases by the leader of the log.
use crate::{Command, FencingToken, LeaseId, LeaseTable, Micros, Timestamp};
use std::collections::BTreeMap;

/// The retry interval of expiry proposals is the lease duration divided by this number.
const RETRY_DIVISOR: u64 = 8;

/// A grant and its last renewal, as observed by the leader.
#[derive(Clone, Copy, Debug)]
struct ObservedGrant {
    token: FencingToken,
    renewals: u64,
    /// When this leader first observed the grant with this number of renewals.
    observed_at: Timestamp,
}

/// Measures lease durations by the leader's clock, and proposes expiries.
#[derive(Clone, Debug)]
pub struct LeaseManager {
    lease_duration: Micros,
    grants: BTreeMap<LeaseId, ObservedGrant>,
    is_leader: bool,
}

impl LeaseManager {
    /// Creates the manager of a replica that is not the leader. `lease_duration` must be the duration that holders use,
    /// without a deduction for clock drift.
    pub fn new(lease_duration: Micros) -> Self {
        LeaseManager {
            lease_duration,
            grants: BTreeMap::new(),
            is_leader: false,
        }
    }

    /// Records whether this replica is the leader. All lease durations restart, because the time measured by the previous
    /// leader is unknown.
    pub fn set_leader(&mut self, is_leader: bool) {
        self.grants.clear();
        self.is_leader = is_leader;
    }

    /// Returns the expiries to propose now. Must be called when the table has changed, when this replica became the leader,
    /// and when [`LeaseManager::next_deadline`] has passed. A lease duration starts with the first call that observes the
    /// grant, which is never before the grant itself.
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
        // The proposal may be lost, so it is retried.
        observed.observed_at = now - self.lease_duration + self.lease_duration / RETRY_DIVISOR;
        Some(Command::Expire {
            lease,
            token: grant.token,
            renewals: grant.renewals,
        })
    }

    /// Returns when the next lease expires; `None` if no lease is held or this replica is not the leader.
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
