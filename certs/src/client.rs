//! The ACME client as a state machine. It sets up the directory and the account, starts the orders that the planner
//! returns, and runs each of them as a task with at most one request in flight. It also manages nonces and rejects every
//! URL that is not on the host and port of the configured authority.
mod operators;
mod orders;
mod renewal_info;
mod requests;
mod saving;
mod setup;
mod tasks;

use crate::disk::{Account, PendingOrder, State};
use crate::error::Failure;
use crate::identity::Identity;
use crate::jose::AccountKey;
use crate::messages::{Action, Event, KeyRequest, Level, LogEntry};
use crate::order::{ChallengeType, Input};
use crate::pending_writes::PendingWrites;
use crate::planner::{CertificateStatus, Notice, Planner, PlannerSettings};
use crate::renewal::Ranking;
use crate::retry::Cause;
use crate::wire::{Directory, Problem};
use crate::{sanitize, Clocks, Micros, Timestamp, SECOND};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tasks::{Task, TaskKind};

/// Maximum number of unused nonces.
const MAX_NONCES: usize = 8;
/// Longer nonces are ignored.
const MAX_NONCE_CHARS: usize = 512;
/// Retries of a request that was rejected because of its nonce (RFC 8555, section 6.5).
const MAX_NONCE_RETRIES: u8 = 5;
/// The directory is fetched again after this time.
const MAX_DIRECTORY_AGE: Micros = 24 * 3_600 * SECOND;
/// Interval between requests for renewal information (RFC 9773, section 4.3), and the limits within which the interval
/// requested by the authority is accepted.
const RENEWAL_INFO_INTERVAL: Micros = 6 * 3_600 * SECOND;
const MIN_RENEWAL_INFO_INTERVAL: Micros = 60 * SECOND;
const MAX_RENEWAL_INFO_INTERVAL: Micros = 24 * 3_600 * SECOND;
/// Maximum number of operator commands that wait for the authority.
const MAX_OPERATOR_TASKS: usize = 8;
/// Difference in seconds between the clocks of this machine and of the authority above which a warning is logged.
const MAX_SKEW_S: u64 = 300;
/// Maximum interval between ticks. The wall clock may jump, so it has to be checked regularly.
const MAX_TICK_INTERVAL: Micros = 30 * SECOND;
/// Minimum delay until the next tick for the planner and renewal information.
const MIN_TICK_INTERVAL: Micros = 50_000;

/// The authority and the account.
#[derive(Clone)]
pub struct Settings {
    /// Directory URL of the authority.
    pub directory_url: String,
    /// Contact URLs of the account, e.g. `mailto:` addresses.
    pub contacts: Vec<String>,
    /// Key id and HMAC key of an external account. The key must not be logged.
    pub external: Option<(String, Vec<u8>)>,
    /// Challenge type used to prove control of names.
    pub challenge_type: ChallengeType,
    /// Other fronts share the folder, so that it is checked for a renewed certificate before an order.
    pub shared: bool,
}

/// The ACME client.
pub struct Client {
    settings: Option<Settings>,
    planner: Planner,
    tasks: BTreeMap<u64, Task>,
    last_task: u64,
    /// The directory and the time at which it was fetched.
    directory: Option<(Directory, Timestamp)>,
    account: Option<Account>,
    key: Option<Arc<AccountKey>>,
    nonces: Vec<String>,
    /// Unfinished orders by certificate id.
    pending: BTreeMap<String, PendingOrder>,
    /// Served identities by certificate id.
    served: BTreeMap<String, Vec<Identity>>,
    /// Certificate ids by the time of their next request for renewal information.
    renewal_info_queue: BTreeSet<(Timestamp, String)>,
    /// Seconds by which the clock of the authority is ahead, from its last response.
    skew: Option<i64>,
    started: bool,
    /// Planner state as it was saved last.
    saved: State,
    pending_writes: PendingWrites,
}

impl Client {
    /// Creates a client. Without `settings` it orders nothing and only reports the expiry of certificates.
    pub fn new(
        settings: Option<Settings>,
        planner_settings: PlannerSettings,
        ranking: Box<dyn Ranking + Send>,
    ) -> Self {
        Client {
            settings,
            planner: Planner::new(planner_settings, ranking),
            tasks: BTreeMap::new(),
            last_task: 0,
            directory: None,
            account: None,
            key: None,
            nonces: Vec::new(),
            pending: BTreeMap::new(),
            served: BTreeMap::new(),
            renewal_info_queue: BTreeSet::new(),
            skew: None,
            started: false,
            saved: State::default(),
            pending_writes: PendingWrites::default(),
        }
    }

    /// Handles an event and appends the actions for the driver to `out`.
    pub fn handle(&mut self, clocks: Clocks, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start(loaded) => self.start(clocks, *loaded, out),
            Event::Response(task, response) => self.handle_response(clocks, task, response, out),
            Event::OrderKey(task, key) => {
                let input = match key {
                    Ok((pem, csr)) => Input::Key(pem, csr),
                    Err(error) => Input::NotSent(error),
                };
                self.step_order(clocks, task, input, out);
            }
            Event::AccountKey(task, key) => self.handle_account_key(clocks, task, key, out),
            Event::Done(task, done) => self.handle_done(clocks, task, done, out),
            Event::Reread(task, found) => self.handle_reread(clocks, task, found, out),
            Event::Tick => {
                self.retry_writes(clocks.now, out);
                let due = self
                    .tasks
                    .iter()
                    .filter(|(_, t)| t.wake.is_some_and(|at| at <= clocks.now));
                let due: Vec<_> = due.map(|(id, _)| *id).collect();
                for task in due {
                    self.tasks
                        .get_mut(&task)
                        .into_iter()
                        .for_each(|t| t.wake = None);
                    self.step_order(clocks, task, Input::Timer, out);
                }
            }
            Event::Configure(planner_settings, ranking, certificates) => {
                self.configure(clocks, planner_settings, ranking, &certificates, out)
            }
            Event::Renew(operator, id) => {
                let known = self.settings.is_some() && self.planner.force_renewal(clocks, &id);
                let response = if known {
                    Ok(format!("{id}: renewal scheduled"))
                } else {
                    Err(self.unknown_certificate(&id))
                };
                out.push(Action::Reply(operator, response));
            }
            Event::Revoke(operator, id, reason) => self.revoke(clocks, operator, &id, reason, out),
            Event::Import(operator, identity) => self.import(clocks, operator, *identity, out),
            Event::RollKey(operator) => {
                if self.account.as_ref().is_none_or(|a| a.url.is_none())
                    || self.operator_tasks() >= MAX_OPERATOR_TASKS
                {
                    let error = format!(
                        "account key not changed: no account is registered yet, \
                         or {MAX_OPERATOR_TASKS} commands are in progress"
                    );
                    out.push(Action::Reply(operator, Err(error)));
                } else {
                    let task = self.add_task(TaskKind::KeyRollover {
                        operator,
                        new: None,
                    });
                    out.push(Action::GenerateKey(task, KeyRequest::Account));
                }
            }
        }
        self.start_due_work(clocks, out);
    }

    /// Returns the time at which [`Event::Tick`] is due.
    pub fn next(&self, clocks: Clocks) -> Timestamp {
        let tasks = self.tasks.values().filter_map(|t| t.wake).min();
        let setup = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, TaskKind::Setup(_)));
        let planned = self
            .planner
            .next_wakeup(clocks)
            .filter(|_| self.settings.is_some() && !setup);
        let info = self
            .renewal_info_queue
            .first()
            .map(|(at, _)| *at)
            .filter(|_| self.settings.is_some());
        // Prevents a busy loop: everything that could be done now has been done.
        let least = clocks.now + MIN_TICK_INTERVAL;
        let next = [planned, info]
            .into_iter()
            .flatten()
            .map(|at| at.max(least))
            .min();
        let most = clocks.now + MAX_TICK_INTERVAL;
        tasks
            .into_iter()
            .chain(next)
            .chain(self.pending_writes.next())
            .min()
            .unwrap_or(most)
            .min(most)
    }

    /// Returns the state of each certificate with the identity that is served.
    pub fn statuses(&self, clocks: Clocks) -> Vec<(CertificateStatus, Option<&Identity>)> {
        let statuses = self.planner.statuses(clocks).into_iter();
        statuses
            .map(|status| {
                let served = self.served.get(&status.id).and_then(|all| all.first());
                (status, served)
            })
            .collect()
    }

    /// Returns the state of the account and of the connection to the authority, for operators.
    pub fn state(&self, clocks: Clocks) -> serde_json::Value {
        let (orders, most) = self.planner.order_counts();
        json!({
            "account": self.account.as_ref().and_then(|a| a.url.as_ref()),
            "away_s": self.planner.paused_until().saturating_sub(clocks.now) / SECOND,
            "orders_in_window": orders,
            "orders_most": most,
            "tasks": self.tasks.len(),
            "authority_clock_ahead_s": self.skew,
        })
    }

    /// Returns the identities that are served for a certificate.
    pub fn served(&self, id: &str) -> &[Identity] {
        self.served.get(id).map_or(&[], |all| all)
    }

    fn add_task(&mut self, kind: TaskKind) -> u64 {
        self.last_task += 1;
        self.tasks.insert(
            self.last_task,
            Task {
                kind,
                post: None,
                awaits_nonce: false,
                wake: None,
                published: Vec::new(),
            },
        );
        self.last_task
    }
}

/// Returns the id of the certificate that a task is for, if any.
fn certificate_id(kind: &TaskKind) -> Option<&String> {
    match kind {
        TaskKind::Order { id, .. } | TaskKind::RenewalInfo(id) => Some(id),
        TaskKind::Reread(planned) => Some(&planned.id),
        _ => None,
    }
}

fn failure(cause: Cause, text: &str) -> Failure {
    Failure {
        cause,
        refused: Vec::new(),
        retry_after: None,
        text: sanitize(text, 500),
        resumable: false,
    }
}

/// Returns the cause for an error response during the setup of directory and account.
fn setup_failure_cause(problem: &Problem, status: u16) -> Cause {
    match problem.acme_type() {
        "rateLimited" => Cause::RateLimited,
        "serverInternal" => Cause::Unreachable,
        "" if status >= 500 || status == 429 => Cause::Unreachable,
        _ if status >= 500 => Cause::Unreachable,
        _ => Cause::AccountRejected,
    }
}

fn log_entry(level: Level, kind: &'static str, name: &str, text: &str) -> Action {
    Action::Log(LogEntry {
        level,
        kind,
        name: name.into(),
        text: text.into(),
    })
}

fn notice_entry(notice: &Notice) -> Action {
    match notice {
        Notice::Expiring {
            count,
            expires_in_s,
            names,
        } => log_entry(
            Level::Warn,
            "expiring",
            &names.join(" "),
            &format!("certificates about to expire: {count}, the first in {expires_in_s} s"),
        ),
        Notice::Expired {
            count,
            expired_for_s,
            names,
        } => log_entry(
            Level::Error,
            "expired",
            &names.join(" "),
            &format!("expired certificates: {count}, the first expired {expired_for_s} s ago"),
        ),
        Notice::NotYetValid { count, names } => {
            let text =
                format!("certificates not valid yet: {count}; check the clock of this machine");
            log_entry(Level::Warn, "not-yet-valid", &names.join(" "), &text)
        }
    }
}
