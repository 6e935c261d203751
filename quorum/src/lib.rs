//! A replicated log of a few fronts, by Raft (the crate `raft`), without I/O or a clock: the caller passes ticks and
//! messages in, and writes and sends what comes out in the order that [`Step`] gives.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod node;
pub mod storage;

pub use error::{NodeError, ProposeError, ReceiveError};
pub use node::{Node, OutgoingMessage, Step, MAX_MESSAGE_BYTES, MIN_ELECTION_TIMEOUT_TICKS};
