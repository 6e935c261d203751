//! Three fronts and six cache nodes: no response comes from a purged copy while nodes and a front are killed during purges by tag
//! and pattern.
mod common;
use common::*;
use cranesill_standins::cache_node::{unix_ms, CacheNode, Origin};
use serde_json::{json, Value};
use std::net::{TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

const LEASE_MS: u64 = 1_000;
const GRACE_MS: u64 = 500;
const OBJECTS: u64 = 24;
const REQUESTS: u32 = 20_000;
const TAGS: [&str; 3] = ["vitara", "blue", "winter"];

fn start_front(
    folder: &Path,
    boxes: &[CacheNode],
    origin: &CacheNode,
    purges: &Value,
) -> TestFront {
    std::fs::create_dir_all(folder).unwrap();
    let mut purges = purges.clone();
    purges["file"] = folder.join("purges").display().to_string().into();
    purges["skew_ms"] = 5.into();
    let settings = json!({"control": {"path": folder.join("control")}, "purges": purges});
    let file = folder.join("daemon.json");
    std::fs::write(&file, settings.to_string()).unwrap();
    let setup = TestFront::with(
        |config| {
            let instance = |id: u32, at: String, zone: &str, kind: &str| {
                json!({"instanceId": format!("s-{id:08x}"), "hostPort": at, "zone": zone, "machineType": kind,
                       "cell": 0, "lifecycle": "in_service", "weight": 8, "startedAtMs": 0})
            };
            let mut all: Vec<Value> = boxes
                .iter()
                .enumerate()
                .map(|(i, b)| {
                    instance(
                        0x41 + i as u32,
                        b.address.to_string(),
                        "edge-1",
                        "small-box",
                    )
                })
                .collect();
            all.push(instance(
                0x31,
                origin.address.to_string(),
                "east-hub",
                "origin",
            ));
            config["known"]["events"][0]["members"]["instances"] = all.into();
        },
        Some(&file),
    );
    wait_for_line(&setup.log, "control socket");
    setup
}

fn run(folder: &Path, arguments: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cranesill"));
    let done = command
        .args(arguments)
        .env("CRANESILL_SOCKET", folder.join("control"))
        .output()
        .unwrap();
    let text = [done.stdout, done.stderr].concat();
    (
        done.status.code().unwrap(),
        String::from_utf8(text).unwrap(),
    )
}

fn item(n: u64) -> String {
    format!("{:016x}", n * 0x0101)
}

struct Purged {
    at_ms: u64,
    /// Time at which the purge command was answered; the writer has the purge by then.
    confirmed_ms: u64,
    tag: Option<&'static str>,
    prefix: String,
}

impl Purged {
    fn matches(&self, item: &str, tags: &str) -> bool {
        match self.tag {
            Some(tag) => tags.split(';').any(|t| t == tag),
            None => item.starts_with(&self.prefix),
        }
    }
}

#[test]
fn no_response_is_stale_while_nodes_and_a_front_are_killed_during_purges() {
    let root = tempfile::tempdir().unwrap();
    let folders: Vec<PathBuf> = (0..3).map(|i| root.path().join(format!("n{i}"))).collect();
    let origin = Arc::new(Origin::default());
    (0..OBJECTS).for_each(|n| origin.tag(&item(n), &[TAGS[n as usize % 3]]));
    let boxes: Vec<_> = (0..6)
        .map(|i| CacheNode::start(Arc::clone(&origin), i % 2 == 0).unwrap())
        .collect();
    let main = CacheNode::start_origin(Arc::clone(&origin)).unwrap();
    let port = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .port();
    let at = format!("127.0.0.1:{port}");
    let writes = json!({"serve": at, "boxes": {"kinds": ["small-box"], "connections_most": 8}});
    let follows = json!({"follow": {"address": at, "lease_ms": LEASE_MS}});
    let mut fronts: Vec<_> = (0..3)
        .map(|i| {
            start_front(
                &folders[i],
                &boxes,
                &main,
                if i == 0 { &writes } else { &follows },
            )
        })
        .collect();
    let addresses: Vec<_> = fronts
        .iter()
        .map(|f| Mutex::new(f.address))
        .collect::<Vec<_>>();
    let addresses = Arc::new(addresses);
    let purged: Arc<Mutex<Vec<Purged>>> = Arc::default();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..3)
        .map(|i| {
            let (addresses, purged, stop) = (
                Arc::clone(&addresses),
                Arc::clone(&purged),
                Arc::clone(&stop),
            );
            std::thread::spawn(move || {
                let (mut answered, mut refused, mut client) = (0u32, 0u32, None::<Client>);
                let mut rng = 7 + i as u64;
                let mut stream = 0;
                // The front that is killed repeatedly answers fewer requests.
                while stream < REQUESTS / 2 {
                    stream += 1;
                    rng = rng
                        .wrapping_mul(6364136223846793005)
                        .wrapping_add(1442695040888963407);
                    let item = item((rng >> 33) % OBJECTS);
                    let sent = unix_ms();
                    let connected = client.take().or_else(|| {
                        let socket = TcpStream::connect(*addresses[i].lock().unwrap()).ok()?;
                        socket
                            .set_read_timeout(Some(std::time::Duration::from_secs(20)))
                            .unwrap();
                        Some(Client(socket))
                    });
                    let Some(mut connected) = connected else {
                        std::thread::yield_now();
                        continue;
                    };
                    // Transaction ids are unique over all fronts.
                    let txn = format!("{:016x}", (u64::from(stream) << 8) | i as u64);
                    if connected
                        .try_request(stream, "page-bits", &[("item", &item), ("txn", &txn)])
                        .is_err()
                    {
                        continue;
                    }
                    let Some(response) = connected.receive() else {
                        continue;
                    };
                    client = Some(connected);
                    let Some((_, rest)) = response.split_once("born=") else {
                        refused += 1;
                        continue;
                    };
                    answered += 1;
                    let (created_ms, tags) = rest.split_once(" tags=").unwrap();
                    let created_ms: u64 = created_ms.parse().unwrap();
                    // The writer applies a purge immediately, followers within their lease.
                    let slack = if i == 0 { GRACE_MS } else { LEASE_MS + GRACE_MS };
                    for p in purged
                        .lock()
                        .unwrap()
                        .iter()
                        .filter(|p| p.confirmed_ms + slack < sent)
                    {
                        let stale = created_ms < p.at_ms && p.matches(&item, tags);
                        assert!(
                            !stale,
                            "front {i}, request at {sent}: copy of {item} from {created_ms} ({tags}), purged at {}",
                            p.at_ms
                        );
                    }
                }
                stop.store(true, Ordering::SeqCst);
                (answered, refused)
            })
        })
        .collect();
    let mut round = 0u64;
    while !stop.load(Ordering::SeqCst) {
        round += 1;
        let (tag, prefix) = if round.is_multiple_of(3) {
            (None, item(round % OBJECTS)[..14].to_string())
        } else {
            (Some(TAGS[round as usize % 3]), String::new())
        };
        // Each version of an object has other tags.
        let n = round % OBJECTS;
        origin.tag(&item(n), &[TAGS[(n + round) as usize % 3], "any"]);
        let pattern = format!("page-bits/{prefix}*");
        let (code, text) = match tag {
            Some(tag) => run(&folders[0], &["purge", "--tag", tag]),
            None => run(&folders[0], &["purge", "--pattern", &pattern]),
        };
        let confirmed_ms = unix_ms();
        assert_eq!(code, 0, "{text}");
        let number = serde_json::from_str::<Value>(&text).unwrap()["number"]
            .as_u64()
            .unwrap();
        let (_, shown) = run(&folders[0], &["purges", "show", &number.to_string()]);
        let at = serde_json::from_str::<Value>(&shown).unwrap()["purges"][0]["at_ms"]
            .as_u64()
            .unwrap();
        purged.lock().unwrap().push(Purged {
            at_ms: at,
            confirmed_ms,
            tag,
            prefix,
        });
        let which = (round as usize * 5) % 6;
        match round % 4 {
            0 => boxes[which].kill(),
            1 => boxes.iter().for_each(CacheNode::restart),
            2 => boxes[which].set_serve_stale(round % 8 == 2),
            _ => boxes[which].set_delay_ms(round % 7),
        }
        if round % 10 == 5 {
            // Restart a follower with its purge file.
            fronts[2].kill();
            fronts[2] = start_front(&folders[2], &boxes, &main, &follows);
            *addresses[2].lock().unwrap() = fronts[2].address;
        }
    }
    let counts: Vec<_> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let answered: u32 = counts.iter().map(|c| c.0).sum();
    assert!(
        answered >= REQUESTS * 9 / 10,
        "too few responses: {counts:?} in {round} rounds"
    );
    // After the faults every node confirms all purges.
    boxes.iter().for_each(|b| {
        b.restart();
        b.set_serve_stale(false);
        b.set_delay_ms(0);
    });
    let (code, text) = run(&folders[0], &["purge", "--tag", "any", "--wait-s", "30"]);
    assert_eq!(code, 0, "{text}");
    assert!(
        boxes.iter().all(|b| b.gaps() == 0),
        "{:?}",
        boxes.iter().map(CacheNode::gaps).collect::<Vec<_>>()
    );
    println!(
        "{answered} responses {counts:?}, {round} rounds, {} fetches",
        origin.fetches.load(Ordering::SeqCst)
    );
}
