use super::*;

fn entry(index: u64, term: u64) -> Entry {
    let mut entry = Entry::default();
    (entry.index, entry.term) = (index, term);
    entry.data = vec![index as u8; 20].into();
    entry
}

const OWNER: Owner = Owner {
    cluster: 77,
    voter: 2,
};

#[test]
fn a_missing_file_or_a_file_of_another_owner_is_rejected() {
    let bytes = [encode_owner(OWNER), encode_entry(&entry(1, 1))].concat();
    assert_eq!(read(&bytes, OWNER).unwrap().entries.len(), 1);
    let reason = |bytes: &[u8], owner| read(bytes, owner).unwrap_err().reason;
    assert_eq!(reason(b"", OWNER), Corruption::NoFile);
    assert_eq!(reason(&bytes[..5], OWNER), Corruption::NoFile);
    assert_eq!(
        reason(&bytes, Owner { voter: 3, ..OWNER }),
        Corruption::OtherVoter
    );
    assert_eq!(
        reason(
            &bytes,
            Owner {
                cluster: 78,
                ..OWNER
            }
        ),
        Corruption::OtherCluster
    );
    assert_eq!(
        reason(&encode_entry(&entry(1, 1)), OWNER),
        Corruption::NoOwner
    );
    assert_eq!(
        reason(&[&bytes[..], &encode_owner(OWNER)].concat(), OWNER),
        Corruption::Kind
    );
}

#[test]
fn a_truncated_file_is_read_up_to_its_last_complete_record_and_corruption_is_reported() {
    let mut state = HardState::default();
    (state.term, state.vote, state.commit) = (3, 2, 1);
    let records = [
        encode_owner(OWNER),
        encode_entry(&entry(1, 1)),
        encode_entry(&entry(2, 1)),
        encode_state(&state),
        encode_entry(&entry(2, 3)),
        encode_entry(&entry(3, 3)),
    ];
    let bytes = records.concat();
    let ends: Vec<_> = records
        .iter()
        .scan(0, |sum, r| {
            *sum += r.len();
            Some(*sum)
        })
        .collect();
    for length in records[0].len()..=bytes.len() {
        let log = read(&bytes[..length], OWNER).unwrap();
        assert_eq!(
            log.complete_bytes,
            ends.iter()
                .copied()
                .filter(|end| *end <= length)
                .max()
                .unwrap_or(0)
        );
    }
    let log = read(&bytes, OWNER).unwrap();
    let terms: Vec<_> = log.entries.iter().map(|e| (e.index, e.term)).collect();
    assert_eq!((terms, log.state), (vec![(1, 1), (2, 3), (3, 3)], state));
    // A flipped bit must be detected. In the last record, it may be taken for an incomplete write.
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x40;
        match read(&corrupted, OWNER) {
            Ok(log) => assert!(
                log.complete_bytes < bytes.len(),
                "a flipped bit at byte {at} was not detected"
            ),
            Err(error) => assert!(error.offset <= at),
        }
    }
    let gap = [
        encode_owner(OWNER),
        encode_entry(&entry(1, 1)),
        encode_entry(&entry(3, 1)),
    ]
    .concat();
    assert_eq!(read(&gap, OWNER).unwrap_err().reason, Corruption::Gap);
    assert!(read(&[0xff; 64], OWNER).is_err());
}
