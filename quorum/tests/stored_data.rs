//! Guards against incompatible changes of the log file format.
use cranesill_quorum::storage::{self, Owner};
use raft::eraftpb::HardState;

/// A log file written by version 0.1.0: owner, two entries, state, an entry that replaces the second one, and a third one.
const VERSION_0_1_0: &[u8] = include_bytes!("data/version-0.1.0.log");
const OWNER: Owner = Owner {
    cluster: 77,
    voter: 2,
};

#[test]
fn a_log_written_by_version_0_1_0_is_read() {
    let log = storage::read(VERSION_0_1_0, OWNER).unwrap();
    let entries: Vec<_> = log
        .entries
        .iter()
        .map(|entry| (entry.index, entry.term, &entry.data[..]))
        .collect();
    assert_eq!(
        entries,
        [(1, 1, &b"first"[..]), (2, 3, b"second"), (3, 3, b"third")]
    );
    let expected = HardState {
        term: 3,
        vote: 2,
        commit: 2,
        ..HardState::default()
    };
    assert_eq!(log.state, expected);
    assert_eq!(log.complete_bytes, VERSION_0_1_0.len());
}
