//! Choice of the source of a fill where one of many fronts learns too late about the load of parents and the origin.
mod common;
use common::*;
use cranesill::api::*;

#[test]
fn fills_after_a_purge_of_all_copies_check_parents_first_and_stay_within_the_origins_limit() {
    // Guards against fills from the origin that hold all slots of the parents before a front detects that the origin is
    // slow.
    let mut harness = RouterHarness::new(
        Settings {
            coalescing: true,
            ..settings()
        },
        default_endpoints(),
    );
    let purged = |id: u64| Request {
        group: 7,
        ..new_request(id, id)
    };
    harness.notify(Event::Purged {
        object: None,
        group: 7,
        age: 100 * MS,
    });
    for id in 1..=20 {
        let first = harness.send_request(purged(id));
        harness.serve(&first[0]);
    }
    // The origin is not yet late, but every fill will have to go through to it.
    let only_cached = |sent: &SentAttempt| sent.fill.is_some_and(|fill| fill.only_cached);
    let mut origin_fills = 0;
    for id in 100..200 {
        let Some(first) = harness.send_request(purged(id)).pop() else {
            continue;
        };
        assert!(
            only_cached(&first),
            "a parent must first be asked for a cached copy: {first:?}"
        );
        origin_fills += harness
            .end_attempt(&first, Status::Miss, FillNote::SourceMiss, 0)
            .iter()
            .filter(|s| !only_cached(s))
            .count();
    }
    // The initial limit of the origin is three times its weight.
    assert!(
        (1..=60).contains(&origin_fills),
        "{origin_fills} fills from the origin in flight"
    );
    let other = harness.send_request(new_request(300, 300));
    assert!(
        other.iter().all(|sent| !only_cached(sent)),
        "fills of objects that were not purged must not be restricted"
    );
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn large_fills_without_coalescing_check_parents_first_and_stay_within_the_origins_limit() {
    // Guards against many fronts that fetch the same large objects from the origin at once after a purge, so that no
    // fill ends in time and nothing is cached.
    let count_checks_and_fills = |coalescing: bool, size_kb: f64| {
        let mut harness = RouterHarness::new(
            Settings {
                coalescing,
                hedging: false,
                ..settings()
            },
            default_endpoints(),
        );
        // Establishes the mean transfer time of the class.
        for id in 1..=40 {
            harness
                .send_request(new_request(id, id))
                .iter()
                .for_each(|sent| harness.serve(sent));
        }
        let (mut parent_checks, mut origin_fills) = (0, 0);
        for id in 100..300 {
            let Some(first) = harness
                .send_request(Request {
                    size_kb,
                    ..new_request(id, id)
                })
                .pop()
            else {
                continue;
            };
            let only_cached = |sent: &SentAttempt| sent.fill.is_some_and(|fill| fill.only_cached);
            parent_checks += u32::from(only_cached(&first) && first.source != Some(first.target));
            if only_cached(&first) {
                let next = harness.end_attempt(&first, Status::Miss, FillNote::SourceMiss, 0);
                origin_fills += next.iter().filter(|sent| !only_cached(sent)).count();
            } else {
                origin_fills += 1;
            }
        }
        assert_eq!(harness.checker.violations, Vec::<String>::new());
        (parent_checks, origin_fills)
    };
    let (parent_checks, origin_fills) = count_checks_and_fills(false, 900.0);
    assert!(
        parent_checks >= 50 && (1..=60).contains(&origin_fills),
        "{parent_checks} requests for cached copies, {origin_fills} fills from the origin"
    );
    let (parent_checks, _) = count_checks_and_fills(false, 30.0);
    assert!(
        parent_checks <= 20,
        "small parts must be filled without a check while the parents have capacity: {parent_checks} checks"
    );
    let (parent_checks, _) = count_checks_and_fills(true, 900.0);
    assert_eq!(parent_checks, 0, "fills that coalesce need no check");
}

#[test]
fn an_idle_origin_gets_fills_that_exceed_the_last_parents_capacity() {
    // Guards against rejections while the origin is idle: the last parent has capacity for less than one fill of each
    // front.
    let mut endpoints = default_endpoints();
    endpoints.remove(4);
    endpoints[3].weight = 0.3;
    let mut harness = RouterHarness::new(
        Settings {
            coalescing: true,
            pass_through: true,
            ..settings()
        },
        endpoints,
    );
    let mut by_source = std::collections::BTreeMap::<u64, u32>::new();
    for id in 1..=12 {
        let mut next = harness.send_request(new_request(id, id));
        while let Some(sent) = next.pop() {
            if sent.source == Some(sent.target) {
                next = harness.end_attempt(&sent, Status::Miss, FillNote::None, 0);
            } else {
                *by_source
                    .entry(sent.source.unwrap_or(sent.target))
                    .or_default() += 1;
            }
        }
    }
    assert!(by_source.get(&30).is_some_and(|n| *n >= 8), "{by_source:?}");
    assert!(by_source.get(&20).is_some_and(|n| *n <= 4), "{by_source:?}");
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn one_of_many_fronts_does_not_cut_the_limit_of_a_source_for_late_responses() {
    // Guards against a few late responses that stop a front from using a source for many seconds: each of a hundred
    // fronts gets few responses from it.
    let many_fronts = Settings {
        fronts: 100,
        coalescing: true,
        pass_through: true,
        ..settings()
    };
    let mut endpoints = default_endpoints();
    endpoints.remove(4);
    let mut harness = RouterHarness::new(many_fronts, endpoints);
    for id in 1..=30 {
        let sent = harness.send_request(new_request(id, id)).remove(0);
        harness.advance(1500 * MS);
        if harness
            .attempts_in_flight()
            .iter()
            .any(|s| s.request == sent.request)
        {
            harness.end_attempt(&sent, Status::Ok, FillNote::Filled, 1400 * MS);
        }
    }
    let first = harness.send_request(new_request(31, 31)).remove(0);
    let next = harness.end_attempt(&first, Status::Miss, FillNote::SourceMiss, 0);
    let next: Vec<_> = next.iter().map(|sent| sent.source).collect();
    assert_eq!(
        next,
        [Some(20)],
        "the parent must have capacity for the miss"
    );
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}
