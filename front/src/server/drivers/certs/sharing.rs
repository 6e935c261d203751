//! Sharing of the certificate directory between processes with the same front name, during an upgrade or by mistake. One of them, the
//! owner, orders and stores certificates and carries out operators' commands. The others serve what is in the directory.
use super::{Certs, WorkResult};
use crate::server::drivers::ownership::Ownership;
use crate::server::drivers::{Effect, ProcessEffect, Turn};
use cranesill::api::{Micros, Timestamp};
use cranesill_certs::disk::{self, Folder, Loaded};
use std::sync::{Arc, Mutex};

/// Interval at which a process that accepts clients tries to become the owner.
const ACQUIRE_INTERVAL: Micros = 50_000;
/// Interval at which a process that is not the owner reads the directory.
const RELOAD_INTERVAL: Micros = 1_000_000;

/// The part of this process in managing the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Another process accepts clients.
    Standby,
    /// This process accepts clients, and becomes the owner once no other process is.
    Candidate,
    /// This process has the lock, and becomes the owner once it has read the directory.
    Acquiring,
    Owner,
    /// This process shuts down, and gives up the directory once its writes are complete.
    Releasing,
    /// This process shuts down.
    Released,
}

/// The certificate directory, which other processes may use.
pub(super) struct SharedDirectory {
    folder: Arc<Mutex<Folder>>,
    ownership: Ownership,
    phase: Phase,
    /// Whether a read of the directory is in progress.
    is_reading: bool,
    next_poll_at: Timestamp,
    /// Whether the last attempt to lock the directory, or to read it, failed. Only the first failure in a row is logged.
    lock_is_failing: bool,
    read_is_failing: bool,
    /// Number of writes whose results have not arrived.
    pub(super) writes_in_progress: usize,
}

impl SharedDirectory {
    /// Creates the state at the start. `owned` is whether this process has the lock, and has read the directory since.
    pub(super) fn new(
        folder: Folder,
        ownership: Ownership,
        accepts_clients: bool,
        owned: bool,
    ) -> Self {
        SharedDirectory {
            folder: Arc::new(Mutex::new(folder)),
            ownership,
            phase: match (owned, accepts_clients) {
                (true, _) => Phase::Owner,
                (false, true) => Phase::Candidate,
                (false, false) => Phase::Standby,
            },
            is_reading: false,
            next_poll_at: 0,
            lock_is_failing: false,
            read_is_failing: false,
            writes_in_progress: 0,
        }
    }

    /// Whether this process manages the certificates.
    pub(super) fn is_owner(&self) -> bool {
        self.phase == Phase::Owner
    }

    /// Whether results of the ACME client's work still matter.
    fn is_active(&self) -> bool {
        self.phase != Phase::Released
    }

    /// The folder, for work on another thread.
    pub(super) fn folder(&self) -> Arc<Mutex<Folder>> {
        Arc::clone(&self.folder)
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
                    tracing::error!(kind = "not-locked", %error, %path, "certificates: cannot lock the directory; nothing is ordered and commands are rejected; retrying");
                }
                false
            }
        }
    }

    /// Describes why a command is rejected, for operators.
    fn rejection(&self) -> String {
        match self.phase {
            Phase::Releasing | Phase::Released => {
                "command rejected: this process is shutting down; send the command to the process that replaces it".into()
            }
            Phase::Acquiring => "command rejected: this process is taking over the certificates; retry the command".into(),
            _ => format!(
                "command rejected: {} manages the certificates; send the command to that process, or retry it here once that \
                 process has ended",
                self.ownership.owner()
            ),
        }
    }

    /// Returns the time at which [`Certs::poll_directory`] has to be called next.
    pub(super) fn next_due(&self) -> Option<Timestamp> {
        let polls = !matches!(self.phase, Phase::Owner | Phase::Released);
        polls.then_some(self.next_poll_at)
    }
}

impl Certs {
    /// Whether this process orders and stores certificates, and carries out operators' commands.
    pub(super) fn is_manager(&self) -> bool {
        self.directory
            .as_ref()
            .is_none_or(SharedDirectory::is_owner)
    }

    /// Whether this process has not given up the certificates yet.
    pub(super) fn is_active(&self) -> bool {
        self.directory
            .as_ref()
            .is_none_or(SharedDirectory::is_active)
    }

    /// Rejects a command that changes certificates, unless this process manages them. Returns whether it was rejected.
    pub(super) fn reject_command(&self, turn: &mut Turn<'_>, id: u64) -> bool {
        let Some(directory) = self.directory.as_ref().filter(|_| !self.is_manager()) else {
            return false;
        };
        turn.effects
            .push(Effect::response(id, Err(directory.rejection())));
        true
    }

    /// Handles a change in the part that this process has among the processes of this front.
    pub(super) fn handle_process_effect(&mut self, turn: &mut Turn<'_>, effect: ProcessEffect) {
        let Some(directory) = &mut self.directory else {
            return;
        };
        match effect {
            ProcessEffect::TakesOver if directory.phase == Phase::Standby => {
                directory.phase = Phase::Candidate;
                directory.next_poll_at = turn.now;
            }
            ProcessEffect::ShutsDown => {
                directory.phase = Phase::Releasing;
                self.challenges.stop_listening();
                self.release_if_written();
            }
            _ => {}
        }
    }

    /// Gives up the directory once a process that shuts down has completed its writes.
    pub(super) fn release_if_written(&mut self) {
        let Some(directory) = &mut self.directory else {
            return;
        };
        if directory.phase == Phase::Releasing && directory.writes_in_progress == 0 {
            directory.phase = Phase::Released;
            directory.ownership.release();
            tracing::info!(kind = "upgrade", "certificates: gave up the directory");
        }
    }

    /// Tries to become the owner, and reads the directory, if that is due.
    pub(super) fn poll_directory(&mut self, turn: &mut Turn<'_>) {
        let Some(directory) = &mut self.directory else {
            return;
        };
        if directory.next_due().is_none_or(|at| turn.now < at) || directory.is_reading {
            return;
        }
        if directory.phase == Phase::Candidate && directory.try_acquire() {
            directory.phase = Phase::Acquiring;
        }
        let is_candidate = matches!(directory.phase, Phase::Candidate | Phase::Acquiring);
        let interval = if is_candidate {
            ACQUIRE_INTERVAL
        } else {
            RELOAD_INTERVAL
        };
        directory.next_poll_at = turn.now + interval;
        let owned = directory.phase == Phase::Acquiring;
        let folder = directory.folder();
        let started = self.workers.in_order(move || {
            let result = match folder.lock() {
                Ok(mut folder) if owned => disk::load(&mut *folder),
                Ok(mut folder) => disk::load_unchanged(&mut *folder),
                Err(_) => {
                    Err("certificate directory unusable after a panic in an earlier write".into())
                }
            };
            WorkResult::DirectoryRead { owned, result }
        });
        directory.is_reading = started.is_ok();
    }

    /// Applies the contents of the directory: as its owner from now on, or to serve what another process has stored.
    pub(super) fn directory_read(
        &mut self,
        turn: &mut Turn<'_>,
        owned: bool,
        result: Result<Loaded, String>,
    ) {
        let Some(directory) = &mut self.directory else {
            return;
        };
        directory.is_reading = false;
        if matches!(
            directory.phase,
            Phase::Owner | Phase::Releasing | Phase::Released
        ) {
            return;
        }
        let failed_before = std::mem::replace(&mut directory.read_is_failing, result.is_err());
        let loaded = match result {
            Ok(loaded) => loaded,
            Err(error) => {
                if !failed_before {
                    tracing::error!(
                        kind = "not-read",
                        error,
                        "certificates: cannot read the directory; retrying"
                    );
                }
                return;
            }
        };
        if owned {
            directory.phase = Phase::Owner;
            tracing::info!(
                kind = "upgrade",
                "certificates: this process manages the certificates from now on"
            );
            self.challenges.listen_again(turn.now);
        }
        let stored: Vec<String> = loaded
            .identities
            .iter()
            .map(|(id, identity)| format!("{id} {}", identity.bundle()))
            .collect();
        if owned || stored != self.stored {
            self.stored = stored;
            self.restart_client(turn, loaded);
        }
    }
}

#[cfg(test)]
mod tests;
