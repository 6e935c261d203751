//! Simulates the connections that cache nodes accept while a fleet starts under load.
use crate::list_service::max_in_window;
use crate::rng::Rng;
use crate::{Timestamp, SECOND};
use cranesill_startup::{Admission, FleetPosition, Group, ListedEndpoint, SlowStart};
use serde::Serialize;

/// When a front opens its connection to a cache node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectPolicy {
    /// On the first request for the node.
    OnDemand,
    /// To all nodes at startup; for comparison only.
    Immediate,
    /// As the production slow start schedules it.
    SlowStart {
        /// First connections per second to one node from the whole fleet.
        connections_per_s: u32,
    },
}

/// Connections that the nodes accepted.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionResult {
    /// Most connections to one node within any second.
    pub worst_second: usize,
    /// Most connections to one node within any 100 ms.
    pub worst_100_ms: usize,
    /// Time until every front has a connection to every node, in seconds.
    #[serde(rename = "all_s")]
    pub all_connected_s: f64,
}

/// Simulates the simultaneous start of all fronts. Each front receives `requests_per_s`, spread evenly over the nodes.
pub fn simulate_connections(
    fronts: u32,
    nodes: u64,
    requests_per_s: f64,
    policy: ConnectPolicy,
    seed: u64,
) -> ConnectionResult {
    let mut connected_at: Vec<Vec<Timestamp>> = vec![Vec::new(); nodes as usize];
    for front in 0..fronts {
        let mut rng = Rng(seed.wrapping_mul(1_000_003).wrapping_add(u64::from(front)));
        match policy {
            ConnectPolicy::Immediate => connected_at
                .iter_mut()
                .for_each(|node| node.push(rng.below(SECOND / 100))),
            ConnectPolicy::OnDemand => {
                let (mut now, mut remaining) = (0.0, nodes);
                let mut connected = vec![false; nodes as usize];
                while remaining > 0 {
                    now += -(1.0 - rng.uniform()).ln() / requests_per_s;
                    let node = rng.below(nodes) as usize;
                    if !std::mem::replace(&mut connected[node], true) {
                        connected_at[node].push((now * SECOND as f64) as Timestamp);
                        remaining -= 1;
                    }
                }
            }
            ConnectPolicy::SlowStart { connections_per_s } => {
                let position = FleetPosition {
                    number: front,
                    fronts,
                };
                let mut slow_start =
                    SlowStart::new(position, connections_per_s.into(), Timestamp::MAX);
                let admission = Admission::Staggered(Group {
                    kind: 0,
                    same_zone: true,
                });
                let list = (0..nodes)
                    .map(|node| ListedEndpoint {
                        id: node,
                        admission,
                        entry: node,
                    })
                    .collect();
                slow_start
                    .update(0, true, list)
                    .into_iter()
                    .for_each(|node| connected_at[node as usize].push(0));
                while let Some(next) = slow_start.next_deadline() {
                    slow_start
                        .poll(next)
                        .into_iter()
                        .for_each(|node| connected_at[node as usize].push(next));
                }
            }
        }
    }
    connected_at
        .iter_mut()
        .for_each(|node| node.sort_unstable());
    let max_connections = |window| {
        connected_at
            .iter()
            .map(|node| max_in_window(node, window))
            .max()
            .unwrap_or(0)
    };
    let last = connected_at
        .iter()
        .filter_map(|node| node.last())
        .max()
        .copied()
        .unwrap_or(0);
    ConnectionResult {
        worst_second: max_connections(SECOND),
        worst_100_ms: max_connections(SECOND / 10),
        all_connected_s: last as f64 / SECOND as f64,
    }
}
