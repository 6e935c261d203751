//! Two processes of one front during an upgrade, which share the purge log: a purge that either of them acknowledges is obeyed by
//! whoever serves, however the earlier process ends, also after the next restart. A process that cannot promise that rejects it.
mod common;
use common::operations::{
    counters, operator_address, operator_command, InheritedListener, Process,
};
use common::purges::write_empty_journal;
use common::*;
use cranesill_standins::cache_node::{unix_ms, CacheNode, Origin};
use serde_json::{json, Value};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time after an acknowledged purge from which on no older copy may be served.
const PURGE_GRACE: Duration = Duration::from_millis(500);
/// Time within which a process has to take over or to end. No result depends on its length.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Minimum age of copies when they are purged, so that they differ from those fetched afterwards.
const COPY_AGE: Duration = Duration::from_millis(30);
const ITEMS: u64 = 6;
const TAG: &str = "vitara";
const CLASS: &str = "car-video";
const HOST: &str = "front1.east.example.org";
/// Delay of a reply that arrives after a purge. The process that waits for it has at least 3.4 s after SIGTERM.
const REPLY_DELAY_MS: u64 = 2_000;
/// Size of the frame by which a front notifies its clients that it drains.
const DRAIN_FRAME_BYTES: usize = 9;
/// Seeds of the random upgrades, unless `CRANESILL_SEEDS` lists others.
const SEEDS: [u64; 4] = [1, 2, 3, 4];
const STEPS: u32 = 14;
/// Attempts at an arrangement that a busy machine may miss.
const ATTEMPTS: u32 = 5;

fn item(number: u64) -> String {
    format!("{:016x}", 0x0101 * (number + 1))
}

/// The nodes of one front and everything that its processes share.
struct Deployment {
    inherited: InheritedListener,
    folder: tempfile::TempDir,
    has_journal: bool,
    starts: Cell<u32>,
    streams: Cell<u32>,
    nodes: Vec<CacheNode>,
    _feed: TcpListener,
}

/// A process of the front, with a control socket of its own.
struct Running {
    process: Process,
    control: PathBuf,
    operators: SocketAddr,
}

impl Deployment {
    fn new(has_journal: bool) -> Self {
        let origin = Arc::new(Origin::default());
        (0..ITEMS).for_each(|number| origin.tag(&item(number), &[TAG]));
        let cache = CacheNode::start(Arc::clone(&origin), true).unwrap();
        let main = CacheNode::start_origin(origin).unwrap();
        let feed = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut config: Value =
            serde_json::from_str(include_str!("../examples/config.json")).unwrap();
        config["listen"] = "127.0.0.1:0".into();
        config["feed"] = feed.local_addr().unwrap().to_string().into();
        let node = |id: u32, at: SocketAddr, zone: &str, kind: &str| {
            json!({"instanceId": format!("s-{id:08x}"), "hostPort": at.to_string(), "zone": zone, "machineType": kind,
                   "cell": 0, "lifecycle": "in_service", "weight": 8, "startedAtMs": 0})
        };
        config["known"]["events"][0]["members"]["instances"] = json!([
            node(0x11, cache.address, "edge-1", "small-box"),
            node(0x31, main.address, "east-hub", "origin")
        ]);
        let folder = tempfile::tempdir().unwrap();
        write_empty_journal(&folder.path().join("purges"));
        Deployment {
            inherited: InheritedListener::new(&config),
            folder,
            has_journal,
            starts: Cell::new(0),
            streams: Cell::new(0),
            nodes: vec![cache, main],
            _feed: feed,
        }
    }

    /// Starts a process and waits until it is healthy.
    fn start(&self) -> Running {
        let number = self.starts.replace(self.starts.get() + 1);
        let control = self.folder.path().join(format!("control-{number}"));
        let mut purges = json!({"skew_ms": 0, "horizon_s": 3_600});
        if self.has_journal {
            purges["file"] = self
                .folder
                .path()
                .join("purges")
                .display()
                .to_string()
                .into();
        }
        let directory = self.folder.path().join("certs");
        let certs = json!({"directory": directory, "certificates": [{"names": [HOST]}], "fronts": ["front"]});
        let settings = json!({"control": {"path": control}, "purges": purges, "certs": certs});
        let file = self.folder.path().join(format!("daemon-{number}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let process = self
            .inherited
            .start_with_settings(&self.inherited.config, Some(&file));
        let operators = operator_address(&process.log);
        wait_for_line(&process.log, "control socket open");
        let running = Running {
            process,
            control,
            operators,
        };
        wait_until("healthy", || running.is_healthy());
        running
    }

    /// Requests an object on a new connection; returns the creation time of the copy in Unix milliseconds.
    fn request(&self, item: &str) -> u64 {
        let socket = TcpStream::connect(self.inherited.listener.local_addr().unwrap()).unwrap();
        let born = self.request_on(&mut client(socket), item);
        born.expect("the request is served")
    }

    /// Requests an object until a cache has a copy; returns its creation time.
    fn cached(&self, item: &str) -> u64 {
        let mut born = self.request(item);
        wait_until("cached", || {
            let before = std::mem::replace(&mut born, self.request(item));
            before == born
        });
        born
    }

    /// Like [`Deployment::request`], on an open connection; `None` if the request is not served.
    fn request_on(&self, client: &mut Client, item: &str) -> Option<u64> {
        self.send(client, item)?;
        receive_born(client)
    }

    /// Sends a request; `None` if the connection was closed.
    fn send(&self, client: &mut Client, item: &str) -> Option<()> {
        let stream = self.streams.replace(self.streams.get() + 1) + 1;
        let txn = format!("{stream:016x}");
        let fields = [("item", item), ("txn", &*txn)];
        client.try_request(stream, CLASS, &fields).ok()
    }
}

/// Receives a response; returns the creation time of the copy, or `None` if the request was not served.
fn receive_born(client: &mut Client) -> Option<u64> {
    loop {
        let received = client.receive()?;
        if !received.starts_with("type 30") {
            let (_, rest) = received.split_once("born=")?;
            return rest.split(' ').next()?.parse().ok();
        }
    }
}

fn client(socket: TcpStream) -> Client {
    socket.set_read_timeout(Some(STEP_TIMEOUT)).unwrap();
    socket.set_nodelay(true).unwrap();
    Client(socket)
}

impl Running {
    fn is_healthy(&self) -> bool {
        operator_command(self.operators, "health").starts_with("+OK")
    }

    fn run(&self, arguments: &[&str]) -> Result<String, String> {
        let done = Command::new(env!("CARGO_BIN_EXE_cranesill"))
            .args(arguments)
            .env("CRANESILL_SOCKET", &self.control)
            .output()
            .unwrap();
        let text = String::from_utf8([done.stdout, done.stderr].concat()).unwrap();
        if done.status.success() {
            Ok(text)
        } else {
            Err(text)
        }
    }

    /// Whether this process has a certificate for the host.
    fn has_certificate(&self) -> bool {
        let shown = self.run(&["certs", "show", HOST]);
        shown.is_ok_and(|text| text.contains("\"certificate\": \"good\""))
    }

    /// Purges at this process; returns the number of the purge, or the error.
    fn purge(&self, target: &[&str]) -> Result<u64, String> {
        let answer = self.run(&[&["purge"], target].concat())?;
        let answer: Value = serde_json::from_str(&answer).unwrap();
        Ok(answer["number"].as_u64().unwrap())
    }

    /// Stops the process with SIGSTOP, and waits until it has stopped.
    fn stop(&self) {
        self.process.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.process.child.id());
        wait_until("stopped", || {
            let text = std::fs::read_to_string(&stat).unwrap();
            text.rsplit(") ").next().unwrap().starts_with('T')
        });
    }

    fn kill(mut self) {
        self.process.child.kill().unwrap();
        self.process.child.wait().unwrap();
    }

    fn wait_for_end(&mut self) {
        wait_until("ended", || self.process.child.try_wait().unwrap().is_some());
    }

    /// Ends the process with SIGTERM.
    fn terminate(mut self) {
        self.process.signal("-TERM");
        self.wait_for_end();
    }

    /// Waits until this process accepts a purge.
    fn wait_until_writer(&self) {
        wait_until("the writer of the purge log", || {
            self.purge(&["--object", &item(99)]).is_ok()
        });
    }
}

/// How the earlier process ends.
#[derive(Clone, Copy, Debug)]
enum End {
    Terminated,
    Killed,
    StoppedAndKilled,
    StoppedInTheMidstOfItsShutdown,
}

fn end(process: Running, how: End) {
    match how {
        End::Terminated => process.terminate(),
        End::Killed => process.kill(),
        End::StoppedAndKilled => {
            process.stop();
            std::thread::sleep(Duration::from_millis(100));
            process.kill();
        }
        End::StoppedInTheMidstOfItsShutdown => {
            process.process.signal("-TERM");
            wait_for_line(&process.process.log, "SIGTERM");
            process.stop();
            std::thread::sleep(Duration::from_millis(100));
            process.kill();
        }
    }
}

/// Guards against a purge that is acknowledged by the earlier process during an upgrade and unknown to the next one.
#[test]
fn purge_accepted_during_an_upgrade_is_obeyed_by_the_next_process_and_after_a_restart() {
    let ends = [
        End::Terminated,
        End::Killed,
        End::StoppedAndKilled,
        End::StoppedInTheMidstOfItsShutdown,
    ];
    std::thread::scope(|scope| {
        for how in ends {
            scope.spawn(move || purge_during_upgrade(how));
        }
    });
}

fn purge_during_upgrade(how: End) {
    let deployment = Deployment::new(true);
    let old = deployment.start();
    old.wait_until_writer();
    let objects = [item(0), item(1), item(2)];
    let pattern = format!("{CLASS}/{}*", objects[1]);
    let targets = [
        vec!["--object", &objects[0]],
        vec!["--pattern", &pattern],
        vec!["--tag", TAG],
    ];
    let next = deployment.start();
    for (object, target) in objects.iter().zip(targets) {
        deployment.cached(object);
        std::thread::sleep(COPY_AGE);
        let purged_ms = unix_ms();
        old.purge(&target).unwrap();
        // The purge does not matter to this process yet, so it has to learn of it from the journal.
        std::thread::sleep(PURGE_GRACE);
        assert!(
            deployment.request(object) >= purged_ms,
            "{how:?}: the earlier process"
        );
    }
    // One purge immediately before the end, whose old copy is in the cache.
    deployment.cached(&item(3));
    std::thread::sleep(COPY_AGE);
    let purged_ms = unix_ms();
    old.purge(&["--object", &item(3)]).unwrap();
    end(old, how);
    std::thread::sleep(PURGE_GRACE);
    let born = deployment.request(&item(3));
    assert!(
        born >= purged_ms,
        "{how:?}: {} ms older than the purge",
        purged_ms - born
    );
    // The next process writes the log from now on, also after it was restarted.
    next.wait_until_writer();
    next.kill();
    let restarted = deployment.start();
    assert!(
        deployment.request(&item(3)) >= purged_ms,
        "{how:?}: after a restart"
    );
    restarted.wait_until_writer();
}

/// Guards against two processes that write one purge log.
#[test]
fn purges_are_rejected_by_a_process_that_does_not_write_the_log() {
    let deployment = Deployment::new(true);
    let old = deployment.start();
    let first = old.purge(&["--object", &item(0)]).unwrap();
    let failed = deployment.start();
    let error = failed.purge(&["--object", &item(1)]).unwrap_err();
    let owner = format!("process {} writes the purge log", old.process.child.id());
    assert!(error.contains(&owner), "{error}");
    assert_eq!(error.trim_end().lines().count(), 1, "{error}");
    // The upgrade fails half-way: nothing changes for the process that serves.
    failed.kill();
    assert_eq!(old.purge(&["--object", &item(2)]), Ok(first + 1));
    let next = deployment.start();
    // A process that is stopped keeps the log.
    old.stop();
    assert!(next.purge(&["--object", &item(3)]).is_err());
    old.process.signal("-CONT");
    assert_eq!(old.purge(&["--object", &item(3)]), Ok(first + 2));
    old.process.signal("-TERM");
    next.wait_until_writer();
    if let Ok(number) = old.purge(&["--object", &item(4)]) {
        panic!("purge {number} accepted by a process that shuts down");
    }
    let number = next.purge(&["--object", &item(4)]).unwrap();
    assert_eq!(number, first + 4, "one was accepted while waiting");
}

/// Guards against an old copy from a process that shuts down and does not know the purges of the next one.
#[test]
fn purge_accepted_by_the_next_process_is_obeyed_by_the_one_that_shuts_down() {
    // On a busy machine the earlier process may have ended before it is asked, which shows nothing.
    let served = (0..ATTEMPTS).any(|_| request_to_a_process_that_shuts_down());
    assert!(served, "no request was served in {ATTEMPTS} attempts");
}

/// Lets the earlier process wait for a reply from an old copy while it shuts down and the next one accepts a purge. Returns `false` if
/// the reply arrived before the purge.
fn request_to_a_process_that_shuts_down() -> bool {
    let deployment = Deployment::new(true);
    let old = deployment.start();
    let first = deployment.cached(&item(0));
    std::thread::sleep(COPY_AGE);
    let next = deployment.start();
    deployment
        .nodes
        .iter()
        .for_each(|node| node.set_delay_ms(REPLY_DELAY_MS));
    let at = deployment.inherited.listener.local_addr().unwrap();
    let mut open = client(TcpStream::connect(at).unwrap());
    deployment.send(&mut open, &item(0)).unwrap();
    wait_until("the request in progress", || {
        counters(old.operators)["in_progress"] == 1
    });
    old.process.signal("-TERM");
    let purged_ms = unix_ms();
    wait_until("the writer of the purge log", || {
        next.purge(&["--tag", TAG]).is_ok()
    });
    deployment
        .nodes
        .iter()
        .for_each(|node| node.set_delay_ms(0));
    open.0.set_nonblocking(true).unwrap();
    // The notification that the front drains has arrived already.
    let mut received = [0; 64];
    let is_early = matches!(open.0.peek(&mut received), Ok(length) if length > DRAIN_FRAME_BYTES);
    open.0.set_nonblocking(false).unwrap();
    if is_early {
        return false;
    }
    let born = receive_born(&mut open).expect("a response");
    assert!(
        born >= purged_ms,
        "served the copy from {first}, purged at {purged_ms}"
    );
    true
}

/// Guards against the loss of purges that are kept in memory only when the process that knows them ends.
#[test]
fn without_a_journal_purges_are_obeyed_over_an_upgrade_or_rejected() {
    for how in [End::Terminated, End::Killed] {
        let deployment = Deployment::new(false);
        let old = deployment.start();
        let next = deployment.start();
        deployment.cached(&item(0));
        std::thread::sleep(COPY_AGE);
        let purged_ms = unix_ms();
        old.purge(&["--object", &item(0)]).unwrap();
        let error = next.purge(&["--object", &item(1)]).unwrap_err();
        assert!(
            error.contains("an earlier process of this front"),
            "{error}"
        );
        end(old, how);
        std::thread::sleep(PURGE_GRACE);
        assert!(deployment.request(&item(0)) >= purged_ms, "{how:?}");
        next.wait_until_writer();
    }
}

/// Guards against a certificate that the earlier process has acknowledged and the next one does not know, and against two processes
/// that manage the same files.
#[test]
fn certificate_imported_during_an_upgrade_is_known_to_the_next_process() {
    for how in [End::Terminated, End::Killed] {
        let deployment = Deployment::new(true);
        let files = ["key.pem", "chain.pem"].map(|name| deployment.folder.path().join(name));
        let key = rcgen::KeyPair::generate().unwrap();
        let certificate = rcgen::CertificateParams::new(vec![HOST.to_string()])
            .unwrap()
            .self_signed(&key)
            .unwrap();
        std::fs::write(&files[0], key.serialize_pem()).unwrap();
        std::fs::write(&files[1], certificate.pem()).unwrap();
        let files = files.each_ref().map(|file| file.to_str().unwrap());
        let import = ["certs", "import", "--key", files[0], "--chain", files[1]];
        let old = deployment.start();
        let next = deployment.start();
        let error = next.run(&import).unwrap_err();
        let owner = format!(
            "process {} manages the certificates",
            old.process.child.id()
        );
        assert!(error.contains(&owner), "{error}");
        assert_eq!(error.trim_end().lines().count(), 1, "{error}");
        old.run(&import).unwrap();
        assert!(old.has_certificate());
        end(old, how);
        wait_until("informed of the certificate", || next.has_certificate());
        wait_until("the manager of the certificates", || {
            next.run(&import).is_ok()
        });
    }
}

/// Linear congruential generator of the random upgrades.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// A purge that was acknowledged.
struct Acknowledged {
    item: u64,
    purged_ms: u64,
    at: Instant,
}

/// Guards against orders of upgrades, ends of processes and purges that no other test plays.
#[test]
fn random_upgrades_lose_no_acknowledged_purge() {
    let listed = std::env::var("CRANESILL_SEEDS").ok();
    let seeds: Vec<u64> = match &listed {
        Some(text) => text.split(',').map(|seed| seed.parse().unwrap()).collect(),
        None => SEEDS.to_vec(),
    };
    for seeds in seeds.chunks(4) {
        std::thread::scope(|scope| {
            for seed in seeds {
                scope.spawn(move || random_upgrades(*seed));
            }
        });
    }
}

fn random_upgrades(seed: u64) {
    let mut random = Random(seed);
    let deployment = Deployment::new(!seed.is_multiple_of(4));
    let mut history = Vec::new();
    let mut acknowledged: Vec<Acknowledged> = Vec::new();
    let mut running = vec![deployment.start()];
    for number in 0..ITEMS {
        deployment.cached(&item(number));
    }
    for step in 0..STEPS {
        if running.len() < 2 && random.below(2) == 0 {
            running.push(deployment.start());
            history.push(format!("{step}: started a process"));
        }
        std::thread::sleep(COPY_AGE);
        let number = random.below(ITEMS);
        let at = random.below(running.len() as u64) as usize;
        let purged_ms = unix_ms();
        let result = running[at].purge(&["--object", &item(number)]);
        history.push(format!(
            "{step}: purge of {number} at process {at}: {result:?}"
        ));
        if result.is_ok() {
            acknowledged.push(Acknowledged {
                item: number,
                purged_ms,
                at: Instant::now(),
            });
        }
        if running.len() == 2 && random.below(2) == 0 {
            let which = random.below(4).min(1) as usize;
            // Mostly the earlier process ends.
            let process = running.remove(1 - which);
            let hows = [
                End::Terminated,
                End::Killed,
                End::StoppedAndKilled,
                End::StoppedInTheMidstOfItsShutdown,
            ];
            let how = hows[random.below(4) as usize];
            history.push(format!("{step}: process {} ends: {how:?}", 1 - which));
            end(process, how);
        }
        std::thread::sleep(Duration::from_millis(random.below(600)));
        for purge in &acknowledged {
            let binds = purge.at.elapsed() > PURGE_GRACE;
            let born = deployment.request(&item(purge.item));
            assert!(
                !binds || born >= purge.purged_ms,
                "seed {seed}, step {step}: copy of {} from {} ms before its purge\n{}",
                purge.item,
                purge.purged_ms - born,
                history.join("\n")
            );
        }
    }
    assert!(
        !acknowledged.is_empty(),
        "seed {seed}: no purge was accepted"
    );
}
