//! The connection to a running daemon's control socket.
use crate::server::config;
use crate::server::error::CtlError;
use serde_json::{json, Value};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The daemon answers within this time or is taken for stuck; it does not wait for certificate orders.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(130);

/// Bytes of an answer at most.
const MAX_RESPONSE_BYTES: u64 = 16 << 20;

/// Where the daemon's control socket is: at a path, or where settings say.
#[derive(Clone, Debug)]
pub(super) struct DaemonSocket {
    /// The path of the socket.
    pub(super) socket: Option<PathBuf>,
    /// A settings file that names the path.
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

    /// Sends a command to the daemon and waits for its result.
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

/// Writes a command to the socket and reads the line that answers it.
fn exchange(path: &Path, command: &str, arguments: &Value) -> io::Result<String> {
    let mut socket = UnixStream::connect(path)?;
    socket.set_read_timeout(Some(RESPONSE_TIMEOUT))?;
    let line = json!({"word": command, "args": arguments}).to_string() + "\n";
    socket.write_all(line.as_bytes())?;
    let mut response = String::new();
    BufReader::new(socket.take(MAX_RESPONSE_BYTES)).read_line(&mut response)?;
    Ok(response)
}
