//! Drives the ACME client of `cranesill_certs`: runs its exchanges, keys and files on worker threads, answers challenges, and
//! hands certificates to the TLS listener.
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

/// Descriptors that this driver may use beside one for each order: clients of challenges, the listener, files, the wake-up of
/// the poller, and exchanges for operators and renewal information.
pub const DESCRIPTORS: usize = challenges::MAX_CLIENTS + 16;

/// What a worker thread has done.
enum WorkResult {
    /// The event that reports it to the client.
    Event(Event),
    /// The certificate that answers a TLS-ALPN challenge.
    ChallengeCertificate {
        /// The client's task.
        task: u64,
        /// The host name.
        name: String,
        /// The certificate, or why there is none.
        result: Result<Arc<CertifiedKey>, String>,
    },
}

/// The driver of certificates.
pub struct Certs {
    client: Client,
    workers: Workers<WorkResult>,
    workers_key: usize,
    /// Where certificates are kept; `None`: in memory alone.
    folder: Option<Arc<Mutex<Folder>>>,
    /// How the authority is reached, if there is one.
    transport: Option<Transport>,
    challenges: Challenges,
    certificate_table: CertificateTableBuilder,
    /// The id of the certificate for clients that send no host name.
    default_certificate: Option<String>,
    front_name: String,
    next_tick: Timestamp,
}

/// The time on both clocks.
fn time_now(now: Timestamp) -> Clocks {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    Clocks { now, wall }
}

/// Opens the folder of certificates and reads it. A failure is logged: the front starts without the stored certificates.
fn open_folder(path: &Path, front_name: &str) -> Option<(Folder, Loaded)> {
    let opened = Folder::open(path.to_path_buf(), front_name).map_err(|e| e.to_string());
    let read = opened.and_then(|mut folder| {
        let loaded = disk::load(&mut folder)?;
        Ok((folder, loaded))
    });
    if let Err(error) = &read {
        let path = path.display();
        tracing::error!(%path, error, "no folder for certificates: all is kept in memory");
    }
    read.ok()
}

impl Certs {
    /// Reads the folder of certificates and begins to manage them. Only faults of the settings are errors.
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

    /// Passes an event to the ACME client and carries out the actions that follow.
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
