//! A log replicated between a few fronts with Raft (the crate `raft`). The crate performs no I/O and reads no clock: the
//! caller passes in ticks and messages, and executes each [`Step`] in the documented order.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod error;
mod node;
pub mod storage;

pub use error::{NodeError, ProposeError, ReceiveError};
pub use node::{Node, OutgoingMessage, Step, MAX_MESSAGE_BYTES, MIN_ELECTION_TIMEOUT_TICKS};
