use super::*;

fn one(index: u64, term: u64) -> Entry {
    let mut entry = Entry::default();
    (entry.index, entry.term) = (index, term);
    entry.data = vec![index as u8; 20].into();
    entry
}

const MINE: Owner = Owner { cluster: 77, voter: 2 };

#[test]
fn a_file_of_nobody_or_of_somebody_else_is_no_file_to_vote_by() {
    let bytes = [new(MINE), entry(&one(1, 1))].concat();
    assert_eq!(read(&bytes, MINE).unwrap().entries.len(), 1);
    let why = |bytes: &[u8], owner| read(bytes, owner).unwrap_err().why;
    assert_eq!(why(b"", MINE), "there is no file of this voter");
    assert_eq!(why(&bytes[..5], MINE), "there is no file of this voter");
    assert_eq!(why(&bytes, Owner { voter: 3, ..MINE }), "it is of another voter");
    assert_eq!(why(&bytes, Owner { cluster: 78, ..MINE }), "it is of another cluster");
    assert_eq!(why(&entry(&one(1, 1)), MINE), "it does not begin with a head");
    assert_eq!(why(&[&bytes[..], &new(MINE)].concat(), MINE), "a record of an unknown kind");
}

#[test]
fn a_file_cut_at_every_byte_is_read_up_to_its_last_whole_record_and_damage_is_told() {
    let mut hard = HardState::default();
    (hard.term, hard.vote, hard.commit) = (3, 2, 1);
    let all =
        [new(MINE), entry(&one(1, 1)), entry(&one(2, 1)), state(&hard), entry(&one(2, 3)), entry(&one(3, 3))];
    let bytes = all.concat();
    let ends: Vec<_> = all
        .iter()
        .scan(0, |sum, r| {
            *sum += r.len();
            Some(*sum)
        })
        .collect();
    for cut in all[0].len()..=bytes.len() {
        let found = read(&bytes[..cut], MINE).unwrap();
        assert_eq!(found.whole, ends.iter().copied().filter(|end| *end <= cut).max().unwrap_or(0));
    }
    let found = read(&bytes, MINE).unwrap();
    let terms: Vec<_> = found.entries.iter().map(|e| (e.index, e.term)).collect();
    assert_eq!((terms, found.state), (vec![(1, 1), (2, 3), (3, 3)], hard));
    // A byte that has flipped is damage, in the last record a torn end.
    for at in 0..bytes.len() {
        let mut odd = bytes.clone();
        odd[at] ^= 0x40;
        match read(&odd, MINE) {
            Ok(found) => assert!(found.whole < bytes.len(), "a flipped byte at {at} was not noticed"),
            Err(damaged) => assert!(damaged.at <= at),
        }
    }
    let gap = [new(MINE), entry(&one(1, 1)), entry(&one(3, 1))].concat();
    assert_eq!(read(&gap, MINE).unwrap_err().why, "a gap between entries");
    assert!(read(&[0xff; 64], MINE).is_err());
}
