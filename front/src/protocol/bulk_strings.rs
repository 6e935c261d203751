//! Arrays of bulk strings in the encoding of the Redis serialization protocol (RESP2), which commands to cache nodes and their
//! replies use.
use super::DecodeError;

/// Number of strings in a reply: the id, the name, the fields and the object.
pub const REPLY_STRINGS: usize = 4;
/// Maximum length of an object in bytes, by the protocol. An object up to this length fits into a frame to a client.
pub const MAX_OBJECT_BYTES: usize = 240_000;
/// Maximum length of each string of a reply in bytes.
const MAX_STRING_BYTES: [usize; REPLY_STRINGS] = [16, 16, 4_096, MAX_OBJECT_BYTES];
/// Maximum number of digits of a length.
const MAX_LENGTH_DIGITS: usize = 7;
/// Bytes of a length line in addition to the digits: the marker and the line end.
const LENGTH_LINE_OVERHEAD_BYTES: usize = 3;
const LINE_END: &[u8] = b"\r\n";
/// Initial capacity of the encoding buffer, sufficient for a typical command without reallocation.
const TYPICAL_COMMAND_BYTES: usize = 256;

/// Encodes bulk strings without the array header.
pub fn encode(strings: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(TYPICAL_COMMAND_BYTES);
    for string in strings {
        out.extend(format!("${}\r\n", string.len()).bytes());
        out.extend(*string);
        out.extend(LINE_END);
    }
    out
}

/// A reply split into its strings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply<'a> {
    /// The id, the name, the fields and the object, undecoded.
    pub strings: [&'a [u8]; REPLY_STRINGS],
    /// Length of the encoded reply in bytes.
    pub length: usize,
}

/// Splits the first reply in `input` into its strings; `None` if it is not complete yet.
pub fn decode_reply(input: &[u8]) -> Result<Option<Reply<'_>>, DecodeError> {
    let Some(array) = decode_length(input, 0, b'*', REPLY_STRINGS)? else {
        return Ok(None);
    };
    if array.value != REPLY_STRINGS {
        return Err(DecodeError("reply is not an array of four strings"));
    }
    let mut next = array.end;
    let mut strings: [&[u8]; REPLY_STRINGS] = [b""; REPLY_STRINGS];
    for (string, max_bytes) in strings.iter_mut().zip(MAX_STRING_BYTES) {
        let Some(length) = decode_length(input, next, b'$', max_bytes)? else {
            return Ok(None);
        };
        let end = length.end + length.value + LINE_END.len();
        let Some(with_line_end) = input.get(length.end..end) else {
            return Ok(None);
        };
        *string = with_line_end
            .strip_suffix(LINE_END)
            .ok_or(DecodeError("bulk string without a line end"))?;
        next = end;
    }
    Ok(Some(Reply {
        strings,
        length: next,
    }))
}

/// Returns the id of the first reply in `input`, even if the rest of that reply has not been received yet.
pub fn first_id(input: &[u8]) -> Option<&[u8]> {
    let array = decode_length(input, 0, b'*', REPLY_STRINGS).ok()??;
    let id = decode_length(input, array.end, b'$', MAX_STRING_BYTES[0]).ok()??;
    input.get(id.end..id.end + id.value)
}

/// A decoded length line.
#[derive(Clone, Copy, Debug)]
struct Length {
    value: usize,
    /// Offset of the first byte after the line.
    end: usize,
}

/// Decodes the line at `start`, which consists of `marker` and a length of at most `max`; `None` if it is not complete yet.
fn decode_length(
    input: &[u8],
    start: usize,
    marker: u8,
    max: usize,
) -> Result<Option<Length>, DecodeError> {
    let rest = &input[start.min(input.len())..];
    if rest.first().is_some_and(|b| *b != marker) {
        return Err(DecodeError("reply is not an array of bulk strings"));
    }
    let max_line_bytes = MAX_LENGTH_DIGITS + LENGTH_LINE_OVERHEAD_BYTES;
    let line_end = rest.iter().take(max_line_bytes).position(|b| *b == b'\n');
    let Some(line_end) = line_end else {
        return if rest.len() > max_line_bytes {
            Err(DecodeError("bulk string length has too many digits"))
        } else {
            Ok(None)
        };
    };
    let value = parse_length(&rest[1..line_end]).filter(|value| *value <= max);
    let value = value.ok_or(DecodeError("bulk string length malformed or out of range"))?;
    let end = start + line_end + 1;
    Ok(Some(Length { value, end }))
}

/// Parses the digits of a length and the carriage return after them.
fn parse_length(line: &[u8]) -> Option<usize> {
    let digits = line.strip_suffix(b"\r")?;
    if !digits.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(digits).ok()?.parse().ok()
}
