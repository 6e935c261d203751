//! Driver of the purge log. Purges by operators are written to the journal, and sent to followers, to cache nodes and to the
//! front's own purge floors. A purge takes effect, and its operator is answered, once it is durable. Of several processes with the same
//! journal one accepts purges; see [`sharing`].
mod cache_nodes;
mod commands;
mod followers;
mod following;
mod journal_reader;
mod journal_writer;
mod mirroring;
mod sharing;
mod start;
mod writer_link;

pub use commands::{parse_target, TargetError};
pub use followers::MAX_FOLLOWERS;
pub use start::StartError;

use super::ownership::Ownership;
use super::{AdminEffect, Driver, Effect, EndpointEffect, PurgeEffect, Turn};
use crate::transport::Outgoing;
use cache_nodes::CacheNodeLinks;
use commands::{AppendingPurge, ConfirmationWait, QueuedCommand};
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::Purges as Settings;
use cranesill_purges::log::PurgeLog;
use cranesill_purges::matching::CompileJob;
use cranesill_purges::{Purge, PurgeNumber, UnixMillis};
use followers::Followers;
use journal_reader::JournalReader;
use journal_writer::{Completed, DurablePosition, JournalWriter};
use sharing::Sharing;
use start::LoadedLog;
use std::collections::VecDeque;
use std::rc::Rc;
use writer_link::WriterLink;

/// Interval at which purges that are older than any copy are removed.
const SWEEP_INTERVAL: Micros = 10_000_000;

/// The driver of the purge log.
pub struct Purges {
    log: PurgeLog,
    journal: JournalWriter,
    /// Poller key of the journal's worker threads.
    journal_key: usize,
    /// Position up to which the journal is durable. A follower confirms no later one to its writer.
    durable: DurablePosition,
    /// Error of the last write. While it is set no purge is accepted; a rewrite of the journal clears it.
    journal_failure: Option<String>,
    settings: Settings,
    queue: VecDeque<QueuedCommand>,
    appending: Option<AppendingPurge>,
    /// Links to cache nodes, if purges are sent to them.
    cache_nodes: Option<CacheNodeLinks>,
    /// Followers of this front, if it serves its log.
    followers: Option<Followers>,
    /// Link to the writer, if this front is a follower.
    writer: Option<WriterLink>,
    /// Whether a writer has sent this log since the start, so that it may have accepted further purges.
    log_is_from_writer: bool,
    /// The part of this process among those that share the log.
    sharing: Sharing,
    confirmation_waits: Vec<ConfirmationWait>,
    next_sweep: Timestamp,
    now: Timestamp,
}

/// Returns Unix milliseconds by the event loop's clock. Unlike the wall clock it has no steps after the start, of which one
/// forward would remove purges too early.
fn unix_ms(now: Timestamp) -> UnixMillis {
    now / 1_000
}

/// Returns the timestamp of a purge that is accepted now. It includes the clock offset to the list service: a timestamp that
/// is too early would let purged copies pass.
fn purge_timestamp(turn: &Turn<'_>) -> UnixMillis {
    unix_ms(turn.now) + turn.behind_ms
}

/// Returns the time before which no endpoint has a copy.
fn horizon(now: Timestamp, settings: &Settings) -> UnixMillis {
    unix_ms(now).saturating_sub(settings.horizon_s * 1_000)
}

/// Enables the purge floors, with the purges that may still apply to a copy.
fn enable_floors(
    turn: &mut Turn<'_>,
    settings: &Settings,
    log: &PurgeLog,
    journal: &JournalWriter,
) {
    let horizon = horizon(turn.now, settings);
    let live = log.iter().filter(|purge| purge.at_ms >= horizon);
    let live: Vec<Purge> = live.cloned().collect();
    // Without a journal, all earlier purges are unknown.
    let purged_up_to = match journal.file() {
        None => unix_ms(turn.now),
        Some(_) => log.purged_up_to(),
    };
    let purged_up_to = Some(purged_up_to).filter(|up_to| *up_to > horizon);
    let last = log.last_number();
    let unknown = purged_up_to.is_some();
    tracing::info!(
        last,
        live = live.len(),
        unknown,
        purged_up_to,
        "purges: log loaded"
    );
    let enabled = PurgeEffect::Enabled {
        settings: settings.clone(),
        purged_up_to,
    };
    turn.effects.push(Effect::Purges(enabled));
    turn.effects.push(Effect::Purges(PurgeEffect::Purged(live)));
}

/// Wraps bytes for sending on a stream.
fn outgoing(bytes: Vec<u8>) -> Outgoing<()> {
    Outgoing {
        tag: (),
        head: bytes,
        body: Rc::default(),
        tail: b"",
    }
}

/// Loads the log, and determines whether this process is its writer.
fn load(
    now: Timestamp,
    settings: &Settings,
    accepts_clients: bool,
) -> Result<(LoadedLog, Sharing), StartError> {
    let Some(path) = &settings.file else {
        return Ok((
            start::in_memory(now),
            Sharing::without_file(accepts_clients),
        ));
    };
    let mut ownership = Ownership::of_file(path);
    let owned = accepts_clients && start::try_acquire(&mut ownership)?;
    let mut reader = JournalReader::new(path);
    let loaded = match owned {
        true => start::load_owned(now, path)?,
        false => start::load_shared(now, path, &mut reader)?,
    };
    let sharing = Sharing::of_file(ownership, reader, accepts_clients, owned);
    Ok((loaded, sharing))
}

impl Purges {
    /// Loads the log and opens the sockets. Called before the first request is accepted. `platform_kinds` are the names of
    /// the kinds of endpoints, by index. `accepts_clients` is whether no other process of this front accepts clients.
    pub fn new(
        turn: &mut Turn<'_>,
        settings: &Settings,
        platform_kinds: &[String],
        accepts_clients: bool,
    ) -> Result<Self, StartError> {
        let kinds = start::cache_node_kinds(settings, platform_kinds)?;
        let journal_key = turn.key();
        let mut journal =
            JournalWriter::new(turn.reactor, journal_key).map_err(StartError::Workers)?;
        let (loaded, sharing) = load(turn.now, settings, accepts_clients)?;
        let durable = loaded.durable();
        let log = loaded.log;
        journal.set_file(loaded.file);
        enable_floors(turn, settings, &log, &journal);
        let cache_nodes = settings.boxes.as_ref().map(|nodes| {
            let rate = nodes.per_s.into();
            CacheNodeLinks::new(turn.now, &log, kinds, rate, nodes.connections_most)
        });
        let followers = match &settings.serve {
            Some(address) if sharing.is_writer() => Some(Followers::new(turn, address)?),
            Some(address) => followers::parse_address(address).map(|_| None)?,
            None => None,
        };
        let writer = match &settings.follow {
            Some(follow) => Some(WriterLink::new(turn.now, &follow.address)?),
            None => None,
        };
        Ok(Purges {
            durable,
            log,
            journal,
            journal_key,
            journal_failure: loaded.journal_failure,
            settings: settings.clone(),
            queue: VecDeque::new(),
            appending: None,
            cache_nodes,
            followers,
            writer,
            log_is_from_writer: false,
            sharing,
            confirmation_waits: Vec::new(),
            next_sweep: turn.now + SWEEP_INTERVAL,
            now: turn.now,
        })
    }

    /// Sends what is due to followers, the writer and cache nodes, and responds to operators who wait for cache nodes.
    fn advance_links(&mut self, turn: &mut Turn<'_>) {
        if let Some(followers) = &mut self.followers {
            followers.send_due(turn.now, &self.log);
        }
        if let Some(writer) = &mut self.writer {
            let stored = match self.journal.file() {
                Some(_) if self.sharing.is_writer() => self.durable.number,
                _ => self.log.last_number(),
            };
            writer.connect_if_due(turn, self.log.identity, stored);
        }
        let Some(nodes) = &mut self.cache_nodes else {
            return;
        };
        if !self.sharing.sends_to_cache_nodes() {
            return;
        }
        nodes.send_due(turn, &self.log);
        if let Some(number) = nodes.take_confirmation() {
            turn.effects
                .push(Effect::Purges(PurgeEffect::Confirmed { up_to: number }));
        }
        self.check_confirmation_waits(turn);
    }

    fn handle_completed(&mut self, turn: &mut Turn<'_>, completed: Completed) {
        match completed {
            Completed::JournalRead { read, result } => self.journal_read(turn, read, result),
            Completed::PurgeAppended(Ok(())) => {
                if let Some(appended) = self.appending.take() {
                    self.purge_appended(turn, appended);
                }
                self.process_queue(turn);
            }
            Completed::PurgeAppended(Err(error)) => self.journal_failed(turn, &error.to_string()),
            Completed::BatchAppended {
                durable,
                result: Ok(()),
            } => self.advance_durable(turn, durable),
            Completed::BatchAppended {
                result: Err(error), ..
            } => {
                self.disconnect_writer(turn, "cannot write its purges to the journal");
                self.journal_failed(turn, &error.to_string());
            }
            Completed::Rewritten {
                durable,
                result: Ok(()),
            } => {
                self.advance_durable(turn, durable);
                if self.journal_failure.take().is_some() {
                    tracing::info!("purges: the journal is writable again");
                }
            }
            Completed::Rewritten {
                result: Err(error), ..
            } => self.rewrite_failed(&error.to_string()),
            Completed::PatternsCompiled(set) => {
                let compiled = PurgeEffect::Compiled(Box::new(set));
                turn.effects.push(Effect::Purges(compiled));
            }
        }
    }

    /// Returns the path of the journal for log lines, if the settings specify one.
    fn journal_path(&self) -> Option<impl tracing::Value + '_> {
        let path = self.settings.file.as_ref();
        path.map(|path| tracing::field::display(path.display()))
    }

    /// Handles a failed write. The contents of the journal are unknown until it is rewritten.
    fn journal_failed(&mut self, turn: &mut Turn<'_>, cause: &str) {
        tracing::error!(
            kind = "not-kept",
            error = cause,
            path = self.journal_path(),
            "purges: cannot write the journal; it will be rewritten"
        );
        self.journal_failure = Some(cause.into());
        if let Some(failed) = self.appending.take() {
            self.purge_not_durable(turn, failed, cause);
        }
        self.process_queue(turn);
    }

    /// Handles a failed rewrite. Each sweep retries, so only the first failure in a row is logged.
    fn rewrite_failed(&mut self, cause: &str) {
        if self.journal_failure.replace(cause.into()).is_none() {
            tracing::error!(
                kind = "not-kept",
                error = cause,
                path = self.journal_path(),
                "purges: cannot rewrite the journal; retrying"
            );
        }
    }

    /// Starts to rewrite the journal, which drops compacted purges and partial records of failed writes.
    fn rewrite_journal(&mut self, turn: &mut Turn<'_>) {
        if self.journal.file().is_none() || !self.sharing.is_writer() {
            return;
        }
        if let Err(error) = self.journal.rewrite(self.log.clone()) {
            self.journal_failed(turn, &error.to_string());
        }
    }

    /// Removes purges that are older than any copy.
    fn sweep(&mut self, turn: &mut Turn<'_>) {
        let horizon = horizon(turn.now, &self.settings);
        turn.effects
            .push(Effect::Purges(PurgeEffect::Expired { horizon }));
        // A rewrite could lose a purge that is being appended, and the log of another process is compacted by that one.
        if self.appending.is_some() || !self.sharing.is_writer() {
            return;
        }
        let confirmed = match &self.cache_nodes {
            Some(nodes) => nodes.confirmed(),
            None => self.log.last_number(),
        };
        if self.log.compact(confirmed, horizon) > 0 || self.journal_failure.is_some() {
            self.rewrite_journal(turn);
        }
    }

    fn compile(&mut self, turn: &mut Turn<'_>, job: CompileJob) {
        if let Err(error) = self.journal.compile(job) {
            let failed = PurgeEffect::Compiled(Box::new(Err(error.into())));
            turn.effects.push(Effect::Purges(failed));
        }
    }
}

impl Driver for Purges {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        let head: PurgeNumber = self.log.last_number();
        if let Some(nodes) = self
            .cache_nodes
            .as_mut()
            .filter(|nodes| nodes.owns_key(key))
        {
            nodes.ready(turn.now, key, head);
            return self.advance_links(turn);
        }
        if let Some(followers) = self.followers.as_mut().filter(|all| all.owns_key(key)) {
            followers.ready(turn, key, &self.log);
            return self.advance_links(turn);
        }
        if let Some(writer) = self.writer.as_mut().filter(|writer| writer.owns_key(key)) {
            let frames = writer.read_frames(turn.now);
            return self.apply_frames(turn, frames);
        }
        if key == self.journal_key {
            for completed in self.journal.completed() {
                self.handle_completed(turn, completed);
            }
            self.release_if_written(turn.now);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        self.advance_links(turn);
        self.now = turn.now;
        self.poll_sharing(turn);
        if turn.now >= self.next_sweep {
            self.next_sweep = turn.now + SWEEP_INTERVAL;
            self.sweep(turn);
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let head = self.log.last_number();
        let nodes = self.cache_nodes.as_ref();
        let nodes = nodes.and_then(|nodes| nodes.next_due(self.now, head));
        let waits = self.confirmation_waits.iter().map(|wait| wait.until).min();
        let followers = self.followers.as_ref().and_then(Followers::next_due);
        let writer = self.writer.as_ref().map(WriterLink::next_due);
        let nodes = nodes.filter(|_| self.sharing.sends_to_cache_nodes());
        let sharing = self.sharing.next_due();
        [
            Some(self.next_sweep),
            nodes,
            waits,
            followers,
            writer,
            sharing,
        ]
        .into_iter()
        .flatten()
        .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Purges(PurgeEffect::Compile(job)) => self.compile(turn, job.clone()),
            Effect::Endpoints(EndpointEffect::Listed {
                endpoints,
                complete,
            }) => {
                if let Some(nodes) = &mut self.cache_nodes {
                    nodes.apply_endpoints(turn.now, endpoints, *complete);
                    self.advance_links(turn);
                }
            }
            Effect::Endpoints(EndpointEffect::StaleCopyServed { endpoint }) => {
                if let Some(nodes) = &mut self.cache_nodes {
                    nodes.stale_copy_served(turn.now, *endpoint);
                }
            }
            Effect::Admin(AdminEffect::Command {
                id,
                name,
                arguments,
            }) => self.handle_command(turn, *id, name, arguments),
            Effect::Process(change) => self.handle_process_effect(turn, *change),
            _ => {}
        }
    }

    fn may_accept_clients(&self) -> bool {
        self.sharing.is_caught_up()
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        vec![
            (
                "purge",
                "{object | group | tag | pattern, id, who, why, all}: purge the matching objects",
            ),
            (
                "purge-boxes",
                "state of each cache node that is sent purges",
            ),
            ("purges", "the purge log, latest first; {number}: one purge"),
        ]
    }
}

#[cfg(test)]
mod tests;
