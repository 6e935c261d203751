use super::*;

const SECOND: Timestamp = 1_000_000;

#[test]
fn identifiers_are_known_for_the_retention_unless_they_are_forgotten() {
    let mut guard = ExecutionGuard::default();
    let (first, second) = (ExecutionKey(1), ExecutionKey(2));
    guard.record(SECOND, first);
    guard.record(SECOND, second);
    guard.forget(second);
    assert!(guard.is_known(SECOND + RETENTION - 1, first));
    assert!(!guard.is_known(SECOND, second));
    assert!(!guard.is_known(SECOND + RETENTION, first));
    // Recorded again: the earlier entry does not end it.
    guard.record(SECOND + RETENTION / 2, first);
    guard.record(SECOND + RETENTION, second);
    assert!(guard.is_known(SECOND + RETENTION, first));
}

#[test]
fn at_the_limit_the_oldest_identifier_gives_way() {
    let mut guard = ExecutionGuard::default();
    for key in 0..=MAX_IDENTIFIERS as u64 {
        guard.record(SECOND, ExecutionKey(key));
    }
    assert!(!guard.is_known(SECOND, ExecutionKey(0)) && guard.is_known(SECOND, ExecutionKey(1)));
    assert_eq!(
        (guard.len(), guard.by_time.len()),
        (MAX_IDENTIFIERS, MAX_IDENTIFIERS)
    );
    assert_eq!(guard.evicted, 1);
    assert!(guard.takes_report(SECOND, 0) && !guard.takes_report(SECOND, 0));
    // Identifiers that were forgotten take up no memory for ever either.
    for key in 0..3 * MAX_IDENTIFIERS as u64 {
        guard.record(SECOND, ExecutionKey(1 << 40 | key));
        guard.forget(ExecutionKey(1 << 40 | key));
    }
    assert!(guard.by_time.len() <= MAX_IDENTIFIERS);
    guard.record(SECOND + RETENTION, ExecutionKey(7));
    assert_eq!((guard.by_time.len(), guard.len()), (1, 1));
}

#[test]
fn upper_and_lower_case_are_the_same_identifier() {
    let key = |text: &str| ExecutionKey::from(TransactionId::new(text).unwrap());
    assert_eq!(key("9b1f03aa5c7e2d41"), ExecutionKey(0x9b1f_03aa_5c7e_2d41));
    assert_eq!(key("9B1F03AA5C7E2D41"), key("9b1f03aa5c7e2d41"));
}
