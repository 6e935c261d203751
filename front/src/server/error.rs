//! Errors of startup, configuration, operation, and operators' commands.
use super::drivers::certs::CertsError;
use super::drivers::purges::TargetError;
use crate::protocol::configured_events::ConfiguredEventsError;
use crate::transport::InheritedSocketError;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};

/// A fault of one value in a configuration or settings file. The texts are shown to the operator.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// A required value is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A value is not a socket address.
    #[error("{key}: no address: {text}")]
    InvalidAddress {
        /// The key of the value.
        key: &'static str,
        /// The value as it was read.
        text: String,
    },
    /// A limit is missing.
    #[error("limits.{0}: missing")]
    LimitMissing(&'static str),
    /// A limit is below the minimum that a front needs.
    #[error("limits.{key}: below the minimum of {minimum}")]
    LimitTooLow {
        /// The key of the limit.
        key: &'static str,
        /// The minimum value.
        minimum: u64,
    },
    /// The seed is not a hexadecimal number.
    #[error("seed: not a hexadecimal number: {0}")]
    SeedMalformed(String),
    /// The settings of the deployment are invalid.
    #[error("{0}")]
    Deployment(String),
    /// The endpoint list known at startup is invalid.
    #[error(transparent)]
    Known(#[from] ConfiguredEventsError),
    /// The settings of certificates are invalid.
    #[error(transparent)]
    Certificates(#[from] CertsError),
}

/// Why a configuration or settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", file.display())]
    Unreadable {
        /// The path of the file.
        file: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// The file is not valid JSON.
    #[error("{}: {source}", file.display())]
    InvalidJson {
        /// The path of the file.
        file: PathBuf,
        /// The syntax error and its position.
        source: serde_json::Error,
    },
    /// A value is invalid.
    #[error("{}: $.{fault}", file.display())]
    Invalid {
        /// The path of the file.
        file: PathBuf,
        /// The key of the value and its fault.
        fault: ConfigFault,
    },
    /// A setting is invalid.
    #[error("{}: {fault}", file.display())]
    InvalidSettings {
        /// The path of the file.
        file: PathBuf,
        /// The path of the setting and its fault.
        fault: cranesill_daemon::Fault,
    },
    /// The enabled subsystems would need too many descriptors.
    #[error(
        "$.tls.handshakes_most: control, tls, certs, purges and peers need {needed} descriptors, but at most {limit} of {sockets} \
         are available to them"
    )]
    TooManyDescriptors {
        /// The number of descriptors that the subsystems need.
        needed: usize,
        /// The maximum number of descriptors for subsystems.
        limit: usize,
        /// The descriptor limit of the front.
        sockets: usize,
    },
}

impl ConfigError {
    /// Creates an error for a file that cannot be read.
    pub fn unreadable(file: &Path, source: io::Error) -> Self {
        let file = file.to_path_buf();
        ConfigError::Unreadable { file, source }
    }

    /// Creates an error for a file that is not valid JSON.
    pub fn invalid_json(file: &Path, source: serde_json::Error) -> Self {
        let file = file.to_path_buf();
        ConfigError::InvalidJson { file, source }
    }

    /// Creates an error for an invalid value in the file.
    pub fn invalid(file: &Path, fault: ConfigFault) -> Self {
        let file = file.to_path_buf();
        ConfigError::Invalid { file, fault }
    }

    /// Creates an error for an invalid setting in the file.
    pub fn invalid_settings(file: &Path, fault: cranesill_daemon::Fault) -> Self {
        let file = file.to_path_buf();
        ConfigError::InvalidSettings { file, fault }
    }
}

/// All errors of a file; never empty.
#[derive(Debug)]
pub struct ConfigErrors(Vec<ConfigError>);

impl std::error::Error for ConfigErrors {}

impl Display for ConfigErrors {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (n, error) in self.0.iter().enumerate() {
            let separator = if n > 0 { "; " } else { "" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl From<ConfigError> for ConfigErrors {
    fn from(error: ConfigError) -> Self {
        ConfigErrors(vec![error])
    }
}

impl FromIterator<ConfigError> for ConfigErrors {
    fn from_iter<I: IntoIterator<Item = ConfigError>>(errors: I) -> Self {
        ConfigErrors(errors.into_iter().collect())
    }
}

impl IntoIterator for ConfigErrors {
    type Item = ConfigError;
    type IntoIter = std::vec::IntoIter<ConfigError>;

    fn into_iter(self) -> Self::IntoIter {
        self.0.into_iter()
    }
}

/// Errors of the command line interface.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// A configuration or settings file is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address for operators' commands is malformed.
    #[error("RELAY_OPS: not a socket address: {0}")]
    OpsAddress(String),
    /// The descriptor of the inherited listening socket is not a number.
    #[error("RELAY_ACCEPT_FD: {0}: not a number")]
    AcceptDescriptor(String),
    /// `check` was called without a file.
    #[error("nothing to check: give a configuration file, a settings file or both")]
    NothingToCheck,
    /// The server failed.
    #[error(transparent)]
    Server(#[from] ServerError),
}

/// Errors that end the server, during startup or operation.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The listening socket inherited from the platform cannot be used.
    #[error("RELAY_ACCEPT_FD: {descriptor}: {reason}")]
    InheritedSocket {
        /// The inherited descriptor.
        descriptor: RawFd,
        /// Why the descriptor cannot be used.
        reason: InheritedSocketError,
    },
    /// Listening on the address for clients failed.
    #[error("{address}: cannot listen: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system call.
        source: io::Error,
    },
    /// Creating the poller, registering a socket or waiting for events failed.
    #[error("event poller failed: {0}")]
    Poller(#[source] io::Error),
    /// Signal handlers cannot be installed.
    #[error("cannot install signal handlers: {0}")]
    Signals(#[source] io::Error),
    /// The local address of the listening socket cannot be read.
    #[error("cannot read the address of the listening socket: {0}")]
    Listener(#[source] io::Error),
    /// An enabled subsystem failed to start; the text contains the name of the setting.
    #[error("{0}")]
    Subsystem(#[source] Box<dyn std::error::Error>),
}

/// Why an operator's command is rejected. The texts are shown to the operator.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The process is shutting down.
    #[error("leaving")]
    ShuttingDown,
    /// The front is drained by the command `quiesce`.
    #[error("quiesced")]
    Quiesced,
    /// `resume` was sent to a process that is shutting down.
    #[error("leaving: another process takes over")]
    ReplacedByAnotherProcess,
    /// The log level is missing or unknown.
    #[error("level: {0}")]
    LogLevel(#[source] serde_json::Error),
    /// The target of a purge is missing or malformed.
    #[error(transparent)]
    PurgeTarget(#[from] TargetError),
    /// The settings do not enable purges.
    #[error("purges are not enabled")]
    PurgesDisabled,
    /// The argument `node` is missing.
    #[error("node: missing")]
    EndpointMissing,
    /// The endpoint id in the argument `node` is malformed.
    #[error("node: expected s- and 8 hex digits")]
    EndpointMalformed,
    /// The endpoint was never listed.
    #[error("{0}: unknown")]
    EndpointUnknown(String),
    /// The maximum number of endpoints is already cordoned.
    #[error("{endpoint}: not cordoned: the maximum of {limit} endpoints is already cordoned")]
    TooManyCordons {
        /// The endpoint id as given by the operator.
        endpoint: String,
        /// The maximum number of cordoned endpoints.
        limit: usize,
    },
    /// The cordon cannot be stored for the other processes of this front.
    #[error("{endpoint}: cannot store the cordon: {source}")]
    CordonNotStored {
        /// The endpoint id as given by the operator.
        endpoint: String,
        /// The error of the system call.
        source: io::Error,
    },
}

/// Errors of the commands that use the control socket of a running daemon.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// The path of the control socket was not given.
    #[error("no control socket: give --socket or --settings")]
    NoSocket,
    /// The settings file that contains the path of the socket is invalid.
    #[error(transparent)]
    Settings(#[from] ConfigErrors),
    /// The settings enable no control socket.
    #[error("{}: $.control: missing", .0.display())]
    ControlDisabled(PathBuf),
    /// Reading or writing a file or the socket failed.
    #[error("{}: {source}", path.display())]
    Io {
        /// The path of the file or socket.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// The daemon closed the connection or sent an invalid response.
    #[error("{}: no valid response from the daemon", .0.display())]
    NoResponse(PathBuf),
    /// An argument is not of the form `name=value`.
    #[error("{0}: expected FIELD=VALUE")]
    InvalidField(String),
    /// The daemon rejected the command with this error.
    #[error("{0}")]
    Rejected(String),
}

impl CtlError {
    /// Creates an error for a file or socket that cannot be read or written.
    pub fn io(path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        CtlError::Io { path, source }
    }
}
