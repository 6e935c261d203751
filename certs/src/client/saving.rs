//! Writes to the folder, and the operations that wait for them.
use super::tasks::{Setup, Signer, TaskKind};
use super::{log_entry, Client};
use crate::disk::{FileUpdate, State};
use crate::messages::{Action, Level, Payload};
use crate::order::Input;
use crate::pending_writes::{PendingReply, WriteEnd};
use crate::{Clocks, Timestamp};

impl Client {
    /// Handles the result of a write or of publishing a challenge response.
    pub(super) fn handle_done(
        &mut self,
        clocks: Clocks,
        task: u64,
        done: Result<(), String>,
        out: &mut Vec<Action>,
    ) {
        if let Some(end) = self.pending_writes.ended(clocks.now, task, done.is_ok()) {
            return self.handle_write_end(end, done, out);
        }
        if let Err(error) = &done {
            // A challenge that could not be published is logged with the failure of its order.
            let publishing = self
                .tasks
                .get(&task)
                .is_some_and(|t| !t.published.is_empty());
            if !publishing {
                let text = format!("cannot save: {error}");
                out.push(log_entry(Level::Warn, "not-kept", "", &text));
            }
        }
        match self.tasks.get_mut(&task).map(|t| &mut t.kind) {
            Some(TaskKind::Setup(step)) => {
                *step = Setup::Register;
                self.post_account(clocks, task, out);
            }
            Some(TaskKind::KeyRollover { new, .. }) => {
                let url = self
                    .directory
                    .as_ref()
                    .and_then(|(d, _)| d.key_change.clone());
                let account = self.account.as_ref().and_then(|a| a.url.clone());
                match (new.clone(), url, account, done) {
                    (Some(new), Some(url), Some(account), Ok(())) => {
                        self.post(
                            clocks,
                            task,
                            &url,
                            Payload::KeyChange { account, new },
                            Signer::Account,
                            out,
                        );
                    }
                    (.., Err(error)) => self.request_failed(
                        clocks,
                        task,
                        &format!("account key not changed: the new key cannot be saved: {error}"),
                        out,
                    ),
                    _ => self.request_failed(
                        clocks,
                        task,
                        "account key not changed: the authority does not support it",
                        out,
                    ),
                }
            }
            Some(TaskKind::Order { .. }) => self.step_order(clocks, task, Input::Done(done), out),
            _ => {}
        }
    }

    /// Removes a task and withdraws its published challenge responses.
    pub(super) fn end_task(&mut self, task: u64, out: &mut Vec<Action>) {
        if let Some(task) = self.tasks.remove(&task) {
            out.extend(task.published.into_iter().map(Action::Withdraw));
        }
    }

    /// Writes in the background and retries until the write is durable. The reply is sent after the first attempt.
    pub(super) fn save(
        &mut self,
        update: FileUpdate,
        reply: Option<PendingReply>,
        out: &mut Vec<Action>,
    ) {
        self.last_task += 1;
        if let Some(PendingReply { operator, .. }) =
            self.pending_writes
                .begin(self.last_task, update.clone(), reply)
        {
            out.push(Action::Reply(
                operator,
                Err("the write was replaced by a newer one of the same file".into()),
            ));
        }
        out.push(Action::Save(self.last_task, update));
    }

    /// Retries the failed writes that are due.
    pub(super) fn retry_writes(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let (pending, last) = (&self.pending, &mut self.last_task);
        // Saving a certificate removes the stored order, which must not hit a newer order in progress.
        let is_blocked = |update: &FileUpdate| matches!(update, FileUpdate::Identity(id, _) if pending.contains_key(id));
        let next_task = || {
            *last += 1;
            *last
        };
        let retries = self.pending_writes.retries(now, is_blocked, next_task);
        out.extend(
            retries
                .into_iter()
                .map(|(task, update)| Action::Save(task, update)),
        );
    }

    /// Handles the end of a background write. Only the first of several failures is logged.
    pub(super) fn handle_write_end(
        &mut self,
        end: WriteEnd,
        done: Result<(), String>,
        out: &mut Vec<Action>,
    ) {
        if let (Err(error), 1) = (&done, end.failures) {
            let text = format!("cannot save: {error}; the write is retried until it succeeds");
            out.push(log_entry(Level::Warn, "not-kept", "", &text));
        }
        if let Some(PendingReply { operator, text }) = end.reply {
            let response = match done {
                Ok(()) => Ok(text),
                Err(error) => Err(format!(
                    "{text}, but could not be saved yet: {error}; the write is retried"
                )),
            };
            out.push(Action::Reply(operator, response));
        }
    }

    /// Saves the state of the planner if it has changed.
    pub(super) fn save_state(&mut self, out: &mut Vec<Action>) {
        let (orders, refused) = self.planner.saved_state();
        let state = State { orders, refused };
        if state != self.saved {
            self.saved = state.clone();
            self.save(FileUpdate::State(state), None, out);
        }
    }
}
