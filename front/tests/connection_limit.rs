//! A fleet with more cache nodes than a front can have connections.
use cranesill_rig::{ClusterSize, Observation, TestCluster};
use serde_json::Value;
use std::path::Path;

const CACHES: usize = 240;
/// Descriptor limit of the front, which allows 36 connections to nodes.
const SOCKETS: u64 = 96;
const REQUESTS: usize = 600;

fn count_responses(cluster: &TestCluster, expected: u8) -> usize {
    cluster
        .history
        .count(|seen| matches!(seen, Observation::ClientResponse(_, _, code) if *code == expected))
}

#[test]
fn front_with_more_nodes_than_connections_rejects_nothing_and_reconnects_rarely() {
    let mut base: Value = serde_json::from_str(include_str!("../examples/config.json")).unwrap();
    base["limits"]["sockets"] = SOCKETS.into();
    let shape = ClusterSize {
        fronts: 1,
        caches: CACHES,
        parents: 2,
        link_groups: 0,
    };
    let binary = Path::new(env!("CARGO_BIN_EXE_cranesill"));
    let mut cluster = TestCluster::start(binary, shape, &base, None, 1);
    (cluster.load.objects, cluster.load.connections_per_front) = (5_000, 4);
    let clients = cluster.start_clients(1);
    cluster.wait_served("served requests", REQUESTS);
    clients.stop();
    assert_eq!(
        (count_responses(&cluster, 2), count_responses(&cluster, 3)),
        (0, 0),
        "rejected and failed requests"
    );
    let connections = cluster
        .history
        .count(|seen| matches!(seen, Observation::Accepted(_)));
    assert!(
        connections <= 3 * SOCKETS as usize * 3 / 8,
        "the front opened {connections} connections"
    );
    cluster.assert_no_violations(1);
}
