//! Events of the control feed.
use super::{Cursor, Unreadable};
use cranesill::api::EndpointState;
use std::net::{Ipv4Addr, SocketAddr};

/// Bytes of one frame at most: a complete list of some thousand members.
const LENGTH_MOST: usize = 1 << 20;
const RECORD: usize = 27;

/// What the feed says of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its id, which outlives its address.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state.
    pub state: EndpointState,
    /// Place in the settings' list of zones.
    pub zone: u16,
    /// Place in the settings' list of kinds.
    pub kind: u8,
    /// Its cell.
    pub cell: u16,
    /// Its size.
    pub weight: f64,
    /// Unix millisecond of a late start, or 0.
    pub started_ms: u64,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchEvent {
    /// The complete list, or what has changed in it.
    Endpoints {
        /// Whether it is the complete list.
        complete: bool,
        /// The members.
        list: Vec<EndpointRecord>,
    },
    /// An object or a group was purged.
    Purge {
        /// The object; `None` for a whole group.
        object: Option<u64>,
        /// The group, if no object is named.
        group: u32,
        /// Unix millisecond of the purge.
        at_ms: u64,
    },
}

/// What a front writes to begin with: the number of the last event that it holds.
pub fn hello(last: u64) -> [u8; 8] {
    last.to_be_bytes()
}

/// An event's number, the event (`None` if there is nothing new), and the length of its frame in bytes.
type Decoded = (u64, Option<WatchEvent>, usize);

/// Takes the first frame off `input`. `None`: it is not complete yet.
pub fn decode(input: &[u8]) -> Result<Option<Decoded>, Unreadable> {
    let mut cursor = Cursor(input);
    let Some(length) = cursor.u32().map(|n| n as usize) else {
        return Ok(None);
    };
    if !(9..=LENGTH_MOST).contains(&length) {
        return Err(Unreadable("frame length out of bounds"));
    }
    let Some(frame) = cursor.bytes(length) else {
        return Ok(None);
    };
    let mut cursor = Cursor(frame);
    let (number, kind) = cursor
        .u64()
        .zip(cursor.u8())
        .ok_or(Unreadable("frame cut off"))?;
    let news = match kind {
        0 => None,
        1 | 2 if cursor.0.len() % RECORD != 0 => return Err(Unreadable("record cut off")),
        1 | 2 => {
            let list = cursor
                .0
                .chunks(RECORD)
                .map(|r| listing(Cursor(r)))
                .collect::<Option<Vec<_>>>();
            Some(WatchEvent::Endpoints {
                complete: kind == 1,
                list: list.ok_or(Unreadable("unknown state"))?,
            })
        }
        3 => {
            let (object, at_ms) = cursor
                .u64()
                .zip(cursor.u64())
                .ok_or(Unreadable("purge cut off"))?;
            Some(WatchEvent::Purge {
                object: Some(object),
                group: 0,
                at_ms,
            })
        }
        4 => {
            let (group, at_ms) = cursor
                .u16()
                .zip(cursor.u64())
                .ok_or(Unreadable("purge cut off"))?;
            Some(WatchEvent::Purge {
                object: None,
                group: group.into(),
                at_ms,
            })
        }
        _ => return Err(Unreadable("unknown kind")),
    };
    Ok(Some((number, news, 4 + length)))
}

fn listing(mut record: Cursor<'_>) -> Option<EndpointRecord> {
    let id = record.u32()?;
    let address = SocketAddr::from((Ipv4Addr::from(record.array::<4>()?), record.u16()?));
    let state = match record.u8()? {
        0 => EndpointState::Ready,
        1 => EndpointState::Draining,
        2 => EndpointState::Removed,
        _ => return None,
    };
    let (zone, kind, cell) = (record.u8()?.into(), record.u8()?, record.u16()?);
    let weight = f64::from(record.u32()?) / 1e3;
    Some(EndpointRecord {
        id,
        address,
        state,
        zone,
        kind,
        cell,
        weight,
        started_ms: record.u64()?,
    })
}

#[cfg(test)]
mod tests;
