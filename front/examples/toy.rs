//! A toy surrounding for a front, to try it with a configuration: the control feed, all members that it names (caches,
//! parents and the origin) on loopback, and a client that asks twice for one object of the first class that may be repeated,
//! and once for something of the class that runs at the origin.
//!
//!     cargo run --release --bin cranesill -- serve front/examples/config.json   # in one terminal
//!     cargo run --release --example toy                                         # in another
//!     cargo run --release --example toy front/examples/three-hubs.json          # the same for another deployment
use serde_json::Value;
use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

fn main() -> io::Result<()> {
    let file = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "front/examples/config.json".into());
    let config: Value = serde_json::from_str(&std::fs::read_to_string(&file)?)?;
    let text = |v: &Value| v.as_str().unwrap_or_default().to_string();
    let feed = TcpListener::bind(text(&config["feed"]))?;
    thread::spawn(move || {
        feed.incoming()
            .flatten()
            .for_each(|to| drop(thread::spawn(|| tell(to))))
    });
    for member in config["known"]["events"][0]["members"]["instances"]
        .as_array()
        .into_iter()
        .flatten()
    {
        let listener = TcpListener::bind(text(&member["hostPort"]))?;
        let name = format!(
            "{} {}",
            text(&member["machineType"]),
            text(&member["instanceId"])
        );
        // What this member holds. The toy's cache "fills" by remembering what it was asked for.
        let held = Arc::new(Mutex::new(HashSet::new()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (held, name) = (Arc::clone(&held), name.clone());
                thread::spawn(move || serve(&name, stream, &held));
            }
        });
    }
    let writes = &config["settings"]["familyInfo"]["classWrite"];
    let classes = config["settings"]["classes"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let of = |write: bool| {
        let found = classes
            .iter()
            .enumerate()
            .find(|(i, _)| writes[*i].as_bool().unwrap_or(false) == write);
        found
            .map(|(_, class)| text(&class["name"]))
            .unwrap_or_default()
    };
    let front = text(&config["listen"]);
    ask(&front, &of(false), "", &[1, 2])?;
    ask(&front, &of(true), "one small thing", &[3])?;
    println!("the feed and the members stay until this is interrupted");
    loop {
        thread::park();
    }
}

/// The feed has nothing new, once a second.
fn tell(mut to: TcpStream) -> io::Result<()> {
    let mut last = [0; 8];
    to.read_exact(&mut last)?;
    loop {
        let number = [&9u32.to_be_bytes()[..], &last, &[0]].concat();
        to.write_all(&number)?;
        thread::sleep(Duration::from_secs(1));
    }
}

/// Answers commands: arrays of bulk strings.
fn serve(name: &str, stream: TcpStream, held: &Mutex<HashSet<String>>) -> io::Result<()> {
    let mut input = BufReader::new(stream);
    loop {
        let count = number(&mut input)?;
        let words = (0..count)
            .map(|_| string(&mut input))
            .collect::<io::Result<Vec<_>>>()?;
        println!("{name:>22} is told: {}", words.join(" "));
        let [verb, id, fields, body] = &words[..] else {
            continue;
        };
        if verb != "fetch" {
            continue;
        }
        let item = fields
            .split(',')
            .find(|f| f.starts_with("item="))
            .unwrap_or_default();
        let known = !held.lock().unwrap().insert(item.to_string());
        let note = if known { "local" } else { "pulled" };
        let told = format!(
            "ver=00ab,born=0,tell={note},waited=0,meter=load_share:0.1;concurrent:1;x1:0.0"
        );
        let answer = if body.is_empty() {
            format!("the bytes of {item}")
        } else {
            format!("done: {body}")
        };
        let parts = [id, "HIT", &told, &answer].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        input
            .get_mut()
            .write_all(format!("*4\r\n{}", parts.concat()).as_bytes())?;
    }
}

/// The number of a line such as `*4`.
fn number(input: &mut impl BufRead) -> io::Result<usize> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    let digits = line.get(1..).unwrap_or_default().trim_end();
    digits
        .parse()
        .map_err(|_| io::ErrorKind::UnexpectedEof.into())
}

fn string(input: &mut impl BufRead) -> io::Result<String> {
    let mut bytes = vec![0; number(input)? + 2];
    input.read_exact(&mut bytes)?;
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// A client: one request on each stream, one after another.
fn ask(front: &str, class: &str, body: &str, streams: &[u32]) -> io::Result<()> {
    let mut front = TcpStream::connect(front)?;
    for stream in streams {
        let txn = format!(
            "{:016x}",
            (u64::from(std::process::id()) << 32) + u64::from(*stream)
        );
        let object = [
            ("item", "7f3a9c21e0b4d655"),
            ("part", "0"),
            ("ram", "412.5"),
        ];
        let fields = [
            &[("verb", class), ("txn", &txn), ("limit", "2500")][..],
            &object,
        ]
        .concat();
        let mut payload = vec![fields.len() as u8];
        for (name, value) in fields {
            payload.push(name.len() as u8);
            payload.extend(name.bytes());
            payload.extend((value.len() as u16).to_be_bytes());
            payload.extend(value.bytes());
        }
        payload.extend(body.bytes());
        let head = [
            &(5 + payload.len() as u32).to_be_bytes()[..],
            &[10],
            &stream.to_be_bytes(),
        ]
        .concat();
        front.write_all(&[head, payload].concat())?;
        let mut length = [0; 4];
        front.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        front.read_exact(&mut frame)?;
        println!(
            "  client is told: {class} on stream {stream}: {}",
            frame[5..].escape_ascii()
        );
    }
    Ok(())
}
