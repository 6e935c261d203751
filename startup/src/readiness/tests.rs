use super::*;

const POLICY: ReadinessPolicy = ReadinessPolicy {
    min_percent: 50,
    max_wait: 3_000_000,
    spread: 1_000_000,
};

#[test]
fn a_front_is_never_ready_without_a_list_and_becomes_ready_after_the_maximum_wait() {
    let mut readiness = Readiness::new(
        0,
        FleetPosition {
            number: 0,
            fronts: 10,
        },
        POLICY,
    );
    assert_eq!(readiness.check(0, 0, 0), Err(NotReady::NoEndpoints));
    assert_eq!(
        readiness.check(9_000_000, 0, 0),
        Err(NotReady::NoEndpoints),
        "the maximum wait does not replace a list"
    );
    assert_eq!(
        readiness.check(2_999_999, 9, 4),
        Err(NotReady::Connections {
            connected: 4,
            needed: 5
        })
    );
    assert_eq!(
        readiness.check(3_000_000, 9, 0),
        Ok(()),
        "the maximum wait has passed"
    );
    assert_eq!(readiness.check(3_000_001, 9, 0), Ok(()));
    assert_eq!(
        readiness.check(3_000_002, 0, 0),
        Err(NotReady::NoEndpoints),
        "the list has become empty"
    );
    let mut readiness = Readiness::new(
        0,
        FleetPosition {
            number: 0,
            fronts: 10,
        },
        POLICY,
    );
    assert_eq!(
        (readiness.check(5, 9, 5), readiness.check(6, 9, 0)),
        (Ok(()), Ok(())),
        "connections lost later do not revoke readiness"
    );
}

#[test]
fn fronts_become_ready_spread_over_the_configured_period() {
    let ready_at = |number| {
        let mut readiness = Readiness::new(0, FleetPosition { number, fronts: 10 }, POLICY);
        (0..)
            .step_by(1_000)
            .find(|now| readiness.check(*now, 4, 4).is_ok())
            .unwrap()
    };
    assert_eq!(
        (0..10).map(ready_at).collect::<Vec<_>>(),
        (0..10).map(|n| n * 100_000).collect::<Vec<_>>()
    );
}
