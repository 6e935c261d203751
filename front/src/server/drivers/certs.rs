//! Drives the ACME client: exchanges, keys and files on worker threads, http-01 challenges on a listener of its own,
//! certificates to the TLS listener.
use super::certificate_table::{CertificateTableBuilder, ChallengeCertificate};
use super::{AdminEffect, Driver, Effect, TlsEffect, Turn};
use crate::transport::{at_start, listen, Registered, RestingListener, Workers};
use cranesill::api::{Micros, Timestamp};
use cranesill_certs::disk::{self, Folder};
use cranesill_certs::exchange::{exchange, make_key, prove, roots, Made};
use cranesill_certs::messages::Loud;
use cranesill_certs::order::Way;
use cranesill_certs::planner::{Plan, Row};
use cranesill_certs::renewal::{Ranked, Rule};
use cranesill_certs::{Action, Challenge, Client, Event, Identity, Moment, SECOND};
use cranesill_daemon::{Certs as Settings, Challenge as Shown, Daemon};
use rustls::sign::CertifiedKey;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Those who look at challenges, at once; one more displaces the oldest.
const LOOKERS_MOST: usize = 16;
/// Descriptors that this driver may hold beside one for each order: those who look, the listener, files, the wake-up,
/// exchanges of operators and hints.
pub const DESCRIPTORS: usize = LOOKERS_MOST + 16;
/// One that came is not displaced before this long: those that come in a flood wait in the system's queue.
const KEPT_LEAST: Micros = 250_000;
/// Connections accepted in one turn.
const ACCEPTS_MOST: usize = 16;
/// Bytes of their request, and how long they may take.
const REQUEST_MOST: usize = 4 * 1024;
const LOOK_MOST: Micros = 5_000_000;
const PATH: &str = "/.well-known/acme-challenge/";

/// What a thread has done.
enum Done {
    Event(Event),
    /// A certificate that answers a challenge, for a task.
    Proof(u64, String, Result<Arc<CertifiedKey>, String>),
}

struct Looker {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    due: Timestamp,
}

/// Where the authority is, and how it is spoken to.
struct Exchanges {
    config: Arc<rustls::ClientConfig>,
    span: Duration,
    most: usize,
}

/// The driver.
pub struct Certs {
    client: Client,
    workers: Workers<Done>,
    workers_key: usize,
    folder: Option<Arc<Mutex<Folder>>>,
    exchanges: Option<Exchanges>,
    listener: Option<(RestingListener<TcpListener>, usize)>,
    lookers: HashMap<usize, Looker>,
    /// There is no place for another looker now.
    crowded: bool,
    /// Tokens and what is shown for them.
    shown: HashMap<String, String>,
    certificate_tables: CertificateTableBuilder,
    first: Option<String>,
    me: String,
    wall_now: u64,
    next: Timestamp,
}

fn plan(settings: &Settings) -> Plan {
    Plan {
        rule: Rule {
            renew_percent: settings.renew_percent,
            jitter_percent: settings.jitter_percent,
        },
        warn_percent: settings.warn_percent,
        orders_most: settings.orders_most,
        window: settings.order_window_s * SECOND,
        at_once: settings.orders_at_once,
    }
}

fn turns(settings: &Settings, me: &str) -> Box<Ranked> {
    let takeover = settings.takeover_s * SECOND;
    Box::new(Ranked {
        me: me.into(),
        fronts: settings.fronts.clone(),
        takeover,
    })
}

fn names(settings: &Settings) -> Vec<Vec<String>> {
    settings
        .certificates
        .iter()
        .map(|c| c.names.clone())
        .collect()
}

fn moment(now: Timestamp) -> Moment {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs();
    Moment { now, wall }
}

/// Reads what stands in files beside the settings: roots and the key of an external account.
fn authority(
    settings: &Settings,
) -> Result<Option<(cranesill_certs::Settings, Exchanges)>, String> {
    let Some(authority) = &settings.authority else {
        return Ok(None);
    };
    let path = |what: &str, e: String| format!("certs.authority.{what}: {e}");
    let config = roots(&authority.roots_file).map_err(|e| path("roots_file", e))?;
    let external = match &authority.external_account {
        None => None,
        Some(external) => {
            let file = &external.key_file;
            let text = std::fs::read_to_string(file).map_err(|e| {
                path(
                    "external_account.key_file",
                    format!("{}: {e}", file.display()),
                )
            })?;
            let key = cranesill_certs::jose::from_base64url(text.trim())
                .filter(|k| !k.is_empty())
                .ok_or_else(|| {
                    path(
                        "external_account.key_file",
                        format!("{}: no base64url", file.display()),
                    )
                })?;
            Some((external.key_id.clone(), key))
        }
    };
    let way = match authority.challenge {
        Shown::Http => Way::Http,
        Shown::TlsAlpn => Way::TlsAlpn,
    };
    let span = Duration::from_millis(authority.answer_ms);
    Ok(Some((
        cranesill_certs::Settings {
            directory_url: authority.directory_url.clone(),
            contacts: authority.contacts.clone(),
            external,
            way,
            shared: settings.directory.is_some() && settings.fronts.len() > 1,
        },
        Exchanges {
            config,
            span,
            most: authority.answer_bytes,
        },
    )))
}

/// Whether the files that the settings name can be used; the error names the JSON path.
pub fn check(settings: &Settings) -> Result<(), String> {
    authority(settings).map(drop)
}

impl Certs {
    /// Reads the folder and begins. Only what is wrong with the settings is an error: a folder that can't be used
    /// costs what it held.
    pub fn new(turn: &mut Turn<'_>, settings: &Settings, me: &str) -> Result<Self, String> {
        let (acme, exchanges) = authority(settings)?.unzip();
        let workers_key = turn.key();
        let workers = Workers::new(turn.reactor, workers_key).map_err(|e| format!("certs: {e}"))?;
        let listener = match &settings.http_listen {
            None => None,
            Some(text) => {
                let failed = |e: &dyn std::fmt::Display| format!("certs.http_listen: {text}: {e}");
                let at: SocketAddr = text
                    .parse()
                    .map_err(|e: std::net::AddrParseError| failed(&e))?;
                let key = turn.key();
                let listener = at_start(|| listen(at)).map_err(|e| failed(&e))?;
                let at = listener.local_addr().map_err(|e| failed(&e))?;
                tracing::info!(%at, "answering challenges");
                let listener = turn.reactor.watch(listener, key, false);
                let listener = listener.map_err(|e| failed(&e))?;
                Some((RestingListener::new(listener), key))
            }
        };
        let mut folder = None;
        let mut loaded = disk::Loaded::default();
        if let Some(path) = &settings.directory {
            let opened = Folder::open(path.clone(), me).map_err(|e| e.to_string());
            let read = opened.and_then(|mut f| disk::load(&mut f).map(|loaded| (f, loaded)));
            match read {
                Ok((f, found)) => (folder, loaded) = (Some(Arc::new(Mutex::new(f))), found),
                Err(error) => {
                    let path = path.display();
                    tracing::error!(%path, error, "no folder for certificates: all is kept in memory");
                }
            }
        }
        let mut certs = Certs {
            client: Client::new(acme, plan(settings), turns(settings, me)),
            workers,
            workers_key,
            folder,
            exchanges,
            listener,
            lookers: HashMap::new(),
            crowded: false,
            shown: HashMap::new(),
            certificate_tables: CertificateTableBuilder::default(),
            first: settings
                .certificates
                .first()
                .and_then(|c| c.names.first())
                .map(|n| n.to_ascii_lowercase()),
            me: me.into(),
            wall_now: 0,
            next: turn.now,
        };
        certs.handle(
            turn,
            Event::Configure(plan(settings), turns(settings, me), names(settings)),
        );
        certs.handle(turn, Event::Start(Box::new(loaded)));
        Ok(certs)
    }

    fn handle(&mut self, turn: &mut Turn<'_>, event: Event) {
        let moment = moment(turn.now);
        self.wall_now = moment.wall;
        let mut out = Vec::new();
        self.client.handle(moment, event, &mut out);
        let mut served = false;
        for action in out {
            served |= matches!(action, Action::Serve(..));
            self.carry_out(turn, action);
        }
        if served {
            turn.effects.push(Effect::Tls(TlsEffect::Certificates(
                self.certificate_tables.build(self.first.as_deref()),
            )));
        }
        self.next = self.client.next(moment);
    }

    fn carry_out(&mut self, turn: &mut Turn<'_>, action: Action) {
        let begun = match action {
            Action::Ask(task, ask) => {
                let Some(Exchanges { config, span, most }) = &self.exchanges else {
                    return;
                };
                let (config, deadline, most) = (Arc::clone(config), Instant::now() + *span, *most);
                let work = move || Event::Answered(task, exchange(&config, &ask, deadline, most));
                let run = self.workers.run(move || Done::Event(work()));
                run.map_err(|e| Event::Answered(task, Err(no_thread(&e))))
            }
            Action::MakeKey(task, key) => {
                let account = matches!(key, cranesill_certs::Key::Account);
                let failed = move |why| match account {
                    true => Event::AccountKey(task, Err(why)),
                    false => Event::Key(task, Err(why)),
                };
                let work = move || match make_key(&key) {
                    Ok(Made::Order(pem, csr)) => Event::Key(task, Ok((pem, csr))),
                    Ok(Made::Account(key)) => Event::AccountKey(task, Ok(key)),
                    Err(why) => failed(why),
                };
                let run = self.workers.run(move || Done::Event(work()));
                run.map_err(|e| failed(no_thread(&e)))
            }
            Action::Save(task, what) => {
                let folder = self.folder.clone();
                let work = move || match folder.as_ref().map(|f| f.lock()) {
                    None => Ok(()),
                    Some(Ok(mut folder)) => disk::save(&mut *folder, &what),
                    Some(Err(_)) => Err("the folder's writer has failed".into()),
                };
                let run = self
                    .workers
                    .in_order(move || Done::Event(Event::Done(task, work())));
                run.map_err(|e| Event::Done(task, Err(no_thread(&e))))
            }
            Action::Reread(task, id) => {
                let folder = self.folder.clone();
                let work = move || {
                    let mut folder = folder.as_ref().and_then(|f| f.lock().ok());
                    folder
                        .as_mut()
                        .and_then(|f| disk::reread(&mut **f, &id))
                        .map(Box::new)
                };
                let run = self
                    .workers
                    .in_order(move || Done::Event(Event::Reread(task, work())));
                run.map_err(|_| Event::Reread(task, None))
            }
            Action::Publish(task, challenge) => return self.publish(turn, task, challenge),
            Action::Withdraw(challenge) => {
                self.shown.remove(&challenge.token);
                if challenge.way == Way::TlsAlpn {
                    turn.effects
                        .push(Effect::Tls(TlsEffect::Challenge(challenge.name, None)));
                }
                Ok(())
            }
            Action::Serve(id, all, fresh) => {
                if let Err(error) = self.certificate_tables.set(&id, &all, fresh) {
                    tracing::error!(name = id, %error, "a certificate can't be served");
                }
                Ok(())
            }
            Action::Reply(number, answer) => {
                turn.effects
                    .push(Effect::response(number, answer.map(Value::from)));
                Ok(())
            }
            Action::Tell(note) => {
                let (kind, name, text) = (note.kind, note.name, note.text);
                match note.loud {
                    Loud::Info => tracing::info!(kind, name, text, "certificates"),
                    Loud::Warn => tracing::warn!(kind, name, text, "certificates"),
                    Loud::Error => tracing::error!(kind, name, text, "certificates"),
                }
                Ok(())
            }
        };
        if let Err(event) = begun {
            // Whoever waits for this has failed like by any other trouble, and is tried again.
            self.handle(turn, event);
        }
    }

    fn publish(&mut self, turn: &mut Turn<'_>, task: u64, challenge: Challenge) {
        match challenge.way {
            Way::Http => {
                self.shown.insert(challenge.token, challenge.authorization);
                self.handle(turn, Event::Done(task, Ok(())));
            }
            Way::TlsAlpn => {
                let begun = self.workers.run(move || {
                    let made = prove(&challenge.name, &challenge.authorization);
                    Done::Proof(task, challenge.name, made)
                });
                if let Err(e) = begun {
                    self.handle(turn, Event::Done(task, Err(e.to_string())));
                }
            }
        }
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        let Some((listener, _)) = &mut self.listener else {
            return;
        };
        for _ in 0..ACCEPTS_MOST {
            if self.lookers.len() >= LOOKERS_MOST {
                let oldest = self.lookers.iter().min_by_key(|(key, l)| (l.due, **key));
                let Some((key, due)) = oldest.map(|(key, l)| (*key, l.due)) else {
                    return;
                };
                if due + KEPT_LEAST > turn.now + LOOK_MOST {
                    listener.set_watched(false);
                    self.crowded = true;
                    return;
                }
                self.lookers.remove(&key);
            }
            let Some(socket) = listener.accept(turn.now) else {
                return;
            };
            let key = turn.key();
            let ready = socket
                .set_nonblocking(true)
                .and_then(|()| turn.reactor.watch(socket, key, false));
            if let Ok(socket) = ready {
                let (input, output, due) = (Vec::new(), Vec::new(), turn.now + LOOK_MOST);
                self.lookers.insert(
                    key,
                    Looker {
                        socket,
                        input,
                        output,
                        due,
                    },
                );
            }
        }
    }

    /// Goes on with one who looks at a challenge. An error ends the connection.
    fn look(&mut self, key: usize) -> io::Result<()> {
        let Some(looker) = self.lookers.get_mut(&key) else {
            return Ok(());
        };
        let mut chunk = [0; 1024];
        while looker.output.is_empty() {
            match (&*looker.socket).read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) => looker.input.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            }
            if looker.input.len() > REQUEST_MOST {
                return Err(io::ErrorKind::InvalidData.into());
            }
            looker.output = answer(&looker.input, &self.shown).unwrap_or_default();
        }
        while !looker.output.is_empty() {
            match (&*looker.socket).write(&looker.output) {
                Ok(n) if n > 0 => drop(looker.output.drain(..n)),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    return looker.socket.rewatch(false, true)
                }
                _ => break,
            }
        }
        // All is written: it may go, once the other side has read it.
        let _ = looker.socket.shutdown(std::net::Shutdown::Write);
        Err(io::ErrorKind::UnexpectedEof.into())
    }

    fn row(&self, row: &Row, served: Option<&Identity>) -> Value {
        let wall = self.wall_now;
        let state = match served {
            None => "missing",
            Some(i) if wall > i.not_after => "EXPIRED",
            Some(i) if wall < i.not_before => "not-yet-valid",
            Some(_) => "good",
        };
        json!({
            "name": row.id, "names": row.names, "certificate": state, "order": row.state,
            "next_s": row.next_s, "failures": row.failures, "refused": row.refused,
            "why": row.why.as_ref().map(|(cause, text)| json!({"cause": cause.word(), "text": text})),
            "not_before": served.map(|i| i.not_before), "not_after": served.map(|i| i.not_after),
            "left_s": served.map(|i| i.not_after as i64 - wall as i64),
            "covers": served.map(|i| i.names.clone()), "serial": served.map(|i| i.serial.clone()),
            "issuer": served.map(|i| i.issuer.clone()),
        })
    }

    fn word(&mut self, turn: &mut Turn<'_>, number: u64, word: &str, args: &Value) {
        let name = args["name"].as_str().unwrap_or("").to_ascii_lowercase();
        match word {
            "certs" => {
                let moment = moment(turn.now);
                self.wall_now = moment.wall;
                let rows = self.client.rows(moment);
                let wanted = |row: &Row| name.is_empty() || row.names.contains(&name);
                let rows: Vec<_> = rows
                    .iter()
                    .filter(|(r, _)| wanted(r))
                    .map(|(r, s)| self.row(r, *s))
                    .collect();
                let answer = json!({"certificates": rows, "authority": self.client.state(moment)});
                turn.effects.push(Effect::response(number, Ok(answer)));
            }
            "certs-renew" => self.handle(turn, Event::Renew(number, name)),
            "certs-revoke" => {
                let reason = args["reason"]
                    .as_u64()
                    .and_then(|r| u8::try_from(r).ok())
                    .unwrap_or(0);
                self.handle(turn, Event::Revoke(number, name, reason));
            }
            "certs-import" => {
                let text = |field: &str| args[field].as_str().unwrap_or("");
                match Identity::join(text("key"), text("chain")) {
                    Ok(identity) => self.handle(turn, Event::Import(number, Box::new(identity))),
                    Err(why) => turn.effects.push(Effect::response(number, Err(why))),
                }
            }
            "certs-roll-key" => self.handle(turn, Event::RollKey(number)),
            _ => {}
        }
    }
}

fn no_thread(error: &io::Error) -> String {
    format!("no thread: {error}")
}

/// The answer to one who looks at a challenge; `None`: the request is not whole yet.
fn answer(input: &[u8], shown: &HashMap<String, String>) -> Option<Vec<u8>> {
    let mut fields = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Request::new(&mut fields);
    let (status, body) = match head.parse(input) {
        Ok(httparse::Status::Partial) => return None,
        Err(_) => ("400 Bad Request", ""),
        Ok(httparse::Status::Complete(_)) => {
            let token = head.path.and_then(|path| path.strip_prefix(PATH));
            match (head.method, token.and_then(|t| shown.get(t))) {
                (Some("GET"), Some(authorization)) => ("200 OK", authorization.as_str()),
                (Some("GET"), None) => ("404 Not Found", ""),
                _ => ("405 Method Not Allowed", ""),
            }
        }
    };
    let length = body.len();
    let text = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/octet-stream\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{body}"
    );
    Some(text.into_bytes())
}

impl Driver for Certs {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if key == self.workers_key {
            for done in self.workers.results() {
                match done {
                    Done::Event(event) => self.handle(turn, event),
                    Done::Proof(task, name, made) => {
                        let proof = made.and_then(|key| {
                            ChallengeCertificate::new(&key).map_err(|e| e.to_string())
                        });
                        let done = proof.map(|proof| {
                            turn.effects.push(Effect::Tls(TlsEffect::Challenge(
                                name,
                                Some(Arc::new(proof)),
                            )));
                        });
                        self.handle(turn, Event::Done(task, done));
                    }
                }
            }
        } else if self.listener.as_ref().is_some_and(|(_, k)| *k == key) {
            self.accept(turn);
        } else if self.look(key).is_err() {
            self.lookers.remove(&key);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        if let Some((listener, _)) = &mut self.listener {
            listener.resume_if_due(turn.now);
        }
        self.lookers.retain(|_, looker| looker.due > turn.now);
        if std::mem::take(&mut self.crowded) {
            // Goes on to accept; `accept` makes room where it may.
            if let Some((listener, _)) = &self.listener {
                listener.set_watched(true);
            }
        }
        if turn.now >= self.next {
            self.handle(turn, Event::Tick);
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let looker = self.lookers.values().map(|l| l.due).min();
        let looker = looker.map(|due| {
            if self.crowded {
                due + KEPT_LEAST - LOOK_MOST
            } else {
                due
            }
        });
        let listener = self.listener.as_ref();
        let listener = listener.and_then(|(listener, _)| listener.resumes_at());
        let own = looker.into_iter().chain(listener);
        own.chain([self.next]).min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        if let Effect::Admin(AdminEffect::Command {
            id: number,
            name: word,
            arguments: args,
        }) = effect
        {
            if word.starts_with("certs") {
                self.word(turn, *number, word, args);
            }
        }
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        vec![
            (
                "certs",
                "certificates: how each stands, and the authority; {name}: one",
            ),
            ("certs-renew", "{name}: order it now"),
            (
                "certs-revoke",
                "{name, reason}: revoke it and order another",
            ),
            ("certs-import", "{key, chain}: serve these, both in PEM"),
            ("certs-roll-key", "give the account another key"),
        ]
    }

    fn reload(&mut self, turn: &mut Turn<'_>, settings: &Daemon) {
        if let Some(new) = &settings.certs {
            self.first = new
                .certificates
                .first()
                .and_then(|c| c.names.first())
                .map(|n| n.to_ascii_lowercase());
            let me = self.me.clone();
            self.handle(
                turn,
                Event::Configure(plan(new), turns(new, &me), names(new)),
            );
        }
    }
}

#[cfg(test)]
mod tests;
