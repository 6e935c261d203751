//! What an authority says, as JSON (RFC 8555, section 7.1; RFC 9773, section 4.2). The bytes were bounded when they
//! were read; counts and texts are bounded here.
use crate::sanitize;
use serde::Deserialize;
use time::format_description::well_known::Rfc3339;

/// Authorizations of an order, challenges of an authorization, subproblems of a problem, at most.
const MAX_LIST_LENGTH: usize = 128;
/// Letters of a foreign text that reach the log.
const MAX_TEXT_CHARS: usize = 300;
/// Letters of a token (RFC 8555, section 8.1 wants at least 128 bits).
const TOKEN_CHARS: std::ops::RangeInclusive<usize> = 22..=256;

/// The directory (section 7.1.1).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Directory {
    /// Where nonces come from.
    pub new_nonce: String,
    /// Where accounts are made.
    pub new_account: String,
    /// Where orders are made.
    pub new_order: String,
    /// Where certificates are revoked.
    pub revoke_cert: Option<String>,
    /// Where account keys are changed.
    pub key_change: Option<String>,
    /// Where renewal information is (RFC 9773, section 4.1).
    pub renewal_info: Option<String>,
    /// More about the authority.
    #[serde(default)]
    pub meta: Meta,
}

/// More about the authority.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Meta {
    /// URL of the terms of service.
    pub terms_of_service: Option<String>,
    /// Whether accounts have to be bound to an external one.
    pub external_account_required: bool,
}

/// An order (section 7.1.3).
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Order {
    /// Its state.
    pub status: Status,
    /// URLs of its authorizations.
    #[serde(default)]
    pub authorizations: Vec<String>,
    /// Where the signing request goes.
    #[serde(default)]
    pub finalize: String,
    /// Where the certificate is, once the order is valid.
    pub certificate: Option<String>,
    /// Why it is invalid.
    pub error: Option<Problem>,
}

/// States of orders, authorizations and challenges (section 7.1.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Something is still to be shown.
    Pending,
    /// All is shown; the signing request may go.
    Ready,
    /// The authority works on it.
    Processing,
    /// Done.
    Valid,
    /// Failed for good.
    Invalid,
    /// Given up by the client.
    Deactivated,
    /// Too old.
    Expired,
    /// Taken back by the authority.
    Revoked,
}

/// An authorization (section 7.1.4).
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Authorization {
    /// The name that it is for.
    pub identifier: Identifier,
    /// Its state.
    pub status: Status,
    /// Ways to show control.
    #[serde(default)]
    pub challenges: Vec<Challenge>,
}

/// A name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Identifier {
    /// `dns` always, here.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The name.
    #[serde(default)]
    pub value: String,
}

/// A way to show control of a name (section 7.1.5).
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Challenge {
    /// Its type, as in `http-01`.
    #[serde(rename = "type")]
    pub kind: String,
    /// Where the authority is told that it may look.
    pub url: String,
    /// Its state.
    pub status: Option<Status>,
    /// What has to be answered with the account's thumbprint.
    #[serde(default)]
    pub token: String,
    /// Why it failed.
    pub error: Option<Problem>,
}

impl Challenge {
    /// Whether its token is one: base64url letters alone, since it stands in a path (section 8.3).
    pub fn has_valid_token(&self) -> bool {
        let is_base64url = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        TOKEN_CHARS.contains(&self.token.len()) && self.token.bytes().all(is_base64url)
    }
}

/// A problem document (RFC 7807; section 6.7).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// URN of its type.
    #[serde(rename = "type")]
    pub kind: String,
    /// What a human reads.
    pub detail: String,
    /// One for each name that has something to do with it (section 6.7.1).
    pub subproblems: Vec<Subproblem>,
}

/// A problem with one name.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Subproblem {
    /// URN of its type.
    #[serde(rename = "type")]
    pub kind: String,
    /// What a human reads.
    pub detail: String,
    /// The name.
    pub identifier: Option<Identifier>,
}

impl Problem {
    /// The type without the prefix of ACME's (section 6.7), `""` where it is of another kind.
    pub fn acme_type(&self) -> &str {
        self.kind
            .strip_prefix("urn:ietf:params:acme:error:")
            .unwrap_or("")
    }

    /// One line for log and operator: type, detail and subproblems, tamed.
    pub fn summary(&self) -> String {
        let kind = if self.acme_type().is_empty() {
            &self.kind
        } else {
            self.acme_type()
        };
        let mut line = sanitize(&format!("{kind}: {}", self.detail), MAX_TEXT_CHARS);
        for sub in self.subproblems.iter().take(3) {
            let name = sub.identifier.as_ref().map_or("", |i| i.value.as_str());
            let kind = sub.kind.rsplit(':').next().unwrap_or("");
            line.push_str(&sanitize(
                &format!("; {name}: {kind}: {}", sub.detail),
                MAX_TEXT_CHARS,
            ));
        }
        if self.subproblems.len() > 3 {
            line.push_str(&format!("; and {} more", self.subproblems.len() - 3));
        }
        line
    }
}

/// When a certificate should be renewed (RFC 9773, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// First second.
    pub start: u64,
    /// Last second.
    pub end: u64,
}

fn parse<'a, T: Deserialize<'a>>(what: &str, body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body)
        .map_err(|e| format!("{what}: {}", sanitize(&e.to_string(), MAX_TEXT_CHARS)))
}

/// Reads a directory.
pub fn directory(body: &[u8]) -> Result<Directory, String> {
    parse("directory", body)
}

/// Reads an order.
pub fn order(body: &[u8]) -> Result<Order, String> {
    let order: Order = parse("order", body)?;
    let within_limit = order.authorizations.len() <= MAX_LIST_LENGTH;
    within_limit
        .then_some(order)
        .ok_or_else(|| format!("order: more than {MAX_LIST_LENGTH} authorizations"))
}

/// Reads an authorization.
pub fn authorization(body: &[u8]) -> Result<Authorization, String> {
    let found: Authorization = parse("authorization", body)?;
    let within_limit = found.challenges.len() <= MAX_LIST_LENGTH;
    within_limit
        .then_some(found)
        .ok_or_else(|| format!("authorization: more than {MAX_LIST_LENGTH} challenges"))
}

/// Reads a problem; what is none becomes one without a type.
pub fn problem(body: &[u8]) -> Problem {
    let mut problem: Problem = parse("problem", body).unwrap_or_default();
    problem.subproblems.truncate(MAX_LIST_LENGTH);
    problem
}

/// Reads renewal information.
pub fn renewal_info(body: &[u8]) -> Result<Window, String> {
    #[derive(Deserialize)]
    struct Info {
        #[serde(rename = "suggestedWindow")]
        window: Bounds,
    }
    #[derive(Deserialize)]
    struct Bounds {
        start: String,
        end: String,
    }
    let info: Info = parse("renewal information", body)?;
    let timestamp = |text: &str| {
        let at = time::OffsetDateTime::parse(text, &Rfc3339)
            .ok()
            .map(|t| t.unix_timestamp());
        at.and_then(|s| u64::try_from(s).ok())
            .ok_or("renewal information: no moment")
    };
    let window = Window {
        start: timestamp(&info.window.start)?,
        end: timestamp(&info.window.end)?,
    };
    (window.start < window.end)
        .then_some(window)
        .ok_or("renewal information: it ends before it starts".into())
}

#[cfg(test)]
mod tests;
