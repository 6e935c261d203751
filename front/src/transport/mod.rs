//! Sockets, clock and deadlines. Nothing here knows what the bytes mean.
mod clock;
mod deadlines;
mod reactor;
mod stream;
mod workers;

pub use clock::Clock;
pub use deadlines::Deadlines;
pub use reactor::{Reactor, Registered};
pub use stream::{dial, inherited, listen, Outgoing, Stream};
pub use workers::Workers;
