//! Stores snapshots of the endpoint list on disk. After a restart a front serves from the snapshot while the list service is
//! unreachable, and requests only later changes. A worker thread writes to a temporary file and renames it.
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

/// Maximum number of files in the directory that are checked for being temporary files of killed processes.
const MAX_SCANNED_FILES: usize = 10_000;
/// Minimum interval between two writes.
const WRITE_INTERVAL: Micros = 1_000_000;
/// Interval of writes while the list does not change. They update the time at which the list was last known to be current.
/// It is wall clock time since another process reads it, and these writes also correct it after a step of the wall clock.
const REFRESH_INTERVAL: Micros = 20_000_000;
/// Time for which purges are kept beyond the time in which endpoints may hold older copies.
const PURGE_MARGIN_MS: u64 = 2_000;

/// Failure to set up the storage of snapshots.
#[derive(Debug, Error)]
pub enum SnapshotsError {
    /// The worker pool could not be created.
    #[error("startup.snapshots: cannot create the worker pool: {0}")]
    Workers(#[source] io::Error),
}

/// Reason to reject a list from disk or from a peer.
#[derive(Debug, Error)]
pub enum ListError {
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The text is not an encoded list.
    #[error("{0}")]
    Malformed(StoredFileError),
    /// The list is too old, not newer than the known one, or from another source.
    #[error(transparent)]
    Rejected(#[from] SnapshotRejected),
}

/// Conditions under which a list is accepted.
#[derive(Clone, Copy, Debug)]
pub struct ListRequirements {
    /// Source that the list must be from.
    pub source: u64,
    /// Current revision of this front; the list must be newer.
    pub known_revision: u64,
    /// Maximum age of the list in milliseconds.
    pub max_age_ms: u64,
}

/// Returns the time for which purges are kept, in milliseconds, if endpoints may hold purged copies for `propagation`.
pub fn purge_retention_ms(propagation: Micros) -> u64 {
    propagation / 1_000 + PURGE_MARGIN_MS
}

/// Returns the wall clock time as Unix time in milliseconds.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Returns the path of the snapshot of the front `name`.
pub fn file_path(folder: &Path, name: &str) -> PathBuf {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let name: String = name
        .bytes()
        .map(|b| if allowed(b) { char::from(b) } else { '_' })
        .collect();
    folder.join(format!("{name}.list"))
}

/// Decodes a list and checks that it meets the requirements.
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

/// Loads the list from disk if the file exists and meets the requirements. The outcome is logged.
pub fn load(path: &Path, required: ListRequirements) -> Option<Snapshot> {
    let at = path.display();
    match read_file(path).and_then(|text| decode_list(&text, required)) {
        Ok(list) => {
            let age_ms = wall_clock_ms().saturating_sub(list.at_ms);
            let event = list.revision;
            let members = list.endpoints.len();
            tracing::info!(kind = "snapshot", event, members, age_ms, %at, "endpoint list loaded from disk");
            Some(list)
        }
        Err(ListError::Unreadable(error)) if error.kind() == io::ErrorKind::NotFound => None,
        Err(error) => {
            tracing::info!(kind = "snapshot", why = %error, %at, "endpoint list on disk rejected");
            None
        }
    }
}

/// Reads the file up to one byte beyond the maximum size, so that a larger file is detected.
fn read_file(path: &Path) -> Result<Vec<u8>, ListError> {
    // Opening a pipe without a writer must not block.
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
        // Synced before the rename, so that the name never refers to data that is not on disk.
        file.sync_data()?;
        fs::rename(&temporary, path)?;
        // The rename is durable once the directory is synced.
        File::open(folder)?.sync_all()
    });
    if written.is_err() {
        let _ = fs::remove_file(&temporary);
    }
    written
}

/// Returns the path of the temporary file of this process.
fn temporary_path(path: &Path) -> PathBuf {
    path.with_extension(format!("{}.tmp", std::process::id()))
}

/// Removes the temporary files of killed processes of this front. If the file of a live process is removed, its write fails
/// and is retried.
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
    // Best effort: problems with the directory are logged when the list is written.
    let files = fs::read_dir(folder).into_iter().flatten().flatten();
    for file in files.take(MAX_SCANNED_FILES) {
        if file.file_name().to_str().is_some_and(is_temporary) {
            let _ = fs::remove_file(file.path());
        }
    }
}

/// The driver that stores the endpoint list on disk.
pub struct Snapshots {
    path: PathBuf,
    list: Snapshot,
    purge_retention_ms: u64,
    workers: Workers<io::Result<()>>,
    /// Whether the list has changed since the last write was started.
    dirty: bool,
    writing: bool,
    next_write_at: Timestamp,
    /// Whether the last write failed. Only the first failure in a row is logged.
    failing: bool,
    /// Time at which the list was last known to be current and marked as dirty.
    refreshed_at: Timestamp,
}

impl Snapshots {
    /// Stores `list`, and its later versions, at `path`. Endpoints may hold purged copies for `purge_propagation`.
    pub fn new(
        turn: &mut Turn<'_>,
        path: PathBuf,
        list: Snapshot,
        purge_propagation: Micros,
    ) -> Result<Self, SnapshotsError> {
        let key = turn.key();
        let workers = Workers::new(turn.reactor, key).map_err(SnapshotsError::Workers)?;
        remove_temporary_files(&path);
        Ok(Snapshots {
            path,
            list,
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
        self.list.apply(
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
                tracing::warn!(kind = "snapshot", %error, at = %self.path.display(), "cannot write the endpoint list to disk; retrying");
            }
        }
        self.failing = result.is_err();
    }

    /// Logs that the list exceeds the maximum size. The older one on disk stays usable; a start from it has to request more
    /// changes.
    fn report_too_large(&mut self) {
        if self.failing {
            return;
        }
        self.failing = true;
        tracing::warn!(
            kind = "snapshot",
            purges = self.list.purges.len(),
            "endpoint list too large to store; the older one on disk is kept"
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
        let Some(text) = self.list.encode() else {
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
                self.list.at_ms = wall_clock_ms();
                self.refreshed_at = turn.now;
                self.dirty = self.list.revision > 0;
            }
            EndpointEffect::Adopted(list) => {
                self.list = Snapshot::clone(list);
                self.dirty = true;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
