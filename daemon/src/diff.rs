//! Compares two settings files: which changes a reload applies, and which need a restart.
use crate::types::Daemon;
use serde_json::Value;
use std::collections::BTreeSet;

/// Settings that a reload applies, with all below them. Any other change needs a restart.
const LIVE: [&str; 14] = [
    "log",
    "tls.handshakes_most",
    "tls.handshake_ms",
    "tls.core_percent",
    "tls.expired",
    "certs.certificates",
    "certs.takeover_s",
    "certs.renew_percent",
    "certs.jitter_percent",
    "certs.warn_percent",
    "certs.fronts",
    "certs.orders_most",
    "certs.order_window_s",
    "certs.orders_at_once",
];

/// Paths of the values that differ between two files, such as `tls.core_percent`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Paths of changes that a reload applies.
    pub applied: Vec<String>,
    /// Paths of changes that take effect after a restart.
    pub needs_restart: Vec<String>,
}

/// Compares two files. The paths are sorted and have no `$.` prefix; a section that is added or removed is one path.
pub fn changes(old: &Daemon, new: &Daemon) -> Changes {
    // The types serialize to plain objects, which cannot fail.
    let value = |d: &Daemon| serde_json::to_value(d).unwrap_or_default();
    let mut found = BTreeSet::new();
    walk(String::new(), &value(old), &value(new), &mut found);
    let live = |path: &String| {
        LIVE.iter()
            .any(|l| path == l || path.starts_with(&format!("{l}.")))
    };
    let (applied, needs_restart) = found.into_iter().partition(live);
    Changes {
        applied,
        needs_restart,
    }
}

/// Adds the paths below `path` at which the values differ.
fn walk(path: String, old: &Value, new: &Value, found: &mut BTreeSet<String>) {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            for key in a.keys().chain(b.keys()) {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                walk(
                    path,
                    a.get(key).unwrap_or(&Value::Null),
                    b.get(key).unwrap_or(&Value::Null),
                    found,
                );
            }
        }
        _ if old == new => {}
        _ => drop(found.insert(path)),
    }
}
