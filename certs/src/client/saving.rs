//! What is kept on disk, and what waits for that.
use super::tasks::{Setup, Signer, TaskKind};
use super::{log_entry, Client};
use crate::disk::{FileUpdate, State};
use crate::messages::{Action, Level, Payload};
use crate::order::Input;
use crate::pending_writes::{PendingReply, WriteEnd};
use crate::{Clocks, Timestamp};

impl Client {
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
        if let Err(why) = &done {
            // Published challenges that fail are told with their order.
            let publishing = self
                .tasks
                .get(&task)
                .is_some_and(|t| !t.published.is_empty());
            if !publishing {
                out.push(log_entry(Level::Warn, "not-kept", "", why));
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
                    (.., Err(why)) => self.request_failed(
                        clocks,
                        task,
                        &format!("the new key can't be kept: {why}"),
                        out,
                    ),
                    _ => self.request_failed(clocks, task, "the authority changes no keys", out),
                }
            }
            Some(TaskKind::Order { .. }) => self.step_order(clocks, task, Input::Done(done), out),
            _ => {}
        }
    }

    /// Ends a task: what it showed is shown no longer.
    pub(super) fn end_task(&mut self, task: u64, out: &mut Vec<Action>) {
        if let Some(task) = self.tasks.remove(&task) {
            out.extend(task.published.into_iter().map(Action::Withdraw));
        }
    }

    /// Keeps something in the background, and again until it is durable.
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
                Err("something newer has taken its place".into()),
            ));
        }
        out.push(Action::Save(self.last_task, update));
    }

    /// Writes what could not be kept again where that is due.
    pub(super) fn retry_writes(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let (pending, last) = (&self.pending, &mut self.last_task);
        // A certificate ends the order of its name on disk: not one that was begun since.
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

    /// A write in the background has ended.
    pub(super) fn handle_write_end(
        &mut self,
        end: WriteEnd,
        done: Result<(), String>,
        out: &mut Vec<Action>,
    ) {
        if let (Err(why), 1) = (&done, end.failures) {
            out.push(log_entry(Level::Warn, "not-kept", "", why));
        }
        if let Some(PendingReply { operator, text }) = end.reply {
            let response = match done {
                Ok(()) => Ok(text),
                Err(why) => Err(format!(
                    "{text}, and could not be kept yet: {why}; it is tried again"
                )),
            };
            out.push(Action::Reply(operator, response));
        }
    }

    pub(super) fn save_state(&mut self, out: &mut Vec<Action>) {
        let (orders, refused) = self.planner.saved_state();
        let state = State { orders, refused };
        if state != self.saved {
            self.saved = state.clone();
            self.save(FileUpdate::State(state), None, out);
        }
    }
}
