//! The command line interface.
use super::config::{load_settings, Config};
use super::ctl::{self, Ctl};
use super::error::{CommandError, ConfigErrors};
use super::event_loop::Server;
use super::signals::StartupSignals;
use bpaf::{construct, long, positional, OptionParser, Parser};
use cranesill_daemon::Daemon;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Clone, Debug)]
enum Command {
    Serve(Serve),
    Check {
        config: Option<PathBuf>,
        settings: Option<PathBuf>,
    },
    Schema,
    Ctl(Ctl),
    Version,
}

/// Options of `cranesill serve`.
#[derive(Clone, Debug)]
struct Serve {
    settings: Option<PathBuf>,
    ops: Option<String>,
    accept_fd: Option<String>,
    config: PathBuf,
}

fn options() -> OptionParser<Command> {
    let serve = serve_command();
    let check = check_command();
    let schema = bpaf::pure(Command::Schema)
        .to_options()
        .descr("Print the JSON Schema of the settings")
        .command("schema");
    let version = bpaf::pure(Command::Version)
        .to_options()
        .descr("Print the version")
        .command("version");
    let ctl = ctl::ctl().map(Command::Ctl);
    let certs = ctl::certs().map(Command::Ctl);
    let purge = ctl::purge().map(Command::Ctl);
    let purges = ctl::purges().map(Command::Ctl);
    construct!([serve, check, schema, ctl, certs, purge, purges, version])
        .to_options()
        .descr("Request router in front of caches, parent caches and an origin")
}

/// The configuration file, as an option or a positional argument.
fn config_file() -> impl Parser<PathBuf> {
    let option = long("config")
        .help("Configuration file")
        .env("RELAY_CONFIG")
        .argument::<PathBuf>("FILE");
    let given = positional::<PathBuf>("FILE").help("Configuration file");
    construct!([given, option])
}

fn settings_file() -> impl Parser<Option<PathBuf>> {
    long("settings")
        .help("Settings file of the daemon")
        .argument::<PathBuf>("FILE")
        .optional()
}

fn serve_command() -> impl Parser<Command> {
    let settings = settings_file();
    let config = config_file();
    let ops = long("ops")
        .help("Address for operators' commands; overrides the configuration")
        .env("RELAY_OPS")
        .argument::<String>("ADDRESS")
        .optional();
    let accept_fd = long("accept-fd")
        .help("Inherited file descriptor of the listening socket for clients")
        .env("RELAY_ACCEPT_FD")
        .argument::<String>("N")
        .optional();
    construct!(Serve {
        settings,
        ops,
        accept_fd,
        config
    })
    .map(Command::Serve)
    .to_options()
    .descr("Serve clients until SIGTERM")
    .command("serve")
}

fn check_command() -> impl Parser<Command> {
    let settings = settings_file();
    let config = config_file().optional();
    construct!(settings, config)
        .map(|(settings, config)| Command::Check { config, settings })
        .to_options()
        .descr("Validate configuration and settings and list all errors")
        .command("check")
}

/// Serves until SIGTERM. Returns all errors found in the configuration and the settings.
fn serve(options: Serve) -> Result<(), Vec<CommandError>> {
    // First of all, because the default action of SIGTERM and SIGHUP would end the process during startup.
    let startup_signals = StartupSignals::new().map_err(|e| vec![CommandError::Signals(e)])?;
    let mut config = Config::load(&options.config).map_err(command_errors)?;
    let settings = match &options.settings {
        Some(file) => load_settings(file).map_err(command_errors)?,
        None => Daemon::default(),
    };
    apply_options(&mut config, &options)?;
    config
        .reserve_descriptors(&settings)
        .map_err(|e| vec![CommandError::Config(e)])?;
    let server = Server::new(config, settings, options.settings);
    let server = server.map_err(|e| vec![CommandError::Server(e)])?;
    startup_signals
        .re_raise()
        .map_err(|e| vec![CommandError::Signals(e)])?;
    server.run().map_err(|e| vec![CommandError::Server(e)])
}

/// Overrides the configuration with options of the command line or the environment.
fn apply_options(config: &mut Config, options: &Serve) -> Result<(), Vec<CommandError>> {
    let mut errors = Vec::new();
    if let Some(text) = &options.ops {
        match text.parse() {
            Ok(address) => config.ops = Some(address),
            Err(_) => errors.push(CommandError::OpsAddress(text.clone())),
        }
    }
    if let Some(text) = &options.accept_fd {
        match text.parse() {
            Ok(descriptor) => config.accept_fd = Some(descriptor),
            Err(_) => errors.push(CommandError::AcceptDescriptor(text.clone())),
        }
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

fn command_errors(errors: ConfigErrors) -> Vec<CommandError> {
    errors.into_iter().map(CommandError::Config).collect()
}

/// Validates the given files and returns the errors of both.
fn check(config: Option<PathBuf>, settings_file: Option<PathBuf>) -> Result<(), Vec<CommandError>> {
    if config.is_none() && settings_file.is_none() {
        return Err(vec![CommandError::NothingToCheck]);
    }
    let config = config.map(|file| Config::load(&file));
    let settings = settings_file.map(|file| load_settings(&file));
    let mut errors = Vec::new();
    if let (Some(Ok(config)), Some(Ok(settings))) = (&config, &settings) {
        let reserved = config.clone().reserve_descriptors(settings);
        errors.extend(reserved.err().map(CommandError::Config));
    }
    match config {
        Some(Ok(config)) => println!("{}", config.summary()),
        Some(Err(found)) => errors.extend(command_errors(found)),
        None => {}
    }
    match settings {
        Some(Ok(settings)) => println!("settings: {}", enabled_subsystems(&settings)),
        Some(Err(found)) => errors.extend(command_errors(found)),
        None => {}
    }
    if errors.is_empty() {
        Ok(())
    } else {
        Err(errors)
    }
}

/// Lists the subsystems that the settings enable.
fn enabled_subsystems(settings: &Daemon) -> String {
    let subsystems = [
        ("control", settings.control.is_some()),
        ("tls", settings.tls.is_some()),
        ("certs", settings.certs.is_some()),
        ("purges", settings.purges.is_some()),
        ("startup", settings.startup.is_some()),
    ];
    let enabled = subsystems.into_iter().filter(|(_, enabled)| *enabled);
    let names: Vec<_> = enabled.map(|(name, _)| name).collect();
    if names.is_empty() {
        return "no subsystem is enabled".into();
    }
    names.join(", ")
}

/// Parses the command line and runs the command. Returns the exit code of the process.
pub fn run() -> ExitCode {
    let result = match options().run() {
        Command::Serve(options) => serve(options),
        Command::Check { config, settings } => check(config, settings),
        Command::Schema => {
            // Serialization of a JSON value cannot fail.
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
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(errors) => {
            for error in errors {
                eprintln!("cranesill: {error}");
            }
            ExitCode::FAILURE
        }
    }
}

#[cfg(test)]
mod tests;
