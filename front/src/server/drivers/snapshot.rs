//! Keeps the list of members on disk, so that a front that starts anew asks for changes only, and has a list to serve from while
//! the list service can't be reached. Written aside and renamed, on a thread of its own.
use super::{Driver, Effect, EndpointEffect, Turn};
use crate::protocol::discovery::WatchEvent;
use crate::protocol::snapshot::{Snapshot, MAX_SNAPSHOT_BYTES};
use crate::transport::Workers;
use cranesill::api::{Micros, Timestamp};
use cranesill_startup::{check_snapshot, SnapshotHeader};
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Files of the folder that are looked at for what is left of killed processes.
const FILES_MAX: usize = 10_000;
/// Pause between two writes.
const EACH: Micros = 1_000_000;
/// While nothing changes the list is written this often, with the time at which it was still known to be so. It is dated by the
/// wall clock, which the next process compares; a step of that is made up for by the next of these writes.
const AGAIN: Micros = 20_000_000;
/// Purges are kept this much longer than members may hold older copies.
const PURGE_SLACK_MS: u64 = 2_000;

/// For how long purges are kept, where members may hold older copies for `takes`.
pub fn purge_ms(takes: Micros) -> u64 {
    takes / 1_000 + PURGE_SLACK_MS
}

/// Unix milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Where the snapshot of a front of this name lies.
pub fn path(folder: &Path, name: &str) -> PathBuf {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
    let name: String = name
        .bytes()
        .map(|b| if plain(b) { char::from(b) } else { '_' })
        .collect();
    folder.join(format!("{name}.list"))
}

/// Reads what lies there, if a front is to serve from it that knows so much by its configuration. Otherwise the log says why.
pub fn load(path: &Path, source: u64, known: u64, serve_ms: u64) -> Option<Snapshot> {
    let mut text = Vec::new();
    // Not blocking: what somebody else put there may be a pipe that nobody writes to.
    let opened = File::options()
        .read(true)
        .custom_flags(libc::O_NONBLOCK)
        .open(path);
    let read = opened.and_then(|file| {
        file.take(MAX_SNAPSHOT_BYTES as u64 + 1)
            .read_to_end(&mut text)
    });
    let found = match read {
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(error) => Err(error.to_string()),
        Ok(_) => Snapshot::decode(&text).map_err(|error| error.to_string()),
    };
    let found = found.and_then(|found| {
        let header = SnapshotHeader {
            source: found.source,
            revision: found.number,
            current_at_ms: found.at_ms,
        };
        check_snapshot(wall_ms(), header, source, known, serve_ms)
            .map_err(|why| why.to_string())
            .map(|()| found)
    });
    let at = path.display();
    match found {
        Ok(found) => {
            let age_ms = wall_ms().saturating_sub(found.at_ms);
            let (event, members) = (found.number, found.members.len());
            tracing::info!(kind = "snapshot", event, members, age_ms, %at, "the list is served from disk");
            Some(found)
        }
        Err(why) => {
            tracing::info!(kind = "snapshot", why, %at, "the list on disk is left aside");
            None
        }
    }
}

fn write(path: &Path, text: &str) -> io::Result<()> {
    let aside = aside_of(path);
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let written = File::create(&aside).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        // A name must not come to stand for what the disk does not have yet.
        file.sync_data()?;
        fs::rename(&aside, path)?;
        // The name itself is durable with its folder.
        File::open(folder)?.sync_all()
    });
    if written.is_err() {
        let _ = fs::remove_file(&aside);
    }
    written
}

/// Where this process writes a snapshot before that takes its place.
fn aside_of(path: &Path) -> PathBuf {
    path.with_extension(format!("{}.tmp", std::process::id()))
}

/// Takes away what processes of this front left that were killed in the midst of a write. One that still lives, and writes at
/// this moment, fails and writes again.
fn clean(path: &Path) {
    let Some((folder, stem)) = path
        .parent()
        .zip(path.file_stem().and_then(|stem| stem.to_str()))
    else {
        return;
    };
    let is_left = |name: &str| {
        let middle = name
            .strip_prefix(stem)
            .and_then(|rest| rest.strip_prefix('.')?.strip_suffix(".tmp"));
        middle.is_some_and(|pid| !pid.is_empty() && pid.bytes().all(|b| b.is_ascii_digit()))
    };
    // Best effort: a folder that can't be read is told of when something is written.
    for file in fs::read_dir(folder)
        .into_iter()
        .flatten()
        .flatten()
        .take(FILES_MAX)
    {
        if file.file_name().to_str().is_some_and(is_left) {
            let _ = fs::remove_file(file.path());
        }
    }
}

/// The driver.
pub struct Snapshots {
    path: PathBuf,
    known: Snapshot,
    /// Purges count for so long.
    purge_ms: u64,
    workers: Workers<io::Result<()>>,
    /// Something is not written yet; a write is under way.
    dirty: bool,
    busy: bool,
    due: Timestamp,
    failed: bool,
    /// When the list was last dated.
    dated: Timestamp,
}

impl Snapshots {
    /// Keeps what is known and becomes known in `path`; `purge` is for how long members may hold purged copies.
    pub fn new(
        turn: &mut Turn<'_>,
        path: PathBuf,
        known: Snapshot,
        purge: Micros,
    ) -> Result<Self, String> {
        let key = turn.key();
        let workers =
            Workers::new(turn.reactor, key).map_err(|e| format!("startup.snapshots: {e}"))?;
        let purge_ms = purge_ms(purge);
        clean(&path);
        Ok(Snapshots {
            path,
            known,
            purge_ms,
            workers,
            dirty: false,
            busy: false,
            due: turn.now,
            failed: false,
            dated: 0,
        })
    }

    fn news(&mut self, now: Timestamp, number: u64, news: &WatchEvent) {
        self.known
            .apply(number, wall_ms(), now / 1_000, self.purge_ms, news);
        self.dated = now;
        self.dirty = true;
    }
}

impl Driver for Snapshots {
    fn ready(&mut self, turn: &mut Turn<'_>, _: usize, _: bool, _: bool) {
        for done in self.workers.results() {
            self.busy = false;
            self.due = turn.now + EACH;
            if let Err(error) = &done {
                // What is known is kept: it is tried again, and told once.
                self.dirty = true;
                if !self.failed {
                    tracing::warn!(kind = "snapshot", %error, at = %self.path.display(), "the list can't be kept on disk");
                }
            }
            self.failed = done.is_err();
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        if !self.dirty || self.busy || turn.now < self.due {
            return;
        }
        self.dirty = false;
        let Some(text) = self.known.encode() else {
            // What lies there is older and is asked on from: nothing is lost, a start takes longer.
            if !std::mem::replace(&mut self.failed, true) {
                tracing::warn!(
                    kind = "snapshot",
                    purges = self.known.purges.len(),
                    "the list is too large for the disk"
                );
            }
            return;
        };
        let path = self.path.clone();
        self.busy = self.workers.in_order(move || write(&path, &text)).is_ok();
        self.dirty = !self.busy;
        self.due = turn.now + EACH;
    }

    fn next(&self) -> Option<Timestamp> {
        (self.dirty && !self.busy).then_some(self.due)
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Endpoints(EndpointEffect::WatchEvent {
                revision: number,
                event: news,
            }) => self.news(turn.now, *number, news),
            Effect::Endpoints(EndpointEffect::Current) if turn.now >= self.dated + AGAIN => {
                (self.known.at_ms, self.dated) = (wall_ms(), turn.now);
                self.dirty = self.known.number > 0;
            }
            Effect::Endpoints(EndpointEffect::Adopted(list)) => {
                self.known = Snapshot::clone(list);
                self.dirty = true;
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests;
