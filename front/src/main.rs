//! The front: receives clients' requests on sockets and routes them to caches, parents and the origin. The routing decisions
//! are made by the `cranesill` library.
#![deny(unsafe_code)]
mod protocol;
mod routing;
mod server;
mod transport;

fn main() -> std::process::ExitCode {
    server::run()
}
