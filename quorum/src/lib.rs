//! Agreement between a few fronts: an ordered, durable log by raft (the crate `raft`). No input, output or clock here: ticks and
//! messages come in, and what is to be written and sent comes out, in the order that [`Step`] says.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod disk;
mod node;

pub use node::{Node, Sent, Step, MESSAGE_MOST};
