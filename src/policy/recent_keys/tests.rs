use super::*;

#[test]
fn keys_are_remembered_for_one_to_two_periods() {
    let mut recent = RecentKeys::default();
    // Guards against a restart that makes light of all that was kept for good reason before.
    assert!(
        recent.insert(0, 50, 50) && recent.insert(7, 99, 50),
        "it can't tell what is new yet"
    );
    assert!(!recent.insert(1, 100, 50));
    assert!(recent.insert(1, 140, 50));
    assert!(recent.insert(1, 160, 50));
    assert!(!recent.insert(2, 160, 50));
    assert!(!recent.insert(1, 300, 50) && recent.previous.is_empty());
}
