//! A test ACME authority (RFC 8555, RFC 8737, RFC 9773) that checks requests as strictly as a public one.
//!
//! [`Authority`] processes requests without I/O; the caller supplies the time. [`Server`] serves it over HTTPS and validates
//! challenges on loopback. [`Faults`] lists the faults that tests can inject.
mod authority;
mod issue;
mod jws;
mod server;
mod validate;

pub use authority::{Authority, Check, Faults, Request, Response, WrongChain};
pub use issue::Issuer;
pub use server::Server;
