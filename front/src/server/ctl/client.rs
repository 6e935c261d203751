//! The connection to a running daemon's control socket.
use crate::server::config;
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

/// The daemon answers within this, or is taken for stuck; orders are not waited for.
const ANSWER_MOST: Duration = Duration::from_secs(130);

/// Bytes of an answer.
const LINE_MOST: u64 = 16 << 20;

/// Where the daemon is.
#[derive(Clone, Debug)]
pub(super) struct At {
    pub(super) socket: Option<PathBuf>,
    pub(super) settings: Option<PathBuf>,
}

impl At {
    pub(super) fn path(&self) -> Result<PathBuf, String> {
        match (&self.socket, &self.settings) {
            (Some(path), _) => Ok(path.clone()),
            (None, Some(file)) => {
                let daemon = config::settings(file).map_err(|errors| errors.to_string())?;
                let control = daemon
                    .control
                    .ok_or_else(|| format!("{}: $.control: missing", file.display()))?;
                Ok(control.path)
            }
            _ => Err("neither --socket nor --settings is given".into()),
        }
    }

    pub(super) fn ask(&self, word: &str, args: &Value) -> Result<Value, String> {
        let path = self.path()?;
        let failed = |e: std::io::Error| format!("{}: {e}", path.display());
        let mut socket = UnixStream::connect(&path).map_err(failed)?;
        socket.set_read_timeout(Some(ANSWER_MOST)).map_err(failed)?;
        let line = json!({"word": word, "args": args}).to_string() + "\n";
        socket.write_all(line.as_bytes()).map_err(failed)?;
        let mut answer = String::new();
        BufReader::new(socket.take(LINE_MOST))
            .read_line(&mut answer)
            .map_err(failed)?;
        let answer: Value =
            serde_json::from_str(&answer).map_err(|_| format!("{}: no answer", path.display()))?;
        match answer["error"].as_str() {
            Some(error) => Err(error.into()),
            None => Ok(answer["ok"].clone()),
        }
    }
}
