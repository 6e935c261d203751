//! Measures the load of a fleet on a list service that closes every connection for 30 s and then serves.
//!
//! `measure-startup [COUNT [PROGRAM [no-budget | peers]]]`: number of processes, by default 60; the program, by default (`-`) the
//! one of the same build; and the mode, by default with a call budget. With `peers` the fronts also obtain the list from each
//! other. `make measure-startup` runs it with 60 and 300 processes; the results are in `docs/design/startup.md`.
use cranesill_rig::{Event, Fleet, History, ListService, Observation, ServiceMode};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn main() {
    let mut arguments = std::env::args().skip(1);
    let count: usize = arguments.next().map_or(60, |n| {
        n.parse().expect("COUNT is not a number of processes")
    });
    let default_program = || {
        std::env::current_exe()
            .expect("cannot determine the path of this program")
            .parent()
            .and_then(|p| Some(p.parent()?.join("cranesill")))
    };
    let program = arguments
        .next()
        .filter(|argument| argument != "-")
        .map(PathBuf::from)
        .or_else(default_program)
        .expect("cannot determine the path of the cranesill binary");
    let history = History::default();
    let list = ListService::with_addresses(&history, ServiceMode::Close, vec![Vec::new(); count]);
    let base: Value =
        serde_json::from_str(include_str!("config.json")).expect("config.json is not valid JSON");
    let mode = arguments.next();
    let peers = mode.as_deref() == Some("peers");
    let peer_addresses: Vec<_> = (0..count)
        .map(|n| format!("127.99.{}.1:2{n:04}", count % 250))
        .collect();
    let listen = format!("127.99.{}.1:2{{nnnn}}", count % 250);
    let settings = match mode.as_deref() {
        Some("no-budget") => None,
        Some("peers") => Some(
            json!({"startup": {"calls_per_s": 10, "wait_most_ms": 60_000, "list": "main",
            "peers": {"listen": listen, "ask": peer_addresses}}}),
        ),
        _ => Some(json!({"startup": {"calls_per_s": 10}})),
    };
    let mut fleet = Fleet::start(&program, count, settings.as_ref(), |n| {
        let mut config = base.clone();
        config["listen"] = "127.0.0.1:0".into();
        config["feed"] = list.addresses[n].to_string().into();
        config["seed"] = format!("{:x}", 0x7d03_u64 + n as u64).into();
        config["settings"]["nInstances"] = count.into();
        config["settings"]["index"] = n.into();
        config
    });
    let call = |seen: &Observation| *seen == Observation::Call;
    let first_call = if peers {
        history.now()
    } else {
        history.wait_for("first calls", count, call)
    };
    std::thread::sleep(30 * SECOND);
    let (from, restored_at) = (first_call + 4 * SECOND, history.now());
    list.publish(Event::Purge(1, 1));
    list.set(ServiceMode::Serve);
    let has_events = |n: usize| {
        history.count(|seen| matches!(seen, Observation::EventSent(front, _) if *front == n)) > 0
    };
    let has_peer_list = |n: usize| fleet.log(n).contains("the list is taken from peers");
    let mut missing: Vec<usize> = if peers {
        (0..count).collect()
    } else {
        Vec::new()
    };
    let mut half_after = None;
    while !missing.is_empty() {
        missing.retain(|n| !has_events(*n) && !has_peer_list(*n));
        half_after = half_after
            .or_else(|| (missing.len() <= count / 2).then(|| history.now() - restored_at));
        std::thread::sleep(SECOND / 20);
    }
    if peers {
        let calls = history
            .timestamps(call)
            .iter()
            .filter(|at| **at >= restored_at)
            .count();
        let all_after = history.now() - restored_at;
        println!(
            "{count} processes have the list after the recovery of the service: half {half_after:?}, all {all_after:?}, with {calls} calls"
        );
    }
    let call_count = history
        .timestamps(call)
        .iter()
        .filter(|at| (from..restored_at).contains(at))
        .count();
    let (worst_second, _) = history.max_in_window(from, restored_at, SECOND, call);
    let (worst_100_ms, _) = history.max_in_window(from, restored_at, SECOND / 10, call);
    let mean = call_count as f64 / (restored_at - from).as_secs_f64();
    let early_calls = history
        .timestamps(call)
        .iter()
        .filter(|at| **at < first_call + 4 * SECOND)
        .count();
    println!("{early_calls} calls in the first 4 s; after that:");
    println!("{count} processes: {mean:.1} calls per second, {worst_second} in the worst second, {worst_100_ms} in the worst 100 ms");
    let served = |seen: &Observation| matches!(seen, Observation::Subscribed(_));
    let all_served_at = history.wait_for("fronts that are served", count, served);
    let mut served_after: Vec<_> = history
        .timestamps(served)
        .into_iter()
        .map(|at| at.saturating_sub(restored_at))
        .collect();
    served_after.sort_unstable();
    let quantile = |share: f64| served_after[((served_after.len() - 1) as f64 * share) as usize];
    println!(
        "subscribed after the recovery of the service: half {:?}, 99 % {:?}, all {:?}",
        quantile(0.5),
        quantile(0.99),
        all_served_at - restored_at
    );
    assert!(
        fleet.exited().is_empty(),
        "a process exited during the measurement"
    );
}
