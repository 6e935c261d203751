//! Loads the purge log at the start. Whatever cannot be read counts as purged.
use super::journal_writer::{DiskFile, DurablePosition};
use super::unix_ms;
use cranesill::api::Timestamp;
use cranesill_daemon::Purges as Settings;
use cranesill_purges::journal::{self, GuardedFile, OpenedJournal};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::{Purge, PurgeTarget};
use std::io;
use std::net::AddrParseError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Bits of the log's identity below those of the process id.
const IDENTITY_TIME_BITS: u32 = 44;

/// Why purges cannot be switched on.
#[derive(Debug, Error)]
pub enum StartError {
    /// The settings name a kind of endpoint that the platform does not have.
    #[error("purges.boxes.kinds: the platform has no kind {0}")]
    UnknownKind(String),
    /// The worker threads could not be set up.
    #[error("purges: {0}")]
    Workers(#[source] io::Error),
    /// The journal could not be read or written.
    #[error("purges.file: {}: {cause}", path.display())]
    Journal {
        /// The journal.
        path: PathBuf,
        /// What failed.
        cause: io::Error,
    },
    /// The journal has a format that this version does not know.
    #[error("purges.file: {}: from a newer version of this program", .0.display())]
    NewerJournal(PathBuf),
    /// The address for followers is not valid.
    #[error("purges.serve: {address}: {cause}")]
    ServeAddress {
        /// The address in the settings.
        address: String,
        /// Why it is not valid.
        cause: AddrParseError,
    },
    /// The socket for followers could not be opened.
    #[error("purges.serve: {address}: {cause}")]
    Serve {
        /// The address in the settings.
        address: String,
        /// What failed.
        cause: io::Error,
    },
    /// The writer's address is not valid.
    #[error("purges.follow.address: {address}: {cause}")]
    FollowAddress {
        /// The address in the settings.
        address: String,
        /// Why it is not valid.
        cause: AddrParseError,
    },
}

/// The log as it was found at the start.
pub(super) struct LoadedLog {
    pub(super) log: PurgeLog,
    /// The journal, if the settings name one.
    pub(super) file: Option<GuardedFile<DiskFile>>,
    /// Why the journal could not be rewritten, where it has to be.
    pub(super) journal_failure: Option<String>,
}

impl LoadedLog {
    /// Up to where the journal is durable: nowhere if it has to be rewritten first.
    pub(super) fn durable(&self) -> DurablePosition {
        match &self.journal_failure {
            Some(_) => DurablePosition::start_of(&self.log),
            None => DurablePosition::end_of(&self.log),
        }
    }
}

/// Loads the log that the settings name, or begins one.
pub(super) fn load(now: Timestamp, settings: &Settings) -> Result<LoadedLog, StartError> {
    let identity = unix_ms(now) ^ (u64::from(std::process::id()) << IDENTITY_TIME_BITS);
    let Some(path) = &settings.file else {
        return Ok(LoadedLog {
            log: PurgeLog::new(identity),
            file: None,
            journal_failure: None,
        });
    };
    let failed = |cause| StartError::Journal {
        path: path.clone(),
        cause,
    };
    let mut file = GuardedFile::new(DiskFile::new(path.clone()));
    let (log, intact) = match journal::open(&mut file).map_err(failed)? {
        OpenedJournal::Missing => {
            // A lost disk looks the same as a first start.
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
        rewrite(&mut file, &log).map_err(failed)?
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
            "purges: a write was cut off, nobody was told of it"
        );
    }
}

/// Begins a new log with the purges before the damage, and moves the damaged file away.
fn replace_damaged(
    now: Timestamp,
    identity: u64,
    path: &Path,
    damaged: Option<PurgeLog>,
    offset: usize,
) -> io::Result<PurgeLog> {
    tracing::error!(
        kind = "damaged",
        at = offset,
        path = %path.display(),
        "purges: the file is damaged, everything counts as purged"
    );
    // A number must not mean two purges, so what follows is another log.
    let mut log = PurgeLog::new(identity);
    for purge in damaged.iter().flat_map(PurgeLog::iter) {
        let number = log.last_number() + 1;
        // It is the next one of this log, so it cannot be rejected.
        let _ = log.append(
            identity,
            Purge {
                number,
                ..purge.clone()
            },
        );
    }
    purge_everything(now, &mut log, "the file was damaged");
    // Moved rather than copied: a full disk has no space for a copy. If the process ends here, the missing file counts
    // as everything purged as well.
    std::fs::rename(path, path.with_extension("damaged"))?;
    Ok(log)
}

/// Appends a purge of everything, since earlier purges are not known. As an ordinary purge it is stored and reaches the
/// cache nodes.
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
    // It is the next one of this log, so it cannot be rejected.
    let _ = log.append(identity, purge);
}

/// Rewrites the journal. A disk that is full or fails for a while does not prevent the start: the failure is returned,
/// and the next sweep tries again. Any other error, such as a wrong path, does prevent it.
fn rewrite(file: &mut GuardedFile<DiskFile>, log: &PurgeLog) -> io::Result<Option<String>> {
    let Err(error) = journal::rewrite(file, log) else {
        return Ok(None);
    };
    let full = matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    );
    if !full && error.raw_os_error() != Some(libc::EIO) {
        return Err(error);
    }
    tracing::error!(kind = "not-kept", %error, "purges: the ledger can't be kept");
    Ok(Some(error.to_string()))
}

/// The positions, in the platform's list, of the kinds of endpoints that are sent purges.
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
