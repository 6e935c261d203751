//! What can go wrong when a front starts, runs, or carries out an operator's command.
use super::drivers::certs::CertsError;
use super::drivers::purges::TargetError;
use crate::protocol::configured_events::ConfiguredEventsError;
use crate::transport::InheritedSocketError;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};

/// What is wrong with one value of a configuration or of the settings. The texts are what the operator sees.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// A value is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// A value is no socket address.
    #[error("{key}: no address: {text}")]
    InvalidAddress {
        /// The key of the value.
        key: &'static str,
        /// What stands there.
        text: String,
    },
    /// A limit is missing.
    #[error("limits.{0}: missing")]
    LimitMissing(&'static str),
    /// A limit is too low to serve with.
    #[error("limits.{key}: under {minimum}")]
    LimitTooLow {
        /// The key of the limit.
        key: &'static str,
        /// The least that is possible.
        minimum: u64,
    },
    /// The seed is no hexadecimal number.
    #[error("seed: not hex: {0}")]
    SeedMalformed(String),
    /// The rules of the deployment cannot be used.
    #[error("{0}")]
    Deployment(String),
    /// The endpoint list that is known at the start cannot be used.
    #[error(transparent)]
    Known(#[from] ConfiguredEventsError),
    /// The settings of certificates cannot be used.
    #[error(transparent)]
    Certificates(#[from] CertsError),
}

/// Why a configuration or settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The file is no JSON.
    #[error("{}: {source}", file.display())]
    InvalidJson {
        /// The file.
        file: PathBuf,
        /// Where it is malformed.
        source: serde_json::Error,
    },
    /// A value cannot be used.
    #[error("{}: $.{fault}", file.display())]
    Invalid {
        /// The file.
        file: PathBuf,
        /// The value and what is wrong with it.
        fault: ConfigFault,
    },
    /// A setting cannot be used.
    #[error("{}: {fault}", file.display())]
    InvalidSettings {
        /// The file.
        file: PathBuf,
        /// The setting and what is wrong with it.
        fault: cranesill_daemon::Fault,
    },
    /// Subsystems would take too many of the descriptors.
    #[error(
        "$.tls.handshakes_most: control, tls, certs, purges and peers would take {needed} descriptors, and {limit} of {sockets} \
         are for them"
    )]
    TooManyDescriptors {
        /// What the subsystems need.
        needed: usize,
        /// What they may have.
        limit: usize,
        /// The limit of the whole front.
        sockets: usize,
    },
}

impl ConfigError {
    /// The file cannot be read.
    pub fn unreadable(file: &Path, source: io::Error) -> Self {
        let file = file.to_path_buf();
        ConfigError::Unreadable { file, source }
    }

    /// The file is no JSON.
    pub fn invalid_json(file: &Path, source: serde_json::Error) -> Self {
        let file = file.to_path_buf();
        ConfigError::InvalidJson { file, source }
    }

    /// A value in the file cannot be used.
    pub fn invalid(file: &Path, fault: ConfigFault) -> Self {
        let file = file.to_path_buf();
        ConfigError::Invalid { file, fault }
    }

    /// A setting in the file cannot be used.
    pub fn invalid_settings(file: &Path, fault: cranesill_daemon::Fault) -> Self {
        let file = file.to_path_buf();
        ConfigError::InvalidSettings { file, fault }
    }
}

/// All that is wrong with a file; at least one error.
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

/// Why a command of the command line fails.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// Signals cannot be caught.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// A file cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The address for operators is malformed.
    #[error("RELAY_OPS: no address: {0}")]
    OpsAddress(String),
    /// The descriptor of the clients' socket is no number.
    #[error("RELAY_ACCEPT_FD: {0}: no number")]
    AcceptDescriptor(String),
    /// There is nothing to check.
    #[error("neither a configuration nor settings are named")]
    NothingToCheck,
    /// The server cannot start or go on.
    #[error(transparent)]
    Server(#[from] ServerError),
}

/// Why a server cannot start or cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The clients' listening socket that the platform handed over cannot be used.
    #[error("RELAY_ACCEPT_FD: {descriptor}: {reason}")]
    InheritedSocket {
        /// The number under which it was inherited.
        descriptor: RawFd,
        /// Why it is no listening socket.
        reason: InheritedSocketError,
    },
    /// The clients' address cannot be listened on.
    #[error("{address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The poller cannot be made, cannot watch a socket, or fails to wait.
    #[error("poller: {0}")]
    Poller(#[source] io::Error),
    /// Signals cannot be caught.
    #[error("signals: {0}")]
    Signals(#[source] io::Error),
    /// The address of the listening socket cannot be read.
    #[error("listener: {0}")]
    Listener(#[source] io::Error),
    /// A subsystem that the settings switch on cannot start; the text names the setting.
    #[error("{0}")]
    Subsystem(#[source] Box<dyn std::error::Error>),
}

/// Why an operator's command is rejected. The texts are what the operator sees.
#[derive(Debug, thiserror::Error)]
pub enum AdminError {
    /// The process shuts down.
    #[error("leaving")]
    ShuttingDown,
    /// An operator has drained this front.
    #[error("quiesced")]
    Quiesced,
    /// A process that shuts down cannot accept clients again.
    #[error("leaving: another process takes over")]
    ReplacedByAnotherProcess,
    /// The log level is unknown.
    #[error("level: {0}")]
    LogLevel(#[source] serde_json::Error),
    /// The arguments do not say what to purge.
    #[error(transparent)]
    PurgeTarget(#[from] TargetError),
    /// The settings do not switch purges on.
    #[error("purges are off")]
    PurgesDisabled,
    /// The command needs an endpoint.
    #[error("node: missing")]
    EndpointMissing,
    /// The endpoint's id is malformed.
    #[error("node: not s- and 8 hex digits")]
    EndpointMalformed,
    /// The endpoint is not and was not listed.
    #[error("{0}: unknown")]
    EndpointUnknown(String),
    /// No more endpoints can be cordoned at once.
    #[error("{endpoint}: {limit} are out by hand already")]
    TooManyCordons {
        /// The endpoint's id as the operator gave it.
        endpoint: String,
        /// How many can be cordoned at once.
        limit: usize,
    },
    /// The cordon cannot be shared with other processes of this front.
    #[error("{endpoint}: it can't be kept: {source}")]
    CordonNotStored {
        /// The endpoint's id as the operator gave it.
        endpoint: String,
        /// What the system says.
        source: io::Error,
    },
}

/// Why an operator's command to a running daemon fails on the operator's side, or what the daemon answers.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// It is not known where the daemon listens.
    #[error("neither --socket nor --settings is given")]
    NoSocket,
    /// The settings that should name the socket cannot be used.
    #[error(transparent)]
    Settings(#[from] ConfigErrors),
    /// The settings switch no control socket on.
    #[error("{}: $.control: missing", .0.display())]
    ControlDisabled(PathBuf),
    /// A file or the socket cannot be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file or socket.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The daemon closed the connection, or sent no JSON.
    #[error("{}: no answer", .0.display())]
    NoResponse(PathBuf),
    /// An argument is no pair of a name and a value.
    #[error("{0}: not FIELD=VALUE")]
    InvalidField(String),
    /// The daemon rejects the command, with this text.
    #[error("{0}")]
    Rejected(String),
}

impl CtlError {
    /// The file or socket at `path` cannot be read or written.
    pub fn io(path: &Path, source: io::Error) -> Self {
        let path = path.to_path_buf();
        CtlError::Io { path, source }
    }
}
