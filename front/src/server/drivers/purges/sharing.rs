//! Sharing of the purge log between processes of one front, during an upgrade or by mistake. One process at a time is the writer: it
//! accepts purges, writes the journal, and serves followers. The others obey what is in the journal and reject purges.
//!
//! A process becomes the writer once it accepts clients, the lock on the journal is free, and it has applied what the last owner
//! wrote. At its shutdown it completes its writes and releases the lock. Without a journal, purges are accepted once no earlier
//! process is left, which could not obey them.
use super::journal_reader::{JournalRead, JournalReader};
use super::mirroring::FileState;
use super::start::{new_identity, successor_of_damaged};
use super::{Followers, Purges};
use crate::server::drivers::ownership::Ownership;
use crate::server::drivers::{ProcessEffect, Turn};
use cranesill::api::{Micros, Timestamp};
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

/// Interval at which a process that is not the writer reads the journal and tries to become the writer. A purge that another process
/// has accepted is obeyed within it.
const POLL_INTERVAL: Micros = 50_000;
/// Time for which a process delays accepting clients until it has read the journal. Later it counts all copies as purged instead.
const MAX_CATCH_UP_TIME: Micros = 200_000;
/// Interval of attempts to listen for followers while the address is in use.
const SERVE_RETRY_INTERVAL: Micros = 500_000;

/// The part of this process in writing the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Another process accepts clients.
    Standby,
    /// This process accepts clients, and becomes the writer once no other process is.
    Candidate,
    /// This process owns the journal, and becomes the writer once this read of it is complete.
    Acquiring { read: u64 },
    /// This process is the writer.
    Writer,
    /// This process shuts down, and gives up the journal once its writes are complete.
    Releasing,
    /// This process shuts down, or cannot read the format of the journal.
    Released,
}

/// A read of the journal after which this process may accept clients.
#[derive(Clone, Copy, Debug)]
struct CatchUp {
    read: u64,
    deadline: Timestamp,
}

/// The journal as a file that other processes may write.
struct SharedFile {
    ownership: Ownership,
    reader: Arc<Mutex<JournalReader>>,
    /// Whether the log in memory has everything that was in the file at the last read.
    is_mirrored: bool,
    /// Numbers of the last read that was started, and of the last one that was completed.
    reads_begun: u64,
    reads_completed: u64,
    next_poll_at: Timestamp,
    catch_up: Option<CatchUp>,
    /// Whether the last attempt to lock the file, or to read it, failed. Only the first failure in a row is logged.
    lock_is_failing: bool,
    read_is_failing: bool,
}

/// The part of this process in writing the log, and its view of the journal.
pub(super) struct Sharing {
    phase: Phase,
    /// The journal, if the settings specify one.
    file: Option<SharedFile>,
    /// Whether an earlier process of this front may still answer requests.
    has_predecessor: bool,
    /// Time of the next attempt to listen for followers; `None` if none is due.
    serve_at: Option<Timestamp>,
}

impl Sharing {
    /// Creates the state of a process without a journal. `accepts_clients` is whether no other process of this front accepts clients.
    pub(super) fn without_file(accepts_clients: bool) -> Self {
        Sharing {
            phase: if accepts_clients {
                Phase::Writer
            } else {
                Phase::Standby
            },
            file: None,
            has_predecessor: !accepts_clients,
            serve_at: None,
        }
    }

    /// Creates the state of a process with a journal, which this process owns if `owned`. The reader has read the file unless it is
    /// owned.
    pub(super) fn of_file(
        ownership: Ownership,
        reader: JournalReader,
        accepts_clients: bool,
        owned: bool,
    ) -> Self {
        let file = SharedFile {
            ownership,
            is_mirrored: reader.has_decoded(),
            reader: Arc::new(Mutex::new(reader)),
            reads_begun: 0,
            reads_completed: 0,
            next_poll_at: 0,
            catch_up: None,
            lock_is_failing: false,
            read_is_failing: false,
        };
        Sharing {
            phase: match (owned, accepts_clients) {
                (true, _) => Phase::Writer,
                (false, true) => Phase::Candidate,
                (false, false) => Phase::Standby,
            },
            file: Some(file),
            has_predecessor: !accepts_clients,
            serve_at: None,
        }
    }

    /// Whether this process is the writer.
    pub(super) fn is_writer(&self) -> bool {
        self.phase == Phase::Writer
    }

    /// Whether this process is or was the writer, and so sends purges to cache nodes.
    pub(super) fn sends_to_cache_nodes(&self) -> bool {
        matches!(
            self.phase,
            Phase::Writer | Phase::Releasing | Phase::Released
        )
    }

    /// Describes why purges are not accepted and which process accepts them, for operators.
    pub(super) fn rejection(&self) -> String {
        if matches!(self.phase, Phase::Releasing | Phase::Released) {
            return "this process is shutting down; send the purge to the process that replaces it"
                .into();
        }
        let owner = match &self.file {
            Some(file) if !matches!(self.phase, Phase::Acquiring { .. }) => file.ownership.owner(),
            Some(_) => return "this process is taking over the purge log; retry the purge".into(),
            None => "an earlier process of this front".into(),
        };
        format!("{owner} writes the purge log; send the purge to that process, or retry it here once that process has ended")
    }

    /// Whether this process may accept clients as far as the purge log is concerned.
    pub(super) fn is_caught_up(&self) -> bool {
        self.file
            .as_ref()
            .is_none_or(|file| file.catch_up.is_none())
    }

    /// Returns the time at which [`Purges::poll_sharing`] has to be called next.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        if self.phase == Phase::Writer {
            return self.serve_at;
        }
        let file = self.file.as_ref()?;
        let deadline = file.catch_up.map(|catch_up| catch_up.deadline);
        deadline.into_iter().chain([file.next_poll_at]).min()
    }
}

impl SharedFile {
    /// Whether a read is in progress.
    fn is_reading(&self) -> bool {
        self.reads_begun > self.reads_completed
    }

    /// Acquires the lock unless another process holds it. Returns whether this process holds it.
    fn try_acquire(&mut self) -> bool {
        match self.ownership.try_acquire() {
            Ok(owned) => {
                self.lock_is_failing = false;
                owned
            }
            Err(error) => {
                if !std::mem::replace(&mut self.lock_is_failing, true) {
                    let path = self.ownership.lock_path().display();
                    tracing::error!(kind = "not-locked", %error, %path, "purges: cannot lock the journal; purges are rejected; retrying");
                }
                false
            }
        }
    }

    /// Records whether a read failed.
    fn report_read(&mut self, path: Option<&Path>, failure: Option<&io::Error>) {
        let failed_before = std::mem::replace(&mut self.read_is_failing, failure.is_some());
        if let Some(error) = failure.filter(|_| !failed_before) {
            let path = path.map(|path| path.display().to_string());
            tracing::error!(kind = "not-read", %error, path, "purges: cannot read the journal that another process may write; all copies count as purged; retrying");
        }
    }
}

impl Purges {
    /// Handles a change in the part that this process has among the processes of this front.
    pub(super) fn handle_process_effect(&mut self, turn: &mut Turn<'_>, effect: ProcessEffect) {
        match effect {
            ProcessEffect::TakesOver => self.begin_takeover(turn),
            ProcessEffect::PredecessorEnded => {
                self.sharing.has_predecessor = false;
                if self.sharing.file.is_none() && self.sharing.phase == Phase::Candidate {
                    self.become_writer(turn);
                }
            }
            ProcessEffect::ShutsDown => self.begin_release(turn),
        }
    }

    /// Accepts clients from now on, once what the earlier process acknowledged has been read.
    fn begin_takeover(&mut self, turn: &mut Turn<'_>) {
        if self.sharing.phase != Phase::Standby {
            return;
        }
        self.sharing.phase = Phase::Candidate;
        if self.sharing.file.is_none() {
            if self.writes_own_log() {
                // Purges that the earlier process accepted were in its memory only.
                self.count_everything_as_purged(turn);
            }
            if !self.sharing.has_predecessor {
                self.become_writer(turn);
            }
            return;
        }
        let read = self.acquire_or_read(turn);
        // A follower has what its writer sent, and reads the journal only to take it over.
        if let Some(file) = self
            .sharing
            .file
            .as_mut()
            .filter(|file| read > file.reads_completed)
        {
            file.catch_up = Some(CatchUp {
                read,
                deadline: turn.now + MAX_CATCH_UP_TIME,
            });
        }
    }

    /// Rejects purges from now on, and gives up the journal once the writes in progress are complete.
    fn begin_release(&mut self, turn: &mut Turn<'_>) {
        let was_writer = self.sharing.is_writer();
        self.sharing.phase = if was_writer {
            Phase::Releasing
        } else {
            Phase::Released
        };
        self.followers = None;
        self.process_queue(turn);
        if !was_writer {
            if let Some(file) = &mut self.sharing.file {
                file.ownership.release();
            }
        }
        self.release_if_written(turn.now);
    }

    pub(super) fn release_if_written(&mut self, now: Timestamp) {
        if self.sharing.phase != Phase::Releasing || self.journal.writes_in_progress() > 0 {
            return;
        }
        self.sharing.phase = Phase::Released;
        if let Some(file) = &mut self.sharing.file {
            file.ownership.release();
            file.next_poll_at = now;
            tracing::info!(kind = "upgrade", "purges: gave up the journal");
        }
    }

    /// Does what is due: tries to become the writer, reads the journal, and listens for followers.
    pub(super) fn poll_sharing(&mut self, turn: &mut Turn<'_>) {
        if self.sharing.phase == Phase::Writer {
            return self.retry_serving(turn);
        }
        self.release_if_written(turn.now);
        let Some(file) = &mut self.sharing.file else {
            return;
        };
        if file.catch_up.is_some_and(|due| turn.now >= due.deadline) {
            file.catch_up = None;
            tracing::warn!(
                kind = "upgrade",
                "purges: reading the journal takes too long; accepting clients with all copies counted as purged"
            );
            self.count_everything_as_purged(turn);
        }
        let Some(file) = &mut self.sharing.file else {
            return;
        };
        if turn.now < file.next_poll_at {
            return;
        }
        file.next_poll_at = turn.now + POLL_INTERVAL;
        if !file.is_reading() {
            self.acquire_or_read(turn);
        }
    }

    /// Acquires the journal if this process is a candidate, and starts a read of it. Returns the number of the last read.
    fn acquire_or_read(&mut self, turn: &mut Turn<'_>) -> u64 {
        let mirrors_file = self.writes_own_log();
        let Some(file) = &mut self.sharing.file else {
            return 0;
        };
        let read = file.reads_begun + 1;
        if self.sharing.phase == Phase::Candidate && file.try_acquire() {
            self.sharing.phase = Phase::Acquiring { read };
        }
        if let Phase::Acquiring { .. } = self.sharing.phase {
            self.sharing.phase = Phase::Acquiring { read };
        } else if !mirrors_file {
            return file.reads_completed;
        }
        file.reads_begun = read;
        let restart = !file.is_mirrored;
        let reader = Arc::clone(&file.reader);
        let begun = self.journal.read(read, move || {
            let mut reader = reader.lock().unwrap_or_else(PoisonError::into_inner);
            if restart {
                reader.restart();
            }
            reader.read_changes()
        });
        if let Err(error) = begun {
            self.journal_read(turn, read, Err(error));
        }
        read
    }

    /// Handles a completed read of the journal.
    pub(super) fn journal_read(
        &mut self,
        turn: &mut Turn<'_>,
        read: u64,
        result: io::Result<JournalRead>,
    ) {
        let path = self.settings.file.clone();
        let Some(file) = &mut self.sharing.file else {
            return;
        };
        file.reads_completed = file.reads_completed.max(read);
        if file.catch_up.is_some_and(|catch_up| read >= catch_up.read) {
            file.catch_up = None;
        }
        let found = match result {
            Ok(found) => found,
            Err(error) => {
                file.is_mirrored = false;
                file.report_read(path.as_deref(), Some(&error));
                return self.count_everything_as_purged(turn);
            }
        };
        file.report_read(path.as_deref(), None);
        let acquires =
            matches!(self.sharing.phase, Phase::Acquiring { read: awaited } if read >= awaited);
        let state = self.apply_change(turn, found.change);
        if let Some(file) = &mut self.sharing.file {
            file.is_mirrored = state == FileState::Applied;
        }
        if acquires {
            self.take_over_journal(turn, state, found.ends_incomplete);
        }
    }

    /// Becomes the writer of a journal that this process owns and whose contents were applied.
    fn take_over_journal(&mut self, turn: &mut Turn<'_>, state: FileState, ends_incomplete: bool) {
        match state {
            FileState::Applied if !ends_incomplete && self.writes_own_log() => {}
            FileState::Applied => self.begin_rewrite(turn),
            FileState::Missing => {
                self.count_everything_as_purged(turn);
                self.begin_rewrite(turn);
            }
            // The next read, which is of the whole file, decides.
            FileState::Unapplied => return,
            FileState::Damaged { log, offset } => {
                let path = self.settings.file.clone().unwrap_or_default();
                let identity = new_identity(turn.now);
                let log = successor_of_damaged(turn.now, identity, &path, log, offset);
                self.replace_log(turn.now, log);
                if let Err(error) = self
                    .journal
                    .rename_damaged_and_rewrite(path, self.log.clone())
                {
                    self.journal_failed(turn, &error.to_string());
                }
            }
            FileState::NewerVersion => {
                tracing::error!(
                    kind = "newer",
                    "purges: the journal was written by a newer version of this program; this process accepts no purges"
                );
                self.sharing.phase = Phase::Released;
                if let Some(file) = &mut self.sharing.file {
                    file.ownership.release();
                }
                return;
            }
        }
        self.become_writer(turn);
    }

    fn begin_rewrite(&mut self, turn: &mut Turn<'_>) {
        if let Err(error) = self.journal.rewrite(self.log.clone()) {
            self.journal_failed(turn, &error.to_string());
        }
    }

    fn become_writer(&mut self, turn: &mut Turn<'_>) {
        self.sharing.phase = Phase::Writer;
        let last = self.log.last_number();
        tracing::info!(
            kind = "upgrade",
            last,
            "purges: this process writes the purge log from now on"
        );
        self.sharing.serve_at = Some(turn.now);
        self.retry_serving(turn);
        self.advance_links(turn);
    }

    /// Listens for followers if the settings require it and this process does not yet.
    fn retry_serving(&mut self, turn: &mut Turn<'_>) {
        if self.sharing.serve_at.is_none_or(|at| turn.now < at) {
            return;
        }
        self.sharing.serve_at = None;
        let Some(address) = self
            .settings
            .serve
            .clone()
            .filter(|_| self.followers.is_none())
        else {
            return;
        };
        match Followers::new(turn, &address) {
            Ok(followers) => self.followers = Some(followers),
            Err(error) => {
                tracing::warn!(kind = "upgrade", %error, "purges: cannot serve followers yet; retrying");
                self.sharing.serve_at = Some(turn.now + SERVE_RETRY_INTERVAL);
            }
        }
    }
}

#[cfg(test)]
mod tests;
