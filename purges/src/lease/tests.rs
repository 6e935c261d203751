use super::*;

#[test]
fn a_loss_is_said_once_raises_the_floor_or_is_counted_and_ends_with_the_next_word() {
    let mut strict = Contact::new(0, 1_000, 500, Without::Strict);
    assert_eq!((strict.floor(499, 1_000), strict.lost_now(499)), (0, false));
    assert_eq!(
        (
            strict.floor(500, 1_000),
            strict.lost_now(500),
            strict.lost_now(501)
        ),
        (1_000, true, false)
    );
    assert_eq!(
        strict.floor(9_000_000, 10_000),
        10_000,
        "it follows the clock"
    );
    assert!(strict.heard(600, 2_000));
    assert!(!strict.heard(601, 2_001));
    assert_eq!((strict.floor(700, 2_002), strict.due()), (0, 1_101));
    let fresh = Contact::lost(9_000_000, 9_000, 500_000, Without::Strict);
    assert_eq!(
        fresh.floor(9_000_000, 9_000),
        8_500,
        "a start is a loss until the first word"
    );
    let mut open = Contact::new(0, 1_000, 500, Without::Available);
    [400, 900, 901]
        .into_iter()
        .for_each(|now| open.answered(now));
    assert_eq!((open.floor(900, 1), open.doubtful), (0, 2));
}
