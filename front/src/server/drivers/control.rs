//! Control socket for operators. Each command is a JSON object on one line, and is answered by one line.
use super::{AdminEffect, Driver, Effect, Turn};
use crate::transport::{retry_on_shortage, BackoffListener, Registered};
use cranesill::api::{Micros, Timestamp};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Read, Write};
use std::os::unix::fs::{FileTypeExt, MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

/// Maximum number of connected operators; further ones are disconnected.
pub const MAX_OPERATORS: usize = 8;
/// Maximum size of the unprocessed input of one operator, and so of a command.
const MAX_LINE_BYTES: usize = 512 * 1024;
/// Maximum size of the responses that one operator has not read.
const MAX_OUTPUT_BYTES: usize = 8 << 20;
/// Maximum number of unanswered commands of one operator.
const MAX_OPEN_COMMANDS: usize = 8;
/// Time without input or output after which an operator is disconnected.
const IDLE_TIMEOUT: Micros = 60_000_000;
/// Maximum size of one read.
const MAX_READ_BYTES: usize = 16 * 1024;
/// Longest excerpt of an unknown command in an error message.
const MAX_QUOTED_CHARACTERS: usize = 60;

/// Connection of an operator.
struct Operator {
    socket: Registered<UnixStream>,
    input: Vec<u8>,
    output: Vec<u8>,
    /// Number of unanswered commands.
    open_commands: usize,
    /// Time of the last read or write.
    active_at: Timestamp,
}

/// The driver of the control socket.
pub struct Control {
    listener: BackoffListener<UnixListener>,
    listener_key: usize,
    path: PathBuf,
    /// Identifies the socket file, since another process may replace it.
    file: Option<FileId>,
    operators: HashMap<usize, Operator>,
    /// Poller key of the operator, by the id of an unanswered command.
    waiting: BTreeMap<u64, usize>,
    last_id: u64,
    help: BTreeMap<&'static str, &'static str>,
    sweep_at: Timestamp,
}

/// Device and inode of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileId {
    device: u64,
    inode: u64,
}

impl FileId {
    /// Identifies the file at a path, which may be a link; `None` if there is none or it cannot be read.
    fn at(path: &Path) -> Option<Self> {
        let metadata = std::fs::symlink_metadata(path).ok()?;
        Some(FileId {
            device: metadata.dev(),
            inode: metadata.ino(),
        })
    }
}

/// Failure to open the control socket.
#[derive(Debug, thiserror::Error)]
pub enum SocketError {
    /// The socket cannot be created.
    #[error("control.path: cannot create a socket at {}: {source}", path.display())]
    Io {
        /// Path in the settings.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// Another process listens on the path.
    #[error("control.path: {}: another daemon listens on this socket", .0.display())]
    InUse(PathBuf),
    /// The path exists and is not a socket. It is not replaced.
    #[error("control.path: {}: exists and is not a socket", .0.display())]
    NotASocket(PathBuf),
    /// The socket cannot be added to the poller.
    #[error("control.path: cannot watch the socket: {0}")]
    Watch(#[source] io::Error),
}

/// A decoded line of an operator.
enum Request {
    /// Requests the list of commands.
    Help,
    /// A command for a subsystem.
    Command { name: String, arguments: Value },
}

/// A line that is not a valid command. The text is sent to the operator.
#[derive(Debug, thiserror::Error)]
enum RequestError {
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("field `word` is missing or not a string")]
    MissingName,
    #[error("unknown command {0:?}; `help` lists all commands")]
    UnknownCommand(String),
}

/// Creates the socket, with mode 0600 before anyone can connect. A stale socket at the path is replaced.
fn bind(path: &Path) -> Result<UnixListener, SocketError> {
    if retry_on_shortage(|| UnixStream::connect(path)).is_ok() {
        return Err(SocketError::InUse(path.to_path_buf()));
    }
    let metadata = std::fs::symlink_metadata(path);
    if metadata.is_ok_and(|metadata| !metadata.file_type().is_socket()) {
        return Err(SocketError::NotASocket(path.to_path_buf()));
    }
    bind_and_rename(path).map_err(|source| SocketError::Io {
        path: path.to_path_buf(),
        source,
    })
}

/// Creates the socket under a temporary name and renames it, so that it never exists at `path` with another mode.
fn bind_and_rename(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(format!("{}.tmp", std::process::id()));
    let _ = std::fs::remove_file(&temporary);
    let listener = retry_on_shortage(|| UnixListener::bind(&temporary))?;
    let prepared = std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))
        .and_then(|()| std::fs::rename(&temporary, path))
        .and_then(|()| listener.set_nonblocking(true));
    if prepared.is_err() {
        let _ = std::fs::remove_file(&temporary);
    }
    prepared.map(|()| listener)
}

impl Control {
    /// Listens on `path`. `help` contains the commands of all drivers and of the front, each with its help text.
    pub fn new(
        turn: &mut Turn<'_>,
        path: &Path,
        help: BTreeMap<&'static str, &'static str>,
    ) -> Result<Self, SocketError> {
        let listener_key = turn.key();
        let listener = turn.reactor.watch(bind(path)?, listener_key, false);
        let listener = listener.map_err(SocketError::Watch)?;
        tracing::info!(path = %path.display(), "control socket open");
        Ok(Control {
            listener: BackoffListener::new(listener),
            listener_key,
            path: path.to_path_buf(),
            file: FileId::at(path),
            operators: HashMap::new(),
            waiting: BTreeMap::new(),
            last_id: 0,
            help,
            sweep_at: turn.now + IDLE_TIMEOUT / 4,
        })
    }

    /// Accepts all pending connections.
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
        self.process_input(turn, key);
        Ok(())
    }

    /// Processes complete lines of the input until too many commands are unanswered.
    fn process_input(&mut self, turn: &mut Turn<'_>, key: usize) {
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

    /// Decodes one line of an operator.
    fn decode(&self, line: &[u8]) -> Result<Request, RequestError> {
        let value: Value = serde_json::from_slice(line).map_err(RequestError::NotJson)?;
        let name = value["word"].as_str().ok_or(RequestError::MissingName)?;
        if name == "help" {
            return Ok(Request::Help);
        }
        if !self.help.contains_key(name) {
            let name = name.chars().take(MAX_QUOTED_CHARACTERS).collect();
            return Err(RequestError::UnknownCommand(name));
        }
        Ok(Request::Command {
            name: name.to_string(),
            arguments: value.get("args").cloned().unwrap_or(Value::Null),
        })
    }

    /// Sends the result of a command to its operator.
    fn answer(&mut self, now: Timestamp, id: u64, result: Result<Value, String>) {
        let Some(key) = self.waiting.remove(&id) else {
            return;
        };
        let Some(operator) = self.operators.get_mut(&key) else {
            return;
        };
        let answer = match result {
            Ok(value) => json!({"ok": value}),
            Err(error) => json!({"error": error}),
        };
        operator.open_commands -= 1;
        operator
            .output
            .extend(answer.to_string().bytes().chain([b'\n']));
        if operator.output.len() > MAX_OUTPUT_BYTES || self.write(now, key).is_err() {
            self.disconnect(key);
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
            // Reading pauses while too many commands are unanswered, which bounds the memory of the input.
            let reads = operator.open_commands < MAX_OPEN_COMMANDS;
            // Fails only for a socket that is not watched.
            let _ = operator.socket.rewatch(reads, !operator.output.is_empty());
        }
    }

    /// Writes responses and reads commands, as far as the socket is ready.
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

    /// Disconnects an operator. Responses to its commands are dropped.
    fn disconnect(&mut self, key: usize) {
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
            return self.disconnect(key);
        }
        if writable {
            self.process_input(turn, key);
        }
    }

    fn due(&mut self, turn: &mut Turn<'_>) {
        self.listener.resume_if_due(turn.now);
        let is_idle = |operator: &Operator| {
            let timed_out = turn.now > operator.active_at + IDLE_TIMEOUT;
            // An operator that waits for a result has nothing to send; one that does not read its responses times out.
            let awaits_result = operator.open_commands > 0 && operator.output.is_empty();
            timed_out && !awaits_result
        };
        let operators = self.operators.iter();
        let idle = operators.filter(|(_, operator)| is_idle(operator));
        let idle: Vec<_> = idle.map(|(key, _)| *key).collect();
        for key in idle {
            self.disconnect(key);
        }
        self.sweep_at = turn.now + IDLE_TIMEOUT / 4;
    }

    fn next(&self) -> Option<Timestamp> {
        let listener = self.listener.resumes_at().into_iter();
        listener.chain([self.sweep_at]).min()
    }

    fn handle_effect(&mut self, turn: &mut Turn<'_>, effect: &Effect) {
        if let Effect::Admin(AdminEffect::Response { id, result }) = effect {
            let key = self.waiting.get(id).copied();
            self.answer(turn.now, *id, result.clone());
            // A further command may have waited for this one to be answered.
            key.into_iter()
                .for_each(|key| self.process_input(turn, key));
        }
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        let is_own = self.file.is_some() && FileId::at(&self.path) == self.file;
        if is_own {
            let _ = std::fs::remove_file(&self.path);
        }
    }
}

#[cfg(test)]
mod tests;
