//! Decides which certificates are ordered and when. The number of orders within a time window is limited, and a failing
//! certificate does not delay others. The planner does no input or output. Each certificate has an entry, which is in
//! exactly one queue unless an order for it is in progress.
use crate::error::Failure;
use crate::renewal::{due, Ranking, Rule, Validity};
use crate::retry::{retry_delay, Cause};
use crate::wire::Window;
use crate::{Clocks, Micros, Timestamp, UnixTime, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Percentage of the lifetime from which a certificate is renewed without its refused names, although the old certificate
/// still covers them.
const DROP_REFUSED_PERCENT: u64 = 90;
/// Renewals before this percentage of the lifetime count as early.
const EARLY_PERCENT: u64 = 10;
/// Times on the wall clock further ahead than this are ignored: they were set before the clock was moved back.
const MAX_WALL_WAIT_S: u64 = 8 * 24 * 3_600;
/// Intervals of the notices about certificates that will expire or have expired.
const WARN_INTERVAL: Micros = 3_600 * SECOND;
const ERROR_INTERVAL: Micros = 60 * SECOND;
/// Maximum number of names in a notice.
const MAX_NOTICE_NAMES: usize = 5;
const MAX_REFUSED_NAMES: usize = 20_000;

/// Settings of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerSettings {
    /// Determines when a renewal is due.
    pub rule: Rule,
    /// Percentage of the lifetime after which a warning is logged.
    pub warn_percent: u32,
    /// Maximum number of orders started within `order_window`.
    pub max_orders: usize,
    /// Length of the window in microseconds.
    pub order_window: Micros,
    /// Maximum number of orders in progress.
    pub max_concurrent_orders: usize,
}

/// An order to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedOrder {
    /// Id of the certificate: its first name.
    pub id: String,
    /// Names to order; refused names are left out.
    pub names: Vec<String>,
}

/// A name that the authority refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The name is not ordered again before this time.
    pub until: UnixTime,
    /// Number of refusals in a row.
    pub failures: u32,
}

/// A notice for operators about the validity of certificates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// Certificates will expire soon.
    Expiring {
        /// Number of certificates.
        count: usize,
        /// Seconds until the first expires.
        expires_in_s: u64,
        /// Ids of some of the certificates.
        names: Vec<String>,
    },
    /// Certificates have expired.
    Expired {
        /// Number of certificates.
        count: usize,
        /// Seconds since the first expired.
        expired_for_s: u64,
        /// Ids of some of the certificates.
        names: Vec<String>,
    },
    /// Certificates are not valid yet, most likely because the wall clock is wrong.
    NotYetValid {
        /// Number of certificates.
        count: usize,
        /// Ids of some of the certificates.
        names: Vec<String>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueueState {
    /// Not due; in the queue `later` by the due time.
    Later(UnixTime),
    /// Due, but delayed by the ranking of fronts or after a failure; in the queue `held_back`.
    HeldBack(Timestamp),
    /// Can be ordered; in the queue `ready` by the expiry of the current certificate.
    Ready(UnixTime),
    /// An order is in progress; in no queue.
    InProgress,
}

#[derive(Debug)]
struct Entry {
    names: Vec<String>,
    validity: Option<Validity>,
    /// Names that the current certificate covers.
    covered: BTreeSet<String>,
    window: Option<Window>,
    failures: u32,
    last_failure: Option<(Cause, String)>,
    /// Not ordered before this time.
    hold_until: Timestamp,
    /// An operator requested the renewal.
    forced: bool,
    /// Number of renewals in a row that the authority requested right after issuance.
    early_renewals: u32,
    /// No further early renewal before this time.
    early_hold_until: UnixTime,
    /// The delay of the ranking has been applied since the certificate became due.
    delay_applied: bool,
    /// An order exists that can be resumed. It has been counted in `recent_orders` already.
    resumable: bool,
    queue_state: QueueState,
}

/// The state of a certificate, for operators.
#[derive(Clone, Debug)]
pub struct CertificateStatus {
    /// Id: the first name.
    pub id: String,
    /// All configured names.
    pub names: Vec<String>,
    /// Validity of the current certificate.
    pub validity: Option<Validity>,
    /// Queue of the certificate: `later`, `held-back`, `ready` or `ordering`.
    pub state: &'static str,
    /// Seconds until the next action, if known.
    pub next_s: Option<u64>,
    /// Number of failures in a row.
    pub failures: u32,
    /// Cause and description of the last failure.
    pub last_failure: Option<(Cause, String)>,
    /// Names that are not ordered at present because the authority refused them.
    pub refused: Vec<String>,
}

/// Plans the orders of all certificates.
pub struct Planner {
    settings: PlannerSettings,
    ranking: Box<dyn Ranking + Send>,
    entries: BTreeMap<String, Entry>,
    later: BTreeSet<(UnixTime, String)>,
    held_back: BTreeSet<(Timestamp, String)>,
    ready: BTreeSet<(UnixTime, String)>,
    in_progress: usize,
    refused: BTreeMap<String, Refusal>,
    /// Start times of the orders within the window, on both clocks.
    recent_orders: VecDeque<(Timestamp, UnixTime)>,
    /// No order is started before this time, because the authority is not available.
    paused_until: Timestamp,
    pause_failures: u32,
    /// Ids that were rate limited since the last success.
    rate_limited: BTreeSet<String>,
    next_warning_at: Timestamp,
    next_error_at: Timestamp,
}

impl std::fmt::Debug for Planner {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "Planner({} certificates, {} orders in progress)",
            self.entries.len(),
            self.in_progress
        )
    }
}

impl Planner {
    /// Creates a planner without certificates.
    pub fn new(settings: PlannerSettings, ranking: Box<dyn Ranking + Send>) -> Self {
        Planner {
            settings,
            ranking,
            entries: BTreeMap::new(),
            later: BTreeSet::new(),
            held_back: BTreeSet::new(),
            ready: BTreeSet::new(),
            in_progress: 0,
            refused: BTreeMap::new(),
            recent_orders: VecDeque::new(),
            paused_until: 0,
            pause_failures: 0,
            rate_limited: BTreeSet::new(),
            next_warning_at: 0,
            next_error_at: 0,
        }
    }

    /// Restores the state saved before a restart.
    pub fn restore(
        &mut self,
        clocks: Clocks,
        orders: &[UnixTime],
        refused: BTreeMap<String, Refusal>,
    ) {
        let window = self.settings.order_window / SECOND;
        let mut known: Vec<_> = orders
            .iter()
            .copied()
            .filter(|w| w + window > clocks.wall)
            .collect();
        known.sort_unstable();
        known.truncate(self.settings.max_orders);
        // Times in the future were recorded before the clock was moved back; they count as now.
        let age = |w: &UnixTime| clocks.wall.saturating_sub(*w) * SECOND;
        self.recent_orders = known
            .iter()
            .map(|w| (clocks.now.saturating_sub(age(w)), *w))
            .collect();
        self.refused = refused;
    }

    /// Returns the state to save for the next start.
    pub fn saved_state(&self) -> (Vec<UnixTime>, BTreeMap<String, Refusal>) {
        (
            self.recent_orders.iter().map(|(_, wall)| *wall).collect(),
            self.refused.clone(),
        )
    }

    /// Applies new settings and a new ranking.
    pub fn reconfigure(
        &mut self,
        clocks: Clocks,
        settings: PlannerSettings,
        ranking: Box<dyn Ranking + Send>,
    ) {
        (self.settings, self.ranking) = (settings, ranking);
        let ids: Vec<_> = self.entries.keys().cloned().collect();
        ids.iter().for_each(|id| self.schedule(clocks, id));
    }

    /// Sets the wanted certificates, each by its names, of which the first is the id. Other certificates are removed,
    /// including orders in progress.
    pub fn set_wanted(&mut self, clocks: Clocks, all: &[Vec<String>]) {
        let wanted: BTreeMap<String, Vec<String>> = all
            .iter()
            .filter_map(|names| {
                let names: Vec<_> = names.iter().map(|n| n.to_ascii_lowercase()).collect();
                names.first().cloned().map(|id| (id, names))
            })
            .collect();
        let removed: Vec<_> = self
            .entries
            .keys()
            .filter(|id| !wanted.contains_key(*id))
            .cloned()
            .collect();
        for id in removed {
            self.unqueue(&id);
            self.entries.remove(&id);
        }
        for (id, names) in wanted {
            let new_entry = Entry {
                names: names.clone(),
                validity: None,
                covered: BTreeSet::new(),
                window: None,
                failures: 0,
                last_failure: None,
                hold_until: 0,
                forced: false,
                early_renewals: 0,
                early_hold_until: 0,
                delay_applied: false,
                resumable: false,
                queue_state: QueueState::Later(u64::MAX),
            };
            let entry = self.entries.entry(id.clone()).or_insert(new_entry);
            if entry.names != names {
                (entry.names, entry.failures, entry.hold_until) = (names, 0, 0);
            }
            self.schedule(clocks, &id);
        }
    }

    /// Returns the ids of all certificates.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.entries.keys()
    }

    /// Returns the names of a certificate.
    pub fn names(&self, id: &str) -> Option<&[String]> {
        self.entries.get(id).map(|e| &e.names[..])
    }

    /// Records the certificate in use, with the names that it covers.
    pub fn set_certificate(
        &mut self,
        clocks: Clocks,
        id: &str,
        validity: Validity,
        covered: &[String],
    ) {
        if let Some(entry) = self.entries.get_mut(id) {
            if entry.validity != Some(validity) {
                (entry.window, entry.delay_applied) = (None, false);
            }
            entry.validity = Some(validity);
            entry.covered = covered.iter().cloned().collect();
            self.schedule(clocks, id);
        }
    }

    /// Records that an order from before a restart can be resumed. It is due at once and not counted again.
    pub fn set_resumable(&mut self, clocks: Clocks, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.resumable = true;
            self.schedule(clocks, id);
        }
    }

    /// Records the renewal window suggested by the authority.
    pub fn set_window(&mut self, clocks: Clocks, id: &str, window: Window) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.window = Some(window);
            self.schedule(clocks, id);
        }
    }

    /// Schedules a renewal now, regardless of validity and earlier failures. Returns false for an unknown id.
    pub fn force_renewal(&mut self, clocks: Clocks, id: &str) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        (entry.forced, entry.hold_until, entry.delay_applied) = (true, 0, true);
        let names = entry.names.clone();
        self.refused.retain(|name, _| !names.contains(name));
        self.paused_until = 0;
        self.schedule(clocks, id);
        true
    }

    /// Returns the next order to start, if any. It is counted as started.
    pub fn next(&mut self, clocks: Clocks) -> Option<PlannedOrder> {
        self.requeue_due(clocks);
        let max_in_progress = if self.pause_failures > 0 {
            1
        } else {
            self.settings.max_concurrent_orders
        };
        if clocks.now < self.paused_until || self.in_progress >= max_in_progress {
            return None;
        }
        while self
            .recent_orders
            .front()
            .is_some_and(|(at, _)| clocks.now >= at.saturating_add(self.settings.order_window))
        {
            self.recent_orders.pop_front();
        }
        let full = self.recent_orders.len() >= self.settings.max_orders;
        let allowed = |id: &String| !full || self.entries.get(id).is_some_and(|e| e.resumable);
        // At the limit only resumable orders can start, since they have been counted already.
        let (_, id) = self.ready.iter().find(|(_, id)| allowed(id)).cloned()?;
        let names = self.orderable_names(clocks.wall, &id);
        self.unqueue(&id);
        let entry = self.entries.get_mut(&id)?;
        if names.is_empty() {
            // All names have been refused since the certificate was queued.
            self.schedule(clocks, &id);
            return None;
        }
        entry.queue_state = QueueState::InProgress;
        self.in_progress += 1;
        if !std::mem::take(&mut entry.resumable) {
            self.recent_orders.push_back((clocks.now, clocks.wall));
        }
        Some(PlannedOrder { id, names })
    }

    /// Records that an order was completed.
    pub fn succeeded(&mut self, clocks: Clocks, id: &str, validity: Validity, covered: &[String]) {
        self.authority_responded();
        self.rate_limited.clear();
        for name in covered {
            self.refused.remove(name);
        }
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        (entry.failures, entry.last_failure, entry.hold_until) = (0, None, 0);
        // Prevents repeated renewals if the authority always suggests windows in the past, or if a new certificate is
        // already due by the clock of this machine.
        let early = entry
            .validity
            .is_some_and(|old| clocks.wall < old.at(EARLY_PERCENT))
            && entry.window.is_some();
        let old = due(&validity, None, self.settings.rule, id) <= clocks.wall;
        entry.early_renewals = if (early || old) && !entry.forced {
            entry.early_renewals + 1
        } else {
            0
        };
        if entry.early_renewals > 0 {
            entry.early_hold_until =
                clocks.wall + retry_delay(Cause::Refused, entry.early_renewals, None, id) / SECOND;
        }
        (entry.forced, entry.window) = (false, None);
        if validity.not_after <= clocks.wall {
            // By this clock the certificate has ended already: one of the clocks is wrong. An immediate order would not help.
            entry.failures = 1;
            entry.last_failure = Some((
                Cause::BadResponse,
                "the issued certificate has already expired by this machine's clock".into(),
            ));
            entry.hold_until = clocks.now + retry_delay(Cause::BadResponse, 4, None, id);
        }
        self.finish_order(id);
        self.set_certificate(clocks, id, validity, covered);
        self.schedule(clocks, id);
    }

    /// Records that an order failed.
    pub fn failed(&mut self, clocks: Clocks, id: &str, failure: &Failure) {
        self.finish_order(id);
        let Failure {
            cause, retry_after, ..
        } = *failure;
        if cause.affects_all() {
            self.pause(clocks, cause, retry_after);
        } else {
            self.authority_responded();
        }
        for name in &failure.refused {
            if self.refused.len() < MAX_REFUSED_NAMES || self.refused.contains_key(name) {
                let refusal = self.refused.entry(name.clone()).or_default();
                refusal.failures += 1;
                refusal.until = clocks.wall
                    + retry_delay(Cause::Refused, refusal.failures, retry_after, name) / SECOND;
            }
        }
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.last_failure = Some((cause, failure.text.clone()));
        entry.failures += 1;
        entry.resumable = failure.resumable;
        if cause == Cause::AccountUnknown {
            // The account is registered again; the order is not to blame.
        } else if cause.affects_all() {
            entry.hold_until = self.paused_until;
        } else if !failure.refused.is_empty() && failure.refused.len() < entry.names.len() {
            // The other names are ordered at once.
            entry.hold_until = clocks.now;
        } else {
            entry.hold_until = clocks.now + retry_delay(cause, entry.failures, retry_after, id);
        }
        let hold_until = entry.hold_until;
        if cause == Cause::RateLimited {
            self.rate_limited.insert(id.into());
            // A single certificate may have its own limit; several indicate a limit of the account.
            if self.rate_limited.len() > 1 {
                self.paused_until = self.paused_until.max(hold_until);
            }
        }
        self.schedule(clocks, id);
    }

    /// Pauses all orders after a failure that affects all certificates.
    pub fn pause(&mut self, clocks: Clocks, cause: Cause, retry_after: Option<Micros>) {
        self.pause_failures += 1;
        self.paused_until =
            clocks.now + retry_delay(cause, self.pause_failures, retry_after, "authority");
    }

    /// Records that the authority is available.
    pub fn authority_responded(&mut self) {
        self.pause_failures = 0;
    }

    /// Whether a certificate is ready to be ordered and orders are not paused. The order limits are not considered.
    pub fn has_ready(&mut self, clocks: Clocks) -> bool {
        self.requeue_due(clocks);
        clocks.now >= self.paused_until && !self.ready.is_empty()
    }

    /// The time until which orders are paused; in the past or 0 if they are not.
    pub fn paused_until(&self) -> Timestamp {
        self.paused_until
    }

    /// Returns the next time at which a certificate may become due or an order may start.
    pub fn next_wakeup(&self, clocks: Clocks) -> Option<Timestamp> {
        let later = self.later.first().filter(|(at, _)| *at < u64::MAX);
        let later =
            later.map(|(at, _)| clocks.now + at.saturating_sub(clocks.wall).min(1 << 32) * SECOND);
        let held_back = self.held_back.first().map(|(at, _)| *at);
        let ready = (!self.ready.is_empty()).then(|| {
            let full = self.recent_orders.len() >= self.settings.max_orders;
            let window = self
                .recent_orders
                .front()
                .filter(|_| full)
                .map_or(0, |(at, _)| at + self.settings.order_window);
            // The end of the order in progress wakes the planner earlier.
            let free = if self.in_progress > 0 {
                clocks.now + 60 * SECOND
            } else {
                clocks.now
            };
            self.paused_until.max(window).max(free)
        });
        [later, held_back, ready].into_iter().flatten().min()
    }

    /// Returns the notices that are due.
    pub fn notices(&mut self, clocks: Clocks) -> Vec<Notice> {
        let (warn, error) = (
            clocks.now >= self.next_warning_at,
            clocks.now >= self.next_error_at,
        );
        if !warn && !error {
            return Vec::new();
        }
        let wall = clocks.wall;
        let certificates = || {
            self.entries
                .iter()
                .filter_map(|(id, e)| e.validity.map(|h| (h, id)))
        };
        let mut notices = Vec::new();
        if error {
            let ended: Vec<_> = certificates().filter(|(h, _)| wall > h.not_after).collect();
            if let Some(first) = ended.iter().map(|(h, _)| h.not_after).min() {
                let (count, names) = (ended.len(), notice_names(&ended));
                notices.push(Notice::Expired {
                    count,
                    expired_for_s: wall - first,
                    names,
                });
                self.next_error_at = clocks.now + ERROR_INTERVAL;
            }
        }
        if warn {
            let percent = u64::from(self.settings.warn_percent);
            let ending: Vec<_> = certificates()
                .filter(|(h, _)| wall >= h.at(percent) && wall <= h.not_after)
                .collect();
            let early: Vec<_> = certificates()
                .filter(|(h, _)| wall < h.not_before)
                .collect();
            if let Some(first) = ending.iter().map(|(h, _)| h.not_after).min() {
                let (count, names) = (ending.len(), notice_names(&ending));
                notices.push(Notice::Expiring {
                    count,
                    expires_in_s: first - wall,
                    names,
                });
            }
            if !early.is_empty() {
                notices.push(Notice::NotYetValid {
                    count: early.len(),
                    names: notice_names(&early),
                });
            }
            if !notices.is_empty() {
                self.next_warning_at = clocks.now + WARN_INTERVAL;
            }
        }
        notices
    }

    /// Returns the state of each certificate, ordered by id.
    pub fn statuses(&self, clocks: Clocks) -> Vec<CertificateStatus> {
        let status = |(id, e): (&String, &Entry)| {
            let (state, next_s) = match e.queue_state {
                QueueState::Later(u64::MAX) => ("later", None),
                QueueState::Later(at) => ("later", Some(at.saturating_sub(clocks.wall))),
                QueueState::HeldBack(at) => {
                    ("held-back", Some(at.saturating_sub(clocks.now) / SECOND))
                }
                QueueState::Ready(_) => (
                    "ready",
                    Some(self.paused_until.saturating_sub(clocks.now) / SECOND),
                ),
                QueueState::InProgress => ("ordering", None),
            };
            let refused = e
                .names
                .iter()
                .filter(|n| self.is_held_back(n, clocks.wall))
                .cloned()
                .collect();
            let (id, names, last_failure) = (id.clone(), e.names.clone(), e.last_failure.clone());
            CertificateStatus {
                id,
                names,
                validity: e.validity,
                state,
                next_s,
                failures: e.failures,
                last_failure,
                refused,
            }
        };
        self.entries.iter().map(status).collect()
    }

    /// Returns the number of orders within the window and their maximum.
    pub fn order_counts(&self) -> (usize, usize) {
        (self.recent_orders.len(), self.settings.max_orders)
    }

    fn is_held_back(&self, name: &str, wall: UnixTime) -> bool {
        self.refused
            .get(name)
            .is_some_and(|r| r.until > wall && r.until < wall + MAX_WALL_WAIT_S)
    }

    /// Returns the names that an order started now would contain.
    fn orderable_names(&self, wall: UnixTime, id: &str) -> Vec<String> {
        let Some(entry) = self.entries.get(id) else {
            return Vec::new();
        };
        entry
            .names
            .iter()
            .filter(|n| !self.is_held_back(n, wall))
            .cloned()
            .collect()
    }

    /// Returns the time from which a certificate should be ordered.
    fn due(&self, wall: UnixTime, id: &str, entry: &Entry) -> UnixTime {
        if entry.forced || entry.resumable {
            return 0;
        }
        let held_back = |name: &&String| self.is_held_back(name, wall);
        let until = |names: &mut dyn Iterator<Item = &String>| {
            names
                .filter_map(|n| self.refused.get(n))
                .map(|r| r.until)
                .min()
        };
        let Some(validity) = entry.validity else {
            let free = entry.names.iter().any(|n| !held_back(&n));
            return if free {
                0
            } else {
                until(&mut entry.names.iter()).unwrap_or(0)
            };
        };
        let mut renew = due(&validity, entry.window, self.settings.rule, id);
        if entry.early_renewals > 0 && entry.early_hold_until < wall + MAX_WALL_WAIT_S {
            renew = renew.max(entry.early_hold_until);
        }
        let missing: Vec<_> = entry
            .names
            .iter()
            .filter(|n| !entry.covered.contains(*n))
            .collect();
        if missing.iter().any(|n| !held_back(n)) {
            return 0;
        }
        let complete = until(&mut missing.iter().copied()).unwrap_or(u64::MAX);
        // Keeps refused names that the current certificate still covers until most of its lifetime has passed.
        let covered_until = until(
            &mut entry
                .names
                .iter()
                .filter(|n| entry.covered.contains(*n))
                .filter(held_back),
        );
        let renew = match covered_until {
            Some(until) => renew.max(until.min(validity.at(DROP_REFUSED_PERCENT))),
            None => renew,
        };
        let free = entry.names.iter().any(|n| !held_back(&n));
        let renew = if free {
            renew
        } else {
            renew.max(until(&mut entry.names.iter()).unwrap_or(0))
        };
        renew.min(complete)
    }

    /// Moves a certificate to the queue for its current state.
    fn schedule(&mut self, clocks: Clocks, id: &str) {
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if entry.queue_state == QueueState::InProgress {
            return;
        }
        let due = self.due(clocks.wall, id, entry);
        self.unqueue(id);
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        entry.queue_state = if due > clocks.wall {
            entry.delay_applied = false;
            QueueState::Later(due)
        } else {
            if !std::mem::replace(&mut entry.delay_applied, true) {
                let remaining_s = entry
                    .validity
                    .map_or(0, |h| h.not_after.saturating_sub(clocks.wall));
                entry.hold_until = entry
                    .hold_until
                    .max(clocks.now + self.ranking.delay(id, remaining_s));
            }
            let urgency = entry.validity.map_or(0, |h| h.not_after);
            if entry.hold_until > clocks.now {
                QueueState::HeldBack(entry.hold_until)
            } else {
                QueueState::Ready(urgency)
            }
        };
        match entry.queue_state {
            QueueState::Later(at) => drop(self.later.insert((at, id.into()))),
            QueueState::HeldBack(at) => drop(self.held_back.insert((at, id.into()))),
            QueueState::Ready(at) => drop(self.ready.insert((at, id.into()))),
            QueueState::InProgress => {}
        }
    }

    fn unqueue(&mut self, id: &str) {
        match self.entries.get(id).map(|e| e.queue_state) {
            Some(QueueState::Later(at)) => drop(self.later.remove(&(at, id.into()))),
            Some(QueueState::HeldBack(at)) => drop(self.held_back.remove(&(at, id.into()))),
            Some(QueueState::Ready(at)) => drop(self.ready.remove(&(at, id.into()))),
            Some(QueueState::InProgress) => self.in_progress -= 1,
            None => {}
        }
    }

    fn finish_order(&mut self, id: &str) {
        if self
            .entries
            .get(id)
            .is_some_and(|e| e.queue_state == QueueState::InProgress)
        {
            self.in_progress -= 1;
            if let Some(entry) = self.entries.get_mut(id) {
                entry.queue_state = QueueState::Later(u64::MAX);
            }
        }
    }

    /// Reschedules the certificates whose time in a queue has passed.
    fn requeue_due(&mut self, clocks: Clocks) {
        while let Some((_, id)) = self
            .later
            .first()
            .filter(|(at, _)| *at <= clocks.wall)
            .cloned()
        {
            self.later.pop_first();
            self.entries
                .get_mut(&id)
                .into_iter()
                .for_each(|e| e.queue_state = QueueState::Later(0));
            self.schedule(clocks, &id);
        }
        while let Some((_, id)) = self
            .held_back
            .first()
            .filter(|(at, _)| *at <= clocks.now)
            .cloned()
        {
            self.held_back.pop_first();
            self.entries
                .get_mut(&id)
                .into_iter()
                .for_each(|e| e.queue_state = QueueState::HeldBack(0));
            self.schedule(clocks, &id);
        }
    }
}

fn notice_names(found: &[(Validity, &String)]) -> Vec<String> {
    found
        .iter()
        .take(MAX_NOTICE_NAMES)
        .map(|(_, id)| id.to_string())
        .collect()
}
