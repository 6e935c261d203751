//! Command line of the fleet emulator.
use bpaf::{construct, long, Parser};
use cranesill_emulator::{
    draw, simulate_connections, CallPolicy, ColdFleet, ConnectPolicy, Line, Outage,
    SlowStartPolicy, SECOND,
};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Clone, Debug)]
struct Options {
    fronts: Vec<u32>,
    nodes: u64,
    list_capacity_per_s: u32,
    outage_s: u64,
    requests_per_s: f64,
    seed: u64,
    out: Option<PathBuf>,
}

/// Caches of the cold-start simulation. The load is a fraction of their capacity and does not depend on the number of fronts.
const COLD_CACHES: u32 = 20;
/// Bounds the duration of a run.
const MAX_FRONTS: u32 = 20_000;

fn parse_fleet_sizes(text: String) -> Result<Vec<u32>, String> {
    let one = |word: &str| {
        let n: u32 = word.parse().map_err(|_| {
            format!("invalid fleet size \"{word}\": expected a whole number of fronts")
        })?;
        Some(n)
            .filter(|n| (1..=MAX_FRONTS).contains(n))
            .ok_or(format!(
                "fleet size {n} is outside of 1 to {MAX_FRONTS} fronts"
            ))
    };
    text.split(',').map(one).collect()
}

fn cold_start() -> impl Parser<Options> {
    let fronts = long("fronts")
        .help("Fleet sizes, separated by commas")
        .argument::<String>("N,N,...")
        .fallback("60,100,300,1000,3000,10000".into())
        .parse(parse_fleet_sizes);
    let nodes = long("nodes")
        .help("Number of cache nodes")
        .argument::<u64>("N")
        .fallback(200)
        .guard(|n| (1..=10_000).contains(n), "1 to 10000 nodes");
    let list_capacity_per_s = long("room")
        .help("Calls per second that the list service can serve after its recovery")
        .argument::<u32>("N")
        .fallback(200)
        .guard(
            |n| (1..=1_000_000).contains(n),
            "1 to 1000000 calls per second",
        );
    let outage_s = long("back-s")
        .help("Duration of the list service outage after the start, in seconds")
        .argument::<u64>("S")
        .fallback(30)
        .guard(|s| (5..=300).contains(s), "5 to 300 seconds");
    let requests_per_s = long("asked")
        .help("Client requests per second at each front")
        .argument::<f64>("N")
        .fallback(100.0)
        .guard(
            |n| (0.1..=100_000.0).contains(n),
            "0.1 to 100000 requests per second",
        );
    let seed = long("seed")
        .help("Seed of the random numbers")
        .argument::<u64>("N")
        .fallback(1);
    let out = long("out")
        .help("Directory for the results and plots")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(Options {
        fronts,
        nodes,
        list_capacity_per_s,
        outage_s,
        requests_per_s,
        seed,
        out
    })
    .to_options()
    .descr("Simulate the simultaneous start of a fleet during an outage of the list service")
    .command("cold-start")
}

fn run(options: &Options) -> Result<(), String> {
    let call_policies = [
        CallPolicy::NoBudget,
        CallPolicy::Budget {
            calls_per_s: 10,
            max_wait: 5_500_000,
        },
        CallPolicy::Budget {
            calls_per_s: 10,
            max_wait: 30 * SECOND,
        },
        CallPolicy::Backoff {
            max_wait: 5_500_000,
        },
        CallPolicy::JitteredBackoff {
            max_wait: 5_500_000,
        },
    ];
    let connect_policies = [
        ConnectPolicy::OnDemand,
        ConnectPolicy::Immediate,
        ConnectPolicy::SlowStart {
            connections_per_s: 20,
        },
    ];
    let slow_start_policies = [
        ("by the fleet's shares", SlowStartPolicy::FleetShare),
        ("each as if alone", SlowStartPolicy::PerFront),
        ("cold ones taken for warm", SlowStartPolicy::Disabled),
    ];
    let (mut results, mut outages, mut connections, mut cold_starts) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for fronts in &options.fronts {
        let outage = Outage {
            fronts: *fronts,
            restored_at: options.outage_s * SECOND,
            capacity_per_s: options.list_capacity_per_s,
            seed: options.seed,
        };
        for policy in &call_policies {
            let found = outage.simulate(*policy);
            results.push(json!({"fronts": fronts, "list_service": policy.name(), "found": found}));
            outages.push((policy.name(), f64::from(*fronts), found));
        }
        for policy in &connect_policies {
            let found = simulate_connections(
                *fronts,
                options.nodes,
                options.requests_per_s,
                *policy,
                options.seed,
            );
            let name = match policy {
                ConnectPolicy::OnDemand => "on demand".to_string(),
                ConnectPolicy::Immediate => "all at once".to_string(),
                ConnectPolicy::SlowStart { connections_per_s } => {
                    format!("ramp {connections_per_s}/s")
                }
            };
            results.push(json!({"fronts": fronts, "cache_node": name, "found": found}));
            connections.push((name, f64::from(*fronts), found));
        }
        for (name, policy) in &slow_start_policies {
            let fleet = ColdFleet {
                fronts: *fronts,
                caches: COLD_CACHES,
                load: 0.6,
                seconds: 20,
                seed: options.seed,
            };
            let found = fleet.simulate(*policy);
            results.push(json!({"fronts": fronts, "cold_nodes": name, "found": found}));
            cold_starts.push((name.to_string(), f64::from(*fronts), found));
        }
    }
    results.iter().for_each(|result| println!("{result}"));
    let Some(out) = &options.out else {
        return Ok(());
    };
    let failed = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(failed)?;
    let text: String = results.iter().map(|result| format!("{result}\n")).collect();
    std::fs::write(out.join("cold-start.jsonl"), text).map_err(failed)?;
    let plot = |file: &str, title: &str, unit: &str, all: Vec<Line>| {
        draw(&out.join(file), title, unit, &all)
    };
    let calls = outages
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, f.calls_per_s));
    plot(
        "calls.svg",
        "Calls at a list service that fails",
        "calls a second",
        group_by_name(calls),
    )?;
    let last = outages
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, f.served_99_percent_s.unwrap_or(0.0)));
    plot(
        "served.svg",
        "Until 99 in 100 fronts are served after its return",
        "seconds",
        group_by_name(last),
    )?;
    let served = cold_starts
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, 100.0 * f.served_first));
    plot(
        "cold-served.svg",
        "All cold: served in the first 5 s",
        "of 100 requests",
        group_by_name(served),
    )?;
    let loads = cold_starts
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, f.worst_load));
    plot(
        "cold-load.svg",
        "All cold: sent to one node",
        "over what it bears",
        group_by_name(loads),
    )?;
    let dials = connections
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, f.worst_second as f64));
    plot(
        "handshakes.svg",
        "Connections to one cache node",
        "in the worst second",
        group_by_name(dials),
    )
}

fn group_by_name(all: impl Iterator<Item = (String, f64, f64)>) -> Vec<Line> {
    let mut lines: Vec<Line> = Vec::new();
    for (name, x, y) in all {
        match lines.iter_mut().find(|line| line.0 == name) {
            Some(line) => line.1.push((x, y)),
            None => lines.push((name, vec![(x, y)])),
        }
    }
    lines
}

fn main() -> ExitCode {
    let options = cold_start()
        .to_options()
        .descr("Emulate large fleets of cranesill fronts on a virtual clock")
        .run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cranesill-emulator: {error}");
            ExitCode::FAILURE
        }
    }
}
