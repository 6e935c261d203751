//! Snapshots of the endpoint list, which are stored on disk and sent to peers. The text format consists of the header of a
//! stored file, a line for each endpoint and a line for each retained purge.
use super::discovery::{EndpointRecord, WatchEvent};
use super::stored_file::{self, StoredFileError};
use cranesill::api::EndpointState;
use std::collections::BTreeMap;

const FORMAT_VERSION: &str = "v1";
const FILE_KIND: &str = "list";
/// Number of fields in the header line: the program, the kind of file, the version and the checksum.
const HEADER_FIELDS: usize = 4;
/// Maximum size of an encoded snapshot in bytes, sufficient for several thousand endpoints and as many purges.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 20;
/// Maximum number of purges in a snapshot. With more, the oldest would be missing and the snapshot is not encoded.
const MAX_PURGES: usize = 10_000;
/// Factor of encoded weights, which are in thousandths.
const WEIGHT_UNIT: f64 = 1e3;

/// A purge that is still within the retention period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordedPurge {
    /// The purged object; `None` if a group was purged.
    pub object: Option<u64>,
    /// The purged group; only meaningful if `object` is `None`.
    pub group: u32,
    /// Time of the purge in Unix milliseconds, by the clock of discovery.
    pub at_ms: u64,
}

/// The endpoint list at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// The identity of the endpoint list.
    pub source: u64,
    /// The revision of the list: the number of the last watch event that was applied.
    pub revision: u64,
    /// The time at which the list was last known to be current, in Unix milliseconds.
    pub at_ms: u64,
    /// The endpoints by id.
    pub endpoints: BTreeMap<u32, EndpointRecord>,
    /// The retained purges, in the order received.
    pub purges: Vec<RecordedPurge>,
    /// Receive time of each purge, in milliseconds of the monotonic clock. The retention of purges is based on it because
    /// wall clocks may differ and may be adjusted.
    pub received_at_ms: Vec<u64>,
}

impl Snapshot {
    /// Applies a watch event that was received at `received_at_ms` by the monotonic clock and at `at_ms` by the wall clock.
    /// Purges that were received more than `retention_ms` ago are dropped.
    pub fn apply(
        &mut self,
        revision: u64,
        at_ms: u64,
        received_at_ms: u64,
        retention_ms: u64,
        event: &WatchEvent,
    ) {
        self.revision = revision;
        self.at_ms = at_ms;
        match event {
            WatchEvent::Endpoints { complete, list } => self.apply_endpoints(*complete, list),
            WatchEvent::Purge {
                object,
                group,
                at_ms,
            } => self.purges.push(RecordedPurge {
                object: *object,
                group: *group,
                at_ms: *at_ms,
            }),
        }
        self.received_at_ms
            .resize(self.purges.len(), received_at_ms);
        self.drop_purges(received_at_ms.saturating_sub(retention_ms));
    }

    fn apply_endpoints(&mut self, complete: bool, list: &[EndpointRecord]) {
        if complete {
            self.endpoints.clear();
        }
        for endpoint in list {
            if endpoint.state == EndpointState::Removed {
                self.endpoints.remove(&endpoint.id);
            } else {
                self.endpoints.insert(endpoint.id, endpoint.clone());
            }
        }
    }

    /// Drops the purges received before `received_since_ms`, and the oldest ones in excess of the limit.
    fn drop_purges(&mut self, received_since_ms: u64) {
        let received = self.received_at_ms.iter();
        let expired = received.take_while(|at| **at < received_since_ms).count();
        // One purge above the limit is retained, by which `encode` detects that purges were dropped.
        let excess = self.purges.len().saturating_sub(MAX_PURGES + 1);
        let dropped = expired.max(excess);
        self.purges.drain(..dropped);
        self.received_at_ms.drain(..dropped);
    }

    /// Returns the watch events that reproduce this snapshot in a front that starts.
    pub fn watch_events(&self) -> Vec<WatchEvent> {
        let endpoints = WatchEvent::Endpoints {
            complete: true,
            list: self.endpoints.values().cloned().collect(),
        };
        let purges = self.purges.iter().map(|purge| WatchEvent::Purge {
            object: purge.object,
            group: purge.group,
            at_ms: purge.at_ms,
        });
        std::iter::once(endpoints).chain(purges).collect()
    }

    /// Encodes the snapshot; `None` if it exceeds the limits on purges or bytes.
    pub fn encode(&self) -> Option<String> {
        if self.purges.len() > MAX_PURGES {
            return None;
        }
        let mut body = format!(
            "from {:016x} {} {}\n",
            self.source, self.revision, self.at_ms
        );
        body += &self.endpoint_lines();
        for purge in &self.purges {
            let at_ms = purge.at_ms;
            body += &match purge.object {
                Some(object) => format!("o {object:016x} {at_ms}\n"),
                None => format!("g {} {at_ms}\n", purge.group),
            };
        }
        let text = stored_file::encode(FILE_KIND, FORMAT_VERSION, &body);
        Some(text).filter(|text| text.len() <= MAX_SNAPSHOT_BYTES)
    }

    /// Returns a digest that distinguishes lists of the same revision. It excludes purges, since their retention depends on the
    /// time.
    pub fn digest(&self) -> u64 {
        crc32fast::hash(self.endpoint_lines().as_bytes()).into()
    }

    /// Encodes one line per endpoint.
    fn endpoint_lines(&self) -> String {
        self.endpoints.values().map(encode_endpoint).collect()
    }

    /// Decodes a snapshot from its text format.
    pub fn decode(text: &[u8]) -> Result<Self, StoredFileError> {
        if text.len() > MAX_SNAPSHOT_BYTES {
            return Err(StoredFileError::TooLong);
        }
        let (header, body) = stored_file::split(text)?;
        if header.split(' ').count() != HEADER_FIELDS {
            return Err(StoredFileError::OtherKind);
        }
        stored_file::check_header(header, FILE_KIND, FORMAT_VERSION, body)?;
        let mut lines = body.lines();
        let first = lines.next().ok_or(StoredFileError::RevisionMissing)?;
        let mut snapshot = decode_first_line(first).ok_or(StoredFileError::MalformedLine)?;
        for line in lines {
            snapshot
                .decode_line(line)
                .ok_or(StoredFileError::MalformedLine)?;
        }
        Ok(snapshot)
    }

    /// Decodes a line after the first one; `None` if it is malformed or repeats an endpoint.
    fn decode_line(&mut self, line: &str) -> Option<()> {
        let fields: Vec<_> = line.split(' ').collect();
        match fields[..] {
            ["m", ref endpoint @ ..] => {
                let endpoint = decode_endpoint(endpoint)?;
                let replaced = self.endpoints.insert(endpoint.id, endpoint);
                replaced.is_none().then_some(())
            }
            ["o", object, at_ms] => {
                self.purges.push(RecordedPurge {
                    object: Some(u64::from_str_radix(object, 16).ok()?),
                    group: 0,
                    at_ms: at_ms.parse().ok()?,
                });
                Some(())
            }
            ["g", group, at_ms] => {
                self.purges.push(RecordedPurge {
                    object: None,
                    group: group.parse().ok()?,
                    at_ms: at_ms.parse().ok()?,
                });
                Some(())
            }
            _ => None,
        }
    }
}

/// Decodes the first line of the body: the identity of the list, the revision and the time at which it was current.
fn decode_first_line(line: &str) -> Option<Snapshot> {
    let fields: Vec<_> = line.split(' ').collect();
    let ["from", source, revision, at_ms] = fields[..] else {
        return None;
    };
    Some(Snapshot {
        source: u64::from_str_radix(source, 16).ok()?,
        revision: revision.parse().ok()?,
        at_ms: at_ms.parse().ok()?,
        ..Snapshot::default()
    })
}

fn encode_endpoint(endpoint: &EndpointRecord) -> String {
    let state = u8::from(endpoint.state == EndpointState::Draining);
    let weight = (endpoint.weight * WEIGHT_UNIT).round() as u64;
    format!(
        "m {:08x} {} {state} {} {} {} {weight} {}\n",
        endpoint.id,
        endpoint.address,
        endpoint.zone,
        endpoint.kind,
        endpoint.cell,
        endpoint.started_ms
    )
}

fn decode_endpoint(fields: &[&str]) -> Option<EndpointRecord> {
    let [id, address, state, zone, kind, cell, weight, started_ms] = fields else {
        return None;
    };
    Some(EndpointRecord {
        id: u32::from_str_radix(id, 16).ok()?,
        address: address.parse().ok()?,
        state: decode_state(state)?,
        zone: zone.parse().ok()?,
        kind: kind.parse().ok()?,
        cell: cell.parse().ok()?,
        weight: f64::from(weight.parse::<u32>().ok()?) / WEIGHT_UNIT,
        started_ms: started_ms.parse().ok()?,
    })
}

fn decode_state(code: &str) -> Option<EndpointState> {
    match code.parse::<usize>().ok()? {
        0 => Some(EndpointState::Ready),
        1 => Some(EndpointState::Draining),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
