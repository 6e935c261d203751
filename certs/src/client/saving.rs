//! What is kept on disk, and what waits for that.
use super::tasks::{By, Kind, Setup};
use super::{tell, Client};
use crate::disk::{FileUpdate, State};
use crate::messages::{Action, Level, Payload};
use crate::order::Input;
use crate::unsaved::{Ended, Waiting};
use crate::{Clocks, Timestamp};

impl Client {
    pub(super) fn done(
        &mut self,
        clocks: Clocks,
        task: u64,
        done: Result<(), String>,
        out: &mut Vec<Action>,
    ) {
        if let Some(ended) = self.unsaved.ended(clocks.now, task, done.is_ok()) {
            return self.write_ended(ended, done, out);
        }
        if let Err(why) = &done {
            // Published challenges that fail are told with their order.
            let publishing = self.tasks.get(&task).is_some_and(|t| !t.shown.is_empty());
            if !publishing {
                out.push(tell(Level::Warn, "not-kept", "", why));
            }
        }
        match self.tasks.get_mut(&task).map(|t| &mut t.kind) {
            Some(Kind::Setup(step)) => {
                *step = Setup::Account;
                self.post_account(clocks, task, out);
            }
            Some(Kind::Roll { new, .. }) => {
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
                            By::Account,
                            out,
                        );
                    }
                    (.., Err(why)) => self.lost(
                        clocks,
                        task,
                        &format!("the new key can't be kept: {why}"),
                        out,
                    ),
                    _ => self.lost(clocks, task, "the authority changes no keys", out),
                }
            }
            Some(Kind::Order { .. }) => self.order(clocks, task, Input::Done(done), out),
            _ => {}
        }
    }

    /// Ends a task: what it showed is shown no longer.
    pub(super) fn end(&mut self, task: u64, out: &mut Vec<Action>) {
        if let Some(task) = self.tasks.remove(&task) {
            out.extend(task.shown.into_iter().map(Action::Withdraw));
        }
    }

    /// Keeps something in the background, and again until it is durable.
    pub(super) fn save(
        &mut self,
        what: FileUpdate,
        waiting: Option<Waiting>,
        out: &mut Vec<Action>,
    ) {
        self.last += 1;
        if let Some(Waiting { operator, .. }) = self.unsaved.begin(self.last, what.clone(), waiting)
        {
            out.push(Action::Reply(
                operator,
                Err("something newer has taken its place".into()),
            ));
        }
        out.push(Action::Save(self.last, what));
    }

    /// Writes what could not be kept again where that is due.
    pub(super) fn save_again(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let (pending, last) = (&self.pending, &mut self.last);
        // A certificate ends the order of its name on disk: not one that was begun since.
        let holds = |what: &FileUpdate| matches!(what, FileUpdate::Identity(id, _) if pending.contains_key(id));
        let number = || {
            *last += 1;
            *last
        };
        let again = self.unsaved.retries(now, holds, number);
        out.extend(
            again
                .into_iter()
                .map(|(task, what)| Action::Save(task, what)),
        );
    }

    /// A write in the background has ended.
    pub(super) fn write_ended(
        &mut self,
        ended: Ended,
        done: Result<(), String>,
        out: &mut Vec<Action>,
    ) {
        if let (Err(why), 1) = (&done, ended.failures) {
            out.push(tell(Level::Warn, "not-kept", "", why));
        }
        if let Some(Waiting { operator, text }) = ended.waiting {
            let answer = match done {
                Ok(()) => Ok(text),
                Err(why) => Err(format!(
                    "{text}, and could not be kept yet: {why}; it is tried again"
                )),
            };
            out.push(Action::Reply(operator, answer));
        }
    }

    pub(super) fn keep_state(&mut self, out: &mut Vec<Action>) {
        let (orders, refused) = self.planner.memory();
        let state = State { orders, refused };
        if state != self.saved {
            self.saved = state.clone();
            self.save(FileUpdate::State(state), None, out);
        }
    }
}
