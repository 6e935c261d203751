//! Decisions of a request router for caches that fill from parent caches and an origin.
//!
//! The library does no I/O and reads no clock. The embedding program passes [`api::Event`]s to a [`Router`] and
//! carries out the [`api::Action`]s that it returns. The decisions are in the module `policy` and its submodules; the
//! types of the interface are in [`api`].
#![doc = include_str!("../README.md")]
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod api;
mod policy;

pub use policy::Router;
