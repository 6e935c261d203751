//! Outside systems as this project plays them, written from their public specifications: for tests, benches and
//! examples alone, never for what ships. They share no code with what they test.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod acme;
pub mod cache_node;
