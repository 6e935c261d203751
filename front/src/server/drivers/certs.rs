//! Driver of the ACME client in `cranesill_certs`: performs its HTTPS requests, key generation and file access on worker
//! threads, answers challenges, and passes certificates to the TLS listener.
mod actions;
mod challenges;
mod operators;
mod settings;

pub use settings::{check, CertsError};

use super::certificate_table::CertificateTableBuilder;
use super::{AdminEffect, Driver, Effect, TlsEffect, Turn};
use crate::transport::Workers;
use challenges::Challenges;
use cranesill::api::Timestamp;
use cranesill_certs::disk::{self, Folder, Loaded};
use cranesill_certs::{Action, Client, Clocks, Event};
use cranesill_daemon::{Certs as Settings, Daemon};
use rustls::sign::CertifiedKey;
use settings::{configure, default_certificate, plan, ranking, Authority, Transport};
use std::path::Path;
use std::sync::{Arc, Mutex};
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
}

/// The driver that obtains, renews and stores certificates.
pub struct Certs {
    client: Client,
    workers: Workers<WorkResult>,
    workers_key: usize,
    /// Storage of certificates; `None` if they are kept in memory only.
    folder: Option<Arc<Mutex<Folder>>>,
    /// Connection settings for the authority, if one is configured.
    transport: Option<Transport>,
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
fn open_folder(path: &Path, front_name: &str) -> Option<(Folder, Loaded)> {
    let opened = Folder::open(path.to_path_buf(), front_name).map_err(|e| e.to_string());
    let read = opened.and_then(|mut folder| {
        let loaded = disk::load(&mut folder)?;
        Ok((folder, loaded))
    });
    if let Err(error) = &read {
        let path = path.display();
        tracing::error!(%path, error, "cannot open the certificate directory; certificates are kept in memory only");
    }
    read.ok()
}

impl Certs {
    /// Loads stored certificates and starts to manage them. A storage failure is logged; only invalid settings and failures
    /// to set up sockets or threads are errors.
    pub fn new(
        turn: &mut Turn<'_>,
        settings: &Settings,
        front_name: &str,
    ) -> Result<Self, CertsError> {
        let authority = Authority::from_settings(settings)?;
        let (authority, transport) = authority.map(|a| (a.client, a.transport)).unzip();
        let workers_key = turn.key();
        let workers = Workers::new(turn.reactor, workers_key).map_err(CertsError::Workers)?;
        let challenges = Challenges::new(turn, settings.http_listen.as_deref())?;
        let directory = settings.directory.as_deref();
        let opened = directory.and_then(|path| open_folder(path, front_name));
        let (folder, loaded) = opened.unzip();
        let ranking = ranking(settings, front_name);
        let mut certs = Certs {
            client: Client::new(authority, plan(settings), ranking),
            workers,
            workers_key,
            folder: folder.map(|folder| Arc::new(Mutex::new(folder))),
            transport,
            challenges,
            certificate_table: CertificateTableBuilder::default(),
            default_certificate: default_certificate(settings),
            front_name: front_name.into(),
            next_tick: turn.now,
        };
        certs.handle(turn, configure(settings, front_name));
        let loaded = loaded.unwrap_or_default();
        certs.handle(turn, Event::Start(Box::new(loaded)));
        Ok(certs)
    }

    /// Passes an event to the ACME client and carries out the resulting actions.
    fn handle(&mut self, turn: &mut Turn<'_>, event: Event) {
        let time = time_now(turn.now);
        let mut actions = Vec::new();
        self.client.handle(time, event, &mut actions);
        let mut table_changed = false;
        for action in actions {
            table_changed |= matches!(action, Action::Serve(..));
            self.carry_out(turn, action);
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
            }
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        self.challenges.due(turn.now);
        if turn.now >= self.next_tick {
            self.handle(turn, Event::Tick);
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let challenges = self.challenges.next_deadline();
        challenges.into_iter().chain([self.next_tick]).min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        if let Effect::Admin(AdminEffect::Command {
            id,
            name,
            arguments,
        }) = effect
        {
            self.handle_command(turn, *id, name, arguments);
        }
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        operators::COMMANDS.to_vec()
    }

    fn reload(&mut self, turn: &mut Turn<'_>, settings: &Daemon) {
        if let Some(new) = &settings.certs {
            self.default_certificate = default_certificate(new);
            let event = configure(new, &self.front_name);
            self.handle(turn, event);
        }
    }
}
