//! Operators' commands: import, revoke, change of the account's key.
use super::tasks::{Signer, TaskKind};
use super::{log_entry, Client, MAX_OPERATOR_TASKS};
use crate::disk::FileUpdate;
use crate::http::Response;
use crate::identity::Identity;
use crate::jose::{base64url, AccountKey};
use crate::messages::{Action, Level, Payload};
use crate::pending_writes::PendingReply;
use crate::wire;
use crate::{sanitize, Clocks};
use serde_json::json;
use std::sync::Arc;

impl Client {
    pub(super) fn unknown_certificate(&self, id: &str) -> String {
        match &self.settings {
            None => "no authority is configured".into(),
            Some(_) => format!("no certificate is configured as {}", sanitize(id, 100)),
        }
    }

    pub(super) fn operator_tasks(&self) -> usize {
        self.tasks
            .values()
            .filter(|t| {
                matches!(
                    t.kind,
                    TaskKind::Revoke { .. } | TaskKind::KeyRollover { .. }
                )
            })
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
            return out.push(Action::Reply(operator, Err(sanitize(&why, 500))));
        };
        if identity.not_after < clocks.wall {
            return out.push(Action::Reply(operator, Err("it has expired".into())));
        }
        out.push(log_entry(
            Level::Info,
            "imported",
            &id,
            &format!("serial {}", identity.serial),
        ));
        let text = format!("{id} is served with serial {}", identity.serial);
        let update = FileUpdate::Identity(id.clone(), identity.clone());
        // The operator may throw the files away that were imported: the answer waits for the disk.
        self.save(update, Some(PendingReply { operator, text }), out);
        self.install(clocks, &id, identity, false, out);
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
        let revoke_url = self
            .directory
            .as_ref()
            .and_then(|(d, _)| d.revoke_cert.clone());
        let account = self.account.as_ref().is_some_and(|a| a.url.is_some());
        let why = match (known, revoke_url.is_some() && account) {
            (false, _) => self.unknown_certificate(id),
            (_, false) => "the authority was not reached yet, or does not revoke".into(),
            _ if self.operator_tasks() >= MAX_OPERATOR_TASKS => "too much is under way".into(),
            _ => {
                let task = self.add_task(TaskKind::Revoke {
                    operator,
                    id: id.into(),
                });
                let leaf = self.served[id][0].leaf();
                let payload = json!({"certificate": base64url(leaf), "reason": reason}).to_string();
                let url = revoke_url.unwrap_or_default();
                return self.post(
                    clocks,
                    task,
                    &url,
                    Payload::Text(payload),
                    Signer::Account,
                    out,
                );
            }
        };
        out.push(Action::Reply(operator, Err(why)));
    }

    pub(super) fn handle_revocation(
        &mut self,
        clocks: Clocks,
        operator: u64,
        id: &str,
        response: Result<Response, String>,
        out: &mut Vec<Action>,
    ) {
        let done = match response {
            Ok(response) if response.status < 300 => {
                Ok("revoked; another is ordered now".to_string())
            }
            Ok(response) => {
                let problem = wire::problem(&response.body);
                match problem.acme_type() {
                    "alreadyRevoked" => Ok("it was revoked already; another is ordered now".into()),
                    _ => Err(format!("{} {}", response.status, problem.summary())),
                }
            }
            Err(why) => Err(why),
        };
        if done.is_ok() {
            out.push(log_entry(Level::Warn, "revoked", id, "by an operator"));
            self.planner.force_renewal(clocks, id);
            let all = self.served.get(id).cloned().unwrap_or_default();
            out.push(Action::Serve(id.into(), all, true));
        }
        out.push(Action::Reply(operator, done));
    }

    pub(super) fn handle_key_rollover(
        &mut self,
        operator: u64,
        new: Option<Arc<AccountKey>>,
        response: Result<Response, String>,
        out: &mut Vec<Action>,
    ) {
        let done = match response {
            Ok(response) if response.status < 300 => Ok("the account has a new key".to_string()),
            Ok(response) => Err(format!(
                "{} {}",
                response.status,
                wire::problem(&response.body).summary()
            )),
            // It may have been taken: the new key stays beside the old one, and is tried once that is not known.
            Err(why) => Err(format!("{why}; the new key is kept beside the old one")),
        };
        if let (Ok(_), Some((new, account))) = (&done, new.zip(self.account.as_mut())) {
            (account.key, account.next_key) = (new.pem().into(), None);
            self.key = Some(new);
            let account = account.clone();
            self.save(FileUpdate::Account(account), None, out);
            out.push(log_entry(Level::Info, "account", "", "it has a new key"));
        }
        out.push(Action::Reply(operator, done));
    }
}
