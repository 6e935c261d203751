//! Many processes of the program on injectors whose clocks differ and whose disks fail, under load, with faults between them.
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

/// Milliseconds by which the fronts' wall clocks are ahead.
const CLOCKS: [i64; 6] = [0, 9_000, -9_000, 3_600_000, -3_600_000, 450];

#[test]
fn purges_and_drains_are_kept_by_fronts_with_different_wall_clocks() {
    let shape = ClusterSize {
        fronts: 6,
        caches: 4,
        parents: 2,
        link_groups: 0,
    };
    let mut cluster = start_cluster(shape, None, &CLOCKS, 21);
    let clients = cluster.start_clients(21);
    cluster.wait_served("the first answers", 200);
    for round in 0..4 {
        for item in 0..50 {
            cluster.purge(item);
            cluster.wait_served("answers under purges", 12);
        }
        let drained = cluster.set_node_state(round % 4, State::Draining);
        cluster.history.wait_for(
            "all are told",
            6,
            |seen| matches!(seen, Observation::EventSent(_, n) if *n == drained),
        );
        cluster.wait_served("answers after a drain", 120);
        cluster.set_node_state(round % 4, State::Ready);
    }
    for (front, ahead) in CLOCKS.iter().enumerate() {
        let told = cluster
            .fleet
            .log(front)
            .matches("this clock is far from that of the list service")
            .count();
        assert_eq!(
            told,
            usize::from(ahead.abs() > 5_000),
            "{}",
            cluster.fleet.log(front)
        );
    }
    clients.stop();
    cluster.assert_no_violations(21);
}

/// Waits until something holds that no stand-in can see.
fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let guard = Instant::now() + cranesill_rig::WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < guard, "never came: {what}");
        std::thread::yield_now();
    }
}

fn list_file(cluster: &TestCluster, front: usize) -> String {
    std::fs::read_to_string(cluster.fleet.disk_dir().join(format!("n{front}.list")))
        .unwrap_or_default()
}

/// The last event in a list on disk: its second line names the list, the event, and when.
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
    // An address of this test's own: ports are the fronts' numbers.
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
    let mut cluster = start_cluster(shape, Some(&settings), &CLOCKS, 22);
    cluster.keep_lists_on_disk();
    // So many that not all are fetched anew between a purge and a kill.
    cluster.load.objects = 400;
    let clients = cluster.start_clients(22);
    cluster.wait_served("the first answers", 1_200);
    for round in 0..2 {
        // Five hear of it all and are killed; the sixth does not, and learns it from them.
        cluster.set_feed_link(
            5,
            Some((
                cranesill_rig::Transmission::Cut,
                cranesill_rig::Transmission::Cut,
            )),
        );
        let last = (0..400).fold(0, |_, item| cluster.purge(item));
        wait_until("lists on disk", || {
            (0..5).all(|front| revision_on_disk(&cluster, front) == Some(last))
        });
        cluster.list_service.set(ServiceMode::Down);
        cluster.kill(&[0, 1, 2, 3, 4]);
        cluster.restart(&[0, 1, 2, 3, 4]);
        cluster.wait_served("answers by lists on disk", 300);
        // What was told before a kill counts again: it lay on disk.
        for front in 0..5 {
            let log = cluster.fleet.log(front);
            assert!(
                log.matches("the list is served from disk").count() > round,
                "{log}"
            );
        }
        wait_until("the sixth has the list of others", || {
            cluster
                .fleet
                .log(5)
                .matches("the list is taken from peers")
                .count()
                > round
        });
        cluster.wait_served("answers by lists of others", 100);
        cluster.set_feed_link(5, None);
        cluster.list_service.set(ServiceMode::Serve);
        let before = cluster.set_node_state(1, State::Ready);
        // By the service or by one another.
        wait_until("all hold the last event", || {
            (0..6).all(|front| revision_on_disk(&cluster, front) == Some(before))
        });
    }
    clients.stop();
    cluster.assert_no_violations(22);
}

#[test]
fn disk_faults_cause_one_warning_and_the_list_is_saved_after_recovery() {
    // A: full from the start. B: full in service. C: syncs fail. D: each sync takes two seconds. E: well.
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
    cluster.wait_served("the first answers", 100);
    let told = |last: u64| move |seen: &Observation| matches!(seen, Observation::EventSent(_, n) if *n == last);
    let first = cluster.set_node_state(1, State::Draining);
    cluster.history.wait_for("all are told", 5, told(first));
    wait_until("lists on disk", || {
        (1..5).all(|front| revision_on_disk(&cluster, front) == Some(first))
    });
    cluster.fleet.injectors[1].set_disk_faults(true, false);
    cluster.fleet.injectors[2].set_disk_faults(false, true);
    cluster.fleet.injectors[3].set_sync_delay(std::time::Duration::from_secs(2));
    let second = cluster.set_node_state(2, State::Draining);
    cluster.history.wait_for("all are told", 5, told(second));
    cluster.wait_served("answers while disks fail", 600);
    let warnings = |cluster: &TestCluster, front: usize| {
        cluster.fleet.log(front).matches("be kept on disk").count()
    };
    wait_until("the slow disk has it", || {
        [3, 4]
            .iter()
            .all(|front| revision_on_disk(&cluster, *front) == Some(second))
    });
    wait_until("three warnings", || {
        (0..3).all(|front| warnings(&cluster, front) == 1)
    });
    // What can't be kept leaves what was kept before: whole, and older.
    let held = [None, Some(first), Some(first)];
    assert_eq!(
        [0, 1, 2].map(|front| revision_on_disk(&cluster, front)),
        held
    );
    let left = |cluster: &TestCluster| {
        let files = std::fs::read_dir(cluster.fleet.disk_dir())
            .unwrap()
            .flatten();
        files
            .filter(|file| file.file_name().to_string_lossy().ends_with(".tmp"))
            .count()
    };
    wait_until("nothing half written is left", || left(&cluster) == 0);
    (0..3).for_each(|front| cluster.fleet.injectors[front].set_disk_faults(false, false));
    cluster.wait_served("answers once disks are well", 200);
    wait_until("all have it on disk", || {
        (0..5).all(|front| revision_on_disk(&cluster, front) == Some(second))
    });
    assert_eq!(
        [0, 1, 2].map(|front| warnings(&cluster, front)),
        [1, 1, 1],
        "each is told once"
    );
    // All start anew while the service is down: what they kept is heeded.
    cluster.list_service.set(ServiceMode::Down);
    cluster.kill(&[0, 1, 2, 3, 4]);
    cluster.restart(&[0, 1, 2, 3, 4]);
    cluster.wait_served("answers by lists on disk", 400);
    clients.stop();
    cluster.assert_no_violations(23);
}

#[test]
fn warming_cache_is_not_overloaded_by_the_fleet() {
    // Twelve fronts on three caches, far more requests than a cold cache bears; it is replaced twice, the second time while one
    // half of the fleet reaches it by a link that is late and a part of the fleet is killed and starts anew.
    let clocks: Vec<i64> = (0..12).map(|front| CLOCKS[front % 6]).collect();
    let shape = ClusterSize {
        fronts: 12,
        caches: 3,
        parents: 2,
        link_groups: 2,
    };
    let mut cluster = start_cluster(shape, None, &clocks, 24);
    cluster.load.pause = std::time::Duration::from_millis(5);
    let clients = cluster.start_clients(24);
    cluster.wait_served("the first answers", 500);
    // Clocks are compared by what the service dates.
    for item in 0..5 {
        cluster.purge(item);
    }
    let told = |last: u64| move |seen: &Observation| matches!(seen, Observation::EventSent(_, n) if *n == last);
    for round in 0..2 {
        let gone = cluster.set_node_state(1, State::Removed);
        cluster
            .history
            .wait_for("all are told that it is gone", 12, told(gone));
        cluster.nodes.set(1, cranesill_rig::Behavior::Down);
        cluster.wait_served("answers without it", 500);
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
            .wait_for("all are told that it is back", 12, told(back));
        if round == 1 {
            cluster.kill(&[3, 4, 5]);
            cluster.restart(&[3, 4, 5]);
        }
        cluster.wait_served("answers while it is cold", 3_000);
        assert!(
            cluster.history.count(of) > before + 20,
            "it is used while it is cold"
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
    cluster.wait_served("the first answers", 300);
    // From now on each has places for five; what is open is reset once, so that all ask for one at the same moment.
    (0..4).for_each(|index| {
        cluster
            .nodes
            .set(index, cranesill_rig::Behavior::LimitConnections(5))
    });
    let began = cluster.history.now();
    (0..2).for_each(|side| (0..4).for_each(|index| cluster.reset_connections(side, index)));
    cluster.wait_served("answers with few places", 3_000);
    let (end, s) = (cluster.history.now(), std::time::Duration::from_secs(1));
    for (id, _) in &cluster.nodes.all[..4] {
        let away = |seen: &Observation| *seen == Observation::ConnectionRejected(*id);
        let (first, _) = cluster.history.max_in_window(began, end, s, away);
        let (later, _) = cluster.history.max_in_window(began + 2 * s, end, s, away);
        // Seven of twelve find no place, try a few times, and then leave the node alone for growing spans.
        assert!(
            first <= 60 && later <= 12,
            "{id:x} turned {first} away in the worst second, {later} later"
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
    // Once there are places for all again each front uses all of them.
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
                .wait_for("each front uses each node again", before + 1, of);
        }
    }
    clients.stop();
    cluster.assert_no_violations(25);
}

/// By how many milliseconds a wall clock is stepped, one after another.
const STEPS: [i64; 4] = [5_000, -5_000, 3_600_000, -3_600_000];

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
    cluster.wait_served("the first answers", 800);
    let all = [0, 1, 2, 3];
    for step in STEPS {
        let first = (0..100).fold(0, |_, item| cluster.purge(item));
        wait_until("the first are on disk", || {
            all.iter()
                .all(|front| revision_on_disk(&cluster, *front) >= Some(first))
        });
        all.iter()
            .for_each(|front| cluster.fleet.injectors[*front].set_clock_offset(step));
        let last = (100..200).fold(0, |_, item| cluster.purge(item));
        wait_until("all are on disk", || {
            all.iter()
                .all(|front| revision_on_disk(&cluster, *front) >= Some(last))
        });
        // What was told on both sides of the step is all that a front knows that starts anew.
        cluster.list_service.set(ServiceMode::Down);
        cluster.kill(&all);
        cluster.restart(&all);
        cluster.wait_served("answers by lists on disk", 300);
        cluster.list_service.set(ServiceMode::Serve);
        cluster.wait_served("answers with the service", 100);
    }
    clients.stop();
    cluster.assert_no_violations(26);
}

/// Gives a front a word of its operators. An error is the text that they are told.
fn operator(cluster: &TestCluster, word: &Value) -> Result<Value, String> {
    let path = cluster.fleet.disk_dir().join("control");
    wait_until("the operators' socket", || {
        UnixStream::connect(&path).is_ok()
    });
    let mut socket = UnixStream::connect(&path).unwrap();
    socket.write_all(format!("{word}\n").as_bytes()).unwrap();
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

/// The purges of the ledger, latest first: id and time.
fn logged_purges(cluster: &TestCluster) -> Vec<(String, u64)> {
    let told = operator(cluster, &json!({"word": "purges", "args": {}})).unwrap();
    let row = |row: &Value| {
        (
            row["id"].as_str().unwrap().to_string(),
            row["at_ms"].as_u64().unwrap(),
        )
    };
    told["purges"].as_array().unwrap().iter().map(row).collect()
}

/// One front with a ledger of purges by operators on the disk that is in the test's hand. Its wall clock is ahead by so many
/// milliseconds when it starts.
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
    for (n, step) in STEPS.iter().enumerate() {
        cluster.fleet.injectors[0].set_clock_offset(*step);
        let asked = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        purge(&cluster, &n.to_string()).unwrap();
        let (id, at) = logged_purges(&cluster)[0].clone();
        assert_eq!(id, n.to_string());
        assert!(
            at.abs_diff(asked) < 2_000,
            "{step}: dated {at}, asked at {asked}"
        );
    }
    // An hour ahead: the sweep, each ten seconds, forgets what is past the horizon of a minute.
    cluster.fleet.injectors[0].set_clock_offset(3_600_000);
    std::thread::sleep(Duration::from_secs(12));
    assert!(began.elapsed() < Duration::from_secs(60));
    assert!(
        logged_purges(&cluster).len() >= STEPS.len(),
        "{:?}",
        logged_purges(&cluster)
    );
}

#[test]
fn front_started_an_hour_behind_does_not_date_purges_too_early() {
    // Its clock is set right later; what the list service dates shows by how much the start was off.
    let cluster = start_with_purge_log(-3_600_000, 29);
    let last = cluster.purge(1);
    cluster.history.wait_for(
        "it is told",
        1,
        |seen| matches!(seen, Observation::EventSent(_, n) if *n == last),
    );
    cluster.fleet.injectors[0].set_clock_offset(0);
    let asked = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    wait_until("it has heard", || {
        purge(&cluster, &asked.to_string()).unwrap();
        let (_, at) = logged_purges(&cluster)[0].clone();
        // By the delay of that news, which the skew that settings allow for covers.
        at + 500 > asked
    });
}

#[test]
fn purge_is_confirmed_only_once_durable_and_the_log_recovers_with_the_disk() {
    for (full, unsynced) in [(true, false), (false, true)] {
        let mut cluster = start_with_purge_log(0, 28);
        purge(&cluster, "before").unwrap();
        cluster.fleet.injectors[0].set_disk_faults(full, unsynced);
        assert!(purge(&cluster, "first").is_err_and(|why| why.contains("could not be kept")));
        assert!(purge(&cluster, "second").is_err());
        cluster.fleet.injectors[0].set_disk_faults(false, false);
        // A sync that succeeds now says nothing of what was written before the one that failed.
        wait_until("it is kept again", || purge(&cluster, "first").is_ok());
        purge(&cluster, "third").unwrap();
        cluster.kill(&[0]);
        cluster.restart(&[0]);
        let ids: Vec<_> = logged_purges(&cluster)
            .into_iter()
            .map(|row| row.0)
            .collect();
        for id in ["before", "first", "third"] {
            assert_eq!(
                ids.iter().filter(|held| *held == id).count(),
                1,
                "{id}: {ids:?}"
            );
        }
        assert!(
            !cluster.fleet.log(0).contains("damaged"),
            "{}",
            cluster.fleet.log(0)
        );
    }
}
