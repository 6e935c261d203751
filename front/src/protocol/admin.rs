//! The admin protocol on the operators' address. Each connection carries one call, on a single line, and its answer.
use cranesill::api::EndpointId;

/// Maximum length of a call in bytes, including the line end.
pub const MAX_LINE_BYTES: usize = 256;

/// A call from an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Queries whether this process can serve requests.
    Health,
    /// Queries the counters.
    Counters,
    /// Cordons an endpoint.
    Cordon(EndpointId),
    /// Uncordons an endpoint.
    Uncordon(EndpointId),
    /// Starts draining the front, until [`Call::Resume`].
    Quiesce,
    /// Accepts clients again after a drain.
    Resume,
}

/// Why a call cannot be decoded. The text is sent to the operator after `-ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("the line is too long")]
    LineTooLong,
    /// The operator closed the connection before the end of the line.
    #[error("the line has no end")]
    LineUnterminated,
    /// More input follows the line.
    #[error("one line a connection")]
    SecondLine,
    /// The line is not UTF-8.
    #[error("the line is no text")]
    NotText,
    /// No call has this name.
    #[error("no such call")]
    UnknownCall,
    /// The call has more arguments than it takes.
    #[error("a word too many")]
    TooManyArguments,
    /// The call requires the id of an endpoint.
    #[error("ID is missing")]
    EndpointMissing,
    /// The argument is not a valid endpoint id.
    #[error("ID is not s- and 8 hex digits")]
    EndpointMalformed,
}

/// Parses the textual form of an endpoint id, `s-` and 8 hex digits.
pub fn endpoint_id(text: &str) -> Option<EndpointId> {
    let digits = text
        .strip_prefix("s-")
        .filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(digits, 16).ok().map(EndpointId)
}

/// Decodes the call in `input`; `None` if its line is not complete yet. `end_of_input` states that no more input follows.
pub fn decode(input: &[u8], end_of_input: bool) -> Result<Option<Call>, CallError> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return check_incomplete(input, end_of_input).map(|()| None);
    };
    if end >= MAX_LINE_BYTES {
        return Err(CallError::LineTooLong);
    }
    // Rejected explicitly, since a second call on the same connection would be ignored without an error.
    if input.len() > end + 1 {
        return Err(CallError::SecondLine);
    }
    let line = std::str::from_utf8(&input[..end]);
    let line = line.map_err(|_| CallError::NotText)?;
    decode_line(line.strip_suffix('\r').unwrap_or(line)).map(Some)
}

/// Checks a line whose end has not been received.
fn check_incomplete(input: &[u8], end_of_input: bool) -> Result<(), CallError> {
    if input.len() >= MAX_LINE_BYTES {
        return Err(CallError::LineTooLong);
    }
    if end_of_input && !input.is_empty() {
        return Err(CallError::LineUnterminated);
    }
    Ok(())
}

fn decode_line(line: &str) -> Result<Call, CallError> {
    let mut fields = line.split(' ').filter(|field| !field.is_empty());
    let name = fields.next().unwrap_or_default();
    let arguments: Vec<_> = fields.collect();
    match name {
        "health" => without_argument(Call::Health, &arguments),
        "counters" => without_argument(Call::Counters, &arguments),
        "cordon" => endpoint_argument(&arguments).map(Call::Cordon),
        "uncordon" => endpoint_argument(&arguments).map(Call::Uncordon),
        "quiesce" => without_argument(Call::Quiesce, &arguments),
        "resume" => without_argument(Call::Resume, &arguments),
        _ => Err(CallError::UnknownCall),
    }
}

fn without_argument(call: Call, arguments: &[&str]) -> Result<Call, CallError> {
    if arguments.is_empty() {
        Ok(call)
    } else {
        Err(CallError::TooManyArguments)
    }
}

fn endpoint_argument(arguments: &[&str]) -> Result<EndpointId, CallError> {
    match arguments {
        [] => Err(CallError::EndpointMissing),
        [id] => endpoint_id(id).ok_or(CallError::EndpointMalformed),
        _ => Err(CallError::TooManyArguments),
    }
}

/// Encodes the answer to a call: a status line, followed by `lines` and a terminating line with a single dot if `lines` are
/// given.
pub fn answer(answer: Result<&str, &str>, lines: Option<&[String]>) -> Vec<u8> {
    let status = match answer {
        Ok("") => "+OK".into(),
        Ok(text) => format!("+OK {}", on_one_line(text)),
        Err(error) => format!("-ERR {}", on_one_line(error)),
    };
    let mut out = status + "\n";
    for line in lines.into_iter().flatten() {
        out += &on_one_line(line);
        out += "\n";
    }
    if lines.is_some() {
        out += ".\n";
    }
    out.into_bytes()
}

/// Replaces line ends by spaces, so that a text cannot start another line of the answer.
fn on_one_line(text: &str) -> String {
    text.replace(['\r', '\n'], " ")
}

#[cfg(test)]
mod tests;
