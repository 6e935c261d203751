//! The list of members as a front last knew it, on disk: a head with version and checksum, as of what processes leave for each
//! other, and a line for each member and each purge that still counts. No I/O here.
use super::discovery::{EndpointRecord, WatchEvent};
use super::stored_file::{self, StoredFileError};
use cranesill::api::EndpointState;
use std::collections::BTreeMap;

const VERSION: &str = "v1";
const KIND: &str = "list";
/// Fields of the header line: the program, the kind of file, the version and the checksum.
const HEADER_FIELDS: usize = 4;
/// Bytes at most: some thousand members and as many purges.
pub const MAX_SNAPSHOT_BYTES: usize = 2 << 20;
/// Purges that are kept at most; with more the snapshot is not to be served from.
const PURGES_MOST: usize = 10_000;

/// A list with the number of the last event that is in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    /// Which list it is.
    pub source: u64,
    /// The last event.
    pub number: u64,
    /// When it was known so, in Unix milliseconds.
    pub at_ms: u64,
    /// The members by their ids.
    pub members: BTreeMap<u32, EndpointRecord>,
    /// Purges: object or group, and when.
    pub purges: Vec<(Option<u64>, u32, u64)>,
    /// When each of them was heard of here, by a clock that is never stepped. How long they are kept follows from this: wall
    /// clocks may differ, and may be set at any time.
    pub got_ms: Vec<u64>,
}

impl Snapshot {
    /// Takes news over that are heard of at `heard_ms` of the monotonic clock, which is `at_ms` of the wall clock. Purges that
    /// were heard of longer ago than `keep_ms` are over.
    pub fn take(
        &mut self,
        number: u64,
        at_ms: u64,
        heard_ms: u64,
        keep_ms: u64,
        news: &WatchEvent,
    ) {
        (self.number, self.at_ms) = (number, at_ms);
        match news {
            WatchEvent::Endpoints { complete, list } => {
                if *complete {
                    self.members.clear();
                }
                for one in list {
                    if one.state == EndpointState::Removed {
                        self.members.remove(&one.id);
                    } else {
                        self.members.insert(one.id, one.clone());
                    }
                }
            }
            WatchEvent::Purge {
                object,
                group,
                at_ms,
            } => self.purges.push((*object, *group, *at_ms)),
        }
        self.got_ms.resize(self.purges.len(), heard_ms);
        // They stand in the order in which they came; one more than may be written says that there were too many.
        let over = self
            .got_ms
            .iter()
            .take_while(|got| **got < heard_ms.saturating_sub(keep_ms))
            .count();
        let over = over.max(self.purges.len().saturating_sub(PURGES_MOST + 1));
        self.purges.drain(..over);
        self.got_ms.drain(..over);
    }

    /// What a front that starts is to be told of it.
    pub fn news(&self) -> Vec<WatchEvent> {
        let complete = WatchEvent::Endpoints {
            complete: true,
            list: self.members.values().cloned().collect(),
        };
        let purge = |p: &(Option<u64>, u32, u64)| WatchEvent::Purge {
            object: p.0,
            group: p.1,
            at_ms: p.2,
        };
        std::iter::once(complete)
            .chain(self.purges.iter().map(purge))
            .collect()
    }

    /// As it is written. `None`: it has grown too large to be.
    pub fn text(&self) -> Option<String> {
        if self.purges.len() > PURGES_MOST {
            return None;
        }
        let mut body =
            format!("from {:016x} {} {}\n", self.source, self.number, self.at_ms) + &self.lines();
        for (object, group, at_ms) in &self.purges {
            body += &match object {
                Some(object) => format!("o {object:016x} {at_ms}\n"),
                None => format!("g {group} {at_ms}\n"),
            };
        }
        let text = stored_file::encode(KIND, VERSION, &body);
        Some(text).filter(|text| text.len() <= MAX_SNAPSHOT_BYTES)
    }

    /// By this two lists with the same last event are told apart. Purges are not in it: which of them are over depends on the
    /// moment.
    pub fn digest(&self) -> u64 {
        crc32fast::hash(self.lines().as_bytes()).into()
    }

    /// A line for each member.
    fn lines(&self) -> String {
        let mut body = String::new();
        for m in self.members.values() {
            let state = u8::from(m.state == EndpointState::Draining);
            let weight = (m.weight * 1e3).round() as u64;
            body += &format!(
                "m {:08x} {} {state} {} {} {} {weight} {}\n",
                m.id, m.address, m.zone, m.kind, m.cell, m.started_ms
            );
        }
        body
    }

    /// Decodes a snapshot.
    pub fn read(text: &[u8]) -> Result<Self, StoredFileError> {
        if text.len() > MAX_SNAPSHOT_BYTES {
            return Err(StoredFileError::TooLong);
        }
        let (header, body) = stored_file::split(text)?;
        if header.split(' ').count() != HEADER_FIELDS {
            return Err(StoredFileError::OtherKind);
        }
        stored_file::check_header(header, KIND, VERSION, body)?;
        let mut found = Snapshot::default();
        for (n, line) in body.lines().enumerate() {
            let words: Vec<_> = line.split(' ').collect();
            let read = if n == 0 {
                found.first(&words)
            } else {
                found.line(&words)
            };
            read.ok_or(StoredFileError::MalformedLine)?;
        }
        if body.is_empty() {
            return Err(StoredFileError::RevisionMissing);
        }
        Ok(found)
    }

    fn first(&mut self, words: &[&str]) -> Option<()> {
        let ["from", source, number, at] = words else {
            return None;
        };
        self.source = u64::from_str_radix(source, 16).ok()?;
        (self.number, self.at_ms) = (number.parse().ok()?, at.parse().ok()?);
        Some(())
    }

    fn line(&mut self, words: &[&str]) -> Option<()> {
        match words {
            ["m", id, address, state, zone, kind, cell, weight, started] => {
                let id = u32::from_str_radix(id, 16).ok()?;
                let listing = EndpointRecord {
                    id,
                    address: address.parse().ok()?,
                    state: [EndpointState::Ready, EndpointState::Draining]
                        .get(state.parse::<usize>().ok()?)
                        .copied()?,
                    zone: zone.parse().ok()?,
                    kind: kind.parse().ok()?,
                    cell: cell.parse().ok()?,
                    weight: weight.parse::<u32>().ok().map(|w| f64::from(w) / 1e3)?,
                    started_ms: started.parse().ok()?,
                };
                self.members.insert(id, listing).is_none().then_some(())
            }
            ["o", object, at] => {
                let object = u64::from_str_radix(object, 16).ok()?;
                self.purges.push((Some(object), 0, at.parse().ok()?));
                Some(())
            }
            ["g", group, at] => {
                self.purges
                    .push((None, group.parse().ok()?, at.parse().ok()?));
                Some(())
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
