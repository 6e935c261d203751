//! HTTP/1.1 client messages (RFC 9112) without input or output: one request and one response per connection. The sizes of
//! the response head and body are limited.
use crate::url::Url;
use crate::UnixTime;

/// The HTTP methods used by ACME.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Used for the directory and for renewal information.
    Get,
    /// Used for nonces.
    Head,
    /// Used for all other requests, with a signed body.
    Post,
}

const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADER_FIELDS: usize = 64;
/// Maximum length of the line with a chunk size and its extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// Upper limit for `Retry-After`, in seconds.
const MAX_RETRY_AFTER_S: u64 = 30 * 24 * 3_600;

/// An HTTP response, reduced to the fields used by ACME.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// The `Replay-Nonce` field (RFC 8555, section 6.5.1).
    pub nonce: Option<String>,
    /// The `Location` field.
    pub location: Option<String>,
    /// The `Retry-After` field (RFC 9110, section 10.2.3), in seconds from the response on.
    pub retry_after: Option<u64>,
    /// The `Date` field: the wall clock of the authority.
    pub date: Option<UnixTime>,
    /// The body without its transfer coding.
    pub body: Vec<u8>,
}

/// Encodes a request.
pub fn encode_request(method: Method, url: &Url, body: Option<&str>) -> Vec<u8> {
    let name = match method {
        Method::Get => "GET",
        Method::Head => "HEAD",
        Method::Post => "POST",
    };
    let mut text = format!(
        "{name} {} HTTP/1.1\r\nHost: {}\r\nUser-Agent: cranesill/{}\r\nAccept-Language: en\r\nConnection: close\r\n",
        url.path,
        url.host_field(),
        env!("CARGO_PKG_VERSION")
    );
    if let Some(body) = body {
        text += &format!(
            "Content-Type: application/jose+json\r\nContent-Length: {}\r\n",
            body.len()
        );
    }
    text += "\r\n";
    text += body.unwrap_or("");
    text.into_bytes()
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyState {
    /// A body with `Content-Length`: bytes left to read.
    Length(usize),
    /// A body without a length, which ends with the connection.
    UntilClose,
    /// Expects the line with the size of the next chunk.
    ChunkSize,
    /// Bytes left to read of the current chunk; 0 if only its line end is left.
    Chunk(usize),
    /// Expects the trailer fields after the last chunk.
    Trailer,
    Done,
}

/// Incremental parser for one response.
#[derive(Debug)]
pub struct Reader {
    max_body_bytes: usize,
    is_head_request: bool,
    input: Vec<u8>,
    response: Response,
    body: Option<BodyState>,
}

impl Reader {
    /// Creates a parser for the response to a request with `method`. A body of more than `max_body_bytes` is an error.
    pub fn new(method: Method, max_body_bytes: usize) -> Self {
        let response = Response::default();
        Reader {
            max_body_bytes,
            is_head_request: method == Method::Head,
            input: Vec::new(),
            response,
            body: None,
        }
    }

    /// Parses more bytes. Returns the response once it is complete.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Response>, &'static str> {
        self.input.extend_from_slice(bytes);
        if self.body.is_none() && !self.parse_head()? {
            return Ok(None);
        }
        while self.parse_body()? {}
        Ok((self.body == Some(BodyState::Done)).then(|| std::mem::take(&mut self.response)))
    }

    /// Handles the end of the connection. Returns the response if it has no length; otherwise it is truncated.
    pub fn end(&mut self) -> Result<Option<Response>, &'static str> {
        match self.body {
            Some(BodyState::UntilClose) => {
                self.body = Some(BodyState::Done);
                Ok(Some(std::mem::take(&mut self.response)))
            }
            _ => Err("the response is truncated"),
        }
    }

    /// Parses the head, skipping interim responses (1xx). Returns false if more input is needed.
    fn parse_head(&mut self) -> Result<bool, &'static str> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let used = match head.parse(&self.input) {
            Ok(httparse::Status::Complete(used)) if used <= MAX_HEAD_BYTES => used,
            Ok(httparse::Status::Partial) if self.input.len() <= MAX_HEAD_BYTES => {
                return Ok(false)
            }
            Ok(_) => return Err("the response head is too long"),
            Err(_) => return Err("the response head is malformed or has too many fields"),
        };
        let status = head.code.unwrap_or(0);
        let field = |name: &str| -> Result<Option<String>, &'static str> {
            let mut all = head
                .headers
                .iter()
                .filter(|f| f.name.eq_ignore_ascii_case(name));
            let first = all
                .next()
                .map(|f| std::str::from_utf8(f.value).map(|v| v.trim().to_string()));
            // Repeated fields would make the end of the body, or the nonce, ambiguous.
            if all.next().is_some() {
                return Err("a header field occurs more than once");
            }
            first.transpose().map_err(|_| "a header field is not UTF-8")
        };
        let date = field("date")?.and_then(|text| parse_http_date(&text));
        let retry_after = field("retry-after")?.and_then(|text| match text.parse::<u64>() {
            Ok(seconds) => Some(seconds),
            Err(_) => parse_http_date(&text)
                .zip(date)
                .map(|(at, now)| at.saturating_sub(now)),
        });
        let length = match field("content-length")? {
            Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => Some(
                text.parse::<usize>()
                    .map_err(|_| "invalid Content-Length")?,
            ),
            Some(_) => return Err("invalid Content-Length"),
            None => None,
        };
        let coding = field("transfer-encoding")?;
        let response = Response {
            status,
            nonce: field("replay-nonce")?,
            location: field("location")?,
            retry_after: retry_after.map(|s| s.min(MAX_RETRY_AFTER_S)),
            date,
            body: Vec::new(),
        };
        let body = match (coding, length) {
            _ if self.is_head_request || status == 204 || status == 304 => BodyState::Done,
            (Some(_), Some(_)) => {
                return Err("both Content-Length and Transfer-Encoding are present")
            }
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => BodyState::ChunkSize,
            (Some(_), None) => return Err("unknown Transfer-Encoding"),
            (None, Some(0)) => BodyState::Done,
            (None, Some(length)) => BodyState::Length(length),
            (None, None) => BodyState::UntilClose,
        };
        if (100..200).contains(&status) {
            self.input.drain(..used);
            return self.parse_head();
        }
        if matches!(body, BodyState::Length(length) if length > self.max_body_bytes) {
            return Err("the response body is too long");
        }
        (self.response, self.body) = (response, Some(body));
        self.input.drain(..used);
        Ok(true)
    }

    /// Parses the next part of the body. Returns false if more input is needed.
    fn parse_body(&mut self) -> Result<bool, &'static str> {
        match self.body {
            None | Some(BodyState::Done) => Ok(false),
            Some(BodyState::Length(remaining)) => {
                let remaining = remaining - self.take(remaining)?;
                self.body = Some(if remaining == 0 {
                    BodyState::Done
                } else {
                    BodyState::Length(remaining)
                });
                Ok(false)
            }
            Some(BodyState::UntilClose) => {
                self.take(usize::MAX)?;
                Ok(false)
            }
            Some(BodyState::ChunkSize) => {
                let Some(line) = self.take_line()? else {
                    return Ok(false);
                };
                let size = line.split(|b| *b == b';').next().unwrap_or(&[]);
                let digits = std::str::from_utf8(size)
                    .ok()
                    .map(str::trim)
                    .filter(|s| (1..=8).contains(&s.len()));
                let digits = digits.filter(|s| s.bytes().all(|b| b.is_ascii_hexdigit()));
                let size = digits
                    .and_then(|s| usize::from_str_radix(s, 16).ok())
                    .ok_or("invalid chunk in the response body")?;
                self.body = Some(if size == 0 {
                    BodyState::Trailer
                } else {
                    BodyState::Chunk(size)
                });
                Ok(true)
            }
            Some(BodyState::Chunk(0)) => match self.take_line()? {
                Some(line) if line.is_empty() => {
                    self.body = Some(BodyState::ChunkSize);
                    Ok(true)
                }
                Some(_) => Err("invalid chunk in the response body"),
                None => Ok(false),
            },
            Some(BodyState::Chunk(remaining)) => {
                let taken = self.take(remaining)?;
                self.body = Some(BodyState::Chunk(remaining - taken));
                Ok(taken == remaining)
            }
            Some(BodyState::Trailer) => {
                let Some(line) = self.take_line()? else {
                    return Ok(false);
                };
                if line.is_empty() {
                    self.body = Some(BodyState::Done);
                }
                Ok(!line.is_empty())
            }
        }
    }

    /// Moves up to `n` input bytes to the body and returns their number.
    fn take(&mut self, n: usize) -> Result<usize, &'static str> {
        let n = n.min(self.input.len());
        if self.response.body.len() + n > self.max_body_bytes {
            return Err("the response body is too long");
        }
        self.response.body.extend(self.input.drain(..n));
        Ok(n)
    }

    /// Removes a line that ends with CRLF from the input.
    fn take_line(&mut self) -> Result<Option<Vec<u8>>, &'static str> {
        let Some(at) = self.input.iter().position(|b| *b == b'\n') else {
            return if self.input.len() > MAX_CHUNK_LINE_BYTES {
                Err("invalid chunk in the response body")
            } else {
                Ok(None)
            };
        };
        if at > MAX_CHUNK_LINE_BYTES || at == 0 || self.input[at - 1] != b'\r' {
            return Err("invalid chunk in the response body");
        }
        let line = self.input[..at - 1].to_vec();
        self.input.drain(..=at);
        Ok(Some(line))
    }
}

fn parse_http_date(text: &str) -> Option<UnixTime> {
    let at = httpdate::parse_http_date(text).ok()?;
    at.duration_since(std::time::UNIX_EPOCH)
        .ok()
        .map(|d| d.as_secs())
}

#[cfg(test)]
mod tests;
