//! Applies what another process has written to the journal to the log in memory.
use super::journal_reader::JournalChange;
use super::journal_writer::DurablePosition;
use super::{purge_timestamp, Purges};
use crate::server::drivers::{Effect, PurgeEffect, Turn};
use cranesill::api::Timestamp;
use cranesill_purges::journal::OpenedJournal;
use cranesill_purges::log::{Appended, PurgeLog};
use cranesill_purges::Purge;

/// What this process knows of the journal after a read.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum FileState {
    /// The log in memory has everything that is in the file.
    Applied,
    /// The appended purges do not follow those in memory; the whole file has to be read.
    Unapplied,
    Missing,
    Damaged {
        log: Option<PurgeLog>,
        offset: usize,
    },
    NewerVersion,
}

impl Purges {
    /// Whether purges are entered at this front, so that its log is that of the journal. A follower's log is that of its writer.
    pub(super) fn writes_own_log(&self) -> bool {
        self.writer.is_none()
    }

    /// Applies a change of the journal to the log.
    pub(super) fn apply_change(&mut self, turn: &mut Turn<'_>, change: JournalChange) -> FileState {
        match change {
            JournalChange::Unchanged => FileState::Applied,
            JournalChange::Appended { identity, purges } => {
                self.apply_appended(turn, identity, purges)
            }
            JournalChange::Replaced(OpenedJournal::Complete { log, .. }) => {
                self.apply_replaced(turn, log);
                FileState::Applied
            }
            JournalChange::Replaced(OpenedJournal::Missing) => FileState::Missing,
            JournalChange::Replaced(OpenedJournal::Damaged { log, offset }) => {
                self.count_everything_as_purged(turn);
                FileState::Damaged { log, offset }
            }
            JournalChange::Replaced(OpenedJournal::NewerVersion) => {
                self.count_everything_as_purged(turn);
                FileState::NewerVersion
            }
        }
    }

    /// Applies purges that were appended to the journal.
    fn apply_appended(
        &mut self,
        turn: &mut Turn<'_>,
        identity: u64,
        purges: Vec<Purge>,
    ) -> FileState {
        let mut new = Vec::new();
        let mut is_valid = true;
        for purge in purges {
            match self.log.append(identity, purge.clone()) {
                Ok(Appended::New) => new.push(purge),
                Ok(Appended::AlreadyPresent) => {}
                Err(_) => {
                    is_valid = false;
                    new.push(purge);
                }
            }
        }
        if !new.is_empty() {
            turn.effects.push(Effect::Purges(PurgeEffect::Purged(new)));
        }
        if is_valid {
            FileState::Applied
        } else {
            // The next read returns the whole journal.
            FileState::Unapplied
        }
    }

    /// Applies a journal that was replaced, or is read for the first time.
    fn apply_replaced(&mut self, turn: &mut Turn<'_>, stored: PurgeLog) {
        let is_same_log = stored.identity == self.log.identity;
        let is_new = |purge: &&Purge| !is_same_log || self.log.get(purge.number) != Some(*purge);
        let new: Vec<Purge> = stored.iter().filter(is_new).cloned().collect();
        if !new.is_empty() {
            turn.effects.push(Effect::Purges(PurgeEffect::Purged(new)));
        }
        if stored.purged_up_to() > self.log.purged_up_to() {
            let up_to = stored.purged_up_to();
            turn.effects
                .push(Effect::Purges(PurgeEffect::AllPurged { up_to }));
        }
        if self.writes_own_log() || self.is_ahead_of_own(&stored) {
            return self.replace_log(turn.now, stored);
        }
        self.log.record_missing(stored.purged_up_to());
        if !is_same_log && stored.last_number() > 0 {
            // The purges of the other log are not in this one.
            self.count_everything_as_purged(turn);
        }
    }

    /// Whether a stored log has everything that a follower's own log has.
    fn is_ahead_of_own(&self, stored: &PurgeLog) -> bool {
        if stored.identity == self.log.identity {
            return stored.last_number() >= self.log.last_number();
        }
        !self.log_is_from_writer
    }

    pub(super) fn replace_log(&mut self, now: Timestamp, log: PurgeLog) {
        let is_same_log = log.identity == self.log.identity;
        self.log = log;
        self.durable = DurablePosition::end_of(&self.log);
        if let Some(nodes) = self.cache_nodes.as_mut().filter(|_| !is_same_log) {
            nodes.reset(now, &self.log);
        }
    }

    /// Counts all copies as purged, also after a restart once this process is the writer.
    pub(super) fn count_everything_as_purged(&mut self, turn: &mut Turn<'_>) {
        let up_to = purge_timestamp(turn);
        self.log.record_missing(up_to);
        turn.effects
            .push(Effect::Purges(PurgeEffect::AllPurged { up_to }));
    }
}
