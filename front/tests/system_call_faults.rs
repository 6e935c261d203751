//! Failures of socket system calls as documented for Linux lose no request, repeat no write, and never make the remaining time
//! sent to nodes longer than that of the client.
use cranesill_rig::{
    request_frame, Behavior, ClusterSize, History, Observation, SocketFaults, SystemCall,
    TestCluster,
};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
/// Tolerated excess of the remaining time sent to a node.
const REMAINING_TIME_TOLERANCE: Duration = Duration::from_millis(150);
/// Timeout that each client sends.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_400);

fn start_cluster(change: impl Fn(&mut Value), link_groups: usize, seed: u64) -> TestCluster {
    let mut base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    change(&mut base);
    let shape = ClusterSize {
        fronts: 1,
        caches: 3,
        parents: 1,
        link_groups,
    };
    TestCluster::start(
        Path::new(env!("CARGO_BIN_EXE_cranesill")),
        shape,
        &base,
        None,
        seed,
    )
}

/// Clients, one per thread, that reconnect after a few requests.
struct ReconnectingClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// Client numbers, unique in this process, which are part of the transaction ids.
static CLIENT_NUMBERS: AtomicU32 = AtomicU32::new(16);

impl ReconnectingClients {
    fn start(cluster: &TestCluster, count: u32, requests: usize, pause: Duration) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let address = cluster.fleet.address(0);
        let threads = (0..count).map(|_| {
            let (stop, history, class) = (
                Arc::clone(&stop),
                cluster.history.clone(),
                cluster.load.read_class.clone(),
            );
            let number = CLIENT_NUMBERS.fetch_add(1, Ordering::SeqCst) % 0xff;
            thread::spawn(move || {
                let mut client = ReconnectingClient {
                    history,
                    class,
                    number,
                    stream: 0,
                };
                while !stop.load(Ordering::SeqCst) {
                    client.run(address, requests, pause);
                    thread::sleep(pause);
                }
            })
        });
        ReconnectingClients {
            threads: threads.collect(),
            stop,
        }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
    }
}

struct ReconnectingClient {
    history: History,
    class: String,
    number: u32,
    stream: u32,
}

impl ReconnectingClient {
    fn run(&mut self, address: SocketAddr, requests: usize, pause: Duration) {
        let mut socket = TcpStream::connect(address).unwrap();
        socket.set_nodelay(true).unwrap();
        for n in 0..requests {
            if n > 0 {
                thread::sleep(pause);
            }
            if !self.request(&mut socket) {
                return;
            }
        }
    }

    /// Sends a request and waits for its response; `false` if the connection failed.
    fn request(&mut self, socket: &mut TcpStream) -> bool {
        self.stream += 1;
        let txn = (1 << 40) | (u64::from(self.number) << 32) | u64::from(self.stream);
        let (id, limit) = (
            format!("{txn:016x}"),
            CLIENT_TIMEOUT.as_millis().to_string(),
        );
        let item = format!("{:016x}", self.stream % 50);
        let fields = [
            ("verb", self.class.as_str()),
            ("txn", &id),
            ("limit", &limit),
            ("item", &item),
        ];
        let frame = request_frame(self.stream, &fields, b"");
        self.history
            .record(Observation::ClientRequest { front: 0, txn });
        let answered = socket.write_all(&frame).and_then(|()| self.answer(socket));
        let seen = answered
            .as_ref()
            .map_or(Observation::ClientUnanswered(0, txn), |code| {
                Observation::ClientResponse(0, txn, *code)
            });
        self.history.record(seen);
        answered.is_ok()
    }

    fn answer(&self, socket: &mut TcpStream) -> std::io::Result<u8> {
        socket.set_read_timeout(Some(2 * CLIENT_TIMEOUT))?;
        loop {
            let mut length = [0; 4];
            socket.read_exact(&mut length)?;
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            socket.read_exact(&mut frame)?;
            if frame[0] == 11 {
                return Ok(frame[5]);
            }
        }
    }
}

fn is_served(seen: &Observation) -> bool {
    matches!(seen, Observation::ClientResponse(_, _, 1))
}

/// Number of responses other than successful ones.
fn count_not_served(cluster: &TestCluster) -> usize {
    cluster
        .history
        .count(|seen| matches!(seen, Observation::ClientResponse(_, _, code) if *code != 1))
}

/// Excess of the remaining time sent to nodes, for each attempt of the reconnecting clients' requests.
fn excess_remaining_time(cluster: &TestCluster) -> Vec<Duration> {
    let mut sent = std::collections::HashMap::new();
    let mut excessive = Vec::new();
    for (at, seen) in cluster.history.observations() {
        match seen {
            Observation::ClientRequest { txn, .. } if (txn >> 32) & 0xff >= 16 => {
                sent.insert(txn, at);
            }
            Observation::TimeLeft {
                txn,
                left_ms,
                read_delay,
            } => {
                let Some(sent_at) = sent.get(&txn) else {
                    continue;
                };
                // The delay with which the node read the request does not count.
                let ends = at.saturating_sub(read_delay) + Duration::from_millis(left_ms);
                excessive.push(ends.saturating_sub(*sent_at + CLIENT_TIMEOUT));
            }
            _ => {}
        }
    }
    excessive
}

/// Asserts that no node was sent a longer remaining time than its client had.
fn assert_remaining_time_kept(cluster: &TestCluster) {
    let excess = excess_remaining_time(cluster);
    let excessive: Vec<_> = excess
        .iter()
        .filter(|excessive| **excessive > REMAINING_TIME_TOLERANCE)
        .collect();
    assert!(
        excessive.is_empty(),
        "remaining time too long in {} of {} attempts: {excessive:?}",
        excessive.len(),
        excess.len()
    );
}

/// Processor time used by the front.
fn cpu_time(cluster: &TestCluster) -> Duration {
    let stat = std::fs::read_to_string(format!(
        "/proc/{}/stat",
        cluster.fleet.process_id(0).unwrap()
    ))
    .unwrap();
    let fields: Vec<_> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks: u64 = fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap();
    Duration::from_millis(ticks * 10)
}

/// Injects faults for a time under the current load and waits for some successful responses.
fn run_with_faults(cluster: &TestCluster, faults: &SocketFaults, time: Duration) {
    let before = cluster.fleet.injectors[0].socket_fault_count();
    cluster.fleet.injectors[0].set_socket_faults(Some(faults));
    thread::sleep(time);
    cluster.wait_served("responses during call failures", 20);
    cluster.fleet.injectors[0].set_socket_faults(None);
    let cut_short = faults.max_read_bytes > 0;
    assert!(
        cut_short || cluster.fleet.injectors[0].socket_fault_count() > before,
        "{faults:?}: no call failed"
    );
}

/// Asserts that no invariant is violated, almost all requests were served, and remaining times were correct.
fn assert_all_served(cluster: &mut TestCluster, seed: u64) {
    cluster.assert_no_violations(seed);
    let (served, not) = (cluster.history.count(is_served), count_not_served(cluster));
    assert!(
        not * 100 <= served,
        "{not} requests not served, {served} served: {}",
        cluster.fleet.log(0)
    );
    assert_remaining_time_kept(cluster);
}

const ACCEPT_ERRORS: [i32; 14] = [
    libc::ECONNABORTED,
    libc::EPROTO,
    libc::ENETDOWN,
    libc::EINTR,
    libc::EMFILE,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::ENOMEM,
    libc::ENETUNREACH,
    libc::EHOSTUNREACH,
    libc::EOPNOTSUPP,
    libc::ENOPROTOOPT,
    libc::EPERM,
    libc::ETIMEDOUT,
];

#[test]
fn accept_errors_lose_no_connection() {
    let mut cluster = start_cluster(|_| {}, 0, 61);
    cluster.load.pause = 30 * MS;
    cluster.load.connections_per_front = 4;
    // Some clients reconnect for each request, others stay connected.
    let connected = cluster.start_clients(61);
    let reconnecting = ReconnectingClients::start(&cluster, 6, 1, 5 * MS);
    cluster.wait_served("initial responses", 100);
    for errno in ACCEPT_ERRORS {
        run_with_faults(
            &cluster,
            &SocketFaults::all(&[SystemCall::Accept], errno).every(2),
            100 * MS,
        );
        if errno == libc::EINTR {
            // The standard library retries interrupted calls until they are no longer interrupted.
            continue;
        }
        let burst = SocketFaults::all(&[SystemCall::Accept], errno).burst(150 * MS, 500 * MS);
        run_with_faults(&cluster, &burst, 600 * MS);
    }
    reconnecting.stop();
    connected.stop();
    assert_all_served(&mut cluster, 61);
}

#[test]
fn failing_accept_does_not_spin_and_pending_requests_keep_their_deadline() {
    for (errno, seed) in [
        (libc::ENOBUFS, 62),
        (libc::ECONNABORTED, 63),
        (libc::EMFILE, 64),
    ] {
        let mut cluster = start_cluster(|_| {}, 0, seed);
        let connected = cluster.start_clients(seed);
        cluster.wait_served("initial responses", 20);
        cluster.fleet.injectors[0]
            .set_socket_faults(Some(&SocketFaults::all(&[SystemCall::Accept], errno)));
        let (began, used) = (Instant::now(), cpu_time(&cluster));
        let reconnecting = ReconnectingClients::start(&cluster, 4, 3, 5 * MS);
        thread::sleep(1_200 * MS);
        let (used, passed) = (cpu_time(&cluster) - used, began.elapsed());
        assert!(
            used < passed / 4,
            "error {errno}: {used:?} processor time in {passed:?}"
        );
        cluster.fleet.injectors[0].set_socket_faults(None);
        let client = |seen: &Observation| matches!(seen, Observation::ClientResponse(_, txn, 1) if (txn >> 32) & 0xff >= 16);
        cluster
            .history
            .wait_for("responses to pending requests", 12, client);
        reconnecting.stop();
        connected.stop();
        assert_all_served(&mut cluster, seed);
    }
}

/// Open descriptors of the front.
fn descriptors(cluster: &TestCluster) -> Vec<u64> {
    let open =
        std::fs::read_dir(format!("/proc/{}/fd", cluster.fleet.process_id(0).unwrap())).unwrap();
    open.map(|file| file.unwrap().file_name().to_str().unwrap().parse().unwrap())
        .collect()
}

/// Limits the front to a few more descriptors than it has open; returns the limit.
fn allow_few_more_descriptors(cluster: &TestCluster) -> u64 {
    let open = descriptors(cluster);
    let most = (0..).find(|number| !open.contains(number)).unwrap() + 4;
    let limit = libc::rlimit {
        rlim_cur: most,
        rlim_max: most,
    };
    let process = cluster.fleet.process_id(0).unwrap() as i32;
    // SAFETY: the call reads a valid limit; the process was started by this test.
    let set = unsafe {
        libc::prlimit(
            process,
            libc::RLIMIT_NOFILE,
            &raw const limit,
            std::ptr::null_mut(),
        )
    };
    assert_eq!(set, 0);
    most
}

#[test]
fn descriptor_exhaustion_closes_only_idle_clients() {
    let mut cluster = start_cluster(|_| {}, 0, 65);
    let address = cluster.fleet.address(0);
    let class = cluster.load.read_class.clone();
    let mut client = ReconnectingClient {
        history: cluster.history.clone(),
        class,
        number: 0xf0,
        stream: 0,
    };
    let mut busy = TcpStream::connect(address).unwrap();
    assert!(client.request(&mut busy));
    let most = allow_few_more_descriptors(&cluster);
    let mut idle = Vec::new();
    while (0..most).any(|number| !descriptors(&cluster).contains(&number)) {
        idle.push(TcpStream::connect(address).unwrap());
        assert!(client.request(idle.last_mut().unwrap()));
    }
    // Active clients keep their connections; idle ones are closed as required.
    let reconnecting = ReconnectingClients::start(&cluster, 2, 4, 20 * MS);
    let served = |seen: &Observation| matches!(seen, Observation::ClientResponse(_, txn, 1) if (txn >> 32) & 0xff < 0xf0);
    while cluster.history.count(served) < 16 {
        assert!(
            client.request(&mut busy),
            "an active client lost its connection"
        );
        thread::sleep(50 * MS);
    }
    reconnecting.stop();
    assert!(
        cluster.fleet.log(0).contains("Too many open files"),
        "{}",
        cluster.fleet.log(0)
    );
    cluster.assert_no_violations(65);
}

#[test]
fn descriptor_exhaustion_does_not_close_intermittent_clients() {
    let mut cluster = start_cluster(|_| {}, 0, 72);
    let reconnecting = ReconnectingClients::start(&cluster, 6, 6, 700 * MS);
    cluster.wait_served("initial responses", 8);
    let most = allow_few_more_descriptors(&cluster);
    // More silent connections than there are descriptors.
    let address = cluster.fleet.address(0);
    let mut newcomers = Vec::new();
    let lacks = |cluster: &TestCluster| cluster.fleet.log(0).contains("Too many open files");
    let guard = Instant::now() + cranesill_rig::WAIT_TIMEOUT;
    while !lacks(&cluster) {
        assert!(
            Instant::now() < guard,
            "{:?} of {most}: {}",
            descriptors(&cluster),
            cluster.fleet.log(0)
        );
        newcomers.push(TcpStream::connect(address).unwrap());
        thread::sleep(5 * MS);
    }
    newcomers.extend((0..16).map(|_| TcpStream::connect(address).unwrap()));
    thread::sleep(900 * MS);
    drop(newcomers);
    reconnecting.stop();
    cluster.assert_no_violations(72);
}

#[test]
fn socket_and_connect_errors_neither_mark_nodes_down_nor_lose_requests() {
    // Idle connections are closed quickly, so that each group of requests opens new ones.
    let short = |base: &mut Value| base["settings"]["policyLimits"]["connIdle"] = 20_000.into();
    let mut cluster = start_cluster(short, 0, 66);
    let reconnecting = ReconnectingClients::start(&cluster, 8, 2, 290 * MS);
    cluster.wait_served("initial responses", 30);
    let socket_errors = [libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::ENOMEM];
    let connect_errors = [
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EINTR,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EAGAIN,
    ];
    let calls = socket_errors
        .map(|errno| (SystemCall::Socket, errno))
        .into_iter();
    for (call, errno) in calls.chain(connect_errors.map(|errno| (SystemCall::Connect, errno))) {
        run_with_faults(
            &cluster,
            &SocketFaults::all(&[call], errno).every(2),
            300 * MS,
        );
        if errno != libc::EINTR {
            run_with_faults(
                &cluster,
                &SocketFaults::all(&[call], errno).burst(150 * MS, 500 * MS),
                1_000 * MS,
            );
        }
    }
    reconnecting.stop();
    let log = cluster.fleet.log(0);
    assert!(!log.contains("DOWN"), "{log}");
    assert_all_served(&mut cluster, 66);
}

#[test]
fn startup_survives_a_temporary_shortage() {
    let mut cluster = start_cluster(|_| {}, 0, 67);
    for errno in [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EINTR,
    ] {
        cluster.kill(&[0]);
        let before = cluster.fleet.injectors[0].socket_fault_count();
        cluster.fleet.injectors[0]
            .set_socket_faults(Some(&SocketFaults::all(&[SystemCall::Socket], errno)));
        cluster.fleet.restart([0]);
        let guard = Instant::now() + cranesill_rig::WAIT_TIMEOUT;
        while cluster.fleet.injectors[0].socket_fault_count() < before + 5 {
            let dead = cluster.fleet.exited();
            assert!(
                dead.is_empty() && Instant::now() < guard,
                "error {errno}: exited processes {dead:?}"
            );
            thread::yield_now();
        }
        cluster.fleet.injectors[0].set_socket_faults(None);
        cluster.fleet.address(0);
    }
    let reconnecting = ReconnectingClients::start(&cluster, 2, 2, 5 * MS);
    cluster.wait_served("responses after the faults", 20);
    reconnecting.stop();
    assert_all_served(&mut cluster, 67);
}

#[test]
fn front_started_during_call_failures_serves_all_requests() {
    let mut cluster = start_cluster(|_| {}, 0, 73);
    let faults = [
        (SystemCall::Accept, libc::ENOBUFS),
        (SystemCall::Accept, libc::ECONNABORTED),
        (SystemCall::Connect, libc::EADDRNOTAVAIL),
        (SystemCall::Connect, libc::ENETUNREACH),
        (SystemCall::ReadInbound, libc::EINTR),
        (SystemCall::ReadOutbound, libc::EAGAIN),
        (SystemCall::WriteInbound, libc::EAGAIN),
        (SystemCall::WriteOutbound, libc::EINTR),
    ];
    for (call, errno) in faults {
        cluster.kill(&[0]);
        let before = cluster.fleet.injectors[0].socket_fault_count();
        let every_other = SocketFaults::all(&[call], errno).every(2);
        cluster.fleet.injectors[0].set_socket_faults(Some(&every_other));
        cluster.fleet.restart([0]);
        cluster.fleet.address(0);
        let reconnecting = ReconnectingClients::start(&cluster, 4, 3, 5 * MS);
        cluster.wait_served("responses during call failures since startup", 40);
        reconnecting.stop();
        assert!(
            cluster.fleet.injectors[0].socket_fault_count() > before,
            "{call:?}: no call failed"
        );
        cluster.fleet.injectors[0].set_socket_faults(None);
    }
    assert_all_served(&mut cluster, 73);
}

#[test]
fn startup_ends_with_one_line_after_a_lasting_shortage() {
    let mut cluster = start_cluster(|_| {}, 0, 68);
    cluster.kill(&[0]);
    let lines = cluster.fleet.log(0).lines().count();
    cluster.fleet.injectors[0].set_socket_faults(Some(&SocketFaults::all(
        &[SystemCall::Socket],
        libc::ENOBUFS,
    )));
    let began = Instant::now();
    cluster.fleet.restart([0]);
    while cluster.fleet.exited().is_empty() {
        assert!(
            began.elapsed() < cranesill_rig::WAIT_TIMEOUT,
            "the front did not exit"
        );
        thread::sleep(10 * MS);
    }
    assert!(began.elapsed() >= 4_900 * MS, "{:?}", began.elapsed());
    let log = cluster.fleet.log(0);
    let logged: Vec<_> = log.lines().skip(lines).collect();
    assert!(
        matches!(logged[..], [line] if line.starts_with("cranesill: 127.0.0.1:0: ")),
        "{logged:?}"
    );
}

#[test]
fn startup_on_an_unusable_address_fails_immediately() {
    let mut base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    base["listen"] = "192.0.2.1:1".into();
    let mut file = tempfile::NamedTempFile::new().unwrap();
    file.write_all(base.to_string().as_bytes()).unwrap();
    let began = Instant::now();
    let mut front = std::process::Command::new(env!("CARGO_BIN_EXE_cranesill"));
    let ended = front.arg("serve").arg(file.path()).output().unwrap();
    assert!(
        !ended.status.success() && began.elapsed() < 4_000 * MS,
        "{:?}",
        began.elapsed()
    );
    let errors = String::from_utf8_lossy(&ended.stderr);
    assert!(
        errors.lines().count() == 1 && errors.contains("192.0.2.1:1"),
        "{errors}"
    );
}

#[test]
fn short_and_interrupted_reads_and_writes_lose_nothing() {
    let mut cluster = start_cluster(|_| {}, 0, 69);
    cluster.load.connections_per_front = 2;
    let connected = cluster.start_clients(69);
    let reconnecting = ReconnectingClients::start(&cluster, 3, 3, 5 * MS);
    cluster.wait_served("initial responses", 30);
    for bytes in (1..=40).chain([63, 64, 65, 127, 255, 256, 1_000]) {
        run_with_faults(&cluster, &SocketFaults::short(bytes), 20 * MS);
    }
    let all = [
        SystemCall::ReadOutbound,
        SystemCall::WriteOutbound,
        SystemCall::ReadInbound,
        SystemCall::WriteInbound,
    ];
    for errno in [libc::EINTR, libc::EAGAIN] {
        for (every, bytes) in [(2, 0), (3, 7), (5, 1)] {
            let faults = SocketFaults::all(&all, errno).every(every);
            run_with_faults(
                &cluster,
                &SocketFaults {
                    max_read_bytes: bytes,
                    max_write_bytes: bytes,
                    ..faults
                },
                100 * MS,
            );
        }
    }
    // Signals interrupt waits.
    for _ in 0..20 {
        cluster.fleet.signal([0], libc::SIGHUP);
        cluster.wait_served("responses between signals", 2);
    }
    reconnecting.stop();
    connected.stop();
    assert_all_served(&mut cluster, 69);
}

const CONNECTION_ERRORS: [i32; 5] = [
    libc::ETIMEDOUT,
    libc::EHOSTUNREACH,
    libc::ECONNRESET,
    libc::EPIPE,
    libc::ENETUNREACH,
];

#[test]
fn broken_node_connections_lose_no_request_and_repeat_no_write() {
    let mut cluster = start_cluster(|_| {}, 0, 70);
    cluster.load.connections_per_front = 6;
    let connected = cluster.start_clients(70);
    let reconnecting = ReconnectingClients::start(&cluster, 3, 3, 5 * MS);
    cluster.wait_served("initial responses", 30);
    for errno in CONNECTION_ERRORS {
        for call in [SystemCall::ReadOutbound, SystemCall::WriteOutbound] {
            run_with_faults(
                &cluster,
                &SocketFaults::all(&[call], errno).every(40),
                200 * MS,
            );
            cluster.wait_served("responses after call failures", 20);
        }
    }
    reconnecting.stop();
    connected.stop();
    cluster.assert_no_violations(70);
}

#[test]
fn broken_client_connections_affect_no_other_client() {
    let mut cluster = start_cluster(|_| {}, 0, 71);
    cluster.load.connections_per_front = 6;
    (0..3).for_each(|index| cluster.nodes.set(index, Behavior::Respond(5 * MS)));
    let connected = cluster.start_clients(71);
    cluster.wait_served("initial responses", 30);
    for errno in CONNECTION_ERRORS {
        for call in [SystemCall::ReadInbound, SystemCall::WriteInbound] {
            run_with_faults(
                &cluster,
                &SocketFaults::all(&[call], errno).every(25),
                200 * MS,
            );
            cluster.wait_served("responses after call failures", 20);
        }
    }
    connected.stop();
    // Clients whose connections broke get no response; all other invariants hold.
    let broken: Vec<_> = cluster
        .violations()
        .into_iter()
        .filter(|violation| violation.rule != "response")
        .collect();
    assert!(broken.is_empty(), "{broken:#?}");
    assert!(
        cluster.fleet.exited().is_empty(),
        "{}",
        cluster.fleet.log(0)
    );
}
