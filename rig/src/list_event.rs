//! Events of the list service and their encoding.
use std::net::SocketAddr;

/// State in which a node is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts requests.
    Ready,
    /// Is being drained.
    Draining,
    /// Is no longer in the list.
    Removed,
}

/// Entry of a node in the endpoint list. The address is added by encoding, since it depends on the receiving front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListedNode {
    /// Index of the node in [`crate::Nodes::all`].
    pub index: usize,
    /// Endpoint id.
    pub id: u32,
    /// Listed state.
    pub state: State,
    /// Index in the list of zones of the settings.
    pub zone: u8,
    /// Index in the list of kinds of the settings.
    pub kind: u8,
    /// Capacity weight.
    pub weight: u32,
    /// Start time in Unix milliseconds; 0 if the node is not warming up.
    pub started_ms: u64,
}

/// Event of the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Listed nodes; `true` if they replace the whole list.
    Nodes(bool, Vec<ListedNode>),
    /// Purge of an object: its id and the time in Unix milliseconds.
    Purge(u64, u64),
}

impl Event {
    /// Encodes the event with its number, with `addresses` as the nodes' addresses.
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
