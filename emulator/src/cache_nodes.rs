//! Connections that come to cache nodes while a fleet starts under load.
use crate::list_service::worst;
use crate::rng::Rng;
use crate::{Timestamp, S};
use cranesill_startup::{Admission, FleetPosition, Group, ListedEndpoint, SlowStart};
use serde::Serialize;

/// When a front begins a connection.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Use {
    /// With the first request that is for the node.
    OnDemand,
    /// At once to all: not taken.
    AtOnce,
    /// Along the core's ramp.
    Ramp {
        /// First connections to one node in a second by the whole fleet.
        per_s: u32,
    },
}

/// What came to the nodes.
#[derive(Clone, Debug, Serialize)]
pub struct Dials {
    /// To the worst node in the worst second, and in the worst tenth of one.
    pub worst_second: usize,
    /// The same for a tenth of a second.
    pub worst_100_ms: usize,
    /// Seconds until each front has a connection to each node.
    pub all_s: f64,
}

/// So many fronts with so many nodes start at one moment; each is asked so often a second, for objects that are spread evenly.
pub fn handshakes(fronts: u32, nodes: u64, asked_per_s: f64, way: Use, seed: u64) -> Dials {
    let mut at: Vec<Vec<Timestamp>> = vec![Vec::new(); nodes as usize];
    for front in 0..fronts {
        let mut rng = Rng(seed.wrapping_mul(1_000_003).wrapping_add(u64::from(front)));
        match way {
            Use::AtOnce => at.iter_mut().for_each(|node| node.push(rng.below(S / 100))),
            Use::OnDemand => {
                let (mut now, mut left) = (0.0, nodes);
                let mut has = vec![false; nodes as usize];
                while left > 0 {
                    now += -(1.0 - rng.roll()).ln() / asked_per_s;
                    let node = rng.below(nodes) as usize;
                    if !std::mem::replace(&mut has[node], true) {
                        at[node].push((now * S as f64) as Timestamp);
                        left -= 1;
                    }
                }
            }
            Use::Ramp { per_s } => {
                let position = FleetPosition {
                    number: front,
                    fronts,
                };
                let mut ramp = SlowStart::new(position, per_s.into(), Timestamp::MAX);
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
                ramp.update(0, true, list)
                    .into_iter()
                    .for_each(|node| at[node as usize].push(0));
                while let Some(next) = ramp.next_deadline() {
                    ramp.poll(next)
                        .into_iter()
                        .for_each(|node| at[node as usize].push(next));
                }
            }
        }
    }
    at.iter_mut().for_each(|node| node.sort_unstable());
    let most = |window| at.iter().map(|node| worst(node, window)).max().unwrap_or(0);
    let last = at
        .iter()
        .filter_map(|node| node.last())
        .max()
        .copied()
        .unwrap_or(0);
    Dials {
        worst_second: most(S),
        worst_100_ms: most(S / 10),
        all_s: last as f64 / S as f64,
    }
}
