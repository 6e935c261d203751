//! An ACME authority (RFC 8555, RFC 8737, RFC 9773), as strict as a public one.
//!
//! [`Authority`] is its core: requests go in, answers come out, time is told. [`Server`] puts it on HTTPS and really
//! looks at challenges, on loopback. [`Faults`] are what it can be told to do wrong.
mod authority;
mod issue;
mod jws;
mod server;
mod validate;

pub use authority::{Authority, Check, Faults, Request, Response, WrongChain};
pub use issue::Issuer;
pub use server::Server;
