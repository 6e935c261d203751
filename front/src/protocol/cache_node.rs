//! Commands to members and their answers: arrays of bulk strings as RESP writes them.
use super::Unreadable;
use crate::routing::{Fetch, ReplyKind, TransactionId, UpstreamReply};
use crate::transport::Outgoing;
use cranesill::api::{EndpointId, FillNote, Timestamp};
use std::rc::Rc;

/// Bytes at most of the strings of an answer: id, word, fields, and an object with some room.
const STRINGS_MOST: [usize; 4] = [16, 16, 4_096, 262_144];
/// Digits of a length at most.
const DIGITS_MOST: usize = 7;

/// How a member is named in text.
pub fn endpoint_name(member: EndpointId) -> String {
    format!("s-{:08x}", member.0)
}

pub(super) fn strings(parts: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::with_capacity(256);
    for part in parts {
        out.extend(format!("${}\r\n", part.len()).bytes());
        out.extend(*part);
        out.extend(b"\r\n");
    }
    out
}

/// A `fetch` as it is written `now`; its body goes out behind the head without being copied.
pub fn fetch(fetch: &Fetch, now: Timestamp) -> Outgoing<Option<TransactionId>> {
    let limit = (fetch.deadline.saturating_sub(now) / 1_000).max(1);
    let mut fields = format!("cls={}", fetch.class);
    if let Some(item) = &fetch.object {
        fields += &format!(",item={},chunk={}", item.text, fetch.part);
    }
    fields += &format!(",limit={limit}");
    if let Some(fill) = &fetch.fill {
        if let Some(source) = fill.source {
            fields += &format!(",from={}", endpoint_name(source));
        }
        if fill.rank > 0 {
            fields += &format!(",rank={}", fill.rank);
        }
        // 0 would ask for the default; rounded down, a copy from before a purge never passes.
        if fill.max_age > 0 {
            fields += &format!(",oldest={}", (fill.max_age / 1_000).max(1));
        }
        let words = [
            (fill.join, "coalesce"),
            (fill.cached_only, "shallow"),
            (fill.revalidate, "freshen"),
        ];
        let words: Vec<_> = words.iter().filter(|w| w.0).map(|w| w.1).collect();
        if !words.is_empty() {
            fields += &format!(",mode={}", words.join("+"));
        }
    }
    // Guards the rule of effects: without it a node can't tell a repeat from another request.
    if let Some(key) = &fetch.idempotency_key {
        fields += &format!(",nonce={key}");
    }
    if let Some(seen) = &fetch.cached_tag {
        fields += &format!(",seen={seen}");
    }
    let mut head = b"*4\r\n".to_vec();
    head.extend(strings(&[
        b"fetch",
        fetch.transaction.as_bytes(),
        fields.as_bytes(),
    ]));
    head.extend(format!("${}\r\n", fetch.body.len()).bytes());
    Outgoing {
        tag: Some(fetch.transaction),
        head,
        body: Rc::clone(&fetch.body),
        tail: b"\r\n",
    }
}

/// Gives a request up.
pub fn abort(txn: TransactionId) -> Outgoing<Option<TransactionId>> {
    let mut head = b"*2\r\n".to_vec();
    head.extend(strings(&[b"abort", txn.as_bytes()]));
    Outgoing {
        tag: None,
        head,
        body: Rc::default(),
        tail: b"",
    }
}

/// A line that begins with `mark` and holds a length, and where the next one begins.
fn length(
    input: &[u8],
    at: usize,
    mark: u8,
    most: usize,
) -> Result<Option<(usize, usize)>, Unreadable> {
    let rest = &input[at.min(input.len())..];
    if rest.first().is_some_and(|b| *b != mark) {
        return Err(Unreadable("no array of bulk strings"));
    }
    let Some(end) = rest.iter().take(DIGITS_MOST + 3).position(|b| *b == b'\n') else {
        return if rest.len() > DIGITS_MOST + 3 {
            Err(Unreadable("length too long"))
        } else {
            Ok(None)
        };
    };
    let digits = rest[1..end]
        .strip_suffix(b"\r")
        .filter(|d| d.iter().all(u8::is_ascii_digit));
    let number = digits.and_then(|d| std::str::from_utf8(d).ok()?.parse::<usize>().ok());
    match number.filter(|n| *n <= most) {
        Some(n) => Ok(Some((n, at + end + 1))),
        None => Err(Unreadable("length out of bounds")),
    }
}

/// An answer, the id that it is for, and its length in bytes.
type Decoded<'a> = (&'a [u8], UpstreamReply, usize);

/// The four strings of an answer, and its length in bytes.
type Parts<'a> = ([&'a [u8]; 4], usize);

/// The four strings of the first answer, and its length in bytes. `None`: it is not complete yet.
pub fn parts(input: &[u8]) -> Result<Option<Parts<'_>>, Unreadable> {
    let Some((count, mut at)) = length(input, 0, b'*', STRINGS_MOST.len())? else {
        return Ok(None);
    };
    if count != STRINGS_MOST.len() {
        return Err(Unreadable("no answer of four strings"));
    }
    let mut parts: [&[u8]; 4] = [b""; 4];
    for (part, most) in parts.iter_mut().zip(STRINGS_MOST) {
        let Some((n, begin)) = length(input, at, b'$', most)? else {
            return Ok(None);
        };
        let Some(string) = input.get(begin..begin + n + 2) else {
            return Ok(None);
        };
        let string = string
            .strip_suffix(b"\r\n")
            .ok_or(Unreadable("string without its end"))?;
        *part = string;
        at = begin + n + 2;
    }
    Ok(Some((parts, at)))
}

/// The id of the first answer, as soon as it is here, whole as the rest may be or not.
pub fn begun_id(input: &[u8]) -> Option<&[u8]> {
    let (_, at) = length(input, 0, b'*', STRINGS_MOST.len()).ok()??;
    let (n, begin) = length(input, at, b'$', STRINGS_MOST[0]).ok()??;
    input.get(begin..begin + n)
}

/// Takes the first answer off `input`. `None`: it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<Decoded<'_>>, Unreadable> {
    let Some((parts, at)) = parts(input)? else {
        return Ok(None);
    };
    let [id, word, fields, body] = parts;
    let word = match word {
        b"HIT" => ReplyKind::Hit,
        b"VALID" => ReplyKind::NotModified,
        b"NONE" => ReplyKind::Miss,
        b"SHED" => ReplyKind::Rejected,
        b"FAULT" => ReplyKind::Fault,
        b"LATE" => ReplyKind::DeadlineExceeded,
        _ => ReplyKind::Other,
    };
    let mut reply = UpstreamReply {
        kind: word,
        body: body.into(),
        ..UpstreamReply::default()
    };
    let fields = std::str::from_utf8(fields).map_err(|_| Unreadable("fields are no text"))?;
    for (name, value) in fields.split(',').filter_map(|f| f.split_once('=')) {
        match name {
            "ver" => reply.tag = Some(value).filter(|tag| !tag.is_empty()).map(Into::into),
            "born" => reply.created_at_ms = value.parse().ok(),
            "tags" => reply.tags = Some(value.into()),
            "tell" => reply.fill_note = note(value),
            "waited" => {
                reply.queueing_time = (value.parse::<f64>().unwrap_or(0.0).max(0.0) * 1e3) as u64
            }
            "meter" => {
                let figures = value.split(';').filter_map(|f| f.split_once(':'));
                let figures =
                    figures.filter_map(|(n, v)| Some((n.to_string(), v.parse::<f32>().ok()?)));
                reply.load_report = figures.collect();
            }
            _ => {}
        }
    }
    Ok(Some((id, reply, at)))
}

/// Notes that are not known tell nothing.
fn note(word: &str) -> FillNote {
    match word {
        "local" => FillNote::Hit,
        "pulled" => FillNote::Filled,
        "pulled_far" => FillNote::FilledByOrigin,
        "rode" => FillNote::Coalesced,
        "expired" => FillNote::Stale,
        "turned_away" => FillNote::SourceRejected,
        "cut_off" => FillNote::SourceLost,
        "not_there" => FillNote::SourceMiss,
        "no_place" => FillNote::NoFillSlot,
        "far_fault" => FillNote::OriginFailed,
        _ => FillNote::None,
    }
}

#[cfg(test)]
mod tests;
