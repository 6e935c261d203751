use super::*;

const SECOND: Micros = 1_000_000;

fn staggered(id: u64, kind: u8, same_zone: bool, entry: u64) -> ListedEndpoint<u64> {
    ListedEndpoint {
        id,
        admission: Admission::Staggered(Group { kind, same_zone }),
        entry,
    }
}

fn list(members: std::ops::Range<u64>) -> Vec<ListedEndpoint<u64>> {
    members
        .map(|member| staggered(member, 0, true, member))
        .collect()
}

/// When each front of a fleet starts to use each endpoint.
fn fleet(fronts: u32, members: u64, per_s: f64) -> Vec<(Timestamp, u64)> {
    let mut all = Vec::new();
    for number in 0..fronts {
        let mut slow_start = SlowStart::new(FleetPosition { number, fronts }, per_s, 60 * SECOND);
        all.extend(
            slow_start
                .update(7, true, list(0..members))
                .into_iter()
                .map(|member| (7, member)),
        );
        while let Some(at) = slow_start.next_deadline() {
            all.extend(slow_start.poll(at).into_iter().map(|member| (at, member)));
        }
    }
    all
}

#[test]
fn an_endpoint_gets_new_fronts_within_the_budget_and_in_the_end_all_of_them() {
    for (fronts, members, per_s) in [
        (300, 200, 20.0),
        (40, 7, 10.0),
        (1_000, 50, 100.0),
        (1, 3, 1.0),
    ] {
        let all = fleet(fronts, members, per_s);
        assert_eq!(all.len(), fronts as usize * members as usize);
        // Endpoints that a front uses immediately exceed the budget; they are spread over all endpoints.
        let early =
            (f64::from(fronts) * IMMEDIATE_PER_GROUP as f64 / members as f64).max(2.0) * 3.0 + 4.0;
        for member in 0..members {
            let of: Vec<_> = all
                .iter()
                .filter(|(_, m)| *m == member)
                .map(|(at, _)| *at)
                .collect();
            let worst = of
                .iter()
                .map(|at| of.iter().filter(|o| (*at..at + SECOND).contains(o)).count())
                .max()
                .unwrap();
            assert!(
                worst as f64 <= per_s + early,
                "{fronts} fronts: {worst} in a second at one of {members}"
            );
        }
        let last = all.iter().map(|(at, _)| *at).max().unwrap();
        assert!(last <= 7 + (f64::from(fronts) / per_s * 1e6) as Timestamp);
    }
}

#[test]
fn every_front_has_endpoints_of_each_kind_immediately_and_its_own_order() {
    let mut firsts = BTreeSet::new();
    for number in 0..100 {
        let mut slow_start = SlowStart::new(
            FleetPosition {
                number,
                fronts: 100,
            },
            1.0,
            60 * SECOND,
        );
        let mut all = list(0..30);
        all.extend((30..34).map(|member| staggered(member, 1, false, member)));
        all.push(ListedEndpoint {
            id: 40,
            admission: Admission::Immediate,
            entry: 40,
        });
        let first = slow_start.update(0, true, all);
        assert_eq!(
            first.iter().filter(|m| **m < 30).count(),
            IMMEDIATE_PER_GROUP
        );
        assert_eq!(
            first.iter().filter(|m| (30..34).contains(*m)).count(),
            IMMEDIATE_PER_GROUP
        );
        assert!(first.contains(&40));
        firsts.insert(first);
    }
    assert!(firsts.len() > 50, "{} ways for 100 fronts", firsts.len());
}

#[test]
fn removals_take_effect_immediately_and_updates_of_endpoints_in_use_pass() {
    let mut slow_start = SlowStart::new(
        FleetPosition {
            number: 3,
            fronts: 10,
        },
        1.0,
        60 * SECOND,
    );
    let used = slow_start.update(0, true, list(0..10));
    let waits: Vec<u64> = (0..10).filter(|m| !used.contains(m)).collect();
    // A waiting endpoint drains: that is passed on, and its turn does not come.
    assert_eq!(
        slow_start.update(
            1,
            false,
            vec![ListedEndpoint {
                id: waits[0],
                admission: Admission::Immediate,
                entry: 99
            }]
        ),
        [99]
    );
    assert_eq!(
        slow_start.update(1, false, vec![staggered(used[0], 0, true, 98)]),
        [98],
        "it is used already"
    );
    // An update of a waiting endpoint replaces its entry and does not restart its wait.
    let due = slow_start.waiting[&waits[1]].due;
    // An endpoint in use that is removed counts as new once it returns; one that only drains does not.
    assert_eq!(
        slow_start.update(
            1,
            false,
            vec![
                ListedEndpoint {
                    id: used[1],
                    admission: Admission::Removed,
                    entry: 96
                },
                ListedEndpoint {
                    id: used[0],
                    admission: Admission::Immediate,
                    entry: 95
                }
            ]
        ),
        [96, 95]
    );
    let back = slow_start.update(
        1,
        false,
        vec![
            staggered(used[1], 0, true, 94),
            staggered(used[0], 0, true, 93),
        ],
    );
    assert!(back.contains(&93), "it is used still");
    assert_eq!(
        slow_start.update(2, false, vec![staggered(waits[1], 0, true, 97)]),
        []
    );
    assert_eq!(slow_start.waiting[&waits[1]].due, due);
    let rest = slow_start.poll(60 * SECOND);
    assert!(rest.contains(&97) && !rest.contains(&waits[0]) && rest.len() == waits.len() - 1);
    // A complete list drops what it lacks; an endpoint that returns later waits again.
    assert_eq!(
        slow_start.update(
            70 * SECOND,
            true,
            vec![staggered(used[0], 0, true, used[0])]
        ),
        [used[0]]
    );
    assert_eq!((slow_start.in_use.len(), slow_start.waiting()), (1, 0));
}
