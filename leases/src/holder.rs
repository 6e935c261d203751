//! The lease client of a front: acquires, renews and releases leases.
use crate::{
    Command, Denial, FencingToken, FrontId, LeaseId, Micros, Outcome, Timestamp,
    MAX_DRIFT_PER_MILLE,
};
use std::collections::BTreeMap;

/// The retry interval of unanswered requests and releases is the usable lease duration divided by this number.
const RETRY_DIVISOR: u64 = 6;
/// The renewal interval of a held lease is its usable duration divided by this number.
const RENEWAL_DIVISOR: u64 = 3;
/// Upper bound of the backoff after consecutive failures of the work under a lease, in lease durations. The backoff is one
/// lease duration per failure.
const MAX_BACKOFF_LEASE_DURATIONS: u32 = 5;
/// The delay between the requests of two fronts for a freed lease is the usable lease duration divided by this number.
const ACQUIRE_STAGGER_DIVISOR: u64 = 200;

/// An action for the caller of a [`LeaseHolder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Propose a command to the replicated log.
    Propose(Command),
    /// Start work under the lease: it is held under this token.
    Acquired(LeaseId, FencingToken),
    /// Stop work under the lease: no operation may be started with this token.
    Lost(LeaseId, FencingToken),
}

/// The reason why an operation must not be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NotAuthorized {
    /// This front does not hold the lease.
    #[error("the lease is not held by this front")]
    NotHeld,
    /// The lease has expired by this front's clock.
    #[error("the lease has expired")]
    Expired,
    /// The operation would end after the lease expires.
    #[error("the operation would end after the lease expires")]
    OutlastsLease,
}

/// A request whose outcome is pending.
#[derive(Clone, Copy, Debug)]
struct Request {
    sent_at: Timestamp,
    sequence: u64,
}

/// A release that is proposed repeatedly until its outcome is known.
#[derive(Clone, Copy, Debug)]
struct Release {
    token: FencingToken,
    /// When the release is proposed next.
    due: Timestamp,
    /// When the grant has expired, so that further retries are unnecessary.
    stop_at: Timestamp,
}

/// The local state of one lease.
#[derive(Clone, Debug, Default)]
struct LocalLease {
    /// The token of the last grant.
    token: FencingToken,
    /// When the lease expires by the local clock; `None` if it is not held.
    expires_at: Option<Timestamp>,
    /// The last request, if its outcome is pending. The lease duration starts when it was sent, not when it was granted.
    request: Option<Request>,
    /// When the next acquisition or renewal is due.
    next_request: Timestamp,
    /// Whether the caller received [`Action::Acquired`] without a subsequent [`Action::Lost`].
    reported_held: bool,
    /// The latest deadline of all authorized operations.
    busy_until: Timestamp,
    /// The release that is not confirmed yet.
    release: Option<Release>,
    /// Number of consecutive failures of the work under the lease on this front.
    consecutive_failures: u32,
    /// The lease is not requested before this time.
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

    /// Ends the lease if it has expired. Returns whether the caller has to be notified.
    fn expire(&mut self, now: Timestamp) -> bool {
        if self.expires_at.is_none_or(|expires_at| now < expires_at) {
            return false;
        }
        self.expires_at = None;
        std::mem::take(&mut self.reported_held)
    }

    /// Returns the token to release now, if a release is due, and schedules the next retry.
    fn poll_release(&mut self, now: Timestamp, retry_interval: Micros) -> Option<FencingToken> {
        let release = self.release.filter(|release| now >= release.due)?;
        let next = Release {
            due: release.due.max(now) + retry_interval,
            ..release
        };
        self.release = Some(next).filter(|_| now < release.stop_at);
        Some(release.token)
    }

    /// Whether a request is due. A lease that is being released is not requested before the release is confirmed, since
    /// the request would renew the current grant.
    fn wants_request(&self, now: Timestamp) -> bool {
        now >= self.next_request && now >= self.backoff_until && self.release.is_none()
    }

    /// Gives up a held lease, and schedules its release for the end of the last authorized operation. Returns its token;
    /// `None` if the lease was not held.
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

/// The lease client of one front.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    front: FrontId,
    lease_duration: Micros,
    /// The sequence number of the last request.
    sequence: u64,
    leases: BTreeMap<LeaseId, LocalLease>,
    /// Whether the front shuts down or is drained, so that it requests no leases.
    shutting_down: bool,
}

impl LeaseHolder {
    /// Creates the client of a front that competes for the given leases. Each is requested from its timestamp on, which is
    /// earliest on the preferred holder. `sequence` must not be less than any sequence number that this front has used,
    /// including before restarts.
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

    /// The lease duration reduced by the tolerated clock drift.
    fn usable_duration(&self) -> Micros {
        self.lease_duration - self.lease_duration * MAX_DRIFT_PER_MILLE / 1_000
    }

    /// Authorizes an operation that ends by `deadline`, and returns its fencing token. The expiry is checked on every call,
    /// because the process may have been suspended since the last poll.
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

    /// Returns the actions that are due: expiries, releases and requests.
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

    /// Processes the outcome of a command of the log, and returns the resulting actions.
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
        // The outcome of an earlier request is ignored, since only the send time of the last one is stored.
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
            // This denial does not depend on the state of the lease, so the request is retried immediately.
            Denial::StaleRequest => now,
            _ => local.next_request.max(now + check_interval),
        };
    }

    /// Schedules a request for a freed lease, staggered by the front's identifier.
    fn freed(&mut self, now: Timestamp, lease: LeaseId) {
        let stagger = u64::from(self.front) * self.usable_duration() / ACQUIRE_STAGGER_DIVISOR;
        if let Some(local) = self.leases.get_mut(&lease).filter(|local| !local.is_held()) {
            local.release = None;
            local.next_request = local.next_request.min(now + stagger);
        }
    }

    /// Records that the work under a lease failed on this front. The lease is released when all authorized operations have
    /// ended, and is not requested again during a backoff that grows with consecutive failures.
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

    /// Records that the work under a lease succeeded on this front, which resets its backoff.
    pub fn record_success(&mut self, lease: LeaseId) {
        if let Some(local) = self.leases.get_mut(&lease) {
            local.consecutive_failures = 0;
        }
    }

    /// Releases all leases for a graceful shutdown or drain: each one when its authorized operations have ended. No leases
    /// are requested afterwards. [`LeaseHolder::is_released`] reports completion.
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

    /// Whether no lease is held, and every release was confirmed or is unnecessary because the grant has expired.
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

    /// Returns when [`LeaseHolder::poll`] has to be called next.
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
