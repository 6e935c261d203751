//! What the client asks its driver to do, and what the driver tells it.
use crate::disk::{FileUpdate, Loaded};
use crate::http::{Method, Response};
use crate::identity::Identity;
use crate::jose::{external_binding, AccountKey};
use crate::order::ChallengeType;
use crate::planner::PlannerSettings;
use crate::renewal::Ranking;
use crate::url::Url;
use serde_json::json;
use std::sync::Arc;

/// A request to the authority.
#[derive(Debug)]
pub struct Request {
    /// How.
    pub method: Method,
    /// Where: always at the configured authority.
    pub url: Url,
    /// What its body is signed over; `None`: it has none.
    pub sign: Option<Sign>,
}

/// A body that is still to be signed.
pub struct Sign {
    pub(crate) key: Arc<AccountKey>,
    /// URL of the account; `None`: the public key stands in the body.
    pub(crate) account: Option<String>,
    pub(crate) nonce: String,
    pub(crate) url: String,
    pub(crate) payload: Payload,
}

impl std::fmt::Debug for Sign {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Sign({})", self.url)
    }
}

/// What a body says.
#[derive(Clone)]
pub(crate) enum Payload {
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
pub enum KeyRequest {
    /// For an order: with a signing request for these names, over a key in PEM that is there already or a new one.
    Order(Vec<String>, Option<String>),
    /// For the account.
    Account,
}

/// What shows control of a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Challenge {
    /// By which way.
    pub kind: ChallengeType,
    /// The name.
    pub name: String,
    /// The token, base64url letters alone.
    pub token: String,
    /// What has to be shown.
    pub authorization: String,
}

/// What the driver has to do. A number names the task that waits for the [`Event`] that answers; 0: none does.
pub enum Action {
    /// Ask the authority: [`Event::Response`].
    Request(u64, Request),
    /// Make a key: [`Event::OrderKey`] or [`Event::AccountKey`].
    GenerateKey(u64, KeyRequest),
    /// Keep something, after all that was to be kept before: [`Event::Done`].
    Save(u64, FileUpdate),
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
    Log(LogEntry),
}

/// How loud a note is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// What an operator wants to know.
    Info,
    /// What needs a look.
    Warn,
    /// What hurts clients now.
    Error,
}

/// Something for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// How loud.
    pub level: Level,
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
    Response(u64, Result<Response, String>),
    /// A key in PEM and its signing request in DER.
    OrderKey(u64, Result<(String, Vec<u8>), String>),
    /// A key for the account.
    AccountKey(u64, Result<Arc<AccountKey>, String>),
    /// Something is kept or published, or why not.
    Done(u64, Result<(), String>),
    /// What the folder holds for a certificate.
    Reread(u64, Option<Box<Identity>>),
    /// Time has passed.
    Tick,
    /// Other certificates, another plan.
    Configure(PlannerSettings, Box<dyn Ranking + Send>, Vec<Vec<String>>),
    /// An operator wants a certificate renewed now.
    Renew(u64, String),
    /// An operator wants a certificate revoked, for a reason by number (RFC 5280, section 5.3.1).
    Revoke(u64, String, u8),
    /// An operator brings a certificate.
    Import(u64, Box<Identity>),
    /// An operator wants another key for the account.
    RollKey(u64),
}
