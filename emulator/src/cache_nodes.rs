//! Connections that come to cache nodes while a fleet starts under load.
use crate::list_service::max_in_window;
use crate::rng::Rng;
use crate::{Timestamp, SECOND};
use cranesill_startup::{Admission, FleetPosition, Group, ListedEndpoint, SlowStart};
use serde::Serialize;

/// When a front begins a connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ConnectPolicy {
    /// With the first request that is for the node.
    OnDemand,
    /// At once to all: not taken.
    Immediate,
    /// Along the core's slow_start.
    SlowStart {
        /// First connections to one node in a second by the whole fleet.
        connections_per_s: u32,
    },
}

/// What came to the nodes.
#[derive(Clone, Debug, Serialize)]
pub struct ConnectionResult {
    /// To the worst node in the worst second, and in the worst tenth of one.
    pub worst_second: usize,
    /// The same for a tenth of a second.
    pub worst_100_ms: usize,
    /// Seconds until each front has a connection to each node.
    #[serde(rename = "all_s")]
    pub all_connected_s: f64,
}

/// So many fronts with so many nodes start at one moment; each is asked so often a second, for objects that are spread evenly.
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
                    near: true,
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
