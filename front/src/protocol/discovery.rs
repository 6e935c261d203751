//! Watch events from discovery: changes of the endpoint list, and purges. Numbers are big-endian.
use super::{Cursor, DecodeError};
use cranesill::api::EndpointState;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;

/// Valid values of the length field of a frame, in bytes. The upper bound allows complete lists of several thousand
/// endpoints.
const FRAME_BYTES_RANGE: RangeInclusive<usize> = 9..=1 << 20;
/// Size of the length field in bytes. The length does not include the field itself.
const LENGTH_BYTES: usize = 4;
/// Size of an endpoint record in bytes.
const RECORD_BYTES: usize = 27;
/// Divisor of encoded weights, which are in thousandths.
const WEIGHT_UNIT: f64 = 1e3;

/// Frame kinds.
mod kind {
    pub const NO_CHANGE: u8 = 0;
    pub const COMPLETE_LIST: u8 = 1;
    pub const CHANGES: u8 = 2;
    pub const OBJECT_PURGE: u8 = 3;
    pub const GROUP_PURGE: u8 = 4;
}

/// An entry of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The id, which is stable across address changes.
    pub id: u32,
    /// The address on which the endpoint listens.
    pub address: SocketAddr,
    /// The state: ready, draining or removed.
    pub state: EndpointState,
    /// Index of the zone in the list of zones in the settings.
    pub zone: u16,
    /// Index of the machine type in the list of kinds in the settings.
    pub kind: u8,
    /// The cell to which the endpoint belongs.
    pub cell: u16,
    /// Approximate number of transfers to clients that the endpoint's link carries at full rate.
    pub weight: f64,
    /// Start time in Unix milliseconds if the endpoint joined after the initial ones, otherwise 0.
    pub started_ms: u64,
}

/// A change announced by discovery.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The complete endpoint list, or the endpoints that changed.
    Endpoints {
        /// Whether `list` is complete, so that endpoints missing from it are removed.
        complete: bool,
        /// The complete list, or the changed endpoints.
        list: Vec<EndpointRecord>,
    },
    /// An object or a group was purged.
    Purge {
        /// The purged object; `None` if a group was purged.
        object: Option<u64>,
        /// The purged group; only meaningful if `object` is `None`.
        group: u32,
        /// Time of the purge in Unix milliseconds, by the clock of discovery.
        at_ms: u64,
    },
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedFrame {
    /// The revision of the endpoint list after the event.
    pub revision: u64,
    /// The event; `None` if the list has not changed.
    pub event: Option<WatchEvent>,
    /// Length of the encoded frame in bytes.
    pub length: usize,
}

/// Encodes the hello that a front sends on connecting: the revision that it already has.
pub fn hello(revision: u64) -> [u8; 8] {
    revision.to_be_bytes()
}

/// Decodes the first frame in `input`; `None` if it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<DecodedFrame>, DecodeError> {
    let mut cursor = Cursor(input);
    let Some(length) = cursor.u32().map(|n| n as usize) else {
        return Ok(None);
    };
    if !FRAME_BYTES_RANGE.contains(&length) {
        return Err(DecodeError("discovery frame length out of range"));
    }
    let Some(frame) = cursor.bytes(length) else {
        return Ok(None);
    };
    let mut cursor = Cursor(frame);
    let (revision, kind) = cursor
        .u64()
        .zip(cursor.u8())
        .ok_or(DecodeError("discovery frame truncated"))?;
    Ok(Some(DecodedFrame {
        revision,
        event: decode_event(kind, cursor)?,
        length: LENGTH_BYTES + length,
    }))
}

fn decode_event(kind: u8, payload: Cursor<'_>) -> Result<Option<WatchEvent>, DecodeError> {
    match kind {
        kind::NO_CHANGE => Ok(None),
        kind::COMPLETE_LIST => decode_endpoints(payload, true).map(Some),
        kind::CHANGES => decode_endpoints(payload, false).map(Some),
        kind::OBJECT_PURGE => decode_object_purge(payload).map(Some),
        kind::GROUP_PURGE => decode_group_purge(payload).map(Some),
        _ => Err(DecodeError("unknown kind of discovery frame")),
    }
}

fn decode_endpoints(payload: Cursor<'_>, complete: bool) -> Result<WatchEvent, DecodeError> {
    if !payload.0.len().is_multiple_of(RECORD_BYTES) {
        return Err(DecodeError("endpoint record truncated"));
    }
    let records = payload.0.chunks(RECORD_BYTES);
    let list: Option<Vec<_>> = records.map(|bytes| decode_record(Cursor(bytes))).collect();
    Ok(WatchEvent::Endpoints {
        complete,
        list: list.ok_or(DecodeError("unknown endpoint state"))?,
    })
}

fn decode_object_purge(mut payload: Cursor<'_>) -> Result<WatchEvent, DecodeError> {
    let (object, at_ms) = payload
        .u64()
        .zip(payload.u64())
        .ok_or(DecodeError("purge event truncated"))?;
    Ok(WatchEvent::Purge {
        object: Some(object),
        group: 0,
        at_ms,
    })
}

fn decode_group_purge(mut payload: Cursor<'_>) -> Result<WatchEvent, DecodeError> {
    let (group, at_ms) = payload
        .u16()
        .zip(payload.u64())
        .ok_or(DecodeError("purge event truncated"))?;
    Ok(WatchEvent::Purge {
        object: None,
        group: group.into(),
        at_ms,
    })
}

/// Decodes an endpoint record; `None` if the state is unknown. The order of the struct fields is the order on the wire.
fn decode_record(mut record: Cursor<'_>) -> Option<EndpointRecord> {
    Some(EndpointRecord {
        id: record.u32()?,
        address: decode_address(&mut record)?,
        state: decode_state(record.u8()?)?,
        zone: record.u8()?.into(),
        kind: record.u8()?,
        cell: record.u16()?,
        weight: f64::from(record.u32()?) / WEIGHT_UNIT,
        started_ms: record.u64()?,
    })
}

fn decode_address(record: &mut Cursor<'_>) -> Option<SocketAddr> {
    let address = Ipv4Addr::from(record.array::<4>()?);
    let port = record.u16()?;
    Some(SocketAddr::from((address, port)))
}

fn decode_state(code: u8) -> Option<EndpointState> {
    match code {
        0 => Some(EndpointState::Ready),
        1 => Some(EndpointState::Draining),
        2 => Some(EndpointState::Removed),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
