//! Soak runs: random faults, signals in series and crowds of clients violate no invariant.
use cranesill_rig::{ClusterSize, Soak, TestCluster};
use serde_json::{json, Value};
use std::path::Path;

const SIZE: ClusterSize = ClusterSize {
    fronts: 4,
    caches: 4,
    parents: 2,
    link_groups: 2,
};

/// Seeds of a run without `CRANESILL_SOAK_SEEDS`.
const DEFAULT_SEEDS: &str = "1,2,3,4";

fn start_cluster(plan: &Soak) -> TestCluster {
    let mut base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    if let Some(descriptors) = plan.descriptor_limit() {
        base["limits"]["sockets"] = descriptors.into();
    }
    let settings = json!({"startup": {"snapshots": "{disk}"}});
    TestCluster::start(
        Path::new(env!("CARGO_BIN_EXE_cranesill")),
        SIZE,
        &base,
        Some(&settings),
        plan.seed,
    )
}

/// Asserts that the log of a front has no panic, and no warning or error without fields that name the place.
fn assert_log_is_clean(cluster: &TestCluster, front: usize, seed: u64) {
    let log = cluster.fleet.log(front);
    assert!(
        !log.contains("panicked"),
        "seed {seed}, front {front}: {log}"
    );
    let is_severe = |line: &&str| line.contains(" warn ") || line.contains(" error ");
    let vague = log
        .lines()
        .filter(is_severe)
        .find(|line| !line.contains('='));
    assert_eq!(vague, None, "seed {seed}, front {front}");
}

#[test]
fn soak_runs_violate_no_invariant() {
    let seeds = std::env::var("CRANESILL_SOAK_SEEDS").unwrap_or_else(|_| DEFAULT_SEEDS.into());
    for seed in seeds.split(',').map(|seed| seed.parse().expect("a seed")) {
        let plan = Soak::from_seed(seed, SIZE);
        let mut cluster = start_cluster(&plan);
        cluster.load.connections_per_front = 2;
        let clients = cluster.start_clients(seed);
        cluster.wait_served("initial responses", 40);
        let failed_exits = cluster.run_soak(&plan);
        clients.stop();
        cluster.assert_no_violations(seed);
        assert_eq!(failed_exits, [], "seed {seed}: {:#?}", plan.steps);
        (0..SIZE.fronts).for_each(|front| assert_log_is_clean(&cluster, front, seed));
    }
}
