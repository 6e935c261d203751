//! Drives the ledger of purges: commands of operators in, a file behind it, purges out to the floors. A purge counts
//! once it is kept; who asked is told then.
mod cache_nodes;
pub mod followers;

use super::{AdminEffect, Driver, Effect, EndpointEffect, Purging, Turn};
use crate::protocol::follow::Frame;
use crate::transport::Workers;
use cache_nodes::BoxLinks;
use cranesill::api::{Micros, Timestamp};
use cranesill_daemon::Purges as Settings;
use cranesill_purges::journal::{self, GuardedFile, JournalFile, OpenedJournal};
use cranesill_purges::log::{Appended, Command, Prepared, PurgeLog};
use cranesill_purges::matching::{compile_patterns, CompileError, PatternSet};
use cranesill_purges::{Purge, PurgeTarget, UnixMillis};
use followers::{Followers, Following};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

/// Bytes that the file may have.
const FILE_MOST: u64 = 1 << 30;
/// Commands that wait to be kept.
const WAITING_MOST: usize = 1_024;
/// Pause between two looks for what may be forgotten.
const SWEEP: Micros = 10_000_000;
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
        self.path
            .parent()
            .filter(|p| !p.as_os_str().is_empty())
            .unwrap_or(Path::new("."))
    }
}

impl JournalFile for Disk {
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
            None => self
                .tail
                .insert(std::fs::OpenOptions::new().append(true).open(&self.path)?),
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
        let mut file = options
            .write(true)
            .create(true)
            .truncate(true)
            .mode(0o600)
            .open(&aside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&aside, &self.path)?;
        std::fs::File::open(self.folder())?.sync_all()
    }
}

enum Done {
    /// A purge was kept, or why not.
    Kept(Result<(), String>),
    /// A batch from the writer was kept, or why not.
    KeptBatch(Durable, Result<(), String>),
    /// The file was written anew, or why not.
    Rewritten(Durable, Result<(), String>),
    Compiled(Result<PatternSet, CompileError>),
}

/// Up to which purge of which ledger the file is durable.
#[derive(Clone, Copy, Debug)]
struct Durable {
    ledger: u64,
    number: u64,
}

impl Durable {
    fn of(ledger: &PurgeLog) -> Self {
        Durable {
            ledger: ledger.identity,
            number: ledger.last_number(),
        }
    }

    /// Takes in what was written later.
    fn advance(&mut self, written: Durable) {
        if self.ledger == written.ledger {
            self.number = self.number.max(written.number);
        }
    }
}

/// The driver.
pub struct Purges {
    ledger: PurgeLog,
    disk: Option<Arc<Mutex<GuardedFile<Disk>>>>,
    /// What a restart would find. A follower claims no more than this, to its writer, than it would know then.
    durable: Durable,
    workers: Workers<Done>,
    workers_key: usize,
    settings: Settings,
    /// Commands that were taken in; the first is being kept.
    waiting: VecDeque<(u64, Command)>,
    keeping: Option<(u64, Purge)>,
    /// Those that are sent purges, and positions of their kinds.
    boxes: Option<(BoxLinks, Vec<u8>)>,
    /// Where this front writes and others follow.
    followers: Option<Followers>,
    /// Where this front follows.
    following: Option<Following>,
    /// Operators that wait for all boxes: until when, and for which number.
    waits: Vec<(u64, Timestamp, u64)>,
    /// Until when operators want to wait whose commands are not kept yet.
    waiters: BTreeMap<u64, Timestamp>,
    /// The file failed: nothing is taken in until it can be written anew.
    broken: Option<String>,
    sweep: Timestamp,
    now: Timestamp,
}

/// What was purged before is not known: everything is, as a purge like any other, so that it is kept and reaches boxes.
fn everything(now: Timestamp, ledger: &mut PurgeLog, why: &str) {
    let (number, identity) = (ledger.last_number() + 1, ledger.identity);
    let target = PurgeTarget::Pattern("*".into());
    let id = format!("start-{identity:016x}").into();
    let purge = Purge {
        number,
        at_ms: unix_ms(now),
        target,
        id,
        who: "cranesill".into(),
        why: why.into(),
    };
    // It is the next one of this very ledger.
    let _ = ledger.append(identity, purge);
}

/// Writes the file at the start. A disk that is full or fails for a while ends no start: why it can't be written is returned,
/// and the sweep tries again. A wrong path ends it.
fn write_first(file: &mut dyn JournalFile, ledger: &PurgeLog) -> io::Result<Option<String>> {
    let Err(error) = journal::rewrite(file, ledger) else {
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

/// Where kinds stand in the platform's list.
fn positions(wanted: &[String], kinds: &[String]) -> Result<Vec<u8>, String> {
    let at = |name: &String| {
        let found = kinds
            .iter()
            .position(|k| k == name)
            .and_then(|at| u8::try_from(at).ok());
        found.ok_or_else(|| format!("purges.boxes.kinds: the platform has no kind {name}"))
    };
    wanted.iter().map(at).collect()
}

/// Unix milliseconds by the clock of the loop, which goes on from the start of the process whatever becomes of the wall clock: a
/// horizon by one that is set forward would forget purges.
fn unix_ms(now: Timestamp) -> UnixMillis {
    now / 1_000
}

/// When a purge that is taken in now counts from. One that is dated by a clock that is behind would let older copies pass, so what
/// the list service has shown of that is added.
fn purged_ms(turn: &Turn<'_>) -> UnixMillis {
    unix_ms(turn.now) + turn.behind_ms
}

impl Purges {
    /// Reads the ledger before the first request is taken. What can't be read is taken for purged.
    pub fn new(turn: &mut Turn<'_>, settings: &Settings, kinds: &[String]) -> Result<Self, String> {
        let boxes = settings
            .boxes
            .as_ref()
            .map(|b| positions(&b.kinds, kinds))
            .transpose()?;
        let workers_key = turn.key();
        let workers =
            Workers::new(turn.reactor, workers_key).map_err(|e| format!("purges: {e}"))?;
        let identity = unix_ms(turn.now) ^ (u64::from(std::process::id()) << 44);
        let (mut ledger, mut disk, mut unknown) = (PurgeLog::new(identity), None, true);
        let mut broken = None;
        if let Some(path) = &settings.file {
            let mut file = GuardedFile::new(Disk {
                path: path.clone(),
                tail: None,
            });
            let failed = |e: io::Error| format!("purges.file: {}: {e}", path.display());
            match journal::open(&mut file).map_err(failed)? {
                OpenedJournal::Missing => {
                    // A lost disk looks the same as a first start.
                    everything(turn.now, &mut ledger, "the file was missing");
                    broken = write_first(&mut file, &ledger).map_err(failed)?;
                }
                OpenedJournal::Complete {
                    log: found,
                    torn_bytes: torn,
                } => {
                    if torn > 0 {
                        tracing::warn!(
                            kind = "torn",
                            bytes = torn,
                            "purges: a write was cut off, nobody was told of it"
                        );
                        broken = write_first(&mut file, &found).map_err(failed)?;
                    }
                    ledger = found;
                }
                OpenedJournal::Damaged {
                    log: found,
                    offset: at,
                } => {
                    tracing::error!(
                        kind = "damaged",
                        at,
                        path = %path.display(),
                        "purges: the file is damaged, everything counts as purged"
                    );
                    // Numbers must not mean two things: what follows is another ledger.
                    let mut fresh = PurgeLog::new(identity);
                    for purge in found.iter().flat_map(PurgeLog::iter) {
                        let number = fresh.last_number() + 1;
                        // The same purges under their own order; none can be refused.
                        let _ = fresh.append(
                            identity,
                            Purge {
                                number,
                                ..purge.clone()
                            },
                        );
                    }
                    everything(turn.now, &mut fresh, "the file was damaged");
                    // No copy, which a full disk has no place for. A missing file counts as everything purged as well.
                    std::fs::rename(path, path.with_extension("damaged")).map_err(failed)?;
                    broken = write_first(&mut file, &fresh).map_err(failed)?;
                    ledger = fresh;
                }
                OpenedJournal::NewerVersion => {
                    return Err(format!(
                        "purges.file: {}: from a newer version of this program",
                        path.display()
                    ));
                }
            }
            unknown = false;
            disk = Some(Arc::new(Mutex::new(file)));
        }
        let horizon = unix_ms(turn.now).saturating_sub(settings.horizon_s * 1_000);
        let live: Vec<Purge> = ledger
            .iter()
            .filter(|p| p.at_ms >= horizon)
            .cloned()
            .collect();
        tracing::info!(
            last = ledger.last_number(),
            live = live.len(),
            unknown,
            "purges"
        );
        turn.effects.push(Effect::Purges(Purging::Floors(
            settings.clone(),
            unknown.then(|| unix_ms(turn.now)),
        )));
        turn.effects.push(Effect::Purges(Purging::Purged(live)));
        let boxes = boxes.zip(settings.boxes.as_ref()).map(|(kinds, b)| {
            (
                BoxLinks::new(turn.now, &ledger, b.per_s.into(), b.connections_most),
                kinds,
            )
        });
        let followers = settings
            .serve
            .as_ref()
            .map(|at| Followers::new(turn, at))
            .transpose()?;
        let follow = settings.follow.as_ref().map(|f| f.address.as_str());
        let following = follow.map(|at| Following::new(turn.now, at)).transpose()?;
        Ok(Purges {
            durable: match &broken {
                Some(_) => Durable {
                    ledger: ledger.identity,
                    number: ledger.base(),
                },
                None => Durable::of(&ledger),
            },
            followers,
            following,
            boxes,
            waits: Vec::new(),
            waiters: BTreeMap::new(),
            ledger,
            disk,
            workers,
            workers_key,
            settings: settings.clone(),
            waiting: VecDeque::new(),
            keeping: None,
            broken,
            sweep: turn.now + SWEEP,
            now: turn.now,
        })
    }

    /// Keeps the next command, if none is being kept.
    fn go_on(&mut self, turn: &mut Turn<'_>) {
        while self.keeping.is_none() {
            let Some((number, command)) = self.waiting.pop_front() else {
                return;
            };
            if let Some(why) = &self.broken {
                self.waiters.remove(&number);
                turn.effects.push(Effect::response(
                    number,
                    Err(format!("the ledger can't be kept: {why}")),
                ));
                continue;
            }
            match self.ledger.prepare(purged_ms(turn), &command) {
                Ok(Prepared::Duplicate(known)) => {
                    self.answer(turn, number, known, true);
                }
                Ok(Prepared::New(purge)) => match self.disk.clone() {
                    None => self.kept(turn, number, purge),
                    Some(disk) => {
                        self.keeping = Some((number, purge.clone()));
                        let work = move || match disk.lock() {
                            Ok(mut disk) => {
                                journal::append_purge(&mut *disk, &purge).map_err(|e| e.to_string())
                            }
                            Err(_) => Err("its writer has failed".into()),
                        };
                        if let Err(e) = self.workers.in_order(move || Done::Kept(work())) {
                            self.failed(turn, &e.to_string());
                        }
                    }
                },
                Err(refused) => {
                    self.waiters.remove(&number);
                    turn.effects
                        .push(Effect::response(number, Err(refused.to_string())));
                }
            }
        }
    }

    fn kept(&mut self, turn: &mut Turn<'_>, operator: u64, purge: Purge) {
        let number = purge.number;
        tracing::info!(number, what = ?purge.target, who = %purge.who, why = %purge.why, "purge");
        // It was taken in as the next one, and nothing else came between.
        let _ = self.ledger.append(self.ledger.identity, purge.clone());
        turn.effects
            .push(Effect::Purges(Purging::Purged(vec![purge])));
        self.answer(turn, operator, number, false);
    }

    /// Tells an operator of a purge: at once, or once all boxes have confirmed it.
    fn answer(&mut self, turn: &mut Turn<'_>, operator: u64, number: u64, repeated: bool) {
        let waits = self.waiters.remove(&operator);
        match waits.filter(|_| self.boxes.is_some()) {
            Some(until) => self.waits.push((operator, until, number)),
            None => {
                let answer = json!({"number": number, "repeated": repeated});
                turn.effects.push(Effect::response(operator, Ok(answer)));
            }
        }
        self.boxes_work(turn);
    }

    /// Sends boxes what is due, and tells operators who wait for them.
    fn boxes_work(&mut self, turn: &mut Turn<'_>) {
        if let Some(followers) = &mut self.followers {
            followers.work(turn.now, &self.ledger);
        }
        if let Some(following) = &mut self.following {
            let held = match self.disk {
                Some(_) => self.durable.number,
                None => self.ledger.last_number(),
            };
            following.work(turn, self.ledger.identity, held);
        }
        let Some((boxes, _)) = &mut self.boxes else {
            return;
        };
        boxes.work(turn, &self.ledger);
        if let Some(number) = boxes.changed() {
            turn.effects
                .push(Effect::Purges(Purging::Confirmed(number)));
        }
        let now = turn.now;
        self.waits.retain(|(operator, until, number)| {
            let missing = boxes.missing(*number);
            let done = missing.is_empty();
            if done || now >= *until {
                let answer = match done {
                    true => Ok(json!({"number": number, "confirmed": "by all boxes"})),
                    false => Err(format!(
                        "purge {number} is not confirmed by {}",
                        missing.join(" ")
                    )),
                };
                turn.effects.push(Effect::response(*operator, answer));
            }
            !done && now < *until
        });
    }

    /// Takes in what the writer sent: it counts at once, and is confirmed once it is kept.
    fn frames(&mut self, turn: &mut Turn<'_>, frames: Vec<Frame>) {
        for frame in frames {
            if frame.anew {
                // What the writer has forgotten is past the horizon; what stood in another ledger is not known there.
                let lost = self.ledger.last_number() > 0;
                tracing::warn!(
                    kind = "anew",
                    base = frame.base,
                    lost,
                    "purges: the ledger begins anew"
                );
                self.ledger = PurgeLog::after(frame.ledger, frame.base);
                self.durable = Durable::of(&self.ledger);
                if lost {
                    turn.effects
                        .push(Effect::Purges(Purging::Everything(purged_ms(turn))));
                }
                self.rewrite(turn);
                continue;
            }
            let mut new = Vec::new();
            let sent = frame.purges.last().map(|purge| purge.number);
            for purge in frame.purges {
                match self.ledger.append(frame.ledger, purge.clone()) {
                    Ok(Appended::New) => new.push(purge),
                    Ok(Appended::AlreadyPresent) => {}
                    Err(refused) => {
                        tracing::warn!(
                            kind = "out-of-order",
                            ?refused,
                            number = purge.number,
                            "purges: a bad batch"
                        );
                        self.following
                            .iter_mut()
                            .for_each(|f| f.lost(turn.now, "it sent what does not follow"));
                        return;
                    }
                }
            }
            let last = self.ledger.last_number();
            if !new.is_empty() {
                turn.effects
                    .push(Effect::Purges(Purging::Purged(new.clone())));
                self.keep_batch(turn, new);
            }
            if let (Some(number), Some(following)) = (sent, &mut self.following) {
                following.owe(number);
                following.kept(turn.now, self.durable.number);
            }
            if frame.ledger == self.ledger.identity && frame.head == last {
                turn.effects.push(Effect::Purges(Purging::Contact));
            }
        }
    }

    /// Keeps purges that came from the writer and are in the ledger.
    fn keep_batch(&mut self, turn: &mut Turn<'_>, new: Vec<Purge>) {
        let kept = Durable::of(&self.ledger);
        let Some(disk) = self.disk.clone() else {
            self.durable = kept;
            return;
        };
        let work = move || match disk.lock() {
            Ok(mut disk) => journal::append_purges(&mut *disk, &new).map_err(|e| e.to_string()),
            Err(_) => Err("its writer has failed".into()),
        };
        if let Err(e) = self.workers.in_order(move || Done::KeptBatch(kept, work())) {
            self.failed(turn, &e.to_string());
        }
    }

    /// A write failed: what the file holds is not known until it is written anew. The purge takes effect here all the
    /// same, since it may be in the file; whoever asked is told that it may not last.
    fn failed(&mut self, turn: &mut Turn<'_>, why: &str) {
        tracing::error!(
            kind = "not-kept",
            error = why,
            "purges: the ledger can't be kept"
        );
        self.broken = Some(why.into());
        if let Some((operator, purge)) = self.keeping.take() {
            self.waiters.remove(&operator);
            turn.effects
                .push(Effect::Purges(Purging::Purged(vec![Purge {
                    number: 0,
                    ..purge
                }])));
            let text = format!(
                "it counts here until a restart, and could not be kept: {why}; repeat it with the same id"
            );
            turn.effects.push(Effect::response(operator, Err(text)));
        }
        self.go_on(turn);
    }

    /// Writes the file anew, without what was compacted or what a failed write left.
    fn rewrite(&mut self, turn: &mut Turn<'_>) {
        let Some(disk) = self.disk.clone() else {
            return;
        };
        let ledger = self.ledger.clone();
        let written = Durable::of(&ledger);
        let work = move || match disk.lock() {
            Ok(mut disk) => journal::rewrite(&mut *disk, &ledger).map_err(|e| e.to_string()),
            Err(_) => Err("its writer has failed".into()),
        };
        if let Err(e) = self
            .workers
            .in_order(move || Done::Rewritten(written, work()))
        {
            self.failed(turn, &e.to_string());
        }
    }

    fn row(purge: &Purge) -> Value {
        let what = match &purge.target {
            PurgeTarget::Object(object) => json!({"object": format!("{object:016x}")}),
            PurgeTarget::Group(group) => json!({"group": group}),
            PurgeTarget::Tag(tag) => json!({"tag": tag}),
            PurgeTarget::Pattern(pattern) => json!({"pattern": pattern}),
        };
        json!({"number": purge.number, "at_ms": purge.at_ms, "what": what, "id": purge.id, "who": purge.who,
               "why": purge.why})
    }
}

/// What a word names; the error says what is wrong with it.
pub fn parse_target(args: &Value) -> Result<PurgeTarget, String> {
    let given: Vec<_> = ["object", "group", "tag", "pattern"]
        .iter()
        .filter(|n| !args[**n].is_null())
        .collect();
    let [name] = given[..] else {
        return Err("exactly one of object, group, tag, pattern".into());
    };
    let value = &args[*name];
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    match *name {
        "object" => {
            let hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
            let number = u64::from_str_radix(&text, 16).ok().filter(|_| hex);
            number
                .map(PurgeTarget::Object)
                .ok_or("object: not 16 hex digits".into())
        }
        "group" => {
            let number = text.parse().ok().filter(|n| *n < 256);
            number
                .map(PurgeTarget::Group)
                .ok_or("group: no number below 256".into())
        }
        "tag" => Ok(PurgeTarget::Tag(text.into())),
        _ => Ok(PurgeTarget::Pattern(text.into())),
    }
}

impl Driver for Purges {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, _: bool, _: bool) {
        if let Some((boxes, _)) = self.boxes.as_mut().filter(|(boxes, _)| boxes.has(key)) {
            boxes.ready(turn.now, key, self.ledger.last_number());
            return self.boxes_work(turn);
        }
        if let Some(followers) = self.followers.as_mut().filter(|f| f.has(key)) {
            followers.ready(turn, key, &self.ledger);
            return self.boxes_work(turn);
        }
        if let Some(following) = self.following.as_mut().filter(|f| f.has(key)) {
            let frames = following.ready(turn.now);
            return self.frames(turn, frames);
        }
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
                Done::KeptBatch(kept, Ok(())) => {
                    self.durable.advance(kept);
                    self.following
                        .iter_mut()
                        .for_each(|f| f.kept(turn.now, self.durable.number));
                }
                Done::KeptBatch(_, Err(why)) => {
                    self.following
                        .iter_mut()
                        .for_each(|f| f.lost(turn.now, "what it sent can't be kept"));
                    self.failed(turn, &why);
                }
                Done::Rewritten(written, Ok(())) => {
                    self.durable.advance(written);
                    self.following
                        .iter_mut()
                        .for_each(|f| f.kept(turn.now, self.durable.number));
                    if self.broken.take().is_some() {
                        tracing::info!("purges: the ledger can be kept again");
                    }
                }
                Done::Rewritten(_, Err(why)) => {
                    if self.broken.replace(why.clone()).is_none() {
                        tracing::error!(
                            kind = "not-kept",
                            error = why,
                            "purges: the ledger can't be kept"
                        );
                    }
                }
                Done::Compiled(set) => turn
                    .effects
                    .push(Effect::Purges(Purging::Compiled(Box::new(set)))),
            }
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        self.boxes_work(turn);
        self.now = turn.now;
        if turn.now < self.sweep {
            return;
        }
        self.sweep = turn.now + SWEEP;
        let horizon = unix_ms(turn.now).saturating_sub(self.settings.horizon_s * 1_000);
        turn.effects.push(Effect::Purges(Purging::Horizon(horizon)));
        // Nothing is being written: what is compacted or cut off can't be what waits.
        if self.keeping.is_none() {
            let confirmed = self
                .boxes
                .as_ref()
                .map_or(self.ledger.last_number(), |(boxes, _)| boxes.confirmed());
            if self.ledger.compact(confirmed, horizon) > 0 || self.broken.is_some() {
                self.rewrite(turn);
            }
        }
    }

    fn next(&self) -> Option<Timestamp> {
        let boxes = self
            .boxes
            .as_ref()
            .and_then(|(boxes, _)| boxes.next(self.now, self.ledger.last_number()));
        let waits = self.waits.iter().map(|(_, until, _)| *until).min();
        let followers = self.followers.as_ref().and_then(Followers::next);
        let following = self.following.as_ref().map(Following::next);
        [Some(self.sweep), boxes, waits, followers, following]
            .into_iter()
            .flatten()
            .min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        match effect {
            Effect::Purges(Purging::Compile(patterns)) => {
                let patterns = patterns.clone();
                if let Err(e) = self
                    .workers
                    .run(move || Done::Compiled(compile_patterns(patterns)))
                {
                    turn.effects
                        .push(Effect::Purges(Purging::Compiled(Box::new(Err(e.into())))));
                }
            }
            Effect::Endpoints(EndpointEffect::Listed {
                endpoints: members,
                complete: whole,
            }) => {
                if let Some((boxes, kinds)) = &mut self.boxes {
                    let ours = members
                        .iter()
                        .filter(|m| kinds.contains(&m.kind))
                        .map(|m| (m.id, m.address));
                    boxes.list(turn.now, &ours.collect::<Vec<_>>(), *whole);
                    self.boxes_work(turn);
                }
            }
            Effect::Endpoints(EndpointEffect::ServedPurged { endpoint: id }) => {
                if let Some((boxes, _)) = &mut self.boxes {
                    boxes.lied(turn.now, *id);
                }
            }
            Effect::Admin(AdminEffect::Command {
                id: number,
                name: word,
                ..
            }) if word == "purge-boxes" => {
                let rows = self.boxes.as_ref().map(|(boxes, _)| boxes.rows());
                let answer =
                    rows.map(|rows| json!({"last": self.ledger.last_number(), "boxes": rows}));
                turn.effects.push(Effect::response(
                    *number,
                    answer.ok_or("no box is sent purges".into()),
                ));
            }
            Effect::Admin(AdminEffect::Command {
                id: number,
                name: word,
                ..
            }) if word == "purge" && self.following.is_some() => {
                let at = self.settings.follow.as_ref().map_or("", |f| &f.address);
                let why = format!("this front follows the ledger at {at}: purge at its writer");
                turn.effects.push(Effect::response(*number, Err(why)));
            }
            Effect::Admin(AdminEffect::Command {
                id: number,
                name: word,
                arguments: args,
            }) if word == "purge" => {
                let text = |name: &str| args[name].as_str().unwrap_or("").into();
                let command = parse_target(args).map(|target| Command {
                    target,
                    id: text("id"),
                    who: text("who"),
                    why: text("why"),
                    all: args["all"].as_bool().unwrap_or(false),
                });
                match command {
                    Ok(_) if self.waiting.len() >= WAITING_MOST => {
                        turn.effects.push(Effect::response(
                            *number,
                            Err("too many wait to be kept".into()),
                        ));
                    }
                    Ok(command) => {
                        if let Some(seconds) = args["wait_s"].as_u64() {
                            self.waiters
                                .insert(*number, turn.now + seconds.min(120) * 1_000_000);
                        }
                        self.waiting.push_back((*number, command));
                        self.go_on(turn);
                    }
                    Err(why) => turn.effects.push(Effect::response(*number, Err(why))),
                }
            }
            Effect::Admin(AdminEffect::Command {
                id: number,
                name: word,
                arguments: args,
            }) if word == "purges" => {
                let one = args["number"].as_u64();
                let rows: Vec<_> = match one {
                    Some(one) => self.ledger.get(one).into_iter().map(Self::row).collect(),
                    None => self
                        .ledger
                        .iter()
                        .rev()
                        .take(ROWS_MOST)
                        .map(Self::row)
                        .collect(),
                };
                let answer = json!({"last": self.ledger.last_number(), "held_after": self.ledger.base(),
                                    "ledger": format!("{:016x}", self.ledger.identity),
                                    "not_kept": self.broken, "followers": self.followers.as_ref().map(|f| f.state().0),
                                    "purges": rows});
                turn.effects.push(Effect::response(*number, Ok(answer)));
            }
            _ => {}
        }
    }

    fn commands(&self) -> Vec<(&'static str, &'static str)> {
        vec![
            (
                "purge",
                "{object | group | tag | pattern, id, who, why, all}: purge these",
            ),
            ("purge-boxes", "how each box stands"),
            ("purges", "the ledger, latest first; {number}: one"),
        ]
    }
}

#[cfg(test)]
mod tests;
