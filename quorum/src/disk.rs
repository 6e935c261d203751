//! Records of the log's file: `length:4 crc:4 kind:1 payload`, numbers little-endian; the length counts kind and payload. A file is
//! only added to; an entry whose number is there already takes its place and that of all behind it.
use protobuf::Message;
use raft::eraftpb::{Entry, HardState};

/// Bytes of one record at most: checked before anything is allocated by it.
pub const RECORD_MOST: usize = 1 << 20;
const HEAD: usize = 8;
const ENTRY: u8 = 1;
const STATE: u8 = 2;

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

/// An entry as it is written.
pub fn entry(entry: &Entry) -> Vec<u8> {
    record(ENTRY, &entry.write_to_bytes().unwrap_or_default())
}

/// Term, vote and commit as they are written.
pub fn state(state: &HardState) -> Vec<u8> {
    record(STATE, &state.write_to_bytes().unwrap_or_default())
}

/// Reads a file. A last record that is not whole is a torn one; anything else that can't be read is damage.
pub fn read(bytes: &[u8]) -> Result<Found, Damaged> {
    let mut found = Found::default();
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
    Ok(found)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn one(index: u64, term: u64) -> Entry {
        let mut entry = Entry::default();
        (entry.index, entry.term) = (index, term);
        entry.data = vec![index as u8; 20].into();
        entry
    }

    #[test]
    fn a_file_cut_at_every_byte_is_read_up_to_its_last_whole_record_and_damage_is_told() {
        let mut hard = HardState::default();
        (hard.term, hard.vote, hard.commit) = (3, 2, 1);
        let all = [entry(&one(1, 1)), entry(&one(2, 1)), state(&hard), entry(&one(2, 3)), entry(&one(3, 3))];
        let bytes = all.concat();
        let ends: Vec<_> = all
            .iter()
            .scan(0, |sum, r| {
                *sum += r.len();
                Some(*sum)
            })
            .collect();
        for cut in 0..=bytes.len() {
            let found = read(&bytes[..cut]).unwrap();
            assert_eq!(found.whole, ends.iter().copied().filter(|end| *end <= cut).max().unwrap_or(0));
        }
        let found = read(&bytes).unwrap();
        let terms: Vec<_> = found.entries.iter().map(|e| (e.index, e.term)).collect();
        assert_eq!((terms, found.state), (vec![(1, 1), (2, 3), (3, 3)], hard));
        // A byte that has flipped is damage, in the last record a torn end.
        for at in 0..bytes.len() {
            let mut odd = bytes.clone();
            odd[at] ^= 0x40;
            match read(&odd) {
                Ok(found) => assert!(found.whole < bytes.len(), "a flipped byte at {at} was not noticed"),
                Err(damaged) => assert!(damaged.at <= at),
            }
        }
        let gap = [entry(&one(1, 1)), entry(&one(3, 1))].concat();
        assert_eq!(read(&gap).unwrap_err().why, "a gap between entries");
        assert!(read(&[0xff; 64]).is_err());
    }
}
