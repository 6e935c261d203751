//! Reads and validates the settings file: against the schema first, then section by section for what a schema cannot
//! express.
use crate::types::{Certs, Challenge, Daemon, Purges, Startup, Tls};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;

/// Maximum size of the settings file.
pub const MAX_FILE_BYTES: usize = 4 << 20;
/// Maximum number of schema faults that are reported.
const MAX_SCHEMA_FAULTS: usize = 100;
/// Maximum length of a host name (RFC 1035, section 2.3.4).
const MAX_NAME_BYTES: usize = 253;
/// Maximum length of a label of a host name.
const MAX_LABEL_BYTES: usize = 63;

/// An invalid value in the settings file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// JSON path of the value, such as `$.tls.listen`.
    pub path: String,
    /// The violated constraint, as shown to the operator.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}

/// Reads a settings file.
///
/// # Errors
/// Returns all faults of the file, sorted by path.
pub fn read(text: &[u8]) -> Result<Daemon, Vec<Fault>> {
    let file_fault = |message: String| {
        vec![Fault {
            path: "$".into(),
            message,
        }]
    };
    if text.len() > MAX_FILE_BYTES {
        return Err(file_fault(format!("more than {MAX_FILE_BYTES} bytes")));
    }
    let value: Value = serde_json::from_slice(text).map_err(|e| file_fault(e.to_string()))?;
    let schema =
        jsonschema::validator_for(&crate::schema()).map_err(|e| file_fault(e.to_string()))?;
    let mut faults: Vec<_> = schema
        .iter_errors(&value)
        .take(MAX_SCHEMA_FAULTS)
        .map(|e| Fault {
            path: json_path(&e.instance_path().to_string()),
            message: e.to_string(),
        })
        .collect();
    let certs: Option<Certs> = parse_section(&value, "certs");
    if let Some(tls) = parse_section::<Tls>(&value, "tls") {
        check_address(&tls.listen, "$.tls.listen", &mut faults);
    }
    if let Some(certs) = &certs {
        check_certs(certs, value.get("tls").is_some(), &mut faults);
    }
    if let Some(peers) =
        parse_section::<Startup>(&value, "startup").and_then(|startup| startup.peers)
    {
        check_address(&peers.listen, "$.startup.peers.listen", &mut faults);
        for (n, address) in peers.ask.iter().enumerate() {
            check_address(address, &format!("$.startup.peers.ask[{n}]"), &mut faults);
        }
    }
    if let Some(purges) = parse_section::<Purges>(&value, "purges") {
        check_purges(&purges, &mut faults);
    }
    if faults.is_empty() {
        return serde_json::from_value(value).map_err(|e| file_fault(e.to_string()));
    }
    faults.sort();
    faults.dedup();
    Err(faults)
}

/// Parses one section. `None` if it is missing or invalid; the schema reports the faults of an invalid one.
fn parse_section<T: DeserializeOwned>(value: &Value, name: &str) -> Option<T> {
    value
        .get(name)
        .and_then(|v| serde_json::from_value(v.clone()).ok())
}

/// Converts a JSON pointer such as `/certs/certificates/0` to a path such as `$.certs.certificates[0]`.
fn json_path(pointer: &str) -> String {
    let steps = pointer
        .split('/')
        .skip(1)
        .map(|step| match step.parse::<usize>() {
            Ok(index) => format!("[{index}]"),
            Err(_) => format!(".{}", step.replace("~1", "/").replace("~0", "~")),
        });
    std::iter::once("$".to_string()).chain(steps).collect()
}

fn check_address(text: &str, path: &str, faults: &mut Vec<Fault>) {
    if text.parse::<SocketAddr>().is_err() {
        faults.push(Fault {
            path: path.into(),
            message: format!("not an IP address with a port: {text}"),
        });
    }
}

fn check_certs(certs: &Certs, tls: bool, faults: &mut Vec<Fault>) {
    let mut fault = |path: String, message: String| faults.push(Fault { path, message });
    let mut seen = HashMap::new();
    for (i, certificate) in certs.certificates.iter().enumerate() {
        for (j, name) in certificate.names.iter().enumerate() {
            let path = format!("$.certs.certificates[{i}].names[{j}]");
            if let Err(reason) = check_host_name(name) {
                fault(path.clone(), format!("not a host name: {reason}"));
            }
            if let Some(first) = seen.insert(name.to_ascii_lowercase(), path.clone()) {
                fault(path, format!("duplicate host name, first used at {first}"));
            }
        }
    }
    if !certs.fronts.is_empty() && certs.fronts.len() > 1_000 {
        fault("$.certs.fronts".into(), "more than 1000 fronts".into());
    }
    if let Some(authority) = &certs.authority {
        let url = &authority.directory_url;
        if !url.starts_with("https://") || url.len() <= "https://".len() {
            fault(
                "$.certs.authority.directory_url".into(),
                format!("not an https URL: {url}"),
            );
        }
        for (i, contact) in authority.contacts.iter().enumerate() {
            if !contact.starts_with("mailto:") {
                fault(
                    format!("$.certs.authority.contacts[{i}]"),
                    "not a mailto: address".into(),
                );
            }
        }
        if !authority.terms_agreed {
            fault(
                "$.certs.authority.terms_agreed".into(),
                "must be true: without agreement to the terms no account is created".into(),
            );
        }
        if authority.challenge == Challenge::Http && certs.http_listen.is_none() {
            fault(
                "$.certs.http_listen".into(),
                "missing: the challenge http-01 needs it".into(),
            );
        }
        if authority.challenge == Challenge::TlsAlpn && !tls {
            fault(
                "$.tls".into(),
                "missing: the challenge tls-alpn-01 needs it".into(),
            );
        }
    }
    if let Some(listen) = &certs.http_listen {
        check_address(listen, "$.certs.http_listen", faults);
    }
}

fn check_purges(purges: &Purges, faults: &mut Vec<Fault>) {
    if let Some(serve) = &purges.serve {
        check_address(serve, "$.purges.serve", faults);
    }
    let Some(follow) = &purges.follow else { return };
    check_address(&follow.address, "$.purges.follow.address", faults);
    let mut reject_on_follower = |path: &str, present: bool| {
        if present {
            faults.push(Fault {
                path: path.into(),
                message: "not allowed together with $.purges.follow: only the writer does this"
                    .into(),
            });
        }
    };
    reject_on_follower("$.purges.serve", purges.serve.is_some());
    reject_on_follower("$.purges.boxes", purges.boxes.is_some());
}

/// Checks that a name is a host name (RFC 1123, section 2.1) that an ACME challenge can validate.
fn check_host_name(name: &str) -> Result<(), &'static str> {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        return Err("empty or longer than 253 bytes");
    }
    if name.parse::<std::net::IpAddr>().is_ok() {
        return Err("an IP address");
    }
    if name.contains('*') {
        return Err("http-01 and tls-alpn-01 cannot validate a wildcard");
    }
    let is_label = |l: &str| {
        let fits =
            !l.is_empty() && l.len() <= MAX_LABEL_BYTES && !l.starts_with('-') && !l.ends_with('-');
        fits && l.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-')
    };
    name.split('.')
        .all(is_label)
        .then_some(())
        .ok_or("an invalid label")
}
