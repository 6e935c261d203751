//! Fleets with different wall clocks and with disk faults under load violate no invariant.
use cranesill_rig::{ClusterSize, Observation, ServiceMode, State, TestCluster};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn start_cluster(
    shape: ClusterSize,
    settings: Option<&Value>,
    clocks: &[i64],
    seed: u64,
) -> TestCluster {
    let base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    TestCluster::start_with_clocks(
        Path::new(env!("CARGO_BIN_EXE_cranesill")),
        shape,
        &base,
        settings,
        clocks,
        seed,
    )
}

/// Offsets of the fronts' wall clocks in milliseconds.
const CLOCK_OFFSETS_MS: [i64; 6] = [0, 9_000, -9_000, 3_600_000, -3_600_000, 450];

#[test]
fn purges_and_drains_are_kept_by_fronts_with_different_wall_clocks() {
    let shape = ClusterSize {
        fronts: 6,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster(shape, None, &CLOCK_OFFSETS_MS, 21);
    let clients = cluster.start_clients(21);
    cluster.wait_served("initial responses", 200);
    for round in 0..4 {
        for item in 0..50 {
            cluster.purge(item);
            cluster.wait_served("responses during purges", 12);
        }
        let drained = cluster.set_node_state(round % 4, State::Draining);
        cluster.history.wait_for(
            "event received by all fronts",
            6,
            |seen| matches!(seen, Observation::EventSent(_, n) if *n == drained),
        );
        cluster.wait_served("responses after a drain", 120);
        cluster.set_node_state(round % 4, State::Ready);
    }
    for (front, ahead) in CLOCK_OFFSETS_MS.iter().enumerate() {
        let clock_warnings = cluster
            .fleet
            .log(front)
            .matches("this clock is far from that of the list service")
            .count();
        assert_eq!(
            clock_warnings,
            usize::from(ahead.abs() > 5_000),
            "{}",
            cluster.fleet.log(front)
        );
    }
    clients.stop();
    cluster.assert_no_violations(21);
}

/// Waits for a condition that no stand-in observes.
fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + cranesill_rig::WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        std::thread::yield_now();
    }
}

fn list_file(cluster: &TestCluster, front: usize) -> String {
    std::fs::read_to_string(cluster.fleet.disk_dir().join(format!("n{front}.list")))
        .unwrap_or_default()
}

/// Number of the last event in a front's list on disk, the third word of its second line.
fn revision_on_disk(cluster: &TestCluster, front: usize) -> Option<u64> {
    list_file(cluster, front)
        .lines()
        .nth(1)?
        .split(' ')
        .nth(2)?
        .parse()
        .ok()
}

#[test]
fn lists_from_disk_and_from_peers_keep_purges_despite_different_wall_clocks() {
    // An address for this test only; the ports contain the numbers of the fronts.
    let host = format!(
        "127.{}.{}.22",
        1 + std::process::id() / 250 % 200,
        1 + std::process::id() % 250
    );
    let ask: Vec<_> = (0..6).map(|n| format!("{host}:2{n:04}")).collect();
    let peers = json!({"listen": format!("{host}:2{{nnnn}}"), "ask": ask, "every_ms": 200});
    let settings = json!({"startup": {"snapshots": "{disk}", "calls_per_s": 20, "list": "main", "peers": peers}});
    let shape = ClusterSize {
        fronts: 6,
        caches: 4,
        parents: 2,
        link_groups: 1,
    };
    let mut cluster = start_cluster(shape, Some(&settings), &CLOCK_OFFSETS_MS, 22);
    cluster.keep_lists_on_disk();
    // With many objects some copies from before a purge remain until the kill.
    cluster.load.objects = 400;
    let clients = cluster.start_clients(22);
    cluster.wait_served("initial responses", 1_200);
    for round in 0..2 {
        // Five fronts receive all events and are killed; the sixth gets them from those.
        cluster.set_feed_link(
            5,
            Some((
                cranesill_rig::Transmission::Cut,
                cranesill_rig::Transmission::Cut,
            )),
        );
        let last = (0..400).fold(0, |_, item| cluster.purge(item));
        wait_until("event in all lists on disk", || {
            (0..5).all(|front| revision_on_disk(&cluster, front) == Some(last))
        });
        cluster.list_service.set(ServiceMode::Down);
        cluster.kill(&[0, 1, 2, 3, 4]);
        cluster.restart(&[0, 1, 2, 3, 4]);
        cluster.wait_served("responses with lists from disk", 300);
        // Events from before the kill apply again, as they were on disk.
        for front in 0..5 {
            let log = cluster.fleet.log(front);
            assert!(
                log.matches("endpoint list loaded from disk").count() > round,
                "{log}"
            );
        }
        wait_until("list of front 5 from its peers", || {
            cluster
                .fleet
                .log(5)
                .matches("the list is taken from peers")
                .count()
                > round
        });
        cluster.wait_served("responses with lists from peers", 100);
        cluster.set_feed_link(5, None);
        cluster.list_service.set(ServiceMode::Serve);
        let before = cluster.set_node_state(1, State::Ready);
        // From the service or from peers.
        wait_until("last event on all disks", || {
            (0..6).all(|front| revision_on_disk(&cluster, front) == Some(before))
        });
    }
    clients.stop();
    cluster.assert_no_violations(22);
}

#[test]
fn disk_faults_cause_one_warning_and_the_list_is_saved_after_recovery() {
    // Disks: 0 full from the start, 1 full in service, 2 sync errors, 3 syncs of two seconds, 4 without faults.
    let settings = json!({"startup": {"snapshots": "{disk}"}});
    let shape = ClusterSize {
        fronts: 5,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster(shape, Some(&settings), &[], 23);
    cluster.keep_lists_on_disk();
    cluster.fleet.injectors[0].set_disk_faults(true, false);
    cluster.kill(&[0]);
    cluster.restart(&[0]);
    let clients = cluster.start_clients(23);
    cluster.wait_served("initial responses", 100);
    let event_sent = |last: u64| move |seen: &Observation| matches!(seen, Observation::EventSent(_, n) if *n == last);
    let first = cluster.set_node_state(1, State::Draining);
    cluster
        .history
        .wait_for("event received by all fronts", 5, event_sent(first));
    wait_until("event in all lists on disk", || {
        (1..5).all(|front| revision_on_disk(&cluster, front) == Some(first))
    });
    cluster.fleet.injectors[1].set_disk_faults(true, false);
    cluster.fleet.injectors[2].set_disk_faults(false, true);
    cluster.fleet.injectors[3].set_sync_delay(std::time::Duration::from_secs(2));
    let second = cluster.set_node_state(2, State::Draining);
    cluster
        .history
        .wait_for("event received by all fronts", 5, event_sent(second));
    cluster.wait_served("responses during disk faults", 600);
    let warnings = |cluster: &TestCluster, front: usize| {
        cluster
            .fleet
            .log(front)
            .matches("cannot write the endpoint list to disk")
            .count()
    };
    wait_until("list on the slow and the unimpaired disk", || {
        [3, 4]
            .iter()
            .all(|front| revision_on_disk(&cluster, *front) == Some(second))
    });
    wait_until("one warning of each front with a faulty disk", || {
        (0..3).all(|front| warnings(&cluster, front) == 1)
    });
    // A failed write keeps the previous list.
    let saved = [None, Some(first), Some(first)];
    assert_eq!(
        [0, 1, 2].map(|front| revision_on_disk(&cluster, front)),
        saved
    );
    let temporary_files = |cluster: &TestCluster| {
        let files = std::fs::read_dir(cluster.fleet.disk_dir())
            .unwrap()
            .flatten();
        files
            .filter(|file| file.file_name().to_string_lossy().ends_with(".tmp"))
            .count()
    };
    wait_until("temporary files removed", || temporary_files(&cluster) == 0);
    (0..3).for_each(|front| cluster.fleet.injectors[front].set_disk_faults(false, false));
    cluster.wait_served("responses after disk faults", 200);
    wait_until("list on all disks", || {
        (0..5).all(|front| revision_on_disk(&cluster, front) == Some(second))
    });
    assert_eq!(
        [0, 1, 2].map(|front| warnings(&cluster, front)),
        [1, 1, 1],
        "one warning each"
    );
    // Restarted without the service, the fronts use the saved lists.
    cluster.list_service.set(ServiceMode::Down);
    cluster.kill(&[0, 1, 2, 3, 4]);
    cluster.restart(&[0, 1, 2, 3, 4]);
    cluster.wait_served("responses with lists from disk", 400);
    clients.stop();
    cluster.assert_no_violations(23);
}

#[test]
fn warming_cache_is_not_overloaded_by_the_fleet() {
    // Twelve fronts send more than a cold cache can serve. The cache is replaced twice, the second time while half of the fleet
    // reaches it over a delayed link and a quarter of the fleet restarts.
    let clocks: Vec<i64> = (0..12).map(|front| CLOCK_OFFSETS_MS[front % 6]).collect();
    let shape = ClusterSize {
        fronts: 12,
        caches: 3,
        parents: 2,
        link_groups: 2,
    };
    let mut cluster = start_cluster(shape, None, &clocks, 24);
    cluster.load.pause = std::time::Duration::from_millis(5);
    let clients = cluster.start_clients(24);
    cluster.wait_served("initial responses", 500);
    // Fronts determine their clock offset from the times of purges.
    for item in 0..5 {
        cluster.purge(item);
    }
    let event_sent = |last: u64| move |seen: &Observation| matches!(seen, Observation::EventSent(_, n) if *n == last);
    for round in 0..2 {
        let removed = cluster.set_node_state(1, State::Removed);
        cluster
            .history
            .wait_for("removal received by all fronts", 12, event_sent(removed));
        cluster.nodes.set(1, cranesill_rig::Behavior::Down);
        cluster.wait_served("responses without the cache", 500);
        cluster.nodes.set(
            1,
            cranesill_rig::Behavior::Respond(std::time::Duration::from_millis(1)),
        );
        if round == 1 {
            let late = cranesill_rig::Transmission::Delay(std::time::Duration::from_millis(100));
            cluster.set_node_link(0, 1, Some((late, late)));
        }
        let id = cluster.nodes.all[1].0;
        let of = move |seen: &Observation| matches!(seen, Observation::Attempt { node, .. } if *node == id);
        let before = cluster.history.count(of);
        let back = cluster.mark_started(1);
        cluster
            .history
            .wait_for("start event received by all fronts", 12, event_sent(back));
        if round == 1 {
            cluster.kill(&[3, 4, 5]);
            cluster.restart(&[3, 4, 5]);
        }
        cluster.wait_served("responses while the cache warms up", 3_000);
        assert!(
            cluster.history.count(of) > before + 20,
            "the warming cache received too few requests"
        );
        cluster.set_node_link(0, 1, None);
    }
    clients.stop();
    cluster.assert_no_violations(24);
}

#[test]
fn nodes_with_connection_limits_are_redialled_with_backoff() {
    let shape = ClusterSize {
        fronts: 12,
        caches: 4,
        parents: 2,
        link_groups: 2,
    };
    let mut cluster = start_cluster(shape, None, &[], 25);
    let clients = cluster.start_clients(25);
    cluster.wait_served("initial responses", 300);
    // Each node now accepts five connections; a reset makes all fronts reconnect at once.
    (0..4).for_each(|index| {
        cluster
            .nodes
            .set(index, cranesill_rig::Behavior::LimitConnections(5))
    });
    let began = cluster.history.now();
    (0..2).for_each(|group| (0..4).for_each(|index| cluster.reset_connections(group, index)));
    cluster.wait_served("responses with limited connections", 3_000);
    let (end, s) = (cluster.history.now(), std::time::Duration::from_secs(1));
    for (id, _) in &cluster.nodes.all[..4] {
        let rejected = |seen: &Observation| *seen == Observation::ConnectionRejected(*id);
        let (first, _) = cluster.history.max_in_window(began, end, s, rejected);
        let (later, _) = cluster
            .history
            .max_in_window(began + 2 * s, end, s, rejected);
        // Seven of twelve fronts are rejected, retry a few times and then back off with growing intervals.
        assert!(
            first <= 60 && later <= 12,
            "node {id:x} rejected {first} connections in one second, {later} after the first two seconds"
        );
    }
    let answered = |wanted: fn(u8) -> bool| {
        let of = |seen: &Observation| matches!(seen, Observation::ClientResponse(_, _, code) if wanted(*code));
        cluster
            .history
            .timestamps(of)
            .into_iter()
            .filter(|at| *at > began)
            .count()
    };
    let (good, bad) = (answered(|code| code == 1), answered(|code| code != 1));
    assert!(bad * 100 <= good, "{bad} were not served, {good} were");
    // Without the limit each front uses all nodes again.
    let back = cluster.history.now();
    (0..4).for_each(|index| {
        cluster
            .nodes
            .set(index, cranesill_rig::Behavior::Respond(s / 1_000))
    });
    for front in 0..12 {
        for (id, _) in &cluster.nodes.all[..4] {
            let of = move |seen: &Observation| matches!(seen, Observation::Attempt { node, txn, .. } if node == id && (txn >> 40) as usize == front + 1);
            let before = cluster
                .history
                .timestamps(of)
                .iter()
                .filter(|at| **at < back)
                .count();
            cluster
                .history
                .wait_for("attempt of each front at each node", before + 1, of);
        }
    }
    clients.stop();
    cluster.assert_no_violations(25);
}

/// Offsets to which the wall clock is stepped, in milliseconds.
const CLOCK_STEPS_MS: [i64; 4] = [5_000, -5_000, 3_600_000, -3_600_000];

#[test]
fn wall_clock_steps_lose_no_purge() {
    let settings = json!({"startup": {"snapshots": "{disk}"}});
    let shape = ClusterSize {
        fronts: 4,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster(shape, Some(&settings), &[], 26);
    cluster.keep_lists_on_disk();
    cluster.load.objects = 200;
    let clients = cluster.start_clients(26);
    cluster.wait_served("initial responses", 800);
    let all = [0, 1, 2, 3];
    for step in CLOCK_STEPS_MS {
        let first = (0..100).fold(0, |_, item| cluster.purge(item));
        wait_until("purges before the step on disk", || {
            all.iter()
                .all(|front| revision_on_disk(&cluster, *front) >= Some(first))
        });
        all.iter()
            .for_each(|front| cluster.fleet.injectors[*front].set_clock_offset(step));
        let last = (100..200).fold(0, |_, item| cluster.purge(item));
        wait_until("purges after the step on disk", || {
            all.iter()
                .all(|front| revision_on_disk(&cluster, *front) >= Some(last))
        });
        // After the restart a front has only the events from both sides of the step.
        cluster.list_service.set(ServiceMode::Down);
        cluster.kill(&all);
        cluster.restart(&all);
        cluster.wait_served("responses with lists from disk", 300);
        cluster.list_service.set(ServiceMode::Serve);
        cluster.wait_served("responses with the list service", 100);
    }
    clients.stop();
    cluster.assert_no_violations(26);
}

/// Sends an operator command to front 0; an error is the text of its answer.
fn operator(cluster: &TestCluster, command: &Value) -> Result<Value, String> {
    let path = cluster.fleet.disk_dir().join("control");
    wait_until("control socket accepts connections", || {
        UnixStream::connect(&path).is_ok()
    });
    let mut socket = UnixStream::connect(&path).unwrap();
    socket.write_all(format!("{command}\n").as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(socket).read_line(&mut line).unwrap();
    let answer: Value = serde_json::from_str(&line).unwrap();
    match answer.get("ok") {
        Some(ok) => Ok(ok.clone()),
        None => Err(answer["error"].to_string()),
    }
}

fn purge(cluster: &TestCluster, id: &str) -> Result<Value, String> {
    operator(
        cluster,
        &json!({"word": "purge", "args": {"group": 1, "id": id}}),
    )
}

/// Purges in the log with id and time, latest first.
fn logged_purges(cluster: &TestCluster) -> Vec<(String, u64)> {
    let answer = operator(cluster, &json!({"word": "purges", "args": {}})).unwrap();
    let row = |row: &Value| {
        (
            row["id"].as_str().unwrap().to_string(),
            row["at_ms"].as_u64().unwrap(),
        )
    };
    answer["purges"]
        .as_array()
        .unwrap()
        .iter()
        .map(row)
        .collect()
}

/// Starts one front with a purge log on the disk with fault injection; its wall clock is ahead by `ahead_ms`.
fn start_with_purge_log(ahead_ms: i64, seed: u64) -> TestCluster {
    let purges = json!({"file": "{disk}/purges", "horizon_s": 60});
    let settings = json!({"purges": purges, "control": {"path": "{disk}/control"}});
    start_cluster(
        ClusterSize {
            fronts: 1,
            caches: 2,
            parents: 1,
            link_groups: 0,
        },
        Some(&settings),
        &[ahead_ms],
        seed,
    )
}

#[test]
fn operator_purges_have_correct_times_and_retention_after_wall_clock_steps() {
    let cluster = start_with_purge_log(0, 27);
    let began = Instant::now();
    for (n, step) in CLOCK_STEPS_MS.iter().enumerate() {
        cluster.fleet.injectors[0].set_clock_offset(*step);
        let sent_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        purge(&cluster, &n.to_string()).unwrap();
        let (id, at) = logged_purges(&cluster)[0].clone();
        assert_eq!(id, n.to_string());
        assert!(
            at.abs_diff(sent_ms) < 2_000,
            "clock offset {step} ms: purge dated {at}, sent at {sent_ms}"
        );
    }
    // One hour ahead, the sweep that runs every ten seconds must not remove purges within the horizon of one minute.
    cluster.fleet.injectors[0].set_clock_offset(3_600_000);
    std::thread::sleep(Duration::from_secs(12));
    assert!(began.elapsed() < Duration::from_secs(60));
    assert!(
        logged_purges(&cluster).len() >= CLOCK_STEPS_MS.len(),
        "{:?}",
        logged_purges(&cluster)
    );
}

#[test]
fn front_started_an_hour_behind_does_not_date_purges_too_early() {
    // The clock is corrected after the start; times from the list service reveal the initial offset.
    let cluster = start_with_purge_log(-3_600_000, 29);
    let last = cluster.purge(1);
    // The list service records an event before it has sent the last byte, so the front is asked.
    wait_until("event received by the front", || {
        let status = operator(&cluster, &json!({"word": "status"})).unwrap();
        status["list"]["last_event"].as_u64() == Some(last)
    });
    cluster.fleet.injectors[0].set_clock_offset(0);
    let sent_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    purge(&cluster, "after the event").unwrap();
    let (_, at) = logged_purges(&cluster)[0].clone();
    // The event's delay remains as an error, which the permitted skew covers.
    assert!(at + 500 > sent_ms, "purge dated {at}, sent at {sent_ms}");
}

#[test]
fn purge_is_confirmed_only_once_durable_and_the_log_recovers_with_the_disk() {
    for (full, unsynced) in [(true, false), (false, true)] {
        let mut cluster = start_with_purge_log(0, 28);
        purge(&cluster, "before").unwrap();
        cluster.fleet.injectors[0].set_disk_faults(full, unsynced);
        assert!(purge(&cluster, "first")
            .is_err_and(|error| error.contains("could not be written to the journal")));
        assert!(purge(&cluster, "second").is_err());
        cluster.fleet.injectors[0].set_disk_faults(false, false);
        // A successful sync does not cover data written before a failed one.
        wait_until("purge log writable again", || {
            purge(&cluster, "first").is_ok()
        });
        purge(&cluster, "third").unwrap();
        cluster.kill(&[0]);
        cluster.restart(&[0]);
        let ids: Vec<_> = logged_purges(&cluster)
            .into_iter()
            .map(|row| row.0)
            .collect();
        for id in ["before", "first", "third"] {
            assert_eq!(
                ids.iter().filter(|saved| *saved == id).count(),
                1,
                "purge {id} not exactly once in {ids:?}"
            );
        }
        assert!(
            !cluster.fleet.log(0).contains("damaged"),
            "{}",
            cluster.fleet.log(0)
        );
    }
}
