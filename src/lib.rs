//! cranesill makes the decisions of a request router for caches that fill from parent caches and an origin.
//!
//! The library does no input or output and reads no clock. The embedding program feeds [`api::Event`]s to a
//! [`Router`] and carries out the [`api::Action`]s that it answers with. The decisions are in the module
//! `policy` and its submodules; the types that it speaks are in [`api`].
#![doc = include_str!("../README.md")]
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod api;
mod policy;

pub use policy::Router;
