//! URLs of the authority: `https` and nothing else.

/// Bytes that a URL may have.
const MAX_URL_BYTES: usize = 2_048;

/// A URL in its parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    /// Host as it stands in the URL, in lower case, without brackets.
    pub host: String,
    /// Port; 443 where the URL names none.
    pub port: u16,
    /// Path with query, beginning with `/`.
    pub path: String,
}

impl Url {
    /// Takes a URL apart. Refused is whatever could lead elsewhere or into another line of a request: schemes but
    /// `https`, user names, blanks, control bytes, what is not ASCII.
    pub fn parse(text: &str) -> Result<Url, &'static str> {
        if text.len() > MAX_URL_BYTES {
            return Err("URL too long");
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("URL with bytes that no URL has");
        }
        let rest = text.strip_prefix("https://").ok_or("URL is not https")?;
        let at = rest.find(['/', '?', '#']).unwrap_or(rest.len());
        let (authority, path) = rest.split_at(at);
        if path.contains('#') || path.starts_with('?') {
            return Err("URL with a fragment or without a path");
        }
        if authority.contains(['@', '\\']) {
            return Err("URL with a user name");
        }
        let (host, port) = match authority.strip_prefix('[') {
            Some(rest) => {
                let (host, port) = rest.split_once(']').ok_or("URL with a bad address")?;
                host.parse::<std::net::Ipv6Addr>()
                    .map_err(|_| "URL with a bad address")?;
                (host, port)
            }
            None => authority
                .find(':')
                .map_or((authority, ""), |at| authority.split_at(at)),
        };
        let port = match port.strip_prefix(':') {
            Some(digits) if digits.bytes().all(|b| b.is_ascii_digit()) => {
                digits.parse().map_err(|_| "URL with a bad port")?
            }
            None if port.is_empty() => 443,
            _ => return Err("URL with a bad port"),
        };
        if host.is_empty() || port == 0 {
            return Err("URL without a host");
        }
        let path = if path.is_empty() {
            "/".into()
        } else {
            path.into()
        };
        Ok(Url {
            host: host.to_ascii_lowercase(),
            port,
            path,
        })
    }

    /// Whether both lead to the same host and port.
    pub fn same_host_and_port(&self, other: &Url) -> bool {
        (&self.host, self.port) == (&other.host, other.port)
    }

    /// What stands in the field `Host` of a request (RFC 9110, section 7.2).
    pub fn host_field(&self) -> String {
        let host = if self.host.contains(':') {
            format!("[{}]", self.host)
        } else {
            self.host.clone()
        };
        if self.port == 443 {
            host
        } else {
            format!("{host}:{}", self.port)
        }
    }
}

#[cfg(test)]
mod tests;
