//! The operators' end of the control socket: `cranesill ctl …` and `cranesill certs …`.
//!
//! Exit codes: 0 done; 1 it can't be done, or the daemon can't be reached; 2 a bad command line; 3 no such
//! certificate; 4 one will end soon, is missing or not complete; 5 one HAS EXPIRED.
use bpaf::{construct, long, positional, Parser};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Read, Write};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// The daemon answers within this, or is taken for stuck; orders are not waited for.
const ANSWER_MOST: Duration = Duration::from_secs(130);
/// Bytes of an answer.
const LINE_MOST: u64 = 16 << 20;
/// A certificate with less of its life left than this is told of by the exit code, in hundredths.
const SOON_PERCENT: i64 = 15;

/// Where the daemon is.
#[derive(Clone, Debug)]
struct At {
    socket: Option<PathBuf>,
    settings: Option<PathBuf>,
}

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

fn at() -> impl Parser<At> {
    let socket = long("socket")
        .help("The daemon's control socket")
        .env("CRANESILL_SOCKET")
        .argument::<PathBuf>("PATH")
        .optional();
    let settings = long("settings")
        .help("Settings that name the control socket")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(At { socket, settings })
}

fn json_out() -> impl Parser<bool> {
    long("json").help("Print JSON").switch()
}

/// `cranesill ctl`.
pub fn ctl() -> impl Parser<Ctl> {
    let (at, json) = (at(), json_out());
    let word = positional::<String>("WORD").help("What to ask; `help` lists all");
    let fields = positional::<String>("FIELD=VALUE").many();
    let verb = construct!(word, fields).map(|(word, fields)| Verb::Word(word, fields));
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("Ask a running daemon")
        .command("ctl")
}

/// `cranesill certs`.
pub fn certs() -> impl Parser<Ctl> {
    let name = || positional::<String>("NAME").help("One of the certificate's names");
    let list = bpaf::pure(Verb::List)
        .to_options()
        .descr("How all certificates stand")
        .command("list");
    let show = name()
        .map(Verb::Show)
        .to_options()
        .descr("How one certificate stands")
        .command("show");
    let renew = name()
        .map(Verb::Renew)
        .to_options()
        .descr("Order a certificate now")
        .command("renew");
    let reason = long("reason")
        .help("By number (RFC 5280, 5.3.1): 1 key lost")
        .argument::<u8>("N")
        .optional();
    let of = name();
    let revoke = construct!(reason, of).map(|(reason, name)| Verb::Revoke(name, reason));
    let revoke = revoke
        .to_options()
        .descr("Revoke a certificate and order another")
        .command("revoke");
    let key = long("key")
        .help("Private key in PEM")
        .argument::<PathBuf>("FILE");
    let chain = long("chain")
        .help("Certificates in PEM, leaf first")
        .argument::<PathBuf>("FILE");
    let import = construct!(key, chain).map(|(key, chain)| Verb::Import(key, chain));
    let import = import
        .to_options()
        .descr("Serve a certificate from elsewhere")
        .command("import");
    let roll = bpaf::pure(Verb::RollKey)
        .to_options()
        .descr("Give the account another key");
    let roll = roll.command("roll-key");
    let verb = construct!([list, show, renew, revoke, import, roll]);
    let (at, json) = (at(), json_out());
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("Certificates of a running daemon")
        .command("certs")
}

/// `cranesill purge`.
pub fn purge() -> impl Parser<Ctl> {
    let of = |name: &'static str, help: &'static str| {
        long(name)
            .help(help)
            .argument::<String>("WHAT")
            .map(move |value| (name, value))
    };
    let object = of("object", "An object: 16 hex digits");
    let group = of("group", "A group: 0 to 255");
    let tag = of("tag", "All objects that carry a tag");
    let pattern = of("pattern", "All keys CLASS/ITEM/PART that a glob matches");
    let what = construct!([object, group, tag, pattern]);
    let id = long("id")
        .help("The same id again is the same purge")
        .argument::<String>("ID")
        .optional();
    let why = long("why")
        .help("For whoever looks later")
        .argument::<String>("TEXT")
        .optional();
    let all = long("all")
        .help("A pattern that matches everything is meant to")
        .switch();
    let dry = long("dry-run")
        .help("Tell how many known objects match")
        .switch();
    let wait = long("wait")
        .help("Wait until all boxes have confirmed it")
        .req_flag(60u64);
    let wait_s = long("wait-s")
        .help("The same, for so many seconds at most")
        .argument::<u64>("S");
    let wait = construct!([wait, wait_s]).optional();
    let (at, json) = (at(), json_out());
    let verb = construct!(Verb::Purge {
        what,
        id,
        why,
        all,
        wait,
        dry
    });
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("Purge copies")
        .command("purge")
}

/// `cranesill purges`.
pub fn purges() -> impl Parser<Ctl> {
    let list = bpaf::pure(Verb::Purges(None))
        .to_options()
        .descr("The ledger, latest first")
        .command("list");
    let number = positional::<u64>("N").map(|n| Verb::Purges(Some(n)));
    let show = number.to_options().descr("One purge").command("show");
    let boxes = bpaf::pure(Verb::Boxes)
        .to_options()
        .descr("What each box has confirmed")
        .command("boxes");
    let verb = construct!([list, show, boxes]);
    let (at, json) = (at(), json_out());
    construct!(Ctl { at, json, verb })
        .to_options()
        .descr("Purges of a running daemon")
        .command("purges")
}

impl At {
    fn path(&self) -> Result<PathBuf, String> {
        match (&self.socket, &self.settings) {
            (Some(path), _) => Ok(path.clone()),
            (None, Some(file)) => {
                let daemon = super::config::settings(file).map_err(|errors| errors.to_string())?;
                let control = daemon
                    .control
                    .ok_or_else(|| format!("{}: $.control: missing", file.display()))?;
                Ok(control.path)
            }
            _ => Err("neither --socket nor --settings is given".into()),
        }
    }

    fn ask(&self, word: &str, args: &Value) -> Result<Value, String> {
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

/// A span as people say it.
fn span(seconds: i64) -> String {
    let s = seconds.unsigned_abs();
    match s {
        0..=119 => format!("{s} s"),
        120..=7_199 => format!("{} min", s / 60),
        7_200..=172_799 => format!("{} h", s / 3_600),
        _ => format!("{} d", s / 86_400),
    }
}

fn table(rows: &[Value]) -> String {
    let mut lines = vec![["NAME", "CERTIFICATE", "ENDS", "ORDER", "WHY"].map(String::from)];
    for row in rows {
        let text = |field: &str| row[field].as_str().unwrap_or("").to_string();
        let ends = match row["left_s"].as_i64() {
            Some(left) if left < 0 => format!("{} ago", span(left)),
            Some(left) => format!("in {}", span(left)),
            None => "-".into(),
        };
        let order = match row["next_s"].as_i64() {
            Some(next) => format!("{} ({})", text("order"), span(next)),
            None => text("order"),
        };
        let mut why = match &row["why"] {
            Value::Null => "-".to_string(),
            why => format!(
                "{}: {}",
                why["cause"].as_str().unwrap_or(""),
                why["text"].as_str().unwrap_or("")
            ),
        };
        let refused: Vec<_> = row["refused"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        if !refused.is_empty() {
            why = format!("refused: {}; {why}", refused.join(" "));
        }
        lines.push([text("name"), text("certificate"), ends, order, why]);
    }
    let wide = |i: usize| {
        lines
            .iter()
            .map(|l| l[i].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<_> = (0..4).map(wide).collect();
    let line = |l: &[String; 5]| {
        let cells: Vec<_> = (0..4)
            .map(|i| format!("{:w$}", l[i], w = widths[i]))
            .collect();
        format!("{}  {}", cells.join("  "), l[4])
            .trim_end()
            .to_string()
    };
    lines.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// What the exit code says of certificates.
fn verdict(rows: &[Value]) -> u8 {
    let of = |row: &Value| {
        let life = row["not_after"]
            .as_i64()
            .zip(row["not_before"].as_i64())
            .map_or(0, |(a, b)| a - b);
        let left = row["left_s"].as_i64();
        match (row["certificate"].as_str(), left) {
            (Some("EXPIRED"), _) => 5,
            (Some("good"), Some(left)) if left * 100 >= life * SOON_PERCENT => {
                let covers = row["covers"].as_array().cloned().unwrap_or_default();
                let names = row["names"].as_array().cloned().unwrap_or_default();
                if names.iter().all(|n| covers.contains(n)) {
                    0
                } else {
                    4
                }
            }
            _ => 4,
        }
    };
    rows.iter().map(of).max().unwrap_or(0)
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
