use super::*;

#[test]
fn keys_are_remembered_for_one_to_two_periods() {
    let mut recent = RecentKeys::default();
    // After a restart, keys requested before it must not be treated as new.
    assert!(
        recent.insert(0, 50, 50) && recent.insert(7, 99, 50),
        "it is unknown yet whether a key is new"
    );
    assert!(!recent.insert(1, 100, 50));
    assert!(recent.insert(1, 140, 50));
    assert!(recent.insert(1, 160, 50));
    assert!(!recent.insert(2, 160, 50));
    assert!(!recent.insert(1, 300, 50) && recent.previous.is_empty());
}
