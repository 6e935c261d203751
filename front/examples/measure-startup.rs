//! Measures what a fleet of processes asks of a list service that closes at once for 30 s and then serves:
//! `measure-startup [COUNT [PROGRAM [no-budget | peers]]]`, by default 60 processes of the program beside this one (`-`) with a budget;
//! with `peers` they hold the list for one another as well. `make measure-startup` runs it with 60 and 300; the figures
//! stand in `docs/design/startup.md`.
use cranesill_rig::{Event, Fleet, History, ListService, Observation, ServiceMode};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

fn main() {
    let mut words = std::env::args().skip(1);
    let count: usize = words
        .next()
        .map_or(60, |n| n.parse().expect("a number of processes"));
    let beside = || {
        std::env::current_exe()
            .expect("a path")
            .parent()
            .and_then(|p| Some(p.parent()?.join("cranesill")))
    };
    let program = words
        .next()
        .filter(|word| word != "-")
        .map(PathBuf::from)
        .or_else(beside)
        .expect("a program");
    let history = History::default();
    let list = ListService::with_addresses(&history, ServiceMode::Close, vec![Vec::new(); count]);
    let base: Value = serde_json::from_str(include_str!("config.json")).expect("an example");
    let mode = words.next();
    let peers = mode.as_deref() == Some("peers");
    let ask: Vec<_> = (0..count)
        .map(|n| format!("127.99.{}.1:2{n:04}", count % 250))
        .collect();
    let listen = format!("127.99.{}.1:2{{nnnn}}", count % 250);
    let budget = match mode.as_deref() {
        Some("no-budget") => None,
        Some("peers") => Some(
            json!({"startup": {"calls_per_s": 10, "wait_most_ms": 60_000, "list": "main",
            "peers": {"listen": listen, "ask": ask}}}),
        ),
        _ => Some(json!({"startup": {"calls_per_s": 10}})),
    };
    let mut fleet = Fleet::start(&program, count, budget.as_ref(), |n| {
        let mut config = base.clone();
        config["listen"] = "127.0.0.1:0".into();
        config["feed"] = list.addresses[n].to_string().into();
        config["seed"] = format!("{:x}", 0x7d03_u64 + n as u64).into();
        config["settings"]["nInstances"] = count.into();
        config["settings"]["index"] = n.into();
        config
    });
    let call = |seen: &Observation| *seen == Observation::Call;
    let first = if peers {
        history.now()
    } else {
        history.wait_for("first calls", count, call)
    };
    std::thread::sleep(30 * S);
    let (from, back) = (first + 4 * S, history.now());
    list.publish(Event::Purge(1, 1));
    list.set(ServiceMode::Serve);
    let told = |n: usize| {
        history.count(|seen| matches!(seen, Observation::EventSent(front, _) if *front == n)) > 0
    };
    let taken = |n: usize| fleet.log(n).contains("the list is taken from peers");
    let mut missing: Vec<usize> = if peers {
        (0..count).collect()
    } else {
        Vec::new()
    };
    let mut half = None;
    while !missing.is_empty() {
        missing.retain(|n| !told(*n) && !taken(*n));
        half = half.or_else(|| (missing.len() <= count / 2).then(|| history.now() - back));
        std::thread::sleep(S / 20);
    }
    if peers {
        let calls = history
            .timestamps(call)
            .iter()
            .filter(|at| **at >= back)
            .count();
        let all = history.now() - back;
        println!(
            "{count} processes hold the list after its return: half {half:?}, all {all:?}, for {calls} calls"
        );
    }
    let made = history
        .timestamps(call)
        .iter()
        .filter(|at| (from..back).contains(at))
        .count();
    let (second, _) = history.max_in_window(from, back, S, call);
    let (tenth, _) = history.max_in_window(from, back, S / 10, call);
    let mean = made as f64 / (back - from).as_secs_f64();
    let early = history
        .timestamps(call)
        .iter()
        .filter(|at| **at < first + 4 * S)
        .count();
    println!("in the first 4 s {early} calls; from then on:");
    println!("{count} processes: {mean:.1} calls a second, {second} in the worst second, {tenth} in the worst 100 ms");
    let served = |seen: &Observation| matches!(seen, Observation::Subscribed(_));
    let all = history.wait_for("fronts that are served", count, served);
    let mut took: Vec<_> = history
        .timestamps(served)
        .into_iter()
        .map(|at| at.saturating_sub(back))
        .collect();
    took.sort_unstable();
    let part = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
    println!(
        "served after its return: half {:?}, 99 in a hundred {:?}, all {:?}",
        part(0.5),
        part(0.99),
        all - back
    );
    assert!(fleet.exited().is_empty(), "no process ended by itself");
}
