//! The authority without I/O: processes requests as RFC 8555 defines them.
use super::issue::Issuer;
use super::jws::{decode, encode, thumbprint, Jws};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use x509_parser::prelude::FromDer;

const ACME: &str = "urn:ietf:params:acme:error:";
/// Unused nonces that are accepted; beyond that, one is discarded for each new one.
const MAX_NONCES: usize = 10_000;
/// Time until an order and its authorizations expire.
const ORDER_LIFETIME_S: u64 = 7 * 86_400;

/// An HTTP request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The HTTP method, in upper case.
    pub method: String,
    /// Path and query of the request target.
    pub path: String,
    /// Value of the `Content-Type` field; empty if there is none.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// An HTTP response.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Header fields, without `Date`, `Connection` and the fields that frame the body.
    pub fields: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Ways in which an issued chain is unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WrongChain {
    /// The certificate has another public key than the signing request.
    OtherKey,
    /// The certificate has expired.
    Expired,
}

/// Faults that the authority injects.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Names for which orders are rejected with `rejectedIdentifier`.
    pub refuse: BTreeSet<String>,
    /// Names whose challenges fail, whatever the validation finds.
    pub unprovable: BTreeSet<String>,
    /// Number of orders to accept before further ones are rejected with `rateLimited`; `None` for no limit.
    pub orders_left: Option<u32>,
    /// Value of `Retry-After` in responses with the status 429 or 503, in seconds.
    pub retry_after: Option<u64>,
    /// Every request gets the status 503.
    pub down: bool,
    /// Number of signed requests to reject with `badNonce`.
    pub bad_nonces: u32,
    /// Finalized orders stay in the state `processing`.
    pub stuck: bool,
    /// Existing orders are reported as not found.
    pub lose_orders: bool,
    /// Defect of the chains that are issued.
    pub wrong_chain: Option<WrongChain>,
    /// Connections are closed without a response.
    pub vanished: bool,
    /// Pause after each byte of a response, in milliseconds.
    pub slow_ms: u64,
    /// Responses are truncated.
    pub cut: bool,
    /// Responses have a body of excessive length.
    pub endless: bool,
    /// Bodies of responses are not valid JSON.
    pub malformed: bool,
    /// Status of responses to a request for the existing account of a key, instead of the account.
    pub account_check_status: Option<u16>,
    /// Base URL that replaces the authority's own in the URLs that it returns.
    pub elsewhere: Option<String>,
}

struct Account {
    jwk: Value,
    contacts: Value,
    active: bool,
}

struct Order {
    account: u64,
    names: Vec<String>,
    authorizations: Vec<u64>,
    expires: u64,
    /// State after finalization; before that, the state follows from the authorizations.
    state: Option<&'static str>,
    certificate: Option<u64>,
    csr: Vec<u8>,
    error: Value,
}

struct Authorization {
    account: u64,
    name: String,
    token: String,
    state: &'static str,
    expires: u64,
    /// Type, state and error of the challenge that the client has started.
    started_challenge: Option<(&'static str, &'static str, Value)>,
}

struct Issued {
    account: u64,
    chain: String,
    serial: String,
    not_before: u64,
    not_after: u64,
    revoked: bool,
}

/// A challenge that is to be validated.
#[derive(Clone, Debug)]
pub struct Check {
    /// Number of the authorization.
    pub auth: u64,
    /// Challenge type: `http-01` or `tls-alpn-01`.
    pub kind: &'static str,
    /// DNS name to validate.
    pub name: String,
    /// Token of the challenge.
    pub token: String,
    /// Key authorization that the client must present.
    pub authorization: String,
}

/// State of a test authority.
pub struct Authority {
    base: String,
    /// Keys and certificates of the CA.
    pub issuer: Issuer,
    /// Faults to inject.
    pub faults: Faults,
    /// Validity period of issued certificates, in seconds.
    pub lifetime: u64,
    /// Offset of the authority's clock, in seconds.
    pub clock: i64,
    /// Renewal window that it suggests, as offsets from a certificate's start in seconds; by default two thirds to three quarters
    /// of the validity period.
    pub window: Option<(u64, u64)>,
    /// HMAC keys of external accounts by key id; if there are any, new accounts must be bound to one.
    pub external: BTreeMap<String, Vec<u8>>,
    accounts: BTreeMap<u64, Account>,
    orders: BTreeMap<u64, Order>,
    authorizations: BTreeMap<u64, Authorization>,
    issued: BTreeMap<u64, Issued>,
    nonces: BTreeSet<u64>,
    checks: Vec<Check>,
    last_id: u64,
    rng: u64,
    /// Number of requests by the first segment of their path.
    pub request_counts: BTreeMap<String, u64>,
}

type ResponseResult = Result<Response, Response>;

fn problem(status: u16, kind: &str, detail: &str) -> Response {
    let body = json!({"type": format!("{ACME}{kind}"), "detail": detail, "status": status});
    let fields = vec![("Content-Type", "application/problem+json".to_string())];
    Response {
        status,
        fields,
        body: body.to_string().into_bytes(),
    }
}

fn ok(status: u16, body: Value) -> Response {
    let fields = vec![("Content-Type", "application/json".to_string())];
    Response {
        status,
        fields,
        body: body.to_string().into_bytes(),
    }
}

/// Formats seconds since the Unix epoch as an RFC 3339 date and time.
fn rfc3339(wall: u64) -> String {
    let (days, rest) = (wall / 86_400, wall % 86_400);
    // Conversion of days to a civil date, with years that begin in March.
    let z = days + 719_468;
    let (era, doe) = (z / 146_097, z % 146_097);
    let yoe = (doe - doe / 1_460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let (day, month) = (
        doy - (153 * mp + 2) / 5 + 1,
        if mp < 10 { mp + 3 } else { mp - 9 },
    );
    let year = yoe + era * 400 + u64::from(month <= 2);
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}Z",
        rest / 3_600,
        rest / 60 % 60,
        rest % 60
    )
}

impl Authority {
    /// Creates an authority; `base` is its base URL without a trailing slash, `seed` determines tokens and nonces.
    pub fn new(base: String, seed: u64) -> Self {
        Authority {
            base,
            issuer: Issuer::new(),
            faults: Faults::default(),
            lifetime: 90 * 86_400,
            clock: 0,
            window: None,
            external: BTreeMap::new(),
            accounts: BTreeMap::new(),
            orders: BTreeMap::new(),
            authorizations: BTreeMap::new(),
            issued: BTreeMap::new(),
            nonces: BTreeSet::new(),
            checks: Vec::new(),
            last_id: 0,
            rng: seed | 1,
            request_counts: BTreeMap::new(),
        }
    }

    /// URL of the ACME directory.
    pub fn directory(&self) -> String {
        format!("{}/directory", self.base)
    }

    /// Sets the base URL, without a trailing slash.
    pub fn set_base(&mut self, base: String) {
        self.base = base;
    }

    /// Deletes all accounts.
    pub fn forget_accounts(&mut self) {
        self.accounts.clear();
    }

    /// Serial number, in hexadecimal, and revocation status of each issued certificate.
    pub fn issued(&self) -> Vec<(String, bool)> {
        self.issued
            .values()
            .map(|i| (i.serial.clone(), i.revoked))
            .collect()
    }

    /// Number of accounts created.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Number of orders created.
    pub fn orders(&self) -> usize {
        self.orders.len()
    }

    /// Takes the challenges that are to be validated; the caller passes each result to [`Authority::checked`].
    pub fn checks(&mut self) -> Vec<Check> {
        std::mem::take(&mut self.checks)
    }

    /// Records the result of a validation.
    pub fn checked(&mut self, check: &Check, result: Result<(), String>) {
        let unprovable = self.faults.unprovable.contains(&check.name);
        let Some(auth) = self
            .authorizations
            .get_mut(&check.auth)
            .filter(|a| a.state == "pending")
        else {
            return;
        };
        let result = if unprovable {
            Err("told to".into())
        } else {
            result
        };
        match result {
            Ok(()) => {
                (auth.state, auth.started_challenge) =
                    ("valid", Some((check.kind, "valid", Value::Null)))
            }
            Err(reason) => {
                let error =
                    json!({"type": format!("{ACME}connection"), "detail": reason, "status": 400});
                (auth.state, auth.started_challenge) =
                    ("invalid", Some((check.kind, "invalid", error)));
            }
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn random(&mut self) -> u64 {
        self.rng = self
            .rng
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        let x = self.rng;
        (x ^ (x >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    }

    fn nonce(&mut self) -> String {
        let nonce = self.random();
        self.nonces.insert(nonce);
        if self.nonces.len() > MAX_NONCES {
            self.nonces.pop_first();
        }
        encode(nonce.to_be_bytes())
    }

    /// Processes a request; `wall` is the time in seconds since the Unix epoch.
    pub fn handle(&mut self, wall: u64, request: &Request) -> Response {
        let now = wall.saturating_add_signed(self.clock);
        let path = request
            .path
            .trim_matches('/')
            .split('/')
            .map(str::to_string)
            .collect::<Vec<_>>();
        *self.request_counts.entry(path[0].clone()).or_default() += 1;
        let mut response = if self.faults.down {
            problem(503, "serverInternal", "told to be down")
        } else {
            self.route(now, request, &path).unwrap_or_else(|e| e)
        };
        if matches!(response.status, 429 | 503) {
            response.fields.extend(
                self.faults
                    .retry_after
                    .map(|s| ("Retry-After", s.to_string())),
            );
        }
        if request.method != "GET" {
            let nonce = self.nonce();
            response.fields.push(("Replay-Nonce", nonce));
        }
        let directory = self.directory();
        response
            .fields
            .push(("Link", format!("<{directory}>;rel=\"index\"")));
        if self.faults.malformed {
            response.body = br#"{"status": "pending", "authorizations": [[[[{"#.to_vec();
        }
        response
    }

    fn route(&mut self, now: u64, request: &Request, path: &[String]) -> ResponseResult {
        let path: Vec<&str> = path.iter().map(String::as_str).collect();
        match (request.method.as_str(), &path[..]) {
            ("GET", ["directory"]) => Ok(self.directory_response()),
            ("HEAD", ["nonce"]) => Ok(Response {
                status: 200,
                ..Response::default()
            }),
            ("GET", ["nonce"]) => Ok(Response {
                status: 204,
                ..Response::default()
            }),
            ("GET", ["renewal", id]) => self.renewal(id),
            ("POST", ["account", "new"]) => self.new_account(request),
            ("POST", ["revoke"]) => self.revoke(request),
            ("POST", _) => {
                let (account, payload) = self.authenticate(request)?;
                self.route_post(now, account, &path, &payload)
            }
            _ => Err(problem(405, "malformed", "no such method here")),
        }
    }

    fn url(&self, rest: &str) -> String {
        format!(
            "{}/{rest}",
            self.faults.elsewhere.as_ref().unwrap_or(&self.base)
        )
    }

    fn directory_response(&self) -> Response {
        ok(
            200,
            json!({"newNonce": self.url("nonce"), "newAccount": self.url("account/new"),
                   "newOrder": self.url("order/new"), "revokeCert": self.url("revoke"),
                   "keyChange": self.url("key-change"), "renewalInfo": self.url("renewal"),
                   "meta": {"termsOfService": self.url("terms"),
                            "externalAccountRequired": !self.external.is_empty()}}),
        )
    }

    /// Parses a signed request and checks its format, nonce and URL (RFC 8555, sections 6.2 to 6.5).
    fn parse_signed(&mut self, request: &Request) -> Result<Jws, Response> {
        if request.content_type != "application/jose+json" {
            return Err(problem(
                415,
                "malformed",
                "the content type is not application/jose+json",
            ));
        }
        let jws = Jws::parse(&request.body)
            .ok_or_else(|| problem(400, "malformed", "no flattened JWS"))?;
        let nonce = jws.header["nonce"].as_str().and_then(decode);
        let nonce = nonce
            .and_then(|n| n.try_into().ok())
            .map(u64::from_be_bytes);
        let known = nonce.is_some_and(|n| self.nonces.remove(&n));
        if self.faults.bad_nonces > 0 || !known {
            self.faults.bad_nonces = self.faults.bad_nonces.saturating_sub(1);
            return Err(problem(400, "badNonce", "not given out, or used before"));
        }
        let url = format!("{}/{}", self.base, request.path.trim_start_matches('/'));
        if jws.header["url"].as_str() != Some(&url) {
            return Err(problem(401, "unauthorized", "signed for another URL"));
        }
        if jws.header.get("kid").is_some() == jws.header.get("jwk").is_some() {
            return Err(problem(400, "malformed", "not exactly one of kid and jwk"));
        }
        Ok(jws)
    }

    fn verify_signature(jws: &Jws, jwk: &Value) -> Result<(), Response> {
        match jws.verifies(jwk) {
            Ok(true) => Ok(()),
            Ok(false) => Err(problem(400, "malformed", "the signature does not verify")),
            Err(kind) => {
                let mut response = problem(400, kind, "the algorithm does not fit the key");
                let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
                let mut body = body;
                body["algorithms"] = json!(["ES256", "ES384", "EdDSA", "RS256"]);
                response.body = body.to_string().into_bytes();
                Err(response)
            }
        }
    }

    /// Verifies a request signed by an account; returns the account and the payload.
    fn authenticate(&mut self, request: &Request) -> Result<(u64, Vec<u8>), Response> {
        let jws = self.parse_signed(request)?;
        let prefix = format!("{}/account/", self.base);
        let kid = jws.header["kid"]
            .as_str()
            .ok_or_else(|| problem(400, "malformed", "no kid"))?;
        let number = kid.strip_prefix(&prefix).and_then(|n| n.parse().ok());
        let unknown = || problem(400, "accountDoesNotExist", "no such account");
        let number = number.ok_or_else(unknown)?;
        let account = self.accounts.get(&number).ok_or_else(unknown)?;
        Self::verify_signature(&jws, &account.jwk)?;
        if !account.active {
            return Err(problem(401, "unauthorized", "the account is deactivated"));
        }
        Ok((number, jws.payload))
    }

    fn new_account(&mut self, request: &Request) -> ResponseResult {
        let jws = self.parse_signed(request)?;
        let jwk = jws.header["jwk"].clone();
        Self::verify_signature(&jws, &jwk)?;
        let payload: Value = serde_json::from_slice(&jws.payload)
            .map_err(|_| problem(400, "malformed", "the payload is no JSON"))?;
        let key_thumbprint =
            thumbprint(&jwk).ok_or_else(|| problem(400, "badPublicKey", "a key that is none"))?;
        let same = |(_, a): &(&u64, &Account)| thumbprint(&a.jwk).as_ref() == Some(&key_thumbprint);
        let only_existing = payload["onlyReturnExisting"] == json!(true);
        if let Some(status) = self.faults.account_check_status.filter(|_| only_existing) {
            return Err(problem(status, "unauthorized", "not now"));
        }
        if let Some((number, _)) = self.accounts.iter().find(same) {
            return Ok(self.account_response(200, *number));
        }
        if only_existing {
            return Err(problem(
                400,
                "accountDoesNotExist",
                "no account with this key",
            ));
        }
        if payload["termsOfServiceAgreed"] != json!(true) {
            return Err(problem(
                403,
                "userActionRequired",
                "the terms are not agreed to",
            ));
        }
        let contacts = payload["contact"].as_array().cloned().unwrap_or_default();
        if contacts
            .iter()
            .any(|c| !c.as_str().is_some_and(|c| c.starts_with("mailto:")))
        {
            return Err(problem(400, "unsupportedContact", "only mailto"));
        }
        if !self.external.is_empty() {
            let rejected = |why| problem(403, "externalAccountRequired", why);
            let binding = Jws::from_json(&payload["externalAccountBinding"])
                .ok_or_else(|| rejected("no binding"))?;
            let kid = binding.header["kid"].as_str().unwrap_or("");
            let key = self
                .external
                .get(kid)
                .ok_or_else(|| rejected("an unknown external account"))?;
            let bound: Value = serde_json::from_slice(&binding.payload).unwrap_or_default();
            let url = format!("{}/account/new", self.base);
            let fits = bound == jwk && binding.header["url"].as_str() == Some(&url);
            if !binding.verifies_hmac(key) || !fits || binding.header.get("nonce").is_some() {
                return Err(rejected("the binding does not verify"));
            }
        }
        let number = self.next_id();
        self.accounts.insert(
            number,
            Account {
                jwk,
                contacts: contacts.into(),
                active: true,
            },
        );
        Ok(self.account_response(201, number))
    }

    fn account_response(&self, status: u16, number: u64) -> Response {
        let account = &self.accounts[&number];
        let state = if account.active {
            "valid"
        } else {
            "deactivated"
        };
        let url = self.url(&format!("account/{number}"));
        let orders = format!("{url}/orders");
        let mut response = ok(
            status,
            json!({"status": state, "contact": account.contacts, "orders": orders}),
        );
        response.fields.push(("Location", url));
        response
    }

    fn route_post(
        &mut self,
        now: u64,
        account: u64,
        path: &[&str],
        payload: &[u8],
    ) -> ResponseResult {
        let not_found = || problem(404, "malformed", "no such thing");
        let number = |text: &str| text.parse::<u64>().map_err(|_| not_found());
        let payload: Value = match payload {
            // POST-as-GET (RFC 8555, section 6.3).
            [] => Value::Null,
            _ => serde_json::from_slice(payload)
                .map_err(|_| problem(400, "malformed", "the payload is no JSON"))?,
        };
        match path {
            ["order", "new"] => self.new_order(now, account, &payload),
            ["order", n] => {
                let n = number(n)?;
                self.check_order_owner(account, n)?;
                Ok(self.order_response(now, 200, n))
            }
            ["order", n, "finalize"] => {
                let n = number(n)?;
                self.check_order_owner(account, n)?;
                self.finalize(now, n, &payload)
            }
            ["authz", n] => {
                let n = number(n)?;
                let auth = self
                    .authorizations
                    .get_mut(&n)
                    .filter(|a| a.account == account)
                    .ok_or_else(not_found)?;
                if payload["status"] == "deactivated" {
                    auth.state = "deactivated";
                }
                Ok(ok(200, self.authorization(now, n)))
            }
            ["challenge", n, kind] => self.challenge(now, account, number(n)?, kind, &payload),
            ["cert", n] => {
                let found = self
                    .issued
                    .get(&number(n)?)
                    .filter(|c| c.account == account);
                let chain = found.ok_or_else(not_found)?.chain.clone();
                let fields = vec![(
                    "Content-Type",
                    "application/pem-certificate-chain".to_string(),
                )];
                Ok(Response {
                    status: 200,
                    fields,
                    body: chain.into_bytes(),
                })
            }
            ["key-change"] => self.key_change(account, &payload),
            ["account", n] if number(n)? == account => {
                if let Some(found) = self.accounts.get_mut(&account) {
                    if let Some(contacts) = payload.get("contact") {
                        found.contacts = contacts.clone();
                    }
                    found.active &= payload["status"] != "deactivated";
                }
                Ok(self.account_response(200, account))
            }
            ["account", n, "orders"] if number(n)? == account => {
                let owned = self.orders.iter().filter(|(_, o)| o.account == account);
                let urls: Vec<_> = owned
                    .map(|(n, _)| self.url(&format!("order/{n}")))
                    .collect();
                Ok(ok(200, json!({"orders": urls})))
            }
            _ => Err(not_found()),
        }
    }

    fn check_order_owner(&self, account: u64, order: u64) -> Result<(), Response> {
        let found = self
            .orders
            .get(&order)
            .filter(|o| o.account == account && !self.faults.lose_orders);
        found
            .map(|_| ())
            .ok_or_else(|| problem(404, "malformed", "no such order"))
    }

    fn new_order(&mut self, now: u64, account: u64, payload: &Value) -> ResponseResult {
        let all = payload["identifiers"]
            .as_array()
            .cloned()
            .unwrap_or_default();
        let name = |v: &Value| match (v["type"].as_str(), v["value"].as_str()) {
            (Some("dns"), Some(name)) if !name.is_empty() && !name.contains('*') => {
                Some(name.to_string())
            }
            _ => None,
        };
        let names: Option<Vec<_>> = all.iter().map(name).collect();
        let names = names.filter(|n| !n.is_empty() && n.len() <= 100);
        let mut names = names
            .ok_or_else(|| problem(400, "unsupportedIdentifier", "only 1 to 100 dns names"))?;
        names.sort();
        names.dedup();
        let refused: Vec<_> = names
            .iter()
            .filter(|n| self.faults.refuse.contains(*n))
            .collect();
        if !refused.is_empty() {
            let sub = |n: &&String| {
                json!({"type": format!("{ACME}rejectedIdentifier"), "detail": "told to refuse it",
                       "identifier": {"type": "dns", "value": n}})
            };
            let mut response = problem(403, "rejectedIdentifier", "names that can't be had");
            let mut body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
            body["subproblems"] = refused.iter().map(sub).collect();
            response.body = body.to_string().into_bytes();
            return Err(response);
        }
        if let Some(left) = &mut self.faults.orders_left {
            if *left == 0 {
                return Err(problem(429, "rateLimited", "too many orders"));
            }
            *left -= 1;
        }
        let expires = now + ORDER_LIFETIME_S;
        let mut authorizations = Vec::new();
        for name in &names {
            let number = self.next_id();
            let token = encode([self.random().to_be_bytes(), self.random().to_be_bytes()].concat());
            let name = name.to_ascii_lowercase();
            self.authorizations.insert(
                number,
                Authorization {
                    account,
                    name,
                    token,
                    state: "pending",
                    expires,
                    started_challenge: None,
                },
            );
            authorizations.push(number);
        }
        let number = self.next_id();
        let order = Order {
            account,
            names: names.iter().map(|n| n.to_ascii_lowercase()).collect(),
            authorizations,
            expires,
            state: None,
            certificate: None,
            csr: Vec::new(),
            error: Value::Null,
        };
        self.orders.insert(number, order);
        Ok(self.order_response(now, 201, number))
    }

    /// Issues the certificate if the order is due for it, and returns the order object (RFC 8555, section 7.1.6).
    fn order_response(&mut self, now: u64, status: u16, number: u64) -> Response {
        if self.orders[&number].state == Some("processing") && !self.faults.stuck {
            self.issue_certificate(now, number);
        }
        let order = &self.orders[&number];
        let states: Vec<_> = order
            .authorizations
            .iter()
            .map(|a| self.authorizations[a].state)
            .collect();
        let state = match order.state {
            Some(state) => state,
            None if now > order.expires
                || states.iter().any(|s| !matches!(*s, "pending" | "valid")) =>
            {
                "invalid"
            }
            None if states.iter().all(|s| *s == "valid") => "ready",
            None => "pending",
        };
        let names: Vec<_> = order
            .names
            .iter()
            .map(|n| json!({"type": "dns", "value": n}))
            .collect();
        let authorizations: Vec<_> = order
            .authorizations
            .iter()
            .map(|a| self.url(&format!("authz/{a}")))
            .collect();
        let mut body = json!({"status": state, "expires": rfc3339(order.expires), "identifiers": names,
            "authorizations": authorizations, "finalize": self.url(&format!("order/{number}/finalize"))});
        if let Some(cert) = order.certificate {
            body["certificate"] = self.url(&format!("cert/{cert}")).into();
        }
        if !order.error.is_null() {
            body["error"] = order.error.clone();
        }
        let mut response = ok(status, body);
        response
            .fields
            .push(("Location", self.url(&format!("order/{number}"))));
        if state == "processing" {
            response.fields.push(("Retry-After", "1".into()));
        }
        response
    }

    fn finalize(&mut self, now: u64, number: u64, payload: &Value) -> ResponseResult {
        let state: Value =
            serde_json::from_slice(&self.order_response(now, 200, number).body).unwrap_or_default();
        if state["status"] != "ready" {
            return Err(problem(403, "orderNotReady", "the order is not ready"));
        }
        let csr = payload["csr"].as_str().and_then(decode).unwrap_or_default();
        let bad = |why: &str| problem(400, "badCSR", why);
        let names = Issuer::requested_names(&csr).map_err(|why| bad(&why))?;
        let order = self
            .orders
            .get_mut(&number)
            .ok_or_else(|| bad("no order"))?;
        if names != order.names {
            return Err(bad("the names are not those of the order"));
        }
        (order.csr, order.state) = (csr, Some("processing"));
        // The certificate is issued at the next request for the order, so that clients have to poll.
        let order = &self.orders[&number];
        let names = order.names.clone();
        let authorizations: Vec<_> = order
            .authorizations
            .iter()
            .map(|a| self.url(&format!("authz/{a}")))
            .collect();
        let mut response = ok(
            200,
            json!({"status": "processing", "authorizations": authorizations,
                   "identifiers": names.iter().map(|n| json!({"type": "dns", "value": n})).collect::<Vec<_>>(),
                   "finalize": self.url(&format!("order/{number}/finalize"))}),
        );
        response
            .fields
            .push(("Location", self.url(&format!("order/{number}"))));
        response.fields.push(("Retry-After", "1".into()));
        Ok(response)
    }

    fn issue_certificate(&mut self, now: u64, number: u64) {
        let (csr, account) = (
            self.orders[&number].csr.clone(),
            self.orders[&number].account,
        );
        let wrong = self.faults.wrong_chain;
        let (not_before, not_after) = match wrong {
            Some(WrongChain::Expired) => (
                now.saturating_sub(2 * self.lifetime),
                now.saturating_sub(self.lifetime),
            ),
            _ => (now.saturating_sub(60), now + self.lifetime),
        };
        let issued = self.issuer.chain(
            &csr,
            not_before,
            not_after,
            wrong == Some(WrongChain::OtherKey),
        );
        let cert = self.next_id();
        let Some(order) = self.orders.get_mut(&number) else {
            return;
        };
        match issued {
            Ok((chain, serial)) => {
                (order.state, order.certificate) = (Some("valid"), Some(cert));
                self.issued.insert(
                    cert,
                    Issued {
                        account,
                        chain,
                        serial,
                        not_before,
                        not_after,
                        revoked: false,
                    },
                );
            }
            Err(reason) => {
                order.state = Some("invalid");
                order.error = json!({"type": format!("{ACME}badCSR"), "detail": reason});
            }
        }
    }

    fn authorization(&self, now: u64, number: u64) -> Value {
        let auth = &self.authorizations[&number];
        let state = if now > auth.expires && auth.state == "pending" {
            "expired"
        } else {
            auth.state
        };
        let challenge = |kind: &'static str| {
            let (status, error) = match &auth.started_challenge {
                Some((started, status, error)) if *started == kind => (*status, error.clone()),
                _ => ("pending", Value::Null),
            };
            let mut found = json!({"type": kind, "status": status, "token": auth.token,
                                   "url": self.url(&format!("challenge/{number}/{kind}"))});
            if !error.is_null() {
                found["error"] = error;
            }
            found
        };
        let challenges = ["http-01", "tls-alpn-01"].map(challenge);
        json!({"status": state, "expires": rfc3339(auth.expires), "challenges": challenges,
               "identifier": {"type": "dns", "value": auth.name}})
    }

    fn challenge(
        &mut self,
        now: u64,
        account: u64,
        number: u64,
        kind: &str,
        payload: &Value,
    ) -> ResponseResult {
        let not_found = || problem(404, "malformed", "no such challenge");
        let kind = ["http-01", "tls-alpn-01"]
            .into_iter()
            .find(|k| *k == kind)
            .ok_or_else(not_found)?;
        let auth = self
            .authorizations
            .get(&number)
            .filter(|a| a.account == account)
            .ok_or_else(not_found)?;
        if payload.is_object() && auth.state == "pending" && auth.started_challenge.is_none() {
            let key_thumbprint = thumbprint(&self.accounts[&account].jwk).unwrap_or_default();
            let authorization = format!("{}.{key_thumbprint}", auth.token);
            let (name, token) = (auth.name.clone(), auth.token.clone());
            self.checks.push(Check {
                auth: number,
                kind,
                name,
                token,
                authorization,
            });
            self.authorizations
                .get_mut(&number)
                .into_iter()
                .for_each(|a| a.started_challenge = Some((kind, "processing", Value::Null)));
        }
        let body = self.authorization(now, number);
        let found = body["challenges"]
            .as_array()
            .into_iter()
            .flatten()
            .find(|c| c["type"] == kind)
            .cloned();
        Ok(ok(200, found.unwrap_or_default()))
    }

    /// Changes the key of an account (RFC 8555, section 7.3.5).
    fn key_change(&mut self, account: u64, payload: &Value) -> ResponseResult {
        let bad = |why: &str| problem(400, "malformed", why);
        let inner = Jws::from_json(payload).ok_or_else(|| bad("no inner JWS"))?;
        let jwk = inner.header["jwk"].clone();
        Self::verify_signature(&inner, &jwk)?;
        let claims: Value =
            serde_json::from_slice(&inner.payload).map_err(|_| bad("the claims are no JSON"))?;
        let url = format!("{}/key-change", self.base);
        let kid = format!("{}/account/{account}", self.base);
        if inner.header["url"].as_str() != Some(&url) || inner.header.get("nonce").is_some() {
            return Err(bad("the inner header does not fit"));
        }
        if claims["account"].as_str() != Some(&kid)
            || claims["oldKey"] != self.accounts[&account].jwk
        {
            return Err(bad("the claims name another account or key"));
        }
        let key_thumbprint = thumbprint(&jwk);
        if self
            .accounts
            .values()
            .any(|a| thumbprint(&a.jwk) == key_thumbprint)
        {
            return Err(problem(409, "malformed", "the key belongs to an account"));
        }
        self.accounts
            .get_mut(&account)
            .into_iter()
            .for_each(|a| a.jwk = jwk.clone());
        Ok(self.account_response(200, account))
    }

    /// Revokes a certificate at the request of the account that it was issued to (RFC 8555, section 7.6).
    fn revoke(&mut self, request: &Request) -> ResponseResult {
        let (account, payload) = self.authenticate(request)?;
        let payload: Value = serde_json::from_slice(&payload).unwrap_or_default();
        let der = payload["certificate"]
            .as_str()
            .and_then(decode)
            .unwrap_or_default();
        let bad = |why: &str| problem(400, "malformed", why);
        let (_, cert) = x509_parser::certificate::X509Certificate::from_der(&der)
            .map_err(|_| bad("no certificate"))?;
        let serial: String = cert
            .raw_serial()
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        if payload
            .get("reason")
            .is_some_and(|r| !matches!(r.as_u64(), Some(0..=6 | 8..=10)))
        {
            return Err(problem(400, "badRevocationReason", "no such reason"));
        }
        let found = self
            .issued
            .values_mut()
            .find(|c| c.serial == serial && c.account == account);
        let found =
            found.ok_or_else(|| problem(403, "unauthorized", "not issued to this account"))?;
        if std::mem::replace(&mut found.revoked, true) {
            return Err(problem(400, "alreadyRevoked", "it was revoked before"));
        }
        Ok(Response {
            status: 200,
            ..Response::default()
        })
    }

    /// Returns the renewal information of a certificate (RFC 9773, section 4.2).
    fn renewal(&self, id: &str) -> ResponseResult {
        let serial = id
            .split_once('.')
            .and_then(|(_, s)| decode(s))
            .unwrap_or_default();
        let serial: String = serial.iter().map(|b| format!("{b:02x}")).collect();
        let found = self.issued.values().find(|c| c.serial == serial);
        let found = found.ok_or_else(|| problem(404, "malformed", "no such certificate"))?;
        let (start, end) = match (found.revoked, self.window) {
            (true, _) => (found.not_before, found.not_before + 1),
            (_, Some((start, end))) => (found.not_before + start, found.not_before + end),
            _ => (
                found.not_before + (found.not_after - found.not_before) * 2 / 3,
                found.not_before + (found.not_after - found.not_before) * 3 / 4,
            ),
        };
        let mut response = ok(
            200,
            json!({"suggestedWindow": {"start": rfc3339(start), "end": rfc3339(end)}}),
        );
        response.fields.push(("Retry-After", "21600".into()));
        Ok(response)
    }
}

#[cfg(test)]
mod tests;
