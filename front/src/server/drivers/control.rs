//! The control socket: one JSON object a line from operators, one a line back.
use super::{AdminEffect, Driver, Effect, Turn};
use crate::transport::{at_start, Registered};
use cranesill::api::{Micros, Timestamp};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Operators at once; one more is closed.
pub const OPERATORS_MOST: usize = 8;
/// Bytes of a word, and of what is not taken yet.
const LINE_MOST: usize = 512 * 1024;
const OUTPUT_MOST: usize = 8 << 20;
/// Words of one operator that wait for their answers.
const OPEN_MOST: usize = 8;
/// An operator that neither says nor takes anything for this long is closed.
const IDLE_MOST: Micros = 60_000_000;
const READ_MOST: usize = 16 * 1024;

struct Operator {
    socket: Registered<UnixStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Words that are not answered yet.
    open: usize,
    moved: Timestamp,
}

/// The control socket.
pub struct Control {
    listener: Registered<UnixListener>,
    listener_key: usize,
    path: PathBuf,
    operators: HashMap<usize, Operator>,
    /// Who waits for which answer.
    asked: BTreeMap<u64, usize>,
    last: u64,
    help: BTreeMap<&'static str, &'static str>,
    sweep: Timestamp,
}

/// Makes the socket: 0600 before anybody can connect, in the place of one that nobody listens on.
fn bind(path: &Path) -> Result<UnixListener, String> {
    let failed = |e: io::Error| format!("control.path: {}: {e}", path.display());
    if at_start(|| UnixStream::connect(path)).is_ok() {
        return Err(format!(
            "control.path: {}: another daemon listens there",
            path.display()
        ));
    }
    match std::fs::symlink_metadata(path) {
        Ok(meta) if !std::os::unix::fs::FileTypeExt::is_socket(&meta.file_type()) => {
            return Err(format!("control.path: {}: it is no socket", path.display()));
        }
        _ => {}
    }
    let aside = path.with_extension(format!("{}.tmp", std::process::id()));
    let _ = std::fs::remove_file(&aside);
    let listener = at_start(|| UnixListener::bind(&aside)).map_err(failed)?;
    let made = std::fs::set_permissions(&aside, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&aside, path))
        .and_then(|()| listener.set_nonblocking(true));
    if made.is_err() {
        let _ = std::fs::remove_file(&aside);
    }
    made.map(|()| listener).map_err(failed)
}

impl Control {
    /// Listens; the words are those of all drivers and of the front.
    pub fn new(
        turn: &mut Turn<'_>,
        path: &Path,
        help: BTreeMap<&'static str, &'static str>,
    ) -> Result<Self, String> {
        let listener_key = turn.key();
        let listener = turn.reactor.watch(bind(path)?, listener_key, false);
        let listener = listener.map_err(|e| format!("control.path: {e}"))?;
        tracing::info!(path = %path.display(), "control socket");
        Ok(Control {
            listener,
            listener_key,
            path: path.to_path_buf(),
            operators: HashMap::new(),
            asked: BTreeMap::new(),
            last: 0,
            help,
            sweep: turn.now + IDLE_MOST / 4,
        })
    }

    fn accept(&mut self, turn: &mut Turn<'_>) {
        while let Ok((socket, _)) = self.listener.accept() {
            if self.operators.len() >= OPERATORS_MOST || socket.set_nonblocking(true).is_err() {
                continue;
            }
            let key = turn.key();
            if let Ok(socket) = turn.reactor.watch(socket, key, false) {
                let (input, output) = (Vec::new(), Vec::new());
                self.operators.insert(
                    key,
                    Operator {
                        socket,
                        input,
                        output,
                        open: 0,
                        moved: turn.now,
                    },
                );
            }
        }
    }

    fn read(&mut self, turn: &mut Turn<'_>, key: usize) -> io::Result<()> {
        let Some(operator) = self.operators.get_mut(&key) else {
            return Ok(());
        };
        let mut chunk = [0; READ_MOST];
        match (&*operator.socket).read(&mut chunk) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) => operator.input.extend_from_slice(&chunk[..n]),
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                ) =>
            {
                return Ok(())
            }
            Err(e) => return Err(e),
        }
        operator.moved = turn.now;
        if operator.input.len() > LINE_MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.words(turn, key);
        Ok(())
    }

    /// Takes whole lines off the input, as far as more words may be open.
    fn words(&mut self, turn: &mut Turn<'_>, key: usize) {
        while let Some(operator) = self.operators.get_mut(&key).filter(|o| o.open < OPEN_MOST) {
            let Some(end) = operator.input.iter().position(|b| *b == b'\n') else {
                break;
            };
            let line: Vec<u8> = operator.input.drain(..=end).collect();
            operator.open += 1;
            self.last += 1;
            self.asked.insert(self.last, key);
            let word =
                serde_json::from_slice::<Value>(&line).map_err(|e| format!("no JSON object: {e}"));
            let word = word.and_then(|v| {
                let word = v["word"].as_str().ok_or("no field `word`")?.to_string();
                Ok((word, v.get("args").cloned().unwrap_or(Value::Null)))
            });
            match word {
                Ok((word, _)) if word == "help" => {
                    self.answer(turn.now, self.last, Ok(json!(self.help)))
                }
                Ok((word, args)) if self.help.contains_key(word.as_str()) => {
                    turn.effects.push(Effect::Admin(AdminEffect::Command {
                        id: self.last,
                        name: word,
                        arguments: args,
                    }));
                }
                Ok((word, _)) => {
                    let word: String = word.chars().take(60).collect();
                    self.answer(
                        turn.now,
                        self.last,
                        Err(format!("no such word: {word:?}; `help` lists them")),
                    );
                }
                Err(why) => self.answer(turn.now, self.last, Err(why)),
            }
        }
        self.watch(key);
    }

    fn answer(&mut self, now: Timestamp, number: u64, answer: Result<Value, String>) {
        let Some(key) = self.asked.remove(&number) else {
            return;
        };
        let Some(operator) = self.operators.get_mut(&key) else {
            return;
        };
        let answer = match answer {
            Ok(value) => json!({"ok": value}),
            Err(why) => json!({"error": why}),
        };
        operator.open -= 1;
        operator
            .output
            .extend(answer.to_string().bytes().chain([b'\n']));
        if operator.output.len() > OUTPUT_MOST || self.write(now, key).is_err() {
            self.drop(key);
        }
    }

    fn write(&mut self, now: Timestamp, key: usize) -> io::Result<()> {
        let Some(operator) = self.operators.get_mut(&key) else {
            return Ok(());
        };
        while !operator.output.is_empty() {
            match (&*operator.socket).write(&operator.output) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => {
                    operator.output.drain(..n);
                    operator.moved = now;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.watch(key);
        Ok(())
    }

    fn watch(&mut self, key: usize) {
        if let Some(operator) = self.operators.get(&key) {
            // Not read from while its words wait: it can't fill the memory.
            let reads = operator.open < OPEN_MOST;
            // It can only fail for a source that is not watched.
            let _ = operator.socket.rewatch(reads, !operator.output.is_empty());
        }
    }

    fn drop(&mut self, key: usize) {
        self.operators.remove(&key);
        self.asked.retain(|_, k| *k != key);
    }
}

impl Driver for Control {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, readable: bool, writable: bool) {
        if key == self.listener_key {
            return self.accept(turn);
        }
        let written = if writable {
            self.write(turn.now, key)
        } else {
            Ok(())
        };
        let read = written.and_then(|()| {
            if readable {
                self.read(turn, key)
            } else {
                Ok(())
            }
        });
        if read.is_err() {
            self.drop(key);
        } else if writable {
            self.words(turn, key);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        let idle = |o: &Operator| o.open == 0 && turn.now > o.moved + IDLE_MOST;
        let stuck = |o: &Operator| !o.output.is_empty() && turn.now > o.moved + IDLE_MOST;
        let over = self
            .operators
            .iter()
            .filter(|(_, o)| idle(o) || stuck(o))
            .map(|(key, _)| *key);
        over.collect::<Vec<_>>()
            .into_iter()
            .for_each(|key| self.drop(key));
        self.sweep = turn.now + IDLE_MOST / 4;
    }

    fn next(&self) -> Option<Timestamp> {
        Some(self.sweep)
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        if let Effect::Admin(AdminEffect::Response {
            id: number,
            result: answer,
        }) = effect
        {
            let key = self.asked.get(number).copied();
            self.answer(turn.now, *number, answer.clone());
            // A word that waited for room.
            key.into_iter().for_each(|key| self.words(turn, key));
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // Only one's own: another daemon may have taken the place since.
        let mine = self.listener.local_addr().is_ok();
        if mine {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

#[cfg(test)]
mod tests;
