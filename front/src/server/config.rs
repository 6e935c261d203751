//! Configuration of one front, as provided by the platform, and the resource limits derived from it.
use super::error::{ConfigError, ConfigErrors, ConfigFault};
use crate::protocol::configured_events;
use crate::protocol::discovery::WatchEvent;
use crate::routing::CapacityLimits;
use cranesill_daemon::Daemon;
use cranesill_settings::Deployment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Minimum limits with which a front can serve.
const MIN_SOCKETS: u64 = 96;
const MIN_MEMORY_MB: u64 = 16;
/// Descriptors of the purge log apart from followers and cache nodes: files, the listener, and the connection to the writer.
const PURGE_LOG_DESCRIPTORS: usize = 6;

/// Configuration of a front.
#[derive(Clone, Debug)]
pub struct Config {
    /// The file that the configuration was read from; a reload reads it again.
    pub file: PathBuf,
    /// The name of the front; `front` if the configuration has none.
    pub name: String,
    /// The address that the front listens on for clients.
    pub listen: SocketAddr,
    /// Seed of the pseudo-random number generators.
    pub seed: u64,
    /// The address of the list service.
    pub list_service: SocketAddr,
    /// The maximum number of open descriptors.
    pub sockets: usize,
    /// Descriptors reserved for subsystems, deducted from the share of clients.
    pub reserved: usize,
    /// The memory limit in bytes.
    pub memory: usize,
    /// The revision of the endpoint list known at startup, and the events that lead to it.
    pub known: (u64, Vec<WatchEvent>),
    /// Classes, limits and policy settings of the deployment.
    pub deployment: Deployment,
    /// The address for operators' commands; `None` if there is none.
    pub ops: Option<SocketAddr>,
    /// The inherited descriptor of the listening socket for clients, if the platform provides one.
    pub accept_fd: Option<i32>,
    /// Whether the limits are currently shared with a second process of this front, each using half of them.
    pub limits_shared: bool,
}

impl Config {
    /// Reads the file. Returns all errors found in it.
    pub fn load(file: &Path) -> Result<Self, ConfigErrors> {
        let text = std::fs::read(file).map_err(|source| ConfigError::unreadable(file, source))?;
        let value: Value = serde_json::from_slice(&text)
            .map_err(|source| ConfigError::invalid_json(file, source))?;
        Self::read(file, &value).map_err(|faults| {
            let error = |fault| ConfigError::invalid(file, fault);
            faults.into_iter().map(error).collect()
        })
    }

    fn read(file: &Path, value: &Value) -> Result<Self, Vec<ConfigFault>> {
        let mut faults = Vec::new();
        let listen = ok_or_record(address(value, "listen"), &mut faults);
        let seed = ok_or_record(seed(value), &mut faults);
        let list_service = ok_or_record(address(value, "feed"), &mut faults);
        let ops = ok_or_record(optional_address(value, "ops"), &mut faults);
        let sockets = ok_or_record(limit(value, "sockets", MIN_SOCKETS), &mut faults);
        let memory_mb = ok_or_record(limit(value, "memory_mb", MIN_MEMORY_MB), &mut faults);
        let deployment = cranesill_settings::read(&value["settings"])
            .map_err(|e| ConfigFault::Deployment(e.to_string()));
        let deployment = ok_or_record(deployment, &mut faults);
        let known = deployment.as_ref().and_then(|deployment| {
            let known = configured_events::read(&value["known"], &deployment.names);
            let known = known.map_err(ConfigFault::from);
            ok_or_record(known, &mut faults)
        });
        let config = || {
            Some(Config {
                file: file.to_path_buf(),
                name: value["name"].as_str().unwrap_or("front").to_string(),
                listen: listen?,
                seed: seed?,
                list_service: list_service?,
                sockets: sockets? as usize,
                reserved: 0,
                memory: memory_mb? as usize * (1 << 20),
                known: known?,
                deployment: deployment?,
                ops: ops?,
                accept_fd: None,
                limits_shared: false,
            })
        };
        config().ok_or(faults)
    }

    fn processes(&self) -> usize {
        1 + usize::from(self.limits_shared)
    }

    /// Returns the maximum number of concurrent client connections.
    pub fn max_clients(&self) -> usize {
        (self.sockets / 2).saturating_sub(self.reserved) / self.processes()
    }

    /// Reserves descriptors for the subsystems that `settings` enable, at the expense of client connections. Fails if these would
    /// take more than a quarter of all descriptors.
    pub fn reserve_descriptors(&mut self, settings: &Daemon) -> Result<(), ConfigError> {
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

    /// Returns the maximum number of upstream connections. The remaining descriptors are for the list service, the poller and
    /// files.
    pub fn max_upstream_connections(&self) -> usize {
        self.sockets * 3 / 8 / self.processes()
    }

    /// Returns the capacity for requests, which may use half of the memory; the rest is left to input buffers, the program and the
    /// allocator. Request bodies may use an eighth, so that requests without a body are admitted beside them.
    pub fn capacity_limits(&self) -> CapacityLimits {
        CapacityLimits {
            max_pending: self.deployment.limits.max_open_requests,
            max_buffered_bytes: self.memory / 2 / self.processes(),
            max_body_bytes: self.memory / 8 / self.processes(),
        }
    }

    /// Returns the number of bytes buffered for clients above which the clients with the largest buffers are disconnected. Reading
    /// from upstream pauses at a lower limit.
    pub fn max_client_buffers(&self) -> usize {
        self.memory * 5 / 8 / self.processes()
    }

    /// Returns the memory that the input buffers of all clients may occupy. Above it the clients with the longest incomplete messages are
    /// disconnected. It is less than the limit at which reading from upstream pauses.
    pub fn max_client_input(&self) -> usize {
        self.memory / 4 / self.processes()
    }

    /// Returns a one-line summary of the configuration.
    pub fn summary(&self) -> String {
        format!(
            "{} listens on {}, list service {} from revision {}: {} classes, {} sockets, {} MB",
            self.name,
            self.listen,
            self.list_service,
            self.known.0,
            self.deployment.names.classes.len(),
            self.sockets,
            self.memory >> 20
        )
    }
}

/// Returns the maximum number of descriptors used by the enabled subsystems.
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
    text.parse().map_err(|_| ConfigFault::InvalidAddress {
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
        return Err(ConfigFault::LimitTooLow {
            key,
            value: limit,
            minimum,
        });
    }
    Ok(limit)
}

fn seed(value: &Value) -> Result<u64, ConfigFault> {
    let text = value["seed"].as_str().ok_or(ConfigFault::Missing("seed"))?;
    u64::from_str_radix(text, 16).map_err(|_| ConfigFault::SeedMalformed(text.into()))
}

/// Returns the value, or adds the fault to `faults`.
fn ok_or_record<T>(result: Result<T, ConfigFault>, faults: &mut Vec<ConfigFault>) -> Option<T> {
    result.map_err(|fault| faults.push(fault)).ok()
}

/// Reads the settings of the daemon. Returns all errors found in the file.
pub fn load_settings(file: &Path) -> Result<Daemon, ConfigErrors> {
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
