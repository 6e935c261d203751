//! Reads the file and finds its faults: by the schema first, then what no schema can say, section by section.
use crate::types::{Certs, Challenge, Daemon, Purges, Startup, Tls};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

/// Bytes that the file may have.
pub const FILE_MOST: usize = 4 << 20;
/// Faults that are told at most.
const FAULTS_MOST: usize = 100;
/// Bytes of a host name and of one label of it (RFC 1035, section 2.3.4).
const NAME_MOST: usize = 253;
const LABEL_MOST: usize = 63;

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// JSON path, as in `$.tls.listen`.
    pub path: String,
    /// What is wrong there.
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.what)
    }
}

/// Reads a settings file. All faults that can be found are, in the order of their paths.
pub fn read(text: &[u8]) -> Result<Daemon, Vec<Fault>> {
    let whole = |what: String| {
        vec![Fault {
            path: "$".into(),
            what,
        }]
    };
    if text.len() > FILE_MOST {
        return Err(whole(format!("more than {FILE_MOST} bytes")));
    }
    let value: Value = serde_json::from_slice(text).map_err(|e| whole(e.to_string()))?;
    let schema = jsonschema::validator_for(&crate::schema()).map_err(|e| whole(e.to_string()))?;
    let mut faults: Vec<_> = schema
        .iter_errors(&value)
        .take(FAULTS_MOST)
        .map(|e| Fault {
            path: dotted(&e.instance_path().to_string()),
            what: e.to_string(),
        })
        .collect();
    let certs: Option<Certs> = section(&value, "certs");
    if let Some(tls) = section::<Tls>(&value, "tls") {
        address(&tls.listen, "$.tls.listen", &mut faults);
    }
    if let Some(certs) = &certs {
        check_certs(certs, value.get("tls").is_some(), &mut faults);
    }
    if let Some(peers) = section::<Startup>(&value, "startup").and_then(|startup| startup.peers) {
        address(&peers.listen, "$.startup.peers.listen", &mut faults);
        for (n, at) in peers.ask.iter().enumerate() {
            address(at, &format!("$.startup.peers.ask[{n}]"), &mut faults);
        }
    }
    if let Some(purges) = section::<Purges>(&value, "purges") {
        check_purges(&purges, &mut faults);
    }
    if faults.is_empty() {
        return serde_json::from_value(value).map_err(|e| whole(e.to_string()));
    }
    faults.sort();
    faults.dedup();
    Err(faults)
}

/// A section that can be read by itself; one that can't has its faults told by the schema.
fn section<T: DeserializeOwned>(value: &Value, name: &str) -> Option<T> {
    value
        .get(name)
        .and_then(|v| serde_json::from_value(v.clone()).ok())
}

/// `/certs/certificates/0` as `$.certs.certificates[0]`.
fn dotted(pointer: &str) -> String {
    let steps = pointer
        .split('/')
        .skip(1)
        .map(|step| match step.parse::<usize>() {
            Ok(at) => format!("[{at}]"),
            Err(_) => format!(".{}", step.replace("~1", "/").replace("~0", "~")),
        });
    std::iter::once("$".to_string()).chain(steps).collect()
}

fn address(text: &str, path: &str, faults: &mut Vec<Fault>) {
    if text.parse::<SocketAddr>().is_err() {
        faults.push(Fault {
            path: path.into(),
            what: format!("no address and port: {text}"),
        });
    }
}

fn check_certs(certs: &Certs, tls: bool, faults: &mut Vec<Fault>) {
    let mut fault = |path: String, what: String| faults.push(Fault { path, what });
    let mut seen = HashMap::new();
    for (i, certificate) in certs.certificates.iter().enumerate() {
        for (j, name) in certificate.names.iter().enumerate() {
            let path = format!("$.certs.certificates[{i}].names[{j}]");
            if let Err(why) = host(name) {
                fault(path.clone(), format!("no name: {why}"));
            }
            if let Some(first) = seen.insert(name.to_ascii_lowercase(), path.clone()) {
                fault(path, format!("named twice, first at {first}"));
            }
        }
    }
    if !certs.fronts.is_empty() && certs.fronts.len() > 1_000 {
        fault("$.certs.fronts".into(), "more than 1000".into());
    }
    if let Some(authority) = &certs.authority {
        let url = &authority.directory_url;
        if !url.starts_with("https://") || url.len() <= "https://".len() {
            fault(
                "$.certs.authority.directory_url".into(),
                format!("not https: {url}"),
            );
        }
        for (i, contact) in authority.contacts.iter().enumerate() {
            if !contact.starts_with("mailto:") {
                fault(
                    format!("$.certs.authority.contacts[{i}]"),
                    "does not begin with mailto:".into(),
                );
            }
        }
        if !authority.terms_agreed {
            fault(
                "$.certs.authority.terms_agreed".into(),
                "no account is made without it".into(),
            );
        }
        if authority.challenge == Challenge::Http && certs.http_listen.is_none() {
            fault(
                "$.certs.http_listen".into(),
                "missing, and the challenge is http-01".into(),
            );
        }
        if authority.challenge == Challenge::TlsAlpn && !tls {
            fault(
                "$.tls".into(),
                "missing, and the challenge is tls-alpn-01".into(),
            );
        }
    }
    if let Some(listen) = &certs.http_listen {
        address(listen, "$.certs.http_listen", faults);
    }
}

fn check_purges(purges: &Purges, faults: &mut Vec<Fault>) {
    if let Some(serve) = &purges.serve {
        address(serve, "$.purges.serve", faults);
    }
    let Some(follow) = &purges.follow else { return };
    address(&follow.address, "$.purges.follow.address", faults);
    let mut only_writer = |path: &str, on: bool| {
        if on {
            faults.push(Fault {
                path: path.into(),
                what: "only the writer does that, and this front follows".into(),
            });
        }
    };
    only_writer("$.purges.serve", purges.serve.is_some());
    only_writer("$.purges.boxes", purges.boxes.is_some());
}

/// Whether a name is one that a certificate for a host may carry (RFC 1123, section 2.1).
fn host(name: &str) -> Result<(), &'static str> {
    if name.is_empty() || name.len() > NAME_MOST {
        return Err("empty or too long");
    }
    if name.parse::<std::net::IpAddr>().is_ok() {
        return Err("an address");
    }
    if name.contains('*') {
        return Err("a wildcard can't be shown by http-01 or tls-alpn-01");
    }
    let label = |l: &str| {
        let fits =
            !l.is_empty() && l.len() <= LABEL_MOST && !l.starts_with('-') && !l.ends_with('-');
        fits && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    name.split('.')
        .all(label)
        .then_some(())
        .ok_or("a label that no host has")
}
