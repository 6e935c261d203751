//! What is to be kept on disk and is not durable yet. A write that failed is made again, with a pause that grows, until it
//! succeeds or something newer takes its place: what is served from memory alone would be gone at the next start.
use crate::disk::FileUpdate;
use crate::{Micros, Timestamp, SECOND};
use std::collections::BTreeMap;

/// Pause before the first retry, and the longest.
const MIN_RETRY_DELAY: Micros = SECOND;
const MAX_RETRY_DELAY: Micros = 60 * SECOND;

/// An operator who is answered once something is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingReply {
    /// Who asked.
    pub operator: u64,
    /// What is answered then.
    pub text: String,
}

#[derive(Debug)]
struct Write {
    update: FileUpdate,
    /// By which its end is known, while it is under way.
    task: u64,
    /// When it is made again after a failure.
    retry_at: Option<Timestamp>,
    failures: u32,
    reply: Option<PendingReply>,
}

/// How a write ended.
#[derive(Debug)]
pub struct WriteEnd {
    /// Failures in a row: 0 if it is durable.
    pub failures: u32,
    /// Who is to be answered now.
    pub reply: Option<PendingReply>,
}

/// The writes, one for each file: the newest.
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
    /// A write begins under a number of its own. An older one of the same file is over: returns who waited for it.
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

    /// Something newer is written by another way: an older write of the same file is over.
    pub fn supersede(&mut self, update: &FileUpdate) {
        self.0.remove(&file_name(update));
    }

    /// A write has ended. `None`: it is none of these, or something newer has taken its place.
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

    /// What is due to be written again, each under a new number. What `is_blocked` says has to wait stays for the next time.
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

    /// When the next retry is due.
    pub fn next(&self) -> Option<Timestamp> {
        self.0.values().filter_map(|write| write.retry_at).min()
    }
}
