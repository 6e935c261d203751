//! Operators' calls on the second address: one line a connection, and its answer.
use super::Unreadable;
use cranesill::api::EndpointId;

/// Bytes of a call at most, with its line end.
pub const MAX_LINE_BYTES: usize = 256;

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Health,
    /// The figures.
    Counters,
    /// Take a member out, by hand.
    Cordon(EndpointId),
    /// A member may serve again.
    Uncordon(EndpointId),
    /// Empty the front.
    Quiesce,
    /// Take clients again.
    Resume,
}

/// The id of a member as it stands in text.
pub fn endpoint_id(text: &str) -> Option<EndpointId> {
    let digits = text
        .strip_prefix("s-")
        .filter(|d| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit()))?;
    u64::from_str_radix(digits, 16).ok().map(EndpointId)
}

/// Reads the call that `input` holds. `None`: its line is not complete yet. `ended`: nothing more comes.
pub fn decode(input: &[u8], ended: bool) -> Result<Option<Call>, Unreadable> {
    let Some(end) = input.iter().position(|b| *b == b'\n') else {
        return match input.len() {
            n if n >= MAX_LINE_BYTES => Err(Unreadable("the line is too long")),
            n if n > 0 && ended => Err(Unreadable("the line has no end")),
            _ => Ok(None),
        };
    };
    let (line, rest) = (&input[..end], &input[end + 1..]);
    if end >= MAX_LINE_BYTES {
        return Err(Unreadable("the line is too long"));
    }
    // No call does half of what was said: what comes behind it would be left undone.
    if !rest.is_empty() {
        return Err(Unreadable("one line a connection"));
    }
    let line = std::str::from_utf8(line).map_err(|_| Unreadable("the line is no text"))?;
    let mut words = line
        .strip_suffix('\r')
        .unwrap_or(line)
        .split(' ')
        .filter(|word| !word.is_empty());
    let (word, id, more) = (words.next().unwrap_or_default(), words.next(), words.next());
    let of = |call: fn(EndpointId) -> Call| match id {
        None => Err(Unreadable("ID is missing")),
        Some(_) if more.is_some() => Err(Unreadable("a word too many")),
        Some(id) => endpoint_id(id)
            .map(call)
            .ok_or(Unreadable("ID is not s- and 8 hex digits")),
    };
    let plain = |call| {
        if id.is_some() {
            Err(Unreadable("a word too many"))
        } else {
            Ok(call)
        }
    };
    match word {
        "health" => plain(Call::Health),
        "counters" => plain(Call::Counters),
        "cordon" => of(Call::Cordon),
        "uncordon" => of(Call::Uncordon),
        "quiesce" => plain(Call::Quiesce),
        "resume" => plain(Call::Resume),
        _ => Err(Unreadable("no such call")),
    }
    .map(Some)
}

/// Writes the answer to a call: a word of its own, or lines and a last one of a point.
pub fn answer(answer: Result<&str, &str>, lines: Option<&[String]>) -> Vec<u8> {
    // What is told comes on one line whatever it holds.
    let plain = |text: &str| text.replace(['\r', '\n'], " ");
    let head = match answer {
        Ok("") => "+OK".into(),
        Ok(text) => format!("+OK {}", plain(text)),
        Err(why) => format!("-ERR {}", plain(why)),
    };
    let mut out = head + "\n";
    if let Some(lines) = lines {
        lines.iter().for_each(|line| out += &(plain(line) + "\n"));
        out += ".\n";
    }
    out.into_bytes()
}

#[cfg(test)]
mod tests;
