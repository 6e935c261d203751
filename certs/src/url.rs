//! Strict parser for the `https` URLs of an authority.

const MAX_URL_BYTES: usize = 2_048;

/// A parsed `https` URL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url {
    /// Host in lower case; an IPv6 address has no brackets.
    pub host: String,
    /// Port; 443 if the URL has none.
    pub port: u16,
    /// Path and query, beginning with `/`.
    pub path: String,
}

impl Url {
    /// Parses a URL. Rejects everything that could change the host or inject header lines: schemes other than `https`,
    /// user information, spaces, control characters and non-ASCII characters.
    pub fn parse(text: &str) -> Result<Url, &'static str> {
        if text.len() > MAX_URL_BYTES {
            return Err("URL is too long");
        }
        if !text.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("URL contains characters other than printable ASCII");
        }
        let rest = text
            .strip_prefix("https://")
            .ok_or("URL scheme is not https")?;
        let at = rest.find(['/', '?', '#']).unwrap_or(rest.len());
        let (authority, path) = rest.split_at(at);
        if path.contains('#') || path.starts_with('?') {
            return Err("URL has a fragment, or a query without a path");
        }
        if authority.contains(['@', '\\']) {
            return Err("URL contains user information or a backslash");
        }
        let (host, port) = match authority.strip_prefix('[') {
            Some(rest) => {
                let (host, port) = rest
                    .split_once(']')
                    .ok_or("URL has an invalid IPv6 address")?;
                host.parse::<std::net::Ipv6Addr>()
                    .map_err(|_| "URL has an invalid IPv6 address")?;
                (host, port)
            }
            None => authority
                .find(':')
                .map_or((authority, ""), |at| authority.split_at(at)),
        };
        let port = match port.strip_prefix(':') {
            Some(digits) if digits.bytes().all(|b| b.is_ascii_digit()) => {
                digits.parse().map_err(|_| "URL has an invalid port")?
            }
            None if port.is_empty() => 443,
            _ => return Err("URL has an invalid port"),
        };
        if host.is_empty() || port == 0 {
            return Err("URL has no host, or port 0");
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

    /// Whether both URLs have the same host and port.
    pub fn same_host_and_port(&self, other: &Url) -> bool {
        (&self.host, self.port) == (&other.host, other.port)
    }

    /// The value of the `Host` header field (RFC 9110, section 7.2).
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
