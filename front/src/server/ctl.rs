//! The operators' end of the control socket: `cranesill ctl …` and `cranesill certs …`.
//!
//! Exit codes: 0 done; 1 it can't be done, or the daemon can't be reached; 2 a bad command line; 3 no such
//! certificate; 4 one will end soon, is missing or not complete; 5 one HAS EXPIRED.
mod client;
mod options;
mod output;

use super::error::CtlError;
use client::At;
use output::{table, verdict};
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{SystemTime, UNIX_EPOCH};

pub use options::{certs, ctl, purge, purges};

/// What the daemon is asked to do.
#[derive(Clone, Debug)]
enum Verb {
    /// A command by name, with `name=value` pairs.
    Word(String, Vec<String>),
    List,
    Show(String),
    Renew(String),
    Revoke(String, Option<u8>),
    Import(PathBuf, PathBuf),
    RollKey,
    Purge {
        what: (&'static str, String),
        id: Option<String>,
        why: Option<String>,
        all: bool,
        wait: Option<u64>,
        dry: bool,
    },
    Purges(Option<u64>),
    Boxes,
}

/// An operator's command, and the daemon that it is for.
#[derive(Clone, Debug)]
pub struct Ctl {
    at: At,
    json: bool,
    verb: Verb,
}

/// Exit code where no such certificate or purge exists.
const NOT_FOUND: u8 = 3;
/// How the daemon's answer begins where the settings name no certificate.
const NO_CERTIFICATES: &str = "no certificate is configured";

/// `a=1` and `b=x` as an object; a value that reads as JSON is that, any other is text.
fn fields(pairs: &[String]) -> Result<Value, CtlError> {
    let mut object = serde_json::Map::new();
    for pair in pairs {
        let (name, value) = pair
            .split_once('=')
            .ok_or_else(|| CtlError::NotAField(pair.clone()))?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        object.insert(name.into(), value);
    }
    Ok(object.into())
}

/// Returns the command that the daemon is sent, and its arguments.
fn command(verb: &Verb) -> Result<(&str, Value), CtlError> {
    let read = |file: &Path| std::fs::read_to_string(file).map_err(|e| CtlError::io(file, e));
    Ok(match verb {
        Verb::Word(name, pairs) => (name, fields(pairs)?),
        Verb::List => ("certs", json!({"name": ""})),
        Verb::Show(name) => ("certs", json!({"name": name})),
        Verb::Renew(name) => ("certs-renew", json!({"name": name})),
        Verb::Revoke(name, reason) => ("certs-revoke", json!({"name": name, "reason": reason})),
        Verb::Import(key, chain) => {
            let arguments = json!({"key": read(key)?, "chain": read(chain)?});
            ("certs-import", arguments)
        }
        Verb::RollKey => ("certs-roll-key", Value::Null),
        Verb::Boxes => ("purge-boxes", Value::Null),
        Verb::Purges(number) => ("purges", json!({"number": number})),
        Verb::Purge {
            what: (name, value),
            dry: true,
            ..
        } => ("purge-dry", json!({*name: value})),
        Verb::Purge {
            what: (name, value),
            id,
            why,
            all,
            wait,
            ..
        } => {
            let who = std::env::var("USER").unwrap_or_else(|_| "operator".into());
            let id = id.clone().unwrap_or_else(unique_id);
            let arguments =
                json!({*name: value, "id": id, "who": who, "why": why, "all": all, "wait_s": wait});
            ("purge", arguments)
        }
    })
}

/// An id for a purge that names none: no other purge is taken for the same by chance.
fn unique_id() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let nanoseconds = now.unwrap_or_default().as_nanos();
    format!("{nanoseconds}-{}", std::process::id())
}

/// Sends the command and prints the answer. Returns the exit code.
fn execute(ctl: &Ctl) -> Result<u8, CtlError> {
    let (name, arguments) = command(&ctl.verb)?;
    let answer = ctl.at.ask(name, &arguments)?;
    match &ctl.verb {
        Verb::List => return Ok(print_certificates(&answer, None, ctl.json)),
        Verb::Show(name) => return Ok(print_certificates(&answer, Some(name), ctl.json)),
        Verb::Purges(Some(_)) if answer["purges"].as_array().is_none_or(Vec::is_empty) => {
            eprintln!("cranesill: no such purge, or it is over");
            return Ok(NOT_FOUND);
        }
        _ => {}
    }
    match answer.as_str().filter(|_| !ctl.json) {
        Some(text) => println!("{text}"),
        None => println!("{answer:#}"),
    }
    Ok(0)
}

/// Prints all certificates, or the one for `name`. Returns the exit code.
fn print_certificates(answer: &Value, name: Option<&str>, json: bool) -> u8 {
    let rows = answer["certificates"].as_array();
    let rows = rows.cloned().unwrap_or_default();
    match (name, rows.first()) {
        (Some(name), None) if !name.is_empty() => {
            eprintln!("cranesill: no certificate for {name}");
            return NOT_FOUND;
        }
        _ if json => println!("{answer:#}"),
        (Some(_), Some(row)) => println!("{row:#}"),
        _ => println!("{}", table(&rows)),
    }
    verdict(&rows)
}

/// Sends an operator's command to the daemon and prints its answer.
pub fn run(ctl: Ctl) -> ExitCode {
    match execute(&ctl) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("cranesill: {error}");
            let not_found =
                matches!(&error, CtlError::Rejected(text) if text.starts_with(NO_CERTIFICATES));
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
