//! Agreement between a few fronts: an ordered, durable log by raft (the crate `raft`). No input, output or clock here: ticks and
//! messages come in, and what is to be written and sent comes out, in the order that [`Step`] says.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod node;
pub mod storage;

pub use node::{Node, Sent, Step, MESSAGE_MOST};
