use super::*;

#[test]
fn delays_grow_to_a_bound_and_are_longer_for_a_refused_name_than_for_an_unreachable_authority() {
    let causes = [
        Cause::Unreachable,
        Cause::BadResponse,
        Cause::RateLimited,
        Cause::Refused,
        Cause::AccountRejected,
        Cause::Processing,
    ];
    for cause in causes {
        let waits: Vec<_> = (1..=40).map(|n| retry_delay(cause, n, None, "a")).collect();
        assert!(waits[0] < waits[4], "{cause:?}");
        assert!(
            waits.iter().all(|w| *w <= cause.bounds().1 * 5 / 4),
            "{cause:?}"
        );
    }
    for n in 1..40 {
        assert!(
            retry_delay(Cause::Refused, n, None, "a")
                > retry_delay(Cause::Unreachable, n, None, "a")
        );
    }
}

#[test]
fn retry_after_is_a_lower_bound_and_is_itself_bounded() {
    for cause in [Cause::Unreachable, Cause::RateLimited, Cause::Refused] {
        assert!(retry_delay(cause, 1, Some(5 * HOUR), "a") >= 5 * HOUR);
        assert!(retry_delay(cause, 1, Some(u64::MAX), "a") <= MAX_RETRY_AFTER * 21 / 20 + SECOND);
    }
    assert!(
        retry_delay(Cause::RateLimited, 9, Some(SECOND), "a") <= 3 * SECOND,
        "a requested delay must replace the backoff"
    );
    assert_ne!(
        retry_delay(Cause::Refused, 1, None, "a"),
        retry_delay(Cause::Refused, 1, None, "b")
    );
}
