//! The command line.
use super::config::{settings, Config};
use super::ctl::{self, Ctl};
use super::event_loop::Server;
use super::signals::Early;
use bpaf::{construct, long, positional, OptionParser, Parser};
use cranesill_daemon::Daemon;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Clone, Debug)]
enum Command {
    Serve(Serve),
    Check(Option<PathBuf>, Option<PathBuf>),
    Schema,
    Ctl(Ctl),
    Version,
}

/// What a front is started with.
#[derive(Clone, Debug)]
struct Serve {
    settings: Option<PathBuf>,
    ops: Option<String>,
    accept_fd: Option<String>,
    config: PathBuf,
}

fn options() -> OptionParser<Command> {
    let file = || {
        let option = long("config")
            .help("The configuration")
            .env("RELAY_CONFIG")
            .argument::<PathBuf>("FILE");
        let given = positional::<PathBuf>("FILE").help("The configuration");
        construct!([given, option])
    };
    let own = || {
        long("settings")
            .help("The daemon's own settings")
            .argument::<PathBuf>("FILE")
            .optional()
    };
    let (settings, config) = (own(), file());
    let ops = long("ops")
        .help("Where operators call, if not as the configuration says")
        .env("RELAY_OPS")
        .argument::<String>("ADDRESS")
        .optional();
    let accept_fd = long("accept-fd")
        .help("The clients' listening socket, inherited under this number")
        .env("RELAY_ACCEPT_FD")
        .argument::<String>("N")
        .optional();
    let serve = construct!(Serve {
        settings,
        ops,
        accept_fd,
        config
    })
    .map(Command::Serve);
    let serve = serve.to_options().descr("Serve clients until SIGTERM");
    let (settings, config) = (own(), file().optional());
    let check =
        construct!(settings, config).map(|(settings, config)| Command::Check(config, settings));
    let check = check
        .to_options()
        .descr("Read configuration and settings and say what is wrong with them");
    let schema = bpaf::pure(Command::Schema)
        .to_options()
        .descr("Print the JSON Schema of the settings");
    let version = bpaf::pure(Command::Version)
        .to_options()
        .descr("Print the version");
    let serve = serve.command("serve");
    let check = check.command("check");
    let schema = schema.command("schema");
    let version = version.command("version");
    let ctl = ctl::ctl().map(Command::Ctl);
    let certs = ctl::certs().map(Command::Ctl);
    let purge = ctl::purge().map(Command::Ctl);
    let purges = ctl::purges().map(Command::Ctl);
    construct!([serve, check, schema, ctl, certs, purge, purges, version])
        .to_options()
        .descr("A front for caches that fill from parents and an origin")
}

fn serve(
    Serve {
        config,
        settings: own,
        ops,
        accept_fd,
    }: Serve,
) -> Result<(), Vec<String>> {
    // Before anything is read: a signal that comes while the program starts would end it by the system's own way.
    let early = Early::new().map_err(|e| vec![format!("signals: {e}")])?;
    let mut config = Config::load(&config)?;
    let daemon = own.as_deref().map_or(Ok(Daemon::default()), settings)?;
    let mut faults = Vec::new();
    if let Some(ops) = ops {
        config.ops = ops
            .parse()
            .map_err(|_| faults.push(format!("RELAY_OPS: no address: {ops}")))
            .ok();
    }
    if let Some(fd) = accept_fd {
        config.accept_fd = fd
            .parse()
            .map_err(|_| faults.push(format!("RELAY_ACCEPT_FD: {fd}: no number")))
            .ok();
    }
    if !faults.is_empty() {
        return Err(faults);
    }
    config.reserve(&daemon).map_err(|e| vec![e])?;
    let server = Server::new(config, daemon, own).map_err(|e| vec![e.to_string()])?;
    early.again().map_err(|e| vec![format!("signals: {e}")])?;
    server.run().map_err(|e| vec![e.to_string()])
}

/// Reads both files as far as they are named; all faults of both are told.
fn check(config: Option<PathBuf>, own: Option<PathBuf>) -> Result<(), Vec<String>> {
    if config.is_none() && own.is_none() {
        return Err(vec!["neither a configuration nor settings are named".into()]);
    }
    let config = config.map(|file| Config::load(&file));
    let own = own.map(|file| settings(&file));
    let mut faults: Vec<String> = Vec::new();
    if let (Some(Ok(config)), Some(Ok(daemon))) = (&config, &own) {
        faults.extend(config.clone().reserve(daemon).err());
    }
    match config {
        Some(Ok(config)) => println!("{}", config.summary()),
        Some(Err(found)) => faults.extend(found),
        None => {}
    }
    match own {
        Some(Ok(daemon)) => {
            let on = [
                ("control", daemon.control.is_some()),
                ("tls", daemon.tls.is_some()),
                ("certs", daemon.certs.is_some()),
                ("purges", daemon.purges.is_some()),
                ("startup", daemon.startup.is_some()),
            ];
            let on: Vec<_> = on
                .into_iter()
                .filter(|(_, on)| *on)
                .map(|(name, _)| name)
                .collect();
            println!(
                "settings: {}",
                if on.is_empty() {
                    "everything is off".into()
                } else {
                    on.join(", ")
                }
            );
        }
        Some(Err(found)) => faults.extend(found),
        None => {}
    }
    if faults.is_empty() {
        Ok(())
    } else {
        Err(faults)
    }
}

/// Runs what the command line asks for.
pub fn run() -> ExitCode {
    let done = match options().run() {
        Command::Serve(asked) => serve(asked),
        Command::Check(config, own) => check(config, own),
        Command::Schema => {
            // A value of JSON can always be written as text.
            println!(
                "{}",
                serde_json::to_string_pretty(&cranesill_daemon::schema()).unwrap_or_default()
            );
            Ok(())
        }
        Command::Ctl(ctl) => return ctl::run(ctl),
        Command::Version => {
            println!("cranesill {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(faults) => {
            faults
                .iter()
                .for_each(|fault| eprintln!("cranesill: {fault}"));
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
