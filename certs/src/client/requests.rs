//! Requests to the authority: one at a time for each task, with nonces, to the configured authority alone.
use super::tasks::{By, Kind, Post, Setup, Task};
use super::{common, fail, tell, Client, NONCES_MOST, NONCE_MOST, NONCE_TRIES, SKEW_MOST};
use crate::error::Failure;
use crate::http::{Method, Response};
use crate::messages::{Action, Level, Payload, Request, Sign};
use crate::order::Input;
use crate::retry::Cause;
use crate::url::Url;
use crate::wire::{self};
use crate::{tame, Clocks, SECOND};

impl Client {
    pub(super) fn answered(
        &mut self,
        clocks: Clocks,
        task: u64,
        answer: Result<Response, String>,
        out: &mut Vec<Action>,
    ) {
        let Some(current) = self.tasks.get_mut(&task) else {
            return;
        };
        let nonce_only = std::mem::take(&mut current.nonce);
        if let Ok(answer) = &answer {
            if let Some(date) = answer.date {
                let skew = date as i64 - clocks.wall as i64;
                let known = self.skew.replace(skew);
                let off = |s: i64| s.unsigned_abs() > SKEW_MOST;
                if off(skew) && !known.is_some_and(off) {
                    let text = format!("the authority's clock is {skew} s ahead of this machine's");
                    out.push(tell(Level::Warn, "clock", "", &text));
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
                    return self.task_failed(clocks, task, failure, out);
                }
                return self.send(clocks, task, out);
            }
            if refused {
                let post = self.tasks.get_mut(&task).and_then(|t| t.post.as_mut());
                if let Some(post) = post.filter(|p| p.tries < NONCE_TRIES) {
                    post.tries += 1;
                    return self.send(clocks, task, out);
                }
            }
        } else if nonce_only {
            let why = answer.err().unwrap_or_default();
            return self.lost(clocks, task, &why, out);
        }
        let Some(Task { kind, post, .. }) = self.tasks.get_mut(&task) else {
            return;
        };
        *post = None;
        match kind {
            Kind::Order { .. } => {
                let input = match answer {
                    Ok(answer) => Input::Response(answer),
                    Err(why) => Input::Lost(why),
                };
                self.order(clocks, task, input, out);
            }
            Kind::Info(id) => {
                let id = id.clone();
                self.tasks.remove(&task);
                self.info_told(clocks, &id, answer, out);
            }
            Kind::Setup(step) => {
                let step = *step;
                match answer {
                    Err(why) => self.lost(clocks, task, &why, out),
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
                        self.setup_failed(clocks, task, &failure, out);
                    }
                    Ok(answer) if step == Setup::Directory => {
                        self.directory_told(clocks, task, &answer, out)
                    }
                    Ok(answer) => self.account_told(clocks, task, answer, out),
                }
            }
            Kind::Revoke { operator, id } => {
                let (operator, id) = (*operator, id.clone());
                self.tasks.remove(&task);
                self.revoked(clocks, operator, &id, answer, out);
            }
            Kind::Roll { operator, new } => {
                let (operator, new) = (*operator, new.clone());
                self.tasks.remove(&task);
                self.rolled(operator, new, answer, out);
            }
            Kind::Reread(_) => {}
        }
    }

    /// Something that a task needed did not come about.
    pub(super) fn lost(&mut self, clocks: Clocks, task: u64, why: &str, out: &mut Vec<Action>) {
        self.task_failed(clocks, task, fail(Cause::Unreachable, why), out);
    }

    pub(super) fn task_failed(
        &mut self,
        clocks: Clocks,
        task: u64,
        failure: Failure,
        out: &mut Vec<Action>,
    ) {
        match self.tasks.get(&task).map(|t| &t.kind) {
            Some(Kind::Order { .. }) => {
                let input = match failure.cause {
                    Cause::Unreachable => Input::Lost(failure.text),
                    _ => Input::Barred(failure.text),
                };
                self.order(clocks, task, input, out);
                if let Some(told) = failure.told {
                    self.planner.away(clocks, Cause::Unreachable, Some(told));
                }
            }
            Some(Kind::Setup(_)) => self.setup_failed(clocks, task, &failure, out),
            Some(Kind::Info(id)) => {
                let id = id.clone();
                self.tasks.remove(&task);
                self.info_told(clocks, &id, Err(failure.text), out);
            }
            Some(Kind::Revoke { operator, .. } | Kind::Roll { operator, .. }) => {
                let operator = *operator;
                self.tasks.remove(&task);
                out.push(Action::Reply(operator, Err(failure.text)));
            }
            _ => {}
        }
    }

    /// A URL of the authority; all else is refused.
    pub(super) fn place(&self, url: &str) -> Result<Url, String> {
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

    pub(super) fn get(&mut self, clocks: Clocks, task: u64, url: &str, out: &mut Vec<Action>) {
        match self.place(url) {
            Ok(url) => out.push(Action::Request(
                task,
                Request {
                    method: Method::Get,
                    url,
                    sign: None,
                },
            )),
            Err(why) => self.task_failed(clocks, task, fail(Cause::Unreachable, &why), out),
        }
    }

    pub(super) fn post(
        &mut self,
        clocks: Clocks,
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
                self.send(clocks, task, out);
            }
            Err(why) => self.task_failed(clocks, task, fail(Cause::Broken, &why), out),
        }
    }

    /// Sends the request of a task, or asks for a nonce first.
    pub(super) fn send(&mut self, clocks: Clocks, task: u64, out: &mut Vec<Action>) {
        let Some((key, (directory, _))) = self.key.clone().zip(self.directory.as_ref()) else {
            return self.task_failed(clocks, task, fail(Cause::Unknown, "no account"), out);
        };
        let Some(nonce) = self.nonces.pop() else {
            let place = self.place(&directory.new_nonce);
            return match place {
                Ok(url) => {
                    self.tasks
                        .get_mut(&task)
                        .into_iter()
                        .for_each(|t| t.nonce = true);
                    out.push(Action::Request(
                        task,
                        Request {
                            method: Method::Head,
                            url,
                            sign: None,
                        },
                    ));
                }
                Err(why) => self.task_failed(clocks, task, fail(Cause::Broken, &why), out),
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
