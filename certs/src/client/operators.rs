//! Operator commands: import, revocation and account key rollover.
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
    /// Returns the error for a certificate id that is not configured.
    pub(super) fn unknown_certificate(&self, id: &str) -> String {
        match &self.settings {
            None => "no authority is configured".into(),
            Some(_) => format!(
                "no certificate with the name {} is configured",
                sanitize(id, 100)
            ),
        }
    }

    /// Returns the number of operator commands that wait for the authority.
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
            let error = format!(
                "import rejected: none of the names ({}) is the first name of a configured certificate",
                identity.names.join(" ")
            );
            return out.push(Action::Reply(operator, Err(sanitize(&error, 500))));
        };
        if identity.not_after < clocks.wall {
            let error = format!(
                "import rejected: the certificate expired at {} (Unix time)",
                identity.not_after
            );
            return out.push(Action::Reply(operator, Err(error)));
        }
        out.push(log_entry(
            Level::Info,
            "imported",
            &id,
            &format!("serial {}", identity.serial),
        ));
        let text = format!(
            "{id}: certificate with serial {} imported and served",
            identity.serial
        );
        let update = FileUpdate::Identity(id.clone(), identity.clone());
        // The operator may delete the imported files after the reply, so the reply waits for the write.
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
        let error = match (known, revoke_url.is_some() && account) {
            (false, _) => format!(
                "{} not revoked: no certificate with this name is served",
                sanitize(id, 100)
            ),
            (_, false) => format!("{id} not revoked: the authority was not reached yet or does not support revocation"),
            _ if self.operator_tasks() >= MAX_OPERATOR_TASKS => {
                format!("{id} not revoked: {MAX_OPERATOR_TASKS} commands are in progress already")
            },
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
        out.push(Action::Reply(operator, Err(error)));
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
                Ok(format!("{id} revoked; a new certificate is being ordered"))
            }
            Ok(response) => {
                let problem = wire::problem(&response.body);
                match problem.acme_type() {
                    "alreadyRevoked" => Ok(format!(
                        "{id} was already revoked; a new certificate is being ordered"
                    )),
                    _ => Err(format!(
                        "{id} not revoked: status {}: {}",
                        response.status,
                        problem.summary()
                    )),
                }
            }
            Err(error) => Err(format!("{id} not revoked: {error}")),
        };
        if done.is_ok() {
            out.push(log_entry(
                Level::Warn,
                "revoked",
                id,
                "revoked by an operator; a new certificate is being ordered",
            ));
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
            Ok(response) if response.status < 300 => Ok("account key changed".to_string()),
            Ok(response) => Err(format!(
                "account key not changed: status {}: {}",
                response.status,
                wire::problem(&response.body).summary()
            )),
            // The request may have been received, so both keys are kept until the authority tells which one is in use.
            Err(error) => Err(format!(
                "account key change unconfirmed: {error}; both keys are kept and checked before the next order"
            )),
        };
        if let (Ok(_), Some((new, account))) = (&done, new.zip(self.account.as_mut())) {
            (account.key, account.next_key) = (new.pem().into(), None);
            self.key = Some(new);
            let account = account.clone();
            self.save(FileUpdate::Account(account), None, out);
            out.push(log_entry(Level::Info, "account", "", "account key changed"));
        }
        out.push(Action::Reply(operator, done));
    }
}
