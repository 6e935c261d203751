//! Writes to the folder that are not durable yet. A failed write is retried with exponential backoff until it succeeds or
//! a newer write of the same file replaces it, because data that is only in memory is lost at a restart.
use crate::disk::FileUpdate;
use crate::{Micros, Timestamp, SECOND};
use std::collections::BTreeMap;

/// Delays between attempts of a write; the delay doubles with each failure.
const MIN_RETRY_DELAY: Micros = SECOND;
const MAX_RETRY_DELAY: Micros = 60 * SECOND;

/// The reply to an operator that is sent after a write has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingReply {
    /// Identifies the command in [`Action::Reply`](crate::Action::Reply).
    pub operator: u64,
    /// The reply if the write succeeds.
    pub text: String,
}

#[derive(Debug)]
struct Write {
    update: FileUpdate,
    /// Task number of the current attempt.
    task: u64,
    /// Time of the next attempt; `None` while an attempt is in progress.
    retry_at: Option<Timestamp>,
    failures: u32,
    reply: Option<PendingReply>,
}

/// The result of one attempt.
#[derive(Debug)]
pub struct WriteEnd {
    /// Failures in a row; 0 if the write is durable.
    pub failures: u32,
    /// The reply to send now.
    pub reply: Option<PendingReply>,
}

/// The newest write of each file, by file.
#[derive(Debug, Default)]
pub struct PendingWrites(BTreeMap<String, Write>);

fn file_name(update: &FileUpdate) -> String {
    match update {
        FileUpdate::Account(_) => "account".into(),
        FileUpdate::State(_) => "state".into(),
        FileUpdate::PendingOrder(id, _) | FileUpdate::RemoveOrder(id) => format!("{id}.order"),
        FileUpdate::Identity(id, _) => format!("{id}.pem"),
    }
}

impl PendingWrites {
    /// Registers a write under a new task number. Returns the pending reply of the write of the same file that it replaces.
    pub fn begin(
        &mut self,
        task: u64,
        update: FileUpdate,
        reply: Option<PendingReply>,
    ) -> Option<PendingReply> {
        let write = Write {
            task,
            retry_at: None,
            failures: 0,
            reply,
            update,
        };
        self.0.insert(file_name(&write.update), write)?.reply
    }

    /// Drops the write of the same file because the caller writes newer data itself.
    pub fn supersede(&mut self, update: &FileUpdate) {
        self.0.remove(&file_name(update));
    }

    /// Handles the end of an attempt. Returns `None` if the task is not a registered write or was replaced.
    pub fn ended(&mut self, now: Timestamp, task: u64, durable: bool) -> Option<WriteEnd> {
        let name = self
            .0
            .iter()
            .find(|(_, w)| w.task == task)
            .map(|(name, _)| name.clone())?;
        if durable {
            let write = self.0.remove(&name)?;
            return Some(WriteEnd {
                failures: 0,
                reply: write.reply,
            });
        }
        let write = self.0.get_mut(&name)?;
        write.failures += 1;
        let pause = MIN_RETRY_DELAY << (write.failures - 1).min(10);
        write.retry_at = Some(now + pause.min(MAX_RETRY_DELAY));
        Some(WriteEnd {
            failures: write.failures,
            reply: write.reply.take(),
        })
    }

    /// Returns the writes whose retry is due, each with a new task number. Writes for which `is_blocked` returns true are
    /// postponed by [`MAX_RETRY_DELAY`].
    pub fn retries(
        &mut self,
        now: Timestamp,
        is_blocked: impl Fn(&FileUpdate) -> bool,
        mut next_task: impl FnMut() -> u64,
    ) -> Vec<(u64, FileUpdate)> {
        let due = |write: &&mut Write| write.retry_at.is_some_and(|at| at <= now);
        let mut retries = Vec::new();
        for write in self.0.values_mut().filter(due) {
            if is_blocked(&write.update) {
                write.retry_at = Some(now + MAX_RETRY_DELAY);
                continue;
            }
            (write.task, write.retry_at) = (next_task(), None);
            retries.push((write.task, write.update.clone()));
        }
        retries
    }

    /// Returns the time of the next retry.
    pub fn next(&self) -> Option<Timestamp> {
        self.0.values().filter_map(|write| write.retry_at).min()
    }
}
