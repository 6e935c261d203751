//! The messages between the client and its driver: [`Action`]s for the driver and [`Event`]s for the client.
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
    /// HTTP method.
    pub method: Method,
    /// URL, always on the host and port of the configured authority.
    pub url: Url,
    /// The body, which the driver signs by [`Sign::body`]; `None` for a request without a body.
    pub sign: Option<Sign>,
}

/// A request body to be signed on a worker thread.
pub struct Sign {
    pub(crate) key: Arc<AccountKey>,
    /// Account URL for `kid`; `None` to send the public key as `jwk`.
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

/// The payload of a signed request.
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
    /// Signs the body and returns it as a flattened JWS.
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
            // The inner JWS is signed with the new key and has no nonce (RFC 8555, section 7.3.5).
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

/// The key to generate.
pub enum KeyRequest {
    /// The key of an order and a certificate signing request for its names. An existing key in PEM is used if given.
    Order(Vec<String>, Option<String>),
    /// An account key.
    Account,
}

/// The response to a challenge, which proves control of a name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Challenge {
    /// Challenge type, which determines how the response is published.
    pub kind: ChallengeType,
    /// Host name to be validated.
    pub name: String,
    /// Challenge token; consists of base64url characters.
    pub token: String,
    /// Key authorization (RFC 8555, section 8.1).
    pub authorization: String,
}

/// An operation that the driver has to carry out. The number identifies the task and is returned in the [`Event`] that
/// reports the result.
pub enum Action {
    /// Send a request to the authority and report [`Event::Response`].
    Request(u64, Request),
    /// Generate a key and report [`Event::OrderKey`] or [`Event::AccountKey`].
    GenerateKey(u64, KeyRequest),
    /// Update a file, after all earlier updates, and report [`Event::Done`].
    Save(u64, FileUpdate),
    /// Publish the response to a challenge and report [`Event::Done`] once the authority can fetch it.
    Publish(u64, Challenge),
    /// Stop publishing the response to a challenge.
    Withdraw(Challenge),
    /// Read a certificate from the folder and report [`Event::Reread`].
    Reread(u64, String),
    /// Serve these identities for the certificate with this id; for each name the first identity that covers it. If the
    /// flag is set, TLS sessions of earlier identities must not be resumed.
    Serve(String, Vec<Identity>, bool),
    /// Reply to the operator command with this number.
    Reply(u64, Result<String, String>),
    /// Write a log entry.
    Log(LogEntry),
}

/// The level of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// Normal operation.
    Info,
    /// A problem that an operator should look into.
    Warn,
    /// A problem that affects clients now.
    Error,
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Log level.
    pub level: Level,
    /// Category of the entry, a fixed word that tools can filter by.
    pub kind: &'static str,
    /// Ids of the certificates concerned, or a file name; may be empty.
    pub name: String,
    /// Description in one line.
    pub text: String,
}

/// An input of the client. The first number of a variant identifies the task, or the command of an operator.
pub enum Event {
    /// The content of the folder at start; must be sent once.
    Start(Box<Loaded>),
    /// The response of the authority, or why the request failed.
    Response(u64, Result<Response, String>),
    /// The key of an order in PEM and its certificate signing request in DER.
    OrderKey(u64, Result<(String, Vec<u8>), String>),
    /// A generated account key.
    AccountKey(u64, Result<Arc<AccountKey>, String>),
    /// The result of [`Action::Save`] or [`Action::Publish`].
    Done(u64, Result<(), String>),
    /// The certificate found in the folder, if it is usable.
    Reread(u64, Option<Box<Identity>>),
    /// The time returned by [`Client::next`](crate::Client::next) has been reached.
    Tick,
    /// New settings of the planner, and the names of all certificates.
    Configure(PlannerSettings, Box<dyn Ranking + Send>, Vec<Vec<String>>),
    /// An operator requests the renewal of a certificate.
    Renew(u64, String),
    /// An operator requests the revocation of a certificate, with a reason code (RFC 5280, section 5.3.1).
    Revoke(u64, String, u8),
    /// An operator imports a certificate.
    Import(u64, Box<Identity>),
    /// An operator requests a new account key.
    RollKey(u64),
}
