//! HTTP/1.1 as a client speaks it: one request, one answer, then the connection ends (RFC 9112). No input or
//! output; the answer is bounded in its head and its body before anything is kept of it.
use crate::url::Url;
use crate::UnixTime;

/// HTTP methods that ACME needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// For the directory and renewal information.
    Get,
    /// For nonces.
    Head,
    /// For all else, with a signed body.
    Post,
}

/// Bytes of an answer's head, and fields in it.
const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADER_FIELDS: usize = 64;
/// Digits of a chunk's size with its extension.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// A time to come back that lies further off is taken for this.
const MAX_RETRY_AFTER_S: u64 = 30 * 24 * 3_600;

/// What an authority answered.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// `Replay-Nonce` (RFC 8555, section 6.5.1).
    pub nonce: Option<String>,
    /// `Location`.
    pub location: Option<String>,
    /// `Retry-After` in seconds from the answer on (RFC 9110, section 10.2.3).
    pub retry_after: Option<u64>,
    /// `Date`: the authority's wall clock.
    pub date: Option<UnixTime>,
    /// The body, as long as it may be at most.
    pub body: Vec<u8>,
}

/// The bytes of a request.
pub fn request(method: Method, url: &Url, body: Option<&str>) -> Vec<u8> {
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
    /// That many bytes are still to come.
    Length(usize),
    /// Until the connection ends.
    UntilClose,
    /// The line with the size of the next chunk.
    ChunkSize,
    /// That many bytes of a chunk, then its line end.
    Chunk(usize),
    /// Lines after the last chunk.
    Trailer,
    Done,
}

/// Reads one answer as its bytes come.
#[derive(Debug)]
pub struct Reader {
    max_body_bytes: usize,
    is_head_request: bool,
    input: Vec<u8>,
    response: Response,
    body: Option<BodyState>,
}

impl Reader {
    /// For an answer to `method` whose body has `max_body_bytes` bytes at most.
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

    /// Takes bytes in. `Some`: the answer is whole.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<Option<Response>, &'static str> {
        self.input.extend_from_slice(bytes);
        if self.body.is_none() && !self.parse_head()? {
            return Ok(None);
        }
        while self.parse_body()? {}
        Ok((self.body == Some(BodyState::Done)).then(|| std::mem::take(&mut self.response)))
    }

    /// The connection has ended. `Some`: that made the answer whole.
    pub fn end(&mut self) -> Result<Option<Response>, &'static str> {
        match self.body {
            Some(BodyState::UntilClose) => {
                self.body = Some(BodyState::Done);
                Ok(Some(std::mem::take(&mut self.response)))
            }
            _ => Err("the answer stops short"),
        }
    }

    fn parse_head(&mut self) -> Result<bool, &'static str> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
        let mut head = httparse::Response::new(&mut fields);
        let used = match head.parse(&self.input) {
            Ok(httparse::Status::Complete(used)) if used <= MAX_HEAD_BYTES => used,
            Ok(httparse::Status::Partial) if self.input.len() <= MAX_HEAD_BYTES => {
                return Ok(false)
            }
            Ok(_) => return Err("the head is too long"),
            Err(_) => return Err("the head can't be read"),
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
            // Two of a kind are two opinions on where the answer ends, or which nonce holds.
            if all.next().is_some() {
                return Err("a field stands twice in the head");
            }
            first.transpose().map_err(|_| "a field is no text")
        };
        let date = field("date")?.and_then(|text| parse_http_date(&text));
        let retry_after = field("retry-after")?.and_then(|text| match text.parse::<u64>() {
            Ok(seconds) => Some(seconds),
            Err(_) => parse_http_date(&text)
                .zip(date)
                .map(|(at, now)| at.saturating_sub(now)),
        });
        let length = match field("content-length")? {
            Some(text) if text.bytes().all(|b| b.is_ascii_digit()) => {
                Some(text.parse::<usize>().map_err(|_| "a bad length")?)
            }
            Some(_) => return Err("a bad length"),
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
            (Some(_), Some(_)) => return Err("a length and a coding at once"),
            (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => BodyState::ChunkSize,
            (Some(_), None) => return Err("an unknown coding"),
            (None, Some(0)) => BodyState::Done,
            (None, Some(length)) => BodyState::Length(length),
            (None, None) => BodyState::UntilClose,
        };
        if (100..200).contains(&status) {
            self.input.drain(..used);
            return self.parse_head();
        }
        if matches!(body, BodyState::Length(length) if length > self.max_body_bytes) {
            return Err("the answer is too long");
        }
        (self.response, self.body) = (response, Some(body));
        self.input.drain(..used);
        Ok(true)
    }

    /// Takes what it can off the input. `false`: more has to come.
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
                    .ok_or("a bad chunk")?;
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
                Some(_) => Err("a bad chunk"),
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

    /// Moves up to `n` bytes into the body.
    fn take(&mut self, n: usize) -> Result<usize, &'static str> {
        let n = n.min(self.input.len());
        if self.response.body.len() + n > self.max_body_bytes {
            return Err("the answer is too long");
        }
        self.response.body.extend(self.input.drain(..n));
        Ok(n)
    }

    fn take_line(&mut self) -> Result<Option<Vec<u8>>, &'static str> {
        let Some(at) = self.input.iter().position(|b| *b == b'\n') else {
            return if self.input.len() > MAX_CHUNK_LINE_BYTES {
                Err("a bad chunk")
            } else {
                Ok(None)
            };
        };
        if at > MAX_CHUNK_LINE_BYTES || at == 0 || self.input[at - 1] != b'\r' {
            return Err("a bad chunk");
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
