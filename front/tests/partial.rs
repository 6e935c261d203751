//! Many processes of the program with nodes, parents, an origin, the list service and clients, while parts of it fail: the
//! rules of the service are kept by the whole fleet, checked by what was seen at both ends.
use cranesill_rig::{Link, Mode, Mood, Script, Seen, Shape, Stage, State, Way};
use serde_json::{json, Value};
use std::path::Path;
use std::time::Duration;

fn stage(shape: Shape, seed: u64) -> Stage {
    stage_with(shape, None, seed)
}

fn stage_with(shape: Shape, settings: Option<&Value>, seed: u64) -> Stage {
    let base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    Stage::start(
        Path::new(env!("CARGO_BIN_EXE_cranesill")),
        shape,
        &base,
        settings,
        seed,
    )
}

#[test]
fn the_rules_are_kept_while_everything_fails_and_comes_back_by_the_dice() {
    let seeds = std::env::var("CRANESILL_SEEDS").unwrap_or_else(|_| "1,2,3".into());
    for seed in seeds.split(',').map(|seed| seed.parse().expect("a seed")) {
        let shape = Shape {
            fronts: 8,
            caches: 4,
            parents: 2,
            sides: 2,
        };
        let mut stage = stage(shape, seed);
        let clients = stage.clients(seed);
        stage.served("the first answers", 40);
        stage.play(&Script::from_seed(seed, shape, 40));
        clients.end();
        stage.keeps_the_rules(seed);
    }
}

#[test]
fn a_write_whose_connection_breaks_once_it_was_sent_never_runs_again() {
    let shape = Shape {
        fronts: 4,
        caches: 3,
        parents: 1,
        sides: 1,
    };
    let mut stage = stage(shape, 8);
    let origin = stage.places() - 1;
    let clients = stage.clients(8);
    stage.served("the first answers", 40);
    for _ in 0..4 {
        // It takes a request and breaks; then each connection to it breaks at any moment.
        stage.nodes.set(origin, Mood::Breaks);
        stage.served("answers of caches", 60);
        stage
            .nodes
            .set(origin, Mood::Answers(Duration::from_millis(30)));
        for _ in 0..10 {
            stage.reset(0, origin);
            stage.served("answers", 10);
        }
    }
    let ran = stage.history.count(|seen| matches!(seen, Seen::Ran(_)));
    assert!(ran >= 10, "{ran} writes ran");
    clients.end();
    stage.keeps_the_rules(8);
}

#[test]
fn what_waits_for_a_connection_does_not_go_to_a_node_that_drains_meanwhile() {
    // One side of the fleet reaches a cache by a link that is cut; connections come up and say nothing. The cache is told to
    // drain, and the link heals: what was held by the link is not the fronts', what they begin is.
    let shape = Shape {
        fronts: 6,
        caches: 3,
        parents: 1,
        sides: 2,
    };
    let mut stage = stage(shape, 7);
    let clients = stage.clients(7);
    stage.served("the first answers", 60);
    for round in 0..3 {
        stage.nodes.set(1, Mood::Dead);
        stage.served("answers without a cache", 60);
        stage.link(
            0,
            1,
            Some((
                Way::Late(Duration::from_millis(200)),
                Way::Late(Duration::from_millis(200)),
            )),
        );
        stage.nodes.set(1, Mood::Answers(Duration::from_millis(1)));
        stage.list(1, State::Draining);
        stage.served("answers after the drain", 120);
        stage.link(0, 1, None);
        stage.list(1, State::Ready);
        stage.served("answers once it is back", 60 + round);
    }
    clients.end();
    stage.keeps_the_rules(7);
}

const S: Duration = Duration::from_secs(1);

/// So many of the fleet together begin to use a node in a second; those that each front uses at once are over it.
const HANDSHAKES: u32 = 4;

fn ramp() -> Value {
    json!({"startup": {"handshakes_per_s": HANDSHAKES, "ready_percent": 50, "ready_most_ms": 2_000}})
}

/// The most connections that came to one cache in any second from then on.
fn worst_second(stage: &Stage, caches: usize, from: Duration) -> usize {
    let most = |place: usize| {
        let id = stage.nodes.all[place].0;
        stage
            .history
            .most(from, stage.history.now(), S, |seen| {
                *seen == Seen::Dialled(id)
            })
            .0
    };
    (0..caches).map(most).max().unwrap()
}

#[test]
fn all_fronts_and_all_nodes_cold_at_one_moment_under_load_are_a_ramp_at_each_node_and_serve_at_once(
) {
    // 24 fronts and 24 caches: without the ramp 20 or more dial one cache in a second.
    let shape = Shape {
        fronts: 24,
        caches: 24,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage_with(shape, Some(&ramp()), 3);
    let began = stage.history.now();
    let clients = stage.clients(3);
    let first = |stage: &Stage, front: usize, from: Duration| {
        let of = |seen: &Seen| matches!(seen, Seen::Answered(by, _, 1) if *by == front);
        let before = stage
            .history
            .moments(of)
            .iter()
            .filter(|at| **at < from)
            .count();
        stage.history.until("first served", before + 1, of) - from
    };
    let mut firsts: Vec<_> = (0..24).map(|front| first(&stage, front, began)).collect();
    firsts.sort_unstable();
    assert!(
        firsts[12] < Duration::from_millis(500),
        "half of the fronts serve at once: {firsts:?}"
    );
    // By then all use all, and each node has a connection of each front.
    let all = |seen: &Seen| matches!(seen, Seen::Dialled(node) if *node <= 0x100 + 24);
    stage
        .history
        .until("connections of all to all", 24 * 24, all);
    let worst = worst_second(&stage, 24, began);
    assert!(
        worst <= HANDSHAKES as usize + 8,
        "{worst} connections came to one cache in a second"
    );
    // Seven in ten are killed and come back; the others serve on as if nothing were.
    let (dead, live): (Vec<usize>, Vec<usize>) = (0..24).partition(|front| front % 10 < 7);
    let killed = stage.history.now();
    stage.kill(&dead);
    stage.restart(&dead);
    for front in &dead {
        first(&stage, *front, killed);
    }
    let served = |seen: &Seen| matches!(seen, Seen::Answered(by, _, 1) if live.contains(by));
    let refused = |seen: &Seen| matches!(seen, Seen::Answered(by, _, code) if live.contains(by) && *code != 1);
    let lived = stage
        .history
        .moments(refused)
        .iter()
        .filter(|at| **at >= killed)
        .count();
    let good = stage
        .history
        .moments(served)
        .iter()
        .filter(|at| **at >= killed)
        .count();
    assert!(
        lived * 10 <= good,
        "of those that live {lived} requests were not served, {good} were"
    );
    let worst = worst_second(&stage, 24, killed);
    assert!(
        worst <= HANDSHAKES as usize + 8,
        "{worst} connections came to one cache in a second after the kill"
    );
    clients.end();
    stage.keeps_the_rules(3);
}

#[test]
fn a_node_that_is_listed_at_one_moment_to_all_gets_the_fleet_one_after_another() {
    let shape = Shape {
        fronts: 24,
        caches: 6,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage_with(shape, Some(&ramp()), 5);
    let clients = stage.clients(5);
    let any = |seen: &Seen| matches!(seen, Seen::Dialled(node) if *node <= 0x100 + 6);
    stage
        .history
        .until("connections of all to all", 24 * 6, any);
    let told = |number: u64| move |seen: &Seen| matches!(seen, Seen::Told(_, n) if *n == number);
    let gone = stage.list(2, State::Gone);
    stage
        .history
        .until("all are told that it is gone", 24, told(gone));
    stage.nodes.set(2, Mood::Dead);
    stage.served("answers without it", 200);
    stage.nodes.set(2, Mood::Answers(Duration::from_millis(1)));
    let (id, before) = (stage.nodes.all[2].0, stage.history.now());
    let dialled = |seen: &Seen| *seen == Seen::Dialled(id);
    let had = stage.history.count(dialled);
    let back = stage.list(2, State::Ready);
    stage
        .history
        .until("all are told that it is back", 24, told(back));
    stage.history.until("connections of all", had + 24, dialled);
    let (worst, _) = stage.history.most(before, stage.history.now(), S, dialled);
    assert!(
        worst <= HANDSHAKES as usize + 2,
        "{worst} connections came in one second"
    );
    clients.end();
    stage.keeps_the_rules(5);
}

#[test]
fn a_stop_of_the_whole_fleet_and_a_list_service_that_drips_change_nothing_that_clients_may_count_on(
) {
    let shape = Shape {
        fronts: 12,
        caches: 5,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage(shape, 9);
    let clients = stage.clients(9);
    stage.served("the first answers", 200);
    let all: Vec<usize> = (0..12).collect();
    stage.stop(&all, true);
    // What is told meanwhile is heard when they go on.
    stage.list(1, State::Draining);
    stage.purge(3);
    std::thread::sleep(5 * S);
    stage.stop(&all, false);
    stage.served("answers after the stop", 400);
    // A service that tells by the byte is slower than the silence that a front bears: what was known stands.
    stage.list.set(Mode::Drips);
    stage.list(1, State::Ready);
    stage.served("answers while the list drips", 600);
    stage.list.set(Mode::Serves);
    let back = stage.list(2, State::Draining);
    stage.history.until(
        "all are told",
        12,
        |seen| matches!(seen, Seen::Told(_, n) if *n == back),
    );
    stage.served("answers after all", 400);
    clients.end();
    stage.keeps_the_rules(9);
}

fn to_cache_by(stage: &Stage, place: usize, fronts: &[usize], from: Duration) -> usize {
    let id = stage.nodes.all[place].0;
    // Which front asked stands in the id of the request.
    let by = |txn: u64| (txn >> 40) as usize - 1;
    let of = |seen: &Seen| matches!(seen, Seen::Sent { node, txn, .. } if *node == id && fronts.contains(&by(*txn)));
    stage
        .history
        .moments(of)
        .into_iter()
        .filter(|at| *at >= from)
        .count()
}

#[test]
fn a_list_on_disk_is_served_from_while_the_service_is_down_and_a_bad_one_is_as_if_absent() {
    let folder = tempfile::tempdir().unwrap();
    let settings = json!({"startup": {"snapshots": folder.path()}});
    let shape = Shape {
        fronts: 8,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage_with(shape, Some(&settings), 11);
    let clients = stage.clients(11);
    stage.served("the first answers", 50);
    let last = stage.list(1, State::Draining);
    let file = |front: usize| folder.path().join(format!("n{front}.list"));
    let until = std::time::Instant::now() + cranesill_rig::GUARD;
    // Its second line names the list, the last event in it, and when.
    let number = |text: String| text.lines().nth(1)?.split(' ').nth(2)?.parse::<u64>().ok();
    let held =
        |front: usize| std::fs::read_to_string(file(front)).ok().and_then(number) == Some(last);
    while !(0..8).all(held) {
        assert!(
            std::time::Instant::now() < until,
            "not all lists are on disk"
        );
        std::thread::yield_now();
    }
    stage.list.set(Mode::Down);
    let all: Vec<usize> = (0..8).collect();
    stage.kill(&all);
    // Torn, of another version, empty, and gone.
    let text = std::fs::read_to_string(file(0)).unwrap();
    std::fs::write(file(0), &text[..text.len() / 2]).unwrap();
    std::fs::write(file(1), text.replacen("v1", "v9", 1)).unwrap();
    std::fs::write(file(2), "").unwrap();
    std::fs::remove_file(file(3)).unwrap();
    let back = stage.history.now();
    stage.restart(&all);
    stage.served("answers without the service", 400);
    assert_eq!(
        to_cache_by(&stage, 1, &[4, 5, 6, 7], back),
        0,
        "what drained is known to drain"
    );
    assert!(
        to_cache_by(&stage, 1, &[0, 1, 2, 3], back) > 0,
        "without a list on disk that can't be known"
    );
    for front in 0..3 {
        assert!(
            stage
                .fleet
                .log(front)
                .contains("endpoint list on disk rejected"),
            "{}",
            stage.fleet.log(front)
        );
    }
    stage.list.set(Mode::Serves);
    let told = |seen: &Seen| matches!(seen, Seen::Told(front, n) if *n == last && *front < 4);
    let before = stage
        .history
        .moments(told)
        .iter()
        .filter(|at| **at < back)
        .count();
    stage
        .history
        .until("those without are told", before + 4, told);
    stage.served("answers with the service", 200);
    // Those with a list asked for what came after it: nothing.
    let again = |seen: &Seen| matches!(seen, Seen::Told(front, _) if *front >= 4);
    assert_eq!(
        stage
            .history
            .moments(again)
            .into_iter()
            .filter(|at| *at >= back)
            .count(),
        0
    );
    clients.end();
    stage.keeps_the_rules(11);
}

#[test]
fn a_list_on_disk_does_not_grow_younger_by_restarts() {
    let folder = tempfile::tempdir().unwrap();
    let settings = json!({"startup": {"snapshots": folder.path(), "serve_snapshot_s": 3}});
    let mut stage = stage_with(
        Shape {
            fronts: 2,
            caches: 2,
            parents: 1,
            sides: 0,
        },
        Some(&settings),
        14,
    );
    let clients = stage.clients(14);
    stage.purge(3);
    let on_disk = |front: usize| {
        let text = std::fs::read_to_string(folder.path().join(format!("n{front}.list")))
            .unwrap_or_default();
        text.contains("\no ")
    };
    let until = std::time::Instant::now() + cranesill_rig::GUARD;
    while !(on_disk(0) && on_disk(1)) {
        assert!(
            std::time::Instant::now() < until,
            "not all lists are on disk"
        );
        std::thread::yield_now();
    }
    let kept = stage.history.now();
    stage.list.set(Mode::Down);
    let served = |stage: &Stage, front: usize| {
        let log = stage.fleet.log(front);
        (
            log.matches("endpoint list loaded from disk").count(),
            log.matches("older than may be served from").count(),
        )
    };
    while stage.history.now() < kept + 5 * S {
        stage.kill(&[0, 1]);
        stage.restart(&[0, 1]);
        stage.served("answers after a restart", 40);
    }
    for front in [0, 1] {
        let (yes, no) = served(&stage, front);
        assert!(
            yes >= 1 && no >= 1,
            "{yes} times it was served from, {no} times too old: {}",
            stage.fleet.log(front)
        );
    }
    clients.end();
    stage.keeps_the_rules(14);
}

#[test]
fn a_folder_that_can_not_be_written_costs_a_warning_and_nothing_else() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("file");
    std::fs::write(&file, "").unwrap();
    let settings = json!({"startup": {"snapshots": file}});
    let shape = Shape {
        fronts: 2,
        caches: 2,
        parents: 1,
        sides: 0,
    };
    let mut stage = stage_with(shape, Some(&settings), 12);
    let clients = stage.clients(12);
    let purge = stage.purge(3);
    stage.history.until(
        "both are told",
        2,
        |seen| matches!(seen, Seen::Told(_, n) if *n == purge),
    );
    stage.served("answers all the same", 300);
    for front in 0..2 {
        assert_eq!(
            stage
                .fleet
                .log(front)
                .matches("cannot write the endpoint list to disk")
                .count(),
            1,
            "{}",
            stage.fleet.log(front)
        );
    }
    clients.end();
    stage.keeps_the_rules(12);
}

#[test]
fn a_list_service_that_begins_to_count_anew_is_heard_by_all() {
    let shape = Shape {
        fronts: 8,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage_with(shape, Some(&json!({"startup": {"calls_per_s": 20}})), 13);
    let clients = stage.clients(13);
    let last = (0..6).fold(0, |_, item| stage.purge(item));
    stage.history.until(
        "all are told",
        8,
        |seen| matches!(seen, Seen::Told(_, n) if *n == last),
    );
    stage.served("answers before", 100);
    // It returns with another list under low numbers.
    stage.list.set(Mode::Down);
    stage.list.forget();
    let whole = stage.list_all(&[(1, State::Draining)]);
    let back = stage.history.now();
    stage.list.set(Mode::Serves);
    let told = |seen: &Seen| matches!(seen, Seen::Told(_, n) if *n == whole);
    let before = stage
        .history
        .moments(told)
        .iter()
        .filter(|at| **at < back)
        .count();
    let at = stage
        .history
        .until("all are told of the new list", before + 8, told);
    assert!(at - back < 15 * S, "after {:?}", at - back);
    std::thread::sleep(S);
    let heeds = stage.history.now();
    stage.served("answers after", 300);
    assert_eq!(
        to_cache_by(&stage, 1, &(0..8).collect::<Vec<_>>(), heeds),
        0,
        "the new list is heeded"
    );
    clients.end();
    // Numbers stand for other events now: what was told cannot be held against anybody, the rest can.
    let broken = stage
        .breaches()
        .into_iter()
        .filter(|b| !["drain", "purge"].contains(&b.rule))
        .count();
    assert_eq!((broken, stage.fleet.dead()), (0, vec![]));
}

/// Settings of fronts that hold the list for one another, on addresses that nobody else uses.
fn peers(fronts: usize, more: &[String], calls_per_s: u32) -> Value {
    // All of 127/8 is this machine; what it dials from is 127.0.0.1.
    static FLEETS: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let fleet = FLEETS.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let host = format!(
        "127.{}.{}.{}",
        64 + std::process::id() % 64,
        1 + std::process::id() / 64 % 250,
        1 + fleet
    );
    let mut ask: Vec<String> = (0..fronts).map(|n| format!("{host}:2{n:04}")).collect();
    ask.extend_from_slice(more);
    json!({"startup": {
        "calls_per_s": calls_per_s, "wait_most_ms": 600_000, "list": "main",
        "peers": {"listen": format!("{host}:2{{nnnn}}"), "ask": ask, "every_ms": 500}
    }})
}

fn taken(stage: &Stage, front: usize) -> bool {
    stage
        .fleet
        .log(front)
        .contains("the list is taken from peers")
}

#[test]
fn a_list_that_two_fronts_hold_is_soon_with_all_and_costs_the_service_a_few_calls() {
    // 30 fronts that call twice a second in all need 15 s to be served by the service itself.
    let shape = Shape {
        fronts: 30,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage_with(shape, Some(&peers(30, &[], 2)), 21);
    stage.list.set(Mode::Down);
    let clients = stage.clients(21);
    stage.served("answers without the service", 100);
    // What it will tell once it is back.
    stage.list(1, State::Draining);
    std::thread::sleep(2 * S);
    let back = stage.history.now();
    stage.list.set(Mode::Serves);
    let told = |stage: &Stage, front: usize| {
        stage
            .history
            .count(|s| matches!(s, Seen::Told(by, _) if *by == front))
            > 0
    };
    let until = back + 30 * S;
    while !(0..30).all(|front| told(&stage, front) || taken(&stage, front)) {
        assert!(stage.history.now() < until, "not all hold the list");
        std::thread::sleep(Duration::from_millis(20));
    }
    let all = stage.history.now();
    let calls = stage.history.count(|seen| matches!(seen, Seen::Call));
    let by_peers = (0..30).filter(|front| taken(&stage, *front)).count();
    assert!(
        all - back < 10 * S && by_peers >= 10,
        "{:?}, {by_peers} by peers",
        all - back
    );
    assert!(calls <= 24, "{calls} calls on the service");
    stage.served("answers after", 200);
    // Those that have it from peers heed it as if told.
    let from = stage.history.now();
    stage.served("more answers", 400);
    assert_eq!(
        to_cache_by(&stage, 1, &(0..30).collect::<Vec<_>>(), from),
        0
    );
    clients.end();
    stage.keeps_the_rules(21);
}

/// What a peer of the test says to who asks; the text of a good list is at hand.
type Liar = Box<dyn Fn(&mut std::net::TcpStream, &str) + Send>;

#[test]
fn peers_that_lie_are_slow_or_never_end_are_not_taken_from_and_good_ones_are() {
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
    let liars: Vec<Liar> = vec![
        // A number of the future and all nodes draining, well sealed.
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
    for liar in liars {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        addresses.push(listener.local_addr().unwrap().to_string());
        let good = std::sync::Arc::clone(&good);
        std::thread::spawn(move || {
            for mut socket in listener.incoming().map_while(Result::ok) {
                let text = good.lock().unwrap().clone();
                if socket.read_exact(&mut [0; 8]).is_ok() {
                    liar(&mut socket, &text);
                }
            }
        });
    }
    let shape = Shape {
        fronts: 6,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let settings = peers(6, &addresses, 50);
    let ask: Vec<String> =
        serde_json::from_value(settings["startup"]["peers"]["ask"].clone()).unwrap();
    let mut stage = stage_with(shape, Some(&settings), 22);
    let clients = stage.clients(22);
    stage.purge(9);
    let last = stage.list(1, State::Draining);
    assert_eq!(last, 3);
    let told = |stage: &Stage, front: usize| {
        stage
            .history
            .count(|seen| matches!(seen, Seen::Told(by, n) if *by == front && *n == last))
            > 0
    };
    let until = std::time::Instant::now() + cranesill_rig::GUARD;
    while !(0..6).all(|front| told(&stage, front) || taken(&stage, front)) {
        assert!(std::time::Instant::now() < until, "not all hold the list");
        std::thread::sleep(Duration::from_millis(20));
    }
    // The liars learn what a good list looks like.
    while !good.lock().unwrap().contains(" 3 ") {
        assert!(std::time::Instant::now() < until, "a front serves its list");
        let mut socket = std::net::TcpStream::connect(&ask[2]).unwrap();
        socket.write_all(&[0; 8]).unwrap();
        let mut text = String::new();
        socket.read_to_string(&mut text).unwrap();
        *good.lock().unwrap() = text;
    }
    stage.list.set(Mode::Down);
    stage.kill(&[0, 1]);
    let had = [0, 1].map(|front| {
        stage
            .fleet
            .log(front)
            .matches("the list is taken from peers")
            .count()
    });
    stage.restart(&[0, 1]);
    let again = |stage: &Stage, front: usize| {
        stage
            .fleet
            .log(front)
            .matches("the list is taken from peers")
            .count()
            > had[front]
    };
    while !(again(&stage, 0) && again(&stage, 1)) {
        assert!(
            std::time::Instant::now() < until,
            "{}\n{}",
            stage.fleet.log(0),
            stage.fleet.log(1)
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    let from = stage.history.now();
    stage.served("answers by the list of peers", 300);
    assert_eq!(
        to_cache_by(&stage, 1, &[0, 1], from),
        0,
        "what peers know to drain is left alone"
    );
    assert!(
        to_cache_by(&stage, 0, &[0, 1], from) > 0,
        "and what they know to serve is used"
    );
    for front in 0..6 {
        let log = stage.fleet.log(front);
        assert!(!log.contains("event=999"), "{log}");
    }
    clients.end();
    stage.keeps_the_rules(22);
}

#[test]
fn a_rolling_restart_in_tenths_while_the_list_is_told_by_the_byte_is_seen_by_no_client_of_the_others(
) {
    let shape = Shape {
        fronts: 20,
        caches: 6,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage_with(shape, Some(&ramp()), 31);
    let clients = stage.clients(31);
    stage.served("the first answers", 200);
    stage.list.set(Mode::Drips);
    stage.purge(4);
    for tenth in 0..10 {
        let some = [2 * tenth, 2 * tenth + 1];
        let from = stage.history.now();
        stage.kill(&some);
        stage.restart(&some);
        for front in some {
            let again = |seen: &Seen| matches!(seen, Seen::Answered(by, _, 1) if *by == front);
            let before = stage
                .history
                .moments(again)
                .iter()
                .filter(|at| **at < from)
                .count();
            stage.history.until("it serves again", before + 1, again);
        }
        let others = |seen: &Seen| matches!(seen, Seen::Answered(by, _, code) if !some.contains(by) && *code != 1);
        let bad = stage
            .history
            .moments(others)
            .into_iter()
            .filter(|at| *at >= from)
            .count();
        assert!(
            bad <= 2,
            "{bad} requests of the other fronts were not served while {some:?} were restarted"
        );
    }
    stage.list.set(Mode::Serves);
    stage.served("answers after", 200);
    clients.end();
    stage.keeps_the_rules(31);
}

#[test]
fn half_of_the_fleet_that_is_cut_off_from_half_of_the_nodes_goes_on_by_the_others_and_harms_nobody()
{
    let shape = Shape {
        fronts: 8,
        caches: 6,
        parents: 2,
        sides: 2,
    };
    let mut stage = stage(shape, 33);
    // Few at once take longer to find out, one silence after another.
    stage.asks.at_once = 8;
    let clients = stage.clients(33);
    stage.served("the first answers", 200);
    for (there, back) in [
        (Way::Cut, Way::Cut),
        (Way::Pass, Way::Cut),
        (Way::Cut, Way::Pass),
    ] {
        let from = stage.history.now();
        (0..3).for_each(|place| stage.link(1, place, Some((there, back))));
        // Those that are cut off find out by their own requests, and serve by what they reach.
        for front in [1, 3, 5, 7] {
            let served = |seen: &Seen| matches!(seen, Seen::Answered(by, _, 1) if *by == front);
            let before = stage.history.count(served);
            stage
                .history
                .until("one that is cut off serves", before + 30, served);
        }
        let others =
            |seen: &Seen| matches!(seen, Seen::Answered(by, _, code) if by % 2 == 0 && *code != 1);
        let bad = stage
            .history
            .moments(others)
            .into_iter()
            .filter(|at| *at >= from)
            .count();
        assert!(
            bad <= 2,
            "{bad} requests of fronts that reach all nodes were not served"
        );
        (0..3).for_each(|place| stage.link(1, place, None));
        stage.served("answers once it heals", 200);
    }
    clients.end();
    stage.keeps_the_rules(33);
}

#[test]
fn peers_that_are_stopped_reached_one_way_or_come_back_with_nothing_keep_nobody_from_the_list() {
    let shape = Shape {
        fronts: 6,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let mut settings = peers(6, &[], 50);
    let mut ask: Vec<String> =
        serde_json::from_value(settings["startup"]["peers"]["ask"].clone()).unwrap();
    // Front 1 is asked over a link that passes nothing back, front 2 over one that passes nothing there.
    let links = [1, 2].map(|front: usize| Link::new(ask[front].parse().unwrap()));
    (ask[1], ask[2]) = (links[0].address.to_string(), links[1].address.to_string());
    settings["startup"]["peers"]["ask"] = json!(ask);
    let mut stage = stage_with(shape, Some(&settings), 41);
    let clients = stage.clients(41);
    let last = stage.list(1, State::Draining);
    let holds = |stage: &Stage, front: usize, times: usize| {
        let told = |seen: &Seen| matches!(seen, Seen::Told(by, n) if *by == front && *n == last);
        let by_peers = stage
            .fleet
            .log(front)
            .matches("the list is taken from peers")
            .count();
        stage.history.count(told) + by_peers > times
    };
    let until = std::time::Instant::now() + cranesill_rig::GUARD;
    let wait = |stage: &Stage, front: usize, times: usize| {
        while !holds(stage, front, times) {
            assert!(
                std::time::Instant::now() < until,
                "front {front}: {}",
                stage.fleet.log(front)
            );
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    (0..6).for_each(|front| wait(&stage, front, 0));
    stage.list.set(Mode::Down);
    links[0].set(Way::Pass, Way::Cut);
    links[1].set(Way::Cut, Way::Pass);
    stage.stop(&[3], true);
    let stopped = stage.history.now();
    // Fronts 4 and 5 are left to tell; who comes back has nothing but its configuration.
    let count = |stage: &Stage, front: usize| {
        let told = |seen: &Seen| matches!(seen, Seen::Told(by, n) if *by == front && *n == last);
        stage.history.count(told)
            + stage
                .fleet
                .log(front)
                .matches("the list is taken from peers")
                .count()
    };
    let had = count(&stage, 0);
    stage.kill(&[0]);
    stage.restart(&[0]);
    wait(&stage, 0, had);
    let from = stage.history.now();
    stage.served("answers by the list of peers", 200);
    assert_eq!(
        to_cache_by(&stage, 1, &[0], from),
        0,
        "what peers know to drain is left alone"
    );
    std::thread::sleep((stopped + 10 * S).saturating_sub(stage.history.now()));
    stage.stop(&[3], false);
    // One that goes on after ten seconds tells as the others do.
    links.iter().for_each(Link::heal);
    let had = count(&stage, 4);
    stage.kill(&[4, 5]);
    stage.restart(&[4, 5]);
    wait(&stage, 4, had);
    stage.served("answers after all", 200);
    clients.end();
    stage.keeps_the_rules(41);
}
