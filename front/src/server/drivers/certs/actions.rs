//! Carries out the ACME client's actions. What may block runs on a worker thread.
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
    /// Carries out an action.
    pub(super) fn carry_out(&mut self, turn: &mut Turn<'_>, action: Action) {
        let event = match action {
            Action::Request(task, request) => self.send_request(task, request),
            Action::GenerateKey(task, key) => self.make_key(task, key),
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
        // If no thread could be started, the task fails as it does by other causes, and is retried.
        if let Some(event) = event {
            self.handle(turn, event);
        }
    }

    /// Sends a request to the authority. Returns the event of a failure to start.
    fn send_request(&mut self, task: u64, request: Request) -> Option<Event> {
        let transport = self.transport.as_ref()?;
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

    /// Generates a key. Returns the event of a failure to start.
    fn make_key(&mut self, task: u64, key: KeyRequest) -> Option<Event> {
        let is_account = matches!(key, KeyRequest::Account);
        let failure = move |why| match is_account {
            true => Event::AccountKey(task, Err(why)),
            false => Event::OrderKey(task, Err(why)),
        };
        let started = self.workers.run(move || {
            WorkResult::Event(match generate_key(&key) {
                Ok(GeneratedKey::Order(pem, request)) => Event::OrderKey(task, Ok((pem, request))),
                Ok(GeneratedKey::Account(key)) => Event::AccountKey(task, Ok(key)),
                Err(why) => failure(why),
            })
        });
        started.err().map(|error| failure(thread_error(&error)))
    }

    /// Writes to the folder, after everything that was to be written before. Returns the event of a failure to start.
    fn save(&mut self, task: u64, content: FileUpdate) -> Option<Event> {
        let folder = self.folder.clone();
        let started = self.workers.in_order(move || {
            let result = match folder.as_ref().map(|folder| folder.lock()) {
                None => Ok(()),
                Some(Ok(mut folder)) => disk::save(&mut *folder, &content),
                Some(Err(_)) => Err("the folder's writer has failed".into()),
            };
            WorkResult::Event(Event::Done(task, result))
        });
        started
            .err()
            .map(|error| Event::Done(task, Err(thread_error(&error))))
    }

    /// Reads a certificate from the folder again. Returns the event of a failure to start.
    fn reread(&mut self, task: u64, id: String) -> Option<Event> {
        let folder = self.folder.clone();
        let started = self.workers.in_order(move || {
            let mut folder = folder.as_ref().and_then(|folder| folder.lock().ok());
            let identity = folder
                .as_mut()
                .and_then(|folder| disk::reread(&mut **folder, &id));
            WorkResult::Event(Event::Reread(task, identity.map(Box::new)))
        });
        started.err().map(|_| Event::Reread(task, None))
    }

    /// Answers a challenge from now on. Returns the event of its result, if that is known at once.
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

    /// Serves the certificate that was made for a TLS-ALPN challenge.
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

    /// Serves the identities for the certificate `id`; with `fresh_tickets` earlier sessions cannot be resumed.
    fn serve(&mut self, id: &str, identities: &[Identity], fresh_tickets: bool) -> Option<Event> {
        let result = self.certificate_table.set(id, identities, fresh_tickets);
        if let Err(error) = result {
            tracing::error!(name = id, %error, "a certificate can't be served");
        }
        None
    }
}

fn thread_error(error: &io::Error) -> String {
    format!("no thread: {error}")
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
