//! Fleets with nodes, list service and clients that partly fail violate no invariant, as observed by nodes and clients.
use cranesill_rig::{
    Behavior, ClusterSize, Link, Observation, Script, ServiceMode, State, TestCluster, Transmission,
};
use serde_json::{json, Value};
use std::collections::HashSet;
use std::path::Path;
use std::time::Duration;

fn start_cluster(shape: ClusterSize, seed: u64) -> TestCluster {
    start_cluster_with(shape, None, seed)
}

fn start_cluster_with(shape: ClusterSize, settings: Option<&Value>, seed: u64) -> TestCluster {
    let base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    TestCluster::start(
        Path::new(env!("CARGO_BIN_EXE_cranesill")),
        shape,
        &base,
        settings,
        seed,
    )
}

#[test]
fn random_faults_violate_no_invariant() {
    let seeds = std::env::var("CRANESILL_SEEDS").unwrap_or_else(|_| "1,2,3".into());
    for seed in seeds.split(',').map(|seed| seed.parse().expect("a seed")) {
        let shape = ClusterSize {
            fronts: 8,
            caches: 4,
            parents: 2,
            link_groups: 2,
        };
        let mut cluster = start_cluster(shape, seed);
        let clients = cluster.start_clients(seed);
        cluster.wait_served("initial responses", 40);
        cluster.run_script(&Script::from_seed(seed, shape, 40));
        clients.stop();
        cluster.assert_no_violations(seed);
    }
}

#[test]
fn write_is_not_repeated_after_its_connection_breaks() {
    let shape = ClusterSize {
        fronts: 4,
        caches: 3,
        parents: 1,
        link_groups: 1,
    };
    let mut cluster = start_cluster(shape, 8);
    let origin = cluster.node_count() - 1;
    let clients = cluster.start_clients(8);
    cluster.wait_served("initial responses", 40);
    for _ in 0..4 {
        // The origin executes writes and resets the connection; later its connections are reset at arbitrary times.
        cluster.nodes.set(origin, Behavior::Reset);
        cluster.wait_served("responses from caches", 60);
        cluster
            .nodes
            .set(origin, Behavior::Respond(Duration::from_millis(30)));
        for _ in 0..10 {
            cluster.reset_connections(0, origin);
            cluster.wait_served("responses", 10);
        }
    }
    let ran = cluster
        .history
        .count(|seen| matches!(seen, Observation::Executed(_)));
    assert!(ran >= 10, "only {ran} writes were executed");
    clients.stop();
    cluster.assert_no_violations(8);
}

#[test]
fn request_waiting_for_a_connection_is_not_sent_to_a_draining_node() {
    // Half of the fleet reaches a cache over a delayed link while the cache starts to drain. Bytes held by the link do not count
    // against the fronts, attempts that they begin afterwards do.
    let shape = ClusterSize {
        fronts: 6,
        caches: 3,
        parents: 1,
        link_groups: 2,
    };
    let mut cluster = start_cluster(shape, 7);
    let clients = cluster.start_clients(7);
    cluster.wait_served("initial responses", 60);
    for round in 0..3 {
        cluster.nodes.set(1, Behavior::Down);
        cluster.wait_served("responses without the cache", 60);
        cluster.set_node_link(
            0,
            1,
            Some((
                Transmission::Delay(Duration::from_millis(200)),
                Transmission::Delay(Duration::from_millis(200)),
            )),
        );
        cluster
            .nodes
            .set(1, Behavior::Respond(Duration::from_millis(1)));
        cluster.set_node_state(1, State::Draining);
        cluster.wait_served("responses after the drain", 120);
        cluster.set_node_link(0, 1, None);
        cluster.set_node_state(1, State::Ready);
        cluster.wait_served("responses after the node is back", 60 + round);
    }
    clients.stop();
    cluster.assert_no_violations(7);
}

const S: Duration = Duration::from_secs(1);

/// Connections per second that the fleet together opens to a node; those that each front opens immediately are additional.
const HANDSHAKES_PER_SECOND: u32 = 4;

fn handshake_ramp() -> Value {
    json!({"startup": {"handshakes_per_s": HANDSHAKES_PER_SECOND, "ready_percent": 50, "ready_most_ms": 2_000}})
}

/// Largest number of connections to one cache within any second since `from`.
fn max_connections_per_second(cluster: &TestCluster, caches: usize, from: Duration) -> usize {
    let max_rate = |index: usize| {
        let id = cluster.nodes.all[index].0;
        cluster
            .history
            .max_in_window(from, cluster.history.now(), S, |seen| {
                *seen == Observation::Accepted(id)
            })
            .0
    };
    (0..caches).map(max_rate).max().unwrap()
}

#[test]
fn cold_fleet_connects_gradually_and_serves_immediately() {
    // Without the ramp, 20 or more of the 24 fronts connect to one cache within a second.
    let shape = ClusterSize {
        fronts: 24,
        caches: 24,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster_with(shape, Some(&handshake_ramp()), 3);
    let began = cluster.history.now();
    let clients = cluster.start_clients(3);
    let first = |cluster: &TestCluster, front: usize, from: Duration| {
        let of = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, 1) if *by == front);
        let before = cluster
            .history
            .timestamps(of)
            .iter()
            .filter(|at| **at < from)
            .count();
        cluster
            .history
            .wait_for("first response of a front", before + 1, of)
            - from
    };
    let mut firsts: Vec<_> = (0..24).map(|front| first(&cluster, front, began)).collect();
    firsts.sort_unstable();
    assert!(
        firsts[12] < Duration::from_millis(500),
        "half of the fronts took too long to their first response: {firsts:?}"
    );
    // Eventually each front has connections to all nodes.
    let all =
        |seen: &Observation| matches!(seen, Observation::Accepted(node) if *node <= 0x100 + 24);
    cluster
        .history
        .wait_for("connections of all fronts to all caches", 24 * 24, all);
    let worst = max_connections_per_second(&cluster, 24, began);
    assert!(
        worst <= HANDSHAKES_PER_SECOND as usize + 8,
        "{worst} connections came to one cache in a second"
    );
    // 70% of the fronts are killed and restarted; the others must not be affected.
    let (restarted, running): (Vec<usize>, Vec<usize>) = (0..24).partition(|front| front % 10 < 7);
    let killed = cluster.history.now();
    cluster.kill(&restarted);
    cluster.restart(&restarted);
    for front in &restarted {
        first(&cluster, *front, killed);
    }
    let served = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, 1) if running.contains(by));
    let refused = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, code) if running.contains(by) && *code != 1);
    let not_served = cluster
        .history
        .timestamps(refused)
        .iter()
        .filter(|at| **at >= killed)
        .count();
    let good = cluster
        .history
        .timestamps(served)
        .iter()
        .filter(|at| **at >= killed)
        .count();
    assert!(
        not_served * 10 <= good,
        "fronts that kept running: {not_served} requests not served, {good} served"
    );
    let worst = max_connections_per_second(&cluster, 24, killed);
    assert!(
        worst <= HANDSHAKES_PER_SECOND as usize + 8,
        "{worst} connections came to one cache in a second after the kill"
    );
    clients.stop();
    cluster.assert_no_violations(3);
}

#[test]
fn newly_listed_node_gets_connections_gradually() {
    let shape = ClusterSize {
        fronts: 24,
        caches: 6,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster_with(shape, Some(&handshake_ramp()), 5);
    let clients = cluster.start_clients(5);
    let any =
        |seen: &Observation| matches!(seen, Observation::Accepted(node) if *node <= 0x100 + 6);
    cluster
        .history
        .wait_for("connections of all fronts to all caches", 24 * 6, any);
    let event_sent = |number: u64| move |seen: &Observation| matches!(seen, Observation::EventSent(_, n) if *n == number);
    let removed = cluster.set_node_state(2, State::Removed);
    cluster
        .history
        .wait_for("removal received by all fronts", 24, event_sent(removed));
    cluster.nodes.set(2, Behavior::Down);
    cluster.wait_served("responses without the cache", 200);
    cluster
        .nodes
        .set(2, Behavior::Respond(Duration::from_millis(1)));
    let (id, before) = (cluster.nodes.all[2].0, cluster.history.now());
    let accepted = |seen: &Observation| *seen == Observation::Accepted(id);
    let had = cluster.history.count(accepted);
    let back = cluster.set_node_state(2, State::Ready);
    cluster
        .history
        .wait_for("return received by all fronts", 24, event_sent(back));
    cluster
        .history
        .wait_for("connections of all fronts", had + 24, accepted);
    let (worst, _) = cluster
        .history
        .max_in_window(before, cluster.history.now(), S, accepted);
    assert!(
        worst <= HANDSHAKES_PER_SECOND as usize + 2,
        "{worst} connections came in one second"
    );
    clients.stop();
    cluster.assert_no_violations(5);
}

#[test]
fn stopped_fleet_and_slow_list_service_violate_no_invariant() {
    let shape = ClusterSize {
        fronts: 12,
        caches: 5,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster(shape, 9);
    let clients = cluster.start_clients(9);
    cluster.wait_served("initial responses", 200);
    let all: Vec<usize> = (0..12).collect();
    cluster.set_stopped(&all, true);
    // The fronts receive these events when they are continued.
    cluster.set_node_state(1, State::Draining);
    cluster.purge(3);
    std::thread::sleep(5 * S);
    cluster.set_stopped(&all, false);
    cluster.wait_served("responses after the stop", 400);
    // An event takes longer than the silence timeout of a front, which keeps its previous list.
    cluster.list_service.set(ServiceMode::ByteByByte);
    cluster.set_node_state(1, State::Ready);
    cluster.wait_served("responses with a slow list service", 600);
    cluster.list_service.set(ServiceMode::Serve);
    let back = cluster.set_node_state(2, State::Draining);
    cluster.history.wait_for(
        "event received by all fronts",
        12,
        |seen| matches!(seen, Observation::EventSent(_, n) if *n == back),
    );
    cluster.wait_served("responses after the faults", 400);
    clients.stop();
    cluster.assert_no_violations(9);
}

fn attempts_to_cache(
    cluster: &TestCluster,
    index: usize,
    fronts: &[usize],
    from: Duration,
) -> usize {
    let id = cluster.nodes.all[index].0;
    // The transaction id contains the front.
    let by = |txn: u64| (txn >> 40) as usize - 1;
    let of = |seen: &Observation| matches!(seen, Observation::Attempt { node, txn, .. } if *node == id && fronts.contains(&by(*txn)));
    cluster
        .history
        .timestamps(of)
        .into_iter()
        .filter(|at| *at >= from)
        .count()
}

/// Attempts of a front for excluded endpoints that were in flight when it adopted the list of its peers, as it logged.
fn in_flight_at_adoption(cluster: &TestCluster, front: usize) -> usize {
    let log = cluster.fleet.log(front);
    // The log contains all starts of the process.
    let (_, after_adoption) = log
        .rsplit_once("the list is taken from peers")
        .expect("the front adopted a list");
    let excluded = after_adoption
        .lines()
        .filter(|line| line.contains("endpoints excluded by the list"));
    let in_flight = excluded.filter_map(|line| line.split_once(" in_flight=")?.1.split(' ').next());
    in_flight.map(|count| count.parse::<usize>().unwrap()).sum()
}

/// Asserts that restarted fronts, which adopted a list before `from`, have sent nothing to a cache that drains in it since.
///
/// An attempt that was in flight at the adoption may arrive later than `from`: a front may have at most as many of them as it
/// logged, and none for a request that was sent to it afterwards.
fn assert_no_attempts_since_adoption(
    cluster: &TestCluster,
    index: usize,
    fronts: &[usize],
    from: Duration,
) {
    for front in fronts {
        let received = attempts_to_cache(cluster, index, &[*front], from);
        let in_flight = in_flight_at_adoption(cluster, *front);
        assert!(
            received <= in_flight,
            "front {front}: the draining cache received {received} attempts, {in_flight} were in flight at the adoption"
        );
    }
    let id = cluster.nodes.all[index].0;
    let history = cluster.history.observations();
    let requests: HashSet<u64> = history
        .iter()
        .filter_map(|(at, seen)| match seen {
            Observation::ClientRequest { front, txn } if *at >= from && fronts.contains(front) => {
                Some(*txn)
            }
            _ => None,
        })
        .collect();
    assert!(!requests.is_empty(), "no request was sent to the fronts");
    let later = history.iter().filter(
        |(_, seen)| matches!(seen, Observation::Attempt { node, txn, .. } if *node == id && requests.contains(txn)),
    );
    assert_eq!(
        later.count(),
        0,
        "the draining cache received attempts of later requests"
    );
}

#[test]
fn list_on_disk_is_used_during_an_outage_and_an_invalid_one_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let settings = json!({"startup": {"snapshots": folder.path()}});
    let shape = ClusterSize {
        fronts: 8,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster_with(shape, Some(&settings), 11);
    let clients = cluster.start_clients(11);
    cluster.wait_served("initial responses", 50);
    let last = cluster.set_node_state(1, State::Draining);
    let file = |front: usize| folder.path().join(format!("n{front}.list"));
    let until = std::time::Instant::now() + cranesill_rig::WAIT_TIMEOUT;
    // The last event is the third word of the second line.
    let number = |text: String| text.lines().nth(1)?.split(' ').nth(2)?.parse::<u64>().ok();
    let has_last_event =
        |front: usize| std::fs::read_to_string(file(front)).ok().and_then(number) == Some(last);
    while !(0..8).all(has_last_event) {
        assert!(
            std::time::Instant::now() < until,
            "not all lists are on disk"
        );
        std::thread::yield_now();
    }
    cluster.list_service.set(ServiceMode::Down);
    let all: Vec<usize> = (0..8).collect();
    cluster.kill(&all);
    // Truncated, of another version, empty, and missing.
    let text = std::fs::read_to_string(file(0)).unwrap();
    std::fs::write(file(0), &text[..text.len() / 2]).unwrap();
    std::fs::write(file(1), text.replacen("v1", "v9", 1)).unwrap();
    std::fs::write(file(2), "").unwrap();
    std::fs::remove_file(file(3)).unwrap();
    let back = cluster.history.now();
    cluster.restart(&all);
    cluster.wait_served("responses without the list service", 400);
    assert_eq!(
        attempts_to_cache(&cluster, 1, &[4, 5, 6, 7], back),
        0,
        "a front with a list on disk used the draining cache"
    );
    assert!(
        attempts_to_cache(&cluster, 1, &[0, 1, 2, 3], back) > 0,
        "fronts without a list on disk did not use the draining cache"
    );
    for front in 0..3 {
        assert!(
            cluster
                .fleet
                .log(front)
                .contains("endpoint list on disk rejected"),
            "{}",
            cluster.fleet.log(front)
        );
    }
    cluster.list_service.set(ServiceMode::Serve);
    let event_sent = |seen: &Observation| matches!(seen, Observation::EventSent(front, n) if *n == last && *front < 4);
    let before = cluster
        .history
        .timestamps(event_sent)
        .iter()
        .filter(|at| **at < back)
        .count();
    cluster.history.wait_for(
        "event received by fronts without a list",
        before + 4,
        event_sent,
    );
    cluster.wait_served("responses with the list service", 200);
    // Fronts with a list ask only for later events, of which there are none.
    let restarted_response =
        |seen: &Observation| matches!(seen, Observation::EventSent(front, _) if *front >= 4);
    assert_eq!(
        cluster
            .history
            .timestamps(restarted_response)
            .into_iter()
            .filter(|at| *at >= back)
            .count(),
        0
    );
    clients.stop();
    cluster.assert_no_violations(11);
}

#[test]
fn restarts_do_not_reset_the_age_of_the_list_on_disk() {
    let folder = tempfile::tempdir().unwrap();
    let settings = json!({"startup": {"snapshots": folder.path(), "serve_snapshot_s": 3}});
    let mut cluster = start_cluster_with(
        ClusterSize {
            fronts: 2,
            caches: 2,
            parents: 1,
            link_groups: 0,
        },
        Some(&settings),
        14,
    );
    let clients = cluster.start_clients(14);
    cluster.purge(3);
    let on_disk = |front: usize| {
        let text = std::fs::read_to_string(folder.path().join(format!("n{front}.list")))
            .unwrap_or_default();
        text.contains("\no ")
    };
    let until = std::time::Instant::now() + cranesill_rig::WAIT_TIMEOUT;
    while !(on_disk(0) && on_disk(1)) {
        assert!(
            std::time::Instant::now() < until,
            "not all lists are on disk"
        );
        std::thread::yield_now();
    }
    let kept = cluster.history.now();
    cluster.list_service.set(ServiceMode::Down);
    let served = |cluster: &TestCluster, front: usize| {
        let log = cluster.fleet.log(front);
        (
            log.matches("endpoint list loaded from disk").count(),
            log.matches("older than may be served from").count(),
        )
    };
    while cluster.history.now() < kept + 5 * S {
        cluster.kill(&[0, 1]);
        cluster.restart(&[0, 1]);
        cluster.wait_served("responses after a restart", 40);
    }
    for front in [0, 1] {
        let (yes, no) = served(&cluster, front);
        assert!(
            yes >= 1 && no >= 1,
            "list on disk used {yes} times, too old {no} times: {}",
            cluster.fleet.log(front)
        );
    }
    clients.stop();
    cluster.assert_no_violations(14);
}

#[test]
fn unwritable_snapshot_folder_causes_only_a_warning() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    let settings = json!({"startup": {"snapshots": file}});
    let shape = ClusterSize {
        fronts: 2,
        caches: 2,
        parents: 1,
        link_groups: 0,
    };
    let mut cluster = start_cluster_with(shape, Some(&settings), 12);
    let clients = cluster.start_clients(12);
    let purge = cluster.purge(3);
    cluster.history.wait_for(
        "event received by both fronts",
        2,
        |seen| matches!(seen, Observation::EventSent(_, n) if *n == purge),
    );
    cluster.wait_served("responses without the snapshot folder", 300);
    for front in 0..2 {
        assert_eq!(
            cluster
                .fleet
                .log(front)
                .matches("cannot write the endpoint list to disk")
                .count(),
            1,
            "{}",
            cluster.fleet.log(front)
        );
    }
    clients.stop();
    cluster.assert_no_violations(12);
}

#[test]
fn restarted_event_numbering_is_followed_by_all_fronts() {
    let shape = ClusterSize {
        fronts: 8,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster_with(shape, Some(&json!({"startup": {"calls_per_s": 20}})), 13);
    let clients = cluster.start_clients(13);
    let last = (0..6).fold(0, |_, item| cluster.purge(item));
    cluster.history.wait_for(
        "event received by all fronts",
        8,
        |seen| matches!(seen, Observation::EventSent(_, n) if *n == last),
    );
    cluster.wait_served("responses before the restart of the service", 100);
    // The service restarts with another list and low event numbers.
    cluster.list_service.set(ServiceMode::Down);
    cluster.list_service.clear_events();
    let new_list = cluster.publish_all(&[(1, State::Draining)]);
    let back = cluster.history.now();
    cluster.list_service.set(ServiceMode::Serve);
    let event_sent =
        |seen: &Observation| matches!(seen, Observation::EventSent(_, n) if *n == new_list);
    let before = cluster
        .history
        .timestamps(event_sent)
        .iter()
        .filter(|at| **at < back)
        .count();
    let at = cluster
        .history
        .wait_for("new list received by all fronts", before + 8, event_sent);
    assert!(
        at - back < 15 * S,
        "new list received after {:?}",
        at - back
    );
    std::thread::sleep(S);
    let applied_at = cluster.history.now();
    cluster.wait_served("responses afterwards", 300);
    assert_eq!(
        attempts_to_cache(&cluster, 1, &(0..8).collect::<Vec<_>>(), applied_at),
        0,
        "a front used the cache that drains in the new list"
    );
    clients.stop();
    // Event numbers now mean other events, so the checks of drains and purges do not apply.
    let broken = cluster
        .violations()
        .into_iter()
        .filter(|b| !["drain", "purge"].contains(&b.rule))
        .count();
    assert_eq!((broken, cluster.fleet.exited()), (0, vec![]));
}

/// Settings of fronts that exchange the list as peers, on unique addresses.
fn peers(fronts: usize, more: &[String], calls_per_s: u32) -> Value {
    // Addresses in 127/8 other than 127.0.0.1 are not used by outgoing connections.
    static FLEETS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let fleet = FLEETS.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let host = format!(
        "127.{}.{}.{}",
        64 + std::process::id() % 64,
        1 + std::process::id() / 64 % 250,
        1 + fleet
    );
    let mut peer_addresses: Vec<String> = (0..fronts).map(|n| format!("{host}:2{n:04}")).collect();
    peer_addresses.extend_from_slice(more);
    json!({"startup": {
        "calls_per_s": calls_per_s, "wait_most_ms": 600_000, "list": "main",
        "peers": {"listen": format!("{host}:2{{nnnn}}"), "ask": peer_addresses, "every_ms": 500}
    }})
}

fn has_list_from_peers(cluster: &TestCluster, front: usize) -> bool {
    cluster
        .fleet
        .log(front)
        .contains("the list is taken from peers")
}

#[test]
fn list_spreads_among_peers_with_few_calls_to_the_service() {
    // With two calls per second, 30 fronts need 15 s to be served by the service itself.
    let shape = ClusterSize {
        fronts: 30,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster_with(shape, Some(&peers(30, &[], 2)), 21);
    cluster.list_service.set(ServiceMode::Down);
    let clients = cluster.start_clients(21);
    cluster.wait_served("responses without the list service", 100);
    // An event that the fronts receive when the service is back.
    cluster.set_node_state(1, State::Draining);
    std::thread::sleep(2 * S);
    let back = cluster.history.now();
    cluster.list_service.set(ServiceMode::Serve);
    let event_sent = |cluster: &TestCluster, front: usize| {
        cluster
            .history
            .count(|s| matches!(s, Observation::EventSent(by, _) if *by == front))
            > 0
    };
    let until = back + 30 * S;
    while !(0..30).all(|front| event_sent(&cluster, front) || has_list_from_peers(&cluster, front))
    {
        assert!(cluster.history.now() < until, "not all hold the list");
        std::thread::sleep(Duration::from_millis(20));
    }
    let all = cluster.history.now();
    let calls = cluster
        .history
        .count(|seen| matches!(seen, Observation::Call));
    let by_peers = (0..30)
        .filter(|front| has_list_from_peers(&cluster, *front))
        .count();
    assert!(
        all - back < 10 * S && by_peers >= 10,
        "list with all fronts after {:?}, {by_peers} of them from peers",
        all - back
    );
    assert!(calls <= 24, "{calls} calls to the service");
    cluster.wait_served("responses afterwards", 200);
    // Fronts with the list of a peer respect its events.
    let from = cluster.history.now();
    cluster.wait_served("further responses", 400);
    assert_eq!(
        attempts_to_cache(&cluster, 1, &(0..30).collect::<Vec<_>>(), from),
        0
    );
    clients.stop();
    cluster.assert_no_violations(21);
}

/// Writes the answer of a faulty peer, based on the text of a valid list.
type BadPeer = Box<dyn Fn(&mut std::net::TcpStream, &str) + Send>;

#[test]
fn lists_of_faulty_peers_are_not_used() {
    use std::io::{Read, Write};
    let good = std::sync::Arc::new(std::sync::Mutex::new(String::new()));
    let sealed = |body: String| {
        format!(
            "cranesill list v1 {:08x}\n{body}",
            crc32fast::hash(body.as_bytes())
        )
    };
    let body = |text: &str| {
        text.split_once('\n')
            .map_or("", |found| found.1)
            .to_string()
    };
    let bad_peers: Vec<BadPeer> = vec![
        // A valid checksum over a future event number with all nodes draining.
        Box::new(move |socket, text| {
            let text = body(text)
                .replacen(" 3 ", " 999 ", 1)
                .replace(" 0 1 0 ", " 1 1 0 ");
            let _ = socket.write_all(sealed(text).as_bytes());
        }),
        Box::new(move |socket, text| {
            for byte in text.bytes() {
                std::thread::sleep(Duration::from_millis(100));
                if socket.write_all(&[byte]).is_err() {
                    return;
                }
            }
        }),
        Box::new(|socket, _| while socket.write_all(&[b'x'; 65_536]).is_ok() {}),
        Box::new(|socket, text| drop(socket.write_all(&text.as_bytes()[..text.len() / 2]))),
    ];
    let mut addresses = Vec::new();
    for bad_peer in bad_peers {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        addresses.push(listener.local_addr().unwrap().to_string());
        let good = std::sync::Arc::clone(&good);
        std::thread::spawn(move || {
            for mut socket in listener.incoming().map_while(Result::ok) {
                let text = good.lock().unwrap().clone();
                if socket.read_exact(&mut [0; 8]).is_ok() {
                    bad_peer(&mut socket, &text);
                }
            }
        });
    }
    let shape = ClusterSize {
        fronts: 6,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let settings = peers(6, &addresses, 50);
    let peer_addresses: Vec<String> =
        serde_json::from_value(settings["startup"]["peers"]["ask"].clone()).unwrap();
    let mut cluster = start_cluster_with(shape, Some(&settings), 22);
    let clients = cluster.start_clients(22);
    cluster.purge(9);
    let last = cluster.set_node_state(1, State::Draining);
    assert_eq!(last, 3);
    let event_sent = |cluster: &TestCluster, front: usize| {
        cluster.history.count(
            |seen| matches!(seen, Observation::EventSent(by, n) if *by == front && *n == last),
        ) > 0
    };
    let until = std::time::Instant::now() + cranesill_rig::WAIT_TIMEOUT;
    while !(0..6).all(|front| event_sent(&cluster, front) || has_list_from_peers(&cluster, front)) {
        assert!(std::time::Instant::now() < until, "not all hold the list");
        std::thread::sleep(Duration::from_millis(20));
    }
    // The faulty peers derive their answers from a valid list.
    while !good.lock().unwrap().contains(" 3 ") {
        assert!(
            std::time::Instant::now() < until,
            "no front serves its list to peers"
        );
        let mut socket = std::net::TcpStream::connect(&peer_addresses[2]).unwrap();
        socket.write_all(&[0; 8]).unwrap();
        let mut text = String::new();
        socket.read_to_string(&mut text).unwrap();
        *good.lock().unwrap() = text;
    }
    cluster.list_service.set(ServiceMode::Down);
    cluster.kill(&[0, 1]);
    let had = [0, 1].map(|front| {
        cluster
            .fleet
            .log(front)
            .matches("the list is taken from peers")
            .count()
    });
    cluster.restart(&[0, 1]);
    let restarted_response = |cluster: &TestCluster, front: usize| {
        cluster
            .fleet
            .log(front)
            .matches("the list is taken from peers")
            .count()
            > had[front]
    };
    while !(restarted_response(&cluster, 0) && restarted_response(&cluster, 1)) {
        assert!(
            std::time::Instant::now() < until,
            "{}\n{}",
            cluster.fleet.log(0),
            cluster.fleet.log(1)
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let from = cluster.history.now();
    cluster.wait_served("responses with the list of peers", 300);
    assert_no_attempts_since_adoption(&cluster, 1, &[0, 1], from);
    assert!(
        attempts_to_cache(&cluster, 0, &[0, 1], from) > 0,
        "the ready cache received no attempts"
    );
    for front in 0..6 {
        let log = cluster.fleet.log(front);
        assert!(!log.contains("event=999"), "{log}");
    }
    clients.stop();
    cluster.assert_no_violations(22);
}

#[test]
fn rolling_restart_with_a_slow_list_service_does_not_affect_other_fronts() {
    let shape = ClusterSize {
        fronts: 20,
        caches: 6,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster_with(shape, Some(&handshake_ramp()), 31);
    let clients = cluster.start_clients(31);
    cluster.wait_served("initial responses", 200);
    cluster.list_service.set(ServiceMode::ByteByByte);
    cluster.purge(4);
    for tenth in 0..10 {
        let some = [2 * tenth, 2 * tenth + 1];
        let from = cluster.history.now();
        cluster.kill(&some);
        cluster.restart(&some);
        for front in some {
            let restarted_response = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, 1) if *by == front);
            let before = cluster
                .history
                .timestamps(restarted_response)
                .iter()
                .filter(|at| **at < from)
                .count();
            cluster.history.wait_for(
                "response of a restarted front",
                before + 1,
                restarted_response,
            );
        }
        let others = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, code) if !some.contains(by) && *code != 1);
        let bad = cluster
            .history
            .timestamps(others)
            .into_iter()
            .filter(|at| *at >= from)
            .count();
        assert!(
            bad <= 2,
            "{bad} requests of other fronts were not served during the restart of {some:?}"
        );
    }
    cluster.list_service.set(ServiceMode::Serve);
    cluster.wait_served("responses afterwards", 200);
    clients.stop();
    cluster.assert_no_violations(31);
}

#[test]
fn fronts_cut_off_from_some_nodes_serve_from_the_others() {
    let shape = ClusterSize {
        fronts: 8,
        caches: 6,
        parents: 2,
        link_groups: 2,
    };
    let mut cluster = start_cluster(shape, 33);
    // With few connections, one timeout after another, the fronts detect the cut later.
    cluster.load.connections_per_front = 8;
    let clients = cluster.start_clients(33);
    cluster.wait_served("initial responses", 200);
    for (there, back) in [
        (Transmission::Cut, Transmission::Cut),
        (Transmission::Pass, Transmission::Cut),
        (Transmission::Cut, Transmission::Pass),
    ] {
        let from = cluster.history.now();
        (0..3).for_each(|index| cluster.set_node_link(1, index, Some((there, back))));
        // Fronts that are cut off detect it by their own requests and use the reachable nodes.
        for front in [1, 3, 5, 7] {
            let served = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, 1) if *by == front);
            let before = cluster.history.count(served);
            cluster
                .history
                .wait_for("responses of a front that is cut off", before + 30, served);
        }
        let others = |seen: &Observation| matches!(seen, Observation::ClientResponse(by, _, code) if by % 2 == 0 && *code != 1);
        let bad = cluster
            .history
            .timestamps(others)
            .into_iter()
            .filter(|at| *at >= from)
            .count();
        assert!(
            bad <= 2,
            "{bad} requests of fronts that reach all nodes were not served"
        );
        (0..3).for_each(|index| cluster.set_node_link(1, index, None));
        cluster.wait_served("responses after healing", 200);
    }
    clients.stop();
    cluster.assert_no_violations(33);
}

#[test]
fn unreachable_peers_do_not_delay_the_list() {
    let shape = ClusterSize {
        fronts: 6,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut settings = peers(6, &[], 50);
    let mut peer_addresses: Vec<String> =
        serde_json::from_value(settings["startup"]["peers"]["ask"].clone()).unwrap();
    // The link to front 1 passes nothing back, the one to front 2 nothing forward.
    let links = [1, 2].map(|front: usize| Link::new(peer_addresses[front].parse().unwrap()));
    (peer_addresses[1], peer_addresses[2]) =
        (links[0].address.to_string(), links[1].address.to_string());
    settings["startup"]["peers"]["ask"] = json!(peer_addresses);
    let mut cluster = start_cluster_with(shape, Some(&settings), 41);
    let clients = cluster.start_clients(41);
    let last = cluster.set_node_state(1, State::Draining);
    let has_event = |cluster: &TestCluster, front: usize, times: usize| {
        let event_sent = |seen: &Observation| matches!(seen, Observation::EventSent(by, n) if *by == front && *n == last);
        let by_peers = cluster
            .fleet
            .log(front)
            .matches("the list is taken from peers")
            .count();
        cluster.history.count(event_sent) + by_peers > times
    };
    let until = std::time::Instant::now() + cranesill_rig::WAIT_TIMEOUT;
    let wait = |cluster: &TestCluster, front: usize, times: usize| {
        while !has_event(cluster, front, times) {
            assert!(
                std::time::Instant::now() < until,
                "front {front}: {}",
                cluster.fleet.log(front)
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    (0..6).for_each(|front| wait(&cluster, front, 0));
    cluster.list_service.set(ServiceMode::Down);
    links[0].set(Transmission::Pass, Transmission::Cut);
    links[1].set(Transmission::Cut, Transmission::Pass);
    cluster.set_stopped(&[3], true);
    let stopped = cluster.history.now();
    // Only fronts 4 and 5 can serve the list; a restarted front has only its configuration.
    let count = |cluster: &TestCluster, front: usize| {
        let event_sent = |seen: &Observation| matches!(seen, Observation::EventSent(by, n) if *by == front && *n == last);
        cluster.history.count(event_sent)
            + cluster
                .fleet
                .log(front)
                .matches("the list is taken from peers")
                .count()
    };
    let had = count(&cluster, 0);
    cluster.kill(&[0]);
    cluster.restart(&[0]);
    wait(&cluster, 0, had);
    let from = cluster.history.now();
    cluster.wait_served("responses with the list of peers", 200);
    assert_no_attempts_since_adoption(&cluster, 1, &[0], from);
    std::thread::sleep((stopped + 10 * S).saturating_sub(cluster.history.now()));
    cluster.set_stopped(&[3], false);
    // The continued front serves its list again.
    links.iter().for_each(Link::heal);
    let had = count(&cluster, 4);
    cluster.kill(&[4, 5]);
    cluster.restart(&[4, 5]);
    wait(&cluster, 4, had);
    cluster.wait_served("responses after the faults", 200);
    clients.stop();
    cluster.assert_no_violations(41);
}
