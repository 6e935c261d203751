//! The command line.
use super::config::Config;
use super::serve::Server;
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Clone, Debug)]
enum Command {
    Serve(PathBuf),
    Check(PathBuf),
    Version,
}

fn options() -> OptionParser<Command> {
    let file = || {
        let option = long("config").help("The configuration").env("RELAY_CONFIG").argument::<PathBuf>("FILE");
        let given = positional::<PathBuf>("FILE").help("The configuration");
        construct!([given, option])
    };
    let serve = file().map(Command::Serve).to_options().descr("Serve clients until SIGTERM");
    let check =
        file().map(Command::Check).to_options().descr("Read a configuration and say what it asks for");
    let version = bpaf::pure(Command::Version).to_options().descr("Print the version");
    let serve = serve.command("serve");
    let check = check.command("check");
    let version = version.command("version");
    construct!([serve, check, version])
        .to_options()
        .descr("A front for caches that fill from parents and an origin")
}

/// Runs what the command line asks for.
pub fn run() -> ExitCode {
    let done = match options().run() {
        Command::Serve(file) => Config::load(&file).and_then(|config| Server::new(config)?.run()),
        Command::Check(file) => Config::load(&file).map(|config| println!("{}", config.summary())),
        Command::Version => {
            println!("cranesill {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cranesill: {error}");
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn the_command_line_is_sound() {
        super::options().check_invariants(false);
    }
}
