//! Commands to cache nodes and their replies, as arrays of bulk strings.
use super::bulk_strings::{self, decode_reply};
use super::DecodeError;
use crate::routing::{Fetch, FillSource, ReplyKind, TransactionId, UpstreamReply};
use crate::transport::Outgoing;
use cranesill::api::{EndpointId, FillNote, Micros, Timestamp};
use std::rc::Rc;

/// Returns the id of the first reply as soon as it was received, whether or not the rest of the reply was.
pub use super::bulk_strings::first_id;

const MICROS_PER_MS: u64 = 1_000;

/// Returns the name of an endpoint in text: `s-` and 8 hex digits.
pub fn endpoint_name(endpoint: EndpointId) -> String {
    format!("s-{:08x}", endpoint.0)
}

/// Encodes a `fetch` command that is sent at `now`. Its body is written behind the head without being copied.
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
    // The key lets a cache node tell a retry from another request: without it a write could take effect twice.
    if let Some(key) = &fetch.idempotency_key {
        fields += &format!(",nonce={key}");
    }
    if let Some(tag) = &fetch.cached_tag {
        fields += &format!(",seen={tag}");
    }
    fields
}

fn fill_fields(fill: &FillSource) -> String {
    let mut fields = String::new();
    if let Some(source) = fill.source {
        fields += &format!(",from={}", endpoint_name(source));
    }
    if fill.rank > 0 {
        fields += &format!(",rank={}", fill.rank);
    }
    // 0 would ask for the default. The age is rounded down, so that no copy from before a purge passes.
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

/// Encodes an `abort` command, which cancels a `fetch`.
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

/// A decoded reply.
#[derive(Debug)]
pub struct DecodedReply<'a> {
    /// The id of the transaction that it belongs to, as it was received.
    pub id: &'a [u8],
    /// The reply.
    pub reply: UpstreamReply,
    /// The length of the reply in bytes.
    pub length: usize,
}

/// Decodes the first reply of `input`. `None`: it is not complete yet.
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
    let fields = std::str::from_utf8(fields).map_err(|_| DecodeError("fields are no text"))?;
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

/// Sets a field of a reply. Unknown fields are ignored.
fn set_field(reply: &mut UpstreamReply, name: &str, value: &str) {
    match name {
        "ver" => reply.tag = Some(value).filter(|tag| !tag.is_empty()).map(Into::into),
        "born" => reply.created_at_ms = value.parse().ok(),
        "tags" => reply.tags = Some(value.into()),
        "tell" => reply.fill_note = fill_note(value),
        "waited" => reply.queueing_time = parse_milliseconds(value),
        "meter" => reply.load_report = parse_load_report(value),
        _ => {}
    }
}

/// Parses a decimal number of milliseconds; what is malformed or negative counts as none.
fn parse_milliseconds(value: &str) -> Micros {
    let milliseconds = value.parse::<f64>().unwrap_or(0.0).max(0.0);
    (milliseconds * MICROS_PER_MS as f64) as Micros
}

/// Parses names and values such as `concurrent:7;cpu:0.6`. Malformed entries are left out.
fn parse_load_report(value: &str) -> Vec<(String, f32)> {
    let entries = value.split(';').filter_map(|entry| entry.split_once(':'));
    entries
        .filter_map(|(name, value)| Some((name.to_string(), value.parse().ok()?)))
        .collect()
}

/// Decodes the note that says where a copy came from. An unknown note says nothing.
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
