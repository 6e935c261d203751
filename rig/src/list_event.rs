//! Events of the list service as it writes them.
use std::net::SocketAddr;

/// What a node is listed as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It serves.
    Ready,
    /// It drains.
    Draining,
    /// It is gone.
    Removed,
}

/// A node as it is listed; where it listens depends on who is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedNode {
    /// Its place among the nodes.
    pub index: usize,
    /// Its id.
    pub id: u32,
    /// What it is listed as.
    pub state: State,
    /// Places in the lists of zones and kinds of the settings.
    pub zone: u8,
    /// The kind.
    pub kind: u8,
    /// Its size.
    pub weight: u32,
    /// Unix millisecond of a late start, or 0.
    pub started_ms: u64,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Nodes that are listed; `true`: all that there are.
    Nodes(bool, Vec<ListedNode>),
    /// An object is purged, at a Unix millisecond.
    Purge(u64, u64),
}

impl Event {
    /// The event as it is written under a number to who reaches the nodes at these addresses.
    pub fn frame(&self, number: u64, addresses: &[SocketAddr]) -> Vec<u8> {
        let mut payload = Vec::new();
        let kind = match self {
            Event::Nodes(whole, listed) => {
                for one in listed {
                    let SocketAddr::V4(at) = addresses[one.index] else {
                        unreachable!("the rig is on IPv4")
                    };
                    let state = match one.state {
                        State::Ready => 0,
                        State::Draining => 1,
                        State::Removed => 2,
                    };
                    payload.extend(one.id.to_be_bytes());
                    payload.extend(at.ip().octets());
                    payload.extend(at.port().to_be_bytes());
                    payload.extend([state, one.zone, one.kind, 0, 0]);
                    payload.extend((one.weight * 1_000).to_be_bytes());
                    payload.extend(one.started_ms.to_be_bytes());
                }
                if *whole {
                    1
                } else {
                    2
                }
            }
            Event::Purge(item, at_ms) => {
                payload.extend(item.to_be_bytes());
                payload.extend(at_ms.to_be_bytes());
                3
            }
        };
        let length = (9 + payload.len()) as u32;
        [
            &length.to_be_bytes()[..],
            &number.to_be_bytes(),
            &[kind],
            &payload,
        ]
        .concat()
    }
}
