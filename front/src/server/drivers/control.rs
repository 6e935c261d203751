//! The control socket: operators send commands, one JSON object a line, and get one line back for each.
use super::{AdminEffect, Driver, Effect, Turn};
use crate::transport::{retry_on_shortage, BackoffListener, Registered};
use cranesill::api::{Micros, Timestamp};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Operators connected at once; any more are disconnected.
pub const MAX_OPERATORS: usize = 8;
/// Bytes of a command, and of input that is not taken yet.
const MAX_LINE_BYTES: usize = 512 * 1024;
/// Bytes of answers that an operator has not read.
const MAX_OUTPUT_BYTES: usize = 8 << 20;
/// Commands of one operator that are not answered yet.
const MAX_OPEN_COMMANDS: usize = 8;
/// An operator that neither sends nor reads anything for this long is disconnected.
const MAX_IDLE: Micros = 60_000_000;
/// Bytes that one read takes at most.
const MAX_READ_BYTES: usize = 16 * 1024;

/// Characters of an unknown command that are repeated to the operator.
const MAX_QUOTED_CHARACTERS: usize = 60;

/// The connection of an operator.
struct Operator {
    socket: Registered<UnixStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Commands that are not answered yet.
    open_commands: usize,
    /// When something was last read or written.
    active_at: Timestamp,
}

/// The control socket.
pub struct Control {
    listener: BackoffListener<UnixListener>,
    listener_key: usize,
    path: PathBuf,
    operators: HashMap<usize, Operator>,
    /// Which operator, by poller key, waits for the answer to which command.
    waiting: BTreeMap<u64, usize>,
    last_id: u64,
    help: BTreeMap<&'static str, &'static str>,
    sweep_at: Timestamp,
}

/// Why the control socket cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// The socket cannot be made or listened on.
    #[error("control.path: {}: {source}", path.display())]
    Io {
        /// Where it should be.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// Another process listens there.
    #[error("control.path: {}: another daemon listens there", .0.display())]
    InUse(PathBuf),
    /// There is something else, which is not displaced.
    #[error("control.path: {}: it is no socket", .0.display())]
    NoSocket(PathBuf),
    /// The socket cannot be watched.
    #[error("control.path: {0}")]
    Unwatched(#[source] io::Error),
}

/// What an operator asks for.
enum Request {
    /// The list of commands.
    Help,
    /// A command that a subsystem carries out.
    Command { name: String, arguments: Value },
}

/// What is wrong with an operator's line.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("no JSON object: {0}")]
    NoJson(#[source] serde_json::Error),
    #[error("no field `word`")]
    NoName,
    #[error("no such word: {0:?}; `help` lists them")]
    Unknown(String),
}

/// Makes the socket: with mode 0600 before anybody can connect, and in the place of one that nobody listens on.
fn bind(path: &Path) -> Result<UnixListener, SocketError> {
    if retry_on_shortage(|| UnixStream::connect(path)).is_ok() {
        return Err(SocketError::InUse(path.to_path_buf()));
    }
    let metadata = std::fs::symlink_metadata(path);
    if metadata.is_ok_and(|metadata| !metadata.file_type().is_socket()) {
        return Err(SocketError::NoSocket(path.to_path_buf()));
    }
    bind_aside(path).map_err(|source| SocketError::Io {
        path: path.to_path_buf(),
        source,
    })
}

/// Makes the socket under another name and renames it, so that it is never there with another mode.
fn bind_aside(path: &Path) -> io::Result<UnixListener> {
    let aside = path.with_extension(format!("{}.tmp", std::process::id()));
    let _ = std::fs::remove_file(&aside);
    let listener = retry_on_shortage(|| UnixListener::bind(&aside))?;
    let made = std::fs::set_permissions(&aside, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&aside, path))
        .and_then(|()| listener.set_nonblocking(true));
    if made.is_err() {
        let _ = std::fs::remove_file(&aside);
    }
    made.map(|()| listener)
}

impl Control {
    /// Listens at `path`; `help` holds the commands of all drivers and of the front.
    pub fn new(
        turn: &mut Turn<'_>,
        path: &Path,
        help: BTreeMap<&'static str, &'static str>,
    ) -> Result<Self, SocketError> {
        let listener_key = turn.key();
        let listener = turn.reactor.watch(bind(path)?, listener_key, false);
        let listener = listener.map_err(SocketError::Unwatched)?;
        tracing::info!(path = %path.display(), "control socket");
        Ok(Control {
            listener: BackoffListener::new(listener),
            listener_key,
            path: path.to_path_buf(),
            operators: HashMap::new(),
            waiting: BTreeMap::new(),
            last_id: 0,
            help,
            sweep_at: turn.now + MAX_IDLE / 4,
        })
    }

    /// Accepts the operators that wait to connect.
    fn accept(&mut self, turn: &mut Turn<'_>) {
        while let Some(socket) = self.listener.accept(turn.now) {
            if self.operators.len() >= MAX_OPERATORS || socket.set_nonblocking(true).is_err() {
                continue;
            }
            let key = turn.key();
            let Ok(socket) = turn.reactor.watch(socket, key, false) else {
                continue;
            };
            let operator = Operator {
                socket,
                input: Vec::new(),
                output: Vec::new(),
                open_commands: 0,
                active_at: turn.now,
            };
            self.operators.insert(key, operator);
        }
    }

    fn read(&mut self, turn: &mut Turn<'_>, key: usize) -> io::Result<()> {
        let Some(operator) = self.operators.get_mut(&key) else {
            return Ok(());
        };
        let mut chunk = [0; MAX_READ_BYTES];
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
        operator.active_at = turn.now;
        if operator.input.len() > MAX_LINE_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        self.take_commands(turn, key);
        Ok(())
    }

    /// Takes complete lines off the input, as far as more commands may be open.
    fn take_commands(&mut self, turn: &mut Turn<'_>, key: usize) {
        while let Some(operator) = self.operators.get_mut(&key) {
            if operator.open_commands >= MAX_OPEN_COMMANDS {
                break;
            }
            let Some(end) = operator.input.iter().position(|byte| *byte == b'\n') else {
                break;
            };
            let line: Vec<u8> = operator.input.drain(..=end).collect();
            operator.open_commands += 1;
            self.last_id += 1;
            let id = self.last_id;
            self.waiting.insert(id, key);
            match self.decode(&line) {
                Ok(Request::Help) => self.answer(turn.now, id, Ok(json!(self.help))),
                Ok(Request::Command { name, arguments }) => {
                    let command = AdminEffect::Command {
                        id,
                        name,
                        arguments,
                    };
                    turn.effects.push(Effect::Admin(command));
                }
                Err(error) => self.answer(turn.now, id, Err(error.to_string())),
            }
        }
        self.watch(key);
    }

    /// Reads one line of an operator.
    fn decode(&self, line: &[u8]) -> Result<Request, RequestError> {
        let value: Value = serde_json::from_slice(line).map_err(RequestError::NoJson)?;
        let name = value["word"].as_str().ok_or(RequestError::NoName)?;
        if name == "help" {
            return Ok(Request::Help);
        }
        if !self.help.contains_key(name) {
            let name = name.chars().take(MAX_QUOTED_CHARACTERS).collect();
            return Err(RequestError::Unknown(name));
        }
        Ok(Request::Command {
            name: name.to_string(),
            arguments: value.get("args").cloned().unwrap_or(Value::Null),
        })
    }

    /// Writes the answer of a command to its operator.
    fn answer(&mut self, now: Timestamp, id: u64, result: Result<Value, String>) {
        let Some(key) = self.waiting.remove(&id) else {
            return;
        };
        let Some(operator) = self.operators.get_mut(&key) else {
            return;
        };
        let answer = match result {
            Ok(value) => json!({"ok": value}),
            Err(why) => json!({"error": why}),
        };
        operator.open_commands -= 1;
        operator
            .output
            .extend(answer.to_string().bytes().chain([b'\n']));
        if operator.output.len() > MAX_OUTPUT_BYTES || self.write(now, key).is_err() {
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
                    operator.active_at = now;
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
            // Not read from while its commands wait: it can't fill the memory.
            let reads = operator.open_commands < MAX_OPEN_COMMANDS;
            // It can only fail for a source that is not watched.
            let _ = operator.socket.rewatch(reads, !operator.output.is_empty());
        }
    }

    /// Writes answers and reads commands, as far as the poller reported it.
    fn transfer(
        &mut self,
        turn: &mut Turn<'_>,
        key: usize,
        readable: bool,
        writable: bool,
    ) -> io::Result<()> {
        if writable {
            self.write(turn.now, key)?;
        }
        if readable {
            self.read(turn, key)?;
        }
        Ok(())
    }

    /// Disconnects an operator; answers to its commands are dropped.
    fn drop(&mut self, key: usize) {
        self.operators.remove(&key);
        self.waiting.retain(|_, k| *k != key);
    }
}

impl Driver for Control {
    fn ready(&mut self, turn: &mut Turn<'_>, key: usize, readable: bool, writable: bool) {
        if key == self.listener_key {
            return self.accept(turn);
        }
        if self.transfer(turn, key, readable, writable).is_err() {
            return self.drop(key);
        }
        if writable {
            self.take_commands(turn, key);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        self.listener.resume_if_due(turn.now);
        let is_over = |operator: &Operator| {
            let is_inactive = turn.now > operator.active_at + MAX_IDLE;
            // One that waits for the result of a command may be silent, one that does not read its answers may not.
            let may_be_silent = operator.open_commands > 0 && operator.output.is_empty();
            is_inactive && !may_be_silent
        };
        let operators = self.operators.iter();
        let over = operators.filter(|(_, operator)| is_over(operator));
        let over: Vec<_> = over.map(|(key, _)| *key).collect();
        for key in over {
            self.drop(key);
        }
        self.sweep_at = turn.now + MAX_IDLE / 4;
    }

    fn next(&self) -> Option<Timestamp> {
        let listener = self.listener.resumes_at().into_iter();
        listener.chain([self.sweep_at]).min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        if let Effect::Admin(AdminEffect::Response {
            id: number,
            result: answer,
        }) = effect
        {
            let key = self.waiting.get(number).copied();
            self.answer(turn.now, *number, answer.clone());
            // A command may have waited for this one.
            key.into_iter()
                .for_each(|key| self.take_commands(turn, key));
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        // Only one's own: another daemon may have taken the place since.
        let mine = self.listener.get().local_addr().is_ok();
        if mine {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

#[cfg(test)]
mod tests;
