//! Test harness that runs several processes of the program with a list service, nodes, network links and clients.
//!
//! Stand-ins and clients record what they observe in one history, which checkers evaluate; what a process reports about
//! itself does not count. Waits have a common timeout, and failures print the history around the event. Processes that the
//! harness started are killed when the thread that started them exits. Used by tests and measurements only.
#![deny(missing_docs)]

mod client_frames;
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
mod soak;
mod socket_faults;

pub use client_frames::{client_frame, request_frame};
pub use clients::{ClientLoad, Clients, FrontAccess};
pub use cluster::{ClusterSize, TestCluster};
pub use faults::{Fault, Script};
pub use fleet::{FaultInjector, Fleet};
pub use history::{History, Observation};
pub use invariants::{context, violations, warm_up_violations, Limits, Violation, WarmUpLimits};
pub use link::{Link, Transmission};
pub use list_event::{Event, ListedNode, State};
pub use list_service::{ListService, ServiceMode};
pub use nodes::{Behavior, Nodes};
pub use soak::{Soak, SoakStep};
pub use socket_faults::{SocketFaults, SystemCall};

use std::time::Duration;

/// Timeout of every wait in a test; protects against hanging tests.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Returns a loopback address, port 0, that no other listener of this host uses.
///
/// Outgoing connections use ports of 127.0.0.1, so none of them can occupy a port that a stopped stand-in binds again.
pub fn unique_address() -> std::net::SocketAddr {
    static LAST: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let n = LAST.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let (pid, part) = (std::process::id(), |n: u32| (n % 250 + 1) as u8);
    // Tests use addresses below 127.128 for the fronts' own listeners.
    let host = [127, 128 + (pid % 100) as u8, part(pid / 100), part(n)];
    (host, 0).into()
}
