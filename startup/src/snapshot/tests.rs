use super::*;

#[test]
fn only_a_newer_and_recent_list_of_the_same_service_is_accepted() {
    let header = SnapshotHeader {
        source: 7,
        revision: 9,
        current_at_ms: 100_000,
    };
    assert_eq!(check_snapshot(100_000, header, 7, 8, 5_000), Ok(()));
    assert_eq!(check_snapshot(105_000, header, 7, 8, 5_000), Ok(()));
    assert_eq!(
        check_snapshot(105_001, header, 7, 8, 5_000),
        Err(SnapshotRejected::TooOld { excess_s: 1 })
    );
    assert_eq!(
        check_snapshot(100_000, header, 6, 8, 5_000),
        Err(SnapshotRejected::OtherSource)
    );
    assert_eq!(
        check_snapshot(100_000, header, 7, 9, 5_000),
        Err(SnapshotRejected::NotNewer)
    );
    assert_eq!(
        check_snapshot(40_000, header, 7, 8, 5_000),
        Ok(()),
        "the clock was set back by the tolerated step"
    );
    assert_eq!(
        check_snapshot(39_999, header, 7, 8, 5_000),
        Err(SnapshotRejected::FromFuture)
    );
}
