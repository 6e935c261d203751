use super::*;

#[test]
fn waits_grow_to_a_bound_and_a_refused_name_waits_longer_than_a_broken_authority() {
    let causes = [
        Cause::Unreachable,
        Cause::Broken,
        Cause::Limited,
        Cause::Refused,
        Cause::Account,
        Cause::Slow,
    ];
    for cause in causes {
        let waits: Vec<_> = (1..=40).map(|n| wait(cause, n, None, "a")).collect();
        assert!(waits[0] < waits[4], "{cause:?}");
        assert!(
            waits.iter().all(|w| *w <= cause.bounds().1 * 5 / 4),
            "{cause:?}"
        );
    }
    for n in 1..40 {
        assert!(wait(Cause::Refused, n, None, "a") > wait(Cause::Unreachable, n, None, "a"));
    }
}

#[test]
fn what_the_authority_names_is_the_least_and_bounded() {
    for cause in [Cause::Unreachable, Cause::Limited, Cause::Refused] {
        assert!(wait(cause, 1, Some(5 * HOUR), "a") >= 5 * HOUR);
        assert!(wait(cause, 1, Some(u64::MAX), "a") <= TOLD_MOST * 21 / 20 + SECOND);
    }
    assert!(
        wait(Cause::Limited, 9, Some(SECOND), "a") <= 3 * SECOND,
        "its word is all there is to a limit"
    );
    assert_ne!(
        wait(Cause::Refused, 1, None, "a"),
        wait(Cause::Refused, 1, None, "b")
    );
}
