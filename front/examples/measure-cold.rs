//! A cold start and a kill of seven in ten, of so many processes with so many cache nodes: connections that come to a node, when
//! each front serves first, and how long the level of service takes to return.
//!
//! `measure-cold FRONTS CACHES PAUSE_MS [SETTINGS]`: each front is asked one request at a time with this pause between them;
//! SETTINGS is a file of the daemon's own. Prints one JSON object.
use cranesill_rig::{ClusterSize, Observation, TestCluster};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
/// The level of service is counted over so much time.
const WINDOW: Duration = Duration::from_millis(250);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize| arguments.get(n).and_then(|a| a.parse::<usize>().ok());
    let (Some(fronts), Some(caches), Some(pause)) = (number(0), number(1), number(2)) else {
        eprintln!("measure-cold FRONTS CACHES PAUSE_MS [SETTINGS]");
        std::process::exit(2);
    };
    let settings: Option<Value> = arguments.get(3).map(|file| {
        let text = std::fs::read_to_string(file).unwrap_or_else(|e| panic!("{file}: {e}"));
        serde_json::from_str(&text).unwrap_or_else(|e| panic!("{file}: {e}"))
    });
    let beside = std::env::current_exe()
        .ok()
        .and_then(|me| Some(me.parent()?.parent()?.join("cranesill")));
    let binary: PathBuf = beside.expect("the program lies beside its examples");
    let base: Value =
        serde_json::from_str(include_str!("config.json")).expect("an example is JSON");
    let shape = ClusterSize {
        fronts,
        caches,
        parents: 2.max(caches / 30),
        link_groups: 0,
    };
    let mut stage = TestCluster::start(&binary, shape, &base, settings.as_ref(), 1);
    stage.load.pause = Duration::from_millis(pause as u64);
    stage.load.objects = 5_000;
    let began = stage.history.now();
    let clients = stage.start_clients(1);
    std::thread::sleep(10 * S);
    let end = stage.history.now();
    let first = first_served(&stage, fronts, began);
    let cold = dials(&stage, caches, began, end);
    let before = level(&stage, end - 3 * S, end, |_| true);
    let dead: Vec<usize> = (0..fronts).filter(|n| n % 10 < 7).collect();
    let live = |front: usize| front % 10 >= 7;
    let live_before = level(&stage, end - 3 * S, end, live);
    stage.kill(&dead);
    std::thread::sleep(S);
    let back = stage.history.now();
    stage.restart(&dead);
    let listening = stage.history.now();
    std::thread::sleep(10 * S);
    let after = stage.history.now();
    clients.stop();
    let returned =
        windows(back, after).find(|at| level(&stage, *at, *at + WINDOW, |_| true) >= 0.95 * before);
    let worst_live = windows(end, after)
        .map(|at| level(&stage, at, at + WINDOW, live))
        .fold(f64::MAX, f64::min);
    let found = json!({
        "fronts": fronts, "caches": caches, "settings": settings.map(|s| s["startup"].clone()),
        "first_served_s": quantiles(first),
        "connections_at_one_cache": cold,
        "connections_at_one_cache_after_the_kill": dials(&stage, caches, back, after),
        "served_a_second": before.round(),
        "all_listen_again_s": (listening - back).as_secs_f64(),
        "level_again_s": returned.map(|at| (at + WINDOW - back).as_secs_f64()),
        "level_again_since_all_listen_s": returned.map(|at| (at + WINDOW).saturating_sub(listening).as_secs_f64()),
        "live_fronts_served_a_second": {"before": live_before.round(), "worst_quarter_second": worst_live.round()},
        "breaches": stage.violations().len(),
    });
    println!("{found}");
    assert!(
        stage.fleet.exited().is_empty(),
        "{:#?}",
        stage.fleet.exited()
    );
}

fn windows(from: Duration, to: Duration) -> impl Iterator<Item = Duration> {
    (0..)
        .map(move |n| from + n * WINDOW)
        .take_while(move |at| *at + WINDOW <= to)
}

/// Requests served a second by these fronts.
fn level(stage: &TestCluster, from: Duration, to: Duration, of: impl Fn(usize) -> bool) -> f64 {
    let served = stage
        .history
        .timestamps(|seen| matches!(seen, Observation::ClientResponse(front, _, 1) if of(*front)));
    served.iter().filter(|at| (from..to).contains(at)).count() as f64 / (to - from).as_secs_f64()
}

fn first_served(stage: &TestCluster, fronts: usize, began: Duration) -> Vec<f64> {
    let mut first = vec![f64::INFINITY; fronts];
    for (at, seen) in stage.history.observations() {
        if let Observation::ClientResponse(front, _, 1) = seen {
            first[front] = first[front].min((at.saturating_sub(began)).as_secs_f64());
        }
    }
    first.sort_by(f64::total_cmp);
    first
}

fn quantiles(sorted: Vec<f64>) -> Value {
    let at = |share: f64| sorted[((sorted.len() - 1) as f64 * share) as usize];
    json!({"half": at(0.5), "99_in_100": at(0.99), "all": at(1.0)})
}

/// Connections that came to the cache with the most of them in any second and in any tenth of one, and to all in the mean.
fn dials(stage: &TestCluster, caches: usize, from: Duration, to: Duration) -> Value {
    let of = |place: usize, span: Duration| {
        let id = stage.nodes.all[place].0;
        stage
            .history
            .max_in_window(from, to, span, |seen| *seen == Observation::Accepted(id))
            .0
    };
    let total = stage
        .history
        .timestamps(|seen| matches!(seen, Observation::Accepted(_)));
    json!({
        "worst_second": (0..caches).map(|place| of(place, S)).max(),
        "worst_100_ms": (0..caches).map(|place| of(place, S / 10)).max(),
        "all_nodes": total.iter().filter(|at| (from..to).contains(at)).count(),
    })
}
