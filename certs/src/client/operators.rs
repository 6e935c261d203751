//! Operators' commands: import, revoke, change of the account's key.
use super::tasks::{By, Kind};
use super::{tell, Client, ASKED_MOST};
use crate::disk::FileUpdate;
use crate::http::Response;
use crate::identity::Identity;
use crate::jose::{base64url, AccountKey};
use crate::messages::{Action, Level, Payload};
use crate::unsaved::Waiting;
use crate::wire::{self};
use crate::{tame, Clocks};
use serde_json::json;
use std::sync::Arc;

impl Client {
    pub(super) fn unknown(&self, id: &str) -> String {
        match &self.settings {
            None => "no authority is configured".into(),
            Some(_) => format!("no certificate is configured as {}", tame(id, 100)),
        }
    }

    pub(super) fn asked(&self) -> usize {
        self.tasks
            .values()
            .filter(|t| matches!(t.kind, Kind::Revoke { .. } | Kind::Roll { .. }))
            .count()
    }

    pub(super) fn import(
        &mut self,
        clocks: Clocks,
        operator: u64,
        identity: Identity,
        out: &mut Vec<Action>,
    ) {
        let ids: Vec<String> = self.planner.ids().cloned().collect();
        let Some(id) = ids.into_iter().find(|id| identity.covers(id)) else {
            let why = format!(
                "none of its names ({}) is configured first in a certificate",
                identity.names.join(" ")
            );
            return out.push(Action::Reply(operator, Err(tame(&why, 500))));
        };
        if identity.not_after < clocks.wall {
            return out.push(Action::Reply(operator, Err("it has expired".into())));
        }
        out.push(tell(
            Level::Info,
            "imported",
            &id,
            &format!("serial {}", identity.serial),
        ));
        let text = format!("{id} is served with serial {}", identity.serial);
        let keep = FileUpdate::Identity(id.clone(), identity.clone());
        // The operator may throw the files away that were imported: the answer waits for the disk.
        self.save(keep, Some(Waiting { operator, text }), out);
        self.take(clocks, &id, identity, false, out);
    }

    pub(super) fn revoke(
        &mut self,
        clocks: Clocks,
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
                return self.post(clocks, task, &url, Payload::Text(payload), By::Account, out);
            }
        };
        out.push(Action::Reply(operator, Err(why)));
    }

    pub(super) fn revoked(
        &mut self,
        clocks: Clocks,
        operator: u64,
        id: &str,
        answer: Result<Response, String>,
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
            out.push(tell(Level::Warn, "revoked", id, "by an operator"));
            self.planner.force(clocks, id);
            let all = self.served.get(id).cloned().unwrap_or_default();
            out.push(Action::Serve(id.into(), all, true));
        }
        out.push(Action::Reply(operator, done));
    }

    pub(super) fn rolled(
        &mut self,
        operator: u64,
        new: Option<Arc<AccountKey>>,
        answer: Result<Response, String>,
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
            self.save(FileUpdate::Account(account), None, out);
            out.push(tell(Level::Info, "account", "", "it has a new key"));
        }
        out.push(Action::Reply(operator, done));
    }
}
