//! The whole of ACME as one state machine: the planner chooses, the account stands behind it, orders go their way,
//! each in a task of its own with one request out at a time. Nonces, the account and the rule that nothing is
//! sent to any place but the configured authority are here.
mod operators;
mod orders;
mod renewal_info;
mod requests;
mod saving;
mod setup;
mod tasks;

use crate::disk::{Account, Pending, State};
use crate::error::Failure;
use crate::identity::Identity;
use crate::jose::AccountKey;
use crate::messages::{Action, Event, KeyRequest, Level, LogEntry};
use crate::order::{ChallengeType, Input};
use crate::planner::{CertificateStatus, Notice, Planner, PlannerSettings};
use crate::renewal::Ranking;
use crate::retry::Cause;
use crate::unsaved::Unsaved;
use crate::wire::{Directory, Problem};
use crate::{tame, Clocks, Micros, Timestamp, SECOND};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tasks::{Kind, Task};

/// Nonces that are kept, and letters of one.
const NONCES_MOST: usize = 8;
const NONCE_MOST: usize = 512;
/// A request that is refused for its nonce goes out again this often (RFC 8555, section 6.5).
const NONCE_TRIES: u8 = 5;
/// A directory is asked for anew after this long.
const DIRECTORY_AGE: Micros = 24 * 3_600 * SECOND;
/// Pauses between two looks at renewal information (RFC 9773, section 4.3): without, and with a word of the
/// authority.
const INFO_EACH: Micros = 6 * 3_600 * SECOND;
const INFO_LEAST: Micros = 60 * SECOND;
const INFO_MOST: Micros = 24 * 3_600 * SECOND;
/// What an operator may have under way at once.
const ASKED_MOST: usize = 8;
/// The clock of this machine and the authority's may differ by this many seconds before somebody is told.
const SKEW_MOST: u64 = 300;
/// The longest pause until the next look at the wall clock, which may jump.
const LOOK_EACH: Micros = 30 * SECOND;
/// The shortest.
const LOOK_LEAST: Micros = 50_000;
/// What the client goes by beside its certificates.
#[derive(Clone)]
pub struct Settings {
    /// URL of the directory.
    pub directory_url: String,
    /// `mailto:` addresses.
    pub contacts: Vec<String>,
    /// Id and HMAC key of an external account: a secret.
    pub external: Option<(String, Vec<u8>)>,
    /// How control of names is shown.
    pub challenge_type: ChallengeType,
    /// The folder may be another front's too: it is read again before an order.
    pub shared: bool,
}

/// The client.
pub struct Client {
    settings: Option<Settings>,
    planner: Planner,
    tasks: BTreeMap<u64, Task>,
    last: u64,
    directory: Option<(Directory, Timestamp)>,
    account: Option<Account>,
    key: Option<Arc<AccountKey>>,
    nonces: Vec<String>,
    pending: BTreeMap<String, Pending>,
    served: BTreeMap<String, Vec<Identity>>,
    info: BTreeSet<(Timestamp, String)>,
    /// By how many seconds the authority's clock is ahead, as told last.
    skew: Option<i64>,
    started: bool,
    saved: State,
    unsaved: Unsaved,
}
impl Client {
    /// A client for an authority, or for none: then it watches dates alone.
    pub fn new(
        settings: Option<Settings>,
        plan: PlannerSettings,
        turns: Box<dyn Ranking + Send>,
    ) -> Self {
        Client {
            settings,
            planner: Planner::new(plan, turns),
            tasks: BTreeMap::new(),
            last: 0,
            directory: None,
            account: None,
            key: None,
            nonces: Vec::new(),
            pending: BTreeMap::new(),
            served: BTreeMap::new(),
            info: BTreeSet::new(),
            skew: None,
            started: false,
            saved: State::default(),
            unsaved: Unsaved::default(),
        }
    }

    /// Takes an event in.
    pub fn handle(&mut self, clocks: Clocks, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start(loaded) => self.start(clocks, *loaded, out),
            Event::Response(task, answer) => self.answered(clocks, task, answer, out),
            Event::OrderKey(task, key) => {
                let input = match key {
                    Ok((pem, csr)) => Input::Key(pem, csr),
                    Err(why) => Input::Barred(why),
                };
                self.order(clocks, task, input, out);
            }
            Event::AccountKey(task, key) => self.account_key(clocks, task, key, out),
            Event::Done(task, done) => self.done(clocks, task, done, out),
            Event::Reread(task, found) => self.reread(clocks, task, found, out),
            Event::Tick => {
                self.save_again(clocks.now, out);
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
                    self.order(clocks, task, Input::Time, out);
                }
            }
            Event::Configure(plan, turns, certificates) => {
                self.configure(clocks, plan, turns, &certificates, out)
            }
            Event::Renew(operator, id) => {
                let known = self.settings.is_some() && self.planner.force(clocks, &id);
                let answer = if known {
                    Ok("it is ordered next".into())
                } else {
                    Err(self.unknown(&id))
                };
                out.push(Action::Reply(operator, answer));
            }
            Event::Revoke(operator, id, reason) => self.revoke(clocks, operator, &id, reason, out),
            Event::Import(operator, identity) => self.import(clocks, operator, *identity, out),
            Event::RollKey(operator) => {
                if self.account.as_ref().is_none_or(|a| a.url.is_none())
                    || self.asked() >= ASKED_MOST
                {
                    let why = "there is no account yet, or too much is under way";
                    out.push(Action::Reply(operator, Err(why.into())));
                } else {
                    let task = self.task(Kind::Roll {
                        operator,
                        new: None,
                    });
                    out.push(Action::GenerateKey(task, KeyRequest::Account));
                }
            }
        }
        self.pump(clocks, out);
    }

    /// The next moment at which [`Event::Tick`] is due.
    pub fn next(&self, clocks: Clocks) -> Timestamp {
        let tasks = self.tasks.values().filter_map(|t| t.wake).min();
        let setup = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, Kind::Setup(_)));
        let planned = self
            .planner
            .wake(clocks)
            .filter(|_| self.settings.is_some() && !setup);
        let info = self
            .info
            .first()
            .map(|(at, _)| *at)
            .filter(|_| self.settings.is_some());
        // Guards against a loop without rest: what could be done now was done already.
        let least = clocks.now + LOOK_LEAST;
        let next = [planned, info]
            .into_iter()
            .flatten()
            .map(|at| at.max(least))
            .min();
        let most = clocks.now + LOOK_EACH;
        tasks
            .into_iter()
            .chain(next)
            .chain(self.unsaved.next())
            .min()
            .unwrap_or(most)
            .min(most)
    }

    /// How each certificate stands, and what is served for it.
    pub fn statuses(&self, clocks: Clocks) -> Vec<(CertificateStatus, Option<&Identity>)> {
        let statuses = self.planner.statuses(clocks).into_iter();
        statuses
            .map(|status| {
                let served = self.served.get(&status.id).and_then(|all| all.first());
                (status, served)
            })
            .collect()
    }

    /// For operators: the account's URL, seconds until the authority is asked again, orders in the window and how
    /// many may be, by how much the authority's clock is ahead.
    pub fn state(&self, clocks: Clocks) -> serde_json::Value {
        let (orders, most) = self.planner.budget();
        json!({
            "account": self.account.as_ref().and_then(|a| a.url.as_ref()),
            "away_s": self.planner.away_until().saturating_sub(clocks.now) / SECOND,
            "orders_in_window": orders,
            "orders_most": most,
            "tasks": self.tasks.len(),
            "authority_clock_ahead_s": self.skew,
        })
    }

    /// What is served for a certificate.
    pub fn served(&self, id: &str) -> &[Identity] {
        self.served.get(id).map_or(&[], |all| all)
    }

    fn task(&mut self, kind: Kind) -> u64 {
        self.last += 1;
        self.tasks.insert(
            self.last,
            Task {
                kind,
                post: None,
                nonce: false,
                wake: None,
                shown: Vec::new(),
            },
        );
        self.last
    }
}
/// The certificate that a task is for.
fn of(kind: &Kind) -> Option<&String> {
    match kind {
        Kind::Order { id, .. } | Kind::Info(id) => Some(id),
        Kind::Reread(choice) => Some(&choice.id),
        _ => None,
    }
}

fn fail(cause: Cause, text: &str) -> Failure {
    Failure {
        cause,
        refused: Vec::new(),
        told: None,
        text: tame(text, 500),
        keeps_order: false,
    }
}

/// What a problem with directory or account means.
fn common(problem: &Problem, status: u16) -> Cause {
    match problem.short() {
        "rateLimited" => Cause::Limited,
        "serverInternal" => Cause::Unreachable,
        "" if status >= 500 || status == 429 => Cause::Unreachable,
        _ if status >= 500 => Cause::Unreachable,
        _ => Cause::Account,
    }
}

fn tell(level: Level, kind: &'static str, name: &str, text: &str) -> Action {
    Action::Log(LogEntry {
        level,
        kind,
        name: name.into(),
        text: text.into(),
    })
}

fn told(notice: &Notice) -> Action {
    match notice {
        Notice::Expiring { count, left, names } => tell(
            Level::Warn,
            "expiring",
            &names.join(" "),
            &format!("{count} will end, the first in {left} s"),
        ),
        Notice::Expired {
            count,
            since,
            names,
        } => tell(
            Level::Error,
            "expired",
            &names.join(" "),
            &format!("{count} HAVE EXPIRED, the first {since} s ago"),
        ),
        Notice::NotYet { count, names } => {
            let text = format!("{count} do not hold yet: is this machine's clock right?");
            tell(Level::Warn, "not-yet-valid", &names.join(" "), &text)
        }
    }
}
