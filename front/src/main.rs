//! The front: takes clients' requests on sockets and sends them to caches, parents and the origin as the
//! decisions of `cranesill` say.
#![deny(unsafe_code)]
mod program;
mod protocol;
mod routing;
mod transport;

fn main() -> std::process::ExitCode {
    program::run()
}
