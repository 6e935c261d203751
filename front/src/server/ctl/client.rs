//! Connection to the control socket of a running daemon.
use crate::server::config;
use crate::server::error::CtlError;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Read timeout of a response. The daemon responds to certificate commands without waiting for the order to complete.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(130);

/// Maximum size of a response.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Location of the control socket, given as a path or through a settings file.
#[derive(Clone, Debug)]
pub(super) struct DaemonSocket {
    /// The path of the socket; takes precedence over `settings`.
    pub(super) socket: Option<PathBuf>,
    /// The settings file of the daemon, which contains the path.
    pub(super) settings: Option<PathBuf>,
}

impl DaemonSocket {
    /// Returns the path of the control socket.
    fn path(&self) -> Result<PathBuf, CtlError> {
        if let Some(path) = &self.socket {
            return Ok(path.clone());
        }
        let file = self.settings.as_ref().ok_or(CtlError::NoSocket)?;
        let control = config::load_settings(file)?.control;
        let control = control.ok_or_else(|| CtlError::ControlDisabled(file.clone()))?;
        Ok(control.path)
    }

    /// Sends a command to the daemon and waits for the result.
    pub(super) fn send(&self, command: &str, arguments: &Value) -> Result<Value, CtlError> {
        let path = self.path()?;
        let response = exchange(&path, command, arguments).map_err(|e| CtlError::io(&path, e))?;
        let response: Value =
            serde_json::from_str(&response).map_err(|_| CtlError::NoResponse(path.clone()))?;
        match response["error"].as_str() {
            Some(error) => Err(CtlError::Rejected(error.into())),
            None => Ok(response["ok"].clone()),
        }
    }
}

/// Sends one command line and reads one response line.
fn exchange(path: &Path, command: &str, arguments: &Value) -> io::Result<String> {
    let mut socket = UnixStream::connect(path)?;
    socket.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let line = json!({"word": command, "args": arguments}).to_string() + "\n";
    socket.write_all(line.as_bytes())?;
    let mut response = String::new();
    BufReader::new(socket.take(MAX_RESPONSE_BYTES)).read_line(&mut response)?;
    Ok(response)
}
