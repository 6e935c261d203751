//! Sockets, clock and deadlines. Nothing here knows what the bytes mean.
mod at_start;
mod backoff_listener;
mod clock;
mod deadlines;
mod descriptors;
mod faults;
mod reactor;
mod socket;
mod stream;
mod workers;

pub use at_start::at_start;
pub use backoff_listener::BackoffListener;
pub use clock::Clock;
pub use deadlines::Deadlines;
pub use descriptors::used_up;
pub use faults::{is_local, AcceptFault};
pub use reactor::{Reactor, ReadyEvent, Registered};
pub use socket::{dial, inherited, listen, InheritedSocketError};
pub use stream::{Outgoing, Stream};
pub use workers::Workers;
