//! Transport: poller, sockets, buffered connections, timers, clock and worker threads. Independent of any protocol.
mod backoff_listener;
mod clock;
mod deadlines;
mod descriptors;
mod faults;
mod reactor;
mod shortage_retry;
mod socket;
mod stream;
mod workers;

pub use backoff_listener::BackoffListener;
pub use clock::Clock;
pub use deadlines::Deadlines;
pub use descriptors::descriptors_exhausted;
pub use faults::{is_local, AcceptFault};
pub use reactor::{Reactor, ReadyEvent, Registered};
pub use shortage_retry::retry_on_shortage;
pub use socket::{dial, inherited, listen, InheritedSocketError, PeerEnd};
pub use stream::{Outgoing, Stream};
pub use workers::Workers;
