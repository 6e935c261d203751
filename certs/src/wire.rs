//! JSON documents of an ACME authority (RFC 8555, section 7.1; RFC 9773, section 4.2). The size of a document is limited
//! when it is received; the lengths of its lists and texts are limited here.
use crate::sanitize;
use serde::Deserialize;
use time::format_description::well_known::Rfc3339;

/// Maximum number of authorizations of an order, challenges of an authorization and subproblems of a problem.
const MAX_LIST_LENGTH: usize = 128;
/// Maximum length of a text from the authority in a log line.
const MAX_TEXT_CHARS: usize = 300;
/// Length of a token. RFC 8555, section 8.1, requires at least 128 bits, which are 22 characters.
const TOKEN_CHARS: std::ops::RangeInclusive<usize> = 22..=256;

/// The directory object (RFC 8555, section 7.1.1).
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Directory {
    /// URL for new nonces.
    pub new_nonce: String,
    /// URL for registering an account.
    pub new_account: String,
    /// URL for creating an order.
    pub new_order: String,
    /// URL for revoking a certificate.
    pub revoke_cert: Option<String>,
    /// URL for changing the account key.
    pub key_change: Option<String>,
    /// Base URL of renewal information (RFC 9773, section 4.1).
    pub renewal_info: Option<String>,
    /// Metadata about the authority.
    #[serde(default)]
    pub meta: Meta,
}

/// Directory metadata (RFC 8555, section 7.1.1).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Meta {
    /// URL of the terms of service.
    pub terms_of_service: Option<String>,
    /// Whether registration requires an external account binding.
    pub external_account_required: bool,
}

/// An order object (RFC 8555, section 7.1.3).
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Order {
    /// Current status.
    pub status: Status,
    /// URLs of the authorizations.
    #[serde(default)]
    pub authorizations: Vec<String>,
    /// URL to which the certificate signing request is sent.
    #[serde(default)]
    pub finalize: String,
    /// URL of the certificate, once the order is valid.
    pub certificate: Option<String>,
    /// Why the order is invalid.
    pub error: Option<Problem>,
}

/// Status of an order, authorization or challenge (RFC 8555, section 7.1.6).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Control of a name has not been proven yet.
    Pending,
    /// All authorizations are valid and the order can be finalized.
    Ready,
    /// The authority is validating or issuing.
    Processing,
    /// Validated or issued.
    Valid,
    /// Failed; a new order is required.
    Invalid,
    /// Deactivated by the client.
    Deactivated,
    /// Expired before it was used.
    Expired,
    /// Revoked by the authority.
    Revoked,
}

/// An authorization object (RFC 8555, section 7.1.4).
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Authorization {
    /// The name to be authorized.
    pub identifier: Identifier,
    /// Current status.
    pub status: Status,
    /// The challenges of which one has to be answered.
    #[serde(default)]
    pub challenges: Vec<Challenge>,
}

/// An identifier object: a type and a name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Identifier {
    /// Identifier type; this client uses `dns` only.
    #[serde(rename = "type", default)]
    pub kind: String,
    /// The host name.
    #[serde(default)]
    pub value: String,
}

/// A challenge object (RFC 8555, section 7.1.5).
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Challenge {
    /// Challenge type, e.g. `http-01`.
    #[serde(rename = "type")]
    pub kind: String,
    /// URL to which the client posts when the authority may validate.
    pub url: String,
    /// Current status.
    pub status: Option<Status>,
    /// Token of which, with the account's thumbprint, the key authorization consists.
    #[serde(default)]
    pub token: String,
    /// Why the challenge failed.
    pub error: Option<Problem>,
}

impl Challenge {
    /// Whether the token has an allowed length and consists of base64url characters, which are safe in a path (RFC 8555,
    /// section 8.3).
    pub fn has_valid_token(&self) -> bool {
        let is_base64url = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        TOKEN_CHARS.contains(&self.token.len()) && self.token.bytes().all(is_base64url)
    }
}

/// A problem document (RFC 7807; RFC 8555, section 6.7).
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Problem {
    /// Problem type, a URN.
    #[serde(rename = "type")]
    pub kind: String,
    /// Description for humans.
    pub detail: String,
    /// Problems with individual names (RFC 8555, section 6.7.1).
    pub subproblems: Vec<Subproblem>,
}

/// A problem with an individual name.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Subproblem {
    /// Problem type, a URN.
    #[serde(rename = "type")]
    pub kind: String,
    /// Description for humans.
    pub detail: String,
    /// The name that caused the problem.
    pub identifier: Option<Identifier>,
}

impl Problem {
    /// The type without the ACME prefix (RFC 8555, section 6.7); empty if it is not an ACME type.
    pub fn acme_type(&self) -> &str {
        self.kind
            .strip_prefix("urn:ietf:params:acme:error:")
            .unwrap_or("")
    }

    /// Type, detail and the first subproblems in one sanitized line, for logs and operators.
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

/// The suggested renewal window of a certificate (RFC 9773, section 4.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    /// Start in Unix seconds.
    pub start: u64,
    /// End in Unix seconds.
    pub end: u64,
}

fn parse<'a, T: Deserialize<'a>>(what: &str, body: &'a [u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|e| {
        format!(
            "malformed {what}: {}",
            sanitize(&e.to_string(), MAX_TEXT_CHARS)
        )
    })
}

/// Parses a directory object.
pub fn directory(body: &[u8]) -> Result<Directory, String> {
    parse("directory", body)
}

/// Parses an order object.
pub fn order(body: &[u8]) -> Result<Order, String> {
    let order: Order = parse("order", body)?;
    let within_limit = order.authorizations.len() <= MAX_LIST_LENGTH;
    within_limit
        .then_some(order)
        .ok_or_else(|| format!("order has more than {MAX_LIST_LENGTH} authorizations"))
}

/// Parses an authorization object.
pub fn authorization(body: &[u8]) -> Result<Authorization, String> {
    let found: Authorization = parse("authorization", body)?;
    let within_limit = found.challenges.len() <= MAX_LIST_LENGTH;
    within_limit
        .then_some(found)
        .ok_or_else(|| format!("authorization has more than {MAX_LIST_LENGTH} challenges"))
}

/// Parses a problem document. Anything else results in a problem without a type.
pub fn problem(body: &[u8]) -> Problem {
    let mut problem: Problem = parse("problem", body).unwrap_or_default();
    problem.subproblems.truncate(MAX_LIST_LENGTH);
    problem
}

/// Parses a renewal information object.
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
            .ok_or("malformed renewal information: invalid timestamp")
    };
    let window = Window {
        start: timestamp(&info.window.start)?,
        end: timestamp(&info.window.end)?,
    };
    (window.start < window.end)
        .then_some(window)
        .ok_or("malformed renewal information: the window ends before it starts".into())
}

#[cfg(test)]
mod tests;
