//! Regression tests: a small case for each failure found under load. `docs/incidents/README.md` describes them.
mod common;
use common::*;
use cranesill::api::*;

/// Sends one request for each object of the range and returns the attempts that are sent immediately.
fn send_requests(harness: &mut RouterHarness, ids: std::ops::Range<u64>) -> Vec<SentAttempt> {
    ids.flat_map(|id| harness.send_request(new_request(id, id)))
        .collect()
}

/// The default endpoints with parents of low weight.
fn endpoints_with_small_parents() -> Vec<EndpointEntry> {
    let mut endpoints = default_endpoints();
    endpoints[3..5]
        .iter_mut()
        .for_each(|parent| parent.weight = 6.0);
    endpoints
}

#[test]
fn rejections_for_lack_of_capacity_cause_no_retry_storm() {
    // Guards against retrying every rejection, which multiplies the load.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..=200 {
        let mut next = harness.send_request(new_request(id, id));
        while let Some(attempt) = next.first().cloned() {
            next = harness.end_attempt(&attempt, Status::Rejected, FillNote::None, 0);
        }
        harness.advance(10 * MS);
    }
    harness.advance(5 * S);
    let attempts = harness.sent.len();
    assert!(
        (200..=200 + 10 + 20 + 1).contains(&attempts),
        "{attempts} attempts of 200 requests"
    );
    assert_eq!(harness.answers.len(), 200);
}

#[test]
fn a_fault_common_to_all_parents_takes_none_down() {
    // Guards against a slow origin taking all parents DOWN.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..=60 {
        if let Some(attempt) = harness.send_request(new_request(id, id)).first().cloned() {
            harness.advance(50 * MS);
            harness.end_attempt(&attempt, Status::Rejected, FillNote::SourceRejected, 2 * S);
        }
    }
    assert_eq!(harness.log, Vec::<String>::new());
}

#[test]
fn the_only_slow_parent_goes_down() {
    // Guards against a parent that stays UP although its responses are late, because they arrive before the timeout.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..=40 {
        harness.send_request(new_request(id, id));
    }
    for round in 1..=30 {
        harness.advance(100 * MS);
        for attempt in harness.attempts_in_flight() {
            let late = harness.now > attempt.sent_at + 2 * S;
            match attempt.source {
                Some(20) if !late => {}
                Some(_) => _ = harness.end_attempt(&attempt, Status::Ok, FillNote::Filled, 0),
                None => {}
            }
        }
        harness.send_request(new_request(100 + round, 100 + round));
    }
    assert_eq!(
        harness
            .log
            .iter()
            .filter(|l| l.contains("Parent 14 DOWN"))
            .count(),
        1,
        "{:?}",
        harness.log
    );
    assert!(!harness.log.iter().any(|l| l.contains("Parent 15 DOWN")));
}

#[test]
fn caches_are_checked_for_a_copy_before_filling_from_a_loaded_source() {
    // Guards against waiting fills that take the slots of hits.
    let mut harness = RouterHarness::new(settings(), endpoints_with_small_parents());
    let sent = send_requests(&mut harness, 1..400);
    let cache_checks: Vec<_> = sent.iter().filter(|s| s.source == Some(s.target)).collect();
    let fills = sent
        .iter()
        .filter(|s| s.source == Some(20) || s.source == Some(21))
        .count();
    assert!(
        !cache_checks.is_empty() && fills > 0 && fills < 150,
        "{} checks of caches, {fills} fills",
        cache_checks.len()
    );
    // A miss waits for capacity at its source until a response can no longer be in time.
    let missed = (*cache_checks[0]).clone();
    harness.end_attempt(&missed, Status::Miss, FillNote::None, 0);
    harness.advance(2 * S);
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn a_second_miss_of_a_part_coalesces_with_the_first_fill_or_waits_for_it() {
    for coalescing in [false, true] {
        let mut fill_settings = settings();
        fill_settings.coalescing = coalescing;
        let mut harness = RouterHarness::new(fill_settings, endpoints_with_small_parents());
        // Enough requests to use up the capacity of the sources but not of the caches.
        let mut id = 0;
        let mut cache_check = None;
        while cache_check.is_none() && id < 400 {
            id += 1;
            cache_check = harness
                .send_request(new_request(id, id))
                .into_iter()
                .find(|s| s.source == Some(s.target));
        }
        let first = cache_check.expect("an attempt that only checks the cache");
        let second = harness.send_request(new_request(1000, id)).remove(0);
        assert_eq!(
            second.source,
            Some(second.target),
            "the second request must check the cache first too"
        );
        // Frees capacity at the sources.
        harness
            .attempts_in_flight()
            .iter()
            .filter(|s| s.source != Some(s.target))
            .skip(4)
            .for_each(|s| harness.serve(s));
        let fill = harness.end_attempt(&first, Status::Miss, FillNote::None, 0);
        assert!(
            fill[0].source.is_some_and(|from| from >= 20),
            "the first miss must be filled from another source: {fill:?}"
        );
        let second_next = harness.end_attempt(&second, Status::Miss, FillNote::None, 0);
        // With coalescing the second miss is sent at once; without it, it waits for the end of the fill.
        assert_eq!(
            second_next.iter().filter(|s| s.request.0 == 1000).count(),
            usize::from(coalescing),
            "{second_next:?}"
        );
        if !coalescing {
            let resumed = harness.end_attempt(&fill[0], Status::Ok, FillNote::Filled, 0);
            assert!(resumed.iter().any(|s| s.request.0 == 1000), "{resumed:?}");
        }
    }
}

#[test]
fn a_cache_without_capacity_is_skipped() {
    // Guards against waiting for one overloaded cache while others have capacity.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let first = harness.send_request(new_request(1, 5)).remove(0);
    harness.serve(&first);
    let in_flight_at_first = |harness: &RouterHarness| {
        harness
            .attempts_in_flight()
            .iter()
            .filter(|s| s.target == first.target)
            .count()
    };
    // A rejection cuts the limit of the cache to slightly below its requests in flight.
    for id in 2..10 {
        let more = harness.send_request(new_request(id, 5)).remove(0);
        assert_eq!(more.target, first.target);
    }
    let last = harness
        .attempts_in_flight()
        .pop()
        .expect("an attempt in flight");
    harness.end_attempt(&last, Status::Rejected, FillNote::None, 0);
    assert!(in_flight_at_first(&harness) > 6);
    let next = harness.send_request(new_request(20, 5)).remove(0);
    assert_ne!(next.target, first.target);
}

#[test]
fn a_rejected_write_backs_off_and_is_answered_by_its_deadline() {
    // Guards against writes that use up their attempts within milliseconds, and against a write that is never answered
    // because its timer expires late.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let write = Request {
        class: 1,
        time_left: S,
        ..new_request(1, 5)
    };
    let mut next = harness.send_request(write);
    let mut attempts = 0;
    while let Some(attempt) = next.first().cloned() {
        attempts += 1;
        assert!(
            harness
                .end_attempt(&attempt, Status::Rejected, FillNote::SourceRejected, 0)
                .is_empty(),
            "a rejected write must back off"
        );
        next = harness.advance(60 * MS);
    }
    harness.advance(2 * S);
    assert!((4..=8).contains(&attempts), "{attempts} attempts");
    assert!(harness.answers.contains_key(&RequestId(1)));
    let now = harness.now;
    harness.checker.check_overdue(now);
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn a_stale_copy_is_requested_before_waiting_for_a_source() {
    let mut with_grace = settings();
    with_grace.classes[0] = Class {
        freshness_lifetime: 20 * S,
        grace: 30 * S,
        ..class(Idempotency::Idempotent, false)
    };
    let mut harness = RouterHarness::new(with_grace, endpoints_with_small_parents());
    // Misses use up the capacity of the sources.
    for id in 1..400 {
        for cache_check in harness
            .send_request(new_request(id, id))
            .into_iter()
            .filter(|s| s.source == Some(s.target))
        {
            assert_eq!(cache_check.fill.unwrap().max_age, 20 * S);
            for second in harness.end_attempt(&cache_check, Status::Miss, FillNote::None, 0) {
                if second.request == cache_check.request && second.source == Some(second.target) {
                    assert_eq!(second.fill.unwrap().max_age, 50 * S);
                    return;
                }
            }
        }
    }
    panic!("no request accepted a copy past its freshness lifetime");
}

#[test]
fn a_stalled_attempt_is_cancelled_and_moves_where_hedging_is_not_allowed() {
    // Guards against waiting for a cache that drops some requests but serves others, and therefore stays UP.
    let mut without_hedging = settings();
    without_hedging.hedging = false;
    without_hedging.parent_kind = None;
    let mut harness = RouterHarness::new(without_hedging, vec![entry(10, CACHE), entry(11, CACHE)]);
    let stalled = harness.send_request(new_request(1, 5)).remove(0);
    harness.advance(900 * MS);
    assert!(
        harness.actions.contains(&Action::Cancel(RequestId(1), 0)),
        "{:?}",
        harness.actions
    );
    let next = harness
        .end_attempt(&stalled, Status::Cancelled, FillNote::None, 0)
        .remove(0);
    assert_ne!(next.target, stalled.target);
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn an_unresponsive_cache_goes_down_while_others_respond_and_its_requests_move() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..=200 {
        for attempt in harness
            .attempts_in_flight()
            .into_iter()
            .filter(|s| s.target != 10)
        {
            if harness.now > attempt.sent_at + 200 * MS {
                harness.serve(&attempt);
            }
        }
        harness.send_request(new_request(id, id));
        harness.advance(20 * MS);
        if harness.log.iter().any(|l| l.contains("Cache a DOWN")) {
            break;
        }
    }
    assert!(
        harness.log.iter().any(|l| l.contains("Cache a DOWN")),
        "{:?}",
        harness.log
    );
    assert!(harness
        .actions
        .iter()
        .any(|a| matches!(a, Action::Cancel(..))));
    assert!(!harness
        .send_request(new_request(999, 5))
        .iter()
        .any(|s| s.target == 10));
}

#[test]
fn unresponsive_caches_go_down_with_one_request_in_flight_at_a_time() {
    // Guards against unresponsive caches that stay UP because no other cache responds while a single request is in
    // flight.
    let mut without_hedging = settings();
    without_hedging.hedging = false;
    let mut endpoints = default_endpoints();
    endpoints.extend((13..16).map(|id| entry(id, CACHE)));
    let mut harness = RouterHarness::new(without_hedging, endpoints);
    let mut timeouts = 0;
    for id in 1..=600 {
        let mut next = harness.send_request(new_request(id, id % 50));
        while let Some(attempt) = next.first().cloned() {
            let is_unresponsive = (10..13).contains(&attempt.target) && id > 60;
            harness.advance(if is_unresponsive { 1_500 * MS } else { 10 * MS });
            let cancel = Action::Cancel(attempt.request, attempt.number);
            next.clear();
            if !is_unresponsive {
                harness.serve(&attempt);
            } else if harness.actions.contains(&cancel) {
                next = harness.end_attempt(&attempt, Status::Cancelled, FillNote::None, 0);
            } else {
                timeouts += 1;
                harness.advance(2_600 * MS);
            }
        }
    }
    let down = harness.log.iter().filter(|l| l.contains("DOWN")).count();
    assert!(
        down >= 3,
        "{down} caches DOWN, {timeouts} requests timed out: {:?}",
        harness.log
    );
    assert!(timeouts < 60, "{timeouts} of 540 requests timed out");
    // When all endpoints stop responding at once, none goes DOWN.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..=20 {
        let sent = harness.send_request(new_request(id, id));
        harness.advance(10 * MS);
        sent.iter().for_each(|attempt| harness.serve(attempt));
    }
    for id in 21..=60 {
        harness.send_request(new_request(id, id));
        harness.advance(4_100 * MS);
    }
    assert!(
        !harness.log.iter().any(|l| l.contains("DOWN")),
        "{:?}",
        harness.log
    );
}

#[test]
fn the_origin_gets_fills_that_exceed_the_capacity_of_the_remaining_parent() {
    // Guards against requests that wait for the remaining parent while the origin has capacity.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..200 {
        let mut next = harness.send_request(new_request(id, id));
        while let Some(attempt) = next.first().cloned() {
            next = match attempt.source {
                Some(20) => {
                    harness.end_attempt(&attempt, Status::Rejected, FillNote::SourceLost, 0)
                }
                Some(from) if from == attempt.target => {
                    harness.end_attempt(&attempt, Status::Miss, FillNote::None, 0)
                }
                _ => harness.end_attempt(&attempt, Status::Ok, FillNote::Filled, 0),
            };
        }
        if harness.log.iter().any(|l| l.contains("Parent 14 DOWN")) {
            break;
        }
    }
    assert!(harness.log.iter().any(|l| l.contains("Parent 14 DOWN")));
    for id in 1000..1600 {
        for cache_check in harness.send_request(new_request(id, id)) {
            if cache_check.source == Some(cache_check.target) {
                harness.end_attempt(&cache_check, Status::Miss, FillNote::None, 0);
            }
        }
    }
    let fills_from = |source: u64| {
        harness
            .sent
            .iter()
            .filter(|s| s.source == Some(source))
            .count()
    };
    assert!(
        fills_from(30) > 0 && fills_from(21) > fills_from(30),
        "{} fills from the origin, {} from the remaining parent",
        fills_from(30),
        fills_from(21)
    );
}

#[test]
fn a_parent_in_slow_start_stays_within_its_budget_and_hits_return_their_charge() {
    let mut endpoints = default_endpoints();
    endpoints[3].started = 100 * S;
    endpoints[4].started = 100 * S;
    let mut harness = RouterHarness::new(settings(), endpoints);
    let sent = send_requests(&mut harness, 1..60);
    let to_parents = |sent: &[SentAttempt]| sent.iter().filter(|s| s.source == Some(20)).count();
    assert!(
        to_parents(&sent) <= 2,
        "{} fills from a parent in slow start",
        to_parents(&sent)
    );
    let (mut without_hits, mut with_hits) = (0, 0);
    for (hit, sum, first_id) in [
        (false, &mut without_hits, 100),
        (true, &mut with_hits, 1000),
    ] {
        let mut endpoints = default_endpoints();
        endpoints[3].started = 100 * S;
        endpoints[4].started = 100 * S;
        let mut harness = RouterHarness::new(settings(), endpoints);
        harness.advance(500 * MS);
        for id in first_id..first_id + 60 {
            for attempt in harness.send_request(new_request(id, id - first_id)) {
                *sum += usize::from(attempt.source == Some(20));
                if hit {
                    harness.serve(&attempt);
                }
            }
        }
        assert_eq!(harness.checker.violations, Vec::<String>::new());
    }
    assert!(
        without_hits > 0 && with_hits > without_hits,
        "{with_hits} with hits, {without_hits} without"
    );
}

#[test]
fn many_failing_parents_beside_a_healthy_one_do_not_go_down() {
    // Guards against one healthy parent being enough to take all failing ones DOWN.
    let mut endpoints = default_endpoints();
    endpoints.extend((22..28).map(|id| entry(id, PARENT)));
    let mut harness = RouterHarness::new(settings(), endpoints);
    for id in 1..=300 {
        for attempt in harness.send_request(new_request(id, id)) {
            harness.advance(30 * MS);
            match attempt.source {
                Some(20) => _ = harness.end_attempt(&attempt, Status::Ok, FillNote::Filled, 0),
                Some(_) => {
                    _ = harness.end_attempt(
                        &attempt,
                        Status::Rejected,
                        FillNote::SourceRejected,
                        2 * S,
                    )
                }
                None => {}
            }
        }
    }
    assert_eq!(harness.log, Vec::<String>::new());
}

/// Ends an attempt with a load report that contains the utilization of the link into the zone.
fn end_attempt_with_link_report(
    harness: &mut RouterHarness,
    sent: &SentAttempt,
    status: Status,
    note: FillNote,
    utilization: f64,
) -> Vec<SentAttempt> {
    let report = Some(LoadReport {
        link: Some(utilization),
        ..LoadReport::default()
    });
    harness.end_attempt_with_report(sent, status, note, 0, report)
}

#[test]
fn fills_wait_for_a_full_link_and_no_endpoint_goes_down() {
    // Guards against fills that overload the link after a purge of all copies, so that all responses are late.
    for (utilization, expects_most_fills) in [(0.5, true), (6.0, false)] {
        let mut harness = RouterHarness::new(settings(), default_endpoints());
        for id in 1..=1000 {
            let mut next = harness.send_request(new_request(id, id));
            while let Some(attempt) = next.first().cloned().filter(|a| a.source == Some(a.target)) {
                next = end_attempt_with_link_report(
                    &mut harness,
                    &attempt,
                    Status::Miss,
                    FillNote::None,
                    utilization,
                );
            }
            harness.advance(10 * MS);
            let due = harness.now
                - if expects_most_fills {
                    300 * MS
                } else {
                    1900 * MS
                };
            for attempt in harness
                .attempts_in_flight()
                .into_iter()
                .filter(|a| a.sent_at < due)
            {
                end_attempt_with_link_report(
                    &mut harness,
                    &attempt,
                    Status::Ok,
                    FillNote::Filled,
                    utilization,
                );
            }
        }
        let fills = harness
            .sent
            .iter()
            .filter(|a| a.source != Some(a.target))
            .count();
        assert_eq!(
            fills > 900,
            expects_most_fills,
            "link utilization {utilization}: {fills} fills of 1000 requests"
        );
        assert!(
            expects_most_fills || harness.log.is_empty(),
            "{:?}",
            harness.log
        );
        assert_eq!(harness.checker.violations, Vec::<String>::new());
    }
}

#[test]
fn hundreds_of_fronts_stay_within_the_slow_start_budget_of_a_parent() {
    // Guards against hundreds of fronts that each exceed their share of the budget by one request.
    for fronts in [3u64, 30, 300] {
        let mut fleet_settings = settings();
        fleet_settings.fronts = fronts as u32;
        let start = 100 * S;
        let endpoints = || {
            let mut endpoints = default_endpoints();
            endpoints[3].started = start;
            endpoints.remove(4);
            endpoints
        };
        let new_harness = |front_index| {
            RouterHarness::new(
                Settings {
                    front_index: front_index as u32,
                    ..fleet_settings.clone()
                },
                endpoints(),
            )
        };
        let mut fleet: Vec<_> = (0..fronts).map(new_harness).collect();
        let mut sent: Vec<Timestamp> = Vec::new();
        for step in 0..200 {
            for (n, harness) in fleet.iter_mut().enumerate() {
                // Every front sends a request in each step; a fill takes half a second.
                harness.advance(20 * MS);
                for done in harness
                    .attempts_in_flight()
                    .into_iter()
                    .filter(|a| a.sent_at + 500 * MS < start + step * 20 * MS)
                {
                    harness.end_attempt(&done, Status::Ok, FillNote::Filled, 0);
                }
                let id = step * 1000 + n as u64 + 1;
                let now = harness.now;
                let new = harness.send_request(Request {
                    time_left: S,
                    ..new_request(id, id)
                });
                sent.extend(new.iter().filter(|a| a.source == Some(20)).map(|_| now));
            }
        }
        // Load relative to the overload threshold in any window of two seconds: weight 20, an initial capacity fraction
        // of 0.2 and an overload multiple of 2.
        let peak_load = sent.iter().map(|t| {
            let in_window = sent
                .iter()
                .filter(|u| (*t..*t + 2 * S).contains(*u))
                .count() as f64;
            let age = (*t - start) as f64 / (20 * S) as f64;
            in_window * 300_000.0 / (2.0 * 20.0 * (0.2 + 0.8 * age) * (2 * S) as f64)
        });
        let peak_load = peak_load.fold(0.0, f64::max);
        assert!(
            peak_load > 0.1 && peak_load < 1.0,
            "{fronts} fronts: peak load {peak_load} of the overload threshold"
        );
    }
}

#[test]
fn parents_are_asked_for_cached_copies_and_stay_up_while_the_origin_is_slow() {
    // Guards against fills from a slow origin that hold all slots of the parents.
    let mut harness = RouterHarness::new(settings(), endpoints_with_small_parents());
    let mut cached_checks = 0;
    for id in 1..=400 {
        let mut next = harness.send_request(new_request(id, id));
        harness.advance(10 * MS);
        while let Some(attempt) = next.first().cloned() {
            let only_cached = attempt.fill.is_some_and(|f| f.only_cached);
            next = match attempt.source {
                Some(20 | 21) if only_cached => {
                    cached_checks += 1;
                    harness.end_attempt(&attempt, Status::Miss, FillNote::SourceMiss, 0)
                }
                Some(from) if from == attempt.target => {
                    harness.end_attempt(&attempt, Status::Miss, FillNote::None, 0)
                }
                _ => break,
            };
        }
        let due = harness.now - 2 * S;
        for late in harness
            .attempts_in_flight()
            .into_iter()
            .filter(|a| a.sent_at < due)
        {
            harness.end_attempt(&late, Status::Ok, FillNote::FilledByOrigin, 0);
        }
    }
    let filled_through = |s: &&SentAttempt| {
        s.number > 0 && s.source < Some(30) && s.fill.is_some_and(|f| !f.only_cached)
    };
    let filled_through = harness
        .sent
        .iter()
        .filter(filled_through)
        .filter(|s| s.source != Some(s.target))
        .count();
    assert!(
        cached_checks > 50 && filled_through > 0,
        "{cached_checks} requests for cached copies, {filled_through} fills through parents"
    );
    assert!(
        !harness.log.iter().any(|l| l.contains("Parent")),
        "{:?}",
        harness.log
    );
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn timers_work_with_any_request_id() {
    // Guards against timer tokens that lose the upper bits of the request id.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let id = u64::MAX - 5;
    let write = Request {
        class: 1,
        time_left: S,
        ..new_request(id, 5)
    };
    let first = harness.send_request(write).remove(0);
    assert!(harness
        .end_attempt(&first, Status::Rejected, FillNote::SourceRejected, 0)
        .is_empty());
    let retry = harness.advance(200 * MS);
    assert_eq!(retry[0].request, RequestId(id));
}

#[test]
fn a_request_waits_for_capacity_at_any_cache() {
    // Guards against requests that wait for an unresponsive cache while others have capacity: a waiting request goes to
    // whichever cache has capacity first.
    for freed in [10, 11] {
        let mut harness = RouterHarness::new(
            settings(),
            vec![entry(10, CACHE), entry(11, CACHE), entry(20, PARENT)],
        );
        let mut id = 0;
        while harness.sent.len() as u64 == id {
            id += 1;
            harness.send_request(Request {
                part: id as u32,
                ..new_request(id, 5)
            });
        }
        let done = harness
            .attempts_in_flight()
            .into_iter()
            .find(|a| a.target == freed)
            .expect("an attempt in flight at the cache");
        let resumed = harness.end_attempt(&done, Status::Ok, FillNote::Hit, 0);
        assert!(
            resumed.len() == 1 && resumed[0].request.0 == id && resumed[0].target == freed,
            "{resumed:?}"
        );
    }
}

#[test]
fn parts_requested_repeatedly_are_cached_at_a_higher_rank() {
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let rank = |sent: &[SentAttempt]| sent[0].fill.unwrap().rank;
    // A front that has just started cannot tell which parts are requested repeatedly, and must not rank them low.
    assert_eq!(rank(&harness.send_request(new_request(9, 9))), 2);
    harness.advance(11 * S);
    assert_eq!(rank(&harness.send_request(new_request(1, 5))), 1);
    harness.advance(3 * S);
    assert_eq!(
        (
            rank(&harness.send_request(new_request(2, 5))),
            rank(&harness.send_request(new_request(3, 6)))
        ),
        (2, 1)
    );
    // Each part counts separately, and only recent requests count.
    assert_eq!(
        rank(&harness.send_request(Request {
            part: 1,
            ..new_request(4, 5)
        })),
        1
    );
    harness.advance(60 * S);
    assert_eq!(rank(&harness.send_request(new_request(5, 5))), 1);
}

#[test]
fn rolling_replacement_and_a_mass_restart_overload_no_cache_in_slow_start() {
    // The checker detects requests to draining caches and loads above the slow-start limits.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let mut id = 0;
    let mut run = |harness: &mut RouterHarness, span: Micros| {
        let end = harness.now + span;
        while harness.now < end {
            id += 1;
            harness.send_request(new_request(id, id));
            harness.advance(10 * MS);
            let due = harness.now - 300 * MS;
            for done in harness
                .attempts_in_flight()
                .into_iter()
                .filter(|a| a.sent_at < due)
            {
                let is_cache_check = done.source == Some(done.target);
                let (status, note) = if is_cache_check {
                    (Status::Miss, FillNote::None)
                } else {
                    (Status::Ok, FillNote::Filled)
                };
                harness.end_attempt(&done, status, note, 0);
            }
        }
    };
    for (old, new) in [(10, 13), (11, 14)] {
        let draining = EndpointEntry {
            state: EndpointState::Draining,
            ..entry(old, CACHE)
        };
        harness.notify(Event::Endpoints(ListKind::Delta, vec![draining]));
        run(&mut harness, S);
        let removed = EndpointEntry {
            state: EndpointState::Removed,
            ..entry(old, CACHE)
        };
        let replacement = EndpointEntry {
            started: harness.now,
            ..entry(new, CACHE)
        };
        harness.notify(Event::Endpoints(
            ListKind::Delta,
            vec![removed, replacement],
        ));
        run(&mut harness, S);
    }
    assert!(
        harness.sent.iter().any(|a| a.target == 13),
        "the first replacement must get requests"
    );
    let now = harness.now;
    let all = [12, 13, 14].map(|id| EndpointEntry {
        started: now,
        ..entry(id, CACHE)
    });
    harness.notify(Event::Endpoints(ListKind::Delta, all.to_vec()));
    run(&mut harness, 3 * S);
    assert!(harness
        .sent
        .iter()
        .any(|a| a.sent_at > now && a.source.is_some()));
    assert_eq!(harness.checker.violations, Vec::<String>::new());
}

#[test]
fn a_few_late_responses_among_many_cut_no_limit() {
    // Guards against limits that shrink under normal conditions, where sizes are unknown and some responses are always
    // late.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for round in 1..=20 {
        let sent = send_requests(&mut harness, round * 100..round * 100 + 30);
        harness.advance(50 * MS);
        for attempt in &sent[1..] {
            harness.end_attempt(attempt, Status::Ok, FillNote::Hit, 0);
        }
        harness.advance(2 * S);
        harness.end_attempt(&sent[0], Status::Ok, FillNote::Hit, 0);
    }
    assert_eq!(send_requests(&mut harness, 5_000..5_120).len(), 120);
}

#[test]
fn occasional_broken_fills_do_not_reduce_the_fills_of_a_parent() {
    // Guards against single broken fills that cut the limit of a parent, so that requests wait for an idle parent.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for round in 1..=20 {
        let sent = send_requests(&mut harness, round * 100..round * 100 + 30);
        harness.advance(50 * MS);
        for attempt in &sent[1..] {
            harness.end_attempt(attempt, Status::Ok, FillNote::Filled, 10 * MS);
        }
        for retry in harness.end_attempt(&sent[0], Status::Error, FillNote::SourceLost, 10 * MS) {
            harness.end_attempt(&retry, Status::Ok, FillNote::Filled, 10 * MS);
        }
        harness.advance(S);
    }
    let fills = send_requests(&mut harness, 5_000..5_100)
        .iter()
        .filter(|s| s.source != Some(s.target))
        .count();
    assert!(fills >= 40, "{fills} fills in flight");
    assert_eq!(harness.log, Vec::<String>::new());
}

#[test]
fn late_responses_alone_leave_a_cache_its_full_quota() {
    // Guards against late responses that cut the limit of a cache below its full quota, so that waiting requests are
    // rejected.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for round in 1..=30 {
        let sent = send_requests(&mut harness, round * 100..round * 100 + 10);
        harness.advance(2 * S);
        for attempt in &sent {
            harness.end_attempt(attempt, Status::Ok, FillNote::Hit, 0);
        }
    }
    let sent = send_requests(&mut harness, 5_000..5_060).len();
    assert!(sent >= 36, "{sent} of 60 requests sent immediately");
}

#[test]
fn requests_that_get_errors_from_all_endpoints_take_none_down() {
    // Guards against invalid requests of clients that take all caches DOWN.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..=40 {
        let mut next = harness.send_request(new_request(id, id));
        while let Some(attempt) = next.first().cloned() {
            next = harness.end_attempt(&attempt, Status::Error, FillNote::None, 0);
        }
    }
    assert_eq!(
        (harness.log.len(), harness.sent.len(), harness.answers.len()),
        (0, 80, 40),
        "{:?}",
        harness.log
    );
    // An endpoint that returns an error for a request that another one serves is charged with a failure.
    for id in 101..=120 {
        let first = harness.send_request(new_request(id, id)).remove(0);
        let is_faulty = |attempt: &SentAttempt| attempt.target == 10;
        let next = harness.end_attempt(
            &first,
            if is_faulty(&first) {
                Status::Error
            } else {
                Status::Ok
            },
            FillNote::Hit,
            0,
        );
        next.iter().for_each(|attempt| harness.serve(attempt));
    }
    assert!(
        harness.log.iter().any(|l| l.contains("Cache a DOWN")),
        "{:?}",
        harness.log
    );
}

#[test]
fn attempts_on_one_broken_connection_count_as_one_failure() {
    // Guards against one broken connection with four attempts that takes its endpoint DOWN.
    for (shared, down) in [(true, 0), (false, 1)] {
        let mut harness = RouterHarness::new(settings(), default_endpoints());
        let first = harness.send_request(new_request(1, 5)).remove(0);
        let more: Vec<_> = (2..=4)
            .flat_map(|id| harness.send_request(new_request(id, 5)))
            .collect();
        assert!(more.iter().all(|s| s.target == first.target));
        harness.end_attempt(&first, Status::Reset, FillNote::None, 0);
        harness.shared_failure = shared;
        more.iter().for_each(|attempt| {
            drop(harness.end_attempt(attempt, Status::Reset, FillNote::None, 0))
        });
        let down_count = harness.log.iter().filter(|l| l.contains("DOWN")).count();
        assert_eq!(down_count, down, "{:?}", harness.log);
    }
}

#[test]
fn an_attempt_that_was_not_sent_moves_and_takes_no_endpoint_down() {
    // Guards against charging endpoints for attempts that were not sent, such as when file descriptors are exhausted.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    for id in 1..=20 {
        let first = harness.send_request(new_request(id, id)).remove(0);
        let next = harness
            .end_attempt(&first, Status::NotSent, FillNote::None, 0)
            .remove(0);
        assert_ne!(next.target, first.target);
        harness.serve(&next);
    }
    assert_eq!(harness.log, Vec::<String>::new());
}

#[test]
fn a_request_without_an_attempt_is_rejected_at_half_its_time() {
    // Guards against rejections that leave the client too little time to retry elsewhere.
    let mut harness = RouterHarness::new(settings(), default_endpoints());
    let mut sent = send_requests(&mut harness, 1..2000);
    let short = Request {
        time_left: 600 * MS,
        size_kb: 100.0,
        ..new_request(5000, 5000)
    };
    sent.extend(harness.send_request(short));
    assert!(
        sent.iter().all(|s| s.request.0 != 5000),
        "all capacity must be in use"
    );
    let arrived_at = harness.now;
    while !harness.answers.contains_key(&RequestId(5000)) {
        harness.advance(5 * MS);
    }
    assert!(
        harness.now <= arrived_at + 310 * MS,
        "answered only after {} us",
        harness.now - arrived_at
    );
}

#[test]
fn the_link_is_full_only_when_fills_are_slower_than_clients() {
    // Guards against a link limit that is cut although fills are still faster than clients, so that requests wait for a
    // link with capacity.
    for (utilization, link_has_capacity) in [(2.0, true), (4.0, false)] {
        let mut harness = RouterHarness::new(settings(), default_endpoints());
        let mut cache_checks = 0;
        for id in 1..=400 {
            let sent = harness.send_request(new_request(id, id));
            cache_checks += sent.iter().filter(|s| s.source == Some(s.target)).count();
            harness.advance(20 * MS);
            let due: Vec<_> = harness
                .attempts_in_flight()
                .into_iter()
                .filter(|s| s.sent_at + 500 * MS < harness.now)
                .collect();
            for late in due {
                let report = Some(LoadReport {
                    link: Some(utilization),
                    ..LoadReport::default()
                });
                harness.end_attempt_with_report(&late, Status::Ok, FillNote::Filled, 0, report);
            }
        }
        assert_eq!(
            cache_checks == 0 && harness.answers.is_empty(),
            link_has_capacity,
            "{cache_checks} checks of caches at link utilization {utilization}"
        );
    }
}

#[test]
fn a_miss_does_not_wait_for_attempts_that_may_not_fill() {
    // Guards against misses that wait for a half-empty link because attempts that may fill, but hit, hold its slots.
    let mut harness = RouterHarness::new(
        Settings {
            link_kb_per_s: 4_000.0,
            ..settings()
        },
        default_endpoints(),
    );
    let report = Some(LoadReport {
        link: Some(0.5),
        ..LoadReport::default()
    });
    let first = harness.send_request(new_request(1, 1)).remove(0);
    harness.end_attempt_with_report(&first, Status::Ok, FillNote::Hit, 0, report);
    // The initial limit of the link is 12 transfers; more attempts than that name a source.
    let sent = send_requests(&mut harness, 2..20);
    assert!(
        sent.iter().all(|s| s.source != Some(s.target)),
        "no attempt may only check the cache"
    );
    let next = harness.end_attempt(&sent[0], Status::Rejected, FillNote::SourceMiss, 0);
    assert!(
        next.iter().any(|s| s.request == sent[0].request),
        "the miss must be sent again immediately: {next:?}"
    );
}

#[test]
fn requests_bypass_full_caches_where_pass_through_is_allowed() {
    // Guards against requests that wait for the last caches of a zone while the parents are idle.
    for pass_through in [true, false] {
        let mut small = default_endpoints();
        small[..3].iter_mut().for_each(|cache| cache.weight = 2.0);
        let mut harness = RouterHarness::new(
            Settings {
                pass_through,
                ..settings()
            },
            small,
        );
        let sent = send_requests(&mut harness, 1..60);
        let parents = sent
            .iter()
            .filter(|s| s.target == 20 || s.target == 21)
            .count();
        assert_eq!(
            (parents > 0, sent.len() == 59),
            (pass_through, pass_through),
            "{parents} of {} attempts sent to parents",
            sent.len()
        );
        assert_eq!(harness.checker.violations, Vec::<String>::new());
    }
}

#[test]
fn a_clock_that_is_ahead_does_not_shorten_a_slow_start() {
    // Start times are on the discovery clock. Guards against sending full load to a cache in slow start because the
    // clock of the front is ahead.
    let admitted = |ahead: Micros, started: Option<Micros>| {
        let mut harness = RouterHarness::new(settings(), Vec::new());
        harness.notify(Event::ClockAhead(ahead));
        let started = started.map_or(0, |ago| harness.now - ago);
        let started_entries =
            [entry(10, CACHE), entry(30, ORIGIN)].map(|e| EndpointEntry { started, ..e });
        harness.notify(Event::Endpoints(ListKind::Full, started_entries.to_vec()));
        harness.advance(S);
        let sent = send_requests(&mut harness, 1..200);
        assert_eq!(
            harness
                .checker
                .violations
                .iter()
                .filter(|_| ahead == 0)
                .count(),
            0
        );
        sent.len()
    };
    let (cold, warm) = (admitted(0, Some(MS)), admitted(0, None));
    assert!(
        cold > 0 && cold * 2 < warm,
        "{cold} requests to a cache in slow start, {warm} to a warm one"
    );
    assert_eq!(admitted(30 * S, Some(30 * S + MS)), cold);
    // The start of a slow start after an uncordon is converted to the discovery clock.
    let mut harness = RouterHarness::new(settings(), vec![entry(10, CACHE), entry(30, ORIGIN)]);
    harness.notify(Event::ClockAhead(60 * S));
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: true,
    });
    harness.notify(Event::Cordon {
        endpoint: EndpointId(10),
        cordoned: false,
    });
    harness.advance(S);
    assert_eq!(send_requests(&mut harness, 1..200).len(), cold);
    harness.advance(30 * S);
    assert!(
        send_requests(&mut harness, 300..500).len() > cold,
        "the cache must get more requests after the warm-up"
    );
}

#[test]
fn a_clock_that_is_behind_does_not_lengthen_a_slow_start() {
    // Guards against a slow start that lasts an hour longer because the clock of the front is an hour behind.
    let admitted = |start_offset: Micros, wait: Micros| {
        let mut harness = RouterHarness::new(settings(), Vec::new());
        let started = harness.now + start_offset;
        let started_entries =
            [entry(10, CACHE), entry(30, ORIGIN)].map(|e| EndpointEntry { started, ..e });
        harness.notify(Event::Endpoints(ListKind::Full, started_entries.to_vec()));
        harness.advance(wait);
        send_requests(&mut harness, 1..200).len()
    };
    for behind in [5 * S, 3_600 * S] {
        assert_eq!(
            admitted(behind, S),
            admitted(0, S),
            "the same load must be admitted at the start"
        );
        assert_eq!(
            admitted(behind, 30 * S),
            admitted(0, 30 * S),
            "the same load must be admitted after the warm-up"
        );
    }
    assert!(admitted(0, 30 * S) > 2 * admitted(0, S));
}
