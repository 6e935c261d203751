//! State machine of one order (RFC 8555, section 7.4). Each [`Input`] results in exactly one [`Output`]. The progress of an
//! order is taken from the responses of the authority, so that an order from before a restart continues like any other.
use crate::disk::PendingOrder;
use crate::error::Failure;
use crate::http::Response;
use crate::identity::Identity;
use crate::retry::Cause;
use crate::wire::{self, Problem, Status};
use crate::{sanitize, Clocks, Micros, Timestamp, SECOND};
use serde_json::json;

/// An order that is not finished after this time fails and is polled again by a later attempt.
pub const ORDER_TIMEOUT: Micros = 10 * 60 * SECOND;
/// The same for a resumed order, which was waited for before.
const RESUMED_ORDER_TIMEOUT: Micros = 2 * 60 * SECOND;
/// Interval between polls of an order or authorization; it doubles with each poll.
const MIN_POLL_INTERVAL: Micros = SECOND;
const MAX_POLL_INTERVAL: Micros = 30 * SECOND;
/// Orders from before a restart that are older than this are not resumed.
pub const MAX_RESUME_AGE_S: u64 = 24 * 3_600;
/// Maximum length of an error text.
const MAX_TEXT_CHARS: usize = 500;

/// How control of a name is proven.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChallengeType {
    /// `http-01` (RFC 8555, section 8.3).
    Http,
    /// `tls-alpn-01` (RFC 8737).
    TlsAlpn,
}

impl ChallengeType {
    /// The challenge type in ACME messages.
    pub fn as_str(self) -> &'static str {
        match self {
            ChallengeType::Http => "http-01",
            ChallengeType::TlsAlpn => "tls-alpn-01",
        }
    }
}

/// An input of an order.
pub enum Input {
    /// Starts the order.
    Begin,
    /// The generated key in PEM, and the certificate signing request in DER.
    Key(String, Vec<u8>),
    /// The response to the last request.
    Response(Response),
    /// The last request failed without a response.
    NoResponse(String),
    /// The last request was not sent, or the key could not be generated.
    NotSent(String),
    /// The result of [`Output::Save`] or [`Output::Publish`].
    Done(Result<(), String>),
    /// The time of [`Output::Wait`] has been reached.
    Timer,
}

/// The next operation of an order.
pub enum Output {
    /// Generate a key and a certificate signing request for these names.
    GenerateKey(Vec<String>),
    /// Post a payload to a URL; an empty payload for POST-as-GET.
    Post(String, String),
    /// Publish a challenge response until the order ends: name, token and key authorization.
    Publish(String, String, String),
    /// Save the order before it continues.
    Save(PendingOrder),
    /// Wait until this time.
    Wait(Timestamp),
    /// The certificate has been issued.
    Done(Box<Identity>),
    /// The order has failed.
    Failed(Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    GenerateKey,
    Create,
    Save,
    PollOrder,
    Authorization,
    Publish,
    Respond,
    WaitAuthorization,
    PollAuthorization,
    Finalize,
    WaitOrder,
    Download,
    Finished,
}

#[derive(Debug)]
struct OrderAuthorization {
    url: String,
    name: String,
    valid: bool,
    challenge: String,
}

/// An order in progress.
pub struct Order {
    /// Names in the order.
    pub names: Vec<String>,
    challenge_type: ChallengeType,
    thumbprint: String,
    new_order: String,
    /// Identifier of the certificate that is replaced (RFC 9773, section 5).
    replaces: Option<String>,
    key: Option<String>,
    csr: Vec<u8>,
    url: String,
    deadline: Timestamp,
    step: Step,
    authorizations: Vec<OrderAuthorization>,
    current: usize,
    polls: u32,
    body: Option<wire::Order>,
    /// The authority has accepted the certificate signing request.
    finalized: bool,
}

impl Order {
    /// Creates an order.
    pub fn new(
        clocks: Clocks,
        names: Vec<String>,
        challenge_type: ChallengeType,
        thumbprint: String,
        new_order: String,
        replaces: Option<String>,
    ) -> Self {
        Order {
            names,
            challenge_type,
            thumbprint,
            new_order,
            replaces,
            key: None,
            csr: Vec::new(),
            url: String::new(),
            deadline: clocks.now + ORDER_TIMEOUT,
            step: Step::GenerateKey,
            authorizations: Vec::new(),
            current: 0,
            polls: 0,
            body: None,
            finalized: false,
        }
    }

    /// Continues an order from before a restart. [`Input::Key`] has to contain the stored key.
    pub fn resumed(
        clocks: Clocks,
        pending: &PendingOrder,
        challenge_type: ChallengeType,
        thumbprint: String,
    ) -> Self {
        let mut order = Order::new(
            clocks,
            pending.names.clone(),
            challenge_type,
            thumbprint,
            String::new(),
            None,
        );
        order.url.clone_from(&pending.url);
        order.deadline = clocks.now + RESUMED_ORDER_TIMEOUT;
        order
    }

    /// Handles an input.
    pub fn step(&mut self, clocks: Clocks, input: Input) -> Output {
        match self.advance(clocks, input) {
            Ok(output) => output,
            Err(failure) => {
                self.step = Step::Finished;
                Output::Failed(failure)
            }
        }
    }

    fn advance(&mut self, clocks: Clocks, input: Input) -> Result<Output, Failure> {
        let response = match (self.step, input) {
            (Step::GenerateKey, Input::Begin) => {
                return Ok(Output::GenerateKey(self.names.clone()))
            }
            (Step::GenerateKey, Input::Key(pem, csr)) => {
                (self.key, self.csr) = (Some(pem), csr);
                if !self.url.is_empty() {
                    return Ok(self.poll_order());
                }
                self.step = Step::Create;
                let names: Vec<_> = self
                    .names
                    .iter()
                    .map(|n| json!({"type": "dns", "value": n}))
                    .collect();
                let mut payload = json!({"identifiers": names});
                if let Some(replaces) = &self.replaces {
                    payload["replaces"] = replaces.as_str().into();
                }
                return Ok(Output::Post(self.new_order.clone(), payload.to_string()));
            }
            // An order that could not be saved continues; it only cannot be resumed after a restart.
            (Step::Save, Input::Done(_)) => return self.continue_order(clocks, None),
            (Step::Publish, Input::Done(Ok(()))) => {
                self.step = Step::Respond;
                return Ok(Output::Post(
                    self.authorizations[self.current].challenge.clone(),
                    "{}".into(),
                ));
            }
            (Step::Publish, Input::Done(Err(error))) => {
                return Err(self.failure(
                    Cause::BadResponse,
                    format!(
                        "challenge for {} could not be published: {error}",
                        self.authorizations[self.current].name
                    ),
                ));
            }
            (Step::WaitAuthorization, Input::Timer) => {
                self.step = Step::PollAuthorization;
                return Ok(Output::Post(
                    self.authorizations[self.current].url.clone(),
                    String::new(),
                ));
            }
            (Step::WaitOrder, Input::Timer) => return Ok(self.poll_order()),
            (_, Input::NoResponse(error)) => return Err(self.failure(Cause::Unreachable, error)),
            (_, Input::Response(response)) => response,
            (_, Input::NotSent(error)) => return Err(self.failure(Cause::BadResponse, error)),
            // The input is not included because it may contain a key.
            (step, _) => {
                return Err(self.failure(
                    Cause::BadResponse,
                    format!("unexpected input in step {step:?}"),
                ))
            }
        };
        if response.status >= 400 {
            return self.error_response(clocks, &response);
        }
        if !(200..300).contains(&response.status) {
            return Err(self.failure(
                Cause::BadResponse,
                format!(
                    "unexpected status {} in step {:?}",
                    response.status, self.step
                ),
            ));
        }
        match self.step {
            Step::Create => {
                let order = self.parsed(wire::order(&response.body))?;
                let Some(url) = response.location else {
                    return Err(self.failure(
                        Cause::BadResponse,
                        "response to the new order has no Location".into(),
                    ));
                };
                (self.url, self.body, self.step) = (url.clone(), Some(order), Step::Save);
                let (names, began) = (self.names.clone(), clocks.wall);
                let key = self.key.clone().unwrap_or_default();
                Ok(Output::Save(PendingOrder {
                    url,
                    names,
                    key,
                    began,
                }))
            }
            Step::PollOrder | Step::Finalize => {
                self.body = Some(self.parsed(wire::order(&response.body))?);
                self.finalized |= self.step == Step::Finalize;
                self.continue_order(clocks, response.retry_after)
            }
            Step::Authorization => {
                let found = self.parsed(wire::authorization(&response.body))?;
                let name = found.identifier.value.to_ascii_lowercase();
                if !self.names.contains(&name) {
                    let name = sanitize(&name, 100);
                    return Err(self.failure(
                        Cause::BadResponse,
                        format!("authorization for {name}, which is not in the order"),
                    ));
                }
                let auth = &mut self.authorizations[self.current];
                auth.name = name;
                match found.status {
                    Status::Valid => {
                        auth.valid = true;
                        self.next_authorization(clocks, response.retry_after)
                    }
                    Status::Pending => self.select_challenge(clocks, found, response.retry_after),
                    _ => Err(self.authorization_failed(&found)),
                }
            }
            Step::Respond => self.next_authorization(clocks, response.retry_after),
            Step::PollAuthorization => {
                let found = self.parsed(wire::authorization(&response.body))?;
                match found.status {
                    Status::Valid => {
                        self.authorizations[self.current].valid = true;
                        self.polls = 0;
                        self.poll_authorizations(clocks, None)
                    }
                    Status::Pending | Status::Processing => {
                        self.poll_authorizations(clocks, response.retry_after)
                    }
                    _ => Err(self.authorization_failed(&found)),
                }
            }
            Step::Download => {
                let chain = std::str::from_utf8(&response.body)
                    .map_err(|_| "certificate chain is not UTF-8".to_string());
                let key = self.key.as_deref().unwrap_or_default();
                let identity = chain.and_then(|chain| Identity::from_key_and_chain(key, chain));
                let identity = identity.map_err(|error| self.unusable_certificate(error))?;
                if let Some(name) = self.names.iter().find(|n| !identity.covers(n)) {
                    return Err(self.unusable_certificate(format!(
                        "issued certificate does not cover {name}"
                    )));
                }
                // The clock of this machine may be wrong, so the clock of the authority is tried first.
                let now = response.date.unwrap_or(clocks.wall);
                if !identity.is_valid_at(now) && !identity.is_valid_at(clocks.wall) {
                    return Err(self.unusable_certificate(format!(
                        "issued certificate is not valid now, but from {} to {} (Unix time)",
                        identity.not_before, identity.not_after
                    )));
                }
                self.step = Step::Finished;
                Ok(Output::Done(Box::new(identity)))
            }
            step => Err(self.failure(
                Cause::BadResponse,
                format!("unexpected response in step {step:?}"),
            )),
        }
    }

    fn poll_order(&mut self) -> Output {
        self.step = Step::PollOrder;
        Output::Post(self.url.clone(), String::new())
    }

    /// Takes the next step, by the status of the order at the authority.
    fn continue_order(
        &mut self,
        clocks: Clocks,
        retry_after: Option<u64>,
    ) -> Result<Output, Failure> {
        let Some(body) = self.body.take() else {
            return Err(self.failure(
                Cause::BadResponse,
                "no order object to continue with".into(),
            ));
        };
        match body.status {
            Status::Pending
                if self.authorizations.iter().all(|a| a.valid)
                    && !self.authorizations.is_empty() =>
            {
                self.poll_later(clocks, retry_after, Step::WaitOrder)
            }
            Status::Pending => {
                if body.authorizations.is_empty() {
                    return Err(self.failure(
                        Cause::BadResponse,
                        "order is pending but has no authorizations".into(),
                    ));
                }
                let auth = |url| OrderAuthorization {
                    url,
                    name: String::new(),
                    valid: false,
                    challenge: String::new(),
                };
                self.authorizations = body.authorizations.into_iter().map(auth).collect();
                (self.current, self.step) = (0, Step::Authorization);
                Ok(Output::Post(
                    self.authorizations[0].url.clone(),
                    String::new(),
                ))
            }
            // The authority has not updated the status after the finalization yet.
            Status::Ready if self.finalized => {
                self.poll_later(clocks, retry_after, Step::WaitOrder)
            }
            Status::Ready => {
                self.step = Step::Finalize;
                let csr = crate::jose::base64url(&self.csr);
                Ok(Output::Post(body.finalize, json!({"csr": csr}).to_string()))
            }
            Status::Processing => self.poll_later(clocks, retry_after, Step::WaitOrder),
            Status::Valid => {
                let Some(url) = body.certificate else {
                    return Err(self.failure(
                        Cause::BadResponse,
                        "order is valid but has no certificate URL".into(),
                    ));
                };
                self.step = Step::Download;
                Ok(Output::Post(url, String::new()))
            }
            _ => {
                let problem = body.error.unwrap_or_default();
                let mut failure = self.problem_failure(&problem, None);
                failure.resumable = false;
                if failure.text.len() < 4 {
                    failure.text = format!("order status is {:?}", body.status).to_lowercase();
                }
                Err(failure)
            }
        }
    }

    /// Selects the challenge of a pending authorization and publishes its response.
    fn select_challenge(
        &mut self,
        clocks: Clocks,
        found: wire::Authorization,
        retry_after: Option<u64>,
    ) -> Result<Output, Failure> {
        let name = self.authorizations[self.current].name.clone();
        let Some(challenge) = found
            .challenges
            .iter()
            .find(|c| c.kind == self.challenge_type.as_str())
        else {
            return Err(self.refused_name(
                name,
                format!(
                    "the authority offers no {} challenge",
                    self.challenge_type.as_str()
                ),
            ));
        };
        if challenge.status == Some(Status::Valid) {
            return self.next_authorization(clocks, retry_after);
        }
        if challenge.status == Some(Status::Invalid) {
            return Err(self.authorization_failed(&found));
        }
        if !challenge.has_valid_token() {
            return Err(self.failure(
                Cause::BadResponse,
                format!("challenge for {name} has an invalid token"),
            ));
        }
        self.authorizations[self.current]
            .challenge
            .clone_from(&challenge.url);
        let authorization = format!("{}.{}", challenge.token, self.thumbprint);
        let token = challenge.token.clone();
        if challenge.status == Some(Status::Processing) {
            // Started before a restart: the response has to be published and posted again.
            self.authorizations[self.current].valid = false;
        }
        self.step = Step::Publish;
        Ok(Output::Publish(name, token, authorization))
    }

    /// Fetches the next authorization, or starts polling after the last one.
    fn next_authorization(
        &mut self,
        clocks: Clocks,
        retry_after: Option<u64>,
    ) -> Result<Output, Failure> {
        if self.current + 1 < self.authorizations.len() {
            self.current += 1;
            self.step = Step::Authorization;
            return Ok(Output::Post(
                self.authorizations[self.current].url.clone(),
                String::new(),
            ));
        }
        self.polls = 0;
        self.poll_authorizations(clocks, retry_after)
    }

    /// Polls the first authorization that is not valid yet, or the order once all are valid.
    fn poll_authorizations(
        &mut self,
        clocks: Clocks,
        retry_after: Option<u64>,
    ) -> Result<Output, Failure> {
        match self.authorizations.iter().position(|a| !a.valid) {
            Some(at) => {
                self.current = at;
                self.poll_later(clocks, retry_after, Step::WaitAuthorization)
            }
            None => Ok(self.poll_order()),
        }
    }

    /// Waits for the poll interval or `retry_after` seconds, whichever is longer, unless that exceeds the deadline.
    fn poll_later(
        &mut self,
        clocks: Clocks,
        retry_after: Option<u64>,
        then: Step,
    ) -> Result<Output, Failure> {
        let pause = (MIN_POLL_INTERVAL << self.polls.min(10)).min(MAX_POLL_INTERVAL);
        self.polls += 1;
        let until = clocks.now + pause.max(retry_after.unwrap_or(0).saturating_mul(SECOND));
        if until > self.deadline {
            return Err(Failure {
                retry_after: retry_after.map(|s| s.saturating_mul(SECOND)),
                resumable: true,
                ..self.failure(
                    Cause::Processing,
                    "the authority has not finished processing in time; polled again later".into(),
                )
            });
        }
        self.step = then;
        Ok(Output::Wait(until))
    }

    /// Handles an error response.
    fn error_response(&mut self, clocks: Clocks, response: &Response) -> Result<Output, Failure> {
        let problem = wire::problem(&response.body);
        if problem.acme_type() == "orderNotReady" {
            return self.poll_later(clocks, response.retry_after, Step::WaitOrder);
        }
        let mut failure = self.problem_failure(&problem, Some(response));
        // An order that no longer exists at the authority is created again.
        let lost = matches!(response.status, 404 | 410) && self.step != Step::Create;
        failure.resumable = matches!(failure.cause, Cause::Unreachable | Cause::RateLimited)
            && !matches!(self.step, Step::Create | Step::GenerateKey)
            && !lost;
        if lost {
            (failure.cause, failure.refused) = (Cause::BadResponse, Vec::new());
            failure.text = format!("order no longer exists at the authority: {}", failure.text);
        }
        Err(failure)
    }

    /// Returns the failure for a problem document.
    fn problem_failure(&self, problem: &Problem, response: Option<&Response>) -> Failure {
        let status = response.map_or(0, |a| a.status);
        let cause = match problem.acme_type() {
            "rateLimited" => Cause::RateLimited,
            "accountDoesNotExist" => Cause::AccountUnknown,
            "externalAccountRequired"
            | "userActionRequired"
            | "invalidContact"
            | "unsupportedContact" => Cause::AccountRejected,
            "rejectedIdentifier"
            | "unsupportedIdentifier"
            | "caa"
            | "dns"
            | "connection"
            | "tls"
            | "incorrectResponse"
            | "unauthorized" => Cause::Refused,
            "serverInternal" => Cause::Unreachable,
            "compound" if problem.subproblems.iter().any(|s| s.identifier.is_some()) => {
                Cause::Refused
            }
            _ if status == 429 => Cause::RateLimited,
            _ if status >= 500 => Cause::Unreachable,
            _ => Cause::BadResponse,
        };
        let in_order = |name: &String| self.names.contains(name);
        let mut refused: Vec<String> = Vec::new();
        if cause == Cause::Refused {
            let subs = problem
                .subproblems
                .iter()
                .filter_map(|s| s.identifier.as_ref());
            refused = subs
                .map(|i| i.value.to_ascii_lowercase())
                .filter(in_order)
                .collect();
            refused.sort();
            refused.dedup();
            if refused.is_empty() && self.names.len() == 1 {
                refused.clone_from(&self.names);
            }
        }
        let text = match status {
            0 => problem.summary(),
            _ => format!("status {status}: {}", problem.summary()),
        };
        let retry_after = response
            .and_then(|a| a.retry_after)
            .map(|s| s.saturating_mul(SECOND));
        Failure {
            cause,
            refused,
            retry_after,
            text: sanitize(&text, MAX_TEXT_CHARS),
            resumable: false,
        }
    }

    /// Returns the failure for an authorization that cannot become valid.
    fn authorization_failed(&self, found: &wire::Authorization) -> Failure {
        let problem = found.challenges.iter().find_map(|c| c.error.as_ref());
        let text = problem.map_or(
            format!("authorization status is {:?}", found.status).to_lowercase(),
            Problem::summary,
        );
        let limited = problem.is_some_and(|e| e.acme_type() == "rateLimited");
        let failure = self.refused_name(self.authorizations[self.current].name.clone(), text);
        if limited {
            return Failure {
                cause: Cause::RateLimited,
                refused: Vec::new(),
                ..failure
            };
        }
        failure
    }

    /// Returns the failure for a name that the authority refused.
    fn refused_name(&self, name: String, error: String) -> Failure {
        let text = sanitize(&format!("{name}: {error}"), MAX_TEXT_CHARS);
        let refused = if name.is_empty() {
            Vec::new()
        } else {
            vec![name]
        };
        Failure {
            cause: Cause::Refused,
            refused,
            retry_after: None,
            text,
            resumable: false,
        }
    }

    fn failure(&self, cause: Cause, error: String) -> Failure {
        // An order with a URL still exists, whether or not the request was received.
        let resumable = cause == Cause::Unreachable && !self.url.is_empty();
        let text = sanitize(&error, MAX_TEXT_CHARS);
        Failure {
            cause,
            refused: Vec::new(),
            retry_after: None,
            text,
            resumable,
        }
    }

    /// Returns the failure for an issued certificate that cannot be used. The order cannot be resumed.
    fn unusable_certificate(&self, error: String) -> Failure {
        Failure {
            resumable: false,
            ..self.failure(Cause::BadResponse, error)
        }
    }

    fn parsed<T>(&self, found: Result<T, String>) -> Result<T, Failure> {
        found.map_err(|error| self.failure(Cause::BadResponse, error))
    }
}
