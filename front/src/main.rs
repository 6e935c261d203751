//! The front: takes clients' requests on sockets and sends them to caches, parents and the origin as the
//! decisions of `cranesill` say.
#![deny(unsafe_code)]
mod protocol;
mod routing;
mod server;
mod transport;

fn main() -> std::process::ExitCode {
    server::run()
}
