//! The whole of ACME as one state machine: the planner chooses, the account stands behind it, orders go their way,
//! each in a task of its own with one request out at a time. Nonces, the account and the rule that nothing is
//! sent to any place but the configured authority are here.
use crate::disk::{Account, Keep, Loaded, Pending, State};
use crate::http::Answer;
use crate::identity::Identity;
use crate::jose::{base64url, external_binding, AccountKey};
use crate::order::{Failure, Input, Order, Output, Way, RESUME_MOST};
use crate::planner::{Choice, Notice, Plan, Planner, Row};
use crate::renewal::{Held, Turns};
use crate::retry::Cause;
use crate::unsaved::{Ended, Unsaved, Waiting};
use crate::url::Url;
use crate::wire::{self, Directory, Problem};
use crate::{tame, Micros, Moment, Timestamp, SECOND};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

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

/// HTTP methods that ACME needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// For the directory and renewal information.
    Get,
    /// For nonces.
    Head,
    /// For all else, with a signed body.
    Post,
}

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
    pub way: Way,
    /// The folder may be another front's too: it is read again before an order.
    pub shared: bool,
}

/// A request to the authority.
#[derive(Debug)]
pub struct Ask {
    /// How.
    pub method: Method,
    /// Where: always at the configured authority.
    pub url: Url,
    /// What its body is signed over; `None`: it has none.
    pub sign: Option<Sign>,
}

/// A body that is still to be signed.
pub struct Sign {
    key: Arc<AccountKey>,
    /// URL of the account; `None`: the public key stands in the body.
    account: Option<String>,
    nonce: String,
    url: String,
    payload: Payload,
}

impl std::fmt::Debug for Sign {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sign({})", self.url)
    }
}

#[derive(Clone)]
enum Payload {
    Text(String),
    Account {
        contacts: Vec<String>,
        external: Option<(String, Vec<u8>)>,
    },
    Existing,
    KeyChange {
        account: String,
        new: Arc<AccountKey>,
    },
}

impl Sign {
    /// The body: a flattened JWS. It takes some tens of microseconds.
    pub fn body(&self) -> Result<String, String> {
        let jwk: serde_json::Value =
            serde_json::from_str(&self.key.jwk()).map_err(|e| e.to_string())?;
        let mut header = json!({"alg": "ES256", "nonce": self.nonce, "url": self.url});
        match &self.account {
            Some(kid) => header["kid"] = kid.as_str().into(),
            None => header["jwk"] = jwk.clone(),
        }
        let payload = match &self.payload {
            Payload::Text(text) => text.clone(),
            Payload::Account { contacts, external } => {
                let mut account = json!({"termsOfServiceAgreed": true});
                if !contacts.is_empty() {
                    account["contact"] = json!(contacts);
                }
                if let Some((id, key)) = external {
                    account["externalAccountBinding"] =
                        external_binding(id, key, &self.url, &self.key.jwk());
                }
                account.to_string()
            }
            Payload::Existing => json!({"onlyReturnExisting": true}).to_string(),
            // RFC 8555, section 7.3.5: an inner JWS by the new key, without a nonce.
            Payload::KeyChange { account, new } => {
                let new_jwk: serde_json::Value =
                    serde_json::from_str(&new.jwk()).map_err(|e| e.to_string())?;
                let header = json!({"alg": "ES256", "jwk": new_jwk, "url": self.url});
                new.sign(
                    &header.to_string(),
                    &json!({"account": account, "oldKey": jwk}).to_string(),
                )?
            }
        };
        self.key.sign(&header.to_string(), &payload)
    }
}

/// A key to be made.
pub enum Key {
    /// For an order: with a signing request for these names, over a key in PEM that is there already or a new one.
    Order(Vec<String>, Option<String>),
    /// For the account.
    Account,
}

/// What shows control of a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Challenge {
    /// By which way.
    pub way: Way,
    /// The name.
    pub name: String,
    /// The token, base64url letters alone.
    pub token: String,
    /// What has to be shown.
    pub authorization: String,
}

/// Something to be kept on disk.
pub type Save = Keep;

/// What the driver has to do. A number names the task that waits for the [`Event`] that answers; 0: none does.
pub enum Action {
    /// Ask the authority: [`Event::Answered`].
    Ask(u64, Ask),
    /// Make a key: [`Event::Key`] or [`Event::AccountKey`].
    MakeKey(u64, Key),
    /// Keep something, after all that was to be kept before: [`Event::Done`].
    Save(u64, Save),
    /// Show control of a name: [`Event::Done`] once it can be seen.
    Publish(u64, Challenge),
    /// Show it no longer.
    Withdraw(Challenge),
    /// Read a certificate from the folder again: [`Event::Reread`].
    Reread(u64, String),
    /// These stand for the certificate of that id from now on, the first that covers a name for that name. `true`:
    /// what was served before must not be resumed.
    Serve(String, Vec<Identity>, bool),
    /// Tell an operator who waits for it.
    Reply(u64, Result<String, String>),
    /// Write to the log.
    Tell(Note),
}

/// How loud a note is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Loud {
    /// What an operator wants to know.
    Info,
    /// What needs a look.
    Warn,
    /// What hurts clients now.
    Error,
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// How loud.
    pub loud: Loud,
    /// What it is about: one of few words.
    pub kind: &'static str,
    /// The certificate, or several.
    pub name: String,
    /// What happened.
    pub text: String,
}

/// What comes to the client.
pub enum Event {
    /// What the folder held; first of all, once.
    Start(Box<Loaded>),
    /// The authority's answer, or why there is none.
    Answered(u64, Result<Answer, String>),
    /// A key in PEM and its signing request in DER.
    Key(u64, Result<(String, Vec<u8>), String>),
    /// A key for the account.
    AccountKey(u64, Result<Arc<AccountKey>, String>),
    /// Something is kept or published, or why not.
    Done(u64, Result<(), String>),
    /// What the folder holds for a certificate.
    Reread(u64, Option<Box<Identity>>),
    /// Time has passed.
    Tick,
    /// Other certificates, another plan.
    Configure(Plan, Box<dyn Turns + Send>, Vec<Vec<String>>),
    /// An operator wants a certificate renewed now.
    Renew(u64, String),
    /// An operator wants a certificate revoked, for a reason by number (RFC 5280, section 5.3.1).
    Revoke(u64, String, u8),
    /// An operator brings a certificate.
    Import(u64, Box<Identity>),
    /// An operator wants another key for the account.
    RollKey(u64),
}

enum Kind {
    Setup(Setup),
    Order {
        id: String,
        order: Box<Order>,
    },
    /// Reads the folder before an order.
    Reread(Choice),
    Info(String),
    Revoke {
        operator: u64,
        id: String,
    },
    Roll {
        operator: u64,
        new: Option<Arc<AccountKey>>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Setup {
    Directory,
    Key,
    KeepKey,
    Account,
    /// Asks whether the account has the key that was to follow: whoever asked for that was not told.
    Next,
}

#[derive(Clone)]
struct Post {
    url: Url,
    text: String,
    payload: Payload,
    by: By,
    tries: u8,
}

/// What a request is signed with.
#[derive(Clone)]
enum By {
    /// The account, by its URL.
    Account,
    /// A key that stands in the request.
    Key(Arc<AccountKey>),
}

struct Task {
    kind: Kind,
    post: Option<Post>,
    /// The request out is for a nonce.
    nonce: bool,
    wake: Option<Timestamp>,
    shown: Vec<Challenge>,
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
    pub fn new(settings: Option<Settings>, plan: Plan, turns: Box<dyn Turns + Send>) -> Self {
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
    pub fn handle(&mut self, moment: Moment, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start(loaded) => self.start(moment, *loaded, out),
            Event::Answered(task, answer) => self.answered(moment, task, answer, out),
            Event::Key(task, key) => {
                let input = match key {
                    Ok((pem, csr)) => Input::Key(pem, csr),
                    Err(why) => Input::Barred(why),
                };
                self.order(moment, task, input, out);
            }
            Event::AccountKey(task, key) => self.account_key(moment, task, key, out),
            Event::Done(task, done) => self.done(moment, task, done, out),
            Event::Reread(task, found) => self.reread(moment, task, found, out),
            Event::Tick => {
                self.save_again(moment.now, out);
                let due = self
                    .tasks
                    .iter()
                    .filter(|(_, t)| t.wake.is_some_and(|at| at <= moment.now));
                let due: Vec<_> = due.map(|(id, _)| *id).collect();
                for task in due {
                    self.tasks
                        .get_mut(&task)
                        .into_iter()
                        .for_each(|t| t.wake = None);
                    self.order(moment, task, Input::Time, out);
                }
            }
            Event::Configure(plan, turns, certificates) => {
                self.configure(moment, plan, turns, &certificates, out)
            }
            Event::Renew(operator, id) => {
                let known = self.settings.is_some() && self.planner.force(moment, &id);
                let answer = if known {
                    Ok("it is ordered next".into())
                } else {
                    Err(self.unknown(&id))
                };
                out.push(Action::Reply(operator, answer));
            }
            Event::Revoke(operator, id, reason) => self.revoke(moment, operator, &id, reason, out),
            Event::Import(operator, identity) => self.import(moment, operator, *identity, out),
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
                    out.push(Action::MakeKey(task, Key::Account));
                }
            }
        }
        self.pump(moment, out);
    }

    /// The next moment at which [`Event::Tick`] is due.
    pub fn next(&self, moment: Moment) -> Timestamp {
        let tasks = self.tasks.values().filter_map(|t| t.wake).min();
        let setup = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, Kind::Setup(_)));
        let planned = self
            .planner
            .wake(moment)
            .filter(|_| self.settings.is_some() && !setup);
        let info = self
            .info
            .first()
            .map(|(at, _)| *at)
            .filter(|_| self.settings.is_some());
        // Guards against a loop without rest: what could be done now was done already.
        let least = moment.now + LOOK_LEAST;
        let next = [planned, info]
            .into_iter()
            .flatten()
            .map(|at| at.max(least))
            .min();
        let most = moment.now + LOOK_EACH;
        tasks
            .into_iter()
            .chain(next)
            .chain(self.unsaved.next())
            .min()
            .unwrap_or(most)
            .min(most)
    }

    /// How each certificate stands, and what is served for it.
    pub fn rows(&self, moment: Moment) -> Vec<(Row, Option<&Identity>)> {
        let rows = self.planner.rows(moment).into_iter();
        rows.map(|row| {
            let served = self.served.get(&row.id).and_then(|all| all.first());
            (row, served)
        })
        .collect()
    }

    /// For operators: the account's URL, seconds until the authority is asked again, orders in the window and how
    /// many may be, by how much the authority's clock is ahead.
    pub fn state(&self, moment: Moment) -> serde_json::Value {
        let (orders, most) = self.planner.budget();
        json!({
            "account": self.account.as_ref().and_then(|a| a.url.as_ref()),
            "away_s": self.planner.away_until().saturating_sub(moment.now) / SECOND,
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

    fn unknown(&self, id: &str) -> String {
        match &self.settings {
            None => "no authority is configured".into(),
            Some(_) => format!("no certificate is configured as {}", tame(id, 100)),
        }
    }

    fn asked(&self) -> usize {
        self.tasks
            .values()
            .filter(|t| matches!(t.kind, Kind::Revoke { .. } | Kind::Roll { .. }))
            .count()
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

    fn start(&mut self, moment: Moment, loaded: Loaded, out: &mut Vec<Action>) {
        for (file, why) in &loaded.faults {
            out.push(tell(Loud::Warn, "file-unusable", file, why));
        }
        self.saved = loaded.state.clone();
        self.planner
            .remember(moment, &loaded.state.orders, loaded.state.refused);
        let here = |a: &Account| {
            self.settings
                .as_ref()
                .is_some_and(|s| s.directory_url == a.directory_url)
        };
        if let Some(account) = loaded.account.filter(here) {
            match AccountKey::from_pem(&account.key) {
                Ok(key) => (self.key, self.account) = (Some(Arc::new(key)), Some(account)),
                Err(why) => out.push(tell(Loud::Warn, "file-unusable", "account.json", &why)),
            }
        }
        for (id, identity) in loaded.identities {
            if self.planner.names(&id).is_some() {
                self.take(moment, &id, identity, false, out);
            } else {
                // Nobody would renew it, nor tell when it ends.
                out.push(tell(
                    Loud::Info,
                    "file-unused",
                    &id,
                    "no certificate is configured under this name",
                ));
            }
        }
        for (id, pending) in loaded.pending {
            let wanted = self
                .planner
                .names(&id)
                .is_some_and(|n| pending.names.iter().all(|p| n.contains(p)));
            let fresh = pending.began + RESUME_MOST > moment.wall && self.account.is_some();
            if wanted && fresh {
                self.planner.resumes(moment, &id);
                self.pending.insert(id, pending);
            } else {
                self.save(Keep::Forget(id), None, out);
            }
        }
        self.started = true;
    }

    fn configure(
        &mut self,
        moment: Moment,
        plan: Plan,
        turns: Box<dyn Turns + Send>,
        certificates: &[Vec<String>],
        out: &mut Vec<Action>,
    ) {
        self.planner.set(moment, plan, turns);
        self.planner.want(moment, certificates);
        let known: BTreeSet<String> = self.planner.ids().cloned().collect();
        let gone: Vec<u64> = self
            .tasks
            .iter()
            .filter(|(_, t)| of(&t.kind).is_some_and(|id| !known.contains(id)))
            .map(|(task, _)| *task)
            .collect();
        gone.into_iter().for_each(|task| self.end(task, out));
        // What is not wanted any more is not served any more; its files stay.
        let dropped: Vec<_> = self
            .served
            .keys()
            .filter(|id| self.started && !known.contains(*id))
            .cloned()
            .collect();
        for id in dropped {
            self.served.remove(&id);
            out.push(Action::Serve(id, Vec::new(), false));
        }
    }

    /// Begins what can be begun.
    fn pump(&mut self, moment: Moment, out: &mut Vec<Action>) {
        if !self.started {
            return;
        }
        for notice in self.planner.notices(moment) {
            out.push(told(&notice));
        }
        let Some(settings) = self.settings.clone() else {
            return;
        };
        let setup = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, Kind::Setup(_)));
        let wants = self.planner.wants(moment);
        let info = self.info.first().is_some_and(|(at, _)| *at <= moment.now);
        let away = moment.now < self.planner.away_until();
        if setup || away || !(wants || info) {
            return;
        }
        let current = self
            .directory
            .as_ref()
            .filter(|(_, at)| moment.now < at + DIRECTORY_AGE);
        if current.is_none() {
            let task = self.task(Kind::Setup(Setup::Directory));
            return self.get(moment, task, &settings.directory_url, out);
        }
        if wants && self.account.as_ref().is_none_or(|a| a.url.is_none()) {
            return self.register(moment, out);
        }
        let rolling = self
            .tasks
            .values()
            .any(|t| matches!(t.kind, Kind::Roll { .. }));
        let next = self
            .account
            .as_ref()
            .and_then(|a| a.next_key.as_deref())
            .filter(|_| wants && !rolling);
        if let Some(key) = next.and_then(|pem| AccountKey::from_pem(pem).ok()) {
            let task = self.task(Kind::Setup(Setup::Next));
            let url = self
                .directory
                .as_ref()
                .map(|(d, _)| d.new_account.clone())
                .unwrap_or_default();
            return self.post(
                moment,
                task,
                &url,
                Payload::Existing,
                By::Key(Arc::new(key)),
                out,
            );
        }
        while let Some(choice) = self.planner.next(moment) {
            self.keep_state(out);
            if settings.shared && !self.pending.contains_key(&choice.id) {
                let id = choice.id.clone();
                let task = self.task(Kind::Reread(choice));
                out.push(Action::Reread(task, id));
            } else {
                self.begin(moment, choice, out);
            }
        }
        let asking = self.tasks.values().any(|t| matches!(t.kind, Kind::Info(_)));
        if info && !asking {
            self.ask_info(moment, out);
        }
    }

    /// Makes an account, or finds the one that belongs to the key.
    fn register(&mut self, moment: Moment, out: &mut Vec<Action>) {
        match &self.key {
            None => {
                let task = self.task(Kind::Setup(Setup::Key));
                out.push(Action::MakeKey(task, Key::Account));
            }
            Some(_) => {
                let task = self.task(Kind::Setup(Setup::Account));
                self.post_account(moment, task, out);
            }
        }
    }

    fn post_account(&mut self, moment: Moment, task: u64, out: &mut Vec<Action>) {
        let Some((settings, (directory, _))) = self.settings.clone().zip(self.directory.clone())
        else {
            return;
        };
        if directory.meta.external_account_required && settings.external.is_none() {
            let failure = fail(
                Cause::Account,
                "the authority wants an external account, and none is configured",
            );
            return self.setup_failed(moment, task, &failure, out);
        }
        let payload = Payload::Account {
            contacts: settings.contacts,
            external: settings.external,
        };
        let Some(key) = self.key.clone() else { return };
        self.post(
            moment,
            task,
            &directory.new_account,
            payload,
            By::Key(key),
            out,
        );
    }

    fn begin(&mut self, moment: Moment, choice: Choice, out: &mut Vec<Action>) {
        let Some(settings) = self.settings.clone() else {
            return;
        };
        let Some((directory, key)) = self.directory.clone().zip(self.key.clone()) else {
            return;
        };
        let (id, thumbprint) = (choice.id, key.thumbprint());
        let pending = self.pending.get(&id).cloned();
        let (order, pem) = match pending {
            Some(pending) => (
                Order::resumed(moment, &pending, settings.way, thumbprint),
                Some(pending.key.clone()),
            ),
            None => {
                let old = self.served.get(&id).and_then(|all| all.first());
                let replaces = old.and_then(|i| i.renewal_id.clone());
                let replaces = replaces.filter(|_| directory.0.renewal_info.is_some());
                let new_order = directory.0.new_order.clone();
                (
                    Order::new(
                        moment,
                        choice.names,
                        settings.way,
                        thumbprint,
                        new_order,
                        replaces,
                    ),
                    None,
                )
            }
        };
        let names = order.names.clone();
        let resumed = if pem.is_some() { "taken up" } else { "begun" };
        out.push(tell(
            Loud::Info,
            "order",
            &id,
            &format!("{resumed} for {}", names.join(" ")),
        ));
        let task = self.task(Kind::Order {
            id,
            order: Box::new(order),
        });
        out.push(Action::MakeKey(task, Key::Order(names, pem)));
    }

    /// Puts an input into an order and carries out what it wants.
    fn order(&mut self, moment: Moment, task: u64, input: Input, out: &mut Vec<Action>) {
        let Some(Task {
            kind: Kind::Order { id, order },
            ..
        }) = self.tasks.get_mut(&task)
        else {
            return;
        };
        let id = id.clone();
        match order.step(moment, input) {
            Output::MakeKey(names) => out.push(Action::MakeKey(task, Key::Order(names, None))),
            Output::Post(url, payload) => {
                self.post(moment, task, &url, Payload::Text(payload), By::Account, out);
            }
            Output::Publish(name, token, authorization) => {
                let way = self.settings.as_ref().map_or(Way::Http, |s| s.way);
                let challenge = Challenge {
                    way,
                    name,
                    token,
                    authorization,
                };
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.shown.push(challenge.clone()));
                out.push(Action::Publish(task, challenge));
            }
            Output::Keep(pending) => {
                self.pending.insert(id.clone(), pending.clone());
                let keep = Keep::Pending(id, pending);
                self.unsaved.supersede(&keep);
                out.push(Action::Save(task, keep));
            }
            Output::Sleep(until) => {
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.wake = Some(until));
            }
            Output::Done(identity) => {
                self.end(task, out);
                self.pending.remove(&id);
                let until = identity.not_after;
                out.push(tell(
                    Loud::Info,
                    "issued",
                    &id,
                    &format!("serial {} until {until}", identity.serial),
                ));
                self.save(Keep::Identity(id.clone(), (*identity).clone()), None, out);
                self.take(moment, &id, *identity, true, out);
                self.keep_state(out);
            }
            Output::Failed(failure) => {
                self.end(task, out);
                if !failure.keeps_order && self.pending.remove(&id).is_some() {
                    self.save(Keep::Forget(id.clone()), None, out);
                }
                self.failed(moment, &id, &failure, out);
            }
        }
    }

    fn failed(&mut self, moment: Moment, id: &str, failure: &Failure, out: &mut Vec<Action>) {
        if failure.cause == Cause::Unknown {
            self.account_lost();
        }
        self.planner.failed(moment, id, failure);
        out.push(tell(Loud::Warn, failure.cause.word(), id, &failure.text));
        self.keep_state(out);
    }

    /// The authority does not know the account: it is made again under the same key.
    fn account_lost(&mut self) {
        if let Some(account) = &mut self.account {
            account.url = None;
        }
        // Its orders went with it.
        self.pending.clear();
    }

    /// A certificate is there: it is served at once.
    fn take(
        &mut self,
        moment: Moment,
        id: &str,
        identity: Identity,
        ordered: bool,
        out: &mut Vec<Action>,
    ) {
        let held = Held {
            not_before: identity.not_before,
            not_after: identity.not_after,
        };
        let names = identity.names.clone();
        if ordered {
            self.planner.succeeded(moment, id, held, &names);
        } else {
            self.planner.holds(moment, id, held, &names);
        }
        if identity.renewal_id.is_some() {
            self.info.retain(|(_, i)| i != id);
            self.info.insert((moment.now, id.into()));
        }
        let wanted = self
            .planner
            .names(id)
            .map(<[String]>::to_vec)
            .unwrap_or_default();
        let all = self.served.entry(id.into()).or_default();
        // An older one stays for names that it alone stands for.
        let lacks: Vec<_> = wanted.iter().filter(|n| !identity.covers(n)).collect();
        all.retain(|old| old.mark() != identity.mark() && lacks.iter().any(|n| old.covers(n)));
        all.truncate(1);
        all.insert(0, identity);
        out.push(Action::Serve(id.into(), all.clone(), false));
    }

    fn import(&mut self, moment: Moment, operator: u64, identity: Identity, out: &mut Vec<Action>) {
        let ids: Vec<String> = self.planner.ids().cloned().collect();
        let Some(id) = ids.into_iter().find(|id| identity.covers(id)) else {
            let why = format!(
                "none of its names ({}) is configured first in a certificate",
                identity.names.join(" ")
            );
            return out.push(Action::Reply(operator, Err(tame(&why, 500))));
        };
        if identity.not_after < moment.wall {
            return out.push(Action::Reply(operator, Err("it has expired".into())));
        }
        out.push(tell(
            Loud::Info,
            "imported",
            &id,
            &format!("serial {}", identity.serial),
        ));
        let text = format!("{id} is served with serial {}", identity.serial);
        let keep = Keep::Identity(id.clone(), identity.clone());
        // The operator may throw the files away that were imported: the answer waits for the disk.
        self.save(keep, Some(Waiting { operator, text }), out);
        self.take(moment, &id, identity, false, out);
    }

    fn revoke(
        &mut self,
        moment: Moment,
        operator: u64,
        id: &str,
        reason: u8,
        out: &mut Vec<Action>,
    ) {
        let known = self.served.get(id).is_some_and(|all| !all.is_empty());
        let where_to = self
            .directory
            .as_ref()
            .and_then(|(d, _)| d.revoke_cert.clone());
        let account = self.account.as_ref().is_some_and(|a| a.url.is_some());
        let why = match (known, where_to.is_some() && account) {
            (false, _) => self.unknown(id),
            (_, false) => "the authority was not reached yet, or does not revoke".into(),
            _ if self.asked() >= ASKED_MOST => "too much is under way".into(),
            _ => {
                let task = self.task(Kind::Revoke {
                    operator,
                    id: id.into(),
                });
                let leaf = self.served[id][0].leaf();
                let payload = json!({"certificate": base64url(leaf), "reason": reason}).to_string();
                let url = where_to.unwrap_or_default();
                return self.post(moment, task, &url, Payload::Text(payload), By::Account, out);
            }
        };
        out.push(Action::Reply(operator, Err(why)));
    }

    fn ask_info(&mut self, moment: Moment, out: &mut Vec<Action>) {
        let Some((_, id)) = self.info.pop_first() else {
            return;
        };
        let base = self
            .directory
            .as_ref()
            .and_then(|(d, _)| d.renewal_info.clone());
        let renewal = self
            .served
            .get(&id)
            .and_then(|all| all.first())
            .and_then(|i| i.renewal_id.clone());
        let Some((base, renewal)) = base.zip(renewal) else {
            // This authority tells nothing: a new directory may.
            self.info.insert((moment.now + INFO_MOST, id));
            return;
        };
        let task = self.task(Kind::Info(id));
        self.get(
            moment,
            task,
            &format!("{}/{renewal}", base.trim_end_matches('/')),
            out,
        );
    }

    fn info_told(
        &mut self,
        moment: Moment,
        id: &str,
        answer: Result<Answer, String>,
        out: &mut Vec<Action>,
    ) {
        let mut pause = INFO_EACH;
        match answer {
            Ok(answer) if answer.status == 200 => {
                pause = answer
                    .retry_after
                    .map_or(pause, |s| (s * SECOND).clamp(INFO_LEAST, INFO_MOST));
                match wire::renewal_info(&answer.body) {
                    Ok(window) => self.planner.suggested(moment, id, window),
                    Err(why) => out.push(tell(Loud::Warn, "bad-answer", id, &why)),
                }
            }
            // It is a hint: without it the rule by lifetime holds.
            Ok(answer) => {
                pause = answer
                    .retry_after
                    .map_or(pause, |s| (s * SECOND).clamp(INFO_EACH, INFO_MOST));
                out.push(tell(
                    Loud::Info,
                    "renewal-info",
                    id,
                    &format!("status {}", answer.status),
                ));
            }
            Err(why) => out.push(tell(Loud::Info, "renewal-info", id, &why)),
        }
        if self.served.contains_key(id) {
            self.info.insert((moment.now + pause, id.into()));
        }
    }

    fn account_key(
        &mut self,
        moment: Moment,
        task: u64,
        key: Result<Arc<AccountKey>, String>,
        out: &mut Vec<Action>,
    ) {
        let key = match key {
            Ok(key) => key,
            Err(why) => return self.lost(moment, task, &why, out),
        };
        let Some(Task { kind, .. }) = self.tasks.get_mut(&task) else {
            return;
        };
        match kind {
            Kind::Setup(step) => {
                *step = Setup::KeepKey;
                let directory_url = self
                    .settings
                    .as_ref()
                    .map(|s| s.directory_url.clone())
                    .unwrap_or_default();
                let account = Account {
                    directory_url,
                    key: key.pem().into(),
                    next_key: None,
                    url: None,
                };
                (self.key, self.account) = (Some(key), Some(account.clone()));
                let keep = Keep::Account(account);
                self.unsaved.supersede(&keep);
                out.push(Action::Save(task, keep));
            }
            Kind::Roll { new, .. } => {
                *new = Some(Arc::clone(&key));
                if let Some(account) = &mut self.account {
                    account.next_key = Some(key.pem().into());
                    let keep = Keep::Account(account.clone());
                    self.unsaved.supersede(&keep);
                    out.push(Action::Save(task, keep));
                }
            }
            _ => {}
        }
    }

    fn done(&mut self, moment: Moment, task: u64, done: Result<(), String>, out: &mut Vec<Action>) {
        if let Some(ended) = self.unsaved.ended(moment.now, task, done.is_ok()) {
            return self.write_ended(ended, done, out);
        }
        if let Err(why) = &done {
            // Published challenges that fail are told with their order.
            let publishing = self.tasks.get(&task).is_some_and(|t| !t.shown.is_empty());
            if !publishing {
                out.push(tell(Loud::Warn, "not-kept", "", why));
            }
        }
        match self.tasks.get_mut(&task).map(|t| &mut t.kind) {
            Some(Kind::Setup(step)) => {
                *step = Setup::Account;
                self.post_account(moment, task, out);
            }
            Some(Kind::Roll { new, .. }) => {
                let url = self
                    .directory
                    .as_ref()
                    .and_then(|(d, _)| d.key_change.clone());
                let account = self.account.as_ref().and_then(|a| a.url.clone());
                match (new.clone(), url, account, done) {
                    (Some(new), Some(url), Some(account), Ok(())) => {
                        self.post(
                            moment,
                            task,
                            &url,
                            Payload::KeyChange { account, new },
                            By::Account,
                            out,
                        );
                    }
                    (.., Err(why)) => self.lost(
                        moment,
                        task,
                        &format!("the new key can't be kept: {why}"),
                        out,
                    ),
                    _ => self.lost(moment, task, "the authority changes no keys", out),
                }
            }
            Some(Kind::Order { .. }) => self.order(moment, task, Input::Done(done), out),
            _ => {}
        }
    }

    fn reread(
        &mut self,
        moment: Moment,
        task: u64,
        found: Option<Box<Identity>>,
        out: &mut Vec<Action>,
    ) {
        let Some(Task {
            kind: Kind::Reread(choice),
            ..
        }) = self.tasks.remove(&task)
        else {
            return;
        };
        let held = self.served.get(&choice.id).and_then(|all| all.first());
        let newer = found.filter(|i| {
            let later = held.is_none_or(|h| i.not_after > h.not_after);
            later && i.not_after > moment.wall && choice.names.iter().all(|n| i.covers(n))
        });
        match newer {
            Some(identity) => {
                out.push(tell(
                    Loud::Info,
                    "found",
                    &choice.id,
                    "another front has renewed it",
                ));
                self.take(moment, &choice.id.clone(), *identity, true, out);
            }
            None => self.begin(moment, choice, out),
        }
    }

    fn answered(
        &mut self,
        moment: Moment,
        task: u64,
        answer: Result<Answer, String>,
        out: &mut Vec<Action>,
    ) {
        let Some(current) = self.tasks.get_mut(&task) else {
            return;
        };
        let nonce_only = std::mem::take(&mut current.nonce);
        if let Ok(answer) = &answer {
            if let Some(date) = answer.date {
                let skew = date as i64 - moment.wall as i64;
                let known = self.skew.replace(skew);
                let off = |s: i64| s.unsigned_abs() > SKEW_MOST;
                if off(skew) && !known.is_some_and(off) {
                    let text = format!("the authority's clock is {skew} s ahead of this machine's");
                    out.push(tell(Loud::Warn, "clock", "", &text));
                }
            }
            let sound = |n: &&String| {
                let letter = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
                (1..=NONCE_MOST).contains(&n.len()) && n.bytes().all(letter)
            };
            let fresh = answer.nonce.as_ref().filter(sound).cloned();
            let refused = answer.status == 400 && wire::problem(&answer.body).short() == "badNonce";
            if refused {
                // The others may be as old.
                self.nonces.clear();
            }
            let none = fresh.is_none();
            self.nonces.extend(fresh);
            if self.nonces.len() > NONCES_MOST {
                self.nonces.remove(0);
            }
            if nonce_only {
                if answer.status >= 400 || none {
                    let text = match answer.status {
                        200..=299 => "no nonce in the answer".to_string(),
                        status => format!("{status} {}", wire::problem(&answer.body).line()),
                    };
                    let failure = Failure {
                        told: answer.retry_after.map(|s| s * SECOND),
                        ..fail(Cause::Unreachable, &format!("nonce: {text}"))
                    };
                    return self.task_failed(moment, task, failure, out);
                }
                return self.send(moment, task, out);
            }
            if refused {
                let post = self.tasks.get_mut(&task).and_then(|t| t.post.as_mut());
                if let Some(post) = post.filter(|p| p.tries < NONCE_TRIES) {
                    post.tries += 1;
                    return self.send(moment, task, out);
                }
            }
        } else if nonce_only {
            let why = answer.err().unwrap_or_default();
            return self.lost(moment, task, &why, out);
        }
        let Some(Task { kind, post, .. }) = self.tasks.get_mut(&task) else {
            return;
        };
        *post = None;
        match kind {
            Kind::Order { .. } => {
                let input = match answer {
                    Ok(answer) => Input::Answer(answer),
                    Err(why) => Input::Lost(why),
                };
                self.order(moment, task, input, out);
            }
            Kind::Info(id) => {
                let id = id.clone();
                self.tasks.remove(&task);
                self.info_told(moment, &id, answer, out);
            }
            Kind::Setup(step) => {
                let step = *step;
                match answer {
                    Err(why) => self.lost(moment, task, &why, out),
                    Ok(answer) if step == Setup::Next && answer.status < 500 => {
                        self.tasks.remove(&task);
                        self.next_told(answer.status < 300, out);
                    }
                    Ok(answer) if answer.status >= 300 => {
                        let problem = wire::problem(&answer.body);
                        let told = answer.retry_after.map(|s| s.saturating_mul(SECOND));
                        let text = format!("{} {}", answer.status, problem.line());
                        let failure = Failure {
                            told,
                            ..fail(common(&problem, answer.status), &text)
                        };
                        self.setup_failed(moment, task, &failure, out);
                    }
                    Ok(answer) if step == Setup::Directory => {
                        self.directory_told(moment, task, &answer, out)
                    }
                    Ok(answer) => self.account_told(moment, task, answer, out),
                }
            }
            Kind::Revoke { operator, id } => {
                let (operator, id) = (*operator, id.clone());
                self.tasks.remove(&task);
                self.revoked(moment, operator, &id, answer, out);
            }
            Kind::Roll { operator, new } => {
                let (operator, new) = (*operator, new.clone());
                self.tasks.remove(&task);
                self.rolled(operator, new, answer, out);
            }
            Kind::Reread(_) => {}
        }
    }

    fn directory_told(
        &mut self,
        moment: Moment,
        task: u64,
        answer: &Answer,
        out: &mut Vec<Action>,
    ) {
        let found = wire::directory(&answer.body).and_then(|directory| {
            for url in [
                &directory.new_nonce,
                &directory.new_account,
                &directory.new_order,
            ] {
                self.place(url)?;
            }
            Ok(directory)
        });
        match found {
            Ok(directory) => {
                self.tasks.remove(&task);
                self.directory = Some((directory, moment.now));
            }
            Err(why) => self.setup_failed(moment, task, &fail(Cause::Unreachable, &why), out),
        }
    }

    /// Whether the account has the key that was to follow.
    fn next_told(&mut self, taken: bool, out: &mut Vec<Action>) {
        let Some(account) = &mut self.account else {
            return;
        };
        if let Some(next) = account.next_key.take().filter(|_| taken) {
            if let Ok(key) = AccountKey::from_pem(&next) {
                (account.key, self.key) = (next, Some(Arc::new(key)));
            }
        }
        let account = account.clone();
        self.save(Keep::Account(account), None, out);
        let text = if taken {
            "it has the new key"
        } else {
            "it kept its key"
        };
        out.push(tell(Loud::Info, "account", "", text));
    }

    fn account_told(&mut self, moment: Moment, task: u64, answer: Answer, out: &mut Vec<Action>) {
        let url = answer.location.filter(|url| self.place(url).is_ok());
        let Some((url, account)) = url.zip(self.account.as_mut()) else {
            let failure = fail(Cause::Unreachable, "an account without a URL");
            return self.setup_failed(moment, task, &failure, out);
        };
        account.url = Some(url.clone());
        account.next_key = None;
        self.tasks.remove(&task);
        self.planner.answers();
        let account = account.clone();
        self.save(Keep::Account(account), None, out);
        out.push(tell(Loud::Info, "account", "", &tame(&url, 200)));
    }

    fn revoked(
        &mut self,
        moment: Moment,
        operator: u64,
        id: &str,
        answer: Result<Answer, String>,
        out: &mut Vec<Action>,
    ) {
        let done = match answer {
            Ok(answer) if answer.status < 300 => Ok("revoked; another is ordered now".to_string()),
            Ok(answer) => {
                let problem = wire::problem(&answer.body);
                match problem.short() {
                    "alreadyRevoked" => Ok("it was revoked already; another is ordered now".into()),
                    _ => Err(format!("{} {}", answer.status, problem.line())),
                }
            }
            Err(why) => Err(why),
        };
        if done.is_ok() {
            out.push(tell(Loud::Warn, "revoked", id, "by an operator"));
            self.planner.force(moment, id);
            let all = self.served.get(id).cloned().unwrap_or_default();
            out.push(Action::Serve(id.into(), all, true));
        }
        out.push(Action::Reply(operator, done));
    }

    fn rolled(
        &mut self,
        operator: u64,
        new: Option<Arc<AccountKey>>,
        answer: Result<Answer, String>,
        out: &mut Vec<Action>,
    ) {
        let done = match answer {
            Ok(answer) if answer.status < 300 => Ok("the account has a new key".to_string()),
            Ok(answer) => Err(format!(
                "{} {}",
                answer.status,
                wire::problem(&answer.body).line()
            )),
            // It may have been taken: the new key stays beside the old one, and is tried once that is not known.
            Err(why) => Err(format!("{why}; the new key is kept beside the old one")),
        };
        if let (Ok(_), Some((new, account))) = (&done, new.zip(self.account.as_mut())) {
            (account.key, account.next_key) = (new.pem().into(), None);
            self.key = Some(new);
            let account = account.clone();
            self.save(Keep::Account(account), None, out);
            out.push(tell(Loud::Info, "account", "", "it has a new key"));
        }
        out.push(Action::Reply(operator, done));
    }

    /// Something that a task needed did not come about.
    fn lost(&mut self, moment: Moment, task: u64, why: &str, out: &mut Vec<Action>) {
        self.task_failed(moment, task, fail(Cause::Unreachable, why), out);
    }

    fn task_failed(&mut self, moment: Moment, task: u64, failure: Failure, out: &mut Vec<Action>) {
        match self.tasks.get(&task).map(|t| &t.kind) {
            Some(Kind::Order { .. }) => {
                let input = match failure.cause {
                    Cause::Unreachable => Input::Lost(failure.text),
                    _ => Input::Barred(failure.text),
                };
                self.order(moment, task, input, out);
                if let Some(told) = failure.told {
                    self.planner.away(moment, Cause::Unreachable, Some(told));
                }
            }
            Some(Kind::Setup(_)) => self.setup_failed(moment, task, &failure, out),
            Some(Kind::Info(id)) => {
                let id = id.clone();
                self.tasks.remove(&task);
                self.info_told(moment, &id, Err(failure.text), out);
            }
            Some(Kind::Revoke { operator, .. } | Kind::Roll { operator, .. }) => {
                let operator = *operator;
                self.tasks.remove(&task);
                out.push(Action::Reply(operator, Err(failure.text)));
            }
            _ => {}
        }
    }

    fn setup_failed(
        &mut self,
        moment: Moment,
        task: u64,
        failure: &Failure,
        out: &mut Vec<Action>,
    ) {
        self.tasks.remove(&task);
        self.planner.away(moment, failure.cause, failure.told);
        // Hints can wait: they alone are no reason to ask again soon.
        while let Some((_, id)) = self
            .info
            .first()
            .filter(|(at, _)| *at <= moment.now)
            .cloned()
        {
            self.info.pop_first();
            self.info.insert((moment.now + INFO_EACH, id));
        }
        let wait = self.planner.away_until().saturating_sub(moment.now) / SECOND;
        let text = format!("{}; asked again in {wait} s", failure.text);
        out.push(tell(Loud::Warn, failure.cause.word(), "", &text));
    }

    /// Ends a task: what it showed is shown no longer.
    fn end(&mut self, task: u64, out: &mut Vec<Action>) {
        if let Some(task) = self.tasks.remove(&task) {
            out.extend(task.shown.into_iter().map(Action::Withdraw));
        }
    }

    /// Keeps something in the background, and again until it is durable.
    fn save(&mut self, what: Keep, waiting: Option<Waiting>, out: &mut Vec<Action>) {
        self.last += 1;
        if let Some(Waiting { operator, .. }) = self.unsaved.begin(self.last, what.clone(), waiting)
        {
            out.push(Action::Reply(
                operator,
                Err("something newer has taken its place".into()),
            ));
        }
        out.push(Action::Save(self.last, what));
    }

    /// Writes what could not be kept again where that is due.
    fn save_again(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let (pending, last) = (&self.pending, &mut self.last);
        // A certificate ends the order of its name on disk: not one that was begun since.
        let holds = |what: &Keep| matches!(what, Keep::Identity(id, _) if pending.contains_key(id));
        let number = || {
            *last += 1;
            *last
        };
        let again = self.unsaved.retries(now, holds, number);
        out.extend(
            again
                .into_iter()
                .map(|(task, what)| Action::Save(task, what)),
        );
    }

    /// A write in the background has ended.
    fn write_ended(&mut self, ended: Ended, done: Result<(), String>, out: &mut Vec<Action>) {
        if let (Err(why), 1) = (&done, ended.failures) {
            out.push(tell(Loud::Warn, "not-kept", "", why));
        }
        if let Some(Waiting { operator, text }) = ended.waiting {
            let answer = match done {
                Ok(()) => Ok(text),
                Err(why) => Err(format!(
                    "{text}, and could not be kept yet: {why}; it is tried again"
                )),
            };
            out.push(Action::Reply(operator, answer));
        }
    }

    fn keep_state(&mut self, out: &mut Vec<Action>) {
        let (orders, refused) = self.planner.memory();
        let state = State { orders, refused };
        if state != self.saved {
            self.saved = state.clone();
            self.save(Keep::State(state), None, out);
        }
    }

    /// A URL of the authority; all else is refused.
    fn place(&self, url: &str) -> Result<Url, String> {
        let url_of = |text: &str| Url::parse(text).map_err(|e| format!("{e}: {}", tame(text, 100)));
        let home = self.settings.as_ref().map_or("", |s| &s.directory_url);
        let found = url_of(url)?;
        if !found.same_place(&url_of(home)?) {
            return Err(format!(
                "the authority points elsewhere: {}",
                tame(url, 100)
            ));
        }
        Ok(found)
    }

    fn get(&mut self, moment: Moment, task: u64, url: &str, out: &mut Vec<Action>) {
        match self.place(url) {
            Ok(url) => out.push(Action::Ask(
                task,
                Ask {
                    method: Method::Get,
                    url,
                    sign: None,
                },
            )),
            Err(why) => self.task_failed(moment, task, fail(Cause::Unreachable, &why), out),
        }
    }

    fn post(
        &mut self,
        moment: Moment,
        task: u64,
        url: &str,
        payload: Payload,
        by: By,
        out: &mut Vec<Action>,
    ) {
        match self.place(url) {
            Ok(place) => {
                let post = Post {
                    url: place,
                    text: url.into(),
                    payload,
                    by,
                    tries: 0,
                };
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.post = Some(post.clone()));
                self.send(moment, task, out);
            }
            Err(why) => self.task_failed(moment, task, fail(Cause::Broken, &why), out),
        }
    }

    /// Sends the request of a task, or asks for a nonce first.
    fn send(&mut self, moment: Moment, task: u64, out: &mut Vec<Action>) {
        let Some((key, (directory, _))) = self.key.clone().zip(self.directory.as_ref()) else {
            return self.task_failed(moment, task, fail(Cause::Unknown, "no account"), out);
        };
        let Some(nonce) = self.nonces.pop() else {
            let place = self.place(&directory.new_nonce);
            return match place {
                Ok(url) => {
                    self.tasks
                        .get_mut(&task)
                        .into_iter()
                        .for_each(|t| t.nonce = true);
                    out.push(Action::Ask(
                        task,
                        Ask {
                            method: Method::Head,
                            url,
                            sign: None,
                        },
                    ));
                }
                Err(why) => self.task_failed(moment, task, fail(Cause::Broken, &why), out),
            };
        };
        let account = self.account.as_ref().and_then(|a| a.url.clone());
        let Some(post) = self.tasks.get(&task).and_then(|t| t.post.clone()) else {
            return;
        };
        let (key, account) = match post.by {
            By::Account => (key, account),
            By::Key(key) => (key, None),
        };
        let sign = Sign {
            key,
            account,
            nonce,
            url: post.text,
            payload: post.payload,
        };
        out.push(Action::Ask(
            task,
            Ask {
                method: Method::Post,
                url: post.url,
                sign: Some(sign),
            },
        ));
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

fn tell(loud: Loud, kind: &'static str, name: &str, text: &str) -> Action {
    Action::Tell(Note {
        loud,
        kind,
        name: name.into(),
        text: text.into(),
    })
}

fn told(notice: &Notice) -> Action {
    match notice {
        Notice::Expiring { count, left, names } => tell(
            Loud::Warn,
            "expiring",
            &names.join(" "),
            &format!("{count} will end, the first in {left} s"),
        ),
        Notice::Expired {
            count,
            since,
            names,
        } => tell(
            Loud::Error,
            "expired",
            &names.join(" "),
            &format!("{count} HAVE EXPIRED, the first {since} s ago"),
        ),
        Notice::NotYet { count, names } => {
            let text = format!("{count} do not hold yet: is this machine's clock right?");
            tell(Loud::Warn, "not-yet-valid", &names.join(" "), &text)
        }
    }
}
