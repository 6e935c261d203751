//! Several processes of the program with a list service, nodes, links and clients under a test's hand, one history of what crossed its sockets, and
//! checkers that read it. Never a dependency of what ships.
//!
//! Verdicts rest on what was seen at the service, never on what a process says of itself. A test waits for events, each with
//! one generous deadline, and what fails prints the history around it. Only processes that the rig itself began are ended,
//! also when the test dies: the system ends them with the thread that began them.
#![deny(missing_docs)]

mod clients;
mod cluster;
mod faults;
mod fleet;
mod history;
mod invariants;
mod link;
mod list_event;
mod list_service;
mod nodes;
mod socket_faults;

pub use clients::{ClientLoad, Clients};
pub use cluster::{ClusterSize, TestCluster};
pub use faults::{Fault, Script};
pub use fleet::{FaultInjector, Fleet};
pub use history::{History, Observation};
pub use invariants::{context, violations, warm_up_violations, Limits, Violation, WarmUpLimits};
pub use link::{Link, Transmission};
pub use list_event::{Event, ListedNode, State};
pub use list_service::{ListService, ServiceMode};
pub use nodes::{Behavior, Nodes};
pub use socket_faults::{SocketFaults, SystemCall};

use std::time::Duration;

/// No test waits for longer than this: a guard against hanging, not a measure.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// An address of this machine that nobody else listens on and nobody dials from: what is dialled from 127.0.0.1 has ports of that
/// address, and one of them could otherwise be what a stand-in that was down wants back.
pub fn unique_address() -> std::net::SocketAddr {
    static LAST: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = LAST.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let (pid, part) = (std::process::id(), |n: u32| (n % 250 + 1) as u8);
    // 127.128 and up: stories take addresses below for what their fronts listen on.
    let host = [127, 128 + (pid % 100) as u8, part(pid / 100), part(n)];
    (host, 0).into()
}
