//! Requests to the authority: signing with nonces, retries after nonce errors, and dispatch of responses.
use super::tasks::{Post, Setup, Signer, Task, TaskKind};
use super::{
    failure, log_entry, setup_failure_cause, Client, MAX_NONCES, MAX_NONCE_CHARS,
    MAX_NONCE_RETRIES, MAX_SKEW_S,
};
use crate::error::Failure;
use crate::http::{Method, Response};
use crate::messages::{Action, Level, Payload, Request, Sign};
use crate::order::Input;
use crate::retry::Cause;
use crate::url::Url;
use crate::wire;
use crate::{sanitize, Clocks, SECOND};

impl Client {
    pub(super) fn handle_response(
        &mut self,
        clocks: Clocks,
        task: u64,
        response: Result<Response, String>,
        out: &mut Vec<Action>,
    ) {
        let Some(current) = self.tasks.get_mut(&task) else {
            return;
        };
        let for_nonce = std::mem::take(&mut current.awaits_nonce);
        if let Ok(response) = &response {
            if let Some(date) = response.date {
                let skew = date as i64 - clocks.wall as i64;
                let known = self.skew.replace(skew);
                let exceeds_limit = |s: i64| s.unsigned_abs() > MAX_SKEW_S;
                if exceeds_limit(skew) && !known.is_some_and(exceeds_limit) {
                    let text = format!(
                        "clock of the authority differs by {skew} s (positive: ahead of this \
                         machine), limit {MAX_SKEW_S} s; check the clock of this machine"
                    );
                    out.push(log_entry(Level::Warn, "clock", "", &text));
                }
            }
            let is_valid = |n: &&String| {
                let is_base64url = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
                (1..=MAX_NONCE_CHARS).contains(&n.len()) && n.bytes().all(is_base64url)
            };
            let nonce = response.nonce.as_ref().filter(is_valid).cloned();
            let refused =
                response.status == 400 && wire::problem(&response.body).acme_type() == "badNonce";
            if refused {
                // The other nonces may have expired as well.
                self.nonces.clear();
            }
            let missing = nonce.is_none();
            self.nonces.extend(nonce);
            if self.nonces.len() > MAX_NONCES {
                self.nonces.remove(0);
            }
            if for_nonce {
                if response.status >= 400 || missing {
                    let text = match response.status {
                        200..=299 => "no nonce in the response".to_string(),
                        status => format!(
                            "status {status}: {}",
                            wire::problem(&response.body).summary()
                        ),
                    };
                    let failure = Failure {
                        retry_after: response.retry_after.map(|s| s * SECOND),
                        ..failure(
                            Cause::Unreachable,
                            &format!("request for a nonce failed: {text}"),
                        )
                    };
                    return self.task_failed(clocks, task, failure, out);
                }
                return self.send(clocks, task, out);
            }
            if refused {
                let post = self.tasks.get_mut(&task).and_then(|t| t.post.as_mut());
                if let Some(post) = post.filter(|p| p.tries < MAX_NONCE_RETRIES) {
                    post.tries += 1;
                    return self.send(clocks, task, out);
                }
            }
        } else if for_nonce {
            let error = response.err().unwrap_or_default();
            return self.request_failed(clocks, task, &error, out);
        }
        let Some(Task { kind, post, .. }) = self.tasks.get_mut(&task) else {
            return;
        };
        *post = None;
        match kind {
            TaskKind::Order { .. } => {
                let input = match response {
                    Ok(response) => Input::Response(response),
                    Err(error) => Input::NoResponse(error),
                };
                self.step_order(clocks, task, input, out);
            }
            TaskKind::RenewalInfo(id) => {
                let id = id.clone();
                self.tasks.remove(&task);
                self.handle_renewal_info(clocks, &id, response, out);
            }
            TaskKind::Setup(step) => {
                let step = *step;
                match response {
                    Err(error) => self.request_failed(clocks, task, &error, out),
                    Ok(response)
                        if step == Setup::CheckNextKey
                            && key_status(&response) != KeyStatus::Unknown =>
                    {
                        self.tasks.remove(&task);
                        let accepted = key_status(&response) == KeyStatus::InUse;
                        self.handle_next_key_check(accepted, out);
                    }
                    Ok(response) if response.status >= 300 => {
                        let problem = wire::problem(&response.body);
                        let retry_after = response.retry_after.map(|s| s.saturating_mul(SECOND));
                        let text = format!("status {}: {}", response.status, problem.summary());
                        let failure = Failure {
                            retry_after,
                            ..failure(setup_failure_cause(&problem, response.status), &text)
                        };
                        self.setup_failed(clocks, task, &failure, out);
                    }
                    Ok(response) if step == Setup::Directory => {
                        self.handle_directory(clocks, task, &response, out)
                    }
                    Ok(response) => self.handle_registration(clocks, task, response, out),
                }
            }
            TaskKind::Revoke { operator, id } => {
                let (operator, id) = (*operator, id.clone());
                self.tasks.remove(&task);
                self.handle_revocation(clocks, operator, &id, response, out);
            }
            TaskKind::KeyRollover { operator, new } => {
                let (operator, new) = (*operator, new.clone());
                self.tasks.remove(&task);
                self.handle_key_rollover(operator, new, response, out);
            }
            TaskKind::Reread(_) => {}
        }
    }

    /// Fails a task because a request or another operation failed without a response.
    pub(super) fn request_failed(
        &mut self,
        clocks: Clocks,
        task: u64,
        error: &str,
        out: &mut Vec<Action>,
    ) {
        self.task_failed(clocks, task, failure(Cause::Unreachable, error), out);
    }

    pub(super) fn task_failed(
        &mut self,
        clocks: Clocks,
        task: u64,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        match self.tasks.get(&task).map(|t| &t.kind) {
            Some(TaskKind::Order { .. }) => {
                let input = match failure.cause {
                    Cause::Unreachable => Input::NoResponse(failure.text),
                    _ => Input::NotSent(failure.text),
                };
                self.step_order(clocks, task, input, out);
                if let Some(retry_after) = failure.retry_after {
                    self.planner
                        .pause(clocks, Cause::Unreachable, Some(retry_after));
                }
            }
            Some(TaskKind::Setup(_)) => self.setup_failed(clocks, task, &failure, out),
            Some(TaskKind::RenewalInfo(id)) => {
                let id = id.clone();
                self.tasks.remove(&task);
                self.handle_renewal_info(clocks, &id, Err(failure.text), out);
            }
            Some(TaskKind::Revoke { operator, .. } | TaskKind::KeyRollover { operator, .. }) => {
                let operator = *operator;
                self.tasks.remove(&task);
                out.push(Action::Reply(operator, Err(failure.text)));
            }
            _ => {}
        }
    }

    /// Parses a URL and checks that it is on the host and port of the configured authority.
    pub(super) fn authority_url(&self, url: &str) -> Result<Url, String> {
        let parse =
            |text: &str| Url::parse(text).map_err(|e| format!("{e}: {}", sanitize(text, 100)));
        let directory_url = self.settings.as_ref().map_or("", |s| &s.directory_url);
        let found = parse(url)?;
        if !found.same_host_and_port(&parse(directory_url)?) {
            return Err(format!(
                "URL is not on the host and port of the configured authority: {}",
                sanitize(url, 100)
            ));
        }
        Ok(found)
    }

    pub(super) fn get(&mut self, clocks: Clocks, task: u64, url: &str, out: &mut Vec<Action>) {
        match self.authority_url(url) {
            Ok(url) => out.push(Action::Request(
                task,
                Request {
                    method: Method::Get,
                    url,
                    sign: None,
                },
            )),
            Err(error) => self.task_failed(clocks, task, failure(Cause::Unreachable, &error), out),
        }
    }

    pub(super) fn post(
        &mut self,
        clocks: Clocks,
        task: u64,
        url: &str,
        payload: Payload,
        signer: Signer,
        out: &mut Vec<Action>,
    ) {
        match self.authority_url(url) {
            Ok(parsed) => {
                let post = Post {
                    url: parsed,
                    text: url.into(),
                    payload,
                    signer,
                    tries: 0,
                };
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.post = Some(post.clone()));
                self.send(clocks, task, out);
            }
            Err(error) => self.task_failed(clocks, task, failure(Cause::BadResponse, &error), out),
        }
    }

    /// Sends the request of a task, or requests a nonce first if none is left.
    pub(super) fn send(&mut self, clocks: Clocks, task: u64, out: &mut Vec<Action>) {
        let Some((key, (directory, _))) = self.key.clone().zip(self.directory.as_ref()) else {
            return self.task_failed(
                clocks,
                task,
                failure(
                    Cause::AccountUnknown,
                    "no account key or directory is loaded",
                ),
                out,
            );
        };
        let Some(nonce) = self.nonces.pop() else {
            let url = self.authority_url(&directory.new_nonce);
            return match url {
                Ok(url) => {
                    self.tasks
                        .get_mut(&task)
                        .into_iter()
                        .for_each(|t| t.awaits_nonce = true);
                    out.push(Action::Request(
                        task,
                        Request {
                            method: Method::Head,
                            url,
                            sign: None,
                        },
                    ));
                }
                Err(error) => {
                    self.task_failed(clocks, task, failure(Cause::BadResponse, &error), out)
                }
            };
        };
        let account = self.account.as_ref().and_then(|a| a.url.clone());
        let Some(post) = self.tasks.get(&task).and_then(|t| t.post.clone()) else {
            return;
        };
        let (key, account) = match post.signer {
            Signer::Account => (key, account),
            Signer::Key(key) => (key, None),
        };
        let sign = Sign {
            key,
            account,
            nonce,
            url: post.text,
            payload: post.payload,
        };
        out.push(Action::Request(
            task,
            Request {
                method: Method::Post,
                url: post.url,
                sign: Some(sign),
            },
        ));
    }
}

/// What a response to the request for the existing account of a key says about the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyStatus {
    /// An account has the key.
    InUse,
    /// No account has the key.
    NotInUse,
    /// The response does not tell. The check has to be repeated, since a discarded key that is in use makes the account unusable.
    Unknown,
}

fn key_status(response: &Response) -> KeyStatus {
    let no_account = || wire::problem(&response.body).acme_type() == "accountDoesNotExist";
    match response.status {
        200..=299 => KeyStatus::InUse,
        400..=499 if no_account() => KeyStatus::NotInUse,
        _ => KeyStatus::Unknown,
    }
}
