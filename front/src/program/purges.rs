//! Drives the ledger of purges: commands of operators in, a file behind it, purges out to the floors. A purge counts
//! once it is kept; who asked is told then.
use super::driver::{Driver, Effect, Turn};
use crate::transport::Workers;
use cranesill::api::{Span, Time};
use cranesill_daemon::Purges as Settings;
use cranesill_purges::journal::{self, File, Opened};
use cranesill_purges::ledger::{Command, Ledger, Refused, Taken};
use cranesill_purges::matching::{compile, Set};
use cranesill_purges::{Ms, Purge, What};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Bytes that the file may have.
const FILE_MOST: u64 = 1 << 30;
/// Commands that wait to be kept.
const WAITING_MOST: usize = 1_024;
/// Pause between two looks for what may be forgotten.
const SWEEP: Span = 10_000_000;
/// Rows that one word shows.
const ROWS_MOST: usize = 1_000;

/// The ledger's file.
struct Disk {
    path: PathBuf,
    /// Open for appending.
    tail: Option<std::fs::File>,
}

impl Disk {
    fn folder(&self) -> &Path {
        self.path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."))
    }
}

impl File for Disk {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        let file = match std::fs::File::open(&self.path) {
            Ok(file) => file,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e),
        };
        let mut bytes = Vec::new();
        file.take(FILE_MOST + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > FILE_MOST {
            return Err(io::Error::other(format!("more than {FILE_MOST} bytes")));
        }
        Ok(Some(bytes))
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let tail = match &mut self.tail {
            Some(tail) => tail,
            None => self.tail.insert(std::fs::OpenOptions::new().append(true).open(&self.path)?),
        };
        tail.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.tail.as_ref().map_or(Ok(()), std::fs::File::sync_data)
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.tail = None;
        let aside = self.path.with_extension("tmp");
        let mut options = std::fs::OpenOptions::new();
        let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(&aside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&aside, &self.path)?;
        std::fs::File::open(self.folder())?.sync_all()
    }
}

enum Done {
    /// A purge was kept, or why not.
    Kept(Result<(), String>),
    Rewritten(Result<(), String>),
    Compiled(Result<Set, String>),
}

/// The driver.
pub struct Purges {
    ledger: Ledger,
    disk: Option<Arc<Mutex<Disk>>>,
    workers: Workers<Done>,
    workers_key: usize,
    settings: Settings,
    /// Commands that were taken in; the first is being kept.
    waiting: VecDeque<(u64, Command)>,
    keeping: Option<(u64, Purge)>,
    /// The file failed: nothing is taken in until it can be written anew.
    broken: Option<String>,
    sweep: Time,
}

fn wall() -> Ms {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as Ms
}

impl Purges {
    /// Reads the ledger before the first request is taken. What can't be read is taken for purged.
    pub fn new(turn: &mut Turn<'_>, settings: &Settings) -> Result<Self, String> {
        let workers_key = turn.key();
        let workers = Workers::new(turn.reactor, workers_key).map_err(|e| format!("purges: {e}"))?;
        let identity = wall() ^ (u64::from(std::process::id()) << 44);
        let (mut ledger, mut disk, mut unknown) = (Ledger::new(identity), None, true);
        if let Some(path) = &settings.file {
            let mut file = Disk { path: path.clone(), tail: None };
            let failed = |e: io::Error| format!("purges.file: {}: {e}", path.display());
            match journal::open(&mut file).map_err(failed)? {
                Opened::Missing => journal::rewrite(&mut file, &ledger).map_err(failed)?,
                Opened::Whole { ledger: found, torn } => {
                    if torn > 0 {
                        tracing::warn!(
                            kind = "torn",
                            bytes = torn,
                            "purges: a write was cut off, nobody was told of it"
                        );
                        journal::rewrite(&mut file, &found).map_err(failed)?;
                    }
                    (ledger, unknown) = (found, false);
                }
                Opened::Damaged { ledger: found, at } => {
                    tracing::error!(
                        kind = "damaged",
                        at,
                        path = %path.display(),
                        "purges: the file is damaged, everything counts as purged"
                    );
                    // Numbers must not mean two things: what follows is another ledger.
                    let mut fresh = Ledger::new(identity);
                    for purge in found.iter().flat_map(Ledger::iter) {
                        let number = fresh.last() + 1;
                        // The same purges under their own order; none can be refused.
                        let _ = fresh.append(identity, Purge { number, ..purge.clone() });
                    }
                    std::fs::copy(path, path.with_extension("damaged")).map_err(failed)?;
                    journal::rewrite(&mut file, &fresh).map_err(failed)?;
                    ledger = fresh;
                }
                Opened::Newer => {
                    return Err(format!(
                        "purges.file: {}: from a newer version of this program",
                        path.display()
                    ));
                }
            }
            disk = Some(Arc::new(Mutex::new(file)));
        }
        let horizon = wall().saturating_sub(settings.horizon_s * 1_000);
        let live: Vec<Purge> = ledger.iter().filter(|p| p.at >= horizon).cloned().collect();
        tracing::info!(last = ledger.last(), live = live.len(), unknown, "purges");
        turn.effects.push(Effect::Floors(settings.clone(), unknown.then(wall)));
        turn.effects.push(Effect::Purged(live));
        Ok(Purges {
            ledger,
            disk,
            workers,
            workers_key,
            settings: settings.clone(),
            waiting: VecDeque::new(),
            keeping: None,
            broken: None,
            sweep: turn.now + SWEEP,
        })
    }

    /// Keeps the next command, if none is being kept.
    fn go_on(&mut self, turn: &mut Turn<'_>) {
        while self.keeping.is_none() {
            let Some((number, command)) = self.waiting.pop_front() else { return };
            if let Some(why) = &self.broken {
                turn.effects.push(Effect::Answer(number, Err(format!("the ledger can't be kept: {why}"))));
                continue;
            }
            match self.ledger.take(wall(), &command) {
                Ok(Taken::Known(known)) => {
                    turn.effects.push(Effect::Answer(number, Ok(json!({"number": known, "repeated": true}))));
                }
                Ok(Taken::New(purge)) => match self.disk.clone() {
                    None => self.kept(turn, number, purge),
                    Some(disk) => {
                        self.keeping = Some((number, purge.clone()));
                        let work = move || match disk.lock() {
                            Ok(mut disk) => journal::keep(&mut *disk, &purge).map_err(|e| e.to_string()),
                            Err(_) => Err("its writer has failed".into()),
                        };
                        if let Err(e) = self.workers.in_order(move || Done::Kept(work())) {
                            self.failed(turn, &e.to_string());
                        }
                    }
                },
                Err(refused) => {
                    let why = match refused {
                        Refused::Bad(why) => why.to_string(),
                        other => format!("{other:?}").to_lowercase(),
                    };
                    turn.effects.push(Effect::Answer(number, Err(why)));
                }
            }
        }
    }

    fn kept(&mut self, turn: &mut Turn<'_>, operator: u64, purge: Purge) {
        let number = purge.number;
        tracing::info!(number, what = ?purge.what, who = %purge.who, why = %purge.why, "purge");
        // It was taken in as the next one, and nothing else came between.
        let _ = self.ledger.append(self.ledger.identity, purge.clone());
        turn.effects.push(Effect::Purged(vec![purge]));
        turn.effects.push(Effect::Answer(operator, Ok(json!({"number": number, "repeated": false}))));
    }

    /// A write failed: what the file holds is not known until it is written anew. The purge takes effect here all the
    /// same, since it may be in the file; whoever asked is told that it may not last.
    fn failed(&mut self, turn: &mut Turn<'_>, why: &str) {
        tracing::error!(kind = "not-kept", error = why, "purges: the ledger can't be kept");
        self.broken = Some(why.into());
        if let Some((operator, purge)) = self.keeping.take() {
            turn.effects.push(Effect::Purged(vec![Purge { number: 0, ..purge }]));
            let text = format!(
                "it counts here until a restart, and could not be kept: {why}; repeat it with the same id"
            );
            turn.effects.push(Effect::Answer(operator, Err(text)));
        }
        self.go_on(turn);
    }

    /// Writes the file anew, without what was compacted or what a failed write left.
    fn rewrite(&mut self, turn: &mut Turn<'_>) {
        let Some(disk) = self.disk.clone() else { return };
        let ledger = self.ledger.clone();
        let work = move || match disk.lock() {
            Ok(mut disk) => journal::rewrite(&mut *disk, &ledger).map_err(|e| e.to_string()),
            Err(_) => Err("its writer has failed".into()),
        };
        if let Err(e) = self.workers.in_order(move || Done::Rewritten(work())) {
            self.failed(turn, &e.to_string());
        }
    }

    fn row(purge: &Purge) -> Value {
        let what = match &purge.what {
            What::Object(object) => json!({"object": format!("{object:016x}")}),
            What::Group(group) => json!({"group": group}),
            What::Tag(tag) => json!({"tag": tag}),
            What::Pattern(pattern) => json!({"pattern": pattern}),
        };
        json!({"number": purge.number, "at_ms": purge.at, "what": what, "id": purge.id, "who": purge.who,
               "why": purge.why})
    }
}

/// What a word names; the error says what is wrong with it.
pub fn what(args: &Value) -> Result<What, String> {
    let given: Vec<_> =
        ["object", "group", "tag", "pattern"].iter().filter(|n| !args[**n].is_null()).collect();
    let [name] = given[..] else { return Err("exactly one of object, group, tag, pattern".into()) };
    let value = &args[*name];
    let text = value.as_str().map_or_else(|| value.to_string(), str::to_string);
    match *name {
        "object" => {
            let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
            let number = u64::from_str_radix(&text, 16).ok().filter(|_| hex);
            number.map(What::Object).ok_or("object: not 16 hex digits".into())
        }
        "group" => {
            let number = text.parse().ok().filter(|n| *n < 256);
            number.map(What::Group).ok_or("group: no number below 256".into())
        }
        "tag" => Ok(What::Tag(text.into())),
        _ => Ok(What::Pattern(text.into())),
    }
}

impl Driver for Purges {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if key != self.workers_key {
            return;
        }
        for done in self.workers.results() {
            match done {
                Done::Kept(Ok(())) => {
                    if let Some((operator, purge)) = self.keeping.take() {
                        self.kept(turn, operator, purge);
                    }
                    self.go_on(turn);
                }
                Done::Kept(Err(why)) => self.failed(turn, &why),
                Done::Rewritten(Ok(())) => {
                    if self.broken.take().is_some() {
                        tracing::info!("purges: the ledger can be kept again");
                    }
                }
                Done::Rewritten(Err(why)) => {
                    if self.broken.replace(why.clone()).is_none() {
                        tracing::error!(kind = "not-kept", error = why, "purges: the ledger can't be kept");
                    }
                }
                Done::Compiled(set) => turn.effects.push(Effect::Compiled(Box::new(set))),
            }
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        if turn.now < self.sweep {
            return;
        }
        self.sweep = turn.now + SWEEP;
        let horizon = wall().saturating_sub(self.settings.horizon_s * 1_000);
        turn.effects.push(Effect::Horizon(horizon));
        // Nothing is being written: what is compacted or cut off can't be what waits.
        if self.keeping.is_none() {
            let last = self.ledger.last();
            if self.ledger.compact(last, horizon) > 0 || self.broken.is_some() {
                self.rewrite(turn);
            }
        }
    }

    fn next(&self) -> Option<Time> {
        Some(self.sweep)
    }

    fn told(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Compile(patterns) => {
                let patterns = patterns.clone();
                if let Err(e) = self.workers.run(move || Done::Compiled(compile(patterns))) {
                    turn.effects.push(Effect::Compiled(Box::new(Err(e.to_string()))));
                }
            }
            Effect::Word(number, word, args) if word == "purge" => {
                let text = |name: &str| args[name].as_str().unwrap_or("").into();
                let command = what(args).map(|what| Command {
                    what,
                    id: text("id"),
                    who: text("who"),
                    why: text("why"),
                    all: args["all"].as_bool().unwrap_or(false),
                });
                match command {
                    Ok(_) if self.waiting.len() >= WAITING_MOST => {
                        turn.effects.push(Effect::Answer(*number, Err("too many wait to be kept".into())));
                    }
                    Ok(command) => {
                        self.waiting.push_back((*number, command));
                        self.go_on(turn);
                    }
                    Err(why) => turn.effects.push(Effect::Answer(*number, Err(why))),
                }
            }
            Effect::Word(number, word, args) if word == "purges" => {
                let one = args["number"].as_u64();
                let rows: Vec<_> = match one {
                    Some(one) => self.ledger.get(one).into_iter().map(Self::row).collect(),
                    None => self.ledger.iter().rev().take(ROWS_MOST).map(Self::row).collect(),
                };
                let answer = json!({"last": self.ledger.last(), "held_after": self.ledger.base(),
                                    "ledger": format!("{:016x}", self.ledger.identity),
                                    "not_kept": self.broken, "purges": rows});
                turn.effects.push(Effect::Answer(*number, Ok(answer)));
            }
            _ => {}
        }
    }

    fn words(&self) -> Vec<(&'static str, &'static str)> {
        vec![
            ("purge", "{object | group | tag | pattern, id, who, why, all}: purge these"),
            ("purges", "the ledger, latest first; {number}: one"),
        ]
    }
}
