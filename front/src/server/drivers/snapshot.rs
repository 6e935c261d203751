//! Keeps the endpoint list on disk. A front that starts again serves from it while the list service cannot be reached, and
//! asks the service only for what changed since. A worker thread writes the list to a temporary file and renames that.
use super::{Driver, Effect, EndpointEffect, Turn};
use crate::protocol::discovery::WatchEvent;
use crate::protocol::snapshot::{Snapshot, MAX_SNAPSHOT_BYTES};
use crate::protocol::stored_file::StoredFileError;
use crate::transport::Workers;
use cranesill::api::{Micros, Timestamp};
use cranesill_startup::{check_snapshot, SnapshotHeader, SnapshotRejected};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// How many files of the folder are searched for temporary files of killed processes.
const MAX_SCANNED_FILES: usize = 10_000;
/// Least time between two writes.
const WRITE_INTERVAL: Micros = 1_000_000;
/// While nothing changes the list is written this often, with the time at which it was last known to be current. That time is
/// of the wall clock, since another process compares it; after a step of the wall clock the next of these writes corrects it.
const REFRESH_INTERVAL: Micros = 20_000_000;
/// Purges are kept this much longer than endpoints may hold older copies.
const PURGE_MARGIN_MS: u64 = 2_000;

/// Why snapshots cannot be kept.
#[derive(Debug, Error)]
pub enum SnapshotsError {
    /// The thread that writes could not be set up.
    #[error("startup.snapshots: {0}")]
    Workers(#[source] io::Error),
}

/// Why a list from disk or from a peer is not used.
#[derive(Debug, Error)]
pub enum ListError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The text is no list.
    #[error("{0}")]
    Malformed(StoredFileError),
    /// The list is too old, not newer than the known one, or another service's.
    #[error(transparent)]
    Rejected(#[from] SnapshotRejected),
}

/// What a list must satisfy to be used.
#[derive(Clone, Copy, Debug)]
pub struct ListRequirements {
    /// Identifies the list that this front follows.
    pub source: u64,
    /// The revision that this front knows; the list must be newer.
    pub known_revision: u64,
    /// The list may be up to this many milliseconds old.
    pub max_age_ms: u64,
}

/// Returns for how many milliseconds purges are kept where endpoints may hold older copies for `propagation`.
pub fn purge_retention_ms(propagation: Micros) -> u64 {
    propagation / 1_000 + PURGE_MARGIN_MS
}

/// The wall clock as Unix time in milliseconds.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Returns the file in which the front `name` keeps its list.
pub fn file_path(folder: &Path, name: &str) -> PathBuf {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let name: String = name
        .bytes()
        .map(|b| if plain(b) { char::from(b) } else { '_' })
        .collect();
    folder.join(format!("{name}.list"))
}

/// Decodes a list and checks that it may be used.
pub fn decode_list(text: &[u8], required: ListRequirements) -> Result<Snapshot, ListError> {
    let list = Snapshot::decode(text).map_err(ListError::Malformed)?;
    let header = SnapshotHeader {
        source: list.source,
        revision: list.revision,
        current_at_ms: list.at_ms,
    };
    check_snapshot(
        wall_clock_ms(),
        header,
        required.source,
        required.known_revision,
        required.max_age_ms,
    )?;
    Ok(list)
}

/// Reads the list on disk if it exists and may be used. Logs whether and why.
pub fn load(path: &Path, required: ListRequirements) -> Option<Snapshot> {
    let at = path.display();
    match read_file(path).and_then(|text| decode_list(&text, required)) {
        Ok(list) => {
            let age_ms = wall_clock_ms().saturating_sub(list.at_ms);
            let event = list.revision;
            let members = list.endpoints.len();
            tracing::info!(kind = "snapshot", event, members, age_ms, %at, "the list is served from disk");
            Some(list)
        }
        Err(ListError::Unreadable(error)) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            tracing::info!(kind = "snapshot", why = %error, %at, "the list on disk is left aside");
            None
        }
    }
}

/// Reads the file as far as a list may reach, and one byte beyond, by which one that is too long is seen.
fn read_file(path: &Path) -> Result<Vec<u8>, ListError> {
    // Not blocking: the file may be a pipe that nobody writes to.
    let file = File::options()
        .read(true)
        .custom_flags(libc::O_NONBLOCK)
        .open(path)?;
    let mut text = Vec::new();
    file.take(MAX_SNAPSHOT_BYTES as u64 + 1)
        .read_to_end(&mut text)?;
    Ok(text)
}

/// Replaces the file durably, or leaves it as it was.
fn replace_file(path: &Path, text: &str) -> io::Result<()> {
    let temporary = temporary_path(path);
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let written = File::create(&temporary).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        // Before the rename: the name must not refer to data that the disk does not have yet.
        file.sync_data()?;
        fs::rename(&temporary, path)?;
        // The new name is durable once the folder is synced.
        File::open(folder)?.sync_all()
    });
    if written.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    written
}

/// The file to which this process writes before it renames it.
fn temporary_path(path: &Path) -> PathBuf {
    path.with_extension(format!("{}.tmp", std::process::id()))
}

/// Removes the temporary files of processes of this front that were killed during a write. If one of them is alive and
/// writes now, its write fails and it writes again.
fn remove_temporary_files(path: &Path) {
    let stem = path.file_stem().and_then(|stem| stem.to_str());
    let Some((folder, stem)) = path.parent().zip(stem) else {
        return;
    };
    let is_temporary = |name: &str| {
        let middle = name
            .strip_prefix(stem)
            .and_then(|rest| rest.strip_prefix('.')?.strip_suffix(".tmp"));
        middle.is_some_and(|pid| !pid.is_empty() && pid.bytes().all(|b| b.is_ascii_digit()))
    };
    // Best effort: a folder that cannot be read is logged when the list is written.
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    for file in files.take(MAX_SCANNED_FILES) {
        if file.file_name().to_str().is_some_and(is_temporary) {
            let _ = fs::remove_file(file.path());
        }
    }
}

/// The driver that keeps the endpoint list on disk.
pub struct Snapshots {
    path: PathBuf,
    known: Snapshot,
    purge_retention_ms: u64,
    workers: Workers<io::Result<()>>,
    /// The list has changed since the last write began.
    dirty: bool,
    writing: bool,
    next_write_at: Timestamp,
    /// The last write failed, which is logged once.
    failing: bool,
    /// When the list was last confirmed as current and marked for a write.
    refreshed_at: Timestamp,
}

impl Snapshots {
    /// Keeps the list `known`, and what it becomes, in the file `path`. Endpoints may hold purged copies for
    /// `purge_propagation`.
    pub fn new(
        turn: &mut Turn<'_>,
        path: PathBuf,
        known: Snapshot,
        purge_propagation: Micros,
    ) -> Result<Self, SnapshotsError> {
        let key = turn.key();
        let workers = Workers::new(turn.reactor, key).map_err(SnapshotsError::Workers)?;
        remove_temporary_files(&path);
        Ok(Snapshots {
            path,
            known,
            purge_retention_ms: purge_retention_ms(purge_propagation),
            workers,
            dirty: false,
            writing: false,
            next_write_at: turn.now,
            failing: false,
            refreshed_at: 0,
        })
    }

    fn apply_watch_event(&mut self, now: Timestamp, revision: u64, event: &WatchEvent) {
        let received_at_ms = now / 1_000;
        self.known.apply(
            revision,
            wall_clock_ms(),
            received_at_ms,
            self.purge_retention_ms,
            event,
        );
        self.refreshed_at = now;
        self.dirty = true;
    }

    fn handle_write_result(&mut self, now: Timestamp, result: io::Result<()>) {
        self.writing = false;
        self.next_write_at = now + WRITE_INTERVAL;
        if let Err(error) = &result {
            self.dirty = true;
            if !self.failing {
                tracing::warn!(kind = "snapshot", %error, at = %self.path.display(), "the list can't be kept on disk");
            }
        }
        self.failing = result.is_err();
    }

    /// The list has outgrown what may be written. The older one on disk stays usable: the next start takes longer, since it
    /// asks for all changes since.
    fn report_too_large(&mut self) {
        if self.failing {
            return;
        }
        self.failing = true;
        tracing::warn!(
            kind = "snapshot",
            purges = self.known.purges.len(),
            "the list is too large for the disk"
        );
    }
}

impl Driver for Snapshots {
    fn ready(&mut self, turn: &mut Turn<'_>, _: usize, _: bool, _: bool) {
        for result in self.workers.results() {
            self.handle_write_result(turn.now, result);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        if !self.dirty || self.writing || turn.now < self.next_write_at {
            return;
        }
        self.dirty = false;
        let Some(text) = self.known.encode() else {
            return self.report_too_large();
        };
        let path = self.path.clone();
        let begun = self.workers.in_order(move || replace_file(&path, &text));
        self.writing = begun.is_ok();
        self.dirty = begun.is_err();
        self.next_write_at = turn.now + WRITE_INTERVAL;
    }

    fn next(&self) -> Option<Timestamp> {
        (self.dirty && !self.writing).then_some(self.next_write_at)
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        let Effect::Endpoints(effect) = effect else {
            return;
        };
        match effect {
            EndpointEffect::WatchEvent { revision, event } => {
                self.apply_watch_event(turn.now, *revision, event);
            }
            EndpointEffect::Current if turn.now >= self.refreshed_at + REFRESH_INTERVAL => {
                self.known.at_ms = wall_clock_ms();
                self.refreshed_at = turn.now;
                self.dirty = self.known.revision > 0;
            }
            EndpointEffect::Adopted(list) => {
                self.known = Snapshot::clone(list);
                self.dirty = true;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
