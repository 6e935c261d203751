//! Measures a cold start of a fleet and the kill and restart of 70 % of its fronts: connections per cache node, the time until
//! each front serves its first request, and the time until the rate of served requests recovers.
//!
//! `measure-cold FRONTS CACHES PAUSE_MS [SETTINGS]`: each front receives one request at a time with this pause in between; SETTINGS
//! is a settings file of the daemon. Prints one JSON object.
use cranesill_rig::{ClusterSize, Observation, TestCluster};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
/// Interval over which the rate of served requests is measured after the kill.
const WINDOW: Duration = Duration::from_millis(250);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let number = |n: usize| arguments.get(n).and_then(|a| a.parse::<usize>().ok());
    let (Some(fronts), Some(caches), Some(pause)) = (number(0), number(1), number(2)) else {
        eprintln!("usage: measure-cold FRONTS CACHES PAUSE_MS [SETTINGS]");
        std::process::exit(2);
    };
    let settings: Option<Value> = arguments.get(3).map(|file| {
        let text = std::fs::read_to_string(file)
            .unwrap_or_else(|e| panic!("cannot read the settings file {file}: {e}"));
        serde_json::from_str(&text)
            .unwrap_or_else(|e| panic!("the settings file {file} is not valid JSON: {e}"))
    });
    let program = std::env::current_exe()
        .ok()
        .and_then(|me| Some(me.parent()?.parent()?.join("cranesill")));
    let binary: PathBuf = program.expect("cannot determine the path of the cranesill binary");
    let base: Value =
        serde_json::from_str(include_str!("config.json")).expect("config.json is not valid JSON");
    let size = ClusterSize {
        fronts,
        caches,
        parents: 2.max(caches / 30),
        link_groups: 0,
    };
    let mut cluster = TestCluster::start(&binary, size, &base, settings.as_ref(), 1);
    cluster.load.pause = Duration::from_millis(pause as u64);
    cluster.load.objects = 5_000;
    let started = cluster.history.now();
    let clients = cluster.start_clients(1);
    std::thread::sleep(10 * SECOND);
    let killed_at = cluster.history.now();
    let first_served_s = first_served_s(&cluster, fronts, started);
    let cold_connections = max_connections(&cluster, caches, started, killed_at);
    let served_before = served_per_s(&cluster, killed_at - 3 * SECOND, killed_at, |_| true);
    let killed: Vec<usize> = (0..fronts).filter(|n| n % 10 < 7).collect();
    let survives = |front: usize| front % 10 >= 7;
    let survivors_before = served_per_s(&cluster, killed_at - 3 * SECOND, killed_at, survives);
    cluster.kill(&killed);
    std::thread::sleep(SECOND);
    let restarted_at = cluster.history.now();
    cluster.restart(&killed);
    let listening_at = cluster.history.now();
    std::thread::sleep(10 * SECOND);
    let end = cluster.history.now();
    clients.stop();
    let recovered_at = windows(restarted_at, end)
        .find(|at| served_per_s(&cluster, *at, *at + WINDOW, |_| true) >= 0.95 * served_before);
    let survivors_worst = windows(killed_at, end)
        .map(|at| served_per_s(&cluster, at, at + WINDOW, survives))
        .fold(f64::MAX, f64::min);
    let results = json!({
        "fronts": fronts, "caches": caches, "settings": settings.map(|s| s["startup"].clone()),
        "first_served_s": quantiles(first_served_s),
        "connections_at_one_cache": cold_connections,
        "connections_at_one_cache_after_the_kill": max_connections(&cluster, caches, restarted_at, end),
        "served_a_second": served_before.round(),
        "all_listen_again_s": (listening_at - restarted_at).as_secs_f64(),
        "level_again_s": recovered_at.map(|at| (at + WINDOW - restarted_at).as_secs_f64()),
        "level_again_since_all_listen_s": recovered_at.map(|at| (at + WINDOW).saturating_sub(listening_at).as_secs_f64()),
        "live_fronts_served_a_second": {"before": survivors_before.round(), "worst_quarter_second": survivors_worst.round()},
        "breaches": cluster.violations().len(),
    });
    println!("{results}");
    assert!(
        cluster.fleet.exited().is_empty(),
        "{:#?}",
        cluster.fleet.exited()
    );
}

fn windows(from: Duration, to: Duration) -> impl Iterator<Item = Duration> {
    (0..)
        .map(move |n| from + n * WINDOW)
        .take_while(move |at| *at + WINDOW <= to)
}

/// Requests served per second by the fronts for which `includes` holds.
fn served_per_s(
    cluster: &TestCluster,
    from: Duration,
    to: Duration,
    includes: impl Fn(usize) -> bool,
) -> f64 {
    let served = cluster.history.timestamps(
        |seen| matches!(seen, Observation::ClientResponse(front, _, 1) if includes(*front)),
    );
    served.iter().filter(|at| (from..to).contains(at)).count() as f64 / (to - from).as_secs_f64()
}

/// Time from `started` to the first served request of each front, in seconds, sorted.
fn first_served_s(cluster: &TestCluster, fronts: usize, started: Duration) -> Vec<f64> {
    let mut first = vec![f64::INFINITY; fronts];
    for (at, seen) in cluster.history.observations() {
        if let Observation::ClientResponse(front, _, 1) = seen {
            first[front] = first[front].min((at.saturating_sub(started)).as_secs_f64());
        }
    }
    first.sort_by(f64::total_cmp);
    first
}

fn quantiles(sorted: Vec<f64>) -> Value {
    let quantile = |share: f64| sorted[((sorted.len() - 1) as f64 * share) as usize];
    json!({"half": quantile(0.5), "99_in_100": quantile(0.99), "all": quantile(1.0)})
}

/// Most connections to one cache within any second and any 100 ms, and the number of connections to all nodes.
fn max_connections(cluster: &TestCluster, caches: usize, from: Duration, to: Duration) -> Value {
    let max_at = |index: usize, window: Duration| {
        let id = cluster.nodes.all[index].0;
        cluster
            .history
            .max_in_window(from, to, window, |seen| *seen == Observation::Accepted(id))
            .0
    };
    let total = cluster
        .history
        .timestamps(|seen| matches!(seen, Observation::Accepted(_)));
    json!({
        "worst_second": (0..caches).map(|index| max_at(index, SECOND)).max(),
        "worst_100_ms": (0..caches).map(|index| max_at(index, SECOND / 10)).max(),
        "all_nodes": total.iter().filter(|at| (from..to).contains(at)).count(),
    })
}
