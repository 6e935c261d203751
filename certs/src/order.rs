//! One order, from its key to its certificate (RFC 8555, section 7.4): each [`Input`] leads to exactly one [`Output`].
//! Where an order stands is read off the authority's answer whenever that is asked, so one that was begun
//! before a restart goes on like any other.
use crate::disk::Pending;
use crate::error::Failure;
use crate::http::Response;
use crate::identity::Identity;
use crate::retry::Cause;
use crate::wire::{self, Problem, Status};
use crate::{tame, Clocks, Micros, Timestamp, SECOND};
use serde_json::json;

/// An order that is not done after this long is left and looked at again later.
pub const ORDER_MOST: Micros = 10 * 60 * SECOND;
/// The same for one that is taken up again: it was waited for before.
const AGAIN_MOST: Micros = 2 * 60 * SECOND;
/// Pauses between two looks at something that is under way.
const LOOK_FIRST: Micros = SECOND;
const LOOK_MOST: Micros = 30 * SECOND;
/// An order from before a restart that is older than this is not taken up.
pub const RESUME_MOST: u64 = 24 * 3_600;
/// Letters of an error that reach the log.
const TEXT_MOST: usize = 500;

/// How control of a name is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChallengeType {
    /// `http-01` (RFC 8555, section 8.3).
    Http,
    /// `tls-alpn-01` (RFC 8737).
    TlsAlpn,
}

impl ChallengeType {
    /// Its type at the authority.
    pub fn as_str(self) -> &'static str {
        match self {
            ChallengeType::Http => "http-01",
            ChallengeType::TlsAlpn => "tls-alpn-01",
        }
    }
}

/// What comes to an order.
pub enum Input {
    /// It begins.
    Begin,
    /// The key that was asked for: PEM, and the signing request in DER.
    Key(String, Vec<u8>),
    /// The authority's answer.
    Response(Response),
    /// There was none.
    Lost(String),
    /// Nothing was sent: what the order wanted may not be done.
    Barred(String),
    /// What was to be kept or published is, or not.
    Done(Result<(), String>),
    /// The moment that was waited for has come.
    Time,
}

/// What an order wants done next.
pub enum Output {
    /// A new key and a signing request for these names.
    GenerateKey(Vec<String>),
    /// Sent to a URL: a payload, or `""` for POST-as-GET.
    Post(String, String),
    /// Shown for a name until the order ends: token and key authorization.
    Publish(String, String, String),
    /// Kept before anything else is done.
    Save(Pending),
    /// Nothing until then.
    Sleep(Timestamp),
    /// The certificate.
    Done(Box<Identity>),
    /// It failed.
    Failed(Failure),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Key,
    New,
    Save,
    Look,
    Authorization,
    Publish,
    Respond,
    WaitCheck,
    Check,
    Finalize,
    WaitLook,
    Download,
    Over,
}

#[derive(Debug)]
struct Auth {
    url: String,
    name: String,
    valid: bool,
    challenge: String,
}

/// An order.
pub struct Order {
    /// Names in it.
    pub names: Vec<String>,
    challenge_type: ChallengeType,
    thumbprint: String,
    new_order: String,
    /// The certificate that this one takes the place of (RFC 9773, section 5).
    replaces: Option<String>,
    key: Option<String>,
    csr: Vec<u8>,
    url: String,
    deadline: Timestamp,
    step: Step,
    auths: Vec<Auth>,
    at: usize,
    looks: u32,
    body: Option<wire::Order>,
    /// Its signing request was taken.
    finalized: bool,
}

impl Order {
    /// A new order.
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
            deadline: clocks.now + ORDER_MOST,
            step: Step::Key,
            auths: Vec::new(),
            at: 0,
            looks: 0,
            body: None,
            finalized: false,
        }
    }

    /// One that was begun before a restart; its key comes back by [`Input::Key`], its signing request made anew.
    pub fn resumed(
        clocks: Clocks,
        pending: &Pending,
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
        order.deadline = clocks.now + AGAIN_MOST;
        order
    }

    /// Goes on by one step.
    pub fn step(&mut self, clocks: Clocks, input: Input) -> Output {
        match self.advance(clocks, input) {
            Ok(output) => output,
            Err(failure) => {
                self.step = Step::Over;
                Output::Failed(failure)
            }
        }
    }

    fn advance(&mut self, clocks: Clocks, input: Input) -> Result<Output, Failure> {
        let answer = match (self.step, input) {
            (Step::Key, Input::Begin) => return Ok(Output::GenerateKey(self.names.clone())),
            (Step::Key, Input::Key(pem, csr)) => {
                (self.key, self.csr) = (Some(pem), csr);
                if !self.url.is_empty() {
                    return Ok(self.look());
                }
                self.step = Step::New;
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
            // A folder that can't be written costs the order its restart, not the certificate.
            (Step::Save, Input::Done(_)) => return self.dispatch(clocks, None),
            (Step::Publish, Input::Done(Ok(()))) => {
                self.step = Step::Respond;
                return Ok(Output::Post(
                    self.auths[self.at].challenge.clone(),
                    "{}".into(),
                ));
            }
            (Step::Publish, Input::Done(Err(why))) => {
                return Err(self.broken(Cause::Broken, format!("challenge not published: {why}")));
            }
            (Step::WaitCheck, Input::Time) => {
                self.step = Step::Check;
                return Ok(Output::Post(self.auths[self.at].url.clone(), String::new()));
            }
            (Step::WaitLook, Input::Time) => return Ok(self.look()),
            (_, Input::Lost(why)) => return Err(self.broken(Cause::Unreachable, why)),
            (_, Input::Response(answer)) => answer,
            (_, Input::Barred(why)) => return Err(self.broken(Cause::Broken, why)),
            // Never with the input: it may hold a key.
            (step, _) => return Err(self.broken(Cause::Broken, format!("out of turn at {step:?}"))),
        };
        if answer.status >= 400 {
            return self.turned_down(clocks, &answer);
        }
        if !(200..300).contains(&answer.status) {
            return Err(self.broken(Cause::Broken, format!("status {}", answer.status)));
        }
        match self.step {
            Step::New => {
                let order = self.read(wire::order(&answer.body))?;
                let Some(url) = answer.location else {
                    return Err(self.broken(Cause::Broken, "an order without a URL".into()));
                };
                (self.url, self.body, self.step) = (url.clone(), Some(order), Step::Save);
                let (names, began) = (self.names.clone(), clocks.wall);
                let key = self.key.clone().unwrap_or_default();
                Ok(Output::Save(Pending {
                    url,
                    names,
                    key,
                    began,
                }))
            }
            Step::Look | Step::Finalize => {
                self.body = Some(self.read(wire::order(&answer.body))?);
                self.finalized |= self.step == Step::Finalize;
                self.dispatch(clocks, answer.retry_after)
            }
            Step::Authorization => {
                let found = self.read(wire::authorization(&answer.body))?;
                let name = found.identifier.value.to_ascii_lowercase();
                if !self.names.contains(&name) {
                    let name = tame(&name, 100);
                    return Err(self.broken(Cause::Broken, format!("an authorization for {name}")));
                }
                let auth = &mut self.auths[self.at];
                auth.name = name;
                match found.status {
                    Status::Valid => {
                        auth.valid = true;
                        self.next_auth(clocks, answer.retry_after)
                    }
                    Status::Pending => self.challenge(clocks, found, answer.retry_after),
                    _ => Err(self.refused(&found)),
                }
            }
            Step::Respond => self.next_auth(clocks, answer.retry_after),
            Step::Check => {
                let found = self.read(wire::authorization(&answer.body))?;
                match found.status {
                    Status::Valid => {
                        self.auths[self.at].valid = true;
                        self.looks = 0;
                        self.check(clocks, None)
                    }
                    Status::Pending | Status::Processing => self.check(clocks, answer.retry_after),
                    _ => Err(self.refused(&found)),
                }
            }
            Step::Download => {
                let chain =
                    std::str::from_utf8(&answer.body).map_err(|_| "chain: no text".to_string());
                let key = self.key.as_deref().unwrap_or_default();
                let identity = chain.and_then(|chain| Identity::from_key_and_chain(key, chain));
                let identity = identity.map_err(|why| self.useless(why))?;
                if let Some(name) = self.names.iter().find(|n| !identity.covers(n)) {
                    return Err(self.useless(format!("the certificate lacks {name}")));
                }
                // By the authority's clock where it tells: this machine's may be the wrong one.
                let now = answer.date.unwrap_or(clocks.wall);
                if !identity.is_valid_at(now) && !identity.is_valid_at(clocks.wall) {
                    return Err(self.useless("the certificate does not hold now".into()));
                }
                self.step = Step::Over;
                Ok(Output::Done(Box::new(identity)))
            }
            step => Err(self.broken(Cause::Broken, format!("an answer at {step:?}"))),
        }
    }

    fn look(&mut self) -> Output {
        self.step = Step::Look;
        Output::Post(self.url.clone(), String::new())
    }

    /// Goes on where the authority says that the order stands.
    fn dispatch(&mut self, clocks: Clocks, told: Option<u64>) -> Result<Output, Failure> {
        let Some(body) = self.body.take() else {
            return Err(self.broken(Cause::Broken, "an order without a state".into()));
        };
        match body.status {
            Status::Pending if self.auths.iter().all(|a| a.valid) && !self.auths.is_empty() => {
                self.sleep(clocks, told, Step::WaitLook)
            }
            Status::Pending => {
                if body.authorizations.is_empty() {
                    return Err(self.broken(
                        Cause::Broken,
                        "a pending order without authorizations".into(),
                    ));
                }
                let auth = |url| Auth {
                    url,
                    name: String::new(),
                    valid: false,
                    challenge: String::new(),
                };
                self.auths = body.authorizations.into_iter().map(auth).collect();
                (self.at, self.step) = (0, Step::Authorization);
                Ok(Output::Post(self.auths[0].url.clone(), String::new()))
            }
            // It was finalized and has not noticed yet.
            Status::Ready if self.finalized => self.sleep(clocks, told, Step::WaitLook),
            Status::Ready => {
                self.step = Step::Finalize;
                let csr = crate::jose::base64url(&self.csr);
                Ok(Output::Post(body.finalize, json!({"csr": csr}).to_string()))
            }
            Status::Processing => self.sleep(clocks, told, Step::WaitLook),
            Status::Valid => {
                let Some(url) = body.certificate else {
                    return Err(
                        self.broken(Cause::Broken, "a valid order without a certificate".into())
                    );
                };
                self.step = Step::Download;
                Ok(Output::Post(url, String::new()))
            }
            _ => {
                let problem = body.error.unwrap_or_default();
                let mut failure = self.problem(&problem, None);
                failure.keeps_order = false;
                if failure.text.len() < 4 {
                    failure.text = format!("the order is {:?}", body.status).to_lowercase();
                }
                Err(failure)
            }
        }
    }

    /// Chooses the challenge of a pending authorization.
    fn challenge(
        &mut self,
        clocks: Clocks,
        found: wire::Authorization,
        told: Option<u64>,
    ) -> Result<Output, Failure> {
        let name = self.auths[self.at].name.clone();
        let Some(challenge) = found
            .challenges
            .iter()
            .find(|c| c.kind == self.challenge_type.as_str())
        else {
            return Err(self.refusal(
                name,
                format!("no challenge {} is offered", self.challenge_type.as_str()),
            ));
        };
        if challenge.status == Some(Status::Valid) {
            return self.next_auth(clocks, told);
        }
        if challenge.status == Some(Status::Invalid) {
            return Err(self.refused(&found));
        }
        if !challenge.token_is_sound() {
            return Err(self.broken(Cause::Broken, "a challenge with a bad token".into()));
        }
        self.auths[self.at].challenge.clone_from(&challenge.url);
        let authorization = format!("{}.{}", challenge.token, self.thumbprint);
        let token = challenge.token.clone();
        if challenge.status == Some(Status::Processing) {
            // From before a restart: it has to be shown again, and is told again.
            self.auths[self.at].valid = false;
        }
        self.step = Step::Publish;
        Ok(Output::Publish(name, token, authorization))
    }

    fn next_auth(&mut self, clocks: Clocks, told: Option<u64>) -> Result<Output, Failure> {
        if self.at + 1 < self.auths.len() {
            self.at += 1;
            self.step = Step::Authorization;
            return Ok(Output::Post(self.auths[self.at].url.clone(), String::new()));
        }
        self.looks = 0;
        self.check(clocks, told)
    }

    /// Looks at the first authorization that is not valid yet, or at the order once all are.
    fn check(&mut self, clocks: Clocks, told: Option<u64>) -> Result<Output, Failure> {
        match self.auths.iter().position(|a| !a.valid) {
            Some(at) => {
                self.at = at;
                self.sleep(clocks, told, Step::WaitCheck)
            }
            None => Ok(self.look()),
        }
    }

    fn sleep(&mut self, clocks: Clocks, told: Option<u64>, then: Step) -> Result<Output, Failure> {
        let pause = (LOOK_FIRST << self.looks.min(10)).min(LOOK_MOST);
        self.looks += 1;
        let until = clocks.now + pause.max(told.unwrap_or(0).saturating_mul(SECOND));
        if until > self.deadline {
            return Err(Failure {
                told: told.map(|s| s.saturating_mul(SECOND)),
                keeps_order: true,
                ..self.broken(Cause::Slow, "the authority takes its time".into())
            });
        }
        self.step = then;
        Ok(Output::Sleep(until))
    }

    /// The authority answered with an error.
    fn turned_down(&mut self, clocks: Clocks, answer: &Response) -> Result<Output, Failure> {
        let problem = wire::problem(&answer.body);
        if problem.short() == "orderNotReady" {
            return self.sleep(clocks, answer.retry_after, Step::WaitLook);
        }
        let mut failure = self.problem(&problem, Some(answer));
        // An order that the authority does not know any more is made anew.
        let lost = matches!(answer.status, 404 | 410) && self.step != Step::New;
        failure.keeps_order = matches!(failure.cause, Cause::Unreachable | Cause::Limited)
            && !matches!(self.step, Step::New | Step::Key)
            && !lost;
        if lost {
            (failure.cause, failure.refused) = (Cause::Broken, Vec::new());
            failure.text = format!("the authority lost the order: {}", failure.text);
        }
        Err(failure)
    }

    /// What a problem means.
    fn problem(&self, problem: &Problem, answer: Option<&Response>) -> Failure {
        let status = answer.map_or(0, |a| a.status);
        let cause = match problem.short() {
            "rateLimited" => Cause::Limited,
            "accountDoesNotExist" => Cause::Unknown,
            "externalAccountRequired"
            | "userActionRequired"
            | "invalidContact"
            | "unsupportedContact" => Cause::Account,
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
            _ if status == 429 => Cause::Limited,
            _ if status >= 500 => Cause::Unreachable,
            _ => Cause::Broken,
        };
        let ours = |name: &String| self.names.contains(name);
        let mut refused: Vec<String> = Vec::new();
        if cause == Cause::Refused {
            let subs = problem
                .subproblems
                .iter()
                .filter_map(|s| s.identifier.as_ref());
            refused = subs
                .map(|i| i.value.to_ascii_lowercase())
                .filter(ours)
                .collect();
            refused.sort();
            refused.dedup();
            if refused.is_empty() && self.names.len() == 1 {
                refused.clone_from(&self.names);
            }
        }
        let text = match status {
            0 => problem.line(),
            _ => format!("{status} {}", problem.line()),
        };
        let told = answer
            .and_then(|a| a.retry_after)
            .map(|s| s.saturating_mul(SECOND));
        Failure {
            cause,
            refused,
            told,
            text: tame(&text, TEXT_MOST),
            keeps_order: false,
        }
    }

    /// An authorization that will not become valid.
    fn refused(&self, found: &wire::Authorization) -> Failure {
        let error = found.challenges.iter().find_map(|c| c.error.as_ref());
        let why = error.map_or(
            format!("authorization {:?}", found.status).to_lowercase(),
            Problem::line,
        );
        let limited = error.is_some_and(|e| e.short() == "rateLimited");
        let failure = self.refusal(self.auths[self.at].name.clone(), why);
        if limited {
            return Failure {
                cause: Cause::Limited,
                refused: Vec::new(),
                ..failure
            };
        }
        failure
    }

    fn refusal(&self, name: String, why: String) -> Failure {
        let text = tame(&format!("{name}: {why}"), TEXT_MOST);
        let refused = if name.is_empty() {
            Vec::new()
        } else {
            vec![name]
        };
        Failure {
            cause: Cause::Refused,
            refused,
            told: None,
            text,
            keeps_order: false,
        }
    }

    fn broken(&self, cause: Cause, why: String) -> Failure {
        // Whatever became of a request, an order that has a URL is still there.
        let keeps_order = cause == Cause::Unreachable && !self.url.is_empty();
        let text = tame(&why, TEXT_MOST);
        Failure {
            cause,
            refused: Vec::new(),
            told: None,
            text,
            keeps_order,
        }
    }

    fn useless(&self, why: String) -> Failure {
        Failure {
            keeps_order: false,
            ..self.broken(Cause::Broken, why)
        }
    }

    fn read<T>(&self, found: Result<T, String>) -> Result<T, Failure> {
        found.map_err(|why| self.broken(Cause::Broken, why))
    }
}
