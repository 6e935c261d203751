//! What many routers do together, and what one of many learns too late. No bench is needed.
mod common;
use common::*;
use cranesill::api::*;

#[test]
fn fills_after_a_purge_of_all_copies_check_parents_first_and_stay_within_the_origins_limit() {
    // Days on which all copies go void: what filled by way of the origin took the places of parents for seconds
    // before a tenth of the answers of any one router was late.
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
    // Nothing is known of the origin but that it will be asked for all: it is as quick as ever.
    let only_cached = |sent: &SentAttempt| sent.fill.is_some_and(|fill| fill.only_cached);
    let mut origin_fills = 0;
    for id in 100..200 {
        let Some(first) = harness.send_request(purged(id)).pop() else {
            continue;
        };
        assert!(
            only_cached(&first),
            "a parent is not made to fetch before it is known to lack the object"
        );
        origin_fills += harness
            .end_attempt(&first, Status::Miss, FillNote::SourceMiss, 0)
            .iter()
            .filter(|s| !only_cached(s))
            .count();
    }
    // Three times its weight: what the origin is taken to carry at first.
    assert!(
        (1..=60).contains(&origin_fills),
        "{origin_fills} fetches of the origin at once"
    );
    let other = harness.send_request(new_request(300, 300));
    assert!(
        other.iter().all(|sent| !only_cached(sent)),
        "what was not purged is filled as ever"
    );
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn large_fills_without_coalescing_check_parents_first_and_stay_within_the_origins_limit() {
    // A calm day of three hundred fronts: after a purge all fetched the same few large objects from the origin, each for
    // itself; none of these fetches ended in time, nothing was kept, and so it went on for as long as they were wanted.
    let count_checks_and_fills = |coalescing: bool, size_kb: f64| {
        let mut harness = RouterHarness::new(
            Settings {
                coalescing,
                hedging: false,
                ..settings()
            },
            default_endpoints(),
        );
        // The mean of the class is learnt first.
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
        "{parent_checks} asked for what is held, {origin_fills} fetched"
    );
    let (parent_checks, _) = count_checks_and_fills(false, 30.0);
    assert!(
        parent_checks <= 20,
        "what is small is fetched at once as ever, but where no room is left: {parent_checks}"
    );
    let (parent_checks, _) = count_checks_and_fills(true, 900.0);
    assert_eq!(parent_checks, 0, "fills that join each other need no look");
}

#[test]
fn an_idle_origin_gets_fills_that_exceed_the_last_parents_capacity() {
    // A hub was lost: once the list said so, the parent that was left had room for a third of a fill of each front,
    // and 1,700 requests a second were refused beside an origin that was idle.
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
    // Each of a hundred fronts hears of a source once a second: a few late answers kept it from sending there for ten
    // seconds after the source was quick again.
    let many = Settings {
        fronts: 100,
        coalescing: true,
        pass_through: true,
        ..settings()
    };
    let mut endpoints = default_endpoints();
    endpoints.remove(4);
    let mut harness = RouterHarness::new(many, endpoints);
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
    assert_eq!(next, [Some(20)], "the parent has room for what missed");
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}
