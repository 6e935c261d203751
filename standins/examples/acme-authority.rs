//! Runs the test ACME authority. `POST /manage` injects faults and moves its clock, for example by
//! `{"faults": {"down": true, "retry_after": 30}, "clock": 86400}`.
use bpaf::{construct, long, Parser};
use cranesill_standins::acme::Server;
use std::net::SocketAddr;
use std::path::PathBuf;

fn main() {
    let listen = long("listen")
        .help("Address and port to listen on")
        .argument::<SocketAddr>("ADDRESS");
    let http = long("http-port")
        .help("Port on loopback on which http-01 challenges are validated")
        .argument::<u16>("PORT")
        .fallback(80);
    let tls = long("tls-port")
        .help("Port on loopback on which tls-alpn-01 challenges are validated")
        .argument::<u16>("PORT")
        .fallback(443);
    let lifetime = long("lifetime-s")
        .help("Validity period of issued certificates, in seconds")
        .argument::<u64>("S")
        .optional();
    let out = long("root-out")
        .help("File to write the root certificate to, in PEM")
        .argument::<PathBuf>("FILE")
        .optional();
    let options = construct!(listen, http, tls, lifetime, out)
        .to_options()
        .descr("Test ACME authority");
    let (listen, http, tls, lifetime, out) = options.run();
    let fail = |what: &str, e: std::io::Error| -> ! {
        eprintln!("acme-authority: {what}: {e}");
        std::process::exit(1)
    };
    let server = match Server::start(listen, http, tls, u64::from(std::process::id())) {
        Ok(server) => server,
        Err(e) => fail(&format!("cannot listen on {listen}"), e),
    };
    if let Some(seconds) = lifetime {
        server.authority().lifetime = seconds;
    }
    if let Some(out) = out {
        if let Err(e) = std::fs::write(&out, server.root()) {
            fail(
                &format!("cannot write the root certificate to {}", out.display()),
                e,
            );
        }
    }
    println!("{}", server.directory());
    loop {
        std::thread::park();
    }
}
