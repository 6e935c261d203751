use super::*;

#[test]
fn an_expired_lease_is_reported_once_and_raises_the_floor_or_counts_replies_until_renewed() {
    let mut strict = Lease::new(0, 1_000, 500, ExpiryPolicy::Strict);
    assert_eq!(
        (strict.floor(499, 1_000), strict.report_expiry(499)),
        (0, false)
    );
    assert_eq!(
        (
            strict.floor(500, 1_000),
            strict.report_expiry(500),
            strict.report_expiry(501)
        ),
        (1_000, true, false)
    );
    assert_eq!(
        strict.floor(9_000_000, 10_000),
        10_000,
        "the floor moves with the clock"
    );
    assert!(strict.renew(600, 2_000));
    assert!(!strict.renew(601, 2_001));
    assert_eq!((strict.floor(700, 2_002), strict.expires_at()), (0, 1_101));
    let at_start = Lease::expired(9_000_000, 9_000, 500_000, ExpiryPolicy::Strict);
    assert_eq!(
        at_start.floor(9_000_000, 9_000),
        8_500,
        "a lease created as expired has its floor one duration in the past"
    );
    let mut available = Lease::new(0, 1_000, 500, ExpiryPolicy::Available);
    [400, 900, 901]
        .into_iter()
        .for_each(|now| available.record_reply(now));
    assert_eq!(
        (available.floor(900, 1), available.unverified_replies),
        (0, 2)
    );
}
