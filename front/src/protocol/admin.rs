//! The admin protocol on the operators' address: each connection carries one call on one line, and its answer.
use super::Unreadable;
use cranesill::api::EndpointId;

/// The longest line of a call, in bytes, with its line end.
pub const MAX_LINE_BYTES: usize = 256;

/// A call of an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process can serve.
    Health,
    /// Asks for the counters.
    Counters,
    /// Cordons an endpoint.
    Cordon(EndpointId),
    /// Lifts an endpoint's cordon.
    Uncordon(EndpointId),
    /// Drains the front.
    Quiesce,
    /// Accepts clients again after a drain.
    Resume,
}

/// Parses the textual form of an endpoint id, `s-` and 8 hex digits.
pub fn endpoint_id(text: &str) -> Option<EndpointId> {
    let digits = text
        .strip_prefix("s-")
        .filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(digits, 16).ok().map(EndpointId)
}

/// Decodes the call that `input` holds. `None`: its line is not complete yet. `ended`: no more input will come.
pub fn decode(input: &[u8], ended: bool) -> Result<Option<Call>, Unreadable> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return check_incomplete(input, ended).map(|()| None);
    };
    if end >= MAX_LINE_BYTES {
        return Err(Unreadable("the line is too long"));
    }
    // A call that ignored what stands behind it would leave the rest undone without a word.
    if input.len() > end + 1 {
        return Err(Unreadable("one line a connection"));
    }
    let line = std::str::from_utf8(&input[..end]);
    let line = line.map_err(|_| Unreadable("the line is no text"))?;
    decode_line(line.strip_suffix('\r').unwrap_or(line)).map(Some)
}

/// Checks a line whose end has not been received.
fn check_incomplete(input: &[u8], ended: bool) -> Result<(), Unreadable> {
    if input.len() >= MAX_LINE_BYTES {
        return Err(Unreadable("the line is too long"));
    }
    if ended && !input.is_empty() {
        return Err(Unreadable("the line has no end"));
    }
    Ok(())
}

fn decode_line(line: &str) -> Result<Call, Unreadable> {
    let mut words = line.split(' ').filter(|word| !word.is_empty());
    let name = words.next().unwrap_or_default();
    let arguments: Vec<_> = words.collect();
    match name {
        "health" => without_argument(Call::Health, &arguments),
        "counters" => without_argument(Call::Counters, &arguments),
        "cordon" => endpoint_argument(&arguments).map(Call::Cordon),
        "uncordon" => endpoint_argument(&arguments).map(Call::Uncordon),
        "quiesce" => without_argument(Call::Quiesce, &arguments),
        "resume" => without_argument(Call::Resume, &arguments),
        _ => Err(Unreadable("no such call")),
    }
}

fn without_argument(call: Call, arguments: &[&str]) -> Result<Call, Unreadable> {
    if arguments.is_empty() {
        Ok(call)
    } else {
        Err(Unreadable("a word too many"))
    }
}

fn endpoint_argument(arguments: &[&str]) -> Result<EndpointId, Unreadable> {
    match arguments {
        [] => Err(Unreadable("ID is missing")),
        [id] => endpoint_id(id).ok_or(Unreadable("ID is not s- and 8 hex digits")),
        _ => Err(Unreadable("a word too many")),
    }
}

/// Encodes the answer to a call: a status line and, where there are `lines`, these and a last one that holds a dot.
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

/// Replaces line ends: a text that held one would begin a line of its own in the answer.
fn on_one_line(text: &str) -> String {
    text.replace(['\r', '\n'], " ")
}

#[cfg(test)]
mod tests;
