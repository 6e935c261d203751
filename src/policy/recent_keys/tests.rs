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

// Guards against a front that is killed for its memory while a client requests ever new objects at full speed.
#[test]
fn the_number_of_keys_is_bounded_and_the_latest_are_remembered() {
    let mut recent = RecentKeys::default();
    recent.insert(0, 0, 50);
    let keys = 5 * MAX_KEYS_PER_PERIOD as u64;
    for key in 1..=keys {
        assert!(!recent.insert(key, 60, 50));
        assert!(recent.current.len() + recent.previous.len() <= 2 * MAX_KEYS_PER_PERIOD);
    }
    let latest = keys - MAX_KEYS_PER_PERIOD as u64 + 1;
    assert!(
        recent.insert(latest, 60, 50),
        "requested within a full period of keys"
    );
}
