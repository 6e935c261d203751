//! A front that acquires, renews and releases leases.
use crate::{
    Command, Denial, FencingToken, FrontId, LeaseId, Micros, Outcome, Timestamp,
    MAX_DRIFT_PER_MILLE,
};
use std::collections::BTreeMap;

/// A request or release that is not answered is repeated after this fraction of the usable lease duration.
const RETRY_DIVISOR: u64 = 6;
/// A lease is renewed once this fraction of its usable duration has passed.
const RENEWAL_DIVISOR: u64 = 3;
/// A front that could not do the work under a lease backs off for one lease duration for each failure in a row, up to
/// this many.
const MAX_BACKOFF_LEASE_DURATIONS: u32 = 5;
/// Fronts that wait for a freed lease request it one after another: each waits this fraction of the usable lease
/// duration for every front before it.
const ACQUIRE_STAGGER_DIVISOR: u64 = 200;

/// What a lease holder wants its caller to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose a command to the replicated log.
    Propose(Command),
    /// The lease is held from now on.
    Acquired(LeaseId, FencingToken),
    /// The lease is not held any more: nothing may be started under this token.
    Lost(LeaseId, FencingToken),
}

/// Why an operation may not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotAuthorized {
    /// This front does not hold the lease.
    #[error("the lease is not held here")]
    NotHeld,
    /// The lease has expired by this front's clock.
    #[error("the lease has expired")]
    Expired,
    /// The operation would end after the lease expires.
    #[error("the operation would outlast the lease")]
    OutlastsLease,
}

/// A request that awaits its outcome.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent_at: Timestamp,
    sequence: u64,
}

/// A release that is repeated until the log confirms it.
#[derive(Clone, Copy, Debug)]
struct Release {
    token: FencingToken,
    /// When it is proposed next.
    due: Timestamp,
    /// From then on the grant has expired anyway, and it is not repeated.
    stop_at: Timestamp,
}

/// This front's view of one lease.
#[derive(Clone, Debug, Default)]
struct LocalLease {
    /// The token of the last grant.
    token: FencingToken,
    /// When the lease expires by this front's clock; `None` if it is not held.
    expires_at: Option<Timestamp>,
    /// The last request. The lease counts from when it was sent, not from when it was granted.
    request: Option<Request>,
    /// When the next request is due.
    next_request: Timestamp,
    /// The caller was told [`Action::Acquired`] and not yet [`Action::Lost`].
    reported_held: bool,
    /// When the last operation that was authorized will have ended.
    busy_until: Timestamp,
    /// A release that the log has not confirmed.
    release: Option<Release>,
    /// How often in a row the work under the lease has failed here.
    consecutive_failures: u32,
    /// Nothing is requested before then.
    backoff_until: Timestamp,
}

impl LocalLease {
    fn starting_at(next_request: Timestamp) -> Self {
        LocalLease {
            next_request,
            ..LocalLease::default()
        }
    }

    fn is_held(&self) -> bool {
        self.expires_at.is_some()
    }

    /// Notices that the lease has expired. Returns whether the caller has to be told.
    fn expire(&mut self, now: Timestamp) -> bool {
        if self.expires_at.is_none_or(|expires_at| now < expires_at) {
            return false;
        }
        self.expires_at = None;
        std::mem::take(&mut self.reported_held)
    }

    /// The token to release now, if a release is due.
    fn poll_release(&mut self, now: Timestamp, retry_interval: Micros) -> Option<FencingToken> {
        let release = self.release.filter(|release| now >= release.due)?;
        let next = Release {
            due: release.due.max(now) + retry_interval,
            ..release
        };
        self.release = Some(next).filter(|_| now < release.stop_at);
        Some(release.token)
    }

    /// Whether a request is due. A lease that is being released is not requested before the release is confirmed: it
    /// would be renewed.
    fn wants_request(&self, now: Timestamp) -> bool {
        now >= self.next_request && now >= self.backoff_until && self.release.is_none()
    }

    /// Stops using the lease, and releases it once the last authorized operation has ended. Returns the token that was
    /// lost, if the lease was held.
    fn begin_release(&mut self, usable_duration: Micros) -> Option<FencingToken> {
        self.expires_at.take()?;
        self.request = None;
        self.reported_held = false;
        self.release = Some(Release {
            token: self.token,
            due: self.busy_until,
            stop_at: self.busy_until + usable_duration,
        });
        Some(self.token)
    }

    fn next_deadline(&self, may_request: bool) -> Option<Timestamp> {
        let requests = may_request && self.release.is_none();
        let request_due = requests.then_some(self.next_request.max(self.backoff_until));
        let release_due = self.release.map(|release| release.due);
        request_due
            .into_iter()
            .chain(self.expires_at)
            .chain(release_due)
            .min()
    }
}

/// The lease holder of one front.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    front: FrontId,
    lease_duration: Micros,
    /// The sequence number of the last request.
    sequence: u64,
    leases: BTreeMap<LeaseId, LocalLease>,
    /// The front shuts down or is drained: nothing new is requested.
    shutting_down: bool,
}

impl LeaseHolder {
    /// A front that wants the given leases, each from its own timestamp on: the preferred holder starts first.
    /// `sequence` must be at least as large as any that this front has used, across restarts.
    pub fn new(
        front: FrontId,
        lease_duration: Micros,
        sequence: u64,
        wanted: impl IntoIterator<Item = (LeaseId, Timestamp)>,
    ) -> Self {
        let wanted = wanted.into_iter();
        let leases = wanted
            .map(|(lease, start)| (lease, LocalLease::starting_at(start)))
            .collect();
        LeaseHolder {
            front,
            lease_duration,
            sequence,
            leases,
            shutting_down: false,
        }
    }

    /// The part of a lease duration that a holder may use: clocks may drift.
    fn usable_duration(&self) -> Micros {
        self.lease_duration - self.lease_duration * MAX_DRIFT_PER_MILLE / 1_000
    }

    /// Authorizes an operation that ends by `deadline`, and returns the fencing token to present. A process that was
    /// stopped learns here, before it does anything, that its lease has expired.
    pub fn authorize(
        &mut self,
        now: Timestamp,
        lease: LeaseId,
        deadline: Timestamp,
    ) -> Result<FencingToken, NotAuthorized> {
        let local = self.leases.get_mut(&lease).ok_or(NotAuthorized::NotHeld)?;
        let expires_at = local.expires_at.ok_or(NotAuthorized::NotHeld)?;
        if now >= expires_at {
            return Err(NotAuthorized::Expired);
        }
        if deadline > expires_at {
            return Err(NotAuthorized::OutlastsLease);
        }
        local.busy_until = local.busy_until.max(deadline);
        Ok(local.token)
    }

    /// What is due now: expiries, releases and requests.
    pub fn poll(&mut self, now: Timestamp) -> Vec<Action> {
        let retry_interval = self.usable_duration() / RETRY_DIVISOR;
        let front = self.front;
        let mut actions = Vec::new();
        for (&lease, local) in &mut self.leases {
            if local.expire(now) {
                actions.push(Action::Lost(lease, local.token));
            }
            if let Some(token) = local.poll_release(now, retry_interval) {
                actions.push(Action::Propose(Command::Release {
                    front,
                    lease,
                    token,
                }));
            }
            if !self.shutting_down && local.wants_request(now) {
                self.sequence += 1;
                let sequence = self.sequence;
                local.request = Some(Request {
                    sent_at: now,
                    sequence,
                });
                local.next_request = now + retry_interval;
                let renews = local.is_held().then_some(local.token);
                actions.push(Action::Propose(Command::Acquire {
                    front,
                    sequence,
                    lease,
                    renews,
                }));
            }
        }
        actions
    }

    /// Takes in the outcome of a command that the log has applied.
    pub fn apply(&mut self, now: Timestamp, outcome: Outcome) -> Vec<Action> {
        match outcome {
            Outcome::Granted {
                front,
                sequence,
                lease,
                token,
                ..
            } if front == self.front => self
                .granted(now, sequence, lease, token)
                .into_iter()
                .collect(),
            Outcome::Denied {
                front,
                sequence,
                lease,
                reason,
            } if front == self.front => {
                self.denied(now, sequence, lease, reason);
                Vec::new()
            }
            Outcome::Freed(lease) => {
                self.freed(now, lease);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn granted(
        &mut self,
        now: Timestamp,
        sequence: u64,
        lease: LeaseId,
        token: FencingToken,
    ) -> Option<Action> {
        let usable_duration = self.usable_duration();
        let local = self.leases.get_mut(&lease)?;
        // Only for the last request is it known when it was sent; an earlier one is answered too late to be sure.
        let request = local
            .request
            .take_if(|request| request.sequence == sequence)?;
        let expires_at = request.sent_at + usable_duration;
        local.token = token;
        local.next_request = request.sent_at + usable_duration / RENEWAL_DIVISOR;
        local.expires_at = (now < expires_at).then_some(expires_at);
        if !local.is_held() || local.reported_held {
            return None;
        }
        local.reported_held = true;
        Some(Action::Acquired(lease, token))
    }

    fn denied(&mut self, now: Timestamp, sequence: u64, lease: LeaseId, reason: Denial) {
        let check_interval = self.usable_duration() / RENEWAL_DIVISOR;
        let Some(local) = self.leases.get_mut(&lease) else {
            return;
        };
        if local
            .request
            .take_if(|request| request.sequence == sequence)
            .is_none()
        {
            return;
        }
        local.next_request = match reason {
            // A request that a later one overtook says nothing of the lease: it is repeated at once.
            Denial::StaleRequest => now,
            _ => local.next_request.max(now + check_interval),
        };
    }

    /// Those who want a freed lease request it one after another, by their numbers.
    fn freed(&mut self, now: Timestamp, lease: LeaseId) {
        let stagger = u64::from(self.front) * self.usable_duration() / ACQUIRE_STAGGER_DIVISOR;
        if let Some(local) = self.leases.get_mut(&lease).filter(|local| !local.is_held()) {
            local.release = None;
            local.next_request = local.next_request.min(now + stagger);
        }
    }

    /// The work under a lease failed on this front, for whatever reason: it releases the lease once the operations that
    /// were authorized have ended, and backs off for longer with each failure in a row.
    pub fn record_failure(&mut self, now: Timestamp, lease: LeaseId) -> Vec<Action> {
        let lease_duration = self.lease_duration;
        let Some(local) = self.leases.get_mut(&lease) else {
            return Vec::new();
        };
        local.consecutive_failures =
            (local.consecutive_failures + 1).min(MAX_BACKOFF_LEASE_DURATIONS);
        local.backoff_until = now + lease_duration * u64::from(local.consecutive_failures);
        let mut actions: Vec<_> = self.begin_release(lease).into_iter().collect();
        actions.extend(self.poll(now));
        actions
    }

    /// The work under a lease succeeded on this front.
    pub fn record_success(&mut self, lease: LeaseId) {
        if let Some(local) = self.leases.get_mut(&lease) {
            local.consecutive_failures = 0;
        }
    }

    /// The front shuts down or is drained: every lease is released once the operations that were authorized under it
    /// have ended, and nothing new is requested. [`LeaseHolder::is_released`] tells when that is complete.
    pub fn release_all(&mut self, now: Timestamp) -> Vec<Action> {
        self.shutting_down = true;
        let leases: Vec<_> = self.leases.keys().copied().collect();
        let mut actions: Vec<_> = leases
            .into_iter()
            .filter_map(|lease| self.begin_release(lease))
            .collect();
        actions.extend(self.poll(now));
        actions
    }

    /// Whether no lease is held, and every release was confirmed or is no longer needed.
    pub fn is_released(&self) -> bool {
        self.leases
            .values()
            .all(|local| !local.is_held() && local.release.is_none())
    }

    fn begin_release(&mut self, lease: LeaseId) -> Option<Action> {
        let usable_duration = self.usable_duration();
        let token = self
            .leases
            .get_mut(&lease)?
            .begin_release(usable_duration)?;
        Some(Action::Lost(lease, token))
    }

    /// When [`LeaseHolder::poll`] has something to do next.
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let may_request = !self.shutting_down;
        self.leases
            .values()
            .filter_map(|local| local.next_deadline(may_request))
            .min()
    }
}

#[cfg(test)]
mod tests;
