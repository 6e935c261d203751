//! Frames between clients and the front.
use super::{hex16, Cursor, Unreadable};
use crate::routing::{ClientRequest, ObjectKey, Response, TransactionId};
use crate::transport::Outgoing;
use std::rc::Rc;

/// What the length of a frame may be.
const LENGTH: std::ops::RangeInclusive<usize> = 5..=262_144;

/// Bytes that a write may bring; a member reads no more.
const BODY_MOST: usize = 48_000;
/// KB that a client may say an object has; far more than any that is served, and no sum of them overflows.
const SIZE_MOST: f64 = 1e9;
/// Letters and digits of a tag or a key at most.
const TAG_MOST: usize = 64;

/// A frame from a client.
#[derive(Debug)]
pub enum Message<'a> {
    /// A request on a stream, its fields and body still to be read by `decode_request`.
    Request(u32, &'a [u8]),
    /// Nobody waits for this stream any more.
    Cancelled(u32),
    /// Is the front ready?
    Ready(u32),
}

/// Takes the first frame off `input`, with its length in bytes. `None`: it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<(Message<'_>, usize)>, Unreadable> {
    let mut cursor = Cursor(input);
    let Some(length) = cursor.u32().map(|n| n as usize) else {
        return Ok(None);
    };
    if !LENGTH.contains(&length) {
        return Err(Unreadable("frame length out of bounds"));
    }
    let Some(frame) = cursor.bytes(length) else {
        return Ok(None);
    };
    let mut cursor = Cursor(frame);
    let (kind, stream) = cursor
        .u8()
        .zip(cursor.u32())
        .ok_or(Unreadable("frame cut off"))?;
    let message = match kind {
        10 if stream == 0 => return Err(Unreadable("request on stream 0")),
        10 => Message::Request(stream, cursor.0),
        12 => Message::Cancelled(stream),
        20 => Message::Ready(stream),
        _ => return Err(Unreadable("unknown frame type")),
    };
    Ok(Some((message, 4 + length)))
}

/// Reads the payload of a request; the error says which field is bad. Fields that are not known are passed
/// over.
pub fn decode_request(payload: &[u8]) -> Result<ClientRequest, &'static str> {
    let mut cursor = Cursor(payload);
    let count = cursor.u8().ok_or("fields cut off")?;
    let (mut class, mut txn, mut limit, mut item, mut have) = (None, None, None, None, None);
    let (mut part, mut group, mut size_kb, mut key) = (0, 0, 0.0, None);
    for _ in 0..count {
        let name = cursor
            .u8()
            .and_then(|n| cursor.bytes(n.into()))
            .ok_or("field name cut off")?;
        let value = cursor
            .u16()
            .and_then(|n| cursor.bytes(n.into()))
            .ok_or("field value cut off")?;
        let value = std::str::from_utf8(value).map_err(|_| "a field is no text")?;
        match name {
            b"verb" => class = Some(value.to_string()),
            b"txn" => {
                hex16(value).ok_or("txn is not 16 hex digits")?;
                txn = TransactionId::new(value);
            }
            b"limit" => limit = Some(number(value).ok_or("limit is no number")?),
            b"item" => {
                let id = hex16(value).ok_or("item is not 16 hex digits")?;
                item = Some(ObjectKey {
                    text: value.into(),
                    id,
                });
            }
            b"part" => part = number(value).ok_or("part is no number")?,
            b"group" => {
                group = number(value)
                    .filter(|g| *g < 256)
                    .ok_or("group is no number below 256")?;
            }
            b"ram" => size_kb = size(value).ok_or("ram is no size in KB")?,
            b"have" => have = Some(bare(value).ok_or("have is no bare tag")?),
            b"unique" => key = Some(bare(value).ok_or("unique is no bare key")?),
            _ => {}
        }
    }
    if cursor.0.len() > BODY_MOST {
        return Err("body too long");
    }
    Ok(ClientRequest {
        class: class.ok_or("no verb")?,
        transaction: txn.ok_or("no txn")?,
        time_limit: u64::from(limit.ok_or("no limit")?) * 1_000,
        object: item,
        part,
        group,
        size_kb,
        cached_tag: have,
        idempotency_key: key,
        body: cursor.0.into(),
    })
}

/// Letters and digits alone: it goes into a list of fields between commas.
fn bare(value: &str) -> Option<Rc<str>> {
    let fits =
        (1..=TAG_MOST).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_alphanumeric());
    fits.then(|| value.into())
}

/// Digits and nothing else: no sign, as the standard library would allow.
fn number(text: &str) -> Option<u32> {
    text.bytes()
        .all(|b| b.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// A plain decimal number of KB: no sign, no exponent, neither infinite nor absurdly large.
fn size(text: &str) -> Option<f64> {
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    plain
        .then(|| text.parse().ok())
        .flatten()
        .filter(|kb| *kb <= SIZE_MOST)
}

fn frame(kind: u8, stream: u32, payload: &[u8], body: Rc<[u8]>) -> Outgoing<()> {
    let length = 5 + payload.len() + body.len();
    let mut head = Vec::with_capacity(9 + payload.len());
    head.extend((length as u32).to_be_bytes());
    head.push(kind);
    head.extend(stream.to_be_bytes());
    head.extend(payload);
    Outgoing {
        tag: (),
        head,
        body,
        tail: b"",
    }
}

fn field(name: &str, value: &str) -> Vec<u8> {
    let mut payload = vec![1, name.len() as u8];
    payload.extend(name.bytes());
    payload.extend((value.len() as u16).to_be_bytes());
    payload.extend(value.bytes());
    payload
}

/// The final answer of a stream.
pub fn answer(stream: u32, response: Response) -> Outgoing<()> {
    let (code, fields, body) = match response {
        Response::Served(body) => (1, vec![0], body),
        Response::NotModified => (1, field("same", "1"), Rc::default()),
        Response::Rejected(0) => (2, vec![0], Rc::default()),
        Response::Rejected(retry_after) => (
            2,
            field("later", &retry_after.div_ceil(1_000).to_string()),
            Rc::default(),
        ),
        Response::Failed => (3, vec![0], Rc::default()),
    };
    frame(11, stream, &[&[code], &fields[..]].concat(), body)
}

/// An error that belongs to no request.
pub fn error() -> Outgoing<()> {
    answer(0, Response::Failed)
}

/// Whether the front is ready.
pub fn ready(stream: u32, yes: bool) -> Outgoing<()> {
    frame(21, stream, &[if yes { 1 } else { 2 }, 0], Rc::default())
}

/// No new request on this connection.
pub fn no_more() -> Outgoing<()> {
    frame(30, 0, &[], Rc::default())
}

#[cfg(test)]
mod tests;
