//! Records of the log's file: `length:4 crc:4 kind:1 payload`, numbers little-endian; the length counts kind and payload. The first
//! says whose file it is; a file is only added to, and an entry whose number is there already takes its place and that of all
//! behind it.
//!
//! A voter whose file is gone must not come back as the one it was: it has promised what it no longer knows. So a file is made
//! once, when the voter is made ([`new`]), and one that is empty or somebody else's is no file to vote by.
use protobuf::Message;
use raft::eraftpb::{Entry, HardState};

/// Bytes of one record at most: checked before anything is allocated by it.
pub const RECORD_MOST: usize = 1 << 20;
const HEAD: usize = 8;
const ENTRY: u8 = 1;
const STATE: u8 = 2;
const HEAD_OF_FILE: u8 = 3;

/// Whose file it is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Owner {
    /// The cluster, by a number that was thrown when it was made: two clusters never merge.
    pub cluster: u64,
    /// The voter in it.
    pub voter: u64,
}

/// What lies in a file.
#[derive(Debug, Default)]
pub struct Found {
    /// The entries, in order, without a gap.
    pub entries: Vec<Entry>,
    /// The last term, vote and commit.
    pub state: HardState,
    /// Bytes up to the end of the last whole record. What is behind them was torn while it was written and is to be cut off.
    pub whole: usize,
}

/// A file that is not as it was written. What it promised is not known: who has it must not vote by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damaged {
    /// At which byte.
    pub at: usize,
    /// How.
    pub why: &'static str,
}

fn record(kind: u8, payload: &[u8]) -> Vec<u8> {
    let body = [&[kind], payload].concat();
    [&(body.len() as u32).to_le_bytes(), &crc32fast::hash(&body).to_le_bytes(), &body[..]].concat()
}

/// The first record of a new voter's file.
pub fn new(owner: Owner) -> Vec<u8> {
    record(HEAD_OF_FILE, &[owner.cluster.to_le_bytes(), owner.voter.to_le_bytes()].concat())
}

fn owner(payload: &[u8]) -> Option<Owner> {
    let (cluster, voter) = payload.split_first_chunk::<8>()?;
    let (cluster, voter) = (u64::from_le_bytes(*cluster), u64::from_le_bytes(voter.try_into().ok()?));
    Some(Owner { cluster, voter })
}

/// An entry as it is written.
pub fn entry(entry: &Entry) -> Vec<u8> {
    record(ENTRY, &entry.write_to_bytes().unwrap_or_default())
}

/// Term, vote and commit as they are written.
pub fn state(state: &HardState) -> Vec<u8> {
    record(STATE, &state.write_to_bytes().unwrap_or_default())
}

/// Reads the file of this voter. A last record that is not whole is a torn one; anything else that can't be read is damage, and so
/// is a file without a head or with that of another.
pub fn read(bytes: &[u8], mine: Owner) -> Result<Found, Damaged> {
    let mut found = Found::default();
    let mut headed = false;
    while found.whole < bytes.len() {
        let at = found.whole;
        let damaged = |why| Damaged { at, why };
        let rest = &bytes[at..];
        let Some(head) = rest.first_chunk::<HEAD>() else { break };
        let [a, b, c, d, e, f, g, h] = *head;
        let (length, crc) = (u32::from_le_bytes([a, b, c, d]) as usize, u32::from_le_bytes([e, f, g, h]));
        if !(1..=RECORD_MOST).contains(&length) {
            return Err(damaged("a length that is never written"));
        }
        let Some(body) = rest.get(HEAD..HEAD + length) else { break };
        if crc32fast::hash(body) != crc {
            // The last one may have been torn in its middle: a file can have its length before its bytes.
            if rest.len() == HEAD + length {
                break;
            }
            return Err(damaged("a checksum is wrong"));
        }
        match body[0] {
            HEAD_OF_FILE if at == 0 => match owner(&body[1..]).ok_or(damaged("a head that can't be read"))? {
                other if other.cluster != mine.cluster => return Err(damaged("it is of another cluster")),
                other if other.voter != mine.voter => return Err(damaged("it is of another voter")),
                _ => headed = true,
            },
            _ if at == 0 => return Err(damaged("it does not begin with a head")),
            ENTRY => {
                let entry =
                    Entry::parse_from_bytes(&body[1..]).map_err(|_| damaged("an entry can't be read"))?;
                let first = found.entries.first().map_or(entry.index, |e| e.index);
                let place =
                    entry.index.checked_sub(first).ok_or(damaged("an entry before the first"))? as usize;
                if place > found.entries.len() {
                    return Err(damaged("a gap between entries"));
                }
                found.entries.truncate(place);
                found.entries.push(entry);
            }
            STATE => {
                let state = HardState::parse_from_bytes(&body[1..]);
                found.state = state.map_err(|_| damaged("a state can't be read"))?;
            }
            _ => return Err(damaged("a record of an unknown kind")),
        }
        found.whole += HEAD + length;
    }
    if !headed {
        return Err(Damaged { at: 0, why: "there is no file of this voter" });
    }
    Ok(found)
}

#[cfg(test)]
mod tests;
