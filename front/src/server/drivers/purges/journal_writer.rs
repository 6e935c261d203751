//! Writes the journal of the purge log on a worker thread, since syncing a file blocks.
use super::journal_reader::JournalRead;
use super::start::rename_damaged;
use crate::transport::{Reactor, Workers};
use cranesill_purges::journal::{self, GuardedFile, JournalFile};
use cranesill_purges::log::PurgeLog;
use cranesill_purges::matching::{compile_patterns, CompileError, CompileJob, PatternSet};
use cranesill_purges::Purge;
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use thiserror::Error;

/// Maximum size of a journal.
pub(super) const MAX_JOURNAL_BYTES: u64 = 1 << 30;
/// File mode of the journal.
const JOURNAL_MODE: u32 = 0o600;

/// The journal on disk.
pub(super) struct DiskFile {
    path: PathBuf,
    /// Open for appending.
    pub(super) append_handle: Option<std::fs::File>,
}

impl DiskFile {
    /// Refers to the journal at a path, without opening it.
    pub(super) fn new(path: PathBuf) -> Self {
        DiskFile {
            path,
            append_handle: None,
        }
    }

    fn folder(&self) -> &Path {
        let parent = self.path.parent();
        let folder = parent.filter(|path| !path.as_os_str().is_empty());
        folder.unwrap_or(Path::new("."))
    }
}

impl JournalFile for DiskFile {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        let file = match std::fs::File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error),
        };
        let mut bytes = Vec::new();
        file.take(MAX_JOURNAL_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_JOURNAL_BYTES {
            return Err(io::Error::other(format!(
                "more than {MAX_JOURNAL_BYTES} bytes"
            )));
        }
        Ok(Some(bytes))
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let file = match &mut self.append_handle {
            Some(file) => file,
            None => {
                let file = std::fs::OpenOptions::new().append(true).open(&self.path)?;
                self.append_handle.insert(file)
            }
        };
        file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        match &self.append_handle {
            Some(file) => file.sync_data(),
            None => Ok(()),
        }
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.append_handle = None;
        let temporary = self.path.with_extension("tmp");
        let mut file = std::fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(JOURNAL_MODE)
            .open(&temporary)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&temporary, &self.path)?;
        std::fs::File::open(self.folder())?.sync_all()
    }
}

/// A position in a purge log up to which its journal is durable.
#[derive(Clone, Copy, Debug)]
pub(super) struct DurablePosition {
    pub(super) log: u64,
    pub(super) number: u64,
}

impl DurablePosition {
    /// Returns the end of a log.
    pub(super) fn end_of(log: &PurgeLog) -> Self {
        DurablePosition {
            log: log.identity,
            number: log.last_number(),
        }
    }

    /// Returns the position before the first purge of a log.
    pub(super) fn start_of(log: &PurgeLog) -> Self {
        DurablePosition {
            log: log.identity,
            number: log.base(),
        }
    }

    /// Advances the position to that of a completed write. A write of another log is ignored.
    pub(super) fn advance(&mut self, written: DurablePosition) {
        if self.log == written.log {
            self.number = self.number.max(written.number);
        }
    }
}

/// Failure of a write.
#[derive(Debug, Error)]
pub(super) enum WriteError {
    #[error(transparent)]
    Io(#[from] io::Error),
    /// An earlier write panicked and left the file in an unknown state.
    #[error("journal unusable after a panic in an earlier write")]
    WriterPanicked,
}

type WriteResult = Result<(), WriteError>;

/// A completed job of a worker thread.
pub(super) enum Completed {
    /// An operator's purge was appended, or appending it failed.
    PurgeAppended(WriteResult),
    /// A batch from the writer was appended up to `durable`, or appending it failed.
    BatchAppended {
        durable: DurablePosition,
        result: WriteResult,
    },
    /// The journal was rewritten up to `durable`, or rewriting it failed.
    Rewritten {
        durable: DurablePosition,
        result: WriteResult,
    },
    /// A read of a journal that another process may write.
    JournalRead {
        /// Number of the read.
        read: u64,
        result: io::Result<JournalRead>,
    },
    /// The compiled patterns, or why they could not be compiled.
    PatternsCompiled(Result<PatternSet, CompileError>),
}

impl Completed {
    /// Whether the job wrote the journal.
    fn is_write(&self) -> bool {
        !matches!(
            self,
            Completed::JournalRead { .. } | Completed::PatternsCompiled(_)
        )
    }
}

type SharedFile = Arc<Mutex<GuardedFile<DiskFile>>>;

/// Passes jobs to worker threads. Writes are performed in order.
pub(super) struct JournalWriter {
    file: Option<SharedFile>,
    workers: Workers<Completed>,
    /// Number of writes whose results were not returned yet.
    writes_in_progress: usize,
}

impl JournalWriter {
    /// Creates a writer without a journal. The poller reports `key` when a job is completed.
    pub(super) fn new(reactor: &Reactor, key: usize) -> io::Result<Self> {
        Ok(JournalWriter {
            file: None,
            workers: Workers::new(reactor, key)?,
            writes_in_progress: 0,
        })
    }

    /// Sets the journal.
    pub(super) fn set_file(&mut self, file: Option<GuardedFile<DiskFile>>) {
        self.file = file.map(|file| Arc::new(Mutex::new(file)));
    }

    /// Returns the journal, if the settings specify one.
    pub(super) fn file(&self) -> Option<&SharedFile> {
        self.file.as_ref()
    }

    /// Starts to append an operator's purge.
    pub(super) fn append(&mut self, purge: Purge) -> io::Result<()> {
        let write = move |file: &mut GuardedFile<DiskFile>| journal::append_purge(file, &purge);
        self.write(write, Completed::PurgeAppended)
    }

    /// Starts to append a batch from the writer, after which the journal is durable up to `durable`.
    pub(super) fn append_batch(
        &mut self,
        durable: DurablePosition,
        purges: Vec<Purge>,
    ) -> io::Result<()> {
        let write = move |file: &mut GuardedFile<DiskFile>| journal::append_purges(file, &purges);
        self.write(write, move |result| Completed::BatchAppended {
            durable,
            result,
        })
    }

    /// Starts to rewrite the journal.
    pub(super) fn rewrite(&mut self, log: PurgeLog) -> io::Result<()> {
        let durable = DurablePosition::end_of(&log);
        let write = move |file: &mut GuardedFile<DiskFile>| journal::rewrite(file, &log);
        self.write(write, move |result| Completed::Rewritten {
            durable,
            result,
        })
    }

    /// Starts to rename a damaged journal and to write its successor.
    pub(super) fn rename_damaged_and_rewrite(
        &mut self,
        path: PathBuf,
        log: PurgeLog,
    ) -> io::Result<()> {
        let durable = DurablePosition::end_of(&log);
        let write = move |file: &mut GuardedFile<DiskFile>| {
            rename_damaged(&path)?;
            journal::rewrite(file, &log)
        };
        self.write(write, move |result| Completed::Rewritten {
            durable,
            result,
        })
    }

    /// Starts a read of the journal, after the writes that were started before.
    pub(super) fn read(
        &mut self,
        read: u64,
        work: impl FnOnce() -> io::Result<JournalRead> + Send + 'static,
    ) -> io::Result<()> {
        self.workers.in_order(move || Completed::JournalRead {
            read,
            result: work(),
        })
    }

    /// Returns the number of writes that were started and whose results were not returned yet.
    pub(super) fn writes_in_progress(&self) -> usize {
        self.writes_in_progress
    }

    fn write(
        &mut self,
        write: impl FnOnce(&mut GuardedFile<DiskFile>) -> io::Result<()> + Send + 'static,
        completed: impl FnOnce(WriteResult) -> Completed + Send + 'static,
    ) -> io::Result<()> {
        let Some(file) = self.file.clone() else {
            return Ok(());
        };
        self.workers.in_order(move || {
            completed(match file.lock() {
                Ok(mut file) => write(&mut file).map_err(WriteError::Io),
                Err(_) => Err(WriteError::WriterPanicked),
            })
        })?;
        self.writes_in_progress += 1;
        Ok(())
    }

    /// Starts to compile patterns, concurrently with writes.
    pub(super) fn compile(&self, job: CompileJob) -> io::Result<()> {
        let work = move || Completed::PatternsCompiled(compile_patterns(job));
        self.workers.run(work)
    }

    /// Returns the jobs that were completed since the last call.
    pub(super) fn completed(&mut self) -> Vec<Completed> {
        let results = self.workers.results();
        let writes = results.iter().filter(|completed| completed.is_write());
        self.writes_in_progress -= writes.count();
        results
    }
}
