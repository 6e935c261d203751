use super::*;

const SECOND: Micros = 1_000_000;

fn staggered(id: u64, kind: u8, same_zone: bool, entry: u64) -> ListedEndpoint<u64> {
    ListedEndpoint {
        id,
        admission: Admission::Staggered(Group { kind, same_zone }),
        entry,
    }
}

fn list(endpoints: std::ops::Range<u64>) -> Vec<ListedEndpoint<u64>> {
    endpoints
        .map(|endpoint| staggered(endpoint, 0, true, endpoint))
        .collect()
}

/// Returns when each front of a fleet starts to use each endpoint, as pairs of time and endpoint.
fn fleet(fronts: u32, endpoints: u64, per_s: f64) -> Vec<(Timestamp, u64)> {
    let mut all = Vec::new();
    for number in 0..fronts {
        let mut slow_start = SlowStart::new(FleetPosition { number, fronts }, per_s, 60 * SECOND);
        all.extend(
            slow_start
                .update(7, true, list(0..endpoints))
                .into_iter()
                .map(|endpoint| (7, endpoint)),
        );
        while let Some(at) = slow_start.next_deadline() {
            all.extend(
                slow_start
                    .poll(at)
                    .into_iter()
                    .map(|endpoint| (at, endpoint)),
            );
        }
    }
    all
}

#[test]
fn fronts_start_to_use_an_endpoint_within_the_budget_until_all_use_it() {
    for (fronts, endpoints, per_s) in [
        (300, 200, 20.0),
        (40, 7, 10.0),
        (1_000, 50, 100.0),
        (1, 3, 1.0),
    ] {
        let all = fleet(fronts, endpoints, per_s);
        assert_eq!(all.len(), fronts as usize * endpoints as usize);
        // The endpoints that each front uses without delay exceed the rate; fronts select different ones.
        let early = (f64::from(fronts) * MIN_IN_USE_PER_GROUP as f64 / endpoints as f64).max(2.0)
            * 3.0
            + 4.0;
        for endpoint in 0..endpoints {
            let starts: Vec<_> = all
                .iter()
                .filter(|(_, m)| *m == endpoint)
                .map(|(at, _)| *at)
                .collect();
            let max_per_second = starts
                .iter()
                .map(|at| {
                    starts
                        .iter()
                        .filter(|o| (*at..at + SECOND).contains(o))
                        .count()
                })
                .max()
                .unwrap();
            assert!(
                max_per_second as f64 <= per_s + early,
                "{fronts} fronts: {max_per_second} in one second at one of {endpoints} endpoints"
            );
        }
        let last = all.iter().map(|(at, _)| *at).max().unwrap();
        assert!(last <= 7 + (f64::from(fronts) / per_s * 1e6) as Timestamp);
    }
}

#[test]
fn every_front_uses_endpoints_of_each_kind_immediately_in_its_own_order() {
    let mut orders = BTreeSet::new();
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
        all.extend((30..34).map(|endpoint| staggered(endpoint, 1, false, endpoint)));
        all.push(ListedEndpoint {
            id: 40,
            admission: Admission::Immediate,
            entry: 40,
        });
        let first = slow_start.update(0, true, all);
        assert_eq!(
            first.iter().filter(|m| **m < 30).count(),
            MIN_IN_USE_PER_GROUP
        );
        assert_eq!(
            first.iter().filter(|m| (30..34).contains(*m)).count(),
            MIN_IN_USE_PER_GROUP
        );
        assert!(first.contains(&40));
        orders.insert(first);
    }
    assert!(orders.len() > 50, "{} orders for 100 fronts", orders.len());
}

#[test]
fn removals_and_updates_of_endpoints_in_use_take_effect_immediately() {
    let mut slow_start = SlowStart::new(
        FleetPosition {
            number: 3,
            fronts: 10,
        },
        1.0,
        60 * SECOND,
    );
    let used_ids = slow_start.update(0, true, list(0..10));
    let waiting_ids: Vec<u64> = (0..10).filter(|m| !used_ids.contains(m)).collect();
    // An immediate update of a waiting endpoint is passed on and ends its wait.
    assert_eq!(
        slow_start.update(
            1,
            false,
            vec![ListedEndpoint {
                id: waiting_ids[0],
                admission: Admission::Immediate,
                entry: 99
            }]
        ),
        [99]
    );
    assert_eq!(
        slow_start.update(1, false, vec![staggered(used_ids[0], 0, true, 98)]),
        [98],
        "the endpoint is in use"
    );
    let due = slow_start.waiting[&waiting_ids[1]].due;
    // An endpoint that was removed is new when it is listed again; one with an immediate update stays in use.
    assert_eq!(
        slow_start.update(
            1,
            false,
            vec![
                ListedEndpoint {
                    id: used_ids[1],
                    admission: Admission::Removed,
                    entry: 96
                },
                ListedEndpoint {
                    id: used_ids[0],
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
            staggered(used_ids[1], 0, true, 94),
            staggered(used_ids[0], 0, true, 93),
        ],
    );
    assert!(back.contains(&93), "the endpoint is still in use");
    // An update of a waiting endpoint replaces its entry and does not restart its delay.
    assert_eq!(
        slow_start.update(2, false, vec![staggered(waiting_ids[1], 0, true, 97)]),
        []
    );
    assert_eq!(slow_start.waiting[&waiting_ids[1]].due, due);
    let rest = slow_start.poll(60 * SECOND);
    assert!(
        rest.contains(&97)
            && !rest.contains(&waiting_ids[0])
            && rest.len() == waiting_ids.len() - 1
    );
    // A complete list removes all endpoints that it does not contain.
    assert_eq!(
        slow_start.update(
            70 * SECOND,
            true,
            vec![staggered(used_ids[0], 0, true, used_ids[0])]
        ),
        [used_ids[0]]
    );
    assert_eq!((slow_start.in_use.len(), slow_start.waiting()), (1, 0));
}
