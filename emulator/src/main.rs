//! `cranesill-emulator`.
use bpaf::{construct, long, Parser};
use cranesill_emulator::{draw, handshakes, Cold, Held, Line, Outage, Use, Way, S};
use serde_json::json;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Clone, Debug)]
struct ColdStart {
    fronts: Vec<u32>,
    nodes: u64,
    room: u32,
    back_s: u64,
    asked: f64,
    seed: u64,
    out: Option<PathBuf>,
}

/// Caches of the location that is all cold; the requests that are asked there follow from them, not from the fronts.
const COLD_CACHES: u32 = 20;
/// Fronts at most: a run takes seconds.
const FRONTS_MOST: u32 = 20_000;

fn sizes(text: String) -> Result<Vec<u32>, String> {
    let one = |word: &str| {
        let n: u32 = word
            .parse()
            .map_err(|_| format!("no number of fronts: {word}"))?;
        Some(n)
            .filter(|n| (1..=FRONTS_MOST).contains(n))
            .ok_or(format!("{n} fronts: 1 to {FRONTS_MOST}"))
    };
    text.split(',').map(one).collect()
}

fn cold_start() -> impl Parser<ColdStart> {
    let fronts = long("fronts")
        .help("Sizes of the fleet, with commas")
        .argument::<String>("N,N,...")
        .fallback("60,100,300,1000,3000,10000".into())
        .parse(sizes);
    let nodes = long("nodes")
        .help("Cache nodes")
        .argument::<u64>("N")
        .fallback(200)
        .guard(|n| (1..=10_000).contains(n), "1 to 10000 nodes");
    let room = long("room")
        .help("Calls a second that the list service can serve once it is back")
        .argument::<u32>("N")
        .fallback(200)
        .guard(
            |n| (1..=1_000_000).contains(n),
            "1 to 1000000 calls a second",
        );
    let back_s = long("back-s")
        .help("Seconds for which it fails at first")
        .argument::<u64>("S")
        .fallback(30)
        .guard(|s| (5..=300).contains(s), "5 to 300 seconds");
    let asked = long("asked")
        .help("Requests a second that each front is asked")
        .argument::<f64>("N")
        .fallback(100.0)
        .guard(
            |n| (0.1..=100_000.0).contains(n),
            "0.1 to 100000 requests a second",
        );
    let seed = long("seed").help("Seed").argument::<u64>("N").fallback(1);
    let out = long("out")
        .help("A folder for results and plots")
        .argument::<PathBuf>("DIR")
        .optional();
    construct!(ColdStart {
        fronts,
        nodes,
        room,
        back_s,
        asked,
        seed,
        out
    })
    .to_options()
    .descr("A fleet starts at one moment while the list service fails, and it returns")
    .command("cold-start")
}

fn run(cold: &ColdStart) -> Result<(), String> {
    let ways = [
        Way::NoBudget,
        Way::Budget {
            per_s: 10,
            most: 5_500_000,
        },
        Way::Budget {
            per_s: 10,
            most: 30 * S,
        },
        Way::Doubling { most: 5_500_000 },
        Way::DoublingAtRandom { most: 5_500_000 },
    ];
    let uses = [Use::OnDemand, Use::AtOnce, Use::Ramp { per_s: 20 }];
    let helds = [
        ("by the fleet's shares", Held::Shares),
        ("each as if alone", Held::Alone),
        ("cold ones taken for warm", Held::Not),
    ];
    let (mut results, mut lists, mut nodes, mut colds) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::new());
    for fronts in &cold.fronts {
        let outage = Outage {
            fronts: *fronts,
            back: cold.back_s * S,
            room: cold.room,
            seed: cold.seed,
        };
        for way in &ways {
            let found = outage.play(*way);
            results.push(json!({"fronts": fronts, "list_service": way.name(), "found": found}));
            lists.push((way.name(), f64::from(*fronts), found));
        }
        for way in &uses {
            let found = handshakes(*fronts, cold.nodes, cold.asked, *way, cold.seed);
            let name = match way {
                Use::OnDemand => "on demand".to_string(),
                Use::AtOnce => "all at once".to_string(),
                Use::Ramp { per_s } => format!("ramp {per_s}/s"),
            };
            results.push(json!({"fronts": fronts, "cache_node": name, "found": found}));
            nodes.push((name, f64::from(*fronts), found));
        }
        for (name, held) in &helds {
            let all = Cold {
                fronts: *fronts,
                caches: COLD_CACHES,
                load: 0.6,
                seconds: 20,
                seed: cold.seed,
            };
            let found = all.play(*held);
            results.push(json!({"fronts": fronts, "cold_nodes": name, "found": found}));
            colds.push((name.to_string(), f64::from(*fronts), found));
        }
    }
    results.iter().for_each(|result| println!("{result}"));
    let Some(out) = &cold.out else { return Ok(()) };
    let failed = |e: std::io::Error| format!("{}: {e}", out.display());
    std::fs::create_dir_all(out).map_err(failed)?;
    let text: String = results.iter().map(|result| format!("{result}\n")).collect();
    std::fs::write(out.join("cold-start.jsonl"), text).map_err(failed)?;
    let plot = |file: &str, title: &str, unit: &str, all: Vec<Line>| {
        draw(&out.join(file), title, unit, &all)
    };
    let calls = lists
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, f.calls_a_second));
    plot(
        "calls.svg",
        "Calls at a list service that fails",
        "calls a second",
        by_name(calls),
    )?;
    let last = lists
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, f.most_served_s.unwrap_or(0.0)));
    plot(
        "served.svg",
        "Until 99 in 100 fronts are served after its return",
        "seconds",
        by_name(last),
    )?;
    let served = colds
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, 100.0 * f.served_first));
    plot(
        "cold-served.svg",
        "All cold: served in the first 5 s",
        "of 100 requests",
        by_name(served),
    )?;
    let loads = colds.iter().map(|(n, x, f)| (n.clone(), *x, f.worst_load));
    plot(
        "cold-load.svg",
        "All cold: sent to one node",
        "over what it bears",
        by_name(loads),
    )?;
    let dials = nodes
        .iter()
        .map(|(n, x, f)| (n.clone(), *x, f.worst_second as f64));
    plot(
        "handshakes.svg",
        "Connections to one cache node",
        "in the worst second",
        by_name(dials),
    )
}

fn by_name(all: impl Iterator<Item = (String, f64, f64)>) -> Vec<Line> {
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
    let cold = cold_start()
        .to_options()
        .descr("Large fleets of cranesill on a virtual clock")
        .run();
    match run(&cold) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("cranesill-emulator: {why}");
            ExitCode::FAILURE
        }
    }
}
