//! A local environment to try a front with a configuration file: a list service, all endpoints of the configuration (caches,
//! parents and the origin) on loopback, and a client that requests one object of the first read class twice and sends one
//! request of the first write class.
//!
//!     cargo run --release --bin cranesill -- serve front/examples/config.json   # in one terminal
//!     cargo run --release --example toy                                         # in another
//!     cargo run --release --example toy front/examples/three-hubs.json          # the same for another deployment
use cranesill_rig::request_frame;
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
    let list_listener = TcpListener::bind(text(&config["feed"]))?;
    thread::spawn(move || {
        list_listener
            .incoming()
            .flatten()
            .for_each(|stream| drop(thread::spawn(|| serve_list(stream))))
    });
    for endpoint in config["known"]["events"][0]["members"]["instances"]
        .as_array()
        .into_iter()
        .flatten()
    {
        let listener = TcpListener::bind(text(&endpoint["hostPort"]))?;
        let name = format!(
            "{} {}",
            text(&endpoint["machineType"]),
            text(&endpoint["instanceId"])
        );
        // Objects that the endpoint has in its cache; every fetched object is added.
        let cached = Arc::new(Mutex::new(HashSet::new()));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (cached, name) = (Arc::clone(&cached), name.clone());
                thread::spawn(move || serve_endpoint(&name, stream, &cached));
            }
        });
    }
    let writes = &config["settings"]["familyInfo"]["classWrite"];
    let classes = config["settings"]["classes"]
        .as_array()
        .cloned()
        .unwrap_or_default();
    let first_class = |write: bool| {
        let class = classes
            .iter()
            .enumerate()
            .find(|(i, _)| writes[*i].as_bool().unwrap_or(false) == write);
        class
            .map(|(_, class)| text(&class["name"]))
            .unwrap_or_default()
    };
    let front = text(&config["listen"]);
    send_requests(&front, &first_class(false), "", &[1, 2])?;
    send_requests(&front, &first_class(true), "one small thing", &[3])?;
    println!("list service and endpoints are running; press Ctrl-C to stop them");
    loop {
        thread::park();
    }
}

/// Acts as the list service: reports once a second that there are no new events.
fn serve_list(mut stream: TcpStream) -> io::Result<()> {
    let mut last_event = [0; 8];
    stream.read_exact(&mut last_event)?;
    loop {
        let frame = [&9u32.to_be_bytes()[..], &last_event, &[0]].concat();
        stream.write_all(&frame)?;
        thread::sleep(Duration::from_secs(1));
    }
}

/// Serves the commands of a connection, which are arrays of bulk strings.
fn serve_endpoint(
    name: &str,
    stream: TcpStream,
    cached: &Mutex<HashSet<String>>,
) -> io::Result<()> {
    let mut input = BufReader::new(stream);
    loop {
        let count = read_length(&mut input)?;
        let words = (0..count)
            .map(|_| read_string(&mut input))
            .collect::<io::Result<Vec<_>>>()?;
        println!("{name:>22} received: {}", words.join(" "));
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
        let was_cached = !cached.lock().unwrap().insert(item.to_string());
        let source = if was_cached { "local" } else { "pulled" };
        let fields = format!(
            "ver=00ab,born=0,tell={source},waited=0,meter=load_share:0.1;concurrent:1;x1:0.0"
        );
        let response_body = if body.is_empty() {
            format!("the bytes of {item}")
        } else {
            format!("done: {body}")
        };
        let parts =
            [id, "HIT", &fields, &response_body].map(|p| format!("${}\r\n{p}\r\n", p.len()));
        input
            .get_mut()
            .write_all(format!("*4\r\n{}", parts.concat()).as_bytes())?;
    }
}

/// Reads a line such as `*4` or `$12` and returns its number.
fn read_length(input: &mut impl BufRead) -> io::Result<usize> {
    let mut line = String::new();
    input.read_line(&mut line)?;
    let digits = line.get(1..).unwrap_or_default().trim_end();
    digits
        .parse()
        .map_err(|_| io::ErrorKind::UnexpectedEof.into())
}

fn read_string(input: &mut impl BufRead) -> io::Result<String> {
    let mut bytes = vec![0; read_length(input)? + 2];
    input.read_exact(&mut bytes)?;
    bytes.truncate(bytes.len() - 2);
    String::from_utf8(bytes).map_err(|_| io::ErrorKind::InvalidData.into())
}

/// Acts as a client: sends one request on each stream, one after another.
fn send_requests(front: &str, class: &str, body: &str, streams: &[u32]) -> io::Result<()> {
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
        front.write_all(&request_frame(*stream, &fields, body.as_bytes()))?;
        let mut length = [0; 4];
        front.read_exact(&mut length)?;
        let mut frame = vec![0; u32::from_be_bytes(length) as usize];
        front.read_exact(&mut frame)?;
        println!(
            "  client received the response to {class} on stream {stream}: {}",
            frame[5..].escape_ascii()
        );
    }
    Ok(())
}
