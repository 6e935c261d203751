//! Commands to cache nodes and their replies, both encoded as arrays of bulk strings.
use super::bulk_strings::{self, decode_reply};
use super::DecodeError;
use crate::routing::{Fetch, FillInstructions, ReplyKind, TransactionId, UpstreamReply};
use crate::transport::Outgoing;
use cranesill::api::{EndpointId, FillNote, Micros, Timestamp};
use std::rc::Rc;

pub use super::bulk_strings::first_id;

const MICROS_PER_MS: u64 = 1_000;

/// Returns the textual form of an endpoint id: `s-` and 8 hex digits.
pub fn endpoint_name(endpoint: EndpointId) -> String {
    format!("s-{:08x}", endpoint.0)
}

/// Encodes a `fetch` command that is sent at `now`. The body is shared with the request, not copied.
pub fn fetch(fetch: &Fetch, now: Timestamp) -> Outgoing<Option<TransactionId>> {
    let mut head = b"*4\r\n".to_vec();
    head.extend(bulk_strings::encode(&[
        b"fetch",
        fetch.transaction.as_bytes(),
        fetch_fields(fetch, now).as_bytes(),
    ]));
    head.extend(format!("${}\r\n", fetch.body.len()).bytes());
    Outgoing {
        tag: Some(fetch.transaction),
        head,
        body: Rc::clone(&fetch.body),
        tail: b"\r\n",
    }
}

fn fetch_fields(fetch: &Fetch, now: Timestamp) -> String {
    let limit_ms = (fetch.deadline.saturating_sub(now) / MICROS_PER_MS).max(1);
    let mut fields = format!("cls={}", fetch.class);
    if let Some(object) = &fetch.object {
        fields += &format!(",item={},chunk={}", object.text, fetch.part);
    }
    fields += &format!(",limit={limit_ms}");
    if let Some(fill) = &fetch.fill {
        fields += &fill_fields(fill);
    }
    // Cache nodes detect retries by this key; without it a retried write could be executed twice.
    if let Some(key) = &fetch.idempotency_key {
        fields += &format!(",nonce={key}");
    }
    if let Some(tag) = &fetch.cached_tag {
        fields += &format!(",seen={tag}");
    }
    fields
}

fn fill_fields(fill: &FillInstructions) -> String {
    let mut fields = String::new();
    if let Some(source) = fill.source {
        fields += &format!(",from={}", endpoint_name(source));
    }
    if fill.rank > 0 {
        fields += &format!(",rank={}", fill.rank);
    }
    // 0 selects the default of the class. Rounding down excludes copies created just before a purge.
    if fill.max_age > 0 {
        fields += &format!(",oldest={}", (fill.max_age / MICROS_PER_MS).max(1));
    }
    let modes = [
        (fill.coalesce, "coalesce"),
        (fill.cached_only, "shallow"),
        (fill.revalidate, "freshen"),
    ];
    let enabled = modes.iter().filter(|(enabled, _)| *enabled);
    let names: Vec<_> = enabled.map(|(_, name)| *name).collect();
    if !names.is_empty() {
        fields += &format!(",mode={}", names.join("+"));
    }
    fields
}

/// Encodes an `abort` command, which cancels the `fetch` of the same transaction.
pub fn abort(transaction: TransactionId) -> Outgoing<Option<TransactionId>> {
    let mut head = b"*2\r\n".to_vec();
    head.extend(bulk_strings::encode(&[b"abort", transaction.as_bytes()]));
    Outgoing {
        tag: None,
        head,
        body: Rc::default(),
        tail: b"",
    }
}

/// A decoded reply of a cache node.
#[derive(Debug)]
pub struct DecodedReply<'a> {
    /// The transaction id as received, not validated.
    pub id: &'a [u8],
    /// The result, the fields and the body.
    pub reply: UpstreamReply,
    /// Length of the encoded reply in bytes.
    pub length: usize,
}

/// Decodes the first reply in `input`; `None` if it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<DecodedReply<'_>>, DecodeError> {
    let Some(encoded) = decode_reply(input)? else {
        return Ok(None);
    };
    let [id, name, fields, body] = encoded.strings;
    let mut reply = UpstreamReply {
        kind: reply_kind(name),
        body: body.into(),
        ..UpstreamReply::default()
    };
    let fields =
        std::str::from_utf8(fields).map_err(|_| DecodeError("reply fields are not valid UTF-8"))?;
    for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
        set_field(&mut reply, name, value);
    }
    Ok(Some(DecodedReply {
        id,
        reply,
        length: encoded.length,
    }))
}

fn reply_kind(name: &[u8]) -> ReplyKind {
    match name {
        b"HIT" => ReplyKind::Hit,
        b"VALID" => ReplyKind::NotModified,
        b"NONE" => ReplyKind::Miss,
        b"SHED" => ReplyKind::Rejected,
        b"FAULT" => ReplyKind::Fault,
        b"LATE" => ReplyKind::DeadlineExceeded,
        _ => ReplyKind::Other,
    }
}

/// Sets a field of a reply. Unknown and malformed fields are ignored.
fn set_field(reply: &mut UpstreamReply, name: &str, value: &str) {
    match name {
        "ver" => reply.tag = Some(value).filter(|tag| !tag.is_empty()).map(Into::into),
        "born" => reply.created_at_ms = value.parse().ok(),
        "tags" => reply.tags = Some(value.into()),
        "tell" => reply.fill_note = fill_note(value),
        "waited" => reply.source_wait = parse_milliseconds(value),
        "meter" => reply.load_report = parse_load_report(value),
        _ => {}
    }
}

/// Parses a decimal number of milliseconds. Malformed and negative values yield 0.
fn parse_milliseconds(value: &str) -> Micros {
    let milliseconds = value.parse::<f64>().unwrap_or(0.0).max(0.0);
    (milliseconds * MICROS_PER_MS as f64) as Micros
}

/// Parses a list of names and values such as `concurrent:7;cpu:0.6`. Malformed entries are skipped.
fn parse_load_report(value: &str) -> Vec<(String, f32)> {
    let entries = value.split(';').filter_map(|entry| entry.split_once(':'));
    entries
        .filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?)))
        .collect()
}

/// Decodes the note on how the copy was obtained. Unknown notes yield [`FillNote::None`].
fn fill_note(note: &str) -> FillNote {
    match note {
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
