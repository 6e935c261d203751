//! Loads the purge log at the start. If purges may be lost, all copies count as purged.
use super::journal_reader::{JournalChange, JournalReader};
use super::journal_writer::{DiskFile, DurablePosition};
use super::unix_ms;
use crate::server::drivers::ownership::Ownership;
use cranesill::api::Timestamp;
use cranesill_daemon::Purges as Settings;
use cranesill_purges::journal::{self, GuardedFile, OpenedJournal};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::{Purge, PurgeTarget};
use std::io;
use std::net::AddrParseError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Number of low bits of a log's identity that hold the time; the process id is above.
const IDENTITY_TIME_BITS: u32 = 44;

/// Failure to start the purge log. Its text is shown to operators.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings refer to a kind of endpoint that the platform does not have.
    #[error("purges.boxes.kinds: {0} is not a kind in the platform's settings")]
    UnknownKind(String),
    /// The worker pool could not be created.
    #[error("purges: cannot create the worker pool: {0}")]
    Workers(#[source] io::Error),
    /// The journal could not be read or written.
    #[error("purges.file: {}: {cause}", path.display())]
    Journal {
        /// Path of the journal.
        path: PathBuf,
        /// Error of the file operation.
        cause: io::Error,
    },
    /// The lock of the journal is not available.
    #[error("purges.file: {}: cannot lock the journal: {cause}", path.display())]
    Lock {
        /// Path of the lock file.
        path: PathBuf,
        /// Error of the file operation.
        cause: io::Error,
    },
    /// The journal has a format that this version does not support.
    #[error("purges.file: {}: written by a newer version of this program", .0.display())]
    NewerJournal(PathBuf),
    /// The address for followers is invalid.
    #[error("purges.serve: {address}: {cause}")]
    ServeAddress {
        /// Address in the settings.
        address: String,
        /// Error of the parser.
        cause: AddrParseError,
    },
    /// The listener for followers could not be opened.
    #[error("purges.serve: cannot listen on {address}: {cause}")]
    Serve {
        /// Address in the settings.
        address: String,
        /// Error of the system call.
        cause: io::Error,
    },
    /// The address of the writer is invalid.
    #[error("purges.follow.address: {address}: {cause}")]
    FollowAddress {
        /// Address in the settings.
        address: String,
        /// Error of the parser.
        cause: AddrParseError,
    },
}

/// The purge log at the start.
pub(super) struct LoadedLog {
    pub(super) log: PurgeLog,
    /// The journal, if the settings specify one.
    pub(super) file: Option<GuardedFile<DiskFile>>,
    /// Error of the rewrite, if the journal had to be rewritten and that failed.
    pub(super) journal_failure: Option<String>,
}

impl LoadedLog {
    /// Returns the position up to which the journal is durable: the start if it has to be rewritten first.
    pub(super) fn durable(&self) -> DurablePosition {
        match &self.journal_failure {
            Some(_) => DurablePosition::start_of(&self.log),
            None => DurablePosition::end_of(&self.log),
        }
    }
}

/// Acquires the ownership of the journal, if no other process has it. On a full disk or after an I/O error the start continues, and
/// the process tries again later.
pub(super) fn try_acquire(ownership: &mut Ownership) -> Result<bool, StartError> {
    match ownership.try_acquire() {
        Ok(owned) => Ok(owned),
        Err(error) if is_disk_failure(&error) => {
            tracing::error!(kind = "not-kept", %error, path = %ownership.lock_path().display(), "purges: cannot lock the journal; retrying");
            Ok(false)
        }
        Err(cause) => Err(StartError::Lock {
            path: ownership.lock_path().to_path_buf(),
            cause,
        }),
    }
}

/// Whether an error means that the disk is full or failing, which may pass.
fn is_disk_failure(error: &io::Error) -> bool {
    let full = matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    );
    full || error.raw_os_error() == Some(libc::EIO)
}

/// Returns an identity for a new log.
pub(super) fn new_identity(now: Timestamp) -> u64 {
    unix_ms(now) ^ (u64::from(std::process::id()) << IDENTITY_TIME_BITS)
}

/// Creates an empty log that is kept in memory only.
pub(super) fn in_memory(now: Timestamp) -> LoadedLog {
    LoadedLog {
        log: PurgeLog::new(new_identity(now)),
        file: None,
        journal_failure: None,
    }
}

/// Loads the log from a journal that another process writes, without changing the file.
pub(super) fn load_shared(
    now: Timestamp,
    path: &Path,
    reader: &mut JournalReader,
) -> Result<LoadedLog, StartError> {
    let failed = |cause| StartError::Journal {
        path: path.to_path_buf(),
        cause,
    };
    let opened = match reader.read_changes().map_err(failed)?.change {
        JournalChange::Replaced(opened) => opened,
        // The first read returns the whole file.
        _ => OpenedJournal::Missing,
    };
    let log = match opened {
        OpenedJournal::Complete { log, .. } => log,
        OpenedJournal::Missing | OpenedJournal::Damaged { .. } => {
            let mut log = PurgeLog::new(new_identity(now));
            log.record_missing(unix_ms(now));
            log
        }
        OpenedJournal::NewerVersion => return Err(StartError::NewerJournal(path.to_path_buf())),
    };
    Ok(LoadedLog {
        log,
        file: Some(GuardedFile::new(DiskFile::new(path.to_path_buf()))),
        journal_failure: None,
    })
}

/// Loads the log from the journal that this process owns. A journal that is missing, damaged or ends with an incomplete record is
/// rewritten.
pub(super) fn load_owned(now: Timestamp, path: &Path) -> Result<LoadedLog, StartError> {
    let identity = new_identity(now);
    let path = &path.to_path_buf();
    let failed = |cause| StartError::Journal {
        path: path.clone(),
        cause,
    };
    let mut file = GuardedFile::new(DiskFile::new(path.clone()));
    let (log, intact) = match journal::open(&mut file).map_err(failed)? {
        OpenedJournal::Missing => {
            // A lost disk cannot be distinguished from a first start.
            let mut log = PurgeLog::new(identity);
            purge_everything(now, &mut log, "the file was missing");
            (log, false)
        }
        OpenedJournal::Complete { log, torn_bytes } => {
            warn_of_torn_record(torn_bytes);
            (log, torn_bytes == 0)
        }
        OpenedJournal::Damaged { log, offset } => {
            let log = replace_damaged(now, identity, path, log, offset).map_err(failed)?;
            (log, false)
        }
        OpenedJournal::NewerVersion => return Err(StartError::NewerJournal(path.clone())),
    };
    let journal_failure = if intact {
        None
    } else {
        rewrite(&mut file, path, &log).map_err(failed)?
    };
    Ok(LoadedLog {
        log,
        file: Some(file),
        journal_failure,
    })
}

fn warn_of_torn_record(bytes: usize) {
    if bytes > 0 {
        tracing::warn!(
            kind = "torn",
            bytes,
            "purges: discarded an incomplete record at the end of the journal; it was never acknowledged"
        );
    }
}

/// Creates a new log with the purges before the damage, and renames the damaged file.
fn replace_damaged(
    now: Timestamp,
    identity: u64,
    path: &Path,
    damaged: Option<PurgeLog>,
    offset: usize,
) -> io::Result<PurgeLog> {
    let log = successor_of_damaged(now, identity, path, damaged, offset);
    rename_damaged(path)?;
    Ok(log)
}

/// Renames a damaged journal. It is not copied since a full disk has no space for that. If the process ends here, the next start
/// finds no journal, and counts everything as purged as well.
pub(super) fn rename_damaged(path: &Path) -> io::Result<()> {
    std::fs::rename(path, path.with_extension("damaged"))
}

/// Creates the log that succeeds a damaged one: it has the purges before the damage, and counts everything as purged.
pub(super) fn successor_of_damaged(
    now: Timestamp,
    identity: u64,
    path: &Path,
    damaged: Option<PurgeLog>,
    offset: usize,
) -> PurgeLog {
    tracing::error!(
        kind = "damaged",
        at = offset,
        path = %path.display(),
        "purges: the journal is damaged; it is renamed, and all copies count as purged"
    );
    // The numbers of lost purges must not be reused in the same log, so this is a new log. It needs no note of purges that were
    // missing from the damaged one, since everything is purged now.
    let mut log = PurgeLog::new(identity);
    for purge in damaged.iter().flat_map(PurgeLog::iter) {
        let number = log.last_number() + 1;
        // Cannot fail: it has the next number.
        let _ = log.append(
            identity,
            Purge {
                number,
                ..purge.clone()
            },
        );
    }
    purge_everything(now, &mut log, "the file was damaged");
    log
}

/// Appends a purge of everything, since earlier purges may be lost. Like any purge it is stored and sent to cache nodes.
fn purge_everything(now: Timestamp, log: &mut PurgeLog, why: &str) {
    let identity = log.identity;
    let purge = Purge {
        number: log.last_number() + 1,
        at_ms: unix_ms(now),
        target: PurgeTarget::Pattern("*".into()),
        id: format!("start-{identity:016x}").into(),
        who: "cranesill".into(),
        why: why.into(),
    };
    // Cannot fail: it has the next number.
    let _ = log.append(identity, purge);
}

/// Rewrites the journal. If the disk is full or has an I/O error, the start continues: the error is returned as text, and the
/// next sweep retries. Any other error, such as an invalid path, prevents the start.
fn rewrite(
    file: &mut GuardedFile<DiskFile>,
    path: &Path,
    log: &PurgeLog,
) -> io::Result<Option<String>> {
    let Err(error) = journal::rewrite(file, log) else {
        return Ok(None);
    };
    if !is_disk_failure(&error) {
        return Err(error);
    }
    tracing::error!(kind = "not-kept", %error, path = %path.display(), "purges: cannot rewrite the journal; retrying");
    Ok(Some(error.to_string()))
}

/// Returns the indexes, in the platform's list, of the kinds of endpoints that are sent purges.
pub(super) fn cache_node_kinds(
    settings: &Settings,
    platform_kinds: &[String],
) -> Result<Vec<u8>, StartError> {
    let position = |name: &String| {
        let position = platform_kinds.iter().position(|kind| kind == name);
        position
            .and_then(|position| u8::try_from(position).ok())
            .ok_or_else(|| StartError::UnknownKind(name.clone()))
    };
    let names = settings.boxes.iter().flat_map(|nodes| &nodes.kinds);
    names.map(position).collect()
}
