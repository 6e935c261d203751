//! The payload of a request frame: a counted list of named fields, followed by the body.
use super::{MAX_BODY_BYTES, MICROS_PER_MS};
use crate::protocol::{hex16, Cursor};
use crate::routing::{ClientRequest, ObjectKey, TransactionId};
use std::rc::Rc;

/// Maximum object size in KB that a client may state. It is far above any object that is served, and sums of such sizes cannot
/// overflow.
const MAX_SIZE_KB: f64 = 1e9;
/// Maximum length of a tag or idempotency key in bytes.
const MAX_TAG_BYTES: usize = 64;
/// Upper bound of group numbers, exclusive.
const MAX_GROUPS: u32 = 256;

/// Why a request is rejected as malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The payload is empty.
    #[error("request payload is empty")]
    FieldsTruncated,
    /// The payload ends within the name of a field.
    #[error("request payload ends within a field name")]
    FieldNameTruncated,
    /// The payload ends within the value of a field.
    #[error("request payload ends within a field value")]
    FieldValueTruncated,
    /// The value of a field is not valid UTF-8.
    #[error("request field is not valid UTF-8")]
    FieldNotText,
    /// `txn` is malformed.
    #[error("txn is not 16 hex digits")]
    TransactionMalformed,
    /// `limit` is malformed.
    #[error("limit is not a number")]
    TimeLimitMalformed,
    /// `item` is malformed.
    #[error("item is not 16 hex digits")]
    ObjectMalformed,
    /// `part` is malformed.
    #[error("part is not a number")]
    PartMalformed,
    /// `group` is malformed or too large.
    #[error("group is not a number below {}", MAX_GROUPS)]
    GroupMalformed,
    /// `ram` is malformed or too large.
    #[error("ram is not a size in KB")]
    SizeMalformed,
    /// `have` is empty, too long or contains other characters than letters and digits.
    #[error("have is not 1 to {} letters and digits", MAX_TAG_BYTES)]
    CachedTagMalformed,
    /// `unique` is empty, too long or contains other characters than letters and digits.
    #[error("unique is not 1 to {} letters and digits", MAX_TAG_BYTES)]
    IdempotencyKeyMalformed,
    /// The body is longer than upstream endpoints accept.
    #[error("request body is longer than {} bytes", MAX_BODY_BYTES)]
    BodyTooLong,
    /// `verb` is missing.
    #[error("verb is missing")]
    ClassMissing,
    /// `txn` is missing.
    #[error("txn is missing")]
    TransactionMissing,
    /// `limit` is missing.
    #[error("limit is missing")]
    TimeLimitMissing,
    /// The connection has reached its limit of open streams.
    #[error("too many open streams on the connection")]
    TooManyStreams,
}

/// Decodes the payload of a request frame. Unknown fields are ignored; the last value of a repeated field is used.
pub fn decode_request(payload: &[u8]) -> Result<ClientRequest, RequestError> {
    let mut cursor = Cursor(payload);
    let count = cursor.u8().ok_or(RequestError::FieldsTruncated)?;
    let mut fields = Fields::default();
    for _ in 0..count {
        let (name, value) = next_field(&mut cursor)?;
        fields.set(name, value)?;
    }
    if cursor.0.len() > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLong);
    }
    fields.into_request(cursor.0)
}

/// Reads the name and the value of the next field.
fn next_field<'a>(cursor: &mut Cursor<'a>) -> Result<(&'a [u8], &'a str), RequestError> {
    let name = cursor
        .u8()
        .and_then(|length| cursor.bytes(length.into()))
        .ok_or(RequestError::FieldNameTruncated)?;
    let value = cursor
        .u16()
        .and_then(|length| cursor.bytes(length.into()))
        .ok_or(RequestError::FieldValueTruncated)?;
    let value = std::str::from_utf8(value).map_err(|_| RequestError::FieldNotText)?;
    Ok((name, value))
}

/// The fields decoded so far.
#[derive(Default)]
struct Fields {
    class: Option<String>,
    transaction: Option<TransactionId>,
    time_limit_ms: Option<u32>,
    object: Option<ObjectKey>,
    part: u32,
    group: u32,
    size_kb: f64,
    cached_tag: Option<Rc<str>>,
    idempotency_key: Option<Rc<str>>,
}

impl Fields {
    fn set(&mut self, name: &[u8], value: &str) -> Result<(), RequestError> {
        match name {
            b"verb" => self.class = Some(value.to_string()),
            b"txn" => {
                hex16(value).ok_or(RequestError::TransactionMalformed)?;
                self.transaction = TransactionId::new(value);
            }
            b"limit" => {
                self.time_limit_ms =
                    Some(parse_number(value).ok_or(RequestError::TimeLimitMalformed)?);
            }
            b"item" => self.object = Some(parse_object(value)?),
            b"part" => self.part = parse_number(value).ok_or(RequestError::PartMalformed)?,
            b"group" => self.group = parse_group(value)?,
            b"ram" => self.size_kb = parse_size_kb(value).ok_or(RequestError::SizeMalformed)?,
            b"have" => {
                self.cached_tag = Some(parse_tag(value).ok_or(RequestError::CachedTagMalformed)?);
            }
            b"unique" => {
                self.idempotency_key =
                    Some(parse_tag(value).ok_or(RequestError::IdempotencyKeyMalformed)?);
            }
            _ => {}
        }
        Ok(())
    }

    fn into_request(self, body: &[u8]) -> Result<ClientRequest, RequestError> {
        let class = self.class.ok_or(RequestError::ClassMissing)?;
        let transaction = self.transaction.ok_or(RequestError::TransactionMissing)?;
        let time_limit_ms = self.time_limit_ms.ok_or(RequestError::TimeLimitMissing)?;
        Ok(ClientRequest {
            class,
            transaction,
            time_limit: u64::from(time_limit_ms) * MICROS_PER_MS,
            object: self.object,
            part: self.part,
            group: self.group,
            size_kb: self.size_kb,
            cached_tag: self.cached_tag,
            idempotency_key: self.idempotency_key,
            body: body.into(),
        })
    }
}

fn parse_object(value: &str) -> Result<ObjectKey, RequestError> {
    let id = hex16(value).ok_or(RequestError::ObjectMalformed)?;
    Ok(ObjectKey {
        text: value.into(),
        id,
    })
}

fn parse_group(value: &str) -> Result<u32, RequestError> {
    parse_number(value)
        .filter(|group| *group < MAX_GROUPS)
        .ok_or(RequestError::GroupMalformed)
}

/// Parses a tag or key of letters and digits. Other characters are rejected because the value is sent upstream in a
/// comma-separated field list, where it could inject further fields.
fn parse_tag(value: &str) -> Option<Rc<str>> {
    let has_valid_length = (1..=MAX_TAG_BYTES).contains(&value.len());
    let is_alphanumeric = value.bytes().all(|b| b.is_ascii_alphanumeric());
    (has_valid_length && is_alphanumeric).then(|| value.into())
}

/// Parses a number without a sign, which the standard library would accept.
fn parse_number(text: &str) -> Option<u32> {
    let digits_alone = text.bytes().all(|b| b.is_ascii_digit());
    digits_alone.then(|| text.parse().ok()).flatten()
}

/// Parses a decimal number of KB without a sign, exponent or infinity, which the standard library would accept.
fn parse_size_kb(text: &str) -> Option<f64> {
    let is_plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let size: Option<f64> = is_plain.then(|| text.parse().ok()).flatten();
    size.filter(|kb| *kb <= MAX_SIZE_KB)
}
