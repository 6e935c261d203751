//! Watch events of the list service: endpoints that change, and purges. All numbers are big-endian.
use super::{Cursor, DecodeError};
use cranesill::api::EndpointState;
use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;

/// The lengths that a frame may state, in bytes; the longest holds a complete list of some thousand endpoints.
const FRAME_BYTES_RANGE: RangeInclusive<usize> = 9..=1 << 20;
/// Bytes of a frame's length, which does not count itself.
const LENGTH_BYTES: usize = 4;
/// Bytes of the record of one endpoint.
const RECORD_BYTES: usize = 27;
/// Weights are sent in thousandths.
const WEIGHT_UNIT: f64 = 1e3;

/// Kinds of frames.
mod kind {
    pub const NO_CHANGE: u8 = 0;
    pub const COMPLETE_LIST: u8 = 1;
    pub const CHANGES: u8 = 2;
    pub const OBJECT_PURGE: u8 = 3;
    pub const GROUP_PURGE: u8 = 4;
}

/// An endpoint as the list service describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its id, which stays the same when its address changes.
    pub id: u32,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// The index of its zone in the settings' list of zones.
    pub zone: u16,
    /// The index of its machine type in the settings' list of kinds.
    pub kind: u8,
    /// The cell that it belongs to.
    pub cell: u16,
    /// Its share of the load, relative to other endpoints.
    pub weight: f64,
    /// When it started, in Unix milliseconds, if it joined later than the others; otherwise 0.
    pub started_ms: u64,
}

/// A change that the list service announces.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The complete endpoint list, or the endpoints that changed.
    Endpoints {
        /// Whether `list` is complete: endpoints that it does not name are removed.
        complete: bool,
        /// The endpoints.
        list: Vec<EndpointRecord>,
    },
    /// An object or a group was purged.
    Purge {
        /// The object; `None` for a whole group.
        object: Option<u64>,
        /// The group, if no object is named.
        group: u32,
        /// When it was purged, in Unix milliseconds.
        at_ms: u64,
    },
}

/// A decoded frame.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedFrame {
    /// The revision of the list that the event leads to.
    pub revision: u64,
    /// The event; `None` if there is nothing new.
    pub event: Option<WatchEvent>,
    /// The length of the frame in bytes.
    pub length: usize,
}

/// Encodes what a front sends on connecting: the revision that it knows.
pub fn hello(revision: u64) -> [u8; 8] {
    revision.to_be_bytes()
}

/// Decodes the first frame of `input`. `None`: it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<DecodedFrame>, DecodeError> {
    let mut cursor = Cursor(input);
    let Some(length) = cursor.u32().map(|n| n as usize) else {
        return Ok(None);
    };
    if !FRAME_BYTES_RANGE.contains(&length) {
        return Err(DecodeError("frame length out of bounds"));
    }
    let Some(frame) = cursor.bytes(length) else {
        return Ok(None);
    };
    let mut cursor = Cursor(frame);
    let (revision, kind) = cursor
        .u64()
        .zip(cursor.u8())
        .ok_or(DecodeError("frame cut off"))?;
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
        _ => Err(DecodeError("unknown kind")),
    }
}

fn decode_endpoints(payload: Cursor<'_>, complete: bool) -> Result<WatchEvent, DecodeError> {
    if !payload.0.len().is_multiple_of(RECORD_BYTES) {
        return Err(DecodeError("record cut off"));
    }
    let records = payload.0.chunks(RECORD_BYTES);
    let list: Option<Vec<_>> = records.map(|bytes| decode_record(Cursor(bytes))).collect();
    Ok(WatchEvent::Endpoints {
        complete,
        list: list.ok_or(DecodeError("unknown state"))?,
    })
}

fn decode_object_purge(mut payload: Cursor<'_>) -> Result<WatchEvent, DecodeError> {
    let (object, at_ms) = payload
        .u64()
        .zip(payload.u64())
        .ok_or(DecodeError("purge cut off"))?;
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
        .ok_or(DecodeError("purge cut off"))?;
    Ok(WatchEvent::Purge {
        object: None,
        group: group.into(),
        at_ms,
    })
}

/// Decodes the record of an endpoint. `None`: its state is unknown. The fields are decoded in the order in which they stand.
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
