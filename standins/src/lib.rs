//! Test servers for external systems, written from the specifications of their protocols. They are used by tests, benchmarks
//! and examples only and share no code with the programs under test.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod acme;
pub mod cache_node;
