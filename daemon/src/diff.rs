//! Compares two settings files: which changes a reload applies, and which need a restart.
use crate::types::{Certs, Daemon, Tls};
use serde_json::Value;
use std::collections::BTreeSet;

/// Settings that a reload applies, with all below them. Any other change needs a restart.
const RELOADABLE: [&str; 14] = [
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
    let mut paths = BTreeSet::new();
    collect_differences(String::new(), &value(old), &value(new), &mut paths);
    let reloadable = |path: &String| {
        RELOADABLE
            .iter()
            .any(|key| path == key || path.starts_with(&format!("{key}.")))
    };
    let (applied, needs_restart) = paths.into_iter().partition(reloadable);
    Changes {
        applied,
        needs_restart,
    }
}

/// Returns the settings in effect after a reload: `new`, with the running values of everything that needs a restart. A further
/// reload is compared with them, so that it names the same changes again.
pub fn in_effect(running: Daemon, new: Daemon) -> Daemon {
    // Names every section, so that a new one cannot be forgotten here.
    let Daemon {
        log: _,
        control,
        tls,
        certs,
        purges,
        startup,
    } = running;
    Daemon {
        log: new.log,
        control,
        tls: tls.map(|running| tls_in_effect(running, new.tls)),
        certs: certs.map(|running| certs_in_effect(running, new.certs)),
        purges,
        startup,
    }
}

fn tls_in_effect(running: Tls, new: Option<Tls>) -> Tls {
    match new {
        Some(new) => Tls {
            listen: running.listen,
            ..new
        },
        None => running,
    }
}

fn certs_in_effect(running: Certs, new: Option<Certs>) -> Certs {
    match new {
        Some(new) => Certs {
            directory: running.directory,
            authority: running.authority,
            http_listen: running.http_listen,
            ..new
        },
        None => running,
    }
}

/// Adds the paths below `path` at which the values differ.
fn collect_differences(path: String, old: &Value, new: &Value, paths: &mut BTreeSet<String>) {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            for key in a.keys().chain(b.keys()) {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                collect_differences(
                    path,
                    a.get(key).unwrap_or(&Value::Null),
                    b.get(key).unwrap_or(&Value::Null),
                    paths,
                );
            }
        }
        _ if old == new => {}
        _ => drop(paths.insert(path)),
    }
}
