//! Driver of the ACME client in `cranesill_certs`: performs its HTTPS requests, key generation and file access on worker
//! threads, answers challenges, and passes certificates to the TLS listener.
mod actions;
mod challenges;
mod operators;
mod settings;
mod sharing;

pub use settings::{check, CertsError};

use super::certificate_table::CertificateTableBuilder;
use super::ownership::Ownership;
use super::{AdminEffect, Driver, Effect, TlsEffect, Turn};
use crate::transport::Workers;
use challenges::Challenges;
use cranesill::api::Timestamp;
use cranesill_certs::disk::{self, Files, Folder, Loaded};
use cranesill_certs::{Action, Client, Clocks, Event};
use cranesill_daemon::{Certs as Settings, Daemon};
use rustls::sign::CertifiedKey;
use settings::{configure, default_certificate, plan, ranking, Authority};
use sharing::SharedDirectory;
use std::path::Path;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// File descriptors that this driver may use in addition to one per order: challenge clients, the listener, files, the
/// waker of the poller, and requests for operators' commands and renewal information.
pub const DESCRIPTORS: usize = challenges::MAX_CLIENTS + 16;

/// The result of a job on a worker thread.
enum WorkResult {
    /// An event for the ACME client.
    Event(Event),
    /// The certificate for a tls-alpn-01 challenge.
    ChallengeCertificate {
        /// Task of the ACME client.
        task: u64,
        /// Host name to validate.
        name: String,
        /// The certificate with its key, or the cause of the failure.
        result: Result<Arc<CertifiedKey>, String>,
    },
    /// A write to the directory is complete.
    Saved(Event),
    /// The contents of the directory.
    DirectoryRead {
        /// Whether this process had the lock on the directory during the read.
        owned: bool,
        /// The contents, or the cause of the failure.
        result: Result<Loaded, String>,
    },
}

/// The driver that obtains, renews and stores certificates.
pub struct Certs {
    client: Client,
    workers: Workers<WorkResult>,
    workers_key: usize,
    /// Storage of certificates; `None` if they are kept in memory only.
    directory: Option<SharedDirectory>,
    /// Identities in the directory when this process, not being the owner, read it last.
    stored: Vec<String>,
    /// The settings at the start or the last reload.
    settings: Settings,
    /// The authority, if one is configured.
    authority: Option<Authority>,
    challenges: Challenges,
    certificate_table: CertificateTableBuilder,
    /// Identifier of the certificate for clients without SNI.
    default_certificate: Option<String>,
    front_name: String,
    next_tick: Timestamp,
}

/// Returns the time of the monotonic and of the wall clock.
fn time_now(now: Timestamp) -> Clocks {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    Clocks { now, wall }
}

/// Opens the directory of certificates and loads its contents. On failure the front starts without stored certificates.
fn open_directory(
    path: &Path,
    front_name: &str,
    accepts_clients: bool,
) -> Option<(SharedDirectory, Loaded)> {
    let opened = Folder::open(path.to_path_buf(), front_name).map_err(|e| e.to_string());
    let read = opened.and_then(|mut folder| {
        let lock = format!(".{}", folder.writer_id());
        let mut ownership = Ownership::of_file(&path.join(lock));
        let owned = accepts_clients && ownership.try_acquire().map_err(|e| e.to_string())?;
        let loaded = match owned {
            true => disk::load(&mut folder)?,
            false => disk::load_unchanged(&mut folder)?,
        };
        let directory = SharedDirectory::new(folder, ownership, accepts_clients, owned);
        Ok((directory, loaded))
    });
    if let Err(error) = &read {
        let path = path.display();
        tracing::error!(%path, error, "cannot open the certificate directory; certificates are kept in memory only");
    }
    read.ok()
}

impl Certs {
    /// Loads stored certificates and starts to manage them. A storage failure is logged; only invalid settings and failures
    /// to set up sockets or threads are errors. `accepts_clients` is whether no other process of this front accepts clients.
    pub fn new(
        turn: &mut Turn<'_>,
        settings: &Settings,
        front_name: &str,
        accepts_clients: bool,
    ) -> Result<Self, CertsError> {
        let authority = Authority::from_settings(settings)?;
        let workers_key = turn.key();
        let workers = Workers::new(turn.reactor, workers_key).map_err(CertsError::Workers)?;
        let path = settings.directory.as_deref();
        let opened = path.and_then(|path| open_directory(path, front_name, accepts_clients));
        let (directory, loaded) = opened.unzip();
        let is_manager = directory.as_ref().is_none_or(SharedDirectory::is_owner);
        let address = settings.http_listen.as_deref();
        let challenges = Challenges::new(turn, address, is_manager)?;
        let mut certs = Certs {
            client: Client::new(None, plan(settings), ranking(settings, front_name)),
            workers,
            workers_key,
            directory,
            stored: Vec::new(),
            settings: settings.clone(),
            authority,
            challenges,
            certificate_table: CertificateTableBuilder::default(),
            default_certificate: default_certificate(settings),
            front_name: front_name.into(),
            next_tick: turn.now,
        };
        certs.restart_client(turn, loaded.unwrap_or_default());
        Ok(certs)
    }

    /// Starts the ACME client with what is stored. Only the process that manages the certificates calls the authority.
    fn restart_client(&mut self, turn: &mut Turn<'_>, loaded: Loaded) {
        let authority = self.authority.as_ref().filter(|_| self.is_manager());
        self.client = Client::new(
            authority.map(|authority| authority.client.clone()),
            plan(&self.settings),
            ranking(&self.settings, &self.front_name),
        );
        let configure = configure(&self.settings, &self.front_name);
        self.handle(turn, configure);
        self.handle(turn, Event::Start(Box::new(loaded)));
    }

    /// Passes an event to the ACME client and applies the resulting actions.
    fn handle(&mut self, turn: &mut Turn<'_>, event: Event) {
        if !self.is_active() {
            return;
        }
        let time = time_now(turn.now);
        let mut actions = Vec::new();
        self.client.handle(time, event, &mut actions);
        let mut table_changed = false;
        for action in actions {
            table_changed |= matches!(action, Action::Serve(..));
            self.apply_action(turn, action);
        }
        if table_changed {
            let table = self
                .certificate_table
                .build(self.default_certificate.as_deref());
            turn.effects
                .push(Effect::Tls(TlsEffect::Certificates(table)));
        }
        self.next_tick = self.client.next(time);
    }
}

impl Driver for Certs {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if key != self.workers_key {
            return self.challenges.ready(turn, key);
        }
        for result in self.workers.results() {
            match result {
                WorkResult::Event(event) => self.handle(turn, event),
                WorkResult::ChallengeCertificate { task, name, result } => {
                    self.publish_certificate(turn, task, name, result);
                }
                WorkResult::Saved(event) => {
                    if let Some(directory) = &mut self.directory {
                        directory.writes_in_progress -= 1;
                    }
                    self.handle(turn, event);
                }
                WorkResult::DirectoryRead { owned, result } => {
                    self.directory_read(turn, owned, result);
                }
            }
        }
        self.release_if_written();
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        self.challenges.due(turn);
        self.poll_directory(turn);
        if turn.now >= self.next_tick && self.is_active() {
            self.handle(turn, Event::Tick);
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let challenges = self.challenges.next_deadline();
        let directory = self.directory.as_ref().and_then(SharedDirectory::next_due);
        let tick = self.is_active().then_some(self.next_tick);
        [challenges, directory, tick].into_iter().flatten().min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Admin(AdminEffect::Command {
                id,
                name,
                arguments,
            }) => self.handle_command(turn, *id, name, arguments),
            Effect::Process(change) => self.handle_process_effect(turn, *change),
            _ => {}
        }
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        operators::COMMANDS.to_vec()
    }

    fn reload(&mut self, turn: &mut Turn<'_>, settings: &Daemon) {
        if let Some(new) = &settings.certs {
            self.default_certificate = default_certificate(new);
            self.settings = new.clone();
            let event = configure(new, &self.front_name);
            self.handle(turn, event);
        }
    }
}
