//! The operators' end of the control socket: `cranesill ctl …` and `cranesill certs …`.
//!
//! Exit codes: 0 done; 1 it can't be done, or the daemon can't be reached; 2 a bad command line; 3 no such
//! certificate; 4 one will end soon, is missing or not complete; 5 one HAS EXPIRED.
mod client;
mod options;
mod output;

use client::At;
use output::{table, verdict};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::process::ExitCode;

pub use options::{certs, ctl, purge, purges};

#[derive(Clone, Debug)]
enum Verb {
    /// A word with `name=value` fields.
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

/// What an operator asks for.
#[derive(Clone, Debug)]
pub struct Ctl {
    at: At,
    json: bool,
    verb: Verb,
}

/// `a=1` and `b=x` as an object; what reads as JSON is that, all else is text.
fn fields(all: &[String]) -> Result<Value, String> {
    let mut object = serde_json::Map::new();
    for field in all {
        let (name, value) = field
            .split_once('=')
            .ok_or_else(|| format!("{field}: not FIELD=VALUE"))?;
        let value = serde_json::from_str(value).unwrap_or_else(|_| value.into());
        object.insert(name.into(), value);
    }
    Ok(object.into())
}

fn carry_out(ctl: &Ctl) -> Result<u8, String> {
    let ask = |word: &str, args: Value| ctl.at.ask(word, &args);
    let read = |file: &PathBuf| {
        std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))
    };
    let answer = match &ctl.verb {
        Verb::Word(word, all) => ask(word, fields(all)?)?,
        Verb::List | Verb::Show(_) => {
            let name = if let Verb::Show(name) = &ctl.verb {
                name.as_str()
            } else {
                ""
            };
            let answer = ask("certs", json!({"name": name}))?;
            let rows = answer["certificates"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            if rows.is_empty() && !name.is_empty() {
                eprintln!("cranesill: no certificate for {name}");
                return Ok(3);
            }
            match (&ctl.verb, ctl.json) {
                (_, true) => println!("{answer:#}"),
                (Verb::List, _) => println!("{}", table(&rows)),
                _ => println!("{:#}", rows[0]),
            }
            return Ok(verdict(&rows));
        }
        Verb::Renew(name) => ask("certs-renew", json!({"name": name}))?,
        Verb::Revoke(name, reason) => ask("certs-revoke", json!({"name": name, "reason": reason}))?,
        Verb::Import(key, chain) => ask(
            "certs-import",
            json!({"key": read(key)?, "chain": read(chain)?}),
        )?,
        Verb::RollKey => ask("certs-roll-key", Value::Null)?,
        Verb::Purge {
            what: (name, value),
            dry: true,
            ..
        } => ask("purge-dry", json!({*name: value}))?,
        Verb::Boxes => ask("purge-boxes", Value::Null)?,
        Verb::Purge {
            what: (name, value),
            id,
            why,
            all,
            wait,
            ..
        } => {
            let who = std::env::var("USER").unwrap_or_else(|_| "operator".into());
            // An id of its own for a command that names none: it can't be repeated by chance.
            let made = || {
                let now = std::time::SystemTime::now()
                    .duration_since(std::time::UNIX_EPOCH)
                    .unwrap_or_default();
                format!("{}-{}", now.as_nanos(), std::process::id())
            };
            let id = id.clone().unwrap_or_else(made);
            ask(
                "purge",
                json!({*name: value, "id": id, "who": who, "why": why, "all": all, "wait_s": wait}),
            )?
        }
        Verb::Purges(number) => {
            let answer = ask("purges", json!({"number": number}))?;
            if number.is_some() && answer["purges"].as_array().is_none_or(Vec::is_empty) {
                eprintln!("cranesill: no such purge, or it is over");
                return Ok(3);
            }
            answer
        }
    };
    match answer.as_str().filter(|_| !ctl.json) {
        Some(text) => println!("{text}"),
        None => println!("{answer:#}"),
    }
    Ok(0)
}

/// Asks the daemon and prints its answer.
pub fn run(ctl: Ctl) -> ExitCode {
    match carry_out(&ctl) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            eprintln!("cranesill: {error}");
            ExitCode::from(if error.starts_with("no certificate is configured") {
                3
            } else {
                1
            })
        }
    }
}

#[cfg(test)]
mod tests;
