//! What can go wrong when a front starts, runs, or carries out an operator's command.
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;

/// Why a server cannot start or cannot go on.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The clients' listening socket that the platform handed over cannot be used.
    #[error("RELAY_ACCEPT_FD: {descriptor}: {reason}")]
    InheritedSocket {
        /// The number under which it was inherited.
        descriptor: RawFd,
        /// Why it is no listening socket.
        reason: String,
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
    Subsystem(String),
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
    #[error("{0}")]
    PurgeTarget(String),
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
