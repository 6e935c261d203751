//! The configuration.
use crate::protocol::feed::News;
use crate::protocol::known;
use crate::routing::Room;
use cranesill_settings::Deployment;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Least limits with which a front can do anything.
const SOCKETS_LEAST: u64 = 96;
const MEMORY_LEAST: u64 = 16;

/// What a front is told at its start.
#[derive(Debug)]
pub struct Config {
    /// Where it was read from, and is read again at a reload.
    pub file: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub feed: SocketAddr,
    pub sockets: usize,
    pub memory: usize,
    /// The number of the last event that is known, and the events.
    pub known: (u64, Vec<News>),
    pub deployment: Deployment,
}

impl Config {
    /// Reads the file. The error is one line that says what is wrong.
    pub fn load(file: &Path) -> Result<Self, String> {
        let text = std::fs::read(file).map_err(|e| format!("{}: {e}", file.display()))?;
        let value = serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", file.display()))?;
        Self::read(file, &value).map_err(|e| format!("{}: {e}", file.display()))
    }

    fn read(file: &Path, v: &Value) -> Result<Self, String> {
        let address = |key: &str| {
            let text = v[key].as_str().ok_or_else(|| format!("{key}: missing"))?;
            text.parse::<SocketAddr>().map_err(|_| format!("{key}: no address: {text}"))
        };
        let limit = |key: &str, least: u64| {
            let told = v["limits"][key].as_f64().ok_or_else(|| format!("limits.{key}: missing"))? as u64;
            Some(told).filter(|n| *n >= least).ok_or_else(|| format!("limits.{key}: under {least}"))
        };
        let seed = v["seed"].as_str().ok_or("seed: missing")?;
        let deployment = cranesill_settings::read(&v["settings"])?;
        Ok(Config {
            file: file.to_path_buf(),
            name: v["name"].as_str().unwrap_or("front").to_string(),
            listen: address("listen")?,
            seed: u64::from_str_radix(seed, 16).map_err(|_| format!("seed: not hex: {seed}"))?,
            feed: address("feed")?,
            sockets: limit("sockets", SOCKETS_LEAST)? as usize,
            memory: limit("memory_mb", MEMORY_LEAST)? as usize * (1 << 20),
            known: known::read(&v["known"], &deployment.names)?,
            deployment,
        })
    }

    /// Connections of clients held at once.
    pub fn clients_most(&self) -> usize {
        self.sockets / 2
    }

    /// Connections to members held at once; what is left is for the feed, the poller and files.
    pub fn links_most(&self) -> usize {
        self.sockets * 3 / 8
    }

    /// Room for requests: half of the memory, the rest is for input, the program and the allocator.
    pub fn room(&self) -> Room {
        Room { open: self.deployment.limits.open, bytes: self.memory / 2 }
    }

    /// Bytes held for clients from which on those are given up that hold most: members were held back before.
    pub fn held_most(&self) -> usize {
        self.memory * 5 / 8
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
