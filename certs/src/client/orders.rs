//! Orders in progress, and the certificates that are served.
use super::tasks::{Signer, Task, TaskKind};
use super::{log_entry, Client};
use crate::disk::FileUpdate;
use crate::error::Failure;
use crate::identity::Identity;
use crate::messages::{Action, Challenge, KeyRequest, Level, Payload};
use crate::order::{ChallengeType, Input, Order, Output};
use crate::planner::PlannedOrder;
use crate::renewal::Validity;
use crate::retry::Cause;
use crate::Clocks;

impl Client {
    /// Starts an order, or resumes a stored one.
    pub(super) fn begin_order(
        &mut self,
        clocks: Clocks,
        planned: PlannedOrder,
        out: &mut Vec<Action>,
    ) {
        let Some(settings) = self.settings.clone() else {
            return;
        };
        let Some((directory, key)) = self.directory.clone().zip(self.key.clone()) else {
            return;
        };
        let (id, thumbprint) = (planned.id, key.thumbprint());
        let pending = self.pending.get(&id).cloned();
        let (order, pem) = match pending {
            Some(pending) => (
                Order::resumed(clocks, &pending, settings.challenge_type, thumbprint),
                Some(pending.key.clone()),
            ),
            None => {
                let old = self.served.get(&id).and_then(|all| all.first());
                let replaces = old.and_then(|i| i.renewal_id.clone());
                let replaces = replaces.filter(|_| directory.0.renewal_info.is_some());
                let new_order = directory.0.new_order.clone();
                (
                    Order::new(
                        clocks,
                        planned.names,
                        settings.challenge_type,
                        thumbprint,
                        new_order,
                        replaces,
                    ),
                    None,
                )
            }
        };
        let names = order.names.clone();
        let state = if pem.is_some() {
            "order resumed"
        } else {
            "order started"
        };
        out.push(log_entry(
            Level::Info,
            "order",
            &id,
            &format!("{state} for {}", names.join(" ")),
        ));
        let task = self.add_task(TaskKind::Order {
            id,
            order: Box::new(order),
        });
        out.push(Action::GenerateKey(task, KeyRequest::Order(names, pem)));
    }

    /// Passes an input to an order and performs its output.
    pub(super) fn step_order(
        &mut self,
        clocks: Clocks,
        task: u64,
        input: Input,
        out: &mut Vec<Action>,
    ) {
        let Some(Task {
            kind: TaskKind::Order { id, order },
            ..
        }) = self.tasks.get_mut(&task)
        else {
            return;
        };
        let id = id.clone();
        match order.step(clocks, input) {
            Output::GenerateKey(names) => {
                out.push(Action::GenerateKey(task, KeyRequest::Order(names, None)))
            }
            Output::Post(url, payload) => {
                self.post(
                    clocks,
                    task,
                    &url,
                    Payload::Text(payload),
                    Signer::Account,
                    out,
                );
            }
            Output::Publish(name, token, authorization) => {
                let kind = self
                    .settings
                    .as_ref()
                    .map_or(ChallengeType::Http, |s| s.challenge_type);
                let challenge = Challenge {
                    kind,
                    name,
                    token,
                    authorization,
                };
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.published.push(challenge.clone()));
                out.push(Action::Publish(task, challenge));
            }
            Output::Save(pending) => {
                self.pending.insert(id.clone(), pending.clone());
                let update = FileUpdate::PendingOrder(id, pending);
                self.pending_writes.supersede(&update);
                out.push(Action::Save(task, update));
            }
            Output::Wait(until) => {
                self.tasks
                    .get_mut(&task)
                    .into_iter()
                    .for_each(|t| t.wake = Some(until));
            }
            Output::Done(identity) => {
                self.end_task(task, out);
                self.pending.remove(&id);
                let until = identity.not_after;
                out.push(log_entry(
                    Level::Info,
                    "issued",
                    &id,
                    &format!(
                        "issued with serial {}, valid until {until} (Unix time)",
                        identity.serial
                    ),
                ));
                self.save(
                    FileUpdate::Identity(id.clone(), (*identity).clone()),
                    None,
                    out,
                );
                self.install(clocks, &id, *identity, true, out);
                self.save_state(out);
            }
            Output::Failed(failure) => {
                self.end_task(task, out);
                if !failure.resumable && self.pending.remove(&id).is_some() {
                    self.save(FileUpdate::RemoveOrder(id.clone()), None, out);
                }
                self.order_failed(clocks, &id, &failure, out);
            }
        }
    }

    pub(super) fn order_failed(
        &mut self,
        clocks: Clocks,
        id: &str,
        failure: &Failure,
        out: &mut Vec<Action>,
    ) {
        if failure.cause == Cause::AccountUnknown {
            self.reset_account();
        }
        self.planner.failed(clocks, id, failure);
        out.push(log_entry(
            Level::Warn,
            failure.cause.as_str(),
            id,
            &format!("order failed: {}; it will be retried", failure.text),
        ));
        self.save_state(out);
    }

    /// Forgets the account URL because the account no longer exists at the authority. It is registered again with the same
    /// key.
    pub(super) fn reset_account(&mut self) {
        if let Some(account) = &mut self.account {
            account.url = None;
        }
        // The orders belong to the old account.
        self.pending.clear();
    }

    /// Serves a new or stored certificate.
    pub(super) fn install(
        &mut self,
        clocks: Clocks,
        id: &str,
        identity: Identity,
        ordered: bool,
        out: &mut Vec<Action>,
    ) {
        let validity = Validity {
            not_before: identity.not_before,
            not_after: identity.not_after,
        };
        let names = identity.names.clone();
        if ordered {
            self.planner.succeeded(clocks, id, validity, &names);
        } else {
            self.planner.set_certificate(clocks, id, validity, &names);
        }
        if identity.renewal_id.is_some() {
            self.renewal_info_queue.retain(|(_, i)| i != id);
            self.renewal_info_queue.insert((clocks.now, id.into()));
        }
        let wanted = self
            .planner
            .names(id)
            .map(<[String]>::to_vec)
            .unwrap_or_default();
        let all = self.served.entry(id.into()).or_default();
        // An older identity is kept if it covers wanted names that the new one does not cover.
        let lacks: Vec<_> = wanted.iter().filter(|n| !identity.covers(n)).collect();
        all.retain(|old| {
            old.content_hash() != identity.content_hash() && lacks.iter().any(|n| old.covers(n))
        });
        all.truncate(1);
        all.insert(0, identity);
        out.push(Action::Serve(id.into(), all.clone(), false));
    }

    /// Uses the certificate from the shared folder if it is newer and complete; otherwise starts the planned order.
    pub(super) fn handle_reread(
        &mut self,
        clocks: Clocks,
        task: u64,
        found: Option<Box<Identity>>,
        out: &mut Vec<Action>,
    ) {
        let Some(Task {
            kind: TaskKind::Reread(planned),
            ..
        }) = self.tasks.remove(&task)
        else {
            return;
        };
        let current = self.served.get(&planned.id).and_then(|all| all.first());
        let newer = found.filter(|i| {
            let later = current.is_none_or(|c| i.not_after > c.not_after);
            later && i.not_after > clocks.wall && planned.names.iter().all(|n| i.covers(n))
        });
        match newer {
            Some(identity) => {
                out.push(log_entry(
                    Level::Info,
                    "found",
                    &planned.id,
                    "renewed by another front; loaded from the shared folder",
                ));
                self.install(clocks, &planned.id.clone(), *identity, true, out);
            }
            None => self.begin_order(clocks, planned, out),
        }
    }
}
