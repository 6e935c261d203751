//! The platform's configuration of one front, and the limits that follow from it.
use super::error::{ConfigError, ConfigErrors, ConfigFault};
use crate::protocol::configured_events;
use crate::protocol::discovery::WatchEvent;
use crate::routing::CapacityLimits;
use cranesill_daemon::Daemon;
use cranesill_settings::Deployment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The least limits with which a front can serve.
const MIN_SOCKETS: u64 = 96;
const MIN_MEMORY_MB: u64 = 16;
/// Descriptors of the purge log itself: files, the listener, and the connection to the writer.
const PURGE_LOG_DESCRIPTORS: usize = 6;

/// What the platform configures for a front.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that this was read from; a reload reads it again.
    pub file: PathBuf,
    /// The front's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of the front's random choices.
    pub seed: u64,
    /// The address of the list service.
    pub feed: SocketAddr,
    /// The limit on open descriptors.
    pub sockets: usize,
    /// Descriptors that subsystems take from those of clients.
    pub reserved: usize,
    /// The limit on memory, in bytes.
    pub memory: usize,
    /// The revision of the endpoint list that is known at the start, and the events that lead to it.
    pub known: (u64, Vec<WatchEvent>),
    /// Rules and limits of the deployment.
    pub deployment: Deployment,
    /// Where operators of the platform connect, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform hands it over.
    pub accept_fd: Option<i32>,
    /// Whether two processes of this front share its limits now.
    pub halved: bool,
}

impl Config {
    /// Reads the file. All errors that can be found are returned.
    pub fn load(file: &Path) -> Result<Self, ConfigErrors> {
        let text = std::fs::read(file).map_err(|source| ConfigError::unreadable(file, source))?;
        let value: Value =
            serde_json::from_slice(&text).map_err(|source| ConfigError::no_json(file, source))?;
        Self::read(file, &value).map_err(|faults| {
            let error = |fault| ConfigError::invalid(file, fault);
            faults.into_iter().map(error).collect()
        })
    }

    fn read(file: &Path, value: &Value) -> Result<Self, Vec<ConfigFault>> {
        let mut faults = Vec::new();
        let listen = noted(address(value, "listen"), &mut faults);
        let seed = noted(seed(value), &mut faults);
        let feed = noted(address(value, "feed"), &mut faults);
        let ops = noted(optional_address(value, "ops"), &mut faults);
        let sockets = noted(limit(value, "sockets", MIN_SOCKETS), &mut faults);
        let memory_mb = noted(limit(value, "memory_mb", MIN_MEMORY_MB), &mut faults);
        let deployment = cranesill_settings::read(&value["settings"])
            .map_err(|e| ConfigFault::Deployment(e.to_string()));
        let deployment = noted(deployment, &mut faults);
        let known = deployment.as_ref().and_then(|deployment| {
            let known = configured_events::read(&value["known"], &deployment.names);
            let known = known.map_err(ConfigFault::from);
            noted(known, &mut faults)
        });
        let config = || {
            Some(Config {
                file: file.to_path_buf(),
                name: value["name"].as_str().unwrap_or("front").to_string(),
                listen: listen?,
                seed: seed?,
                feed: feed?,
                sockets: sockets? as usize,
                reserved: 0,
                memory: memory_mb? as usize * (1 << 20),
                known: known?,
                deployment: deployment?,
                ops: ops?,
                accept_fd: None,
                halved: false,
            })
        };
        config().ok_or(faults)
    }

    fn processes(&self) -> usize {
        1 + usize::from(self.halved)
    }

    /// Returns how many clients may be connected at once.
    pub fn max_clients(&self) -> usize {
        (self.sockets / 2).saturating_sub(self.reserved) / self.processes()
    }

    /// Takes the descriptors of subsystems that the settings switch on from those of clients.
    pub fn reserve(&mut self, settings: &Daemon) -> Result<(), ConfigError> {
        let subsystems = subsystem_descriptors(settings);
        let ops = self.ops.map_or(0, |_| super::drivers::ops::MAX_CALLERS + 1);
        self.reserved = subsystems + ops;
        let limit = self.sockets / 4;
        if subsystems > limit {
            return Err(ConfigError::TooManyDescriptors {
                needed: subsystems,
                limit,
                sockets: self.sockets,
            });
        }
        Ok(())
    }

    /// Returns how many upstream connections may be open at once. The remaining descriptors are for the list service, the
    /// poller and files.
    pub fn max_upstream_connections(&self) -> usize {
        self.sockets * 3 / 8 / self.processes()
    }

    /// Returns the capacity for requests: half of the memory; the rest is for input, the program and the allocator.
    pub fn room(&self) -> CapacityLimits {
        CapacityLimits {
            max_pending: self.deployment.limits.max_open_requests,
            max_buffered_bytes: self.memory / 2 / self.processes(),
        }
    }

    /// Returns the bytes buffered for clients above which those that take up most are disconnected. Reading from upstream
    /// stops long before.
    pub fn max_client_buffers(&self) -> usize {
        self.memory * 5 / 8 / self.processes()
    }

    /// Returns one line that sums the configuration up.
    pub fn summary(&self) -> String {
        format!(
            "{} listens on {}, hears {} from event {}: {} classes, {} sockets, {} MB",
            self.name,
            self.listen,
            self.feed,
            self.known.0,
            self.deployment.names.classes.len(),
            self.sockets,
            self.memory >> 20
        )
    }
}

/// Descriptors that the subsystems use at most.
fn subsystem_descriptors(settings: &Daemon) -> usize {
    let tls = settings.tls.as_ref();
    let tls = tls.map_or(0, |tls| tls.handshakes_most + 1);
    let control = settings.control.as_ref();
    let control = control.map_or(0, |_| super::drivers::control::MAX_OPERATORS + 1);
    let certs = settings.certs.as_ref();
    let certs = certs.map_or(0, |certs| {
        certs.orders_at_once + super::drivers::certs::DESCRIPTORS
    });
    let purges = settings.purges.as_ref().map_or(0, purge_descriptors);
    let startup = settings.startup.as_ref();
    let peers = startup.and_then(|startup| startup.peers.as_ref());
    let peers = peers.map_or(0, |_| super::drivers::peers::MAX_CLIENTS + 4);
    tls + control + certs + purges + peers
}

fn purge_descriptors(purges: &cranesill_daemon::Purges) -> usize {
    let serve = purges.serve.as_ref();
    let followers = serve.map_or(0, |_| super::drivers::purges::MAX_FOLLOWERS);
    let boxes = purges.boxes.as_ref();
    let connections = boxes.map_or(0, |boxes| boxes.connections_most);
    PURGE_LOG_DESCRIPTORS + followers + connections
}

fn address(value: &Value, key: &'static str) -> Result<SocketAddr, ConfigFault> {
    let text = value[key].as_str().ok_or(ConfigFault::Missing(key))?;
    text.parse().map_err(|_| ConfigFault::NoAddress {
        key,
        text: text.into(),
    })
}

fn optional_address(value: &Value, key: &'static str) -> Result<Option<SocketAddr>, ConfigFault> {
    if value[key].is_null() {
        return Ok(None);
    }
    address(value, key).map(Some)
}

fn limit(value: &Value, key: &'static str, minimum: u64) -> Result<u64, ConfigFault> {
    let limit = value["limits"][key].as_f64();
    let limit = limit.ok_or(ConfigFault::LimitMissing(key))? as u64;
    if limit < minimum {
        return Err(ConfigFault::LimitTooLow { key, minimum });
    }
    Ok(limit)
}

fn seed(value: &Value) -> Result<u64, ConfigFault> {
    let text = value["seed"].as_str().ok_or(ConfigFault::Missing("seed"))?;
    u64::from_str_radix(text, 16).map_err(|_| ConfigFault::SeedMalformed(text.into()))
}

/// Returns what could be read; what could not is added to the faults.
fn noted<T>(result: Result<T, ConfigFault>, faults: &mut Vec<ConfigFault>) -> Option<T> {
    result.map_err(|fault| faults.push(fault)).ok()
}

/// Reads the daemon's own settings. All errors that can be found are returned.
pub fn settings(file: &Path) -> Result<Daemon, ConfigErrors> {
    let text = std::fs::read(file).map_err(|source| ConfigError::unreadable(file, source))?;
    let settings = cranesill_daemon::read(&text).map_err(|faults| {
        let error = |fault| ConfigError::invalid_settings(file, fault);
        faults.into_iter().map(error).collect::<ConfigErrors>()
    })?;
    let certs = settings.certs.as_ref();
    if let Some(Err(error)) = certs.map(super::drivers::certs::check) {
        let fault = ConfigFault::Certificates(error);
        return Err(ConfigError::invalid(file, fault).into());
    }
    Ok(settings)
}
