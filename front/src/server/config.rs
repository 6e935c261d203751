//! The configuration.
use crate::protocol::feed::News;
use crate::protocol::known;
use crate::routing::CapacityLimits;
use cranesill_daemon::Daemon;
use cranesill_settings::Deployment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Least limits with which a front can do anything.
const SOCKETS_LEAST: u64 = 96;
const MEMORY_LEAST: u64 = 16;

/// What a front is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where it was read from, and is read again at a reload.
    pub file: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub feed: SocketAddr,
    pub sockets: usize,
    /// Descriptors that subsystems take from those of clients.
    pub reserved: usize,
    pub memory: usize,
    /// The number of the last event that is known, and the events.
    pub known: (u64, Vec<News>),
    pub deployment: Deployment,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The clients' listening socket, where the platform holds it.
    pub accept_fd: Option<i32>,
    /// Two processes of this front share its limits now.
    pub halved: bool,
}

impl Config {
    /// Reads the file. The errors are all that can be found, a line each.
    pub fn load(file: &Path) -> Result<Self, Vec<String>> {
        let at = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
        let text = std::fs::read(file).map_err(|e| vec![at(&e)])?;
        let value = serde_json::from_slice(&text).map_err(|e| vec![at(&e)])?;
        Self::read(file, &value)
            .map_err(|faults| faults.iter().map(|e| at(&format!("$.{e}"))).collect())
    }

    fn read(file: &Path, v: &Value) -> Result<Self, Vec<String>> {
        let address = |key: &str| {
            let text = v[key].as_str().ok_or_else(|| format!("{key}: missing"))?;
            text.parse::<SocketAddr>()
                .map_err(|_| format!("{key}: no address: {text}"))
        };
        let ops = || {
            if v["ops"].is_null() {
                Ok(None)
            } else {
                address("ops").map(Some)
            }
        };
        let limit = |key: &str, least: u64| {
            let told = v["limits"][key]
                .as_f64()
                .ok_or_else(|| format!("limits.{key}: missing"))? as u64;
            Some(told)
                .filter(|n| *n >= least)
                .ok_or_else(|| format!("limits.{key}: under {least}"))
        };
        let seed = || {
            let text = v["seed"].as_str().ok_or("seed: missing")?;
            u64::from_str_radix(text, 16).map_err(|_| format!("seed: not hex: {text}"))
        };
        let mut faults = Vec::new();
        let listen = kept(address("listen"), &mut faults);
        let seed = kept(seed(), &mut faults);
        let feed = kept(address("feed"), &mut faults);
        let ops = kept(ops(), &mut faults);
        let sockets = kept(limit("sockets", SOCKETS_LEAST), &mut faults);
        let memory = kept(limit("memory_mb", MEMORY_LEAST), &mut faults);
        let deployment = kept(cranesill_settings::read(&v["settings"]), &mut faults);
        let known = deployment
            .as_ref()
            .and_then(|d| kept(known::read(&v["known"], &d.names), &mut faults));
        let all = listen
            .zip(ops)
            .zip(seed)
            .zip(feed)
            .zip(sockets)
            .zip(memory)
            .zip(deployment)
            .zip(known);
        let Some((((((((listen, ops), seed), feed), sockets), memory), deployment), known)) = all
        else {
            return Err(faults);
        };
        let name = v["name"].as_str().unwrap_or("front").to_string();
        let (sockets, memory) = (sockets as usize, memory as usize * (1 << 20));
        let file = file.to_path_buf();
        let accept_fd = None;
        Ok(Config {
            file,
            name,
            listen,
            seed,
            feed,
            sockets,
            reserved: 0,
            memory,
            known,
            deployment,
            ops,
            accept_fd,
            halved: false,
        })
    }

    fn processes(&self) -> usize {
        1 + usize::from(self.halved)
    }

    /// Connections of clients held at once.
    pub fn clients_most(&self) -> usize {
        (self.sockets / 2).saturating_sub(self.reserved) / self.processes()
    }

    /// Takes descriptors for what the daemon's own settings switch on from those of clients.
    pub fn reserve(&mut self, daemon: &Daemon) -> Result<(), String> {
        let tls = daemon.tls.as_ref().map_or(0, |tls| tls.handshakes_most + 1);
        let control = daemon
            .control
            .as_ref()
            .map_or(0, |_| super::drivers::control::OPERATORS_MOST + 1);
        let certs = daemon
            .certs
            .as_ref()
            .map_or(0, |c| c.orders_at_once + super::drivers::certs::DESCRIPTORS);
        let boxes = daemon.purges.as_ref().and_then(|p| p.boxes.as_ref());
        let purges = daemon.purges.as_ref().map_or(0, |p| {
            6 + p
                .serve
                .as_ref()
                .map_or(0, |_| super::drivers::purges::MAX_FOLLOWERS)
        }) + boxes.map_or(0, |b| b.connections_most);
        let ops = self
            .ops
            .map_or(0, |_| super::drivers::ops::CALLERS_MOST + 1);
        let peers = daemon.startup.as_ref().and_then(|s| s.peers.as_ref());
        let peers = peers.map_or(0, |_| super::drivers::peers::ASKERS_MOST + 4);
        let own = tls + control + certs + purges + peers;
        self.reserved = own + ops;
        let most = self.sockets / 4;
        if own > most {
            return Err(format!(
                "$.tls.handshakes_most: control, tls, certs, purges and peers would take {own} descriptors, and {most} of {} are \
                 for them",
                self.sockets
            ));
        }
        Ok(())
    }

    /// Connections to members held at once; what is left is for the feed, the poller and files.
    pub fn links_most(&self) -> usize {
        self.sockets * 3 / 8 / self.processes()
    }

    /// Room for requests: half of the memory, the rest is for input, the program and the allocator.
    pub fn room(&self) -> CapacityLimits {
        CapacityLimits {
            max_pending: self.deployment.limits.open,
            max_buffered_bytes: self.memory / 2 / self.processes(),
        }
    }

    /// Bytes held for clients from which on those are given up that hold most: members were held back before.
    pub fn held_most(&self) -> usize {
        self.memory * 5 / 8 / self.processes()
    }

    /// One line on what is asked for.
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

/// What could be read; what could not is put to the faults.
fn kept<T>(found: Result<T, impl Into<String>>, faults: &mut Vec<String>) -> Option<T> {
    found.map_err(|e| faults.push(e.into())).ok()
}

/// Reads the daemon's own settings. The errors are all that can be found, a line each.
pub fn settings(file: &Path) -> Result<Daemon, Vec<String>> {
    let at = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read(file).map_err(|e| vec![at(&e)])?;
    let daemon = cranesill_daemon::read(&text)
        .map_err(|faults| faults.iter().map(|f| at(f)).collect::<Vec<_>>())?;
    match daemon.certs.as_ref().map(super::drivers::certs::check) {
        Some(Err(why)) => Err(vec![at(&format!("$.{why}"))]),
        _ => Ok(daemon),
    }
}
