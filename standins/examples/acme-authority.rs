//! The stand-in authority as a program, on loopback. `POST /manage` tells it what to do wrong, for example
//! `{"faults": {"down": true, "retry_after": 30}, "clock": 86400}`.
use bpaf::{construct, long, Parser};
use cranesill_standins::acme::Server;
use std::net::SocketAddr;
use std::path::PathBuf;

fn main() {
    let listen = long("listen")
        .help("Address and port")
        .argument::<SocketAddr>("ADDRESS");
    let http = long("http-port")
        .help("Port on loopback for http-01")
        .argument::<u16>("PORT")
        .fallback(80);
    let tls = long("tls-port")
        .help("Port on loopback for tls-alpn-01")
        .argument::<u16>("PORT")
        .fallback(443);
    let lifetime = long("lifetime-s")
        .help("Seconds that certificates live")
        .argument::<u64>("S")
        .optional();
    let out = long("root-out")
        .help("Where its root is written, in PEM")
        .argument::<PathBuf>("FILE")
        .optional();
    let options = construct!(listen, http, tls, lifetime, out)
        .to_options()
        .descr("A stand-in ACME authority");
    let (listen, http, tls, lifetime, out) = options.run();
    let fail = |what: &str, e: std::io::Error| -> ! {
        eprintln!("acme-authority: {what}: {e}");
        std::process::exit(1)
    };
    let server = match Server::start(listen, http, tls, u64::from(std::process::id())) {
        Ok(server) => server,
        Err(e) => fail(&listen.to_string(), e),
    };
    if let Some(seconds) = lifetime {
        server.authority().lifetime = seconds;
    }
    if let Some(out) = out {
        if let Err(e) = std::fs::write(&out, server.root()) {
            fail(&out.display().to_string(), e);
        }
    }
    println!("{}", server.directory());
    loop {
        std::thread::park();
    }
}
