//! Many processes of the program on machines whose clocks differ and whose disks fail, under load, with faults between them.
use cranesill_rig::{Mode, Seen, Shape, Stage, State};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

fn stage(shape: Shape, settings: Option<&Value>, clocks: &[i64], seed: u64) -> Stage {
    let base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    Stage::on(
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
fn fronts_whose_clocks_differ_keep_the_rules_on_purges_and_drains() {
    let shape = Shape {
        fronts: 6,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage(shape, None, &CLOCKS, 21);
    let clients = stage.clients(21);
    stage.served("the first answers", 200);
    for round in 0..4 {
        for item in 0..50 {
            stage.purge(item);
            stage.served("answers under purges", 12);
        }
        let drained = stage.list(round % 4, State::Draining);
        stage.history.until(
            "all are told",
            6,
            |seen| matches!(seen, Seen::Told(_, n) if *n == drained),
        );
        stage.served("answers after a drain", 120);
        stage.list(round % 4, State::Ready);
    }
    for (front, ahead) in CLOCKS.iter().enumerate() {
        let told = stage
            .fleet
            .log(front)
            .matches("this clock is far from that of the list service")
            .count();
        assert_eq!(
            told,
            usize::from(ahead.abs() > 5_000),
            "{}",
            stage.fleet.log(front)
        );
    }
    clients.end();
    stage.keeps_the_rules(21);
}

/// Waits until something holds that no stand-in can see.
fn until(what: &str, holds: impl Fn() -> bool) {
    let guard = Instant::now() + cranesill_rig::GUARD;
    while !holds() {
        assert!(Instant::now() < guard, "never came: {what}");
        std::thread::yield_now();
    }
}

fn lists(stage: &Stage, front: usize) -> String {
    std::fs::read_to_string(stage.fleet.disk().join(format!("n{front}.list"))).unwrap_or_default()
}

/// The last event in a list on disk: its second line names the list, the event, and when.
fn on_disk(stage: &Stage, front: usize) -> Option<u64> {
    lists(stage, front)
        .lines()
        .nth(1)?
        .split(' ')
        .nth(2)?
        .parse()
        .ok()
}

#[test]
fn lists_on_disk_and_of_others_bring_no_older_copies_though_clocks_differ() {
    // An address of this test's own: ports are the fronts' numbers.
    let host = format!(
        "127.{}.{}.22",
        1 + std::process::id() / 250 % 200,
        1 + std::process::id() % 250
    );
    let ask: Vec<_> = (0..6).map(|n| format!("{host}:2{n:04}")).collect();
    let peers = json!({"listen": format!("{host}:2{{nnnn}}"), "ask": ask, "every_ms": 200});
    let settings = json!({"startup": {"snapshots": "{disk}", "calls_per_s": 20, "list": "main", "peers": peers}});
    let shape = Shape {
        fronts: 6,
        caches: 4,
        parents: 2,
        sides: 1,
    };
    let mut stage = stage(shape, Some(&settings), &CLOCKS, 22);
    stage.remembers();
    // So many that not all are fetched anew between a purge and a kill.
    stage.asks.objects = 400;
    let clients = stage.clients(22);
    stage.served("the first answers", 1_200);
    for round in 0..2 {
        // Five hear of it all and are killed; the sixth does not, and learns it from them.
        stage.feed(5, Some((cranesill_rig::Way::Cut, cranesill_rig::Way::Cut)));
        let last = (0..400).fold(0, |_, item| stage.purge(item));
        until("lists on disk", || {
            (0..5).all(|front| on_disk(&stage, front) == Some(last))
        });
        stage.list.set(Mode::Down);
        stage.kill(&[0, 1, 2, 3, 4]);
        stage.restart(&[0, 1, 2, 3, 4]);
        stage.served("answers by lists on disk", 300);
        // What was told before a kill counts again: it lay on disk.
        for front in 0..5 {
            let log = stage.fleet.log(front);
            assert!(
                log.matches("endpoint list loaded from disk").count() > round,
                "{log}"
            );
        }
        until("the sixth has the list of others", || {
            stage
                .fleet
                .log(5)
                .matches("the list is taken from peers")
                .count()
                > round
        });
        stage.served("answers by lists of others", 100);
        stage.feed(5, None);
        stage.list.set(Mode::Serves);
        let before = stage.list(1, State::Ready);
        // By the service or by one another.
        until("all hold the last event", || {
            (0..6).all(|front| on_disk(&stage, front) == Some(before))
        });
    }
    clients.end();
    stage.keeps_the_rules(22);
}

#[test]
fn a_disk_that_is_full_does_not_sync_or_is_slow_costs_a_warning_and_is_written_again_once_it_can() {
    // A: full from the start. B: full in service. C: syncs fail. D: each sync takes two seconds. E: well.
    let settings = json!({"startup": {"snapshots": "{disk}"}});
    let shape = Shape {
        fronts: 5,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage(shape, Some(&settings), &[], 23);
    stage.remembers();
    stage.fleet.machines[0].disk(true, false);
    stage.kill(&[0]);
    stage.restart(&[0]);
    let clients = stage.clients(23);
    stage.served("the first answers", 100);
    let told = |last: u64| move |seen: &Seen| matches!(seen, Seen::Told(_, n) if *n == last);
    let first = stage.list(1, State::Draining);
    stage.history.until("all are told", 5, told(first));
    until("lists on disk", || {
        (1..5).all(|front| on_disk(&stage, front) == Some(first))
    });
    stage.fleet.machines[1].disk(true, false);
    stage.fleet.machines[2].disk(false, true);
    stage.fleet.machines[3].sync(std::time::Duration::from_secs(2));
    let second = stage.list(2, State::Draining);
    stage.history.until("all are told", 5, told(second));
    stage.served("answers while disks fail", 600);
    let warnings = |stage: &Stage, front: usize| {
        stage
            .fleet
            .log(front)
            .matches("cannot write the endpoint list to disk")
            .count()
    };
    until("the slow disk has it", || {
        [3, 4]
            .iter()
            .all(|front| on_disk(&stage, *front) == Some(second))
    });
    until("three warnings", || {
        (0..3).all(|front| warnings(&stage, front) == 1)
    });
    // What can't be kept leaves what was kept before: whole, and older.
    let held = [None, Some(first), Some(first)];
    assert_eq!([0, 1, 2].map(|front| on_disk(&stage, front)), held);
    let left = |stage: &Stage| {
        let files = std::fs::read_dir(stage.fleet.disk()).unwrap().flatten();
        files
            .filter(|file| file.file_name().to_string_lossy().ends_with(".tmp"))
            .count()
    };
    until("nothing half written is left", || left(&stage) == 0);
    (0..3).for_each(|front| stage.fleet.machines[front].disk(false, false));
    stage.served("answers once disks are well", 200);
    until("all have it on disk", || {
        (0..5).all(|front| on_disk(&stage, front) == Some(second))
    });
    assert_eq!(
        [0, 1, 2].map(|front| warnings(&stage, front)),
        [1, 1, 1],
        "each is told once"
    );
    // All start anew while the service is down: what they kept is heeded.
    stage.list.set(Mode::Down);
    stage.kill(&[0, 1, 2, 3, 4]);
    stage.restart(&[0, 1, 2, 3, 4]);
    stage.served("answers by lists on disk", 400);
    clients.end();
    stage.keeps_the_rules(23);
}

#[test]
fn a_cold_cache_is_not_pushed_over_by_all_fronts_together_whatever_their_clocks_and_connections() {
    // Twelve fronts on three caches, far more requests than a cold cache bears; it is replaced twice, the second time while one
    // half of the fleet reaches it by a link that is late and a part of the fleet is killed and starts anew.
    let clocks: Vec<i64> = (0..12).map(|front| CLOCKS[front % 6]).collect();
    let shape = Shape {
        fronts: 12,
        caches: 3,
        parents: 2,
        sides: 2,
    };
    let mut stage = stage(shape, None, &clocks, 24);
    stage.asks.pause = std::time::Duration::from_millis(5);
    let clients = stage.clients(24);
    stage.served("the first answers", 500);
    // Clocks are compared by what the service dates.
    for item in 0..5 {
        stage.purge(item);
    }
    let told = |last: u64| move |seen: &Seen| matches!(seen, Seen::Told(_, n) if *n == last);
    for round in 0..2 {
        let gone = stage.list(1, State::Gone);
        stage
            .history
            .until("all are told that it is gone", 12, told(gone));
        stage.nodes.set(1, cranesill_rig::Mood::Dead);
        stage.served("answers without it", 500);
        stage.nodes.set(
            1,
            cranesill_rig::Mood::Answers(std::time::Duration::from_millis(1)),
        );
        if round == 1 {
            let late = cranesill_rig::Way::Late(std::time::Duration::from_millis(100));
            stage.link(0, 1, Some((late, late)));
        }
        let id = stage.nodes.all[1].0;
        let of = move |seen: &Seen| matches!(seen, Seen::Sent { node, .. } if *node == id);
        let before = stage.history.count(of);
        let back = stage.list_started(1);
        stage
            .history
            .until("all are told that it is back", 12, told(back));
        if round == 1 {
            stage.kill(&[3, 4, 5]);
            stage.restart(&[3, 4, 5]);
        }
        stage.served("answers while it is cold", 3_000);
        assert!(
            stage.history.count(of) > before + 20,
            "it is used while it is cold"
        );
        stage.link(0, 1, None);
    }
    clients.end();
    stage.keeps_the_rules(24);
}

#[test]
fn nodes_that_have_places_for_few_connections_are_not_stormed_and_serve_those_that_have_one() {
    let shape = Shape {
        fronts: 12,
        caches: 4,
        parents: 2,
        sides: 2,
    };
    let mut stage = stage(shape, None, &[], 25);
    let clients = stage.clients(25);
    stage.served("the first answers", 300);
    // From now on each has places for five; what is open is reset once, so that all ask for one at the same moment.
    (0..4).for_each(|place| stage.nodes.set(place, cranesill_rig::Mood::Crowded(5)));
    let began = stage.history.now();
    (0..2).for_each(|side| (0..4).for_each(|place| stage.reset(side, place)));
    stage.served("answers with few places", 3_000);
    let (end, s) = (stage.history.now(), std::time::Duration::from_secs(1));
    for (id, _) in &stage.nodes.all[..4] {
        let away = |seen: &Seen| *seen == Seen::TurnedAway(*id);
        let (first, _) = stage.history.most(began, end, s, away);
        let (later, _) = stage.history.most(began + 2 * s, end, s, away);
        // Seven of twelve find no place, try a few times, and then leave the node alone for growing spans.
        assert!(
            first <= 60 && later <= 12,
            "{id:x} turned {first} away in the worst second, {later} later"
        );
    }
    let answered = |wanted: fn(u8) -> bool| {
        let of = |seen: &Seen| matches!(seen, Seen::Answered(_, _, code) if wanted(*code));
        stage
            .history
            .moments(of)
            .into_iter()
            .filter(|at| *at > began)
            .count()
    };
    let (good, bad) = (answered(|code| code == 1), answered(|code| code != 1));
    assert!(bad * 100 <= good, "{bad} were not served, {good} were");
    // Once there are places for all again each front uses all of them.
    let back = stage.history.now();
    (0..4).for_each(|place| {
        stage
            .nodes
            .set(place, cranesill_rig::Mood::Answers(s / 1_000))
    });
    for front in 0..12 {
        for (id, _) in &stage.nodes.all[..4] {
            let of = move |seen: &Seen| matches!(seen, Seen::Sent { node, txn, .. } if node == id && (txn >> 40) as usize == front + 1);
            let before = stage
                .history
                .moments(of)
                .iter()
                .filter(|at| **at < back)
                .count();
            stage
                .history
                .until("each front uses each node again", before + 1, of);
        }
    }
    clients.end();
    stage.keeps_the_rules(25);
}

/// By how many milliseconds a wall clock is stepped, one after another.
const STEPS: [i64; 4] = [5_000, -5_000, 3_600_000, -3_600_000];

#[test]
fn wall_clocks_that_are_stepped_in_service_and_between_starts_lose_no_purge() {
    let settings = json!({"startup": {"snapshots": "{disk}"}});
    let shape = Shape {
        fronts: 4,
        caches: 4,
        parents: 2,
        sides: 0,
    };
    let mut stage = stage(shape, Some(&settings), &[], 26);
    stage.remembers();
    stage.asks.objects = 200;
    let clients = stage.clients(26);
    stage.served("the first answers", 800);
    let all = [0, 1, 2, 3];
    for step in STEPS {
        let first = (0..100).fold(0, |_, item| stage.purge(item));
        until("the first are on disk", || {
            all.iter()
                .all(|front| on_disk(&stage, *front) >= Some(first))
        });
        all.iter()
            .for_each(|front| stage.fleet.machines[*front].clock(step));
        let last = (100..200).fold(0, |_, item| stage.purge(item));
        until("all are on disk", || {
            all.iter()
                .all(|front| on_disk(&stage, *front) >= Some(last))
        });
        // What was told on both sides of the step is all that a front knows that starts anew.
        stage.list.set(Mode::Down);
        stage.kill(&all);
        stage.restart(&all);
        stage.served("answers by lists on disk", 300);
        stage.list.set(Mode::Serves);
        stage.served("answers with the service", 100);
    }
    clients.end();
    stage.keeps_the_rules(26);
}

/// Gives a front a word of its operators. An error is the text that they are told.
fn operator(stage: &Stage, word: &Value) -> Result<Value, String> {
    let path = stage.fleet.disk().join("control");
    until("the operators' socket", || {
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

fn purge(stage: &Stage, id: &str) -> Result<Value, String> {
    operator(
        stage,
        &json!({"word": "purge", "args": {"group": 1, "id": id}}),
    )
}

/// The purges of the ledger, latest first: id and time.
fn ledger(stage: &Stage) -> Vec<(String, u64)> {
    let told = operator(stage, &json!({"word": "purges", "args": {}})).unwrap();
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
fn with_ledger(ahead_ms: i64, seed: u64) -> Stage {
    let purges = json!({"file": "{disk}/purges", "horizon_s": 60});
    let settings = json!({"purges": purges, "control": {"path": "{disk}/control"}});
    stage(
        Shape {
            fronts: 1,
            caches: 2,
            parents: 1,
            sides: 0,
        },
        Some(&settings),
        &[ahead_ms],
        seed,
    )
}

#[test]
fn a_purge_by_operators_is_dated_and_kept_as_if_the_wall_clock_were_never_stepped() {
    let stage = with_ledger(0, 27);
    let began = Instant::now();
    for (n, step) in STEPS.iter().enumerate() {
        stage.fleet.machines[0].clock(*step);
        let asked = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_millis() as u64;
        purge(&stage, &n.to_string()).unwrap();
        let (id, at) = ledger(&stage)[0].clone();
        assert_eq!(id, n.to_string());
        assert!(
            at.abs_diff(asked) < 2_000,
            "{step}: dated {at}, asked at {asked}"
        );
    }
    // An hour ahead: the sweep, each ten seconds, forgets what is past the horizon of a minute.
    stage.fleet.machines[0].clock(3_600_000);
    std::thread::sleep(Duration::from_secs(12));
    assert!(began.elapsed() < Duration::from_secs(60));
    assert!(ledger(&stage).len() >= STEPS.len(), "{:?}", ledger(&stage));
}

#[test]
fn a_front_that_started_an_hour_behind_dates_purges_no_earlier_than_they_are() {
    // Its clock is set right later; what the list service dates shows by how much the start was off.
    let stage = with_ledger(-3_600_000, 29);
    let last = stage.purge(1);
    stage.history.until(
        "it is told",
        1,
        |seen| matches!(seen, Seen::Told(_, n) if *n == last),
    );
    stage.fleet.machines[0].clock(0);
    let asked = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64;
    until("it has heard", || {
        purge(&stage, &asked.to_string()).unwrap();
        let (_, at) = ledger(&stage)[0].clone();
        // By the delay of that news, which the skew that settings allow for covers.
        at + 500 > asked
    });
}

#[test]
fn a_purge_is_confirmed_only_when_it_is_durable_and_the_ledger_recovers_when_the_disk_does() {
    for (full, unsynced) in [(true, false), (false, true)] {
        let mut stage = with_ledger(0, 28);
        purge(&stage, "before").unwrap();
        stage.fleet.machines[0].disk(full, unsynced);
        assert!(purge(&stage, "first")
            .is_err_and(|why| why.contains("could not be written to the journal")));
        assert!(purge(&stage, "second").is_err());
        stage.fleet.machines[0].disk(false, false);
        // A sync that succeeds now says nothing of what was written before the one that failed.
        until("it is kept again", || purge(&stage, "first").is_ok());
        purge(&stage, "third").unwrap();
        stage.kill(&[0]);
        stage.restart(&[0]);
        let ids: Vec<_> = ledger(&stage).into_iter().map(|row| row.0).collect();
        for id in ["before", "first", "third"] {
            assert_eq!(
                ids.iter().filter(|held| *held == id).count(),
                1,
                "{id}: {ids:?}"
            );
        }
        assert!(
            !stage.fleet.log(0).contains("damaged"),
            "{}",
            stage.fleet.log(0)
        );
    }
}
