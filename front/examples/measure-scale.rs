//! Measures the resources of one front with 200, 800 and 3,200 cache nodes, alone and as one of 900 fronts. The load of the front
//! and the total capacity of the cache nodes are the same in each run. `make measure-scale` runs it; the results are in
//! `docs/design/fleet.md`.
//!
//! `measure-scale [OBJECTS]`: number of objects that clients request, with equal probability. Exits with status 1 if a bound is
//! exceeded.
use cranesill_rig::{
    Behavior, ClientLoad, Clients, Event, Fleet, FrontAccess, History, ListService, ListedNode,
    Nodes, Observation, ServiceMode, State,
};
use serde_json::{json, Value};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Number of cache nodes of each run; the first run is the baseline of the bounds.
const CACHE_COUNTS: [usize; 3] = [200, 800, 3_200];
/// Number of fronts that share the cache nodes, and the total weight of the cache nodes. A single front can use at least one slot of
/// each node; one of 900 fronts has a share of less than one slot.
const FLEETS: [(u32, usize); 2] = [(1, 3_200), (900, 6_400)];
const PARENTS: usize = 4;
/// Total weight of the parents as a fraction of that of the cache nodes.
const PARENT_WEIGHT_RATIO: f64 = 0.5;
const LOAD_DURATION: Duration = Duration::from_secs(10);
/// Interval of the samples; each sample also changes the state of a node in the list.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
const RESPONSE_DELAY: Duration = Duration::from_millis(30);
/// Closed-loop clients; with their pause they send about 150 requests per second.
const CLIENTS: usize = 16;
const CLIENT_PAUSE: Duration = Duration::from_millis(74);
const DEFAULT_OBJECTS: u64 = 20_000;
/// Number of the event in the initial snapshot of the configuration.
const INITIAL_EVENT: u64 = 1;

/// Resources and results of one front in one run.
struct Usage {
    cpu_s: f64,
    peak_memory_mb: f64,
    descriptors: f64,
    connections: f64,
    list_kb: f64,
    requests: usize,
    served: usize,
}

impl Usage {
    fn served_fraction(&self) -> f64 {
        self.served as f64 / self.requests.max(1) as f64
    }

    /// Bounds relative to `baseline` for a run with `nodes` cache nodes: name, measured value, bound, and whether the bound holds.
    fn bounds(&self, baseline: &Usage, nodes: usize) -> [(&'static str, f64, f64, bool); 6] {
        let thousands = nodes as f64 / 1_000.0;
        let at_most = |name, value: f64, bound: f64| (name, value, bound, value <= bound);
        let min_served = baseline.served_fraction() * 0.85;
        [
            at_most(
                "CPU seconds",
                self.cpu_s,
                1.4 * baseline.cpu_s + 0.02 + 0.03 * thousands,
            ),
            at_most(
                "peak memory, MB",
                self.peak_memory_mb,
                1.5 * baseline.peak_memory_mb + 8.0 + 4.0 * thousands,
            ),
            at_most(
                "descriptors",
                self.descriptors,
                2.0 * baseline.descriptors + 40.0,
            ),
            at_most(
                "connections opened",
                self.connections,
                2.5 * baseline.connections + 40.0,
            ),
            at_most(
                "list data, KB",
                self.list_kb,
                2.0 * baseline.list_kb + 64.0 + 500.0 * thousands,
            ),
            (
                "fraction served",
                self.served_fraction(),
                min_served,
                self.served_fraction() >= min_served,
            ),
        ]
    }
}

/// A front with its nodes, list service and clients.
struct Run {
    history: History,
    nodes: Nodes,
    list: ListService,
    fleet: Fleet,
    listed: Vec<ListedNode>,
}

impl Run {
    fn start(caches: usize, fronts: u32, capacity: usize) -> Run {
        let history = History::default();
        let ids: Vec<u32> = (0..caches + PARENTS + 1)
            .map(|place| 0x101 + place as u32)
            .collect();
        let nodes = Nodes::new(&history, &ids, &["book-car"]);
        (0..ids.len()).for_each(|place| nodes.set(place, Behavior::Respond(RESPONSE_DELAY)));
        let cache_weight = (capacity / caches) as u32;
        let parent_weight = (capacity as f64 * PARENT_WEIGHT_RATIO) as u32 / PARENTS as u32;
        let listed: Vec<ListedNode> = ids
            .iter()
            .enumerate()
            .map(|(place, id)| {
                let (zone, kind, weight) = match place {
                    _ if place < caches => (1, 0, cache_weight),
                    _ if place < caches + PARENTS => (0, 1, parent_weight),
                    _ => (0, 2, 1),
                };
                ListedNode {
                    index: place,
                    id: *id,
                    state: State::Ready,
                    zone,
                    kind,
                    weight,
                    started_ms: 0,
                }
            })
            .collect();
        let addresses = nodes.all.iter().map(|(_, at)| *at).collect();
        let list = ListService::with_addresses(&history, ServiceMode::Serve, vec![addresses]);
        let config = configuration(&nodes, &listed, &list, fronts);
        let program = std::env::current_exe()
            .ok()
            .and_then(|me| Some(me.parent()?.parent()?.join("cranesill")));
        let binary: PathBuf = program.expect("cannot determine the path of the cranesill binary");
        let fleet = Fleet::start(&binary, 1, None, |_| config.clone());
        Run {
            history,
            nodes,
            list,
            fleet,
            listed,
        }
    }

    /// Runs the load while one cache node after another is drained and made ready again in the list.
    fn measure(mut self, objects: u64) -> Usage {
        let load = ClientLoad {
            read_class: "page-bits".into(),
            write_class: "book-car".into(),
            objects,
            connections_per_front: CLIENTS,
            pause: CLIENT_PAUSE,
            timeout: Duration::from_millis(2_500),
        };
        let addresses = Arc::new(Mutex::new(vec![FrontAccess::Open(self.fleet.address(0))]));
        let process = format!(
            "/proc/{}",
            self.fleet.process_id(0).expect("the front is not running")
        );
        self.list.publish(Event::Nodes(true, self.listed.clone()));
        let clients = Clients::start(&self.history, &addresses, &load, 1);
        let (started, mut descriptors, mut changes) = (Instant::now(), 0, 0);
        while started.elapsed() < LOAD_DURATION {
            std::thread::sleep(SAMPLE_INTERVAL);
            descriptors = descriptors
                .max(std::fs::read_dir(format!("{process}/fd")).map_or(0, Iterator::count));
            let node = &mut self.listed[changes / 2];
            node.state = if changes % 2 == 0 {
                State::Draining
            } else {
                State::Ready
            };
            self.list.publish(Event::Nodes(false, vec![*node]));
            changes += 1;
        }
        clients.stop();
        assert!(self.fleet.exited().is_empty(), "{:#?}", self.fleet.exited());
        let addresses: Vec<_> = self.nodes.all.iter().map(|(_, at)| *at).collect();
        let list_bytes: usize = self
            .list
            .events()
            .iter()
            .map(|event| event.frame(0, &addresses).len())
            .sum();
        let count = |of: fn(&Observation) -> bool| self.history.count(of);
        Usage {
            cpu_s: cpu_seconds(&process),
            peak_memory_mb: peak_memory_mb(&process),
            descriptors: descriptors as f64,
            connections: count(|seen| matches!(seen, Observation::Accepted(_))) as f64,
            list_kb: list_bytes as f64 / 1_000.0,
            requests: count(|seen| matches!(seen, Observation::ClientRequest { .. })),
            served: count(|seen| matches!(seen, Observation::ClientResponse(_, _, 1))),
        }
    }
}

fn configuration(nodes: &Nodes, listed: &[ListedNode], list: &ListService, fronts: u32) -> Value {
    let mut config: Value =
        serde_json::from_str(include_str!("config.json")).expect("config.json is not valid JSON");
    let settings = &mut config["settings"];
    settings["nInstances"] = fronts.into();
    settings["familyInfo"]["seatsByZone"] = json!([0, fronts]);
    let name = |key: &str, index: u8| settings[key][usize::from(index)].clone();
    let instance = |node: &ListedNode| {
        json!({"instanceId": format!("s-{:08x}", node.id), "hostPort": nodes.all[node.index].1.to_string(),
               "zone": name("zones", node.zone), "machineType": name("kinds", node.kind), "cell": 0,
               "lifecycle": "in_service", "weight": node.weight, "startedAtMs": 0})
    };
    let instances: Vec<Value> = listed.iter().map(instance).collect();
    let members = json!({"generation": 1, "reset": true, "instances": instances});
    config["known"] =
        json!({"n": INITIAL_EVENT, "events": [{"n": INITIAL_EVENT, "members": members}]});
    config["listen"] = "127.0.0.1:0".into();
    config["feed"] = list.address.to_string().into();
    config
}

/// CPU time of all threads of a process, in seconds.
fn cpu_seconds(process: &str) -> f64 {
    let tasks = std::fs::read_dir(format!("{process}/task"))
        .expect("cannot list the threads of the front")
        .flatten();
    let nanoseconds = |task: std::fs::DirEntry| -> Option<f64> {
        let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse().ok()
    };
    tasks.filter_map(nanoseconds).sum::<f64>() / 1e9
}

fn peak_memory_mb(process: &str) -> f64 {
    let status = std::fs::read_to_string(format!("{process}/status"))
        .expect("cannot read the status of the front");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.expect("no VmHWM in KB in the status of the front") / 1_024.0
}

fn main() {
    let objects = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_OBJECTS);
    let mut exceeded = 0;
    for (fronts, capacity) in FLEETS {
        println!("one of {fronts} fronts, {objects} objects");
        let mut baseline: Option<Usage> = None;
        for caches in CACHE_COUNTS {
            let usage = Run::start(caches, fronts, capacity).measure(objects);
            println!(
                "  {caches} cache nodes: served {} of {}",
                usage.served, usage.requests
            );
            for (name, value, bound, holds) in
                usage.bounds(baseline.as_ref().unwrap_or(&usage), caches)
            {
                let verdict = if holds { "holds" } else { "EXCEEDED" };
                println!("    {name:<18} {value:>9.3}  bound {bound:>9.3}  {verdict}");
                exceeded += usize::from(!holds);
            }
            baseline.get_or_insert(usage);
        }
    }
    if exceeded > 0 {
        println!("{exceeded} bounds exceeded");
        std::process::exit(1);
    }
}
