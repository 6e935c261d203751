//! Applies the actions of the ACME client. Blocking work runs on a worker thread.
use super::sharing::SharedDirectory;
use super::{Certs, WorkResult};
use crate::server::drivers::certificate_table::ChallengeCertificate;
use crate::server::drivers::{Effect, TlsEffect, Turn};
use cranesill_certs::disk;
use cranesill_certs::exchange::{
    exchange, generate_challenge_certificate, generate_key, GeneratedKey,
};
use cranesill_certs::messages::{Level, LogEntry, Request};
use cranesill_certs::order::ChallengeType;
use cranesill_certs::{Action, Challenge, Event, FileUpdate, Identity, KeyRequest};
use rustls::sign::CertifiedKey;
use serde_json::Value;
use std::io;
use std::sync::Arc;
use std::time::Instant;

impl Certs {
    /// Applies an action. Its result is passed to the ACME client as an event.
    pub(super) fn apply_action(&mut self, turn: &mut Turn<'_>, action: Action) {
        let event = match action {
            Action::Request(task, request) => self.send_request(task, request),
            Action::GenerateKey(task, key) => self.generate_key(task, key),
            Action::Save(task, content) => self.save(task, content),
            Action::Reread(task, id) => self.reread(task, id),
            Action::Publish(task, challenge) => self.publish(task, challenge),
            Action::Withdraw(challenge) => self.withdraw(turn, challenge),
            Action::Serve(id, identities, fresh) => self.serve(&id, &identities, fresh),
            Action::Reply(id, result) => {
                let response = Effect::response(id, result.map(Value::from));
                turn.effects.push(response);
                None
            }
            Action::Log(note) => {
                log(&note);
                None
            }
        };
        // A task whose thread could not be started is retried like any other failed task.
        if let Some(event) = event {
            self.handle(turn, event);
        }
    }

    /// Sends a request to the authority. Returns an event if the worker thread could not be started.
    fn send_request(&mut self, task: u64, request: Request) -> Option<Event> {
        let transport = &self.authority.as_ref()?.transport;
        let config = Arc::clone(&transport.config);
        let deadline = Instant::now() + transport.timeout;
        let max_response_bytes = transport.max_response_bytes;
        let started = self.workers.run(move || {
            let response = exchange(&config, &request, deadline, max_response_bytes);
            WorkResult::Event(Event::Response(task, response))
        });
        started
            .err()
            .map(|error| Event::Response(task, Err(thread_error(&error))))
    }

    /// Generates a key. Returns an event if the worker thread could not be started.
    fn generate_key(&mut self, task: u64, key: KeyRequest) -> Option<Event> {
        let is_account = matches!(key, KeyRequest::Account);
        let failure = move |error| match is_account {
            true => Event::AccountKey(task, Err(error)),
            false => Event::OrderKey(task, Err(error)),
        };
        let started = self.workers.run(move || {
            WorkResult::Event(match generate_key(&key) {
                Ok(GeneratedKey::Order(pem, request)) => Event::OrderKey(task, Ok((pem, request))),
                Ok(GeneratedKey::Account(key)) => Event::AccountKey(task, Ok(key)),
                Err(error) => failure(error),
            })
        });
        started.err().map(|error| failure(thread_error(&error)))
    }

    /// Writes to the certificate directory, after all earlier writes. Returns an event if the worker thread could not be
    /// started.
    fn save(&mut self, task: u64, content: FileUpdate) -> Option<Event> {
        let folder = self.directory.as_ref().map(SharedDirectory::folder);
        let started = self.workers.in_order(move || {
            let result = match folder.as_ref().map(|folder| folder.lock()) {
                None => Ok(()),
                Some(Ok(mut folder)) => disk::save(&mut *folder, &content),
                Some(Err(_)) => {
                    Err("certificate directory unusable after a panic in an earlier write".into())
                }
            };
            WorkResult::Saved(Event::Done(task, result))
        });
        if let Err(error) = started {
            return Some(Event::Done(task, Err(thread_error(&error))));
        }
        if let Some(directory) = &mut self.directory {
            directory.writes_in_progress += 1;
        }
        None
    }

    /// Reads a certificate from the directory again. Returns an event if the worker thread could not be started.
    fn reread(&mut self, task: u64, id: String) -> Option<Event> {
        let folder = self.directory.as_ref().map(SharedDirectory::folder);
        let started = self.workers.in_order(move || {
            let mut folder = folder.as_ref().and_then(|folder| folder.lock().ok());
            let identity = folder
                .as_mut()
                .and_then(|folder| disk::reread(&mut **folder, &id));
            WorkResult::Event(Event::Reread(task, identity.map(Box::new)))
        });
        started.err().map(|_| Event::Reread(task, None))
    }

    /// Starts to answer a challenge. Returns the result as an event if it is known immediately.
    fn publish(&mut self, task: u64, challenge: Challenge) -> Option<Event> {
        match challenge.kind {
            ChallengeType::Http => {
                self.challenges
                    .publish(challenge.token, challenge.authorization);
                Some(Event::Done(task, Ok(())))
            }
            ChallengeType::TlsAlpn => {
                let started = self.workers.run(move || WorkResult::ChallengeCertificate {
                    task,
                    result: generate_challenge_certificate(
                        &challenge.name,
                        &challenge.authorization,
                    ),
                    name: challenge.name,
                });
                started
                    .err()
                    .map(|error| Event::Done(task, Err(error.to_string())))
            }
        }
    }

    /// Serves the certificate that was generated for a tls-alpn-01 challenge.
    pub(super) fn publish_certificate(
        &mut self,
        turn: &mut Turn<'_>,
        task: u64,
        name: String,
        result: Result<Arc<CertifiedKey>, String>,
    ) {
        let certificate = result
            .and_then(|key| ChallengeCertificate::new(&key).map_err(|error| error.to_string()));
        let published = certificate.map(|certificate| {
            let challenge = TlsEffect::Challenge {
                name,
                certificate: Some(Arc::new(certificate)),
            };
            turn.effects.push(Effect::Tls(challenge));
        });
        self.handle(turn, Event::Done(task, published));
    }

    fn withdraw(&mut self, turn: &mut Turn<'_>, challenge: Challenge) -> Option<Event> {
        self.challenges.withdraw(&challenge.token);
        if challenge.kind == ChallengeType::TlsAlpn {
            let withdrawn = TlsEffect::Challenge {
                name: challenge.name,
                certificate: None,
            };
            turn.effects.push(Effect::Tls(withdrawn));
        }
        None
    }

    /// Serves the identities for the certificate `id`. With `fresh_tickets` earlier sessions cannot be resumed.
    fn serve(&mut self, id: &str, identities: &[Identity], fresh_tickets: bool) -> Option<Event> {
        let result = self.certificate_table.set(id, identities, fresh_tickets);
        if let Err(error) = result {
            tracing::error!(name = id, %error, "cannot use certificate for TLS; an earlier one stays in service");
        }
        None
    }
}

fn thread_error(error: &io::Error) -> String {
    format!("cannot start a worker thread: {error}")
}

fn log(note: &LogEntry) {
    let kind = note.kind;
    let name = note.name.as_str();
    let text = note.text.as_str();
    match note.level {
        Level::Info => tracing::info!(kind, name, text, "certificates"),
        Level::Warn => tracing::warn!(kind, name, text, "certificates"),
        Level::Error => tracing::error!(kind, name, text, "certificates"),
    }
}
