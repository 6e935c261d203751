//! Client of the control socket: the commands `ctl`, `certs`, `purge` and `purges`.
//!
//! Exit codes: 0 success; 1 the command failed or the daemon is not reachable; 2 invalid command line; 3 no such certificate or
//! purge; 4 a certificate expires soon, is missing or does not cover all names; 5 a certificate has expired.
mod client;
mod options;
mod output;

use super::error::CtlError;
use client::DaemonSocket;
use output::{table, worst_exit_code};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

pub use options::{certs, ctl, purge, purges};

/// An operation requested from the daemon.
#[derive(Clone, Debug)]
enum Operation {
    /// Any command by name, with `name=value` arguments.
    Command(String, Vec<String>),
    ListCertificates,
    ShowCertificate(String),
    RenewCertificate(String),
    RevokeCertificate(String, Option<u8>),
    ImportCertificate(PathBuf, PathBuf),
    RollAccountKey,
    Purge {
        target: (&'static str, String),
        id: Option<String>,
        reason: Option<String>,
        all: bool,
        wait: Option<u64>,
        dry_run: bool,
    },
    ListPurges(Option<u64>),
    ListCacheNodes,
}

/// A parsed operator command.
#[derive(Clone, Debug)]
pub struct Ctl {
    daemon: DaemonSocket,
    json: bool,
    operation: Operation,
}

/// Exit code if the certificate or purge does not exist.
const NOT_FOUND: u8 = 3;
/// Start of the daemon's error if no certificate is configured under a name.
const NO_CERTIFICATE_PREFIX: &str = "no certificate is configured";

/// Converts `name=value` pairs to an object. Values that are not valid JSON become strings.
fn fields(pairs: &[String]) -> Result<Value, CtlError> {
    let mut object = serde_json::Map::new();
    for pair in pairs {
        let (name, value) = pair
            .split_once('=')
            .ok_or_else(|| CtlError::InvalidField(pair.clone()))?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        object.insert(name.into(), value);
    }
    Ok(object.into())
}

/// Returns the name and the arguments of the command to send.
fn command(operation: &Operation) -> Result<(&str, Value), CtlError> {
    let read = |file: &Path| std::fs::read_to_string(file).map_err(|e| CtlError::io(file, e));
    Ok(match operation {
        Operation::Command(name, pairs) => (name, fields(pairs)?),
        Operation::ListCertificates => ("certs", json!({"name": ""})),
        Operation::ShowCertificate(name) => ("certs", json!({"name": name})),
        Operation::RenewCertificate(name) => ("certs-renew", json!({"name": name})),
        Operation::RevokeCertificate(name, reason) => {
            ("certs-revoke", json!({"name": name, "reason": reason}))
        }
        Operation::ImportCertificate(key, chain) => {
            let arguments = json!({"key": read(key)?, "chain": read(chain)?});
            ("certs-import", arguments)
        }
        Operation::RollAccountKey => ("certs-roll-key", Value::Null),
        Operation::ListCacheNodes => ("purge-boxes", Value::Null),
        Operation::ListPurges(number) => ("purges", json!({"number": number})),
        Operation::Purge {
            target: (name, value),
            dry_run: true,
            ..
        } => ("purge-dry", json!({*name: value})),
        Operation::Purge {
            target: (name, value),
            id,
            reason,
            all,
            wait,
            ..
        } => {
            let who = std::env::var("USER").unwrap_or_else(|_| "operator".into());
            let id = id.clone().unwrap_or_else(unique_id);
            let arguments = json!({*name: value, "id": id, "who": who, "why": reason, "all": all,
                    "wait_s": wait});
            ("purge", arguments)
        }
    })
}

/// Generates an id for a purge that was given none, so that no other purge is taken for the same by chance.
fn unique_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanoseconds = now.unwrap_or_default().as_nanos();
    format!("{nanoseconds}-{}", std::process::id())
}

/// Sends the command and prints the response. Returns the exit code.
fn execute(ctl: &Ctl) -> Result<u8, CtlError> {
    let (name, arguments) = command(&ctl.operation)?;
    let response = ctl.daemon.send(name, &arguments)?;
    match &ctl.operation {
        Operation::ListCertificates => return Ok(print_certificates(&response, None, ctl.json)),
        Operation::ShowCertificate(name) => {
            return Ok(print_certificates(&response, Some(name), ctl.json))
        }
        Operation::ListPurges(Some(_))
            if response["purges"].as_array().is_none_or(Vec::is_empty) =>
        {
            eprintln!("cranesill: no such purge, or it has expired");
            return Ok(NOT_FOUND);
        }
        _ => {}
    }
    match response.as_str().filter(|_| !ctl.json) {
        Some(text) => println!("{text}"),
        None => println!("{response:#}"),
    }
    Ok(0)
}

/// Prints all certificates, or only the one for `name`. Returns the exit code.
fn print_certificates(response: &Value, name: Option<&str>, json: bool) -> u8 {
    let rows = response["certificates"].as_array();
    let rows = rows.cloned().unwrap_or_default();
    match (name, rows.first()) {
        (Some(name), None) if !name.is_empty() => {
            eprintln!("cranesill: no certificate for {name}");
            return NOT_FOUND;
        }
        _ if json => println!("{response:#}"),
        (Some(_), Some(row)) => println!("{row:#}"),
        _ => println!("{}", table(&rows)),
    }
    worst_exit_code(&rows)
}

/// Sends an operator's command to the daemon and prints the response or the error. Returns the exit code of the process.
pub fn run(ctl: Ctl) -> ExitCode {
    match execute(&ctl) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("cranesill: {error}");
            let not_found = matches!(
                &error,
                CtlError::Rejected(text) if text.starts_with(NO_CERTIFICATE_PREFIX)
            );
            if not_found {
                ExitCode::from(NOT_FOUND)
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

#[cfg(test)]
mod tests;
