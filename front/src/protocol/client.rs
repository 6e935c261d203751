//! Frames between clients and the front. A frame consists of a length, a type, a stream id and a payload; numbers are
//! big-endian.
mod request;

pub use request::{decode_request, RequestError};

use super::bulk_strings::MAX_OBJECT_BYTES;
use super::{Cursor, DecodeError};
use crate::routing::Response;
use crate::transport::Outgoing;
use std::ops::RangeInclusive;
use std::rc::Rc;

/// Valid values of the length field of a frame, in bytes.
const FRAME_BYTES_RANGE: RangeInclusive<usize> = 5..=262_144;

/// Maximum length of a request body in bytes, imposed by the upstream endpoints.
const MAX_BODY_BYTES: usize = 48_000;

/// Frame types.
mod frame_type {
    pub const REQUEST: u8 = 10;
    pub const ANSWER: u8 = 11;
    pub const CANCEL: u8 = 12;
    pub const READINESS_REQUEST: u8 = 20;
    pub const READINESS: u8 = 21;
    pub const NO_MORE_REQUESTS: u8 = 30;
}

/// Status codes: the first byte of the payload of an answer.
mod status {
    pub const SERVED: u8 = 1;
    pub const REJECTED: u8 = 2;
    pub const FAILED: u8 = 3;
}

/// Size of the length field in bytes. The length does not include the field itself.
const LENGTH_BYTES: usize = 4;
/// Size of the type and stream fields in bytes.
const TYPE_AND_STREAM_BYTES: usize = 5;
/// An empty field list: a count of 0.
const NO_FIELDS: [u8; 1] = [0];
/// Size of an answer in bytes without its body, if it has no fields: type, stream, status and an empty field list.
const EMPTY_ANSWER_BYTES: usize = TYPE_AND_STREAM_BYTES + 1 + NO_FIELDS.len();
/// Maximum length of the body of an answer in bytes. Clients cannot read a longer one, nor anything after it on the connection.
const MAX_ANSWER_BODY_BYTES: usize = *FRAME_BYTES_RANGE.end() - EMPTY_ANSWER_BYTES;
// Every object that an endpoint may reply with has to fit into an answer.
const _: () = assert!(MAX_OBJECT_BYTES <= MAX_ANSWER_BODY_BYTES);
const MICROS_PER_MS: u64 = 1_000;
/// The first byte of the payload of a readiness frame.
const READY: u8 = 1;
const NOT_READY: u8 = 2;

/// A frame from a client.
#[derive(Debug)]
pub enum Message<'a> {
    /// A request: its stream and the payload to be decoded by [`decode_request`].
    Request(u32, &'a [u8]),
    /// The client cancels the request on this stream.
    Cancelled(u32),
    /// A readiness query, to be answered on this stream.
    Ready(u32),
}

/// Decodes the first frame in `input` and returns it with its length in bytes; `None` if it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<(Message<'_>, usize)>, DecodeError> {
    let mut cursor = Cursor(input);
    let Some(length) = cursor.u32().map(|n| n as usize) else {
        return Ok(None);
    };
    if !FRAME_BYTES_RANGE.contains(&length) {
        return Err(DecodeError("client frame length out of range"));
    }
    let Some(frame) = cursor.bytes(length) else {
        return Ok(None);
    };
    let mut cursor = Cursor(frame);
    let (frame_type, stream) = cursor
        .u8()
        .zip(cursor.u32())
        .ok_or(DecodeError("client frame truncated"))?;
    let message = match frame_type {
        frame_type::REQUEST if stream == 0 => {
            return Err(DecodeError("client request on stream 0, which is reserved"))
        }
        frame_type::REQUEST => Message::Request(stream, cursor.0),
        frame_type::CANCEL => Message::Cancelled(stream),
        frame_type::READINESS_REQUEST => Message::Ready(stream),
        _ => return Err(DecodeError("unknown type of client frame")),
    };
    Ok(Some((message, LENGTH_BYTES + length)))
}

fn frame(frame_type: u8, stream: u32, payload: &[u8], body: Rc<[u8]>) -> Outgoing<()> {
    let length = TYPE_AND_STREAM_BYTES + payload.len() + body.len();
    let mut head = Vec::with_capacity(LENGTH_BYTES + TYPE_AND_STREAM_BYTES + payload.len());
    head.extend((length as u32).to_be_bytes());
    head.push(frame_type);
    head.extend(stream.to_be_bytes());
    head.extend(payload);
    Outgoing {
        tag: (),
        head,
        body,
        tail: b"",
    }
}

/// Encodes a field list with a single field.
fn field(name: &str, value: &str) -> Vec<u8> {
    let mut payload = vec![1, name.len() as u8];
    payload.extend(name.bytes());
    payload.extend((value.len() as u16).to_be_bytes());
    payload.extend(value.bytes());
    payload
}

/// A response whose body does not fit into a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response body of {length} bytes does not fit into a frame; expected at most {MAX_ANSWER_BODY_BYTES}")]
pub struct BodyTooLong {
    /// Length of the body in bytes.
    pub length: usize,
}

/// Encodes the final response on a stream. A rejection carries the time after which the client may retry, rounded up to
/// milliseconds.
pub fn answer(stream: u32, response: Response) -> Result<Outgoing<()>, BodyTooLong> {
    let no_fields = NO_FIELDS.to_vec();
    Ok(match response {
        Response::Served(body) if body.len() > MAX_ANSWER_BODY_BYTES => {
            return Err(BodyTooLong { length: body.len() });
        }
        Response::Served(body) => answer_frame(stream, status::SERVED, no_fields, body),
        Response::NotModified => {
            let fields = field("same", "1");
            answer_frame(stream, status::SERVED, fields, Rc::default())
        }
        Response::Rejected(0) => answer_frame(stream, status::REJECTED, no_fields, Rc::default()),
        Response::Rejected(retry_after) => {
            let fields = field("later", &retry_after.div_ceil(MICROS_PER_MS).to_string());
            answer_frame(stream, status::REJECTED, fields, Rc::default())
        }
        Response::Failed => failure(stream),
    })
}

/// Encodes the answer to a request that failed.
pub fn failure(stream: u32) -> Outgoing<()> {
    answer_frame(stream, status::FAILED, NO_FIELDS.to_vec(), Rc::default())
}

fn answer_frame(stream: u32, status: u8, fields: Vec<u8>, body: Rc<[u8]>) -> Outgoing<()> {
    let payload = [vec![status], fields].concat();
    frame(frame_type::ANSWER, stream, &payload, body)
}

/// Encodes a connection error: a failure on stream 0, which belongs to no request.
pub fn error() -> Outgoing<()> {
    failure(0)
}

/// Encodes the answer to a readiness query.
pub fn ready(stream: u32, is_ready: bool) -> Outgoing<()> {
    let status = if is_ready { READY } else { NOT_READY };
    let payload = [&[status], &NO_FIELDS[..]].concat();
    frame(frame_type::READINESS, stream, &payload, Rc::default())
}

/// Encodes the notice that no further requests are accepted on the connection.
pub fn no_more() -> Outgoing<()> {
    frame(frame_type::NO_MORE_REQUESTS, 0, &[], Rc::default())
}

#[cfg(test)]
mod tests;
